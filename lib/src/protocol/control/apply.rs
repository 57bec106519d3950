//! Messages for reading and changing the operators' file.

use std::ops::Range;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::state::file;
use crate::state::file::File;
use crate::state::id::Generation;
use crate::state::id::OperationId;
use crate::state::id::Revision;

/// The largest permitted file, in bytes: the key-value service limits values to 1 MB.
pub const MAX_FILE_BYTES: usize = 1_000_000;

/// Proposes a file as the next revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Identifies the attempt. A client that resends the request must use the same id.
    pub operation: OperationId,
    /// The text of the file.
    pub text: Box<str>,
    /// When set, the file is accepted only if this is the revision in force.
    pub expected_revision: Option<Revision>,
}

/// The error returned when the file of an [`ApplyRequest`] is too large or invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum InvalidApply {
    /// The file exceeds the permitted size.
    #[error("the file has {bytes} bytes: at most {MAX_FILE_BYTES} are permitted")]
    TooLarge {
        /// The size of the file.
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
        /// The revision of the file; 0 if the instance could not find it out.
        revision: Revision,
        /// The generation of the record that names it.
        generation: Generation,
    },
    /// The file has problems, and nothing was changed.
    RejectedProblems {
        /// All problems found.
        problems: Vec<Problem>,
    },
    /// Another change was accepted first, or the revision in force is not the expected one. Nothing
    /// was changed.
    Conflict {
        /// The revision in force.
        revision: Revision,
        /// The differences between the file that the instance had applied before the operation and
        /// the one in force; empty if the instance lacks either of them.
        changes: Vec<Change>,
    },
    /// The change was not attempted, or has certainly not taken effect.
    NotAccepted {
        /// The reason for the refusal.
        reason: Refusal,
    },
    /// The change may or may not have taken effect.
    Unknown {
        /// The generation that the change was based on.
        base: Generation,
    },
}

/// Why a change was not accepted.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The instance could not read the record, so it proposed nothing.
    #[error("the key-value service is unreachable")]
    StoreUnreachable,
    /// The change did not get promises from a majority of the witnesses.
    #[error("fewer than a majority of the witnesses gave a promise")]
    NoMajority,
    /// Concurrent changes of other writers were accepted first at every attempt.
    #[error("concurrent changes were accepted first")]
    Contended,
    /// The instance is shutting down.
    #[error("the instance is shutting down")]
    ShuttingDown,
    /// The instance has not received a record yet.
    #[error("the instance is starting")]
    Starting,
    /// The file is larger than [`MAX_FILE_BYTES`].
    #[error("the file is larger than {MAX_FILE_BYTES} bytes")]
    FileTooLarge,
}

/// Whether an operation took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum OperationAnswer {
    /// The operation took effect.
    Accepted {
        /// The revision of the file that the record names now. A later operation may have set it.
        revision: Revision,
        /// The generation that the operation produced.
        generation: Generation,
    },
    /// The record in the key-value service does not list the operation. The operation can no longer
    /// take effect if `generation` is above the generation that it was based on.
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
    /// The file's revision; 0 when no file has been accepted yet.
    pub revision: Revision,
    /// The generation of the record.
    pub generation: Generation,
    /// The file's text; empty when no file has been accepted yet.
    pub text: Box<str>,
}

/// One error in a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// What is wrong.
    pub message: Box<str>,
    /// The offset of the first byte concerned.
    pub start: usize,
    /// The offset after the last byte concerned.
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
    /// The path of the value, for instance `service.round-app.slots`.
    pub path: Box<str>,
    /// The old value; `None` when it was added.
    pub old: Option<Box<str>>,
    /// The new value; `None` when it was removed.
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
