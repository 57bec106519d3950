//! Stateful fuzzing of the control machines against an oracle that uses only the records that the
//! store accepted and the published views.
//!
//! 3 to 7 machines, in some cases 17, run over a fake store and a fake network under a virtual
//! clock. The seed is fixed, so every run gives the same result. For a longer run, set the number
//! of cases and, optionally, the seed:
//!
//! ```sh
//! PROPTEST_CASES=2000 PROPTEST_RNG_SEED=7 cargo test --release -p camphorhold --test control_fuzz
//! ```

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod control_world;

use std::env;

use camphorhold::coordination::control::Mutation;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use self::control_world::World;
use self::control_world::scenario::MAX_INSTANCES;
use self::control_world::scenario::Transition;
use self::control_world::scenario::transition;

/// Number of cases, unless `PROPTEST_CASES` is set.
const CASES: u32 = 12;

const SEED: u64 = 20_261_204;

fn config() -> ProptestConfig {
    let from_environment = |name| env::var(name).ok().and_then(|text| text.parse().ok());
    let cases = from_environment("PROPTEST_CASES").unwrap_or(u64::from(CASES));
    let seed = from_environment("PROPTEST_RNG_SEED").unwrap_or(SEED);
    ProptestConfig {
        cases: u32::try_from(cases).unwrap_or(u32::MAX),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..ProptestConfig::default()
    }
}

/// The number of machines, and the seed of the random choices of the fake store and network. The
/// oracle in `control_world` replaces a reference state.
#[derive(Clone, Debug)]
struct Start {
    size: usize,
    seed: u64,
}

impl ReferenceStateMachine for Start {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self::State> {
        (
            prop_oneof![12 => 3..=7_usize, 1 => Just(MAX_INSTANCES)],
            any::<u64>(),
        )
            .prop_map(|(size, seed)| Self { size, seed })
            .boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<Self::Transition> {
        transition().boxed()
    }

    fn apply(state: Self::State, _: &Self::Transition) -> Self::State {
        state
    }
}

struct Control;

impl StateMachineTest for Control {
    type SystemUnderTest = World;
    type Reference = Start;

    fn init_test(start: &Start) -> World {
        let mut world = World::new(start.size, start.seed, Mutation::None);
        world
            .perform(&Transition::HealAndSettle)
            .expect("first start");
        world
    }

    fn apply(mut world: World, _: &Start, transition: Transition) -> World {
        if let Err(violation) = world.perform(&transition) {
            panic!("{violation:?} at {:?}", world.now);
        }
        world
    }

    fn teardown(mut world: World, _: Start) {
        if let Err(violation) = world.perform(&Transition::HealAndSettle) {
            panic!("{violation:?} at {:?}", world.now);
        }
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    /// Guards against any violation that the oracle detects, under random faults of processes,
    /// network, store, clocks and platform list, and against a fleet that does not converge after
    /// they end.
    #[test]
    fn control_machines_keep_their_promises(sequential 10..50 => Control);
}
