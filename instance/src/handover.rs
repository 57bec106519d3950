//! Hands shards of a query over to another instance, which calls their leafs.
//!
//! Instances use HTTP/1.1 among themselves. The request is the caller's, with a header that names
//! the version of the configuration, the time until the answer is due, and the shards; the answer
//! holds the merged records of these shards. Only an instance whose configuration defines the query
//! in the same way accepts a handover. Otherwise an answer could mix shards of two versions, and
//! callers of one instance could see a later version first and an earlier one after it.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::net::SocketAddr;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use camphorhold::coordination::serving::fanout::Outcome;
use camphorhold::coordination::serving::fleet::LeafKey;
use camphorhold::coordination::serving::instances::HandoverOutcome;
use camphorhold::coordination::serving::instances::HandoverRole;
use camphorhold::coordination::serving::instances::ShardGroup;
use camphorhold::state::plan::Plan;
use camphorhold::state::plan::Route;
use camphorhold::state::plan::Scope;
use camphorhold::state::plan::Target;
use camphorhold::transport::http;
use camphorhold_platform::header;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use thiserror::Error;

use crate::answer;
use crate::call::ForwardedRequest;
use crate::peer;
use crate::shard_queue;
use crate::shared::Phase;
use crate::shared::Shared;
use crate::usage;

/// In a request, a [`HandoverRequest`]; in an answer, the positions of the answered shards.
pub const HEADER: HeaderName = HeaderName::from_static("camphorhold-handover");

/// In a request, the [`HandoverRole`] of the recipient: [`COORDINATOR`], [`OWNER`], or absent for a
/// caller of leafs. An instance of a release without roles ignores it and calls the leafs.
pub const ROLE_HEADER: HeaderName = HeaderName::from_static("camphorhold-handover-role");

/// In a request, the [`Route::query_digest`] of the sender's route in hexadecimal digits. Absent in
/// requests of a release that compares versions only.
pub const DIGEST_HEADER: HeaderName = HeaderName::from_static("camphorhold-handover-digest");

/// In an answer, the names of the instances that have just failed the sender's own handovers.
const FAILED_HEADER: HeaderName = HeaderName::from_static("camphorhold-failed-instances");

/// In an answer, the ids of leafs whose connections were lost under the request, if none survived
/// it.
const LOST_HEADER: HeaderName = HeaderName::from_static("camphorhold-lost-leafs");

/// In an answer without a result, present if no leaf has received the request.
const UNCALLED_HEADER: HeaderName = HeaderName::from_static("camphorhold-no-leaf-called");

/// In an answer, the positions of the shards that are refused because of their load and that no leaf
/// has run. With an error status other than 503 a leaf may have run them.
const REFUSED_HEADER: HeaderName = HeaderName::from_static("camphorhold-refused-shards");

const COORDINATOR: HeaderValue = HeaderValue::from_static("coordinator");
const OWNER: HeaderValue = HeaderValue::from_static("owner");

/// How long after its due time the answer of another instance is still awaited.
const ANSWER_SLACK: Duration = Duration::from_millis(6);

/// The same for a coordinator. Its answer covers so many shards that it is worth more than calls
/// that start only now.
const COORDINATOR_SLACK: Duration = Duration::from_millis(25);

/// How much longer an answer is awaited to tell a late instance from one that does not respond.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(150);

/// The longest accepted body of a merged answer. A longer one fails the handover. It holds at most
/// as many records as the answer to the caller.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// The shards that are handed over, and the time within which their answer is due. Its text form,
/// the value of [`HEADER`], is `version;milliseconds;shard,shard,...`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandoverRequest {
    /// The version of the configuration that both instances must use.
    pub version: u64,
    /// The time until the answer is due, sent in whole milliseconds.
    pub due_in: Duration,
    /// The positions of the shards in the scope of the route, in ascending order.
    pub shards: Vec<usize>,
}

