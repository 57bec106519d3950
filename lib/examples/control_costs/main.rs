//! Measures what a configuration change costs one instance at the target's size.
//!
//! Prints the time of each step of a change, the size of the transferred data before and after
//! compression, and the memory per leaf. Each time is the lowest of several runs. Run with
//! `cargo run --release -p camphorhold --example control_costs -- 1900 9100`.

#[path = "../capacity_support/mod.rs"]
mod capacity_support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;

use camphorhold::coordination::call::CallId;
use camphorhold::coordination::control::Input;
use camphorhold::coordination::control::Machine;
use camphorhold::coordination::control::Message;
use camphorhold::coordination::control::Sender;
use camphorhold::coordination::control::Settings;
use camphorhold::coordination::dispatch;
use camphorhold::coordination::gossip::Delta;
use camphorhold::coordination::gossip::Fact;
use camphorhold::coordination::gossip::Item;
use camphorhold::coordination::ownership;
use camphorhold::coordination::ownership::HandoverRules;
use camphorhold::coordination::replica;
use camphorhold::coordination::replica::Exclusion;
use camphorhold::coordination::replica::LeafIndex;
use camphorhold::coordination::warmth;
use camphorhold::state::assignment;
use camphorhold::state::compression::compress;
use camphorhold::state::compression::decompress;
use camphorhold::state::file;
use camphorhold::state::file::ColdStart;
use camphorhold::state::file::File;
use camphorhold::state::id::InstanceId;
use camphorhold::state::id::LeafId;
use camphorhold::state::id::OperationId;
use camphorhold::state::id::PartitionId;
use camphorhold::state::id::ServerIncarnation;
use camphorhold::state::id::ShardId;
use camphorhold::state::id::SnapshotId;
use camphorhold::state::record::Candidate;
use camphorhold::state::record::Record;
use camphorhold::state::size::Connections;
use camphorhold::state::size::Slots;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold::state::view::Temperature;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::capacity_support::DOMAINS;
use self::capacity_support::file_text;

const SEED: u64 = 42;

/// Number of runs of each step, of which the shortest counts.
const RUNS: u32 = 5;

/// Prints the shortest time of several runs of a step, and returns the result of the last run.
fn timed<T, F>(label: &str, mut step: F) -> T
where
    F: FnMut() -> T,
{
    let mut shortest = Duration::MAX;
    let mut result = None;
    for _ in 0..RUNS {
        let started = SystemClock.now();
        result = Some(black_box(step()));
        shortest = shortest.min(started.elapsed());
    }
    println!("{label}: {:.3} ms", shortest.as_secs_f64() * 1e3);
    result.expect("the step ran")
}

fn candidate(random: &mut ChaCha8Rng, number: usize) -> Candidate {
    let [_, _, high, low] = u32::try_from(number).unwrap_or(0).to_be_bytes();
    let address = |port| SocketAddr::from(([10, 200, high, low], port));
    Candidate {
        instance: InstanceId(random.random()),
        address: address(7400),
        traffic_address: address(7401),
        failure_domain: DOMAINS[number % DOMAINS.len()].parse().expect("valid"),
    }
}

fn main() {
    let mut arguments = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse().ok());
    let instances: usize = arguments.next().unwrap_or(1900);
    let leafs: usize = arguments.next().unwrap_or(9100);
    println!("seed {SEED}, {instances} instances, {leafs} leafs, lowest of {RUNS} runs");
    let text = file_text(leafs, usize::MAX);
    let changed = file_text(leafs, leafs / 2);
    let file = measure_file_bodies(&text, &changed);
    let record = measure_records(instances, &text);
    let table = measure_ownership_tables(&record, &file, leafs);
    measure_version_state(&file, &table);
    measure_views(leafs);
    measure_entry_memory(leafs);
    measure_owner_memory();
}

