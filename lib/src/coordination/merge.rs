//! Merges the answers of leafs into one answer, which comes from a single snapshot and states how
//! many shards it covers.

use fixedbitset::FixedBitSet;
use thiserror::Error;

use crate::coordination::pin::Pin;
use crate::state::id::ShardId;

/// The number of shards that answered, out of those in scope.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Coverage {
    /// Shards whose complete answer is part of the merged answer.
    pub answered: u32,
    /// Distinct shards in the scope of the query.
    pub in_scope: u32,
}

impl Coverage {
    /// Returns whether every shard answered. An empty scope is never complete.
    #[must_use]
    pub fn is_complete(self) -> bool {
        self.in_scope > 0 && self.answered == self.in_scope
    }

    /// Returns whether at least one shard and at least the share `minimum`, from 0 to 1, of the
    /// shards in scope answered.
    #[must_use]
    pub fn reaches(self, minimum: f64) -> bool {
        // Rounding can put a product such as 0.3 × 10 just above the exact integer.
        const ROUNDING: f64 = 1e-9;
        self.answered > 0
            && f64::from(self.answered) + ROUNDING >= minimum * f64::from(self.in_scope)
    }
}

/// The metadata that a leaf states in its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// The shard that the leaf says it answered for.
    pub shard: ShardId,
    /// The snapshot and partition map that the leaf says it answered from.
    pub pin: Pin,
    /// Whether the answer arrived in full.
    pub complete: bool,
}

/// Why an answer was not merged.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Discard {
    /// The answer did not arrive in full.
    #[error("the answer was truncated")]
    Truncated,
    /// The answer comes from a snapshot other than the pinned one.
    #[error("the answer comes from another snapshot")]
    Snapshot,
    /// The answer comes from a partition map other than the pinned one.
    #[error("the answer comes from another partition map")]
    Partition,
    /// The answer comes from a shard other than the one queried.
    #[error("the answer comes from another shard")]
    Shard,
    /// An answer of this shard has already been merged.
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

    /// Adds the answer to a call that queried the shard `asked`, which is at `position` within the
    /// scope.
    ///
    /// # Errors
    ///
    /// Fails without a change if the answer is truncated, does not match the pin or the queried
    /// shard, or if the shard has already answered.
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

    /// Returns the coverage of the answers merged so far; after [`Merge::take_contents`] it is 0.
    #[must_use]
    pub fn coverage(&self) -> Coverage {
        Coverage {
            answered: u32::try_from(self.contents.len()).unwrap_or(u32::MAX),
            in_scope: self.in_scope,
        }
    }

    /// Returns the pin that every merged answer matches.
    #[must_use]
    pub fn pin(&self) -> Pin {
        self.pin
    }

    /// Takes the contents out, in order of arrival. Call this once, as the last method: a shard
    /// that has answered is still rejected afterwards, but no longer counted in the coverage.
    #[must_use]
    pub fn take_contents(&mut self) -> Vec<(ShardId, T)> {
        std::mem::take(&mut self.contents)
    }
}
