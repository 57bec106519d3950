//! Handover of leafs from a leaving instance to their new owners.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod control_world;

use std::env;
use std::time::Duration;

use camphorhold::coordination::control::Input;
use camphorhold::coordination::control::Mutation;
use camphorhold::state::id::LeafId;

use self::control_world::World;
use self::control_world::oracle::Violation;
use self::control_world::scenario::HEAL_BOUND;

const SIZE: usize = 7;

/// Number of seeds, unless `CONTROL_SEEDS` is set.
const SEEDS: u64 = 2;

const STEP: Duration = Duration::from_millis(20);

/// A new owner that receives no release waits this long before it sends to the leaf.
const HANDOVER_WAIT: Duration = Duration::from_millis(3500);

/// Without faults, new owners are ready within this time after the store accepted the departure.
const HANDOVER_BOUND: Duration = Duration::from_millis(1750);

/// Loss of messages during the handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The network loses a third of the messages of all instances.
    Loss,
    /// Once the departure is accepted, the network loses all messages of the leaving instance.
    Silent,
}

fn seeds() -> u64 {
    let seeds = env::var("CONTROL_SEEDS").ok();
    seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS)
}

/// Returns the leafs to which the instance may send now.
fn owned(world: &World, node: usize) -> Vec<LeafId> {
    let slot = &world.nodes[node];
    let view = slot.active_view().unwrap();
    let local = slot.local(world.now);
    let leafs = view.ownership.leafs();
    let owned = leafs.filter(|(leaf, _)| view.may_send(*leaf, local));
    owned.map(|(leaf, _)| leaf).collect()
}

/// Returns the instance that may send to the most leafs.
fn largest_owner(world: &World) -> usize {
    let nodes = 0..SIZE;
    nodes.max_by_key(|node| owned(world, *node).len()).unwrap()
}

fn all_ready(world: &World, leafs: &[LeafId], leaving_node: usize) -> bool {
    leafs.iter().all(|leaf| {
        let mut nodes = (0..SIZE).filter(|node| *node != leaving_node);
        nodes.any(|node| owned(world, node).contains(leaf))
    })
}

/// Returns the time from the acceptance of the departure until all leafs have an owner that is
/// ready. Meanwhile the oracle checks that no leaf has two owners.
fn handover(seed: u64, fault: Fault, mutation: Mutation) -> Result<Duration, Violation> {
    let mut world = World::new(SIZE, seed, mutation);
    world.run(HEAL_BOUND)?;
    world.apply(0, 1, None);
    world.run(HEAL_BOUND)?;
    let leaving_node = largest_owner(&world);
    let leafs = owned(&world, leaving_node);
    assert!(!leafs.is_empty());
    let before = world.oracle.last_accepted();
    world.oracle.mark_disturbed();
    if fault == Fault::Loss {
        world.network.loss_percent = 33;
    }
    world.handle(leaving_node, Input::Shutdown);
    while world.oracle.last_accepted() == before {
        world.run(Duration::from_millis(1))?;
    }
    if fault == Fault::Silent {
        let others = (0..SIZE).filter(|other| *other != leaving_node);
        let cuts = others.map(|other| (leaving_node, other));
        world.network.cuts.extend(cuts);
    }
    while !all_ready(&world, &leafs, leaving_node) {
        world.run(STEP)?;
        assert!(world.now < world.oracle.last_accepted_at() + 4 * HANDOVER_WAIT);
    }
    Ok(world.now.saturating_sub(world.oracle.last_accepted_at()))
}

/// Returns the longest handover over all seeds.
fn slowest(fault: Fault, mutation: Mutation) -> Duration {
    let times = (0..seeds()).map(|seed| handover(seed, fault, mutation).unwrap());
    let times: Vec<_> = times.collect();
    println!("{fault:?}, {mutation:?}: {times:?}");
    times.into_iter().max().unwrap()
}

/// Guards against leafs that have no ready owner for the whole handover wait whenever an instance
/// restarts.
#[test]
fn new_owners_are_ready_soon_after_a_graceful_leave() {
    assert!(slowest(Fault::None, Mutation::None) < HANDOVER_BOUND);
}

/// Guards against a process that ends before it has sent its releases: with this mutation, the
/// handover must miss the bound that the test above checks.
#[test]
fn a_release_that_is_not_sent_is_noticed() {
    let slowest = slowest(Fault::None, Mutation::LeavesBeforeReleases);
    assert!(slowest >= HANDOVER_BOUND);
}

/// Guards against a release that is lost for good: the network drops it, and its sender ends
/// without sending it again.
#[test]
fn releases_arrive_despite_message_loss() {
    assert!(slowest(Fault::Loss, Mutation::None) < HANDOVER_WAIT);
}

/// Guards against releases that are not sent again: with this mutation, lost messages must delay a
/// handover by the whole wait.
#[test]
fn releases_that_are_sent_once_are_noticed() {
    assert!(slowest(Fault::Loss, Mutation::ReleasesSentOnce) >= HANDOVER_WAIT);
}

/// Guards against a new owner that sends while the previous one may still send. No release arrives,
/// so the new owner must wait; without the wait, the oracle must find two owners.
#[test]
fn without_a_release_new_owners_wait() {
    for seed in 0..seeds() {
        let time = handover(seed, Fault::Silent, Mutation::None).unwrap();
        println!("silent, seed {seed}: {time:?}");
        assert!(time >= HANDOVER_WAIT);
    }
    let noticed = handover(0, Fault::Silent, Mutation::NoHandoverWait);
    assert!(
        matches!(noticed, Err(Violation::TwoOwners { .. })),
        "{noticed:?}"
    );
}
