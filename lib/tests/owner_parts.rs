//! Tests of the single parts of a leaf's owner: queue, limits, canaries, health reports, drain
//! signals and shutdown.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use camphorhold::coordination::call::CallId;
use camphorhold::coordination::call::Caller;
use camphorhold::coordination::drain;
use camphorhold::coordination::drain::Signal;
use camphorhold::coordination::drain::Source;
use camphorhold::coordination::limit::ConcurrencyLimit;
use camphorhold::coordination::limit::FastestAnswer;
use camphorhold::coordination::limit::pool::MAX_OPENING;
use camphorhold::coordination::limit::pool::Pool;
use camphorhold::coordination::limit::queue::CALLS_PER_SLOT;
use camphorhold::coordination::limit::queue::Queue;
use camphorhold::coordination::limit::queue::Waiting;
use camphorhold::coordination::poison::Admission;
use camphorhold::coordination::poison::EXPIRY;
use camphorhold::coordination::poison::Outcome;
use camphorhold::coordination::poison::Registry;
use camphorhold::coordination::shutdown;
use camphorhold::coordination::shutdown::Shutdown;
use camphorhold::coordination::warmth;
use camphorhold::coordination::warmth::Health;
use camphorhold::coordination::warmth::Temperature;
use camphorhold::coordination::warmth::Warmth;
use camphorhold::state::file::ColdStart;
use camphorhold::state::file::File;
use camphorhold::state::id::Fingerprint;
use camphorhold::state::id::LeafId;
use camphorhold::state::id::ServerIncarnation;
use camphorhold::state::size::Slots;
use proptest::prelude::*;

const DEADLINE: Duration = Duration::from_millis(120);

fn waiting(call: u64, caller: u64) -> Waiting {
    let expires = Instant::now() + DEADLINE;
    Waiting::new(
        CallId(call),
        Caller(caller),
        SystemTime::now(),
        true,
        expires,
    )
}

/// Adds calls of one caller until the queue refuses one. Returns the number of queued calls.
fn fill(queue: &mut Queue, caller: u64) -> u64 {
    let mut call = 0;
    while queue.push(waiting(call, caller)).is_none() {
        call += 1;
    }
    call
}

/// Guards against a caller that fills the queue and so keeps other callers out. A full queue must
/// drop a call of the caller with the most calls.
#[test]
fn a_full_queue_makes_room_for_another_caller() {
    let mut queue = Queue::new(2, DEADLINE);
    assert_eq!(fill(&mut queue, 1), u64::from(2 * CALLS_PER_SLOT));
    let displaced = queue.push(waiting(1_000, 2));
    assert_eq!(displaced.map(|call| call.caller), Some(Caller(1)));
    let displaced = queue.push(waiting(1_001, 1));
    assert_eq!(displaced.map(|call| call.call), Some(CallId(1_001)));
}

/// Guards against a caller with many queued calls that is served more often than one with few.
#[test]
fn waiting_callers_take_turns() {
    let mut queue = Queue::new(2, DEADLINE);
    for call in 0..20 {
        assert_eq!(queue.push(waiting(call, 1)), None);
    }
    for call in 20..23 {
        assert_eq!(queue.push(waiting(call, 2)), None);
    }
    let order = std::iter::from_fn(|| queue.pop());
    let callers: Vec<u64> = order.map(|call| call.caller.0).take(7).collect();
    assert_eq!(callers, [1, 2, 1, 2, 1, 2, 1]);
}

/// Guards against a limit that falls to its minimum after one burst of sheds, falls to 0, or does
/// not rise again with later answers.
#[test]
fn sheds_halve_the_limit_once_per_interval() {
    let now = Instant::now();
    let mut limit = ConcurrencyLimit::new(8);
    limit.shed(now);
    limit.shed(now);
    assert_eq!(limit.limit(), 4);
    for step in 1..10 {
        limit.shed(now + Duration::from_secs(step));
    }
    assert_eq!(limit.limit(), 1);
    for _ in 0..100 {
        limit.answered();
    }
    assert_eq!(limit.limit(), 8);
}

/// Guards against an owner that no longer sends calls to a leaf that was slow once. Without calls,
/// no new answers lower the estimate, so dropped calls must lower it.
#[test]
fn dropped_calls_lower_the_estimate_of_the_answer_time() {
    let mut fastest = FastestAnswer::default();
    assert_eq!(fastest.estimate(), Duration::ZERO);
    fastest.answered(Duration::from_millis(50));
    fastest.answered(Duration::from_millis(80));
    assert!(fastest.estimate() < Duration::from_millis(51));
    let wanted = Duration::from_millis(10);
    let drops = std::iter::repeat_with(|| fastest.dropped());
    let tries = drops.take(30).count();
    assert_eq!(tries, 30);
    assert!(fastest.estimate() < wanted);
}

