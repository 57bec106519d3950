//! The adaptive concurrency limit, in leaf calls.

use std::time::Duration;
use std::time::Instant;

/// Queueing in front of leafs above which the limit shrinks. It is small against the deadlines
/// (120 ms at target) and above the jitter of scheduling.
const QUEUEING_TARGET: Duration = Duration::from_millis(5);

/// The limit is adapted once per interval.
const INTERVAL: Duration = Duration::from_millis(100);

/// Change of the limit per interval, as a factor down and a share of capacity up. One step down
/// outweighs two steps up, so that the limit falls faster than it grows.
const DECREASE: f64 = 0.9;
const INCREASE: f64 = 0.05;

/// Bounds of the limit as shares of capacity. Above 1, because an instance may use what others
/// leave idle as long as it measures no queueing.
const LOWEST: f64 = 0.1;
const HIGHEST: f64 = 2.0;

/// A limit that follows the measured queueing.
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

    /// Returns the limit; 0 only without any capacity.
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
            self.factor = (self.factor * DECREASE).max(LOWEST);
        } else if self.was_reached {
            self.factor = (self.factor + INCREASE).min(HIGHEST);
        }
        self.interval_since = now;
        self.queueing_sum = Duration::ZERO;
        self.measurements = 0;
        self.was_reached = false;
    }
}
