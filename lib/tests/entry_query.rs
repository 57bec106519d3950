//! Tests of the state machine of one query: calls, hedges, answers and the partial-answer policy.

mod entry_support;

use std::time::Duration;

use camphorhold::coordination::correlation::Kind;
use camphorhold::coordination::correlation::Unmatched;
use camphorhold::coordination::merge::Coverage;
use camphorhold::coordination::query::HOP_MARGIN;
use camphorhold::coordination::query::Outcome;
use camphorhold::coordination::query::Reason;
use camphorhold::coordination::query::Request;
use camphorhold::coordination::query::Unused;
use camphorhold::coordination::replica::LeafIndex;
use camphorhold::state::id::ShardId;
use camphorhold::state::id::SnapshotId;

use self::entry_support::DEADLINE;
use self::entry_support::Entry;
use self::entry_support::PIN;
use self::entry_support::run::NORMAL;
use self::entry_support::run::Run;
use self::entry_support::run::one_shard;
use self::entry_support::run::scope;

/// Guards against a shard that is missing, queried twice or mislabelled when the scope repeats
/// shards, and against a call deadline that leaves no time for the answer to travel back.
#[test]
fn a_query_calls_each_shard_once_and_merges_the_answers() {
    let entry = Entry::new(3, 2, 1);
    let scope = [0, 2, 0, 1, 2].map(ShardId);
    let request = entry.request(1, &scope);
    let mut run = Run::start(entry, &request);
    let sends = run.sends();
    assert_eq!(sends.len(), 3);
    for send in &sends {
        assert_eq!(send.deadline + HOP_MARGIN, request.deadline);
        assert_eq!(run.answer(send), Ok(()));
    }
    let end = run.end();
    assert_eq!(end.outcome, Outcome::Answered);
    assert_eq!(
        (end.coverage, end.pin),
        (
            Coverage {
                answered: 3,
                in_scope: 3
            },
            PIN
        )
    );
    assert_eq!(end.contents.len(), 3);
    assert_eq!(run.query.next_wakeup(), None);
    assert_eq!(run.entry.calls.in_flight(), 0);
}

/// Guards against calls for a request that is invalid, too late or has no replica, and against any
/// outcome but "not run", which would keep the caller from trying again.
#[test]
fn a_request_that_cannot_be_sent_has_not_run() {
    let check = |expected, change: &dyn Fn(&mut Request<'_>)| {
        let entry = Entry::new(2, 1, 1);
        let scope = scope(2);
        let mut request = entry.request(1, &scope);
        change(&mut request);
        let run = Run::start(Entry::new(2, 1, 1), &request);
        assert_eq!(run.end().outcome, Outcome::NotRun(expected));
        assert_eq!(run.actions.len(), 1);
    };
    check(Reason::EmptyScope, &|request| request.scope = &[]);
    check(Reason::UnknownShard(ShardId(9)), &|request| {
        request.scope = &[ShardId(9)];
    });
    check(Reason::ScopeTooLarge, &|request| request.idempotent = false);
    check(Reason::TooLate, &|request| request.deadline -= DEADLINE);
    check(Reason::NoReplica, &|request| {
        request.pin.snapshot = SnapshotId(99);
    });
}

/// Guards against waiting for all shards although the minimum has answered and the patience has
/// passed, against ending the query before that, and against calls that keep running after the
/// query has ended.
#[test]
fn patience_begins_at_the_minimum_and_ends_the_query() {
    let entry = Entry::new(4, 1, 1);
    let scope = scope(4);
    let patience = Duration::from_millis(20);
    let request = Request {
        minimum: 0.5,
        patience,
        ..entry.request(1, &scope)
    };
    let mut run = Run::start(entry, &request);
    let sends = run.sends();
    run.answer(&sends[0]).expect("the answer matches its call");
    run.wait(patience * 2);
    assert!(!run.query.is_finished(), "1 of 4 is below the minimum");
    run.answer(&sends[1]).expect("the answer matches its call");
    assert_eq!(run.query.next_wakeup(), Some(run.entry.now + patience));
    run.wake();
    assert_eq!(run.end().outcome, Outcome::Answered);
    assert_eq!(
        run.end().coverage,
        Coverage {
            answered: 2,
            in_scope: 4
        }
    );
    assert_eq!(run.cancels(), 2);
    assert_eq!(
        run.answer(&sends[2]),
        Err(Unused::Unmatched(Unmatched::Late))
    );
    assert_eq!(
        run.answer(&sends[0]),
        Err(Unused::Unmatched(Unmatched::Duplicated))
    );
}

