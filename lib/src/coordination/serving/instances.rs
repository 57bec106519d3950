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
//! instances work on a query over many shards at the same time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64;

use super::fleet::Fleet;

/// How long an instance still counts after its registration is gone. It may still run without a
/// connection to the store, and a count that is too high only makes the divided limits stricter.
const COUNTED_AFTER_REMOVAL: Duration = Duration::from_mins(1);

/// The smallest number of shards that is handed over to another failure domain. A handover
/// transfers about as many bytes as two calls.
const MIN_SHARDS: usize = 3;

/// How long an instance gets no handovers after it refused one, or after the first one that failed.
/// Every further failure doubles the pause, up to [`MAX_PAUSE`].
const INITIAL_PAUSE: Duration = Duration::from_millis(500);
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// The failure domain and the peer address of an instance, as it registered them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// The failure domain that the instance runs in.
    pub domain: Box<str>,
    /// The address at which it accepts queries of other instances.
    pub address: SocketAddr,
}

/// How a handover ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverOutcome {
    /// The instance answered in time, with or without a result.
    Answered,
    /// It refused the query, because it is not serving or has another configuration version.
    Refused,
    /// It could not be reached, or did not answer in time.
    Failed,
}

/// The shards of a query that are handed over to one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardGroup {
    /// The name of the instance that takes them over.
    pub name: Box<str>,
    /// Its peer address.
    pub address: SocketAddr,
    /// The positions of the shards in the query.
    pub shards: Vec<usize>,
}

#[derive(Clone, Debug)]
struct Instance {
    location: Option<Location>,
    hash: u64,
    // When the registration was removed from the store.
    removed_at: Option<Instant>,
    in_flight: usize,
    failures: u32,
    paused_until: Option<Instant>,
}

impl Instance {
    fn is_open(&self, now: Instant) -> bool {
        self.removed_at.is_none() && self.paused_until.is_none_or(|until| now >= until)
    }
}

/// Combines the hashes of an instance and a shard (rendezvous hashing). The instance with the
/// highest rank owns the shard, so if an instance is lost, only its own shards get another owner.
fn rank(instance: u64, shard: u64) -> u64 {
    // The finalizer of SplitMix64.
    let mut mixed = instance ^ shard.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The registered instances, including this one, as it reads them from the store.
#[derive(Clone, Debug)]
pub struct Instances {
    own_name: Box<str>,
    own_domain: Box<str>,
    by_name: HashMap<Box<str>, Instance>,
}

impl Instances {
    /// Creates the list of an instance that has read no registrations yet.
    #[must_use]
    pub fn new(own_name: Box<str>, own_domain: Box<str>) -> Self {
        Self {
            own_name,
            own_domain,
            by_name: HashMap::new(),
        }
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
        };
        self.by_name.insert(name.into(), instance);
    }

    /// Records that the registration of an instance is gone. It gets no further handovers, but
    /// still counts for a minute.
    pub fn remove(&mut self, name: &str, now: Instant) {
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
            .filter(|instance| {
                instance.removed_at.is_none_or(|removed_at| {
                    now.saturating_duration_since(removed_at) < COUNTED_AFTER_REMOVAL
                })
            })
            .count()
    }

    /// Assigns shards without a usable leaf in this instance's failure domain to instances whose
    /// domain has one. Only the shards at the positions `asked` are considered. Shards that are in
    /// no returned group stay with this instance. `jitter` in 0..1 spreads handovers over instances
    /// with equally few handovers in progress.
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
            .handover_targets(now)
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
            let Some((name, address)) = self.choose_target(domain, now, jitter) else {
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

    /// Assigns the shards at the positions `asked` to their owners in this instance's failure
    /// domain. Shards that this instance owns are in no group, nor is any shard while it knows no
    /// other instance in its domain.
    #[must_use]
    pub fn assign_to_owners(
        &self,
        shards: &[Box<str>],
        asked: &[usize],
        now: Instant,
    ) -> Vec<ShardGroup> {
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

    /// Records the start of a handover to an instance.
    pub fn on_sent(&mut self, name: &str) {
        if let Some(instance) = self.by_name.get_mut(name) {
            instance.in_flight += 1;
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
            }
            HandoverOutcome::Refused => instance.paused_until = Some(now + INITIAL_PAUSE),
            HandoverOutcome::Failed => {
                let pause = INITIAL_PAUSE * 2_u32.saturating_pow(instance.failures.min(8));
                instance.failures += 1;
                instance.paused_until = Some(now + pause.min(MAX_PAUSE));
            }
        }
    }
}
