//! Tests of the choice among the replicas of a shard.

mod entry_support;

use std::time::Duration;

use camphorhold::coordination::replica::Avoid;
use camphorhold::coordination::replica::Exclusion;
use camphorhold::coordination::replica::Failure;
use camphorhold::coordination::replica::LeafIndex;
use camphorhold::coordination::replica::Probing;
use camphorhold::state::id::PartitionId;
use camphorhold::state::id::ShardId;
use camphorhold::state::id::SnapshotId;

use self::entry_support::Entry;
use self::entry_support::PIN;

const NORMAL: Duration = Duration::from_millis(5);
const SLOW: Duration = Duration::from_millis(100);

fn choose(entry: &mut Entry, probing: Probing) -> Option<u32> {
    choose_avoiding(entry, probing, Avoid::default())
}

fn choose_avoiding(entry: &mut Entry, probing: Probing, avoid: Avoid) -> Option<u32> {
    let now = entry.now;
    let replicas = &mut entry.replicas;
    let leaf = replicas.choose(ShardId(0), PIN, avoid, probing, now, &mut entry.rng);
    leaf.map(|leaf| leaf.0)
}

fn answer(entry: &mut Entry, leaf: u32, latency: Duration) {
    entry.replicas.on_sent(LeafIndex(leaf));
    entry
        .replicas
        .on_answer(LeafIndex(leaf), entry.now, latency);
}

/// Makes `calls` calls 1 ms apart, each of which ends at once and counts with the latency of its
/// leaf. Returns the number of calls per leaf.
fn run(entry: &mut Entry, calls: u32, latencies: &[Duration]) -> Vec<u32> {
    let mut counts = vec![0; latencies.len()];
    for _ in 0..calls {
        entry.now += Duration::from_millis(1);
        let leaf = choose(entry, Probing::Permitted).expect("there are replicas");
        counts[leaf as usize] += 1;
        answer(entry, leaf, latencies[leaf as usize]);
    }
    counts
}

/// Guards against calls to replicas that are excluded for any reason, or that do not hold the
/// pinned snapshot for the pinned partition map, even if the shard has no other replica.
#[test]
fn excluded_replicas_and_those_without_the_pin_are_never_chosen() {
    let exclusions = [
        Exclusion::Draining,
        Exclusion::OutOfService,
        Exclusion::Leaving,
        Exclusion::Unowned,
    ];
    for exclusion in exclusions {
        let mut entry = Entry::new(1, 2, 1);
        entry.replicas.set_excluded(LeafIndex(0), exclusion, true);
        for _ in 0..50 {
            assert_eq!(choose(&mut entry, Probing::Permitted), Some(1));
        }
        entry
            .replicas
            .set_held(LeafIndex(1), PIN.partition, &[SnapshotId(8)]);
        assert_eq!(choose(&mut entry, Probing::Permitted), None);
        entry
            .replicas
            .set_held(LeafIndex(1), PartitionId(2), &[PIN.snapshot]);
        assert_eq!(choose(&mut entry, Probing::Permitted), None);
        entry.replicas.set_excluded(LeafIndex(0), exclusion, false);
        assert_eq!(choose(&mut entry, Probing::Permitted), Some(0));
    }
}

/// Guards against a choice by latency alone, which sends more calls to a replica that is still busy
/// with earlier ones of this instance.
#[test]
fn the_replica_with_fewer_calls_in_flight_is_chosen() {
    let mut entry = Entry::new(1, 2, 1);
    run(&mut entry, 100, &[NORMAL, NORMAL]);
    entry.replicas.on_sent(LeafIndex(0));
    for _ in 0..50 {
        assert_eq!(choose(&mut entry, Probing::Permitted), Some(1));
    }
}

/// Guards against sending most calls to one of several equal replicas, for instance because ties
/// always go to the same one.
#[test]
fn equal_replicas_share_the_calls() {
    let mut entry = Entry::new(1, 4, 1);
    let counts = run(&mut entry, 4000, &[NORMAL; 4]);
    assert!(
        counts.iter().all(|count| (800..1200).contains(count)),
        "{counts:?}"
    );
}

/// Guards against a persistently slow replica that keeps its share of the calls, that is never
/// probed, or that gets its whole share back at once.
#[test]
fn a_slow_replica_is_probed_and_returns_gradually() {
    let mut entry = Entry::new(1, 2, 1);
    run(&mut entry, 100, &[NORMAL, NORMAL]);
    // The choice avoids the replica after its first slow answer, so it would take long to count as
    // slow. The answers are therefore recorded directly.
    for _ in 0..20 {
        answer(&mut entry, 0, SLOW);
    }
    assert!(entry.replicas.is_probing(LeafIndex(0)));
    let counts = run(&mut entry, 10_000, &[SLOW, NORMAL]);
    assert!(
        (15..=20).contains(&counts[0]),
        "a probe per 500 ms in 10 s: {counts:?}"
    );
    let mut calls = 0;
    while entry.replicas.is_probing(LeafIndex(0)) {
        calls += 1;
        assert!(calls < 3_000, "three good probes take 1.5 s");
        run(&mut entry, 1, &[NORMAL, NORMAL]);
    }
    let counts = run(&mut entry, 500, &[NORMAL, NORMAL]);
    assert!(
        counts[0] < 62,
        "it starts with 1/8 of its share of 250: {counts:?}"
    );
    run(&mut entry, 4_000, &[NORMAL, NORMAL]);
    let counts = run(&mut entry, 1_000, &[NORMAL, NORMAL]);
    assert!(
        (400..600).contains(&counts[0]),
        "it has its full share again: {counts:?}"
    );
}

