//! Gathers the answers to one request: makes the calls and handovers that the fan-out decides on,
//! and reports their outcomes to it.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use camphorhold::coordination::serving::Fanout;
use camphorhold::coordination::serving::alarms::Caution;
use camphorhold::coordination::serving::alarms::Level;
use camphorhold::coordination::serving::fanout;
use camphorhold::coordination::serving::fanout::Context;
use camphorhold::coordination::serving::fanout::LeafCall;
use camphorhold::coordination::serving::fanout::Outcome;
use camphorhold::coordination::serving::fanout::Summary;
use camphorhold::coordination::serving::fanout::Verdict;
use camphorhold::coordination::serving::fleet::LeafKey;
use camphorhold::coordination::serving::instances::HandoverRole;
use camphorhold::coordination::serving::instances::ShardGroup;
use camphorhold::state::plan::Target;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hyper::Response;
use tokio::task::JoinHandle;

use crate::alarm;
use crate::alarm::Loss;
use crate::call;
use crate::call::ForwardedRequest;
use crate::handover;
use crate::handover::Query;
use crate::shard_queue;
use crate::shard_queue::HeldPermit;
use crate::shard_queue::Queue;
use crate::shared::Shared;

/// How long calls whose answers are no longer needed may run on, so that their connections can be
/// reused.
const UNNEEDED_CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// The share of the time until the answer is due after which an owner of shards is late. It calls a
/// second leaf before that, and the rest of the time suffices for a call.
const OWNER_LATE_SHARE: f64 = 0.6;

/// The same share for an instance in another failure domain, which waits for its owners first.
const FOREIGN_LATE_SHARE: f64 = 0.55;

/// How long the answer to a request that has probably ended leafs waits until these have been asked and
/// the other instances have been told. Its caller tries again at once.
const INQUIRY_TIMEOUT: Duration = Duration::from_millis(20);

/// The most call errors in the log line of a request. A query may have hundreds.
const MAX_LOGGED_ERRORS: usize = 6;

/// The most leafs with lost connections that are remembered for one request.
const MAX_LOST_LEAFS: usize = 3;

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
    /// The lost connections, if no leaf has survived the request.
    pub loss: Option<Loss>,
    /// Whether leafs are known to have ended under the request.
    pub have_ended: bool,
    /// Whether a leaf has survived the request.
    pub has_survivor: bool,
    /// The number of leafs whose connections were lost under the request, at most
    /// [`MAX_LOST_LEAFS`].
    pub lost_leafs: usize,
    /// Whether leafs may have received the request.
    pub may_have_called: bool,
    /// The positions of the shards that were refused because of their load.
    pub refused: Vec<usize>,
}

/// An answer that is part of the result.
struct Part {
    // Its shards, by their positions in the request. A merged answer covers several.
    shards: Vec<usize>,
    merged: bool,
    answer: Response<Bytes>,
}

/// A handover whose answer is not there yet, and when its shards are requested elsewhere, too.
struct Pending {
    group: ShardGroup,
    late_at: Instant,
}

/// A request in progress: its fan-out, the calls and handovers to make next, and the answers so far.
struct Gathering<'a> {
    shared: &'a Rc<Shared>,
    forwarded: &'a Rc<ForwardedRequest>,
    started: Instant,
    answer_by: Instant,
    services: Vec<Box<str>>,
    fanout: Fanout,
    new_calls: Vec<LeafCall>,
    new_groups: Vec<ShardGroup>,
    pending: Vec<Pending>,
    parts: Vec<Part>,
    failure: Option<Response<Bytes>>,
    call_errors: Vec<String>,
    lost: Vec<LeafKey>,
    // What the lost connections say so far, and the task that asks the lost leafs and tells the other
    // instances.
    alarm_level: Option<Level>,
    inquiry: Option<JoinHandle<bool>>,
    // Whether leafs are known to have ended under the request.
    have_ended: bool,
    // The permits for the shards that this instance calls, and the shards that were refused because
    // of their load, here or elsewhere.
    permits: HashMap<usize, HeldPermit>,
    refused: Vec<usize>,
}

