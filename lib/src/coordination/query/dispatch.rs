//! Schedules the calls of a query: first calls, hedges and retries.

use std::time::Duration;
use std::time::Instant;

use super::Action;
use super::Context;
use super::Failure;
use super::HOP_MARGIN;
use super::MAX_IN_FLIGHT;
use super::OutgoingCall;
use super::Query;
use super::Reason;
use super::State;
use super::random_position;
use crate::coordination::budget::BURST_CALLS;
use crate::coordination::correlation::Call;
use crate::coordination::correlation::Kind;
use crate::coordination::replica::Avoid;
use crate::coordination::replica::LeafIndex;
use crate::coordination::replica::Probing;

/// The most calls per shard and query, including the first.
const MAX_SENDS: u8 = 4;

/// How long a retry waits if the budget is empty, or if the only usable replica is the one that
/// just failed.
const RETRY_WAIT: Duration = Duration::from_millis(5);

/// A hedge that the budget did not permit is tried again after the hedge delay divided by this. By
/// then most calls that were only slightly late have been answered, and the budget goes to the
/// stragglers.
const HEDGE_RETRY_DIVISOR: u32 = 8;

/// Time from the first hedge to the second, as a multiple of the hedge delay. With a full delay,
/// the 8 in 100 queries to 830 shards that need a second hedge would take two delays plus one call,
/// more than 1.5 times the usual p99.
const SECOND_HEDGE_DELAY_FACTOR: f64 = 0.75;

/// Extra calls that a first hedge leaves in the budget when it is first due. Postponed hedges,
/// second hedges and retries may use them. Without this reserve, at 830 shards the hedges of calls
/// that are only slightly late use up the budget, and the stragglers of other queries get no hedge.
const HEDGE_RESERVE_CALLS: u32 = BURST_CALLS / 4;

impl<T> Query<T> {
    /// Sends the canary call, or a first call to every shard.
    pub(super) fn send_first(&mut self, context: &mut Context<'_>, actions: &mut Vec<Action<T>>) {
        if self.canary.is_none() {
            self.send_to_untried(context, actions);
        }
        self.finish_if_done(context, actions);
    }

    /// Sends the canary call unless one is in progress. It goes to a random shard; if that shard is
    /// given up, the next shard is tried.
    pub(super) fn send_canary(&mut self, context: &mut Context<'_>, actions: &mut Vec<Action<T>>) {
        let mut open = self
            .shards
            .iter()
            .filter(|shard| shard.state == State::Open);
        if open.any(|shard| shard.sends > 0) || context.now >= self.call_deadline() {
            return;
        }
        let count = self.shards.len();
        let start = random_position(context.rng, count);
        for position in (start..count).chain(0..start) {
            if self.shards[position].state == State::Open
                && self.send_primary(context, position, actions)
            {
                break;
            }
        }
    }

    fn send_to_untried(&mut self, context: &mut Context<'_>, actions: &mut Vec<Action<T>>) {
        for position in 0..self.shards.len() {
            let shard = &self.shards[position];
            if shard.state == State::Open && shard.sends == 0 {
                self.send_primary(context, position, actions);
            }
        }
    }

    fn send_primary(
        &mut self,
        context: &mut Context<'_>,
        position: usize,
        actions: &mut Vec<Action<T>>,
    ) -> bool {
        let Some(leaf) = self.choose(context, position, Avoid::default(), self.probing()) else {
            self.give_up(position, Reason::NoReplica);
            return false;
        };
        context.budget.on_primary(context.now);
        self.send(context, position, leaf, Kind::Primary, actions);
        true
    }

    /// Permits probes only for calls that can be retried, because a probe may be slow or fail.
    fn probing(&self) -> Probing {
        if self.idempotent && self.canary.is_none() {
            Probing::Permitted
        } else {
            Probing::Forbidden
        }
    }

    fn choose(
        &self,
        context: &mut Context<'_>,
        position: usize,
        avoid: Avoid,
        probing: Probing,
    ) -> Option<LeafIndex> {
        let shard = self.shards[position].id;
        let pin = self.merge.pin();
        let now = context.now;
        context
            .replicas
            .choose(shard, pin, avoid, probing, now, context.rng)
    }