impl HandoverRequest {
    /// Returns whether the shards are distinct shards of `scope`, in ascending order.
    pub fn fits(&self, scope: &Scope) -> bool {
        self.shards.is_sorted_by(|a, b| a < b)
            && self
                .shards
                .last()
                .is_some_and(|last| *last < scope.shards.len())
    }
}

/// Returned for a header value that is not a [`HandoverRequest`].
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("invalid handover header")]
pub struct InvalidHandover;

impl Display for HandoverRequest {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{};{};", self.version, self.due_in.as_millis())?;
        formatter.write_str(&join(&self.shards))
    }
}

impl FromStr for HandoverRequest {
    type Err = InvalidHandover;

    fn from_str(text: &str) -> Result<Self, InvalidHandover> {
        let mut fields = text.splitn(3, ';');
        let mut next = || fields.next().ok_or(InvalidHandover);
        let version = next()?.parse().map_err(|_| InvalidHandover)?;
        let due_ms = next()?.parse().map_err(|_| InvalidHandover)?;
        let shards = split(next()?).ok_or(InvalidHandover)?;
        Ok(Self {
            version,
            due_in: Duration::from_millis(due_ms),
            shards,
        })
    }
}

fn join(shards: &[usize]) -> String {
    let shards: Vec<String> = shards.iter().map(usize::to_string).collect();
    shards.join(",")
}

fn split(text: &str) -> Option<Vec<usize>> {
    text.split(',').map(|shard| shard.parse().ok()).collect()
}

/// Reads the handover headers of a request from another instance. Returns `None`, which refuses the
/// handover, if they are missing or invalid, if this instance is starting or stopping or can reach
/// no leaf, or if its
/// configuration, in which `route` matches the request, defines the query in another way.
pub fn accept(
    shared: &Shared,
    plan: &Plan,
    route: &Route,
    headers: &HeaderMap,
) -> Option<HandoverRequest> {
    let handover_request: HandoverRequest = headers.get(HEADER)?.to_str().ok()?.parse().ok()?;
    let Target::Shards(scope) = &route.target else {
        return None;
    };
    let digest = headers.get(DIGEST_HEADER).and_then(read_digest);
    let defines_same_query = handover_request.version == plan.version()
        || (digest.is_some() && digest == route.query_digest());
    let accepted = shared.phase.get() == Phase::Serving
        && !shared.reachability.borrow().is_cut_off()
        && defines_same_query
        && handover_request.fits(scope);
    accepted.then_some(handover_request)
}

fn read_digest(value: &HeaderValue) -> Option<u64> {
    u64::from_str_radix(value.to_str().ok()?, 16).ok()
}

/// Returns what a request asks this instance to do with the shards that it hands over.
pub fn role(headers: &HeaderMap) -> HandoverRole {
    match headers.get(ROLE_HEADER) {
        Some(value) if *value == COORDINATOR => HandoverRole::Coordinator,
        Some(value) if *value == OWNER => HandoverRole::Owner,
        _ => HandoverRole::Caller,
    }
}

/// Adds the headers of an answer to another instance: the positions of the answered shards, the
/// leafs that were lost, whether none was called, and the instances that have failed handovers.
pub fn add_answer_headers(
    shared: &Shared,
    headers: &mut HeaderMap,
    answered: &[usize],
    lost: &[LeafKey],
    may_have_called: bool,
) {
    if !may_have_called {
        headers.insert(UNCALLED_HEADER, HeaderValue::from_static("1"));
    }
    if let Ok(answered) = HeaderValue::from_str(&join(answered)) {
        headers.insert(HEADER, answered);
    }
    let fleet = shared.fleet.borrow();
    let lost: Vec<&str> = lost
        .iter()
        .filter_map(|leaf| Some(&*fleet.get(*leaf)?.entry().id))
        .collect();
    if !lost.is_empty()
        && let Ok(lost) = HeaderValue::from_str(&lost.join(","))
    {
        headers.insert(LOST_HEADER, lost);
    }
    let instances = shared.instances.borrow();
    let failed: Vec<&str> = instances.failed(shared.now()).collect();
    if !failed.is_empty()
        && let Ok(failed) = HeaderValue::from_str(&failed.join(","))
    {
        headers.insert(FAILED_HEADER, failed);
    }
}

