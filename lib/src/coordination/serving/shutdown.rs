//! Graceful shutdown of an instance.
//!
//! The load balancer needs time to notice that the instance is not ready. Until then, new requests
//! still arrive and are served. Afterwards, the instance exits as soon as no connection is open.
//! Shortly before the end of the grace period, requests that are still in progress get a final
//! answer.

use std::time::Duration;
use std::time::Instant;

/// Time until the load balancer has taken an instance out of rotation: two readiness checks one
/// second apart, plus the time for a connection that it opened just before to arrive.
const ROTATION_TIME: Duration = Duration::from_millis(2_600);

/// Time reserved at the end of the grace period for the final answers to requests in progress.
const ANSWERING_TIME: Duration = Duration::from_millis(400);

/// Time reserved after that for the end of the process.
const EXIT_TIME: Duration = Duration::from_millis(150);

/// A shutdown in progress.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    requested: Instant,
    grace: Duration,
}

impl Shutdown {
    /// Starts the shutdown of an instance that the platform kills `grace` after `requested`.
    #[must_use]
    pub fn new(requested: Instant, grace: Duration) -> Self {
        Self { requested, grace }
    }

    /// Returns whether the load balancer may still open new connections to the instance.
    #[must_use]
    pub fn is_in_rotation(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.requested) < ROTATION_TIME
    }

    /// Returns when requests in progress have to be answered, because the grace period is about to
    /// end.
    #[must_use]
    pub fn answers_due_at(&self) -> Instant {
        self.requested + self.grace.saturating_sub(ANSWERING_TIME)
    }

    /// Returns whether the instance has to exit, with whatever connections are left.
    #[must_use]
    pub fn is_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.requested) >= self.grace.saturating_sub(EXIT_TIME)
    }
}
