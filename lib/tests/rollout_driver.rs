//! Tests of single decisions of a rollout's driver.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::SystemTime;

use camphorhold::coordination::rollout::COMPLETION_MARGIN;
use camphorhold::coordination::rollout::Plan;
use camphorhold::coordination::rollout::Reason;
use camphorhold::coordination::rollout::Stage;
use camphorhold::coordination::rollout::conclusion::View;
use camphorhold::coordination::rollout::driver::Action;
use camphorhold::coordination::rollout::driver::Driver;
use camphorhold::coordination::rollout::driver::Input;
use camphorhold::coordination::rollout::driver::MIN_STEP_DURATION;
use camphorhold::coordination::rollout::evidence::Counters;
use camphorhold::coordination::rollout::evidence::Pair;
use camphorhold::coordination::rollout::evidence::Pool;
use camphorhold::coordination::rollout::evidence::Report;
use camphorhold::coordination::rollout::evidence::Step;
use camphorhold::state::id::InstanceId;
use camphorhold::state::time::from_unix_millis;

const START_MS: u64 = 1_000_000;
const DEADLINE_MS: u64 = START_MS + 600_000;

/// The shares of no proposal.
const NO_SHARES: [u16; 0] = [];

fn driver() -> Driver {
    Driver::new(Plan {
        rollout: "move-1".parse().expect("a valid name"),
        services: vec!["roster".parse().expect("a valid name")],
        to: "v2".parse().expect("a valid name"),
        deadline: from_unix_millis(DEADLINE_MS),
    })
}

/// Returns the evidence of one instance: 5,000 requests per version and sequence number, of which
/// the new version has `new_failures` more failures than the old one.
fn evidence(sequence: u64, share_permille: u16, new_failures: u64) -> Pool {
    let sound = Counters {
        requests: 5_000 * sequence,
        failures: 25 * sequence,
        timed: 5_000 * sequence,
        slow: 250 * sequence,
    };
    let new = Counters {
        failures: sound.failures + new_failures,
        ..sound
    };
    let routes = BTreeMap::from([(
        "search".parse().expect("a valid name"),
        Pair { old: sound, new },
    )]);
    let step = Step {
        share_permille,
        routes: BTreeMap::from([("roster".parse().expect("a valid name"), routes)]),
    };
    let report = Report {
        sequence,
        rollouts: BTreeMap::from([("move-1".parse().expect("a valid name"), step)]),
    };
    let mut pool = Pool::default();
    pool.merge(InstanceId(1), &report);
    pool
}

fn running(share_permille: u16) -> Stage {
    Stage::Running {
        share_permille,
        since_unix_ms: START_MS,
    }
}

fn input<'a>(stage: &'a Stage, evidence: &'a Pool, wall: SystemTime) -> Input<'a> {
    Input {
        wall,
        view: View {
            stage,
            revoked: false,
            current: true,
        },
        evidence,
        driving: true,
        rank: 0,
        missed_deadline: false,
    }
}

/// Returns the proposed stages.
fn proposals(actions: &[Action]) -> Vec<Stage> {
    let stage = |action: &Action| match action {
        Action::ProposeStage { stage, .. } => Some(stage.clone()),
        _ => None,
    };
    actions.iter().filter_map(stage).collect()
}

/// Returns the shares of the proposed stages, in thousandths.
fn shares(actions: &[Action]) -> Vec<u16> {
    proposals(actions)
        .iter()
        .map(Stage::share_permille)
        .collect()
}

/// Guards against a rollout that passes through its steps within seconds at high load, where the
/// proof takes less than a second. A fault that appears only after some time would then affect a
/// larger share.
#[test]
fn a_step_lasts_at_least_the_minimum_duration() {
    let mut driver = driver();
    let (stage, evidence) = (running(10), evidence(1, 10, 0));
    let begin = from_unix_millis(START_MS);
    let early = begin + MIN_STEP_DURATION - Duration::from_millis(1);
    assert_eq!(
        shares(&driver.tick(input(&stage, &evidence, early))),
        NO_SHARES
    );
    let due = begin + MIN_STEP_DURATION;
    assert_eq!(shares(&driver.tick(input(&stage, &evidence, due))), [50]);
}

/// Guards against a driver that raises the share after enough time without any evidence.
#[test]
fn a_step_without_evidence_does_not_advance() {
    let mut driver = driver();
    let (stage, evidence) = (running(10), Pool::default());
    let late = from_unix_millis(START_MS) + MIN_STEP_DURATION * 20;
    assert_eq!(
        shares(&driver.tick(input(&stage, &evidence, late))),
        NO_SHARES
    );
}

/// Guards against a driver that raises the share on the evidence of an earlier step, because
/// reports of that step are still in the pool.
#[test]
fn evidence_of_an_earlier_step_does_not_count() {
    let mut driver = driver();
    let (stage, evidence) = (running(50), evidence(1, 10, 0));
    let late = from_unix_millis(START_MS) + MIN_STEP_DURATION * 20;
    assert_eq!(
        shares(&driver.tick(input(&stage, &evidence, late))),
        NO_SHARES
    );
}

/// Guards against a rollout that stops because a proposal was lost, and against a driver that
/// repeats its proposal at every tick.
#[test]
fn a_proposal_is_repeated_only_after_its_timeout() {
    let mut driver = driver();
    let (stage, evidence) = (running(10), evidence(1, 10, 0));
    let due = from_unix_millis(START_MS) + MIN_STEP_DURATION;
    let at = |millis| due + Duration::from_millis(millis);
    assert_eq!(shares(&driver.tick(input(&stage, &evidence, at(0)))), [50]);
    assert_eq!(
        shares(&driver.tick(input(&stage, &evidence, at(1_999)))),
        NO_SHARES
    );
    assert_eq!(
        shares(&driver.tick(input(&stage, &evidence, at(2_000)))),
        [50]
    );
}

