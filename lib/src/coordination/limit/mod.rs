//! Limits in front of a leaf: requests in flight, connections, and the queue.

pub mod pool;
pub mod queue;

use std::time::Duration;
use std::time::Instant;

/// After a reduction, further sheds are answers to the same excess of load.
pub const REDUCTION_INTERVAL: Duration = Duration::from_millis(100);

/// Steps per request of the limit, so that an increase can be spread over the answers.
const STEPS: u32 = 1024;

/// The adaptive limit on requests in flight: halved when the leaf sheds, and raised by one per
/// round of answers.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    maximum: u32,
    /// The limit in units of 1/[`STEPS`].
    steps: u32,
    reduced_at: Option<Instant>,
}

impl ConcurrencyLimit {
    /// Starts at `maximum`.
    #[must_use]
    pub fn new(maximum: u32) -> Self {
        let maximum = maximum.max(1);
        Self {
            maximum,
            steps: maximum.saturating_mul(STEPS),
            reduced_at: None,
        }
    }

    /// Returns the limit, which is at least 1.
    #[must_use]
    pub fn limit(&self) -> u32 {
        (self.steps / STEPS).max(1)
    }

    /// Takes an answer that was not shed.
    pub fn answered(&mut self) {
        let full = self.maximum.saturating_mul(STEPS);
        if self.steps < full {
            self.steps = (self.steps + STEPS / self.limit()).min(full);
        }
    }

    /// Takes an answer that was shed.
    pub fn shed(&mut self, now: Instant) {
        let recent = self
            .reduced_at
            .is_some_and(|at| now.saturating_duration_since(at) < REDUCTION_INTERVAL);
        if !recent {
            self.steps = (self.steps / 2).max(STEPS);
            self.reduced_at = Some(now);
        }
    }

    /// Puts another maximum in force.
    pub fn set_maximum(&mut self, maximum: u32) {
        self.maximum = maximum.max(1);
        self.steps = self.steps.min(self.maximum.saturating_mul(STEPS));
    }
}

/// Estimates the shortest time in which a leaf answers, to drop calls that cannot be answered in
/// time. Each drop lowers the estimate, so that a leaf that became fast again is tried again.
#[derive(Clone, Copy, Debug, Default)]
pub struct FastestAnswer {
    estimate: Duration,
    measured: bool,
}

impl FastestAnswer {
    /// Returns the estimate; zero before the first answer.
    #[must_use]
    pub fn estimate(self) -> Duration {
        self.estimate
    }

    /// Takes the time of one answer.
    pub fn answered(&mut self, time: Duration) {
        let excess = time.saturating_sub(self.estimate);
        self.estimate = if excess.is_zero() || !self.measured {
            time
        } else {
            self.estimate + excess / 64
        };
        self.measured = true;
    }

    /// Notes that a call was dropped.
    pub fn dropped(&mut self) {
        self.estimate -= self.estimate / 16;
    }
}
