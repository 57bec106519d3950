//! One request of a caller, from its head to its answer.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use camphorhold::coordination::merge::Coverage;
use camphorhold::coordination::serving::Fanout;
use camphorhold::coordination::serving::fanout;
use camphorhold::coordination::serving::fanout::Context;
use camphorhold::coordination::serving::fanout::Outcome;
use camphorhold::coordination::serving::fanout::Reason;
use camphorhold::coordination::serving::fanout::Send;
use camphorhold::coordination::serving::fanout::Shard;
use camphorhold::coordination::serving::fanout::Verdict;
use camphorhold::coordination::serving::instances::Group;
use camphorhold::state::plan::Plan;
use camphorhold::state::plan::Repeat;
use camphorhold::state::plan::Route;
use camphorhold::state::plan::Target;
use camphorhold_platform::header;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::EXPECT;
use hyper::header::HOST;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::PROXY_AUTHENTICATE;
use hyper::header::PROXY_AUTHORIZATION;
use hyper::header::RETRY_AFTER;
use hyper::header::TE;
use hyper::header::TRAILER;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;

use crate::call;
use crate::call::End;
use crate::call::Passed;
use crate::handover;
use crate::handover::Ticket;
use crate::merge;
use crate::shared::Shared;

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 10] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    EXPECT,
];

/// The caller's latency counts its way here and back, and the time to write the answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(12);

/// A caller that opened a connection for the request has spent one more round trip.
const CONNECT_MARGIN: Duration = Duration::from_millis(6);

/// The way between two instances and back, and the work of the one that handed the query over.
const HANDOVER_MARGIN: Duration = Duration::from_millis(5);

/// How long before the caller stops waiting the final answer leaves.
const DEADLINE_MARGIN: Duration = Duration::from_millis(15);

/// The least part of the latency objective that a request gets, even if its caller has used all of
/// it: a late answer is still worth something.
const LEAST_OBJECTIVE_SHARE: f64 = 0.5;

/// Calls whose answers are no longer needed may take this long to finish, so that their connections
/// can be used again.
const LINGER: Duration = Duration::from_millis(250);

/// The part of the latency objective within which a request is refused if no call can be sent.
const REFUSAL_SHARE: f64 = 0.2;

/// When a caller should come back, as a part of the latency objective.
const RETRY_AFTER_SHARE: f64 = 0.1;

/// Who sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A caller.
    Caller,
    /// Another instance, which hands a query over.
    Instance,
}

/// Where a request came from.
#[derive(Clone, Copy, Debug)]
pub struct Origin {
    /// Who sent it.
    pub source: Source,
    /// When its head had arrived.
    pub arrived: Instant,
    /// Whether it is the first on its connection.
    pub first: bool,
}

/// Counts a request in progress.
struct Progress<'a>(&'a Shared);

impl<'a> Progress<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.in_progress.set(shared.in_progress.get() + 1);
        Self(shared)
    }
}

impl Drop for Progress<'_> {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
    }
}

/// Answers a request.
pub async fn handle(
    shared: Rc<Shared>,
    request: Request<Incoming>,
    origin: Origin,
) -> Response<Full<Bytes>> {
    let _progress = Progress::new(&shared);
    let plan = shared.plan.borrow().clone();
    let Some(plan) = plan else {
        return refuse(Duration::from_millis(100));
    };
    let ticket = match origin.source {
        Source::Caller => None,
        Source::Instance => match handover::accept(&shared, &plan, &request) {
            Some(ticket) => Some(ticket),
            None => return plain(StatusCode::CONFLICT),
        },
    };
    let Some(route) = find_route(&plan, &request) else {
        log::info!(path = request.uri().path(), config_version = plan.version(); "no route");
        return plain(StatusCode::NOT_FOUND);
    };
    let (head, body) = request.into_parts();
    let limit = plan.limits().body_bytes;
    let body = match Limited::new(body, limit).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => {
            return plain(StatusCode::PAYLOAD_TOO_LARGE);
        }
        Err(_) => return plain(StatusCode::BAD_REQUEST),
    };
    let wait = wait_of(&head.headers).unwrap_or(route.timeout);
    let passed = Rc::new(Passed {
        method: head.method,
        uri: origin_form(&head.uri),
        headers: end_to_end(head.headers),
        body,
        sent: Cell::new(false),
        deadline: origin.arrived + wait.min(route.timeout),
        route,
    });
    let Some(mut request) = ask(&shared, &plan, &passed, wait, origin) else {
        return refuse(passed.route.objective.mul_f64(RETRY_AFTER_SHARE));
    };
    let Some(ticket) = ticket else {
        let groups = hand_over(&shared, &passed.route, &mut request);
        let end = run(&shared, &passed, request, plan.version(), groups).await;
        return end.respond(&plan, &passed, origin);
    };
    restrict(&mut request, &ticket, origin.arrived);
    let end = run(&shared, &passed, request, plan.version(), Vec::new()).await;
    end.respond_to_instance(&plan, &passed, origin, &ticket)
}

