//! Tests of the state machine of one query: failures, retries and the canary call.

mod entry_support;

use camphorhold::coordination::correlation::Kind;
use camphorhold::coordination::correlation::Unmatched;
use camphorhold::coordination::merge::Coverage;
use camphorhold::coordination::merge::Discard;
use camphorhold::coordination::pin::Pin;
use camphorhold::coordination::query::Action;
use camphorhold::coordination::query::Failure;
use camphorhold::coordination::query::Outcome;
use camphorhold::coordination::query::Reason;
use camphorhold::coordination::query::Request;
use camphorhold::coordination::query::Unused;
use camphorhold::coordination::replica::Exclusion;
use camphorhold::coordination::replica::LeafIndex;
use camphorhold::state::id::Fingerprint;
use camphorhold::state::id::ShardId;
use camphorhold::state::id::SnapshotId;

use self::entry_support::Entry;
use self::entry_support::PIN;
use self::entry_support::answer_to;
use self::entry_support::run::NORMAL;
use self::entry_support::run::Run;
use self::entry_support::run::one_shard;
use self::entry_support::run::scope;

/// Guards against a retry at the replica that has just failed, and against losing the answer to the
/// retry, for every kind of failure.
#[test]
fn an_idempotent_call_is_retried_at_another_replica() {
    let failures = [
        Failure::NotSent,
        Failure::RefusedNotStarted,
        Failure::Shed,
        Failure::Draining,
        Failure::WrongSnapshot,
        Failure::ResetAfterSent,
        Failure::Timeout,
        Failure::Failed,
    ];
    for failure in failures {
        let mut run = one_shard(true);
        let first = run.sends()[0];
        run.fail(&first, failure);
        let retry = run.sends()[1];
        assert_eq!(retry.kind, Kind::Retry, "{failure}");
        assert_ne!(retry.leaf, first.leaf, "{failure}");
        run.answer(&retry).expect("the answer matches its call");
        assert_eq!(run.end().outcome, Outcome::Answered, "{failure}");
    }
}

/// Guards against a missing shard when its leaf drains or lacks the snapshot, and the service has
/// too little traffic to have earned the budget for a retry. Also guards against more than one such
/// free call per shard.
#[test]
fn a_leaf_that_cannot_serve_the_request_is_replaced_without_budget() {
    for failure in [Failure::Draining, Failure::WrongSnapshot] {
        let entry = Entry::new(1, 2, 1);
        let scope = scope(1);
        let request = entry.request(1, &scope);
        let mut run = Run::start(entry, &request);
        while run.entry.budget.take() {}
        let first = run.sends()[0];
        run.fail(&first, failure);
        let second = run.sends()[1];
        assert_ne!(second.leaf, first.leaf, "{failure}");
        run.fail(&second, failure);
        assert_eq!(run.sends().len(), 2, "{failure}");
    }
}

/// Guards against further calls to a leaf that has refused a call because it is draining.
#[test]
fn a_draining_answer_excludes_the_leaf() {
    let mut run = one_shard(true);
    let first = run.sends()[0];
    run.fail(&first, Failure::Draining);
    assert!(!run.entry.replicas.is_usable(first.leaf));
    run.entry
        .replicas
        .set_excluded(first.leaf, Exclusion::Draining, false);
    assert!(run.entry.replicas.is_usable(first.leaf));
}

/// Guards against running a non-idempotent request twice, and against the outcome "not run" for a
/// request that a leaf may have run. Only a call of which no byte was sent may be repeated.
#[test]
fn a_non_idempotent_call_is_sent_once() {
    let failures = [
        (Failure::RefusedNotStarted, false),
        (Failure::Shed, false),
        (Failure::Draining, false),
        (Failure::WrongSnapshot, false),
        (Failure::ResetAfterSent, true),
        (Failure::Timeout, true),
        (Failure::Failed, true),
    ];
    for (failure, may_have_run) in failures {
        let mut run = one_shard(false);
        let first = run.sends()[0];
        run.fail(&first, failure);
        assert_eq!(run.sends().len(), 1);
        let reason = Reason::Failed(failure);
        let expected = if may_have_run {
            Outcome::Unknown(reason)
        } else {
            Outcome::NotRun(reason)
        };
        assert_eq!(run.end().outcome, expected);
    }
    let mut run = one_shard(false);
    run.wake();
    assert_eq!(run.end().outcome, Outcome::Unknown(Reason::Deadline));
    let mut run = one_shard(false);
    let first = run.sends()[0];
    run.fail(&first, Failure::NotSent);
    let resent = run.sends()[1];
    run.fail(&resent, Failure::Timeout);
    assert_eq!(
        run.sends().len(),
        2,
        "only the unsent call may be sent again"
    );
}

