//! One leaf: handles calls, cancellations, crashes and changes of its faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;

use hyper::StatusCode;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::Instant;
use volo_http::response::Response;
use volo_http::server::route::Router;
use volo_http::server::route::get;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Change;
use super::LeafConfig;
use super::message::Answer;
use super::message::Cancel;
use super::message::Health;
use super::message::Search;
use super::message::Status;
use super::message::Temperature;
use super::message::expected_hits;
use super::model::ColdStart;
use super::model::Fault;
use super::model::Lifecycle;
use super::model::Model;
use super::model::scale;
use crate::server::Admission;
use crate::server::Gate;
use crate::server::json as json_response;
use crate::server::lock;
use crate::server::post_json;
use crate::server::unanswered;

/// What a leaf has counted since it was created, also across crashes, and its present state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counters {
    /// The address that the leaf listens on.
    pub leaf: String,
    /// The service that it was configured with.
    pub service: String,
    /// The version that it was configured with.
    pub version: String,
    /// The shard that it was configured with.
    pub shard: u32,
    /// A random number that identifies the run of the leaf; a crash draws another one.
    pub incarnation: u64,
    /// Whether it is cold at the time of the reading.
    pub cold: bool,
    /// Calls received, including those not started.
    pub received: u64,
    /// The time of the last call, in milliseconds since the Unix epoch; 0 if there was none.
    pub last_received_unix_ms: u64,
    /// Calls received by `version/route`.
    pub requests: BTreeMap<String, u64>,
    /// Answers sent, by the status in snake case, for instance `not_started`.
    pub answers: BTreeMap<String, u64>,
    /// Calls that named another service, version or shard. They are answered as `failed`.
    pub misrouted: u64,
    /// Executions by idempotency key, counted at their start.
    pub executions: BTreeMap<String, u64>,
    /// Calls accepted and not yet answered, both running and waiting for a slot.
    pub in_flight: u32,
    /// The largest number of calls in flight.
    pub max_in_flight: u32,
    /// The largest number of calls in flight while cold.
    pub max_in_flight_cold: u32,
    /// Calls above the cold concurrency that arrived while the leaf was cold.
    pub violations: u64,
    /// Calls cancelled by `POST /cancel`, each counted once. Closed connections do not count.
    pub cancelled: u64,
    /// Crashes, caused by calls or requested by a change.
    pub crashes: u64,
    /// Connections accepted.
    pub connections_opened: u64,
    /// Connections open at the time of the reading.
    pub connections_open: u32,
    /// Connections reset at the limit, or because the leaf was gone or had crashed.
    pub connections_refused: u64,
}

pub(super) struct Leaf {
    config: LeafConfig,
    address: SocketAddr,
    model: Model,
    gate: Arc<Gate>,
    slots: Semaphore,
    state: Mutex<State>,
}

struct State {
    counters: Counters,
    fault: Fault,
    random: StdRng,
    incarnation: u64,
    /// When the leaf turned cold; `None` if it is warm.
    cold_since: Option<Instant>,
    /// Calls completed with success since the leaf turned cold.
    cold_answers: u32,
    /// Calls waiting for a slot.
    waiting: u32,
    snapshots: Vec<u64>,
    partition: u64,
    drain_answers: u32,
    /// Calls in flight, by the number that the leaf gave them.
    calls: BTreeMap<u64, Call>,
    next_call: u64,
}

struct Call {
    search: Search,
    cancel: watch::Sender<bool>,
}

/// A call in flight. Dropping it, after the answer or when the connection closes, removes it from
/// the leaf's state.
struct InFlight<'a> {
    leaf: &'a Leaf,
    number: u64,
    cancelled: watch::Receiver<bool>,
    violation: bool,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.leaf.state);
        state.counters.in_flight -= 1;
        state.calls.remove(&self.number);
    }
}

/// A call that waits for a slot.
struct Waiting<'a>(&'a Leaf);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        lock(&self.0.state).waiting -= 1;
    }
}

/// What the leaf does with a call that has arrived.
enum Arrival<'a> {
    Accepted(InFlight<'a>),
    Refused(Status),
    Unanswered,
}