fn find_route(plan: &Plan, request: &Request<Incoming>) -> Option<Arc<Route>> {
    let from_header = request
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok());
    let host = request
        .uri()
        .authority()
        .map(hyper::http::uri::Authority::as_str)
        .or(from_header)?;
    plan.route(host, request.uri().path()).cloned()
}

fn wait_of(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(header::DEADLINE_MS)?.to_str().ok()?;
    value.trim().parse().ok().map(Duration::from_millis)
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}

fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    headers.remove(handover::HEADER);
    for name in HOP_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
    headers
}

/// Works out what is asked of which shards, and by when.
fn ask(
    shared: &Shared,
    plan: &Plan,
    passed: &Passed,
    wait: Duration,
    origin: Origin,
) -> Option<fanout::Request> {
    let route = &passed.route;
    let (services, minimum) = match &route.target {
        Target::Service(service) => (vec![service.clone()], 1.0),
        Target::Split(_) => (vec![shared.next_share(route)?], 1.0),
        Target::Shards(scope) => (scope.shards.clone(), scope.minimum),
    };
    let shards = services
        .into_iter()
        .map(|service| Shard {
            terms: Shared::terms(plan, &service),
            service,
            handed_over: false,
        })
        .collect();
    let used = shared.time_used(route, wait);
    let mut margin = ANSWER_MARGIN + used;
    if origin.first {
        margin += CONNECT_MARGIN;
    }
    let least = route.objective.mul_f64(LEAST_OBJECTIVE_SHARE);
    let deadline = passed.deadline.checked_sub(DEADLINE_MARGIN)?;
    let answer_by = origin.arrived + route.objective.saturating_sub(margin).max(least);
    let (_, hedge_delay) = shared.latency(route);
    Some(fanout::Request {
        shards,
        repeat: route.repeat,
        minimum,
        max_leafs: route.max_leafs,
        hedge_delay: (route.repeat == Repeat::Idempotent).then_some(hedge_delay),
        refuse_by: origin.arrived + route.objective.mul_f64(REFUSAL_SHARE),
        answer_by: answer_by.min(deadline),
        deadline,
    })
}

/// Decides which shards of a query other instances ask.
fn hand_over(shared: &Shared, route: &Route, request: &mut fanout::Request) -> Vec<Group> {
    let Target::Shards(scope) = &route.target else {
        return Vec::new();
    };
    let groups = shared.instances.borrow().assign(
        &shared.fleet.borrow(),
        &scope.shards,
        shared.now(),
        shared.jitter(),
    );
    for shard in groups.iter().flat_map(|group| &group.shards) {
        request.shards[*shard].handed_over = true;
    }
    groups
}

/// Restricts a query to the shards that another instance has handed over. Any of them makes an
/// answer, and an answer that is not due in time is no use.
fn restrict(request: &mut fanout::Request, ticket: &Ticket, arrived: Instant) {
    let mut position = 0;
    request.shards.retain(|_| {
        position += 1;
        ticket.shards.contains(&(position - 1))
    });
    request.minimum = 0.0;
    request.answer_by = arrived + ticket.due_in.saturating_sub(HANDOVER_MARGIN);
    request.deadline = request.deadline.min(request.answer_by);
}

/// What came of a request.
struct Finished {
    ended: Instant,
    verdict: Verdict,
    fanout: Fanout,
    parts: Vec<Response<Bytes>>,
    failure: Option<Response<Bytes>>,
}

