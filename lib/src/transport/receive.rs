//! Receive buffers of sockets, as the operating system counts them.

use std::cell::RefCell;
use std::io;
use std::net::Shutdown;
use std::os::fd::AsFd;
use std::rc::Rc;

use rustix::io::ioctl_fionread;
use socket2::SockRef;
use thiserror::Error;

use crate::coordination::serving::receive_buffers::ServerPool;

/// The operating system doubles the size that it is told, to have room for its own data.
const SYSTEM_FACTOR: usize = 2;

/// Sets the size of the receive buffer of a socket, in bytes. A listening socket passes it on to
/// the connections that it accepts from then on.
///
/// # Errors
///
/// Returns the error of the operating system.
pub fn set_size<Socket>(socket: &Socket, bytes: usize) -> io::Result<()>
where
    Socket: AsFd,
{
    SockRef::from(socket).set_recv_buffer_size(bytes / SYSTEM_FACTOR)
}

/// Returns how many bytes a socket has received that nobody has read.
///
/// # Errors
///
/// Returns the error of the operating system.
pub fn unread<Socket>(socket: &Socket) -> io::Result<usize>
where
    Socket: AsFd,
{
    let bytes = ioctl_fionread(socket)?;
    Ok(usize::try_from(bytes).unwrap_or(usize::MAX))
}

/// Ends the direction of a socket in which it sends, unless its connection is gone.
///
/// # Errors
///
/// Returns the error of the operating system.
pub fn shut_down_writing<Socket>(socket: &Socket) -> io::Result<()>
where
    Socket: AsFd,
{
    match SockRef::from(socket).shutdown(Shutdown::Write) {
        Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(()),
        result => result,
    }
}

/// The error returned when there are too many connections to servers.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("too many connections to servers")]
pub struct Exhausted;

#[derive(Debug)]
struct State {
    pool: ServerPool,
    open: usize,
    peak: usize,
    least: usize,
    connections: usize,
}

/// The connections of a process to servers, with their receive buffers. Clones share them.
#[derive(Clone, Debug)]
pub struct ServerBuffers {
    state: Rc<RefCell<State>>,
}

impl ServerBuffers {
    /// Creates an account with no connection open. There may be `least` of them at any time, and more
    /// while there are at most `connections` together with those of clients.
    #[must_use]
    pub fn new(pool: ServerPool, least: usize, connections: usize) -> Self {
        let state = State {
            pool,
            open: 0,
            peak: 0,
            least,
            connections,
        };
        Self {
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Takes a buffer for a connection, while clients have `clients` connections.
    ///
    /// # Errors
    ///
    /// Returns an error if as many connections are open as there may be.
    pub fn take(&self, clients: usize) -> Result<ServerBuffer, Exhausted> {
        let mut state = self.state.borrow_mut();
        let most = state.connections.saturating_sub(clients).max(state.least);
        if state.open >= most {
            return Err(Exhausted);
        }
        let bytes = state.pool.take();
        state.open += 1;
        state.peak = state.peak.max(state.open);
        Ok(ServerBuffer {
            bytes,
            buffers: self.clone(),
        })
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.state.borrow().open
    }

    /// Returns the most connections that were open at a time.
    #[must_use]
    pub fn peak(&self) -> usize {
        self.state.borrow().peak
    }
}

/// The receive buffer of a connection to a server. Dropping it returns its bytes.
#[derive(Debug)]
pub struct ServerBuffer {
    bytes: usize,
    buffers: ServerBuffers,
}

impl ServerBuffer {
    /// Returns its size, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for ServerBuffer {
    fn drop(&mut self) {
        let mut state = self.buffers.state.borrow_mut();
        state.pool.release(self.bytes);
        state.open -= 1;
    }
}
