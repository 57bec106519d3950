//! Runs one query: carries out the actions of its state machine until it has an answer.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::admission::Measurement;
use camphorhold::coordination::correlation::CallId;
use camphorhold::coordination::correlation::Kind as CallKind;
use camphorhold::coordination::merge::Part;
use camphorhold::coordination::pin::Pin;
use camphorhold::coordination::query;
use camphorhold::coordination::query::Action;
use camphorhold::coordination::query::Answer;
use camphorhold::coordination::query::Query;
use camphorhold::coordination::query::Received;
use camphorhold::coordination::replica::LeafIndex;
use camphorhold::protocol::leaf::Hit;
use camphorhold::protocol::leaf::SearchAnswer;
use camphorhold::protocol::leaf::Status;
use camphorhold::protocol::peer;
use camphorhold::protocol::peer::Call;
use camphorhold::protocol::peer::Failure;
use camphorhold::state::event::Kind;
use camphorhold::state::event::Subject;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use tokio::sync::mpsc;

use super::calls::InFlightCalls;
use super::calls::Sender;
use super::version_state::VersionState;
use super::version_state::lock;
use crate::control::Handle;

/// The hits that one leaf returned.
type Hits = Vec<Hit>;

/// A finished query.
pub struct FinishedQuery {
    pub answer: Answer<Hits>,
    pub measurement: Measurement,
    /// Backend servers that the canary may have crashed, at most 2.
    pub canary_crashes: u32,
}

struct Run {
    version_state: Arc<Mutex<VersionState>>,
    query: Query<Hits>,
    in_flight: InFlightCalls,
    /// The leaf to which each call was sent. A list, because a query has few calls.
    leafs: Vec<(CallId, LeafIndex)>,
    subject: Subject,
    sender: Arc<Sender>,
    answer: Option<Answer<Hits>>,
    canary_calls: u32,
    canary_crashed: bool,
    queued: Duration,
    result_count: u32,
}

/// Runs a query until it has an answer, at the latest at its deadline.
pub async fn run(
    request: &query::Request<'_>,
    wire: peer::Query,
    version_state: Arc<Mutex<VersionState>>,
    sender: Arc<Sender>,
    control: &Handle,
) -> FinishedQuery {
    let started = SystemClock.now();
    let (results, mut inbox) = mpsc::unbounded_channel();
    let subject = Subject {
        request: Some(wire.request_id),
        service: Some(wire.service.clone()),
        ..Subject::default()
    };
    let (query, actions) = {
        let mut locked = lock(&version_state);
        Query::start(&mut locked.context(started), request)
    };
    let mut run = Run {
        version_state,
        query,
        in_flight: InFlightCalls::new(Arc::clone(&sender), wire, results),
        leafs: Vec::new(),
        subject,
        sender,
        answer: None,
        canary_calls: 0,
        canary_crashed: false,
        queued: Duration::ZERO,
        result_count: 0,
    };
    run.carry_out(actions, control);
    while run.answer.is_none() {
        let Some(wakeup) = run.query.next_wakeup() else {
            break;
        };
        tokio::select! {
            Some(result) = inbox.recv() => run.on_result(result, control),
            () = tokio::time::sleep_until(wakeup.into()) => run.on_timer(control),
        }
    }
    run.finish(request.pin, started)
}

impl Run {
    fn on_result(&mut self, result: peer::CallResult, control: &Handle) {
        let call = CallId::from_wire(result.id);
        let Some((_, leaf)) = self.leafs.iter().find(|(known, _)| *known == call) else {
            return;
        };
        let leaf = *leaf;
        self.queued += Duration::from_micros(u64::from(result.queued_us));
        self.result_count += 1;
        let mut actions = Vec::new();
        match result.result {
            Ok(answer) => self.on_answer(call, leaf, answer, &mut actions),
            Err(failure) => {
                let mut state = lock(&self.version_state);
                let mut context = state.context(SystemClock.now());
                self.query
                    .on_failure(&mut context, call, from_peer(failure), &mut actions);
            }
        }
        self.carry_out(actions, control);
    }

