//! Per-leaf statistics of one entry instance, and the choice among the replicas of a shard.
//!
//! Leafs are numbered densely per service, so that a lookup is one indexed read. No call allocates
//! after the table has been built.

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

/// Numbers the leafs of one version of a service, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeafIndex(pub u32);

/// A reason why a leaf receives no work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// The leaf said that it drains.
    Draining = 1,
    /// Its failure domain is out of service.
    OutOfService = 2,
    /// The file or the instance list says that it leaves.
    Leaving = 4,
    /// No instance that may act owns it.
    Unowned = 8,
}

/// Snapshots remembered per leaf, the newest ones. Backend servers keep a superseded snapshot for
/// twice the longest deadline, so more than three at a time would need several new ones within
/// that time.
pub const MAX_HELD_SNAPSHOTS: usize = 4;

/// Weight of a new sample in the fast and in the slow estimate of latency.
const FAST_WEIGHT: f32 = 1.0 / 4.0;
const SLOW_WEIGHT: f32 = 1.0 / 32.0;

/// A sample counts as at most this many times the lower estimate. Without the bound a single
/// straggler would make a healthy replica look slow. The lower one, because a straggler among the
/// first samples stays in the slow estimate for long.
const OUTLIER_FACTOR: f32 = 4.0;

/// An estimate without a sample for this long is not used, because a replica that is not chosen
/// gets no samples and would otherwise keep an outdated estimate for good.
const ESTIMATE_LIFETIME: Duration = Duration::from_secs(10);

/// The estimates of one leaf. Latencies are in microseconds; 0 means no sample yet.
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
    sampled: Instant,
    partition: PartitionId,
    held: [SnapshotId; MAX_HELD_SNAPSHOTS],
    advertised: Advertised,
}

/// Values that a leaf advertises about itself. Only [`Policy::RankSum`] uses them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Advertised {
    /// Requests in progress.
    pub load: u32,
    /// Connected clients.
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
            sampled: now,
            partition: PartitionId::default(),
            held: [SnapshotId::default(); MAX_HELD_SNAPSHOTS],
            advertised: Advertised::default(),
        }
    }

    /// Returns the estimate in microseconds, or 0 if there is none. The larger of both estimates
    /// rises at once and falls slowly.
    fn latency(&self, now: Instant) -> f32 {
        if now.saturating_duration_since(self.sampled) > ESTIMATE_LIFETIME {
            return 0.0;
        }
        self.fast.max(self.slow)
    }

    fn add_sample(&mut self, now: Instant, latency: Duration) {
        let micros = (latency.as_secs_f32() * 1e6).max(1.0);
        self.sampled = now;
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

/// Statistics of all leafs of one version of a service.
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
    /// Creates a table for `shards` shards; leaf `i` holds the shard `leaf_shards[i]`. Leafs hold
    /// no snapshot until told otherwise. Leafs of shards out of range are never chosen.
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

    /// Replaces the rule of choice by a baseline, for comparison in experiments.
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

    /// Starts or ends an exclusion. Requests in flight are not affected.
    ///
    /// # Panics
    ///
    /// Like every method that takes a leaf, panics if the table has no such leaf.
    pub fn set_excluded(&mut self, leaf: LeafIndex, exclusion: Exclusion, excluded: bool) {
        let stats = self.stats_mut(leaf);
        if excluded {
            stats.exclusions |= exclusion as u8;
        } else {
            stats.exclusions &= !(exclusion as u8);
        }
    }

    /// Tells whether the leaf may receive work at all, whatever it holds.
    #[must_use]
    pub fn is_usable(&self, leaf: LeafIndex) -> bool {
        self.stats(leaf).exclusions == 0
    }

    /// Replaces what a leaf is known to hold. Only the newest [`MAX_HELD_SNAPSHOTS`] snapshots count.
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

    /// Removes a snapshot from what a leaf is known to hold, after it said that it lacks it.
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

    /// Iterates over the snapshots that a leaf is known to hold of a partition map.
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

    /// Tells whether a leaf is known to hold the pin. A replica that does not is mismatched.
    #[must_use]
    pub fn holds(&self, leaf: LeafIndex, pin: Pin) -> bool {
        self.held(leaf, pin.partition)
            .any(|held| held == pin.snapshot)
    }

    /// Records what a leaf advertises, for [`Policy::RankSum`].
    pub fn set_advertised(&mut self, leaf: LeafIndex, advertised: Advertised) {
        self.stats_mut(leaf).advertised = advertised;
    }

    /// Records that a call was handed to the transport.
    pub fn on_sent(&mut self, leaf: LeafIndex) {
        self.stats_mut(leaf).in_flight += 1;
    }

    /// Records a whole answer.
    pub fn on_answer(&mut self, leaf: LeafIndex, now: Instant, latency: Duration) {
        let stats = self.stats_mut(leaf);
        stats.in_flight = stats.in_flight.saturating_sub(1);
        stats.failure_points = 0;
        stats.unanswered = 0;
        stats.add_sample(now, latency);
        self.judge_latency(leaf, now, latency);
    }

    /// Records that a call was cancelled after `elapsed`. The call would have taken longer, so this
    /// counts as a sample only if it is above the estimate.
    pub fn on_cancelled(&mut self, leaf: LeafIndex, now: Instant, elapsed: Duration) {
        let stats = self.stats_mut(leaf);
        stats.in_flight = stats.in_flight.saturating_sub(1);
        if elapsed.as_secs_f32() * 1e6 > stats.fast.max(stats.slow) && stats.samples > 0 {
            stats.add_sample(now, elapsed);
            stats.unanswered = stats.unanswered.saturating_add(1);
            self.judge_failures(leaf, now);
            self.judge_latency(leaf, now, elapsed);
        }
    }

    /// Records that a leaf refused a call without a fault of its own: shed, draining, or a
    /// snapshot that it lacks.
    pub fn on_refused(&mut self, leaf: LeafIndex) {
        let stats = self.stats_mut(leaf);
        stats.in_flight = stats.in_flight.saturating_sub(1);
    }

    /// Records that a call failed. Enough failures without an answer between them leave the leaf
    /// with probes only.
    pub fn on_failure(&mut self, leaf: LeafIndex, now: Instant, failure: Failure) {
        let stats = self.stats_mut(leaf);
        stats.in_flight = stats.in_flight.saturating_sub(1);
        stats.failure_points = stats.failure_points.saturating_add(failure as u8);
        self.judge_failures(leaf, now);
    }

    /// Returns the calls of this instance in flight to a leaf.
    #[must_use]
    pub fn in_flight(&self, leaf: LeafIndex) -> u32 {
        self.stats(leaf).in_flight
    }

    /// Tells whether a leaf receives probes only.
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

/// How strongly a failure speaks against the replica: the points it adds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// A single request failed or timed out; the request may be at fault.
    Request = 1,
    /// The connection was reset or refused.
    Connection = 2,
}
