//! Handover of a replay window from an owner that leaves gracefully to the next owner.

use std::time::SystemTime;

use thiserror::Error;

use super::Entry;
use super::Outcome;
use super::Window;
use super::answer_bytes;
use crate::state::id::Generation;
use crate::state::id::IdempotencyKey;
use crate::state::id::InstanceId;

/// The complete window of an owner that no longer runs any key of the set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handover {
    /// The owner that released the window.
    pub owner: InstanceId,
    /// The first generation in which another instance owns the set.
    pub generation: Generation,
    /// The window contains every key that was run and was issued after this time, plus
    /// [`START_MARGIN`](super::START_MARGIN).
    pub complete_since: SystemTime,
    /// All keys with their issue times and outcomes.
    pub entries: Vec<(IdempotencyKey, SystemTime, Outcome)>,
}

/// Why a handover is rejected. The importing owner continues without it, and refuses keys issued
/// before its own start with an unknown outcome.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ImportError {
    /// The sender is not the owner directly before this one.
    #[error("the replay window comes from {found}, but the previous owner was {expected}")]
    WrongOwner {
        /// The owner directly before this one.
        expected: InstanceId,
        /// The owner that released the window.
        found: InstanceId,
    },
    /// The window was released at another generation than the one in which this owner began.
    #[error("the replay window was released at generation {found}, but is needed at {expected}")]
    WrongGeneration {
        /// The generation in which this owner began.
        expected: Generation,
        /// The generation of the release.
        found: Generation,
    },
    /// The keys or answers exceed the [`Capacity`](super::Capacity) of the importing window.
    #[error("the replay window does not fit into the memory set aside for it")]
    TooLarge,
    /// This window has already imported another one, or was itself released.
    #[error("the replay window was imported or handed over before")]
    TooLate,
}

impl Window {
    /// Closes the window and returns its content for the next owner. From here on, requests that
    /// still run have an unknown outcome at both owners. This owner still replays earlier outcomes,
    /// but refuses new keys.
    pub fn release(&mut self, generation: Generation) -> Handover {
        self.released = true;
        let mut entries = Vec::with_capacity(self.entries.len());
        for (key, entry) in &mut self.entries {
            if entry.outcome.is_none() {
                self.bytes -= self.capacity.answer.0;
            }
            let outcome = entry.outcome.get_or_insert(Outcome::Unknown).clone();
            entries.push((key.clone(), entry.issued, outcome));
        }
        Handover {
            owner: self.owner,
            generation,
            complete_since: self.complete_since,
            entries,
        }
    }

    /// Imports the window of the previous owner. Keys that this window already contains keep their
    /// own entries.
    ///
    /// # Errors
    ///
    /// Returns an error, and changes nothing, unless the handover is the complete window of
    /// `previous`, released at the generation in which this owner began.
    pub fn import(&mut self, handover: Handover, previous: InstanceId) -> Result<(), ImportError> {
        if handover.owner != previous {
            return Err(ImportError::WrongOwner {
                expected: previous,
                found: handover.owner,
            });
        }
        if handover.generation != self.generation {
            return Err(ImportError::WrongGeneration {
                expected: self.generation,
                found: handover.generation,
            });
        }
        if self.imported || self.released {
            return Err(ImportError::TooLate);
        }
        let answers = handover
            .entries
            .iter()
            .map(|(.., outcome)| answer_bytes(outcome));
        let bytes = answers.fold(self.bytes, u64::saturating_add);
        let keys = self.entries.len() + handover.entries.len();
        if keys > self.capacity.keys || bytes > self.capacity.bytes.0 {
            return Err(ImportError::TooLarge);
        }
        for (key, issued, outcome) in handover.entries {
            self.insert_imported(key, issued, outcome);
        }
        self.complete_since = self.complete_since.min(handover.complete_since);
        self.imported = true;
        Ok(())
    }

    fn insert_imported(&mut self, key: IdempotencyKey, issued: SystemTime, outcome: Outcome) {
        if self.entries.contains_key(&key) {
            return;
        }
        self.bytes += answer_bytes(&outcome);
        self.next_expiry = self.next_expiry.min(super::expiry(issued));
        let outcome = Some(outcome);
        self.entries.insert(key, Entry { issued, outcome });
    }
}