async fn run(
    shared: &Rc<Shared>,
    passed: &Rc<Passed>,
    request: fanout::Request,
    version: u64,
    groups: Vec<Group>,
) -> Finished {
    let mut handovers: FuturesUnordered<_> = groups
        .into_iter()
        .map(|group| handover::start(shared, passed, version, group, request.answer_by))
        .collect();
    let (expected, _) = shared.latency(&passed.route);
    let mut parts = Vec::with_capacity(request.shards.len());
    let mut failure = None;
    let (mut fanout, mut sends) = with_context(shared, |context| Fanout::start(request, context));
    let mut calls = FuturesUnordered::new();
    let timer = tokio::time::sleep_until(fanout.next_timer().into());
    tokio::pin!(timer);
    let verdict = loop {
        for send in sends.drain(..) {
            calls.push(call::start(shared, passed, send, expected));
        }
        if let Some(verdict) = fanout.verdict(shared.now()) {
            break verdict;
        }
        let next = fanout.next_timer().into();
        if timer.deadline() != next {
            timer.as_mut().reset(next);
        }
        tokio::select! {
            biased;
            Some(end) = calls.next() => {
                on_end(shared, &mut fanout, end, &mut sends, &mut parts, &mut failure);
            }
            Some(end) = handovers.next() => {
                on_handover_end(shared, &mut fanout, end, &mut sends, &mut parts);
            }
            () = &mut timer => {
                with_context(shared, |context| fanout.on_timer(context, &mut sends));
            }
        }
    };
    if !calls.is_empty() && fanout.coverage().answered > 0 {
        tokio::task::spawn_local(async move {
            // Whatever they return, the calls are only finished for their connections.
            let _ = tokio::time::timeout(LINGER, calls.for_each(|_| std::future::ready(()))).await;
        });
    }
    Finished {
        ended: shared.now(),
        verdict,
        fanout,
        parts,
        failure,
    }
}

fn on_end(
    shared: &Shared,
    fanout: &mut Fanout,
    end: End,
    sends: &mut Vec<Send>,
    parts: &mut Vec<Response<Bytes>>,
    failure: &mut Option<Response<Bytes>>,
) {
    let before = fanout.coverage().answered;
    with_context(shared, |context| {
        fanout.on_outcome(end.shard, end.leaf, end.outcome, context, sends);
    });
    match end.outcome {
        Outcome::Part if fanout.coverage().answered > before => parts.extend(end.answer),
        Outcome::Failed => *failure = end.answer.or(failure.take()),
        Outcome::Part | Outcome::NotRun | Outcome::Unsent => {}
    }
}

fn on_handover_end(
    shared: &Shared,
    fanout: &mut Fanout,
    end: handover::End,
    sends: &mut Vec<Send>,
    parts: &mut Vec<Response<Bytes>>,
) {
    parts.extend(end.answer);
    with_context(shared, |context| {
        for shard in end.shards {
            let outcome = if end.answered.contains(&shard) {
                Outcome::Part
            } else {
                end.rest
            };
            fanout.on_handed_over(shard, outcome, context, sends);
        }
    });
}

