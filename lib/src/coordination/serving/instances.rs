//! The other instances: how many there are, for limits that are divided among them, and which of
//! them is closer to the leafs of a query.
//!
//! A shard without a leaf in the own failure domain costs a call across domains. Several such shards
//! are handed over together to an instance that has leafs of them in its domain: one exchange
//! crosses instead of one per shard. Bytes between domains are billed, and a handover costs one
//! round trip.
//!
//! With many instances, each sees little of a leaf and may hold few connections to it. Each failure
//! domain then has one owner per shard, chosen by rendezvous hashing: it knows the leafs well, and
//! a query over many shards is worked on by many instances at once.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64;

use super::fleet::Fleet;

/// An instance whose registration is gone counts for this long. It may still run, cut off from the
/// store, and a number that is too high only makes the others more careful.
const MEMORY: Duration = Duration::from_mins(1);

/// The smallest number of shards that is handed over. A handover moves about as many bytes as two
/// calls.
const MIN_SHARDS: usize = 3;

/// Pauses after a failed handover, doubled with every further failure up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Where an instance can be reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Its failure domain.
    pub domain: Box<str>,
    /// Where it accepts queries of other instances.
    pub address: SocketAddr,
}

/// How a handover ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverOutcome {
    /// The instance answered in time.
    Answered,
    /// It refused, because it stops or has another configuration.
    Refused,
    /// It did not answer, or answered late.
    Failed,
}

/// Shards that are handed over to one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardGroup {
    /// The name of the instance.
    pub name: Box<str>,
    /// Its address.
    pub address: SocketAddr,
    /// The positions of the shards in the query.
    pub shards: Vec<usize>,
}

#[derive(Clone, Debug)]
struct Instance {
    location: Option<Location>,
    hash: u64,
    // When the registration vanished, if it did.
    gone: Option<Instant>,
    in_flight: usize,
    failures: u32,
    paused_until: Option<Instant>,
}

impl Instance {
    fn is_open(&self, now: Instant) -> bool {
        self.gone.is_none() && self.paused_until.is_none_or(|until| now >= until)
    }
}

