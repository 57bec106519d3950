//! The server for callers, and the path of a request through this instance.

mod answer;
mod calls;
mod gate;
mod lanes;
mod once;
mod run;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use camphorhold::coordination::admission::Offer;
use camphorhold::coordination::pin;
use camphorhold::coordination::pin::Pin;
use camphorhold::coordination::query;
use camphorhold::protocol::caller::AnswerBody;
use camphorhold::protocol::caller::MAX_REQUEST_BYTES;
use camphorhold::protocol::caller::Outcome;
use camphorhold::protocol::caller::Request as CallerRequest;
use camphorhold::protocol::caller::RequestBody;
use camphorhold::protocol::instance;
use camphorhold::protocol::peer;
use camphorhold::state::event::Kind;
use camphorhold::state::event::Reason;
use camphorhold::state::event::Subject;
use camphorhold::state::file::File;
use camphorhold::state::file::Service;
use camphorhold::state::id::Fingerprint;
use camphorhold::state::id::RequestId;
use camphorhold::state::id::ShardId;
use camphorhold::state::id::VersionName;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold::state::time::unix_millis;
use camphorhold::state::view::View;
use camphorhold::transport::peer::Forwarder;
use serde::Serialize;
use thiserror::Error;
use volo_http::http::HeaderValue;
use volo_http::http::StatusCode;
use volo_http::http::header;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Router;
use volo_http::server::route::post;

use self::answer::Refusal;
use self::calls::Sender;
use self::gate::Gates;
use self::gate::Permit;
use self::lanes::Lanes;
use self::once::Windows;
use crate::canary;
use crate::canary::Canaries;
use crate::canary::Permission;
use crate::control::Handle;
use crate::http::BodyError;
use crate::http::empty;
use crate::http::json;
use crate::http::read_body;
use crate::leaf::Pool;
use crate::timeline::Recorder;

/// The path of callers' requests.
const QUERY_PATH: &str = "/v1/query";

/// What a caller whose request was not run is told to wait before the next try, in seconds.
const RETRY_AFTER: HeaderValue = HeaderValue::from_static("1");

/// The most leaf calls that a version's leafs are offered per slot.
const CALLS_PER_SLOT: u32 = 1;

/// Everything that a request passes through at this instance.
pub struct Entry {
    control: Handle,
    lanes: Lanes,
    gates: Gates,
    windows: Windows,
    canaries: Arc<Canaries>,
    sender: Arc<Sender>,
    recorder: Arc<Recorder>,
    takes_work: AtomicBool,
    in_flight: AtomicU64,
}

/// The body of a response to a request that makes no sense.
#[derive(Serialize)]
struct Rejection {
    error: Box<str>,
}

/// Counts a request while it is in flight.
struct InFlight<'a>(&'a AtomicU64);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Routes callers' requests.
pub fn router(entry: Arc<Entry>) -> Router {
    let handler = move |request: Request| {
        let entry = Arc::clone(&entry);
        async move { serve(&entry, request).await }
    };
    Router::new().route(QUERY_PATH, post(handler))
}

/// Serves a caller.
async fn serve(entry: &Arc<Entry>, request: Request) -> Response {
    let body = match read_request(request).await {
        Ok(body) => body,
        Err(error) => return error.into(),
    };
    let entry = Arc::clone(entry);
    // The request goes on when its caller goes, so that its calls are accounted for.
    let task = tokio::spawn(async move { entry.handle(body, 1).await });
    task.await
        .unwrap_or_else(|_| empty(StatusCode::INTERNAL_SERVER_ERROR))
}

/// Serves another instance that is not the owner of the request's idempotency key.
pub async fn serve_once(entry: &Arc<Entry>, request: Request) -> Response {
    let body = match read_request(request).await {
        Ok(body) => body,
        Err(error) => return error.into(),
    };
    let entry = Arc::clone(entry);
    let task = tokio::spawn(async move { entry.handle(body, 0).await });
    task.await
        .unwrap_or_else(|_| empty(StatusCode::INTERNAL_SERVER_ERROR))
}

