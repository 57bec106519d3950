//! Tests of pin, merge, correlation, hedge delay and budget.

use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::budget::BURST_CALLS;
use camphorhold::coordination::budget::Budget;
use camphorhold::coordination::correlation::Call;
use camphorhold::coordination::correlation::CallId;
use camphorhold::coordination::correlation::Calls;
use camphorhold::coordination::correlation::Dropped;
use camphorhold::coordination::correlation::Kind;
use camphorhold::coordination::correlation::QueryId;
use camphorhold::coordination::correlation::Unmatched;
use camphorhold::coordination::hedge;
use camphorhold::coordination::hedge::Delay;
use camphorhold::coordination::merge::Coverage;
use camphorhold::coordination::merge::Discard;
use camphorhold::coordination::merge::Merge;
use camphorhold::coordination::merge::Part;
use camphorhold::coordination::pin;
use camphorhold::coordination::pin::Pin;
use camphorhold::coordination::replica::Exclusion;
use camphorhold::coordination::replica::LeafIndex;
use camphorhold::coordination::replica::Table;
use camphorhold::state::id::PartitionId;
use camphorhold::state::id::ShardId;
use camphorhold::state::id::SnapshotId;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const PARTITION: PartitionId = PartitionId(1);
const PIN: Pin = Pin {
    snapshot: SnapshotId(7),
    partition: PARTITION,
};
const SCOPE: [ShardId; 2] = [ShardId(0), ShardId(1)];

/// Two shards with two replicas each: leafs 0 and 1 hold shard 0, leafs 2 and 3 shard 1.
fn table(held: [&[u64]; 4]) -> Table {
    let shards = [0, 0, 1, 1].map(ShardId);
    let mut table = Table::new(2, &shards, Instant::now());
    for (leaf, held) in (0..).map(LeafIndex).zip(held) {
        let held: Vec<SnapshotId> = held.iter().copied().map(SnapshotId).collect();
        table.set_held(leaf, PARTITION, &held);
    }
    table
}

fn chosen(table: &Table) -> (u64, u32) {
    let choice = pin::choose(table, PARTITION, &SCOPE).expect("some leaf holds a snapshot");
    (choice.pin.snapshot.0, choice.covered)
}

/// Guards against pinning a newer snapshot that some shard does not hold yet and cannot answer
/// from.
#[test]
fn pin_is_the_newest_snapshot_that_every_shard_holds() {
    assert_eq!(chosen(&table([&[5, 6, 7], &[7], &[6], &[5]])), (6, 2));
}

/// Guards against refusing the query, or pinning the newest snapshot, when no snapshot covers all
/// shards.
#[test]
fn pin_covers_most_shards_and_prefers_the_newer_of_equals() {
    assert_eq!(chosen(&table([&[5], &[7], &[6], &[]])), (7, 1));
    assert_eq!(chosen(&table([&[5], &[8], &[5], &[]])), (5, 2));
}

/// Guards against a pin that depends on replicas that receive no calls, or that hold the snapshot
/// for another partition map only.
#[test]
fn pin_ignores_excluded_replicas_and_other_partition_maps() {
    let mut table = table([&[7], &[6], &[7], &[6]]);
    table.set_excluded(LeafIndex(0), Exclusion::Draining, true);
    assert_eq!(chosen(&table), (6, 2));
    table.set_held(LeafIndex(1), PartitionId(2), &[SnapshotId(6)]);
    assert_eq!(chosen(&table), (7, 1));
    let unknown = PartitionId(3);
    assert_eq!(
        pin::choose(&table, unknown, &SCOPE),
        Err(pin::Error::NothingHeld(unknown))
    );
    assert_eq!(
        pin::choose(&table, PARTITION, &[]),
        Err(pin::Error::EmptyScope)
    );
}

