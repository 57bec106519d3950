//! Propagation of a change of all leaf statuses at once to all instances, by exchanges of limited
//! size.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod control_world;

use std::time::Duration;

use camphorhold::coordination::control::Mutation;
use camphorhold::state::id::LeafId;
use camphorhold::state::id::SnapshotId;

use self::control_world::World;
use self::control_world::facts::leaf_status;
use self::control_world::scenario::HEAL_BOUND;

/// Number of leafs in the target deployment.
const LEAFS: u16 = 9100;

const STEP: Duration = Duration::from_millis(500);

/// A leaf status expires after ten minutes, so every instance must have it well before that.
const PROPAGATION_BOUND: Duration = Duration::from_secs(30);

/// The limit of the facts in an exchange, and a margin for the rest of the message.
const MAX_MESSAGE_BYTES: usize = 16 * 1024 + 2048;

fn leaf(number: u16) -> LeafId {
    LeafId(([10, 0, 0, 1], 10_000 + number).into())
}

/// Lets the owner of each leaf observe a new status, and returns the time until all instances have
/// all of them.
fn change_all(world: &mut World, leafs: u16, snapshot: u64) -> Duration {
    let size = world.nodes.len();
    for number in 0..leafs {
        let node = usize::from(number) % size;
        world.observe(node, leaf_status(leaf(number), snapshot));
    }
    let begin = world.now;
    let known = |world: &World| {
        world.nodes.iter().all(|node| {
            let statuses = &node.active_view().unwrap().leaf_statuses;
            let mut leafs = (0..leafs).map(leaf);
            leafs.all(|leaf| {
                let status = statuses.get(&leaf);
                status.is_some_and(|status| status.holds.contains(&SnapshotId(snapshot)))
            })
        })
    };
    while !known(world) {
        world.run(STEP).unwrap();
        assert!(
            world.now < begin + PROPAGATION_BOUND,
            "not known after {PROPAGATION_BOUND:?}"
        );
    }
    world.now.saturating_sub(begin)
}

/// Changes all leaf statuses twice, prints time and traffic of each change, and checks the size of
/// the largest message.
fn measure(size: usize, leafs: u16) {
    let mut world = World::new(size, 5, Mutation::None);
    world.run(HEAL_BOUND).unwrap();
    for snapshot in 1..=2 {
        let sent = world.network.bytes;
        let time = change_all(&mut world, leafs, snapshot);
        let bytes = (world.network.bytes - sent) / size;
        let kilobytes = f64::from(u32::try_from(bytes).unwrap()) / 1000.0;
        println!(
            "{size} instances, {leafs} leafs, change {snapshot}: known everywhere after {time:?}, \
             {kilobytes:.0} KB sent by each instance, {:.1} KB/s",
            kilobytes / time.as_secs_f64(),
        );
    }
    assert!(world.network.max_message_bytes <= MAX_MESSAGE_BYTES);
}

/// Guards against exchanges whose size grows with the number of facts, and against facts that never
/// reach some instances because newer ones fill every exchange.
#[test]
fn a_change_of_many_leaf_statuses_reaches_seven_instances() {
    measure(7, LEAFS / 10);
}

/// Guards against the same faults as the test above, at the target's number of leafs and in a
/// larger fleet.
///
/// Takes more than two minutes in a release build on a busy machine. Run it by hand, with
/// `--release`, `--ignored` and `--nocapture`.
#[test]
#[ignore = "a measurement that takes minutes"]
fn a_change_of_all_leaf_statuses_reaches_seven_and_fifty_instances() {
    measure(7, LEAFS);
    measure(50, LEAFS);
}
