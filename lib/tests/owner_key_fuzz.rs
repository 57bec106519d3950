//! Stateful fuzzing of the replay window of non-idempotent requests.
//!
//! Owners follow each other with and without a handover of the window, clocks differ by up to
//! `MAX_CLOCK_SKEW`, and keys are sent again at any time to the current or the previous owner.
//!
//! The oracle counts the runs of each key. It checks that no key is refused as "not run" after it
//! has run, and that every replay gives the first outcome.
//!
//! The seed is fixed. A longer run with another seed:
//! `PROPTEST_CASES=100000 PROPTEST_RNG_SEED=7 cargo test -p camphorhold --test owner_key_fuzz`

#![expect(
    clippy::unwrap_used,
    reason = "a broken assumption of the test is a failure"
)]

#[path = "owner_fuzz/config.rs"]
mod config;

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::SystemTime;

use bytes::Bytes;
use camphorhold::coordination::idempotency::Begin;
use camphorhold::coordination::idempotency::Capacity;
use camphorhold::coordination::idempotency::End;
use camphorhold::coordination::idempotency::Handover;
use camphorhold::coordination::idempotency::Outcome;
use camphorhold::coordination::idempotency::Window;
use camphorhold::state::id::Generation;
use camphorhold::state::id::IdempotencyKey;
use camphorhold::state::id::InstanceId;
use camphorhold::state::size;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

const CAPACITY: Capacity = Capacity {
    keys: 6,
    bytes: size::Bytes(64),
    answer: size::Bytes(16),
};

#[derive(Clone, Copy, Debug)]
enum Transition {
    /// A clock that is `ahead_ms` ahead issues a key, which is not sent yet.
    Issue {
        ahead_ms: i64,
    },
    /// A key is sent to the current owner.
    Send {
        pick: usize,
    },
    /// A key is sent to the previous owner, which has released its window.
    SendToPrevious {
        pick: usize,
    },
    /// A run at the current owner ends.
    Finish {
        pick: usize,
        end: u8,
    },
    Advance {
        ms: u64,
    },
    /// The ownership moves to the next instance, whose clock has the offset `offset_ms`.
    Handover {
        offset_ms: i64,
        import: Import,
    },
}

/// The window that the next owner imports.
#[derive(Clone, Copy, Debug)]
enum Import {
    Nothing,
    Previous,
    /// The window of the owner before the previous one.
    Stale,
    /// The window of the previous owner, with the id of another instance.
    WrongOwner,
    /// The window of the previous owner, with an earlier generation of the release.
    WrongGeneration,
}

#[derive(Clone, Debug)]
struct Reference;

impl ReferenceStateMachine for Reference {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self).boxed()
    }

    fn transitions(_state: &Self) -> BoxedStrategy<Transition> {
        let import = prop_oneof![
            1 => Just(Import::Nothing),
            3 => Just(Import::Previous),
            1 => Just(Import::Stale),
            1 => Just(Import::WrongOwner),
            1 => Just(Import::WrongGeneration),
        ];
        prop_oneof![
            4 => (-150_i64..450).prop_map(|ahead_ms| Transition::Issue { ahead_ms }),
            8 => any::<usize>().prop_map(|pick| Transition::Send { pick }),
            2 => any::<usize>().prop_map(|pick| Transition::SendToPrevious { pick }),
            4 => (any::<usize>(), 0_u8..4)
                .prop_map(|(pick, end)| Transition::Finish { pick, end }),
            4 => (1_u64..400).prop_map(|ms| Transition::Advance { ms }),
            1 => (1_000_u64..400_000).prop_map(|ms| Transition::Advance { ms }),
            2 => (-50_i64..=50, import)
                .prop_map(|(offset_ms, import)| Transition::Handover { offset_ms, import }),
        ]
        .boxed()
    }

    fn apply(state: Self, _transition: &Transition) -> Self {
        state
    }
}

#[derive(Debug)]
struct Key {
    name: IdempotencyKey,
    issued: SystemTime,
    /// The number of runs; 0 again after a run that ended as not run.
    runs: u32,
    /// The first outcome that an owner reported.
    outcome: Option<Outcome>,
}

struct World {
    time: Duration,
    generation: u64,
    offset_ms: i64,
    window: Window,
    /// The released window of the previous owner, and the owner's clock offset.
    previous: Option<(Window, i64)>,
    /// The released windows of all earlier owners, oldest first.
    handovers: Vec<Handover>,
    keys: Vec<Key>,
    /// The keys that the current owner runs, as indexes into `keys`.
    running: BTreeSet<usize>,
}

fn wall(time: Duration, offset_ms: i64) -> SystemTime {
    let base = SystemTime::UNIX_EPOCH + Duration::from_secs(1_700_000_000) + time;
    let offset = Duration::from_millis(offset_ms.unsigned_abs());
    if offset_ms < 0 {
        base - offset
    } else {
        base + offset
    }
}

impl World {
    fn new() -> Self {
        let start = wall(Duration::ZERO, 0);
        Self {
            time: Duration::from_secs(1),
            generation: 1,
            offset_ms: 0,
            window: Window::new(InstanceId(1), Generation(1), CAPACITY, start),
            previous: None,
            handovers: Vec::new(),
            keys: Vec::new(),
            running: BTreeSet::new(),
        }
    }

