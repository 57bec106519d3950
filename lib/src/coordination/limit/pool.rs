//! The connections of the owner to one leaf, each with at most one request in flight.
//!
//! The owner uses at most half of the connections that the leaf accepts, so that an old and a new
//! owner can be connected at the same time. A connection counts from the request to open it until
//! the transport reports its end.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::coordination::call::CallId;
use crate::coordination::call::ConnectionId;
use crate::coordination::warmth::Epoch;
use crate::state::id::ServerIncarnation;

/// The most connections to one leaf that may be in the opening state at the same time.
pub const MAX_OPENING: usize = 2;

/// The owner abandons a connection attempt that takes longer.
pub const OPEN_TIMEOUT: Duration = Duration::from_secs(5);

/// The wait after the first failed connection attempt. Each further failure in a row doubles it.
pub const RETRY_WAIT: Duration = Duration::from_millis(50);

/// The upper bound of the wait after a failed connection attempt.
pub const MAX_RETRY_WAIT: Duration = Duration::from_secs(2);

/// A request in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// The call that the request carries.
    pub call: CallId,
    /// The absolute deadline that the server enforces.
    pub deadline: SystemTime,
    /// Whether the call may be run twice.
    pub idempotent: bool,
    /// Whether an outcome was already reported to the caller.
    pub ended: bool,
    /// The warmth epoch in which it was sent.
    pub epoch: Epoch,
    /// When the request was handed to the transport.
    pub sent: Instant,
}

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// The transport is opening it.
    Opening {
        /// When the transport was asked to open it.
        since: Instant,
    },
    /// It is open and carries nothing.
    Idle,
    /// It carries a request.
    Busy(Request),
    /// It carries a cancellation.
    Cancelling {
        /// When the transport was asked to send the cancellation.
        since: Instant,
    },
    /// The transport was asked to close it and has not reported its end.
    Closing,
}

/// A connection to the leaf, from the request to open it until its end.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    /// Unique within the pool, and never used again.
    pub id: ConnectionId,
    /// What the connection carries, if it is open.
    pub state: ConnectionState,
    /// The incarnation that answered on it. A connection always leads to the same process. Until
    /// the first answer that may be one that has just started.
    pub incarnation: Option<ServerIncarnation>,
}

/// The connections to one leaf.
#[derive(Clone, Debug)]
pub struct Pool {
    connections: Vec<Connection>,
    maximum: usize,
    target: usize,
    next_id: u64,
    failures: u32,
    retry_at: Option<Instant>,
}

impl Pool {
    /// Creates an empty pool for a leaf that accepts `connections` in total and has `slots`.
    #[must_use]
    pub fn new(connections: u32, slots: u32) -> Self {
        let mut pool = Self {
            connections: Vec::new(),
            maximum: 0,
            target: 0,
            next_id: 0,
            failures: 0,
            retry_at: None,
        };
        pool.set_policy(connections, slots);
        pool
    }

    /// Changes the limits. [`Pool::open`] and [`Pool::excess`] adjust the connections to them.
    pub fn set_policy(&mut self, connections: u32, slots: u32) {
        // Spare connections keep the slots usable while a request that timed out still occupies its
        // own connection.
        let target = slots.saturating_add((slots / 2).max(1));
        let to_usize = |count: u32| usize::try_from(count).unwrap_or(usize::MAX);
        self.maximum = to_usize(connections / 2);
        self.target = to_usize(target).min(self.maximum);
    }

    /// Returns all connections, including those opening or closing.
    #[must_use]
    pub fn connections(&self) -> &[Connection] {
        &self.connections
    }

    /// Returns all connections for a change of their state.
    pub fn connections_mut(&mut self) -> &mut [Connection] {
        &mut self.connections
    }

    /// Returns the connection with the given id, if it has not ended.
    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.iter_mut().find(|found| found.id == id)
    }

    /// Returns the index of an idle connection on which `incarnation` has answered. If there is
    /// none and `allow_unproven` is set, returns another idle one.
    #[must_use]
    pub fn idle(
        &self,
        incarnation: Option<ServerIncarnation>,
        allow_unproven: bool,
    ) -> Option<usize> {
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
        unproven.filter(|_| allow_unproven)
    }

    /// Returns two counts of requests in flight: all of them, and those on connections on which
    /// `incarnation` has not answered.
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

    /// Returns whether any connection is open and not being closed.
    #[must_use]
    pub fn any_open(&self) -> bool {
        let open = |state: ConnectionState| {
            !matches!(
                state,
                ConnectionState::Opening { .. } | ConnectionState::Closing
            )
        };
        self.connections.iter().any(|found| open(found.state))
    }

    /// Adds a connection in the opening state and returns its id. Returns `None` while the pool has
    /// enough connections, too many are opening, or the wait after a failure has not passed.
    pub fn open(&mut self, now: Instant) -> Option<ConnectionId> {
        let opening = |found: &&Connection| matches!(found.state, ConnectionState::Opening { .. });
        let waiting = self.retry_at.is_some_and(|at| now < at);
        if self.connections.len() >= self.target
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

    /// Returns an idle connection to close if the pool exceeds its maximum.
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

    /// Resets the wait after a successful connection attempt.
    pub fn opened(&mut self) {
        self.failures = 0;
        self.retry_at = None;
    }

    /// Starts the wait after a failed connection attempt.
    pub fn failed(&mut self, now: Instant) {
        let factor = 2_u32.saturating_pow(self.failures);
        self.failures = self.failures.saturating_add(1);
        let wait = RETRY_WAIT.saturating_mul(factor).min(MAX_RETRY_WAIT);
        self.retry_at = Some(now + wait);
    }

    /// Removes a connection that has ended, and returns its last state.
    pub fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        let index = self.connections.iter().position(|found| found.id == id)?;
        Some(self.connections.remove(index))
    }
}
