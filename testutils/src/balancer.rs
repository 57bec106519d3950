//! The platform's load balancer, which forwards each TCP connection to one of the ready instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures::future::join_all;
use hyper::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;
use volo_http::server::route::Router;
use volo_http::server::route::get;

use crate::client;
use crate::server::ACCEPT_RETRY;
use crate::server::Admission;
use crate::server::Error;
use crate::server::Gate;
use crate::server::Server;
use crate::server::bind;
use crate::server::json as json_response;
use crate::server::lock;
use crate::server::post_json;
use crate::server::reset;

/// The longest wait for an instance to accept a connection or to answer `/readyz`.
const INSTANCE_TIMEOUT: Duration = Duration::from_secs(1);

/// The capacity of the buffer for one read.
const CHUNK_BYTES: usize = 64 * 1024;

/// The largest number of chunks of one direction that wait for their delay. It limits the memory of
/// a connection, and with it the throughput: at most this many chunks are forwarded per delay.
const CHUNKS_IN_TRANSIT: usize = 256;

/// The balancer to start.
#[derive(Clone, Debug)]
pub struct Config {
    /// The address for callers. Port 0 gives a free port.
    pub listen: SocketAddr,
    /// The address of the admin port, which serves `/set` and `/counters`. Port 0 gives a free
    /// port.
    pub admin: SocketAddr,
    /// The addresses of the instances at the start.
    pub instances: Vec<SocketAddr>,
    /// The time between two polls of `/readyz` of all instances.
    pub poll: Duration,
    /// How long bytes are delayed in each direction.
    pub delay: Duration,
    /// The number added to the port of an instance to get the port that answers `/readyz`.
    pub probe_offset: u16,
}

impl Config {
    /// Returns the platform's configuration: free ports, a poll every 500 ms at the instance's own
    /// port, and no delay.
    #[must_use]
    pub fn new(instances: Vec<SocketAddr>) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            listen: any,
            admin: any,
            instances,
            poll: Duration::from_millis(500),
            delay: Duration::ZERO,
            probe_offset: 0,
        }
    }
}

/// The readiness of one instance and the counts of its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Whether the last poll of its `/readyz` was answered with 200 in time.
    pub ready: bool,
    /// Connections that were opened to it.
    pub connections: u64,
    /// Connections that it refused or did not accept in time.
    pub failures: u64,
}

/// The readiness of all instances and the counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// The readiness and counts by the address of the instance.
    pub instances: BTreeMap<SocketAddr, Instance>,
    /// Connections that were reset because no ready instance accepted them.
    pub unserved: u64,
    /// Completed rounds of polls; each round polls all instances.
    pub polls: u64,
}

#[derive(Default)]
struct State {
    counters: Counters,
    /// The number of connections so far, from which the round robin takes its first candidate.
    connection_count: usize,
}

/// A running balancer. Dropping it stops it and closes its connections.
pub struct Balancer {
    address: SocketAddr,
    admin: Server,
    state: Arc<Mutex<State>>,
    /// The tasks that accept connections and poll readiness. They end when this is dropped.
    _tasks: JoinSet<()>,
}

impl Balancer {
    /// Starts a balancer. It has polled all instances once when this returns.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be bound.
    pub async fn start(config: Config) -> Result<Self, Error> {
        let (listener, address) = bind(config.listen).await?;
        let state = Arc::new(Mutex::new(State::default()));
        set_instances(&state, config.instances);
        let gate = Gate::new(Admission::default());
        let admin = Server::start(config.admin, gate, routes(&state)).await?;
        poll(&state, config.probe_offset).await;
        let mut tasks = JoinSet::new();
        let polled = Arc::clone(&state);
        tasks.spawn(async move {
            loop {
                tokio::time::sleep(config.poll).await;
                poll(&polled, config.probe_offset).await;
            }
        });
        tasks.spawn(accept(listener, Arc::clone(&state), config.delay));
        Ok(Self {
            address,
            admin,
            state,
            _tasks: tasks,
        })
    }

    /// Returns the address for callers, with the port chosen if port 0 was given.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the admin port, with the port chosen if port 0 was given.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Replaces the instances. New ones count as unready until the next poll. Open connections stay
    /// open.
    pub fn set_instances(&self, instances: Vec<SocketAddr>) {
        set_instances(&self.state, instances);
    }

    /// Returns the readiness of all instances and the counts since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        lock(&self.state).counters.clone()
    }
}

