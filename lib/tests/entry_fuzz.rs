//! Fuzzes query, merge and correlation against an oracle that sees every execution at the leafs.

mod entry_support;
mod entry_world;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use self::entry_world::World;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        max_shrink_iters: 2000,
        ..ProptestConfig::default()
    })]

    /// Guards against mixed snapshots, false coverage, answers to other requests, an untrue
    /// "not run", a second run of a non-idempotent request, and calls beyond the budget.
    #[test]
    fn queries_hold_their_promises(
        events in proptest::collection::vec((0..110u8, any::<u16>(), any::<u8>()), 1..250),
    ) {
        let mut world = World::new();
        for event in events {
            world.apply(event);
        }
        world.finish();
    }
}