/// Guards against a completion that is proposed so late that some instances learn of it only after
/// the deadline. They would conclude that the rollout is taken back.
#[test]
fn no_completion_is_proposed_within_the_completion_margin() {
    let deadline = from_unix_millis(DEADLINE_MS);
    let (stage, evidence) = (running(1000), evidence(1, 1000, 0));
    let in_time = deadline - COMPLETION_MARGIN - Duration::from_millis(1);
    let actions = driver().tick(input(&stage, &evidence, in_time));
    assert_eq!(proposals(&actions), [Stage::Completed]);
    let actions = driver().tick(input(&stage, &evidence, deadline - COMPLETION_MARGIN));
    assert!(proposals(&actions).is_empty());
}

/// Guards against a rollout that does not end because the driving instance is paused, and against
/// an instance without a current record that takes it back.
#[test]
fn any_current_instance_proposes_to_take_back_near_the_deadline() {
    let deadline = from_unix_millis(DEADLINE_MS);
    let (stage, evidence) = (running(200), Pool::default());
    let taken_back = Stage::TakenBack {
        reason: Reason::Deadline,
    };
    let mut standby = input(&stage, &evidence, deadline - COMPLETION_MARGIN / 2);
    standby.driving = false;
    assert_eq!(proposals(&driver().tick(standby)), [taken_back]);
    standby.view.current = false;
    assert!(proposals(&driver().tick(standby)).is_empty());
}

/// Guards against a driver that stops judging at the completion. A version that turns bad only
/// afterwards would then keep its traffic although the old version still runs.
#[test]
fn a_completed_rollout_is_still_judged() {
    let mut driver = driver();
    let history = evidence(1, 500, 0);
    let wall = from_unix_millis(START_MS);
    driver.tick(input(&running(500), &history, wall));
    let sound = evidence(1, 1000, 0);
    let actions = driver.tick(input(&Stage::Completed, &sound, wall));
    assert!(proposals(&actions).is_empty());
    let failing = evidence(2, 1000, 4_000);
    let actions = driver.tick(input(&Stage::Completed, &failing, wall));
    let revokes = |action: &Action| matches!(action, Action::Revoke { .. });
    assert!(actions.iter().any(revokes), "{actions:?}");
    assert!(
        matches!(
            proposals(&actions)[..],
            [Stage::TakenBack {
                reason: Reason::Failing { .. }
            }]
        ),
        "{actions:?}"
    );
}

/// Guards against an instance that does not drive the rollout and acts on its own verdict.
#[test]
fn only_the_driving_instance_acts_on_a_verdict() {
    let (stage, failing) = (running(200), evidence(1, 200, 4_000));
    let wall = from_unix_millis(START_MS);
    let mut standby = input(&stage, &failing, wall);
    standby.driving = false;
    let mut driver = driver();
    let actions = driver.tick(standby);
    assert!(matches!(actions[..], [Action::Event { .. }]), "{actions:?}");
    standby.driving = true;
    assert!(!proposals(&driver.tick(standby)).is_empty());
}

/// Guards against a proof that also counts for larger shares. It is no evidence of how the new
/// version behaves under their load.
#[test]
fn each_step_needs_its_own_proof() {
    let mut driver = driver();
    let evidence = evidence(1, 10, 0);
    let due = from_unix_millis(START_MS) + MIN_STEP_DURATION;
    let first = running(10);
    assert_eq!(shares(&driver.tick(input(&first, &evidence, due))), [50]);
    for share in [50, 200, 500, 1000] {
        let stage = running(share);
        let late = due + MIN_STEP_DURATION * 5;
        let proposed = shares(&driver.tick(input(&stage, &evidence, late)));
        assert_eq!(proposed, NO_SHARES, "at {share}");
    }
}

/// Guards against 1,900 instances that write to the store at the same time near the deadline. An
/// instance of a higher rank proposes later, and repeats its proposal after a longer time.
#[test]
fn instances_propose_to_take_back_in_the_order_of_their_ranks() {
    let deadline = from_unix_millis(DEADLINE_MS);
    let (stage, evidence) = (running(200), Pool::default());
    let mut driver = driver();
    let mut proposed_at = Vec::new();
    for second in 0..120 {
        let wall = deadline - COMPLETION_MARGIN / 2 + Duration::from_secs(second);
        let mut standby = input(&stage, &evidence, wall);
        (standby.driving, standby.rank) = (false, 40);
        if !proposals(&driver.tick(standby)).is_empty() {
            proposed_at.push(second);
        }
    }
    assert_eq!(proposed_at, [20, 42, 64, 86, 108]);
}

/// Guards against a completion that stays in the record although it was written after the deadline
/// and all current instances ignore it. An instance that starts later would follow it.
#[test]
fn a_late_completion_is_overwritten() {
    let after = from_unix_millis(DEADLINE_MS) + Duration::from_secs(5);
    let evidence = Pool::default();
    let mut ignoring = input(&Stage::Completed, &evidence, after);
    (ignoring.driving, ignoring.missed_deadline) = (false, true);
    let reason = Reason::Deadline;
    let actions = driver().tick(ignoring);
    assert_eq!(proposals(&actions), [Stage::TakenBack { reason }]);
}
