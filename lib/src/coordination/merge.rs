//! Merges the answers of leafs into one answer from one snapshot, with its true coverage.

use fixedbitset::FixedBitSet;
use thiserror::Error;

use crate::coordination::pin::Pin;
use crate::state::id::ShardId;

/// The number of shards that answered, out of those in scope.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Coverage {
    /// Shards whose whole answer is part of the merged answer.
    pub answered: u32,
    /// Shards in scope.
    pub in_scope: u32,
}

impl Coverage {
    /// Tells whether every shard answered. An empty scope is never complete.
    #[must_use]
    pub fn is_complete(self) -> bool {
        self.in_scope > 0 && self.answered == self.in_scope
    }

    /// Tells whether at least the share `minimum`, from 0 to 1, of the shards answered, and at
    /// least one.
    #[must_use]
    pub fn reaches(self, minimum: f64) -> bool {
        // A product like 0.3 × 10 may come out just above the whole number.
        const ROUNDING: f64 = 1e-9;
        self.answered > 0
            && f64::from(self.answered) + ROUNDING >= minimum * f64::from(self.in_scope)
    }
}

/// What a leaf's answer says about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// The shard that answered.
    pub shard: ShardId,
    /// The snapshot and partition map it answered from.
    pub pin: Pin,
    /// Whether the whole answer arrived.
    pub complete: bool,
}

/// Says why an answer is not part of the merged answer.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Discard {
    /// The answer was cut short.
    #[error("the answer was cut short")]
    Truncated,
    /// The answer comes from another snapshot than the pinned one.
    #[error("the answer comes from another snapshot")]
    Snapshot,
    /// The answer comes from another partition map than the pinned one.
    #[error("the answer comes from another partition map")]
    Partition,
    /// The answer comes from another shard than the one asked.
    #[error("the answer comes from another shard")]
    Shard,
    /// The shard has already answered.
    #[error("the shard has already answered")]
    Repeated,
}

/// The answers of one query so far. `T` is the content of a leaf's answer.
#[derive(Clone, Debug)]
pub struct Merge<T> {
    pin: Pin,
    answered: FixedBitSet,
    in_scope: u32,
    contents: Vec<(ShardId, T)>,
}

impl<T> Merge<T> {
    /// Creates an empty merge for `in_scope` shards, with room for all of their answers.
    #[must_use]
    pub fn new(pin: Pin, in_scope: u32) -> Self {
        Self {
            pin,
            answered: FixedBitSet::with_capacity(in_scope as usize),
            in_scope,
            contents: Vec::with_capacity(in_scope as usize),
        }
    }

    /// Adds the answer to the call for `asked`, the shard at `position` within the scope.
    ///
    /// # Errors
    ///
    /// Discards an answer that is not whole, does not match the pin or the shard asked, or repeats
    /// a shard. Nothing changes then.
    ///
    /// # Panics
    ///
    /// Panics if `position` is outside the scope.
    pub fn add(
        &mut self,
        position: u32,
        asked: ShardId,
        part: Part,
        content: T,
    ) -> Result<(), Discard> {
        if part.shard != asked {
            return Err(Discard::Shard);
        }
        if part.pin.partition != self.pin.partition {
            return Err(Discard::Partition);
        }
        if part.pin.snapshot != self.pin.snapshot {
            return Err(Discard::Snapshot);
        }
        if !part.complete {
            return Err(Discard::Truncated);
        }
        if self.answered.put(position as usize) {
            return Err(Discard::Repeated);
        }
        self.contents.push((asked, content));
        Ok(())
    }

    /// Returns the coverage so far.
    #[must_use]
    pub fn coverage(&self) -> Coverage {
        Coverage {
            answered: u32::try_from(self.contents.len()).unwrap_or(u32::MAX),
            in_scope: self.in_scope,
        }
    }

    /// Returns the pin that all answers match.
    #[must_use]
    pub fn pin(&self) -> Pin {
        self.pin
    }

    /// Takes the contents out, in order of arrival. The merge accepts no further answers of the
    /// same shards and is used no longer.
    #[must_use]
    pub fn take_contents(&mut self) -> Vec<(ShardId, T)> {
        std::mem::take(&mut self.contents)
    }
}
