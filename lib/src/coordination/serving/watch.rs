//! Whether a watch of the store still returns changes.
//!
//! The store may lose the answer to a watch and keep its connection open. Probes beside the watch
//! show the revision of the store. Most of them are cheap reads that may be old; how old is seen
//! when one shows an earlier revision than the watch has returned before. If such reads are too old
//! to reveal a lost watch within the settling time, current reads replace them.

use std::time::Duration;
use std::time::Instant;

/// The pause between two cheap probes, as a share of the settling time.
const CHEAP_PAUSE_SHARE: f64 = 0.375;

/// The pause between two current probes, as a share of the settling time. They cost ten times as
/// much as cheap ones.
const CURRENT_PAUSE_SHARE: f64 = 0.625;

/// How long the answer of the watch may arrive after a probe has shown a newer revision, as a share
/// of the settling time.
const TRANSIT_SHARE: f64 = 0.125;

/// The age of cheap reads up to which they reveal a lost watch in time, as a share of the settling
/// time. With the pause and the transit, a tenth of it is left for the calls.
const MAX_AGE_SHARE: f64 = 0.4;

/// How long an observed age of cheap reads is assumed to last.
const AGE_RETENTION: Duration = Duration::from_mins(5);

/// The kind of read by which the store is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Read {
    /// It may show an earlier state of the store.
    Cheap,
    /// It shows the state of the store when the read arrived.
    Current,
}

/// A probe that the store has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// The kind of read.
    pub read: Read,
    /// The revision of the store in the answer.
    pub revision: u64,
    /// When it was sent.
    pub sent: Instant,
}

/// A watch that has not returned changes up to a revision which the store has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overdue {
    /// The revision that a probe has shown.
    pub revision: u64,
    /// When the watch counts as lost, unless it returns before.
    pub lost_at: Instant,
}

/// What is known of the watch and of the age of cheap reads.
#[derive(Clone, Copy, Debug, Default)]
pub struct Monitor {
    // The revision up to which changes have been read, and when it was read.
    known: Option<(u64, Instant)>,
    overdue: Option<Overdue>,
    // The greatest age of cheap reads that was observed, and when.
    age: Option<(Duration, Instant)>,
}

impl Monitor {
    /// Records that all changes up to a revision have been read.
    pub fn on_changes_read(&mut self, revision: u64, now: Instant) {
        if self.known.is_none_or(|(known, _)| known != revision) {
            self.known = Some((revision, now));
        }
    }

    /// Records that a watch after the revision read last is sent, in place of any earlier one.
    pub fn on_watch_sent(&mut self) {
        self.overdue = None;
    }

    /// Records the answer to a probe that was sent while the watch waited.
    pub fn on_probe(&mut self, probe: Probe, settling_time: Duration, now: Instant) {
        let Some((known, known_since)) = self.known else {
            return;
        };
        if probe.revision > known {
            self.overdue.get_or_insert(Overdue {
                revision: probe.revision,
                lost_at: now + settling_time.mul_f64(TRANSIT_SHARE),
            });
        } else if probe.revision < known && probe.read == Read::Cheap {
            let age = probe.sent.saturating_duration_since(known_since);
            let observed = self.cheap_read_age(now).max(age);
            self.age = Some((observed, now));
        }
    }

    /// Returns the watch's delay if a probe has shown changes that it has not returned.
    #[must_use]
    pub fn overdue(&self) -> Option<Overdue> {
        self.overdue
    }

    /// Returns the lower bound of the age of cheap reads, zero if none is known.
    #[must_use]
    pub fn cheap_read_age(&self, now: Instant) -> Duration {
        match self.age {
            Some((age, seen)) if now.saturating_duration_since(seen) < AGE_RETENTION => age,
            _ => Duration::ZERO,
        }
    }

    /// Returns the kind of the next probe.
    #[must_use]
    pub fn next_read(&self, settling_time: Duration, now: Instant) -> Read {
        // An observation is a lower bound: the reads may be older by up to the pause until the next.
        let age = self.cheap_read_age(now) + settling_time.mul_f64(CHEAP_PAUSE_SHARE);
        if age > settling_time.mul_f64(MAX_AGE_SHARE) {
            Read::Current
        } else {
            Read::Cheap
        }
    }

    /// Returns the pause before the next probe.
    #[must_use]
    pub fn pause(&self, settling_time: Duration, now: Instant) -> Duration {
        settling_time.mul_f64(match self.next_read(settling_time, now) {
            Read::Cheap => CHEAP_PAUSE_SHARE,
            Read::Current => CURRENT_PAUSE_SHARE,
        })
    }
}
