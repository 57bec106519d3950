//! Calls in flight, with what is expected of their answers.
//!
//! A call's id carries the generation of its slot, so an answer to a call that has ended never
//! reaches the call that uses the slot now.

use std::time::Instant;

use slotmap::Key;
use slotmap::KeyData;
use slotmap::SecondaryMap;
use slotmap::SlotMap;
use slotmap::new_key_type;
use thiserror::Error;

use crate::coordination::replica::LeafIndex;
use crate::state::id::ShardId;

new_key_type! {
    /// Identifies one call to a leaf; the correlation on the wire.
    pub struct CallId;
}

impl CallId {
    /// Returns the id as it is written on the wire.
    #[must_use]
    pub fn to_wire(self) -> u64 {
        self.data().as_ffi()
    }

    /// Reads an id from the wire. Any number is safe: an id that was never given out matches no
    /// call.
    #[must_use]
    pub fn from_wire(wire: u64) -> Self {
        KeyData::from_ffi(wire).into()
    }
}

/// Identifies a query in progress at this instance. Never used twice by one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryId(pub u64);

/// Why a call is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The first call to a shard.
    Primary,
    /// A second call while the first is still in flight.
    Hedge,
    /// A call after an earlier one failed.
    Retry,
}

/// A call in flight, and what is expected of its answer.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// The query it belongs to.
    pub query: QueryId,
    /// The position of its shard within the scope of the query.
    pub position: u32,
    /// The leaf that was asked.
    pub leaf: LeafIndex,
    /// The shard that was asked.
    pub shard: ShardId,
    /// Why the call is made.
    pub kind: Kind,
    /// When it was handed to the transport.
    pub sent: Instant,
}

/// Says why an answer belongs to no call in flight.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Unmatched {
    /// The call was cancelled, failed or timed out before.
    #[error("the answer came after its call had ended")]
    Late,
    /// The call has been answered before.
    #[error("the call has been answered before")]
    Duplicated,
    /// The call is in flight, but to another leaf or shard or for another query.
    #[error("the answer belongs to another call")]
    Mismatched,
    /// No call with this id is remembered.
    #[error("the answer belongs to no known call")]
    Unknown,
}

/// Answers dropped since the start, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// Answers to calls that had ended.
    pub late: u64,
    /// Second answers to one call.
    pub duplicated: u64,
    /// Answers to other calls.
    pub mismatched: u64,
    /// Answers to no known call.
    pub unknown: u64,
}

#[derive(Clone, Copy, Debug)]
enum End {
    Answered,
    Abandoned,
}

/// All calls in flight of one entry instance.
#[derive(Debug, Default)]
pub struct Calls {
    in_flight: SlotMap<CallId, Call>,
    // How the last call in each slot ended. Bounded by the number of slots.
    ended: SecondaryMap<CallId, End>,
    dropped: Dropped,
}

impl Calls {
    /// Creates the table with room for `capacity` calls; it grows if there are more.
    #[must_use]
    pub fn with_capacity(capacity: usize) -> Self {
        Self {
            in_flight: SlotMap::with_capacity_and_key(capacity),
            ended: SecondaryMap::with_capacity(capacity),
            dropped: Dropped::default(),
        }
    }

    /// Adds a call.
    pub fn begin(&mut self, call: Call) -> CallId {
        self.in_flight.insert(call)
    }

    /// Returns the query that an answer is to be handed to.
    ///
    /// # Errors
    ///
    /// Fails, and counts the answer as dropped, if the call is not in flight.
    pub fn query(&mut self, id: CallId) -> Result<QueryId, Unmatched> {
        match self.in_flight.get(id) {
            Some(call) => Ok(call.query),
            None => Err(self.drop_answer(id)),
        }
    }

    /// Returns a call in flight.
    #[must_use]
    pub fn get(&self, id: CallId) -> Option<&Call> {
        self.in_flight.get(id)
    }

    /// Ends a call with its answer, which came from `leaf` and names `shard`.
    ///
    /// # Errors
    ///
    /// Fails, and counts the answer as dropped, if it does not belong to a call in flight of the
    /// query. A crossed answer leaves its call in flight, whose own answer may still arrive.
    pub fn answer(
        &mut self,
        id: CallId,
        query: QueryId,
        leaf: LeafIndex,
        shard: ShardId,
    ) -> Result<Call, Unmatched> {
        let call = self.check(id, query, leaf, shard)?;
        self.end(id, End::Answered);
        Ok(call)
    }

    /// Checks whether an answer from `leaf` that names `shard` belongs to a call of the query, which
    /// stays in flight.
    ///
    /// # Errors
    ///
    /// Fails, and counts the answer as dropped, if it does not.
    pub fn check(
        &mut self,
        id: CallId,
        query: QueryId,
        leaf: LeafIndex,
        shard: ShardId,
    ) -> Result<Call, Unmatched> {
        let Some(call) = self.in_flight.get(id).copied() else {
            return Err(self.drop_answer(id));
        };
        if call.query != query || call.leaf != leaf || call.shard != shard {
            self.dropped.mismatched += 1;
            return Err(Unmatched::Mismatched);
        }
        Ok(call)
    }

    /// Ends a call without an answer: cancelled, failed or timed out. Returns `None` if it is not
    /// in flight.
    pub fn abandon(&mut self, id: CallId) -> Option<Call> {
        self.end(id, End::Abandoned)
    }

    /// Returns the number of calls in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns how many answers were dropped.
    #[must_use]
    pub fn dropped(&self) -> Dropped {
        self.dropped
    }

    fn end(&mut self, id: CallId, end: End) -> Option<Call> {
        let call = self.in_flight.remove(id)?;
        self.ended.insert(id, end);
        Some(call)
    }

    fn drop_answer(&mut self, id: CallId) -> Unmatched {
        match self.ended.get(id) {
            Some(End::Answered) => {
                self.dropped.duplicated += 1;
                Unmatched::Duplicated
            }
            Some(End::Abandoned) => {
                self.dropped.late += 1;
                Unmatched::Late
            }
            None => {
                self.dropped.unknown += 1;
                Unmatched::Unknown
            }
        }
    }
}
