//! What goes in and out of the proposer.

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

/// Identifies one announcement: the instance that made it, and a count of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProposalId {
    /// The proposer.
    pub proposer: InstanceId,
    /// Counts the proposer's announcements.
    pub number: u64,
}

/// The store's modification revision of the record; 0 if the key does not exist.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreRevision(pub u64);

/// A record as it stands in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// The record.
    pub record: Arc<Record>,
    /// The store's revision of it.
    pub revision: StoreRevision,
}

/// The store's answer to a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The record was written.
    Written(StoreRevision),
    /// Another record stands there; nothing was written.
    Conflict,
    /// The request cannot have reached the store.
    NotSent,
    /// The request may have taken effect.
    Unknown,
}

/// Why an operation was not accepted, or is not known to be.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Error {
    /// Nothing was announced or written.
    #[error("not accepted: the store cannot be reached")]
    StoreUnreachable,
    /// Too few witnesses promised in time. Nothing was written.
    #[error("not accepted: {promised} of {needed} witnesses promised")]
    NoMajority {
        /// Witnesses that promised.
        promised: usize,
        /// Witnesses needed.
        needed: usize,
    },
    /// Other writers were faster.
    #[error("not accepted: another change made generation {generation}, file revision {revision}")]
    LostRace {
        /// The generation found.
        generation: Generation,
        /// The file revision found.
        revision: Revision,
    },
    /// The file in force is not the one that the operator saw.
    #[error("not accepted: expected file revision {expected}, found {found}")]
    RevisionMismatch {
        /// The operator's revision.
        expected: Revision,
        /// The revision in force.
        found: Revision,
    },
    /// The rollout is not at the stage that the proposer saw.
    #[error("not accepted: the rollout is at another stage now")]
    StageMismatch,
    /// Too many operations wait.
    #[error("not accepted: {0} operations wait already")]
    Busy(usize),
    /// The outcome is not known yet; asking again with the same operation id resolves it.
    #[error("outcome unknown: the store's answer was lost")]
    Unknown,
}

/// How an accepted operation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// The generation that the operation made.
    pub generation: Generation,
}

/// What the proposer asks for.
#[derive(Clone, Debug)]
pub enum Step {
    /// Read the record, whatever its revision.
    Read,
    /// Write the file body.
    WriteBody {
        /// The body's name.
        file: FileRef,
        /// The body.
        text: Arc<str>,
    },
    /// Ask the witnesses for promises.
    Announce {
        /// The announcement.
        proposal: ProposalId,
        /// The generation to make.
        generation: Generation,
        /// Whom to ask.
        witnesses: Vec<Member>,
    },
    /// Free the witnesses of their promises.
    Retract {
        /// The announcement.
        proposal: ProposalId,
        /// Whom to tell.
        witnesses: Vec<Member>,
    },
    /// Write the record if the store still holds the expected revision.
    Swap {
        /// The expected revision.
        expected: StoreRevision,
        /// The new record.
        record: Arc<Record>,
    },
    /// Take over a record that was read or written.
    Observed(StoredRecord),
    /// Tell whoever asked.
    Finished {
        /// The operation.
        operation: OperationId,
        /// How it ended.
        result: Result<Accepted, Error>,
    },
}
