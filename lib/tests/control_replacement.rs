//! Replacement of instances: every one in turn, by a shutdown or a kill, at the same or at a new
//! address.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod control_world;

use std::env;
use std::time::Duration;

use camphorhold::coordination::control::Input;
use camphorhold::coordination::control::Mutation;

use self::control_world::World;
use self::control_world::scenario::HEAL_BOUND;

const SIZE: usize = 7;

/// Seeds in CI. For a longer run, set `CONTROL_SEEDS`.
const SEEDS: u64 = 1;

/// Seed and instance of kills that made two generations: a member whose suspicion came late
/// proposed the removal again.
const REPEATED_REMOVALS: [(u64, usize); 2] = [(0, 0), (1, 1)];

/// Between two kills of a rolling replacement.
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

/// Returns the generations that the removal of one killed instance made, and those of its return.
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

fn most_generations_per_kill(mutation: Mutation) -> u64 {
    let more = (1..seeds()).flat_map(|seed| (0..SIZE).map(move |node| (seed, node)));
    let cases = REPEATED_REMOVALS.into_iter().chain(more);
    let costs: Vec<_> = cases
        .map(|(seed, node)| cost_of_a_kill(seed, node, mutation))
        .collect();
    println!("{mutation:?}: {costs:?}");
    costs.iter().map(|(removal, _)| *removal).max().unwrap()
}

/// Guards the budget of generations: each makes every instance take over a record.
#[test]
fn a_kill_costs_one_generation() {
    assert_eq!(most_generations_per_kill(Mutation::None), 1);
}

#[test]
fn writing_a_repeated_change_is_noticed() {
    assert_eq!(most_generations_per_kill(Mutation::RepeatsWritten), 2);
}

fn shut_down(world: &mut World, node: usize) {
    world.give(node, Input::Shutdown);
    for _ in 0..200 {
        world.run(Duration::from_millis(50)).unwrap();
        if world.nodes[node].machine.is_none() {
            return;
        }
    }
    panic!("instance {node} has not left after 10 s");
}

/// Replaces every instance in turn and applies a file in each step. Returns the generations made
/// besides the ones of the files.
fn roll(seed: u64, moves: bool, graceful: bool) -> u64 {
    let mut world = settled(seed, Mutation::None);
    let before = generations(&world);
    for node in 0..SIZE {
        if graceful {
            shut_down(&mut world, node);
        }
        world.kill(node);
        if moves {
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

/// Guards against a roster that no majority can change any more while its instances are replaced.
#[test]
fn a_rolling_replacement_never_stops_changes() {
    for (moves, graceful) in [(false, true), (true, true), (false, false), (true, false)] {
        for seed in 0..seeds() {
            let made = roll(seed, moves, graceful);
            println!("new addresses {moves}, graceful {graceful}, seed {seed}: {made} generations");
            assert!(made <= 2 * SIZE as u64, "{made}");
        }
    }
}