/// Why a request cannot be read.
#[derive(Debug, Error)]
enum ReadError {
    /// The body did not arrive.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The body is no request.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

impl From<ReadError> for Response {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::Body(BodyError::TooLong) => reject(StatusCode::PAYLOAD_TOO_LARGE, &error),
            ReadError::Body(BodyError::Incomplete) | ReadError::Json(_) => {
                reject(StatusCode::BAD_REQUEST, &error)
            }
        }
    }
}

async fn read_request(request: Request) -> Result<RequestBody, ReadError> {
    let body = read_body(request.into_body(), MAX_REQUEST_BYTES).await?;
    Ok(serde_json::from_slice(&body)?)
}

fn reject(status: StatusCode, error: &impl std::fmt::Display) -> Response {
    metrics::counter!("camphorhold_requests_invalid_total").increment(1);
    let error = error.to_string().into();
    json(status, &Rejection { error })
}

impl Entry {
    pub fn new(
        control: Handle,
        leafs: Arc<Pool>,
        canaries: Arc<Canaries>,
        recorder: Arc<Recorder>,
    ) -> Self {
        let sender = Sender {
            leafs,
            forwarder: Forwarder::default(),
            recorder: Arc::clone(&recorder),
        };
        Self {
            control,
            lanes: Lanes::default(),
            gates: Gates::default(),
            windows: Windows::default(),
            canaries,
            sender: Arc::new(sender),
            recorder,
            takes_work: AtomicBool::new(true),
            in_flight: AtomicU64::new(0),
        }
    }

    /// Follows the control thread's views, for as long as it lives.
    pub async fn follow(self: Arc<Self>) {
        let mut views = self.control.views();
        loop {
            let view = views.borrow_and_update().clone();
            if let Some(file) = &view.file {
                self.gates.update(file);
                self.lanes.update(&view);
                self.set_capacities(file);
            }
            if views.changed().await.is_err() {
                return;
            }
        }
    }

    /// Refuses waiting requests in time, for as long as the process lives.
    pub async fn run_timers(self: Arc<Self>) {
        self.gates.run_timers().await;
    }

    /// Refuses new requests from now on.
    pub fn refuse_new_work(&self) {
        self.takes_work.store(false, Ordering::Relaxed);
    }

