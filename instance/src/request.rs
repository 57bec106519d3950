//! Handles one request, from its head to its response.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use camphorhold::coordination::serving::fanout;
use camphorhold::coordination::serving::fanout::Shard;
use camphorhold::coordination::serving::fanout::ShardAssignment;
use camphorhold::coordination::serving::instances::HandoverRole;
use camphorhold::coordination::serving::instances::ShardGroup;
use camphorhold::state::plan::CallSemantics;
use camphorhold::state::plan::Plan;
use camphorhold::state::plan::Route;
use camphorhold::state::plan::Target;
use camphorhold::transport::body;
use camphorhold::transport::client::Connection;
use camphorhold_platform::header;
use http_body_util::Full;
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
use hyper::header::PROXY_AUTHENTICATE;
use hyper::header::PROXY_AUTHORIZATION;
use hyper::header::TE;
use hyper::header::TRAILER;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;

use crate::answer::close_after;
use crate::answer::closing_response;
use crate::answer::empty_response;
use crate::answer::refuse;
use crate::answer::retry_after;
use crate::call::ForwardedRequest;
use crate::call::request_id;
use crate::crashes;
use crate::customer;
use crate::feed;
use crate::gather;
use crate::handover;
use crate::handover::HandoverRequest;
use crate::handover::Query;
use crate::refusal::skip_unavailable_shards;
use crate::relay;
use crate::shard_queue;
use crate::shared::Shared;
use crate::tokens;
use crate::usage;

/// Headers that are not forwarded: the hop-by-hop ones, and `Expect`, because the instance reads
/// the whole body before it calls a leaf.
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

/// Subtracted from the latency objective: the network round trip between the caller and this
/// instance, and the time to write the answer. Both count in the caller's latency.
const ANSWER_MARGIN: Duration = Duration::from_millis(12);

/// Subtracted in addition for the first request on a connection: its caller has spent one more
/// round trip to connect.
const CONNECT_MARGIN: Duration = Duration::from_millis(6);

/// Subtracted from the due time of a handover between failure domains: the round trip, and the work
/// of the instance that handed the query over.
const HANDOVER_MARGIN: Duration = Duration::from_millis(5);

/// The same for a handover within the failure domain.
const OWNER_MARGIN: Duration = Duration::from_millis(3);

/// The processor time between the due time of a coordinator and the last byte of its answer: it
/// ends its handovers, merges the answers and writes the result. A small instance takes many times
/// as long.
const COORDINATOR_WORK: Duration = Duration::from_micros(600);

/// The smallest capacity in cores for which a margin is computed.
const MIN_CAPACITY: f64 = 0.05;

/// How long before the caller stops waiting the final answer is sent.
const DEADLINE_MARGIN: Duration = Duration::from_millis(15);

/// The smallest share of the latency objective that a request gets, even if its caller has used up
/// the objective: a late answer is still useful.
const MIN_OBJECTIVE_SHARE: f64 = 0.5;

/// The share of the latency objective after which a request is refused if no call could be sent.
const REFUSAL_SHARE: f64 = 0.2;

/// When callers that are refused by a stopping instance should try again. Others can serve them.
const STOPPING_PAUSE: Duration = Duration::from_millis(10);

/// When callers should try again for which there is no memory. A body takes about as long.
const NO_MEMORY_PAUSE: Duration = Duration::from_millis(100);

/// Who sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A caller, through the load balancer.
    Caller,
    /// Another instance, which hands over shards of a query.
    Instance,
    /// Another instance, which relays a whole request of a caller.
    Relay,
}

/// The sender of a request, and when and how the request arrived.
#[derive(Clone, Copy, Debug)]
pub struct Origin {
    /// Who sent the request.
    pub source: Source,
    /// When the first byte of its head arrived; if not recorded, when the head was parsed.
    pub arrived: Instant,
    /// Whether it is the first request on its connection.
    pub first: bool,
}

