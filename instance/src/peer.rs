//! Connections to other instances.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use camphorhold::transport::http::Connection;
use camphorhold::transport::http::Error;
use camphorhold::transport::http::TcpOptions;

use crate::shared::Shared;

const TCP_OPTIONS: TcpOptions = TcpOptions {
    // A round trip within a region takes a few milliseconds, and the query has to run in the time
    // that remains.
    connect_timeout: Duration::from_millis(25),
    user_timeout: Duration::from_secs(1),
    keepalive_interval: None,
};

/// Returns an idle connection to an instance, or a new one.
///
/// # Errors
///
/// Returns an error if the instance does not accept a new connection.
pub async fn connect(shared: &Shared, address: SocketAddr) -> Result<Connection, Error> {
    match shared.peer_pool.take(address, shared.now()) {
        Some(connection) => Ok(connection),
        None => open(shared, address).await,
    }
}

/// Opens a new connection to an instance.
///
/// # Errors
///
/// Returns an error if the instance does not accept the connection.
pub async fn open(shared: &Shared, address: SocketAddr) -> Result<Connection, Error> {
    let buffer = shared.take_server_buffer();
    let buffer = buffer.map_err(|error| Error::Connect(io::Error::other(error)))?;
    Connection::open_with_buffer(address, TCP_OPTIONS, buffer).await
}

/// Keeps a connection for the next request, if it can carry one.
pub fn keep(shared: &Shared, address: SocketAddr, mut connection: Connection) {
    if connection.is_usable() {
        shared
            .peer_pool
            .put(address, connection, None, shared.now());
    }
}
