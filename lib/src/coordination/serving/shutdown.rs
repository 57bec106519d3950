//! The end of an instance that was asked to stop.
//!
//! The load balancer needs time to see that the instance is not ready. Until then new requests
//! still arrive and are served; after that the instance ends as soon as nothing is in progress.

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

    /// Tells whether the instance should end now.
    #[must_use]
    pub fn is_over(&self, now: Instant, in_progress: usize) -> bool {
        let elapsed = now.saturating_duration_since(self.requested);
        if elapsed >= self.grace.saturating_sub(CLOSING_TIME) {
            return true;
        }
        in_progress == 0 && elapsed >= ROTATION_TIME
    }
}
