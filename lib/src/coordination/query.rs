//! One query: which calls are sent when, and what the caller is told.
//!
//! The query sends one call per shard in scope, hedges and retries within the budget, merges whole
//! answers that match the pin, and ends by the partial-answer policy of the service. Sending and
//! sockets are left to the caller, who performs the returned actions in order.

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

/// The deadline of a leaf call lies this far before that of the query: 2 ms per hop.
pub const HOP_MARGIN: Duration = Duration::from_millis(2);

/// Calls in flight at the same time for one shard: the first and two hedges. With 1 in 100 calls
/// straggling, 8 in 100 queries to 830 shards have a shard whose first call and first hedge both
/// straggle.
const MAX_IN_FLIGHT: usize = 3;

/// What a query shares with the other queries to the same version of a service.
#[derive(Debug)]
pub struct Context<'a> {
    /// The time of the event.
    pub now: Instant,
    /// The replicas of the service.
    pub replicas: &'a mut Table,
    /// The hedge delay of the service.
    pub hedge: &'a mut Delay,
    /// The budget for extra calls to the service.
    pub budget: &'a mut Budget,
    /// The calls in flight.
    pub calls: &'a mut Calls,
    /// The random generator.
    pub rng: &'a mut ChaCha8Rng,
}

/// What is asked, and by which policy it is answered.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The query's id at this instance.
    pub id: QueryId,
    /// The snapshot and partition map of the answer.
    pub pin: Pin,
    /// The shards to ask. A repeated shard counts once.
    pub scope: &'a [ShardId],
    /// When the answer is due.
    pub deadline: Instant,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the service permits hedges.
    pub hedging: bool,
    /// The smallest share of shards, from 0 to 1, that makes an answer useful.
    pub minimum: f64,
    /// How long to wait for missing shards once the minimum is reached.
    pub patience: Duration,
    /// Set if the request has to run on one leaf before it is sent to all.
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
    // When the next hedge was first due, if it was left out for lack of budget.
    hedge_due: Option<Instant>,
    retry_at: Option<Instant>,
    // Whether the retry replaces a call that no byte left for, or the first one that its leaf
    // cannot serve at all, and is therefore free.
    retry_is_resend: bool,
    // Whether such a leaf has been replaced already.
    moved: bool,
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
    /// Starts a query: returns its first calls, or its end if it cannot be sent at all.
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

    /// Returns why nothing may be sent.
    fn problem(&self, now: Instant) -> Option<Reason> {
        if self.shards.is_empty() {
            return Some(Reason::EmptyScope);
        }
        if !self.idempotent && self.shards.len() > 1 {
            return Some(Reason::ScopeTooLarge);
        }
        (now >= self.call_deadline()).then_some(Reason::TooLate)
    }

    /// Handles an answer.
    ///
    /// # Errors
    ///
    /// Says why the answer is not part of the result. Actions may follow all the same.
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

    /// Handles a leaf's statement that it did not answer a call, for instance because it sheds load.
    ///
    /// # Errors
    ///
    /// Fails if the statement does not belong to a call of this query in flight: a crossed
    /// statement must not make a call that runs elsewhere look as if it had not started.
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

    /// Handles the failure of a call as seen by the transport. A call that is no longer in flight
    /// is ignored.
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
            // Another attempt could kill a second server before the owner has counted this one.
            let leaf = call.leaf;
            actions.push(Action::ReportReset { fingerprint, leaf });
            self.finish(context, Reason::CanaryReset, actions);
            return;
        }
        self.after_failure(context, &call, failure, actions);
    }

    /// Handles the passing of time. Does nothing if called early.
    pub fn on_timer(&mut self, context: &mut Context<'_>, actions: &mut Vec<Action<T>>) {
        self.finish_if_done(context, actions);
        if !self.finished && self.next_timer.is_some_and(|at| at <= context.now) {
            self.send_due(context, actions);
            self.finish_if_done(context, actions);
        }
    }

    /// Ends the query early because nobody waits for its answer.
    pub fn on_caller_gone(&mut self, context: &mut Context<'_>, actions: &mut Vec<Action<T>>) {
        if !self.finished {
            self.finish(context, Reason::CallerGone, actions);
        }
    }

    /// Returns when [`Query::on_timer`] is to be called next, or `None` once finished.
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

    /// Tells whether the query has given its answer.
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
                retry_is_resend: false,
                moved: false,
            });
        }
    }
    Ok(shards)
}

/// Draws a position to start from, so that a scan that runs out of budget does not always favour
/// the same shards.
fn random_position(rng: &mut ChaCha8Rng, count: usize) -> usize {
    rng.next_u32() as usize % count.max(1)
}
