//! The load of shards, as the instance that calls their leafs measures it, and which queries it
//! admits.
//!
//! A shard works on as many queries at a time as its leafs handle without long queues of their own.
//! Others wait at this instance, where urgent ones overtake the rest; a leaf answers in the order of
//! arrival. A query that cannot be answered in time any more is refused.
//!
//! Each shard has a threshold on the urgency of queries. It falls while queries wait for a large part
//! of the time that they have or leafs refuse them, and rises when they don't. The urgency of a query
//! has a random part that is the same at all instances: owners that are equally loaded refuse the
//! same queries, so that few queries are refused by some owners after leafs of others have worked for
//! them. Owners state their thresholds in their answers, and other instances refuse queries by them
//! at once.

mod load;
mod urgency;
mod window;

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use self::load::Load;
use self::load::Waiter;
use self::urgency::BANDS;
pub use self::urgency::InvalidThreshold;
pub use self::urgency::Threshold;
pub use self::urgency::Urgency;

/// How long the threshold of another instance's shard is used. Instances with few queries hear of it
/// that rarely, and a shard may have recovered in the meantime.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);

/// By how much a reported threshold rises per second, in bands of urgency: towards the end of its
/// lifetime, most queries try the owners again.
const REPORT_RISE: f64 = 1.0;

/// The shard's part in a query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// The urgency of the query.
    pub urgency: Urgency,
    /// A hash of the name of the route. The queries of a route take equally long.
    pub route: u64,
    /// When the answer is due.
    pub due: Instant,
}

/// The slots of a shard's leafs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slots {
    /// Those of all leafs.
    pub all: u32,
    /// Those of the leafs that this instance prefers. It uses at least as many.
    pub preferred: u32,
}

/// Permits the work on a shard, to be handed back when it ends.
#[derive(Clone, Copy, Debug)]
pub struct Permit {
    work: Work,
    granted: Instant,
    cost_s: f32,
    is_contended: bool,
}

/// Whether a shard of a query is worked on.
#[derive(Clone, Copy, Debug)]
pub enum Entry {
    /// Now.
    Granted(Permit),
    /// Later; see [`ShardLoads::next`].
    Queued,
    /// Not at all.
    Refused,
}

/// What is known about a shard, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Learned {
    /// The most queries that are worked on at a time.
    pub limit: f32,
    /// The work that is done per second, in seconds.
    pub speed: f32,
    /// The queries that wait.
    pub waiting: usize,
}

/// How the work on a shard has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With an answer.
    Answered,
    /// Without one, or the query has ended before.
    Unanswered,
}

/// The measurements of the shards whose leafs this instance calls, and the thresholds that other
/// instances have reported for theirs. `W` is what a waiting query is woken by.
#[derive(Clone, Debug)]
pub struct ShardLoads<W> {
    by_shard: HashMap<Box<str>, Load<W>>,
    reports: HashMap<Box<str>, Report>,
}

impl<W> Default for ShardLoads<W> {
    fn default() -> Self {
        Self {
            by_shard: HashMap::new(),
            reports: HashMap::new(),
        }
    }
}

/// The threshold of a shard of another instance.
#[derive(Clone, Copy, Debug)]
struct Report {
    threshold: Threshold,
    at: Instant,
}

impl<W> ShardLoads<W> {
    /// Decides whether this instance works on a shard for a query. A queued one is woken by `waker`.
    pub fn enter(
        &mut self,
        shard: &str,
        slots: Slots,
        work: Work,
        now: Instant,
        waker: impl FnOnce() -> W,
    ) -> Entry {
        if !self.by_shard.contains_key(shard) {
            self.by_shard.insert(shard.into(), Load::new(slots, now));
        }
        let Some(load) = self.by_shard.get_mut(shard) else {
            return Entry::Refused;
        };
        load.advance(slots, now);
        if !load.threshold.admits(work.urgency) || load.is_hopeless(work, now) {
            return Entry::Refused;
        }
        if load.has_room(now) && load.waiting() == 0 {
            return Entry::Granted(load.grant(work, now, now));
        }
        let waiter = Waiter {
            work,
            entered: now,
            waker: waker(),
        };
        if load.queue(waiter) {
            Entry::Queued
        } else {
            Entry::Refused
        }
    }