    /// Counts the requests of callers that have not been answered.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Relaxed)
    }

    fn set_capacities(&self, file: &File) {
        for (name, service) in &file.services {
            let version = service.serving.clone();
            let Some(lane) = self.lanes.get(name, &version) else {
                continue;
            };
            let slots = lanes::lock(&lane).usable() * service.slots.0 * CALLS_PER_SLOT;
            self.gates.set_capacity(name, slots);
        }
    }

    async fn handle(&self, mut body: RequestBody, hops: u32) -> Response {
        // The id goes along when the request is forwarded.
        let id = body
            .request_id
            .get_or_insert_with(|| RequestId(rand::random()).to_string());
        log::trace!("request {id}");
        let request = match CallerRequest::try_from(body.clone()) {
            Ok(request) => request,
            Err(error) => return reject(StatusCode::BAD_REQUEST, &error),
        };
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let _in_flight = InFlight(&self.in_flight);
        if let Some(response) = self.obstacle(&request) {
            return response;
        }
        let subject = Subject {
            request: request.request_id,
            service: Some(request.service.clone()),
            ..Subject::default()
        };
        self.recorder
            .record(Kind::RequestAdmitted {}, subject.clone());
        let answer = match &request.idempotency {
            Some(idempotency) => once::run(self, &body, &request, idempotency, hops).await,
            None => self.search(&request, true).await,
        };
        self.note(&answer, subject);
        respond(&answer)
    }

    /// Checks a request against the file in force. Returns a response if it does not run.
    fn obstacle(&self, request: &CallerRequest) -> Option<Response> {
        let id = request.request_id.unwrap_or_default();
        let refuse = |refusal: &Refusal| {
            // An earlier send of a request with a key may have run.
            let answer = match request.idempotency {
                None => answer::not_run(id, refusal),
                Some(_) => answer::unknown(id, refusal),
            };
            Some(respond(&answer))
        };
        if !self.takes_work.load(Ordering::Relaxed) {
            return refuse(&Refusal::ShuttingDown);
        }
        let view = self.control.view();
        if !view.may_act(SystemClock.now()) {
            return refuse(&Refusal::CurrencyLost);
        }
        let Some(file) = &view.file else {
            return refuse(&Refusal::NoFile);
        };
        let Some(service) = file.services.get(&request.service) else {
            return Some(reject(StatusCode::NOT_FOUND, &"the service is unknown"));
        };
        let permitted = service.tenants.is_empty() || service.tenants.contains(&request.tenant);
        if !file.tenants.contains_key(&request.tenant) || !permitted {
            let error = "the tenant may not call the service";
            return Some(reject(StatusCode::FORBIDDEN, &error));
        }
        let known = |shard: &ShardId| shard.0 < service.shards;
        match &request.scope {
            Some(scope) if scope.is_empty() || !scope.iter().all(known) => {
                let error = format!("scope must name shards from 0 to {}", service.shards - 1);
                Some(reject(StatusCode::BAD_REQUEST, &error))
            }
            _ => None,
        }
    }

    /// Runs a checked request.
    async fn search(&self, request: &CallerRequest, idempotent: bool) -> AnswerBody {
        let id = request.request_id.unwrap_or_default();
        let view = self.control.view();
        let service = view
            .file
            .as_ref()
            .and_then(|file| file.services.get(&request.service));
        let Some(service) = service else {
            return answer::not_run(id, &Refusal::NoFile);
        };
        let limit = time_limit(&view, request);
        let started = SystemClock.now();
        let plan = Plan {
            deadline: started + limit,
            deadline_wall: SystemClock.wall() + limit,
            version: service.serving.clone(),
            scope: scope(request, service),
            idempotent,
        };
        let mut permit = match self.admit(request, service, &plan).await {
            Ok(permit) => permit,
            Err(answer) => return answer,
        };
        let canary = match self.try_out(request, service, &plan).await {
            Ok(canary) => canary,
            Err(answer) => return answer,
        };
        let finished = self.run(request, service, &plan, canary).await;
        if let Some(fingerprint) = canary {
            let outcome = canary_outcome(finished.as_ref().ok());
            self.canaries.finish(fingerprint, outcome).await;
        }
        match finished {
            Ok(finished) => {
                permit.measured(finished.measurement);
                let duration = SystemClock.now().saturating_duration_since(started);
                answer::from_query(id, finished.answer, duration)
            }
            Err(answer) => answer,
        }
    }

    async fn admit(
        &self,
        request: &CallerRequest,
        service: &Service,
        plan: &Plan,
    ) -> Result<Permit, AnswerBody> {
        let id = request.request_id.unwrap_or_default();
        let found = self.gates.get(&request.service, &request.tenant);
        let (gate, tenant) = found.ok_or_else(|| answer::not_run(id, &Refusal::NoFile))?;
        let offer = Offer {
            tenant,
            deadline: plan.deadline,
            worth: request.worth.unwrap_or(service.worth),
            cost: u32::try_from(plan.scope.len()).unwrap_or(u32::MAX),
        };
        gate.enter(&offer)
            .await
            .map_err(|refusal| answer::not_run(id, &refusal))
    }

    /// Decides whether the request runs on one leaf first.
    async fn try_out(
        &self,
        request: &CallerRequest,
        service: &Service,
        plan: &Plan,
    ) -> Result<Option<Fingerprint>, AnswerBody> {
        if !service.canary {
            return Ok(None);
        }
        let id = request.request_id.unwrap_or_default();
        let fingerprint = canary::fingerprint(&request.service, &request.route, &request.query);
        match self.canaries.admit(fingerprint, plan.deadline).await {
            Permission::Free => Ok(None),
            Permission::Canary(fingerprint) => Ok(Some(fingerprint)),
            Permission::Blocked(fingerprint) => {
                metrics::counter!("camphorhold_poison_refusals_total").increment(1);
                let kind = Kind::PoisonBlocked { fingerprint };
                let subject = Subject {
                    request: Some(id),
                    ..Subject::default()
                };
                self.recorder.record(kind, subject);
                Err(answer::not_run(id, &Refusal::Poison))
            }
            Permission::TooLate => Err(answer::not_run(id, &Refusal::CanaryRuns)),
        }
    }

    async fn run(
        &self,
        request: &CallerRequest,
        service: &Service,
        plan: &Plan,
        canary: Option<Fingerprint>,
    ) -> Result<run::Finished, AnswerBody> {
        let id = request.request_id.unwrap_or_default();
        let lane = self.lanes.get(&request.service, &plan.version);
        let lane = lane.ok_or_else(|| answer::not_run(id, &Refusal::NoFile))?;
        let (pin, query_id) = {
            let mut lane = lanes::lock(&lane);
            let pin = pin::choose(lane.replicas(), service.partition, &plan.scope)
                .map_err(|error| answer::not_run(id, &error))?
                .pin;
            (pin, lane.next_query())
        };
        let decision = query::Request {
            id: query_id,
            pin,
            scope: &plan.scope,
            deadline: plan.deadline,
            idempotent: plan.idempotent,
            hedging: service.hedging,
            minimum: service.partial.minimum,
            patience: service.partial.patience,
            canary,
        };
        let wire = wire_query(request, plan, pin);
        let sender = Arc::clone(&self.sender);
        Ok(run::run(&decision, wire, lane, sender, &self.control).await)
    }

    fn note(&self, answer: &AnswerBody, subject: Subject) {
        let outcome = match answer.outcome {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
        };
        metrics::counter!("camphorhold_requests_total", "outcome" => outcome).increment(1);
        metrics::histogram!("camphorhold_request_seconds").record(answer.server_time_ms / 1000.0);
        let kind = match answer.outcome {
            Outcome::Answered => Kind::RequestAnswered {
                answered: answer.coverage.answered,
                in_scope: answer.coverage.in_scope,
            },
            Outcome::NotRun | Outcome::Unknown => Kind::RequestRefused {
                reason: Reason(answer.reason.clone().unwrap_or_default()),
            },
        };
        self.recorder.record(kind, subject);
    }
}

