//! Messages between instances and the server, and the checks on each action.

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
                assert!(!self.calls[&call].started, "{action:?}, but it was started");
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
        assert_eq!(state.ended, None, "{action:?} ends the call again");
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
        assert_eq!(sender.told, [false; 3], "written to a leaf that leaves");
        assert_eq!(self.calls[&call].ended, None, "written after its end");
        let Ownership::Held { valid_until } = sender.ownership else {
            panic!("written without ownership");
        };
        let valid = valid_until.saturating_duration_since(self.start + self.time);
        assert!(valid > Duration::ZERO, "written after ownership ran out");
        let bound = self.wall(sender.offset_ms) + valid - MAX_CLOCK_SKEW;
        assert!(
            deadline <= bound,
            "the deadline lies after the end of ownership"
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

    pub(super) fn late_write(&mut self, ms: u64) {
        let owner = self.owner.instance;
        self.submit(owner, 5_000, false);
        self.instances[owner].paused = true;
        self.advance(Duration::from_millis(ms));
        self.instances[owner].paused = false;
        self.deliver(owner, u8::MAX);
    }

    /// Reads numbers above the instances as the owner.
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
            "more connections than the leaf accepts"
        );
        self.send(peer, Input::ConnectionOpened { connection });
    }

    fn start(&mut self, run: Run) {
        let wall = self.wall(self.server_offset_ms);
        if let Some(status) = self.server.take(run, self.time, wall) {
            return self.send_answer(&run, run.call, status, true);
        }
        for since in self.leaving.into_iter().flatten() {
            assert!(
                self.time <= since + DRAIN_BOUND,
                "started {run:?} after the drain bound"
            );
        }
        let call = self.calls.get_mut(&run.call).unwrap();
        assert!(!call.started, "{run:?} is started twice");
        assert!(
            !matches!(call.ended, Some(Action::Refuse { .. })),
            "{run:?} is started after {:?}",
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
            Kind::Doubled => {
                self.send_answer(&run, run.call, Status::Ok, true);
                self.send_answer(&run, run.call, Status::Ok, true);
            }
            Kind::Crossed => self.send_answer(&run, other, Status::Ok, true),
        }
    }

    /// Hands messages to an instance. Messages of one connection stay in order.
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
                    assert!(
                        !self.wrote,
                        "written to a leaf that just said that it leaves"
                    );
                    self.instances[instance].told[index(Source::Server)] = true;
                }
            }
        }
    }

    pub(super) fn restart(&mut self, lies: bool, resets: bool) {
        for (instance, connection) in self.server.restart(lies, self.time) {
            if resets {
                self.send((instance, connection), Input::ConnectionLost { connection });
            }
        }
    }

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
