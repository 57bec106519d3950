//! One call to a leaf: sends the request, validates the answer and records the result.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use camphorhold::coordination::serving::fanout::LeafCall;
use camphorhold::coordination::serving::fanout::Outcome;
use camphorhold::coordination::serving::fleet::CallResult;
use camphorhold::coordination::serving::fleet::LeafKey;
use camphorhold::coordination::serving::fleet::LimitChange;
use camphorhold::coordination::serving::retry_budget::ExtraCall;
use camphorhold::state::id::Fingerprint;
use camphorhold::state::plan::CallSemantics;
use camphorhold::state::plan::Route;
use camphorhold::state::plan::Target;
use camphorhold::state::rate::RequestRate;
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
use hyper::header::HOST;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use thiserror::Error;
use xxhash_rust::xxh3::Xxh3Default;

use crate::shared::Shared;
use crate::usage;

/// The longest accepted body of a leaf's answer to a request for one service. A longer one fails the
/// call.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// The longest accepted body of a part of a query: some thousand records, of which the answer holds
/// the greatest few.
const MAX_PART_BYTES: usize = 256 << 10;

/// Request bodies up to this size are sent in one write, so the leaf cannot answer before the whole
/// body is sent.
const SMALL_BODY_BYTES: usize = 4 << 10;

const TCP_OPTIONS: TcpOptions = TcpOptions {
    // Connections within a region are established in less than 10 ms. TCP resends a lost SYN after
    // 1 s, which is too late for most requests.
    connect_timeout: Duration::from_millis(300),
    user_timeout: Duration::from_secs(2),
    // Keepalive probes on idle connections would use more bytes between failure domains than the
    // requests that they save.
    keepalive_interval: None,
};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// A caller's request in the form in which it is forwarded to leafs and to other instances.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// The route that matches the request.
    pub route: std::sync::Arc<Route>,
    /// The caller's method, forwarded unchanged.
    pub method: Method,
    /// The URI in origin form: path and query only.
    pub uri: Uri,
    /// The caller's headers, without hop-by-hop headers, `Content-Length`, the handover header and
    /// the key, and with the name of the customer.
    pub headers: HeaderMap,
    /// The customer that the caller's key belongs to; `None` if the route needs no key.
    pub customer: Option<std::sync::Arc<str>>,
    /// The priority of the customer, or of the route if the customer has none.
    pub priority: u32,
    /// The whole body. Its length is within the limit of the configuration.
    pub body: Bytes,
    /// When the caller stops waiting, at most the route's timeout after the request arrived.
    pub deadline: Instant,
    /// Whether a leaf or another instance may have received the request. Set just before the first
    /// bytes are sent.
    pub sent: Cell<bool>,
    /// Counts the request for its customer.
    pub usage: usage::Tracker,
}

impl ForwardedRequest {
    /// Returns the request as it is forwarded, without the headers that the instance sets.
    pub fn to_request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        request
    }

    /// Returns what stays the same when a caller sends the request again: a hash of its method,
    /// host, path, query and body.
    pub fn fingerprint(&self) -> Fingerprint {
        let host = self
            .headers
            .get(HOST)
            .map_or(&b""[..], HeaderValue::as_bytes);
        let mut hash = Xxh3Default::new();
        let parts = [
            self.method.as_str().as_bytes(),
            host,
            self.uri.path().as_bytes(),
            self.uri.query().unwrap_or_default().as_bytes(),
            &self.body,
        ];
        for part in parts {
            hash.update(&part.len().to_le_bytes());
            hash.update(part);
        }
        Fingerprint(hash.digest())
    }

    /// Returns the caller's request id, or an empty string as [`request_id`] does.
    pub fn id(&self) -> &str {
        request_id(&self.headers)
    }
}

/// Returns the id in the headers of a request, or an empty string if there is none or it contains
/// other characters than visible ASCII.
pub fn request_id(headers: &HeaderMap) -> &str {
    let id = headers.get(header::REQUEST_ID);
    id.and_then(|id| id.to_str().ok()).unwrap_or("")
}

/// The end of a call.
#[derive(Debug)]
pub struct End {
    /// The position of the shard in the request.
    pub shard: usize,
    /// The leaf that was called.
    pub leaf: LeafKey,
    /// How the fan-out counts the call.
    pub outcome: Outcome,
    /// The leaf's answer, if it arrived completely and does not belong to another request.
    pub answer: Option<Response<Bytes>>,
    /// Why the call contributes nothing to the result; `None` if it was answered.
    pub call_error: Option<CallError>,
}