/// Hands `groups` over and makes the other calls of a request, until the fan-out reaches a verdict.
pub async fn run(
    shared: &Rc<Shared>,
    forwarded: &Rc<ForwardedRequest>,
    request: fanout::Request,
    query: Query,
    groups: Vec<ShardGroup>,
    queue: Queue,
) -> FinishedRequest {
    let answer_by = request.answer_by;
    let (expected, _) = shared.latency(&forwarded.route);
    let mut gathering = Gathering::start(shared, forwarded, request, groups);
    gathering.permits = queue.permits;
    gathering.refused = queue.refused;
    let mut waits = queue.waits;
    let mut calls = FuturesUnordered::new();
    let mut handovers = FuturesUnordered::new();
    let timer = tokio::time::sleep_until(gathering.next_timer().into());
    tokio::pin!(timer);
    let verdict = loop {
        for group in std::mem::take(&mut gathering.new_groups) {
            gathering.on_handover_sent(&group);
            handovers.push(handover::start(shared, forwarded, &query, group, answer_by));
        }
        for call in gathering.new_calls.drain(..) {
            calls.push(call::start(shared, forwarded, call, expected));
        }
        if let Some(verdict) = gathering.fanout.verdict(shared.now()) {
            break verdict;
        }
        if shard_queue::prevents_answer(forwarded, &gathering.refused) {
            break gathering.fanout.give_up();
        }
        let next = gathering.next_timer().into();
        if timer.deadline() != next {
            timer.as_mut().reset(next);
        }
        tokio::select! {
            biased;
            Some(end) = calls.next() => gathering.on_call_end(end),
            Some((position, permit)) = waits.next() => gathering.on_turn(position, permit),
            Some(end) = handovers.next() => gathering.on_handover_end(end),
            have_ended = end_of(&mut gathering.inquiry) => gathering.on_inquiry_end(have_ended),
            () = &mut timer => gathering.on_timer(),
        }
    };
    if matches!(verdict, Verdict::GiveUp { .. }) {
        gathering.finish_inquiry().await;
    }
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
    // Without an answer, the handovers are dropped, so that the other instances stop their work.
    if !handovers.is_empty() && matches!(verdict, Verdict::Answer(_)) {
        // Ignores the answers: the handovers run on until they are due, because only then it shows
        // whether an instance is late with one shard or does not respond at all.
        tokio::task::spawn_local(handovers.for_each(|_| std::future::ready(())));
    }
    gathering.finish(verdict)
}

impl<'a> Gathering<'a> {
    fn start(
        shared: &'a Rc<Shared>,
        forwarded: &'a Rc<ForwardedRequest>,
        request: fanout::Request,
        groups: Vec<ShardGroup>,
    ) -> Self {
        let shards = request.shards.len();
        let services = request.shards.iter().map(|shard| shard.service.clone());
        let services = services.collect();
        let started = request.started;
        let answer_by = request.answer_by;
        let (fanout, new_calls) = with_context(shared, |context| Fanout::start(request, context));
        Self {
            shared,
            forwarded,
            started,
            answer_by,
            services,
            fanout,
            new_calls,
            new_groups: groups,
            pending: Vec::new(),
            parts: Vec::with_capacity(shards),
            failure: None,
            call_errors: Vec::new(),
            lost: Vec::new(),
            alarm_level: None,
            inquiry: None,
            have_ended: false,
            permits: HashMap::new(),
            refused: Vec::new(),
        }
    }

    /// Calls a leaf of a shard that has waited for its turn, or fails the shard if it is refused.
    fn on_turn(&mut self, shard: usize, permit: Option<HeldPermit>) {
        if let Some(permit) = permit {
            self.permits.insert(shard, permit);
            self.end_handover(&[shard], &[], Outcome::Unsent);
        } else {
            self.refuse(shard, false);
        }
    }

    fn refuse(&mut self, shard: usize, may_have_run: bool) {
        self.refused.push(shard);
        with_context(self.shared, |context| {
            self.fanout
                .on_handover_refused(shard, may_have_run, context);
        });
    }

    fn next_timer(&self) -> Instant {
        let late = self.pending.iter().map(|pending| pending.late_at).min();
        let next = self.fanout.next_timer();
        late.map_or(next, |late| late.min(next))
    }

    fn on_handover_sent(&mut self, group: &ShardGroup) {
        let share = match group.role {
            HandoverRole::Owner => OWNER_LATE_SHARE,
            HandoverRole::Caller | HandoverRole::Coordinator => FOREIGN_LATE_SHARE,
        };
        let time = self.answer_by.saturating_duration_since(self.started);
        self.pending.push(Pending {
            group: group.clone(),
            late_at: self.started + time.mul_f64(share),
        });
    }

    /// Sends the request to no second leaf of a shard if another instance suspects that leafs end under
    /// it.
    fn heed_alarms(&mut self) {
        let alarms = self.shared.alarms.borrow();
        if !alarms.is_empty()
            && alarms.caution(self.forwarded.fingerprint(), self.shared.now()) != Caution::Free
        {
            self.fanout.on_alarm(self.shared.now());
        }
    }

