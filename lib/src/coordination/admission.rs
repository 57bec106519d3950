//! Admission of the requests to one service, before any work is done for them.
//!
//! Requests start while the leaf calls in progress stay below a limit that follows capacity and
//! measured queueing. Others wait in a queue that is fair between tenants and bounded in time. A
//! request that can no longer be answered in time is refused as not run, without taking a slot.

mod limit;
mod queue;

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use thiserror::Error;

use self::limit::Limit;
use self::queue::Queue;
use self::queue::Rank;
use self::queue::Waiting;
use crate::state::file::Objective;
use crate::state::size::Worth;

/// The longest time that a request waits, whatever its deadline. A caller does better to try
/// another instance than to wait longer than that.
pub const MAX_WAIT: Duration = Duration::from_secs(1);

/// The most requests that wait, to bound memory when many tenants send at once.
pub const MAX_WAITING_REQUESTS: usize = 10_000;

/// Weight of a new sample in the estimates of how long a query takes and how far that varies.
const DURATION_WEIGHT: f64 = 0.1;

/// A request starts only with time left for this quantile of durations. At 0.75, more requests were
/// late at twice the capacity than the test of overload permits. The mean plus three mean deviations
/// lies above the deadline as soon as a fifth of the queries last up to it because of a straggler,
/// and then refuses the fast queries as well.
const DURATION_QUANTILE: f64 = 0.8;

/// Numbers the tenants, from 0, in the order of the weights given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantIndex(pub u32);

/// Identifies a request at this admission, in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A request that asks to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// Who asks.
    pub tenant: TenantIndex,
    /// When the answer is due.
    pub deadline: Instant,
    /// The worth of an answer in time.
    pub worth: Worth,
    /// The leaf calls needed, at least 1.
    pub cost: u32,
}

/// Why a request is refused. None of these requests has run.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Refusal {
    /// The request can no longer be answered by its deadline.
    #[error("cannot be answered by its deadline")]
    TooLate,
    /// The queue would take, or took, longer than the longest wait.
    #[error("the queue is longer than a request may wait")]
    QueueTooLong,
    /// The tenant is not listed.
    #[error("the tenant is not listed")]
    UnknownTenant,
}

/// What the caller of the state machine has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Starts the request, and reports its end with [`Admission::on_finished`].
    Start(Ticket),
    /// Answers "not run".
    Refuse(Ticket, Refusal),
}

/// What a finished query measured.
#[derive(Clone, Copy, Debug)]
pub struct Measurement {
    /// How long the query took since it started.
    pub duration: Duration,
    /// The mean time that its leaf calls waited for a slot.
    pub queueing: Duration,
}

/// The admission of one service at one entry instance.
#[derive(Clone, Debug)]
pub struct Admission {
    objective: Objective,
    limit: Limit,
    queue: Queue,
    started: HashMap<Ticket, u32>,
    in_progress: u64,
    mean_duration: f64,
    deviation: f64,
    /// Estimates [`DURATION_QUANTILE`] of durations, in seconds.
    usual_duration: f64,
    next_ticket: u64,
}

impl Admission {
    /// Creates an admission for tenants with these weights, which must be above 0. `capacity` is
    /// this instance's part of the usable slots of the service's leafs.
    #[must_use]
    pub fn new(objective: Objective, weights: &[f64], capacity: u32, now: Instant) -> Self {
        Self {
            objective,
            limit: Limit::new(capacity, now),
            queue: Queue::new(weights),
            started: HashMap::new(),
            in_progress: 0,
            mean_duration: 0.0,
            deviation: 0.0,
            usual_duration: 0.0,
            next_ticket: 0,
        }
    }

    /// Replaces the capacity, for instance after leafs have left.
    pub fn set_capacity(&mut self, capacity: u32, now: Instant, actions: &mut Vec<Action>) {
        self.limit.set_capacity(capacity);
        self.dispatch(now, actions);
    }

