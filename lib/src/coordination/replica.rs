//! Per-leaf statistics of one entry instance, and the choice among the replicas of a shard.
//!
//! Leafs are numbered from 0 without gaps per service version, so that a lookup is one indexed
//! read. No method allocates after the table has been built.

mod choice;
mod standing;

use std::time::Duration;
use std::time::Instant;

pub use self::choice::Avoid;
pub use self::choice::Policy;
pub use self::choice::Probing;
use self::standing::Standing;
use crate::coordination::pin::Pin;
use crate::state::id::PartitionId;
use crate::state::id::ShardId;
use crate::state::id::SnapshotId;

/// Index of a leaf among the leafs of one version of a service, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeafIndex(pub u32);

/// A reason why a leaf receives no calls. Several can apply at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// The leaf reported that it is draining.
    Draining = 1,
    /// Its failure domain is out of service.
    OutOfService = 2,
    /// The configuration file or the instance list marks the leaf as leaving.
    Leaving = 4,
    /// No instance that owns the leaf is permitted to call it.
    Unowned = 8,
}

/// The most snapshots recorded per leaf; the newest ones are kept. Backend servers keep a
/// superseded snapshot for twice the longest deadline, so a leaf holds more than three only if
/// several new snapshots appear within that time.
pub const MAX_HELD_SNAPSHOTS: usize = 4;

/// Weights of a new sample in the fast and in the slow moving average of latency.
const FAST_WEIGHT: f32 = 1.0 / 4.0;
const SLOW_WEIGHT: f32 = 1.0 / 32.0;

/// A sample counts as at most this multiple of the lower estimate. Without the bound a single
/// straggler would make a healthy replica look slow. The lower estimate is the reference because a
/// straggler among the first samples inflates the slow estimate for a long time.
const OUTLIER_FACTOR: f32 = 4.0;

/// An estimate whose last sample is older than this is ignored. A replica that is not chosen gets
/// no samples, and would otherwise keep an outdated estimate forever.
const ESTIMATE_LIFETIME: Duration = Duration::from_secs(10);

/// Measurements and state of one leaf. The estimates `fast` and `slow` are in microseconds; 0 means
/// that there is no sample yet.
#[derive(Clone, Debug)]
struct Stats {
    fast: f32,
    slow: f32,
    in_flight: u32,
    samples: u32,
    exclusions: u8,
    failure_points: u8,
    unanswered: u8,
    held_count: u8,
    standing: Standing,
    last_sample: Instant,
    partition: PartitionId,
    held: [SnapshotId; MAX_HELD_SNAPSHOTS],
    advertised: Advertised,
}

/// Load figures that a leaf reports about itself. Only [`Policy::RankSum`] uses them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Advertised {
    /// Requests in progress at the leaf, from all instances.
    pub load: u32,
    /// Clients connected to the leaf.
    pub clients: u32,
}

impl Stats {
    fn new(now: Instant) -> Self {
        Self {
            fast: 0.0,
            slow: 0.0,
            in_flight: 0,
            samples: 0,
            exclusions: 0,
            failure_points: 0,
            unanswered: 0,
            held_count: 0,
            standing: Standing::Normal,
            last_sample: now,
            partition: PartitionId::default(),
            held: [SnapshotId::default(); MAX_HELD_SNAPSHOTS],
            advertised: Advertised::default(),
        }
    }

    /// Returns the estimated latency in microseconds, or 0 if there is no recent sample. The
    /// estimate is the larger of the two averages, which rises quickly and falls slowly.
    fn latency(&self, now: Instant) -> f32 {
        if now.saturating_duration_since(self.last_sample) > ESTIMATE_LIFETIME {
            return 0.0;
        }
        self.fast.max(self.slow)
    }

    fn add_sample(&mut self, now: Instant, latency: Duration) {
        let micros = (latency.as_secs_f32() * 1e6).max(1.0);
        self.last_sample = now;
        self.samples = self.samples.saturating_add(1);
        if self.slow <= 0.0 {
            (self.fast, self.slow) = (micros, micros);
            return;
        }
        let bounded = micros.min(self.fast.min(self.slow) * OUTLIER_FACTOR);
        self.fast += (bounded - self.fast) * FAST_WEIGHT;
        self.slow += (bounded - self.slow) * SLOW_WEIGHT;
    }
}