/// Why a call has no usable answer. The texts appear in the log line of the request.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CallError {
    /// The leaf answered that it did not run the request.
    #[error("refused")]
    Refused,
    /// Another leaf has taken over the address and answered 421.
    #[error("replaced")]
    Replaced,
    /// The answer carries the id of another request.
    #[error("answered another request")]
    WrongRequest,
    /// The answer has an error status, no signature, or an encoded body.
    #[error("answered {0}")]
    Status(StatusCode),
    /// No connection was established, or the connection closed before the request was sent.
    #[error("not connected")]
    NotConnected,
    /// The request was sent, but the connection broke.
    #[error("connection lost")]
    ConnectionLost,
    /// The answer, or all answers that are being read together, exceeded the size limit.
    #[error("answer too long")]
    TooLong,
    /// The answer is no HTTP, or its status is not between 200 and 599.
    #[error("answer malformed")]
    Malformed,
}

/// Reports the result of a call to the fleet. A call whose future is dropped counts as abandoned.
struct InFlight {
    shared: Rc<Shared>,
    leaf: LeafKey,
    started: Instant,
    call_result: Option<CallResult>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.shared.now();
        let abandoned = || CallResult::Abandoned(now.saturating_duration_since(self.started));
        let call_result = self.call_result.take().unwrap_or_else(abandoned);
        self.shared
            .fleet
            .borrow_mut()
            .on_result(self.leaf, self.started, call_result, now);
    }
}

/// Records a call in the fleet and returns the future that makes it. The call is recorded before
/// the future is polled, so that the next choice of a leaf takes it into account.
pub fn start(
    shared: &Rc<Shared>,
    forwarded: &Rc<ForwardedRequest>,
    call: LeafCall,
    expected: Duration,
) -> impl Future<Output = End> + use<> {
    let started = shared.now();
    let mut fleet = shared.fleet.borrow_mut();
    if fleet
        .get(call.leaf)
        .is_some_and(|leaf| leaf.limit().is_some())
    {
        metrics::counter!("camphorhold_limited_leaf_calls_total", "purpose" => purpose_label(call.extra))
            .increment(1);
    }
    fleet.on_sent(call.leaf, expected, started);
    drop(fleet);
    let in_flight = InFlight {
        shared: Rc::clone(shared),
        leaf: call.leaf,
        started,
        call_result: None,
    };
    run(Rc::clone(shared), Rc::clone(forwarded), call, in_flight)
}

async fn run(
    shared: Rc<Shared>,
    forwarded: Rc<ForwardedRequest>,
    call: LeafCall,
    mut in_flight: InFlight,
) -> End {
    let usage = usage::Call::new(&shared, &forwarded);
    let result = exchange(&shared, &forwarded, call, &usage).await;
    let latency = shared.now().saturating_duration_since(in_flight.started);
    let (call_error, answer) = match result {
        Ok((answer, attribution)) => {
            let call_error = check_answer(attribution, &answer);
            if comes_from_leaf(call_error) {
                record_limit(&shared, call.leaf, in_flight.started, call_error, &answer);
                record_wishes(&shared, call.leaf, &answer);
            }
            (call_error, Some(answer))
        }
        Err(error) => {
            log::debug!(leaf:? = call.leaf, error:% = error; "call to leaf failed");
            let call_error = match error {
                http::Error::Connect(_) | http::Error::ConnectTimeout | http::Error::Unsent(_) => {
                    CallError::NotConnected
                }
                http::Error::Lost(_) => CallError::ConnectionLost,
                http::Error::Malformed => CallError::Malformed,
                http::Error::TooLong => {
                    metrics::counter!("camphorhold_oversized_answers_total").increment(1);
                    CallError::TooLong
                }
            };
            (Some(call_error), None)
        }
    };
    let (outcome, call_result) = match call_error {
        None => (Outcome::Answered, CallResult::Answered(latency)),
        Some(CallError::Refused) => (Outcome::NotRun, CallResult::Refused),
        Some(CallError::Replaced) => (Outcome::NotRun, CallResult::Replaced),
        Some(CallError::Status(status)) if blames_request(status, answer.as_ref()) => {
            (Outcome::Rejected, CallResult::Failed)
        }
        Some(
            CallError::WrongRequest
            | CallError::Status(_)
            | CallError::TooLong
            | CallError::Malformed,
        ) => (Outcome::Failed, CallResult::Failed),
        Some(CallError::NotConnected) => (Outcome::Unsent, CallResult::Disconnected),
        Some(CallError::ConnectionLost) => (Outcome::Lost, CallResult::Disconnected),
    };
    if matches!(outcome, Outcome::NotRun | Outcome::Unsent) {
        usage.on_refused();
    }
    if outcome == Outcome::Answered {
        shared.record_latency(&forwarded.route, latency);
        metrics::histogram!("camphorhold_leaf_call_seconds").record(latency.as_secs_f64());
    }
    metrics::counter!("camphorhold_leaf_calls_total", "outcome" => outcome_label(outcome))
        .increment(1);
    in_flight.call_result = Some(call_result);
    End {
        shard: call.shard,
        leaf: call.leaf,
        outcome,
        answer: answer.filter(|_| call_error != Some(CallError::WrongRequest)),
        call_error,
    }
}

