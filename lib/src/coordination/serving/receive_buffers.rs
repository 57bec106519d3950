//! The sizes of the receive buffers of an instance's sockets.
//!
//! The operating system keeps what a socket has received until the process reads it, and a process
//! cannot refuse it: each socket may hold as much as its receive buffer. So the buffers of all sockets
//! together are bounded. Each socket that may be open has the smallest size set aside. The rest goes to
//! those that need more, in calm to all of them.

use super::memory_account::CONNECTION_BYTES;
use super::memory_account::Limits;
use super::memory_account::Port;
use super::memory_account::client_bytes;
use super::memory_account::sockets;

/// The smallest receive buffer, in bytes as the operating system counts them. It holds the head of a
/// usual request.
pub const MIN_BYTES: usize = 8 << 10;

/// The largest receive buffer of a connection that has not sent a long body. Half of it is for data,
/// which is more than a client sends before the first acknowledgement.
pub const MAX_INITIAL_BYTES: usize = 32 << 10;

/// The largest receive buffer. Half of it is for data, as much as the longest body usually permitted.
pub const MAX_BYTES: usize = 512 << 10;

/// The largest receive buffer of a connection to a server: what the operating system would use.
pub const MAX_SERVER_BYTES: usize = 128 << 10;

/// The part of the spare bytes that one connection may take, as a divisor.
const WIDENING_DIVISOR: usize = 4;

/// How many connections to servers the spare bytes have to be sufficient for at least.
const SERVER_DIVISOR: usize = 16;

/// The most connections that wait to be accepted, per port, and the least.
const MAX_WAITING: usize = 128;
const MIN_WAITING: usize = 8;

/// The memory for the receive buffers of clients, for those of connections to servers and for these
/// connections themselves, as divisors of what the process does not need itself.
const CLIENT_DIVISOR: usize = 6;
const SERVER_BUFFER_DIVISOR: usize = 16;
const SERVER_CONNECTION_DIVISOR: usize = 16;

/// The descriptors of listening sockets, of the store and of the runtime.
const OWN_SOCKETS: usize = 32;

/// The least part of the sockets that is for connections to servers, as a divisor.
const MIN_SERVERS_DIVISOR: usize = 8;

/// The receive buffers of some sockets, which share a number of bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BufferPool {
    // What is not set aside, how much of that is in use, and the most that was.
    spare: usize,
    used: usize,
    peak: usize,
}

impl BufferPool {
    /// Creates a pool of that many bytes, of which the smallest buffer is set aside for each of
    /// `sockets`.
    #[must_use]
    pub fn new(bytes: usize, sockets: usize) -> Self {
        Self {
            spare: bytes.saturating_sub(sockets * MIN_BYTES),
            used: 0,
            peak: 0,
        }
    }

    /// Returns the bytes in use beyond those that are set aside.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns the most bytes that were in use at a time.
    #[must_use]
    pub fn peak(&self) -> usize {
        self.peak
    }

    /// Returns the bytes that are neither in use nor set aside.
    #[must_use]
    pub fn free(&self) -> usize {
        self.spare.saturating_sub(self.used)
    }

    /// Returns the largest size, at most `max`, that as many further sockets can have.
    #[must_use]
    pub fn size_for(&self, sockets: usize, max: usize) -> usize {
        let mut size = MIN_BYTES;
        while size * 2 <= max && (size * 2 - MIN_BYTES) * sockets <= self.free() {
            size *= 2;
        }
        size
    }

    /// Returns a larger size for a socket with a buffer of `size`, if the pool has the bytes.
    #[must_use]
    pub fn wider(&self, size: usize) -> Option<usize> {
        let mut wider = size;
        while wider * 2 <= MAX_BYTES && wider * 2 - size <= self.free() / WIDENING_DIVISOR {
            wider *= 2;
        }
        (wider > size).then_some(wider)
    }

    /// Records that a socket has a buffer of that size.
    pub fn take(&mut self, size: usize) {
        self.used += size.saturating_sub(MIN_BYTES);
        self.peak = self.peak.max(self.used);
    }

    /// Records that a socket with a buffer of that size has been closed or has another size.
    pub fn release(&mut self, size: usize) {
        self.used -= size.saturating_sub(MIN_BYTES);
    }
}

/// The receive buffers of all connections of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceiveLimits {
    /// The bytes at each port, in the order of [`Port::ALL`].
    pub bytes: [usize; 4],
    /// How many connections may wait to be accepted at each port.
    pub waiting: [usize; 4],
    /// The bytes of connections to servers.
    pub server_bytes: usize,
    /// The most connections to servers.
    pub servers: usize,
}

impl ReceiveLimits {
    /// Returns the limits for a machine with that much memory and that many descriptors, whose clients
    /// have `limits`. At the ports for readiness checks and metrics, all connections have the smallest
    /// size; the two others share what is left evenly.
    #[must_use]
    pub fn of_machine(memory_bytes: usize, max_descriptors: usize, limits: &Limits) -> Self {
        let memory = client_bytes(memory_bytes);
        let waiting = limits
            .connections
            .map(|connections| (connections / 2).clamp(MIN_WAITING, MAX_WAITING));
        let mut bytes = [0; 4];
        for port in Port::ALL {
            bytes[port as usize] = clients(limits, waiting, port) * MIN_BYTES;
        }
        let spare = (memory / CLIENT_DIVISOR).saturating_sub(bytes.iter().sum());
        bytes[Port::Callers as usize] += spare / 2;
        bytes[Port::Instances as usize] += spare / 2;
        let sockets = sockets(max_descriptors);
        let rest = sockets.saturating_sub(limits.connections.iter().sum::<usize>() + OWN_SOCKETS);
        let in_memory = memory / SERVER_CONNECTION_DIVISOR / CONNECTION_BYTES;
        Self {
            bytes,
            waiting,
            server_bytes: memory / SERVER_BUFFER_DIVISOR,
            servers: in_memory
                .min(rest.max(sockets / MIN_SERVERS_DIVISOR))
                .max(2),
        }
    }

    /// Returns the pool of a port.
    #[must_use]
    pub fn pool(&self, limits: &Limits, port: Port) -> BufferPool {
        let clients = clients(limits, self.waiting, port);
        BufferPool::new(self.bytes[port as usize], clients)
    }

    /// Returns the pool of the connections to servers.
    #[must_use]
    pub fn server_pool(&self) -> BufferPool {
        BufferPool::new(self.server_bytes, self.servers)
    }
}

/// Returns how many connections there may be at a port. One more than the operating system is told may
/// wait.
fn clients(limits: &Limits, waiting: [usize; 4], port: Port) -> usize {
    limits.connections[port as usize] + waiting[port as usize] + 1
}

/// Returns the size for the next connections to servers.
#[must_use]
pub fn server_size(pool: &BufferPool) -> usize {
    pool.size_for(SERVER_DIVISOR, MAX_SERVER_BYTES)
}
