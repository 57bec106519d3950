//! Measures what control costs per instance, and how this cost grows with the fleet.
//!
//! Runs control machines over a fake network in virtual time, and prints one line per fleet size
//! and phase. Processor times are real times of `Machine::handle` and of packing and unpacking
//! envelopes, so they vary with the load of the computer. Everything else depends only on the seed.
//! The argument `rest` skips the phases with changes: the restart of 200 and more instances takes
//! long. Run with `cargo run --release -p camphorhold --example control_slopes -- 7 25 50 100`.

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

/// Leafs per instance of the target: 9,100 leafs over 1,900 instances.
const LEAFS_PER_INSTANCE: f64 = 4.79;

/// Interval at which owners observe the status of their leafs, as in the daemon.
const STATUS_INTERVAL: Duration = Duration::from_secs(2);

/// Time after which owners renew unchanged leaf statuses: half the lifetime of a leaf status.
const STATUS_CYCLE: Duration = Duration::from_mins(5);

/// Maximum duration of each phase that ends when a condition holds.
const PHASE_TIMEOUT: Duration = Duration::from_mins(3);

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
    println!("bytes count the encoded content of the messages, before base64 and HTTP");
    for size in sizes {
        let started = Instant::now();
        measure(size, rest_only);
        println!(
            "n={size} real time {:.1} s\n",
            started.elapsed().as_secs_f64()
        );
    }
}

/// Runs all phases for one fleet size.
fn measure(size: usize, rest_only: bool) {
    let mut world = World::new(size, SEED);
    measure_join(&mut world, size);
    apply(&mut world, 1, file_text(leafs_of(size), usize::MAX));
    world.run_until(PHASE_TIMEOUT, World::converged);
    world.run(Duration::from_secs(5));
    measure_rest(&mut world, size, "rest without leaf statuses", false);
    run_with_statuses(&mut world, STATUS_CYCLE, true);
    measure_rest(&mut world, size, "rest with leaf statuses", true);
    if !rest_only {
        measure_file_change(&mut world, size);
        measure_replacement(&mut world, size);
        measure_restart(&mut world, size);
    }
    measure_memory(world, size);
}

/// Measures the start of all instances at once with an empty store.
fn measure_join(world: &mut World, size: usize) {
    let time = world.run_until(PHASE_TIMEOUT, World::converged);
    report(world, size, "all join at once", time);
}

/// Prints the rates per instance over 10 s without changes.
fn measure_rest(world: &mut World, size: usize, phase: &str, statuses: bool) {
    world.counters = Counters::default();
    let time = Duration::from_secs(10);
    if statuses {
        run_with_statuses(world, time, false);
    } else {
        world.run(time);
    }
    let counters = &world.counters;
    let rate = |value: f64| value / time.as_secs_f64() / usize_to_f64(size);
    println!(
        "n={size} {phase}: {:.1} messages/s, {:.0} bytes/s sent, handle {:.3} ms/s, codec {:.3} ms/s, \
         store {:.1} calls/s in all, worst store evidence {:.2} s, without currency {} of {}",
        rate(u64_to_f64(counters.messages)),
        rate(u64_to_f64(counters.bytes)),
        rate(counters.handle_time.as_secs_f64() * 1e3),
        rate(counters.codec_time.as_secs_f64() * 1e3),
        u64_to_f64(counters.store_calls) / time.as_secs_f64(),
        counters.max_evidence_age.as_secs_f64(),
        counters.samples_without_currency,
        counters.samples,
    );
}

/// Measures a file change that moves one leaf.
fn measure_file_change(world: &mut World, size: usize) {
    let text = file_text(leafs_of(size), 0);
    let bytes = text.len();
    world.counters = Counters::default();
    apply(world, 2, text);
    let accepted = world.run_until(PHASE_TIMEOUT, |world| {
        stored_generation(world) > lowest_generation(world)
    });
    let time = world.run_until(PHASE_TIMEOUT, World::converged);
    println!(
        "n={size} file of {bytes} bytes accepted after {:.3} s",
        accepted.unwrap_or(PHASE_TIMEOUT).as_secs_f64()
    );
    report(world, size, "file in force everywhere", time);
}

