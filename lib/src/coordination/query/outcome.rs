//! The outcome of a query.

use std::time::Instant;

use thiserror::Error;

use super::Action;
use super::Context;
use super::Query;
use super::State;
use crate::coordination::merge::Coverage;
use crate::coordination::pin::Pin;
use crate::state::id::ShardId;

/// Whether a request was answered, and if not, whether it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// At least the service's minimum share of shards answered.
    Answered,
    /// No backend server started the request: every server that bytes may have reached refused it
    /// as not started.
    NotRun(Reason),
    /// A backend server may have started the request.
    Unknown(Reason),
}

/// Why a query was not answered.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Reason {
    /// The scope names no shard.
    #[error("the scope has no shard")]
    EmptyScope,
    /// The scope names this shard, which is outside the service's range of shards.
    #[error("the scope names shard {0}, which the service does not have")]
    UnknownShard(ShardId),
    /// A non-idempotent request named more than one shard.
    #[error("a non-idempotent request needs a scope of one shard")]
    ScopeTooLarge,
    /// The query started less than [`HOP_MARGIN`] before its deadline, so nothing was sent.
    ///
    /// [`HOP_MARGIN`]: super::HOP_MARGIN
    #[error("the deadline is too close")]
    TooLate,
    /// Fewer shards than the minimum answered by the deadline.
    #[error("too few shards answered by the deadline")]
    Deadline,
    /// No usable replica of the last shard given up holds the pinned snapshot.
    #[error("no usable replica holds the pinned snapshot")]
    NoReplica,
    /// All attempts failed; contains the failure of the last one.
    #[error("all attempts failed, the last one: {0}")]
    Failed(Failure),
    /// The caller disconnected before the query ended.
    #[error("the caller has gone")]
    CallerGone,
    /// The connection was reset while the canary call ran, so the request was not sent further.
    #[error("the connection was reset while the request ran on its first backend server")]
    CanaryReset,
}

/// How a call failed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the call was sent.
    #[error("not sent")]
    NotSent,
    /// The backend server reported that it did not start the call.
    #[error("refused, not started")]
    RefusedNotStarted,
    /// The backend server shed the call before starting it.
    #[error("shed")]
    Shed,
    /// The backend server is draining and did not start the call.
    #[error("draining")]
    Draining,
    /// The backend server does not hold the pinned snapshot and partition map, and did not start
    /// the call.
    #[error("wrong snapshot")]
    WrongSnapshot,
    /// The connection ended after the call was sent.
    #[error("reset after sent")]
    ResetAfterSent,
    /// No answer arrived before the deadline of the call.
    #[error("timed out")]
    Timeout,
    /// The backend server reported that the call failed, or its answer was truncated or did not
    /// match the pin.
    #[error("failed")]
    Failed,
}

impl Failure {
    /// Returns whether the leaf cannot serve the request at all, so that the next choice avoids it.
    /// The first retry after such a refusal is free of charge: the refusal costs the server no
    /// work, and a service with little traffic may not have earned the budget for a retry.
    #[must_use]
    pub(super) fn excludes_leaf(self) -> bool {
        matches!(self, Self::Draining | Self::WrongSnapshot)
    }

    /// Returns whether the call may have started on the backend server.
    #[must_use]
    pub fn may_have_started(self) -> bool {
        match self {
            Self::NotSent
            | Self::RefusedNotStarted
            | Self::Shed
            | Self::Draining
            | Self::WrongSnapshot => false,
            Self::ResetAfterSent | Self::Timeout | Self::Failed => true,
        }
    }
}

/// The result of a query.
#[derive(Clone, Debug)]
pub struct Answer<T> {
    /// Whether the request was answered.
    pub outcome: Outcome,
    /// The snapshot and partition map that all merged answers come from.
    pub pin: Pin,
    /// How many shards answered, out of those in scope.
    pub coverage: Coverage,
    /// The contents of the leafs' answers, in order of arrival; empty unless `outcome` is
    /// [`Outcome::Answered`].
    pub contents: Vec<(ShardId, T)>,
}

impl<T> Query<T> {
    /// Finishes the query if no shard is open, or if the deadline or the wait for missing shards
    /// has ended.
    pub(super) fn finish_if_done(
        &mut self,
        context: &mut Context<'_>,
        actions: &mut Vec<Action<T>>,
    ) {
        if self.finished {
            return;
        }
        if self.canary.is_some() {
            self.send_canary(context, actions);
        }
        let coverage = self.merge.coverage();
        if self.patience_ends.is_none() && coverage.reaches(self.minimum) {
            self.patience_ends = Some(context.now + self.patience);
        }
        if self.open == 0 {
            let reason = self.last_reason;
            self.finish(context, reason, actions);
        } else if has_passed(Some(self.deadline), context.now)
            || has_passed(self.patience_ends, context.now)
        {
            self.finish(context, Reason::Deadline, actions);
        }
    }

    /// Cancels the calls in flight and adds the result. `reason` is used if the minimum is not
    /// reached.
    pub(super) fn finish(
        &mut self,
        context: &mut Context<'_>,
        reason: Reason,
        actions: &mut Vec<Action<T>>,
    ) {
        self.finished = true;
        for position in 0..self.shards.len() {
            if self.shards[position].state == State::Open {
                self.cancel_shard(context, position, actions);
            }
        }
        let coverage = self.merge.coverage();
        let outcome = if coverage.reaches(self.minimum) {
            Outcome::Answered
        } else if self.may_have_started {
            Outcome::Unknown(reason)
        } else {
            Outcome::NotRun(reason)
        };
        let contents = match outcome {
            Outcome::Answered => self.merge.take_contents(),
            Outcome::NotRun(_) | Outcome::Unknown(_) => Vec::new(),
        };
        actions.push(Action::Finish(Answer {
            outcome,
            pin: self.merge.pin(),
            coverage,
            contents,
        }));
    }
}

fn has_passed(at: Option<Instant>, now: Instant) -> bool {
    at.is_some_and(|at| at <= now)
}
