//! Leafs and a network around one entry instance, and the oracle that sees every execution.
//!
//! The network delays, doubles, crosses, cuts and loses answers; leafs refuse, change their
//! snapshot and partition map, and run calls after they were cancelled.

mod oracle;

use std::collections::BTreeSet;
use std::time::Duration;

use camphorhold::coordination::correlation::CallId;
use camphorhold::coordination::merge::Part;
use camphorhold::coordination::pin::Pin;
use camphorhold::coordination::query::Action;
use camphorhold::coordination::query::Answer;
use camphorhold::coordination::query::Failure;
use camphorhold::coordination::query::OutgoingCall;
use camphorhold::coordination::query::Query;
use camphorhold::coordination::query::Received;
use camphorhold::coordination::query::Request;
use camphorhold::coordination::replica::Exclusion;
use camphorhold::coordination::replica::LeafIndex;
use camphorhold::state::id::Fingerprint;
use camphorhold::state::id::PartitionId;
use camphorhold::state::id::ShardId;
use camphorhold::state::id::SnapshotId;

use crate::entry_support::DEADLINE;
use crate::entry_support::Entry;
use crate::entry_support::PIN;

const SHARDS: u32 = 5;
const REPLICAS: u32 = 3;
/// Extra calls that can be spent before any query starts.
const EARNED_BEFORE: u32 = 2;

/// The content of an answer: the execution it stems from, and whether it is whole.
type Content = (usize, bool);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    NotSent,
    OnTheWay,
    Refused,
    Executed,
}

struct Wire {
    send: OutgoingCall,
    query: usize,
    stage: Stage,
    /// Whether the entry instance was told that the call did not start.
    cleared: bool,
    /// Whether the transport has given the call up after sending it.
    given_up: bool,
    /// Whether the leaf said that it cannot serve the request at all, and did not start it.
    leaf_is_out: bool,
}

struct Execution {
    query: usize,
    shard: ShardId,
    pin: Pin,
}

#[derive(Clone, Copy)]
struct Message {
    wire: usize,
    content: Result<usize, Failure>,
}

struct Asked {
    query: Query<Content>,
    pin: Pin,
    in_scope: usize,
    idempotent: bool,
    minimum: f64,
    accepted: BTreeSet<ShardId>,
    end: Option<Answer<Content>>,
}

pub struct World {
    entry: Entry,
    leaf_pins: Vec<Pin>,
    newest: Pin,
    asked: Vec<Asked>,
    wires: Vec<Wire>,
    executions: Vec<Execution>,
    messages: Vec<Message>,
}

/// One event: its kind, which object it hits, and a variant.
pub type Event = (u8, u16, u8);

impl World {
    pub fn new() -> Self {
        let mut entry = Entry::new(SHARDS, REPLICAS, 5);
        entry.warm_up(Duration::from_millis(5), EARNED_BEFORE);
        Self {
            entry,
            leaf_pins: vec![PIN; (SHARDS * REPLICAS) as usize],
            newest: PIN,
            asked: Vec::new(),
            wires: Vec::new(),
            executions: Vec::new(),
            messages: Vec::new(),
        }
    }

    pub fn apply(&mut self, (kind, pick, variant): Event) {
        let pick = usize::from(pick);
        match kind {
            0..=15 => self.start(pick, variant),
            16..=45 => self.with_wire(pick, |world, wire| world.execute(wire, variant)),
            46..=53 => self.with_wire(pick, |world, wire| world.refuse(wire, variant)),
            54..=57 => self.with_wire(pick, Self::do_not_send),
            58..=63 => self.lose(pick, variant),
            64..=91 => self.deliver(pick, variant),
            92..=94 => self.move_leaf(pick, variant),
            95 => self.end_drains(),
            _ => self.pass(Duration::from_millis(u64::from(variant % 16))),
        }
    }