/// Adds the headers of an answer to another instance that tell of the load of its shards.
pub fn add_load_headers(
    shared: &Shared,
    forwarded: &ForwardedRequest,
    handover_request: &HandoverRequest,
    refused: &[usize],
    answer: &mut Response<Full<Bytes>>,
) {
    let headers = answer.headers_mut();
    shard_queue::add_thresholds(shared, forwarded, &handover_request.shards, headers);
    if !refused.is_empty()
        && let Ok(refused) = HeaderValue::from_str(&join(refused))
    {
        headers.insert(REFUSED_HEADER, refused);
    }
}

/// Returns the answer to a handover whose shards are all refused because of their load.
pub fn refuse(
    shared: &Shared,
    forwarded: &ForwardedRequest,
    handover_request: &HandoverRequest,
) -> Response<Full<Bytes>> {
    let mut answer = answer::refuse(answer::retry_after(&forwarded.route));
    let refused = &handover_request.shards;
    add_answer_headers(shared, answer.headers_mut(), &[], &[], false);
    add_load_headers(shared, forwarded, handover_request, refused, &mut answer);
    metrics::counter!("camphorhold_requests_total", "outcome" => "crowded").increment(1);
    answer
}

fn lost_leafs(shared: &Shared, answer: &Response<Bytes>) -> Vec<LeafKey> {
    let Some(Ok(lost)) = answer.headers().get(LOST_HEADER).map(HeaderValue::to_str) else {
        return Vec::new();
    };
    let fleet = shared.fleet.borrow();
    lost.split(',').filter_map(|id| fleet.find(id)).collect()
}

fn record_reports(shared: &Shared, reporter: &str, answer: &Response<Bytes>) {
    let Some(Ok(failed)) = answer.headers().get(FAILED_HEADER).map(HeaderValue::to_str) else {
        return;
    };
    let now = shared.now();
    let mut instances = shared.instances.borrow_mut();
    for failed in failed.split(',') {
        instances.on_report(reporter, failed, now);
    }
}

/// How a request is named towards other instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// The version of the configuration that it is handled with.
    pub version: u64,
    /// The position of each of its shards in the scope of the route, in ascending order.
    pub positions: Vec<usize>,
}

/// The end of a handover.
#[derive(Debug)]
pub struct End {
    /// The shards that were handed over, by their positions in the request, and the instance.
    pub group: ShardGroup,
    /// The shards that the answer covers, by their positions in the request.
    pub answered: Vec<usize>,
    /// The outcome of the shards that the answer does not cover.
    pub rest_outcome: Outcome,
    /// The shards that the instance has refused because of their load, by their positions in the
    /// request.
    pub refused: Vec<usize>,
    /// The merged answer, if one arrived and it lists the shards that it covers.
    pub answer: Option<Response<Bytes>>,
    /// Leafs whose connections were lost under the request, if none survived it.
    pub lost: Vec<LeafKey>,
}

impl End {
    fn without_answer(group: ShardGroup, rest_outcome: Outcome) -> Self {
        Self {
            group,
            answered: Vec::new(),
            rest_outcome,
            refused: Vec::new(),
            answer: None,
            lost: Vec::new(),
        }
    }

    /// The shards that the answer does not cover may have run. So may all of them, if it does not
    /// list valid ones.
    fn with_answer(
        shared: &Shared,
        group: ShardGroup,
        answer: Response<Bytes>,
        handover_request: &HandoverRequest,
    ) -> Self {
        let answered = listed_shards(&answer, &HEADER, handover_request, &group);
        Self {
            refused: Vec::new(),
            lost: lost_leafs(shared, &answer),
            group,
            answer: answered.is_some().then_some(answer),
            answered: answered.unwrap_or_default(),
            rest_outcome: Outcome::Failed,
        }
    }
}

