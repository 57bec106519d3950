//! The state of one request at its leafs. Decides when which calls are sent, and when the caller
//! gets its answer.
//!
//! A request to a single service is a fan-out over one shard. This module does no I/O and sets no
//! timers: its user sends the calls that the methods return, and reports the outcome of each.

mod crash_guard;
mod message;
mod progress;
mod result;
mod suspicion;

use std::time::Duration;
use std::time::Instant;

use self::crash_guard::CrashGuard;
pub use self::message::LeafCall;
pub use self::message::Outcome;
pub use self::message::Reason;
pub use self::message::Request;
pub use self::message::Shard;
pub use self::message::ShardAssignment;
pub use self::message::Summary;
pub use self::message::Verdict;
use self::progress::Progress;
use self::progress::State;
use super::concurrency_limit::ConcurrencyLimits;
use super::concurrency_limit::ShardOutcome;
use super::fleet::Fleet;
use super::fleet::LeafKey;
use super::retry_budget::ExtraCall;
use super::retry_budget::RetryBudgets;
use crate::state::plan::CallSemantics;

/// Time between two attempts to find a leaf for a shard while none can receive a call.
const RECHECK: Duration = Duration::from_millis(15);

/// Number of unsent calls after which a shard fails. An unsent call reaches no leaf, so the call
/// that replaces it needs no retry budget, unless another call of the shard was sent.
const MAX_UNSENT: u8 = 4;

/// State that a request shares with the other requests of the instance.
#[derive(Debug)]
pub struct Context<'a> {
    /// The time of the event that is handled.
    pub now: Instant,
    /// The leafs that this instance may call.
    pub fleet: &'a Fleet,
    /// The budgets from which retries and hedges are taken.
    pub retry_budgets: &'a mut RetryBudgets,
    /// The limits on the queries in progress at each shard.
    pub concurrency_limits: &'a mut ConcurrencyLimits,
    /// A random number in 0..1, which spreads calls over equally good leafs.
    pub jitter: f32,
}

/// A request in progress.
#[derive(Clone, Debug)]
pub struct Fanout {
    shards: Vec<Progress>,
    started: Instant,
    limits_concurrency: bool,
    semantics: CallSemantics,
    min_coverage: f64,
    max_leafs: usize,
    hedge_delay: Option<Duration>,
    refuse_by: Instant,
    answer_by: Instant,
    deadline: Instant,
    answered: u32,
    open: u32,
    may_have_run: bool,
    crash_guard: CrashGuard,
    hedges: u32,
    retries: u32,
}

impl Fanout {
    /// Starts a request and returns the first calls to send.
    pub fn start(request: Request, context: &mut Context<'_>) -> (Self, Vec<LeafCall>) {
        let with_assignment = |is_wanted: fn(ShardAssignment) -> bool| -> Vec<usize> {
            (0..request.shards.len())
                .filter(|index| is_wanted(request.shards[*index].assignment))
                .collect()
        };
        let mut local = with_assignment(|assignment| assignment == ShardAssignment::Local);
        let open = with_assignment(|assignment| assignment != ShardAssignment::Skipped).len();
        let open = u32::try_from(open).unwrap_or(u32::MAX);
        let is_query = request.shards.len() > 1;
        let mut fanout = Self {
            shards: request.shards.into_iter().map(Progress::new).collect(),
            started: request.started,
            limits_concurrency: request.limits_concurrency,
            semantics: request.semantics,
            min_coverage: request.min_coverage,
            max_leafs: request.max_leafs.max(1),
            hedge_delay: request.hedge_delay,
            refuse_by: request.refuse_by,
            answer_by: request.answer_by,
            deadline: request.deadline,
            answered: 0,
            open,
            may_have_run: false,
            crash_guard: CrashGuard::new(request.is_suspect, request.permits_canary, is_query),
            hedges: 0,
            retries: 0,
        };
        if fanout.limits_concurrency {
            for progress in fanout.open_shards() {
                context.concurrency_limits.on_start(&progress.service);
            }
        }
        let mut calls = Vec::with_capacity(fanout.shards.len());
        for index in &local {
            let service = &fanout.shards[*index].service;
            context.retry_budgets.on_request(service, context.now);
        }
        if request.is_suspect {
            // No shard gets the first call of all suspect queries.
            let first = first_position(local.len(), context.jitter);
            local.rotate_left(first);
        }
        for index in local {
            fanout.call_or_wait(index, context, &mut calls);
        }
        (fanout, calls)
    }

