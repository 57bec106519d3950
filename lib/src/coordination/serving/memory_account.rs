//! The memory and the connections that the clients of an instance may make it hold.
//!
//! A limit for each request does not bound their sum. Each kind of memory has a share, and each port a
//! number of connections, so that one cannot starve another. When a share is used up, the connection
//! is closed that has held the most for the longest without progress, as long as it is the client that
//! has to act. A connection whose request the instance is working on is never closed: if only such
//! ones are left, what is new is refused.

use std::cmp::Reverse;
use std::time::Duration;
use std::time::Instant;

use slotmap::SlotMap;
use slotmap::new_key_type;
use thiserror::Error;

new_key_type! {
    /// Names a connection of a client.
    pub struct ConnectionKey;
}

/// The memory that a process needs without clients: the program, the fleet and the metrics.
const BASE_BYTES: usize = 24 << 20;

/// The least part of the memory that clients may use, as a divisor, on machines hardly larger than
/// [`BASE_BYTES`].
const MIN_CLIENT_DIVISOR: usize = 4;

/// What a connection without a request occupies: the read and the write buffer of the HTTP library, of
/// 8 KiB each, and its task. 1,283 idle ones made a debug build 25 MB larger.
pub const CONNECTION_BYTES: usize = 20 << 10;

/// The descriptors that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;

/// The most connections at each of the ports for readiness checks and metrics.
const MAX_OWN_CONNECTIONS: usize = 64;

/// How many bytes a connection has to transfer to count as making progress. Fewer cost a client
/// nothing: it could keep what it holds with a byte a second.
const PROGRESS_BYTES: usize = 1 << 10;

/// The part of the time with progress that counts as time without, as a divisor. Small enough that a
/// slow caller is closed long after a client that has stopped.
const PROGRESS_DIVISOR: u32 = 8;

/// How long a connection without progress counts as just opened: a caller's first request follows
/// within a round trip.
const FRESH_TIME: Duration = Duration::from_millis(500);

/// How much a connection may always hold of a share of which the instance itself uses the rest, as
/// long as all such connections together exceed the share by no more than [`EXCESS_DIVISOR`] states.
const SMALL_BYTES: usize = 16 << 10;
const EXCESS_DIVISOR: usize = 8;

/// A kind of memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Share {
    /// The heads of requests, and what the HTTP library buffers besides.
    Heads,
    /// The bodies of requests, until no leaf needs them any more.
    Bodies,
    /// Answers that the client has not read yet.
    Answers,
}

impl Share {
    /// All shares.
    pub const ALL: [Self; 3] = [Self::Heads, Self::Bodies, Self::Answers];

    /// Returns the name in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Heads => "heads",
            Self::Bodies => "bodies",
            Self::Answers => "answers",
        }
    }
}

/// A port at which clients connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    /// The port for callers.
    Callers,
    /// The port for other instances.
    Instances,
    /// The port for readiness checks.
    Readiness,
    /// The port for metrics.
    Metrics,
}

impl Port {
    /// All ports.
    pub const ALL: [Self; 4] = [
        Self::Callers,
        Self::Instances,
        Self::Readiness,
        Self::Metrics,
    ];

    /// Returns the name in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Instances => "instances",
            Self::Readiness => "readiness",
            Self::Metrics => "metrics",
        }
    }
}

/// Returns the part of a machine's memory that the process does not need itself.
pub(crate) fn client_bytes(memory_bytes: usize) -> usize {
    let least = memory_bytes / MIN_CLIENT_DIVISOR;
    memory_bytes.saturating_sub(BASE_BYTES).max(least)
}

/// Returns how many of a machine's descriptors are for sockets.
pub(crate) fn sockets(max_descriptors: usize) -> usize {
    let rest = max_descriptors.saturating_sub(FILE_DESCRIPTORS);
    rest.max(max_descriptors / 4)
}

