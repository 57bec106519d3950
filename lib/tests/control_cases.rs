//! Regression tests of the control machine and of its proposer, one fault each.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod control_world;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use camphorhold::coordination::control::Action;
use camphorhold::coordination::control::Input;
use camphorhold::coordination::control::Machine;
use camphorhold::coordination::control::Message;
use camphorhold::coordination::control::Mutation;
use camphorhold::coordination::control::SentRecord;
use camphorhold::coordination::control::Settings;
use camphorhold::coordination::control::StoreFailure;
use camphorhold::coordination::gossip::Delta;
use camphorhold::coordination::proposal::Change;
use camphorhold::coordination::proposal::Error;
use camphorhold::coordination::proposal::Limits;
use camphorhold::coordination::proposal::ProposalId;
use camphorhold::coordination::proposal::Proposer;
use camphorhold::coordination::proposal::Step;
use camphorhold::coordination::proposal::StoreRevision;
use camphorhold::coordination::proposal::StoredRecord;
use camphorhold::coordination::proposal::SwapOutcome;
use camphorhold::state::id::InstanceId;
use camphorhold::state::id::OperationId;
use camphorhold::state::record::Candidate;
use camphorhold::state::record::MAX_OPERATIONS;
use camphorhold::state::record::MAX_WITNESSES;
use camphorhold::state::record::Record;

use self::control_world::World;
use self::control_world::address;
use self::control_world::scenario::MAX_INSTANCES;
use self::control_world::scenario::Mode;
use self::control_world::scenario::Transition;
use self::control_world::scenario::run;

const OPERATION: OperationId = OperationId(7);

const WITNESS: InstanceId = InstanceId(2);

fn stored(record: Record, revision: u64) -> StoredRecord {
    StoredRecord {
        record: Arc::new(record),
        revision: StoreRevision(revision),
    }
}

fn base() -> Record {
    let candidate = Candidate {
        instance: WITNESS,
        address: address(1),
        traffic_address: address(1),
        failure_domain: "a".parse().unwrap(),
    };
    Record::empty().with_roster_change(OperationId(1), &[candidate], &[].into())
}

fn change() -> Change {
    Change::File {
        text: "text".into(),
        expected: None,
    }
}

/// Returns a proposer that has sent its compare-and-swap for [`base`], and the id of the proposal
/// that it announced.
fn swapping(now: Instant) -> (Proposer, ProposalId) {
    let limits = Limits {
        store: Duration::from_secs(2),
        announce: Duration::from_secs(1),
        resolve: Duration::from_millis(500),
        broken: None,
    };
    let mut proposer = Proposer::new(InstanceId(1), limits);
    proposer.submit(OPERATION, change(), now);
    proposer.on_read::<StoreFailure>(Ok(Some(stored(base(), 5))), now);
    let steps = proposer.on_body_written(true, now);
    let [Step::Announce { proposal, .. }] = steps[..] else {
        panic!("expected an announcement, found {steps:?}");
    };
    let steps = proposer.on_promise(proposal, WITNESS, now);
    assert!(matches!(steps[..], [Step::Swap { .. }]));
    (proposer, proposal)
}

fn retracts(steps: &[Step]) -> bool {
    steps
        .iter()
        .any(|step| matches!(step, Step::Retract { .. }))
}

/// Guards against the retraction of a proposal that the store accepted: the answer to the
/// compare-and-swap is lost, and the next read shows that it took effect. After a retraction, the
/// witness would confirm again that the old generation is current. Fuzzing with
/// `Mutation::RecordsNotSpread` found this (case seed 135).
#[test]
fn an_accepted_proposal_is_never_retracted() {
    let now = Instant::now();
    let (mut proposer, proposal) = swapping(now);
    let mut steps = proposer.on_swapped(SwapOutcome::Unknown, now);
    let accepted = base().with_file(OPERATION, "text");
    steps.extend(proposer.on_read::<StoreFailure>(Ok(Some(stored(accepted, 6))), now));
    assert!(steps.iter().any(
        |step| matches!(step, Step::Finished { result: Ok(done), .. } if done.generation.0 == 2)
    ));
    assert!(!retracts(&steps));
    assert!(!proposer.retracted(proposal));
}

/// Guards against a retraction while an earlier attempt may still take effect: the answer to the
/// first compare-and-swap is lost, and the second attempt is not sent. The failure of the second
/// does not show that the first one failed.
#[test]
fn a_definite_failure_after_a_lost_answer_retracts_nothing() {
    let now = Instant::now();
    let (mut proposer, proposal) = swapping(now);
    let mut steps = proposer.on_swapped(SwapOutcome::Unknown, now);
    steps.extend(proposer.on_read::<StoreFailure>(Ok(Some(stored(base(), 5))), now));
    assert!(matches!(steps.last(), Some(Step::Swap { .. })));
    steps.extend(proposer.on_swapped(SwapOutcome::NotSent, now));
    assert!(!retracts(&steps));
    assert!(!proposer.retracted(proposal));
}