    /// Offers a request. It is started, refused or queued; the actions tell which.
    pub fn offer(&mut self, now: Instant, offer: &Offer, actions: &mut Vec<Action>) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        match self.check(now, offer, ticket) {
            Ok((rank, waiting)) => {
                self.queue.push(rank, waiting);
                self.dispatch(now, actions);
            }
            Err(refusal) => actions.push(Action::Refuse(ticket, refusal)),
        }
        ticket
    }

    fn check(
        &self,
        now: Instant,
        offer: &Offer,
        ticket: Ticket,
    ) -> Result<(Rank, Waiting), Refusal> {
        if !self.queue.has_tenant(offer.tenant) {
            return Err(Refusal::UnknownTenant);
        }
        if self.queue.len() >= MAX_WAITING_REQUESTS {
            return Err(Refusal::QueueTooLong);
        }
        let time_left = offer.deadline.saturating_duration_since(now);
        // An idle instance tries any request, because otherwise an estimate above all deadlines
        // would never be corrected.
        let expected = if self.in_progress == 0 {
            Duration::ZERO
        } else {
            Duration::from_secs_f64(self.usual_duration)
        };
        let slack = time_left
            .checked_sub(expected)
            .filter(|slack| !slack.is_zero());
        let slack = slack.ok_or(Refusal::TooLate)?;
        let rank = match self.objective {
            Objective::Coverage => Rank::Deadline(offer.deadline, ticket),
            Objective::Worth => Rank::by_worth(offer.worth.0, offer.cost, ticket),
        };
        let wait = self.expected_wait(offer, rank);
        if wait > slack.as_secs_f64() {
            return Err(Refusal::TooLate);
        }
        if wait > MAX_WAIT.as_secs_f64() {
            return Err(Refusal::QueueTooLong);
        }
        let waiting = Waiting {
            ticket,
            tenant: offer.tenant,
            cost: offer.cost.max(1),
            latest_start: now + slack.min(MAX_WAIT),
            refusal: if slack > MAX_WAIT {
                Refusal::QueueTooLong
            } else {
                Refusal::TooLate
            },
        };
        Ok((rank, waiting))
    }

    /// Estimates in seconds how long a request would wait: the cost that starts before it, at the
    /// rate at which calls in progress end.
    fn expected_wait(&self, offer: &Offer, rank: Rank) -> f64 {
        let ahead = self.queue.cost_ahead(offer.tenant, rank);
        let limit = self.limit.get();
        if limit > 0.0 {
            ahead * self.mean_duration / limit
        } else {
            0.0
        }
    }

    /// Records the end of a started request, whatever its outcome.
    pub fn on_finished(
        &mut self,
        now: Instant,
        ticket: Ticket,
        measurement: Measurement,
        actions: &mut Vec<Action>,
    ) {
        let Some(cost) = self.started.remove(&ticket) else {
            return;
        };
        self.in_progress -= u64::from(cost);
        let duration = measurement.duration.as_secs_f64();
        if self.mean_duration > 0.0 {
            let error = duration - self.mean_duration;
            self.mean_duration += error * DURATION_WEIGHT;
            self.deviation += (error.abs() - self.deviation) * DURATION_WEIGHT;
            // The steps balance where the quantile's share of durations lies below the estimate.
            let step = self.deviation * DURATION_WEIGHT;
            self.usual_duration += if duration > self.usual_duration {
                step * DURATION_QUANTILE
            } else {
                step * (DURATION_QUANTILE - 1.0)
            };
        } else {
            (self.mean_duration, self.usual_duration) = (duration, duration);
        }
        self.limit.on_measured(now, measurement.queueing);
        self.dispatch(now, actions);
    }

    /// Forgets a waiting request whose caller has gone. Returns whether it was waiting.
    pub fn on_caller_gone(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket).is_some()
    }

    /// Refuses the requests whose latest start has passed. Does nothing if called early.
    pub fn on_timer(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.dispatch(now, actions);
    }

    /// Returns when [`Admission::on_timer`] is to be called next, or `None` if nothing waits.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.queue.next_expiry().map(|(at, _)| at)
    }

    /// Returns the limit on leaf calls in progress.
    #[must_use]
    pub fn limit(&self) -> f64 {
        self.limit.get()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    fn dispatch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.refuse_expired(now, actions);
        while let Some(next) = self.queue.first() {
            if !self.has_room(next.cost) {
                self.limit.on_reached();
                return;
            }
            self.queue.start(next.ticket);
            self.in_progress += u64::from(next.cost);
            self.started.insert(next.ticket, next.cost);
            actions.push(Action::Start(next.ticket));
        }
        debug_assert!(
            self.queue.is_empty(),
            "requests wait although there is room"
        );
    }

    /// A request that is larger than the limit starts alone, or it would never start.
    #[expect(
        clippy::cast_precision_loss,
        reason = "calls in progress are far below 2^53"
    )]
    fn has_room(&self, cost: u32) -> bool {
        let limit = self.limit.get();
        limit > 0.0 && (self.in_progress == 0 || self.in_progress as f64 + f64::from(cost) <= limit)
    }

    fn refuse_expired(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some((latest_start, ticket)) = self.queue.next_expiry() {
            if latest_start > now {
                return;
            }
            if let Some(waiting) = self.queue.remove(ticket) {
                actions.push(Action::Refuse(ticket, waiting.refusal));
            }
        }
    }
}