/// Guards against restricting a healthy replica to probes because 1 in 100 of its calls straggles.
#[test]
fn single_stragglers_do_not_make_a_replica_slow() {
    let mut entry = Entry::new(1, 2, 1);
    for call in 0..5000u32 {
        entry.now += Duration::from_millis(1);
        let latency = if call % 100 == 0 { SLOW } else { NORMAL };
        answer(&mut entry, call % 2, latency);
        assert!(
            !entry.replicas.is_probing(LeafIndex(call % 2)),
            "call {call}"
        );
    }
}

/// Guards against further calls to a replica that lost its connection or failed two requests in a
/// row, and against restricting a replica after a single failed request, which may be at fault
/// itself.
#[test]
fn failures_restrict_a_replica_to_probes() {
    let leaf = LeafIndex(0);
    let mut entry = Entry::new(1, 2, 1);
    entry.replicas.on_failure(leaf, entry.now, Failure::Request);
    assert!(!entry.replicas.is_probing(leaf));
    answer(&mut entry, 0, NORMAL);
    entry.replicas.on_failure(leaf, entry.now, Failure::Request);
    assert!(
        !entry.replicas.is_probing(leaf),
        "an answer came between the failures"
    );
    entry.replicas.on_failure(leaf, entry.now, Failure::Request);
    assert!(entry.replicas.is_probing(leaf));
    let mut entry = Entry::new(1, 2, 1);
    entry
        .replicas
        .on_failure(leaf, entry.now, Failure::Connection);
    assert!(entry.replicas.is_probing(leaf));
    // A call that must not fail does not serve as a probe, even if one is due.
    entry.now += Duration::from_secs(5);
    assert_eq!(choose(&mut entry, Probing::Forbidden), Some(1));
    assert_eq!(choose(&mut entry, Probing::Permitted), Some(0));
    assert_eq!(
        choose(&mut entry, Probing::Permitted),
        Some(1),
        "one probe per interval"
    );
}

/// Guards against further calls to a replica that never answers. Its calls are cancelled when their
/// hedges are answered, so they show neither failures nor high latencies.
#[test]
fn a_replica_that_never_answers_before_its_hedge_is_restricted_to_probes() {
    let mut entry = Entry::new(1, 2, 1);
    run(&mut entry, 100, &[NORMAL, NORMAL]);
    for step in 0..8 {
        assert!(!entry.replicas.is_probing(LeafIndex(0)), "step {step}");
        entry.now += Duration::from_millis(10);
        entry.replicas.on_sent(LeafIndex(0));
        entry
            .replicas
            .on_cancelled(LeafIndex(0), entry.now, Duration::from_millis(12));
    }
    assert!(entry.replicas.is_probing(LeafIndex(0)));
}

/// Guards against a missing shard because all of its replicas are restricted to probes.
#[test]
fn a_shard_with_only_failed_replicas_is_still_called() {
    let mut entry = Entry::new(1, 2, 1);
    for leaf in [0, 1].map(LeafIndex) {
        entry
            .replicas
            .on_failure(leaf, entry.now, Failure::Connection);
    }
    assert!(choose(&mut entry, Probing::Forbidden).is_some());
    let avoid = Avoid([Some(LeafIndex(0)), None, None]);
    assert_eq!(
        choose_avoiding(&mut entry, Probing::Forbidden, avoid),
        Some(1)
    );
    let avoid = Avoid([0, 1, 1].map(|leaf| Some(LeafIndex(leaf))));
    assert_eq!(choose_avoiding(&mut entry, Probing::Forbidden, avoid), None);
}

/// Guards against an outdated estimate that keeps a replica without calls for good: a replica that
/// is not chosen gets no samples to correct its estimate.
#[test]
fn an_estimate_expires_without_samples() {
    let mut entry = Entry::new(1, 2, 1);
    answer(&mut entry, 0, NORMAL * 2);
    answer(&mut entry, 1, NORMAL);
    for _ in 0..50 {
        assert_eq!(choose(&mut entry, Probing::Forbidden), Some(1));
    }
    entry.now += Duration::from_secs(11);
    let chosen: Vec<_> = (0..50)
        .map(|_| choose(&mut entry, Probing::Forbidden))
        .collect();
    assert!(chosen.contains(&Some(0)));
}

/// Guards against an index out of bounds when a request names a shard that does not exist.
#[test]
fn a_shard_out_of_range_has_no_replicas() {
    let entry = Entry::new(1, 2, 1);
    assert!(entry.replicas.replicas(ShardId(1)).is_empty());
    assert!(entry.replicas.replicas(ShardId(u32::MAX)).is_empty());
}
