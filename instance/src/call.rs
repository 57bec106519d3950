//! One call to a leaf.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use camphorhold::coordination::serving::fanout::Outcome;
use camphorhold::coordination::serving::fanout::Send;
use camphorhold::coordination::serving::fleet::LeafKey;
use camphorhold::coordination::serving::fleet::Report;
use camphorhold::state::plan::Repeat;
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
pub struct Passed {
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

impl Passed {
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
    pub trouble: Option<Trouble>,
}

/// Why a call has no useful answer.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Trouble {
    /// The leaf did not run the request.
    #[error("refused")]
    Refused,
    /// Another leaf has the address.
    #[error("replaced")]
    Replaced,
    /// The answer belongs to another request.
    #[error("answered another request")]
    Foreign,
    /// The leaf answered with a failure, or without a signature.
    #[error("answered {0}")]
    Status(StatusCode),
    /// No connection could be used, so nothing was sent.
    #[error("not connected")]
    NotConnected,
    /// The request was sent, and the connection broke.
    #[error("connection lost")]
    Lost,
}

/// Reports a call to the fleet, also if its task is dropped.
struct InFlight {
    shared: Rc<Shared>,
    leaf: LeafKey,
    started: Instant,
    report: Option<Report>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.shared.now();
        let abandoned = || Report::Abandoned(now.saturating_duration_since(self.started));
        let report = self.report.take().unwrap_or_else(abandoned);
        self.shared
            .fleet
            .borrow_mut()
            .on_report(self.leaf, self.started, report, now);
    }
}

/// Records a call and returns the task that makes it. The record is made at once, so that the next
/// choice of a leaf sees it.
pub fn start(
    shared: &Rc<Shared>,
    passed: &Rc<Passed>,
    send: Send,
    expected: Duration,
) -> impl Future<Output = End> + use<> {
    let started = shared.now();
    shared
        .fleet
        .borrow_mut()
        .on_sent(send.leaf, expected, started);
    let in_flight = InFlight {
        shared: Rc::clone(shared),
        leaf: send.leaf,
        started,
        report: None,
    };
    run(Rc::clone(shared), Rc::clone(passed), send, in_flight)
}

async fn run(shared: Rc<Shared>, passed: Rc<Passed>, send: Send, mut in_flight: InFlight) -> End {
    let result = exchange(&shared, &passed, send).await;
    let latency = shared.now().saturating_duration_since(in_flight.started);
    let (trouble, answer) = match result {
        Ok(answer) => (judge(&passed, &answer), Some(answer)),
        Err(error) => {
            log::debug!(leaf:? = send.leaf, error:% = error; "leaf call failed");
            let trouble = match error {
                http::Error::Connect(_) | http::Error::ConnectTimeout | http::Error::Unsent(_) => {
                    Trouble::NotConnected
                }
                http::Error::Lost(_) | http::Error::TooLong => Trouble::Lost,
            };
            (Some(trouble), None)
        }
    };
    let (outcome, report) = match trouble {
        None => (Outcome::Part, Report::Answered(latency)),
        Some(Trouble::Refused) => (Outcome::NotRun, Report::Refused),
        Some(Trouble::Replaced) => (Outcome::NotRun, Report::Replaced),
        Some(Trouble::Foreign | Trouble::Status(_)) => (Outcome::Failed, Report::Failed),
        Some(Trouble::NotConnected) => (Outcome::Unsent, Report::Disconnected),
        Some(Trouble::Lost) => (Outcome::Failed, Report::Disconnected),
    };
    if outcome == Outcome::Part {
        shared.note_latency(&passed.route, latency);
        metrics::histogram!("camphorhold_leaf_call_seconds").record(latency.as_secs_f64());
    }
    metrics::counter!("camphorhold_leaf_calls_total", "outcome" => name(outcome)).increment(1);
    in_flight.report = Some(report);
    End {
        shard: send.shard,
        leaf: send.leaf,
        outcome,
        answer: answer.filter(|_| trouble != Some(Trouble::Foreign)),
        trouble,
    }
}

fn name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Part => "answered",
        Outcome::NotRun => "not_run",
        Outcome::Unsent => "unsent",
        Outcome::Failed => "failed",
    }
}

async fn exchange(
    shared: &Rc<Shared>,
    passed: &Passed,
    send: Send,
) -> Result<Response<Bytes>, http::Error> {
    let leaf = send.leaf;
    let target = shared.fleet.borrow().get(leaf).map(|leaf| {
        let entry = leaf.entry();
        (entry.address, entry.id.clone())
    });
    let Some((address, id)) = target else {
        return Err(http::Error::Connect(std::io::ErrorKind::NotFound.into()));
    };
    // A request that runs at most once gets a connection of its own: on a used one, a late answer
    // to an earlier request could take the place of its answer.
    let pooled = match passed.route.repeat {
        Repeat::Idempotent => shared.pool.take(leaf, shared.now()),
        Repeat::Once => None,
    };
    let mut connection = if let Some(connection) = pooled {
        connection
    } else {
        metrics::counter!("camphorhold_leaf_connections_total").increment(1);
        Connection::open(address, LIVENESS).await?
    };
    let left = send.deadline.saturating_duration_since(shared.now());
    let request = build(passed, &id, left);
    passed.sent.set(true);
    let answer = connection.exchange(request, MAX_ANSWER_BYTES).await?;
    keep(shared, passed, leaf, connection, &answer);
    Ok(answer)
}

fn build(passed: &Passed, leaf_id: &str, left: Duration) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(passed.body.clone()));
    *request.method_mut() = passed.method.clone();
    *request.uri_mut() = passed.uri.clone();
    let mut headers = passed.headers.clone();
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
    passed: &Passed,
    leaf: LeafKey,
    mut connection: Connection,
    answer: &Response<Bytes>,
) {
    let body_may_be_unsent = passed.body.len() > SMALL_BODY_BYTES && !answer.status().is_success();
    if body_may_be_unsent || !answers(passed, answer) || !connection.is_usable() {
        return;
    }
    let timeout = answer
        .headers()
        .get(KEEP_ALIVE)
        .and_then(|value| value.to_str().ok())
        .and_then(idle_timeout);
    shared.pool.put(leaf, connection, timeout, shared.now());
}

fn idle_timeout(value: &str) -> Option<Duration> {
    value
        .split(',')
        .find_map(|parameter| parameter.trim().strip_prefix("timeout="))
        .and_then(|seconds| seconds.parse().ok())
        .map(Duration::from_secs)
}

/// Tells whether an answer belongs to the request. Leafs repeat the request's id.
fn answers(passed: &Passed, answer: &Response<Bytes>) -> bool {
    let sent = passed.headers.get(header::REQUEST_ID);
    let received = answer.headers().get(header::REQUEST_ID);
    received.is_none() || received == sent
}

/// Returns why an answer is no part of the result, if it is not.
fn judge(passed: &Passed, answer: &Response<Bytes>) -> Option<Trouble> {
    if !answers(passed, answer) {
        return Some(Trouble::Foreign);
    }
    let headers = answer.headers();
    let status = answer.status();
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Some(Trouble::Replaced);
    }
    if headers.contains_key(header::NOT_RUN) {
        return Some(Trouble::Refused);
    }
    // Callers ask for no encoding, so an encoded body is not the leaf's.
    let genuine =
        headers.contains_key(header::SIGNATURE) && !headers.contains_key(CONTENT_ENCODING);
    (!status.is_success() || !genuine).then_some(Trouble::Status(status))
}
