//! Admission control for the requests to one service, before any work is done for them.
//!
//! A request starts if the leaf calls in progress stay within a concurrency limit, which is adapted
//! to the capacity and the measured queueing. Otherwise the request waits, for a bounded time, in a
//! queue that is fair between tenants. A request that can no longer be answered by its deadline is
//! refused as not run, and takes no capacity.

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

/// The longest time that a request waits, even if its deadline is later. A caller that would have
/// to wait longer is served sooner by another instance.
pub const MAX_WAIT: Duration = Duration::from_secs(1);

/// The most requests that wait at the same time, over all tenants. Bounds the memory used when many
/// tenants send at once.
pub const MAX_WAITING_REQUESTS: usize = 10_000;

/// Weight of a new sample in the moving estimates of query duration: mean, mean deviation and
/// quantile.
const DURATION_WEIGHT: f64 = 0.1;

/// A request is admitted only if the time left until its deadline is above this quantile of query
/// durations. At 0.75, more requests are late under a load of twice the capacity than the overload
/// test permits. The mean plus three mean deviations is not used: it exceeds the deadline as soon
/// as stragglers prolong a fifth of the queries up to the deadline, and fast queries would then be
/// refused as well.
const DURATION_QUANTILE: f64 = 0.8;

/// Index of a tenant, from 0, in the order of the weights given to [`Admission::new`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantIndex(pub u32);

/// Identifies a request within one [`Admission`]. Tickets increase in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A request to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// The tenant that the request is charged to.
    pub tenant: TenantIndex,
    /// When the caller stops waiting for the answer.
    pub deadline: Instant,
    /// The worth of an answer before the deadline. Used only with [`Objective::Worth`].
    pub worth: Worth,
    /// The number of leaf calls that the request needs; 0 counts as 1.
    pub cost: u32,
}

/// Why a request was refused. A refused request has not run.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Refusal {
    /// The request can no longer be answered by its deadline.
    #[error("cannot be answered by its deadline")]
    TooLate,
    /// The request would wait, or has waited, longer than [`MAX_WAIT`], or the queue is full.
    #[error("the queue is longer than a request may wait")]
    QueueTooLong,
    /// The index of the tenant is out of range.
    #[error("the tenant is not listed")]
    UnknownTenant,
}

/// What the caller of the state machine must do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start the request, and call [`Admission::on_finished`] when it ends.
    Start(Ticket),
    /// Answer that the request was not run.
    Refuse(Ticket, Refusal),
}

/// Measurements of a finished query.
#[derive(Clone, Copy, Debug)]
pub struct Measurement {
    /// Time from the start of the query to its end, without the wait for admission.
    pub duration: Duration,
    /// The mean time that the query's leaf calls waited for a slot.
    pub queueing: Duration,
}

/// Admission control of one service at one entry instance.
#[derive(Clone, Debug)]
pub struct Admission {
    objective: Objective,
    limit: Limit,
    queue: Queue,
    started: HashMap<Ticket, u32>,
    in_progress: u64,
    mean_duration: f64,
    mean_deviation: f64,
    /// Estimates [`DURATION_QUANTILE`] of durations, in seconds.
    duration_quantile: f64,
    next_ticket: u64,
}

impl Admission {
    /// Creates the admission control for tenants with these weights, which must be above 0.
    /// `capacity` is this instance's share of the usable slots of the service's leafs.
    #[must_use]
    pub fn new(objective: Objective, weights: &[f64], capacity: u32, now: Instant) -> Self {
        Self {
            objective,
            limit: Limit::new(capacity, now),
            queue: Queue::new(weights),
            started: HashMap::new(),
            in_progress: 0,
            mean_duration: 0.0,
            mean_deviation: 0.0,
            duration_quantile: 0.0,
            next_ticket: 0,
        }
    }

    /// Replaces the capacity, for instance after leafs have left, and starts requests that now fit.
    pub fn set_capacity(&mut self, capacity: u32, now: Instant, actions: &mut Vec<Action>) {
        self.limit.set_capacity(capacity);
        self.dispatch(now, actions);
    }

    /// Starts, refuses or queues a request. Without an action for the returned ticket, the request
    /// is queued.
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
        // An idle instance ignores the estimate, because an estimate above all deadlines would
        // otherwise never get a sample that corrects it.
        let expected = if self.in_progress == 0 {
            Duration::ZERO
        } else {
            Duration::from_secs_f64(self.duration_quantile)
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

    /// Estimates how many seconds a request would wait: the cost of the requests that start before
    /// it, divided by the rate at which calls in progress end.
    fn expected_wait(&self, offer: &Offer, rank: Rank) -> f64 {
        let ahead = self.queue.cost_ahead(offer.tenant, rank);
        let limit = self.limit.get();
        if limit > 0.0 {
            ahead * self.mean_duration / limit
        } else {
            0.0
        }
    }

    /// Records the end of a started request, whether it succeeded or not, and starts requests that
    /// now fit. Ignores a ticket that is not in progress.
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
            self.mean_deviation += (error.abs() - self.mean_deviation) * DURATION_WEIGHT;
            // Upward and downward steps cancel out when DURATION_QUANTILE of the durations lie
            // below the estimate.
            let step = self.mean_deviation * DURATION_WEIGHT;
            self.duration_quantile += if duration > self.duration_quantile {
                step * DURATION_QUANTILE
            } else {
                step * (DURATION_QUANTILE - 1.0)
            };
        } else {
            (self.mean_duration, self.duration_quantile) = (duration, duration);
        }
        self.limit.on_measured(now, measurement.queueing);
        self.dispatch(now, actions);
    }

    /// Removes a waiting request whose caller has disconnected. Returns whether it was waiting.
    pub fn on_caller_gone(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket).is_some()
    }

    /// Refuses the waiting requests whose latest start has passed, if any.
    pub fn on_timer(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.dispatch(now, actions);
    }

    /// Returns when the caller must call [`Admission::on_timer`] next, or `None` if no request
    /// waits.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.queue.next_expiry().map(|(at, _)| at)
    }

    /// Returns the current limit on leaf calls in progress. Not necessarily a whole number.
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
            "requests are queued although the limit is not reached"
        );
    }

    /// Returns whether a request of this cost may start now. A request larger than the limit may
    /// start when nothing else is in progress; otherwise it would never start.
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