fn outcome_label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::NotRun => "not_run",
        Outcome::Unsent => "unsent",
        Outcome::Failed => "failed",
        Outcome::Rejected => "rejected",
        Outcome::Lost => "lost",
    }
}

fn purpose_label(extra: Option<ExtraCall>) -> &'static str {
    match extra {
        None => "first",
        Some(ExtraCall::Retry) => "retry",
        Some(ExtraCall::Hedge) => "hedge",
    }
}

/// Returns whether an answer says something about the leaf that was called. Answers of another leaf
/// or to another request do not.
fn comes_from_leaf(call_error: Option<CallError>) -> bool {
    !matches!(
        call_error,
        Some(CallError::Replaced | CallError::WrongRequest)
    )
}

/// Records whether a leaf's answer names a limit on requests. Only a usable answer shows that there
/// is none.
fn record_limit(
    shared: &Shared,
    leaf: LeafKey,
    sent: Instant,
    call_error: Option<CallError>,
    answer: &Response<Bytes>,
) {
    let value = answer.headers().get(header::REQUEST_LIMIT);
    let named = value.map(|value| value.to_str().unwrap_or_default().parse::<RequestRate>());
    let named = match named {
        Some(Ok(rate)) => Some(rate),
        None if call_error.is_none() => None,
        None => return,
        Some(Err(error)) => {
            log::info!(leaf:? = leaf, value:? = value, error:% = error; "invalid limit of a leaf ignored");
            return;
        }
    };
    let mut fleet = shared.fleet.borrow_mut();
    let Some(change) = fleet.on_limit(leaf, named, sent, shared.now()) else {
        return;
    };
    let Some(leaf) = fleet.get(leaf) else {
        return;
    };
    let id = &*leaf.entry().id;
    let service = &*leaf.entry().service;
    match change {
        LimitChange::Set(limit) => {
            shared.limit_named.notify_one();
            log::info!(leaf = id, service = service, limit = limit.per_second(), in_flight = leaf.in_flight(); "the leaf limits its requests");
        }
        LimitChange::Lifted(before) => {
            log::info!(leaf = id, service = service, before = before.per_second(); "the leaf no longer limits its requests");
        }
    }
}

/// Records what a leaf's answer says about further calls: that it is leaving, or wants none for a
/// while.
fn record_wishes(shared: &Shared, leaf: LeafKey, answer: &Response<Bytes>) {
    let headers = answer.headers();
    let mut fleet = shared.fleet.borrow_mut();
    let id = fleet.get(leaf).map(|leaf| leaf.entry().id.clone());
    let id = id.as_deref().unwrap_or("gone");
    if headers
        .get(header::LEAVING)
        .is_some_and(|value| value.as_bytes().trim_ascii() == b"1")
        && fleet.on_leaving(leaf)
    {
        log::info!(leaf = id; "the leaf says that it is leaving; it gets no further calls");
    }
    let wanted = headers.get(RETRY_AFTER);
    let Some(wanted) = wanted.filter(|_| answer.status() == StatusCode::SERVICE_UNAVAILABLE) else {
        return;
    };
    let rest = wanted.to_str().ok().and_then(parse_rest);
    match rest.and_then(|rest| shared.now().checked_add(rest)) {
        Some(until) => {
            metrics::counter!("camphorhold_rests_total").increment(1);
            fleet.on_rest(leaf, until);
        }
        None => {
            log::info!(leaf = id, value:? = wanted; "invalid pause of a leaf ignored");
        }
    }
}

/// Parses a number of seconds, which may have a fraction.
fn parse_rest(value: &str) -> Option<Duration> {
    let seconds: f64 = value.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// What tells that an answer belongs to the request after which it was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Attribution {
    /// It repeats the request's id, or there was no earlier request on the connection.
    Certain,
    /// It has no id, and may be a late answer to an earlier request on the connection.
    Missing,
    /// It repeats another id.
    Wrong,
}

impl Attribution {
    fn new(forwarded: &ForwardedRequest, answer: &Response<Bytes>, is_first: bool) -> Self {
        let sent = forwarded.headers.get(header::REQUEST_ID);
        let received = answer.headers().get(header::REQUEST_ID);
        match received {
            None if is_first => Self::Certain,
            None => Self::Missing,
            received if received == sent => Self::Certain,
            Some(_) => Self::Wrong,
        }
    }
}

