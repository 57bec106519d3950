//! The inputs of a query besides time, and its actions.

use std::time::Instant;

use thiserror::Error;

use super::Answer;
use crate::coordination::correlation::CallId;
use crate::coordination::correlation::Kind;
use crate::coordination::correlation::Unmatched;
use crate::coordination::merge::Discard;
use crate::coordination::merge::Part;
use crate::coordination::replica::LeafIndex;
use crate::state::id::Fingerprint;
use crate::state::id::ShardId;

/// A call to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutgoingCall {
    /// The call's id, which the answer must repeat.
    pub call: CallId,
    /// The leaf to send it to.
    pub leaf: LeafIndex,
    /// The shard to query on that leaf.
    pub shard: ShardId,
    /// Whether this is a first call, a hedge or a retry.
    pub kind: Kind,
    /// The latest time at which the leaf's answer is still useful; [`HOP_MARGIN`] before the
    /// deadline of the query.
    ///
    /// [`HOP_MARGIN`]: super::HOP_MARGIN
    pub deadline: Instant,
    /// Set for a canary call, which must go through the owner of this fingerprint.
    pub canary: Option<Fingerprint>,
}

/// What the caller of the state machine must do.
#[derive(Clone, Debug)]
pub enum Action<T> {
    /// Send a call.
    Send(OutgoingCall),
    /// Cancel a call whose answer is no longer needed.
    Cancel(CallId),
    /// Report to the fingerprint's owner that the connection of its canary call was reset.
    ReportReset {
        /// The fingerprint of the request that ran.
        fingerprint: Fingerprint,
        /// The leaf that the call was sent to.
        leaf: LeafIndex,
    },
    /// Answer the caller of the query. Always the last action of a query.
    Finish(Answer<T>),
}

/// The header of an answer or refusal as it arrived; not yet checked against the calls in flight.
#[derive(Clone, Copy, Debug)]
pub struct Received {
    /// The id of the call that the message claims to answer.
    pub call: CallId,
    /// The leaf on whose connection the message arrived.
    pub leaf: LeafIndex,
    /// The shard, pin and completeness that the message states.
    pub part: Part,
}

/// Why an answer was not used.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Unused {
    /// The answer matches no call in flight of this query. If the transport received it in place of
    /// the answer to another call, that call stays in flight until the transport reports a failure.
    #[error(transparent)]
    Unmatched(#[from] Unmatched),
    /// The answer matches a call of this query, but cannot be merged; the call counts as failed.
    #[error(transparent)]
    Discard(#[from] Discard),
}