/// The leafs of one version of a service, by shard, with their statistics.
#[derive(Clone, Debug)]
pub struct Table {
    leafs: Vec<Stats>,
    shard_of: Vec<ShardId>,
    // The replicas of shard s are `replicas[starts[s]..starts[s + 1]]`.
    starts: Vec<u32>,
    replicas: Vec<LeafIndex>,
    policy: Policy,
}

impl Table {
    /// Creates a table for `shards` shards; leaf `i` serves the shard `leaf_shards[i]`. Leafs hold
    /// no snapshot until [`Table::set_held`] is called. Leafs of shards out of range are never
    /// chosen.
    #[must_use]
    pub fn new(shards: u32, leaf_shards: &[ShardId], now: Instant) -> Self {
        let mut starts = Vec::with_capacity(shards as usize + 1);
        let mut replicas = Vec::with_capacity(leaf_shards.len());
        let mut order: Vec<u32> = (0..).take(leaf_shards.len()).collect();
        order.sort_by_key(|leaf| leaf_shards[*leaf as usize]);
        let mut next = order.into_iter().peekable();
        for shard in (0..shards).map(ShardId) {
            starts.push(u32::try_from(replicas.len()).unwrap_or(u32::MAX));
            while let Some(leaf) = next.next_if(|leaf| leaf_shards[*leaf as usize] == shard) {
                replicas.push(LeafIndex(leaf));
            }
        }
        starts.push(u32::try_from(replicas.len()).unwrap_or(u32::MAX));
        Self {
            leafs: vec![Stats::new(now); leaf_shards.len()],
            shard_of: leaf_shards.to_vec(),
            starts,
            replicas,
            policy: Policy::ExpectedDelay,
        }
    }

    /// Replaces the default policy, [`Policy::ExpectedDelay`], for comparison in experiments.
    #[must_use]
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Returns the number of shards.
    #[must_use]
    pub fn shards(&self) -> usize {
        self.starts.len() - 1
    }

    /// Returns the replicas of a shard; a shard out of range has none.
    #[must_use]
    pub fn replicas(&self, shard: ShardId) -> &[LeafIndex] {
        let index = shard.0 as usize;
        match (self.starts.get(index), self.starts.get(index + 1)) {
            (Some(start), Some(end)) => &self.replicas[*start as usize..*end as usize],
            _ => &[],
        }
    }

    /// Sets or clears an exclusion. Calls in flight continue.
    ///
    /// # Panics
    ///
    /// Panics if `leaf` is out of range, like every method that takes a leaf.
    pub fn set_excluded(&mut self, leaf: LeafIndex, exclusion: Exclusion, excluded: bool) {
        let stats = self.stats_mut(leaf);
        if excluded {
            stats.exclusions |= exclusion as u8;
        } else {
            stats.exclusions &= !(exclusion as u8);
        }
    }

    /// Returns whether the leaf has no exclusion. Does not consider which snapshots it holds.
    #[must_use]
    pub fn is_usable(&self, leaf: LeafIndex) -> bool {
        self.stats(leaf).exclusions == 0
    }

    /// Replaces the snapshots that a leaf is known to hold. Only the newest
    /// [`MAX_HELD_SNAPSHOTS`] are recorded.
    pub fn set_held(&mut self, leaf: LeafIndex, partition: PartitionId, held: &[SnapshotId]) {
        let stats = self.stats_mut(leaf);
        stats.partition = partition;
        stats.held_count = 0;
        for &snapshot in held {
            let count = usize::from(stats.held_count);
            if count < MAX_HELD_SNAPSHOTS {
                stats.held[count] = snapshot;
                stats.held_count += 1;
            } else if let Some(oldest) = stats.held.iter_mut().min()
                && *oldest < snapshot
            {
                *oldest = snapshot;
            }
        }
    }

    /// Removes the snapshot of the pin from those that a leaf is known to hold, after the leaf
    /// reported that it does not hold it.
    pub fn remove_held(&mut self, leaf: LeafIndex, pin: Pin) {
        let stats = self.stats_mut(leaf);
        let count = usize::from(stats.held_count);
        let position = stats.held[..count]
            .iter()
            .position(|held| *held == pin.snapshot);
        if let Some(position) = position
            && stats.partition == pin.partition
        {
            stats.held.swap(position, count - 1);
            stats.held_count -= 1;
        }
    }

