//! What control costs per instance, and how that grows with the fleet.
//!
//! Runs control machines over a network in virtual time and prints one line per fleet size and
//! phase. Processor times are real times of `Machine::handle` and of packing envelopes, so they
//! vary with the machine's load; everything else depends on the seed only. The word `rest` leaves
//! out the phases after the rest, of which the restart of all takes long at 200 and more. Run with
//! `cargo run --release -p camphorhold --example control_slopes -- 7 25 50 100`.

#[path = "../capacity_support/mod.rs"]
mod capacity_support;
mod world;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::control::Input;
use camphorhold::coordination::control::Machine;
use camphorhold::coordination::gossip::Fact;
use camphorhold::state::file::File;
use camphorhold::state::id::Generation;
use camphorhold::state::id::OperationId;
use camphorhold::state::id::PartitionId;
use camphorhold::state::id::ServerIncarnation;
use camphorhold::state::id::SnapshotId;
use camphorhold::state::view::Temperature;

use self::capacity_support::file_text;
use self::world::Counters;
use self::world::World;

const SEED: u64 = 42;

/// Leafs per instance, as 9,100 over 1,900.
const LEAFS_PER_INSTANCE: f64 = 4.79;

/// Owners look at their leafs this often, as the daemon does.
const STATUS_INTERVAL: Duration = Duration::from_secs(2);

/// Leaf statuses that say nothing new are sent again after half their lifetime.
const STATUS_CYCLE: Duration = Duration::from_mins(5);

/// How long phases with an end are given.
const LIMIT: Duration = Duration::from_mins(3);

fn leafs_of(size: usize) -> usize {
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small positive number"
    )]
    let leafs = (size as f64 * LEAFS_PER_INSTANCE) as usize;
    leafs
}

fn main() {
    let sizes: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse().ok())
        .collect();
    let rest_only = std::env::args().any(|text| text == "rest");
    let sizes = if sizes.is_empty() {
        vec![7, 25, 50, 100]
    } else {
        sizes
    };
    println!("seed {SEED}; rates are per instance and second unless stated otherwise");
    println!("bytes are those of the messages' content as sent, before base64 and HTTP");
    for size in sizes {
        let started = Instant::now();
        measure(size, rest_only);
        println!(
            "n={size} real time {:.1} s\n",
            started.elapsed().as_secs_f64()
        );
    }
}

fn measure(size: usize, rest_only: bool) {
    let mut world = World::new(size, SEED);
    join(&mut world, size);
    apply(&mut world, 1, file_text(leafs_of(size), usize::MAX));
    world.run_until(LIMIT, World::converged);
    world.run(Duration::from_secs(5));
    rest(&mut world, size, "rest without leaf statuses", false);
    run_with_statuses(&mut world, STATUS_CYCLE, true);
    rest(&mut world, size, "rest with leaf statuses", true);
    if !rest_only {
        change_file(&mut world, size);
        replace_one(&mut world, size);
        restart_all(&mut world, size);
    }
    memory(world, size);
}

fn join(world: &mut World, size: usize) {
    let time = world.run_until(LIMIT, World::converged);
    report(world, size, "all join at once", time);
}

/// Prints rates per instance at rest over 10 s.
fn rest(world: &mut World, size: usize, phase: &str, statuses: bool) {
    world.counters = Counters::default();
    let time = Duration::from_secs(10);
    if statuses {
        run_with_statuses(world, time, false);
    } else {
        world.run(time);
    }
    let counters = &world.counters;
    let rate = |value: f64| value / time.as_secs_f64() / instances(size);
    println!(
        "n={size} {phase}: {:.1} messages/s, {:.0} bytes/s sent, handle {:.3} ms/s, codec {:.3} ms/s, \
         store {:.1} calls/s in all, worst store evidence {:.2} s, without currency {} of {}",
        rate(float(counters.messages)),
        rate(float(counters.bytes)),
        rate(counters.handle.as_secs_f64() * 1e3),
        rate(counters.codec.as_secs_f64() * 1e3),
        float(counters.store_calls) / time.as_secs_f64(),
        counters.worst_evidence.as_secs_f64(),
        counters.lost,
        counters.samples,
    );
}

fn change_file(world: &mut World, size: usize) {
    let text = file_text(leafs_of(size), 0);
    let bytes = text.len();
    world.counters = Counters::default();
    apply(world, 2, text);
    let accepted = world.run_until(LIMIT, |world| generation_of_store(world) > before(world));
    let time = world.run_until(LIMIT, World::converged);
    println!(
        "n={size} file of {bytes} bytes accepted after {:.3} s",
        accepted.unwrap_or(LIMIT).as_secs_f64()
    );
    report(world, size, "file in force everywhere", time);
}

/// Returns the lowest generation in force.
fn before(world: &World) -> Generation {
    let machines = world.machines.iter().flatten();
    let generations = machines.map(|machine| machine.view().generation());
    generations.min().unwrap_or_default()
}