/// How much clients may make an instance hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The bytes of each share, in the order of [`Share::ALL`].
    pub bytes: [usize; 3],
    /// The connections at each port, in the order of [`Port::ALL`].
    pub connections: [usize; 4],
}

impl Limits {
    /// Returns the limits for a machine with that much memory and that many descriptors. Of the memory
    /// that the process does not need itself, 7/32 are for connections, 6/32 for bodies, 2/32 for heads
    /// and 3/32 for unread answers. The rest is for receive buffers, connections to servers, answers
    /// of leafs and the allocator.
    #[must_use]
    pub fn of_machine(memory_bytes: usize, max_descriptors: usize) -> Self {
        let bytes = client_bytes(memory_bytes);
        let in_memory = bytes / 32 * 7 / CONNECTION_BYTES;
        let sockets = sockets(max_descriptors);
        let own = (sockets / 16).clamp(2, MAX_OWN_CONNECTIONS);
        Self {
            bytes: [bytes / 32 * 2, bytes / 32 * 6, bytes / 32 * 3],
            connections: [
                (in_memory * 2 / 3).min(sockets * 5 / 16).max(2),
                (in_memory / 3).min(sockets * 3 / 16).max(2),
                own,
                own,
            ],
        }
    }
}

/// The use of a share or a port.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The bytes or connections in use.
    pub used: usize,
    /// The most that were in use at a time.
    pub peak: usize,
    /// How many connections were closed because it was used up.
    pub closed: u64,
    /// How much was refused because it was used up and no connection could be closed.
    pub refused: u64,
    // What will be in use once the connections that are being closed have ended.
    remaining: usize,
}

impl Usage {
    fn add(&mut self, amount: usize) {
        self.used += amount;
        self.remaining += amount;
        self.peak = self.peak.max(self.used);
    }
}

/// The error returned when a client must not hold more, because it has been or is to be closed, or
/// because the instance itself needs all of the share.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the memory or the connections for clients are used up")]
pub struct Refused;

/// The result of a request to hold more.
#[derive(Debug, PartialEq, Eq)]
pub struct Decision {
    /// The connections that have to be closed, never the one that asked.
    pub close: Vec<ConnectionKey>,
    /// Whether the request is granted.
    pub granted: Result<(), Refused>,
}

/// Whose turn it is on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Turn {
    /// The client has to send a request or the rest of it, or to read an answer.
    Client,
    /// The instance has a complete request and owes the answer.
    Instance,
}

#[derive(Debug)]
struct Connection {
    port: Port,
    held: [usize; 3],
    turn: Turn,
    // When the client last made progress, and the bytes since then.
    progressed: Instant,
    transferred: usize,
    // Since when it has held anything.
    holds_since: Instant,
    has_had_answer: bool,
    is_closing: bool,
    // Whether it has ended. It stays in the account while something of it is held.
    has_ended: bool,
}

impl Connection {
    fn is_candidate(&self) -> bool {
        self.turn == Turn::Client && !self.is_closing && !self.has_ended
    }

    fn stalled(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.progressed)
    }

    fn held_bytes(&self) -> usize {
        self.held.iter().sum()
    }

    /// Returns how much it has held for how long without progress. A part of the time with progress
    /// counts, too: while many clients send at full speed, a new caller is not the one to close.
    fn weight(&self, bytes: usize, now: Instant) -> u128 {
        let held_for = if self.held_bytes() == 0 {
            Duration::ZERO
        } else {
            now.saturating_duration_since(self.holds_since)
        };
        (self.stalled(now) + held_for / PROGRESS_DIVISOR).as_micros() * bytes as u128
    }
}

/// What a connection is used for. The last one is closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Use {
    Fresh,
    AwaitsRequest,
    Stalled,
}

/// Returns the connection that has held the most of a share for the longest without progress.
fn largest_stalled<'a>(
    candidates: impl Iterator<Item = (ConnectionKey, &'a Connection)>,
    share: Share,
    now: Instant,
) -> Option<ConnectionKey> {
    candidates
        .max_by_key(|(_, connection)| {
            let held = connection.held[share as usize];
            (connection.weight(held, now), held)
        })
        .map(|(key, _)| key)
}