/// Guards against an operation that is applied twice: its answer is lost, and the proposer pauses
/// until the record no longer lists operations of that age. The operation must end with an unknown
/// result instead of another attempt.
#[test]
fn an_operation_that_the_record_may_have_forgotten_is_not_repeated() {
    let now = Instant::now();
    let (mut proposer, _) = swapping(now);
    proposer.on_swapped(SwapOutcome::Unknown, now);
    let mut record = base().with_file(OPERATION, "text");
    for number in 0..MAX_OPERATIONS as u128 {
        record = record.with_file(OperationId(100 + number), "other");
    }
    let steps = proposer.on_read::<StoreFailure>(Ok(Some(stored(record, 90))), now);
    assert!(steps.iter().any(|step| matches!(
        step,
        Step::Finished {
            result: Err(Error::Unknown),
            ..
        }
    )));
    assert!(proposer.is_idle());
}

/// Returns the messages that the actions send.
fn sent(actions: Vec<Action>) -> Vec<Message> {
    let messages = actions.into_iter().filter_map(|action| match action {
        Action::SendTo { message, .. } => Some(message),
        _ => None,
    });
    messages.collect()
}

/// Guards against evidence from an exchange that an earlier process at the same address opened. If
/// every process numbers its exchanges from 1, a late answer to the earlier process matches an
/// exchange of the new one.
#[test]
fn a_late_answer_to_an_earlier_process_is_not_evidence() {
    let now = Instant::now() + Duration::from_hours(1);
    let wall = SystemTime::UNIX_EPOCH;
    let settings = Settings::new(address(0), "a".parse().unwrap());
    let list = Input::InstanceList([address(0), address(1)].into());
    let open = |machine: &mut Machine, now| {
        machine.handle(list.clone(), now, wall);
        let actions = machine.handle(Input::Tick, now + Duration::from_secs(1), wall);
        let requests = sent(actions).into_iter();
        let mut requests = requests.filter(|one| matches!(one, Message::GossipRequest(_)));
        requests.next().expect("the machine opens an exchange")
    };
    let mut first = Machine::new(settings.clone(), 1, now);
    let mut second = Machine::new(settings, 2, now);
    let request = open(&mut first, now);
    open(&mut second, now);

    let mut peer = Machine::new(Settings::new(address(1), "a".parse().unwrap()), 3, now);
    let from = first.sender();
    let input = Input::Message {
        from,
        message: request,
    };
    let mut answers = sent(peer.handle(input, now, wall)).into_iter();
    let answer = answers.find(|one| matches!(one, Message::GossipResponse(_)));
    let Some(Message::GossipResponse(mut answer)) = answer else {
        panic!("expected an answer");
    };
    answer.generation.0 = 1;
    answer.store_age_ms = Some(0);
    answer.record = Some(SentRecord {
        record: Box::new(base()),
        revision: StoreRevision(1),
    });
    let input = |answer| Input::Message {
        from: peer.sender(),
        message: Message::GossipResponse(answer),
    };
    let later = now + Duration::from_millis(1500);
    second.handle(input(answer.clone()), later, wall);
    assert!(!second.view().may_act(later));
    first.handle(input(answer), later, wall);
    assert!(first.view().may_act(later));
}

/// Guards against an instance that is never added again: it was added and removed while it was
/// frozen, and then requests to join under the id that the record lists as departed. Fuzzing found
/// this (seed 17022080616983207741).
#[test]
fn an_instance_added_and_removed_while_frozen_joins_under_a_new_id() {
    let now = Instant::now() + Duration::from_hours(1);
    let wall = SystemTime::UNIX_EPOCH;
    let domain = || "a".parse().unwrap();
    let mut machine = Machine::new(Settings::new(address(0), domain()), 1, now);
    let old = machine.instance();
    let candidate = Candidate {
        instance: old,
        address: address(0),
        traffic_address: address(0),
        failure_domain: domain(),
    };
    let added = base().with_roster_change(OperationId(2), &[candidate], &[].into());
    let removed = added.with_roster_change(OperationId(3), &[], &[old].into());
    let peer = Machine::new(Settings::new(address(1), domain()), 2, now);
    let push = |record| Input::Message {
        from: peer.sender(),
        message: Message::GossipPush {
            record: Some(SentRecord {
                record: Box::new(record),
                revision: StoreRevision(1),
            }),
            delta: Delta::default(),
        },
    };
    machine.handle(push(removed), now, wall);
    assert_ne!(machine.instance(), old);
    let later = now + Duration::from_secs(2);
    let requests = sent(machine.handle(Input::Tick, later, wall));
    let new = machine.instance();
    assert!(
        requests.iter().any(
            |message| matches!(message, Message::Join(candidate) if candidate.instance == new)
        )
    );
}

