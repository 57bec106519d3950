//! Tests of one request under which connections to leafs are lost.

mod serving_support;

use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::serving::ConcurrencyLimits;
use camphorhold::coordination::serving::Fanout;
use camphorhold::coordination::serving::Fleet;
use camphorhold::coordination::serving::RetryBudgets;
use camphorhold::coordination::serving::alarms::Level;
use camphorhold::coordination::serving::fanout::Context;
use camphorhold::coordination::serving::fanout::LeafCall;
use camphorhold::coordination::serving::fanout::Outcome;
use camphorhold::coordination::serving::fanout::Reason;
use camphorhold::coordination::serving::fanout::Request;
use camphorhold::coordination::serving::fanout::Shard;
use camphorhold::coordination::serving::fanout::ShardAssignment;
use camphorhold::coordination::serving::fanout::Verdict;
use camphorhold::coordination::serving::fleet::CallResult;
use camphorhold::coordination::serving::retry_budget::Bound;
use camphorhold::state::plan::CallSemantics;
use serving_support::AMPLE_LIMITS;
use serving_support::fleet;
use serving_support::ms;

const SHARDS: [&str; 3] = ["s1", "s2", "s3"];

const LEAFS: [(&str, &str, &str); 6] = [
    ("s1a", "s1", "a"),
    ("s1b", "s1", "b"),
    ("s2a", "s2", "a"),
    ("s2b", "s2", "b"),
    ("s3a", "s3", "a"),
    ("s3b", "s3", "b"),
];

struct World {
    start: Instant,
    fleet: Fleet,
    retry_budgets: RetryBudgets,
    concurrency_limits: ConcurrencyLimits,
}

impl World {
    fn new() -> Self {
        let start = Instant::now();
        let bound = Bound {
            ratio: 0.2,
            extra: 60.0,
            window: Duration::from_secs(10),
        };
        Self {
            start,
            fleet: fleet(&LEAFS, start),
            retry_budgets: RetryBudgets::new(bound, 1, start),
            concurrency_limits: ConcurrencyLimits::default(),
        }
    }

    fn context(&mut self, after: u64) -> Context<'_> {
        Context {
            now: self.start + ms(after),
            fleet: &self.fleet,
            retry_budgets: &mut self.retry_budgets,
            concurrency_limits: &mut self.concurrency_limits,
            jitter: 0.0,
        }
    }

    fn start_request(&mut self, is_suspect: bool) -> (Fanout, Vec<LeafCall>) {
        self.start_request_with(is_suspect, true)
    }

    fn start_request_with(
        &mut self,
        is_suspect: bool,
        permits_canary: bool,
    ) -> (Fanout, Vec<LeafCall>) {
        self.start_shards(&SHARDS, is_suspect, permits_canary)
    }

    fn start_shards(
        &mut self,
        shards: &[&str],
        is_suspect: bool,
        permits_canary: bool,
    ) -> (Fanout, Vec<LeafCall>) {
        let request = Request {
            shards: shards
                .iter()
                .map(|service| Shard {
                    service: (*service).into(),
                    limits: AMPLE_LIMITS,
                    assignment: ShardAssignment::Local,
                })
                .collect(),
            started: self.start,
            limits_concurrency: true,
            semantics: CallSemantics::Idempotent,
            min_coverage: 0.5,
            max_leafs: 2,
            is_suspect,
            permits_canary,
            hedge_delay: Some(ms(40)),
            refuse_by: self.start + ms(30),
            answer_by: self.start + ms(140),
            deadline: self.start + ms(1_000),
        };
        Fanout::start(request, &mut self.context(0))
    }

    /// Records for all requests that the leaf of a call could not be reached.
    fn disconnect(&mut self, call: LeafCall, after: u64) {
        let now = self.start + ms(after);
        self.fleet.on_sent(call.leaf, ms(10), self.start);
        self.fleet
            .on_result(call.leaf, self.start, CallResult::Disconnected, now);
    }

    fn timer(&mut self, fanout: &mut Fanout, after: u64) -> Vec<LeafCall> {
        let mut further = Vec::new();
        fanout.on_timer(&mut self.context(after), &mut further);
        further
    }

    fn end(
        &mut self,
        fanout: &mut Fanout,
        call: LeafCall,
        outcome: Outcome,
        after: u64,
    ) -> Vec<LeafCall> {
        let mut further = Vec::new();
        let mut context = self.context(after);
        fanout.on_outcome(call.shard, call.leaf, outcome, &mut context, &mut further);
        further
    }
}

