//! Requests that may end the leafs that run them.
//!
//! A request becomes suspect when leafs have ended under it and none has survived it. All instances
//! share one [`Record`] of each suspect request, which they change only on the condition that it is
//! still the one they know. An attempt of a suspect request is sent to leafs only as a trial, which
//! is written to the record before. So all instances together have few trials, with growing pauses
//! between them, whatever becomes of each. A leaf that survives the request ends the suspicion
//! everywhere.
//!
//! Requests that leafs have survived recently do not become suspect by a single event: requests that
//! many callers send are in progress whenever a leaf ends for another reason.

mod record;
mod survivals;

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use self::record::Pending;
pub use self::record::Record;
pub use self::record::Stored;
use self::survivals::Survivals;
use crate::state::id::Fingerprint;

/// How long a record is kept after its last change. The longest lease of the store.
pub const EXPIRY: Duration = Duration::from_mins(10);

/// How long the survival of a leaf protects a request from becoming suspect.
pub const SURVIVAL_RETENTION: Duration = Duration::from_secs(30);

/// How many events in a row, without a survivor in between, make a protected request suspect.
const PROTECTED_EVENTS: u32 = 2;

/// How long after its last change a record that the store has lost is written again. Records that
/// expire in the usual way are older.
const REWRITE_AGE: Duration = Duration::from_mins(8);

/// A record to be written to the store, on the condition that the stored one has not changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Write {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The revision that the stored record has to have; 0 if there must be none.
    pub expected: u64,
    /// The new record.
    pub record: Record,
    changes: Pending,
}

/// The decision on an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is not suspect.
    Free,
    /// The attempt may be sent as a trial, once the store has accepted this write.
    Trial(Write),
    /// A trial of this instance is in progress, or is about to be.
    TrialInProgress,
    /// The next trial may not start yet.
    Blocked {
        /// When it may start.
        until: Instant,
    },
}

/// The end of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialEnd {
    /// A leaf has survived the request.
    Survived,
    /// No leaf can have received the request.
    NotSent,
    /// Whether leafs end under the request is as unknown as before.
    Unclear,
    /// A leaf has ended under the request.
    Crashed,
}

#[derive(Clone, Copy, Debug)]
struct Suspect {
    stored: Record,
    revision: u64,
    // Changes that are being written.
    in_flight: Pending,
    // Changes that are yet to be written.
    pending: Pending,
    // When the record of this instance has last changed.
    changed_at: Instant,
    has_trial: bool,
}

impl Suspect {
    fn new(now: Instant) -> Self {
        Self {
            stored: Record::default(),
            revision: 0,
            in_flight: Pending::default(),
            pending: Pending::default(),
            changed_at: now,
            has_trial: false,
        }
    }

    /// Returns the record with all changes of this instance.
    fn record(&self) -> Record {
        self.pending.apply(self.in_flight.apply(self.stored))
    }

    fn has_changes(&self) -> bool {
        !self.in_flight.is_empty() || !self.pending.is_empty()
    }

    fn change(&mut self, changes: Pending, now: Instant) {
        self.pending = self.pending.then(changes);
        self.changed_at = now;
    }

    /// Drops changes that another instance has made, too.
    fn drop_superseded_changes(&mut self) {
        if self.pending.apply(self.stored) == self.stored && self.in_flight.is_empty() {
            self.pending = Pending::default();
        }
    }

    fn begin_write(&mut self, fingerprint: Fingerprint) -> Write {
        self.in_flight = std::mem::take(&mut self.pending);
        Write {
            fingerprint,
            expected: self.revision,
            record: self.in_flight.apply(self.stored),
            changes: self.in_flight,
        }
    }
}

/// What one instance knows about suspect requests.
#[derive(Clone, Debug)]
pub struct Suspects {
    capacity: usize,
    records: HashMap<Fingerprint, Suspect>,
    survivals: Survivals,
}