/// Measures the steps on the text of a file, and returns the parsed file.
fn measure_file_bodies(text: &str, changed: &str) -> File {
    println!("file body: {} bytes", text.len());
    let compressed = timed("compress the body", || compress(text.as_bytes()));
    println!("compressed body: {} bytes", compressed.len());
    let limit = 1024 * 1024;
    timed("decompress the body", || decompress(&compressed, limit))
        .expect("the body was compressed");
    let old = timed("parse the body", || File::parse(text)).expect("the file is valid");
    let new = File::parse(changed).expect("the file is valid");
    let differences = timed("difference of two files", || file::difference(&old, &new));
    println!("differences of one leaf: {}", differences.len());
    let same = |(old, new): &(u8, u8)| old == new;
    let prefix = text.bytes().zip(changed.bytes()).take_while(same).count();
    let suffix = text.bytes().rev().zip(changed.bytes().rev());
    let suffix = suffix.take_while(same).count();
    println!(
        "bytes between the common prefix and the common suffix: {}",
        changed.len().saturating_sub(prefix + suffix)
    );
    old
}

/// Measures the encoding of a record with all members, and returns the record.
fn measure_records(instances: usize, text: &str) -> Record {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let added: Vec<Candidate> = (0..instances)
        .map(|number| candidate(&mut random, number))
        .collect();
    let record = Record::empty().with_file(OperationId(1), text);
    let record = record.with_roster_change(OperationId(2), &added, &BTreeSet::new());
    let postcard = timed("encode the record in postcard", || {
        postcard::to_stdvec(&record)
    });
    let postcard = postcard.expect("records can be encoded");
    let json = timed("encode the record in JSON", || serde_json::to_vec(&record));
    let json = json.expect("records can be encoded");
    let compressed_postcard = timed("compress the postcard", || compress(&postcard));
    let compressed_json = timed("compress the JSON", || compress(&json));
    timed("decode the postcard", || {
        postcard::from_bytes::<Record>(&postcard)
    })
    .expect("a record");
    println!(
        "record: postcard {} bytes, compressed {}; JSON {} bytes, compressed {}",
        postcard.len(),
        compressed_postcard.len(),
        json.len(),
        compressed_json.len()
    );
    let one = candidate(&mut random, instances);
    timed("add one member to the record", || {
        record.with_roster_change(OperationId(3), std::slice::from_ref(&one), &BTreeSet::new())
    });
    record
}

/// Measures the ownership table at one instance, and returns the table after the removal of a
/// member.
fn measure_ownership_tables(record: &Record, file: &File, leafs: usize) -> assignment::Table {
    let now = SystemClock.now();
    let handover = HandoverRules {
        wait: Duration::from_millis(3500),
        check_releases: true,
        check_continuity: true,
    };
    let me = record.roster[record.roster.len() / 2].instance;
    let empty = assignment::Table::default();
    let build = |record: &Record, previous: &assignment::Table| {
        ownership::build(me, record, Some(file), previous, handover, now)
    };
    let mut table = None;
    let info = allocation_counter::measure(|| table = Some(build(record, &empty)));
    let table = table.expect("the table was built");
    println!("ownership table: {} bytes", info.bytes_current);
    timed("ownership, first table", || build(record, &empty));
    let next = record.with_revocation(
        OperationId(4),
        "service-0".parse().expect("valid"),
        "v1".parse().expect("valid"),
    );
    let current = timed("ownership, same roster", || build(&next, &table));
    let first = record.roster[0].instance;
    let removed = BTreeSet::from([first]);
    let next = next.with_roster_change(OperationId(5), &[], &removed);
    let after = timed("ownership, one member removed", || build(&next, &current));
    let moved = after.leafs().filter(|(_, leaf)| leaf.previous.is_some());
    println!("leafs moved by one removal: {} of {leafs}", moved.count());
    timed("releases", || ownership::releases(&current, &after, now));
    after
}

/// Measures how long an entry instance takes to update the replica table of one version state for
/// a published view.
fn measure_version_state(file: &File, ownership: &assignment::Table) {
    let leafs: Vec<_> = file.leafs().map(|(_, _, leaf)| leaf.clone()).collect();
    let shards: Vec<_> = leafs.iter().map(|leaf| leaf.shard).collect();
    let now = SystemClock.now();
    let mut table = replica::Table::new(10_000, &shards, now);
    let drains: BTreeSet<LeafId> = BTreeSet::new();
    let held = [SnapshotId(1), SnapshotId(2)];
    let statuses: BTreeMap<_, _> = leafs.iter().map(|leaf| (leaf.id, held)).collect();
    timed("update a version state of an entry instance", || {
        for (index, leaf) in (0..).map(LeafIndex).zip(&leafs) {
            let out = !file.in_service(&leaf.failure_domain);
            let unowned = ownership.leaf(leaf.id).is_none();
            table.set_excluded(index, Exclusion::OutOfService, out);
            table.set_excluded(index, Exclusion::Leaving, leaf.leaving);
            table.set_excluded(index, Exclusion::Draining, drains.contains(&leaf.id));
            table.set_excluded(index, Exclusion::Unowned, unowned);
            if let Some(held) = statuses.get(&leaf.id) {
                table.set_held(index, PartitionId(1), held);
            }
        }
    });
}

