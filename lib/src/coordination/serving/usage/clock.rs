//! A wall clock that ignores jumps.

use std::time::Duration;

/// How long another offset has to hold until it is taken over.
const CONFIRMATION_TIME: Duration = Duration::from_mins(1);

/// Offsets that differ by less are the same: a clock that is slewed moves by 30 ms a minute.
const TOLERANCE: Duration = Duration::from_millis(50);

/// The time since the start of 1970, as the wall clock showed it at the start of the process.
#[derive(Clone, Debug)]
pub struct WallClock {
    // What to add to the time since the machine was started.
    offset: Duration,
    // Another offset that the wall clock shows, and since when.
    other: Option<(Duration, Duration)>,
}

impl WallClock {
    /// Creates a clock from the time that the wall clock shows now.
    #[must_use]
    pub fn new(wall: Duration, since_boot: Duration) -> Self {
        Self {
            offset: wall.saturating_sub(since_boot),
            other: None,
        }
    }

    /// Applies what the wall clock shows. Has to be called every second or so. Returns whether the
    /// clock was set.
    pub fn observe(&mut self, wall: Duration, since_boot: Duration) -> bool {
        let offset = wall.saturating_sub(since_boot);
        if offset.abs_diff(self.offset) < TOLERANCE {
            self.other = None;
            return false;
        }
        match self.other {
            Some((other, since)) if offset.abs_diff(other) < TOLERANCE => {
                let is_confirmed = since_boot.saturating_sub(since) >= CONFIRMATION_TIME;
                if is_confirmed {
                    self.offset = offset;
                    self.other = None;
                }
                is_confirmed
            }
            _ => {
                self.other = Some((offset, since_boot));
                false
            }
        }
    }

    /// Returns the time since the start of 1970.
    #[must_use]
    pub fn unix(&self, since_boot: Duration) -> Duration {
        self.offset + since_boot
    }
}
