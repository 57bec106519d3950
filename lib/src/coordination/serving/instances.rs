//! The other instances: their number, by which shared limits are divided, and the choice of
//! instances that take over shards of a query.
//!
//! A shard without a leaf in this instance's failure domain needs a call across domains. Several
//! such shards are handed over together to an instance whose domain has their leafs, so that one
//! exchange crosses the domain boundary instead of one per shard. Bytes between domains are billed,
//! and a handover costs one round trip.
//!
//! If there are many instances, each of them makes few calls to a leaf and may hold few connections
//! to it. Each failure domain then has one owner per shard, chosen by rendezvous hashing. The owner
//! makes all calls of its domain to the shard, so it has good measurements of the leafs, and many
//! instances work on a query over many shards at the same time. Shards without a leaf in the domain
//! of the caller's instance go to a coordinator in a domain that has their leafs, which divides them
//! among the owners there: one exchange per query crosses the domain boundary, whatever the number
//! of shards.
//!
//! An instance with little traffic would notice only by lost queries that another one is silent.
//! Therefore the answer to a handover names the instances that have just failed the answering one,
//! and two such reports have the effect of a failure of one's own.

mod candidates;
mod instance;
mod readers;
mod relay;
mod rendezvous;
mod upstream;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64;

pub use self::instance::Capacity;
use self::instance::Instance;
pub use self::instance::Location;
pub use self::readers::Readers;
use self::rendezvous::combine;
use self::rendezvous::rank;
pub use self::upstream::UpstreamFailures;
pub use self::upstream::Upstreams;
use super::fleet::Fleet;
use super::rate_limit::Precedence;

/// The smallest number of shards that is handed over to another failure domain. A handover
/// transfers about as many bytes as two calls.
const MIN_SHARDS: usize = 3;

/// How long an instance gets no handovers after it refused one, or after the first one that failed.
/// Every further failure doubles the pause, up to [`MAX_PAUSE`].
const INITIAL_PAUSE: Duration = Duration::from_millis(500);
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// How many shards may be requested a second time because the instance that has them is late, for
/// each handed-over shard. When all instances are slow, further calls would slow them down more.
const HEDGES_PER_SHARD: f32 = 0.01;

/// The most shards that an instance saves up for hedges of handovers: the groups of three
/// coordinators, for a failure domain that is cut off.
const MAX_HEDGE_CREDIT: f32 = 120.0;

/// The same for an instance that has just started. All instances may start at the same time, and
/// are slow while they open their connections.
const INITIAL_HEDGE_CREDIT: f32 = 20.0;

/// The most instances that one answer reports.
const MAX_REPORTED: usize = 32;

/// The power of an instance's capacity that is its weight as a coordinator. A coordinator's work takes
/// little of any instance's time, but delays the whole query, so nearly all of it goes to large ones.
const COORDINATOR_WEIGHT_EXPONENT: i32 = 4;

/// How a handover ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverOutcome {
    /// The instance answered in time, with or without a result.
    Answered,
    /// It refused the query, because it is not serving or has another configuration version.
    Refused,
    /// It could not be reached, or did not answer in time.
    Failed,
    /// The query ended before the answer was due, which says nothing about the instance.
    Abandoned,
}

/// What an instance does with the shards that another one has handed over to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverRole {
    /// It calls their leafs, which are in its failure domain and not in that of the sender.
    Caller,
    /// It calls their leafs as their owner in the failure domain that it shares with the sender.
    Owner,
    /// It divides them among their owners in its failure domain and merges the answers.
    Coordinator,
}

/// The shards of a query that are handed over to one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardGroup {
    /// The name of the instance that takes them over.
    pub name: Box<str>,
    /// Its peer address.
    pub address: SocketAddr,
    /// What it does with them.
    pub role: HandoverRole,
    /// The positions of the shards in the query.
    pub shards: Vec<usize>,
}

#[expect(clippy::cast_precision_loss, reason = "a query has few shards")]
fn shard_count(shards: usize) -> f32 {
    shards as f32
}

/// The registered instances, including this one, as it reads them from the store.
#[derive(Clone, Debug)]
pub struct Instances {
    own_name: Box<str>,
    own_domain: Box<str>,
    by_name: HashMap<Box<str>, Instance>,
    // How many handed-over shards may be requested a second time now.
    hedge_credit: f32,
    // Counts the changes of registrations.
    generation: u64,
}

impl Instances {
    /// Creates the list of an instance that has read no registrations yet.
    #[must_use]
    pub fn new(own_name: Box<str>, own_domain: Box<str>) -> Self {
        Self {
            own_name,
            own_domain,
            by_name: HashMap::new(),
            hedge_credit: INITIAL_HEDGE_CREDIT,
            generation: 0,
        }
    }

