//! Runs one request: chooses the version, admits the request, runs its canary if it needs one, pins
//! a snapshot and runs the query.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use camphorhold::coordination::admission::Offer;
use camphorhold::coordination::pin;
use camphorhold::coordination::pin::Pin;
use camphorhold::coordination::query;
use camphorhold::protocol::caller::AnswerBody;
use camphorhold::protocol::caller::Request;
use camphorhold::protocol::instance;
use camphorhold::protocol::peer;
use camphorhold::state::event::Kind;
use camphorhold::state::event::Subject;
use camphorhold::state::file::Service;
use camphorhold::state::id::Fingerprint;
use camphorhold::state::id::ShardId;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold::state::time::unix_millis;
use camphorhold::state::view::View;

use super::Entry;
use super::admission_queue::Permit;
use super::answer;
use super::answer::Refusal;
use super::run;
use super::version_state;
use crate::baseline::Baseline;
use crate::canary;
use crate::canary::Permission;
use crate::rollouts::Choice;

/// Decisions about a request that stay fixed from its start to its end.
struct Plan {
    deadline: Instant,
    deadline_wall: SystemTime,
    choice: Choice,
    fingerprint: Fingerprint,
    scope: Vec<ShardId>,
    idempotent: bool,
}

/// A canary that the request has to run first, on one leaf.
#[derive(Clone, Copy)]
struct Canary {
    fingerprint: Fingerprint,
    hedging: bool,
}

impl Entry {
    /// Runs a request that has been checked against the file in force. `idempotent` permits
    /// the query to hedge leaf calls and to repeat those that may have run.
    pub(super) async fn search(&self, request: &Request, idempotent: bool) -> AnswerBody {
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
        let fingerprint = canary::fingerprint(&request.service, &request.route, &request.query);
        let plan = Plan {
            deadline: started + limit,
            deadline_wall: SystemClock.wall() + limit,
            choice: self
                .rollouts
                .choose(&view, &request.service, &service.serving, fingerprint),
            fingerprint,
            scope: scope(request, service),
            idempotent,
        };
        let mut permit = match self.admit(request, service, &plan).await {
            Ok(permit) => permit,
            Err(answer) => return answer,
        };
        let canary = match self.admit_canary(request, service, &plan).await {
            Ok(canary) => canary,
            Err(answer) => return answer,
        };
        let finished = self.run(request, service, &plan, canary).await;
        if let Some(canary) = canary {
            let outcome = canary_outcome(finished.as_ref().ok());
            self.canaries.finish(canary.fingerprint, outcome).await;
        }
        match finished {
            Ok(finished) => {
                if let Some(permit) = &mut permit {
                    permit.set_measurement(finished.measurement);
                }
                self.record_for_rollout(request, &plan, &finished);
                let duration = SystemClock.now().saturating_duration_since(started);
                answer::from_query(id, finished.answer, duration)
            }
            Err(answer) => answer,
        }
    }

    async fn admit(
        &self,
        request: &Request,
        service: &Service,
        plan: &Plan,
    ) -> Result<Option<Permit>, AnswerBody> {
        if Baseline::NoLimits.is_chosen() {
            return Ok(None);
        }
        let id = request.request_id.unwrap_or_default();
        let found = self.admission_queues.get(&request.service, &request.tenant);
        let (queue, tenant) = found.ok_or_else(|| answer::not_run(id, &Refusal::NoFile))?;
        let offer = Offer {
            tenant,
            deadline: plan.deadline,
            worth: request.worth.unwrap_or(service.worth),
            cost: u32::try_from(plan.scope.len()).unwrap_or(u32::MAX),
        };
        queue
            .admit(&offer)
            .await
            .map(Some)
            .map_err(|refusal| answer::not_run(id, &refusal))
    }