impl Suspects {
    /// Creates a registry for up to `capacity` suspect requests, and twice as many that leafs have
    /// survived as `survival_capacity`.
    #[must_use]
    pub fn new(capacity: usize, survival_capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            records: HashMap::new(),
            survivals: Survivals::new(survival_capacity),
        }
    }

    /// Returns whether no request is suspect.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the record of a request, with the changes that are not written yet.
    #[must_use]
    pub fn record(&self, fingerprint: Fingerprint) -> Record {
        let suspect = self.records.get(&fingerprint);
        suspect.map_or(Record::default(), Suspect::record)
    }

    /// Decides whether an attempt may be sent to leafs. After [`Admission::Trial`], the end of the
    /// write has to be reported, and then the end of the trial.
    pub fn admit(&mut self, fingerprint: Fingerprint, now: Instant) -> Admission {
        let Some(suspect) = self.records.get_mut(&fingerprint) else {
            return Admission::Free;
        };
        if suspect.changed_at + EXPIRY <= now && !suspect.has_trial {
            self.records.remove(&fingerprint);
            return Admission::Free;
        }
        let record = suspect.record();
        if record.attempts == 0 {
            return Admission::Free;
        }
        // A record that is being written may be about to change.
        if suspect.has_trial || !suspect.in_flight.is_empty() {
            return Admission::TrialInProgress;
        }
        let until = suspect.changed_at + record.pause();
        if until > now {
            return Admission::Blocked { until };
        }
        suspect.has_trial = true;
        suspect.pending.trials += 1;
        Admission::Trial(suspect.begin_write(fingerprint))
    }

    /// Returns whether leafs have survived a request within [`SURVIVAL_RETENTION`].
    #[must_use]
    pub fn has_survived(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.survivals.contains(fingerprint, now)
    }

    /// Records that a leaf has survived a request.
    pub fn on_survived(&mut self, fingerprint: Fingerprint, now: Instant) {
        self.survivals.insert(fingerprint, now);
        self.clear(fingerprint, now);
    }

    fn clear(&mut self, fingerprint: Fingerprint, now: Instant) {
        if let Some(suspect) = self.records.get_mut(&fingerprint)
            && suspect.record().attempts > 0
        {
            let survived = Pending {
                survived: true,
                ..Pending::default()
            };
            suspect.change(survived, now);
        }
    }

    /// Records that a leaf has ended under an attempt that was not a trial and has started at
    /// `started`. Returns whether the request is suspect. Attempts that were in progress together may
    /// have seen the same end.
    pub fn on_crash(&mut self, fingerprint: Fingerprint, started: Instant, now: Instant) -> bool {
        if let Some(survival) = self.survivals.get_mut(fingerprint, now) {
            if survival.events == 0 || started > survival.noticed_at {
                survival.events += 1;
                survival.noticed_at = now;
            }
            if survival.events < PROTECTED_EVENTS {
                return false;
            }
            self.survivals.remove(fingerprint);
        }
        let suspect = self.suspect(fingerprint, now);
        if suspect.record().attempts == 0 {
            let changes = Pending {
                suspect: true,
                ..Pending::default()
            };
            suspect.change(changes, now);
        }
        true
    }

    /// Records the end of a trial.
    pub fn on_trial_end(&mut self, fingerprint: Fingerprint, end: TrialEnd, now: Instant) {
        let Some(suspect) = self.records.get_mut(&fingerprint) else {
            return;
        };
        suspect.has_trial = false;
        let changes = match end {
            TrialEnd::Survived => {
                self.on_survived(fingerprint, now);
                return;
            }
            TrialEnd::NotSent => Pending {
                withdrawn_trials: 1,
                ..Pending::default()
            },
            TrialEnd::Unclear => return,
            TrialEnd::Crashed => Pending {
                suspect: true,
                crashed_trials: 1,
                ..Pending::default()
            },
        };
        suspect.change(changes, now);
    }

    /// Returns up to `limit` records to be written, whose ends have to be reported.
    pub fn begin_writes(&mut self, limit: usize) -> Vec<Write> {
        let ready = self
            .records
            .iter_mut()
            .filter(|(_, suspect)| !suspect.pending.is_empty() && suspect.in_flight.is_empty());
        ready
            .take(limit)
            .map(|(fingerprint, suspect)| suspect.begin_write(*fingerprint))
            .collect()
    }

    /// Returns whether there are records to be written.
    #[must_use]
    pub fn has_changes(&self) -> bool {
        let mut records = self.records.values();
        records.any(|suspect| !suspect.pending.is_empty())
    }

    /// Records that the store has accepted a write, at this revision.
    pub fn on_written(&mut self, write: &Write, revision: u64, now: Instant) {
        let Some(suspect) = self.records.get_mut(&write.fingerprint) else {
            return;
        };
        suspect.in_flight = Pending::default();
        if revision > suspect.revision {
            suspect.stored = write.record;
            suspect.revision = revision;
            suspect.changed_at = now;
        }
        self.drop_if_cleared(write.fingerprint);
    }

    /// Records that a write has failed, or that the store has refused it because the record has
    /// changed. A trial that was to be started by it does not take place.
    pub fn on_write_failed(&mut self, write: &Write) {
        let Some(suspect) = self.records.get_mut(&write.fingerprint) else {
            return;
        };
        let mut changes = write.changes;
        // The store may have carried out a write that has failed, and must not do this one twice.
        changes.withdrawn_trials = 0;
        if changes.trials > 0 && suspect.has_trial {
            suspect.has_trial = false;
            changes.trials -= 1;
        }
        suspect.in_flight = Pending::default();
        suspect.pending = changes.then(suspect.pending);
    }

    /// Records that a trial takes place although the store could not be asked. It is written later.
    pub fn on_unwritten_trial(&mut self, write: &Write, now: Instant) {
        let Some(suspect) = self.records.get_mut(&write.fingerprint) else {
            return;
        };
        suspect.in_flight = Pending::default();
        suspect.pending = write.changes.then(suspect.pending);
        suspect.changed_at = now;
    }

    /// Applies a record that was read from the store.
    pub fn on_record(
        &mut self,
        fingerprint: Fingerprint,
        stored: Stored,
        revision: u64,
        now: Instant,
    ) {
        let known = self.records.get(&fingerprint);
        if known.is_some_and(|suspect| revision <= suspect.revision) {
            return;
        }
        let record = match stored {
            Stored::Current(record) => record,
            Stored::Earlier { attempts } => {
                let known = known.map_or(Record::default(), |suspect| suspect.stored);
                known.merge(Record {
                    attempts,
                    trials: attempts.saturating_sub(1),
                    survived: false,
                })
            }
        };
        if record.attempts == 0 && known.is_none() {
            return;
        }
        let suspect = self.suspect(fingerprint, now);
        let before = suspect.record();
        // The store had lost the record. Another instance may have known less of it than this one.
        let restored = suspect.revision == 0 && !record.survived;
        suspect.revision = revision;
        suspect.stored = if restored {
            suspect.stored.merge(record)
        } else {
            record
        };
        if record.survived {
            suspect.pending = Pending::default();
            self.survivals.insert(fingerprint, now);
        } else {
            suspect.drop_superseded_changes();
            suspect.pending.rewritten |= suspect.stored != record;
            if suspect.record() != before {
                suspect.changed_at = now;
            }
            if self.survivals.get_mut(fingerprint, now).is_some() {
                self.clear(fingerprint, now);
            }
        }
        self.drop_if_cleared(fingerprint);
    }

    /// Records that the store no longer holds the record of a request. If it has not expired, it is
    /// to be written again: the store ends leases early when it was away or was restored.
    pub fn on_removed(&mut self, fingerprint: Fingerprint, now: Instant) {
        let Some(suspect) = self.records.get_mut(&fingerprint) else {
            return;
        };
        suspect.revision = 0;
        let age = now.saturating_duration_since(suspect.changed_at);
        if suspect.record().attempts > 0 && age < REWRITE_AGE {
            suspect.pending.rewritten = true;
        }
    }

    /// Records that the store was restored from a copy, which gives out revisions again. All records
    /// have to be read again.
    pub fn on_restored(&mut self) {
        for suspect in self.records.values_mut() {
            suspect.revision = 0;
        }
    }

    fn drop_if_cleared(&mut self, fingerprint: Fingerprint) {
        if let Some(suspect) = self.records.get(&fingerprint)
            && suspect.record().attempts == 0
            && !suspect.has_changes()
            && !suspect.has_trial
        {
            self.records.remove(&fingerprint);
        }
    }

    /// Finds or adds a suspect request. If the registry is full, the one whose record is the oldest
    /// is forgotten.
    fn suspect(&mut self, fingerprint: Fingerprint, now: Instant) -> &mut Suspect {
        if self.records.len() >= self.capacity && !self.records.contains_key(&fingerprint) {
            let oldest = self
                .records
                .iter()
                .filter(|(_, suspect)| !suspect.has_trial)
                .min_by_key(|(_, suspect)| suspect.changed_at)
                .map(|(fingerprint, _)| *fingerprint);
            if let Some(oldest) = oldest {
                self.records.remove(&oldest);
            }
        }
        self.records
            .entry(fingerprint)
            .or_insert_with(|| Suspect::new(now))
    }
}
