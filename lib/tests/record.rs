//! Tests of the control record: generations, operations, departures and the choice of witnesses.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use camphorhold::state::id::Generation;
use camphorhold::state::id::InstanceId;
use camphorhold::state::id::OperationId;
use camphorhold::state::record::Candidate;
use camphorhold::state::record::MAX_DEPARTURES;
use camphorhold::state::record::MAX_OPERATIONS;
use camphorhold::state::record::MAX_WITNESSES;
use camphorhold::state::record::Record;
use camphorhold::state::rollout::Stage;
use proptest::prelude::*;

fn candidate(number: u16, domain: u8) -> Candidate {
    Candidate {
        instance: InstanceId(u64::from(number)),
        address: ([127, 0, 0, 1], number + 1).into(),
        traffic_address: ([127, 0, 0, 1], number + 1).into(),
        failure_domain: format!("domain-{domain}").parse().unwrap(),
    }
}

fn witnesses(record: &Record) -> BTreeSet<InstanceId> {
    record.witnesses().map(|member| member.instance).collect()
}

/// Guards against changes that skip or repeat a generation, and against changes that do not list
/// their operation. A proposer could not find out whether such a change was applied.
#[test]
fn each_operation_raises_the_generation_by_one_and_is_listed() {
    let records = [
        Record::empty().with_file(OperationId(1), "text"),
        Record::empty().with_roster_change(OperationId(1), &[candidate(1, 0)], &[].into()),
        Record::empty().with_rollout_stage(OperationId(1), "move".parse().unwrap(), Stage::Pending),
        Record::empty().with_revocation(
            OperationId(1),
            "app".parse().unwrap(),
            "v2".parse().unwrap(),
        ),
    ];
    for record in records {
        assert_eq!(record.generation, Generation(1));
        let applied = record.applied(OperationId(1)).unwrap();
        assert_eq!(applied.generation, Generation(1));
    }
}

/// Guards against a record that grows without limit with the number of operations and departed
/// instances, and against one that claims to list departures that it has dropped.
#[test]
fn old_operations_and_departures_are_dropped() {
    let mut record = Record::empty();
    for number in 0..200 {
        let operation = OperationId(u128::from(number));
        record = record.with_roster_change(operation, &[candidate(number, 0)], &[].into());
        let removed = [InstanceId(u64::from(number))].into();
        let operation = OperationId(u128::from(number) + 1000);
        record = record.with_roster_change(operation, &[], &removed);
    }
    assert_eq!(record.operations.len(), MAX_OPERATIONS);
    assert_eq!(record.departures.len(), MAX_DEPARTURES);
    let departures_after = record.departures_after;
    assert!(
        record
            .listed_between(departures_after, record.generation)
            .is_some()
    );
    let before = Generation(departures_after.0 - 1);
    assert!(record.listed_between(before, record.generation).is_none());
}

/// Guards against an instance that stays in the roster, possibly as a witness, after another
/// process has started with its address.
#[test]
fn a_new_process_replaces_the_one_with_its_address() {
    let record = Record::empty().with_roster_change(OperationId(1), &[candidate(1, 0)], &[].into());
    let mut successor = candidate(1, 0);
    successor.instance = InstanceId(99);
    let record = record.with_roster_change(OperationId(2), &[successor], &[].into());
    assert_eq!(record.roster.len(), 1);
    assert_eq!(record.departures[0].instance, InstanceId(1));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a choice of too few or too many witnesses, of too many in one failure domain,
    /// and against a change of the roster that replaces more witnesses than necessary.
    #[test]
    fn witnesses_are_spread_and_at_most_two_change_at_once(
        changes in prop::collection::vec((0..60_u16, 0..4_u8, any::<bool>()), 1..120),
    ) {
        let mut record = Record::empty();
        for (step, (number, domain, add)) in changes.into_iter().enumerate() {
            let operation = OperationId(step as u128);
            let before = witnesses(&record);
            let added = if add { vec![candidate(number, domain)] } else { vec![] };
            let removed: BTreeSet<_> =
                (!add).then_some(InstanceId(u64::from(number))).into_iter().collect();
            record = record.with_roster_change(operation, &added, &removed);
            let after = witnesses(&record);
            prop_assert_eq!(after.len(), record.roster.len().min(MAX_WITNESSES));
            // One change of the roster costs at most two witnesses: one that left, and one that
            // makes room for a domain with too few.
            prop_assert!(before.difference(&after).count() <= 2);
            let mut counts: BTreeMap<_, (usize, usize)> = BTreeMap::new();
            for member in &record.roster {
                let count = counts.entry(&member.failure_domain).or_default();
                count.0 += usize::from(member.witness);
                count.1 += usize::from(!member.witness);
            }
            let most = counts.values().map(|count| count.0).max().unwrap_or(0);
            for (marked, unmarked) in counts.values() {
                prop_assert!(*unmarked == 0 || *marked + 1 >= most, "{:?}", counts);
            }
        }
    }
}