/// Guards against instances outside the witness set that stop acting when the store fails, or that
/// apply changes late. Only fleets with more than `MAX_WITNESSES` members have such instances.
#[test]
fn non_witnesses_act_during_a_store_outage() {
    let mut world = World::new(MAX_INSTANCES, 5, Mutation::None);
    let apply = Transition::Apply {
        node: MAX_INSTANCES - 1,
        operation: 1,
    };
    let outage = Transition::Store(Mode::Down);
    for transition in [
        Transition::HealAndSettle,
        apply,
        Transition::Run(13_000),
        outage,
        Transition::Run(6000),
        Transition::Kill(3),
        Transition::Run(3000),
        Transition::HealAndSettle,
    ] {
        assert_eq!(world.perform(&transition), Ok(()));
    }
    let view = world.nodes[0].active_view().unwrap();
    assert_eq!(view.record.witnesses().count(), MAX_WITNESSES);
    assert!(view.record.roster.len() > MAX_WITNESSES);
}

/// Runs the transitions in a settled world with several seeds, and checks that all instances
/// converge afterwards.
fn assert_converges(size: usize, transitions: &[Transition]) {
    for seed in 0..2 {
        let result = run(size, seed, Mutation::None, transitions);
        assert_eq!(result, Ok(()), "seed {seed}");
    }
}

/// Guards against a roster that can no longer change: a majority of the witnesses terminates, and
/// the instances that replace them use other addresses, so the old ones never answer again.
#[test]
fn survivors_replace_a_majority_of_witnesses_that_moved_to_new_addresses() {
    let replaced: Vec<_> = (2..7).map(Transition::Replace).collect();
    assert_converges(7, &replaced);
    let all: Vec<_> = (0..5).map(Transition::Replace).collect();
    assert_converges(5, &all);
}

/// Guards against a roster that can no longer change after the loss of the failure domain that held
/// most witnesses: its instances have ended for longer than the platform's list lags when the
/// platform replaces them.
#[test]
fn the_fleet_recovers_from_losing_a_failure_domain_with_most_witnesses() {
    let mut case: Vec<_> = (0..3).map(Transition::Kill).collect();
    case.push(Transition::Run(25_000));
    case.extend((0..3).map(Transition::Replace));
    assert_converges(5, &case);
}

/// Guards against decisions that depend on the wall clock: a case in which the clocks step back and
/// forth must end exactly as without these steps.
#[test]
fn steps_of_the_wall_clock_change_nothing() {
    let outcome = |steps: bool| {
        let mut world = World::new(5, 3, Mutation::None);
        for round in 0..6_u8 {
            let node = usize::from(round) % 5;
            if steps {
                let millis = if round % 2 == 0 { 7000 } else { -9000 };
                world
                    .perform(&Transition::StepWallClock { node, millis })
                    .unwrap();
            }
            let case = [
                Transition::Apply {
                    node,
                    operation: round,
                },
                Transition::Rollout {
                    node,
                    step: round + 2,
                },
                Transition::Fact { node, fact: round },
                Transition::Run(3000),
                Transition::Replace(node),
                Transition::Run(3000),
            ];
            for transition in &case {
                world.perform(transition).unwrap();
            }
        }
        world.perform(&Transition::HealAndSettle).unwrap();
        let views = world.nodes.iter().map(|node| {
            let view = node.active_view().unwrap();
            (view.instance, view.record.clone(), view.valid_until)
        });
        (views.collect::<Vec<_>>(), world.network.bytes)
    };
    assert_eq!(outcome(true), outcome(false));
}

/// Guards against a restarted process that misses facts because an answer to the process before it
/// counted as its own. Fuzzing found this (`PROPTEST_RNG_SEED=31`).
/// `a_delta_for_an_earlier_process_does_not_mark_facts_as_known` covers the same fault without a
/// fleet.
#[test]
fn a_process_that_replaces_a_leaving_one_receives_all_facts() {
    let case = [
        Transition::Fact { node: 2, fact: 0 },
        Transition::Run(89),
        Transition::Cut {
            from: 0,
            to: 0,
            both: false,
        },
        Transition::Run(1845),
        Transition::Shutdown(3),
        Transition::Freeze(2),
        Transition::Network {
            loss_percent: 3,
            duplicate_percent: 3,
            delay_ms: 1824,
        },
        Transition::Apply {
            node: 2,
            operation: 0,
        },
        Transition::Replace(0),
        Transition::Run(3681),
        Transition::Freeze(3),
        Transition::Run(2199),
    ];
    let result = run(4, 3_526_455_919_124_731_749, Mutation::None, &case);
    assert_eq!(result, Ok(()));
}
