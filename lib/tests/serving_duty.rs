//! Tests of the duty that one instance at a time holds. `duty_world` plays several processes and the
//! store in virtual time.

#![allow(
    clippy::unwrap_used,
    reason = "a broken assumption of the test is a failure"
)]

#[path = "duty_world/mod.rs"]
mod duty_world;

use std::time::Duration;

use camphorhold::coordination::serving::Duty;
use camphorhold::coordination::serving::duty::Action;
use camphorhold::coordination::serving::duty::Claim;
use camphorhold::coordination::serving::duty::ClaimOutcome;
use camphorhold::coordination::serving::duty::Epoch;
use camphorhold::coordination::serving::duty::Grant;
use camphorhold::coordination::serving::duty::Holder;
use camphorhold::coordination::serving::duty::RenewalOutcome;
use camphorhold::coordination::serving::duty::Times;
use duty_world::World;

const TIMES: Times = Times {
    lease: Duration::from_secs(3),
    thaw: Duration::from_millis(300),
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Later than the time that a process waits because an earlier one of its name may have acted.
const STARTED_UP: Duration = Duration::from_secs(100);

fn duty(name: &str) -> Duty {
    let mut duty = Duty::new(name.into(), TIMES, Duration::ZERO);
    duty.on_listed(Duration::ZERO);
    duty
}

fn grant(sent: Duration) -> Grant {
    Grant {
        lease: 1,
        lifetime: TIMES.lease,
        sent,
        era: 1,
    }
}

/// Takes the duty over at `now`, with the items written at `revision`.
fn take_over(duty: &mut Duty, revision: u64, now: Duration) -> Claim {
    let claim = duty.claim(grant(now), revision * 1_000).unwrap();
    duty.on_claim(ClaimOutcome::Written(revision), now);
    claim
}

fn other(epoch: u64) -> Holder {
    Holder {
        name: "b".into(),
        epoch: Epoch(epoch),
        attempt: 77,
    }
}

/// Guards against all candidates trying at the same time, each for the price of two calls.
#[test]
fn candidates_try_one_after_the_other() {
    let mut duty = duty("a");
    let gone = STARTED_UP;
    duty.on_holder(other((1 << 32) + 1), 5, Duration::ZERO);
    duty.on_holder_removed(Some(6), gone);
    assert_eq!(duty.next(Some(2), 1, gone), Action::Wait(gone + ms(400)));
    let due = gone + ms(400);
    assert_eq!(duty.next(Some(2), 1, due), Action::RequestLease);
    assert_eq!(duty.next(None, 1, due), Action::Wait(Duration::MAX));
    duty.on_holder(other((1 << 32) + 2), 7, due);
    assert_eq!(duty.next(Some(0), 1, due), Action::Wait(Duration::MAX));
}

/// Guards against two holders after two candidates raced: the loser's write is conditional.
#[test]
fn the_loser_of_a_race_does_not_act_and_learns_the_epoch() {
    let mut duty = duty("a");
    let claim = duty.claim(grant(STARTED_UP), 1).unwrap();
    assert_eq!((claim.expected_holder, claim.expected_epoch), (0, 0));
    duty.on_holder(other((1 << 32) + 1), 9, STARTED_UP);
    duty.on_epoch(Epoch((1 << 32) + 1), "b".into(), 9);
    duty.on_claim(ClaimOutcome::Refused, STARTED_UP);
    let later = STARTED_UP + ms(2_000);
    assert_eq!(duty.right(later), None);
    assert_eq!(duty.next(Some(0), 1, later), Action::Wait(Duration::MAX));
    duty.on_holder_removed(Some(10), later);
    let claim = duty.claim(grant(later), 2).unwrap();
    assert_eq!(claim.holder.epoch, Epoch((1 << 32) + 2));
    assert_eq!((claim.expected_holder, claim.expected_epoch), (0, 9));
}

/// Guards against a duty that stays unused for a lease, or is used without being held, after the
/// answer to the write was lost.
#[test]
fn a_lost_answer_is_resolved_by_a_read() {
    for stood in [true, false] {
        let mut duty = duty("a");
        let claim = duty.claim(grant(STARTED_UP), 1).unwrap();
        let now = STARTED_UP + ms(1_500);
        duty.on_claim(ClaimOutcome::Unknown, now);
        assert_eq!(duty.right(now + ms(400)), None);
        assert_eq!(duty.next(Some(0), 1, now), Action::Resolve);
        duty.on_resolved(false, now);
        assert_eq!(duty.next(Some(0), 1, now), Action::Wait(now + ms(200)));
        let now = now + ms(200);
        if stood {
            duty.on_holder(claim.holder.clone(), 4, now);
        }
        duty.on_resolved(true, now);
        let right = duty.right(now + TIMES.thaw);
        assert_eq!(right.is_some(), stood);
        if let Some(right) = right {
            assert_eq!(right.deadline, STARTED_UP + ms(2_940));
        }
    }
}

/// Guards against a holder that goes on after its lease has ended, also with a slow clock, or that
/// counts a renewal from its answer instead of from when it was sent.
#[test]
fn a_holder_acts_until_shortly_before_the_end_of_its_lease() {
    let mut duty = duty("a");
    take_over(&mut duty, 1, STARTED_UP);
    assert_eq!(duty.right(STARTED_UP + ms(299)), None);
    assert!(duty.right(STARTED_UP + ms(300)).is_some());
    assert!(duty.right(STARTED_UP + ms(2_939)).is_some());
    assert_eq!(duty.right(STARTED_UP + ms(2_940)), None);
    let sent = STARTED_UP + ms(1_000);
    assert_eq!(duty.next(Some(0), 1, sent), Action::Renew(1));
    duty.on_renewal(RenewalOutcome::Renewed, sent, sent + ms(700));
    assert!(duty.right(sent + ms(2_939)).is_some());
    assert_eq!(duty.right(sent + ms(2_940)), None);
    // Suspended until then.
    let resumed = sent + ms(60_000);
    assert_eq!(duty.right(resumed), None);
    assert_eq!(duty.held_epoch(resumed), None);
    duty.next(Some(0), 1, resumed);
    duty.on_renewal(RenewalOutcome::Renewed, resumed, resumed);
    assert_eq!(duty.right(resumed + ms(400)), None);
}

/// Guards against a holder that goes on although the store says that its lease is gone, or that
/// another instance holds the duty.
#[test]
fn a_holder_that_was_replaced_stops() {
    let now = STARTED_UP + ms(500);
    let mut gone = duty("a");
    take_over(&mut gone, 5, STARTED_UP);
    let mut replaced = gone.clone();
    let mut removed = gone.clone();
    gone.on_renewal(RenewalOutcome::Gone, now, now);
    assert_eq!(gone.right(now), None);
    replaced.on_holder(other(1 << 40), 6, now);
    assert_eq!(replaced.right(now), None);
    // The removal of the holder before, read late.
    removed.on_holder_removed(Some(4), now);
    assert!(removed.right(now).is_some());
    removed.on_holder_removed(Some(6), now);
    assert_eq!(removed.right(now), None);
}

/// Guards against the order A, B, A within the time of a lease.
#[test]
fn an_instance_that_has_the_duty_back_waits_for_a_lease() {
    let mut duty = duty("a");
    take_over(&mut duty, 1, STARTED_UP);
    let lost = STARTED_UP + ms(400);
    duty.on_holder_removed(Some(2), lost);
    duty.on_holder(other((1 << 32) + 2), 3, lost);
    duty.on_epoch(Epoch((1 << 32) + 2), "b".into(), 3);
    let back = lost + ms(100);
    duty.on_holder_removed(Some(4), back);
    take_over(&mut duty, 5, back);
    duty.on_renewal(RenewalOutcome::Renewed, back + ms(1_000), back + ms(1_000));
    assert_eq!(duty.right(back + ms(3_000)), None);
    assert!(duty.right(back + ms(3_062)).is_some());
}

/// Guards against the same order if the first process was killed and started again under its name.
#[test]
fn a_process_that_has_just_started_waits_for_a_lease() {
    let mut duty = duty("a");
    take_over(&mut duty, 1, ms(100));
    duty.on_renewal(RenewalOutcome::Renewed, ms(1_100), ms(1_100));
    assert_eq!(duty.right(ms(2_900)), None);
    assert!(duty.right(ms(3_062)).is_some());
}

/// Guards against a process that takes the item of an earlier process of its name for its own.
#[test]
fn the_item_of_an_earlier_process_of_the_same_name_is_not_used() {
    let mut duty = duty("a");
    let earlier = Holder {
        name: "a".into(),
        epoch: Epoch((1 << 32) + 4),
        attempt: 12,
    };
    duty.on_holder(earlier, 8, STARTED_UP);
    assert_eq!(duty.right(STARTED_UP + ms(500)), None);
    assert_eq!(
        duty.next(Some(0), 1, STARTED_UP),
        Action::Wait(Duration::MAX)
    );
    duty.on_holder_removed(Some(9), STARTED_UP);
    let claim = duty.claim(grant(STARTED_UP), 13).unwrap();
    assert_eq!(claim.holder.epoch, Epoch((1 << 32) + 5));
}

/// Guards against an epoch that is given out again by a store that was restored, and against a
/// holder beside one that has not noticed the restore.
#[test]
fn a_restored_store_gets_a_higher_epoch_after_the_lease() {
    let mut duty = duty("c");
    duty.on_epoch(Epoch((1 << 32) + 9), "b".into(), 50);
    duty.on_holder(other((1 << 32) + 9), 50, STARTED_UP);
    duty.on_restored(STARTED_UP);
    assert_eq!(
        duty.next(Some(0), 2, STARTED_UP),
        Action::Wait(Duration::MAX)
    );
    // The copy has the item of an earlier holder, without its lease.
    duty.on_holder(other((1 << 32) + 3), 20, STARTED_UP);
    duty.on_epoch(Epoch((1 << 32) + 3), "b".into(), 20);
    let Action::Wait(due) = duty.next(Some(0), 2, STARTED_UP) else {
        panic!("no claim at once");
    };
    assert!(due >= STARTED_UP + TIMES.lease);
    assert_eq!(duty.next(Some(0), 2, due), Action::RequestLease);
    let grant = Grant {
        era: 2,
        ..grant(due)
    };
    let claim = duty.claim(grant, 1).unwrap();
    assert_eq!(claim.holder.epoch, Epoch((2 << 32) + 1));
    assert_eq!((claim.expected_holder, claim.expected_epoch), (20, 20));
}

/// Guards against a holder that goes on after a restore, and renews a lease whose id the store has
/// given out again.
#[test]
fn a_restore_ends_the_term() {
    let mut duty = duty("a");
    take_over(&mut duty, 1, STARTED_UP);
    let now = STARTED_UP + ms(1_500);
    assert!(duty.right(now).is_some());
    duty.on_restored(now);
    assert_eq!(duty.right(now), None);
    assert_eq!(duty.next(Some(0), 2, now), Action::Wait(Duration::MAX));
    duty.on_renewal(RenewalOutcome::Renewed, now, now);
    assert_eq!(duty.held_epoch(now), None);
}

/// Guards against a process that renews the lease while it shuts down, so that its successor comes
/// later.
#[test]
fn a_process_that_stops_lets_its_lease_expire() {
    let mut duty = duty("a");
    take_over(&mut duty, 1, STARTED_UP);
    duty.stop();
    let now = STARTED_UP + ms(1_500);
    assert_eq!(
        duty.next(Some(0), 1, now),
        Action::Wait(STARTED_UP + ms(2_940))
    );
    assert!(duty.right(now).is_some());
    duty.on_holder_removed(Some(2), STARTED_UP + ms(3_000));
    let later = STARTED_UP + ms(9_000);
    assert_eq!(duty.next(Some(0), 1, later), Action::Wait(Duration::MAX));
}

/// Guards against two holders at a time, epochs that fall, the order A, B, A, and windows with two
/// contents, under lost answers, late writes, suspensions, restarts, cuts, clocks of different
/// speed, and restores of the store.
#[test]
fn random_faults_break_no_rule() {
    let cases = std::env::var("DUTY_CASES").map_or(300, |cases| cases.parse().unwrap());
    let first = std::env::var("DUTY_SEED").map_or(1, |seed| seed.parse().unwrap());
    let mut reports = 0;
    let mut takeovers = 0;
    for seed in first..first + cases {
        let mut world = World::new(seed);
        world.run(Duration::from_mins(1));
        reports += world.windows_reported();
        takeovers += world.epochs_used();
    }
    // The faults must not have kept everything from happening.
    assert!(
        reports > 2 * usize::try_from(cases).unwrap(),
        "{reports} reports"
    );
    assert!(
        takeovers > usize::try_from(cases).unwrap(),
        "{takeovers} epochs"
    );
}

/// Guards against gaps without any fault: each window is reported, by one holder.
#[test]
fn without_faults_one_holder_reports_every_window() {
    let mut world = World::without_faults(7);
    world.run(Duration::from_mins(2));
    assert_eq!(world.epochs_used(), 1);
    assert!(
        world.windows_reported() >= 20,
        "{}",
        world.windows_reported()
    );
    assert_eq!(world.gaps(), 0);
}
