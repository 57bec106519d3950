//! Failure detection in the manner of SWIM, and requests to join and leave the roster.
//!
//! Detection hands over nothing by itself: it only leads to a proposal to change the roster.
//! [`liveness`] holds the assumption about the platform's list that counting ended witnesses rests on.

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

/// Peers that are asked to probe in place of this instance.
const INDIRECT_PROBES: usize = 2;

/// Requests to join are repeated every second and forgotten after this time.
const CANDIDATE_TTL: Duration = Duration::from_secs(3);

/// One exchange in so many goes to a listed address outside the roster, so that two groups of
/// instances that know nothing of each other meet.
const OUTSIDE_INTERVAL: u64 = 5;

/// Ranks above this one wait no longer to propose a removal.
const MAX_RANK_DELAY: usize = 20;

/// Time limits of failure detection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Until a peer that has not answered is probed through others.
    pub direct: Duration,
    /// Until a peer that has not answered at all is suspected.
    pub indirect: Duration,
    /// Until a suspected peer's removal is proposed by the lowest rank.
    pub suspicion: Duration,
    /// How much longer each further rank waits.
    pub rank_delay: Duration,
    /// How long a witness must be out of sight, and off the platform's list, before it needs no
    /// promise.
    pub bootstrap_wait: Duration,
    /// How long a witness must be known to have ended before it needs no promise.
    pub currency_bound: Duration,
    /// Breaks a rule on purpose.
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

/// What failure detection asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Ask the helper to probe the target.
    IndirectProbe {
        /// Number of the probe.
        probe: u64,
        /// Whom to ask.
        helper: SocketAddr,
        /// Whom to probe.
        target: SocketAddr,
    },
}

/// What one instance knows about the others' life.
#[derive(Debug)]
pub struct Membership {
    limits: Limits,
    order: VecDeque<InstanceId>,
    exchanges: u64,
    probes: BTreeMap<u64, Probe>,
    suspected: BTreeMap<InstanceId, Instant>,
    liveness: Liveness,
    candidates: BTreeMap<InstanceId, (Candidate, Instant)>,
    leavers: BTreeSet<InstanceId>,
}

impl Membership {
    /// Creates the state of an instance that knows nobody. The number of the first exchange should
    /// be random: a late answer to an earlier process at the same address must not be taken for an
    /// answer to this one, because evidence is dated by the request.
    #[must_use]
    pub fn new(limits: Limits, first_exchange: u64) -> Self {
        Self {
            limits,
            order: VecDeque::new(),
            exchanges: first_exchange,
            probes: BTreeMap::new(),
            suspected: BTreeMap::new(),
            liveness: Liveness::default(),
            candidates: BTreeMap::new(),
            leavers: BTreeSet::new(),
        }
    }

    /// Adapts to a new record.
    pub fn on_record(&mut self, record: &Record, me: &Candidate, now: Instant) {
        let listed = |instance: &InstanceId| record.member(*instance).is_some();
        self.suspected.retain(|instance, _| listed(instance));
        self.leavers.retain(listed);
        self.candidates.retain(|instance, _| !listed(instance));
        self.liveness.on_record(record, me, now);
    }