fn generation_of_store(world: &World) -> Generation {
    world
        .stored
        .as_ref()
        .map(|stored| stored.1)
        .unwrap_or_default()
}

/// Kills one instance and starts another at its address when it has been removed.
fn replace_one(world: &mut World, size: usize) {
    world.run(Duration::from_secs(10));
    let node = size - 1;
    world.machines[node] = None;
    world.counters = Counters::default();
    let time = world.run_until(LIMIT, World::converged);
    report(world, size, "one failed and removed everywhere", time);
    world.counters = Counters::default();
    world.start(node);
    let time = world.run_until(LIMIT, World::converged);
    report(world, size, "one joined and known everywhere", time);
}

fn restart_all(world: &mut World, size: usize) {
    world.run(Duration::from_secs(5));
    world.counters = Counters::default();
    for node in 0..size {
        world.start(node);
    }
    let time = world.run_until(LIMIT, World::converged);
    report(world, size, "all restarted", time);
}

/// Prints totals of a phase with an end, per instance.
fn report(world: &World, size: usize, phase: &str, time: Option<Duration>) {
    let counters = &world.counters;
    let time = time.map_or_else(
        || format!("not within {} s", LIMIT.as_secs()),
        |time| format!("{:.2} s", time.as_secs_f64()),
    );
    let per = |value: f64| value / instances(size);
    println!(
        "n={size} {phase}: {time}, {:.1} messages, {:.0} bytes sent, handle {:.3} ms, \
         codec {:.3} ms per instance; store {} calls and {} record bytes in all, busiest second {}; \
         generation {}",
        per(float(counters.messages)),
        per(float(counters.bytes)),
        per(counters.handle.as_secs_f64() * 1e3),
        per(counters.codec.as_secs_f64() * 1e3),
        counters.store_calls,
        counters.store_bytes,
        counters.store_seconds.values().max().unwrap_or(&0),
        generation_of_store(world),
    );
}

/// Prints what the machines free when they are dropped: the memory that they held.
fn memory(mut world: World, size: usize) {
    let leafs = leafs_of(size);
    run_with_statuses(&mut world, STATUS_INTERVAL * 2, false);
    let record = world.record();
    let record_bytes = record.map(|record| {
        let postcard = postcard::to_stdvec(&record).map_or(0, |bytes| bytes.len());
        let json = serde_json::to_vec(&record).map_or(0, |bytes| bytes.len());
        (postcard, json)
    });
    let freed = allocation_counter::measure(|| world.machines.clear()).bytes_current;
    println!(
        "n={size} memory: {:.0} bytes per instance with {leafs} leafs; record {:?} bytes as postcard and JSON",
        -float_signed(freed) / instances(size),
        record_bytes.unwrap_or_default(),
    );
}

fn apply(world: &mut World, operation: u128, text: String) {
    let file = Arc::new(File::parse(&text).expect("the file is valid"));
    let input = Input::Apply {
        operation: OperationId(operation),
        text: text.into(),
        file,
        expected: None,
    };
    world.give(0, input);
}

/// Lets time pass while every owner reports its leafs. With `staggered`, the owners begin one after
/// the other, so that the repetitions do not all fall into the same second.
fn run_with_statuses(world: &mut World, time: Duration, staggered: bool) {
    let (start, end) = (world.now, world.now + time);
    while world.now < end {
        let size = world.machines.len();
        let passed = world.now.saturating_sub(start).as_secs_f64() / time.as_secs_f64();
        for node in 0..size {
            if staggered && instances(node) > passed * instances(size) {
                continue;
            }
            for fact in statuses(world.machines[node].as_ref()) {
                world.give(node, Input::FactObserved(fact));
            }
        }
        world.run(STATUS_INTERVAL);
    }
}

fn statuses(machine: Option<&Machine>) -> Vec<Fact> {
    let Some(view) = machine.map(Machine::view) else {
        return Vec::new();
    };
    let owned = view.ownership.leafs();
    let owned = owned.filter(|(_, assignment)| assignment.owner == view.instance);
    owned
        .map(|(leaf, _)| Fact::LeafStatus {
            leaf,
            incarnation: ServerIncarnation(u64::from(leaf.0.port()) << 40),
            holds: vec![SnapshotId(1_000), SnapshotId(1_001)],
            partition: PartitionId(1),
            temperature: Temperature::Warm,
        })
        .collect()
}

#[expect(clippy::cast_precision_loss, reason = "a small number")]
fn instances(size: usize) -> f64 {
    size as f64
}

#[expect(clippy::cast_precision_loss, reason = "printed with few digits")]
fn float(value: u64) -> f64 {
    value as f64
}

#[expect(clippy::cast_precision_loss, reason = "printed with few digits")]
fn float_signed(value: i64) -> f64 {
    value as f64
}
