//! Settings of the control machine.

use std::net::SocketAddr;
use std::time::Duration;

use crate::coordination::membership;
use crate::coordination::membership::ListRules;
use crate::coordination::ownership::HandoverRules;
use crate::coordination::proposal;
use crate::coordination::proposal::BrokenRule;
use crate::state::id::FailureDomain;

/// Settings of one instance. The times are the same in the whole deployment.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where the other instances reach this one for control.
    pub address: SocketAddr,
    /// Where the other instances send leaf calls.
    pub traffic_address: SocketAddr,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// How old evidence of currency may be.
    pub currency_bound: Duration,
    /// Between two exchanges that this instance opens.
    pub gossip_interval: Duration,
    /// Between two reads of the record by the instances that poll.
    pub poll_interval: Duration,
    /// The age of store evidence from which on any instance polls.
    pub stale_evidence: Duration,
    /// How long an answer of the store is awaited.
    pub store_timeout: Duration,
    /// How long promises are awaited.
    pub announce_timeout: Duration,
    /// Until an unanswered probe is repeated through other instances.
    pub direct_probe: Duration,
    /// Until an instance that answers no probe is suspected.
    pub indirect_probe: Duration,
    /// Until the removal of a suspected instance is proposed.
    pub suspicion: Duration,
    /// How much longer each further rank waits with that.
    pub rank_delay: Duration,
    /// How long a witness must be out of sight and off the platform's list before it counts as
    /// ended.
    pub bootstrap_wait: Duration,
    /// Bytes of facts and file body per message.
    pub exchange_bytes: usize,
    /// Breaks one rule on purpose.
    #[doc(hidden)]
    pub mutation: Mutation,
}

/// Breaks one rule, to show that the checks of the tests notice.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mutation {
    /// All rules hold.
    #[default]
    None,
    /// Writes without asking witnesses.
    NoPromises,
    /// Heartbeats hide promises.
    HiddenPromises,
    /// Evidence is dated when it arrives.
    DatedOnArrival,
    /// A new owner starts at once.
    NoHandoverWait,
    /// A lost answer is treated as a failure.
    OperationsIgnored,
    /// Any record that arrives is taken over.
    OldRecordsAccepted,
    /// Records are not sent on, and only the lowest ranks poll.
    RecordsNotSpread,
    /// Witnesses count for nothing.
    StoreEvidenceOnly,
    /// A release counts whoever owned the leaf in between.
    ReleasesUnchecked,
    /// Readiness is kept whoever owned the leaf in between.
    ReadinessKept,
    /// An instance that was removed while alive does not ask to join again.
    NoRejoin,
    /// The generation rises by two.
    GenerationsSkipped,
    /// The platform's list never proves that a witness has ended.
    ListIgnored,
    /// A list of the platform that was not read proves that witnesses have ended.
    UnreadListTrusted,
    /// A list of the platform without this instance on it is trusted.
    ListWithoutSelfTrusted,
    /// A single read of the platform's list is trusted.
    ListGapsIgnored,
    /// A change that the record holds already makes another generation.
    RepeatsWritten,
    /// A lost answer to a compare-and-swap counts as accepted.
    LostAnswersTrusted,
    /// A rollout moves to a stage whatever stage it is at.
    StagesUnchecked,
    /// An instance that leaves does not repeat its releases.
    ReleasesSentOnce,
    /// An instance that leaves publishes that before it sends its releases.
    LeavesBeforeReleases,
    /// Facts are sent only while they are new, not when a peer lacks them.
    FactsNotRepeated,
    /// Facts do not expire.
    FactsKept,
}

impl Settings {
    /// Returns settings with the default times, and one address for control and traffic.
    #[must_use]
    pub fn new(address: SocketAddr, failure_domain: FailureDomain) -> Self {
        Self {
            address,
            traffic_address: address,
            failure_domain,
            currency_bound: Duration::from_secs(3),
            gossip_interval: Duration::from_millis(200),
            poll_interval: Duration::from_millis(500),
            stale_evidence: Duration::from_millis(1500),
            store_timeout: Duration::from_secs(2),
            announce_timeout: Duration::from_secs(1),
            direct_probe: Duration::from_millis(300),
            indirect_probe: Duration::from_secs(1),
            suspicion: Duration::from_secs(3),
            rank_delay: Duration::from_secs(1),
            bootstrap_wait: Duration::from_secs(10),
            exchange_bytes: 16 * 1024,
            mutation: Mutation::None,
        }
    }

    /// Returns how ownership passes from one instance to the next.
    #[must_use]
    pub fn handover(&self) -> HandoverRules {
        let wait = self.currency_bound + Duration::from_millis(500);
        let immediate = self.mutation == Mutation::NoHandoverWait;
        HandoverRules {
            wait: if immediate { Duration::ZERO } else { wait },
            check_releases: self.mutation != Mutation::ReleasesUnchecked,
            check_continuity: self.mutation != Mutation::ReadinessKept,
        }
    }

    pub(super) fn proposal_limits(&self) -> proposal::Limits {
        proposal::Limits {
            store: self.store_timeout,
            announce: self.announce_timeout,
            resolve: self.poll_interval,
            broken: match self.mutation {
                Mutation::NoPromises => Some(BrokenRule::NoPromises),
                Mutation::OperationsIgnored => Some(BrokenRule::OperationsIgnored),
                Mutation::RepeatsWritten => Some(BrokenRule::RepeatsWritten),
                Mutation::LostAnswersTrusted => Some(BrokenRule::LostAnswersTrusted),
                Mutation::StagesUnchecked => Some(BrokenRule::StagesUnchecked),
                _ => None,
            },
        }
    }

    pub(super) fn membership_limits(&self) -> membership::Limits {
        membership::Limits {
            direct: self.direct_probe,
            indirect: self.indirect_probe,
            suspicion: self.suspicion,
            rank_delay: self.rank_delay,
            bootstrap_wait: self.bootstrap_wait,
            currency_bound: self.currency_bound,
            list_rules: match self.mutation {
                Mutation::ListIgnored => ListRules::Ignored,
                Mutation::UnreadListTrusted => ListRules::Unread,
                Mutation::ListWithoutSelfTrusted => ListRules::WithoutSelf,
                Mutation::ListGapsIgnored => ListRules::Gaps,
                _ => ListRules::All,
            },
        }
    }
}
