//! SWIM-style failure detection, and requests to join and leave the roster.
//!
//! Failure detection alone moves no ownership: it only leads to a proposal to change the roster.
//! [`liveness`] states the assumption about the platform's list on which the detection of
//! terminated witnesses relies.

mod liveness;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::seq::IteratorRandom;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

#[doc(hidden)]
pub use self::liveness::ListRules;
use self::liveness::Liveness;
use crate::state::id::InstanceId;
use crate::state::record::Candidate;
use crate::state::record::Member;
use crate::state::record::Record;

/// Number of peers that send an indirect probe on behalf of this instance.
const INDIRECT_PROBES: usize = 2;

/// How long a request to join is kept. Candidates repeat it every second.
const CANDIDATE_TTL: Duration = Duration::from_secs(3);

/// One exchange in this many goes to a listed address outside the roster, so that two groups of
/// instances with disjoint rosters find each other.
const OUTSIDE_EXCHANGE_INTERVAL: u64 = 5;

/// Highest rank that adds to the wait before a removal. Higher ranks wait as long as this one.
const MAX_DELAYED_RANK: usize = 20;

/// Timeouts of failure detection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time after which an unanswered peer is probed through other members.
    pub direct: Duration,
    /// Time after which a peer that has answered neither probe is suspected. Counted from the
    /// direct probe.
    pub indirect: Duration,
    /// Time after which the lowest rank proposes the removal of a suspected peer.
    pub suspicion: Duration,
    /// Additional wait of each further rank before it proposes a removal.
    pub rank_delay: Duration,
    /// How long a witness must be unreachable, and absent from the platform's list, before its
    /// promise is not required.
    pub bootstrap_wait: Duration,
    /// How long a witness must be known to have terminated before its promise is not required.
    pub currency_bound: Duration,
    /// The rules on the platform's list; mutation tests break one deliberately.
    #[doc(hidden)]
    pub list_rules: ListRules,
}

#[derive(Clone, Debug)]
struct Probe {
    instance: Option<InstanceId>,
    address: SocketAddr,
    sent: Instant,
    indirect: bool,
}

/// A message that failure detection requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Ask the helper to probe the target.
    IndirectProbe {
        /// Number of the probe, by which the answer is matched.
        probe: u64,
        /// The member that sends the probe.
        helper: SocketAddr,
        /// The address to probe.
        target: SocketAddr,
    },
}

/// Failure detection state of one instance, and pending requests to join and to leave.
#[derive(Debug)]
pub struct Membership {
    limits: Limits,
    probe_order: VecDeque<InstanceId>,
    exchanges: u64,
    probes: BTreeMap<u64, Probe>,
    suspected: BTreeMap<InstanceId, Instant>,
    liveness: Liveness,
    candidates: BTreeMap<InstanceId, (Candidate, Instant)>,
    leavers: BTreeSet<InstanceId>,
}

impl Membership {
    /// Creates the state of an instance that knows no other instance. The number of the first
    /// exchange should be random: a late answer to an earlier process at the same address must not
    /// be mistaken for an answer to this one, because evidence is dated by the request.
    #[must_use]
    pub fn new(limits: Limits, first_exchange: u64) -> Self {
        Self {
            limits,
            probe_order: VecDeque::new(),
            exchanges: first_exchange,
            probes: BTreeMap::new(),
            suspected: BTreeMap::new(),
            liveness: Liveness::default(),
            candidates: BTreeMap::new(),
            leavers: BTreeSet::new(),
        }
    }

    /// Drops suspicions and requests that a new record makes obsolete.
    pub fn on_record(&mut self, record: &Record, me: &Candidate, now: Instant) {
        let listed = |instance: &InstanceId| record.member(*instance).is_some();
        self.suspected.retain(|instance, _| listed(instance));
        self.leavers.retain(listed);
        self.candidates.retain(|instance, _| !listed(instance));
        self.liveness.on_record(record, me, now);
    }

