//! The owner of a leaf: decides what is written to it, when, and on which connection.
//!
//! A request is written only while ownership is held, no drain signal stands, and fewer requests
//! are in flight than every limit permits. It carries an absolute deadline that lies
//! [`MAX_CLOCK_SKEW`] before ownership runs out, so that the server drops it if this instance is
//! paused between the decision and the write.
//!
//! A request counts as in flight until it is answered, or until its absolute deadline and
//! [`MAX_CLOCK_SKEW`] have passed, also if its connection is lost or its caller is gone: until then
//! the server may run it. At most `cold_start.concurrency` requests are in flight on connections
//! without an answer from the known incarnation, because a restarted server can accept a new
//! connection before the end of an old one is seen.

mod answer;
mod message;

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

pub use self::message::Action;
pub use self::message::Answer;
pub use self::message::Failure;
pub use self::message::Input;
pub use self::message::Ownership;
pub use self::message::Policy;
pub use self::message::Status;
pub use self::message::Submission;
use super::call::CallId;
use super::call::ConnectionId;
use super::call::NotRun;
use super::drain;
use super::limit::ConcurrencyLimit;
use super::limit::FastestAnswer;
use super::limit::pool::ConnectionState;
use super::limit::pool::OPEN_TIMEOUT;
use super::limit::pool::Pool;
use super::limit::pool::Request;
use super::limit::queue::Queue;
use super::limit::queue::Waiting;
use super::warmth::Warmth;
use crate::state::time::MAX_CLOCK_SKEW;

/// A cancellation that is not answered in this time gives up its connection.
pub const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// The state of one leaf at its owner.
///
/// The wall clock has to be read before the monotonic clock. A pause between the two then makes
/// deadlines earlier than they need to be, never later.
#[derive(Clone, Debug)]
pub struct Leaf {
    warmth: Warmth,
    in_flight: ConcurrencyLimit,
    fastest: FastestAnswer,
    queue: Queue,
    pool: Pool,
    drain: drain::Status,
    ownership: Ownership,
    /// Deadlines of requests that lost their connection and may still run at the server.
    orphans: Vec<SystemTime>,
}

/// The time of an input.
#[derive(Clone, Copy, Debug)]
struct Time {
    now: Instant,
    wall: SystemTime,
}

