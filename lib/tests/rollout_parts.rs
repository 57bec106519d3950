//! Tests of single parts of a rollout: shares, evidence and conclusions.

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

/// Guards against a biased hash, which would send more or fewer requests to the new version than
/// the share states, and against requests that return to the old version when the share grows.
#[test]
fn requests_match_each_share_and_stay_with_the_new_version() {
    let total = 50_000_u32;
    let rollout = rollout();
    let is_new = |key: u32, share| side(&rollout, &key.to_be_bytes(), share) == Side::New;
    for (position, share) in STEPS_PERMILLE.iter().enumerate() {
        let sent = (0..total).filter(|key| is_new(*key, *share)).count();
        let expected = f64::from(total) * f64::from(*share) / 1_000.0;
        let deviation = (expected * (1.0 - f64::from(*share) / 1_000.0)).sqrt();
        let sent = f64::from(u32::try_from(sent).expect("small"));
        assert!(
            (sent - expected).abs() <= 5.0 * deviation,
            "{sent} at {share}"
        );
        for later in &STEPS_PERMILLE[position..] {
            assert!((0..total).all(|key| !is_new(key, *share) || is_new(key, *later)));
        }
    }
    assert!((0..total).all(|key| !is_new(key, 0) && is_new(key, 1_000)));
}

/// Guards against a hash that does not depend on the rollout. The same requests would then be the
/// first to go to the new version in every rollout.
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

/// Guards against a delayed report that replaces a newer one of the same instance, and against
/// requests that are counted twice because a report arrives twice.
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

/// Guards against requests that were admitted under an earlier share, end later, and are counted
/// for the current step.
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

/// Guards against an inaccurate estimate of the p95. While the latencies of the old version do not
/// change, about 5 % of its requests must count as slow, and most requests of a version with four
/// times the latency.
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

/// Guards against reports that are too large for gossip. A report on a rollout of two services with
/// three routes each must fit in 200 bytes.
#[test]
fn a_report_on_two_services_fits_in_200_bytes() {
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

/// Guards against an instance that still sends requests to the new version after the deadline, and
/// against one that follows a completion of which it learned after the deadline.
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

/// Guards against an instance that sends requests to the old version of a completed rollout because
/// it started after the deadline, or was partitioned when the deadline passed.
#[test]
fn an_instance_that_was_not_current_at_the_deadline_follows_the_record() {
    let mut started_later = Observer::default();
    let conclusion = conclude(
        &mut started_later,
        &Stage::Completed,
        true,
        DEADLINE_MS + 10,
    );
    assert_eq!(conclusion, Conclusion::Completed);

    let mut partitioned = Observer::default();
    conclude(&mut partitioned, &running(), true, DEADLINE_MS - 60_000);
    let without_evidence = conclude(&mut partitioned, &running(), false, DEADLINE_MS + 10);
    assert_eq!(without_evidence, Conclusion::TakenBack);
    let rejoined = conclude(
        &mut partitioned,
        &Stage::Completed,
        true,
        DEADLINE_MS + 90_000,
    );
    assert_eq!(rejoined, Conclusion::Completed);
}

/// Guards against requests to a revoked version while the instance still holds a record in which
/// the rollout is completed.
#[test]
fn a_revocation_takes_precedence_over_the_record() {
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

/// Guards against an instance that takes a completed rollout back when the deadline passes, and
/// against one that ignores a later stage because it has seen the completion.
#[test]
fn a_completion_seen_before_the_deadline_holds_until_the_record_changes() {
    let mut observer = Observer::default();
    conclude(&mut observer, &Stage::Completed, true, DEADLINE_MS - 31_000);
    let after = conclude(&mut observer, &Stage::Completed, true, DEADLINE_MS + 1_000);
    assert_eq!(after, Conclusion::Completed);
    let reason = Reason::Revoked;
    let taken_back = Stage::TakenBack { reason };
    let end = conclude(&mut observer, &taken_back, true, DEADLINE_MS + 2_000);
    assert_eq!(end, Conclusion::TakenBack);
}
