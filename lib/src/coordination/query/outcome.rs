//! What a query ends with.

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
    /// The answer reaches the minimum of the service.
    Answered,
    /// No backend server started the request: no bytes can have reached one, or each one reached
    /// said so.
    NotRun(Reason),
    /// A backend server may have started the request.
    Unknown(Reason),
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Reason {
    /// The scope names no shard.
    #[error("the scope has no shard")]
    EmptyScope,
    /// The scope names a shard that the service does not have.
    #[error("the scope names shard {0}, which the service does not have")]
    UnknownShard(ShardId),
    /// A non-idempotent request may go to one shard only.
    #[error("a non-idempotent request needs a scope of one shard")]
    ScopeTooLarge,
    /// The deadline was too close to send anything.
    #[error("the deadline is too close")]
    TooLate,
    /// Too few shards answered by the deadline.
    #[error("too few shards answered by the deadline")]
    Deadline,
    /// No usable replica holds the pinned snapshot.
    #[error("no usable replica holds the pinned snapshot")]
    NoReplica,
    /// All attempts failed, the last one like this.
    #[error("all attempts failed, the last one: {0}")]
    Failed(Failure),
    /// The caller has gone.
    #[error("the caller has gone")]
    CallerGone,
    /// The connection was reset while the request ran on its first backend server.
    #[error("the connection was reset while the request ran on its first backend server")]
    CanaryReset,
}

/// How a call failed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the call left this side.
    #[error("not sent")]
    NotSent,
    /// The backend server said that it did not start the call.
    #[error("refused, not started")]
    RefusedNotStarted,
    /// The backend server shed the call before starting it.
    #[error("shed")]
    Shed,
    /// The backend server drains and did not start the call.
    #[error("draining")]
    Draining,
    /// The backend server does not hold the pin and did not start the call.
    #[error("wrong snapshot")]
    WrongSnapshot,
    /// The connection ended after the call was sent.
    #[error("reset after sent")]
    ResetAfterSent,
    /// No answer arrived in time.
    #[error("timed out")]
    Timeout,
    /// The backend server said that the call failed, or its answer was cut short or did not match
    /// the pin.
    #[error("failed")]
    Failed,
}

impl Failure {
    /// Tells whether the leaf cannot serve the request at all, so that the next choice avoids it.
    /// Such a refusal costs the server no work, and a service with little traffic has earned no
    /// budget to ask another replica with.
    #[must_use]
    pub(super) fn excludes_leaf(self) -> bool {
        matches!(self, Self::Draining | Self::WrongSnapshot)
    }

    /// Tells whether the call may have started at the backend server.
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

/// The end of a query.
#[derive(Clone, Debug)]
pub struct Answer<T> {
    /// Whether the request was answered.
    pub outcome: Outcome,
    /// The snapshot and partition map of every part.
    pub pin: Pin,
    /// The shards that answered, out of those in scope.
    pub coverage: Coverage,
    /// The leafs' answers; empty unless `outcome` is [`Outcome::Answered`].
    pub contents: Vec<(ShardId, T)>,
}

impl<T> Query<T> {
    /// Finishes the query if nothing is left to wait for.
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

    /// Cancels what is in flight and states the outcome. `reason` is used if there is no answer.
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
