//! Relays whole requests to other instances while this one can reach no leaf.
//!
//! A relayed request is the caller's, with a header that names the version of the configuration. The
//! other instance handles it like one of its own callers, but relays it no further, and its answer
//! goes to the caller unchanged. It refuses the request if it has another version in force, is
//! starting or stopping, or can reach no leaf either; then the next instance is asked. So it is if
//! an instance falls silent and the request may be repeated.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use camphorhold::coordination::serving::instances::HandoverOutcome;
use camphorhold::coordination::serving::retry_budget::ExtraCall;
use camphorhold::state::plan::CallSemantics;
use camphorhold::state::plan::Plan;
use camphorhold::transport::http;
use camphorhold_platform::header;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

use crate::answer;
use crate::answer::empty_response;
use crate::answer::refuse;
use crate::call::ForwardedRequest;
use crate::handover::InFlight;
use crate::peer;
use crate::shared::Phase;
use crate::shared::Shared;
use crate::tokens;

/// In a request to another instance: marks it as relayed, with the version of the configuration
/// that both instances must use. In an answer: the instance did not take the request. Answers of
/// leafs are passed on without it.
pub const HEADER: HeaderName = HeaderName::from_static("camphorhold-relay");

/// The most instances that are asked for one request.
const MAX_TARGETS: usize = 5;

/// How long an instance may take to answer before it is asked whether it responds at all, and the
/// pause until it is asked again.
const CHECK_INTERVAL: Duration = Duration::from_millis(80);

/// How long it may take to respond to that. A busy instance with an eighth of a core responds within
/// a time slice of the processor, a tenth of a second.
const CHECK_TIMEOUT: Duration = Duration::from_millis(120);

/// The longest accepted body of an answer, that of a leaf's answer to a request for one service.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// When a caller should try again whose request no instance has taken. The links of instances may
/// be back by then.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Returns whether a request from another instance is a relayed one that this instance takes, or
/// `None` if it is not relayed.
pub fn accept(shared: &Shared, plan: &Plan, headers: &HeaderMap) -> Option<bool> {
    let version = headers.get(HEADER)?;
    let version = version.to_str().ok().and_then(|value| value.parse().ok());
    Some(
        shared.phase.get() == Phase::Serving
            && version == Some(plan.version())
            && !shared.reachability.borrow().is_cut_off(),
    )
}

/// Relays a request that no leaf has received to another instance, and returns the answer for the
/// caller. Without an instance that takes it, the request is refused.
pub async fn run(
    shared: &Rc<Shared>,
    forwarded: &ForwardedRequest,
    plan: &Plan,
) -> Response<Full<Bytes>> {
    let mut asked: Vec<Box<str>> = Vec::new();
    while asked.len() < MAX_TARGETS {
        let left = forwarded.deadline.saturating_duration_since(shared.now());
        if left.is_zero() {
            break;
        }
        let target = {
            let instances = shared.instances.borrow();
            instances.choose_relay(&asked, shared.now(), shared.jitter())
        };
        let Some((name, address)) = target else {
            break;
        };
        match ask(shared, forwarded, plan, (&name, address), left).await {
            Reply::Answered(answer) => return record("answered", answer::forward(answer)),
            Reply::NotTaken => {}
            Reply::Silent => {
                log::info!(request = forwarded.id(), instance = &*name; "instance does not respond; relaying the request to another one");
            }
            Reply::TimedOut => {
                log::info!(request = forwarded.id(), instance = &*name; "instance did not answer the relayed request in time");
                return record("timed_out", empty_response(StatusCode::GATEWAY_TIMEOUT));
            }
            Reply::Lost(error) => {
                log::info!(request = forwarded.id(), instance = &*name, error:% = error; "relayed request failed");
                return record("failed", empty_response(StatusCode::BAD_GATEWAY));
            }
        }
        asked.push(name);
    }
    log::info!(request = forwarded.id(), route = &*forwarded.route.name, asked = asked.join(","); "request refused: no leaf can be reached, and no instance takes it");
    record("refused", refuse(RETRY_AFTER))
}