    /// Returns a number that changes with the registrations.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Records the registration of an instance. Without a location it gets no handovers. Earlier
    /// failures of handovers to the instance are forgotten.
    pub fn add(&mut self, name: &str, location: Option<Location>) {
        let instance = Instance {
            location,
            hash: xxh3_64(name.as_bytes()),
            removed_at: None,
            in_flight: 0,
            failures: 0,
            paused_until: None,
            reports: Vec::new(),
        };
        self.by_name.insert(name.into(), instance);
        self.generation += 1;
    }

    /// Records that the registration of an instance is gone. It gets no further handovers, but
    /// still counts for a minute. Forgets those that no longer count.
    pub fn remove(&mut self, name: &str, now: Instant) {
        self.generation += 1;
        self.by_name.retain(|_, instance| instance.counts(now));
        if let Some(instance) = self.by_name.get_mut(name) {
            instance.removed_at.get_or_insert(now);
        }
    }

    /// Returns the number of instances, including those that lost their registration within the
    /// last minute.
    #[must_use]
    pub fn count(&self, now: Instant) -> usize {
        self.by_name
            .values()
            .filter(|instance| instance.counts(now))
            .count()
    }

    /// Assigns shards without a usable leaf in this instance's failure domain to instances whose
    /// domain has one. `asked` holds the shards to consider, each with its position in the query.
    /// Shards that are in no returned group stay with this instance. `jitter` in 0..1 spreads
    /// handovers over instances with equally few handovers in progress.
    #[must_use]
    pub fn assign(
        &self,
        fleet: &Fleet,
        asked: &[(usize, &str)],
        now: Instant,
        jitter: f32,
    ) -> Vec<ShardGroup> {
        let role = HandoverRole::Caller;
        self.group_by_domain(fleet, asked, now, role, None, |domain| {
            self.choose_target(domain, now, jitter)
        })
    }

    /// Assigns shards without a usable leaf in this instance's failure domain to coordinators in
    /// domains that have one, as [`Self::assign`] does. An instance keeps to the same coordinator of
    /// a domain while that one is available, so that the connection between them is reused.
    #[must_use]
    pub fn assign_to_coordinators(
        &self,
        fleet: &Fleet,
        asked: &[(usize, &str)],
        now: Instant,
    ) -> Vec<ShardGroup> {
        let role = HandoverRole::Coordinator;
        self.group_by_domain(fleet, asked, now, role, None, |domain| {
            self.choose_coordinator(domain, now)
        })
    }

    /// Groups the shards without a usable leaf in this instance's failure domain by another domain
    /// that has one and is not `avoided`, and assigns each group of at least [`MIN_SHARDS`] to the
    /// instance that `choose` returns for the domain.
    fn group_by_domain<F>(
        &self,
        fleet: &Fleet,
        asked: &[(usize, &str)],
        now: Instant,
        role: HandoverRole,
        avoided: Option<&str>,
        choose: F,
    ) -> Vec<ShardGroup>
    where
        F: Fn(&str) -> Option<(Box<str>, SocketAddr)>,
    {
        let mut open: Vec<(usize, &str)> = asked
            .iter()
            .copied()
            .filter(|(_, shard)| !fleet.covers(shard, &self.own_domain, now))
            .collect();
        if open.len() < MIN_SHARDS {
            return Vec::new();
        }
        let mut groups = Vec::new();
        let mut domains: Vec<&str> = self
            .handover_targets(now)
            .map(|(_, _, location)| &*location.domain)
            .filter(|domain| avoided != Some(*domain))
            .collect();
        domains.sort_unstable();
        domains.dedup();
        let own_hash = xxh3_64(self.own_name.as_bytes());
        while open.len() >= MIN_SHARDS {
            let best = domains
                .iter()
                .map(|domain| {
                    let covered = |shard: &(usize, &str)| fleet.covers(shard.1, domain, now);
                    let covered: Vec<usize> = open
                        .iter()
                        .filter(|shard| covered(shard))
                        .map(|(position, _)| *position)
                        .collect();
                    (covered, *domain)
                })
                // Different instances prefer different domains among equally good ones, so that
                // the load is divided among the leafs of a shard.
                .max_by_key(|(covered, domain)| {
                    (covered.len(), combine(own_hash, xxh3_64(domain.as_bytes())))
                });
            let Some((covered, domain)) = best.filter(|best| best.0.len() >= MIN_SHARDS) else {
                break;
            };
            let Some((name, address)) = choose(domain) else {
                break;
            };
            open.retain(|(position, _)| covered.binary_search(position).is_err());
            groups.push(ShardGroup {
                name,
                address,
                role,
                shards: covered,
            });
        }
        groups
    }