    fn on_answer(
        &mut self,
        call: CallId,
        leaf: LeafIndex,
        answer: SearchAnswer,
        actions: &mut Vec<Action<Hits>>,
    ) {
        let received = Received {
            call,
            leaf,
            part: Part {
                shard: answer.shard,
                pin: Pin {
                    snapshot: answer.snapshot,
                    partition: answer.partition,
                },
                complete: answer.complete,
            },
        };
        let mut state = lock(&self.version_state);
        let mut context = state.context(SystemClock.now());
        match refusal(answer.status) {
            None => {
                let result = self
                    .query
                    .on_answer(&mut context, &received, answer.hits, actions);
                if let Err(unused) = result {
                    log::debug!("discarded the answer of a leaf: {unused}");
                    metrics::counter!("camphorhold_answers_unused_total").increment(1);
                }
            }
            Some(failure) => {
                let refused = self
                    .query
                    .on_refusal(&mut context, &received, failure, actions);
                if let Err(unmatched) = refused {
                    // The refusal does not belong to this call, so it is no evidence that the call
                    // has not started.
                    log::debug!(
                        "discarded the refusal of a leaf: {unmatched}; the call counts as failed"
                    );
                    let failure = query::Failure::Failed;
                    self.query.on_failure(&mut context, call, failure, actions);
                }
            }
        }
    }

    fn on_timer(&mut self, control: &Handle) {
        let mut actions = Vec::new();
        {
            let mut state = lock(&self.version_state);
            let mut context = state.context(SystemClock.now());
            self.query.on_timer(&mut context, &mut actions);
        }
        self.carry_out(actions, control);
    }

    fn carry_out(&mut self, actions: Vec<Action<Hits>>, control: &Handle) {
        let mut calls = Vec::new();
        let mut cancelled = Vec::new();
        for action in actions {
            match action {
                Action::Send(outgoing) => calls.extend(self.call(&outgoing)),
                Action::Cancel(call) => cancelled.push(call.to_wire()),
                Action::ReportReset { .. } => self.canary_crashed = true,
                Action::Finish(answer) => self.answer = Some(answer),
            }
        }
        if !calls.is_empty() {
            self.in_flight.send(&calls, &control.view());
        }
        if !cancelled.is_empty() {
            self.in_flight.cancel(&cancelled);
        }
    }

    fn call(&mut self, outgoing: &query::OutgoingCall) -> Option<Call> {
        match outgoing.kind {
            CallKind::Primary => metrics::counter!("camphorhold_calls_primary_total").increment(1),
            CallKind::Hedge => {
                metrics::counter!("camphorhold_calls_hedge_total").increment(1);
                self.sender
                    .recorder
                    .record(Kind::Hedged {}, self.subject.clone());
            }
            CallKind::Retry => {
                metrics::counter!("camphorhold_calls_retry_total").increment(1);
                let kind = Kind::Retried { attempt: 1 };
                self.sender.recorder.record(kind, self.subject.clone());
            }
        }
        self.canary_calls += u32::from(outgoing.canary.is_some());
        self.leafs.push((outgoing.call, outgoing.leaf));
        let leaf = lock(&self.version_state).leaf(outgoing.leaf)?;
        Some(Call {
            id: outgoing.call.to_wire(),
            leaf,
            shard: outgoing.shard,
        })
    }

    fn finish(self, pin: Pin, started: Instant) -> FinishedQuery {
        let duration = SystemClock.now().saturating_duration_since(started);
        let queueing = self.queued / self.result_count.max(1);
        FinishedQuery {
            answer: self.answer.unwrap_or(Answer {
                outcome: query::Outcome::Unknown(query::Reason::Deadline),
                pin,
                coverage: camphorhold::coordination::merge::Coverage {
                    answered: 0,
                    in_scope: 0,
                },
                contents: Vec::new(),
            }),
            measurement: Measurement { duration, queueing },
            // The second call of a canary may crash its server after the first has ended the query.
            canary_crashes: if self.canary_crashed {
                self.canary_calls.min(2)
            } else {
                0
            },
        }
    }
}

/// Returns the failure that a status stands for; `None` if the leaf answered the call.
fn refusal(status: Status) -> Option<query::Failure> {
    match status {
        Status::Ok => None,
        Status::Shed => Some(query::Failure::Shed),
        Status::Draining => Some(query::Failure::Draining),
        Status::NotStarted => Some(query::Failure::RefusedNotStarted),
        Status::WrongSnapshot => Some(query::Failure::WrongSnapshot),
        Status::Failed => Some(query::Failure::Failed),
    }
}

fn from_peer(failure: Failure) -> query::Failure {
    match failure {
        Failure::NotOwner | Failure::Unreachable => query::Failure::NotSent,
        Failure::NotStarted => query::Failure::RefusedNotStarted,
        Failure::Draining => query::Failure::Draining,
        Failure::Overloaded | Failure::Shed => query::Failure::Shed,
        Failure::WrongSnapshot => query::Failure::WrongSnapshot,
        Failure::Reset => query::Failure::ResetAfterSent,
        Failure::Timeout | Failure::ForwardLost => query::Failure::Timeout,
        Failure::Invalid => query::Failure::Failed,
    }
}
