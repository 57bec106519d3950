//! One request at its leafs: which calls are sent when, and when the caller gets its answer.
//!
//! A request to a single service is a fan-out over one shard. Sockets and timers are left to the
//! caller of this module, who sends what the methods return and reports what became of it.

use std::time::Duration;
use std::time::Instant;

use super::concurrency_limit::ConcurrencyLimits;
use super::concurrency_limit::ShardOutcome;
use super::fleet::Fleet;
use super::fleet::LeafKey;
use super::fleet::LeafLimits;
use super::retry_budget::ExtraCall;
use super::retry_budget::RetryBudgets;
use crate::coordination::merge::Coverage;
use crate::state::plan::CallSemantics;

/// Pause before another look for a leaf, when none is open.
const RECHECK: Duration = Duration::from_millis(15);

/// Calls of one shard that may fail to leave the instance. They reach no leaf, so they cost nothing
/// but time.
const MAX_UNSENT: u8 = 4;

/// What a request shares with the other requests of the instance.
#[derive(Debug)]
pub struct Context<'a> {
    /// The time of the event.
    pub now: Instant,
    /// The leafs.
    pub fleet: &'a Fleet,
    /// The retry budgets.
    pub retry_budgets: &'a mut RetryBudgets,
    /// The windows of the shards.
    pub concurrency_limits: &'a mut ConcurrencyLimits,
    /// A random number in 0..1.
    pub jitter: f32,
}

/// A shard to ask.
#[derive(Clone, Debug)]
pub struct Shard {
    /// The service that holds it.
    pub service: Box<str>,
    /// The limits of its leafs.
    pub limits: LeafLimits,
    /// Who asks it.
    pub assignment: ShardAssignment,
}

/// Who asks a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardAssignment {
    /// This instance.
    Local,
    /// Another instance.
    HandedOver,
    /// Nobody: its window is full.
    Skipped,
}

/// What is asked, and by when an answer is useful.
#[derive(Clone, Debug)]
pub struct Request {
    /// The shards.
    pub shards: Vec<Shard>,
    /// When the request had arrived.
    pub started: Instant,
    /// Whether its shards count in the windows. A query that was handed over counts where its
    /// caller is, and a request to one service is refused by its leafs.
    pub limits_concurrency: bool,
    /// Whether calls may be repeated.
    pub semantics: CallSemantics,
    /// The smallest share of shards, from 0 to 1, that makes an answer.
    pub min_coverage: f64,
    /// How many leafs of one shard may receive the request.
    pub max_leafs: usize,
    /// How long a call may take before a second leaf is asked; `None` turns hedging off.
    pub hedge_delay: Option<Duration>,
    /// Until when a request of which no call could be sent waits for a leaf. A caller that is
    /// refused early can still be served in time elsewhere.
    pub refuse_by: Instant,
    /// When an answer with the minimum is given, even if shards are missing.
    pub answer_by: Instant,
    /// When the final answer is due.
    pub deadline: Instant,
}

/// An order to call a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeafCall {
    /// The position of the shard in the request.
    pub shard: usize,
    /// The leaf to call.
    pub leaf: LeafKey,
    /// When the leaf shall give up.
    pub deadline: Instant,
}

/// What became of a call, as far as the request is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer is part of the result.
    Answered,
    /// The leaf has not run the request.
    NotRun,
    /// The request did not leave this instance.
    Unsent,
    /// The leaf failed, or may have run the request without an answer.
    Failed,
}

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Too few shards have a leaf that could answer.
    Unavailable,
    /// The time is up.
    TimedOut,
}

/// The end of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The parts make an answer.
    Answer(Coverage),
    /// There will be no answer.
    GiveUp {
        /// Why.
        reason: Reason,
        /// Whether a leaf may have run the request.
        may_have_run: bool,
        /// The parts that did arrive.
        coverage: Coverage,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    Answered,
    Failed,
}

#[derive(Clone, Debug)]
struct Progress {
    service: Box<str>,
    limits: LeafLimits,
    state: State,
    in_flight: Vec<LeafKey>,
    tried: Vec<LeafKey>,
    arrivals: u32,
    unsent: u8,
    hedge_at: Option<Instant>,
    recheck_at: Option<Instant>,
}

/// The calls of a request and what became of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// How many shards have answered.
    pub coverage: Coverage,
    /// Calls to a second leaf because the first was late.
    pub hedges: u32,
    /// Calls that replaced a failed one.
    pub retries: u32,
    /// The positions of the shards that have answered.
    pub answered: Vec<usize>,
    /// The services of the others.
    pub missing: Vec<Box<str>>,
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
    hedges: u32,
    retries: u32,
}