    /// Handles the outcome of a call. Appends the calls that replace it to `calls`.
    pub fn on_outcome(
        &mut self,
        shard: usize,
        leaf: LeafKey,
        outcome: Outcome,
        context: &mut Context<'_>,
        calls: &mut Vec<LeafCall>,
    ) {
        self.shards[shard].in_flight.retain(|key| *key != leaf);
        if outcome.may_have_run() {
            self.may_have_run = true;
        }
        match outcome {
            Outcome::Answered | Outcome::Rejected => self.on_survived(context, calls),
            Outcome::NotRun | Outcome::Unsent | Outcome::Failed => {
                self.crash_guard.on_inconclusive(leaf);
            }
            Outcome::Lost => {
                let canary_from = self.canary_from(context.now);
                self.crash_guard.on_lost(leaf, canary_from);
            }
        }
        let progress = &mut self.shards[shard];
        if progress.state != State::Open {
            return;
        }
        match outcome {
            Outcome::Answered => self.answer(shard, context),
            Outcome::Unsent => {
                progress.unsent += 1;
                progress.sent_calls = progress.sent_calls.saturating_sub(1);
                progress.tried.retain(|key| *key != leaf);
                if progress.is_idle() && progress.unsent >= MAX_UNSENT {
                    self.fail(shard, context);
                } else if progress.is_idle() {
                    self.call_or_wait(shard, context, calls);
                }
            }
            Outcome::NotRun => self.retry(shard, context, calls),
            Outcome::Failed | Outcome::Rejected | Outcome::Lost
                if self.semantics == CallSemantics::Idempotent =>
            {
                self.retry(shard, context, calls);
            }
            Outcome::Failed | Outcome::Rejected | Outcome::Lost => self.fail(shard, context),
        }
    }

    /// Handles the outcome of a shard that was handed over to another instance. Without an answer,
    /// this instance calls a leaf directly, unless one of its own calls is in progress, the call
    /// could exceed `max_leafs`, or the request may run only once and may have run. The call counts
    /// as a retry if the other instance may have called a leaf, also one that has refused to run it.
    pub fn on_handover_outcome(
        &mut self,
        shard: usize,
        outcome: Outcome,
        context: &mut Context<'_>,
        calls: &mut Vec<LeafCall>,
    ) {
        let progress = &mut self.shards[shard];
        progress.pending_handovers = progress.pending_handovers.saturating_sub(1);
        if outcome.may_have_run() {
            self.may_have_run = true;
        }
        if progress.state != State::Open {
            return;
        }
        match outcome {
            Outcome::Answered => {
                self.answer(shard, context);
                self.on_survived(context, calls);
                return;
            }
            Outcome::Failed | Outcome::Rejected | Outcome::Lost | Outcome::NotRun => {
                progress.sent_calls += 1;
            }
            Outcome::Unsent => {
                // The next queries will need the connection too, until the other instance takes
                // handovers again.
                progress.handed_over = false;
                context
                    .retry_budgets
                    .on_request(&progress.service, context.now);
            }
        }
        if !progress.is_idle() {
            return;
        }
        let may_run_again = self.semantics == CallSemantics::Idempotent
            && self.other_instance_left_leafs(shard, context);
        if outcome.may_have_run() && !may_run_again {
            self.fail(shard, context);
            return;
        }
        self.call_or_wait(shard, context, calls);
    }

    /// Handles the refusal of a shard by its owner because of its load. The shard fails unless another
    /// call or handover of it is in progress: a call by this instance would add to the load.
    pub fn on_handover_refused(
        &mut self,
        shard: usize,
        may_have_run: bool,
        context: &mut Context<'_>,
    ) {
        self.may_have_run |= may_have_run;
        let progress = &mut self.shards[shard];
        progress.pending_handovers = progress.pending_handovers.saturating_sub(1);
        if progress.is_idle() {
            self.fail(shard, context);
        }
    }

    /// Returns whether an open shard may be handed over once more, to another instance, and records
    /// it as handed over if so. The leafs may get the request twice then, so it takes a hedge from
    /// the budget.
    pub fn hand_over_again(&mut self, shard: usize, context: &mut Context<'_>) -> bool {
        let permitted = self.shards[shard].state == State::Open
            && self.crash_guard.permits_hedge()
            && self.other_instance_left_leafs(shard, context)
            && self.take_hedge(shard, context);
        if permitted {
            let progress = &mut self.shards[shard];
            progress.handed_over = true;
            progress.pending_handovers += 1;
        }
        permitted
    }

