//! Tests of the checks of the fuzzing oracle: each check must fail when a mutation breaks a rule on
//! purpose, and pass in the same cases without the mutation.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod control_world;

use camphorhold::coordination::control::Mutation;

use self::control_world::List;
use self::control_world::oracle::Violation;
use self::control_world::scenario::Mode;
use self::control_world::scenario::Transition;
use self::control_world::scenario::Transition::Apply;
use self::control_world::scenario::Transition::Cut;
use self::control_world::scenario::Transition::CutStore;
use self::control_world::scenario::Transition::Run;
use self::control_world::scenario::Transition::SplitFromStore;
use self::control_world::scenario::Transition::Store;
use self::control_world::scenario::run;

const SIZE: usize = 5;

/// Runs the cases with seeds from 0 on. Without the mutation, all cases must pass. With it, the
/// first case that fails must violate the expected check, and at least one must fail.
fn assert_noticed<F>(mutation: Mutation, cases: &[Vec<Transition>], expected: F)
where
    F: Fn(&Violation) -> bool,
{
    let mut noticed = None;
    for (seed, case) in cases.iter().enumerate() {
        let seed = seed as u64;
        let unchanged = run(SIZE, seed, Mutation::None, case);
        assert_eq!(unchanged, Ok(()), "seed {seed} without mutation");
        if noticed.is_none() {
            noticed = run(SIZE, seed, mutation, case).err();
            println!("{mutation:?}, seed {seed}: {noticed:?}");
        }
    }
    let noticed = noticed.expect("no check noticed the mutation");
    assert!(expected(&noticed), "{mutation:?} violated {noticed:?}");
}

/// Cuts the instance off from all others, but not from the store.
fn isolate(node: usize) -> Vec<Transition> {
    let others = (0..SIZE).filter(|other| *other != node);
    let cut = |to| Cut {
        from: node,
        to,
        both: true,
    };
    others.map(cut).collect()
}

/// Guards against a proposer that writes a record without promises: the witnesses that it cannot
/// reach keep confirming in their heartbeats that the old generation is current, so instances
/// without the store act on it beyond the currency bound.
#[test]
fn writing_without_promises_leaves_instances_on_the_old_generation() {
    let apply = Apply {
        node: 0,
        operation: 1,
    };
    let case = vec![SplitFromStore(1), apply, Run(8000)];
    assert_noticed(Mutation::NoPromises, &[case], |violation| {
        matches!(violation, Violation::ActsOnOld { .. })
    });
}

/// Guards against heartbeats that hide a promise: witnesses that are cut off between the
/// announcement and the write keep confirming to each other that the old generation is current.
#[test]
fn hidden_promises_leave_instances_on_the_old_generation() {
    // Cuts the witnesses off at several times between the announcement and the write.
    let case = |millis| {
        let apply = Apply {
            node: 0,
            operation: 1,
        };
        vec![apply, Run(millis), SplitFromStore(1), Run(6000)]
    };
    let cases: Vec<_> = (3..11).map(case).collect();
    assert_noticed(Mutation::HiddenPromises, &cases, |violation| {
        matches!(violation, Violation::ActsOnOld { .. })
    });
}

/// Guards against evidence that counts from the arrival of an answer instead of the sending of its
/// request: an isolated instance receives late answers of a slow store and acts on the old
/// generation beyond the currency bound.
#[test]
fn evidence_dated_on_arrival_leaves_an_instance_on_the_old_generation() {
    let mut case = isolate(4);
    let apply = Apply {
        node: 0,
        operation: 1,
    };
    let cut = CutStore {
        node: 4,
        requests: true,
        answers: false,
    };
    case.extend([Store(Mode::Slow), Run(2500), cut, Store(Mode::Up), apply]);
    case.push(Run(9000));
    let cases = vec![case; 6];
    assert_noticed(Mutation::DatedOnArrival, &cases, |violation| {
        matches!(violation, Violation::ActsOnOld { .. })
    });
}

/// Guards against a new owner that sends before the previous one has applied the record that moves
/// the leaf.
#[test]
fn without_a_handover_wait_two_owners_send() {
    // The two files differ in the failure domains of the leafs, so ownership moves.
    let apply = |operation| Apply { node: 0, operation };
    let case = vec![apply(0), Run(6000), apply(3), Run(4000)];
    assert_noticed(Mutation::NoHandoverWait, &[case], |violation| {
        matches!(violation, Violation::TwoOwners { .. })
    });
}