    fn issue(&mut self, ahead_ms: i64) {
        let name = format!("key-{}", self.keys.len()).parse().unwrap();
        self.keys.push(Key {
            name,
            issued: wall(self.time, ahead_ms),
            runs: 0,
            outcome: None,
        });
    }

    fn send(&mut self, pick: usize, to_previous: bool) {
        if self.keys.is_empty() {
            return;
        }
        let index = pick % self.keys.len();
        let key = &mut self.keys[index];
        let (window, offset_ms) = match (&mut self.previous, to_previous) {
            (_, false) => (&mut self.window, self.offset_ms),
            (Some((window, offset_ms)), true) => (window, *offset_ms),
            (None, true) => return,
        };
        match window.begin(&key.name, key.issued, wall(self.time, offset_ms)) {
            Begin::Run => {
                key.runs += 1;
                assert!(
                    !to_previous,
                    "an owner that has released its window runs the key"
                );
                assert_eq!(key.runs, 1, "a key runs again: {key:?}");
                self.running.insert(index);
            }
            Begin::Replay(outcome) => {
                let first = key.outcome.get_or_insert(outcome.clone());
                assert_eq!(
                    *first, outcome,
                    "a replay differs from the first outcome of {}",
                    key.name
                );
            }
            Begin::InProgress | Begin::RefuseUnknown(_) => {}
            Begin::RefuseNotRun(reason) => {
                assert_eq!(
                    key.runs, 0,
                    "refused as not run ({reason:?}), but the key has run: {key:?}"
                );
            }
        }
        assert!(
            window.len() <= CAPACITY.keys,
            "the window exceeds its capacity in keys"
        );
        assert!(
            window.bytes() <= CAPACITY.bytes,
            "the window exceeds its capacity in bytes"
        );
    }

    fn finish(&mut self, pick: usize, end: u8) {
        let running: Vec<usize> = self.running.iter().copied().collect();
        if running.is_empty() {
            return;
        }
        let index = running[pick % running.len()];
        self.running.remove(&index);
        let key = &mut self.keys[index];
        let end = match end {
            0 => End::NotRun,
            1 => End::Outcome(Outcome::Unknown),
            2 => End::Outcome(Outcome::Answered(Bytes::from_static(&[0; 17]))),
            _ => End::Outcome(Outcome::Answered(Bytes::from_static(b"done"))),
        };
        let reported = self.window.finish(&key.name, end).unwrap();
        if let Some(outcome) = reported {
            key.outcome.get_or_insert(outcome);
        } else {
            key.runs = 0;
        }
    }

    fn hand_over(&mut self, offset_ms: i64, import: Import) {
        self.generation += 1;
        let owner = InstanceId(self.generation);
        let generation = Generation(self.generation);
        let previous = InstanceId(self.generation - 1);
        let start = wall(self.time, offset_ms);
        let mut window = Window::new(owner, generation, CAPACITY, start);
        // From here on, the outcome of the runs that the previous owner has not ended is unknown.
        let release = self.window.release(generation);
        let offered = match import {
            Import::Nothing => None,
            Import::Previous => Some(release.clone()),
            Import::Stale => self.handovers.last().cloned(),
            Import::WrongOwner => Some(Handover {
                owner: InstanceId(0),
                ..release.clone()
            }),
            Import::WrongGeneration => Some(Handover {
                generation: Generation(self.generation - 1),
                ..release.clone()
            }),
        };
        if let Some(handover) = offered {
            let valid = matches!(import, Import::Previous);
            let result = window.import(handover, previous);
            assert_eq!(result.is_ok(), valid, "{import:?} gave {result:?}");
        }
        self.handovers.push(release);
        for index in std::mem::take(&mut self.running) {
            // The next owner reports an unknown outcome, so the previous one must accept no end.
            let end = End::Outcome(Outcome::Answered(Bytes::from_static(b"late")));
            let late = self.window.finish(&self.keys[index].name, end);
            assert!(
                late.is_err(),
                "the previous owner accepted the end of a run after its release"
            );
        }
        let old = std::mem::replace(&mut self.window, window);
        self.previous = Some((old, self.offset_ms));
        self.offset_ms = offset_ms;
    }
}

impl StateMachineTest for World {
    type SystemUnderTest = Self;
    type Reference = Reference;

    fn init_test(_start: &Reference) -> Self {
        Self::new()
    }

    fn apply(mut world: Self, _start: &Reference, transition: Transition) -> Self {
        match transition {
            Transition::Issue { ahead_ms } => world.issue(ahead_ms),
            Transition::Send { pick } => world.send(pick, false),
            Transition::SendToPrevious { pick } => world.send(pick, true),
            Transition::Finish { pick, end } => world.finish(pick, end),
            Transition::Advance { ms } => world.time += Duration::from_millis(ms),
            Transition::Handover { offset_ms, import } => world.hand_over(offset_ms, import),
        }
        world
    }
}

prop_state_machine! {
    #![proptest_config(config::fixed(2_000, 0x0b22))]

    /// Guards against a non-idempotent request that runs twice because the next owner does not know
    /// that an earlier one ran its key, and against a caller that receives a wrong outcome and
    /// repeats the request. Clock skew and handovers of another window can cause both.
    #[test]
    fn a_key_runs_at_most_once_across_all_owners(sequential 1..80 => World);
}
