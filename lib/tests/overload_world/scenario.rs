//! What a run consists of: queries, loads and leafs.

use std::time::Duration;

use camphorhold::coordination::serving::fleet::LeafLimits;
use camphorhold::coordination::serving::retry_budget::Bound;

use super::leaf;

pub const SHARDS: usize = 20;
pub const LEAFS_PER_SHARD: usize = 3;
pub const SPEEDS: [f64; LEAFS_PER_SHARD] = [0.8, 1.0, 1.3];
pub const MIN_COVERAGE: f64 = 0.9;
/// Few enough connections that shards have owners.
pub const LIMITS: LeafLimits = LeafLimits {
    max_connections: 64,
    cold_rate: None,
};
/// The time of one message, in microseconds.
pub const HOP: u64 = 500;
pub const BOUND: Bound = Bound {
    ratio: 0.2,
    extra: 60.0,
    window: Duration::from_secs(10),
};

/// A kind of query.
#[derive(Clone, Copy)]
pub struct Kind {
    pub priority: u32,
    pub work: u64,
    pub objective: u64,
}

pub const KINDS: [Kind; 2] = [
    Kind {
        priority: 0,
        work: 9_000,
        objective: 80_000,
    },
    Kind {
        priority: 1,
        work: 28_000,
        objective: 300_000,
    },
];

/// The share of the capacity that urgent queries ask for, whatever the load.
pub const URGENT_LOAD: f64 = 0.3;

/// What a run consists of.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub instances: usize,
    // The failure domains. Each has a leaf of each shard, unless there are more than leafs.
    pub domains: usize,
    pub load: f64,
    pub admission: bool,
    pub pauses: bool,
    // Queries that arrive in these times count, in seconds.
    pub counted: (u64, u64),
    // The load ends at this second, after which it is 0.5.
    pub ends: u64,
    pub seed: u64,
}

/// What became of the queries of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub offered: u32,
    pub in_time: u32,
    pub late: u32,
    /// Refused before a leaf had worked for them.
    pub refused: u32,
    /// Of these, after more than 20 ms.
    pub refused_late: u32,
    /// Failed after a leaf had begun.
    pub wasted: u32,
}

/// Returns the work that the leafs of a shard can do, in seconds per second.
pub fn capacity(pauses: bool) -> f64 {
    let share = if pauses { 1.0 - leaf::PAUSE_SHARE } else { 1.0 };
    SPEEDS.iter().sum::<f64>() * 2.0 * share
}
