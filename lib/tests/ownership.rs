//! Rendezvous assignment of leafs, and the cases in which a new owner must wait.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::collections::BTreeSet;
use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::ownership::HandoverRules;
use camphorhold::coordination::ownership::Table;
use camphorhold::coordination::ownership::build;
use camphorhold::coordination::ownership::releases;
use camphorhold::coordination::ownership::with_release;
use camphorhold::state::file::File;
use camphorhold::state::id::InstanceId;
use camphorhold::state::id::LeafId;
use camphorhold::state::id::OperationId;
use camphorhold::state::record::Candidate;
use camphorhold::state::record::Record;

const WAIT: Duration = Duration::from_millis(3500);

const HANDOVER: HandoverRules = HandoverRules {
    wait: WAIT,
    check_releases: true,
    check_continuity: true,
};

fn text() -> String {
    let mut text = String::from("system = \"test\"\nobjective = \"coverage\"\n");
    for domain in ["a", "b"] {
        write!(
            text,
            "[[failure_domain]]\nname = \"{domain}\"\nin_service = true\n"
        )
        .unwrap();
    }
    text += "[[service]]\nname = \"app\"\ndeadline = \"1s\"\nslots = 2\nconnections = 4\n";
    text += "shards = 1\nserving = \"v1\"\n[[service.version]]\nname = \"v1\"\n";
    for leaf in 0..40 {
        let domain = ["a", "b"][leaf % 2];
        write!(
            text,
            "[[service.version.leafs]]\naddress = \"127.0.0.1:{}\"\n",
            7000 + leaf
        )
        .unwrap();
        write!(text, "shard = 0\nfailure_domain = \"{domain}\"\n").unwrap();
    }
    text
}

fn candidate(number: u16) -> Candidate {
    Candidate {
        instance: InstanceId(u64::from(number)),
        address: ([127, 0, 0, 1], number).into(),
        traffic_address: ([127, 0, 0, 1], number).into(),
        failure_domain: ["a", "b"][usize::from(number) % 2].parse().unwrap(),
    }
}

/// Returns the next record, with the instances of these numbers added and removed.
fn with_members_changed(record: &Record, added: &[u16], removed: &[u16]) -> Record {
    let operation = OperationId(u128::from(record.generation.0) + 100);
    let added: Vec<_> = added.iter().copied().map(candidate).collect();
    let removed: BTreeSet<_> = removed
        .iter()
        .map(|one| InstanceId(u64::from(*one)))
        .collect();
    record.with_roster_change(operation, &added, &removed)
}

/// Returns a record with these members and with a file, and the file.
fn initial_record(members: &[u16]) -> (Record, File) {
    let record = Record::empty().with_file(OperationId(1), &text());
    let file = File::parse(&text()).unwrap();
    (with_members_changed(&record, members, &[]), file)
}

/// Returns the ownership table of instance `me`, built from its previous one.
fn table(me: u64, record: &Record, file: &File, previous: &Table, now: Instant) -> Table {
    build(InstanceId(me), record, Some(file), previous, HANDOVER, now)
}

/// Returns the leafs that the table assigns to instance `me`, ready or not.
fn owned(table: &Table, me: u64) -> BTreeSet<LeafId> {
    let mine = table
        .leafs()
        .filter(|(_, leaf)| leaf.owner == InstanceId(me));
    mine.map(|(leaf, _)| leaf).collect()
}

/// Guards against owners outside a leaf's failure domain, with which the loss of one domain could
/// affect both replicas of a shard. Without a member there, a leaf still needs an owner.
#[test]
fn a_leaf_is_owned_in_its_own_failure_domain_if_that_has_a_member() {
    let (record, file) = initial_record(&[2, 4, 1, 3]);
    let table = table(1, &record, &file, &Table::default(), Instant::now());
    for (_, _, leaf) in file.leafs() {
        let owner = table.leaf(leaf.id).unwrap().owner;
        let member = record.member(owner).unwrap();
        assert_eq!(member.failure_domain, leaf.failure_domain);
    }
    let alone = with_members_changed(&record, &[], &[2, 4]);
    let next = build(
        InstanceId(1),
        &alone,
        Some(&file),
        &table,
        HANDOVER,
        Instant::now(),
    );
    assert_eq!(next.leafs().count(), 40);
}