/// Counts a request in [`Shared::in_progress`] until it is dropped.
struct InProgress<'a>(&'a Shared);

impl<'a> InProgress<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.in_progress.set(shared.in_progress.get() + 1);
        Self(shared)
    }
}

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
    }
}

/// Answers a request. Errors are responses too: 404 if no route matches, 401 without the key of a
/// customer on a route that needs one, 409 for a handover that this instance refuses, 413 for a body
/// above the limit, 400 for a body that cannot be read, 503 if no leaf has run the request, and
/// otherwise 502, 504 or the error of the leaf.
pub async fn handle(
    shared: Rc<Shared>,
    request: Request<Incoming>,
    origin: Origin,
    client: &Connection,
) -> Response<Full<Bytes>> {
    let _in_progress = InProgress::new(&shared);
    let request = match origin.source {
        Source::Instance => match answer_message(&shared, request, client).await {
            Ok(response) => return response,
            Err(request) => request,
        },
        Source::Caller | Source::Relay => request,
    };
    serve(&shared, request, origin, client).await
}

/// Answers a request of a caller, or its part that another instance has handed over or relayed.
async fn serve(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
    mut origin: Origin,
    client: &Connection,
) -> Response<Full<Bytes>> {
    let plan = shared.wait_for_plan().await;
    let Some(plan) = plan else {
        return refuse_without_plan(request.headers(), origin.source);
    };
    let Some(route) = find_route(&plan, &request) else {
        return refuse_without_route(&plan, &request, origin.source);
    };
    if origin.source == Source::Caller && ends_within(shared, route.objective) {
        log::info!(request = request_id(request.headers()); "request refused: the process is about to end");
        return refuse(STOPPING_PAUSE);
    }
    if origin.source == Source::Instance
        && let Some(accepted) = relay::accept(shared, &plan, request.headers())
    {
        if !accepted {
            return relay::refusal();
        }
        origin.source = Source::Relay;
    }
    let handover_request = match origin.source {
        Source::Caller | Source::Relay => None,
        Source::Instance => match handover::accept(shared, &plan, &route, request.headers()) {
            Some(handover_request) => Some(handover_request),
            None => return empty_response(StatusCode::CONFLICT),
        },
    };
    let identity = customer::identify(shared, &plan, &route, request.headers(), origin.source);
    let identity = match identity {
        Ok(identity) => identity,
        Err(refusal) => return refusal.respond(),
    };
    let (head, body) = request.into_parts();
    let role = handover::role(&head.headers);
    let wait = caller_wait(&head.headers).unwrap_or(route.timeout);
    let deadline = origin.arrived + wait.min(route.timeout);
    let reading = body::read_request(body, plan.limits().body_bytes, client);
    let body = match tokio::time::timeout_at(deadline.into(), reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(body::Error::Refused(_))) => return refuse_client(shared, origin.source),
        Ok(Err(error)) => return refuse_body(&error),
        Err(_) => {
            log::info!(request = request_id(&head.headers), route = &*route.name; "request refused: its body did not arrive in time");
            return closing_response(StatusCode::REQUEST_TIMEOUT);
        }
    };
    let mut headers = end_to_end(head.headers);
    customer::replace_headers(&mut headers, identity.customer.as_deref());
    let forwarded = Rc::new(ForwardedRequest {
        method: head.method,
        uri: origin_form(&head.uri),
        headers,
        customer: identity.customer,
        priority: identity.priority,
        usage: usage::Tracker::new(origin.source),
        body,
        sent: Cell::new(false),
        deadline,
        route,
    });
    if origin.source == Source::Caller && shared.reachability.borrow().is_cut_off() {
        return relay::run(shared, &forwarded, &plan).await;
    }
    let positions = match (&forwarded.route.target, &handover_request) {
        (_, Some(handover_request)) => handover_request.shards.clone(),
        (Target::Shards(scope), None) => (0..scope.shards.len()).collect(),
        (Target::Service(_) | Target::Split(_), None) => vec![0],
    };
    let query = Query {
        version: plan.version(),
        positions,
    };
    let request = fanout_request(shared, &plan, &forwarded, &query.positions, wait, origin);
    let Some(request) = request else {
        return refuse(retry_after(&forwarded.route));
    };
    let Some(handover_request) = handover_request else {
        return serve_caller(shared, &plan, &forwarded, (request, query), wait, origin).await;
    };
    let handover = (handover_request, role);
    serve_instance(
        shared,
        &plan,
        &forwarded,
        (request, query),
        handover,
        origin,
    )
    .await
}

