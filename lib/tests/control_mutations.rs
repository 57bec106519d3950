//! Shows for each check of the fuzzing oracle that it fails when a rule is broken on purpose, and
//! that the same cases pass with all rules in force.

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

/// Runs the cases with seeds from 0 on. All must pass as they are; the mutation must violate the
/// expected check in at least one of them, and no other check before.
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

fn isolate(node: usize) -> Vec<Transition> {
    let others = (0..SIZE).filter(|other| *other != node);
    let cut = |to| Cut {
        from: node,
        to,
        both: true,
    };
    others.map(cut).collect()
}

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

#[test]
fn hidden_promises_leave_instances_on_the_old_generation() {
    // Cuts the witnesses off at different moments between the announcement and the write.
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

#[test]
fn without_a_handover_wait_two_owners_send() {
    // The two files differ in the failure domains of the leafs.
    let apply = |operation| Apply { node: 0, operation };
    let case = vec![apply(0), Run(6000), apply(3), Run(4000)];
    assert_noticed(Mutation::NoHandoverWait, &[case], |violation| {
        matches!(violation, Violation::TwoOwners { .. })
    });
}

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

#[test]
fn accepting_old_records_reverts_an_instance() {
    let network = Transition::Network {
        loss_percent: 0,
        double_percent: 30,
        delay_ms: 3000,
    };
    // Stages need no file body, so an old record could be in force at once.
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

#[test]
fn without_witness_evidence_an_outage_of_the_store_stops_instances() {
    let case = vec![Run(15_000), Store(Mode::Down), Run(6000)];
    assert_noticed(Mutation::StoreEvidenceOnly, &[case], |violation| {
        matches!(violation, Violation::StoppedByOutage { .. })
    });
}

#[test]
fn an_instance_that_does_not_rejoin_is_missed_after_healing() {
    let mut case = isolate(2);
    case.push(Run(15_000));
    assert_noticed(Mutation::NoRejoin, &[case], |violation| {
        matches!(violation, Violation::NotConverged { .. })
    });
}

#[test]
fn a_generation_that_rises_by_two_is_noticed() {
    assert_noticed(Mutation::GenerationsSkipped, &[vec![]], |violation| {
        matches!(violation, Violation::GenerationSkipped(_))
    });
}

/// Replaces the instances from the number on, all at once.
fn replace_from(first: usize) -> Vec<Transition> {
    (first..SIZE).map(Transition::Replace).collect()
}

/// Guards the two survivors of five witnesses: without the list, they never get a majority again.
#[test]
fn without_the_list_the_loss_of_most_witnesses_is_final() {
    let case = replace_from(2);
    assert_noticed(Mutation::ListIgnored, &[case], |violation| {
        matches!(violation, Violation::NotConverged { .. })
    });
}

/// The instances below the number keep the store, the others keep a majority of witnesses. Only
/// the list tells that the majority lives.
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

#[test]
fn trusting_a_list_that_was_not_read_leaves_instances_on_the_old_generation() {
    // An instance that was started after the list became unreadable has never seen one.
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

#[test]
fn trusting_a_list_without_oneself_leaves_instances_on_the_old_generation() {
    let case = split_with_list(List::Empty);
    assert_noticed(Mutation::ListWithoutSelfTrusted, &[case], |violation| {
        matches!(violation, Violation::ActsOnOld { .. })
    });
}

/// The list that an instance reads as it is paused is old when it goes on. Here it lacks three
/// witnesses that have just started.
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

/// Guards against two drivers that saw the same stage and propose different ones.
#[test]
fn a_stage_written_whatever_was_seen_is_noticed() {
    let race = |step| Transition::RacingRollouts {
        nodes: (0, 3),
        steps: (step, step + 1),
    };
    let cases = [vec![race(2), Run(3000), race(4), Run(3000)]];
    assert_noticed(Mutation::StagesUnchecked, &cases, |violation| {
        matches!(violation, Violation::StageSkipped(_))
    });
}

/// Cuts one of two racing proposers off at different moments between its announcement and the
/// answer.
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

#[test]
fn trusting_a_lost_answer_shows_a_record_that_was_not_accepted() {
    let revoke = |node, version| Transition::Revoke { node, version };
    let cases = race_with_lost_answer(&[revoke(0, 1), revoke(3, 2)]);
    assert_noticed(Mutation::LostAnswersTrusted, &cases, |violation| {
        matches!(violation, Violation::OtherRecord { .. })
    });
}

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

/// Reading the operations is also what tells a driver that its stage was accepted after all.
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

#[test]
fn facts_that_are_not_repeated_are_missed_after_healing() {
    let mut case = isolate(2);
    case.extend((0..4).map(|fact| Transition::Fact { node: 0, fact }));
    case.push(Run(6000));
    assert_noticed(Mutation::FactsNotRepeated, &[case], |violation| {
        matches!(violation, Violation::FactMissing { .. })
    });
}

#[test]
fn facts_that_do_not_expire_are_noticed() {
    let fact = Transition::Fact { node: 0, fact: 0 };
    let case = vec![fact, Run(75_000)];
    assert_noticed(Mutation::FactsKept, &[case], |violation| {
        matches!(violation, Violation::FactKept { .. })
    });
}
