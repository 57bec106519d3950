//! Guards against leafs whose queues are longer than what callers wait for, and against windows that
//! stay small after the cause is gone.

mod serving_support;

use std::time::Instant;

use camphorhold::coordination::serving::ConcurrencyLimits;
use camphorhold::coordination::serving::concurrency_limit::ShardOutcome;
use serving_support::ms;

/// Starts queries until the window is full, and returns how many there are.
fn fill(windows: &mut ConcurrencyLimits) -> usize {
    let mut started = 0;
    while windows.has_room("s") && started < 1_000 {
        windows.on_start("s");
        started += 1;
    }
    started
}

/// Ends queries that started at `started`.
fn end(
    windows: &mut ConcurrencyLimits,
    count: usize,
    part: ShardOutcome,
    started: Instant,
    now: Instant,
) {
    for _ in 0..count {
        windows.on_end("s", part, started, now);
    }
}

#[test]
fn a_shard_that_answers_late_gets_fewer_queries_at_a_time() {
    let start = Instant::now();
    let mut windows = ConcurrencyLimits::default();
    let mut sizes = Vec::new();
    for round in 0..8 {
        let started = start + ms(round * 100);
        let size = fill(&mut windows);
        end(
            &mut windows,
            size,
            ShardOutcome::Missed,
            started,
            started + ms(100),
        );
        sizes.push(size);
    }
    assert!(sizes.is_sorted_by(|a, b| a >= b), "{sizes:?}");
    // One query goes on testing the shard.
    assert_eq!(sizes.last(), Some(&1));
}

/// Otherwise a burst that meets one pause would shrink the window once per query.
#[test]
fn queries_of_one_round_shrink_the_window_once() {
    let start = Instant::now();
    let mut windows = ConcurrencyLimits::default();
    let size = fill(&mut windows);
    end(
        &mut windows,
        1,
        ShardOutcome::Missed,
        start,
        start + ms(100),
    );
    let once = windows.clone();
    end(
        &mut windows,
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
    assert_eq!(fill(&mut windows), fill(&mut once));
}

#[test]
fn a_window_grows_again_when_answers_are_in_time() {
    let start = Instant::now();
    let mut windows = ConcurrencyLimits::default();
    for round in 0..8 {
        let started = start + ms(round * 100);
        let size = fill(&mut windows);
        end(
            &mut windows,
            size,
            ShardOutcome::Missed,
            started,
            started + ms(100),
        );
    }
    let mut rounds = 0;
    while rounds < 100 {
        let size = fill(&mut windows);
        end(
            &mut windows,
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

#[test]
fn a_query_that_ends_early_says_nothing_about_the_shard() {
    let start = Instant::now();
    let mut windows = ConcurrencyLimits::default();
    let size = fill(&mut windows);
    end(
        &mut windows,
        size,
        ShardOutcome::Cancelled,
        start,
        start + ms(5),
    );
    assert_eq!(fill(&mut windows), size);
}

#[test]
fn shards_are_forgotten_once_no_query_asks_them() {
    let start = Instant::now();
    let mut windows = ConcurrencyLimits::default();
    let size = fill(&mut windows);
    windows.retain(|_| false);
    assert!(!windows.has_room("s"), "queries in progress still count");
    end(
        &mut windows,
        size,
        ShardOutcome::Missed,
        start,
        start + ms(100),
    );
    windows.retain(|_| false);
    assert_eq!(fill(&mut windows), size);
}