/// Guards against using an answer from a snapshot other than the pinned one, and against a retry at
/// the leaf that sent it. A leaf sends such an answer if it no longer holds the pin.
#[test]
fn an_answer_from_another_snapshot_is_discarded_and_retried() {
    let mut run = one_shard(true);
    let first = run.sends()[0];
    let mut received = answer_to(&first);
    received.part.pin = Pin {
        snapshot: SnapshotId(8),
        ..PIN
    };
    let context = &mut run.entry.context();
    let result = run
        .query
        .on_answer(context, &received, "wrong", &mut run.actions);
    assert_eq!(result, Err(Unused::Discard(Discard::Snapshot)));
    assert!(!run.entry.replicas.holds(first.leaf, PIN));
    let retry = run.sends()[1];
    run.answer(&retry).expect("the answer matches its call");
    assert_eq!(run.end().contents, [(ShardId(0), "hits")]);
}

/// Guards against a refusal that arrives on the connection of another leaf and marks a call in
/// progress as not started. The request would then count as not run although it runs.
#[test]
fn a_mismatched_refusal_changes_nothing() {
    let mut run = one_shard(false);
    let first = run.sends()[0];
    let mut received = answer_to(&first);
    received.leaf = LeafIndex(1 - first.leaf.0);
    let context = &mut run.entry.context();
    let shed = Failure::Shed;
    let result = run
        .query
        .on_refusal(context, &received, shed, &mut run.actions);
    assert_eq!(result, Err(Unmatched::Mismatched));
    assert!(!run.query.is_finished());
    run.answer(&first).expect("the answer matches its call");
    assert_eq!(run.end().outcome, Outcome::Answered);
}

fn canary() -> Run {
    canary_with_budget(5)
}

fn canary_with_budget(extra_calls: u32) -> Run {
    let mut entry = Entry::new(3, 2, 1);
    entry.warm_up(NORMAL, extra_calls);
    let scope = scope(3);
    let request = Request {
        canary: Some(Fingerprint(9)),
        ..entry.request(1, &scope)
    };
    Run::start(entry, &request)
}

/// Guards against a poison request that crashes several servers: no second leaf may get the request
/// before the first has answered, and the query ends if the connection of the first is reset.
#[test]
fn a_canary_goes_to_one_leaf_first() {
    let mut run = canary();
    assert_eq!(run.sends().len(), 1);
    assert_eq!(run.sends()[0].canary, Some(Fingerprint(9)));
    let first = run.sends()[0];
    run.answer(&first).expect("the answer matches its call");
    assert_eq!(run.sends().len(), 3);
    assert!(run.sends()[1..].iter().all(|send| send.canary.is_none()));
    let mut run = canary();
    let first = run.sends()[0];
    run.fail(&first, Failure::ResetAfterSent);
    assert_eq!(run.sends().len(), 1);
    let reported = run.actions.iter().any(|action| {
        matches!(action, Action::ReportReset { fingerprint: Fingerprint(9), leaf }
            if *leaf == first.leaf)
    });
    assert!(reported);
    assert_eq!(run.end().outcome, Outcome::Unknown(Reason::CanaryReset));
}

/// Guards against a query that waits for a straggling canary call until its deadline. With 1 in 100
/// calls straggling, the deadline was the p99 of all queries.
#[test]
fn a_straggling_canary_is_hedged() {
    let mut run = canary_with_budget(30);
    let first = run.sends()[0];
    run.wait(NORMAL * 4);
    let second = run.sends()[1];
    assert_eq!(second.kind, Kind::Hedge);
    assert_eq!(second.canary, Some(Fingerprint(9)));
    assert_ne!(second.leaf, first.leaf);
    run.answer(&second).expect("the answer matches its call");
    assert_eq!(run.sends().len(), 4);
}

/// Guards against a query that waits for its canary call although every replica of the shard is
/// draining.
#[test]
fn a_canary_goes_to_another_shard_when_its_shard_is_given_up() {
    let mut run = canary();
    for _ in 0..8 {
        let last = *run.sends().last().expect("the canary was sent");
        if last.shard != run.sends()[0].shard {
            break;
        }
        run.fail(&last, Failure::Draining);
        run.wait(NORMAL);
    }
    let last = *run.sends().last().expect("the canary was sent");
    assert_ne!(last.shard, run.sends()[0].shard);
    assert_eq!(last.canary, Some(Fingerprint(9)));
    run.answer(&last).expect("the answer matches its call");
    let third = *run.sends().last().expect("the third shard is asked");
    run.answer(&third).expect("the answer matches its call");
    assert_eq!(
        run.end().coverage,
        Coverage {
            answered: 2,
            in_scope: 3
        }
    );
}