/// Answers a request of another instance, which hands over shards of a query.
async fn serve_instance(
    shared: &Rc<Shared>,
    plan: &Plan,
    forwarded: &Rc<ForwardedRequest>,
    (mut request, query): (fanout::Request, Query),
    (handover_request, role): (HandoverRequest, HandoverRole),
    origin: Origin,
) -> Response<Full<Bytes>> {
    let arrived = origin.arrived;
    limit_to_due_time(shared, &mut request, &handover_request, role, arrived);
    let groups = match role {
        HandoverRole::Caller | HandoverRole::Owner => Vec::new(),
        HandoverRole::Coordinator => assign_to_owners(shared, &mut request),
    };
    let queue = shard_queue::enter(shared, forwarded, &mut request);
    if queue.refused.len() == request.shards.len() {
        return handover::refuse(shared, forwarded, &handover_request);
    }
    let end = gather::run(shared, forwarded, request, query, groups, queue).await;
    if end.has_survivor {
        crashes::record_survival(shared, forwarded);
    }
    end.respond_to_instance(shared, plan, forwarded, origin, &handover_request)
}

/// Answers a message of another instance that is no request of a caller.
///
/// # Errors
///
/// Returns the request if it comes from a caller.
async fn answer_message(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
    client: &Connection,
) -> Result<Response<Full<Bytes>>, Request<Incoming>> {
    if request.headers().contains_key(tokens::HEADER) {
        Ok(tokens::serve(shared, request, client).await)
    } else if request.headers().contains_key(feed::HEADER) {
        Ok(feed::serve(shared, request.headers()).await)
    } else {
        Err(request)
    }
}

fn refuse_without_plan(headers: &HeaderMap, source: Source) -> Response<Full<Bytes>> {
    log::info!(request = request_id(headers); "request refused: no configuration yet");
    if source == Source::Caller {
        refuse(Duration::from_millis(100))
    } else {
        // Says that no leaf was called, so that the sender asks another instance or a leaf.
        relay::refusal()
    }
}

fn refuse_without_route(
    plan: &Plan,
    request: &Request<Incoming>,
    source: Source,
) -> Response<Full<Bytes>> {
    if source != Source::Caller {
        return relay::refusal();
    }
    log::info!(request = request_id(request.headers()), path = request.uri().path(), config_version = plan.version(); "request answered with 404: no route matches its host and path");
    empty_response(StatusCode::NOT_FOUND)
}

fn refuse_body(error: &body::Error) -> Response<Full<Bytes>> {
    closing_response(match error {
        body::Error::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
        body::Error::Broken(_) => StatusCode::BAD_REQUEST,
        body::Error::Refused(_) => StatusCode::SERVICE_UNAVAILABLE,
    })
}

/// Refuses a request that was not started because of what clients make this instance hold. Its rest is
/// not read, so the connection closes.
pub fn refuse_client(shared: &Shared, source: Source) -> Response<Full<Bytes>> {
    metrics::counter!("camphorhold_requests_total", "outcome" => "no_memory").increment(1);
    log::debug!(config_version = shared.plan_version(); "request refused: no memory for its client");
    refuse_and_close(source)
}

