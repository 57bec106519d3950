//! A fake key-value service. It is linearizable; its mode makes it unavailable, slow or lossy.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use camphorhold::coordination::control::Action;
use camphorhold::coordination::control::Input;
use camphorhold::coordination::control::StoreFailure;
use camphorhold::coordination::proposal::StoreRevision;
use camphorhold::coordination::proposal::StoredRecord;
use camphorhold::coordination::proposal::SwapOutcome;
use camphorhold::state::record::FileRef;
use rand::Rng;

use super::World;
use super::network::Delivery;
use super::network::Payload;
use super::network::STORE;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    #[default]
    Up,
    /// Refuses connections.
    Down,
    /// Adds up to 2.5 s to the latency of each direction.
    Slow,
    /// Carries out all requests, but loses half of the answers.
    LosesAnswers,
}

#[derive(Default)]
pub struct Store {
    pub mode: Mode,
    pub record: Option<StoredRecord>,
    revision: u64,
    bodies: BTreeMap<FileRef, Arc<str>>,
}

impl Store {
    /// Carries out a request. Returns its answer, and the input that reports a lost answer instead.
    fn execute(&mut self, action: Action) -> (Input, Input) {
        match action {
            Action::ReadStore {
                request,
                newer_than,
            } => {
                let found = self.record.clone();
                let found = found.filter(|stored| stored.revision > newer_than);
                let answer = |result| Input::StoreRead { request, result };
                (answer(Ok(found)), answer(Err(StoreFailure)))
            }
            Action::ReadFileBody { request, file } => {
                let answer = |result| Input::FileRead { request, result };
                let body = self.bodies.get(&file).cloned();
                (answer(Ok(body)), answer(Err(StoreFailure)))
            }
            Action::WriteFileBody {
                request,
                file,
                text,
            } => {
                self.revision += 1;
                self.bodies.insert(file, text);
                let answer = |result| Input::FileWritten { request, result };
                (answer(Ok(())), answer(Err(StoreFailure)))
            }
            Action::CompareAndSwap {
                request,
                expected,
                record,
            } => {
                let answer = |swapped| Input::StoreWritten { request, swapped };
                let current = self.record.as_ref();
                let current = current.map_or(StoreRevision(0), |stored| stored.revision);
                if current != expected {
                    return (answer(SwapOutcome::Conflict), answer(SwapOutcome::Unknown));
                }
                self.revision += 1;
                let revision = StoreRevision(self.revision);
                self.record = Some(StoredRecord { record, revision });
                (
                    answer(SwapOutcome::Written(revision)),
                    answer(SwapOutcome::Unknown),
                )
            }
            other => unreachable!("not a request to the store: {other:?}"),
        }
    }
}

/// Returns the answer to a request that certainly did not reach the store.
fn refused(action: &Action) -> Input {
    match action {
        Action::ReadStore { request, .. } => Input::StoreRead {
            request: *request,
            result: Err(StoreFailure),
        },
        Action::ReadFileBody { request, .. } => Input::FileRead {
            request: *request,
            result: Err(StoreFailure),
        },
        Action::WriteFileBody { request, .. } => Input::FileWritten {
            request: *request,
            result: Err(StoreFailure),
        },
        Action::CompareAndSwap { request, .. } => Input::StoreWritten {
            request: *request,
            swapped: SwapOutcome::NotSent,
        },
        other => unreachable!("not a request to the store: {other:?}"),
    }
}

impl World {
    fn store_latency(&mut self) -> Duration {
        let usual = self.network.latency(&mut self.random);
        if self.store.mode == Mode::Slow {
            return usual + Duration::from_millis(self.random.random_range(0..2500));
        }
        usual
    }

    pub(super) fn send_to_store(&mut self, node: usize, action: Action) {
        let starts = self.nodes[node].starts;
        let latency = self.store_latency();
        let cut = self.network.cuts.contains(&(node, STORE));
        let payload = if self.store.mode == Mode::Down || cut {
            let input = refused(&action);
            Payload::FromStore { input, starts }
        } else {
            Payload::ToStore { action, starts }
        };
        let at = self.now + latency;
        self.network.schedule(at, Delivery { node, payload });
    }

    pub(super) fn deliver(&mut self, delivery: Delivery) {
        let node = delivery.node;
        match delivery.payload {
            Payload::Message { from, to, bytes } => {
                let message = postcard::from_bytes(&bytes).expect("messages can be decoded");
                if self
                    .nodes
                    .get(node)
                    .is_some_and(|slot| slot.address(node) == to)
                {
                    self.handle(node, Input::Message { from, message });
                }
            }
            Payload::FromStore { input, starts } => {
                if self.nodes[node].starts == starts {
                    self.handle(node, input);
                }
            }
            Payload::ToStore { action, starts } => self.reach_store(node, action, starts),
        }
    }

    /// Lets a request arrive at the store, and schedules the answer or the report of its loss.
    fn reach_store(&mut self, node: usize, action: Action, starts: u64) {
        if self.store.mode == Mode::Down {
            // The connection breaks while the request is in flight, so the process cannot know
            // whether the store received it.
            let (_, input) = Store::default().execute(action);
            let at = self.now + Duration::from_millis(1);
            let payload = Payload::FromStore { input, starts };
            self.network.schedule(at, Delivery { node, payload });
            return;
        }
        let before = self.store.record.as_ref().map(|stored| stored.revision);
        let (answer, lost) = self.store.execute(action);
        let stored = self.store.record.as_ref();
        if let Some(stored) = stored.filter(|stored| Some(stored.revision) != before) {
            self.oracle.on_accepted(&stored.record, self.now);
        }
        let loses = self.store.mode == Mode::LosesAnswers && self.random.random_ratio(1, 2);
        let cut = self.network.cuts.contains(&(STORE, node));
        let (input, wait) = if loses || cut {
            (lost, Duration::from_secs(1))
        } else {
            (answer, self.store_latency())
        };
        let at = self.now + wait;
        let payload = Payload::FromStore { input, starts };
        self.network.schedule(at, Delivery { node, payload });
    }
}