    /// Chooses the peer of the next exchange: the next roster member in shuffled round-robin order,
    /// or, at regular intervals and if there is no other member, a listed address outside the
    /// roster. Returns `None` if no other instance is known.
    pub fn next_peer(
        &mut self,
        record: &Record,
        me: &Candidate,
        now: Instant,
        random: &mut ChaCha8Rng,
    ) -> Option<(u64, SocketAddr)> {
        self.exchanges = self.exchanges.wrapping_add(1);
        let outside = self.exchanges.is_multiple_of(OUTSIDE_EXCHANGE_INTERVAL);
        let inside = if outside {
            None
        } else {
            self.next_member(record, me, random)
        };
        let outside_address = if inside.is_none() {
            self.outside_address(record, me, random)
        } else {
            None
        };
        let (instance, address) = if let Some(address) = outside_address {
            (None, address)
        } else {
            let member = inside.or_else(|| self.next_member(record, me, random))?;
            (Some(member.instance), member.address)
        };
        let probe = Probe {
            instance,
            address,
            sent: now,
            indirect: false,
        };
        self.probes.insert(self.exchanges, probe);
        Some((self.exchanges, address))
    }

    /// Registers an additional exchange with the same peer and returns its number.
    pub fn extra_exchange(
        &mut self,
        instance: InstanceId,
        address: SocketAddr,
        now: Instant,
    ) -> u64 {
        self.exchanges = self.exchanges.wrapping_add(1);
        let probe = Probe {
            instance: Some(instance),
            address,
            sent: now,
            indirect: false,
        };
        self.probes.insert(self.exchanges, probe);
        self.exchanges
    }

