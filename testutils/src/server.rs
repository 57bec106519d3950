//! An HTTP/1.1 server whose connections are counted and can be limited, delayed and reset.
//!
//! Requests are routed by volo-http. Connections are served by hyper directly, because
//! `volo_http::Server::run` installs signal handlers, cannot be stopped by its caller and gives no
//! access to its connections.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use volo::Service;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::IntoResponse;
use volo_http::server::route::MethodRouter;
use volo_http::server::route::Router;
use volo_http::server::route::post;

/// The epoch of a gate whose server has stopped.
const CLOSED: u64 = u64::MAX;

/// The pause after a failed accept, for instance while no file descriptor is free.
pub(crate) const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// The pause between two attempts to listen on an address again.
const REBIND_PAUSE: Duration = Duration::from_millis(10);

/// The length of the queue of connections that were not accepted yet.
pub(crate) const BACKLOG: u32 = 1_024;

/// Why a stand-in did not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address cannot be bound, for instance because the port is taken.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The address that was to be bound.
        address: SocketAddr,
        /// The reason given by the operating system.
        source: io::Error,
    },
}

/// Binds a listener. Port 0 gives a free port.
pub(crate) async fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr), Error> {
    let bound = async {
        let listener = TcpListener::bind(address).await?;
        let local = listener.local_addr()?;
        Ok((listener, local))
    };
    bound
        .await
        .map_err(|source| Error::Bind { address, source })
}

/// Keeps the port of a listener that was closed until `end` is ready, and refuses connections
/// meanwhile. Then listens again. The next listener at a free port could otherwise get this one.
pub(crate) async fn rebind_after<End>(address: SocketAddr, end: End) -> TcpListener
where
    End: Future,
{
    let reserved = reserve(address);
    end.await;
    match reserved.and_then(|socket| socket.listen(BACKLOG)) {
        Ok(listener) => listener,
        Err(_) => rebind(address, BACKLOG).await,
    }
}

/// Listens on an address that was in use until now.
pub(crate) async fn rebind(address: SocketAddr, backlog: u32) -> TcpListener {
    loop {
        match listen(address, backlog) {
            Ok(listener) => return listener,
            Err(error) => {
                log::debug!("cannot listen on {address} yet: {error}");
                tokio::time::sleep(REBIND_PAUSE).await;
            }
        }
    }
}

pub(crate) fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    reserve(address)?.listen(backlog)
}

fn reserve(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Makes the close of a connection send a TCP reset instead of an orderly end.
pub(crate) fn reset(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        log::debug!("cannot set SO_LINGER, closing the connection without a reset: {error}");
    }
}

/// Locks a mutex, also if a thread panicked while it held the lock: the data is used as it is.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How a server treats new connections.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Admission {
    /// The largest number of open connections; further ones are reset at once. `None` sets no
    /// limit.
    pub limit: Option<u32>,
    /// The time that accepting one connection takes; connections are accepted one by one.
    pub accept_time: Duration,
    /// Whether every new connection is reset.
    pub refuse: bool,
}

/// The connection counts of one server: accepted so far, open now, and reset at once so far.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Connections {
    pub opened: u64,
    pub open: u32,
    pub refused: u64,
}

/// Admits, counts and resets the connections of one server.
pub(crate) struct Gate {
    admission: Mutex<Admission>,
    connections: Mutex<Connections>,
    /// A change of this number resets every connection that was opened before it.
    reset_epoch: watch::Sender<u64>,
}

impl Gate {
    pub(crate) fn new(admission: Admission) -> Arc<Self> {
        Arc::new(Self {
            admission: Mutex::new(admission),
            connections: Mutex::default(),
            reset_epoch: watch::Sender::new(0),
        })
    }

    pub(crate) fn connections(&self) -> Connections {
        *lock(&self.connections)
    }

    pub(crate) fn set_refuse(&self, refuse: bool) {
        lock(&self.admission).refuse = refuse;
    }

    /// Resets all open connections, which cancels their requests in flight.
    pub(crate) fn reset_all(&self) {
        self.reset_epoch.send_modify(|epoch| {
            if *epoch != CLOSED {
                *epoch += 1;
            }
        });
    }

    fn admit(self: &Arc<Self>) -> Option<Permit> {
        let admission = *lock(&self.admission);
        let mut connections = lock(&self.connections);
        if admission.refuse
            || admission
                .limit
                .is_some_and(|limit| connections.open >= limit)
        {
            connections.refused += 1;
            return None;
        }
        connections.opened += 1;
        connections.open += 1;
        Some(Permit(Arc::clone(self)))
    }
}

