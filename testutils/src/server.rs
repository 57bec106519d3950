//! HTTP/1.1 serving with counted connections that can be limited, reset and stopped.
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

/// The pause after a failed accept, for instance when no file descriptor is free.
pub(crate) const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// Why a stand-in did not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address cannot be bound, for instance because the port is taken.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The address asked for.
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

/// Closes a connection with a reset instead of an orderly end.
pub(crate) fn reset(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        log::debug!("cannot set linger: {error}");
    }
}

/// Locks a mutex. The data stays usable when another holder panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What a server does with new connections.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Admission {
    /// The largest number of open connections; further ones are closed at once.
    pub limit: Option<u32>,
    /// The time that accepting one connection takes; connections are accepted one by one.
    pub cost: Duration,
    /// Whether every new connection is reset.
    pub refuse: bool,
}

/// The number of connections of one server.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Connections {
    pub opened: u64,
    pub open: u32,
    pub refused: u64,
}

/// Decides over the connections of one server.
pub(crate) struct Gate {
    admission: Mutex<Admission>,
    connections: Mutex<Connections>,
    /// A change resets every connection that was opened before it.
    epoch: watch::Sender<u64>,
}

impl Gate {
    pub(crate) fn new(admission: Admission) -> Arc<Self> {
        Arc::new(Self {
            admission: Mutex::new(admission),
            connections: Mutex::default(),
            epoch: watch::Sender::new(0),
        })
    }

    pub(crate) fn connections(&self) -> Connections {
        *lock(&self.connections)
    }

    pub(crate) fn set_refuse(&self, refuse: bool) {
        lock(&self.admission).refuse = refuse;
    }

    /// Resets all open connections, which drops their requests in flight.
    pub(crate) fn reset_all(&self) {
        self.epoch.send_modify(|epoch| {
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

/// One open connection.
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

    /// Serves a listener that is bound to `address`.
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

    /// Stops the server. The port is free when this returns.
    pub(crate) async fn stop(mut self) {
        self.accepting.abort();
        // The only outcomes are the cancellation just asked for and an end that came before it.
        let _ = (&mut self.accepting).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accepting.abort();
        self.gate.epoch.send_replace(CLOSED);
    }
}

async fn accept(listener: TcpListener, gate: Arc<Gate>, router: Arc<Router>) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let epoch = gate.epoch.subscribe();
        let Some(permit) = gate.admit() else {
            reset(&stream);
            continue;
        };
        let cost = lock(&gate.admission).cost;
        if !cost.is_zero() {
            tokio::time::sleep(cost).await;
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
        log::debug!("cannot set nodelay: {error}");
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
    let cut = if *epoch.borrow() == CLOSED {
        true
    } else {
        tokio::select! {
            biased;
            _ = epoch.changed() => true,
            result = &mut connection => result.is_err(),
        }
    };
    if cut {
        reset(connection.into_parts().io.inner());
    }
}

/// Marks a response that is replaced by a reset of the connection.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the request is left without an answer")]
struct Unanswered;

/// Returns a response that resets the connection instead of answering.
pub(crate) fn unanswered() -> Response {
    let mut response = Response::new(Body::empty());
    response.extensions_mut().insert(Unanswered);
    response
}

/// Returns a response with a JSON body.
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

/// Routes `POST` requests with a JSON body. The content type of the request is not checked, as
/// etcd does not check it either.
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
