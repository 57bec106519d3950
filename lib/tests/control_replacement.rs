//! Rolling replacement of instances after a shutdown or a kill, at the same or at a new address.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod control_world;

use std::env;
use std::time::Duration;

use camphorhold::coordination::control::Input;
use camphorhold::coordination::control::Mutation;

use self::control_world::World;
use self::control_world::scenario::HEAL_BOUND;

const SIZE: usize = 7;

/// Number of seeds, unless `CONTROL_SEEDS` is set.
const SEEDS: u64 = 1;

/// Seeds, and the instance that is killed, with which the removal made two generations: a member
/// that suspected the instance late proposed its removal again.
const REPEATED_REMOVALS: [(u64, usize); 2] = [(0, 0), (1, 1)];

/// Time between two kills of a rolling replacement.
const KILL_INTERVAL: Duration = Duration::from_secs(6);

fn seeds() -> u64 {
    let seeds = env::var("CONTROL_SEEDS").ok();
    seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS)
}

fn settled(seed: u64, mutation: Mutation) -> World {
    let mut world = World::new(SIZE, seed, mutation);
    world.run(HEAL_BOUND).unwrap();
    world
}

fn generations(world: &World) -> u64 {
    world.oracle.last_accepted().0
}

/// Kills one instance and starts it again. Returns the number of generations that its removal made,
/// and of those that its return made.
fn cost_of_a_kill(seed: u64, node: usize, mutation: Mutation) -> (u64, u64) {
    let mut world = settled(seed, mutation);
    let before = generations(&world);
    world.kill(node);
    world.run(Duration::from_secs(20)).unwrap();
    let removed = generations(&world);
    world.start(node);
    world.run(Duration::from_secs(10)).unwrap();
    (removed - before, generations(&world) - removed)
}

/// Returns the largest number of generations that the removal of one killed instance made.
fn most_generations_per_kill(mutation: Mutation) -> u64 {
    let more = (1..seeds()).flat_map(|seed| (0..SIZE).map(move |node| (seed, node)));
    let cases = REPEATED_REMOVALS.into_iter().chain(more);
    let costs: Vec<_> = cases
        .map(|(seed, node)| cost_of_a_kill(seed, node, mutation))
        .collect();
    println!("{mutation:?}: {costs:?}");
    costs.iter().map(|(removal, _)| *removal).max().unwrap()
}

/// Guards against a second generation for the same removal, proposed by a member that suspected the
/// instance late. Each generation makes every instance apply a record.
#[test]
fn a_kill_costs_one_generation() {
    assert_eq!(most_generations_per_kill(Mutation::None), 1);
}

/// Guards against a proposer that writes a change which the record already contains: with this
/// mutation, a removal must make two generations.
#[test]
fn writing_a_repeated_change_is_noticed() {
    assert_eq!(most_generations_per_kill(Mutation::RepeatsWritten), 2);
}

/// Shuts the instance down and waits until its process has ended.
fn shut_down(world: &mut World, node: usize) {
    world.handle(node, Input::Shutdown);
    for _ in 0..200 {
        world.run(Duration::from_millis(50)).unwrap();
        if world.nodes[node].machine.is_none() {
            return;
        }
    }
    panic!("instance {node} has not left after 10 s");
}

/// Replaces every instance in turn and applies a file after each replacement. Returns the number of
/// generations, without those of the files.
fn replace_all(seed: u64, new_address: bool, graceful: bool) -> u64 {
    let mut world = settled(seed, Mutation::None);
    let before = generations(&world);
    for node in 0..SIZE {
        if graceful {
            shut_down(&mut world, node);
        }
        world.kill(node);
        if new_address {
            world.replace(node);
        } else {
            world.start(node);
        }
        world.apply((node + 1) % SIZE, u8::try_from(node).unwrap(), None);
        if !graceful {
            world.run(KILL_INTERVAL).unwrap();
        }
    }
    world.run(Duration::from_secs(5)).unwrap();
    let finished = world.finished.iter();
    let files = finished.filter(|(operation, _)| operation.0 <= SIZE as u128);
    let accepted = files.filter(|(_, result)| result.is_ok()).count();
    assert_eq!(accepted, SIZE, "{:?}", world.finished);
    world.heal_and_settle().unwrap();
    generations(&world) - before - SIZE as u64
}

/// Guards against a roster that can no longer change while its instances are replaced, because most
/// of its witnesses have terminated.
#[test]
fn a_rolling_replacement_never_stops_changes() {
    for (new_address, graceful) in [(false, true), (true, true), (false, false), (true, false)] {
        for seed in 0..seeds() {
            let made = replace_all(seed, new_address, graceful);
            println!(
                "new addresses {new_address}, graceful {graceful}, seed {seed}: {made} generations"
            );
            assert!(made <= 2 * SIZE as u64, "{made}");
        }
    }
}