    fn next_member<'a>(
        &mut self,
        record: &'a Record,
        me: &Candidate,
        random: &mut ChaCha8Rng,
    ) -> Option<&'a Member> {
        for _ in 0..2 {
            while let Some(instance) = self.probe_order.pop_front() {
                let member = record.member(instance);
                if let Some(member) = member.filter(|member| member.address != me.address) {
                    return Some(member);
                }
            }
            let mut order: Vec<_> = record.roster.iter().map(|member| member.instance).collect();
            order.shuffle(random);
            self.probe_order = order.into();
        }
        None
    }

    fn outside_address(
        &self,
        record: &Record,
        me: &Candidate,
        random: &mut ChaCha8Rng,
    ) -> Option<SocketAddr> {
        let listed = self.liveness.listed().iter().copied();
        let outside = listed.filter(|address| {
            let inside = record
                .roster
                .iter()
                .any(|member| member.address == *address);
            *address != me.address && !inside
        });
        outside.choose(random)
    }

    /// Handles a new copy of the platform's list of instances.
    pub fn on_instance_list(
        &mut self,
        listed: BTreeSet<SocketAddr>,
        record: &Record,
        me: &Candidate,
        now: Instant,
    ) {
        self.liveness
            .on_list(listed, me, self.limits.list_rules, now);
        self.liveness.note_listed(record, now);
    }

    /// Records that a message from the instance has arrived, and clears its suspicion.
    pub fn on_contact(&mut self, instance: InstanceId, now: Instant) {
        self.suspected.remove(&instance);
        self.liveness.on_contact(instance, now);
    }

    /// Handles the answer to an exchange and returns when its request was sent, or `None` if the
    /// exchange is not open. If the answer comes from a process other than the member to which the
    /// request was sent, that member has terminated: it had started before the request was sent,
    /// and no two processes have the same address at the same time.
    pub fn on_answer(&mut self, exchange: u64, from: InstanceId, now: Instant) -> Option<Instant> {
        let probe = self.probes.remove(&exchange)?;
        if let Some(instance) = probe.instance
            && instance != from
            && self.liveness.is_member(instance)
        {
            self.liveness.on_replaced(instance, now);
            self.suspected.entry(instance).or_insert(now);
        }
        Some(probe.sent)
    }

    /// Handles a helper's report that the target answered an indirect probe.
    pub fn on_indirect_answer(&mut self, probe: u64, from: InstanceId, now: Instant) {
        let matches = self.probes.get(&probe);
        if matches.is_some_and(|probe| probe.instance == Some(from)) {
            self.probes.remove(&probe);
            self.on_contact(from, now);
        }
    }

    /// Handles a suspicion reported by another instance: this instance probes the suspect next if
    /// it is among the lowest ranks, which propose removals first.
    pub fn on_suspicion(&mut self, instance: InstanceId, record: &Record, me: InstanceId) {
        let lower = record.roster.iter().filter(|member| member.instance < me);
        let known = self.suspected.contains_key(&instance)
            || self.probe_order.front() == Some(&instance)
            || self
                .probes
                .values()
                .any(|probe| probe.instance == Some(instance));
        if !known && record.member(instance).is_some() && lower.count() <= MAX_DELAYED_RANK {
            self.probe_order.push_front(instance);
        }
    }

    /// Records a request to join, unless the instance is a member or has departed.
    pub fn on_join(&mut self, candidate: Candidate, record: &Record, now: Instant) {
        let departed = record.departures.iter();
        let departed = departed.filter(|left| left.instance == candidate.instance);
        if departed.count() == 0 && record.member(candidate.instance).is_none() {
            self.candidates
                .insert(candidate.instance, (candidate, now + CANDIDATE_TTL));
        }
    }

    /// Records a request to leave. Requests for instances outside the roster are ignored.
    pub fn on_leave(&mut self, instance: InstanceId) {
        if self.liveness.is_member(instance) {
            self.leavers.insert(instance);
        }
    }

    /// Handles expired timeouts and returns the indirect probes to request.
    pub fn tick(
        &mut self,
        record: &Record,
        me: &Candidate,
        now: Instant,
        random: &mut ChaCha8Rng,
    ) -> Vec<Request> {
        self.liveness.note_listed(record, now);
        self.candidates.retain(|_, (_, until)| now < *until);
        let mut requests = Vec::new();
        let mut timed_out = Vec::new();
        for (number, probe) in &mut self.probes {
            let waited = now.saturating_duration_since(probe.sent);
            if waited >= self.limits.indirect {
                timed_out.push(*number);
            } else if waited >= self.limits.direct && !probe.indirect {
                probe.indirect = true;
                let helpers = record.roster.iter().map(|member| member.address);
                let helpers =
                    helpers.filter(|address| *address != probe.address && *address != me.address);
                let helpers = helpers.choose_multiple(random, INDIRECT_PROBES);
                requests.extend(helpers.into_iter().map(|helper| Request::IndirectProbe {
                    probe: *number,
                    helper,
                    target: probe.address,
                }));
            }
        }
        for number in timed_out {
            let probe = self.probes.remove(&number);
            let instance = probe.and_then(|probe| probe.instance);
            if let Some(instance) = instance.filter(|one| record.member(*one).is_some()) {
                self.suspected.entry(instance).or_insert(now);
            }
        }
        requests
    }

    /// Returns the members to add and to remove that this instance should propose now, or `None` if
    /// no change is due or this instance is not a member.
    #[must_use]
    pub fn roster_change(
        &self,
        record: &Record,
        me: InstanceId,
        now: Instant,
    ) -> Option<(Vec<Candidate>, BTreeSet<InstanceId>)> {
        record.member(me)?;
        let wait = self.limits.suspicion + self.limits.rank_delay * self.live_rank(record, me);
        let due = self
            .suspected
            .iter()
            .filter(|(_, since)| **since + wait <= now);
        let mut removed: BTreeSet<_> = due.map(|(instance, _)| *instance).collect();
        removed.extend(self.leavers.iter().copied());
        removed.retain(|instance| *instance != me && record.member(*instance).is_some());
        let added = self.candidates.values();
        let added: Vec<_> = added.map(|(candidate, _)| candidate.clone()).collect();
        (!added.is_empty() || !removed.is_empty()).then_some((added, removed))
    }

    fn live_rank(&self, record: &Record, me: InstanceId) -> u32 {
        let lower = record.roster.iter().filter(|member| member.instance < me);
        let lower = lower.filter(|one| !self.suspected.contains_key(&one.instance));
        u32::try_from(lower.count().min(MAX_DELAYED_RANK)).unwrap_or(0)
    }

    /// Returns the address of a member that is not suspected, to which a request to join or leave
    /// is sent. Successive attempts rotate through the members.
    #[must_use]
    pub fn sponsor(&self, record: &Record, me: &Candidate, attempt: usize) -> Option<SocketAddr> {
        let others = record
            .roster
            .iter()
            .filter(|one| one.address != me.address && !self.suspected.contains_key(&one.instance));
        let others: Vec<_> = others.map(|member| member.address).collect();
        (!others.is_empty()).then(|| others[attempt % others.len()])
    }

    /// Returns the witnesses that are known to have terminated, by the rules of [`liveness`].
    #[must_use]
    pub fn terminated(&self, record: &Record, now: Instant) -> BTreeSet<InstanceId> {
        self.liveness.terminated(record, &self.limits, now)
    }

    /// Iterates over the members that this instance suspects to have failed.
    pub fn suspected(&self) -> impl Iterator<Item = InstanceId> {
        self.suspected.keys().copied()
    }
}