/// Returns a push in which the owner of a leaf sends the leaf's status.
fn status(leaf: usize, version: u64, owner: u64) -> Message {
    let [_, _, high, low] = u32::try_from(leaf).unwrap_or(0).to_be_bytes();
    let origin = InstanceId(owner);
    let fact = Fact::LeafStatus {
        leaf: LeafId(SocketAddr::from(([10, 0, high, low], 7000))),
        incarnation: ServerIncarnation(7),
        holds: vec![SnapshotId(version), SnapshotId(version + 1)],
        partition: PartitionId(1),
        temperature: Temperature::Warm,
    };
    let item = Item {
        origin,
        version,
        age_ms: 0,
        fact,
    };
    let delta = Delta {
        items: vec![item],
        complete: Vec::new(),
    };
    Message::GossipPush {
        record: None,
        delta,
    }
}

/// Measures a control state machine that has the statuses of all leafs, with five leafs per owner.
fn measure_views(leafs: usize) {
    let domain = DOMAINS[0].parse().expect("valid");
    let settings = Settings::new(SocketAddr::from(([10, 0, 0, 1], 7400)), domain);
    let (now, wall) = (SystemClock.now(), SystemTime::UNIX_EPOCH);
    let mut machine = Machine::new(settings, SEED, now);
    let mut version = 0;
    let mut handle = |leaf: usize, version| {
        let owner = 1 + leaf as u64 / 5;
        let from = Sender {
            instance: InstanceId(owner),
            address: SocketAddr::from(([10, 0, 0, 2], 7400)),
        };
        let message = status(leaf, version, owner);
        let input = Input::Message { from, message };
        machine.handle(input, now, wall).len()
    };
    for leaf in 0..leafs {
        handle(leaf, 1 + leaf as u64 % 5);
    }
    timed("apply a changed leaf status and publish a view", || {
        version += 10;
        handle(0, version)
    });
    let later = now + Duration::from_secs(2);
    timed("a tick that checks for expired facts", || {
        version += 1;
        let at = later + Duration::from_secs(version);
        machine.handle(Input::Tick, at, wall).len()
    });
}

/// Measures the memory of the replica table of an entry instance, and the time to build it.
fn measure_entry_memory(leafs: usize) {
    let shards: Vec<ShardId> = (0..leafs)
        .map(|leaf| ShardId(u32::try_from(leaf / 2).unwrap_or(0)))
        .collect();
    let count = u32::try_from(leafs.div_ceil(2)).unwrap_or(u32::MAX);
    let mut table = None;
    let info = allocation_counter::measure(|| {
        table = Some(replica::Table::new(count, &shards, SystemClock.now()));
    });
    println!(
        "replica table of an entry instance: {} bytes",
        info.bytes_current
    );
    timed("replica table, rebuilt", || {
        replica::Table::new(count, &shards, SystemClock.now())
    });
    drop(table);
}

/// Measures the memory that an owner needs per leaf.
fn measure_owner_memory() {
    let policy = dispatch::Policy {
        warmth: warmth::Policy {
            cold_start: ColdStart {
                concurrency: Slots(1),
                duration: Duration::from_secs(2),
                answers: 20,
            },
            slots: Slots(2),
        },
        connections: Connections(25),
        deadline: Duration::from_millis(120),
    };
    let mut leaf = None;
    let info = allocation_counter::measure(|| {
        leaf = Some(dispatch::Leaf::new(policy));
    });
    println!(
        "leaf state at its owner: {} bytes, {} of them on the heap; the id of a queued or running \
         call has {} bytes",
        size_of::<dispatch::Leaf>() + usize::try_from(info.bytes_current).unwrap_or(0),
        info.bytes_current,
        size_of::<CallId>()
    );
    drop(leaf);
}
