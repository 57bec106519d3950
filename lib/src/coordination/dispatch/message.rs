//! Inputs and actions of a leaf's owner.

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

/// What the file says about a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Warmth and slots.
    pub warmth: warmth::Policy,
    /// Connections that the leaf accepts from all instances together.
    pub connections: Connections,
    /// The longest deadline of a request.
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
    /// It does not: nothing is written and connections are given back.
    NotOwned,
    /// It will, once the previous owner has released the leaf or the handover wait has passed:
    /// connections are opened, and nothing is written.
    Waiting,
    /// It does until the given moment, when its currency runs out.
    Held {
        /// The moment, on the monotonic clock.
        valid_until: Instant,
    },
}

/// A call to the leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The call.
    pub call: CallId,
    /// Who submits it.
    pub caller: Caller,
    /// When its answer is of no use any more.
    pub deadline: SystemTime,
    /// Whether it may be run twice. The outcome of a call that may not is awaited even if its
    /// caller has gone, because the replay window needs it.
    pub idempotent: bool,
}

/// How the leaf answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The call was run.
    Ok,
    /// The leaf refused the call for its load.
    Shed,
    /// The leaf refused the call because it leaves.
    Draining,
    /// The leaf did not start the call, for instance because its deadline had passed.
    NotStarted,
    /// The leaf does not hold the snapshot or the partition.
    WrongSnapshot,
    /// The call was run and failed.
    Failed,
}

/// An answer of the leaf.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The connection on which it came.
    pub connection: ConnectionId,
    /// The call that it names.
    pub call: CallId,
    /// How the leaf answered.
    pub status: Status,
    /// The server process that answered.
    pub incarnation: ServerIncarnation,
    /// What it says about its temperature.
    pub temperature: Temperature,
    /// Whether the body arrived as a whole and the leaf calls it complete.
    pub whole: bool,
    /// The snapshots that the leaf holds.
    pub holds: Arc<[SnapshotId]>,
}

/// Something that happened to a leaf or its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A call is submitted.
    Submit(Submission),
    /// The caller of a call has gone.
    CallerCancelled {
        /// The call.
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
        /// The connection.
        connection: ConnectionId,
    },
    /// A connection could not be opened.
    ConnectionFailed {
        /// The connection.
        connection: ConnectionId,
    },
    /// A connection ended, after [`Action::CloseConnection`] or unasked.
    ConnectionLost {
        /// The connection.
        connection: ConnectionId,
    },
    /// A connection ended before any byte of the call was written on it.
    NotWritten {
        /// The connection.
        connection: ConnectionId,
        /// The call.
        call: CallId,
    },
    /// The transport noticed that the leaf is silent.
    Silence,
    /// The health endpoint was read.
    HealthReport(Health),
    /// The ownership of the leaf was computed anew.
    Ownership(Ownership),
    /// A drain signal changed.
    Drain(drain::Signal),
    /// Another file is in force.
    PolicyChanged(Policy),
    /// Time passed. Needed every few milliseconds while calls are submitted or in flight.
    Tick,
}

/// Why the outcome of a call that was written is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection was lost.
    ResetAfterSent,
    /// The deadline passed.
    Timeout,
    /// The leaf answered another call on the connection.
    MismatchedAnswer,
    /// The caller has gone.
    Cancelled,
}

/// What the transport or the caller of the state machine has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Writes the call on the connection.
    Write {
        /// The connection.
        connection: ConnectionId,
        /// The call.
        call: CallId,
        /// The deadline that the leaf has to enforce.
        deadline: SystemTime,
    },
    /// Ends a call with the answer just given.
    Complete {
        /// The call.
        call: CallId,
        /// How the leaf answered.
        status: Status,
        /// Whether the answer is whole.
        whole: bool,
    },
    /// Ends a call that no server has started.
    Refuse {
        /// The call.
        call: CallId,
        /// Why it was not run.
        reason: NotRun,
    },
    /// Ends a call whose outcome is unknown.
    Fail {
        /// The call.
        call: CallId,
        /// Why the outcome is unknown.
        cause: Failure,
    },
    /// The leaf may have crashed while it ran this call. Independent of the end of the call, which
    /// may have come before.
    SuspectCrash {
        /// The call.
        call: CallId,
    },
    /// Opens a connection under the given id.
    OpenConnection {
        /// The connection.
        connection: ConnectionId,
    },
    /// Closes a connection; [`Input::ConnectionLost`] has to follow.
    CloseConnection {
        /// The connection.
        connection: ConnectionId,
    },
    /// Asks the leaf, on the given free connection, to stop a call.
    CancelAtServer {
        /// The connection.
        connection: ConnectionId,
        /// The call.
        call: CallId,
    },
    /// The leaf showed which process it is and what it holds.
    Observed {
        /// The server process.
        incarnation: ServerIncarnation,
        /// The snapshots that it holds.
        holds: Arc<[SnapshotId]>,
    },
}