    /// Requests the shards of late handovers elsewhere: those of an owner from their leafs, those of
    /// a coordinator through coordinators in other failure domains, which have the other leafs.
    fn on_late_handovers(&mut self) {
        let now = self.shared.now();
        let (late, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|pending: &Pending| pending.late_at <= now);
        self.pending = pending;
        for Pending { group, .. } in late {
            let mut instances = self.shared.instances.borrow_mut();
            if !instances.take_hedge(group.shards.len()) {
                continue;
            }
            drop(instances);
            metrics::counter!("camphorhold_handover_hedges_total").increment(1);
            match group.role {
                HandoverRole::Caller | HandoverRole::Owner => {
                    with_context(self.shared, |context| {
                        for shard in group.shards {
                            self.fanout
                                .hedge_handover(shard, context, &mut self.new_calls);
                        }
                    });
                }
                HandoverRole::Coordinator => self.hand_over_elsewhere(&group),
            }
        }
    }

    fn hand_over_elsewhere(&mut self, late: &ShardGroup) {
        let asked = name_shards(&self.services, &late.shards);
        let instances = self.shared.instances.borrow();
        let fleet = self.shared.fleet.borrow();
        let groups = instances.assign_elsewhere(&fleet, late, &asked, self.shared.now());
        drop((instances, fleet));
        for mut group in groups {
            with_context(self.shared, |context| {
                group
                    .shards
                    .retain(|shard| self.fanout.hand_over_again(*shard, context));
            });
            if !group.shards.is_empty() {
                self.new_groups.push(group);
            }
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
        let is_lost = end.outcome == Outcome::Lost;
        if is_lost {
            self.on_lost(end.leaf);
        }
        let answered_before = self.fanout.coverage().answered;
        with_context(self.shared, |context| {
            let new_calls = &mut self.new_calls;
            self.fanout
                .on_outcome(end.shard, end.leaf, end.outcome, context, new_calls);
        });
        if is_lost {
            self.raise_alarm();
        }
        if end.outcome == Outcome::Answered
            && let Some(permit) = self.permits.remove(&end.shard)
        {
            permit.answered();
        }
        if end.outcome == Outcome::NotRun {
            let mut loads = self.shared.shard_loads.borrow_mut();
            loads.on_leaf_refusal(&self.services[end.shard]);
        }
        match end.outcome {
            Outcome::Answered if self.fanout.coverage().answered > answered_before => {
                self.parts.extend(end.answer.map(|answer| Part {
                    shards: vec![end.shard],
                    merged: false,
                    answer,
                }));
            }
            Outcome::Failed | Outcome::Rejected => {
                self.failure = end.answer.or(self.failure.take());
            }
            Outcome::Answered | Outcome::NotRun | Outcome::Unsent | Outcome::Lost => {}
        }
    }

    fn on_lost(&mut self, leaf: LeafKey) {
        if self.lost.len() < MAX_LOST_LEAFS && !self.lost.contains(&leaf) {
            self.lost.push(leaf);
        }
    }

    /// Tells the other instances that the request may have ended leafs, unless one has survived it. Of
    /// a query only when a second leaf is lost: leafs end for other reasons.
    fn raise_alarm(&mut self) {
        let Some(level) = self.fanout.suspicion() else {
            return;
        };
        let is_query = matches!(self.forwarded.route.target, Target::Shards(_));
        if is_query && self.lost.len() < 2 {
            return;
        }
        if self.alarm_level >= Some(level) {
            return;
        }
        self.alarm_level = Some(level);
        let alarm = alarm::raise(self.shared, self.forwarded, level, self.loss());
        self.inquiry = Some(tokio::task::spawn_local(alarm));
        if is_query {
            self.fanout.on_inquiry_start();
        }
    }

    fn on_inquiry_end(&mut self, have_ended: bool) {
        self.have_ended |= have_ended;
        self.fanout.on_inquiry_end(have_ended);
    }

    /// Waits a moment for the end of the inquiry, before the caller is told that the request has failed.
    /// Whether it ends in time makes no difference to the answer.
    async fn finish_inquiry(&mut self) {
        if self.inquiry.is_none() {
            return;
        }
        let end = end_of(&mut self.inquiry);
        if let Ok(have_ended) = tokio::time::timeout(INQUIRY_TIMEOUT, end).await {
            self.have_ended |= have_ended;
        }
    }

    fn loss(&self) -> Loss {
        Loss {
            leafs: self.lost.clone(),
            called: self.fanout.called_leafs().collect(),
        }
    }

    fn on_handover_end(&mut self, end: handover::End) {
        let handover::End {
            mut group,
            refused,
            mut answered,
            mut rest_outcome,
            answer,
            lost,
        } = end;
        for leaf in lost {
            self.fanout.on_lost_elsewhere(self.shared.now());
            self.on_lost(leaf);
            self.raise_alarm();
        }
        self.pending.retain(|pending| pending.group != group);
        if answered.is_empty() && self.call_errors.len() < MAX_LOGGED_ERRORS {
            self.call_errors
                .push(format!("{} {rest_outcome:?}", group.name));
        }
        let is_not_run = matches!(rest_outcome, Outcome::Unsent | Outcome::NotRun);
        // The shards that an answer leaves out because they are refused have not run either.
        let may_have_run = !is_not_run && answer.is_none();
        for shard in refused {
            if !answered.contains(&shard) {
                group.shards.retain(|other| *other != shard);
                self.refuse(shard, may_have_run);
            }
        }
        if group.shards.is_empty() || shard_queue::prevents_answer(self.forwarded, &self.refused) {
            return;
        }
        if group.role == HandoverRole::Coordinator && rest_outcome == Outcome::Unsent {
            self.hand_over_to_owners(group);
            return;
        }
        if let Some(answer) = answer.filter(|_| !answered.is_empty()) {
            let overlaps = |part: &Part| part.shards.iter().any(|shard| answered.contains(shard));
            if self.parts.iter().any(|part| part.merged && overlaps(part)) {
                // A merged answer cannot be divided, and no shard may count twice.
                answered.clear();
                rest_outcome = Outcome::Failed;
            } else {
                // Some of these shards may have answered to this instance in the meantime.
                self.parts.retain(|part| !overlaps(part));
                self.parts.push(Part {
                    shards: answered.clone(),
                    merged: true,
                    answer,
                });
            }
        }
        self.end_handover(&group.shards, &answered, rest_outcome);
    }

    fn end_handover(&mut self, shards: &[usize], answered: &[usize], rest_outcome: Outcome) {
        with_context(self.shared, |context| {
            for shard in shards.iter().copied() {
                let outcome = if answered.contains(&shard) {
                    Outcome::Answered
                } else {
                    rest_outcome
                };
                self.fanout
                    .on_handover_outcome(shard, outcome, context, &mut self.new_calls);
            }
        });
    }

    /// Divides the shards of a coordinator that did not take them among their owners in this
    /// instance's failure domain. Calls those that it owns itself.
    fn hand_over_to_owners(&mut self, refused: ShardGroup) {
        let asked = name_shards(&self.services, &refused.shards);
        let instances = self.shared.instances.borrow();
        let groups = instances.assign_to_owners(&asked, self.shared.now());
        drop(instances);
        let mut left = refused.shards;
        for group in &groups {
            left.retain(|shard| !group.shards.contains(shard));
        }
        self.new_groups.extend(groups);
        self.end_handover(&left, &[], Outcome::Unsent);
    }

    fn on_timer(&mut self) {
        self.heed_alarms();
        self.on_late_handovers();
        with_context(self.shared, |context| {
            self.fanout.on_timer(context, &mut self.new_calls);
        });
    }

    fn finish(mut self, verdict: Verdict) -> FinishedRequest {
        let now = self.shared.now();
        let has_survivor = self.fanout.has_survivor();
        let lost_leafs = self.lost.len();
        FinishedRequest {
            ended: now,
            store_age: now.saturating_duration_since(self.shared.last_store_answer.get()),
            verdict,
            summary: self.fanout.summary(),
            parts: self.parts.drain(..).map(|part| part.answer).collect(),
            failure: self.failure.take(),
            call_errors: std::mem::take(&mut self.call_errors),
            loss: (!has_survivor && !self.lost.is_empty()).then(|| self.loss()),
            have_ended: self.have_ended,
            has_survivor,
            lost_leafs,
            may_have_called: self.fanout.may_have_called(),
            refused: std::mem::take(&mut self.refused),
        }
    }
}

/// Ends the fan-out, also when the caller disconnects before there is a verdict.
impl Drop for Gathering<'_> {
    fn drop(&mut self) {
        with_context(self.shared, |context| self.fanout.end(context));
    }
}

/// Waits for the end of an inquiry, and returns whether leafs have ended. Never returns without one.
async fn end_of(inquiry: &mut Option<JoinHandle<bool>>) -> bool {
    let Some(task) = inquiry else {
        return std::future::pending().await;
    };
    let have_ended = task.await.unwrap_or(false);
    *inquiry = None;
    have_ended
}

/// Returns the shards with the names of their services.
fn name_shards<'a>(services: &'a [Box<str>], shards: &[usize]) -> Vec<(usize, &'a str)> {
    shards
        .iter()
        .map(|shard| (*shard, &*services[*shard]))
        .collect()
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