    /// Assigns the shards of a group that a coordinator is late with to coordinators in further
    /// failure domains. Shards without a leaf there are in no returned group.
    #[must_use]
    pub fn assign_elsewhere(
        &self,
        fleet: &Fleet,
        late: &ShardGroup,
        asked: &[(usize, &str)],
        now: Instant,
    ) -> Vec<ShardGroup> {
        let late_location = self.by_name.get(&late.name);
        let late_domain = late_location
            .and_then(|instance| instance.location.as_ref())
            .map(|location| &location.domain);
        let late_domain = late_domain.map(|domain| &**domain);
        let role = HandoverRole::Coordinator;
        self.group_by_domain(fleet, asked, now, role, late_domain, |domain| {
            self.choose_coordinator(domain, now)
        })
    }

    /// Takes a hedge of a handover of that many shards from those that are permitted. Returns
    /// whether it was.
    pub fn take_hedge(&mut self, shards: usize) -> bool {
        let cost = shard_count(shards);
        let permitted = self.hedge_credit >= cost;
        if permitted {
            self.hedge_credit -= cost;
        }
        permitted
    }

    /// Returns the number of failure domains with instances. Instances without a location are left
    /// out; those that lost their registration are included.
    #[must_use]
    pub fn domains(&self) -> usize {
        let mut domains: Vec<&str> = self
            .by_name
            .values()
            .filter_map(|instance| Some(&*instance.location.as_ref()?.domain))
            .collect();
        domains.sort_unstable();
        domains.dedup();
        domains.len()
    }

    /// Assigns shards to their owners in this instance's failure domain. `asked` holds the shards,
    /// each with its position in the query. Shards that this instance owns are in no group, nor is
    /// any shard while it knows no other instance in its domain.
    #[must_use]
    pub fn assign_to_owners(&self, asked: &[(usize, &str)], now: Instant) -> Vec<ShardGroup> {
        let members: Vec<(&Box<str>, &Instance, &Location)> = self
            .by_name
            .iter()
            .filter_map(|(name, instance)| Some((name, instance, instance.location.as_ref()?)))
            .filter(|(name, instance, location)| {
                location.domain == self.own_domain
                    && (**name == self.own_name || instance.is_open(now))
            })
            .collect();
        let mut groups: HashMap<&str, ShardGroup> = HashMap::new();
        for (position, shard) in asked {
            let hash = xxh3_64(shard.as_bytes());
            let ranked = members.iter().map(|member| {
                let (_, instance, location) = member;
                (member, rank(instance.hash, hash, location.capacity.cores()))
            });
            let owner = ranked
                .max_by(|(_, a), (_, b)| a.total_cmp(b))
                .map(|(member, _)| member);
            let Some((name, _, location)) = owner else {
                return Vec::new();
            };
            if **name == self.own_name {
                continue;
            }
            let group = groups.entry(name).or_insert_with(|| ShardGroup {
                name: (*name).clone(),
                address: location.address,
                role: HandoverRole::Owner,
                shards: Vec::new(),
            });
            group.shards.push(*position);
        }
        groups.into_values().collect()
    }

