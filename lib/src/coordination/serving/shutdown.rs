//! The end of an instance that was asked to stop.
//!
//! The load balancer needs time to see that the instance is not ready. Until then new requests
//! still arrive and are served; after that the instance ends as soon as no connection is open.

use std::time::Duration;
use std::time::Instant;

/// Time until the load balancer has taken an instance out: two readiness checks, one second apart,
/// and the way of a connection that was opened just before.
const ROTATION_TIME: Duration = Duration::from_millis(2_600);

/// Time kept back at the end of the grace period for closing connections.
const CLOSING_TIME: Duration = Duration::from_millis(400);

/// A shutdown in progress.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    requested: Instant,
    grace: Duration,
}

impl Shutdown {
    /// Starts the shutdown of an instance that is killed after `grace`.
    #[must_use]
    pub fn new(requested: Instant, grace: Duration) -> Self {
        Self { requested, grace }
    }

    /// Tells whether the load balancer may still send new connections.
    #[must_use]
    pub fn is_in_rotation(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.requested) < ROTATION_TIME
    }

    /// Tells whether the grace period is about to end.
    #[must_use]
    pub fn is_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.requested) >= self.grace.saturating_sub(CLOSING_TIME)
    }
}
