//! Adaptive limits on the number of this instance's queries in progress at each shard.
//!
//! A leaf queues the requests that exceed its slots, and a shard whose queue takes longer than the
//! latency objective answers no query in time. Each instance therefore keeps a concurrency limit
//! per shard, like the congestion window of a TCP connection: the limit grows with each answer in
//! time and shrinks with missing or late ones. A query skips the shards that are at their limit. If
//! too few shards would remain, the instance refuses the query before it calls any leaf. Instances
//! do not exchange their limits: each adapts to the load that it sees at the leafs.

use std::collections::HashMap;
use std::time::Instant;

/// The limit of a shard with no measurements yet, in queries. It admits a burst that the queues of
/// leafs can hold, and adapts within a few round trips.
const INITIAL_LIMIT: f64 = 8.0;

/// The smallest limit: one query at a time keeps probing the shard.
const MIN_LIMIT: f64 = 1.0;

/// The largest limit, in queries. It only bounds how long a limit takes to shrink again.
const MAX_LIMIT: f64 = 32.0;

/// The factor by which a missing or late answer reduces the limit. TCP halves its window. Like that
/// window, a limit grows by only about one query per round trip, but a round trip may take the
/// whole latency objective here, so a halved limit would recover slowly.
const DECREASE_FACTOR: f64 = 0.6;

/// Before a limit shrinks, it is capped at this many queries above those in progress. A limit far
/// above the actual concurrency would otherwise have to shrink several times before it has an
/// effect.
const HEADROOM: f64 = 6.0;

#[derive(Clone, Copy, Debug)]
struct ShardState {
    limit: f64,
    in_progress: u32,
    last_decrease: Option<Instant>,
}

impl ShardState {
    fn has_room(&self) -> bool {
        f64::from(self.in_progress) + 1.0 <= self.limit
    }
}

/// How a query ended at one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardOutcome {
    /// The shard answered in time.
    InTime,
    /// The shard answered late or not at all.
    Missed,
    /// The query ended before the answer of the shard was due. The limit does not change.
    Cancelled,
}

/// One instance's concurrency limits of all shards.
#[derive(Clone, Debug, Default)]
pub struct ConcurrencyLimits {
    by_shard: HashMap<Box<str>, ShardState>,
}

impl ConcurrencyLimits {
    /// Returns whether another query may be sent to a shard. A shard that no query has used yet has
    /// room.
    #[must_use]
    pub fn has_room(&self, shard: &str) -> bool {
        self.by_shard.get(shard).is_none_or(ShardState::has_room)
    }

    /// Counts a query to a shard as in progress.
    pub fn on_start(&mut self, shard: &str) {
        if let Some(state) = self.by_shard.get_mut(shard) {
            state.in_progress += 1;
        } else {
            let state = ShardState {
                limit: INITIAL_LIMIT,
                in_progress: 1,
                last_decrease: None,
            };
            self.by_shard.insert(shard.into(), state);
        }
    }

    /// Records how a query that started at `started` ended at a shard, and adapts the limit.
    pub fn on_end(&mut self, shard: &str, outcome: ShardOutcome, started: Instant, now: Instant) {
        let Some(state) = self.by_shard.get_mut(shard) else {
            return;
        };
        match outcome {
            ShardOutcome::InTime => {
                state.limit = (state.limit + 1.0 / state.limit).min(MAX_LIMIT);
            }
            // A query that started before the limit shrank carries no information about the new
            // limit.
            ShardOutcome::Missed
                if state
                    .last_decrease
                    .is_none_or(|last_decrease| last_decrease <= started) =>
            {
                let used = f64::from(state.in_progress) + HEADROOM;
                state.limit = (state.limit.min(used) * DECREASE_FACTOR).max(MIN_LIMIT);
                state.last_decrease = Some(now);
            }
            ShardOutcome::Missed | ShardOutcome::Cancelled => {}
        }
        state.in_progress = state.in_progress.saturating_sub(1);
    }

    /// Removes the limits of shards for which `is_served` returns false, except while queries to
    /// them are in progress.
    pub fn retain<F>(&mut self, is_served: F)
    where
        F: Fn(&str) -> bool,
    {
        self.by_shard
            .retain(|shard, state| state.in_progress > 0 || is_served(shard));
    }
}
