//! Hybrid logical timestamps, which order the events of several instances causally.
//!
//! A timestamp is a wall-clock time in milliseconds and a counter. It is always later than every
//! timestamp that the instance has issued or accepted before, so an effect is later than its cause
//! even when wall clocks disagree by up to [`MAX_AHEAD`].

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;
use std::time::SystemTime;

use thiserror::Error;

use crate::state::time::unix_millis;

/// How far a remote timestamp may lie ahead of the local wall clock.
///
/// Wall clocks are assumed to agree within 100 ms. The wider bound tolerates a clock that is being
/// stepped, but prevents one broken clock from advancing the timestamps of the whole fleet.
pub const MAX_AHEAD: Duration = Duration::from_secs(5);

/// A hybrid logical timestamp. Later timestamps compare greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp {
    /// Milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Distinguishes timestamps with equal `wall_ms`.
    pub counter: u32,
}

impl Timestamp {
    /// Returns the smallest timestamp above this one.
    fn next(self) -> Self {
        match self.counter.checked_add(1) {
            Some(counter) => Self { counter, ..self },
            None => Self {
                wall_ms: self.wall_ms.saturating_add(1),
                counter: 0,
            },
        }
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.wall_ms, self.counter)
    }
}

/// The error returned when a text is not a timestamp.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum InvalidTimestamp {
    /// The text has no dot.
    #[error("{0:?} is not a timestamp: write milliseconds, a dot and a counter")]
    NoDot(Box<str>),
    /// The milliseconds or the counter is not a number.
    #[error("a part of the timestamp is not a number: {0}")]
    Number(#[from] ParseIntError),
}

impl FromStr for Timestamp {
    type Err = InvalidTimestamp;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (wall_ms, counter) = text
            .split_once('.')
            .ok_or_else(|| InvalidTimestamp::NoDot(text.into()))?;
        Ok(Self {
            wall_ms: wall_ms.parse()?,
            counter: counter.parse()?,
        })
    }
}

/// The error returned when a remote timestamp cannot be accepted.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Error {
    /// The remote timestamp lies too far ahead of the local wall clock.
    #[error("timestamp {remote} is {ahead_ms} ms ahead of the local clock")]
    TooFarAhead {
        /// The rejected timestamp.
        remote: Timestamp,
        /// How far it is ahead of the local wall clock, in milliseconds.
        ahead_ms: u64,
    },
}

/// Issues the timestamps of one instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct HybridClock {
    last: Timestamp,
}

impl HybridClock {
    /// Issues a timestamp later than all timestamps issued or observed before. `wall` is the
    /// current wall-clock time.
    pub fn now(&mut self, wall: SystemTime) -> Timestamp {
        let local = Timestamp {
            wall_ms: unix_millis(wall),
            counter: 0,
        };
        self.last = local.max(self.last.next());
        self.last
    }

    /// Merges a timestamp received from another instance and issues one that is later.
    ///
    /// # Errors
    ///
    /// Returns an error, and leaves the clock unchanged, when `remote` lies more than
    /// [`MAX_AHEAD`] ahead of `wall`.
    pub fn observe(&mut self, remote: Timestamp, wall: SystemTime) -> Result<Timestamp, Error> {
        let ahead_ms = remote.wall_ms.saturating_sub(unix_millis(wall));
        if u128::from(ahead_ms) > MAX_AHEAD.as_millis() {
            return Err(Error::TooFarAhead { remote, ahead_ms });
        }
        self.last = self.last.max(remote);
        Ok(self.now(wall))
    }
}
