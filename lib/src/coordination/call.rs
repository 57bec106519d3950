//! Identifiers of calls and connections at the owner of a leaf, and why a call was not run.

use std::fmt;

use thiserror::Error;

use super::drain;

/// Identifies a leaf call at the leaf's owner. Not reused while the owner's process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Identifies a connection to a leaf at the leaf's owner. Not reused while the owner's process
/// runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Identifies the entry instance or tenant that submitted a call, for fairness between callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Caller(pub u64);

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for ConnectionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Why a call was not run. In all these cases no backend server has started the call.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum NotRun {
    /// This instance's confirmation that it owns the leaf has expired or is not yet complete.
    #[error("not run: configuration currency lost or ownership not ready")]
    OwnershipUnconfirmed,
    /// Another instance owns the leaf.
    #[error("not run: this instance does not own the leaf")]
    NotOwner,
    /// The leaf or its failure domain is being drained. Contains the source of the drain signal.
    #[error("not run: the backend server is leaving (signal: {0})")]
    Draining(drain::Source),
    /// The queue in front of the leaf is full.
    #[error("not run: the queue of the backend server is full")]
    QueueFull,
    /// The call reached the longest permitted wait in the queue in front of the leaf.
    #[error("not run: waited too long for the backend server")]
    QueueTimeout,
    /// The leaf is not expected to answer before the deadline of the call.
    #[error("not run: the deadline is too close")]
    DeadlineTooClose,
    /// The caller cancelled the call while it was queued.
    #[error("not run: cancelled by the caller")]
    Cancelled,
    /// The backend server shed the call before starting it.
    #[error("not run: shed by the backend server")]
    Shed,
    /// The backend server reported that it did not start the call.
    #[error("not run: not started by the backend server")]
    NotStarted,
    /// The connection ended before any byte of the call was written.
    #[error("not run: the connection ended before the call was written")]
    NotWritten,
}