    /// Chooses the peer of the next exchange: shuffled round robin over the roster, now and then
    /// a listed address outside of it.
    pub fn next_peer(
        &mut self,
        record: &Record,
        me: &Candidate,
        now: Instant,
        random: &mut ChaCha8Rng,
    ) -> Option<(u64, SocketAddr)> {
        self.exchanges = self.exchanges.wrapping_add(1);
        let outside = self.exchanges.is_multiple_of(OUTSIDE_INTERVAL);
        let inside = if outside {
            None
        } else {
            self.next_member(record, me, random)
        };
        let stranger = if inside.is_none() {
            self.outside_address(record, me, random)
        } else {
            None
        };
        let (instance, address) = if let Some(address) = stranger {
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

    /// Numbers an exchange that follows another with the same peer.
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
            while let Some(instance) = self.order.pop_front() {
                let member = record.member(instance);
                if let Some(member) = member.filter(|one| one.address != me.address) {
                    return Some(member);
                }
            }
            let mut order: Vec<_> = record.roster.iter().map(|one| one.instance).collect();
            order.shuffle(random);
            self.order = order.into();
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
            let inside = record.roster.iter().any(|one| one.address == *address);
            *address != me.address && !inside
        });
        outside.choose(random)
    }

    /// Notes the platform's list of instances.
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

    /// Notes that a message of the instance arrived.
    pub fn on_contact(&mut self, instance: InstanceId, now: Instant) {
        self.suspected.remove(&instance);
        self.liveness.on_contact(instance, now);
    }

    /// Takes the answer to an exchange and returns when its request was sent. An answer of another
    /// process than the one listed proves that the listed one has ended, because it was started
    /// before the request was sent and no two processes share an address.
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

    /// Takes word from a helper that the target answered.
    pub fn on_indirect_answer(&mut self, probe: u64, from: InstanceId, now: Instant) {
        let matches = self.probes.get(&probe);
        if matches.is_some_and(|probe| probe.instance == Some(from)) {
            self.probes.remove(&probe);
            self.on_contact(from, now);
        }
    }

    /// Takes another instance's suspicion: probes the suspect next if this instance is among the
    /// lowest ranks, which propose removals first.
    pub fn on_suspicion(&mut self, instance: InstanceId, record: &Record, me: InstanceId) {
        let lower = record.roster.iter().filter(|one| one.instance < me);
        let known = self.suspected.contains_key(&instance)
            || self.order.front() == Some(&instance)
            || self
                .probes
                .values()
                .any(|probe| probe.instance == Some(instance));
        if !known && record.member(instance).is_some() && lower.count() <= MAX_RANK_DELAY {
            self.order.push_front(instance);
        }
    }

    /// Notes a request to join.
    pub fn on_join(&mut self, candidate: Candidate, record: &Record, now: Instant) {
        let departed = record.departures.iter();
        let departed = departed.filter(|left| left.instance == candidate.instance);
        if departed.count() == 0 && record.member(candidate.instance).is_none() {
            self.candidates
                .insert(candidate.instance, (candidate, now + CANDIDATE_TTL));
        }
    }

    /// Notes a request to leave.
    pub fn on_leave(&mut self, instance: InstanceId) {
        if self.liveness.is_member(instance) {
            self.leavers.insert(instance);
        }
    }

    /// Acts on time limits.
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
        let mut silent = Vec::new();
        for (number, probe) in &mut self.probes {
            let waited = now.saturating_duration_since(probe.sent);
            if waited >= self.limits.indirect {
                silent.push(*number);
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
        for number in silent {
            let probe = self.probes.remove(&number);
            let instance = probe.and_then(|probe| probe.instance);
            if let Some(instance) = instance.filter(|one| record.member(*one).is_some()) {
                self.suspected.entry(instance).or_insert(now);
            }
        }
        requests
    }

    /// Returns the roster change that this instance should propose now, if it is a member.
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
        let lower = record.roster.iter().filter(|one| one.instance < me);
        let lower = lower.filter(|one| !self.suspected.contains_key(&one.instance));
        u32::try_from(lower.count().min(MAX_RANK_DELAY)).unwrap_or(0)
    }

    /// Returns the member to ask for joining or leaving, a different one at each attempt.
    #[must_use]
    pub fn sponsor(&self, record: &Record, me: &Candidate, attempt: usize) -> Option<SocketAddr> {
        let others = record
            .roster
            .iter()
            .filter(|one| one.address != me.address && !self.suspected.contains_key(&one.instance));
        let others: Vec<_> = others.map(|member| member.address).collect();
        (!others.is_empty()).then(|| others[attempt % others.len()])
    }

    /// Returns the witnesses that have certainly ended, by the rules of [`liveness`].
    #[must_use]
    pub fn terminated(&self, record: &Record, now: Instant) -> BTreeSet<InstanceId> {
        self.liveness.terminated(record, &self.limits, now)
    }

    /// Returns the instances that are suspected.
    pub fn suspected(&self) -> impl Iterator<Item = InstanceId> {
        self.suspected.keys().copied()
    }
}