    fn send(
        &mut self,
        context: &mut Context<'_>,
        position: usize,
        leaf: LeafIndex,
        kind: Kind,
        actions: &mut Vec<Action<T>>,
    ) {
        let deadline = self.call_deadline();
        let hedge_delay = context.hedge.get().filter(|_| self.hedging);
        let shard = &mut self.shards[position];
        let call = context.calls.begin(Call {
            query: self.id,
            position: u32::try_from(position).unwrap_or(u32::MAX),
            leaf,
            shard: shard.id,
            kind,
            sent: context.now,
        });
        context.replicas.on_sent(leaf);
        shard.sends += 1;
        shard.retry_at = None;
        if let Some(free) = shard.calls.iter_mut().find(|call| call.is_none()) {
            *free = Some(call);
        }
        // The second hedge is timed from when the first hedge was due, even if the first hedge had
        // to wait for the budget.
        shard.hedge_at = hedge_delay.map(|delay| match kind {
            Kind::Hedge => {
                shard.hedge_due.unwrap_or(context.now) + delay.mul_f64(SECOND_HEDGE_DELAY_FACTOR)
            }
            Kind::Primary | Kind::Retry => context.now + delay,
        });
        shard.hedge_due = None;
        let (shard_id, hedge_at) = (shard.id, shard.hedge_at);
        self.wake_at(hedge_at);
        actions.push(Action::Send(OutgoingCall {
            call,
            leaf,
            shard: shard_id,
            kind,
            deadline,
            canary: self.canary,
        }));
    }

    /// Cancels the other calls of a shard that has answered. If this was the canary's answer, sends
    /// first calls to all other shards.
    pub(super) fn on_shard_answered(
        &mut self,
        context: &mut Context<'_>,
        position: usize,
        actions: &mut Vec<Action<T>>,
    ) {
        self.cancel_shard(context, position, actions);
        self.shards[position].state = State::Answered;
        self.open -= 1;
        if self.canary.take().is_some() && context.now < self.call_deadline() {
            self.send_to_untried(context, actions);
        }
        self.finish_if_done(context, actions);
    }

    /// Cancels the calls in flight for a shard. Each of them may have started.
    pub(super) fn cancel_shard(
        &mut self,
        context: &mut Context<'_>,
        position: usize,
        actions: &mut Vec<Action<T>>,
    ) {
        let shard = &mut self.shards[position];
        shard.hedge_at = None;
        shard.retry_at = None;
        for id in std::mem::take(&mut shard.calls).into_iter().flatten() {
            let Some(call) = context.calls.abandon(id) else {
                continue;
            };
            let elapsed = context.now.saturating_duration_since(call.sent);
            context
                .replicas
                .on_cancelled(call.leaf, context.now, elapsed);
            if call.kind == Kind::Primary {
                // The delay is a quantile of latency. A call cancelled earlier than the delay gives
                // no information about that quantile.
                if context.hedge.get().is_none_or(|delay| elapsed >= delay) {
                    context.hedge.record(context.now, elapsed);
                }
                if self.finished && context.now >= self.deadline {
                    context.budget.on_primary_failure(context.now);
                }
            }
            self.may_have_started = true;
            actions.push(Action::Cancel(id));
        }
    }

    /// Retries a shard after a failed call, or gives the shard up. Does neither while another call
    /// for the shard is in flight.
    pub(super) fn after_failure(
        &mut self,
        context: &mut Context<'_>,
        call: &Call,
        failure: Failure,
        actions: &mut Vec<Action<T>>,
    ) {
        if call.kind == Kind::Primary {
            context.budget.on_primary_failure(context.now);
        }
        let position = call.position as usize;
        let shard = &mut self.shards[position];
        shard.failed_leaf = Some(call.leaf);
        let in_flight = shard.calls.iter().flatten().count();
        if in_flight == 0 {
            let uses_free_retry = failure.excludes_leaf() && !shard.free_retry_used;
            shard.free_retry_used |= uses_free_retry;
            shard.retry_is_free = failure == Failure::NotSent || uses_free_retry;
            self.last_reason = Reason::Failed(failure);
            // A call of which no byte was sent cannot have run, so even a non-idempotent request
            // may be sent again.
            if self.idempotent || failure == Failure::NotSent {
                self.retry(context, position, actions);
            } else {
                self.give_up(position, Reason::Failed(failure));
            }
        }
        self.finish_if_done(context, actions);
    }

