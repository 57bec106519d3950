//! Receive buffers of sockets, as the operating system counts them.

use std::io;
use std::os::fd::AsFd;

use socket2::SockRef;

/// The operating system doubles the size that it is told, to have room for its own data.
const SYSTEM_FACTOR: usize = 2;

/// Returns the size of the receive buffer of a socket, in bytes.
///
/// # Errors
///
/// Returns the error of the operating system.
pub fn size<Socket>(socket: &Socket) -> io::Result<usize>
where
    Socket: AsFd,
{
    SockRef::from(socket).recv_buffer_size()
}

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
