//! Accepts the connections of callers and of other instances, and closes those that stay idle or hold
//! too much.

use std::cell::Cell;
use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use camphorhold::coordination::serving::precedence::Order;
use camphorhold::state::plan::Limits;
use camphorhold::transport::client::Connection;
use futures::FutureExt;
use http_body_util::BodyExt;
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
use slab::Slab;
use tokio::net::TcpStream;

use crate::activity::Activity;
use crate::activity::ActivityStream;
use crate::answer::close_after;
use crate::answer::closing_response;
use crate::answer::empty_response;
use crate::listener::Listener;
use crate::request;
use crate::request::Origin;
use crate::request::Source;
use crate::shared::Phase;
use crate::shared::Shared;

/// How long the rest of a refused request is read after the answer.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// The longest time that the head of a request may take while there is no configuration.
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// The longest time that a connection may stay idle while there is no configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Pause after a failed accept. Without it the loop would repeat the call at once and use the whole
/// core while the failure lasts.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

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
            if activity.is_busy() {
                continue;
            }
            let expired = match activity.head_since() {
                Some(since) => now.saturating_duration_since(since) > header_timeout,
                None => now.saturating_duration_since(activity.idle_since()) > idle_timeout,
            };
            if expired {
                activity.close.notify_one();
            }
        }
    }

    /// Makes receive buffers smaller that are larger than they may be now.
    fn shrink_buffers(&self) {
        for (_, activity) in self.open.borrow().iter() {
            activity.shrink_buffer();
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

/// Accepts connections and serves their requests, until the task is aborted.
pub async fn serve_requests(
    shared: Rc<Shared>,
    connections: Rc<Connections>,
    listener: Rc<Listener>,
    source: Source,
) {
    loop {
        match listener.accept().await {
            Ok(stream) => {
                let Ok(opened) = listener.open(&stream) else {
                    // All connections have a request in progress. The port stays in use by those.
                    drop(stream);
                    tokio::task::yield_now().await;
                    continue;
                };
                if opened.shrinks_buffers {
                    connections.shrink_buffers();
                }
                let stream = Rc::new(stream);
                let client = opened.connection;
                let activity = Rc::new(Activity::new(client, Rc::clone(&stream), shared.now()));
                let (shared, connections) = (Rc::clone(&shared), Rc::clone(&connections));
                let task = serve_connection(shared, connections, stream, activity, source);
                tokio::task::spawn_local(task);
                if opened.closes_another {
                    // The other connection is closed before the next one is accepted.
                    tokio::task::yield_now().await;
                }
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
    stream: Rc<TcpStream>,
    activity: Rc<Activity>,
    source: Source,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "connection closed before its first request");
        return;
    }
    let _open = connections.open(Rc::clone(&activity));
    let (state, recorded) = (Rc::clone(&shared), Rc::clone(&activity));
    let stream = ActivityStream::new(stream, state, recorded, source);
    let first = Cell::new(true);
    let service = service_fn(|request| {
        let arrived = activity.begin();
        let first = first.replace(false);
        let origin = Origin {
            arrived: arrived.unwrap_or_else(|| shared.now()),
            first,
            source,
        };
        let order = match arrived {
            None if !first => Order::Ahead,
            None | Some(_) => Order::InTurn,
        };
        serve_request(&shared, &activity, request, origin, order)
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
        () = activity.client().closed() => {
            log::debug!("connection closed because of the memory that it holds");
            Ok(())
        }
        () = activity.close.notified() => {
            if activity.is_busy() || activity.head_since().is_none() {
                connection.as_mut().graceful_shutdown();
                tokio::select! {
                    result = connection => result,
                    () = discarded => Ok(()),
                    () = activity.client().closed() => Ok(()),
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
    order: Order,
) -> Result<Response<Full<Bytes>>, Infallible> {
    // A caller that has sent many requests at once would otherwise keep the thread for all of them.
    tokio::task::coop::consume_budget().await;
    if activity.is_head_too_long() {
        return Ok(refuse_long_head(shared));
    }
    if activity.charge_head().is_err() {
        return Ok(request::refuse_client(shared, origin.source));
    }
    if !shared.precedence.borrow().may_start(order, shared.now()) {
        return Ok(request::refuse_ahead(shared, origin.source));
    }
    let answers_due = shared.answers_due.notified();
    let mut response = tokio::select! {
        biased;
        response = request::handle(Rc::clone(shared), request, origin, activity.client()) => response,
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
    let is_refused = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    if is_refused
        && shared
            .precedence
            .borrow_mut()
            .on_refusal(order, shared.now())
    {
        response = close_after(response);
    }
    activity.end(shared.now());
    charge_answer(activity.client(), &mut response);
    Ok(response)
}

/// Charges the client for its answer until it has been written.
fn charge_answer(client: &Connection, response: &mut Response<Full<Bytes>>) {
    // The body of an answer is always complete.
    let frame = response.body_mut().frame().now_or_never().flatten();
    if let Some(Ok(frame)) = frame
        && let Ok(bytes) = frame.into_data()
    {
        *response.body_mut() = Full::new(client.charge_answer(bytes));
    }
}

/// Refuses a request whose head was ended at the limit. The rest of it is not read, so the connection
/// closes.
fn refuse_long_head(shared: &Shared) -> Response<Full<Bytes>> {
    log::info!(config_version = shared.plan_version(); "request refused: its head is longer than permitted");
    metrics::counter!("camphorhold_requests_total", "outcome" => "head_too_long").increment(1);
    closing_response(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE)
}
