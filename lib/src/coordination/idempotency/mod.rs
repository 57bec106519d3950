//! The replay window of non-idempotent requests, held at the owner of their keys.
//!
//! A [`Window`] covers a set of keys that always have the same owner. A key runs at most once
//! across all owners of the set, because an owner runs only keys that were first issued after its
//! ownership began, and no earlier owner can have run these. It refuses keys issued earlier with an
//! unknown outcome, unless the previous owner handed over its complete window.
//!
//! An entry stays for [`WINDOW`] after its key was issued. Requests with older keys are refused, so
//! no entry is removed while its key could still run. A full window refuses new keys.

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

/// How long after its issue a key is accepted.
pub const WINDOW: Duration = Duration::from_mins(10);

/// A key that an earlier owner ran can have an issue time up to this long after the start of this
/// owner, by this owner's clock: the earlier owner's clock may be ahead by one skew, and it
/// accepted issue times ahead of its own clock by another.
pub const START_MARGIN: Duration = MAX_CLOCK_SKEW.saturating_mul(2);

/// The outcome of a request, which is the same for all sends of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was run, and this is the answer.
    Answered(Bytes),
    /// The request may have been run.
    Unknown,
}

/// The end of a run, as reported to [`Window::finish`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The run has a final outcome.
    Outcome(Outcome),
    /// No server has started the request. Its key may be sent and run again.
    NotRun,
}

/// Why a request is refused with an unknown outcome.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Unknown {
    /// An earlier owner may have run the request.
    #[error("outcome unknown: the key was issued before this instance began to own it")]
    IssuedBeforeOwner,
    /// The request may have been run, and its entry removed since.
    #[error("outcome unknown: the key is older than the replay window")]
    WindowPassed,
    /// The key was issued in the future by this owner's clock, but not by every owner's.
    #[error("outcome unknown: the key was issued in the future")]
    IssuedInFuture,
    /// The window was handed to the next owner, which may run the request.
    #[error("outcome unknown: the key now belongs to another instance")]
    HandedOver,
}

/// Why a request is refused as not run.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum NotRun {
    /// The window has reached a limit of its [`Capacity`].
    #[error("not run: the replay window is full")]
    WindowFull,
    /// The key was issued in the future by the clock of every possible owner.
    #[error("not run: the key was issued in the future")]
    IssuedInFuture,
}

/// The decision on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin {
    /// Run the request, and report its end with [`Window::finish`].
    Run,
    /// Answer with the outcome of the earlier run.
    Replay(Outcome),
    /// The request is already running for an earlier send of the same key.
    InProgress,
    /// Refuse with an unknown outcome.
    RefuseUnknown(Unknown),
    /// Refuse; the request was not run.
    RefuseNotRun(NotRun),
}

/// Bounds on the memory of a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// The most keys, running or finished.
    pub keys: usize,
    /// The most bytes of all stored answers and reservations together.
    pub bytes: size::Bytes,
    /// The longest answer that is stored. Each running request reserves this many bytes.
    pub answer: size::Bytes,
}

/// The key has no run in progress: none was begun, or it has already ended.
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
    /// The window contains every key that was run and was issued after this time plus
    /// [`START_MARGIN`].
    complete_since: SystemTime,
    capacity: Capacity,
    entries: HashMap<IdempotencyKey, Entry>,
    bytes: u64,
    /// The time of the next scan for expired entries.
    next_expiry: SystemTime,
    imported: bool,
    released: bool,
}

impl Window {
    /// Creates an empty window for `owner`, whose ownership began with `generation` and which may
    /// run keys from `wall` on.
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

    /// Returns the number of keys, running or finished.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the window contains no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the bytes of the stored answers and of the reservations of running requests.
    #[must_use]
    pub fn bytes(&self) -> size::Bytes {
        size::Bytes(self.bytes)
    }

    /// Decides on a request whose key was first issued at `issued`, and reserves space if it runs.
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
        self.remove_expired(wall);
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
            // An earlier owner whose clock is ahead of this one's may have accepted the key.
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

    /// Records the end of a run and returns the outcome for all its senders; `None` means that the
    /// request was not run. An answer longer than [`Capacity::answer`] becomes an unknown outcome
    /// for all of them, because it is not stored and later senders could not get it.
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
            End::Outcome(outcome) if answer_bytes(&outcome) <= reserved => outcome,
            End::Outcome(_) => Outcome::Unknown,
        };
        self.bytes += answer_bytes(&outcome);
        entry.outcome = Some(outcome.clone());
        Ok(Some(outcome))
    }

    /// Removes entries whose keys are too old to be accepted.
    fn remove_expired(&mut self, wall: SystemTime) {
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
            *bytes -= answer_bytes(outcome);
            false
        });
        // Scanning at most once a second keeps the cost per request low when keys expire singly.
        self.next_expiry = next.max(wall + Duration::from_secs(1));
    }
}

/// Returns when an entry may be removed. The margin covers an owner whose clock is set back.
fn expiry(issued: SystemTime) -> SystemTime {
    issued + WINDOW + 2 * MAX_CLOCK_SKEW
}

fn answer_bytes(outcome: &Outcome) -> u64 {
    match outcome {
        Outcome::Answered(answer) => u64::try_from(answer.len()).unwrap_or(u64::MAX),
        Outcome::Unknown => 0,
    }
}