    /// Iterates over the snapshots of a partition map that a leaf is known to hold.
    pub fn held(
        &self,
        leaf: LeafIndex,
        partition: PartitionId,
    ) -> impl Iterator<Item = SnapshotId> {
        let stats = self.stats(leaf);
        let count = if stats.partition == partition {
            usize::from(stats.held_count)
        } else {
            0
        };
        stats.held[..count].iter().copied()
    }

    /// Returns whether a leaf is known to hold the snapshot of the pin for its partition map.
    #[must_use]
    pub fn holds(&self, leaf: LeafIndex, pin: Pin) -> bool {
        self.held(leaf, pin.partition)
            .any(|held| held == pin.snapshot)
    }

    /// Records the load figures that a leaf reports, for [`Policy::RankSum`].
    pub fn set_advertised(&mut self, leaf: LeafIndex, advertised: Advertised) {
        self.stats_mut(leaf).advertised = advertised;
    }

    /// Records that a call to the leaf was handed to the transport.
    pub fn on_sent(&mut self, leaf: LeafIndex) {
        self.stats_mut(leaf).in_flight += 1;
    }

    /// Records a complete answer that arrived `latency` after its call was sent. Resets the
    /// failures counted for the leaf.
    pub fn on_answer(&mut self, leaf: LeafIndex, now: Instant, latency: Duration) {
        let stats = self.stats_mut(leaf);
        stats.in_flight = stats.in_flight.saturating_sub(1);
        stats.failure_points = 0;
        stats.unanswered = 0;
        stats.add_sample(now, latency);
        self.evaluate_latency(leaf, now, latency);
    }

    /// Records that a call was cancelled after `elapsed`. The call would have taken longer, so
    /// `elapsed` counts as a sample only if it is above the estimate.
    pub fn on_cancelled(&mut self, leaf: LeafIndex, now: Instant, elapsed: Duration) {
        let stats = self.stats_mut(leaf);
        stats.in_flight = stats.in_flight.saturating_sub(1);
        if elapsed.as_secs_f32() * 1e6 > stats.fast.max(stats.slow) && stats.samples > 0 {
            stats.add_sample(now, elapsed);
            stats.unanswered = stats.unanswered.saturating_add(1);
            self.evaluate_failures(leaf, now);
            self.evaluate_latency(leaf, now, elapsed);
        }
    }

    /// Records that a leaf refused a call for a reason that does not count as a failure: it shed
    /// the call, is draining, or does not hold the snapshot.
    pub fn on_refused(&mut self, leaf: LeafIndex) {
        let stats = self.stats_mut(leaf);
        stats.in_flight = stats.in_flight.saturating_sub(1);
    }

    /// Records that a call failed. After enough failures without an answer between them, the leaf
    /// receives probes only.
    pub fn on_failure(&mut self, leaf: LeafIndex, now: Instant, failure: Failure) {
        let stats = self.stats_mut(leaf);
        stats.in_flight = stats.in_flight.saturating_sub(1);
        stats.failure_points = stats.failure_points.saturating_add(failure as u8);
        self.evaluate_failures(leaf, now);
    }

    /// Returns the number of calls in flight from this instance to a leaf.
    #[must_use]
    pub fn in_flight(&self, leaf: LeafIndex) -> u32 {
        self.stats(leaf).in_flight
    }

    /// Returns whether a leaf receives probes only, because it is slow or failed.
    #[must_use]
    pub fn is_probing(&self, leaf: LeafIndex) -> bool {
        matches!(self.stats(leaf).standing, Standing::Probing { .. })
    }

    fn stats(&self, leaf: LeafIndex) -> &Stats {
        &self.leafs[leaf.0 as usize]
    }

    fn stats_mut(&mut self, leaf: LeafIndex) -> &mut Stats {
        &mut self.leafs[leaf.0 as usize]
    }
}

/// A failed call, by the number of failure points that it adds to the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// A single request failed or timed out; the request may be at fault.
    Request = 1,
    /// The connection was reset or refused.
    Connection = 2,
}
