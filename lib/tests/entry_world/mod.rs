//! Simulates leafs and a network around one entry instance, and records every execution for the
//! oracle.
//!
//! The network delays, duplicates, truncates and loses answers, and delivers some on the connection
//! of another leaf. Leafs refuse calls, change their snapshot and partition map, and run calls that
//! were cancelled.

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
/// Extra calls in the budget before the first query starts.
const INITIAL_EXTRA_CALLS: u32 = 2;

/// The content of an answer: the index of the execution that produced it, and whether it is
/// complete.
type Content = (usize, bool);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    NotSent,
    InFlight,
    Refused,
    Executed,
}

struct TrackedCall {
    send: OutgoingCall,
    query: usize,
    stage: Stage,
    /// Whether the query has accepted a report that the call did not start.
    known_not_started: bool,
    /// Whether the transport has reported a failure after sending the call.
    failure_reported: bool,
    /// Whether the leaf has refused the call because it drains or lacks the snapshot, and has not
    /// started it.
    leaf_is_unavailable: bool,
}

struct Execution {
    query: usize,
    shard: ShardId,
    pin: Pin,
}

#[derive(Clone, Copy)]
struct Message {
    tracked_call: usize,
    content: Result<usize, Failure>,
}

struct TrackedQuery {
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
    tracked_queries: Vec<TrackedQuery>,
    tracked_calls: Vec<TrackedCall>,
    executions: Vec<Execution>,
    messages: Vec<Message>,
}

/// One event: its kind, a number that selects the call, message or leaf concerned, and a variant.
pub type Event = (u8, u16, u8);

impl World {
    pub fn new() -> Self {
        let mut entry = Entry::new(SHARDS, REPLICAS, 5);
        entry.warm_up(Duration::from_millis(5), INITIAL_EXTRA_CALLS);
        Self {
            entry,
            leaf_pins: vec![PIN; (SHARDS * REPLICAS) as usize],
            newest: PIN,
            tracked_queries: Vec::new(),
            tracked_calls: Vec::new(),
            executions: Vec::new(),
            messages: Vec::new(),
        }
    }

