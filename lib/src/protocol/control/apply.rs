//! Messages about the operators' file.

use std::ops::Range;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::state::file;
use crate::state::file::File;
use crate::state::id::Generation;
use crate::state::id::OperationId;
use crate::state::id::Revision;

/// The largest file that is accepted, in bytes. The key-value service holds values up to 1 MB.
pub const MAX_FILE_BYTES: usize = 1_000_000;

/// Asks for a file to become the next revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Identifies the attempt. A request that is sent again carries the same id.
    pub operation: OperationId,
    /// The text of the file.
    pub text: Box<str>,
    /// When set, the file is accepted only as the successor of this revision.
    pub expected_revision: Option<Revision>,
}

/// Is returned when a request to apply a file is not acceptable.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum InvalidApply {
    /// The file exceeds the permitted size.
    #[error("the file has {bytes} bytes: at most {MAX_FILE_BYTES} are permitted")]
    TooLarge {
        /// Its size.
        bytes: usize,
    },
    /// The file has problems.
    #[error("the file has {} problem(s)", .0.len())]
    Problems(Vec<file::Problem>),
}

impl TryFrom<&ApplyRequest> for File {
    type Error = InvalidApply;

    fn try_from(request: &ApplyRequest) -> Result<Self, Self::Error> {
        let bytes = request.text.len();
        if bytes > MAX_FILE_BYTES {
            return Err(InvalidApply::TooLarge { bytes });
        }
        Self::parse(&request.text).map_err(InvalidApply::Problems)
    }
}

impl From<InvalidApply> for ApplyAnswer {
    fn from(error: InvalidApply) -> Self {
        match error {
            InvalidApply::TooLarge { .. } => Self::NotAccepted {
                reason: Refusal::FileTooLarge,
            },
            InvalidApply::Problems(problems) => Self::RejectedProblems {
                problems: problems.into_iter().map(Problem::from).collect(),
            },
        }
    }
}

/// The result of an attempt to apply a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum ApplyAnswer {
    /// The file is accepted.
    Accepted {
        /// The revision of the file.
        revision: Revision,
        /// The generation of the record that names it.
        generation: Generation,
    },
    /// The file has problems, and nothing was changed.
    RejectedProblems {
        /// All problems found.
        problems: Vec<Problem>,
    },
    /// Another change was accepted meanwhile, and nothing was changed.
    Conflict {
        /// The revision in force.
        revision: Revision,
        /// What differs between the expected revision and the one in force. Empty when the
        /// expected revision is not known any more.
        changes: Vec<Change>,
    },
    /// The change was not attempted or definitely failed.
    NotAccepted {
        /// Why.
        reason: Refusal,
    },
    /// The change may or may not have taken effect.
    Unknown {
        /// The generation that the change was to follow.
        base: Generation,
    },
}

/// Why a change was not accepted.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The record could not be read, so nothing was announced.
    #[error("the key-value service is unreachable")]
    StoreUnreachable,
    /// Fewer than a majority of the witnesses promised.
    #[error("no majority of the witnesses is in reach")]
    NoMajority,
    /// Other writers won repeatedly.
    #[error("other changes kept going first")]
    Contended,
    /// The instance is shutting down.
    #[error("the instance is shutting down")]
    ShuttingDown,
    /// The instance has not learned a record yet.
    #[error("the instance is starting")]
    Starting,
    /// The file is larger than [`MAX_FILE_BYTES`].
    #[error("the file is larger than {MAX_FILE_BYTES} bytes")]
    FileTooLarge,
}

/// What is known about an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum OperationAnswer {
    /// The operation took effect.
    Accepted {
        /// The revision of the file.
        revision: Revision,
        /// The generation that the operation created.
        generation: Generation,
    },
    /// A read of the key-value service shows a record without the operation. The operation can
    /// no longer take effect if `generation` is above the operation's base.
    Absent {
        /// The generation of the record.
        generation: Generation,
        /// The oldest generation whose operation the record still lists.
        oldest: Generation,
    },
    /// The key-value service could not be read.
    Unknown,
}

/// The file in force at an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileAnswer {
    /// Its revision; 0 when no file was accepted yet.
    pub revision: Revision,
    /// The generation of the record.
    pub generation: Generation,
    /// Its text; empty when no file was accepted yet.
    pub text: Box<str>,
}

/// One thing that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// What is wrong.
    pub message: Box<str>,
    /// The first byte concerned.
    pub start: usize,
    /// The first byte behind.
    pub end: usize,
}

impl From<file::Problem> for Problem {
    fn from(problem: file::Problem) -> Self {
        let Range { start, end } = problem.span;
        Self {
            message: problem.message,
            start,
            end,
        }
    }
}

impl From<Problem> for file::Problem {
    fn from(problem: Problem) -> Self {
        Self {
            message: problem.message,
            span: problem.start..problem.end,
        }
    }
}

/// One difference between two files.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Where in the file.
    pub path: Box<str>,
    /// The old value.
    pub old: Option<Box<str>>,
    /// The new value.
    pub new: Option<Box<str>>,
}

impl From<file::Change> for Change {
    fn from(change: file::Change) -> Self {
        let file::Change { path, old, new } = change;
        Self { path, old, new }
    }
}

impl From<Change> for file::Change {
    fn from(change: Change) -> Self {
        let Change { path, old, new } = change;
        Self { path, old, new }
    }
}
