//! One query: which calls are sent when, and the outcome that the caller receives.
//!
//! The query sends one call per shard in scope, hedges and retries within the budget, merges
//! complete answers that match the pin, and ends according to the partial-answer policy of the
//! service. It does no I/O: the caller of the state machine performs the returned actions in order.

mod action;
mod dispatch;
mod outcome;

use std::time::Duration;
use std::time::Instant;

use fixedbitset::FixedBitSet;
use rand::RngCore;
use rand_chacha::ChaCha8Rng;

pub use self::action::Action;
pub use self::action::OutgoingCall;
pub use self::action::Received;
pub use self::action::Unused;
pub use self::outcome::Answer;
pub use self::outcome::Failure;
pub use self::outcome::Outcome;
pub use self::outcome::Reason;
use crate::coordination::budget::Budget;
use crate::coordination::correlation::Call;
use crate::coordination::correlation::CallId;
use crate::coordination::correlation::Calls;
use crate::coordination::correlation::Kind;
use crate::coordination::correlation::QueryId;
use crate::coordination::correlation::Unmatched;
use crate::coordination::hedge::Delay;
use crate::coordination::merge::Discard;
use crate::coordination::merge::Merge;
use crate::coordination::pin::Pin;
use crate::coordination::replica;
use crate::coordination::replica::Exclusion;
use crate::coordination::replica::LeafIndex;
use crate::coordination::replica::Table;
use crate::state::id::Fingerprint;
use crate::state::id::ShardId;

/// Time that a leaf call's deadline precedes the deadline of its query, so that the answer can
/// still travel back: 2 ms per hop.
pub const HOP_MARGIN: Duration = Duration::from_millis(2);

/// The most calls in flight for one shard: the first call and two hedges. If 1 in 100 calls
/// straggles, 8 in 100 queries to 830 shards have a shard whose first call and first hedge both
/// straggle.
const MAX_IN_FLIGHT: usize = 3;

/// State that a query shares with the other queries to the same version of a service, and the time
/// of the event it handles.
#[derive(Debug)]
pub struct Context<'a> {
    /// When the event occurred.
    pub now: Instant,
    /// The leafs of the service with their measurements.
    pub replicas: &'a mut Table,
    /// The delay before a hedge, measured over all queries to the service.
    pub hedge: &'a mut Delay,
    /// The budget for extra calls to the service.
    pub budget: &'a mut Budget,
    /// The calls in flight of all queries of this instance.
    pub calls: &'a mut Calls,
    /// Used to choose replicas and starting positions. The caller seeds it, so that tests can
    /// repeat a run.
    pub rng: &'a mut ChaCha8Rng,
}

/// A query to start, with the policy that decides when it ends.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The query's id, unique within this instance.
    pub id: QueryId,
    /// The snapshot and partition map that every leaf must answer from.
    pub pin: Pin,
    /// The shards to query. A repeated shard counts once.
    pub scope: &'a [ShardId],
    /// When the caller stops waiting for the answer.
    pub deadline: Instant,
    /// Whether the request may run more than once. If not, only one shard may be in scope, and
    /// nothing is hedged.
    pub idempotent: bool,
    /// Whether the service permits hedges.
    pub hedging: bool,
    /// The smallest share of shards, from 0 to 1, that must answer for the query to count as
    /// answered.
    pub minimum: f64,
    /// How long to wait for the missing shards after the minimum is reached.
    pub patience: Duration,
    /// The request's fingerprint if the request has to succeed on one leaf before it is sent to the
    /// others.
    pub canary: Option<Fingerprint>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    Answered,
    GivenUp,
}

#[derive(Clone, Copy, Debug)]
struct Shard {
    id: ShardId,
    state: State,
    sends: u8,
    calls: [Option<CallId>; MAX_IN_FLIGHT],
    failed_leaf: Option<LeafIndex>,
    hedge_at: Option<Instant>,
    // When the next hedge was first due, if the budget did not permit it then.
    hedge_due: Option<Instant>,
    retry_at: Option<Instant>,
    // Whether the retry is free of charge, because it replaces a call of which no byte was sent, or
    // the shard's first call to a leaf that cannot serve the request at all.
    retry_is_free: bool,
    // Whether the shard has used its free retry after a leaf that cannot serve the request.
    free_retry_used: bool,
}

