//! Stateful fuzzing of the owner of a leaf against a fake server and a simple oracle.
//!
//! Three instances own one leaf one after the other. Instances are paused and cut off, messages are
//! delayed, and the server restarts, turns cold, sheds, drains, is silent, lies about its health
//! and gives late, doubled and crossed answers. Clocks are up to `MAX_CLOCK_SKEW` apart. Time is
//! virtual. The oracle in `owner_fuzz/world.rs` checks every step.
//!
//! The seed is fixed. A longer run with another seed:
//! `PROPTEST_CASES=20000 PROPTEST_RNG_SEED=7 cargo test -p camphorhold --test owner_fuzz`

#![expect(
    clippy::unwrap_used,
    reason = "a broken assumption of the test is a failure"
)]

#[path = "owner_fuzz/config.rs"]
mod config;
#[path = "owner_fuzz/server.rs"]
mod server;
#[path = "owner_fuzz/transition.rs"]
mod transition;
#[path = "owner_fuzz/world.rs"]
mod world;

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use self::transition::Transition;
use self::world::World;

/// The start of a run: clock offsets of the three instances and the server in milliseconds.
#[derive(Clone, Debug)]
pub struct Start {
    offsets: [i64; 4],
}

impl ReferenceStateMachine for Start {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        // Any two clocks are at most 100 ms apart.
        prop::array::uniform4(-50_i64..=50)
            .prop_map(|offsets| Self { offsets })
            .boxed()
    }

    fn transitions(_state: &Self) -> BoxedStrategy<Transition> {
        transition::strategy()
    }

    fn apply(state: Self, _transition: &Transition) -> Self {
        state
    }
}

impl StateMachineTest for World {
    type SystemUnderTest = Self;
    type Reference = Start;

    fn init_test(start: &Start) -> Self {
        World::new(start.offsets)
    }

    fn apply(mut world: Self, _start: &Start, transition: Transition) -> Self {
        world.apply(transition);
        world
    }

    fn teardown(world: Self, _start: Start) {
        world.finish();
    }
}

prop_state_machine! {
    #![proptest_config(config::fixed(800, 0x0a11))]

    #[test]
    fn the_owner_of_a_leaf_keeps_every_bound(sequential 1..80 => World);
}

/// Serves normally until the leaf is warm; the fuzzing relies on warm leafs being reached.
#[test]
fn a_leaf_that_answers_becomes_warm() {
    let mut world = World::new([0; 4]);
    for _ in 0..4 {
        world.apply(Transition::Serve { rounds: 40 });
    }
    assert_eq!(world.limit(0), world::SLOTS);
    assert!(world.most_running() > world::COLD_LIMIT);
    world.finish();
}

/// Guards against the fake server staying cold after its answers and its time are complete, which
/// blamed a correct owner. Found with `PROPTEST_CASES=20000 PROPTEST_RNG_SEED=2`.
#[test]
fn a_server_warms_up_between_answers() {
    let mut world = World::new([0; 4]);
    let submit = |count, deadline_ms| Transition::Submit {
        instance: 0,
        count,
        deadline_ms,
        idempotent: false,
    };
    let restart = Transition::Restart {
        lies: true,
        resets: true,
    };
    world.apply(Transition::Cut { instance: 0 });
    world.apply(Transition::Handover { to: 1 });
    world.apply(restart);
    world.apply(submit(4, 220));
    world.apply(Transition::Serve { rounds: 13 });
    world.apply(submit(2, 20));
    world.apply(Transition::Deliver {
        instance: 0,
        count: 1,
    });
    world.finish();
}

/// Guards against a paused owner whose write reaches the server after its ownership has ended. The
/// server's clock is as far behind as permitted.
#[test]
fn a_late_write_is_not_started() {
    for ms in (2_700..3_300).step_by(10) {
        let mut world = World::new([50, 50, 50, -50]);
        world.apply(Transition::Serve { rounds: 2 });
        // Nothing waits any more, so that the late call itself is written.
        world.apply(Transition::Advance { ms: 600 });
        world.apply(Transition::LateWrite { ms });
        world.finish();
    }
}

/// Guards against a release while the server may still run a request whose connection was lost.
#[test]
fn a_release_waits_for_requests_on_lost_connections() {
    let mut world = World::new([0; 4]);
    let all = |instance| {
        [
            Transition::Deliver {
                instance,
                count: u8::MAX,
            },
            Transition::Receive {
                instance,
                count: u8::MAX,
                pick: 0,
            },
        ]
    };
    world.apply(Transition::Serve { rounds: 2 });
    world.apply(Transition::Silent(true));
    world.apply(Transition::Submit {
        instance: 0,
        count: 1,
        deadline_ms: 800,
        idempotent: true,
    });
    for step in all(0) {
        world.apply(step);
    }
    world.apply(Transition::Reset { pick: 0 });
    for step in all(0) {
        world.apply(step);
    }
    world.apply(Transition::Handover { to: 1 });
    world.apply(Transition::Advance { ms: 20 });
    world.apply(Transition::Serve { rounds: 1 });
    world.finish();
}