/// Guards against a repeated operation: the store carries out a join and its answer is lost, so an
/// instance that does not look for the operation in the record proposes it again.
#[test]
fn treating_a_lost_answer_as_a_failure_applies_an_operation_twice() {
    // File changes are protected by the expected revision as well, so this uses joins.
    let mut case = vec![Store(Mode::LosesAnswers)];
    for node in 1..4 {
        case.extend([Transition::Kill(node), Run(300), Transition::Start(node)]);
        case.push(Run(3000));
    }
    assert_noticed(Mutation::OperationsIgnored, &vec![case; 2], |violation| {
        matches!(violation, Violation::AppliedTwice(_))
    });
}

/// Guards against an instance that returns to an earlier generation because a delayed or duplicated
/// message carries an old record.
#[test]
fn accepting_old_records_reverts_an_instance() {
    let network = Transition::Network {
        loss_percent: 0,
        duplicate_percent: 30,
        delay_ms: 3000,
    };
    // A record with only a new stage needs no file body, so an instance can apply it immediately.
    let mut case = vec![network];
    for step in 2..30 {
        let node = usize::from(step) % SIZE;
        case.extend([Transition::Rollout { node, step }, Run(300)]);
    }
    let cases = vec![case; 6];
    assert_noticed(Mutation::OldRecordsAccepted, &cases, |violation| {
        matches!(violation, Violation::Reverted { .. })
    });
}

/// Guards against an accepted record that some instances apply too late, because neither gossip nor
/// their own polls bring it.
#[test]
fn records_that_do_not_spread_are_not_in_force_in_time() {
    let apply = Apply {
        node: 0,
        operation: 1,
    };
    let case = vec![apply, Run(8000)];
    assert_noticed(Mutation::RecordsNotSpread, &[case], |violation| {
        matches!(violation, Violation::NotSpread { .. })
    });
}

/// Guards against instances that stop acting during an outage of the store, although a majority of
/// the witnesses confirms the generation.
#[test]
fn without_witness_evidence_an_outage_of_the_store_stops_instances() {
    let case = vec![Run(15_000), Store(Mode::Down), Run(6000)];
    assert_noticed(Mutation::StoreEvidenceOnly, &[case], |violation| {
        matches!(violation, Violation::StoppedByOutage { .. })
    });
}

/// Guards against an instance that stays outside the roster: the others remove it while it is
/// isolated, and it does not request to join after the cuts end.
#[test]
fn an_instance_that_does_not_rejoin_stays_outside_the_roster() {
    let mut case = isolate(2);
    case.push(Run(15_000));
    assert_noticed(Mutation::NoRejoin, &[case], |violation| {
        matches!(violation, Violation::NotConverged { .. })
    });
}

/// Guards against a proposer that skips a generation.
#[test]
fn a_generation_that_rises_by_two_is_noticed() {
    assert_noticed(Mutation::GenerationsSkipped, &[vec![]], |violation| {
        matches!(violation, Violation::GenerationSkipped(_))
    });
}

/// Replaces all instances from `first` on at once.
fn replace_from(first: usize) -> Vec<Transition> {
    (first..SIZE).map(Transition::Replace).collect()
}

/// Guards against two survivors of five witnesses that never get a majority again: only the
/// platform's list shows that the other three have terminated.
#[test]
fn without_the_list_the_loss_of_most_witnesses_is_final() {
    let case = replace_from(2);
    assert_noticed(Mutation::ListIgnored, &[case], |violation| {
        matches!(violation, Violation::NotConverged { .. })
    });
}

/// Separates instances 0 and 1, which reach the store, from a live majority of the witnesses, and
/// then changes the file. Only the platform's list shows that the majority is alive.
fn split_with_list(list: List) -> Vec<Transition> {
    let apply = Apply {
        node: 0,
        operation: 1,
    };
    vec![
        Run(15_000),
        Transition::List(list),
        SplitFromStore(2),
        Run(14_000),
        apply,
        Run(6000),
    ]
}

/// Guards against an instance that has never read the platform's list and takes the witnesses that
/// it cannot reach for terminated. It then writes a record without their promises, and they keep
/// acting on the old generation.
#[test]
fn trusting_a_list_that_was_not_read_leaves_instances_on_the_old_generation() {
    // Instance 0 starts again while the list is unreadable, so it never reads one.
    let mut case = vec![Transition::List(List::Unreadable), Transition::Kill(0)];
    case.extend([Run(100), Transition::Start(0), Run(6000), SplitFromStore(2)]);
    let apply = Apply {
        node: 0,
        operation: 1,
    };
    case.extend([Run(14_000), apply, Run(6000)]);
    assert_noticed(Mutation::UnreadListTrusted, &[case], |violation| {
        matches!(violation, Violation::ActsOnOld { .. })
    });
}

/// Guards against an instance that trusts a platform list from which it is itself missing: the
/// empty list says that all witnesses have terminated, while a majority is alive on the other side
/// of the split.
#[test]
fn trusting_a_list_without_this_instance_leaves_instances_on_the_old_generation() {
    let case = split_with_list(List::Empty);
    assert_noticed(Mutation::ListWithoutSelfTrusted, &[case], |violation| {
        matches!(violation, Violation::ActsOnOld { .. })
    });
}

