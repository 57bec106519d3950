//! The record of a suspect request, and the changes of an instance to it.

use std::time::Duration;

use super::EXPIRY;

/// The pause after a first trial without a result. The usual causes, such as leafs that are full or
/// start again, are over by then.
const SHORT_PAUSE: Duration = Duration::from_secs(5);

/// The pause after a trial under which a leaf has ended, and after a second one without a result.
const LONG_PAUSE: Duration = Duration::from_mins(1);

/// What all instances share about a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// One for the attempts that made the request suspect, and one for each trial under which leafs
    /// have ended; 0 if the request is not suspect.
    pub attempts: u32,
    /// The trials that were started since the request became suspect.
    pub trials: u32,
    /// Whether a leaf has survived the request since.
    pub survived: bool,
}

impl Record {
    /// The record of a request that a leaf has survived.
    pub const CLEARED: Self = Self {
        attempts: 0,
        trials: 0,
        survived: true,
    };

    /// Returns what two instances know together.
    pub(super) fn merge(self, other: Self) -> Self {
        Self {
            attempts: self.attempts.max(other.attempts),
            trials: self.trials.max(other.trials),
            survived: false,
        }
    }

    /// Returns how long after the last change the next trial may start.
    pub(super) fn pause(self) -> Duration {
        match (self.trials, self.attempts) {
            (0, _) => Duration::ZERO,
            (1, 0..=1) => SHORT_PAUSE,
            (1, _) | (2, 0..=2) => LONG_PAUSE,
            _ => EXPIRY,
        }
    }
}

/// A record as it was read from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stored {
    /// Written by this release or a later one.
    Current(Record),
    /// Written by an earlier release, which counts attempts only, overwrites records without a
    /// condition, and takes errors of leafs for survival.
    Earlier {
        /// The attempts under which leafs have ended.
        attempts: u32,
    },
}

/// Changes of a record that the store does not have yet, in the order of the fields.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Pending {
    pub(super) survived: bool,
    pub(super) suspect: bool,
    pub(super) trials: u32,
    pub(super) withdrawn_trials: u32,
    pub(super) crashed_trials: u32,
    // Writes the record as it is.
    pub(super) rewritten: bool,
}

impl Pending {
    pub(super) fn apply(self, record: Record) -> Record {
        let mut record = if self.survived {
            Record::CLEARED
        } else {
            record
        };
        if self.suspect && record.attempts == 0 {
            record = Record {
                attempts: 1,
                trials: 0,
                survived: false,
            };
        }
        if record.attempts > 0 {
            let trials = record.trials.saturating_add(self.trials);
            record.trials = trials.saturating_sub(self.withdrawn_trials);
            record.attempts = record.attempts.saturating_add(self.crashed_trials);
        }
        record
    }

    /// Returns the changes of `self` followed by those of `later`.
    pub(super) fn then(self, later: Self) -> Self {
        if later.survived {
            return later;
        }
        Self {
            survived: self.survived,
            suspect: self.suspect || later.suspect,
            trials: self.trials.saturating_add(later.trials),
            withdrawn_trials: self.withdrawn_trials.saturating_add(later.withdrawn_trials),
            crashed_trials: self.crashed_trials.saturating_add(later.crashed_trials),
            rewritten: self.rewritten || later.rewritten,
        }
    }

    pub(super) fn is_empty(self) -> bool {
        self == Self::default()
    }
}