    fn start(&mut self, pick: usize, variant: u8) {
        let idempotent = !variant.is_multiple_of(4);
        let scope: Vec<ShardId> = if idempotent {
            (0..SHARDS)
                .filter(|shard| pick >> shard & 1 == 1)
                .map(ShardId)
                .collect()
        } else {
            vec![ShardId(u32::try_from(pick).expect("16 bits") % SHARDS)]
        };
        let id = self.asked.len();
        let minimum = if variant & 16 == 0 { 0.0 } else { 0.6 };
        let request = Request {
            pin: self.newest,
            idempotent,
            minimum,
            patience: if variant & 32 == 0 {
                DEADLINE
            } else {
                Duration::from_millis(10)
            },
            canary: (variant % 8 == 7).then_some(Fingerprint(1)),
            ..self.entry.request(id as u64, &scope)
        };
        let (query, actions) = Query::start(&mut self.entry.context(), &request);
        self.asked.push(Asked {
            query,
            pin: self.newest,
            in_scope: scope.len(),
            idempotent,
            minimum,
            accepted: BTreeSet::new(),
            end: None,
        });
        self.perform(id, actions);
    }

    fn perform(&mut self, query: usize, actions: Vec<Action<Content>>) {
        for action in actions {
            assert!(self.asked[query].end.is_none(), "an action follows the end");
            match action {
                Action::Send(send) => self.wires.push(Wire {
                    send,
                    query,
                    stage: Stage::OnTheWay,
                    cleared: false,
                    given_up: false,
                    leaf_is_out: false,
                }),
                Action::Finish(answer) => {
                    self.check_end(query, &answer);
                    self.asked[query].end = Some(answer);
                }
                // The network delivers a cancellation late or never.
                Action::Cancel(_) | Action::ReportReset { .. } => {}
            }
        }
    }

    fn with_wire(&mut self, pick: usize, change: impl FnOnce(&mut Self, usize)) {
        let on_the_way = |wire: &&usize| self.wires[**wire].stage == Stage::OnTheWay;
        let wires: Vec<usize> = (0..self.wires.len()).collect();
        let open: Vec<usize> = wires.iter().filter(on_the_way).copied().collect();
        if !open.is_empty() {
            change(self, open[pick % open.len()]);
        }
    }

    /// A leaf that lacks the pin says so, or answers from what it has.
    fn execute(&mut self, wire: usize, variant: u8) {
        let Wire { send, query, .. } = self.wires[wire];
        let pin = self.leaf_pins[send.leaf.0 as usize];
        if pin != self.asked[query].pin && variant.is_multiple_of(2) {
            self.wires[wire].stage = Stage::Refused;
            self.wires[wire].leaf_is_out = true;
            self.messages.push(Message {
                wire,
                content: Err(Failure::WrongSnapshot),
            });
            return;
        }
        self.wires[wire].stage = Stage::Executed;
        let shard = send.shard;
        self.messages.push(Message {
            wire,
            content: Ok(self.executions.len()),
        });
        self.executions.push(Execution { query, shard, pin });
    }

    fn refuse(&mut self, wire: usize, variant: u8) {
        let refusals = [Failure::Shed, Failure::RefusedNotStarted, Failure::Draining];
        let refusal = refusals[usize::from(variant) % refusals.len()];
        self.wires[wire].stage = Stage::Refused;
        self.wires[wire].leaf_is_out = refusal == Failure::Draining;
        self.messages.push(Message {
            wire,
            content: Err(refusal),
        });
    }

    fn do_not_send(&mut self, wire: usize) {
        if self.wires[wire].given_up {
            return;
        }
        self.wires[wire].stage = Stage::NotSent;
        self.wires[wire].cleared = true;
        self.fail(wire, Failure::NotSent);
    }

    /// The transport gives a call up; the leaf may run it all the same, before or after.
    fn lose(&mut self, pick: usize, variant: u8) {
        if self.wires.is_empty() {
            return;
        }
        let wire = pick % self.wires.len();
        if matches!(self.wires[wire].stage, Stage::OnTheWay | Stage::Executed) {
            self.wires[wire].given_up = true;
            let failures = [Failure::ResetAfterSent, Failure::Timeout, Failure::Failed];
            self.fail(wire, failures[usize::from(variant) % failures.len()]);
        }
    }