/// Guards against a query that ends a second leaf of every shard when its lost calls are replaced, or
/// any second leaf while others may show what it does.
#[test]
fn lost_calls_are_replaced_by_one_canary_only() {
    let mut world = World::new();
    let (mut fanout, calls) = world.start_request(false);
    assert_eq!(calls.len(), 3);
    assert_eq!(world.end(&mut fanout, calls[0], Outcome::Lost, 5), []);
    assert_eq!(world.end(&mut fanout, calls[1], Outcome::Lost, 6), []);
    let canary = world.end(&mut fanout, calls[2], Outcome::Lost, 7);
    assert_eq!(canary.len(), 1);
    assert_eq!(world.end(&mut fanout, canary[0], Outcome::Lost, 9), []);
    assert_eq!(world.timer(&mut fanout, 100), []);
    assert!(!fanout.has_survivor());
    assert!(matches!(
        fanout.verdict(world.start + ms(100)),
        Some(Verdict::GiveUp {
            reason: Reason::Unavailable,
            may_have_run: true,
            ..
        })
    ));
}

/// Guards against a query that waits in vain for calls in progress after the loss of another one.
#[test]
fn the_canary_is_sent_if_the_calls_in_progress_do_not_answer() {
    let mut world = World::new();
    let (mut fanout, calls) = world.start_request(false);
    assert_eq!(world.end(&mut fanout, calls[0], Outcome::Lost, 5), []);
    assert_eq!(world.timer(&mut fanout, 30), []);
    let canary = world.timer(&mut fanout, 46);
    assert_eq!(canary.len(), 1);
    assert_eq!(canary[0].shard, calls[0].shard);
}

/// Guards against a query that ends the last leaf of a shard, which all other queries then lack.
#[test]
fn the_canary_goes_to_no_last_leaf_of_a_shard_once_leafs_have_ended() {
    let mut world = World::new();
    let (mut fanout, calls) = world.start_request(false);
    fanout.on_inquiry_start();
    for call in &calls {
        world.disconnect(*call, 5);
        assert_eq!(world.end(&mut fanout, *call, Outcome::Lost, 5), []);
    }
    fanout.on_inquiry_end(true);
    assert_eq!(world.timer(&mut fanout, 25), []);
    assert!(fanout.verdict(world.start + ms(25)).is_some());

    // The loss had another cause.
    let (mut fanout, calls) = world.start_request(false);
    fanout.on_inquiry_start();
    for call in &calls {
        assert_eq!(world.end(&mut fanout, *call, Outcome::Lost, 5), []);
    }
    fanout.on_inquiry_end(false);
    assert_eq!(world.timer(&mut fanout, 25).len(), 1);
}

/// Guards against a suspect query that is tried on the last leaf of a shard, that is not tried although
/// enough shards have more than one, or that is tried although most have lost one.
#[test]
fn a_suspect_query_is_tried_while_enough_shards_can_spare_a_leaf() {
    let mut world = World::new();
    let (_, calls) = world.start_request(false);
    world.disconnect(calls[0], 5);
    let (fanout, canary) = world.start_request(true);
    assert_eq!(canary.len(), 1);
    assert_eq!(canary[0].shard, calls[1].shard);
    assert_eq!(fanout.verdict(world.start), None);
    world.disconnect(calls[1], 5);
    let (fanout, canary) = world.start_request(true);
    assert_eq!(canary, []);
    assert!(matches!(
        fanout.verdict(world.start),
        Some(Verdict::GiveUp {
            may_have_run: false,
            ..
        })
    ));
}

