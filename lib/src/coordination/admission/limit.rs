//! The adaptive concurrency limit, in leaf calls: multiplicative decrease, additive increase.

use std::time::Duration;
use std::time::Instant;

/// Mean queueing time in front of leafs above which the limit is reduced. It is small compared with
/// the deadlines (120 ms at the target size) and above scheduling jitter.
const QUEUEING_TARGET: Duration = Duration::from_millis(5);

/// Time between two adaptations of the limit.
const INTERVAL: Duration = Duration::from_millis(100);

/// Change of the limit per interval: a decrease multiplies the limit, an increase adds a share of
/// the capacity. At the full capacity, one decrease undoes two increases, so that the limit
/// falls faster than it grows.
const DECREASE_FACTOR: f64 = 0.9;
const INCREASE_SHARE: f64 = 0.05;

/// Bounds of the limit as multiples of the capacity. The upper one is above 1 because an instance
/// may use slots that other instances leave idle, as long as it measures no queueing.
const MIN_FACTOR: f64 = 0.1;
const MAX_FACTOR: f64 = 2.0;

/// A concurrency limit that is adapted to the measured queueing.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    capacity: u32,
    factor: f64,
    interval_since: Instant,
    queueing_sum: Duration,
    measurements: u32,
    was_reached: bool,
}

impl Limit {
    pub(super) fn new(capacity: u32, now: Instant) -> Self {
        Self {
            capacity,
            factor: 1.0,
            interval_since: now,
            queueing_sum: Duration::ZERO,
            measurements: 0,
            was_reached: false,
        }
    }

    pub(super) fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    /// Returns the limit in leaf calls, which is 0 only if the capacity is 0.
    pub(super) fn get(&self) -> f64 {
        f64::from(self.capacity) * self.factor
    }

    pub(super) fn on_reached(&mut self) {
        self.was_reached = true;
    }

    pub(super) fn on_measured(&mut self, now: Instant, queueing: Duration) {
        self.queueing_sum += queueing;
        self.measurements += 1;
        if now.saturating_duration_since(self.interval_since) < INTERVAL {
            return;
        }
        if self.queueing_sum / self.measurements > QUEUEING_TARGET {
            self.factor = (self.factor * DECREASE_FACTOR).max(MIN_FACTOR);
        } else if self.was_reached {
            self.factor = (self.factor + INCREASE_SHARE).min(MAX_FACTOR);
        }
        self.interval_since = now;
        self.queueing_sum = Duration::ZERO;
        self.measurements = 0;
        self.was_reached = false;
    }
}
