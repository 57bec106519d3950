//! Shows for each check of the fuzzing oracle that it fails when a rule is broken on purpose, and
//! that the same cases pass with all rules in force.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod control_world;

use camphorhold::coordination::control::Mutation;

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
    let mut case = vec![network];
    for operation in 0..6 {
        let node = usize::from(operation) % SIZE;
        case.extend([Apply { node, operation }, Run(700)]);
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
