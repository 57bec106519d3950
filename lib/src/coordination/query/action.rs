//! What goes into a query besides time, and what comes out.

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

/// An order to send one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutgoingCall {
    /// The call's id, which its answer has to carry.
    pub call: CallId,
    /// The leaf to ask.
    pub leaf: LeafIndex,
    /// The shard to ask for.
    pub shard: ShardId,
    /// Why the call is made.
    pub kind: Kind,
    /// When the leaf has to have answered.
    pub deadline: Instant,
    /// Set if the call goes through the owner of this fingerprint.
    pub canary: Option<Fingerprint>,
}

/// What the caller of the state machine has to do.
#[derive(Clone, Debug)]
pub enum Action<T> {
    /// Sends a call.
    Send(OutgoingCall),
    /// Cancels a call, whose answer is no longer wanted.
    Cancel(CallId),
    /// Tells the fingerprint's owner that its canary call ended in a reset.
    ReportReset {
        /// The request's fingerprint.
        fingerprint: Fingerprint,
        /// The leaf that ran it.
        leaf: LeafIndex,
    },
    /// Answers the caller. Always the last action of a query.
    Finish(Answer<T>),
}

/// An answer as it arrived.
#[derive(Clone, Copy, Debug)]
pub struct Received {
    /// The call it says it answers.
    pub call: CallId,
    /// The leaf whose connection it came from.
    pub leaf: LeafIndex,
    /// What it says about itself.
    pub part: Part,
}

/// Says why an answer was not used.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Unused {
    /// It belongs to no call in flight of this query. A call that the transport had made for it
    /// stays in flight until the transport reports its failure.
    #[error(transparent)]
    Unmatched(#[from] Unmatched),
    /// It belongs to a call of this query, but cannot be merged; the call counts as failed.
    #[error(transparent)]
    Discard(#[from] Discard),
}