/// Guards against a request to one service that fails because one of its two leafs has ended: it has no
/// shard to do without.
#[test]
fn a_request_to_one_service_is_tried_on_its_last_leaf() {
    let mut world = World::new();
    let (mut fanout, calls) = world.start_shards(&SHARDS[..1], false, true);
    fanout.on_alarm(world.start);
    world.disconnect(calls[0], 5);
    let canary = world.end(&mut fanout, calls[0], Outcome::Lost, 5);
    assert_eq!(canary.len(), 1);
    assert_eq!(
        world.end(&mut fanout, canary[0], Outcome::NotRun, 10).len(),
        1
    );
}

/// Guards against second copies of a query for all of its shards while it may be ending their leafs.
#[test]
fn one_shard_is_hedged_until_a_leaf_has_answered() {
    let mut world = World::new();
    let (mut fanout, calls) = world.start_request(false);
    let hedges = world.timer(&mut fanout, 41);
    assert_eq!(hedges.len(), 1);
    assert_eq!(world.timer(&mut fanout, 70), []);
    world.end(&mut fanout, calls[0], Outcome::Answered, 71);
    let others = world.timer(&mut fanout, 90);
    let mut shards: Vec<usize> = others.iter().map(|call| call.shard).collect();
    shards.extend(hedges.iter().map(|call| call.shard));
    shards.sort_unstable();
    assert_eq!(shards, [0, 1, 2]);
}

/// Guards against second copies of a query that another instance has seen end leafs.
#[test]
fn an_alarm_of_another_instance_stops_hedges() {
    let mut world = World::new();
    let (mut fanout, _) = world.start_request(false);
    assert_eq!(world.timer(&mut fanout, 41).len(), 1);
    for permits_canary in [true, false] {
        let (mut fanout, calls) = world.start_request_with(false, permits_canary);
        fanout.on_alarm(world.start + ms(30));
        assert_eq!(world.timer(&mut fanout, 41), []);
        world.end(&mut fanout, calls[0], Outcome::Answered, 42);
        assert!(fanout.has_survivor());
    }
}

/// Guards against a query that loses shards although only their connections were broken: once a
/// leaf has survived it, the other lost calls are replaced at once.
#[test]
fn lost_calls_are_replaced_as_soon_as_a_leaf_has_survived() {
    let mut world = World::new();
    let (mut fanout, calls) = world.start_request(false);
    assert_eq!(world.end(&mut fanout, calls[0], Outcome::Lost, 5), []);
    assert_eq!(world.end(&mut fanout, calls[1], Outcome::Lost, 6), []);
    let replaced = world.end(&mut fanout, calls[2], Outcome::Answered, 20);
    let shards: Vec<usize> = replaced.iter().map(|call| call.shard).collect();
    assert_eq!(shards, [0, 1]);
    assert!(fanout.has_survivor());
    world.end(&mut fanout, replaced[0], Outcome::Answered, 25);
    world.end(&mut fanout, replaced[1], Outcome::Answered, 40);
    let verdict = fanout.verdict(world.start + ms(40));
    assert!(matches!(verdict, Some(Verdict::Answer(coverage)) if coverage.is_complete()));
}

/// Guards against a request that is known to end leafs and reaches more than one of them.
#[test]
fn a_suspect_request_is_sent_to_one_leaf_first() {
    let mut world = World::new();
    let (mut fanout, calls) = world.start_request(true);
    assert_eq!(calls.len(), 1);
    assert!(
        world
            .end(&mut fanout, calls[0], Outcome::Lost, 5)
            .is_empty()
    );
    let mut further = Vec::new();
    let mut context = world.context(20);
    fanout.on_timer(&mut context, &mut further);
    assert!(further.is_empty());

    let (mut fanout, calls) = world.start_request(true);
    let others = world.end(&mut fanout, calls[0], Outcome::Answered, 20);
    assert_eq!(others.len(), 2);
}