/// Records the end of a handover, even if its future is dropped because its caller has left.
pub struct InFlight {
    shared: Rc<Shared>,
    name: Box<str>,
    outcome: Option<HandoverOutcome>,
}

impl InFlight {
    /// Records a handover of that many shards to an instance as sent.
    pub fn start(shared: &Rc<Shared>, name: &str, shards: usize) -> Self {
        shared.instances.borrow_mut().on_sent(name, shards);
        Self {
            shared: Rc::clone(shared),
            name: name.into(),
            outcome: None,
        }
    }

    /// Records how the exchange ended.
    pub fn end(&mut self, result: &Result<Response<Bytes>, http::Error>) {
        let outcome = match result {
            Ok(answer) if answer.status() == StatusCode::CONFLICT => HandoverOutcome::Refused,
            Ok(answer) => {
                record_reports(&self.shared, &self.name, answer);
                HandoverOutcome::Answered
            }
            Err(_) => HandoverOutcome::Failed,
        };
        self.record(outcome);
    }

    /// Records the outcome.
    pub fn record(&mut self, outcome: HandoverOutcome) {
        self.outcome = Some(outcome);
        metrics::counter!("camphorhold_handovers_total", "outcome" => outcome_label(outcome))
            .increment(1);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let outcome = self.outcome.unwrap_or(HandoverOutcome::Abandoned);
        let now = self.shared.now();
        self.shared
            .instances
            .borrow_mut()
            .on_end(&self.name, outcome, now);
    }
}

/// Records a handover as sent and returns the future that makes it. The answer is due at
/// `answer_by`.
pub fn start(
    shared: &Rc<Shared>,
    forwarded: &Rc<ForwardedRequest>,
    query: &Query,
    group: ShardGroup,
    answer_by: Instant,
) -> impl Future<Output = End> + use<> {
    let in_flight = InFlight::start(shared, &group.name, group.shards.len());
    let positions = group.shards.iter().map(|shard| query.positions[*shard]);
    let handover_request = HandoverRequest {
        version: query.version,
        due_in: answer_by.saturating_duration_since(shared.now()),
        shards: positions.collect(),
    };
    run(Rc::clone(forwarded), handover_request, group, in_flight)
}

async fn run(
    forwarded: Rc<ForwardedRequest>,
    handover_request: HandoverRequest,
    group: ShardGroup,
    mut in_flight: InFlight,
) -> End {
    let slack = match group.role {
        HandoverRole::Caller | HandoverRole::Owner => ANSWER_SLACK,
        HandoverRole::Coordinator => COORDINATOR_SLACK,
    };
    let timeout = handover_request.due_in + slack;
    let shared = Rc::clone(&in_flight.shared);
    let usage = Rc::new(usage::Call::new(&shared, &forwarded));
    let mut exchange = Box::pin(exchange(
        Rc::clone(&shared),
        Rc::clone(&usage),
        Rc::clone(&forwarded),
        handover_request.clone(),
        group.clone(),
    ));
    let Ok(result) = tokio::time::timeout(timeout, &mut exchange).await else {
        log::info!(request = forwarded.id(), instance = &*group.name; "instance did not answer the handover in time");
        tokio::task::spawn_local(await_late_answer(exchange, in_flight, group.address));
        return End::without_answer(group, Outcome::Failed);
    };
    in_flight.end(&result);
    let refused = result.as_ref().map_or(Vec::new(), |answer| {
        let positions = &handover_request.shards;
        shard_queue::record_thresholds(&shared, &forwarded, positions, answer.headers());
        let refused = listed_shards(answer, &REFUSED_HEADER, &handover_request, &group);
        refused.unwrap_or_default()
    });
    let end = match result {
        Ok(answer) => match answer.status() {
            StatusCode::OK => End::with_answer(&shared, group, answer, &handover_request),
            StatusCode::CONFLICT => End::without_answer(group, Outcome::Unsent),
            StatusCode::SERVICE_UNAVAILABLE if answer.headers().contains_key(UNCALLED_HEADER) => {
                End::without_answer(group, Outcome::Unsent)
            }
            StatusCode::SERVICE_UNAVAILABLE => End::without_answer(group, Outcome::NotRun),
            _ => End {
                lost: lost_leafs(&shared, &answer),
                ..End::without_answer(group, Outcome::Failed)
            },
        },
        Err(error) => {
            log::info!(request = forwarded.id(), instance = &*group.name, error:% = error; "handover to instance failed");
            End::without_answer(group, unanswered_outcome(&error))
        }
    };
    if end.answered.is_empty() && matches!(end.rest_outcome, Outcome::NotRun | Outcome::Unsent) {
        usage.on_refused();
    }
    End { refused, ..end }
}