    /// Calls a leaf of a shard whose handover is late, within the budget for hedges.
    pub fn hedge_handover(
        &mut self,
        shard: usize,
        context: &mut Context<'_>,
        calls: &mut Vec<LeafCall>,
    ) {
        if self.shards[shard].state == State::Open && self.other_instance_left_leafs(shard, context)
        {
            self.hedge(shard, context, calls);
        }
    }

    /// Returns whether this instance may call a leaf of a shard although another instance may have
    /// called `max_leafs` of them: it may unless the service has more leafs than that.
    fn other_instance_left_leafs(&self, shard: usize, context: &Context<'_>) -> bool {
        context.fleet.count(&self.shards[shard].service) <= self.max_leafs
    }

    /// Ends the request. Shards without an answer fail and no longer count towards the concurrency
    /// limits.
    pub fn end(&mut self, context: &mut Context<'_>) {
        let outcome = if context.now >= self.answer_by {
            ShardOutcome::Missed
        } else {
            ShardOutcome::Cancelled
        };
        for shard in 0..self.shards.len() {
            if self.shards[shard].state == State::Open {
                self.shards[shard].state = State::Failed;
                self.open -= 1;
                self.record_end(shard, outcome, context);
            }
        }
    }

    /// Handles the timers that have expired. Appends hedges, and calls that waited for a leaf, to
    /// `calls`.
    pub fn on_timer(&mut self, context: &mut Context<'_>, calls: &mut Vec<LeafCall>) {
        for index in 0..self.shards.len() {
            let progress = &mut self.shards[index];
            if progress.state != State::Open {
                continue;
            }
            if progress.recheck_at.is_some_and(|at| at <= context.now) {
                progress.recheck_at = None;
                self.call_or_wait(index, context, calls);
            } else if progress.hedge_at.is_some_and(|at| at <= context.now) {
                self.hedge(index, context, calls);
            }
        }
    }

    /// Returns the earliest time at which [`Self::on_timer`] or [`Self::verdict`] has to be called
    /// again.
    #[must_use]
    pub fn next_timer(&self) -> Instant {
        let shards = self
            .shards
            .iter()
            .filter(|progress| progress.state == State::Open)
            .flat_map(|progress| [progress.hedge_at, progress.recheck_at])
            .flatten();
        let answer_by = self.reaches_minimum().then_some(self.answer_by);
        shards
            .chain(answer_by)
            .chain([self.deadline])
            .min()
            .unwrap_or(self.deadline)
    }

    fn open_shards(&self) -> impl Iterator<Item = &Progress> {
        self.shards
            .iter()
            .filter(|progress| progress.state == State::Open)
    }

    fn answer(&mut self, shard: usize, context: &mut Context<'_>) {
        self.shards[shard].state = State::Answered;
        self.answered += 1;
        self.open -= 1;
        let outcome = if context.now <= self.answer_by {
            ShardOutcome::InTime
        } else {
            ShardOutcome::Missed
        };
        self.record_end(shard, outcome, context);
    }

    fn fail(&mut self, shard: usize, context: &mut Context<'_>) {
        if self.shards[shard].state == State::Open {
            self.shards[shard].state = State::Failed;
            self.open -= 1;
            self.record_end(shard, ShardOutcome::Missed, context);
        }
    }

    fn record_end(&self, shard: usize, outcome: ShardOutcome, context: &mut Context<'_>) {
        if self.limits_concurrency {
            let service = &self.shards[shard].service;
            context
                .concurrency_limits
                .on_end(service, outcome, self.started, context.now);
        }
    }

    /// Replaces a call that ended without an answer, unless another call or a handover of the shard
    /// is still in progress.
    fn retry(&mut self, shard: usize, context: &mut Context<'_>, calls: &mut Vec<LeafCall>) {
        if self.shards[shard].is_idle() {
            self.call_or_wait(shard, context, calls);
        }
    }

    fn hedge(&mut self, shard: usize, context: &mut Context<'_>, calls: &mut Vec<LeafCall>) {
        // Leafs that have all answered nothing for so long may be ending under the request.
        let is_unanswered = self.answered == 0 && self.shards.len() > 1;
        let progress = &mut self.shards[shard];
        if is_unanswered && self.hedges > 0 {
            progress.hedge_at = Some(context.now + RECHECK);
            return;
        }
        progress.hedge_at = None;
        let is_second = progress.in_flight.len() == 1 || progress.pending_handovers > 0;
        if progress.in_flight.len() > 1 || !is_second || !self.crash_guard.permits_hedge() {
            return;
        }
        let Some(leaf) = self.candidate(shard, context) else {
            return;
        };
        if self.take_hedge(shard, context) {
            self.record_call(shard, leaf, Some(ExtraCall::Hedge), context.now, calls);
        }
    }

