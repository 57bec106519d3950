//! The usage of customers: how many of their requests leafs began to run in each window.
//!
//! Each instance counts ([`counts`]) and delivers its counts to the holder of the duty ([`outbox`]),
//! which collects them ([`collection`]) and reports the sum ([`report`]). All of them number windows
//! by a wall clock that ignores jumps ([`clock`]).

pub mod clock;
pub mod collection;
pub mod counts;
pub mod outbox;
pub mod report;

use std::time::Duration;

pub use self::clock::WallClock;
pub use self::collection::Collection;
pub use self::counts::Attempt;
pub use self::counts::Counts;
pub use self::outbox::Outbox;
pub use self::report::Reporter;

/// How long the counts of a window are kept after its end. After a change of the holder they are
/// delivered again, so it covers the time until a report is due.
pub const RETENTION: Duration = Duration::from_secs(30);

/// The number of a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WindowId(pub u64);

/// The division of time into windows of one length. Times are those since the start of 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Windows {
    length: Duration,
}

impl Windows {
    /// Creates windows of this length, at least a millisecond.
    #[must_use]
    pub fn new(length: Duration) -> Self {
        Self {
            length: length.max(Duration::from_millis(1)),
        }
    }

    /// Returns the window that contains a time.
    #[must_use]
    pub fn at(self, unix: Duration) -> WindowId {
        let window = unix.as_nanos() / self.length.as_nanos();
        WindowId(u64::try_from(window).unwrap_or(u64::MAX))
    }

    /// Returns the end of a window.
    #[must_use]
    pub fn end(self, window: WindowId) -> Duration {
        let nanos = self.length.as_nanos() * (u128::from(window.0) + 1);
        let seconds = u64::try_from(nanos / 1_000_000_000).unwrap_or(u64::MAX);
        Duration::from_secs(seconds)
            .saturating_add(Duration::from_nanos((nanos % 1_000_000_000) as u64))
    }

    /// Returns the first window that is still kept.
    #[must_use]
    pub fn first_kept(self, unix: Duration) -> WindowId {
        self.at(unix.saturating_sub(RETENTION))
    }
}
