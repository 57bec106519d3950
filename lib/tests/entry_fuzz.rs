//! Fuzzes query, merge and correlation against an oracle that knows every execution at the leafs.

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

    /// Guards against merged answers of different snapshots, overstated coverage, answers to other
    /// requests, the outcome "not run" for a request that ran, a second run of a non-idempotent
    /// request, and calls beyond the budget. To provoke them, the network delays, duplicates,
    /// misroutes, truncates and loses answers, and leafs refuse calls and change their snapshots.
    #[test]
    fn queries_keep_their_guarantees_despite_faults(
        events in proptest::collection::vec((0..110u8, any::<u16>(), any::<u8>()), 1..250),
    ) {
        let mut world = World::new();
        for event in events {
            world.apply(event);
        }
        world.finish();
    }
}
