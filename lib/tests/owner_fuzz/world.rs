//! The instances, the ownership of the leaf, and the oracle's state.

mod network;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use camphorhold::coordination::call::CallId;
use camphorhold::coordination::call::Caller;
use camphorhold::coordination::call::ConnectionId;
use camphorhold::coordination::dispatch::Action;
use camphorhold::coordination::dispatch::Input;
use camphorhold::coordination::dispatch::Leaf;
use camphorhold::coordination::dispatch::Ownership;
use camphorhold::coordination::dispatch::Policy;
use camphorhold::coordination::dispatch::Status;
use camphorhold::coordination::dispatch::Submission;
use camphorhold::coordination::drain::Signal;
use camphorhold::coordination::drain::Source;
use camphorhold::coordination::warmth;
use camphorhold::state::file::ColdStart;
use camphorhold::state::size::Connections;
use camphorhold::state::size::Slots;

use super::server::Mode;
use super::server::Run;
use super::server::Server;
use super::transition::Kind;
use super::transition::Transition;

pub const INSTANCES: usize = 3;
pub const SLOTS: u32 = 4;
pub const COLD_LIMIT: u32 = 1;
pub const COLD_ANSWERS: u32 = 4;
pub const COLD_DURATION: Duration = Duration::from_millis(300);
const CONNECTIONS: u32 = 10;
const CURRENCY_BOUND: Duration = Duration::from_secs(3);
const HANDOVER_WAIT: Duration = Duration::from_millis(3500);
const DRAIN_BOUND: Duration = Duration::from_secs(5);

/// A message from an instance to the server.
#[derive(Clone, Copy, Debug)]
enum Message {
    Open(ConnectionId),
    Close(ConnectionId),
    Write(Run),
    Cancel(ConnectionId),
}

struct Instance {
    leaf: Leaf,
    offset_ms: i64,
    paused: bool,
    partitioned: bool,
    ownership: Ownership,
    outbox: VecDeque<Message>,
    /// Messages from the server that have not been delivered. An answer of a server that reports
    /// that it is cold has the number of the cold period.
    inbox: Vec<(ConnectionId, Input, Option<u64>)>,
    /// The latest cold period that the instance has seen in an answer.
    signal_seen: Option<u64>,
    /// Connections that the instance has closed.
    closed: BTreeSet<ConnectionId>,
    /// The drain signals passed to the leaf, by source; see [`index`].
    notified: [bool; 3],
}

/// The ownership of the leaf.
struct Owner {
    instance: usize,
    previous: usize,
    /// Whether the previous owner was ready. Otherwise an owner before it may still have requests
    /// in flight, and the release of the previous owner is not sufficient.
    previous_was_ready: bool,
    /// When the owner received the record that names it.
    learned_at: Option<Duration>,
    /// Whether the owner may send requests: the earlier owners have released the leaf, or the
    /// handover wait is over.
    ready: bool,
}

#[derive(Default)]
struct Call {
    started: bool,
    ended: Option<Action>,
}

pub struct World {
    start: Instant,
    time: Duration,
    server_offset_ms: i64,
    instances: Vec<Instance>,
    server: Server,
    owner: Owner,
    calls: BTreeMap<CallId, Call>,
    /// Since when the operators' file and the instance list have taken the leaf out of service.
    leaving: [Option<Duration>; 2],
    actions: Vec<Action>,
    /// Whether the leaf has observed a server process since the flag was last cleared.
    observed: bool,
    /// Whether the leaf has written a request since the flag was last cleared.
    wrote: bool,
}

fn policy(slots: u32) -> Policy {
    let cold_start = ColdStart {
        concurrency: Slots(COLD_LIMIT),
        duration: COLD_DURATION,
        answers: COLD_ANSWERS,
    };
    Policy {
        warmth: warmth::Policy {
            cold_start,
            slots: Slots(slots),
        },
        connections: Connections(CONNECTIONS),
        deadline: Duration::from_millis(800),
    }
}

/// Returns the index of a source in the arrays of drain signals.
fn index(source: Source) -> usize {
    match source {
        Source::File => 0,
        Source::InstanceList => 1,
        Source::Server => 2,
    }
}

