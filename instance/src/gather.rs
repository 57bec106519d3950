//! Gathers the answers to one request: makes the calls and handovers that the fan-out decides on,
//! and reports their outcomes to it.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use camphorhold::coordination::serving::Fanout;
use camphorhold::coordination::serving::fanout;
use camphorhold::coordination::serving::fanout::Context;
use camphorhold::coordination::serving::fanout::LeafCall;
use camphorhold::coordination::serving::fanout::Outcome;
use camphorhold::coordination::serving::fanout::Summary;
use camphorhold::coordination::serving::fanout::Verdict;
use camphorhold::coordination::serving::instances::ShardGroup;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hyper::Response;

use crate::call;
use crate::call::ForwardedRequest;
use crate::handover;
use crate::shared::Shared;

/// How long calls whose answers are no longer needed may run on, so that their connections can be
/// reused.
const UNNEEDED_CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// The most call errors in the log line of a request. A query may have hundreds.
const MAX_LOGGED_ERRORS: usize = 6;

/// The result of a request, from which the response is built.
pub struct FinishedRequest {
    /// When the verdict was reached.
    pub ended: Instant,
    /// The time between the store's last answer and the end of the request.
    pub store_age: Duration,
    /// Whether the request has an answer, or why it has none.
    pub verdict: Verdict,
    /// Coverage, hedges, retries and missing shards, for metrics and the log line.
    pub summary: Summary,
    /// The answers that make up the result, from leafs and from handovers.
    pub parts: Vec<Response<Bytes>>,
    /// The last answer of a leaf that counted as failed.
    pub failure: Option<Response<Bytes>>,
    /// The first [`MAX_LOGGED_ERRORS`] calls and handovers without a usable answer, each as the id
    /// of the leaf or instance and the reason.
    pub call_errors: Vec<String>,
}

/// A request in progress: its fan-out, the calls to make next, and the answers so far.
struct Gathering<'a> {
    shared: &'a Rc<Shared>,
    fanout: Fanout,
    new_calls: Vec<LeafCall>,
    parts: Vec<Response<Bytes>>,
    failure: Option<Response<Bytes>>,
    call_errors: Vec<String>,
}

/// Hands `groups` over and makes the other calls of a request, until the fan-out reaches a verdict.
/// `version` is the version of the configuration that the handovers name.
pub async fn run(
    shared: &Rc<Shared>,
    forwarded: &Rc<ForwardedRequest>,
    request: fanout::Request,
    version: u64,
    groups: Vec<ShardGroup>,
) -> FinishedRequest {
    let mut handovers: FuturesUnordered<_> = groups
        .into_iter()
        .map(|group| handover::start(shared, forwarded, version, group, request.answer_by))
        .collect();
    let (expected, _) = shared.latency(&forwarded.route);
    let mut gathering = Gathering::start(shared, request);
    let mut calls = FuturesUnordered::new();
    let timer = tokio::time::sleep_until(gathering.fanout.next_timer().into());
    tokio::pin!(timer);
    let verdict = loop {
        for call in gathering.new_calls.drain(..) {
            calls.push(call::start(shared, forwarded, call, expected));
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
            // Ignores the answers: the calls run on only so that their connections can be reused.
            let _ = tokio::time::timeout(
                UNNEEDED_CALL_TIMEOUT,
                calls.for_each(|_| std::future::ready(())),
            )
            .await;
        });
    }
    gathering.finish(verdict)
}

impl<'a> Gathering<'a> {
    fn start(shared: &'a Rc<Shared>, request: fanout::Request) -> Self {
        let shards = request.shards.len();
        let (fanout, new_calls) = with_context(shared, |context| Fanout::start(request, context));
        Self {
            shared,
            fanout,
            new_calls,
            parts: Vec::with_capacity(shards),
            failure: None,
            call_errors: Vec::new(),
        }
    }

    fn on_call_end(&mut self, end: call::End) {
        if let Some(call_error) = end.call_error
            && self.call_errors.len() < MAX_LOGGED_ERRORS
        {
            let fleet = self.shared.fleet.borrow();
            let id = fleet.get(end.leaf).map_or("gone", |leaf| &leaf.entry().id);
            self.call_errors.push(format!("{id} {call_error}"));
        }
        let answered_before = self.fanout.coverage().answered;
        with_context(self.shared, |context| {
            let new_calls = &mut self.new_calls;
            self.fanout
                .on_outcome(end.shard, end.leaf, end.outcome, context, new_calls);
        });
        match end.outcome {
            Outcome::Answered if self.fanout.coverage().answered > answered_before => {
                self.parts.extend(end.answer);
            }
            Outcome::Failed => self.failure = end.answer.or(self.failure.take()),
            Outcome::Answered | Outcome::NotRun | Outcome::Unsent => {}
        }
    }

    fn on_handover_end(&mut self, end: handover::End) {
        if end.answered.is_empty() && self.call_errors.len() < MAX_LOGGED_ERRORS {
            self.call_errors
                .push(format!("{} {:?}", end.instance, end.rest_outcome));
        }
        self.parts.extend(end.answer);
        with_context(self.shared, |context| {
            for shard in end.shards {
                let outcome = if end.answered.contains(&shard) {
                    Outcome::Answered
                } else {
                    end.rest_outcome
                };
                self.fanout
                    .on_handover_outcome(shard, outcome, context, &mut self.new_calls);
            }
        });
    }

    fn on_timer(&mut self) {
        with_context(self.shared, |context| {
            self.fanout.on_timer(context, &mut self.new_calls);
        });
    }

    fn finish(mut self, verdict: Verdict) -> FinishedRequest {
        let now = self.shared.now();
        FinishedRequest {
            ended: now,
            store_age: now.saturating_duration_since(self.shared.last_store_answer.get()),
            verdict,
            summary: self.fanout.summary(),
            parts: std::mem::take(&mut self.parts),
            failure: self.failure.take(),
            call_errors: std::mem::take(&mut self.call_errors),
        }
    }
}

/// Ends the fan-out, also when the caller disconnects before there is a verdict.
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
    let mut retry_budgets = shared.retry_budgets.borrow_mut();
    let mut concurrency_limits = shared.concurrency_limits.borrow_mut();
    decide(&mut Context {
        now: shared.now(),
        fleet: &fleet,
        retry_budgets: &mut retry_budgets,
        concurrency_limits: &mut concurrency_limits,
        jitter: shared.jitter(),
    })
}