/// The account of the memory and the connections of all clients.
#[derive(Debug)]
pub struct MemoryAccount {
    limits: Limits,
    connections: SlotMap<ConnectionKey, Connection>,
    shares: [Usage; 3],
    ports: [Usage; 4],
}

impl MemoryAccount {
    /// Creates an account without connections.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            connections: SlotMap::with_key(),
            shares: [Usage::default(); 3],
            ports: [Usage::default(); 4],
        }
    }

    /// Returns the use of a share.
    #[must_use]
    pub fn share(&self, share: Share) -> Usage {
        self.shares[share as usize]
    }

    /// Returns the use of a port.
    #[must_use]
    pub fn port(&self, port: Port) -> Usage {
        self.ports[port as usize]
    }

    /// Adds a connection. Returns the connection that has to be closed for it, if there are too many.
    ///
    /// # Errors
    ///
    /// Returns an error if the port has no connection left, because the instance is working on a
    /// request of each.
    pub fn open(
        &mut self,
        port: Port,
        now: Instant,
    ) -> Result<(ConnectionKey, Option<ConnectionKey>), Refused> {
        let mut close = None;
        if self.ports[port as usize].remaining >= self.limits.connections[port as usize] {
            let Some(key) = self.longest_unused(port, now) else {
                self.ports[port as usize].refused += 1;
                return Err(Refused);
            };
            self.ports[port as usize].closed += 1;
            self.start_closing(key);
            close = Some(key);
        }
        self.ports[port as usize].add(1);
        let key = self.connections.insert(Connection {
            port,
            held: [0; 3],
            turn: Turn::Client,
            progressed: now,
            transferred: 0,
            holds_since: now,
            has_had_answer: false,
            is_closing: false,
            has_ended: false,
        });
        Ok((key, close))
    }

    /// Closes a connection, whatever it is doing.
    pub fn close(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connections.get(key)
            && !connection.is_closing
            && !connection.has_ended
        {
            self.ports[connection.port as usize].closed += 1;
            self.start_closing(key);
        }
    }

    /// Records that a connection has ended. What it holds stays in the account until it is released.
    pub fn on_end(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.has_ended = true;
        let port = &mut self.ports[connection.port as usize];
        port.used -= 1;
        if !connection.is_closing {
            port.remaining -= 1;
        }
        self.remove_if_unused(key);
    }

    /// Records bytes that a client has sent or read.
    pub fn on_transfer(&mut self, key: ConnectionKey, bytes: usize, now: Instant) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.transferred += bytes;
            if connection.transferred >= PROGRESS_BYTES {
                connection.transferred = 0;
                connection.progressed = now;
            }
        }
    }

    /// Records that a client has sent a complete request. From now on its connection is not closed.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is to be closed. The request must not be started.
    pub fn on_request(&mut self, key: ConnectionKey) -> Result<(), Refused> {
        let connection = self.connections.get_mut(key).ok_or(Refused)?;
        if connection.is_closing {
            return Err(Refused);
        }
        connection.turn = Turn::Instance;
        Ok(())
    }

    /// Returns whether the instance has a complete request of a connection and owes the answer.
    #[must_use]
    pub fn owes_answer(&self, key: ConnectionKey) -> bool {
        let connection = self.connections.get(key);
        connection.is_some_and(|connection| connection.turn == Turn::Instance)
    }

    /// Records that the answer to a request is ready, so that the client has to read it.
    pub fn on_answer(&mut self, key: ConnectionKey, now: Instant) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.turn = Turn::Client;
            connection.has_had_answer = true;
            connection.transferred = 0;
            connection.progressed = now;
        }
    }

    /// Adds bytes to what a connection holds of a share. Answers are never refused: their leafs have
    /// worked for them, and the memory is in use already.
    pub fn hold(
        &mut self,
        key: ConnectionKey,
        share: Share,
        bytes: usize,
        now: Instant,
    ) -> Decision {
        let refused = |close| Decision {
            close,
            granted: Err(Refused),
        };
        let kind = share as usize;
        let Some(connection) = self.connections.get_mut(key) else {
            return refused(Vec::new());
        };
        if connection.is_closing && share != Share::Answers {
            return refused(Vec::new());
        }
        if connection.held_bytes() == 0 {
            connection.holds_since = now;
        }
        connection.held[kind] += bytes;
        let is_small = connection.held[kind] <= SMALL_BYTES;
        self.shares[kind].add(bytes);
        if connection.is_closing {
            self.shares[kind].remaining -= bytes;
        }
        let limit = self.limits.bytes[kind];
        let mut close = Vec::new();
        while self.shares[kind].remaining > limit {
            let spared = (share == Share::Answers).then_some(key);
            let candidates = self.candidates(share, spared);
            match largest_stalled(candidates, share, now) {
                Some(other) if other != key => {
                    self.shares[kind].closed += 1;
                    self.start_closing(other);
                    close.push(other);
                }
                Some(_) if self.candidates(share, spared).count() > 1 => {
                    self.shares[kind].closed += 1;
                    self.start_closing(key);
                    self.release(key, share, bytes);
                    return refused(close);
                }
                // The instance itself needs the rest of the share.
                Some(_) | None => {
                    let most = if share == Share::Answers {
                        usize::MAX
                    } else if is_small {
                        limit + limit / EXCESS_DIVISOR
                    } else {
                        limit
                    };
                    if self.shares[kind].remaining <= most {
                        break;
                    }
                    self.shares[kind].refused += 1;
                    self.release(key, share, bytes);
                    return refused(close);
                }
            }
        }
        Decision {
            close,
            granted: Ok(()),
        }
    }

    /// Takes bytes from what a connection holds of a share. The connection may have ended.
    pub fn release(&mut self, key: ConnectionKey, share: Share, bytes: usize) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.held[share as usize] -= bytes;
        let usage = &mut self.shares[share as usize];
        usage.used -= bytes;
        if !connection.is_closing {
            usage.remaining -= bytes;
        }
        self.remove_if_unused(key);
    }

    /// Returns the connections that may be closed to free memory of a share.
    fn candidates(
        &self,
        share: Share,
        spared: Option<ConnectionKey>,
    ) -> impl Iterator<Item = (ConnectionKey, &Connection)> {
        self.connections.iter().filter(move |(key, connection)| {
            connection.is_candidate() && connection.held[share as usize] > 0 && Some(*key) != spared
        })
    }

    /// Returns the connection at a port that is of the least use to its client: one that has begun
    /// something and not gone on with it, before one that waits for its next request, before one that
    /// has just been opened or made progress.
    fn longest_unused(&self, port: Port, now: Instant) -> Option<ConnectionKey> {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.port == port && connection.is_candidate())
            .max_by_key(|(_, connection)| {
                let held = connection.held_bytes();
                let use_of_it = if connection.has_had_answer && held == 0 {
                    Use::AwaitsRequest
                } else if connection.stalled(now) < FRESH_TIME {
                    Use::Fresh
                } else {
                    Use::Stalled
                };
                let weight = connection.weight(CONNECTION_BYTES + held, now);
                (use_of_it, weight, Reverse(connection.progressed))
            })
            .map(|(key, _)| key)
    }

    fn start_closing(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.is_closing = true;
        self.ports[connection.port as usize].remaining -= 1;
        for (usage, held) in self.shares.iter_mut().zip(connection.held) {
            usage.remaining -= held;
        }
    }

    fn remove_if_unused(&mut self, key: ConnectionKey) {
        let is_unused = self
            .connections
            .get(key)
            .is_some_and(|connection| connection.has_ended && connection.held_bytes() == 0);
        if is_unused {
            self.connections.remove(key);
        }
    }
}