/// Guards against an instance that resumes after a pause and trusts a single list that it received
/// at the beginning of the pause. The old list lacks three witnesses that had just started, so the
/// instance takes them for terminated and writes a record without their promises.
#[test]
fn trusting_the_first_list_after_a_pause_leaves_instances_on_the_old_generation() {
    let mut case: Vec<_> = (2..SIZE).map(Transition::Kill).collect();
    case.extend([Run(30_000), Transition::List(List::Lags(6))]);
    case.extend((2..SIZE).map(Transition::Start));
    case.extend([Run(4000), SplitFromStore(1), Run(50)]);
    case.extend([Transition::Freeze(0), Run(1200)]);
    case.push(Transition::List(List::Unreadable));
    case.extend([Run(15_000), Transition::Resume(0)]);
    let apply = Apply {
        node: 0,
        operation: 1,
    };
    case.extend([apply, Run(6000)]);
    assert_noticed(Mutation::ListGapsIgnored, &[case], |violation| {
        matches!(violation, Violation::ActsOnOld { .. })
    });
}

/// Guards against a proposer that does not compare the current stage of a rollout with the one that
/// it read: two drivers see the same stage and propose different ones, and both are accepted.
#[test]
fn writing_a_stage_without_checking_the_current_one_is_noticed() {
    let race = |step| Transition::RacingRollouts {
        nodes: (0, 3),
        steps: (step, step + 1),
    };
    let cases = [vec![race(2), Run(3000), race(4), Run(3000)]];
    assert_noticed(Mutation::StagesUnchecked, &cases, |violation| {
        matches!(violation, Violation::StageSkipped(_))
    });
}

/// Cuts instance 3, one of two racing proposers, off from the store and the other instances at
/// several times between its announcement and the answer.
fn race_with_lost_answer(race: &[Transition]) -> Vec<Vec<Transition>> {
    let case = |millis| {
        let cut = CutStore {
            node: 3,
            requests: true,
            answers: true,
        };
        let mut case = race.to_vec();
        case.extend([Run(millis), cut]);
        case.extend(isolate(3));
        case.push(Run(3000));
        case
    };
    (3..11).map(case).collect()
}

/// Guards against a proposer that publishes its own record after a lost answer, although the record
/// of the other proposer was accepted.
#[test]
fn trusting_a_lost_answer_shows_a_record_that_was_not_accepted() {
    let revoke = |node, version| Transition::Revoke { node, version };
    let cases = race_with_lost_answer(&[revoke(0, 1), revoke(3, 2)]);
    assert_noticed(Mutation::LostAnswersTrusted, &cases, |violation| {
        matches!(violation, Violation::OtherRecord { .. })
    });
}

/// Guards against a proposer that reports its stage as accepted after a lost answer, although the
/// stage of the other proposer was.
#[test]
fn trusting_a_lost_answer_reports_a_false_acceptance() {
    let race = Transition::RacingRollouts {
        nodes: (0, 3),
        steps: (2, 3),
    };
    let cases = race_with_lost_answer(&[race]);
    assert_noticed(Mutation::LostAnswersTrusted, &cases, |violation| {
        matches!(violation, Violation::FalseAcceptance(_))
    });
}

/// Guards against a driver that reports its stage as refused after a lost answer, although the
/// operations in the record show that the store accepted it.
#[test]
fn treating_a_lost_answer_as_a_failure_reports_a_false_refusal() {
    let mut case = vec![Store(Mode::LosesAnswers)];
    for step in 2..12 {
        case.extend([Transition::Rollout { node: 0, step }, Run(3000)]);
    }
    let cases = vec![case; 2];
    assert_noticed(Mutation::OperationsIgnored, &cases, |violation| {
        matches!(violation, Violation::FalseRefusal(_))
    });
}

/// Guards against facts that are sent only while they are new: an instance that was isolated at
/// that time never receives them.
#[test]
fn facts_that_are_not_repeated_are_missing_after_healing() {
    let mut case = isolate(2);
    case.extend((0..4).map(|fact| Transition::Fact { node: 0, fact }));
    case.push(Run(6000));
    assert_noticed(Mutation::FactsNotRepeated, &[case], |violation| {
        matches!(violation, Violation::FactMissing { .. })
    });
}

/// Guards against facts that views show after their lifetime.
#[test]
fn facts_that_do_not_expire_are_noticed() {
    let fact = Transition::Fact { node: 0, fact: 0 };
    let case = vec![fact, Run(75_000)];
    assert_noticed(Mutation::FactsKept, &[case], |violation| {
        matches!(violation, Violation::FactKept { .. })
    });
}
