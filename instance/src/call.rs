//! One call to a leaf.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use camphorhold::coordination::serving::fanout::LeafCall;
use camphorhold::coordination::serving::fanout::Outcome;
use camphorhold::coordination::serving::fleet::CallResult;
use camphorhold::coordination::serving::fleet::LeafKey;
use camphorhold::state::plan::CallSemantics;
use camphorhold::state::plan::Route;
use camphorhold::transport::http;
use camphorhold::transport::http::Connection;
use camphorhold::transport::http::TcpOptions;
use camphorhold_platform::header;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::header::CONTENT_ENCODING;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use thiserror::Error;

use crate::shared::Shared;

/// The longest answer of a leaf.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Bodies up to this size leave in one write, so an early answer does not overtake them.
const SMALL_BODY_BYTES: usize = 4 << 10;

const LIVENESS: TcpOptions = TcpOptions {
    // Connections within a region take below 10 ms; a lost opening packet is sent again after a
    // second, which is too late for most requests.
    connect_timeout: Duration::from_millis(300),
    user_timeout: Duration::from_secs(2),
    // Probes of idle connections would cost more bytes between failure domains than the requests
    // that they save.
    keepalive_interval: None,
};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// A caller's request, as it is passed on.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// The route it belongs to.
    pub route: std::sync::Arc<Route>,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The headers, without those that concern one connection.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Whether a leaf may have received it.
    pub sent: Cell<bool>,
}

impl ForwardedRequest {
    /// Returns the request's id.
    pub fn id(&self) -> &str {
        request_id(&self.headers)
    }
}

/// Returns the id of a request, or nothing if the caller gave none that can be printed.
pub fn request_id(headers: &HeaderMap) -> &str {
    let id = headers.get(header::REQUEST_ID);
    id.and_then(|id| id.to_str().ok()).unwrap_or("")
}

/// How a call ended.
#[derive(Debug)]
pub struct End {
    /// The position of the shard in the request.
    pub shard: usize,
    /// The leaf that was called.
    pub leaf: LeafKey,
    /// What it means for the request.
    pub outcome: Outcome,
    /// The leaf's answer, if a whole one arrived.
    pub answer: Option<Response<Bytes>>,
    /// Why the answer is not part of the result, if it is not.
    pub call_error: Option<CallError>,
}

/// Why a call has no useful answer.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CallError {
    /// The leaf did not run the request.
    #[error("refused")]
    Refused,
    /// Another leaf has the address.
    #[error("replaced")]
    Replaced,
    /// The answer belongs to another request.
    #[error("answered another request")]
    WrongRequest,
    /// The leaf answered with a failure, or without a signature.
    #[error("answered {0}")]
    Status(StatusCode),
    /// No connection could be used, so nothing was sent.
    #[error("not connected")]
    NotConnected,
    /// The request was sent, and the connection broke.
    #[error("connection lost")]
    ConnectionLost,
}

/// Reports a call to the fleet, also if its task is dropped.
struct InFlight {
    shared: Rc<Shared>,
    leaf: LeafKey,
    started: Instant,
    report: Option<CallResult>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.shared.now();
        let abandoned = || CallResult::Abandoned(now.saturating_duration_since(self.started));
        let report = self.report.take().unwrap_or_else(abandoned);
        self.shared
            .fleet
            .borrow_mut()
            .on_result(self.leaf, self.started, report, now);
    }
}

/// Records a call and returns the task that makes it. The record is made at once, so that the next
/// choice of a leaf sees it.
pub fn start(
    shared: &Rc<Shared>,
    forwarded: &Rc<ForwardedRequest>,
    call: LeafCall,
    expected: Duration,
) -> impl Future<Output = End> + use<> {
    let started = shared.now();
    shared
        .fleet
        .borrow_mut()
        .on_sent(call.leaf, expected, started);
    let in_flight = InFlight {
        shared: Rc::clone(shared),
        leaf: call.leaf,
        started,
        report: None,
    };
    run(Rc::clone(shared), Rc::clone(forwarded), call, in_flight)
}

async fn run(
    shared: Rc<Shared>,
    forwarded: Rc<ForwardedRequest>,
    call: LeafCall,
    mut in_flight: InFlight,
) -> End {
    let result = exchange(&shared, &forwarded, call).await;
    let latency = shared.now().saturating_duration_since(in_flight.started);
    let (call_error, answer) = match result {
        Ok(answer) => (judge(&forwarded, &answer), Some(answer)),
        Err(error) => {
            log::debug!(leaf:? = call.leaf, error:% = error; "leaf call failed");
            let call_error = match error {
                http::Error::Connect(_) | http::Error::ConnectTimeout | http::Error::Unsent(_) => {
                    CallError::NotConnected
                }
                http::Error::Lost(_) | http::Error::TooLong => CallError::ConnectionLost,
            };
            (Some(call_error), None)
        }
    };
    let (outcome, report) = match call_error {
        None => (Outcome::Answered, CallResult::Answered(latency)),
        Some(CallError::Refused) => (Outcome::NotRun, CallResult::Refused),
        Some(CallError::Replaced) => (Outcome::NotRun, CallResult::Replaced),
        Some(CallError::WrongRequest | CallError::Status(_)) => {
            (Outcome::Failed, CallResult::Failed)
        }
        Some(CallError::NotConnected) => (Outcome::Unsent, CallResult::Disconnected),
        Some(CallError::ConnectionLost) => (Outcome::Failed, CallResult::Disconnected),
    };
    if outcome == Outcome::Answered {
        shared.record_latency(&forwarded.route, latency);
        metrics::histogram!("camphorhold_leaf_call_seconds").record(latency.as_secs_f64());
    }
    metrics::counter!("camphorhold_leaf_calls_total", "outcome" => name(outcome)).increment(1);
    in_flight.report = Some(report);
    End {
        shard: call.shard,
        leaf: call.leaf,
        outcome,
        answer: answer.filter(|_| call_error != Some(CallError::WrongRequest)),
        call_error,
    }
}

