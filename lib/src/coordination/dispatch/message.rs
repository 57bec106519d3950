//! Inputs and actions of the state machine of a leaf's owner.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::coordination::call::CallId;
use crate::coordination::call::Caller;
use crate::coordination::call::ConnectionId;
use crate::coordination::call::NotRun;
use crate::coordination::drain;
use crate::coordination::warmth;
use crate::coordination::warmth::Health;
use crate::coordination::warmth::Temperature;
use crate::state::file::Service;
use crate::state::id::ServerIncarnation;
use crate::state::id::SnapshotId;
use crate::state::size::Connections;
use crate::state::size::Slots;

/// The settings of a leaf's service in the operators' file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// The limits on requests in flight, cold and warm.
    pub warmth: warmth::Policy,
    /// The most connections that the leaf accepts from all instances together.
    pub connections: Connections,
    /// The longest time that a caller may allow for a request.
    pub deadline: Duration,
}

impl Policy {
    pub(super) fn slots(&self) -> u32 {
        let Slots(slots) = self.warmth.slots;
        slots
    }
}

impl From<&Service> for Policy {
    fn from(service: &Service) -> Self {
        Self {
            warmth: service.into(),
            connections: service.connections,
            deadline: service.deadline,
        }
    }
}

/// Whether this instance owns the leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ownership {
    /// It does not: the owner refuses all calls and closes its idle connections.
    NotOwned,
    /// It will, once the previous owner has released the leaf or the handover wait has passed. The
    /// owner opens connections and refuses all calls until then.
    Waiting,
    /// It does, until its view of the configuration is no longer known to be current.
    Held {
        /// The end of the ownership, on the monotonic clock.
        valid_until: Instant,
    },
}

/// A call to the leaf, submitted to the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Identifies the call in all later inputs and actions.
    pub call: CallId,
    /// The caller whose share of the queue the call uses.
    pub caller: Caller,
    /// The time after which the caller no longer needs the answer.
    pub deadline: SystemTime,
    /// Whether the call may be run twice. If not, the owner waits for its outcome even after the
    /// caller has cancelled, because the replay window needs the outcome.
    pub idempotent: bool,
}

/// The status in an answer of the leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The leaf ran the call.
    Ok,
    /// The leaf refused the call because it is overloaded.
    Shed,
    /// The leaf refused the call because it is draining.
    Draining,
    /// The leaf did not start the call, for instance because its deadline had passed.
    NotStarted,
    /// The leaf does not hold the snapshot or the partition.
    WrongSnapshot,
    /// The leaf ran the call, and the call failed.
    Failed,
}

/// An answer of the leaf.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The connection on which the answer arrived.
    pub connection: ConnectionId,
    /// The call that the answer names. It may differ from the one in flight on the connection.
    pub call: CallId,
    /// Whether the leaf ran the call.
    pub status: Status,
    /// The server process that answered.
    pub incarnation: ServerIncarnation,
    /// The temperature that the leaf reports.
    pub temperature: Temperature,
    /// Whether the whole body arrived and the leaf marked the answer as complete.
    pub whole: bool,
    /// The snapshots that the leaf holds.
    pub holds: Arc<[SnapshotId]>,
}

/// An event at a leaf or its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A caller submits a call.
    Submit(Submission),
    /// The caller cancelled the call, or its connection to this instance ended.
    CallerCancelled {
        /// The cancelled call.
        call: CallId,
    },
    /// The leaf answered a call.
    Answered(Answer),
    /// The leaf answered a cancellation.
    CancelAnswered {
        /// The connection that carried the cancellation.
        connection: ConnectionId,
    },
    /// A connection is open.
    ConnectionOpened {
        /// The id from [`Action::OpenConnection`].
        connection: ConnectionId,
    },
    /// A connection could not be opened.
    ConnectionFailed {
        /// The id from [`Action::OpenConnection`].
        connection: ConnectionId,
    },
    /// A connection ended, after [`Action::CloseConnection`] or without it.
    ConnectionLost {
        /// The connection, which must not be used again.
        connection: ConnectionId,
    },
    /// A connection ended before any byte of the call was written on it.
    NotWritten {
        /// The connection, which must not be used again.
        connection: ConnectionId,
        /// The call that was not written.
        call: CallId,
    },
    /// The transport received nothing from the leaf for too long.
    Silence,
    /// The leaf's health endpoint answered.
    HealthReport(Health),
    /// The ownership of the leaf was recomputed. It may be unchanged.
    Ownership(Ownership),
    /// A drain signal changed.
    Drain(drain::Signal),
    /// A new version of the operators' file is in force.
    PolicyChanged(Policy),
    /// Time passed. The caller must send it every few milliseconds while calls are queued or in
    /// flight.
    Tick,
}

/// Why the outcome of a written call is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection ended before the answer.
    ResetAfterSent,
    /// The deadline passed without an answer.
    Timeout,
    /// The leaf answered another call on the connection.
    MismatchedAnswer,
    /// The caller cancelled the call.
    Cancelled,
}

/// An action for the transport or the caller of the state machine to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Writes the call on the connection.
    Write {
        /// The connection, which carries no other request.
        connection: ConnectionId,
        /// The call to write.
        call: CallId,
        /// The absolute deadline that the leaf has to enforce.
        deadline: SystemTime,
    },
    /// Ends a call with the answer just given.
    Complete {
        /// The answered call.
        call: CallId,
        /// [`Status::Ok`], [`Status::WrongSnapshot`] or [`Status::Failed`].
        status: Status,
        /// See [`Answer::whole`].
        whole: bool,
    },
    /// Ends a call that no server has started.
    Refuse {
        /// The refused call, which no server runs or will run.
        call: CallId,
        /// Why no server has run it.
        reason: NotRun,
    },
    /// Ends a call whose outcome is unknown.
    Fail {
        /// The failed call, which the server may have run or may still be running.
        call: CallId,
        /// Why the outcome is unknown.
        cause: Failure,
    },
    /// The leaf may have crashed while it ran this call. The outcome of the call is reported
    /// separately, possibly earlier.
    SuspectCrash {
        /// The call in flight when the connection ended.
        call: CallId,
    },
    /// Opens a connection under the given id.
    OpenConnection {
        /// The id of the new connection.
        connection: ConnectionId,
    },
    /// Closes a connection; [`Input::ConnectionLost`] has to follow.
    CloseConnection {
        /// The connection to close.
        connection: ConnectionId,
    },
    /// Asks the leaf, on the given free connection, to stop a call.
    CancelAtServer {
        /// The connection that carries the cancellation, not the one that carries the call.
        connection: ConnectionId,
        /// The call to stop.
        call: CallId,
    },
    /// An answer of the leaf named the server process and the snapshots that it holds.
    Observed {
        /// The server process that answered.
        incarnation: ServerIncarnation,
        /// All snapshots that this process holds.
        holds: Arc<[SnapshotId]>,
    },
}