impl Leaf {
    pub(super) fn new(config: LeafConfig, address: SocketAddr, model: Model) -> Arc<Self> {
        let seed = xxh3_64_with_seed(config.to_string().as_bytes(), model.seed);
        let state = State {
            counters: Counters {
                leaf: address.to_string(),
                service: config.service.clone(),
                version: config.version.clone(),
                shard: config.shard,
                ..Counters::default()
            },
            fault: Fault::default(),
            random: StdRng::seed_from_u64(seed),
            incarnation: rand::random(),
            cold_since: model.cold_start.at_start.then(Instant::now),
            cold_answers: 0,
            waiting: 0,
            snapshots: model.snapshots.clone(),
            partition: model.partition,
            drain_answers: 0,
            calls: BTreeMap::new(),
            next_call: 0,
        };
        let gate = Gate::new(Admission {
            limit: Some(model.connections),
            accept_time: model.connect_cost,
            refuse: false,
        });
        Arc::new(Self {
            slots: Semaphore::new(model.slots as usize),
            config,
            address,
            model,
            gate,
            state: Mutex::new(state),
        })
    }

    pub(super) fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    pub(super) fn routes(self: &Arc<Self>) -> Router {
        let searched = Arc::clone(self);
        let cancelled = Arc::clone(self);
        let checked = Arc::clone(self);
        Router::new()
            .route(
                "/search",
                post_json(move |search| {
                    let leaf = Arc::clone(&searched);
                    async move { leaf.search(search).await }
                }),
            )
            .route(
                "/cancel",
                post_json(move |cancel| {
                    let count = cancelled.cancel(&cancel);
                    let body = json!({"cancelled": count});
                    std::future::ready(json_response(StatusCode::OK, &body))
                }),
            )
            .route(
                "/health",
                get(move || std::future::ready(json_response(StatusCode::OK, &checked.health()))),
            )
    }

    pub(super) fn matches(&self, change: &Change) -> bool {
        change.leaf.is_none_or(|leaf| leaf == self.address)
            && change
                .service
                .as_ref()
                .is_none_or(|service| *service == self.config.service)
            && change
                .version
                .as_ref()
                .is_none_or(|version| *version == self.config.version)
            && change.shard.is_none_or(|shard| shard == self.config.shard)
    }

    pub(super) fn counters(&self) -> Counters {
        let mut state = lock(&self.state);
        let connections = self.gate.connections();
        Counters {
            incarnation: state.incarnation,
            cold: self.temperature(&mut state) == Temperature::Cold,
            connections_opened: connections.opened,
            connections_open: connections.open,
            connections_refused: connections.refused,
            ..state.counters.clone()
        }
    }

    /// Applies the parts of a change that are given; the crash comes last.
    pub(super) fn apply(self: &Arc<Self>, change: &Change) {
        {
            let mut state = lock(&self.state);
            if let Some(fault) = &change.fault {
                state.fault = fault.clone();
                state.drain_answers = 0;
                self.gate.set_refuse(fault.lifecycle == Lifecycle::Gone);
            }
            if let Some(snapshots) = &change.snapshots {
                state.snapshots.clone_from(snapshots);
            }
            if let Some(partition) = change.partition {
                state.partition = partition;
            }
            if change.turn_cold {
                state.turn_cold();
            }
            if change.turn_warm {
                state.cold_since = None;
            }
        }
        if change.crash {
            self.crash();
        }
    }

    /// Resets all connections and turns cold with a new incarnation. New connections are refused
    /// during the model's downtime.
    fn crash(self: &Arc<Self>) {
        {
            let mut state = lock(&self.state);
            state.counters.crashes += 1;
            state.incarnation = rand::random();
            state.turn_cold();
        }
        if !self.model.crash_downtime.is_zero() {
            self.gate.set_refuse(true);
            let leaf = Arc::clone(self);
            tokio::spawn(async move {
                tokio::time::sleep(leaf.model.crash_downtime).await;
                let gone = lock(&leaf.state).fault.lifecycle == Lifecycle::Gone;
                leaf.gate.set_refuse(gone);
            });
        }
        self.gate.reset_all();
    }

    fn temperature(&self, state: &mut State) -> Temperature {
        let ColdStart {
            duration, answers, ..
        } = self.model.cold_start;
        if let Some(since) = state.cold_since
            && since.elapsed() >= duration
            && state.cold_answers >= answers
        {
            state.cold_since = None;
        }
        match state.cold_since {
            Some(_) => Temperature::Cold,
            None => Temperature::Warm,
        }
    }

