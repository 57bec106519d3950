//! The sizes of the receive buffers of an instance's sockets.
//!
//! The operating system keeps what a socket has received until the process reads it, and a process
//! cannot refuse it: each socket may hold as much as its receive buffer. So the buffers of all sockets
//! together are bounded. Few connections have wide buffers, and with more of them each has less.

use super::memory_account::CONNECTION_BYTES;
use super::memory_account::Limits;
use super::memory_account::Port;
use super::memory_account::client_bytes;
use super::memory_account::sockets;

/// The smallest receive buffer, in bytes as the operating system counts them. It holds the head of a
/// usual request.
pub const MIN_BYTES: usize = 8 << 10;

/// The largest receive buffer of a client's connection: what the operating system would begin with.
pub const MAX_BYTES: usize = 128 << 10;

/// The largest receive buffer of a connection to a server.
pub const MAX_SERVER_BYTES: usize = 256 << 10;

/// The part of a port's bytes that is for connections that wait to be accepted, as a divisor.
const OPEN_DIVISOR: usize = 4;

/// How many connections to servers the spare bytes have to be sufficient for at least.
const SERVER_DIVISOR: usize = 16;

/// The most connections that wait to be accepted, per port, and the least.
const MAX_WAITING: usize = 128;
const MIN_WAITING: usize = 8;

/// The memory for the receive buffers of clients, for those that wait at one port while few are open and
/// use nothing else, for those of connections to servers and for these connections themselves, as
/// divisors of what the process does not need itself.
const CLIENT_DIVISOR: usize = 6;
const CALM_DIVISOR: usize = 8;
const SERVER_BUFFER_DIVISOR: usize = 16;
const SERVER_CONNECTION_DIVISOR: usize = 16;

/// The descriptors of listening sockets, of the store and of the runtime.
const OWN_SOCKETS: usize = 32;

/// The least part of the sockets that is for connections to servers, as a divisor.
const MIN_SERVERS_DIVISOR: usize = 8;

/// The receive buffers of the clients' connections at a port. All have the same size, which falls as
/// their number rises.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PortBuffers {
    // For the connections that are open and those that wait to be accepted.
    bytes: usize,
    // For those that wait, while few are open.
    calm_bytes: usize,
    waiting: usize,
    open: usize,
    size: usize,
}

impl PortBuffers {
    /// Creates the buffers of a port at which `waiting` connections may wait to be accepted.
    #[must_use]
    pub fn new(bytes: usize, calm_bytes: usize, waiting: usize) -> Self {
        let mut buffers = Self {
            bytes,
            calm_bytes,
            waiting,
            open: 0,
            size: MIN_BYTES,
        };
        buffers.size = buffers.size_for(0);
        buffers
    }

    /// Returns the size of the buffer of an open connection, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.size
    }

    /// Returns the size for connections that are opened from now on, until they are accepted.
    #[must_use]
    pub fn initial_size(&self) -> usize {
        let (most, bytes) = if self.size == MAX_BYTES {
            (MAX_BYTES, self.calm_bytes)
        } else {
            (self.size / OPEN_DIVISOR, self.bytes / OPEN_DIVISOR)
        };
        let mut size = most;
        while size > MIN_BYTES && (self.waiting + 1) * size > bytes {
            size /= 2;
        }
        size.max(MIN_BYTES)
    }

    /// Records that a connection was accepted. Returns whether open ones have to be made smaller.
    pub fn on_open(&mut self) -> bool {
        self.open += 1;
        let size = self.size_for(self.open);
        let shrinks = size < self.size;
        self.size = self.size.min(size);
        shrinks
    }

    /// Records that a connection has ended.
    pub fn on_end(&mut self) {
        self.open -= 1;
        // Not at once, so that a connection more or less does not change the size of all.
        self.size = self.size.max(self.size_for(self.open * 2));
    }

    /// Returns the largest size that as many connections can have.
    fn size_for(&self, open: usize) -> usize {
        let bytes = self.bytes / OPEN_DIVISOR * (OPEN_DIVISOR - 1);
        let mut size = MAX_BYTES;
        while size > MIN_BYTES && open.max(1) * size > bytes {
            size /= 2;
        }
        size
    }
}

/// The receive buffers of the connections to servers. Each keeps the size that it begins with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerPool {
    // What is not set aside, and how much of that is in use.
    spare: usize,
    used: usize,
}

impl ServerPool {
    /// Creates a pool of that many bytes, of which the smallest buffer is set aside for each of
    /// `connections`.
    #[must_use]
    pub fn new(bytes: usize, connections: usize) -> Self {
        Self {
            spare: bytes.saturating_sub(connections * MIN_BYTES),
            used: 0,
        }
    }

    /// Returns the bytes that are neither in use nor set aside.
    #[must_use]
    pub fn free(&self) -> usize {
        self.spare.saturating_sub(self.used)
    }

    /// Takes a buffer for a connection. Returns its size, in bytes.
    pub fn take(&mut self) -> usize {
        let mut size = MIN_BYTES;
        let most = self.free() / SERVER_DIVISOR;
        while size < MAX_SERVER_BYTES && size * 2 - MIN_BYTES <= most {
            size *= 2;
        }
        self.used += size - MIN_BYTES;
        size
    }

    /// Returns a buffer of that size.
    pub fn release(&mut self, size: usize) {
        self.used -= size - MIN_BYTES;
    }
}

/// The receive buffers of all connections of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceiveLimits {
    /// The bytes at each port, in the order of [`Port::ALL`].
    pub bytes: [usize; 4],
    /// The bytes of connections that wait at a port while few are open.
    pub calm_bytes: usize,
    /// How many connections may wait to be accepted at each port.
    pub waiting: [usize; 4],
    /// The bytes of connections to servers.
    pub server_bytes: usize,
    /// The connections to servers that there may be at any time.
    pub servers: usize,
    /// The most connections of clients and to servers together. Connections to servers may use what
    /// clients do not use of that.
    pub connections: usize,
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
            calm_bytes: memory / CALM_DIVISOR,
            waiting,
            server_bytes: memory / SERVER_BUFFER_DIVISOR,
            servers: in_memory
                .min(rest.max(sockets / MIN_SERVERS_DIVISOR))
                .max(2),
            connections: (memory / 32 * 9 / CONNECTION_BYTES)
                .min(sockets.saturating_sub(OWN_SOCKETS)),
        }
    }

    /// Returns the buffers of a port.
    #[must_use]
    pub fn port(&self, port: Port) -> PortBuffers {
        let waiting = self.waiting[port as usize];
        match port {
            Port::Callers | Port::Instances => {
                PortBuffers::new(self.bytes[port as usize], self.calm_bytes, waiting)
            }
            // The smallest size for each.
            Port::Readiness | Port::Metrics => PortBuffers::new(0, 0, waiting),
        }
    }

    /// Returns the pool of the connections to servers.
    #[must_use]
    pub fn server_pool(&self) -> ServerPool {
        ServerPool::new(self.server_bytes, self.servers)
    }
}

/// Returns how many connections there may be at a port. One more than the operating system is told may
/// wait.
fn clients(limits: &Limits, waiting: [usize; 4], port: Port) -> usize {
    limits.connections[port as usize] + waiting[port as usize] + 1
}
