//! Tests of the parts of a rollout on their own: shares, evidence, conclusions.

use std::time::Duration;

use camphorhold::coordination::rollout::Reason;
use camphorhold::coordination::rollout::STEPS_PERMILLE;
use camphorhold::coordination::rollout::Stage;
use camphorhold::coordination::rollout::conclusion::Conclusion;
use camphorhold::coordination::rollout::conclusion::Observer;
use camphorhold::coordination::rollout::conclusion::View;
use camphorhold::coordination::rollout::evidence::Pool;
use camphorhold::coordination::rollout::evidence::Recorder;
use camphorhold::coordination::rollout::evidence::Report;
use camphorhold::coordination::rollout::evidence::Sample;
use camphorhold::coordination::rollout::share::Side;
use camphorhold::coordination::rollout::share::side;
use camphorhold::state::id::InstanceId;
use camphorhold::state::id::RolloutId;
use camphorhold::state::id::Route;
use camphorhold::state::id::ServiceName;
use camphorhold::state::time::from_unix_millis;

fn rollout() -> RolloutId {
    "move-1".parse().expect("a valid name")
}

/// Guards against a skewed hash, and against requests that return to the old version as the share
/// grows.
#[test]
fn shares_are_exact_within_binomial_slack_and_only_grow() {
    let total = 50_000_u32;
    let rollout = rollout();
    let news = |key: u32, share| side(&rollout, &key.to_be_bytes(), share) == Side::New;
    for (position, share) in STEPS_PERMILLE.iter().enumerate() {
        let sent = (0..total).filter(|key| news(*key, *share)).count();
        let expected = f64::from(total) * f64::from(*share) / 1_000.0;
        let deviation = (expected * (1.0 - f64::from(*share) / 1_000.0)).sqrt();
        let sent = f64::from(u32::try_from(sent).expect("small"));
        assert!(
            (sent - expected).abs() <= 5.0 * deviation,
            "{sent} at {share}"
        );
        for later in &STEPS_PERMILLE[position..] {
            assert!((0..total).all(|key| !news(key, *share) || news(key, *later)));
        }
    }
    assert!((0..total).all(|key| !news(key, 0) && news(key, 1_000)));
}

/// Guards against the same callers being first in every rollout.
#[test]
fn different_rollouts_choose_different_requests() {
    let other: RolloutId = "move-2".parse().expect("a valid name");
    let rollout = rollout();
    let both = |key: &u32| {
        side(&rollout, &key.to_be_bytes(), 100) == Side::New
            && side(&other, &key.to_be_bytes(), 100) == Side::New
    };
    // Independent choices share 1 % of 50,000 requests, 500, with a deviation of 22.
    let shared = (0..50_000_u32).filter(both).count();
    assert!((390..610).contains(&shared), "{shared}");
}

struct Names {
    rollout: RolloutId,
    service: ServiceName,
    route: Route,
}

impl Names {
    fn new() -> Self {
        Self {
            rollout: rollout(),
            service: "roster".parse().expect("a valid name"),
            route: "search".parse().expect("a valid name"),
        }
    }

    fn sample(&self, side: Side, share_permille: u16, milliseconds: u64) -> Sample<'_> {
        Sample {
            rollout: &self.rollout,
            share_permille,
            service: &self.service,
            route: &self.route,
            side,
            failed: false,
            latency: Duration::from_millis(milliseconds),
        }
    }
}

/// Guards against a late report that overwrites a newer one, and against double counting.
#[test]
fn the_pool_keeps_the_latest_report_of_each_instance() {
    let names = Names::new();
    let mut recorder = Recorder::default();
    recorder.begin_step(&names.rollout, 10);
    recorder.record(names.sample(Side::New, 10, 5));
    let early = recorder.report().clone();
    recorder.record(names.sample(Side::New, 10, 5));
    let late = recorder.report().clone();
    let mut pool = Pool::default();
    assert!(pool.merge(InstanceId(1), &late));
    assert!(!pool.merge(InstanceId(1), &early));
    assert!(!pool.merge(InstanceId(1), &late));
    let held: Vec<&Report> = pool.iter().map(|(_, report)| report).collect();
    assert_eq!(held, [&late]);
}

/// Guards against requests admitted under an earlier share that count for the present step.
#[test]
fn a_new_share_starts_from_zero_and_ignores_earlier_requests() {
    let names = Names::new();
    let mut recorder = Recorder::default();
    recorder.begin_step(&names.rollout, 10);
    recorder.record(names.sample(Side::New, 10, 5));
    recorder.begin_step(&names.rollout, 50);
    recorder.record(names.sample(Side::New, 10, 5));
    assert!(recorder.report().rollouts[&names.rollout].routes.is_empty());
    recorder.record(names.sample(Side::New, 50, 5));
    let pair = recorder.report().rollouts[&names.rollout].routes[&names.service][&names.route];
    assert_eq!(pair.new.requests, 1);
}

