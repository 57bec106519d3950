//! Runs one query: performs what its state machine decides until it has an answer.

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

use super::calls::InFlight;
use super::calls::Sender;
use super::lanes::Lane;
use super::lanes::lock;
use crate::control::Handle;

/// The hits of one leaf.
type Hits = Vec<Hit>;

/// A finished query.
pub struct Finished {
    pub answer: Answer<Hits>,
    pub measurement: Measurement,
    /// How many servers the canary may have crashed.
    pub canary_crashes: u32,
}

struct Run {
    lane: Arc<Mutex<Lane>>,
    query: Query<Hits>,
    in_flight: InFlight,
    /// The leaf that each call went to. Few entries, so a list is as fast as a map.
    leafs: Vec<(CallId, LeafIndex)>,
    subject: Subject,
    sender: Arc<Sender>,
    answer: Option<Answer<Hits>>,
    canary_calls: u32,
    canary_crashed: bool,
    queued: Duration,
    results: u32,
}

/// Runs a query to its end, at the latest at its deadline.
pub async fn run(
    request: &query::Request<'_>,
    wire: peer::Query,
    lane: Arc<Mutex<Lane>>,
    sender: Arc<Sender>,
    control: &Handle,
) -> Finished {
    let started = SystemClock.now();
    let (results, mut inbox) = mpsc::unbounded_channel();
    let subject = Subject {
        request: Some(wire.request_id),
        service: Some(wire.service.clone()),
        ..Subject::default()
    };
    let (query, actions) = {
        let mut locked = lock(&lane);
        Query::start(&mut locked.context(started), request)
    };
    let mut run = Run {
        lane,
        query,
        in_flight: InFlight::new(Arc::clone(&sender), wire, results),
        leafs: Vec::new(),
        subject,
        sender,
        answer: None,
        canary_calls: 0,
        canary_crashed: false,
        queued: Duration::ZERO,
        results: 0,
    };
    run.carry_out(actions, control);
    while run.answer.is_none() {
        let Some(wakeup) = run.query.next_wakeup() else {
            break;
        };
        tokio::select! {
            Some(part) = inbox.recv() => run.take(part, control),
            () = tokio::time::sleep_until(wakeup.into()) => run.timer(control),
        }
    }
    run.finish(request.pin, started)
}

impl Run {
    fn take(&mut self, part: peer::CallResult, control: &Handle) {
        let call = CallId::from_wire(part.id);
        let Some((_, leaf)) = self.leafs.iter().find(|(known, _)| *known == call) else {
            return;
        };
        let leaf = *leaf;
        self.queued += Duration::from_micros(u64::from(part.queued_us));
        self.results += 1;
        let mut actions = Vec::new();
        match part.result {
            Ok(answer) => self.answered(call, leaf, answer, &mut actions),
            Err(failure) => {
                let mut lane = lock(&self.lane);
                let mut context = lane.context(SystemClock.now());
                self.query
                    .on_failure(&mut context, call, from_peer(failure), &mut actions);
            }
        }
        self.carry_out(actions, control);
    }

    fn answered(
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
        let mut lane = lock(&self.lane);
        let mut context = lane.context(SystemClock.now());
        match refusal(answer.status) {
            None => {
                let result = self
                    .query
                    .on_answer(&mut context, &received, answer.hits, actions);
                if let Err(unused) = result {
                    log::debug!("an answer was not used: {unused}");
                    metrics::counter!("camphorhold_answers_unused_total").increment(1);
                }
            }
            Some(failure) => {
                let refused = self
                    .query
                    .on_refusal(&mut context, &received, failure, actions);
                if let Err(stray) = refused {
                    // A statement about another shard says nothing about this call, which may
                    // have started.
                    log::debug!("a refusal was not used: {stray}");
                    let failure = query::Failure::Failed;
                    self.query.on_failure(&mut context, call, failure, actions);
                }
            }
        }
    }

    fn timer(&mut self, control: &Handle) {
        let mut actions = Vec::new();
        {
            let mut lane = lock(&self.lane);
            let mut context = lane.context(SystemClock.now());
            self.query.on_timer(&mut context, &mut actions);
        }
        self.carry_out(actions, control);
    }

    fn carry_out(&mut self, actions: Vec<Action<Hits>>, control: &Handle) {
        let mut calls = Vec::new();
        let mut cancelled = Vec::new();
        for action in actions {
            match action {
                Action::Send(send) => calls.extend(self.call(&send)),
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

    fn call(&mut self, send: &query::OutgoingCall) -> Option<Call> {
        match send.kind {
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
        self.canary_calls += u32::from(send.canary.is_some());
        self.leafs.push((send.call, send.leaf));
        let leaf = lock(&self.lane).leaf(send.leaf)?;
        Some(Call {
            id: send.call.to_wire(),
            leaf,
            shard: send.shard,
        })
    }

    fn finish(self, pin: Pin, started: Instant) -> Finished {
        let duration = SystemClock.now().saturating_duration_since(started);
        let queueing = self.queued / self.results.max(1);
        Finished {
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
            // A second call may crash its server after the first has ended the query.
            canary_crashes: if self.canary_crashed {
                self.canary_calls.min(2)
            } else {
                0
            },
        }
    }
}

/// Returns what a status says instead of an answer.
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
