//! Graceful shutdown of an instance.
//!
//! The load balancer needs time to notice that the instance is not ready. Until then, new requests
//! still arrive and are served. Afterwards, the instance exits as soon as no connection is open, or
//! shortly before the end of the grace period.

use std::time::Duration;
use std::time::Instant;

/// Time until the load balancer has taken an instance out of rotation: two readiness checks one
/// second apart, plus the time for a connection that it opened just before to arrive.
const ROTATION_TIME: Duration = Duration::from_millis(2_600);

/// Time reserved at the end of the grace period for closing connections.
const CLOSING_TIME: Duration = Duration::from_millis(400);

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

    /// Returns whether the instance has to close its remaining connections and exit, because the
    /// grace period is about to end.
    #[must_use]
    pub fn is_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.requested) >= self.grace.saturating_sub(CLOSING_TIME)
    }
}