    fn take_hedge(&mut self, shard: usize, context: &mut Context<'_>) -> bool {
        let service = &self.shards[shard].service;
        let permitted = context
            .retry_budgets
            .take(service, ExtraCall::Hedge, context.now);
        self.hedges += u32::from(permitted);
        permitted
    }

    /// Sends a call, or waits if a leaf may become available in time, or else fails the shard.
    fn call_or_wait(&mut self, shard: usize, context: &mut Context<'_>, calls: &mut Vec<LeafCall>) {
        if !self.permits_call(shard, context) {
            let waits =
                self.may_be_permitted_later(context) && context.now + RECHECK < self.answer_by;
            self.wait_or_fail(shard, waits, context);
            return;
        }
        let Some(leaf) = self.candidate(shard, context) else {
            let limit = if self.answered > 0 || self.has_calls() {
                self.answer_by
            } else {
                self.refuse_by
            };
            let service = &self.shards[shard].service;
            let waits =
                context.now + RECHECK < limit && context.fleet.has_candidates(service, limit);
            self.wait_or_fail(shard, waits, context);
            return;
        };
        let progress = &self.shards[shard];
        let extra = (progress.sent_calls > 0).then_some(ExtraCall::Retry);
        if extra.is_some() {
            let service = &progress.service;
            if !context
                .retry_budgets
                .take(service, ExtraCall::Retry, context.now)
            {
                self.fail(shard, context);
                return;
            }
            self.retries += 1;
        }
        self.record_call(shard, leaf, extra, context.now, calls);
    }

    fn wait_or_fail(&mut self, shard: usize, waits: bool, context: &mut Context<'_>) {
        if waits {
            self.shards[shard].recheck_at = Some(context.now + RECHECK);
        } else {
            self.fail(shard, context);
        }
    }

    fn record_call(
        &mut self,
        shard: usize,
        leaf: LeafKey,
        extra: Option<ExtraCall>,
        now: Instant,
        calls: &mut Vec<LeafCall>,
    ) {
        let hedge_delay = self.hedge_delay;
        let deadline = self.call_deadline(now);
        self.crash_guard.on_call(leaf);
        let progress = &mut self.shards[shard];
        progress.sent_calls += 1;
        progress.in_flight.push(leaf);
        if !progress.tried.contains(&leaf) {
            progress.tried.push(leaf);
        }
        progress.hedge_at = hedge_delay
            .filter(|_| progress.in_flight.len() == 1 && progress.pending_handovers == 0)
            .map(|delay| now + delay);
        calls.push(LeafCall {
            shard,
            leaf,
            deadline,
            extra,
            replaces_handover: progress.handed_over,
        });
    }

    /// Returns the deadline of a call that is sent now. For a query over several shards this is
    /// `answer_by`: a part that is ready after the answer was given is useless, and the leaf can
    /// use the slot for other requests.
    fn call_deadline(&self, now: Instant) -> Instant {
        if self.shards.len() > 1 && now < self.answer_by {
            self.answer_by
        } else {
            self.deadline
        }
    }

    /// Returns the leaf for the next call of a shard: preferably one that has not received the
    /// request, or else one that has no call of this request in progress. This instance sends the
    /// request to at most `max_leafs` leafs of the shard.
    fn candidate(&self, shard: usize, context: &Context<'_>) -> Option<LeafKey> {
        let progress = &self.shards[shard];
        let choose = |avoid: &[LeafKey]| {
            context.fleet.choose(
                &progress.service,
                progress.limits,
                context.now,
                avoid,
                context.jitter,
            )
        };
        if progress.tried.len() < self.max_leafs
            && let Some(leaf) = choose(&progress.tried)
        {
            return Some(leaf);
        }
        let leaf = choose(&progress.in_flight)?;
        (progress.tried.contains(&leaf) || progress.tried.len() < self.max_leafs).then_some(leaf)
    }
}

/// Returns the position, of `count`, at which an order of shards starts.
fn first_position(count: usize, jitter: f32) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "the product lies between 0 and the number of shards"
    )]
    let position = (jitter * count as f32) as usize;
    position.min(count.saturating_sub(1))
}
