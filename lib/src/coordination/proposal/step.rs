//! Steps that the proposer requests, and their results.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::state::id::Generation;
use crate::state::id::InstanceId;
use crate::state::id::OperationId;
use crate::state::id::Revision;
use crate::state::record::FileRef;
use crate::state::record::Member;
use crate::state::record::Record;

/// Identifies one announcement by its proposer and the proposer's sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProposalId {
    /// The id under which the proposer's process started.
    pub proposer: InstanceId,
    /// Sequence number of the announcement at its proposer, from 1.
    pub number: u64,
}

/// The store's modification revision of the record; 0 if the key does not exist.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreRevision(pub u64);

/// A record and its revision in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// The decoded record.
    pub record: Arc<Record>,
    /// The store's modification revision of the record.
    pub revision: StoreRevision,
}

/// The store's answer to a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The record was written.
    Written(StoreRevision),
    /// The store holds another revision; nothing was written.
    Conflict,
    /// The request cannot have reached the store.
    NotSent,
    /// The request may have taken effect.
    Unknown,
}

/// Why an operation was not accepted, or why its outcome is unknown.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Error {
    /// The store could not be reached, and the record was not written.
    #[error("not accepted: the store cannot be reached")]
    StoreUnreachable,
    /// Too few witnesses promised in time. The record was not written.
    #[error("not accepted: {promised} of {needed} witnesses promised")]
    NoMajority {
        /// Number of witnesses that promised, those known to have terminated included.
        promised: usize,
        /// Number of promises that make a majority.
        needed: usize,
    },
    /// Every attempt failed, the last one because a witness refused or the store held another
    /// record. Usually other proposers wrote the generation first. The operation did not change
    /// the record.
    #[error("not accepted: another change made generation {generation}, file revision {revision}")]
    LostRace {
        /// The generation that the last attempt was to write.
        generation: Generation,
        /// The file revision in the record that the last attempt read.
        revision: Revision,
    },
    /// The current file is not the one that the operator saw.
    #[error("not accepted: expected file revision {expected}, found {found}")]
    RevisionMismatch {
        /// The revision that the operator saw.
        expected: Revision,
        /// The current revision.
        found: Revision,
    },
    /// The rollout is not at the stage that the rollout driver saw.
    #[error("not accepted: the rollout is at another stage now")]
    StageMismatch,
    /// The queue of the proposer is full.
    #[error("not accepted: {0} operations wait already")]
    Busy(usize),
    /// The outcome is not known yet, or can no longer be determined because the record does not
    /// list operations that old. A repeated request with the same operation id resolves it only in
    /// the first case.
    #[error("outcome unknown: the store's answer was lost")]
    Unknown,
}

/// The result of an accepted operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// The generation that contains the operation's change.
    pub generation: Generation,
}

/// An effect that the proposer requests from the control state machine.
#[derive(Clone, Debug)]
pub enum Step {
    /// Read the record regardless of its revision.
    Read,
    /// Write the file body.
    WriteBody {
        /// The reference under which the body is stored.
        file: FileRef,
        /// The uncompressed body.
        text: Arc<str>,
    },
    /// Ask the witnesses for promises.
    Announce {
        /// The announcement.
        proposal: ProposalId,
        /// The generation that the proposer wants to write.
        generation: Generation,
        /// The witnesses from which promises are requested.
        witnesses: Vec<Member>,
    },
    /// Release the witnesses from their promises.
    Retract {
        /// The announcement.
        proposal: ProposalId,
        /// The witnesses to which the retraction is sent.
        witnesses: Vec<Member>,
    },
    /// Write the record if the store still holds the expected revision.
    Swap {
        /// The expected revision.
        expected: StoreRevision,
        /// The new record.
        record: Arc<Record>,
    },
    /// A record was read from or written to the store; adopt it if it is newer.
    Observed(StoredRecord),
    /// Report the result of an operation to its requester.
    Finished {
        /// The operation.
        operation: OperationId,
        /// The accepted generation, or the error.
        result: Result<Accepted, Error>,
    },
}
