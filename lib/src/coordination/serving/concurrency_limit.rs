//! How many queries of this instance may wait for a shard at the same time.
//!
//! A leaf queues what it cannot work on at once, and a shard whose queue is longer than the latency
//! objective answers nothing in time. Each instance therefore keeps a window per shard, as TCP does
//! per connection: it grows with answers in time and shrinks with missing or late ones. A query
//! leaves out a shard whose window is full, and is refused before any leaf has seen it if too few
//! shards would remain. No exchange between instances is needed: their windows meet at the leafs.

use std::collections::HashMap;
use std::time::Instant;

/// The window of a shard of which nothing is known. It lets a burst through that the queues of
/// leafs can hold, and is corrected within a few round trips.
const INITIAL_LIMIT: f64 = 8.0;

/// The smallest window: one query goes on testing the shard.
const LEAST_LIMIT: f64 = 1.0;

/// The largest window. It only bounds how long a window takes to shrink again.
const GREATEST_LIMIT: f64 = 32.0;

/// What remains of a window after a missing or late answer. TCP halves, but it adds only one
/// segment per round trip, and a query holds a shard for a whole objective.
const SHRINK: f64 = 0.6;

/// A window shrinks to at most this many queries beyond those in progress, so that a window that
/// was never filled does not have to shrink first.
const HEADROOM: f64 = 6.0;

#[derive(Clone, Copy, Debug)]
struct Window {
    limit: f64,
    in_progress: u32,
    shrunk: Option<Instant>,
}

impl Window {
    fn has_room(&self) -> bool {
        f64::from(self.in_progress) + 1.0 <= self.limit
    }
}

/// How a shard's part of a query ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardOutcome {
    /// It was answered in time.
    InTime,
    /// It was answered late or not at all.
    Missed,
    /// The query ended before the part was due.
    Cancelled,
}

/// The windows of all shards.
#[derive(Clone, Debug, Default)]
pub struct ConcurrencyLimits {
    windows: HashMap<Box<str>, Window>,
}

impl ConcurrencyLimits {
    /// Tells whether another query may ask a shard.
    #[must_use]
    pub fn has_room(&self, shard: &str) -> bool {
        self.windows.get(shard).is_none_or(Window::has_room)
    }

    /// Records that a query asks a shard.
    pub fn on_start(&mut self, shard: &str) {
        if let Some(window) = self.windows.get_mut(shard) {
            window.in_progress += 1;
        } else {
            let window = Window {
                limit: INITIAL_LIMIT,
                in_progress: 1,
                shrunk: None,
            };
            self.windows.insert(shard.into(), window);
        }
    }

    /// Records the end of a query's part that started at `started`.
    pub fn on_end(&mut self, shard: &str, part: ShardOutcome, started: Instant, now: Instant) {
        let Some(window) = self.windows.get_mut(shard) else {
            return;
        };
        match part {
            ShardOutcome::InTime => {
                window.limit = (window.limit + 1.0 / window.limit).min(GREATEST_LIMIT);
            }
            // Parts that started before the window shrank say nothing about its new size.
            ShardOutcome::Missed if window.shrunk.is_none_or(|shrunk| shrunk <= started) => {
                let filled = f64::from(window.in_progress) + HEADROOM;
                window.limit = (window.limit.min(filled) * SHRINK).max(LEAST_LIMIT);
                window.shrunk = Some(now);
            }
            ShardOutcome::Missed | ShardOutcome::Cancelled => {}
        }
        window.in_progress = window.in_progress.saturating_sub(1);
    }

    /// Forgets shards that are not served any more.
    pub fn retain<F>(&mut self, is_served: F)
    where
        F: Fn(&str) -> bool,
    {
        self.windows
            .retain(|shard, window| window.in_progress > 0 || is_served(shard));
    }
}