    async fn search(self: Arc<Self>, search: Search) -> Response {
        let status = match self.arrive(&search) {
            Arrival::Unanswered => return unanswered(),
            Arrival::Refused(status) => status,
            Arrival::Accepted(mut call) => {
                if lock(&self.state).fault.silent {
                    std::future::pending::<()>().await;
                }
                match self.run(&search, &mut call).await {
                    Some(status) => status,
                    None => return unanswered(),
                }
            }
        };
        json_response(StatusCode::OK, &self.answer(search, status))
    }

    fn arrive(&self, search: &Search) -> Arrival<'_> {
        let mut state = lock(&self.state);
        let counters = &mut state.counters;
        counters.received += 1;
        counters.last_received_unix_ms = unix_ms();
        let by_route = format!("{}/{}", search.version, search.route);
        *counters.requests.entry(by_route).or_default() += 1;
        match state.fault.lifecycle {
            Lifecycle::Serving => {}
            Lifecycle::Gone => return Arrival::Unanswered,
            Lifecycle::Draining => {
                state.drain_answers += 1;
                if state.drain_answers == state.fault.drain_answers {
                    state.fault.lifecycle = Lifecycle::Gone;
                    self.gate.set_refuse(true);
                }
                return Arrival::Refused(Status::Draining);
            }
        }
        let LeafConfig {
            service,
            version,
            shard,
            ..
        } = &self.config;
        if (service, version, shard) != (&search.service, &search.version, &search.shard) {
            state.counters.misrouted += 1;
            return Arrival::Refused(Status::Failed);
        }
        if search.deadline_unix_ms <= unix_ms() {
            return Arrival::Refused(Status::NotStarted);
        }
        if !state.snapshots.contains(&search.snapshot) || state.partition != search.partition {
            return Arrival::Refused(Status::WrongSnapshot);
        }
        let shed_probability = state.fault.shed_probability;
        if shed_probability > 0.0 && state.random.random::<f64>() < shed_probability {
            return Arrival::Refused(Status::Shed);
        }
        Arrival::Accepted(self.accept(&mut state, search))
    }

    fn accept(&self, state: &mut State, search: &Search) -> InFlight<'_> {
        let cold = self.temperature(state) == Temperature::Cold;
        let counters = &mut state.counters;
        counters.in_flight += 1;
        counters.max_in_flight = counters.max_in_flight.max(counters.in_flight);
        let violation = cold && counters.in_flight > self.model.cold_start.concurrency;
        if cold {
            counters.max_in_flight_cold = counters.max_in_flight_cold.max(counters.in_flight);
        }
        if violation {
            counters.violations += 1;
        }
        let (cancel, cancelled) = watch::channel(false);
        let number = state.next_call;
        state.next_call += 1;
        let search = search.clone();
        state.calls.insert(number, Call { search, cancel });
        InFlight {
            leaf: self,
            number,
            cancelled,
            violation,
        }
    }

    /// Runs an accepted call. Returns `None` if the call crashed the leaf.
    async fn run(self: &Arc<Self>, search: &Search, call: &mut InFlight<'_>) -> Option<Status> {
        let slot = match self.slots.try_acquire() {
            Ok(slot) => slot,
            Err(_) => match self.wait_for_slot(call).await {
                Ok(slot) => slot,
                Err(status) => return Some(status),
            },
        };
        if search.deadline_unix_ms <= unix_ms() {
            return Some(Status::NotStarted);
        }
        let marker = self.model.crash_marker.as_deref();
        let has_crash_marker = marker.is_some_and(|text| search.query.contains(text));
        let (time, fails, crashes) = {
            let mut state = lock(&self.state);
            if let Some(key) = &search.idempotency_key {
                *state.counters.executions.entry(key.clone()).or_default() += 1;
            }
            let outcome = self.draw_outcome(&mut state, search, call.violation);
            (
                outcome.time,
                outcome.fails,
                outcome.crashes || has_crash_marker,
            )
        };
        if crashes {
            self.crash();
            return None;
        }
        tokio::select! {
            biased;
            // The state of the leaf keeps the sender until `call` is dropped, so the wait cannot
            // fail.
            _ = call.cancelled.wait_for(|cancelled| *cancelled) => return Some(Status::Failed),
            () = tokio::time::sleep(time) => {}
        }
        drop(slot);
        if fails {
            return Some(Status::Failed);
        }
        lock(&self.state).cold_answers += 1;
        Some(Status::Ok)
    }

    async fn wait_for_slot(
        &self,
        call: &mut InFlight<'_>,
    ) -> Result<tokio::sync::SemaphorePermit<'_>, Status> {
        {
            let mut state = lock(&self.state);
            if state.waiting >= self.model.queue {
                return Err(Status::Shed);
            }
            state.waiting += 1;
        }
        let _waiting = Waiting(self);
        tokio::select! {
            biased;
            _ = call.cancelled.wait_for(|cancelled| *cancelled) => Err(Status::NotStarted),
            slot = tokio::time::timeout(self.model.queue_wait, self.slots.acquire()) => match slot {
                Ok(Ok(slot)) => Ok(slot),
                // The semaphore is never closed, so this is always the time-out.
                Ok(Err(_)) | Err(_) => Err(Status::Shed),
            },
        }
    }

    /// Draws the service time of a call, and whether it fails or crashes the leaf.
    fn draw_outcome(&self, state: &mut State, search: &Search, violation: bool) -> CallOutcome {
        let mut time = self.model.service_time.draw(&mut state.random);
        let fault = &state.fault;
        if fault.slow_factor > 0.0 {
            time = scale(time, fault.slow_factor);
        }
        let misbehaviour = &fault.misbehaviour;
        let affected = misbehaviour
            .route
            .as_ref()
            .is_none_or(|route| *route == search.route)
            && state.counters.in_flight >= misbehaviour.min_in_flight
            && unix_ms() >= misbehaviour.after_unix_ms;
        if affected && misbehaviour.slow_factor > 0.0 {
            time = scale(time, misbehaviour.slow_factor);
        }
        let fail_probability = if affected {
            misbehaviour.fail_probability
        } else {
            0.0
        };
        let cold_start = self.model.cold_start;
        if violation {
            time = scale(time, cold_start.violation_factor);
        }
        let mut happens =
            |probability| probability > 0.0 && state.random.random::<f64>() < probability;
        CallOutcome {
            time,
            fails: happens(fail_probability),
            crashes: violation && happens(cold_start.crash_probability),
        }
    }

    fn answer(&self, search: Search, status: Status) -> Answer {
        let mut state = lock(&self.state);
        let name = match status {
            Status::Ok => "ok",
            Status::Shed => "shed",
            Status::Draining => "draining",
            Status::NotStarted => "not_started",
            Status::WrongSnapshot => "wrong_snapshot",
            Status::Failed => "failed",
        };
        *state.counters.answers.entry(name.into()).or_default() += 1;
        let complete = status == Status::Ok;
        let LeafConfig { service, shard, .. } = &self.config;
        let hits = if complete {
            expected_hits(service, *shard, search.snapshot, &search.query)
        } else {
            Vec::new()
        };
        Answer {
            correlation: search.correlation,
            incarnation: state.incarnation,
            shard: *shard,
            snapshot: search.snapshot,
            partition: state.partition,
            status,
            temperature: self.temperature(&mut state),
            complete,
            hits,
            holds: state.snapshots.clone(),
        }
    }

    fn cancel(&self, cancel: &Cancel) -> u64 {
        let mut state = lock(&self.state);
        let matching = state.calls.values().filter(|call| {
            let id = cancel.request_id.as_ref();
            call.search.correlation == cancel.correlation
                && id.is_none_or(|id| *id == call.search.request_id)
        });
        // A call that has been cancelled before is not counted again.
        let count = matching
            .filter(|call| !call.cancel.send_replace(true))
            .count() as u64;
        state.counters.cancelled += count;
        count
    }

    fn health(&self) -> Health {
        let state = lock(&self.state);
        let reported = &state.fault.false_health;
        let load = f64::from(state.counters.in_flight) / f64::from(self.model.slots);
        let true_state = match state.fault.lifecycle {
            Lifecycle::Serving => "serving",
            Lifecycle::Draining | Lifecycle::Gone => "draining",
        };
        Health {
            incarnation: state.incarnation,
            load: reported.load.unwrap_or(load),
            state: reported.state.clone().unwrap_or_else(|| true_state.into()),
        }
    }
}

impl State {
    fn turn_cold(&mut self) {
        self.cold_since = Some(Instant::now());
        self.cold_answers = 0;
    }
}

/// The drawn outcome of a call.
struct CallOutcome {
    time: Duration,
    fails: bool,
    crashes: bool,
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