impl World {
    pub fn new(offsets: [i64; 4]) -> Self {
        let instance = |offset_ms| Instance {
            leaf: Leaf::new(policy(SLOTS)),
            offset_ms,
            paused: false,
            partitioned: false,
            ownership: Ownership::NotOwned,
            outbox: VecDeque::new(),
            inbox: Vec::new(),
            signal_seen: None,
            closed: BTreeSet::new(),
            notified: [false; 3],
        };
        let mut world = Self {
            start: Instant::now(),
            time: Duration::ZERO,
            server_offset_ms: offsets[3],
            instances: offsets[..INSTANCES].iter().copied().map(instance).collect(),
            server: Server::new(),
            owner: Owner {
                instance: 0,
                previous: 0,
                previous_was_ready: true,
                learned_at: None,
                ready: true,
            },
            calls: BTreeMap::new(),
            leaving: [None; 2],
            actions: Vec::new(),
            observed: false,
            wrote: false,
        };
        world.refresh();
        world
    }

    pub fn limit(&self, instance: usize) -> u32 {
        let now = self.start + self.time;
        self.instances[instance].leaf.warmth().limit(now)
    }

    pub fn most_running(&self) -> u32 {
        u32::try_from(self.server.most_running).unwrap()
    }

    fn wall(&self, offset_ms: i64) -> SystemTime {
        let base = SystemTime::UNIX_EPOCH + Duration::from_secs(1_700_000_000) + self.time;
        let offset = Duration::from_millis(offset_ms.unsigned_abs());
        if offset_ms < 0 {
            base - offset
        } else {
            base + offset
        }
    }

    pub fn apply(&mut self, transition: Transition) {
        match transition {
            Transition::Serve { rounds } => (0..rounds).for_each(|_| self.serve()),
            Transition::Submit {
                instance,
                count,
                deadline_ms,
                idempotent,
            } => (0..count).for_each(|_| self.submit(instance, deadline_ms, idempotent)),
            Transition::Advance { ms } => self.advance(Duration::from_millis(ms)),
            Transition::Deliver { instance, count } => self.deliver(instance, count),
            Transition::Receive {
                instance,
                count,
                pick,
            } => self.receive(instance, count, pick),
            Transition::Answer { pick, kind } => self.answer(pick, kind),
            Transition::Restart {
                claims_warm,
                resets,
            } => self.restart(claims_warm, resets),
            Transition::TurnCold => self.server.turn_cold(self.time),
            Transition::Reset { pick } => self.reset(pick),
            Transition::Mode(mode) => self.server.mode = mode,
            Transition::Silent(silent) => self.server.silent = silent,
            Transition::RefuseConnections(refusing) => self.server.refusing = refusing,
            Transition::Health { instance, health } => {
                self.input(instance, Input::HealthReport(health));
            }
            Transition::Pause { instance } => self.instances[instance].paused = true,
            Transition::Resume { instance } => self.instances[instance].paused = false,
            Transition::LateWrite { ms } => self.late_write(ms),
            Transition::Partition { instance } => self.instances[instance].partitioned = true,
            Transition::Heal { instance } => self.instances[instance].partitioned = false,
            Transition::Handover { to } => self.hand_over(to),
            Transition::Leave { source, leaving } => {
                self.leaving[index(source)] = leaving.then_some(self.time);
                self.refresh();
            }
            Transition::CallerCancels { pick } => self.cancel(pick),
            Transition::Slots { slots } => {
                for instance in 0..INSTANCES {
                    self.input(instance, Input::PolicyChanged(policy(slots)));
                }
            }
        }
    }

    /// Ends all faults, delivers all messages for 3 s, and checks that every call has ended.
    pub fn finish(mut self) {
        self.server.silent = false;
        self.server.refusing = false;
        for instance in &mut self.instances {
            instance.paused = false;
            instance.partitioned = false;
        }
        for _ in 0..30 {
            self.exchange();
            self.advance(Duration::from_millis(100));
        }
        for (call, state) in &self.calls {
            assert!(state.ended.is_some(), "{call} has not ended");
        }
        for instance in &self.instances {
            assert!(
                instance.leaf.is_idle(),
                "requests stay in flight without end"
            );
        }
    }

    /// Serves normally for 100 ms.
    fn serve(&mut self) {
        for _ in 0..SLOTS {
            self.submit(self.owner.instance, 500, true);
        }
        for _ in 0..2 {
            self.exchange();
        }
        self.advance(Duration::from_millis(100));
    }

    /// Delivers all messages in both directions and answers all running requests.
    fn exchange(&mut self) {
        for instance in 0..INSTANCES {
            self.deliver(instance, u8::MAX);
        }
        while !self.server.running.is_empty() && !self.server.silent {
            self.answer(0, Kind::Ok);
        }
        for instance in 0..INSTANCES {
            self.receive(instance, u8::MAX, 0);
        }
    }