/// Guards against a canary that ends the request although no leaf has received it.
#[test]
fn a_canary_that_reached_no_leaf_is_sent_again() {
    let mut world = World::new();
    let (mut fanout, calls) = world.start_request(true);
    let again = world.end(&mut fanout, calls[0], Outcome::Unsent, 5);
    assert_eq!(again.len(), 1);
    let again = world.end(&mut fanout, again[0], Outcome::NotRun, 10);
    assert_eq!(again.len(), 1);
}

/// Guards against a leaf's error that ends the caution: the leaf may not have run the request.
#[test]
fn an_error_of_a_leaf_shows_nothing_about_a_suspect_request() {
    let mut world = World::new();
    let (mut fanout, calls) = world.start_request(true);
    let again = world.end(&mut fanout, calls[0], Outcome::Failed, 5);
    assert_eq!(again.len(), 1);
    assert!(!fanout.has_survivor());
    assert!(
        world
            .end(&mut fanout, again[0], Outcome::Lost, 10)
            .is_empty()
    );

    let (mut fanout, calls) = world.start_request(true);
    let others = world.end(&mut fanout, calls[0], Outcome::Rejected, 5);
    assert!(others.len() >= 2, "{others:?}");
    assert!(fanout.has_survivor());
}

/// Guards against a query that gives up shards because two connections were lost, while other leafs
/// work on it and survive it.
#[test]
fn shards_wait_for_survivors_when_the_canary_is_lost() {
    let mut world = World::new();
    let (mut fanout, calls) = world.start_request(false);
    assert_eq!(world.end(&mut fanout, calls[0], Outcome::Lost, 5), []);
    let canary = world.timer(&mut fanout, 46);
    assert_eq!(world.end(&mut fanout, canary[0], Outcome::Lost, 48), []);
    assert_eq!(world.end(&mut fanout, calls[1], Outcome::Lost, 49), []);
    assert_eq!(fanout.verdict(world.start + ms(49)), None);
    let replaced = world.end(&mut fanout, calls[2], Outcome::Answered, 60);
    let shards: Vec<usize> = replaced.iter().map(|call| call.shard).collect();
    assert_eq!(shards, [0, 1]);
}

/// Guards against a canary by each of the instances that were handed shards of the same query, and
/// against shards that such an instance gives up although leafs survive the query.
#[test]
fn an_instance_that_was_handed_shards_sends_no_canary_but_goes_on_after_a_survivor() {
    let mut world = World::new();
    let (mut fanout, calls) = world.start_request_with(false, false);
    assert_eq!(world.end(&mut fanout, calls[0], Outcome::Lost, 2), []);
    assert_eq!(fanout.suspicion(), Some(Level::Suspected));
    let resumed = world.end(&mut fanout, calls[1], Outcome::Answered, 5);
    assert_eq!(resumed.len(), 1);
    assert_eq!(resumed[0].shard, calls[0].shard);
    assert_eq!(fanout.suspicion(), None);
}

/// Guards against an alarm that says less or more than the lost connections do.
#[test]
fn a_lost_canary_confirms_the_suspicion() {
    let mut world = World::new();
    let (mut fanout, calls) = world.start_request(false);
    assert_eq!(fanout.suspicion(), None);
    world.end(&mut fanout, calls[0], Outcome::Lost, 2);
    assert_eq!(fanout.suspicion(), Some(Level::Suspected));
    world.end(&mut fanout, calls[1], Outcome::Lost, 3);
    assert_eq!(fanout.suspicion(), Some(Level::Suspected));
    let canary = world.end(&mut fanout, calls[2], Outcome::Lost, 4);
    assert_eq!(fanout.suspicion(), Some(Level::Suspected));
    world.end(&mut fanout, canary[0], Outcome::Lost, 5);
    assert_eq!(fanout.suspicion(), Some(Level::Confirmed));
}
