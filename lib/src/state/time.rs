//! The clock interface and its implementations.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// The assumed bound on the difference between the wall clocks of any two instances or backend
/// servers.
///
/// Only comparisons of wall-clock times from different machines depend on it: the absolute deadlines
/// that backend servers enforce, and the times at which callers issue idempotency keys.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_millis(100);

/// A source of time. Code outside this module receives time as an argument or reads it through this
/// trait.
pub trait Clock: Send + Sync {
    /// Returns monotonic time.
    fn now(&self) -> Instant;

    /// Returns wall-clock time.
    fn wall(&self) -> SystemTime;

    /// Returns the time since the machine was started. Unlike [`Self::now`], it includes the time in
    /// which the machine was suspended.
    fn since_boot(&self) -> Duration;
}

/// The clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }

    fn since_boot(&self) -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        Duration::try_from(time).unwrap_or_default()
    }
}

/// A clock for tests that moves only in [`ManualClock::advance`].
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    wall_start: SystemTime,
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// Creates a clock whose wall time starts at `wall_start`.
    #[must_use]
    pub fn new(wall_start: SystemTime) -> Self {
        Self {
            start: Instant::now(),
            wall_start,
            elapsed: Mutex::new(Duration::ZERO),
        }
    }

    /// Moves monotonic and wall-clock time forward by `by`.
    pub fn advance(&self, by: Duration) {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner) += by;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        self.wall_start + self.elapsed()
    }

    fn since_boot(&self) -> Duration {
        self.elapsed()
    }
}

/// Converts a wall-clock time to milliseconds since the Unix epoch; times before it
/// become 0.
#[must_use]
pub fn unix_millis(time: SystemTime) -> u64 {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

/// Converts milliseconds since the Unix epoch to a wall-clock time.
#[must_use]
pub fn from_unix_millis(millis: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(millis)
}