fn name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::NotRun => "not_run",
        Outcome::Unsent => "unsent",
        Outcome::Failed => "failed",
    }
}

async fn exchange(
    shared: &Rc<Shared>,
    forwarded: &ForwardedRequest,
    call: LeafCall,
) -> Result<Response<Bytes>, http::Error> {
    let leaf = call.leaf;
    let target = shared.fleet.borrow().get(leaf).map(|leaf| {
        let entry = leaf.entry();
        (entry.address, entry.id.clone())
    });
    let Some((address, id)) = target else {
        return Err(http::Error::Connect(std::io::ErrorKind::NotFound.into()));
    };
    // A request that runs at most once gets a connection of its own: on a used one, a late answer
    // to an earlier request could take the place of its answer.
    let pooled = match forwarded.route.semantics {
        CallSemantics::Idempotent => shared.leaf_pool.take(leaf, shared.now()),
        CallSemantics::AtMostOnce => None,
    };
    let mut connection = if let Some(connection) = pooled {
        connection
    } else {
        metrics::counter!("camphorhold_leaf_connections_total").increment(1);
        Connection::open(address, LIVENESS).await?
    };
    let left = call.deadline.saturating_duration_since(shared.now());
    let request = build(forwarded, &id, left);
    forwarded.sent.set(true);
    let answer = connection.exchange(request, MAX_ANSWER_BYTES).await?;
    keep(shared, forwarded, leaf, connection, &answer);
    Ok(answer)
}

fn build(forwarded: &ForwardedRequest, leaf_id: &str, left: Duration) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(forwarded.body.clone()));
    *request.method_mut() = forwarded.method.clone();
    *request.uri_mut() = forwarded.uri.clone();
    let mut headers = forwarded.headers.clone();
    let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1);
    headers.insert(header::DEADLINE_MS, HeaderValue::from(left));
    if let Ok(id) = HeaderValue::from_str(leaf_id) {
        headers.insert(header::EXPECTED_LEAF, id);
    }
    *request.headers_mut() = headers;
    request
}

/// Keeps the connection for the next request, unless something about the answer speaks against it.
fn keep(
    shared: &Shared,
    forwarded: &ForwardedRequest,
    leaf: LeafKey,
    mut connection: Connection,
    answer: &Response<Bytes>,
) {
    let body_may_be_unsent =
        forwarded.body.len() > SMALL_BODY_BYTES && !answer.status().is_success();
    if body_may_be_unsent || !answers(forwarded, answer) || !connection.is_usable() {
        return;
    }
    let timeout = answer
        .headers()
        .get(KEEP_ALIVE)
        .and_then(|value| value.to_str().ok())
        .and_then(idle_timeout);
    shared
        .leaf_pool
        .put(leaf, connection, timeout, shared.now());
}

fn idle_timeout(value: &str) -> Option<Duration> {
    value
        .split(',')
        .find_map(|parameter| parameter.trim().strip_prefix("timeout="))
        .and_then(|seconds| seconds.parse().ok())
        .map(Duration::from_secs)
}

/// Tells whether an answer belongs to the request. Leafs repeat the request's id.
fn answers(forwarded: &ForwardedRequest, answer: &Response<Bytes>) -> bool {
    let sent = forwarded.headers.get(header::REQUEST_ID);
    let received = answer.headers().get(header::REQUEST_ID);
    received.is_none() || received == sent
}

/// Returns why an answer is no part of the result, if it is not.
fn judge(forwarded: &ForwardedRequest, answer: &Response<Bytes>) -> Option<CallError> {
    if !answers(forwarded, answer) {
        return Some(CallError::WrongRequest);
    }
    let headers = answer.headers();
    let status = answer.status();
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Some(CallError::Replaced);
    }
    if headers.contains_key(header::NOT_RUN) {
        return Some(CallError::Refused);
    }
    // Callers ask for no encoding, so an encoded body is not the leaf's.
    let genuine =
        headers.contains_key(header::SIGNATURE) && !headers.contains_key(CONTENT_ENCODING);
    (!status.is_success() || !genuine).then_some(CallError::Status(status))
}
