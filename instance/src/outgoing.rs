//! Opens connections to leafs and other instances, within the descriptors that are left for them.

use std::net::SocketAddr;

use camphorhold::coordination::serving::memory_account::Port;
use camphorhold::transport::http::Connection;
use camphorhold::transport::http::Error;
use camphorhold::transport::http::TcpOptions;

use crate::shared::Shared;

/// Opens a connection. If there are too many, closes the one that has been idle for the longest.
///
/// # Errors
///
/// Returns an error if there are too many and none is idle, or if the server does not accept the
/// connection.
pub async fn open(
    shared: &Shared,
    address: SocketAddr,
    options: TcpOptions,
) -> Result<Connection, Error> {
    if shared.clients.is_full(Port::Outgoing) && !shared.leaf_pool.close_one() {
        shared.peer_pool.close_one();
    }
    let (place, _) = shared.clients.open(Port::Outgoing)?;
    let mut connection = Connection::open(address, options).await?;
    connection.set_place(place);
    Ok(connection)
}