    /// Returns the next query that waits for a shard, with a permit if it may go on now, or without
    /// one if it is refused because its answer would be late. Has to be called until it returns
    /// `None` whenever the work on a shard has ended or a query was queued.
    pub fn next(&mut self, shard: &str, now: Instant) -> Option<(W, Option<Permit>)> {
        let load = self.by_shard.get_mut(shard)?;
        if !load.has_room(now) {
            return None;
        }
        let Waiter {
            work,
            entered,
            waker,
        } = load.pop()?;
        let permit = load
            .can_answer(work, now)
            .then(|| load.grant(work, entered, now));
        Some((waker, permit))
    }

    /// Records how the work on a shard has ended.
    pub fn on_end(&mut self, shard: &str, permit: Permit, end: End, now: Instant) {
        if let Some(load) = self.by_shard.get_mut(shard) {
            load.on_end(permit, end, now);
        }
    }

    /// Records that a leaf of a shard has refused a call.
    pub fn on_leaf_refusal(&mut self, shard: &str) {
        if let Some(load) = self.by_shard.get_mut(shard) {
            load.on_leaf_refusal();
        }
    }

    /// Returns whether the owner of a shard is expected to admit a query, by what it has reported.
    #[must_use]
    pub fn expects(&self, shard: &str, urgency: Urgency, now: Instant) -> bool {
        let Some(report) = self.reports.get(shard) else {
            return true;
        };
        let age = now.saturating_duration_since(report.at);
        let rise = age.as_secs_f64() * REPORT_RISE;
        age >= REPORT_LIFETIME || report.threshold.raised(rise, BANDS).admits(urgency)
    }

    /// Records the threshold that the owner of a shard has reported.
    pub fn on_report(&mut self, shard: &str, threshold: Threshold, now: Instant) {
        let report = Report { threshold, at: now };
        if threshold == Threshold::OPEN {
            self.reports.remove(shard);
        } else if let Some(known) = self.reports.get_mut(shard) {
            *known = report;
        } else {
            self.reports.insert(shard.into(), report);
        }
    }

    /// Returns the threshold of a shard: this instance's own if that is lowered, or else the one that
    /// the shard's owner has reported.
    #[must_use]
    pub fn threshold(&self, shard: &str, now: Instant) -> Threshold {
        if let Some(load) = self.by_shard.get(shard)
            && load.threshold != Threshold::OPEN
        {
            return load.threshold;
        }
        let is_recent =
            |report: &&Report| now.saturating_duration_since(report.at) < REPORT_LIFETIME;
        let reported = self.reports.get(shard).filter(is_recent);
        reported.map_or(Threshold::OPEN, |report| report.threshold)
    }

    /// Returns this instance's own threshold of a shard.
    #[must_use]
    pub fn own_threshold(&self, shard: &str) -> Threshold {
        let load = self.by_shard.get(shard);
        load.map_or(Threshold::OPEN, |load| load.threshold)
    }

    /// Returns what is known about a shard whose leafs this instance calls.
    #[must_use]
    pub fn learned(&self, shard: &str) -> Option<Learned> {
        let load = self.by_shard.get(shard)?;
        Some(Learned {
            limit: load.limit(),
            speed: load.speed(),
            waiting: load.waiting(),
        })
    }

    /// Removes the state of shards for which `is_served` returns false, except while they are worked
    /// on.
    pub fn retain<F>(&mut self, is_served: F)
    where
        F: Fn(&str) -> bool,
    {
        self.by_shard
            .retain(|shard, load| load.is_used() || is_served(shard));
        self.reports.retain(|shard, _| is_served(shard));
    }
}