async fn exchange(
    shared: &Rc<Shared>,
    forwarded: &ForwardedRequest,
    call: LeafCall,
    usage: &usage::Call,
) -> Result<(Response<Bytes>, Attribution), http::Error> {
    let leaf = call.leaf;
    let target = shared.fleet.borrow().get(leaf).map(|leaf| {
        let entry = leaf.entry();
        (entry.address, entry.id.clone())
    });
    let Some((address, id)) = target else {
        return Err(http::Error::Connect(std::io::ErrorKind::NotFound.into()));
    };
    // A request that may run at most once gets a new connection: on a reused one, a late answer to
    // an earlier request could be taken for its answer.
    let pooled = match forwarded.route.semantics {
        CallSemantics::Idempotent => shared.leaf_pool.take(leaf, shared.now()),
        CallSemantics::AtMostOnce => None,
    };
    let is_first = pooled.is_none();
    let mut connection = if let Some(connection) = pooled {
        connection
    } else {
        metrics::counter!("camphorhold_leaf_connections_total").increment(1);
        // Says nothing about the leaf.
        let buffer = shared
            .take_server_buffer()
            .map_err(|error| http::Error::Connect(std::io::Error::other(error)))?;
        let opened = Connection::open_with_buffer(address, TCP_OPTIONS, buffer).await;
        shared.on_connect(leaf, opened.is_ok());
        opened?
    };
    let left = call.deadline.saturating_duration_since(shared.now());
    let request = build_request(forwarded, &id, left);
    forwarded.sent.set(true);
    usage.on_sent();
    let limit = match forwarded.route.target {
        Target::Shards(_) => MAX_PART_BYTES,
        Target::Service(_) | Target::Split(_) => MAX_ANSWER_BYTES,
    };
    let answer = connection
        .exchange_within(request, limit, &shared.read_budget)
        .await?;
    let attribution = Attribution::new(forwarded, &answer, is_first);
    if !call.replaces_handover && attribution == Attribution::Certain {
        return_to_pool(shared, forwarded, leaf, connection, &answer);
    }
    Ok((answer, attribution))
}

fn build_request(
    forwarded: &ForwardedRequest,
    leaf_id: &str,
    left: Duration,
) -> Request<Full<Bytes>> {
    let mut request = forwarded.to_request();
    let headers = request.headers_mut();
    let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1);
    headers.insert(header::DEADLINE_MS, HeaderValue::from(left));
    if let Ok(id) = HeaderValue::from_str(leaf_id) {
        headers.insert(header::EXPECTED_LEAF, id);
    }
    request
}

/// Returns the connection to the pool. Drops it if it is closed, or if the leaf may have answered with
/// an error before the whole body was sent.
fn return_to_pool(
    shared: &Shared,
    forwarded: &ForwardedRequest,
    leaf: LeafKey,
    mut connection: Connection,
    answer: &Response<Bytes>,
) {
    let body_may_be_unsent =
        forwarded.body.len() > SMALL_BODY_BYTES && !answer.status().is_success();
    if body_may_be_unsent || !connection.is_usable() {
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

/// Returns whether an error comes from a leaf that has run the request and found it to be at fault.
fn blames_request(status: StatusCode, answer: Option<&Response<Bytes>>) -> bool {
    status.is_client_error()
        && !matches!(
            status,
            StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS
        )
        && answer.is_some_and(|answer| answer.headers().contains_key(header::SIGNATURE))
}

/// Returns why an answer cannot be part of the result, or `None` if it can.
fn check_answer(attribution: Attribution, answer: &Response<Bytes>) -> Option<CallError> {
    let headers = answer.headers();
    let status = answer.status();
    let is_refusal =
        status == StatusCode::MISDIRECTED_REQUEST || headers.contains_key(header::NOT_RUN);
    match attribution {
        Attribution::Certain => {}
        // Refusals may come without an id. On a connection that was used before, only requests are
        // sent that may be repeated.
        Attribution::Missing if is_refusal => {}
        Attribution::Missing | Attribution::Wrong => return Some(CallError::WrongRequest),
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Some(CallError::Replaced);
    }
    if headers.contains_key(header::NOT_RUN) {
        return Some(CallError::Refused);
    }
    // Callers request no content encoding, so an encoded body does not come from the leaf.
    let genuine =
        headers.contains_key(header::SIGNATURE) && !headers.contains_key(CONTENT_ENCODING);
    (!status.is_success() || !genuine).then_some(CallError::Status(status))
}
