//! A listening socket, whose receive buffer is that of the connections that it accepts.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;

use camphorhold::coordination::serving::memory_account::Port;
use camphorhold::coordination::serving::memory_account::Refused;
use camphorhold::transport::client::Account;
use camphorhold::transport::client::Opened;
use camphorhold::transport::receive;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// A listening socket of an instance.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    port: Port,
    clients: Account,
    // The receive buffer of the connections that are opened from now on.
    buffer_bytes: Cell<usize>,
}

impl Listener {
    /// Listens on an IPv4 address. The address may still have connections of an earlier process in
    /// `TIME_WAIT`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is IPv6, does not belong to the host or is in use.
    pub fn bind(address: SocketAddr, port: Port, clients: Account) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        let buffer_bytes = clients.initial_buffer(port);
        set_buffer(&socket, buffer_bytes);
        socket.bind(address)?;
        Ok(Self {
            socket: socket.listen(clients.waiting(port))?,
            port,
            clients,
            buffer_bytes: Cell::new(buffer_bytes),
        })
    }

    /// Returns the port.
    pub fn port(&self) -> Port {
        self.port
    }

    /// Waits for a connection.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub async fn accept(&self) -> io::Result<TcpStream> {
        Ok(self.socket.accept().await?.0)
    }

    /// Adds a connection that was accepted to the account of clients, and gives it the receive buffer
    /// that it may have.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has to be closed.
    pub fn open(&self, stream: &TcpStream) -> Result<Opened, Refused> {
        let opened = self.clients.open(self.port)?;
        set_buffer(stream, opened.connection.buffer());
        self.adjust();
        Ok(opened)
    }

    /// Changes the receive buffer of further connections with the bytes that are left for them.
    fn adjust(&self) {
        let bytes = self.clients.initial_buffer(self.port);
        if self.buffer_bytes.replace(bytes) != bytes {
            set_buffer(&self.socket, bytes);
        }
    }
}

/// Sets the receive buffer of a socket, and goes on if that is not possible: only the bound on what
/// waits in it is higher then.
pub fn set_buffer<Socket>(socket: &Socket, bytes: usize)
where
    Socket: AsFd,
{
    if let Err(error) = receive::set_size(socket, bytes) {
        log::debug!(bytes = bytes, error:% = error; "cannot set the receive buffer of a socket");
    }
}