/// Guards against a query below its minimum coverage that counts as answered, or as not run
/// although a leaf has run it.
#[test]
fn too_few_shards_at_the_deadline_make_the_outcome_unknown() {
    let entry = Entry::new(4, 1, 1);
    let scope = scope(4);
    let request = Request {
        minimum: 0.5,
        ..entry.request(1, &scope)
    };
    let mut run = Run::start(entry, &request);
    let first = run.sends()[0];
    run.answer(&first).expect("the answer matches its call");
    run.wake();
    assert_eq!(run.end().outcome, Outcome::Unknown(Reason::Deadline));
    assert_eq!(
        run.end().coverage,
        Coverage {
            answered: 1,
            in_scope: 4
        }
    );
    assert!(run.end().contents.is_empty());
}

/// Guards against a hedge to the replica that is already late, two hedges at once, a slower call
/// that keeps its leaf busy, and a shard that counts twice because two calls asked it.
#[test]
fn a_hedge_goes_to_another_replica_and_the_slower_call_is_cancelled() {
    let mut run = one_shard(true);
    let started = run.entry.now;
    run.wake();
    let sends = run.sends();
    assert_eq!(sends.len(), 2);
    assert_eq!(sends[1].kind, Kind::Hedge);
    assert_ne!(sends[0].leaf, sends[1].leaf);
    assert_eq!(Some(run.entry.now - started), run.entry.hedge.get());
    run.answer(&sends[1]).expect("the answer matches its call");
    assert_eq!(run.cancels(), 1);
    assert_eq!(
        run.end().coverage,
        Coverage {
            answered: 1,
            in_scope: 1
        }
    );
    assert_eq!(
        run.answer(&sends[0]),
        Err(Unused::Unmatched(Unmatched::Late))
    );
    for leaf in [0, 1].map(LeafIndex) {
        assert_eq!(run.entry.replicas.in_flight(leaf), 0);
    }
}

/// Guards against hedges that the budget does not cover, that the service does not permit, or that
/// could run a non-idempotent request twice.
#[test]
fn no_hedge_without_budget_permission_or_idempotence() {
    let check = |budget, hedging, idempotent| {
        let mut entry = Entry::new(1, 2, 1);
        entry.warm_up(NORMAL, budget);
        let scope = scope(1);
        let request = Request {
            hedging,
            idempotent,
            ..entry.request(1, &scope)
        };
        let mut run = Run::start(entry, &request);
        for _ in 0..1000 {
            if !run.query.is_finished() {
                run.wake();
            }
        }
        assert!(run.query.is_finished());
        run.sends().len()
    };
    assert_eq!(check(1, true, true), 2);
    assert_eq!(check(0, true, true), 1);
    assert_eq!(check(1, false, true), 1);
    assert_eq!(check(1, true, false), 1);
}

/// Guards against calls that keep running after the caller has disconnected, and against the
/// outcome "not run" for a request that a leaf may have run.
#[test]
fn a_query_ends_when_its_caller_disconnects() {
    let mut run = one_shard(true);
    let context = &mut run.entry.context();
    run.query.on_caller_gone(context, &mut run.actions);
    assert_eq!(run.cancels(), 1);
    assert_eq!(run.end().outcome, Outcome::Unknown(Reason::CallerGone));
}