    fn submit(&mut self, instance: usize, deadline_ms: u64, idempotent: bool) {
        let instance = self.or_owner(instance);
        if self.instances[instance].paused {
            return;
        }
        let call = CallId(u64::try_from(self.calls.len()).unwrap());
        self.calls.insert(call, Call::default());
        let wall = self.wall(self.instances[instance].offset_ms);
        let submission = Submission {
            call,
            caller: Caller(call.0 % 3),
            deadline: wall + Duration::from_millis(deadline_ms),
            idempotent,
        };
        self.input(instance, Input::Submit(submission));
    }

    fn cancel(&mut self, pick: usize) {
        let open = self.calls.iter().filter(|(_, call)| call.ended.is_none());
        let open: Vec<CallId> = open.map(|(call, _)| *call).collect();
        if !open.is_empty() {
            let call = open[pick % open.len()];
            for instance in 0..INSTANCES {
                self.input(instance, Input::CallerCancelled { call });
            }
        }
    }

    fn advance(&mut self, by: Duration) {
        // Advances in small steps, so that the server stops requests shortly after their deadline.
        let end = self.time + by;
        while self.time < end {
            self.time = end.min(self.time + Duration::from_millis(10));
            self.server.warm_up(self.time);
            let wall = self.wall(self.server_offset_ms);
            for run in self.server.stop_overdue(wall) {
                if !self.server.silent {
                    self.send_answer(&run, run.call, Status::Failed, true);
                }
            }
            self.refresh();
            for instance in 0..INSTANCES {
                self.input(instance, Input::Tick);
            }
        }
    }

    fn hand_over(&mut self, to: usize) {
        if to != self.owner.instance {
            self.owner = Owner {
                instance: to,
                previous: self.owner.instance,
                previous_was_ready: self.owner.ready,
                learned_at: None,
                ready: false,
            };
        }
    }

    /// Passes the current drain signals and the current ownership to every reachable instance.
    fn refresh(&mut self) {
        for instance in 0..INSTANCES {
            if self.instances[instance].paused || self.instances[instance].partitioned {
                continue;
            }
            for source in [Source::File, Source::InstanceList, Source::Server] {
                let notified = self.instances[instance].notified[index(source)];
                let leaving = match source {
                    // A new process, which serves at first, withdraws the drain answer.
                    Source::Server => notified && self.server.mode == Mode::Draining,
                    _ => self.leaving[index(source)].is_some(),
                };
                if leaving != notified {
                    self.instances[instance].notified[index(source)] = leaving;
                    let signal = if leaving {
                        Signal::Leaving
                    } else {
                        Signal::Returned
                    };
                    self.input(instance, Input::Drain(signal(source)));
                }
            }
            let ownership = self.ownership(instance);
            let before = std::mem::replace(&mut self.instances[instance].ownership, ownership);
            if before != ownership {
                self.input(instance, Input::Ownership(ownership));
            }
        }
    }

    fn ownership(&mut self, instance: usize) -> Ownership {
        if instance != self.owner.instance {
            return Ownership::NotOwned;
        }
        let learned_at = *self.owner.learned_at.get_or_insert(self.time);
        let previous = &self.instances[self.owner.previous];
        let released = self.owner.previous_was_ready
            && !previous.paused
            && !previous.partitioned
            && previous.ownership == Ownership::NotOwned
            && previous.leaf.is_idle();
        self.owner.ready |= released || self.time >= learned_at + HANDOVER_WAIT;
        if self.owner.ready {
            let valid_until = self.start + self.time + CURRENCY_BOUND;
            Ownership::Held { valid_until }
        } else {
            Ownership::Waiting
        }
    }

    fn input(&mut self, instance: usize, input: Input) {
        if self.instances[instance].paused {
            return;
        }
        let wall = self.wall(self.instances[instance].offset_ms);
        let now = self.start + self.time;
        let mut actions = std::mem::take(&mut self.actions);
        let leaf = &mut self.instances[instance].leaf;
        leaf.handle(input, now, wall, &mut actions);
        assert!(
            leaf.connections() <= usize::try_from(CONNECTIONS / 2).unwrap(),
            "more connections than half of the limit of the leaf"
        );
        for action in actions.drain(..) {
            self.perform(instance, action);
        }
        self.actions = actions;
    }
}
