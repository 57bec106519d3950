//! Matches answers to the calls in flight.
//!
//! A call's id contains the generation of its slot, so an answer to a call that has ended is never
//! attributed to the call that uses the slot now.

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
    /// Identifies one call to a leaf. Sent on the wire as the correlation id.
    pub struct CallId;
}

impl CallId {
    /// Returns the id in its wire format.
    #[must_use]
    pub fn to_wire(self) -> u64 {
        self.data().as_ffi()
    }

    /// Converts an id from its wire format. Accepts any number: an id that was never assigned
    /// matches no call.
    #[must_use]
    pub fn from_wire(wire: u64) -> Self {
        KeyData::from_ffi(wire).into()
    }
}

/// Identifies a query at this instance. Never reused within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryId(pub u64);

/// The role of a call within its query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The first call to a shard.
    Primary,
    /// An additional call while an earlier one to the shard is still in flight.
    Hedge,
    /// A call after an earlier one to the shard failed.
    Retry,
}

/// A call in flight, with the values that its answer must match.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// The query that the call belongs to.
    pub query: QueryId,
    /// The position of the shard within the scope of the query, from 0.
    pub position: u32,
    /// The leaf that the call was sent to.
    pub leaf: LeafIndex,
    /// The shard that the call queries.
    pub shard: ShardId,
    /// Whether this is a first call, a hedge or a retry.
    pub kind: Kind,
    /// When the call was handed to the transport. Latency is measured from here.
    pub sent: Instant,
}

/// Why an answer matches no call in flight.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Unmatched {
    /// The call was cancelled, failed or timed out before the answer arrived.
    #[error("the answer came after its call had ended")]
    Late,
    /// The call has already been answered.
    #[error("the call has already been answered")]
    Duplicated,
    /// The call is in flight, but to another leaf or shard or for another query.
    #[error("the answer belongs to another call")]
    Mismatched,
    /// No call with this id is recorded: the id was never assigned, or a later call in its
    /// slot has ended as well.
    #[error("the answer belongs to no known call")]
    Unknown,
}

/// Number of answers dropped since the table was created, by [`Unmatched`] reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// Answers to calls that had been cancelled, failed or timed out.
    pub late: u64,
    /// Further answers to calls that had been answered.
    pub duplicated: u64,
    /// Answers whose query, leaf or shard differs from that of the call in flight.
    pub mismatched: u64,
    /// Answers whose id matches no recorded call.
    pub unknown: u64,
}

#[derive(Clone, Copy, Debug)]
enum End {
    Answered,
    Abandoned,
}

/// The calls in flight of one entry instance.
#[derive(Debug, Default)]
pub struct Calls {
    in_flight: SlotMap<CallId, Call>,
    // How the last call in each slot ended. Its size is bounded by the number of slots.
    ended: SecondaryMap<CallId, End>,
    dropped: Dropped,
}

impl Calls {
    /// Creates an empty table with memory for `capacity` calls; it grows if there are more.
    #[must_use]
    pub fn with_capacity(capacity: usize) -> Self {
        Self {
            in_flight: SlotMap::with_capacity_and_key(capacity),
            ended: SecondaryMap::with_capacity(capacity),
            dropped: Dropped::default(),
        }
    }

    /// Adds a call in flight and returns its new id.
    pub fn begin(&mut self, call: Call) -> CallId {
        self.in_flight.insert(call)
    }

    /// Returns the query of the call with this id, which handles its answer.
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

    /// Returns the call with this id, or `None` if it is not in flight.
    #[must_use]
    pub fn get(&self, id: CallId) -> Option<&Call> {
        self.in_flight.get(id)
    }

    /// Ends a call because of its answer, which came from `leaf` and names `shard`.
    ///
    /// # Errors
    ///
    /// Fails, and counts the answer as dropped, if it does not match a call in flight of the query.
    /// After a mismatch the call stays in flight, because its own answer may still arrive.
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

    /// Checks that an answer from `leaf` that names `shard` matches a call of the query. The call
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

    /// Ends a call that was cancelled, failed or timed out. Returns `None` if it is not in flight.
    pub fn abandon(&mut self, id: CallId) -> Option<Call> {
        self.end(id, End::Abandoned)
    }

    /// Returns the number of calls in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns how many answers were dropped since this table was created.
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
