//! Handover of leafs from an instance that leaves.

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

/// Seeds in CI. For a longer run, set `CONTROL_SEEDS`.
const SEEDS: u64 = 2;

const STEP: Duration = Duration::from_millis(20);

/// How long a new owner waits for a release that does not come.
const HANDOVER_WAIT: Duration = Duration::from_millis(3500);

/// New owners are ready this long after the acceptance when nothing fails.
const HANDOVER_BOUND: Duration = Duration::from_millis(1750);

/// What happens to the messages of the instance that leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Every third message of all instances is lost.
    Loss,
    /// After it asked to leave, nothing that it sends arrives.
    Silent,
}

fn seeds() -> u64 {
    let seeds = env::var("CONTROL_SEEDS").ok();
    seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS)
}

fn owned(world: &World, node: usize) -> Vec<LeafId> {
    let slot = &world.nodes[node];
    let view = slot.active_view().unwrap();
    let local = slot.local(world.now);
    let leafs = view.ownership.leafs();
    let owned = leafs.filter(|(leaf, _)| view.may_send(*leaf, local));
    owned.map(|(leaf, _)| leaf).collect()
}

/// Returns the instance that owns the most leafs.
fn largest_owner(world: &World) -> usize {
    let nodes = 0..SIZE;
    nodes.max_by_key(|node| owned(world, *node).len()).unwrap()
}

fn all_ready(world: &World, leafs: &[LeafId], leaver: usize) -> bool {
    leafs.iter().all(|leaf| {
        let mut nodes = (0..SIZE).filter(|node| *node != leaver);
        nodes.any(|node| owned(world, node).contains(leaf))
    })
}

/// Returns how long after the acceptance of the departure all leafs have owners that are ready,
/// while the oracle checks that no leaf ever has two.
fn handover(seed: u64, fault: Fault, mutation: Mutation) -> Result<Duration, Violation> {
    let mut world = World::new(SIZE, seed, mutation);
    world.run(HEAL_BOUND)?;
    world.apply(0, 1, None);
    world.run(HEAL_BOUND)?;
    let leaver = largest_owner(&world);
    let leafs = owned(&world, leaver);
    assert!(!leafs.is_empty());
    let before = world.oracle.last_accepted();
    world.oracle.disturbed();
    if fault == Fault::Loss {
        world.network.loss_percent = 33;
    }
    world.give(leaver, Input::Shutdown);
    while world.oracle.last_accepted() == before {
        world.run(Duration::from_millis(1))?;
    }
    if fault == Fault::Silent {
        let others = (0..SIZE).filter(|other| *other != leaver);
        let cuts = others.map(|other| (leaver, other));
        world.network.cuts.extend(cuts);
    }
    while !all_ready(&world, &leafs, leaver) {
        world.run(STEP)?;
        assert!(world.now < world.oracle.last_accepted_at() + 4 * HANDOVER_WAIT);
    }
    Ok(world.now.saturating_sub(world.oracle.last_accepted_at()))
}

fn slowest(fault: Fault, mutation: Mutation) -> Duration {
    let times = (0..seeds()).map(|seed| handover(seed, fault, mutation).unwrap());
    let times: Vec<_> = times.collect();
    println!("{fault:?}, {mutation:?}: {times:?}");
    times.into_iter().max().unwrap()
}

/// Guards against leafs without an owner for the handover wait at each restart.
#[test]
fn new_owners_are_ready_soon_after_a_graceful_leave() {
    assert!(slowest(Fault::None, Mutation::None) < HANDOVER_BOUND);
}

/// Guards against a process that ends before it has sent its releases.
#[test]
fn a_release_that_is_not_sent_is_noticed() {
    let slowest = slowest(Fault::None, Mutation::LeavesBeforeReleases);
    assert!(slowest >= HANDOVER_BOUND);
}

/// Guards against a release that is lost for good because its sender has ended.
#[test]
fn releases_arrive_though_messages_are_lost() {
    assert!(slowest(Fault::Loss, Mutation::None) < HANDOVER_WAIT);
}

#[test]
fn releases_that_are_sent_once_are_noticed() {
    assert!(slowest(Fault::Loss, Mutation::ReleasesSentOnce) >= HANDOVER_WAIT);
}

/// Guards against a new owner that starts while the one before may still send.
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
