//! Limits per leaf: requests in flight, connections, and queued calls.

pub mod pool;
pub mod queue;

use std::time::Duration;
use std::time::Instant;

/// Sheds within this time after a reduction of the limit do not reduce it again, because they
/// stem from the same overload.
pub const REDUCTION_INTERVAL: Duration = Duration::from_millis(100);

/// Steps per request of the limit, so that each answer can raise it by a fraction of a request.
const STEPS_PER_REQUEST: u32 = 1024;

/// The adaptive limit on requests in flight (additive increase, multiplicative decrease). It is
/// halved when the leaf sheds, and raised by one after as many answers as the limit.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    maximum: u32,
    /// The limit in units of 1/[`STEPS_PER_REQUEST`].
    steps: u32,
    reduced_at: Option<Instant>,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at `maximum`, or at 1 if that is 0.
    #[must_use]
    pub fn new(maximum: u32) -> Self {
        let maximum = maximum.max(1);
        Self {
            maximum,
            steps: maximum.saturating_mul(STEPS_PER_REQUEST),
            reduced_at: None,
        }
    }

    /// Returns the limit in requests, at least 1.
    #[must_use]
    pub fn limit(&self) -> u32 {
        (self.steps / STEPS_PER_REQUEST).max(1)
    }

    /// Raises the limit after an answer that was not shed.
    pub fn answered(&mut self) {
        let full = self.maximum.saturating_mul(STEPS_PER_REQUEST);
        if self.steps < full {
            self.steps = (self.steps + STEPS_PER_REQUEST / self.limit()).min(full);
        }
    }

    /// Halves the limit after a shed, at most once per [`REDUCTION_INTERVAL`].
    pub fn shed(&mut self, now: Instant) {
        let recent = self
            .reduced_at
            .is_some_and(|at| now.saturating_duration_since(at) < REDUCTION_INTERVAL);
        if !recent {
            self.steps = (self.steps / 2).max(STEPS_PER_REQUEST);
            self.reduced_at = Some(now);
        }
    }

    /// Changes the maximum. The limit falls to it at once, but does not rise at once.
    pub fn set_maximum(&mut self, maximum: u32) {
        self.maximum = maximum.max(1);
        self.steps = self
            .steps
            .min(self.maximum.saturating_mul(STEPS_PER_REQUEST));
    }
}

/// Estimates the shortest time in which a leaf answers, to drop calls that it cannot answer before
/// their deadline. Each drop lowers the estimate, so that a leaf that has become faster gets such
/// calls again.
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

    /// Updates the estimate with the latency of one answer.
    pub fn answered(&mut self, latency: Duration) {
        let excess = latency.saturating_sub(self.estimate);
        self.estimate = if excess.is_zero() || !self.measured {
            latency
        } else {
            self.estimate + excess / 64
        };
        self.measured = true;
    }

    /// Lowers the estimate after a call was dropped because of it.
    pub fn dropped(&mut self) {
        self.estimate -= self.estimate / 16;
    }
}