/// Guards against merging an answer from another snapshot, partition map or shard, a truncated
/// answer, or two answers of one shard. Each is rejected for its own reason.
#[test]
fn merge_accepts_each_complete_matching_answer_once() {
    let mut merge = Merge::new(PIN, 2);
    let good = Part {
        shard: ShardId(4),
        pin: PIN,
        complete: true,
    };
    let mut add = |part: Part| merge.add(0, ShardId(4), part, ());
    let with_pin = |snapshot, partition| Part {
        pin: Pin {
            snapshot: SnapshotId(snapshot),
            partition: PartitionId(partition),
        },
        ..good
    };
    assert_eq!(add(with_pin(8, 1)), Err(Discard::Snapshot));
    assert_eq!(add(with_pin(7, 2)), Err(Discard::Partition));
    assert_eq!(
        add(Part {
            shard: ShardId(5),
            ..good
        }),
        Err(Discard::Shard)
    );
    assert_eq!(
        add(Part {
            complete: false,
            ..good
        }),
        Err(Discard::Truncated)
    );
    assert_eq!(add(good), Ok(()));
    assert_eq!(add(good), Err(Discard::Repeated));
    assert_eq!(
        merge.coverage(),
        Coverage {
            answered: 1,
            in_scope: 2
        }
    );
}

/// Guards against counting a query without shards or without answers as successful, and against a
/// rounding error that rejects a query with exactly the minimum coverage.
#[test]
fn coverage_of_an_empty_scope_is_not_complete() {
    let coverage = |answered, in_scope| Coverage { answered, in_scope };
    assert!(!coverage(0, 0).is_complete());
    assert!(!coverage(0, 0).reaches(0.0));
    assert!(!coverage(0, 5).reaches(0.0));
    assert!(coverage(3, 10).reaches(0.3));
    assert!(!coverage(2, 10).reaches(0.3));
    assert!(coverage(10, 10).is_complete());
}

fn call(query: u64, leaf: u32) -> Call {
    Call {
        query: QueryId(query),
        position: 0,
        leaf: LeafIndex(leaf),
        shard: ShardId(0),
        kind: Kind::Primary,
        sent: Instant::now(),
    }
}

/// Guards against assigning an answer to another call than its own. The most likely way is a late
/// answer whose slot in the table of calls is already used by a newer call.
#[test]
fn correlation_drops_unmatched_answers_and_counts_them_by_kind() {
    let mut calls = Calls::default();
    let first = calls.begin(call(1, 1));
    let answer = |calls: &mut Calls, id, query, leaf| {
        let result = calls.answer(id, QueryId(query), LeafIndex(leaf), ShardId(0));
        result.map(|call| call.leaf.0)
    };
    assert_eq!(answer(&mut calls, first, 1, 2), Err(Unmatched::Mismatched));
    assert_eq!(answer(&mut calls, first, 2, 1), Err(Unmatched::Mismatched));
    assert_eq!(answer(&mut calls, first, 1, 1), Ok(1));
    assert_eq!(answer(&mut calls, first, 1, 1), Err(Unmatched::Duplicated));
    let second = calls.begin(call(2, 1));
    assert_eq!(answer(&mut calls, first, 2, 1), Err(Unmatched::Duplicated));
    calls.abandon(second).expect("the call is in flight");
    assert_eq!(answer(&mut calls, second, 2, 1), Err(Unmatched::Late));
    let never_sent = CallId::from_wire(0xdead_beef_0000_0007);
    assert_eq!(
        answer(&mut calls, never_sent, 2, 1),
        Err(Unmatched::Unknown)
    );
    let expected = Dropped {
        late: 1,
        duplicated: 2,
        mismatched: 2,
        unknown: 1,
    };
    assert_eq!(calls.dropped(), expected);
    assert_eq!(CallId::from_wire(second.to_wire()), second);
}

/// Guards against hedges before there are enough samples for a delay, and against a wrong quantile.
#[test]
fn hedge_delay_is_the_97th_percentile_from_100_samples_on() {
    let now = Instant::now();
    let mut delay = Delay::new(now);
    for millis in 1..hedge::MIN_SAMPLES {
        delay.record(now, Duration::from_millis(millis));
        assert_eq!(delay.get(), None);
    }
    delay.record(now, Duration::from_millis(100));
    let measured = delay.get().expect("there are 100 samples");
    assert!((96..=98).contains(&measured.as_millis()), "{measured:?}");
}

