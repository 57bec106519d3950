//! The messages between the instances and the server, and the checks of each action of an owner.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use camphorhold::coordination::call::CallId;
use camphorhold::coordination::call::ConnectionId;
use camphorhold::coordination::dispatch::Action;
use camphorhold::coordination::dispatch::Answer;
use camphorhold::coordination::dispatch::Input;
use camphorhold::coordination::dispatch::Ownership;
use camphorhold::coordination::dispatch::Status;
use camphorhold::coordination::drain::Source;
use camphorhold::coordination::warmth::Temperature;
use camphorhold::state::id::ServerIncarnation;
use camphorhold::state::time::MAX_CLOCK_SKEW;

use super::CONNECTIONS;
use super::DRAIN_BOUND;
use super::INSTANCES;
use super::Message;
use super::World;
use super::index;
use crate::server::Peer;
use crate::server::Run;
use crate::transition::Kind;

impl World {
    pub(super) fn perform(&mut self, instance: usize, action: Action) {
        let message = match action {
            Action::Write {
                connection,
                call,
                deadline,
            } => Message::Write(self.checked_write(instance, connection, call, deadline)),
            Action::OpenConnection { connection } => Message::Open(connection),
            Action::CloseConnection { connection } => {
                self.instances[instance].closed.insert(connection);
                Message::Close(connection)
            }
            Action::CancelAtServer { connection, .. } => Message::Cancel(connection),
            Action::Complete { call, .. } | Action::Fail { call, .. } => {
                return self.end(call, action);
            }
            Action::Refuse { call, .. } => {
                assert!(
                    !self.calls[&call].started,
                    "{action:?}, but the server started the call"
                );
                return self.end(call, action);
            }
            Action::Observed { .. } => {
                self.observed = true;
                return;
            }
            Action::SuspectCrash { .. } => return,
        };
        self.wrote |= matches!(message, Message::Write(..));
        self.instances[instance].outbox.push_back(message);
    }

    fn end(&mut self, call: CallId, action: Action) {
        let state = self.calls.get_mut(&call).unwrap();
        assert_eq!(
            state.ended, None,
            "{action:?} ends a call that has already ended"
        );
        state.ended = Some(action);
    }

    fn checked_write(
        &self,
        instance: usize,
        connection: ConnectionId,
        call: CallId,
        deadline: SystemTime,
    ) -> Run {
        let sender = &self.instances[instance];
        assert_eq!(
            sender.notified, [false; 3],
            "request written to a draining leaf"
        );
        assert_eq!(
            self.calls[&call].ended, None,
            "request written for a call that has ended"
        );
        let Ownership::Held { valid_until } = sender.ownership else {
            panic!("request written without ownership");
        };
        let valid = valid_until.saturating_duration_since(self.start + self.time);
        assert!(
            valid > Duration::ZERO,
            "request written after the ownership ended"
        );
        let bound = self.wall(sender.offset_ms) + valid - MAX_CLOCK_SKEW;
        assert!(
            deadline <= bound,
            "the deadline of the request is later than the end of the ownership minus the clock skew"
        );
        Run {
            peer: (instance, connection),
            call,
            deadline,
            signal_seen: sender.signal_seen,
            valid_until: valid_until - self.start,
        }
    }

    pub(super) fn deliver(&mut self, instance: usize, count: u8) {
        let instance = self.or_owner(instance);
        if self.instances[instance].paused {
            return;
        }
        for _ in 0..count {
            let Some(message) = self.instances[instance].outbox.pop_front() else {
                return;
            };
            match message {
                Message::Open(connection) => self.accept((instance, connection)),
                Message::Close(connection) => {
                    self.server.peers.remove(&(instance, connection));
                    self.send((instance, connection), Input::ConnectionLost { connection });
                }
                Message::Cancel(connection) if self.connected((instance, connection)) => {
                    self.send((instance, connection), Input::CancelAnswered { connection });
                }
                Message::Write(run) if self.connected(run.peer) => self.start(run),
                Message::Cancel(_) | Message::Write(..) => {}
            }
        }
    }

    /// Pauses the owner between its decision to send a call and the write, for `ms`.
    pub(super) fn late_write(&mut self, ms: u64) {
        let owner = self.owner.instance;
        self.submit(owner, 5_000, false);
        self.instances[owner].paused = true;
        self.advance(Duration::from_millis(ms));
        self.instances[owner].paused = false;
        self.deliver(owner, u8::MAX);
    }

    /// Maps numbers from [`INSTANCES`] on to the current owner.
    pub(super) fn or_owner(&self, instance: usize) -> usize {
        if instance < INSTANCES {
            instance
        } else {
            self.owner.instance
        }
    }

    fn connected(&self, peer: Peer) -> bool {
        self.server.peers.contains_key(&peer)
    }