/// How an instance has replied to a relayed request.
enum Reply {
    /// It has sent the answer for the caller.
    Answered(Response<Bytes>),
    /// It has not taken the request.
    NotTaken,
    /// It does not respond to anything, and another instance may be asked.
    Silent,
    /// The caller stops waiting.
    TimedOut,
    /// The connection was lost, or the answer is too long or malformed.
    Lost(http::Error),
}

/// Relays a request to one instance. Asks that one from time to time whether it responds at all: the
/// answer to the request itself may take long.
async fn ask(
    shared: &Rc<Shared>,
    forwarded: &ForwardedRequest,
    plan: &Plan,
    (name, address): (&str, SocketAddr),
    left: Duration,
) -> Reply {
    let mut in_flight = InFlight::start(shared, name, 0);
    let exchange = tokio::time::timeout(left, exchange(shared, forwarded, plan, address, left));
    tokio::pin!(exchange);
    let result = loop {
        tokio::select! {
            result = &mut exchange => break result,
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
        let responds = tokio::select! {
            result = &mut exchange => break result,
            responds = tokens::responds(shared, address, CHECK_TIMEOUT) => responds,
        };
        if !responds && may_relay_again(shared, forwarded) {
            in_flight.record(HandoverOutcome::Failed);
            return Reply::Silent;
        }
    };
    let Ok(result) = result else {
        in_flight.record(HandoverOutcome::Failed);
        return Reply::TimedOut;
    };
    in_flight.end(&result);
    match result {
        Ok(answer) if is_refusal(forwarded, &answer) => Reply::NotTaken,
        Ok(answer) => Reply::Answered(answer),
        Err(http::Error::Connect(_) | http::Error::ConnectTimeout | http::Error::Unsent(_)) => {
            Reply::NotTaken
        }
        Err(error @ (http::Error::Lost(_) | http::Error::TooLong | http::Error::Malformed)) => {
            Reply::Lost(error)
        }
    }
}

/// Returns whether a request may be relayed to a second instance although the first one may have sent
/// it to leafs, and takes the repetition from the retry budgets.
fn may_relay_again(shared: &Shared, forwarded: &ForwardedRequest) -> bool {
    if forwarded.route.semantics != CallSemantics::Idempotent {
        return false;
    }
    let now = shared.now();
    let services = forwarded.route.target.services();
    let mut retry_budgets = shared.retry_budgets.borrow_mut();
    services
        .iter()
        .all(|service| retry_budgets.available(service, now) >= 1.0)
        && services
            .iter()
            .all(|service| retry_budgets.take(service, ExtraCall::Retry, now))
}

/// Returns the answer to a relayed request that this instance does not take.
pub fn refusal() -> Response<Full<Bytes>> {
    let mut response = empty_response(StatusCode::CONFLICT);
    let refused = HeaderValue::from_static("refused");
    response.headers_mut().insert(HEADER, refused);
    response
}

/// Returns whether an instance has not taken a request. One of protocol 1 that does not know the route
/// says so by the status only, which may also be that of a leaf.
fn is_refusal(forwarded: &ForwardedRequest, answer: &Response<Bytes>) -> bool {
    let by_status = answer.status() == StatusCode::CONFLICT
        && forwarded.route.semantics == CallSemantics::Idempotent
        && !answer.headers().contains_key(header::SIGNATURE);
    by_status || answer.headers().contains_key(HEADER)
}

fn record(outcome: &'static str, response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    metrics::counter!("camphorhold_relays_total", "outcome" => outcome).increment(1);
    response
}

async fn exchange(
    shared: &Shared,
    forwarded: &ForwardedRequest,
    plan: &Plan,
    address: SocketAddr,
    left: Duration,
) -> Result<Response<Bytes>, http::Error> {
    // As with leafs, a request that may run at most once gets a new connection.
    let mut connection = match forwarded.route.semantics {
        CallSemantics::Idempotent => peer::connect(shared, address).await?,
        CallSemantics::AtMostOnce => peer::open(shared, address).await?,
    };
    let mut request = forwarded.to_request();
    let headers = request.headers_mut();
    headers.insert(HEADER, HeaderValue::from(plan.version()));
    let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1);
    headers.insert(header::DEADLINE_MS, HeaderValue::from(left));
    let answer = connection
        .exchange_within(request, MAX_ANSWER_BYTES, &shared.read_budget)
        .await?;
    peer::keep(shared, address, connection);
    Ok(answer)
}
