//! Settings of the control state machine.

use std::net::SocketAddr;
use std::time::Duration;

use crate::coordination::membership;
use crate::coordination::membership::ListRules;
use crate::coordination::ownership::HandoverRules;
use crate::coordination::proposal;
use crate::coordination::proposal::BrokenRule;
use crate::state::id::FailureDomain;

/// Settings of one instance. All instances of a deployment must use the same durations.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address for control messages from other instances.
    pub address: SocketAddr,
    /// Address to which other instances send leaf calls.
    pub traffic_address: SocketAddr,
    /// Failure domain in which the instance runs.
    pub failure_domain: FailureDomain,
    /// Maximum age of evidence of currency.
    pub currency_bound: Duration,
    /// Mean time between two exchanges that this instance starts.
    pub gossip_interval: Duration,
    /// Time between two reads of the record by the witnesses that always poll, and between two
    /// attempts of a proposer to resolve an unknown outcome.
    pub poll_interval: Duration,
    /// Age of store evidence above which any instance polls.
    pub stale_evidence: Duration,
    /// Timeout of a store request.
    pub store_timeout: Duration,
    /// Timeout for a majority of promises.
    pub announce_timeout: Duration,
    /// Time after which an unanswered probe is repeated through other instances.
    pub direct_probe: Duration,
    /// Time after which an instance that answers neither probe is suspected. Counted from the
    /// direct probe.
    pub indirect_probe: Duration,
    /// Time after which the lowest rank proposes the removal of a suspected instance.
    pub suspicion: Duration,
    /// Additional wait of each further rank before it proposes the removal.
    pub rank_delay: Duration,
    /// How long a witness must be unreachable and absent from the platform's list before it counts
    /// as terminated.
    pub bootstrap_wait: Duration,
    /// Limit on the bytes of facts and file body in one message.
    pub exchange_bytes: usize,
    /// The rule that a mutation test breaks deliberately.
    #[doc(hidden)]
    pub mutation: Mutation,
}

/// Breaks one rule deliberately, so that mutation tests can show that the checks detect it.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mutation {
    /// All rules hold.
    #[default]
    None,
    /// The proposer writes the record without promises of the witnesses.
    NoPromises,
    /// Heartbeats hide promises.
    HiddenPromises,
    /// Evidence is dated when it arrives.
    DatedOnArrival,
    /// A new owner is ready immediately.
    NoHandoverWait,
    /// A lost answer is treated as a failure.
    OperationsIgnored,
    /// An instance adopts any record that arrives, even an older one.
    OldRecordsAccepted,
    /// Records are not spread by gossip. Only the witnesses that always poll, and instances that
    /// have no record, read the store.
    RecordsNotSpread,
    /// Heartbeats of witnesses are ignored.
    StoreEvidenceOnly,
    /// A release counts regardless of who owned the leaf in between.
    ReleasesUnchecked,
    /// Readiness is kept regardless of who owned the leaf in between.
    ReadinessKept,
    /// An instance that was removed while alive does not request to join again.
    NoRejoin,
    /// The generation rises by two.
    GenerationsSkipped,
    /// The platform's list never proves that a witness has terminated.
    ListIgnored,
    /// A platform list that was not read proves that witnesses have terminated.
    UnreadListTrusted,
    /// A platform list that does not contain this instance is trusted.
    ListWithoutSelfTrusted,
    /// A single read of the platform's list is trusted.
    ListGapsIgnored,
    /// A change that the record already contains creates another generation.
    RepeatsWritten,
    /// A lost answer to a compare-and-swap counts as accepted.
    LostAnswersTrusted,
    /// A rollout moves to a stage regardless of its current stage.
    StagesUnchecked,
    /// A leaving instance does not resend its releases.
    ReleasesSentOnce,
    /// A leaving instance publishes its departure before it sends its releases.
    LeavesBeforeReleases,
    /// Facts are sent only while they are new, not when a peer lacks them.
    FactsNotRepeated,
    /// Facts do not expire.
    FactsKept,
}

impl Settings {
    /// Returns settings with the default durations, and one address for control and traffic.
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

    /// Returns the rules for the transfer of ownership from one instance to the next.
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