/// Counts one connection as open until it is dropped.
struct Permit(Arc<Gate>);

impl Drop for Permit {
    fn drop(&mut self) {
        lock(&self.0.connections).open -= 1;
    }
}

/// A running server. Dropping it closes its port and resets its connections.
pub(crate) struct Server {
    address: SocketAddr,
    gate: Arc<Gate>,
    accepting: JoinHandle<()>,
}

impl Server {
    pub(crate) async fn start(
        address: SocketAddr,
        gate: Arc<Gate>,
        router: Router,
    ) -> Result<Self, Error> {
        let (listener, address) = bind(address).await?;
        Ok(Self::serve(listener, address, gate, router))
    }

    /// Starts serving a listener that is already bound to `address`.
    pub(crate) fn serve(
        listener: TcpListener,
        address: SocketAddr,
        gate: Arc<Gate>,
        router: Router,
    ) -> Self {
        let accepting = tokio::spawn(accept(listener, Arc::clone(&gate), Arc::new(router)));
        Self {
            address,
            gate,
            accepting,
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server. When this returns, the port is free and open connections are being reset.
    pub(crate) async fn stop(mut self) {
        self.accepting.abort();
        // The result is ignored: the task was cancelled above or had ended before.
        let _ = (&mut self.accepting).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accepting.abort();
        self.gate.reset_epoch.send_replace(CLOSED);
    }
}

async fn accept(listener: TcpListener, gate: Arc<Gate>, router: Arc<Router>) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let epoch = gate.reset_epoch.subscribe();
        let Some(permit) = gate.admit() else {
            reset(&stream);
            continue;
        };
        let accept_time = lock(&gate.admission).accept_time;
        if !accept_time.is_zero() {
            tokio::time::sleep(accept_time).await;
        }
        let router = Arc::clone(&router);
        tokio::spawn(async move {
            serve(stream, peer, router, epoch).await;
            drop(permit);
        });
    }
}

async fn serve(
    stream: TcpStream,
    peer: SocketAddr,
    router: Arc<Router>,
    mut epoch: watch::Receiver<u64>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY, short writes may be delayed: {error}");
    }
    let service = hyper::service::service_fn(move |request: Request<Incoming>| {
        let router = Arc::clone(&router);
        async move {
            let mut context = ServerContext::new(peer.into());
            let request = request.map(Body::from_incoming);
            let response = router.call(&mut context, request).await.into_response();
            match response.extensions().get::<Unanswered>() {
                Some(unanswered) => Err(*unanswered),
                None => Ok(response),
            }
        }
    });
    let mut connection = hyper::server::conn::http1::Builder::new()
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), service);
    let needs_reset = if *epoch.borrow() == CLOSED {
        true
    } else {
        tokio::select! {
            biased;
            _ = epoch.changed() => true,
            result = &mut connection => result.is_err(),
        }
    };
    if needs_reset {
        reset(connection.into_parts().io.inner());
    }
}

/// Marks a response that the server replaces by a reset of the connection.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("no answer: the connection is reset")]
struct Unanswered;

/// Returns a response that makes the server reset the connection instead of answering.
pub(crate) fn unanswered() -> Response {
    let mut response = Response::new(Body::empty());
    response.extensions_mut().insert(Unanswered);
    response
}

/// Returns a response with a JSON body; 500 with the error text if the value cannot be serialized.
pub(crate) fn json<T>(status: StatusCode, value: &T) -> Response
where
    T: Serialize,
{
    let (status, body) = match serde_json::to_vec(value) {
        Ok(body) => (status, body),
        Err(error) => (
            StatusCode::INTERNAL_SERVER_ERROR,
            error.to_string().into_bytes(),
        ),
    };
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    response.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    response
}

/// Routes `POST` requests with a JSON body. An invalid body is answered with 400. Like etcd, the
/// route does not check the content type of the request.
pub(crate) fn post_json<Q, F, Fut>(handler: F) -> MethodRouter<Body, Infallible>
where
    Q: DeserializeOwned + Send + 'static,
    F: Fn(Q) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    post(move |body: Bytes| async move {
        match serde_json::from_slice::<Q>(&body) {
            Ok(request) => handler(request).await,
            Err(error) => {
                let message = error.to_string();
                let body = serde_json::json!({"error": message, "message": message, "code": 3});
                json(StatusCode::BAD_REQUEST, &body)
            }
        }
    })
}