/// What was settled when a request began.
struct Plan {
    deadline: std::time::Instant,
    deadline_wall: std::time::SystemTime,
    version: VersionName,
    scope: Vec<ShardId>,
    idempotent: bool,
}

/// Returns how long a request may take.
fn time_limit(view: &View, request: &CallerRequest) -> Duration {
    let file = view.file.as_ref();
    let service = file.and_then(|file| file.services.get(&request.service));
    let longest = service.map_or(Duration::ZERO, |service| service.deadline);
    request
        .deadline
        .map_or(longest, |deadline| deadline.min(longest))
}

fn scope(request: &CallerRequest, service: &Service) -> Vec<ShardId> {
    match &request.scope {
        Some(scope) => scope.clone(),
        None => (0..service.shards).map(ShardId).collect(),
    }
}

fn wire_query(request: &CallerRequest, plan: &Plan, pin: Pin) -> peer::Query {
    let hop = query::HOP_MARGIN;
    peer::Query {
        request_id: request.request_id.unwrap_or_default(),
        service: request.service.clone(),
        version: plan.version.clone(),
        route: request.route.clone(),
        snapshot: pin.snapshot,
        partition: pin.partition,
        query: request.query.clone(),
        deadline_unix_ms: unix_millis(
            plan.deadline_wall
                .checked_sub(hop)
                .unwrap_or(plan.deadline_wall),
        ),
        idempotency_key: request.idempotency.as_ref().map(|once| once.key.clone()),
    }
}

/// Tells the fingerprint's owner how the canary ended. A request that timed out has not lost its
/// connection, so its server has not crashed under it.
fn canary_outcome(finished: Option<&run::Finished>) -> instance::Outcome {
    match finished {
        Some(finished) if finished.canary_crashed => instance::Outcome::Crashed,
        Some(finished) => match finished.answer.outcome {
            query::Outcome::Answered => instance::Outcome::Ok,
            query::Outcome::NotRun(_) | query::Outcome::Unknown(_) => instance::Outcome::Survived,
        },
        None => instance::Outcome::Survived,
    }
}

fn respond(answer: &AnswerBody) -> Response {
    match answer.outcome {
        Outcome::Answered => json(StatusCode::OK, answer),
        Outcome::NotRun => {
            let mut response = json(StatusCode::SERVICE_UNAVAILABLE, answer);
            response
                .headers_mut()
                .insert(header::RETRY_AFTER, RETRY_AFTER);
            response
        }
        Outcome::Unknown => json(StatusCode::GATEWAY_TIMEOUT, answer),
    }
}