/// Mixes the hashes of an instance and a shard. The instance with the highest rank owns the shard,
/// so a lost instance only moves its own shards.
fn rank(instance: u64, shard: u64) -> u64 {
    // The finalizer of SplitMix64.
    let mut mixed = instance ^ shard.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The registered instances.
#[derive(Clone, Debug)]
pub struct Instances {
    own_name: Box<str>,
    own_domain: Box<str>,
    names: HashMap<Box<str>, Instance>,
}

impl Instances {
    /// Creates the view of an instance that has read no registrations.
    #[must_use]
    pub fn new(own_name: Box<str>, own_domain: Box<str>) -> Self {
        Self {
            own_name,
            own_domain,
            names: HashMap::new(),
        }
    }

    /// Records that an instance is registered. Without a location it takes no handovers.
    pub fn add(&mut self, name: &str, location: Option<Location>) {
        let instance = Instance {
            location,
            hash: xxh3_64(name.as_bytes()),
            gone: None,
            in_flight: 0,
            failures: 0,
            paused_until: None,
        };
        self.names.insert(name.into(), instance);
    }

    /// Records that the registration of an instance is gone.
    pub fn remove(&mut self, name: &str, now: Instant) {
        if let Some(instance) = self.names.get_mut(name) {
            instance.gone.get_or_insert(now);
        }
    }

    /// Counts the instances.
    #[must_use]
    pub fn count(&self, now: Instant) -> usize {
        self.names
            .values()
            .filter(|instance| {
                instance
                    .gone
                    .is_none_or(|gone| now.saturating_duration_since(gone) < MEMORY)
            })
            .count()
    }

    /// Divides the shards without a leaf in the own failure domain among instances that have leafs
    /// of them in theirs. Shards that nobody covers stay with this instance, as do those that are not
    /// among the positions `asked`. `jitter` in 0..1 spreads handovers over equally good instances.
    #[must_use]
    pub fn assign(
        &self,
        fleet: &Fleet,
        shards: &[Box<str>],
        asked: &[usize],
        now: Instant,
        jitter: f32,
    ) -> Vec<ShardGroup> {
        let mut open: Vec<usize> = asked
            .iter()
            .copied()
            .filter(|shard| !fleet.covers(&shards[*shard], &self.own_domain, now))
            .collect();
        let mut groups = Vec::new();
        let mut domains: Vec<&str> = self
            .takers(now)
            .map(|(_, _, location)| &*location.domain)
            .collect();
        domains.sort_unstable();
        domains.dedup();
        while open.len() >= MIN_SHARDS {
            let best = domains
                .iter()
                .map(|domain| {
                    let covered = |shard: &usize| fleet.covers(&shards[*shard], domain, now);
                    (open.iter().copied().filter(covered).collect(), *domain)
                })
                .max_by_key(|(covered, _): &(Vec<usize>, &str)| covered.len());
            let Some((covered, domain)) = best.filter(|best| best.0.len() >= MIN_SHARDS) else {
                break;
            };
            let Some((name, address)) = self.taker(domain, now, jitter) else {
                break;
            };
            open.retain(|shard| !covered.contains(shard));
            groups.push(ShardGroup {
                name,
                address,
                shards: covered,
            });
        }
        groups
    }

    /// Counts the failure domains that have instances.
    #[must_use]
    pub fn domains(&self) -> usize {
        let mut domains: Vec<&str> = self
            .names
            .values()
            .filter_map(|instance| Some(&*instance.location.as_ref()?.domain))
            .collect();
        domains.sort_unstable();
        domains.dedup();
        domains.len()
    }

    /// Divides the shards at the positions `asked` among their owners in the own failure domain.
    /// Shards that this instance owns stay with it, as do all while it knows of no other.
    #[must_use]
    pub fn assign_to_owners(
        &self,
        shards: &[Box<str>],
        asked: &[usize],
        now: Instant,
    ) -> Vec<ShardGroup> {
        let members: Vec<(&Box<str>, &Instance, &Location)> = self
            .names
            .iter()
            .filter_map(|(name, instance)| Some((name, instance, instance.location.as_ref()?)))
            .filter(|(name, instance, location)| {
                location.domain == self.own_domain
                    && (**name == self.own_name || instance.is_open(now))
            })
            .collect();
        let mut groups: HashMap<&str, ShardGroup> = HashMap::new();
        for position in asked.iter().copied() {
            let hash = xxh3_64(shards[position].as_bytes());
            let owner = members
                .iter()
                .max_by_key(|(_, instance, _)| rank(instance.hash, hash));
            let Some((name, _, location)) = owner else {
                return Vec::new();
            };
            if **name == self.own_name {
                continue;
            }
            let group = groups.entry(name).or_insert_with(|| ShardGroup {
                name: (*name).clone(),
                address: location.address,
                shards: Vec::new(),
            });
            group.shards.push(position);
        }
        groups.into_values().collect()
    }

    /// Iterates over the instances of other failure domains that take handovers now.
    fn takers(&self, now: Instant) -> impl Iterator<Item = (&Box<str>, &Instance, &Location)> {
        self.names
            .iter()
            .filter_map(|(name, instance)| Some((name, instance, instance.location.as_ref()?)))
            .filter(move |(name, instance, location)| {
                **name != self.own_name
                    && location.domain != self.own_domain
                    && instance.is_open(now)
            })
    }

    /// Chooses the instance of a failure domain with the fewest handovers in progress.
    fn taker(&self, domain: &str, now: Instant, jitter: f32) -> Option<(Box<str>, SocketAddr)> {
        let mut takers: Vec<_> = self
            .takers(now)
            .filter(|(_, _, location)| &*location.domain == domain)
            .collect();
        let least = takers
            .iter()
            .map(|(_, instance, _)| instance.in_flight)
            .min()?;
        takers.retain(|(_, instance, _)| instance.in_flight == least);
        takers.sort_unstable_by_key(|(name, _, _)| *name);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "the product lies between 0 and the number of takers"
        )]
        let index = (jitter * takers.len() as f32) as usize;
        let (name, _, location) = takers.get(index.min(takers.len() - 1))?;
        Some(((*name).clone(), location.address))
    }

    /// Records that shards are handed over.
    pub fn on_sent(&mut self, name: &str) {
        if let Some(instance) = self.names.get_mut(name) {
            instance.in_flight += 1;
        }
    }

    /// Records the end of a handover.
    pub fn on_end(&mut self, name: &str, handover: HandoverOutcome, now: Instant) {
        let Some(instance) = self.names.get_mut(name) else {
            return;
        };
        instance.in_flight = instance.in_flight.saturating_sub(1);
        match handover {
            HandoverOutcome::Answered => {
                instance.failures = 0;
                instance.paused_until = None;
            }
            HandoverOutcome::Refused => instance.paused_until = Some(now + FIRST_PAUSE),
            HandoverOutcome::Failed => {
                let pause = FIRST_PAUSE * 2_u32.saturating_pow(instance.failures.min(8));
                instance.failures += 1;
                instance.paused_until = Some(now + pause.min(LONGEST_PAUSE));
            }
        }
    }
}