/// Guards against a known good fingerprint that crashes servers without limit because its crashes
/// outside canaries are not counted.
#[test]
fn crashes_outside_canaries_block_a_known_good_fingerprint() {
    let now = Instant::now();
    let fingerprint = Fingerprint(7);
    let mut registry = Registry::new(4);
    assert_eq!(registry.admit(fingerprint, now), Admission::RunCanary);
    assert_eq!(registry.admit(fingerprint, now), Admission::WaitForCanary);
    registry.canary_finished(fingerprint, Outcome::Ok, now);
    assert_eq!(registry.admit(fingerprint, now), Admission::KnownGood);
    registry.crashed(fingerprint, now);
    assert_eq!(registry.admit(fingerprint, now), Admission::RunCanary);
    registry.canary_finished(fingerprint, Outcome::Crashed, now);
    let until = now + EXPIRY;
    assert_eq!(
        registry.admit(fingerprint, now),
        Admission::Blocked { until }
    );
    assert_eq!(registry.admit(fingerprint, until), Admission::RunCanary);
}

/// Guards against an owner that drops the crash count of one fingerprint to make room for another.
/// The first one could then crash more servers than permitted.
#[test]
fn a_full_registry_refuses_new_fingerprints() {
    let now = Instant::now();
    let mut registry = Registry::new(2);
    for fingerprint in [1, 2] {
        registry.crashed(Fingerprint(fingerprint), now);
    }
    assert_eq!(registry.admit(Fingerprint(3), now), Admission::Full);
    assert_eq!(registry.admit(Fingerprint(1), now), Admission::RunCanary);
    let later = now + EXPIRY;
    assert_eq!(registry.admit(Fingerprint(3), later), Admission::RunCanary);
}

/// Guards against a burst of new connections to a leaf, and against an owner that holds more than
/// half of the leaf's connections: during a handover, two owners share them.
#[test]
fn opening_and_open_connections_are_bounded() {
    let now = Instant::now();
    let mut pool = Pool::new(7, 100);
    let opened = std::iter::from_fn(|| pool.open(now)).count();
    assert_eq!(opened, MAX_OPENING);
    let mut pool = Pool::new(7, 100);
    let mut all = 0;
    while let Some(id) = pool.open(now) {
        all += 1;
        let connection = pool.get_mut(id).expect("it was just added");
        connection.state = camphorhold::coordination::limit::pool::ConnectionState::Idle;
    }
    assert_eq!(all, 3);
}

fn cold_policy() -> warmth::Policy {
    warmth::Policy {
        cold_start: ColdStart {
            concurrency: Slots(1),
            duration: Duration::from_secs(1),
            answers: 3,
        },
        slots: Slots(8),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x0d44),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a wrong health report that raises the limit of a leaf or changes its warmth.
    #[test]
    fn health_reports_never_raise_the_limit(
        steps in prop::collection::vec((0_u8..6, 1_u64..700), 1..80)
    ) {
        let mut now = Instant::now();
        let mut without_reports = Warmth::new(cold_policy());
        let mut with_reports = without_reports.clone();
        for (step, ms) in steps {
            now += Duration::from_millis(ms);
            let answer = |temperature| warmth::Answer {
                epoch: without_reports.epoch(),
                incarnation: ServerIncarnation(1),
                temperature,
                good: true,
            };
            let answer = match step {
                0 => Some(answer(Temperature::Cold)),
                1 | 2 => Some(answer(Temperature::Warm)),
                3 => { with_reports.set_health(Health::Healthy, now); None }
                4 => { with_reports.set_health(Health::Loaded, now); None }
                _ => { with_reports.set_health(Health::Unhealthy, now); None }
            };
            for warmth in [&mut without_reports, &mut with_reports] {
                if let Some(answer) = answer {
                    warmth.answered(answer, false, now);
                }
                warmth.tick(now);
            }
            prop_assert!(with_reports.limit(now) <= without_reports.limit(now));
            prop_assert_eq!(with_reports.state(), without_reports.state());
        }
    }
}

/// Guards against a leaf that returns to service while one of several drain signals is still in
/// force, and against a server's signal that never expires.
#[test]
fn a_leaf_returns_only_when_no_drain_signal_is_in_force() {
    let now = Instant::now();
    let mut status = drain::Status::default();
    status.apply(Signal::Leaving(Source::File), now);
    status.apply(Signal::Leaving(Source::Server), now);
    status.apply(Signal::Returned(Source::File), now);
    assert_eq!(status.leaving(now), Some(Source::Server));
    assert_eq!(status.leaving(now + drain::EXPIRY), None);
    status.apply(Signal::Leaving(Source::File), now);
    assert_eq!(status.leaving(now + 2 * drain::EXPIRY), Some(Source::File));
}

fn file(in_service: bool, leaving: bool) -> File {
    let text = format!(
        r#"
        system = "test"
        objective = "coverage"
        [[failure_domain]]
        name = "a"
        in_service = {in_service}
        [[failure_domain]]
        name = "b"
        [[service]]
        name = "s"
        deadline = "100ms"
        slots = 2
        connections = 4
        shards = 1
        serving = "v1"
        [[service.version]]
        name = "v1"
        leafs = [{{ address = "127.0.0.1:7001", shard = 0, failure_domain = "a", leaving = {leaving} }}]
        "#
    );
    File::parse(&text).expect("the file is valid")
}