/// A query in progress. `T` is the content of a leaf's answer.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
pub struct Query<T> {
    id: QueryId,
    deadline: Instant,
    idempotent: bool,
    hedging: bool,
    minimum: f64,
    patience: Duration,
    canary: Option<Fingerprint>,
    shards: Vec<Shard>,
    open: u32,
    merge: Merge<T>,
    may_have_started: bool,
    last_reason: Reason,
    patience_ends: Option<Instant>,
    next_timer: Option<Instant>,
    finished: bool,
}

impl<T> Query<T> {
    /// Starts a query. Returns its first calls, or [`Action::Finish`] if nothing can be sent.
    #[must_use]
    pub fn start(context: &mut Context<'_>, request: &Request<'_>) -> (Self, Vec<Action<T>>) {
        let mut actions = Vec::with_capacity(request.scope.len() + 1);
        let shards = distinct_shards(context.replicas.shards(), request.scope);
        let (shards, problem) = match shards {
            Ok(shards) => (shards, None),
            Err(reason) => (Vec::new(), Some(reason)),
        };
        let in_scope = u32::try_from(shards.len()).unwrap_or(u32::MAX);
        let mut query = Self {
            id: request.id,
            deadline: request.deadline,
            idempotent: request.idempotent,
            hedging: request.hedging && request.idempotent,
            minimum: request.minimum,
            patience: request.patience,
            canary: request.canary,
            shards,
            open: in_scope,
            merge: Merge::new(request.pin, in_scope),
            may_have_started: false,
            last_reason: Reason::NoReplica,
            patience_ends: None,
            next_timer: None,
            finished: false,
        };
        match problem.or_else(|| query.problem(context.now)) {
            Some(reason) => query.finish(context, reason, &mut actions),
            None => query.send_first(context, &mut actions),
        }
        (query, actions)
    }

    /// Returns why the query must not be sent, or `None` if it may be.
    fn problem(&self, now: Instant) -> Option<Reason> {
        if self.shards.is_empty() {
            return Some(Reason::EmptyScope);
        }
        if !self.idempotent && self.shards.len() > 1 {
            return Some(Reason::ScopeTooLarge);
        }
        (now >= self.call_deadline()).then_some(Reason::TooLate)
    }

    /// Handles an answer, whose content is `hits`.
    ///
    /// # Errors
    ///
    /// Fails if the answer is not merged into the result. A retry or the end of the query may still
    /// have been added to `actions`.
    pub fn on_answer(
        &mut self,
        context: &mut Context<'_>,
        received: &Received,
        hits: T,
        actions: &mut Vec<Action<T>>,
    ) -> Result<(), Unused> {
        let Received {
            call: id,
            leaf,
            part,
        } = *received;
        let call = context.calls.answer(id, self.id, leaf, part.shard)?;
        self.may_have_started = true;
        self.forget_call(call.position, id);
        let latency = context.now.saturating_duration_since(call.sent);
        match self.merge.add(call.position, call.shard, part, hits) {
            Ok(()) => {
                context.replicas.on_answer(leaf, context.now, latency);
                if call.kind == Kind::Primary {
                    context.hedge.record(context.now, latency);
                }
                self.on_shard_answered(context, call.position as usize, actions);
                Ok(())
            }
            Err(discard) => {
                self.on_discard(context, &call, discard);
                self.after_failure(context, &call, Failure::Failed, actions);
                Err(discard.into())
            }
        }
    }

    fn on_discard(&mut self, context: &mut Context<'_>, call: &Call, discard: Discard) {
        match discard {
            Discard::Snapshot | Discard::Partition => {
                context.replicas.on_refused(call.leaf);
                context.replicas.remove_held(call.leaf, self.merge.pin());
            }
            Discard::Truncated | Discard::Shard | Discard::Repeated => {
                let failure = replica::Failure::Request;
                context.replicas.on_failure(call.leaf, context.now, failure);
            }
        }
    }

    /// Handles a leaf's refusal to answer a call, for instance because it sheds load.
    ///
    /// # Errors
    ///
    /// Fails if the refusal does not match a call of this query in flight: a mismatched refusal
    /// must not mark a call that runs on another leaf as not started.
    pub fn on_refusal(
        &mut self,
        context: &mut Context<'_>,
        received: &Received,
        failure: Failure,
        actions: &mut Vec<Action<T>>,
    ) -> Result<(), Unmatched> {
        let Received { call, leaf, part } = *received;
        context.calls.check(call, self.id, leaf, part.shard)?;
        self.on_failure(context, call, failure, actions);
        Ok(())
    }