    fn fail(&mut self, wire: usize, failure: Failure) {
        let Wire { send, query, .. } = self.wires[wire];
        let mut actions = Vec::new();
        let context = &mut self.entry.context();
        self.asked[query]
            .query
            .on_failure(context, send.call, failure, &mut actions);
        self.perform(query, actions);
    }

    fn deliver(&mut self, pick: usize, variant: u8) {
        if self.messages.is_empty() {
            return;
        }
        let index = pick % self.messages.len();
        let message = self.messages[index];
        let is_doubled = variant.is_multiple_of(8);
        if !is_doubled {
            self.messages.swap_remove(index);
        }
        let mut leaf = self.wires[message.wire].send.leaf;
        if variant % 8 == 1 {
            // The answer arrives on the connection of another call.
            leaf = self.wires[pick % self.wires.len()].send.leaf;
        }
        let whole = variant % 8 != 2;
        self.receive(message, leaf, whole);
    }

    fn receive(&mut self, message: Message, leaf: LeafIndex, whole: bool) {
        let Wire { send, .. } = self.wires[message.wire];
        let Ok(owner) = self.entry.calls.query(over_the_wire(send.call)) else {
            return;
        };
        let query = usize::try_from(owner.0).expect("small");
        let pin = message
            .content
            .map_or(PIN, |execution| self.executions[execution].pin);
        let part = Part {
            shard: send.shard,
            pin,
            complete: whole,
        };
        let received = Received {
            call: send.call,
            leaf,
            part,
        };
        let mut actions = Vec::new();
        let context = &mut self.entry.context();
        let asked = &mut self.asked[query];
        match message.content {
            Ok(execution) => {
                let hits = (execution, whole);
                let result = asked
                    .query
                    .on_answer(context, &received, hits, &mut actions);
                if result.is_ok() {
                    asked.accepted.insert(send.shard);
                }
            }
            Err(refusal) => {
                self.wires[message.wire].cleared |= asked
                    .query
                    .on_refusal(context, &received, refusal, &mut actions)
                    .is_ok();
            }
        }
        self.perform(query, actions);
    }

    /// A leaf takes a newer snapshot or partition map, and the entry instance learns of it or not.
    fn move_leaf(&mut self, pick: usize, variant: u8) {
        let leaf = pick % self.leaf_pins.len();
        let mut pin = self.newest;
        if variant.is_multiple_of(4) {
            pin.snapshot = SnapshotId(pin.snapshot.0 + 1);
        } else if variant % 4 == 1 {
            pin.partition = PartitionId(pin.partition.0 + 1);
        }
        self.newest = pin;
        self.leaf_pins[leaf] = pin;
        if variant & 16 == 0 {
            let leaf = LeafIndex(u32::try_from(leaf).expect("small"));
            self.entry
                .replicas
                .set_held(leaf, pin.partition, &[pin.snapshot]);
        }
        if variant & 32 == 0 {
            self.settle_pins();
        }
    }

    /// All leafs take the newest pin, so that later queries find replicas again.
    fn settle_pins(&mut self) {
        for leaf in 0..self.leaf_pins.len() {
            self.leaf_pins[leaf] = self.newest;
            let leaf = LeafIndex(u32::try_from(leaf).expect("small"));
            let held = [self.newest.snapshot];
            self.entry
                .replicas
                .set_held(leaf, self.newest.partition, &held);
        }
    }

    fn end_drains(&mut self) {
        for leaf in (0..SHARDS * REPLICAS).map(LeafIndex) {
            self.entry
                .replicas
                .set_excluded(leaf, Exclusion::Draining, false);
        }
    }

    fn pass(&mut self, time: Duration) {
        self.entry.now += time;
        for query in 0..self.asked.len() {
            let mut calls = 0;
            while self.asked[query]
                .query
                .next_wakeup()
                .is_some_and(|at| at <= self.entry.now)
            {
                calls += 1;
                assert!(calls < 10_000, "the timer makes no progress");
                let mut actions = Vec::new();
                let context = &mut self.entry.context();
                self.asked[query].query.on_timer(context, &mut actions);
                self.perform(query, actions);
            }
        }
    }
}

fn over_the_wire(call: CallId) -> CallId {
    CallId::from_wire(call.to_wire())
}
