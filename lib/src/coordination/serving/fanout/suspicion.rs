//! What a fan-out does while leafs may be ending under its request: which calls wait, and for what.

use std::time::Instant;

use super::Context;
use super::Fanout;
use super::message::LeafCall;
use super::progress::State;
use crate::coordination::serving::alarms::Level;

impl Fanout {
    /// Returns what lost connections say about the request; `None` if there are none, or if a leaf has
    /// survived it.
    #[must_use]
    pub fn suspicion(&self) -> Option<Level> {
        self.crash_guard.suspicion()
    }

    /// Returns whether a leaf has survived the request.
    #[must_use]
    pub fn has_survivor(&self) -> bool {
        self.crash_guard.has_survivor()
    }

    /// Records that a leaf has survived the request, and sends the calls that have waited for it.
    pub(super) fn on_survived(&mut self, context: &mut Context<'_>, calls: &mut Vec<LeafCall>) {
        let resumes = self.crash_guard.suspicion().is_some();
        self.crash_guard.on_survived();
        if !resumes {
            return;
        }
        for index in 0..self.shards.len() {
            let progress = &mut self.shards[index];
            if progress.state == State::Open && progress.recheck_at.take().is_some() {
                self.call_or_wait(index, context, calls);
            }
        }
    }

    /// Records that the instance with a handover has lost connections to leafs under the request.
    pub fn on_lost_elsewhere(&mut self, now: Instant) {
        let canary_from = self.canary_from(now);
        self.crash_guard.on_lost_elsewhere(canary_from);
    }

    /// Records that another instance suspects that leafs have ended under the request.
    pub fn on_alarm(&mut self, now: Instant) {
        self.on_lost_elsewhere(now);
        self.crash_guard.on_inquiry_end(true);
    }

    /// Returns until when the canary waits for calls in progress after a loss: leafs that survive the
    /// request should have answered by then.
    pub(super) fn canary_from(&self, now: Instant) -> Instant {
        now + self.hedge_delay.unwrap_or_default()
    }

    /// Records that it is being found out whether the leafs have ended whose connections were lost. The
    /// canary waits for that.
    pub fn on_inquiry_start(&mut self) {
        self.crash_guard.on_inquiry_start();
    }

    /// Records whether leafs have ended whose connections were lost. If so, the canary goes to no shard
    /// that would have no leaf left after its loss.
    pub fn on_inquiry_end(&mut self, have_ended: bool) {
        self.crash_guard.on_inquiry_end(have_ended);
    }

    /// Returns whether something may show that leafs survive the request: a call in progress, what is
    /// being found out about the leafs that were lost, or a canary to another shard.
    pub(super) fn may_be_permitted_later(&self, context: &Context<'_>) -> bool {
        self.has_calls()
            || self.crash_guard.awaits_inquiry()
            || (self.crash_guard.requires_spare() && self.can_spare_leafs(context))
    }

    /// Returns whether a shard may get the next call as far as leafs that may end under it are
    /// concerned.
    pub(super) fn permits_call(&self, shard: usize, context: &Context<'_>) -> bool {
        let service = &self.shards[shard].service;
        let spares = || context.fleet.can_spare_leaf(service) && self.can_spare_leafs(context);
        self.crash_guard.permits_call(self.has_calls(), context.now)
            && (!self.crash_guard.requires_spare() || spares())
    }

    /// Returns whether enough shards for an answer could do without a leaf. Otherwise the leafs that
    /// are left already do the work of others, and the canary would end one more of them.
    fn can_spare_leafs(&self, context: &Context<'_>) -> bool {
        let services = self.shards.iter().map(|progress| &*progress.service);
        context.fleet.can_spare_leafs(services, self.min_coverage)
    }
}