    /// Handles a failure that the transport reports for a call. Does nothing if the call is no
    /// longer in flight.
    pub fn on_failure(
        &mut self,
        context: &mut Context<'_>,
        id: CallId,
        failure: Failure,
        actions: &mut Vec<Action<T>>,
    ) {
        if context
            .calls
            .get(id)
            .is_none_or(|call| call.query != self.id)
        {
            return;
        }
        let Some(call) = context.calls.abandon(id) else {
            return;
        };
        self.may_have_started |= failure.may_have_started();
        self.forget_call(call.position, id);
        match failure {
            Failure::Shed | Failure::RefusedNotStarted => context.replicas.on_refused(call.leaf),
            Failure::Draining => {
                context.replicas.on_refused(call.leaf);
                context
                    .replicas
                    .set_excluded(call.leaf, Exclusion::Draining, true);
            }
            Failure::WrongSnapshot => {
                context.replicas.on_refused(call.leaf);
                context.replicas.remove_held(call.leaf, self.merge.pin());
            }
            Failure::NotSent | Failure::ResetAfterSent => {
                let failure = replica::Failure::Connection;
                context.replicas.on_failure(call.leaf, context.now, failure);
            }
            Failure::Timeout | Failure::Failed => {
                let failure = replica::Failure::Request;
                context.replicas.on_failure(call.leaf, context.now, failure);
            }
        }
        if let (Some(fingerprint), Failure::ResetAfterSent) = (self.canary, failure) {
            // Another attempt could crash a second server before the fingerprint's owner has
            // counted this crash.
            let leaf = call.leaf;
            actions.push(Action::ReportReset { fingerprint, leaf });
            self.finish(context, Reason::CanaryReset, actions);
            return;
        }
        self.after_failure(context, &call, failure, actions);
    }

    /// Sends the hedges and retries that are due, and ends the query when its time is up. Does
    /// nothing if called early.
    pub fn on_timer(&mut self, context: &mut Context<'_>, actions: &mut Vec<Action<T>>) {
        self.finish_if_done(context, actions);
        if !self.finished && self.next_timer.is_some_and(|at| at <= context.now) {
            self.send_due(context, actions);
            self.finish_if_done(context, actions);
        }
    }

    /// Ends the query because its caller has disconnected. Does nothing if it has already ended.
    pub fn on_caller_gone(&mut self, context: &mut Context<'_>, actions: &mut Vec<Action<T>>) {
        if !self.finished {
            self.finish(context, Reason::CallerGone, actions);
        }
    }

    /// Returns when the caller must call [`Query::on_timer`] next, or `None` once the query has
    /// ended.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        if self.finished {
            return None;
        }
        let others = [self.patience_ends, self.next_timer];
        Some(
            others
                .into_iter()
                .flatten()
                .fold(self.deadline, Instant::min),
        )
    }

    /// Returns whether [`Action::Finish`] has been returned.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    fn forget_call(&mut self, position: u32, id: CallId) {
        for call in &mut self.shards[position as usize].calls {
            if *call == Some(id) {
                *call = None;
            }
        }
    }
}

fn distinct_shards(shard_count: usize, scope: &[ShardId]) -> Result<Vec<Shard>, Reason> {
    let mut seen = FixedBitSet::with_capacity(shard_count);
    let mut shards = Vec::with_capacity(scope.len());
    for &id in scope {
        if id.0 as usize >= shard_count {
            return Err(Reason::UnknownShard(id));
        }
        if !seen.put(id.0 as usize) {
            shards.push(Shard {
                id,
                state: State::Open,
                sends: 0,
                calls: [None; MAX_IN_FLIGHT],
                failed_leaf: None,
                hedge_at: None,
                hedge_due: None,
                retry_at: None,
                retry_is_free: false,
                free_retry_used: false,
            });
        }
    }
    Ok(shards)
}

/// Draws the position at which a scan of the shards starts, so that a scan that uses up the budget
/// does not always favour the same shards.
fn random_position(rng: &mut ChaCha8Rng, count: usize) -> usize {
    rng.next_u32() as usize % count.max(1)
}