fn unanswered_outcome(error: &http::Error) -> Outcome {
    match error {
        http::Error::Connect(_) | http::Error::ConnectTimeout | http::Error::Unsent(_) => {
            Outcome::Unsent
        }
        http::Error::Lost(_) | http::Error::TooLong | http::Error::Malformed => Outcome::Failed,
    }
}

/// Waits a little longer for an answer that comes too late to be used. An instance that is only late
/// goes on getting handovers, and the connection to it stays open.
async fn await_late_answer<F>(exchange: F, mut in_flight: InFlight, address: SocketAddr)
where
    F: Future<Output = Result<Response<Bytes>, http::Error>>,
{
    if let Ok(result) = tokio::time::timeout(SILENCE_TIMEOUT, exchange).await {
        in_flight.end(&result);
    } else {
        let shared = &in_flight.shared;
        log::info!(instance = &*in_flight.name; "instance does not answer; closing the idle connections to it");
        shared.peer_pool.close(address);
        in_flight.record(HandoverOutcome::Failed);
    }
}

fn outcome_label(outcome: HandoverOutcome) -> &'static str {
    match outcome {
        HandoverOutcome::Answered => "answered",
        HandoverOutcome::Refused => "refused",
        HandoverOutcome::Failed => "failed",
        HandoverOutcome::Abandoned => "abandoned",
    }
}

/// Returns the shards that a header of an answer lists, by their positions in the request, or `None`
/// if it lists none or one that was not handed over.
fn listed_shards(
    answer: &Response<Bytes>,
    header: &HeaderName,
    handover_request: &HandoverRequest,
    group: &ShardGroup,
) -> Option<Vec<usize>> {
    let positions = split(answer.headers().get(header)?.to_str().ok()?)?;
    positions
        .into_iter()
        .map(|position| {
            let index = handover_request.shards.binary_search(&position).ok()?;
            group.shards.get(index).copied()
        })
        .collect()
}

async fn exchange(
    shared: Rc<Shared>,
    usage: Rc<usage::Call>,
    forwarded: Rc<ForwardedRequest>,
    handover_request: HandoverRequest,
    group: ShardGroup,
) -> Result<Response<Bytes>, http::Error> {
    let mut request = forwarded.to_request();
    let headers = request.headers_mut();
    if let Ok(handover_request) = HeaderValue::from_str(&handover_request.to_string()) {
        headers.insert(HEADER, handover_request);
    }
    if let Some(digest) = forwarded.route.query_digest()
        && let Ok(digest) = HeaderValue::from_str(&format!("{digest:x}"))
    {
        headers.insert(DIGEST_HEADER, digest);
    }
    match group.role {
        HandoverRole::Caller => None,
        HandoverRole::Owner => headers.insert(ROLE_HEADER, OWNER),
        HandoverRole::Coordinator => headers.insert(ROLE_HEADER, COORDINATOR),
    };
    let left = forwarded.deadline.saturating_duration_since(shared.now());
    let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(header::DEADLINE_MS, HeaderValue::from(left));
    let mut connection = peer::connect(&shared, group.address).await?;
    forwarded.sent.set(true);
    usage.on_sent();
    let answer = connection
        .exchange_within(request, MAX_ANSWER_BYTES, &shared.read_budget)
        .await?;
    peer::keep(&shared, group.address, connection);
    Ok(answer)
}
