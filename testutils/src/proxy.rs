//! A loopback TCP proxy on one link, which can delay, reset, refuse, hold back or stall the
//! connections.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

use crate::server;

/// The connections that fill the queue of a listener without a backlog.
const FILLING_CONNECTIONS: usize = 3;

/// The fault that a proxy injects into the connections of its link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Connections work normally.
    #[default]
    None,
    /// Each chunk of bytes that is read waits for this time before it is written.
    Delay(Duration),
    /// Open connections are reset. New ones work.
    Reset,
    /// Open connections are reset, and new ones as soon as they are accepted, as by a machine
    /// without a listener.
    Refuse,
    /// Bytes to the server are held back until the fault ends.
    CutToServer,
    /// Bytes to the client are held back until the fault ends.
    CutToClient,
    /// Connections that are open now stay open but forward no more bytes, even after the fault
    /// ends. New ones work.
    Silence,
    /// As [`LinkFault::Silence`], and new connections are not established: the server's machine does
    /// not respond.
    Unreachable,
    /// Open connections are reset, and there is no listener for new ones.
    Down,
    /// Open connections work, and there is no listener for new ones.
    NoListener,
}

/// A running proxy from a loopback address of its own to one server.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    // The number counts the changes, so that a connection can see which faults began after it was
    // opened.
    fault: watch::Sender<(u64, LinkFault)>,
}

impl Proxy {
    /// Starts a proxy that forwards to the server without a fault.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    ///
    /// # Panics
    ///
    /// Panics outside of a runtime.
    pub fn start(server: SocketAddr) -> std::io::Result<Self> {
        let listener = server::listen(SocketAddr::from(([127, 0, 0, 1], 0)), server::BACKLOG)?;
        let address = listener.local_addr()?;
        let (fault, receiver) = watch::channel((0, LinkFault::None));
        tokio::spawn(accept(listener, server, receiver));
        Ok(Self { address, fault })
    }

    /// Returns the address to which clients connect instead of the server's.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the fault of the link, for open and new connections.
    pub fn set(&self, fault: LinkFault) {
        self.fault
            .send_modify(|state| *state = (state.0 + 1, fault));
    }
}

async fn accept(
    mut listener: TcpListener,
    server: SocketAddr,
    mut fault: watch::Receiver<(u64, LinkFault)>,
) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    // The task ends with the runtime of the run.
    loop {
        let (_, state) = *fault.borrow_and_update();
        match state {
            LinkFault::Down | LinkFault::NoListener => {
                drop(listener);
                listener = server::rebind_after(address, fault.changed()).await;
            }
            LinkFault::Unreachable => {
                drop(listener);
                // The queue of the listener is full, so further connections are not established.
                let full = server::rebind(address, 0).await;
                let waiting: Vec<_> = (0..FILLING_CONNECTIONS)
                    .map(|_| tokio::spawn(TcpStream::connect(address)))
                    .collect();
                let _ = fault.changed().await;
                for connection in waiting {
                    connection.abort();
                }
                drop(full);
                listener = server::rebind(address, server::BACKLOG).await;
            }
            _ => tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((client, _)) = accepted {
                        tokio::spawn(forward(client, server, fault.clone()));
                    }
                }
                _ = fault.changed() => {}
            },
        }
    }
}

async fn forward(client: TcpStream, server: SocketAddr, fault: watch::Receiver<(u64, LinkFault)>) {
    let (opened, state) = *fault.borrow();
    let connected = match state {
        LinkFault::Refuse => None,
        _ => TcpStream::connect(server).await.ok(),
    };
    let Some(upstream) = connected else {
        reset(&client);
        return;
    };
    for stream in [&client, &upstream] {
        // If this fails, Nagle's algorithm only delays small chunks.
        let _ = stream.set_nodelay(true);
    }
    let mut state = fault.clone();
    let is_reset = state.wait_for(|(change, fault)| {
        *change > opened
            && matches!(
                fault,
                LinkFault::Reset | LinkFault::Refuse | LinkFault::Down
            )
    });
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = upstream.into_split();
    let forward_one_way = |from, to, cut| forward_one_way(from, to, cut, opened, fault.clone());
    tokio::select! {
        _ = is_reset => {}
        () = forward_one_way(from_client, to_server, LinkFault::CutToServer) => {}
        () = forward_one_way(from_server, to_client, LinkFault::CutToClient) => {}
    }
}

/// Forwards bytes in one direction until the connection ends. The caller closes both directions
/// when either ends.
async fn forward_one_way(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    cut: LinkFault,
    opened: u64,
    mut fault: watch::Receiver<(u64, LinkFault)>,
) {
    let mut stalled = false;
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(length @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        let (change, state) = *fault.borrow();
        stalled |= change > opened && matches!(state, LinkFault::Silence | LinkFault::Unreachable);
        if stalled {
            std::future::pending::<()>().await;
        }
        if let LinkFault::Delay(time) = state {
            tokio::time::sleep(time).await;
        }
        // Bytes that a cut holds back are written once it ends, as TCP would retransmit them.
        if fault.wait_for(|(_, state)| *state != cut).await.is_err()
            || to.write_all(&buffer[..length]).await.is_err()
        {
            return;
        }
    }
}

fn reset(stream: &TcpStream) {
    // A failure means that the connection is closed already and needs no reset.
    let _ = stream.set_zero_linger();
}