/// Returns the lowest generation that any instance has applied.
fn lowest_generation(world: &World) -> Generation {
    let machines = world.machines.iter().flatten();
    let generations = machines.map(|machine| machine.view().generation());
    generations.min().unwrap_or_default()
}

fn stored_generation(world: &World) -> Generation {
    world
        .stored
        .as_ref()
        .map(|stored| stored.1)
        .unwrap_or_default()
}

/// Kills one instance, and starts another at its address when the others have removed it.
fn measure_replacement(world: &mut World, size: usize) {
    world.run(Duration::from_secs(10));
    let node = size - 1;
    world.machines[node] = None;
    world.counters = Counters::default();
    let time = world.run_until(PHASE_TIMEOUT, World::converged);
    report(world, size, "one failed and removed everywhere", time);
    world.counters = Counters::default();
    world.start(node);
    let time = world.run_until(PHASE_TIMEOUT, World::converged);
    report(world, size, "one joined and known everywhere", time);
}

/// Measures the restart of all instances at once.
fn measure_restart(world: &mut World, size: usize) {
    world.run(Duration::from_secs(5));
    world.counters = Counters::default();
    for node in 0..size {
        world.start(node);
    }
    let time = world.run_until(PHASE_TIMEOUT, World::converged);
    report(world, size, "all restarted", time);
}

/// Prints the totals per instance of a phase that ends when a condition holds.
fn report(world: &World, size: usize, phase: &str, time: Option<Duration>) {
    let counters = &world.counters;
    let time = time.map_or_else(
        || format!("not within {} s", PHASE_TIMEOUT.as_secs()),
        |time| format!("{:.2} s", time.as_secs_f64()),
    );
    let per = |value: f64| value / usize_to_f64(size);
    println!(
        "n={size} {phase}: {time}, {:.1} messages, {:.0} bytes sent, handle {:.3} ms, \
         codec {:.3} ms per instance; store {} calls and {} record bytes in all, busiest second {}; \
         generation {}",
        per(u64_to_f64(counters.messages)),
        per(u64_to_f64(counters.bytes)),
        per(counters.handle_time.as_secs_f64() * 1e3),
        per(counters.codec_time.as_secs_f64() * 1e3),
        counters.store_calls,
        counters.store_bytes,
        counters.store_calls_by_second.values().max().unwrap_or(&0),
        stored_generation(world),
    );
}

/// Prints the memory of the machines, measured as what they free when they are dropped.
fn measure_memory(mut world: World, size: usize) {
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
        -i64_to_f64(freed) / usize_to_f64(size),
        record_bytes.unwrap_or_default(),
    );
}

/// Lets the first instance apply a file.
fn apply(world: &mut World, operation: u128, text: String) {
    let file = Arc::new(File::parse(&text).expect("the file is valid"));
    let input = Input::Apply {
        operation: OperationId(operation),
        text: text.into(),
        file,
        expected: None,
    };
    world.handle(0, input);
}

/// Advances virtual time while every owner reports the status of its leafs. With `staggered`, the
/// owners begin one after the other, so that their renewals do not all fall into the same second.
fn run_with_statuses(world: &mut World, time: Duration, staggered: bool) {
    let (start, end) = (world.now, world.now + time);
    while world.now < end {
        let size = world.machines.len();
        let passed = world.now.saturating_sub(start).as_secs_f64() / time.as_secs_f64();
        for node in 0..size {
            if staggered && usize_to_f64(node) > passed * usize_to_f64(size) {
                continue;
            }
            for fact in statuses(world.machines[node].as_ref()) {
                world.handle(node, Input::FactObserved(fact));
            }
        }
        world.run(STATUS_INTERVAL);
    }
}

/// Returns the statuses of the leafs that the machine owns.
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
fn usize_to_f64(size: usize) -> f64 {
    size as f64
}

#[expect(clippy::cast_precision_loss, reason = "printed with few digits")]
fn u64_to_f64(value: u64) -> f64 {
    value as f64
}

#[expect(clippy::cast_precision_loss, reason = "printed with few digits")]
fn i64_to_f64(value: i64) -> f64 {
    value as f64
}
