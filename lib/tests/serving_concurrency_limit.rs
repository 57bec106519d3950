//! Tests of the concurrency limits of shards: they prevent queues at leafs that take longer than
//! callers wait, and recover once the cause is gone.

mod serving_support;

use std::time::Instant;

use camphorhold::coordination::serving::ConcurrencyLimits;
use camphorhold::coordination::serving::concurrency_limit::ShardOutcome;
use serving_support::ms;

/// Starts queries until the shard is at its limit, and returns how many were started.
fn fill(limits: &mut ConcurrencyLimits) -> usize {
    let mut started = 0;
    while limits.has_room("s") && started < 1_000 {
        limits.on_start("s");
        started += 1;
    }
    started
}

/// Ends `count` queries that started at `started`, all with the same outcome.
fn end(
    limits: &mut ConcurrencyLimits,
    count: usize,
    outcome: ShardOutcome,
    started: Instant,
    now: Instant,
) {
    for _ in 0..count {
        limits.on_end("s", outcome, started, now);
    }
}

/// Guards against queues at leafs that take longer than callers wait: unless the limit shrinks
/// after late answers, every later query only waits in the queue and is late as well.
#[test]
fn a_shard_that_answers_late_gets_fewer_queries_at_a_time() {
    let start = Instant::now();
    let mut limits = ConcurrencyLimits::default();
    let mut sizes = Vec::new();
    for round in 0..8 {
        let started = start + ms(round * 100);
        let size = fill(&mut limits);
        end(
            &mut limits,
            size,
            ShardOutcome::Missed,
            started,
            started + ms(100),
        );
        sizes.push(size);
    }
    assert!(sizes.is_sorted_by(|a, b| a >= b), "{sizes:?}");
    // One query at a time keeps probing the shard.
    assert_eq!(sizes.last(), Some(&1));
}

/// Guards against a limit that shrinks once per query when a burst meets one pause of the shard.
/// Those queries started before the limit shrank, so they show nothing about the new limit.
#[test]
fn queries_of_one_round_shrink_the_limit_once() {
    let start = Instant::now();
    let mut limits = ConcurrencyLimits::default();
    let size = fill(&mut limits);
    end(&mut limits, 1, ShardOutcome::Missed, start, start + ms(100));
    let once = limits.clone();
    end(
        &mut limits,
        size - 1,
        ShardOutcome::Missed,
        start,
        start + ms(101),
    );
    let mut once = once;
    end(
        &mut once,
        size - 1,
        ShardOutcome::Cancelled,
        start,
        start + ms(101),
    );
    assert_eq!(fill(&mut limits), fill(&mut once));
}

/// Guards against a limit that stays small after the shard answers in time again.
#[test]
fn a_limit_grows_again_when_answers_are_in_time() {
    let start = Instant::now();
    let mut limits = ConcurrencyLimits::default();
    for round in 0..8 {
        let started = start + ms(round * 100);
        let size = fill(&mut limits);
        end(
            &mut limits,
            size,
            ShardOutcome::Missed,
            started,
            started + ms(100),
        );
    }
    let mut rounds = 0;
    while rounds < 100 {
        let size = fill(&mut limits);
        end(
            &mut limits,
            size,
            ShardOutcome::InTime,
            start,
            start + ms(900),
        );
        if size >= 8 {
            break;
        }
        rounds += 1;
    }
    assert!(rounds <= 10, "{rounds} rounds");
}

/// Guards against a limit that changes because a query ended before the answer of the shard was
/// due.
#[test]
fn a_cancelled_query_does_not_change_the_limit() {
    let start = Instant::now();
    let mut limits = ConcurrencyLimits::default();
    let size = fill(&mut limits);
    end(
        &mut limits,
        size,
        ShardOutcome::Cancelled,
        start,
        start + ms(5),
    );
    assert_eq!(fill(&mut limits), size);
}

/// Guards against limits that pile up for shards that are no longer served, and against losing the
/// count of queries in progress when such a shard is removed too early.
#[test]
fn limits_of_removed_shards_are_kept_until_their_queries_end() {
    let start = Instant::now();
    let mut limits = ConcurrencyLimits::default();
    let size = fill(&mut limits);
    limits.retain(|_| false);
    assert!(!limits.has_room("s"), "queries in progress still count");
    end(
        &mut limits,
        size,
        ShardOutcome::Missed,
        start,
        start + ms(100),
    );
    limits.retain(|_| false);
    assert_eq!(fill(&mut limits), size);
}