    pub fn apply(&mut self, (kind, pick, variant): Event) {
        let pick = usize::from(pick);
        match kind {
            0..=15 => self.start(pick, variant),
            16..=45 => self.with_call_in_flight(pick, |world, call| world.execute(call, variant)),
            46..=53 => self.with_call_in_flight(pick, |world, call| world.refuse(call, variant)),
            54..=57 => self.with_call_in_flight(pick, Self::fail_unsent),
            58..=63 => self.fail_sent(pick, variant),
            64..=91 => self.deliver(pick, variant),
            92..=94 => self.move_leaf_to_newer_pin(pick, variant),
            95 => self.end_drains(),
            _ => self.advance(Duration::from_millis(u64::from(variant % 16))),
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
        let id = self.tracked_queries.len();
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
        self.tracked_queries.push(TrackedQuery {
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
            assert!(
                self.tracked_queries[query].end.is_none(),
                "the query returned an action after its end"
            );
            match action {
                Action::Send(send) => self.tracked_calls.push(TrackedCall {
                    send,
                    query,
                    stage: Stage::InFlight,
                    known_not_started: false,
                    failure_reported: false,
                    leaf_is_unavailable: false,
                }),
                Action::Finish(answer) => {
                    self.check_end(query, &answer);
                    self.tracked_queries[query].end = Some(answer);
                }
                // The network delivers a cancellation late or never.
                Action::Cancel(_) | Action::ReportReset { .. } => {}
            }
        }
    }

    fn with_call_in_flight(&mut self, pick: usize, change: impl FnOnce(&mut Self, usize)) {
        let is_in_flight =
            |tracked_call: &&usize| self.tracked_calls[**tracked_call].stage == Stage::InFlight;
        let tracked_calls: Vec<usize> = (0..self.tracked_calls.len()).collect();
        let open: Vec<usize> = tracked_calls.iter().filter(is_in_flight).copied().collect();
        if !open.is_empty() {
            change(self, open[pick % open.len()]);
        }
    }

    /// Lets the leaf handle a call. A leaf that does not hold the pin refuses the call, or answers
    /// from the snapshot that it holds.
    fn execute(&mut self, tracked_call: usize, variant: u8) {
        let TrackedCall { send, query, .. } = self.tracked_calls[tracked_call];
        let pin = self.leaf_pins[send.leaf.0 as usize];
        if pin != self.tracked_queries[query].pin && variant.is_multiple_of(2) {
            self.tracked_calls[tracked_call].stage = Stage::Refused;
            self.tracked_calls[tracked_call].leaf_is_unavailable = true;
            self.messages.push(Message {
                tracked_call,
                content: Err(Failure::WrongSnapshot),
            });
            return;
        }
        self.tracked_calls[tracked_call].stage = Stage::Executed;
        let shard = send.shard;
        self.messages.push(Message {
            tracked_call,
            content: Ok(self.executions.len()),
        });
        self.executions.push(Execution { query, shard, pin });
    }

    fn refuse(&mut self, tracked_call: usize, variant: u8) {
        let refusals = [Failure::Shed, Failure::RefusedNotStarted, Failure::Draining];
        let refusal = refusals[usize::from(variant) % refusals.len()];
        self.tracked_calls[tracked_call].stage = Stage::Refused;
        self.tracked_calls[tracked_call].leaf_is_unavailable = refusal == Failure::Draining;
        self.messages.push(Message {
            tracked_call,
            content: Err(refusal),
        });
    }

    fn fail_unsent(&mut self, tracked_call: usize) {
        if self.tracked_calls[tracked_call].failure_reported {
            return;
        }
        self.tracked_calls[tracked_call].stage = Stage::NotSent;
        self.tracked_calls[tracked_call].known_not_started = true;
        self.fail(tracked_call, Failure::NotSent);
    }

    /// Lets the transport report a failed call. The leaf may have run the call before, or may run
    /// it afterwards.
    fn fail_sent(&mut self, pick: usize, variant: u8) {
        if self.tracked_calls.is_empty() {
            return;
        }
        let tracked_call = pick % self.tracked_calls.len();
        if matches!(
            self.tracked_calls[tracked_call].stage,
            Stage::InFlight | Stage::Executed
        ) {
            self.tracked_calls[tracked_call].failure_reported = true;
            let failures = [Failure::ResetAfterSent, Failure::Timeout, Failure::Failed];
            self.fail(
                tracked_call,
                failures[usize::from(variant) % failures.len()],
            );
        }
    }

    fn fail(&mut self, tracked_call: usize, failure: Failure) {
        let TrackedCall { send, query, .. } = self.tracked_calls[tracked_call];
        let mut actions = Vec::new();
        let context = &mut self.entry.context();
        self.tracked_queries[query]
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
        let is_duplicated = variant.is_multiple_of(8);
        if !is_duplicated {
            self.messages.swap_remove(index);
        }
        let mut leaf = self.tracked_calls[message.tracked_call].send.leaf;
        if variant % 8 == 1 {
            // The answer arrives on the connection of another call.
            leaf = self.tracked_calls[pick % self.tracked_calls.len()]
                .send
                .leaf;
        }
        let is_complete = variant % 8 != 2;
        self.receive(message, leaf, is_complete);
    }

    fn receive(&mut self, message: Message, leaf: LeafIndex, is_complete: bool) {
        let TrackedCall { send, .. } = self.tracked_calls[message.tracked_call];
        let Ok(owner) = self.entry.calls.query(encode_and_decode(send.call)) else {
            return;
        };
        let query = usize::try_from(owner.0).expect("small");
        let pin = message
            .content
            .map_or(PIN, |execution| self.executions[execution].pin);
        let part = Part {
            shard: send.shard,
            pin,
            complete: is_complete,
        };
        let received = Received {
            call: send.call,
            leaf,
            part,
        };
        let mut actions = Vec::new();
        let context = &mut self.entry.context();
        let tracked_query = &mut self.tracked_queries[query];
        match message.content {
            Ok(execution) => {
                let hits = (execution, is_complete);
                let result = tracked_query
                    .query
                    .on_answer(context, &received, hits, &mut actions);
                if result.is_ok() {
                    tracked_query.accepted.insert(send.shard);
                }
            }
            Err(refusal) => {
                self.tracked_calls[message.tracked_call].known_not_started |= tracked_query
                    .query
                    .on_refusal(context, &received, refusal, &mut actions)
                    .is_ok();
            }
        }
        self.perform(query, actions);
    }

    /// Moves a leaf to a newer snapshot or partition map. Whether the entry instance's table is
    /// updated depends on `variant`.
    fn move_leaf_to_newer_pin(&mut self, pick: usize, variant: u8) {
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
            self.move_all_leafs_to_newest_pin();
        }
    }

    /// Moves all leafs to the newest pin, so that later queries find replicas again.
    fn move_all_leafs_to_newest_pin(&mut self) {
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

    fn advance(&mut self, time: Duration) {
        self.entry.now += time;
        for query in 0..self.tracked_queries.len() {
            let mut calls = 0;
            while self.tracked_queries[query]
                .query
                .next_wakeup()
                .is_some_and(|at| at <= self.entry.now)
            {
                calls += 1;
                assert!(calls < 10_000, "the timer makes no progress");
                let mut actions = Vec::new();
                let context = &mut self.entry.context();
                self.tracked_queries[query]
                    .query
                    .on_timer(context, &mut actions);
                self.perform(query, actions);
            }
        }
    }
}

fn encode_and_decode(call: CallId) -> CallId {
    CallId::from_wire(call.to_wire())
}