/// Guards against a p95 that is far off: of steady latencies of the old version, 5 % are slow, and
/// a version of four times the latency is slow in most requests.
#[test]
fn about_one_in_twenty_of_the_old_version_is_slow() {
    let names = Names::new();
    let mut recorder = Recorder::default();
    recorder.begin_step(&names.rollout, 500);
    for number in 0..20_000_u64 {
        let latency = 20 + (number * 7_919) % 100;
        recorder.record(names.sample(Side::Old, 500, latency));
        recorder.record(names.sample(Side::New, 500, 4 * latency));
    }
    let pair = recorder.report().rollouts[&names.rollout].routes[&names.service][&names.route];
    assert!((600..1_400).contains(&pair.old.slow), "{pair:?}");
    assert!(pair.new.slow > 10_000, "{pair:?}");
}

/// Guards against reports that outgrow gossip: 200 bytes for a rollout of two services with three
/// routes each must suffice.
#[test]
fn a_report_is_compact() {
    let names = Names::new();
    let mut recorder = Recorder::default();
    recorder.begin_step(&names.rollout, 500);
    for service in ["round-app", "roster"] {
        for route in ["search", "lookup", "confirm"] {
            let service = service.parse().expect("a valid name");
            let route = route.parse().expect("a valid name");
            for _ in 0..100 {
                recorder.record(Sample {
                    service: &service,
                    route: &route,
                    ..names.sample(Side::Old, 500, 5)
                });
            }
        }
    }
    let bytes = postcard::to_stdvec(recorder.report()).expect("serialisable");
    assert!(bytes.len() <= 200, "{} bytes", bytes.len());
    let read: Report = postcard::from_bytes(&bytes).expect("readable");
    assert_eq!(&read, recorder.report());
}

const DEADLINE_MS: u64 = 100_000;

fn running() -> Stage {
    Stage::Running {
        share_permille: 200,
        since_unix_ms: 0,
    }
}

fn conclude(observer: &mut Observer, stage: &Stage, current: bool, at_ms: u64) -> Conclusion {
    let view = View {
        stage,
        revoked: false,
        current,
    };
    let deadline = from_unix_millis(DEADLINE_MS);
    observer.conclude(view, deadline, from_unix_millis(at_ms))
}

/// Guards against an instance that goes on with the new version after the deadline, and one that
/// accepts a completion it learned too late.
#[test]
fn a_current_instance_without_completion_takes_back_at_the_deadline() {
    let mut observer = Observer::default();
    let before = conclude(&mut observer, &running(), true, DEADLINE_MS - 500);
    assert_eq!(before, Conclusion::Share(200));
    let late = conclude(&mut observer, &Stage::Completed, true, DEADLINE_MS + 10);
    assert_eq!(late, Conclusion::TakenBack);
    assert!(observer.missed_deadline());
    let later = conclude(&mut observer, &Stage::Completed, true, DEADLINE_MS + 90_000);
    assert_eq!(later, Conclusion::TakenBack);
}

/// Guards against a completed rollout that an instance undoes because it started after the
/// deadline or was cut off while the deadline passed.
#[test]
fn an_instance_that_was_not_current_follows_the_record() {
    let mut started_later = Observer::default();
    let conclusion = conclude(
        &mut started_later,
        &Stage::Completed,
        true,
        DEADLINE_MS + 10,
    );
    assert_eq!(conclusion, Conclusion::Completed);

    let mut cut_off = Observer::default();
    conclude(&mut cut_off, &running(), true, DEADLINE_MS - 60_000);
    let without_evidence = conclude(&mut cut_off, &running(), false, DEADLINE_MS + 10);
    assert_eq!(without_evidence, Conclusion::TakenBack);
    let rejoined = conclude(&mut cut_off, &Stage::Completed, true, DEADLINE_MS + 90_000);
    assert_eq!(rejoined, Conclusion::Completed);
}

/// Guards against traffic to a revoked version while the record is still out of date.
#[test]
fn a_revocation_goes_before_the_record() {
    let view = View {
        stage: &Stage::Completed,
        revoked: true,
        current: true,
    };
    let deadline = from_unix_millis(DEADLINE_MS);
    let conclusion = Observer::default().conclude(view, deadline, from_unix_millis(5));
    assert_eq!(conclusion, Conclusion::TakenBack);
    assert_eq!(conclusion.share_permille(), 0);
}

/// Guards against a completion that a later verdict cannot undo.
#[test]
fn a_completion_learned_in_time_stands_until_the_record_says_otherwise() {
    let mut observer = Observer::default();
    conclude(&mut observer, &Stage::Completed, true, DEADLINE_MS - 31_000);
    let after = conclude(&mut observer, &Stage::Completed, true, DEADLINE_MS + 1_000);
    assert_eq!(after, Conclusion::Completed);
    let reason = Reason::Revoked;
    let taken_back = Stage::TakenBack { reason };
    let end = conclude(&mut observer, &taken_back, true, DEADLINE_MS + 2_000);
    assert_eq!(end, Conclusion::TakenBack);
}