    /// Returns the registered instance that grants the tokens of a limited leaf, with its name and
    /// peer address: the first choice, or the next one if that is `excluded`. Instances in the
    /// leaf's failure domain come first, because most of the leaf's calls come from there. Returns
    /// `None` if none is left.
    #[must_use]
    pub fn grantor<F>(&self, leaf: &str, domain: &str, excluded: F) -> Option<(&str, SocketAddr)>
    where
        F: Fn(&str) -> bool,
    {
        let hash = xxh3_64(leaf.as_bytes());
        self.by_name
            .iter()
            .filter(|(name, instance)| instance.removed_at.is_none() && !excluded(name))
            .filter_map(|(name, instance)| Some((name, instance, instance.location.as_ref()?)))
            .map(|(name, instance, location)| {
                let rank = rank(instance.hash, hash, location.capacity.cores());
                (name, location, (&*location.domain == domain, rank))
            })
            .max_by(|(_, _, a), (_, _, b)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))
            .map(|(name, location, _)| (&**name, location.address))
    }

    /// Iterates over the addresses of the other instances that know this version of the messages.
    pub fn others(&self, protocol: u32) -> impl Iterator<Item = SocketAddr> {
        let registered = self
            .by_name
            .iter()
            .filter(|(name, instance)| instance.removed_at.is_none() && **name != self.own_name);
        registered
            .filter_map(|(_, instance)| instance.location.as_ref())
            .filter(move |location| location.protocol >= protocol)
            .map(|location| location.address)
    }

    /// Returns whether this instance is the first choice as the grantor of a leaf's tokens, or
    /// replaces another one.
    #[must_use]
    pub fn grantor_precedence(&self, leaf: &str, domain: &str) -> Precedence {
        match self.grantor(leaf, domain, |_| false) {
            Some((name, _)) if *name == *self.own_name => Precedence::First,
            Some(_) | None => Precedence::Substitute,
        }
    }

    /// Iterates over the instances of other failure domains that may get handovers now.
    fn handover_targets(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&Box<str>, &Instance, &Location)> {
        self.by_name
            .iter()
            .filter_map(|(name, instance)| Some((name, instance, instance.location.as_ref()?)))
            .filter(move |(name, instance, location)| {
                **name != self.own_name
                    && location.domain != self.own_domain
                    && instance.is_open(now)
            })
    }

    /// Returns the instance of a failure domain to which this instance has the fewest handovers in
    /// progress.
    fn choose_target(
        &self,
        domain: &str,
        now: Instant,
        jitter: f32,
    ) -> Option<(Box<str>, SocketAddr)> {
        let mut handover_targets: Vec<_> = self
            .handover_targets(now)
            .filter(|(_, _, location)| &*location.domain == domain)
            .collect();
        let least = handover_targets
            .iter()
            .map(|(_, instance, _)| instance.in_flight)
            .min()?;
        handover_targets.retain(|(_, instance, _)| instance.in_flight == least);
        handover_targets.sort_unstable_by_key(|(name, _, _)| *name);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "the product lies between 0 and the number of targets"
        )]
        let index = (jitter * handover_targets.len() as f32) as usize;
        let (name, _, location) = handover_targets.get(index.min(handover_targets.len() - 1))?;
        Some(((*name).clone(), location.address))
    }

    /// Returns the instance of a failure domain that coordinates this instance's queries there. The
    /// work of a coordinator delays the whole query, so large instances are preferred beyond their
    /// capacity.
    fn choose_coordinator(&self, domain: &str, now: Instant) -> Option<(Box<str>, SocketAddr)> {
        let own_hash = xxh3_64(self.own_name.as_bytes());
        self.handover_targets(now)
            .filter(|(_, _, location)| &*location.domain == domain)
            .map(|(name, instance, location)| {
                let weight = location.capacity.cores().powi(COORDINATOR_WEIGHT_EXPONENT);
                (name, location, rank(instance.hash, own_hash, weight))
            })
            .max_by(|(_, _, a), (_, _, b)| a.total_cmp(b))
            .map(|(name, location, _)| (name.clone(), location.address))
    }

    /// Records the start of a handover of that many shards to an instance.
    pub fn on_sent(&mut self, name: &str, shards: usize) {
        let credit = self.hedge_credit + shard_count(shards) * HEDGES_PER_SHARD;
        self.hedge_credit = credit.min(MAX_HEDGE_CREDIT);
        if let Some(instance) = self.by_name.get_mut(name) {
            instance.in_flight += 1;
        }
    }

    /// Returns the names of the instances that have failed handovers of this one and are not asked
    /// for now. What others have reported is left out, so that a report ends with its cause.
    pub fn failed(&self, now: Instant) -> impl Iterator<Item = &str> {
        self.by_name
            .iter()
            .filter(move |(_, instance)| instance.failures > 0 && instance.is_paused(now))
            .map(|(name, _)| &**name)
            .take(MAX_REPORTED)
    }

    /// Records the report of the instance `reporter` that another one has failed its handovers.
    pub fn on_report(&mut self, reporter: &str, failed: &str, now: Instant) {
        if let Some(instance) = self.by_name.get_mut(failed) {
            instance.on_report(xxh3_64(reporter.as_bytes()), now);
        }
    }

    /// Records the outcome of a handover to an instance, which determines when it gets the next
    /// one.
    pub fn on_end(&mut self, name: &str, outcome: HandoverOutcome, now: Instant) {
        let Some(instance) = self.by_name.get_mut(name) else {
            return;
        };
        instance.in_flight = instance.in_flight.saturating_sub(1);
        match outcome {
            HandoverOutcome::Answered => {
                instance.failures = 0;
                instance.paused_until = None;
                instance.reports.clear();
            }
            HandoverOutcome::Abandoned => {}
            HandoverOutcome::Refused => instance.paused_until = Some(now + INITIAL_PAUSE),
            HandoverOutcome::Failed => {
                let pause = INITIAL_PAUSE * 2_u32.saturating_pow(instance.failures.min(8));
                instance.failures += 1;
                instance.paused_until = Some(now + pause.min(MAX_PAUSE));
            }
        }
    }
}