impl Leaf {
    /// Starts without ownership, without connections and with unknown warmth.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        Self {
            warmth: Warmth::new(policy.warmth),
            in_flight: ConcurrencyLimit::new(policy.slots()),
            fastest: FastestAnswer::default(),
            queue: Queue::new(policy.slots(), policy.deadline),
            pool: Pool::new(policy.connections.0, policy.slots()),
            drain: drain::Status::default(),
            ownership: Ownership::NotOwned,
            orphans: Vec::new(),
        }
    }

    /// Returns the warmth.
    #[must_use]
    pub fn warmth(&self) -> &Warmth {
        &self.warmth
    }

    /// Counts the requests that the server may be running.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        let (busy, _) = self.pool.in_flight(None);
        busy.saturating_add(u32::try_from(self.orphans.len()).unwrap_or(u32::MAX))
    }

    /// Counts the connections that the server may see, including those about to open or close.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.pool.connections().len()
    }

    /// Tells whether nothing waits and the server runs nothing. Only then may the leaf be released
    /// to its next owner before the handover wait.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.in_flight() == 0
    }

    /// Takes one input and appends what has to be done to `actions`.
    pub fn handle(
        &mut self,
        input: Input,
        now: Instant,
        wall: SystemTime,
        actions: &mut Vec<Action>,
    ) {
        let time = Time { now, wall };
        match input {
            Input::Submit(submission) => self.submit(submission, time, actions),
            Input::CallerCancelled { call } => self.cancel(call, now, actions),
            Input::Answered(answer) => self.answered(answer, time, actions),
            Input::CancelAnswered { connection } => self.cancel_answered(connection),
            Input::ConnectionOpened { connection } => self.opened(connection, actions),
            Input::ConnectionFailed { connection } => {
                self.pool.failed(now);
                self.pool.remove(connection);
            }
            Input::ConnectionLost { connection } => self.lost(connection, actions),
            Input::NotWritten { connection, call } => self.not_written(connection, call, actions),
            Input::Silence => self.warmth.mark_unknown(),
            Input::HealthReport(health) => self.warmth.set_health(health, now),
            Input::Ownership(ownership) => self.own(ownership),
            Input::Drain(signal) => self.drain.apply(signal, now),
            Input::PolicyChanged(policy) => self.set_policy(policy),
            Input::Tick => self.tick(time, actions),
        }
        self.dispatch(time, actions);
    }

    fn submit(&mut self, submission: Submission, time: Time, actions: &mut Vec<Action>) {
        let Submission { call, caller, .. } = submission;
        let remaining = submission.deadline.duration_since(time.wall);
        let remaining = remaining.unwrap_or_default();
        if remaining.is_zero() {
            let reason = NotRun::DeadlineTooClose;
            actions.push(Action::Refuse { call, reason });
            return;
        }
        let expires = time.now + remaining.min(self.queue.longest_wait());
        let Submission {
            deadline,
            idempotent,
            ..
        } = submission;
        let waiting = Waiting::new(call, caller, deadline, idempotent, expires);
        if let Some(displaced) = self.queue.push(waiting) {
            let (call, reason) = (displaced.call, NotRun::QueueFull);
            actions.push(Action::Refuse { call, reason });
        }
    }

    fn cancel(&mut self, call: CallId, now: Instant, actions: &mut Vec<Action>) {
        if self.queue.remove(call).is_some() {
            let reason = NotRun::Cancelled;
            actions.push(Action::Refuse { call, reason });
            return;
        }
        let mut connections = self.pool.connections_mut().iter_mut();
        let request = connections.find_map(|connection| match &mut connection.state {
            ConnectionState::Busy(request) if request.call == call => Some(request),
            _ => None,
        });
        let Some(request) = request else {
            return;
        };
        if request.ended || !request.idempotent {
            return;
        }
        request.ended = true;
        let cause = Failure::Cancelled;
        actions.push(Action::Fail { call, cause });
        self.cancel_at_server(call, now, actions);
    }

    /// Sends a cancellation if a connection is free. Without one, the deadline ends the request.
    fn cancel_at_server(&mut self, call: CallId, now: Instant, actions: &mut Vec<Action>) {
        if let Some(index) = self.pool.idle(self.warmth.incarnation(), false) {
            let carrier = &mut self.pool.connections_mut()[index];
            carrier.state = ConnectionState::Cancelling { since: now };
            let connection = carrier.id;
            actions.push(Action::CancelAtServer { connection, call });
        }
    }

    fn own(&mut self, ownership: Ownership) {
        let held = |ownership| matches!(ownership, Ownership::Held { .. });
        if held(ownership) && !held(self.ownership) {
            // Another owner may have loaded the leaf, or seen it restart, in the meantime.
            self.warmth.mark_unknown();
        }
        self.ownership = ownership;
    }

    fn set_policy(&mut self, policy: Policy) {
        self.warmth.set_policy(policy.warmth);
        self.in_flight.set_maximum(policy.slots());
        self.queue.set_policy(policy.slots(), policy.deadline);
        self.pool.set_policy(policy.connections.0, policy.slots());
    }

    fn tick(&mut self, time: Time, actions: &mut Vec<Action>) {
        self.warmth.tick(time.now);
        self.orphans.retain(|deadline| !released(*deadline, time));
        while let Some(expired) = self.queue.pop_expired(time.now) {
            let (call, reason) = (expired.call, NotRun::QueueTimeout);
            actions.push(Action::Refuse { call, reason });
        }
        for connection in self.pool.connections_mut() {
            let overdue = match &mut connection.state {
                ConnectionState::Busy(request) => overdue(request, time, actions),
                ConnectionState::Opening { since } => {
                    time.now.duration_since(*since) >= OPEN_TIMEOUT
                }
                ConnectionState::Cancelling { since } => {
                    time.now.duration_since(*since) >= CANCEL_TIMEOUT
                }
                ConnectionState::Idle | ConnectionState::Closing => false,
            };
            if overdue {
                connection.state = ConnectionState::Closing;
                let connection = connection.id;
                actions.push(Action::CloseConnection { connection });
            }
        }
    }

    /// Refuses, writes and opens or closes connections as the state now permits.
    fn dispatch(&mut self, time: Time, actions: &mut Vec<Action>) {
        if let Some(reason) = self.obstacle(time.now) {
            while let Some(waiting) = self.queue.pop() {
                let call = waiting.call;
                actions.push(Action::Refuse { call, reason });
            }
        } else {
            while let Some(index) = self.free_connection(time.now) {
                let Some(waiting) = self.queue.pop() else {
                    break;
                };
                self.write(waiting, index, time, actions);
            }
        }
        self.adjust_connections(time, actions);
    }

    /// Returns why nothing may be written, if so.
    fn obstacle(&self, now: Instant) -> Option<NotRun> {
        match self.ownership {
            Ownership::NotOwned => return Some(NotRun::NotOwner),
            Ownership::Waiting => return Some(NotRun::OwnershipUnconfirmed),
            Ownership::Held { valid_until } if now + MAX_CLOCK_SKEW >= valid_until => {
                return Some(NotRun::OwnershipUnconfirmed);
            }
            Ownership::Held { .. } => {}
        }
        self.drain.leaving(now).map(NotRun::Draining)
    }

    /// Finds a connection on which a request may be written now.
    fn free_connection(&self, now: Instant) -> Option<usize> {
        let incarnation = self.warmth.incarnation();
        let (busy, unproven) = self.pool.in_flight(incarnation);
        let orphans = u32::try_from(self.orphans.len()).unwrap_or(u32::MAX);
        let limit = self.warmth.limit(now).min(self.in_flight.limit());
        if busy.saturating_add(orphans) >= limit {
            return None;
        }
        let fresh = unproven.saturating_add(orphans) < self.warmth.cold_limit();
        self.pool.idle(incarnation, fresh)
    }

    fn write(&mut self, waiting: Waiting, index: usize, time: Time, actions: &mut Vec<Action>) {
        let call = waiting.call;
        let deadline = self.absolute_deadline(waiting.deadline, time);
        let remaining = deadline.duration_since(time.wall).unwrap_or_default();
        let reason = if waiting.expires <= time.now {
            NotRun::QueueTimeout
        } else if remaining <= self.fastest.estimate() {
            self.fastest.dropped();
            NotRun::DeadlineTooClose
        } else {
            let connection = &mut self.pool.connections_mut()[index];
            connection.state = ConnectionState::Busy(Request {
                call,
                deadline,
                idempotent: waiting.idempotent,
                ended: false,
                epoch: self.warmth.epoch(),
                sent: time.now,
            });
            let connection = connection.id;
            self.warmth.sent(time.now);
            actions.push(Action::Write {
                connection,
                call,
                deadline,
            });
            return;
        };
        actions.push(Action::Refuse { call, reason });
    }

    fn absolute_deadline(&self, deadline: SystemTime, time: Time) -> SystemTime {
        let Ownership::Held { valid_until } = self.ownership else {
            return time.wall;
        };
        let valid = valid_until.saturating_duration_since(time.now);
        deadline.min(time.wall + valid.saturating_sub(MAX_CLOCK_SKEW))
    }

    fn adjust_connections(&mut self, time: Time, actions: &mut Vec<Action>) {
        let leaving = self.drain.leaving(time.now).is_some();
        if leaving || self.ownership == Ownership::NotOwned {
            self.close_idle(actions);
            return;
        }
        while let Some(connection) = self.pool.open(time.now) {
            actions.push(Action::OpenConnection { connection });
        }
        while let Some(connection) = self.pool.excess() {
            self.close(connection);
            actions.push(Action::CloseConnection { connection });
        }
    }

    fn close_idle(&mut self, actions: &mut Vec<Action>) {
        for connection in self.pool.connections_mut() {
            if matches!(
                connection.state,
                ConnectionState::Idle | ConnectionState::Opening { .. }
            ) {
                connection.state = ConnectionState::Closing;
                let connection = connection.id;
                actions.push(Action::CloseConnection { connection });
            }
        }
    }

    fn close(&mut self, id: ConnectionId) {
        if let Some(connection) = self.pool.get_mut(id) {
            connection.state = ConnectionState::Closing;
        }
    }
}

/// Tells whether the server has stopped the request by now, whatever its clock.
fn released(deadline: SystemTime, time: Time) -> bool {
    deadline + MAX_CLOCK_SKEW <= time.wall
}

/// Ends a request whose deadline has passed; tells whether its connection has to be given up.
fn overdue(request: &mut Request, time: Time, actions: &mut Vec<Action>) -> bool {
    if request.deadline <= time.wall && !request.ended {
        request.ended = true;
        let (call, cause) = (request.call, Failure::Timeout);
        actions.push(Action::Fail { call, cause });
    }
    released(request.deadline, time)
}
