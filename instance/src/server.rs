//! Accepts the connections of callers, of other instances and of the load balancer's readiness
//! checks, and closes those that stay idle.

use std::cell::Cell;
use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use camphorhold::state::plan::Limits;
use camphorhold_platform::header;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use slab::Slab;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::io::Take;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::answer::closing_response;
use crate::answer::empty_response;
use crate::request;
use crate::request::Origin;
use crate::request::Source;
use crate::shared::Phase;
use crate::shared::Shared;

/// The most connections that wait to be accepted, per listener.
const BACKLOG: u32 = 1_024;

/// The most bytes that are read at a time, and so the size of read buffers.
const MAX_READ_BYTES: usize = 16 << 10;

/// How much longer than the limit the head of a request may be, so that the limit may be taken as
/// that of its header lines alone.
const HEAD_SLACK_BYTES: usize = 1 << 10;

/// The limit for the head of a request while there is no configuration.
const DEFAULT_HEADER_BYTES: usize = 16 << 10;

/// The limit for the head of a request from another instance, which has checked the request against
/// its own configuration and has added headers.
const PEER_HEADER_BYTES: usize = 256 << 10;

/// How much of a refused request is read after the answer, and for how long. A connection that is
/// closed with unread bytes is reset, and the caller may lose the answer.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// The longest head of a readiness check or a request for metrics, and how long it may take. The same
/// time ends connections without requests.
const OWN_HEAD_BYTES: usize = 16 << 10;
const OWN_HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Ends the head of a request that is longer than permitted, so that it can be answered.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The longest time that the head of a request may take while there is no configuration.
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// The longest time that a connection may stay idle while there is no configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Pause after a failed accept. Without it the loop would repeat the call at once and use the whole
/// core while the failure lasts.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The state of a connection that decides when it is closed.
#[derive(Debug)]
struct Activity {
    busy: Cell<bool>,
    // When the last response was ready or, before the first one, when the connection was accepted.
    idle_since: Cell<Instant>,
    // When the first byte of the next request arrived; `None` while idle or busy.
    head_since: Cell<Option<Instant>>,
    // The bytes read since the last response was ready.
    head_bytes: Cell<usize>,
    // Whether the head of the request is longer than permitted. What follows is discarded.
    head_too_long: Cell<bool>,
    refused: Notify,
    close: Notify,
}

impl Activity {
    fn new(now: Instant) -> Self {
        Self {
            busy: Cell::new(false),
            idle_since: Cell::new(now),
            head_since: Cell::new(None),
            head_bytes: Cell::new(0),
            head_too_long: Cell::new(false),
            refused: Notify::new(),
            close: Notify::new(),
        }
    }

    /// Records that the head of a request has been read. Returns when its first byte arrived.
    fn begin(&self, now: Instant) -> Instant {
        self.busy.set(true);
        self.head_since.take().unwrap_or(now)
    }

    /// Records that the response is ready.
    fn end(&self, now: Instant) {
        self.idle_since.set(now);
        self.head_bytes.set(0);
        self.busy.set(false);
    }
}

/// The open connections of callers and of other instances.
#[derive(Debug, Default)]
pub struct Connections {
    open: RefCell<Slab<Rc<Activity>>>,
}

impl Connections {
    /// Closes connections that have stayed idle longer than the idle timeout, and those with an
    /// incomplete request head older than the header timeout. Uses defaults if `limits` is `None`.
    pub fn sweep(&self, limits: Option<Limits>, now: Instant) {
        let header_timeout = limits.map_or(DEFAULT_HEADER_TIMEOUT, |limits| limits.header_timeout);
        let idle_timeout = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
        for (_, activity) in self.open.borrow().iter() {
            if activity.busy.get() {
                continue;
            }
            let expired = match activity.head_since.get() {
                Some(since) => now.saturating_duration_since(since) > header_timeout,
                None => now.saturating_duration_since(activity.idle_since.get()) > idle_timeout,
            };
            if expired {
                activity.close.notify_one();
            }
        }
    }