/// Guards against a pause in sending to a leaf at each roster change that does not move the leaf.
#[test]
fn a_leaf_that_keeps_its_owner_keeps_its_readiness() {
    let (first, file) = initial_record(&[1, 3]);
    let now = Instant::now();
    let before = table(1, &first, &file, &Table::default(), now);
    let second = with_members_changed(&first, &[5], &[]);
    let later = now + WAIT;
    let after = table(1, &second, &file, &before, later);
    let kept = owned(&after, 1);
    assert!(!kept.is_empty() && kept.len() < owned(&before, 1).len());
    assert!(kept.iter().all(|leaf| after.ready(*leaf, later)));
}

/// Guards against two owners: an instance misses a generation in which another one owned the leaf,
/// and continues to send as if it had owned it all the time. The second half shows that this
/// happens if continuity is not checked.
#[test]
fn an_instance_that_missed_another_owner_waits() {
    let (first, file) = initial_record(&[1, 3]);
    let now = Instant::now();
    let before = table(1, &first, &file, &Table::default(), now);
    let second = with_members_changed(&first, &[5], &[]);
    let between = owned(&table(5, &second, &file, &Table::default(), now), 5);
    let third = with_members_changed(&second, &[], &[5]);
    let later = now + WAIT;
    let after = table(1, &third, &file, &before, later);
    let returned: Vec<_> = owned(&after, 1).intersection(&between).copied().collect();
    assert!(!returned.is_empty());
    for leaf in &returned {
        assert!(!after.ready(*leaf, later));
        assert!(after.ready(*leaf, later + WAIT));
    }
    let unchecked = HandoverRules {
        check_continuity: false,
        ..HANDOVER
    };
    let broken = build(
        InstanceId(1),
        &third,
        Some(&file),
        &before,
        unchecked,
        later,
    );
    assert!(returned.iter().all(|leaf| broken.ready(*leaf, later)));
}

/// Guards against handovers that always take the whole handover wait although the last owner has
/// released the leafs.
#[test]
fn a_release_of_the_last_owner_ends_the_wait() {
    let (first, file) = initial_record(&[1, 3]);
    let now = Instant::now();
    let later = now + WAIT;
    let old = table(1, &first, &file, &Table::default(), now);
    let second = with_members_changed(&first, &[5], &[]);
    let next = table(1, &second, &file, &old, later);
    let release = releases(&old, &next, later).remove(&InstanceId(5)).unwrap();
    let new = table(5, &second, &file, &Table::default(), later);
    let ready = with_release(&new, &second, &file, &release, HANDOVER, later).unwrap();
    assert!(release.leafs.iter().all(|leaf| !new.ready(*leaf, later)));
    assert!(release.leafs.iter().all(|leaf| ready.ready(*leaf, later)));
}

/// Guards against two owners: the release comes from an instance that was not the last owner, and
/// the instance that owned the leaf in between may still send. With `check_releases` off, the
/// release counts wrongly.
#[test]
fn a_release_does_not_count_if_the_releasing_instance_was_not_the_last_owner() {
    let (first, file) = initial_record(&[1, 3]);
    let now = Instant::now();
    let later = now + WAIT;
    let old = table(1, &first, &file, &Table::default(), now);
    let second = with_members_changed(&first, &[5], &[]);
    let between = owned(&table(5, &second, &file, &Table::default(), now), 5);
    let third = with_members_changed(&second, &[7, 9, 11], &[5]);
    let next = table(1, &third, &file, &old, later);
    for (owner, release) in releases(&old, &next, later) {
        let new = table(owner.0, &third, &file, &Table::default(), later);
        let mut released = with_release(&new, &third, &file, &release, HANDOVER, later);
        let released = released.get_or_insert(new.clone());
        let unchecked = HandoverRules {
            check_releases: false,
            ..HANDOVER
        };
        let broken = with_release(&new, &third, &file, &release, unchecked, later).unwrap();
        for leaf in &release.leafs {
            assert_eq!(released.ready(*leaf, later), !between.contains(leaf));
            assert!(broken.ready(*leaf, later));
        }
    }
}