/// Refuses a request that was sent before the answer to the one before, while callers that wait for
/// their answers are refused.
pub fn refuse_ahead(shared: &Shared, source: Source) -> Response<Full<Bytes>> {
    metrics::counter!("camphorhold_requests_total", "outcome" => "gave_way").increment(1);
    log::debug!(config_version = shared.plan_version(); "request refused: it was sent ahead of its turn");
    refuse_and_close(source)
}

fn refuse_and_close(source: Source) -> Response<Full<Bytes>> {
    let response = match source {
        Source::Caller => refuse(NO_MEMORY_PAUSE),
        Source::Instance | Source::Relay => relay::refusal(),
    };
    close_after(response)
}

/// Answers a request of a caller, which may have been relayed by another instance.
async fn serve_caller(
    shared: &Rc<Shared>,
    plan: &Plan,
    forwarded: &Rc<ForwardedRequest>,
    (mut request, query): (fanout::Request, Query),
    wait: Duration,
    origin: Origin,
) -> Response<Full<Bytes>> {
    if let Err(pause) = skip_unavailable_shards(shared, forwarded, &mut request, wait) {
        return refuse(pause);
    }
    let attempt = match crashes::admit(shared, forwarded, origin.arrived).await {
        Ok(attempt) => attempt,
        Err(pause) => return refuse(pause),
    };
    request.is_suspect = attempt.needs_canary();
    let groups = if request.is_suspect {
        Vec::new()
    } else {
        assign_handovers(shared, &forwarded.route, &mut request)
    };
    let queue = shard_queue::enter(shared, forwarded, &mut request);
    let end = gather::run(shared, forwarded, request, query, groups, queue).await;
    attempt.end(&end);
    if origin.source == Source::Caller
        && !forwarded.sent.get()
        && shared.reachability.borrow().is_cut_off()
    {
        return relay::run(shared, forwarded, plan).await;
    }
    end.respond(plan, forwarded, origin)
}

/// Returns whether requests that are in progress after `time` will get no answer from a leaf, because
/// the process ends.
fn ends_within(shared: &Shared, time: Duration) -> bool {
    let due = shared.answers_due_at.get();
    due.is_some_and(|due| due.saturating_duration_since(shared.now()) < time)
}

fn find_route(plan: &Plan, request: &Request<Incoming>) -> Option<Arc<Route>> {
    let host_header = request
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok());
    let host = request
        .uri()
        .authority()
        .map(hyper::http::uri::Authority::as_str)
        .or(host_header)?;
    plan.route(host, request.uri().path()).cloned()
}

fn caller_wait(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(header::DEADLINE_MS)?.to_str().ok()?;
    value.trim().parse().ok().map(Duration::from_millis)
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}

/// Removes the headers in [`HOP_HEADERS`], those that `Connection` names, `Content-Length` and those
/// of messages between instances.
pub fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    headers.remove(handover::HEADER);
    headers.remove(handover::ROLE_HEADER);
    headers.remove(handover::DIGEST_HEADER);
    headers.remove(relay::HEADER);
    headers.remove(tokens::HEADER);
    headers.remove(feed::HEADER);
    for name in HOP_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
    headers
}

