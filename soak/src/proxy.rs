//! A loopback proxy on one link, which can be slowed, reset, cut one way or silenced.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

/// What a link does to its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Trouble {
    /// Nothing.
    #[default]
    None,
    /// Every piece arrives later.
    Delay(Duration),
    /// Open connections are reset, new ones work.
    Reset,
    /// Connections are reset as soon as they are accepted, as by a machine without a listener.
    Refuse,
    /// Nothing passes to the server.
    CutToServer,
    /// Nothing passes to the client.
    CutToClient,
    /// Connections that are open now stay silent for good; new ones work.
    Silence,
}

/// A running proxy.
#[derive(Debug)]
pub(crate) struct Proxy {
    address: SocketAddr,
    // The number counts the changes, so that a connection knows what came after its start.
    trouble: watch::Sender<(u64, Trouble)>,
}

impl Proxy {
    /// Starts a proxy to a server.
    pub(crate) async fn start(server: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (trouble, receiver) = watch::channel((0, Trouble::None));
        tokio::spawn(accept(listener, server, receiver));
        Ok(Self { address, trouble })
    }

    /// Returns where clients connect.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what the link does from now on.
    pub(crate) fn set(&self, trouble: Trouble) {
        self.trouble
            .send_modify(|state| *state = (state.0 + 1, trouble));
    }
}

async fn accept(
    listener: TcpListener,
    server: SocketAddr,
    trouble: watch::Receiver<(u64, Trouble)>,
) {
    // Ends with the runtime of the run.
    loop {
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        tokio::spawn(forward(client, server, trouble.clone()));
    }
}

async fn forward(client: TcpStream, server: SocketAddr, trouble: watch::Receiver<(u64, Trouble)>) {
    let (opened, state) = *trouble.borrow();
    let connected = match state {
        Trouble::Refuse => None,
        _ => TcpStream::connect(server).await.ok(),
    };
    let Some(upstream) = connected else {
        reset(&client);
        return;
    };
    for stream in [&client, &upstream] {
        // Without it pieces may wait for each other, which only slows the link.
        let _ = stream.set_nodelay(true);
    }
    let mut state = trouble.clone();
    let is_reset = state.wait_for(|(change, trouble)| {
        *change > opened && matches!(trouble, Trouble::Reset | Trouble::Refuse)
    });
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = upstream.into_split();
    let pass = |from, to, cut| pass(from, to, cut, opened, trouble.clone());
    tokio::select! {
        _ = is_reset => {}
        () = pass(from_client, to_server, Trouble::CutToServer) => {}
        () = pass(from_server, to_client, Trouble::CutToClient) => {}
    }
}

/// Passes bytes one way until the connection ends. The end of either way closes both.
async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    cut: Trouble,
    opened: u64,
    mut trouble: watch::Receiver<(u64, Trouble)>,
) {
    let mut silent = false;
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(length @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        let (change, state) = *trouble.borrow();
        silent |= change > opened && state == Trouble::Silence;
        if silent {
            std::future::pending::<()>().await;
        }
        if let Trouble::Delay(time) = state {
            tokio::time::sleep(time).await;
        }
        // What a cut holds up arrives once it ends, as with TCP.
        if trouble.wait_for(|(_, state)| *state != cut).await.is_err()
            || to.write_all(&buffer[..length]).await.is_err()
        {
            return;
        }
    }
}

fn reset(stream: &TcpStream) {
    // A connection that is gone already needs no reset.
    let _ = stream.set_zero_linger();
}