fn set_instances(state: &Mutex<State>, instances: Vec<SocketAddr>) {
    let known = &mut lock(state).counters.instances;
    known.retain(|address, _| instances.contains(address));
    for address in instances {
        known.entry(address).or_default();
    }
}

fn routes(state: &Arc<Mutex<State>>) -> Router {
    let changed = Arc::clone(state);
    let counted = Arc::clone(state);
    Router::new()
        .route(
            "/set",
            post_json(move |instances: Vec<SocketAddr>| {
                let answer = json_response(StatusCode::OK, &instances);
                set_instances(&changed, instances);
                std::future::ready(answer)
            }),
        )
        .route(
            "/counters",
            get(move || {
                let counters = &lock(&counted).counters;
                std::future::ready(json_response(StatusCode::OK, counters))
            }),
        )
}

async fn poll(state: &Mutex<State>, probe_offset: u16) {
    let addresses: Vec<SocketAddr> = lock(state).counters.instances.keys().copied().collect();
    let polls = addresses.into_iter().map(|address| async move {
        let port = address.port().saturating_add(probe_offset);
        let request = client::status(SocketAddr::new(address.ip(), port), "/readyz");
        let answer = tokio::time::timeout(INSTANCE_TIMEOUT, request).await;
        let ready = matches!(answer, Ok(Ok(200)));
        // The instance may have been removed from the list during the poll.
        if let Some(instance) = lock(state).counters.instances.get_mut(&address) {
            instance.ready = ready;
        }
    });
    join_all(polls).await;
    lock(state).counters.polls += 1;
}

async fn accept(listener: TcpListener, state: Arc<Mutex<State>>, delay: Duration) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let state = Arc::clone(&state);
        connections.spawn(async move {
            match connect(&state).await {
                Some(instance) => relay(stream, instance, delay).await,
                None => reset(&stream),
            }
        });
    }
}

/// Connects to a ready instance, in round-robin order. Each one is tried at most once.
async fn connect(state: &Mutex<State>) -> Option<TcpStream> {
    let candidates = {
        let mut state = lock(state);
        let ready = state.counters.instances.iter();
        let ready = ready.filter(|(_, instance)| instance.ready);
        let mut ready: Vec<SocketAddr> = ready.map(|(address, _)| *address).collect();
        if !ready.is_empty() {
            let first = state.connection_count % ready.len();
            ready.rotate_left(first);
        }
        state.connection_count = state.connection_count.wrapping_add(1);
        ready
    };
    for address in candidates {
        let attempt = TcpStream::connect(address);
        let attempt = tokio::time::timeout(INSTANCE_TIMEOUT, attempt).await;
        let mut state = lock(state);
        let instance = state.counters.instances.entry(address).or_default();
        if let Ok(Ok(stream)) = attempt {
            instance.connections += 1;
            return Some(stream);
        }
        instance.failures += 1;
    }
    lock(state).counters.unserved += 1;
    None
}

/// Forwards bytes in both directions. An error on one side resets both connections.
async fn relay(mut caller: TcpStream, mut instance: TcpStream, delay: Duration) {
    for stream in [&caller, &instance] {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("cannot set TCP_NODELAY, short writes may be delayed: {error}");
        }
    }
    let (from_caller, to_caller) = caller.split();
    let (from_instance, to_instance) = instance.split();
    let forwarded = tokio::try_join!(
        forward(from_caller, to_instance, delay),
        forward(from_instance, to_caller, delay),
    );
    if forwarded.is_err() {
        reset(&caller);
        reset(&instance);
    }
}

async fn forward<R, W>(mut from: R, mut to: W, delay: Duration) -> std::io::Result<()>
where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let (sender, mut receiver) = mpsc::channel::<(Instant, Bytes)>(CHUNKS_IN_TRANSIT);
    let read = async move {
        let mut buffer = BytesMut::new();
        loop {
            buffer.reserve(CHUNK_BYTES);
            let count = from.read_buf(&mut buffer).await?;
            // The end of the stream is sent as an empty chunk, so that it is delayed as well.
            let due = Instant::now() + delay;
            let sent = sender.send((due, buffer.split().freeze())).await;
            if count == 0 || sent.is_err() {
                return Ok(());
            }
        }
    };
    let write = async {
        while let Some((due, chunk)) = receiver.recv().await {
            tokio::time::sleep_until(due).await;
            to.write_all(&chunk).await?;
        }
        to.shutdown().await
    };
    tokio::try_join!(read, write).map(|_| ())
}