fn with_context<T, F>(shared: &Shared, decide: F) -> T
where
    F: FnOnce(&mut Context<'_>) -> T,
{
    let fleet = shared.fleet.borrow();
    let mut allowances = shared.allowances.borrow_mut();
    decide(&mut Context {
        now: shared.now(),
        fleet: &fleet,
        allowances: &mut allowances,
        jitter: shared.jitter(),
    })
}

impl Finished {
    /// Returns the answer to a handover, which also tells which shards it holds.
    fn respond_to_instance(
        self,
        plan: &Plan,
        passed: &Passed,
        origin: Origin,
        ticket: &Ticket,
    ) -> Response<Full<Bytes>> {
        let answered: Vec<usize> = self
            .fanout
            .answered()
            .filter_map(|position| ticket.shards.get(position).copied())
            .collect();
        let mut response = self.respond(plan, passed, origin);
        if let Some(answered) = handover::answered(&answered) {
            response.headers_mut().insert(handover::HEADER, answered);
        }
        response
    }

    fn respond(self, plan: &Plan, passed: &Passed, origin: Origin) -> Response<Full<Bytes>> {
        let elapsed = self.ended.saturating_duration_since(origin.arrived);
        let (hedges, retries) = self.fanout.extra_calls();
        let outcome = self.outcome(passed, elapsed);
        metrics::counter!("camphorhold_requests_total", "outcome" => outcome).increment(1);
        metrics::histogram!("camphorhold_request_seconds").record(elapsed.as_secs_f64());
        metrics::counter!("camphorhold_hedges_total").increment(hedges.into());
        metrics::counter!("camphorhold_retries_total").increment(retries.into());
        if outcome != "answered" {
            self.log(plan, passed, outcome, elapsed);
        }
        match self.verdict {
            Verdict::Answer(coverage) => answer(passed, self.parts, coverage),
            Verdict::GiveUp {
                reason,
                may_have_run,
                ..
            } => give_up(
                passed,
                self.failure,
                reason,
                may_have_run && passed.sent.get(),
            ),
        }
    }

    fn outcome(&self, passed: &Passed, elapsed: Duration) -> &'static str {
        match self.verdict {
            Verdict::Answer(_) if elapsed > passed.route.objective => "late",
            Verdict::Answer(coverage) if coverage.is_complete() => "answered",
            Verdict::Answer(_) => "partial",
            Verdict::GiveUp {
                may_have_run: false,
                ..
            } => "refused",
            Verdict::GiveUp {
                reason: Reason::TimedOut,
                ..
            } => "timed_out",
            Verdict::GiveUp {
                reason: Reason::Unavailable,
                ..
            } => "failed",
        }
    }

    fn log(&self, plan: &Plan, passed: &Passed, outcome: &str, elapsed: Duration) {
        let id = passed.headers.get(header::REQUEST_ID);
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or("");
        let coverage = self.fanout.coverage();
        let (hedges, retries) = self.fanout.extra_calls();
        let missing: Vec<&str> = self.fanout.missing().take(5).collect();
        log::info!(
            request = id,
            route = &*passed.route.name,
            outcome = outcome,
            answered = coverage.answered,
            in_scope = coverage.in_scope,
            elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
            hedges = hedges,
            retries = retries,
            missing = missing.join(","),
            config_version = plan.version();
            "request ended"
        );
    }
}

fn answer(
    passed: &Passed,
    mut parts: Vec<Response<Bytes>>,
    coverage: Coverage,
) -> Response<Full<Bytes>> {
    if let Target::Shards(scope) = &passed.route.target {
        return merge::respond(&parts, coverage, scope.top);
    }
    match parts.pop() {
        Some(part) => forward(part),
        None => plain(StatusCode::BAD_GATEWAY),
    }
}

/// Returns a leaf's answer unchanged, but for headers that concern one connection.
fn forward(answer: Response<Bytes>) -> Response<Full<Bytes>> {
    let (mut head, body) = answer.into_parts();
    head.headers = end_to_end(head.headers);
    head.version = hyper::Version::HTTP_11;
    Response::from_parts(head, Full::new(body))
}

fn give_up(
    passed: &Passed,
    failure: Option<Response<Bytes>>,
    reason: Reason,
    may_have_run: bool,
) -> Response<Full<Bytes>> {
    if !may_have_run {
        return refuse(passed.route.objective.mul_f64(RETRY_AFTER_SHARE));
    }
    let is_query = matches!(passed.route.target, Target::Shards(_));
    match failure {
        Some(failure) if !is_query && !says_not_run(failure.status()) => {
            if failure.status().is_success() {
                // The body is not the leaf's, so neither may the status be.
                plain(StatusCode::BAD_GATEWAY)
            } else {
                forward(failure)
            }
        }
        _ if reason == Reason::TimedOut => plain(StatusCode::GATEWAY_TIMEOUT),
        _ => plain(StatusCode::BAD_GATEWAY),
    }
}

/// Tells whether callers take a status as a promise that the request has not run.
fn says_not_run(status: StatusCode) -> bool {
    [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ]
    .contains(&status)
}

fn refuse(pause: Duration) -> Response<Full<Bytes>> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
    if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", pause.as_secs_f64())) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