impl Fanout {
    /// Starts a request and returns its first calls.
    pub fn start(request: Request, context: &mut Context<'_>) -> (Self, Vec<LeafCall>) {
        let asked_by = |asker: ShardAssignment| {
            let is_asked = |index: &usize| request.shards[*index].assignment == asker;
            (0..request.shards.len())
                .filter(is_asked)
                .collect::<Vec<_>>()
        };
        let direct = asked_by(ShardAssignment::Local);
        let open = direct.len() + asked_by(ShardAssignment::HandedOver).len();
        let open = u32::try_from(open).unwrap_or(u32::MAX);
        let mut fanout = Self {
            shards: request
                .shards
                .into_iter()
                .map(|shard| Progress {
                    service: shard.service,
                    limits: shard.limits,
                    state: match shard.assignment {
                        ShardAssignment::Local | ShardAssignment::HandedOver => State::Open,
                        ShardAssignment::Skipped => State::Failed,
                    },
                    in_flight: Vec::new(),
                    tried: Vec::new(),
                    arrivals: 0,
                    unsent: 0,
                    hedge_at: None,
                    recheck_at: None,
                })
                .collect(),
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
            hedges: 0,
            retries: 0,
        };
        if fanout.limits_concurrency {
            for progress in fanout.open_shards() {
                context.concurrency_limits.on_start(&progress.service);
            }
        }
        let mut sends = Vec::with_capacity(fanout.shards.len());
        for index in direct {
            let service = &fanout.shards[index].service;
            context.retry_budgets.on_request(service, context.now);
            fanout.send_or_wait(index, context, &mut sends);
        }
        (fanout, sends)
    }

    /// Handles the end of a call. Calls that replace it are added to `sends`.
    pub fn on_outcome(
        &mut self,
        shard: usize,
        leaf: LeafKey,
        outcome: Outcome,
        context: &mut Context<'_>,
        sends: &mut Vec<LeafCall>,
    ) {
        let progress = &mut self.shards[shard];
        progress.in_flight.retain(|key| *key != leaf);
        if matches!(outcome, Outcome::Answered | Outcome::Failed) {
            self.may_have_run = true;
        }
        if progress.state != State::Open {
            return;
        }
        match outcome {
            Outcome::Answered => self.answer(shard, context),
            Outcome::Unsent => {
                progress.unsent += 1;
                progress.arrivals = progress.arrivals.saturating_sub(1);
                progress.tried.retain(|key| *key != leaf);
                if progress.in_flight.is_empty() && progress.unsent >= MAX_UNSENT {
                    self.fail(shard, context);
                } else if progress.in_flight.is_empty() {
                    self.send_or_wait(shard, context, sends);
                }
            }
            Outcome::NotRun => self.retry(shard, context, sends),
            Outcome::Failed if self.semantics == CallSemantics::Idempotent => {
                self.retry(shard, context, sends);
            }
            Outcome::Failed => self.fail(shard, context),
        }
    }

    /// Handles what became of a shard at the instance to which it was handed over. If it has no
    /// answer, this instance asks a leaf itself; that call is an extra one if the other instance may
    /// have made one.
    pub fn on_handover_outcome(
        &mut self,
        shard: usize,
        outcome: Outcome,
        context: &mut Context<'_>,
        sends: &mut Vec<LeafCall>,
    ) {
        let progress = &mut self.shards[shard];
        if progress.state != State::Open {
            return;
        }
        match outcome {
            Outcome::Answered => {
                self.may_have_run = true;
                self.answer(shard, context);
                return;
            }
            Outcome::Failed => {
                self.may_have_run = true;
                progress.arrivals += 1;
                // The other instance may have asked as many leafs as are permitted, and any further
                // one would be too many.
                if context.fleet.count(&progress.service) > self.max_leafs {
                    self.fail(shard, context);
                    return;
                }
            }
            Outcome::NotRun | Outcome::Unsent => {
                context
                    .retry_budgets
                    .on_request(&progress.service, context.now);
            }
        }
        self.send_or_wait(shard, context, sends);
    }

    /// Ends the request: the shards without an answer no longer count as asked.
    pub fn end(&mut self, context: &mut Context<'_>) {
        let part = if context.now >= self.answer_by {
            ShardOutcome::Missed
        } else {
            ShardOutcome::Cancelled
        };
        for shard in 0..self.shards.len() {
            if self.shards[shard].state == State::Open {
                self.shards[shard].state = State::Failed;
                self.open -= 1;
                self.note_end(shard, part, context);
            }
        }
    }

    /// Handles the passing of time. Hedges and calls that waited for a leaf are added to `sends`.
    pub fn on_timer(&mut self, context: &mut Context<'_>, sends: &mut Vec<LeafCall>) {
        for index in 0..self.shards.len() {
            let progress = &mut self.shards[index];
            if progress.state != State::Open {
                continue;
            }
            if progress.recheck_at.is_some_and(|at| at <= context.now) {
                progress.recheck_at = None;
                self.send_or_wait(index, context, sends);
            } else if progress.hedge_at.is_some_and(|at| at <= context.now) {
                self.hedge(index, context, sends);
            }
        }
    }

    /// Returns when [`Self::on_timer`] or [`Self::verdict`] has something to do next.
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