    fn retry(&mut self, context: &mut Context<'_>, position: usize, actions: &mut Vec<Action<T>>) {
        let shard = self.shards[position];
        if shard.sends >= MAX_SENDS || context.now >= self.call_deadline() {
            self.give_up(position, self.last_reason);
            return;
        }
        let avoid = Avoid([shard.failed_leaf, None, None]);
        let is_affordable = shard.retry_is_free || context.budget.available() > 0;
        let leaf = if is_affordable {
            self.choose(context, position, avoid, Probing::Forbidden)
        } else {
            None
        };
        if let Some(leaf) = leaf {
            if shard.retry_is_free || context.budget.take() {
                self.send(context, position, leaf, Kind::Retry, actions);
            }
        } else if !is_affordable {
            self.retry_later(context, position);
        } else if shard.failed_leaf.is_some() {
            // Only the replica that just failed may be left; the next retry may choose it again.
            self.shards[position].failed_leaf = None;
            self.retry_later(context, position);
        } else {
            self.give_up(position, self.last_reason);
        }
    }

    fn retry_later(&mut self, context: &Context<'_>, position: usize) {
        let at = Some(context.now + RETRY_WAIT);
        self.shards[position].retry_at = at;
        self.wake_at(at);
    }

    /// Sends the hedges and retries that are due, and sets the time of the next one.
    pub(super) fn send_due(&mut self, context: &mut Context<'_>, actions: &mut Vec<Action<T>>) {
        self.next_timer = None;
        let count = self.shards.len();
        let start = random_position(context.rng, count);
        for step in 0..count {
            let position = (start + step) % count;
            let shard = &self.shards[position];
            if shard.state != State::Open {
                continue;
            }
            let is_due = |at: Option<Instant>| at.is_some_and(|at| at <= context.now);
            if is_due(shard.retry_at) {
                self.shards[position].retry_at = None;
                self.retry(context, position, actions);
            } else if is_due(shard.hedge_at) {
                self.shards[position].hedge_at = None;
                self.hedge(context, position, actions);
            }
            let shard = &self.shards[position];
            let (hedge_at, retry_at) = (shard.hedge_at, shard.retry_at);
            self.wake_at(hedge_at);
            self.wake_at(retry_at);
        }
    }

    fn hedge(&mut self, context: &mut Context<'_>, position: usize, actions: &mut Vec<Action<T>>) {
        let shard = self.shards[position];
        let in_flight = shard.calls.iter().flatten().count();
        if in_flight == 0 || in_flight == MAX_IN_FLIGHT {
            return;
        }
        if shard.sends >= MAX_SENDS || context.now >= self.call_deadline() {
            return;
        }
        let reserve = if shard.hedge_due.is_some() || in_flight > 1 {
            0
        } else {
            HEDGE_RESERVE_CALLS
        };
        self.shards[position].hedge_due = shard.hedge_due.or(Some(context.now));
        if context.budget.available() <= reserve {
            let delay = context.hedge.get().unwrap_or_default();
            let at = context.now + (delay / HEDGE_RETRY_DIVISOR).max(Duration::from_millis(1));
            self.shards[position].hedge_at = Some(at);
            return;
        }
        // At most two calls are in flight here, so one entry is left for the leaf that failed.
        let mut avoid = [shard.failed_leaf; MAX_IN_FLIGHT];
        let asked = shard
            .calls
            .iter()
            .flatten()
            .filter_map(|call| context.calls.get(*call));
        for (avoided, call) in avoid.iter_mut().zip(asked) {
            *avoided = Some(call.leaf);
        }
        let avoid = Avoid(avoid);
        if let Some(leaf) = self.choose(context, position, avoid, Probing::Forbidden)
            && context.budget.take()
        {
            self.send(context, position, leaf, Kind::Hedge, actions);
        }
    }

    fn give_up(&mut self, position: usize, reason: Reason) {
        let shard = &mut self.shards[position];
        shard.state = State::GivenUp;
        shard.hedge_at = None;
        shard.retry_at = None;
        self.open -= 1;
        self.last_reason = reason;
    }

    pub(super) fn call_deadline(&self) -> Instant {
        self.deadline
            .checked_sub(HOP_MARGIN)
            .unwrap_or(self.deadline)
    }

    fn wake_at(&mut self, at: Option<Instant>) {
        if let Some(at) = at {
            self.next_timer = Some(self.next_timer.map_or(at, |next| next.min(at)));
        }
    }
}