    /// Returns the canary that the request has to run first, if any. Waits while another request
    /// runs the canary of the same fingerprint.
    async fn admit_canary(
        &self,
        request: &Request,
        service: &Service,
        plan: &Plan,
    ) -> Result<Option<Canary>, AnswerBody> {
        if !service.canary {
            return Ok(None);
        }
        let id = request.request_id.unwrap_or_default();
        match self.canaries.admit(plan.fingerprint, plan.deadline).await {
            Permission::Unrestricted => Ok(None),
            Permission::Canary {
                fingerprint,
                hedging,
            } => Ok(Some(Canary {
                fingerprint,
                hedging,
            })),
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
            Permission::Full => Err(answer::not_run(id, &Refusal::CanariesFull)),
            Permission::TooLate => Err(answer::not_run(id, &Refusal::CanaryRuns)),
        }
    }

    async fn run(
        &self,
        request: &Request,
        service: &Service,
        plan: &Plan,
        canary: Option<Canary>,
    ) -> Result<run::FinishedQuery, AnswerBody> {
        let id = request.request_id.unwrap_or_default();
        let state = self
            .version_states
            .get(&request.service, &plan.choice.version);
        let state = state.ok_or_else(|| answer::not_run(id, &Refusal::NoFile))?;
        let (pin, query_id) = {
            let mut state = version_state::lock(&state);
            let pin = pin::choose(state.replicas(), service.partition, &plan.scope)
                .map_err(|error| answer::not_run(id, &error))?
                .pin;
            (pin, state.next_query())
        };
        let decision = query::Request {
            id: query_id,
            pin,
            scope: &plan.scope,
            deadline: plan.deadline,
            idempotent: plan.idempotent,
            hedging: service.hedging
                && canary.is_none_or(|canary| canary.hedging)
                && !Baseline::NoHedging.is_chosen(),
            minimum: service.partial.minimum,
            patience: service.partial.patience,
            canary: canary.map(|canary| canary.fingerprint),
        };
        let wire = wire_query(request, plan, pin);
        let sender = Arc::clone(&self.sender);
        Ok(run::run(&decision, wire, state, sender, &self.control).await)
    }

    /// Records the outcome of a query for the rollout of its version. Incomplete coverage counts as
    /// a failure.
    fn record_for_rollout(&self, request: &Request, plan: &Plan, finished: &run::FinishedQuery) {
        let coverage = finished.answer.coverage;
        let failed = finished.answer.outcome != query::Outcome::Answered || !coverage.is_complete();
        self.rollouts.record(
            &plan.choice,
            &request.service,
            &request.route,
            failed,
            finished.measurement.duration,
        );
    }
}

/// Returns the time limit of a request: its own deadline, at most that of the service. Zero if the
/// file in force does not list the service.
pub(super) fn time_limit(view: &View, request: &Request) -> Duration {
    let file = view.file.as_ref();
    let service = file.and_then(|file| file.services.get(&request.service));
    let longest = service.map_or(Duration::ZERO, |service| service.deadline);
    request
        .deadline
        .map_or(longest, |deadline| deadline.min(longest))
}

fn scope(request: &Request, service: &Service) -> Vec<ShardId> {
    match &request.scope {
        Some(scope) => scope.clone(),
        None => (0..service.shards).map(ShardId).collect(),
    }
}

fn wire_query(request: &Request, plan: &Plan, pin: Pin) -> peer::Query {
    let hop = query::HOP_MARGIN;
    peer::Query {
        request_id: request.request_id.unwrap_or_default(),
        service: request.service.clone(),
        version: plan.choice.version.clone(),
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

/// Returns the outcome of a canary for the owner of the fingerprint. A call that timed out has not
/// lost its connection, so it does not count as a crash.
fn canary_outcome(finished: Option<&run::FinishedQuery>) -> instance::Outcome {
    match finished {
        Some(finished) if finished.canary_crashes > 1 => instance::Outcome::CrashedTwice,
        Some(finished) if finished.canary_crashes == 1 => instance::Outcome::Crashed,
        Some(finished) => match finished.answer.outcome {
            query::Outcome::Answered => instance::Outcome::Ok,
            query::Outcome::NotRun(_) | query::Outcome::Unknown(_) => instance::Outcome::Survived,
        },
        None => instance::Outcome::Survived,
    }
}