    /// Returns the end of the request, if it has come.
    #[must_use]
    pub fn verdict(&self, now: Instant) -> Option<Verdict> {
        let coverage = self.coverage();
        let complete = self.open == 0;
        let due = now >= self.answer_by;
        if self.reaches_minimum() && (complete || due) {
            return Some(Verdict::Answer(coverage));
        }
        let best = Coverage {
            answered: self.answered + self.open,
            in_scope: coverage.in_scope,
        };
        let reason = if !best.reaches(self.min_coverage) {
            Reason::Unavailable
        } else if now >= self.deadline {
            Reason::TimedOut
        } else {
            return None;
        };
        Some(Verdict::GiveUp {
            reason,
            may_have_run: self.may_have_run || self.has_calls(),
            coverage,
        })
    }

    /// Returns how many shards have answered.
    #[must_use]
    pub fn coverage(&self) -> Coverage {
        Coverage {
            answered: self.answered,
            in_scope: u32::try_from(self.shards.len()).unwrap_or(u32::MAX),
        }
    }

    /// Returns the calls and what became of them.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let with_state = |answered: bool| {
            (0..self.shards.len())
                .filter(move |shard| (self.shards[*shard].state == State::Answered) == answered)
        };
        Summary {
            coverage: self.coverage(),
            hedges: self.hedges,
            retries: self.retries,
            answered: with_state(true).collect(),
            missing: with_state(false)
                .map(|shard| self.shards[shard].service.clone())
                .collect(),
        }
    }

    fn reaches_minimum(&self) -> bool {
        self.coverage().reaches(self.min_coverage)
    }

    fn has_calls(&self) -> bool {
        self.shards
            .iter()
            .any(|progress| !progress.in_flight.is_empty())
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
        let part = if context.now <= self.answer_by {
            ShardOutcome::InTime
        } else {
            ShardOutcome::Missed
        };
        self.note_end(shard, part, context);
    }

    fn fail(&mut self, shard: usize, context: &mut Context<'_>) {
        if self.shards[shard].state == State::Open {
            self.shards[shard].state = State::Failed;
            self.open -= 1;
            self.note_end(shard, ShardOutcome::Missed, context);
        }
    }

    fn note_end(&self, shard: usize, part: ShardOutcome, context: &mut Context<'_>) {
        if self.limits_concurrency {
            let service = &self.shards[shard].service;
            context
                .concurrency_limits
                .on_end(service, part, self.started, context.now);
        }
    }

    /// Replaces a call that ended without an answer. While another call of the shard is in
    /// progress, that one is the replacement.
    fn retry(&mut self, shard: usize, context: &mut Context<'_>, sends: &mut Vec<LeafCall>) {
        if !self.shards[shard].in_flight.is_empty() {
            return;
        }
        self.send_or_wait(shard, context, sends);
    }

    fn hedge(&mut self, shard: usize, context: &mut Context<'_>, sends: &mut Vec<LeafCall>) {
        let progress = &mut self.shards[shard];
        progress.hedge_at = None;
        if progress.in_flight.len() != 1 {
            return;
        }
        let Some(leaf) = self.candidate(shard, context) else {
            return;
        };
        let service = &self.shards[shard].service;
        if !context
            .retry_budgets
            .take(service, ExtraCall::Hedge, context.now)
        {
            return;
        }
        self.hedges += 1;
        self.note_send(shard, leaf, context.now, sends);
    }

    /// Sends a call, waits for a leaf to become open, or ends the shard.
    fn send_or_wait(&mut self, shard: usize, context: &mut Context<'_>, sends: &mut Vec<LeafCall>) {
        let Some(leaf) = self.candidate(shard, context) else {
            let limit = if self.answered > 0 || self.has_calls() {
                self.answer_by
            } else {
                self.refuse_by
            };
            let waits = context.fleet.has_candidates(&self.shards[shard].service)
                && context.now + RECHECK < limit;
            if waits {
                self.shards[shard].recheck_at = Some(context.now + RECHECK);
            } else {
                self.fail(shard, context);
            }
            return;
        };
        let progress = &self.shards[shard];
        if progress.arrivals > 0 {
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
        self.note_send(shard, leaf, context.now, sends);
    }

    fn note_send(&mut self, shard: usize, leaf: LeafKey, now: Instant, sends: &mut Vec<LeafCall>) {
        let hedge_delay = self.hedge_delay;
        let deadline = self.call_deadline(now);
        let progress = &mut self.shards[shard];
        progress.arrivals += 1;
        progress.in_flight.push(leaf);
        if !progress.tried.contains(&leaf) {
            progress.tried.push(leaf);
        }
        progress.hedge_at = hedge_delay
            .filter(|_| progress.in_flight.len() == 1)
            .map(|delay| now + delay);
        sends.push(LeafCall {
            shard,
            leaf,
            deadline,
        });
    }

    /// Returns when a leaf shall give up a call that is sent now. A part of a query that is ready
    /// after the answer has left is no use to anybody, and the leaf's slot is of use to others.
    fn call_deadline(&self, now: Instant) -> Instant {
        if self.shards.len() > 1 && now < self.answer_by {
            self.answer_by
        } else {
            self.deadline
        }
    }

    /// Returns the leaf for the next call of a shard: one that has not been tried, or else one that
    /// has been and is idle.
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