    fn accept(&mut self, peer: Peer) {
        let connection = peer.1;
        if self.server.refusing {
            return self.send(peer, Input::ConnectionFailed { connection });
        }
        self.server.peers.insert(peer, self.server.incarnation);
        let pair = [self.owner.instance, self.owner.previous];
        let open = self.server.peers.keys();
        let open = open.filter(|(instance, _)| pair.contains(instance)).count();
        assert!(
            open <= usize::try_from(CONNECTIONS).unwrap(),
            "more open connections than the limit of the leaf"
        );
        self.send(peer, Input::ConnectionOpened { connection });
    }

    fn start(&mut self, run: Run) {
        let wall = self.wall(self.server_offset_ms);
        if let Some(status) = self.server.admit(run, self.time, wall) {
            return self.send_answer(&run, run.call, status, true);
        }
        for since in self.leaving.into_iter().flatten() {
            assert!(
                self.time <= since + DRAIN_BOUND,
                "started {run:?} later than the drain bound"
            );
        }
        let call = self.calls.get_mut(&run.call).unwrap();
        assert!(!call.started, "{run:?} is started twice");
        assert!(
            !matches!(call.ended, Some(Action::Refuse { .. })),
            "{run:?} is started although the call was refused: {:?}",
            call.ended
        );
        call.started = true;
    }

    fn send(&mut self, peer: Peer, input: Input) {
        let (instance, connection) = peer;
        self.instances[instance]
            .inbox
            .push((connection, input, None));
    }

    pub(super) fn send_answer(&mut self, run: &Run, call: CallId, status: Status, whole: bool) {
        if !self.connected(run.peer) {
            return;
        }
        let temperature = self.server.temperature();
        let period = (temperature == Temperature::Cold).then_some(self.server.period);
        let (instance, connection) = run.peer;
        let answer = Answer {
            connection,
            call,
            status,
            incarnation: ServerIncarnation(self.server.incarnation),
            temperature,
            whole,
            holds: Arc::default(),
        };
        let inbox = &mut self.instances[instance].inbox;
        inbox.push((connection, Input::Answered(answer), period));
    }

    pub(super) fn answer(&mut self, pick: usize, kind: Kind) {
        if self.server.running.is_empty() || self.server.silent {
            return;
        }
        let index = pick % self.server.running.len();
        let other = self.server.running[pick / 7 % self.server.running.len()].call;
        let run = self.server.end(index, self.time);
        match kind {
            Kind::Ok => self.send_answer(&run, run.call, Status::Ok, true),
            Kind::Failed => self.send_answer(&run, run.call, Status::Failed, true),
            Kind::Incomplete => self.send_answer(&run, run.call, Status::Ok, false),
            Kind::WrongSnapshot => self.send_answer(&run, run.call, Status::WrongSnapshot, true),
            Kind::Duplicated => {
                self.send_answer(&run, run.call, Status::Ok, true);
                self.send_answer(&run, run.call, Status::Ok, true);
            }
            Kind::Mismatched => self.send_answer(&run, other, Status::Ok, true),
        }
    }

    /// Delivers messages from the server to an instance. Messages of one connection stay in order.
    pub(super) fn receive(&mut self, instance: usize, count: u8, pick: usize) {
        let instance = self.or_owner(instance);
        for _ in 0..count {
            let receiver = &mut self.instances[instance];
            if receiver.paused || receiver.inbox.is_empty() {
                return;
            }
            let (connection, ..) = receiver.inbox[pick % receiver.inbox.len()];
            let same = |message: &(ConnectionId, Input, _)| message.0 == connection;
            let first = receiver.inbox.iter().position(same).unwrap();
            let (_, input, period) = receiver.inbox.remove(first);
            let Input::Answered(answer) = &input else {
                self.input(instance, input);
                continue;
            };
            // The transport does not read from a connection that it has closed.
            if !receiver.closed.contains(&connection) {
                receiver.signal_seen = receiver.signal_seen.max(period);
                let draining = answer.status == Status::Draining;
                self.observed = false;
                self.wrote = false;
                self.input(instance, input);
                if draining && self.observed {
                    assert!(!self.wrote, "request written in response to a drain answer");
                    self.instances[instance].notified[index(Source::Server)] = true;
                }
            }
        }
    }

    /// Restarts the server. Without `resets`, the instances receive nothing on their old
    /// connections and do not learn that they are lost.
    pub(super) fn restart(&mut self, claims_warm: bool, resets: bool) {
        for (instance, connection) in self.server.restart(claims_warm, self.time) {
            if resets {
                self.send((instance, connection), Input::ConnectionLost { connection });
            }
        }
    }

    /// Resets one connection, if possible one on which a request runs.
    pub(super) fn reset(&mut self, pick: usize) {
        let busy = self.server.running.iter().map(|run| run.peer);
        let mut peers: Vec<Peer> = busy.filter(|peer| self.connected(*peer)).collect();
        if peers.is_empty() {
            peers.extend(self.server.peers.keys());
        }
        if !peers.is_empty() {
            let (instance, connection) = peers[pick % peers.len()];
            self.server.peers.remove(&(instance, connection));
            self.send((instance, connection), Input::ConnectionLost { connection });
        }
    }
}
