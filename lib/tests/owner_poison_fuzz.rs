//! Stateful fuzzing of the registry of canaries and crashes.
//!
//! Seven fingerprints are sent repeatedly. Three of them crash every server that runs them. Reports
//! on canaries are lost or unclear.
//!
//! The oracle counts the servers that each poison fingerprint has crashed within one expiry period.
//!
//! The seed is fixed. A longer run with another seed:
//! `PROPTEST_CASES=100000 PROPTEST_RNG_SEED=7 cargo test -p camphorhold --test owner_poison_fuzz`

#[path = "owner_fuzz/config.rs"]
mod config;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::poison::Admission;
use camphorhold::coordination::poison::CANARY_TIMEOUT;
use camphorhold::coordination::poison::EXPIRY;
use camphorhold::coordination::poison::Outcome;
use camphorhold::coordination::poison::Registry;
use camphorhold::state::id::Fingerprint;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

const CAPACITY: usize = 4;

/// Fingerprints below this number crash every server that runs them.
const POISON: u64 = 3;

#[derive(Clone, Copy, Debug)]
enum Transition {
    Admit {
        fingerprint: u64,
    },
    /// A canary ends, and the registry may get a report on it.
    End {
        fingerprint: u64,
        report: Report,
    },
    Advance {
        ms: u64,
    },
    /// Another instance reports crashes, which expire after `remaining_s`.
    Merge {
        fingerprint: u64,
        crashes: u32,
        remaining_s: u64,
    },
}

#[derive(Clone, Copy, Debug)]
enum Report {
    /// States whether the server crashed.
    Clear,
    /// States that the outcome is unknown.
    Unclear,
    /// Does not reach the registry.
    Lost,
    /// States that the canary failed without a crash; for a poison fingerprint, states the crash.
    Survived,
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
        let report = prop_oneof![
            4 => Just(Report::Clear),
            1 => Just(Report::Unclear),
            1 => Just(Report::Lost),
            1 => Just(Report::Survived),
        ];
        prop_oneof![
            6 => (0_u64..7).prop_map(|fingerprint| Transition::Admit { fingerprint }),
            4 => (0_u64..7, report)
                .prop_map(|(fingerprint, report)| Transition::End { fingerprint, report }),
            2 => (1_u64..40_000).prop_map(|ms| Transition::Advance { ms }),
            1 => (100_000_u64..700_000).prop_map(|ms| Transition::Advance { ms }),
            1 => (0_u64..7, 0_u32..4, 0_u64..900).prop_map(
                |(fingerprint, crashes, remaining_s)| Transition::Merge {
                    fingerprint,
                    crashes,
                    remaining_s,
                }
            ),
        ]
        .boxed()
    }

    fn apply(state: Self, _transition: &Transition) -> Self {
        state
    }
}

struct World {
    now: Instant,
    registry: Registry,
    /// The running canaries by fingerprint, with their start.
    canaries: BTreeMap<u64, Instant>,
    /// The crashes that each poison fingerprint has caused.
    crashes: BTreeMap<u64, Vec<Instant>>,
    /// Fingerprints whose crashes another instance reported.
    merged: BTreeSet<u64>,
    /// Fingerprints with a canary whose outcome was reported as unclear, too late or not at all.
    unclear: BTreeSet<u64>,
}

impl World {
    fn admit(&mut self, fingerprint: u64) {
        match self.registry.admit(Fingerprint(fingerprint), self.now) {
            Admission::KnownGood => {
                assert!(
                    fingerprint >= POISON,
                    "the poison fingerprint {fingerprint} is admitted as good"
                );
            }
            Admission::RunCanary => self.run_canary(fingerprint),
            Admission::Blocked { until } => {
                assert!(until > self.now && until <= self.now + EXPIRY);
                let unclear = self.unclear.contains(&fingerprint);
                let blamed = fingerprint < POISON || self.merged.contains(&fingerprint);
                assert!(
                    unclear || blamed,
                    "fingerprint {fingerprint} is blocked without a crash or an unclear canary"
                );
            }
            Admission::WaitForCanary | Admission::Full => {}
        }
    }

    fn run_canary(&mut self, fingerprint: u64) {
        if self.canaries.insert(fingerprint, self.now).is_some() {
            self.unclear.insert(fingerprint);
        }
        if fingerprint >= POISON {
            return;
        }
        // The server crashes at once. The registry gets the report later or not at all.
        let crashes = self.crashes.entry(fingerprint).or_default();
        crashes.push(self.now);
        let recent = crashes.iter().filter(|at| **at + EXPIRY > self.now).count();
        assert!(
            recent <= 2,
            "fingerprint {fingerprint} crashed {recent} servers"
        );
    }

    fn end(&mut self, fingerprint: u64, report: Report) {
        let Some(start) = self.canaries.remove(&fingerprint) else {
            return;
        };
        let late = self.now >= start + CANARY_TIMEOUT;
        if late || matches!(report, Report::Lost | Report::Unclear) {
            self.unclear.insert(fingerprint);
        }
        let outcome = match report {
            Report::Lost => return,
            Report::Unclear => Outcome::Unclear,
            Report::Clear | Report::Survived if fingerprint < POISON => Outcome::Crashed,
            Report::Clear => Outcome::Ok,
            Report::Survived => Outcome::Survived,
        };
        self.registry
            .canary_finished(Fingerprint(fingerprint), outcome, self.now);
    }
}

impl StateMachineTest for World {
    type SystemUnderTest = Self;
    type Reference = Reference;

    fn init_test(_start: &Reference) -> Self {
        Self {
            now: Instant::now(),
            registry: Registry::new(CAPACITY),
            canaries: BTreeMap::new(),
            crashes: BTreeMap::new(),
            merged: BTreeSet::new(),
            unclear: BTreeSet::new(),
        }
    }

    fn apply(mut world: Self, _start: &Reference, transition: Transition) -> Self {
        match transition {
            Transition::Admit { fingerprint } => world.admit(fingerprint),
            Transition::End {
                fingerprint,
                report,
            } => world.end(fingerprint, report),
            Transition::Advance { ms } => world.now += Duration::from_millis(ms),
            Transition::Merge {
                fingerprint,
                crashes,
                remaining_s,
            } => {
                world.merged.insert(fingerprint);
                let remaining = Duration::from_secs(remaining_s);
                let fingerprint = Fingerprint(fingerprint);
                world
                    .registry
                    .merge(fingerprint, crashes, remaining, world.now);
            }
        }
        assert!(world.registry.counts(world.now).count() <= CAPACITY);
        world
    }
}

prop_state_machine! {
    #![proptest_config(config::fixed(2_000, 0x0c33))]

    /// Guards against a request that crashes one server after another because the registry counts a
    /// lost, late or unclear report as no crash, or drops a counted crash before it expires.
    #[test]
    fn a_poison_fingerprint_crashes_at_most_two_servers(sequential 1..80 => World);
}