/// Guards against a leaf that still receives work although the operators' file marks it as leaving
/// or takes its failure domain out of service, and against a change of the file that clears the
/// server's own signal.
#[test]
fn the_file_drains_leafs_and_clears_only_its_own_signal() {
    let now = Instant::now();
    let leaf: LeafId = "127.0.0.1:7001"
        .parse()
        .expect("a constant address is valid");
    let mut table = drain::Table::default();
    for (in_service, leaving) in [(false, false), (true, true)] {
        table.apply_file(&file(in_service, leaving), now);
        assert_eq!(table.leaving(leaf, now), Some(Source::File));
        table.apply_file(&file(true, false), now);
        assert_eq!(table.leaving(leaf, now), None);
    }
    table.apply(leaf, Signal::Leaving(Source::Server), now);
    table.apply_file(&file(true, false), now);
    assert_eq!(table.leaving(leaf, now), Some(Source::Server));
}

/// Guards against a drain answer that never expires because each instance that relays it starts its
/// age at zero.
#[test]
fn relayed_drain_answers_keep_their_age() {
    let now = Instant::now() + drain::EXPIRY;
    let leaf: LeafId = "127.0.0.1:7001"
        .parse()
        .expect("a constant address is valid");
    let mut table = drain::Table::default();
    let (age, rest) = (Duration::from_mins(4), Duration::from_mins(6));
    assert_eq!(age + rest, drain::EXPIRY);
    table.merge_drain_answer(leaf, age, now);
    assert_eq!(table.leaving(leaf, now), Some(Source::Server));
    let passed: Vec<_> = table.drain_answers(now).collect();
    assert_eq!(passed, [(leaf, age)]);
    assert_eq!(table.leaving(leaf, now + rest), None);
}

/// Guards against a shutdown that aborts requests although all of them end in time, because it
/// releases or exits before they have ended.
#[test]
fn a_shutdown_waits_for_work_and_release() {
    let now = Instant::now();
    let mut shutdown = Shutdown::default();
    let busy = shutdown::InFlight {
        requests: 2,
        leaf_calls: 5,
    };
    let mut handle = |input| shutdown.handle(input, now);
    assert_eq!(handle(shutdown::Input::InFlight(busy)), []);
    assert_eq!(
        handle(shutdown::Input::Signal),
        [shutdown::Action::TurnReadinessOff]
    );
    assert_eq!(
        handle(shutdown::Input::BalancerWaitElapsed),
        [shutdown::Action::RefuseNewWork]
    );
    assert_eq!(handle(shutdown::Input::Released), []);
    let idle = shutdown::InFlight::default();
    assert_eq!(
        handle(shutdown::Input::InFlight(idle)),
        [shutdown::Action::Release]
    );
    assert_eq!(
        handle(shutdown::Input::Released),
        [shutdown::Action::Exit { cut: 0 }]
    );
    assert_eq!(handle(shutdown::Input::Tick), []);
}

/// Guards against a request that is aborted because the instance accepted it after the last count
/// of work and before it refused new work. Only a count after the refusal may lead to the release.
#[test]
fn a_shutdown_counts_work_again_after_it_refuses_new_work() {
    let now = Instant::now();
    let mut shutdown = Shutdown::default();
    let mut handle = |input| shutdown.handle(input, now);
    let idle = shutdown::InFlight::default();
    handle(shutdown::Input::Signal);
    handle(shutdown::Input::InFlight(idle));
    assert_eq!(
        handle(shutdown::Input::BalancerWaitElapsed),
        [shutdown::Action::RefuseNewWork]
    );
    let busy = shutdown::InFlight {
        requests: 1,
        leaf_calls: 0,
    };
    assert_eq!(handle(shutdown::Input::InFlight(busy)), []);
    assert_eq!(
        handle(shutdown::Input::InFlight(idle)),
        [shutdown::Action::Release]
    );
}

/// Guards against a shutdown that never ends because the balancer wait, a request or the release
/// hangs.
#[test]
fn a_shutdown_ends_within_its_timeout() {
    let start = Instant::now();
    for hanging in [0_u64, 3] {
        let mut shutdown = Shutdown::default();
        let in_flight = shutdown::InFlight {
            requests: hanging,
            leaf_calls: hanging,
        };
        shutdown.handle(shutdown::Input::InFlight(in_flight), start);
        shutdown.handle(shutdown::Input::Signal, start);
        let mut actions = Vec::new();
        for second in 1..=shutdown::SHUTDOWN_TIMEOUT.as_secs() {
            let now = start + Duration::from_secs(second);
            actions.extend(shutdown.handle(shutdown::Input::Tick, now));
        }
        assert_eq!(shutdown.state(), shutdown::State::Closed);
        assert_eq!(
            actions.last(),
            Some(&shutdown::Action::Exit { cut: hanging })
        );
    }
}