/// Guards against a hedge delay that stays long after a slow period, because old samples still
/// count.
#[test]
fn hedge_delay_forgets_samples_older_than_its_window() {
    let mut now = Instant::now();
    let mut delay = Delay::new(now);
    for latency in [50, 5, 5, 5] {
        for _ in 0..1000 {
            now += Duration::from_millis(10);
            delay.record(now, Duration::from_millis(latency));
        }
    }
    let measured = delay.get().expect("there are samples");
    assert!((4..=6).contains(&measured.as_millis()), "{measured:?}");
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Primary { fails: bool },
    Extra,
    Pause(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        60 => any::<u8>().prop_map(|random| Event::Primary { fails: random < 12 }),
        35 => Just(Event::Extra),
        1 => (1..3000u64).prop_map(Event::Pause),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against more extra calls than the stated bound in any window: 5 % of the primary
    /// calls in steady state, 10 % of those made while the failure rate is high, plus the burst. A
    /// budget that saves up unused calls without limit would exceed it.
    #[test]
    fn budget_bounds_extra_calls_over_every_window(
        events in proptest::collection::vec(event(), 4000),
    ) {
        let mut now = Instant::now();
        let mut budget = Budget::new(now);
        // The current balance of extra calls, earned minus spent, and its highest value so far,
        // both in 1/100 calls. A window violates the bound if the balance falls by more than the
        // burst within it.
        let (mut balance, mut highest) = (0i64, 0i64);
        for event in events {
            match event {
                Event::Primary { fails } => {
                    budget.on_primary(now);
                    balance += if budget.has_high_failure_rate() { 10 } else { 5 };
                    if fails {
                        budget.on_primary_failure(now);
                    }
                }
                Event::Extra if budget.take() => balance -= 100,
                Event::Extra => {}
                Event::Pause(millis) => now += Duration::from_millis(millis),
            }
            highest = highest.max(balance);
            prop_assert!(highest - balance <= i64::from(BURST_CALLS) * 100);
        }
    }
}

/// Guards against a budget that permits more than 5 % of 1,000 calls plus the burst in steady
/// state, or more than 10 % plus the burst while the failure rate is high, to a user that saves up
/// first and then takes every extra call at once. Also guards against a budget that permits less
/// than its share.
#[test]
fn budget_keeps_its_bound_over_windows_of_1000_calls() {
    for (failures_in_100, share) in [(0, 50), (4, 50), (20, 100)] {
        let mut now = Instant::now();
        let mut budget = Budget::new(now);
        let mut extras = Vec::new();
        for call in 0..10_000 {
            now += Duration::from_millis(2);
            budget.on_primary(now);
            if call % 100 < failures_in_100 {
                budget.on_primary_failure(now);
            }
            let mut spent = 0;
            // Saves up at first, then spends everything at once.
            while call > 3000 && budget.take() {
                spent += 1;
            }
            extras.push(spent);
        }
        let windows = extras
            .windows(1000)
            .map(|window| window.iter().sum::<u32>());
        let most = windows.max().unwrap_or(0);
        assert!(
            most <= share + BURST_CALLS,
            "{most} extra calls, {failures_in_100} % failures"
        );
        let tail: u32 = extras[9000..].iter().sum();
        assert!(
            tail + 1 >= share,
            "only {tail} extra calls, {failures_in_100} % failures"
        );
    }
}

/// Guards against a high failure rate that is inferred from a single failure or lasts beyond its
/// window. Either would double the extra calls although the leafs are healthy.
#[test]
fn a_high_failure_rate_needs_enough_calls_and_ends_after_its_window() {
    let now = Instant::now();
    let mut budget = Budget::new(now);
    budget.on_primary(now);
    budget.on_primary_failure(now);
    assert!(!budget.has_high_failure_rate());
    for _ in 0..19 {
        budget.on_primary(now);
    }
    assert!(!budget.has_high_failure_rate(), "1 of 20 is not above 5 %");
    budget.on_primary_failure(now);
    assert!(budget.has_high_failure_rate());
    for _ in 0..20 {
        budget.on_primary(now + Duration::from_secs(11));
    }
    assert!(!budget.has_high_failure_rate());
}