/// Guards against a full handover wait at a new owner that applies a later generation than the one
/// of the release, and never the one of the release itself.
#[test]
fn a_release_counts_at_an_instance_that_skipped_its_generation() {
    let (first, file) = initial_record(&[1, 3]);
    let now = Instant::now();
    let later = now + WAIT;
    let old = table(1, &first, &file, &Table::default(), now);
    let second = with_members_changed(&first, &[5], &[]);
    let next = table(1, &second, &file, &old, later);
    let release = releases(&old, &next, later).remove(&InstanceId(5)).unwrap();
    let third = with_members_changed(&second, &[2], &[]);
    let new = table(5, &third, &file, &Table::default(), later);
    let ready = with_release(&new, &third, &file, &release, HANDOVER, later).unwrap();
    assert!(release.leafs.iter().all(|leaf| ready.ready(*leaf, later)));
}

/// Guards against two owners: the release is for an instance that owned the leaf before the present
/// owner and may still send. With `check_releases` off, the release counts wrongly.
#[test]
fn a_release_does_not_count_if_another_instance_owned_the_leaf_after_it() {
    let (first, file) = initial_record(&[1, 3]);
    let now = Instant::now();
    let later = now + WAIT;
    let old = table(1, &first, &file, &Table::default(), now);
    let second = with_members_changed(&first, &[5, 7], &[]);
    let next = table(1, &second, &file, &old, later);
    let release = releases(&old, &next, later).remove(&InstanceId(5)).unwrap();
    let third = with_members_changed(&second, &[], &[5]);
    let new = table(7, &third, &file, &Table::default(), later);
    let taken_over = owned(&new, 7);
    let taken_over: Vec<_> = taken_over
        .intersection(&release.leafs.iter().copied().collect::<BTreeSet<_>>())
        .copied()
        .collect();
    assert!(!taken_over.is_empty());
    assert_eq!(
        with_release(&new, &third, &file, &release, HANDOVER, later).map(|_| ()),
        None
    );
    let unchecked = HandoverRules {
        check_releases: false,
        ..HANDOVER
    };
    let broken = with_release(&new, &third, &file, &release, unchecked, later).unwrap();
    assert!(taken_over.iter().all(|leaf| broken.ready(*leaf, later)));
}

/// Guards against a key owner that dates the beginning of its ownership too early and so may run a
/// request a second time.
#[test]
fn a_key_owner_knows_when_its_ownership_began() {
    let (first, file) = initial_record(&[1, 3]);
    let now = Instant::now();
    let before = table(1, &first, &file, &Table::default(), now);
    let later = now + WAIT;
    let second = with_members_changed(&first, &[5], &[3]);
    let after = table(1, &second, &file, &before, later);
    let mut kept = 0;
    for number in 0..100 {
        let key = format!("key-{number}").parse().unwrap();
        let was = before.key_owner(&key).unwrap();
        let is = after.key_owner(&key).unwrap();
        if is.owner != InstanceId(1) {
            assert_eq!(is.owned_since, None);
        } else if was.owner == InstanceId(1) {
            kept += 1;
            assert_eq!(is.owned_since, Some(now));
        } else {
            assert_eq!(is.owned_since, Some(later));
            assert_eq!(is.ready_at, Some(later + WAIT));
        }
    }
    assert!(kept > 0);
}
