//! The connections of the owner to one leaf, each with at most one request in flight.
//!
//! The owner uses at most half of the connections that the leaf accepts, so that the connections
//! of an old and a new owner fit together. A connection counts from the order to open it until the
//! transport reports its end.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::coordination::call::CallId;
use crate::coordination::call::ConnectionId;
use crate::coordination::warmth::Epoch;
use crate::state::id::ServerIncarnation;

/// Connections that are opened at the same time.
pub const MAX_OPENING: usize = 2;

/// A connect that takes longer is given up.
pub const OPEN_TIMEOUT: Duration = Duration::from_secs(5);

/// The wait after a failed connect; doubled with each further failure.
pub const RETRY_WAIT: Duration = Duration::from_millis(50);

/// The longest wait after a failed connect.
pub const MAX_RETRY_WAIT: Duration = Duration::from_secs(2);

/// A request in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// The call.
    pub call: CallId,
    /// The absolute deadline that the server enforces.
    pub deadline: SystemTime,
    /// Whether the call may be run twice.
    pub idempotent: bool,
    /// Whether the caller has been told an outcome.
    pub ended: bool,
    /// The warmth epoch in which it was sent.
    pub epoch: Epoch,
    /// When it was sent.
    pub sent: Instant,
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// It is being opened.
    Opening {
        /// When the order was given.
        since: Instant,
    },
    /// It is free.
    Idle,
    /// It carries a request.
    Busy(Request),
    /// It carries a cancellation.
    Cancelling {
        /// When the order was given.
        since: Instant,
    },
    /// The order to close it was given.
    Closing,
}

/// One connection.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    /// Its id.
    pub id: ConnectionId,
    /// What it does.
    pub state: ConnectionState,
    /// The incarnation that answered on it. A connection never changes to another process, so
    /// until the first answer it may lead to a server that has just started.
    pub incarnation: Option<ServerIncarnation>,
}

/// The connections to one leaf.
#[derive(Clone, Debug)]
pub struct Pool {
    connections: Vec<Connection>,
    maximum: usize,
    wanted: usize,
    next_id: u64,
    failures: u32,
    retry_at: Option<Instant>,
}

impl Pool {
    /// Creates an empty pool for a leaf that accepts `connections` and has `slots`.
    #[must_use]
    pub fn new(connections: u32, slots: u32) -> Self {
        let mut pool = Self {
            connections: Vec::new(),
            maximum: 0,
            wanted: 0,
            next_id: 0,
            failures: 0,
            retry_at: None,
        };
        pool.set_policy(connections, slots);
        pool
    }

    /// Puts another policy in force.
    pub fn set_policy(&mut self, connections: u32, slots: u32) {
        // Spare connections take over at once where a request overstays on its own.
        let wanted = slots.saturating_add((slots / 2).max(1));
        let to_usize = |count: u32| usize::try_from(count).unwrap_or(usize::MAX);
        self.maximum = to_usize(connections / 2);
        self.wanted = to_usize(wanted).min(self.maximum);
    }

    /// Returns all connections.
    #[must_use]
    pub fn connections(&self) -> &[Connection] {
        &self.connections
    }

    /// Returns all connections, to change them.
    pub fn connections_mut(&mut self) -> &mut [Connection] {
        &mut self.connections
    }

    /// Finds a connection.
    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.iter_mut().find(|found| found.id == id)
    }

    /// Finds a free connection, preferably one on which `incarnation` has answered.
    #[must_use]
    pub fn idle(&self, incarnation: Option<ServerIncarnation>, fresh: bool) -> Option<usize> {
        let mut unproven = None;
        for (index, connection) in self.connections.iter().enumerate() {
            if connection.state != ConnectionState::Idle {
                continue;
            }
            if connection.incarnation.is_some() && connection.incarnation == incarnation {
                return Some(index);
            }
            unproven = Some(index);
        }
        unproven.filter(|_| fresh)
    }

    /// Counts the requests in flight: all, and those on connections on which `incarnation` has not
    /// answered.
    #[must_use]
    pub fn in_flight(&self, incarnation: Option<ServerIncarnation>) -> (u32, u32) {
        let mut all = 0;
        let mut unproven = 0;
        for connection in &self.connections {
            if matches!(connection.state, ConnectionState::Busy(_)) {
                all += 1;
                let proven =
                    connection.incarnation.is_some() && connection.incarnation == incarnation;
                unproven += u32::from(!proven);
            }
        }
        (all, unproven)
    }

    /// Tells whether a connection is open and not about to be closed.
    #[must_use]
    pub fn any_open(&self) -> bool {
        let open = |used: ConnectionState| {
            !matches!(
                used,
                ConnectionState::Opening { .. } | ConnectionState::Closing
            )
        };
        self.connections.iter().any(|found| open(found.state))
    }

    /// Adds a connection if one is wanted and permitted, and returns its id.
    pub fn open(&mut self, now: Instant) -> Option<ConnectionId> {
        let opening = |found: &&Connection| matches!(found.state, ConnectionState::Opening { .. });
        let waiting = self.retry_at.is_some_and(|at| now < at);
        if self.connections.len() >= self.wanted
            || waiting
            || self.connections.iter().filter(opening).count() >= MAX_OPENING
        {
            return None;
        }
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.connections.push(Connection {
            id,
            state: ConnectionState::Opening { since: now },
            incarnation: None,
        });
        Some(id)
    }

    /// Returns a connection above the permitted number that can be closed.
    #[must_use]
    pub fn excess(&self) -> Option<ConnectionId> {
        if self.connections.len() <= self.maximum {
            return None;
        }
        let closing = |found: &&Connection| found.state == ConnectionState::Closing;
        if self.connections.len() - self.connections.iter().filter(closing).count() <= self.maximum
        {
            return None;
        }
        let idle = self
            .connections
            .iter()
            .find(|found| found.state == ConnectionState::Idle);
        idle.map(|found| found.id)
    }

    /// Notes that a connect succeeded.
    pub fn opened(&mut self) {
        self.failures = 0;
        self.retry_at = None;
    }

    /// Notes that a connect failed.
    pub fn failed(&mut self, now: Instant) {
        let factor = 2_u32.saturating_pow(self.failures);
        self.failures = self.failures.saturating_add(1);
        let wait = RETRY_WAIT.saturating_mul(factor).min(MAX_RETRY_WAIT);
        self.retry_at = Some(now + wait);
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        let index = self.connections.iter().position(|found| found.id == id)?;
        Some(self.connections.remove(index))
    }
}
