//! The replay window of non-idempotent requests, held at the owner of their keys.
//!
//! A [`Window`] covers a set of keys that always have the same owner. A key runs at most once over
//! all owners of the set, because an owner runs only keys that were first issued after it began:
//! no earlier owner can have run these. Keys issued before are refused as unknown, unless the
//! previous owner handed over its complete window.
//!
//! An entry stays for [`WINDOW`] after its key was issued; requests with older keys are refused, so
//! a key is never forgotten while it could still be run. A full window refuses new keys.

mod handover;

use std::collections::HashMap;
use std::time::Duration;
use std::time::SystemTime;

use bytes::Bytes;
use thiserror::Error;

pub use self::handover::Handover;
pub use self::handover::ImportError;
use crate::state::id::Generation;
use crate::state::id::IdempotencyKey;
use crate::state::id::InstanceId;
use crate::state::size;
use crate::state::time::MAX_CLOCK_SKEW;

/// How long a key can be sent again.
pub const WINDOW: Duration = Duration::from_mins(10);

/// How far the issue time of a key that an earlier owner ran can lie after the start of this one,
/// by this owner's clock: the earlier owner's clock may be ahead by one skew, and it accepted issue
/// times that were ahead of its clock by another.
pub const START_MARGIN: Duration = MAX_CLOCK_SKEW.saturating_mul(2);

/// How a request ended, as told to each of its senders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was run, and this is the answer.
    Answered(Bytes),
    /// It may have been run.
    Unknown,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The outcome is final.
    Outcome(Outcome),
    /// No server has started it; it may be sent again.
    NotRun,
}

/// Why a request is refused with an unknown outcome.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Unknown {
    /// An earlier owner may have run it.
    #[error("outcome unknown: the key was issued before this instance began to own it")]
    IssuedBeforeOwner,
    /// It may have been run and forgotten.
    #[error("outcome unknown: the key is older than the replay window")]
    WindowPassed,
    /// It was issued in the future by this owner's clock, but not by every owner's.
    #[error("outcome unknown: the key was issued in the future")]
    IssuedInFuture,
    /// The window was handed to the next owner, which may run it.
    #[error("outcome unknown: the key now belongs to another instance")]
    HandedOver,
}

/// Why a request is refused as not run.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum NotRun {
    /// The window holds as many keys or bytes as it may.
    #[error("not run: the replay window is full")]
    WindowFull,
    /// It was issued in the future by the clock of every owner.
    #[error("not run: the key was issued in the future")]
    IssuedInFuture,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin {
    /// Run it, and report its end.
    Run,
    /// Answer with the outcome of the earlier run.
    Replay(Outcome),
    /// An earlier send of the same request is running.
    InProgress,
    /// Refuse with an unknown outcome.
    RefuseUnknown(Unknown),
    /// Refuse as not run.
    RefuseNotRun(NotRun),
}

/// Bounds on the memory of a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// The most keys.
    pub keys: usize,
    /// The most bytes of all kept answers together.
    pub bytes: size::Bytes,
    /// The longest answer that is kept. A running request reserves it.
    pub answer: size::Bytes,
}

/// Reports a run that was never begun or has ended before.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("no run of this key is in progress")]
pub struct NotInProgress;

#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    issued: SystemTime,
    /// `None` while the request runs.
    outcome: Option<Outcome>,
}

/// The replay window of one set of keys at its owner.
#[derive(Clone, Debug)]
pub struct Window {
    owner: InstanceId,
    generation: Generation,
    /// Every key issued after this time, with [`START_MARGIN`], is in the window if it was run.
    complete_since: SystemTime,
    capacity: Capacity,
    entries: HashMap<IdempotencyKey, Entry>,
    bytes: u64,
    /// Entries are first looked through for expired ones at this time.
    next_expiry: SystemTime,
    imported: bool,
    released: bool,
}

impl Window {
    /// Starts an empty window for `owner`, which learned its ownership with `generation` and is
    /// permitted to act from `wall` on.
    #[must_use]
    pub fn new(
        owner: InstanceId,
        generation: Generation,
        capacity: Capacity,
        wall: SystemTime,
    ) -> Self {
        Self {
            owner,
            generation,
            complete_since: wall,
            capacity,
            entries: HashMap::new(),
            bytes: 0,
            next_expiry: wall,
            imported: false,
            released: false,
        }
    }

