//! Handling of answers and connection events at the owner of a leaf.

use super::Action;
use super::Answer;
use super::Failure;
use super::Leaf;
use super::Status;
use super::Time;
use crate::coordination::call::CallId;
use crate::coordination::call::ConnectionId;
use crate::coordination::call::NotRun;
use crate::coordination::drain::Signal;
use crate::coordination::drain::Source;
use crate::coordination::limit::pool::ConnectionState;
use crate::coordination::limit::pool::Request;
use crate::coordination::warmth;

impl Leaf {
    pub(super) fn answered(&mut self, answer: Answer, time: Time, actions: &mut Vec<Action>) {
        let Some(connection) = self.pool.get_mut(answer.connection) else {
            return;
        };
        match connection.state {
            ConnectionState::Closing => return,
            ConnectionState::Busy(request) if request.call == answer.call => {
                connection.state = ConnectionState::Idle;
                connection.incarnation = Some(answer.incarnation);
                self.record_answer(&answer, &request, time);
                if !request.ended {
                    actions.push(outcome_action(&answer));
                }
            }
            // The answer does not match the request on this connection.
            _ => return self.close_mismatched(answer.connection, actions),
        }
        let Answer {
            incarnation, holds, ..
        } = answer;
        actions.push(Action::Observed { incarnation, holds });
    }

    fn record_answer(&mut self, answer: &Answer, request: &Request, time: Time) {
        let good = answer.whole && answer.status == Status::Ok;
        let others_in_flight = self.in_flight() > 0;
        let evidence = warmth::Answer {
            epoch: request.epoch,
            incarnation: answer.incarnation,
            temperature: answer.temperature,
            good,
        };
        self.warmth.answered(evidence, others_in_flight, time.now);
        match answer.status {
            Status::Shed => self.concurrency_limit.shed(time.now),
            Status::Draining => self.drain.apply(Signal::Leaving(Source::Server), time.now),
            Status::Ok => {
                self.concurrency_limit.answered();
                let latency = time.now.saturating_duration_since(request.sent);
                self.fastest_answer.answered(latency);
            }
            Status::NotStarted | Status::WrongSnapshot | Status::Failed => {}
        }
    }

    /// Closes a connection on which the server answered another call than the one in flight.
    fn close_mismatched(&mut self, id: ConnectionId, actions: &mut Vec<Action>) {
        let Some(connection) = self.pool.get_mut(id) else {
            return;
        };
        if let ConnectionState::Busy(request) = connection.state {
            self.orphans.push(request.deadline);
            fail(&request, Failure::MismatchedAnswer, actions);
        }
        connection.state = ConnectionState::Closing;
        let connection = id;
        actions.push(Action::CloseConnection { connection });
    }

    pub(super) fn cancel_answered(&mut self, id: ConnectionId) {
        if let Some(connection) = self.pool.get_mut(id)
            && matches!(connection.state, ConnectionState::Cancelling { .. })
        {
            connection.state = ConnectionState::Idle;
        }
    }

    pub(super) fn connection_opened(&mut self, id: ConnectionId, actions: &mut Vec<Action>) {
        self.pool.opened();
        let first = !self.pool.any_open();
        match self.pool.get_mut(id) {
            Some(connection) if matches!(connection.state, ConnectionState::Opening { .. }) => {
                connection.state = ConnectionState::Idle;
                if first {
                    self.warmth.mark_unknown();
                }
            }
            Some(_) => {}
            None => actions.push(Action::CloseConnection { connection: id }),
        }
    }

    /// Handles a connection that ended before the transport wrote the call. The server has not
    /// received the call, so it does not run it and cannot have crashed because of it.
    pub(super) fn not_written(
        &mut self,
        id: ConnectionId,
        call: CallId,
        actions: &mut Vec<Action>,
    ) {
        let Some(connection) = self.pool.remove(id) else {
            return;
        };
        if connection.state != ConnectionState::Closing {
            self.warmth.mark_unknown();
        }
        if let ConnectionState::Busy(request) = connection.state
            && request.call == call
            && !request.ended
        {
            let reason = NotRun::NotWritten;
            actions.push(Action::Refuse { call, reason });
        }
    }

    /// Handles the end of a connection. If the owner had not asked to close it, the server may have
    /// restarted.
    pub(super) fn connection_lost(&mut self, id: ConnectionId, actions: &mut Vec<Action>) {
        let Some(connection) = self.pool.remove(id) else {
            return;
        };
        if connection.state == ConnectionState::Closing {
            return;
        }
        self.warmth.mark_unknown();
        if let ConnectionState::Busy(request) = connection.state {
            self.orphans.push(request.deadline);
            actions.push(Action::SuspectCrash { call: request.call });
            fail(&request, Failure::ResetAfterSent, actions);
        }
    }
}

fn fail(request: &Request, cause: Failure, actions: &mut Vec<Action>) {
    if !request.ended {
        let call = request.call;
        actions.push(Action::Fail { call, cause });
    }
}

/// Returns the action that reports the outcome of an answered call.
fn outcome_action(answer: &Answer) -> Action {
    let Answer {
        call,
        status,
        whole,
        ..
    } = *answer;
    let refuse = |call: CallId, reason| Action::Refuse { call, reason };
    match status {
        Status::Shed => refuse(call, NotRun::Shed),
        Status::Draining => refuse(call, NotRun::Draining(Source::Server)),
        Status::NotStarted => refuse(call, NotRun::NotStarted),
        Status::Ok | Status::WrongSnapshot | Status::Failed => Action::Complete {
            call,
            status,
            whole,
        },
    }
}