/// Builds the fan-out of a request: its shards, its limits and its times. `positions` holds the
/// positions of a query's shards in the scope of the route. Returns `None` if no service can be
/// chosen or the deadline is out of range.
fn fanout_request(
    shared: &Shared,
    plan: &Plan,
    forwarded: &ForwardedRequest,
    positions: &[usize],
    wait: Duration,
    origin: Origin,
) -> Option<fanout::Request> {
    let route = &forwarded.route;
    let (services, min_coverage) = match &route.target {
        Target::Service(service) => (vec![service.clone()], 1.0),
        Target::Split(_) => (vec![shared.next_service(route)?], 1.0),
        Target::Shards(scope) => {
            let shards = positions
                .iter()
                .filter_map(|position| scope.shards.get(*position).cloned());
            (shards.collect(), scope.min_coverage)
        }
    };
    let shards = services
        .into_iter()
        .map(|service| Shard {
            limits: Shared::leaf_limits(plan, &service),
            service,
            assignment: ShardAssignment::Local,
        })
        .collect();
    let used = shared.time_used(route, wait);
    let mut margin = ANSWER_MARGIN + used;
    if origin.first {
        margin += CONNECT_MARGIN;
    }
    let min_time = route.objective.mul_f64(MIN_OBJECTIVE_SHARE);
    let deadline = forwarded.deadline.checked_sub(DEADLINE_MARGIN)?;
    let answer_by = origin.arrived + route.objective.saturating_sub(margin).max(min_time);
    let answer_by = answer_by.min(deadline);
    let (_, hedge_delay) = shared.latency(route);
    Some(fanout::Request {
        shards,
        started: origin.arrived,
        limits_concurrency: origin.source != Source::Instance
            && matches!(route.target, Target::Shards(_)),
        semantics: route.semantics,
        min_coverage,
        max_leafs: route.max_leafs,
        is_suspect: false,
        permits_canary: true,
        hedge_delay: (route.semantics == CallSemantics::Idempotent).then_some(hedge_delay),
        refuse_by: origin.arrived + route.objective.mul_f64(REFUSAL_SHARE),
        answer_by,
        deadline,
    })
}

/// Selects the shards of a query that are handed over to other instances, and groups them by
/// instance.
fn assign_handovers(
    shared: &Shared,
    route: &Route,
    request: &mut fanout::Request,
) -> Vec<ShardGroup> {
    if !matches!(route.target, Target::Shards(_)) {
        return Vec::new();
    }
    let now = shared.now();
    let instances = shared.instances.borrow();
    let fleet = shared.fleet.borrow();
    let scarce = request
        .shards
        .first()
        .is_some_and(|shard| fleet.connections_are_scarce(shard.limits));
    let mut groups = if scarce {
        instances.assign_to_coordinators(&fleet, &local_shards(request), now)
    } else {
        instances.assign(&fleet, &local_shards(request), now, shared.jitter())
    };
    mark_handed_over(request, &groups);
    if scarce {
        drop(instances);
        groups.extend(assign_to_owners(shared, request));
    }
    groups
}

/// Divides the shards of a query that this instance has not handed over yet among their owners in
/// its failure domain.
fn assign_to_owners(shared: &Shared, request: &mut fanout::Request) -> Vec<ShardGroup> {
    let instances = shared.instances.borrow();
    let groups = instances.assign_to_owners(&local_shards(request), shared.now());
    mark_handed_over(request, &groups);
    groups
}

fn local_shards(request: &fanout::Request) -> Vec<(usize, &str)> {
    let shards = request.shards.iter().enumerate();
    shards
        .filter(|(_, shard)| shard.assignment == ShardAssignment::Local)
        .map(|(position, shard)| (position, &*shard.service))
        .collect()
}

fn mark_handed_over(request: &mut fanout::Request, groups: &[ShardGroup]) {
    for shard in groups.iter().flat_map(|group| &group.shards) {
        request.shards[*shard].assignment = ShardAssignment::HandedOver;
    }
}

/// Limits a query that another instance has handed over to the time when its answer is due: a later
/// one is not used. Any number of answered shards is enough.
fn limit_to_due_time(
    shared: &Shared,
    request: &mut fanout::Request,
    handover_request: &HandoverRequest,
    role: HandoverRole,
    arrived: Instant,
) {
    let margin = match role {
        HandoverRole::Owner => OWNER_MARGIN,
        HandoverRole::Caller => HANDOVER_MARGIN,
        HandoverRole::Coordinator => {
            HANDOVER_MARGIN + COORDINATOR_WORK.div_f64(shared.settings.capacity.max(MIN_CAPACITY))
        }
    };
    request.min_coverage = 0.0;
    request.permits_canary = role != HandoverRole::Caller;
    request.answer_by = arrived + handover_request.due_in.saturating_sub(margin);
    request.deadline = request.deadline.min(request.answer_by);
}