    /// Returns how many keys the window holds.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether the window holds no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the bytes of the kept answers and of the reservations.
    #[must_use]
    pub fn bytes(&self) -> size::Bytes {
        size::Bytes(self.bytes)
    }

    /// Decides about a request whose key was first issued at `issued`.
    pub fn begin(&mut self, key: &IdempotencyKey, issued: SystemTime, wall: SystemTime) -> Begin {
        if let Some(entry) = self.entries.get(key) {
            return match &entry.outcome {
                Some(outcome) => Begin::Replay(outcome.clone()),
                None => Begin::InProgress,
            };
        }
        if let Some(refusal) = self.refusal(issued, wall) {
            return refusal;
        }
        self.expire(wall);
        let bytes = self.bytes.saturating_add(self.capacity.answer.0);
        if self.entries.len() >= self.capacity.keys || bytes > self.capacity.bytes.0 {
            return Begin::RefuseNotRun(NotRun::WindowFull);
        }
        self.bytes = bytes;
        let outcome = None;
        self.entries.insert(key.clone(), Entry { issued, outcome });
        self.next_expiry = self.next_expiry.min(expiry(issued));
        Begin::Run
    }

    fn refusal(&self, issued: SystemTime, wall: SystemTime) -> Option<Begin> {
        if self.released {
            return Some(Begin::RefuseUnknown(Unknown::HandedOver));
        }
        if issued > wall + 2 * MAX_CLOCK_SKEW {
            return Some(Begin::RefuseNotRun(NotRun::IssuedInFuture));
        }
        if issued > wall + MAX_CLOCK_SKEW {
            // An earlier owner with a clock ahead of this one may have accepted it.
            return Some(Begin::RefuseUnknown(Unknown::IssuedInFuture));
        }
        if issued + WINDOW <= wall {
            return Some(Begin::RefuseUnknown(Unknown::WindowPassed));
        }
        if issued <= self.complete_since + START_MARGIN {
            return Some(Begin::RefuseUnknown(Unknown::IssuedBeforeOwner));
        }
        None
    }

    /// Takes the end of a run and returns what to tell its senders; `None` means that it was not
    /// run. An answer longer than permitted becomes an unknown outcome for all of them, since a
    /// later sender could not be told the same.
    ///
    /// # Errors
    ///
    /// Returns [`NotInProgress`] if no run of the key is in progress.
    pub fn finish(
        &mut self,
        key: &IdempotencyKey,
        end: End,
    ) -> Result<Option<Outcome>, NotInProgress> {
        let reserved = self.capacity.answer.0;
        let entry = self.entries.get_mut(key).ok_or(NotInProgress)?;
        if entry.outcome.is_some() {
            return Err(NotInProgress);
        }
        self.bytes -= reserved;
        let outcome = match end {
            End::NotRun => {
                self.entries.remove(key);
                return Ok(None);
            }
            End::Outcome(outcome) if length(&outcome) <= reserved => outcome,
            End::Outcome(_) => Outcome::Unknown,
        };
        self.bytes += length(&outcome);
        entry.outcome = Some(outcome.clone());
        Ok(Some(outcome))
    }

    /// Removes entries that no accepted request can ask for.
    fn expire(&mut self, wall: SystemTime) {
        if wall < self.next_expiry {
            return;
        }
        let bytes = &mut self.bytes;
        let mut next = wall + WINDOW;
        self.entries.retain(|_, entry| {
            let Some(outcome) = &entry.outcome else {
                return true;
            };
            if expiry(entry.issued) > wall {
                next = next.min(expiry(entry.issued));
                return true;
            }
            *bytes -= length(outcome);
            false
        });
        // A lower bound on the interval keeps the cost per request small when keys expire singly.
        self.next_expiry = next.max(wall + Duration::from_secs(1));
    }
}

/// Returns when an entry may be forgotten. The margin covers an owner whose clock is set back.
fn expiry(issued: SystemTime) -> SystemTime {
    issued + WINDOW + 2 * MAX_CLOCK_SKEW
}

fn length(outcome: &Outcome) -> u64 {
    match outcome {
        Outcome::Answered(answer) => u64::try_from(answer.len()).unwrap_or(u64::MAX),
        Outcome::Unknown => 0,
    }
}
