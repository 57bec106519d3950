//! The owner of a leaf: decides which calls are written to the leaf, when, and on which connection.
//!
//! The owner writes a request only while it holds the ownership, no drain signal is in force, and
//! fewer requests are in flight than every limit permits. The request carries an absolute deadline
//! at least [`MAX_CLOCK_SKEW`] before the ownership ends, so that the server drops it if this
//! instance is paused between the decision and the write.
//!
//! A request counts as in flight until it is answered, or until its absolute deadline and
//! [`MAX_CLOCK_SKEW`] have passed, even if its connection is lost or its caller has cancelled:
//! until then the server may run it. At most `cold_start.concurrency` requests are in flight on
//! connections without an answer from the known incarnation, because a restarted server can accept
//! a new connection before this instance learns that an old one has ended.

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

/// The owner closes a connection whose cancellation is not answered within this time.
pub const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// The state of one leaf at its owner.
///
/// Callers must read the wall clock before the monotonic clock. A pause between the two readings
/// then makes deadlines earlier than necessary, never later.
#[derive(Clone, Debug)]
pub struct Leaf {
    warmth: Warmth,
    concurrency_limit: ConcurrencyLimit,
    fastest_answer: FastestAnswer,
    queue: Queue,
    pool: Pool,
    drain: drain::Status,
    ownership: Ownership,
    /// Deadlines of requests that lost their connection and may still run at the server.
    orphans: Vec<SystemTime>,
}

/// The time of an input on both clocks.
#[derive(Clone, Copy, Debug)]
struct Time {
    now: Instant,
    wall: SystemTime,
}

impl Leaf {
    /// Creates a leaf without ownership or connections, and with unknown warmth.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        Self {
            warmth: Warmth::new(policy.warmth),
            concurrency_limit: ConcurrencyLimit::new(policy.slots()),
            fastest_answer: FastestAnswer::default(),
            queue: Queue::new(policy.slots(), policy.deadline),
            pool: Pool::new(policy.connections.0, policy.slots()),
            drain: drain::Status::default(),
            ownership: Ownership::NotOwned,
            orphans: Vec::new(),
        }
    }

    /// Returns the warmth as of the last input.
    #[must_use]
    pub fn warmth(&self) -> &Warmth {
        &self.warmth
    }

    /// Counts the requests that the server may be running, including those whose connection was
    /// lost or whose caller has cancelled.
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

    /// Returns whether no call is queued and the server runs none. Only then may the leaf be
    /// released to its next owner without the handover wait.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.in_flight() == 0
    }

    /// Handles one input and appends the resulting actions to `actions`.
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
            Input::ConnectionOpened { connection } => self.connection_opened(connection, actions),
            Input::ConnectionFailed { connection } => {
                self.pool.failed(now);
                self.pool.remove(connection);
            }
            Input::ConnectionLost { connection } => self.connection_lost(connection, actions),
            Input::NotWritten { connection, call } => self.not_written(connection, call, actions),
            Input::Silence => self.warmth.mark_unknown(),
            Input::HealthReport(health) => self.warmth.set_health(health, now),
            Input::Ownership(ownership) => self.set_ownership(ownership),
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

    /// Sends a cancellation if a connection is idle; otherwise the server stops at the deadline.
    fn cancel_at_server(&mut self, call: CallId, now: Instant, actions: &mut Vec<Action>) {
        if let Some(index) = self.pool.idle(self.warmth.incarnation(), false) {
            let carrier = &mut self.pool.connections_mut()[index];
            carrier.state = ConnectionState::Cancelling { since: now };
            let connection = carrier.id;
            actions.push(Action::CancelAtServer { connection, call });
        }
    }

    fn set_ownership(&mut self, ownership: Ownership) {
        let held = |ownership| matches!(ownership, Ownership::Held { .. });
        if held(ownership) && !held(self.ownership) {
            // In the meantime the leaf may have restarted, or another owner may have sent requests
            // that are still running.
            self.warmth.mark_unknown();
        }
        self.ownership = ownership;
    }

    fn set_policy(&mut self, policy: Policy) {
        self.warmth.set_policy(policy.warmth);
        self.concurrency_limit.set_maximum(policy.slots());
        self.queue.set_policy(policy.slots(), policy.deadline);
        self.pool.set_policy(policy.connections.0, policy.slots());
    }

    fn tick(&mut self, time: Time, actions: &mut Vec<Action>) {
        self.warmth.tick(time.now);
        self.orphans
            .retain(|deadline| !is_surely_stopped(*deadline, time));
        while let Some(expired) = self.queue.pop_expired(time.now) {
            let (call, reason) = (expired.call, NotRun::QueueTimeout);
            actions.push(Action::Refuse { call, reason });
        }
        for connection in self.pool.connections_mut() {
            let overdue = match &mut connection.state {
                ConnectionState::Busy(request) => expire_request(request, time, actions),
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

    /// Refuses or writes queued calls, and opens or closes connections, as the state permits.
    fn dispatch(&mut self, time: Time, actions: &mut Vec<Action>) {
        if let Some(reason) = self.refusal_reason(time.now) {
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

    /// Returns the reason to refuse every queued call, or `None` if calls may be written.
    fn refusal_reason(&self, now: Instant) -> Option<NotRun> {
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

    /// Returns the index of a connection on which a request may be written at `now`.
    fn free_connection(&self, now: Instant) -> Option<usize> {
        let incarnation = self.warmth.incarnation();
        let (busy, unproven) = self.pool.in_flight(incarnation);
        let orphans = u32::try_from(self.orphans.len()).unwrap_or(u32::MAX);
        let limit = self.warmth.limit(now).min(self.concurrency_limit.limit());
        if busy.saturating_add(orphans) >= limit {
            return None;
        }
        let allow_unproven = unproven.saturating_add(orphans) < self.warmth.cold_limit();
        self.pool.idle(incarnation, allow_unproven)
    }

    fn write(&mut self, waiting: Waiting, index: usize, time: Time, actions: &mut Vec<Action>) {
        let call = waiting.call;
        let deadline = self.absolute_deadline(waiting.deadline, time);
        let remaining = deadline.duration_since(time.wall).unwrap_or_default();
        let reason = if waiting.expires <= time.now {
            NotRun::QueueTimeout
        } else if remaining <= self.fastest_answer.estimate() {
            self.fastest_answer.dropped();
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

/// Returns whether the server has stopped the request, for any clock skew within the limit.
fn is_surely_stopped(deadline: SystemTime, time: Time) -> bool {
    deadline + MAX_CLOCK_SKEW <= time.wall
}

/// Reports a timeout once the deadline of the request has passed. Returns whether its connection
/// must be closed.
fn expire_request(request: &mut Request, time: Time, actions: &mut Vec<Action>) -> bool {
    if request.deadline <= time.wall && !request.ended {
        request.ended = true;
        let (call, cause) = (request.call, Failure::Timeout);
        actions.push(Action::Fail { call, cause });
    }
    is_surely_stopped(request.deadline, time)
}