    /// Closes every connection. A busy one closes after its request has ended; one with an
    /// incomplete request head is dropped at once.
    pub fn close_all(&self) {
        for (_, activity) in self.open.borrow().iter() {
            activity.close.notify_one();
        }
    }

    /// Adds a connection, until the returned guard is dropped.
    fn open(self: &Rc<Self>, activity: Rc<Activity>) -> OpenConnection {
        OpenConnection {
            key: self.open.borrow_mut().insert(activity),
            connections: Rc::clone(self),
        }
    }

    /// Returns the number of open connections, idle ones included.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }
}

/// Removes a connection when its task ends, even by a panic.
struct OpenConnection {
    connections: Rc<Connections>,
    key: usize,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(self.key);
    }
}

/// A stream that records when the first byte of a request arrives, and ends heads of requests that
/// are longer than the configuration in force permits.
struct ActivityStream {
    stream: Take<TcpStream>,
    shared: Rc<Shared>,
    activity: Rc<Activity>,
    source: Source,
    discarded: usize,
}

impl ActivityStream {
    /// Reads and drops what the caller sends, until it closes the connection or has sent enough.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; 4 << 10];
        while self.discarded < MAX_DISCARDED_BYTES {
            let mut buffer = ReadBuf::new(&mut bytes);
            let stream = Pin::new(self.stream.get_mut());
            match ready!(stream.poll_read(context, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => self.discarded += buffer.filled().len(),
                _ => break,
            }
        }
        Poll::Ready(())
    }

    /// Returns the most bytes that may be read now, 0 if the head of the request is too long.
    fn allowance(&self) -> usize {
        if self.activity.head_too_long.get() {
            0
        } else if self.activity.busy.get() {
            MAX_READ_BYTES
        } else {
            let limit = match (self.source, &*self.shared.plan.borrow()) {
                (Source::Instance | Source::Relay, _) => PEER_HEADER_BYTES,
                (Source::Caller, Some(plan)) => plan.limits().header_bytes,
                (Source::Caller, None) => DEFAULT_HEADER_BYTES,
            };
            let rest = (limit + HEAD_SLACK_BYTES).saturating_sub(self.activity.head_bytes.get());
            rest.min(MAX_READ_BYTES)
        }
    }
}

impl AsyncRead for ActivityStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let allowance = self.allowance();
        if allowance == 0 {
            if self.activity.head_too_long.replace(true) || buffer.remaining() < HEAD_END.len() {
                // An end of the stream would end the connection before the answer.
                return Poll::Pending;
            }
            self.activity.refused.notify_one();
            buffer.put_slice(HEAD_END);
            return Poll::Ready(Ok(()));
        }
        self.stream.set_limit(allowance as u64);
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let received = buffer.filled().len() - before;
        let activity = &self.activity;
        if received > 0 && !activity.busy.get() {
            activity
                .head_bytes
                .set(activity.head_bytes.get() + received);
            if activity.head_since.get().is_none() {
                activity.head_since.set(Some(self.shared.now()));
            }
        }
        result
    }
}

impl AsyncWrite for ActivityStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.stream.get_mut()).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.stream.get_mut()).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(self.stream.get_mut()).poll_shutdown(context))?;
        if self.activity.head_too_long.get() {
            ready!(self.poll_discard(context));
        }
        Poll::Ready(Ok(()))
    }
}

