//! Gathers the answers to one request: makes the calls that the fan-out orders, and reports their
//! ends to it.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use camphorhold::coordination::serving::Fanout;
use camphorhold::coordination::serving::fanout;
use camphorhold::coordination::serving::fanout::Context;
use camphorhold::coordination::serving::fanout::Outcome;
use camphorhold::coordination::serving::fanout::Send;
use camphorhold::coordination::serving::fanout::Summary;
use camphorhold::coordination::serving::fanout::Verdict;
use camphorhold::coordination::serving::instances::Group;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hyper::Response;

use crate::call;
use crate::call::Passed;
use crate::handover;
use crate::shared::Shared;

/// Calls whose answers are no longer needed may take this long to finish, so that their connections
/// can be used again.
const LINGER: Duration = Duration::from_millis(250);

/// Troubles of calls that are told in the log line of a request. A query may have hundreds.
const TOLD_TROUBLES: usize = 6;

/// What came of a request.
pub struct Finished {
    /// When the verdict was reached.
    pub ended: Instant,
    /// The age of what is known of the platform.
    pub store_age: Duration,
    /// The verdict.
    pub verdict: Verdict,
    /// The calls and what became of them.
    pub summary: Summary,
    /// The answers that are parts of the result.
    pub parts: Vec<Response<Bytes>>,
    /// The last failure that a leaf answered with.
    pub failure: Option<Response<Bytes>>,
    /// The first calls without a useful answer, as leaf and reason.
    pub troubles: Vec<String>,
}

/// The answers so far.
struct Gathering<'a> {
    shared: &'a Rc<Shared>,
    fanout: Fanout,
    sends: Vec<Send>,
    parts: Vec<Response<Bytes>>,
    failure: Option<Response<Bytes>>,
    troubles: Vec<String>,
}

/// Makes the calls of a request, or hands them over, until it has an end.
pub async fn run(
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
    let mut gathering = Gathering::start(shared, request);
    let mut calls = FuturesUnordered::new();
    let timer = tokio::time::sleep_until(gathering.fanout.next_timer().into());
    tokio::pin!(timer);
    let verdict = loop {
        for send in gathering.sends.drain(..) {
            calls.push(call::start(shared, passed, send, expected));
        }
        if let Some(verdict) = gathering.fanout.verdict(shared.now()) {
            break verdict;
        }
        let next = gathering.fanout.next_timer().into();
        if timer.deadline() != next {
            timer.as_mut().reset(next);
        }
        tokio::select! {
            biased;
            Some(end) = calls.next() => gathering.on_call_end(end),
            Some(end) = handovers.next() => gathering.on_handover_end(end),
            () = &mut timer => gathering.on_timer(),
        }
    };
    if !calls.is_empty() && gathering.fanout.coverage().answered > 0 {
        tokio::task::spawn_local(async move {
            // Whatever they return, the calls are only finished for their connections.
            let _ = tokio::time::timeout(LINGER, calls.for_each(|_| std::future::ready(()))).await;
        });
    }
    gathering.finish(verdict)
}

impl<'a> Gathering<'a> {
    fn start(shared: &'a Rc<Shared>, request: fanout::Request) -> Self {
        let shards = request.shards.len();
        let (fanout, sends) = with_context(shared, |context| Fanout::start(request, context));
        Self {
            shared,
            fanout,
            sends,
            parts: Vec::with_capacity(shards),
            failure: None,
            troubles: Vec::new(),
        }
    }

    fn on_call_end(&mut self, end: call::End) {
        if let Some(trouble) = end.trouble
            && self.troubles.len() < TOLD_TROUBLES
        {
            let fleet = self.shared.fleet.borrow();
            let id = fleet.get(end.leaf).map_or("gone", |leaf| &leaf.entry().id);
            self.troubles.push(format!("{id} {trouble}"));
        }
        let before = self.fanout.coverage().answered;
        with_context(self.shared, |context| {
            let sends = &mut self.sends;
            self.fanout
                .on_outcome(end.shard, end.leaf, end.outcome, context, sends);
        });
        match end.outcome {
            Outcome::Part if self.fanout.coverage().answered > before => {
                self.parts.extend(end.answer);
            }
            Outcome::Failed => self.failure = end.answer.or(self.failure.take()),
            Outcome::Part | Outcome::NotRun | Outcome::Unsent => {}
        }
    }

    fn on_handover_end(&mut self, end: handover::End) {
        if end.answered.is_empty() && self.troubles.len() < TOLD_TROUBLES {
            self.troubles
                .push(format!("{} {:?}", end.instance, end.rest));
        }
        self.parts.extend(end.answer);
        with_context(self.shared, |context| {
            for shard in end.shards {
                let outcome = if end.answered.contains(&shard) {
                    Outcome::Part
                } else {
                    end.rest
                };
                self.fanout
                    .on_handed_over(shard, outcome, context, &mut self.sends);
            }
        });
    }

    fn on_timer(&mut self) {
        with_context(self.shared, |context| {
            self.fanout.on_timer(context, &mut self.sends);
        });
    }

    fn finish(mut self, verdict: Verdict) -> Finished {
        let now = self.shared.now();
        Finished {
            ended: now,
            store_age: now.saturating_duration_since(self.shared.store_heard.get()),
            verdict,
            summary: self.fanout.summary(),
            parts: std::mem::take(&mut self.parts),
            failure: self.failure.take(),
            troubles: std::mem::take(&mut self.troubles),
        }
    }
}

/// A request ends also if its caller leaves.
impl Drop for Gathering<'_> {
    fn drop(&mut self) {
        with_context(self.shared, |context| self.fanout.end(context));
    }
}

fn with_context<T, F>(shared: &Shared, decide: F) -> T
where
    F: FnOnce(&mut Context<'_>) -> T,
{
    let fleet = shared.fleet.borrow();
    let mut allowances = shared.allowances.borrow_mut();
    let mut windows = shared.windows.borrow_mut();
    decide(&mut Context {
        now: shared.now(),
        fleet: &fleet,
        allowances: &mut allowances,
        windows: &mut windows,
        jitter: shared.jitter(),
    })
}