/// Listens on an IPv4 address. The address may still have connections of an earlier process in
/// `TIME_WAIT`.
///
/// # Errors
///
/// Returns an error if the address is IPv6, does not belong to the host or is in use.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections and serves their requests, until the task is aborted.
pub async fn serve_requests(
    shared: Rc<Shared>,
    connections: Rc<Connections>,
    listener: Rc<TcpListener>,
    source: Source,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let task =
                    serve_connection(Rc::clone(&shared), Rc::clone(&connections), stream, source);
                tokio::task::spawn_local(task);
            }
            Err(error) => {
                log::warn!(error:% = error; "cannot accept a connection; trying again after a pause");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(
    shared: Rc<Shared>,
    connections: Rc<Connections>,
    stream: TcpStream,
    source: Source,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "connection closed before its first request");
        return;
    }
    let activity = Rc::new(Activity::new(shared.now()));
    let _open = connections.open(Rc::clone(&activity));
    let stream = ActivityStream {
        stream: stream.take(0),
        shared: Rc::clone(&shared),
        activity: Rc::clone(&activity),
        source,
        discarded: 0,
    };
    let first = Cell::new(true);
    let service = service_fn(|request| {
        let origin = Origin {
            arrived: activity.begin(shared.now()),
            first: first.replace(false),
            source,
        };
        serve_request(&shared, &activity, request, origin)
    });
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .auto_date_header(false)
        // The stream bounds heads, because the limit may change while the connection is open.
        .max_buf_size(usize::MAX)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let discarded = async {
        activity.refused.notified().await;
        tokio::time::sleep(DISCARD_TIME).await;
    };
    tokio::pin!(discarded);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = &mut discarded => Ok(()),
        () = activity.close.notified() => {
            if activity.busy.get() || activity.head_since.get().is_none() {
                connection.as_mut().graceful_shutdown();
                tokio::select! {
                    result = connection => result,
                    () = discarded => Ok(()),
                }
            } else {
                // Drops the connection: the request head is incomplete, and has timed out or the
                // instance is stopping.
                Ok(())
            }
        }
    };
    if let Err(error) = result {
        log::debug!(error:% = error; "connection failed");
    }
}

async fn serve_request(
    shared: &Rc<Shared>,
    activity: &Activity,
    request: Request<Incoming>,
    origin: Origin,
) -> Result<Response<Full<Bytes>>, Infallible> {
    // A caller that has sent many requests at once would otherwise keep the thread for all of them.
    tokio::task::coop::consume_budget().await;
    if activity.head_too_long.get() {
        return Ok(refuse_long_head(shared));
    }
    let answers_due = shared.answers_due.notified();
    let mut response = tokio::select! {
        biased;
        response = request::handle(Rc::clone(shared), request, origin) => response,
        () = answers_due => {
            log::warn!("request ended with 504: the process is about to end");
            metrics::counter!("camphorhold_requests_total", "outcome" => "timed_out").increment(1);
            // Promises nothing: a leaf may be running the request.
            empty_response(StatusCode::GATEWAY_TIMEOUT)
        }
    };
    if shared.phase.get() == Phase::Stopping {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    activity.end(shared.now());
    Ok(response)
}

/// Refuses a request whose head was ended at the limit. The rest of it is not read, so the connection
/// closes.
fn refuse_long_head(shared: &Shared) -> Response<Full<Bytes>> {
    log::info!(config_version = shared.plan_version(); "request refused: its head is longer than permitted");
    metrics::counter!("camphorhold_requests_total", "outcome" => "head_too_long").increment(1);
    closing_response(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE)
}

/// Returns a server for the requests of the platform and the operators.
pub fn own_server() -> http1::Builder {
    let mut server = http1::Builder::new();
    server
        .timer(TokioTimer::new())
        .header_read_timeout(OWN_HEAD_TIMEOUT)
        .max_buf_size(OWN_HEAD_BYTES);
    server
}

/// Answers the readiness checks of the load balancer until the process ends: 200 while the instance
/// takes new requests, 503 while it starts or stops.
pub async fn serve_readiness(shared: Rc<Shared>, listener: Rc<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let shared = Rc::clone(&shared);
                tokio::task::spawn_local(async move {
                    let service = service_fn(|request| {
                        let response = readiness_response(&shared, &request);
                        std::future::ready(Ok::<_, Infallible>(response))
                    });
                    let connection = own_server().serve_connection(TokioIo::new(stream), service);
                    if let Err(error) = connection.await {
                        log::debug!(error:% = error; "connection for readiness checks failed");
                    }
                });
            }
            Err(error) => {
                log::warn!(error:% = error; "cannot accept a readiness check; trying again after a pause");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn readiness_response(shared: &Shared, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = if request.uri().path() != header::READY_PATH {
        StatusCode::NOT_FOUND
    } else if shared.phase.get() == Phase::Serving {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    response
}
