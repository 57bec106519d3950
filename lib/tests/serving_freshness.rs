//! Tests of the proofs that a configuration is the latest one, over a model of a store and of a group
//! of instances in virtual time.

mod freshness_world;

use camphorhold::coordination::serving::freshness::Challenge;
use camphorhold::coordination::serving::freshness::Freshness;
use freshness_world::BATCH_PAUSE;
use freshness_world::Faults;
use freshness_world::Member;
use freshness_world::REVOCATION_TIME;
use freshness_world::STEP;
use freshness_world::World;
use freshness_world::address;
use freshness_world::ms;

/// Guards against requests with keys that are refused without a fault, also while changes wait to be
/// applied, and against current reads by every instance of a group.
#[test]
fn without_faults_no_request_is_refused_and_few_instances_read() {
    for count in [1, 2, 7, 80] {
        for busy in [false, true] {
            let mut world = World::new(count, 1, Faults::default());
            let time = ms(20_000);
            if busy {
                world.run_with_changes(time);
            } else {
                world.run(time);
            }
            assert_eq!(world.refused(), 0, "{count} instances, changes: {busy}");
            // One read each 0.3 of the revocation time by the first reader are 34; one each 0.2, the
            // most that is permitted, are 50 of each of the two.
            assert!(world.reads() <= 100, "{count}: {} reads", world.reads());
        }
    }
}

/// Guards against a key that was taken away and still works: because datagrams are late, lost, sent
/// twice or in another order, or because an instance was suspended before, during or after a read.
#[test]
fn no_key_works_after_the_revocation_time_whatever_is_late() {
    for (count, seeds) in [(1, 24), (7, 24), (80, 6)] {
        let mut accepted = 0;
        for seed in 0..seeds {
            let faults = Faults {
                loss: 0.2,
                duplication: 0.2,
                delay: ms([20, 500, 6_000][usize::try_from(seed % 3).expect("small")]),
                failure: 0.001,
                longest_failure: ms(8_000),
            };
            let mut world = World::new(count, seed, faults);
            world.run_with_changes(ms(20_000));
            let members = world.members.iter();
            accepted += members.map(|member| member.accepted).sum::<usize>();
        }
        // Not vacuous: keys are accepted for a tenth of the time or more.
        let steps = count * usize::try_from(seeds).expect("few seeds") * 4_000;
        assert!(accepted > steps / 10, "{count} instances: {accepted}");
    }
}

/// Guards against a proof that a datagram of a suspended reader renews: it has read long before it
/// sends.
#[test]
fn an_answer_that_was_held_back_proves_only_the_moment_of_the_challenge() {
    let mut reader = Freshness::new(1);
    let begun = reader.begin_read(ms(500));
    reader.on_version(1);
    reader.on_listed(begun, 1);
    let mut recipient = Freshness::new(77);
    recipient.on_version(1);
    let challenge = recipient.challenge(REVOCATION_TIME, ms(1_000));
    reader.on_challenge(address(9), challenge);
    let begun = reader.begin_read(ms(1_010));
    let answers = reader.on_read(begun, 1);
    assert_eq!(answers, [(address(9), challenge.number)]);
    // The reader is suspended here, while the configuration changes.
    recipient.on_answer(challenge.number, reader.version());
    assert_eq!(recipient.age(ms(2_900)), Some(ms(1_900)));
    assert!(recipient.is_proven(REVOCATION_TIME, ms(2_900)));
    assert!(!recipient.is_proven(REVOCATION_TIME, ms(3_000)));
    recipient.on_answer(challenge.number, reader.version());
    assert!(!recipient.is_proven(REVOCATION_TIME, ms(3_000)));
}

/// Guards against answers to challenges of an earlier process, and to numbers that were never sent.
#[test]
fn an_answer_to_an_unknown_challenge_proves_nothing() {
    let mut freshness = Freshness::new(u64::MAX);
    freshness.on_version(3);
    let first = freshness.challenge(REVOCATION_TIME, ms(1_000));
    let second = freshness.challenge(REVOCATION_TIME, ms(1_200));
    assert_ne!(first.number, second.number);
    for number in [5, first.number - 1, second.number + 1] {
        freshness.on_answer(number, 3);
        assert_eq!(freshness.age(ms(1_300)), None);
    }
    freshness.on_answer(first.number, 2);
    assert_eq!(freshness.age(ms(1_300)), Some(ms(300)));
}

/// Guards against an answer about a later configuration that is taken for a proof of the one in force,
/// or is forgotten when that one arrives.
#[test]
fn an_answer_about_a_later_version_counts_once_it_is_in_force() {
    let mut freshness = Freshness::new(1);
    freshness.on_version(3);
    let challenge = freshness.challenge(REVOCATION_TIME, ms(1_000));
    freshness.on_answer(challenge.number, 4);
    assert_eq!(freshness.age(ms(1_100)), None);
    assert!(freshness.wants_changes(REVOCATION_TIME, ms(1_100)));
    freshness.on_version(4);
    assert_eq!(freshness.age(ms(1_100)), Some(ms(100)));
    assert!(!freshness.wants_changes(REVOCATION_TIME, ms(1_100)));
}

/// Guards against a read that proves a configuration although changes that it has shown are not
/// applied yet, as during the pause after changes.
#[test]
fn a_read_counts_once_the_changes_that_it_has_shown_are_applied() {
    let mut freshness = Freshness::new(1);
    freshness.on_version(1);
    let begun = freshness.begin_read(ms(0));
    freshness.on_listed(begun, 5);
    freshness.on_challenge(
        address(3),
        Challenge {
            number: 8,
            urgent: false,
        },
    );
    let begun = freshness.begin_read(ms(1_000));
    assert!(freshness.on_read(begun, 7).is_empty());
    assert_eq!(freshness.age(ms(1_100)), Some(ms(1_100)));
    assert!(freshness.wants_changes(REVOCATION_TIME, ms(1_100)));
    assert!(freshness.on_applied(6).is_empty());
    assert_eq!(freshness.age(ms(1_100)), Some(ms(1_100)));
    assert_eq!(freshness.on_applied(7), [(address(3), 8)]);
    assert_eq!(freshness.age(ms(1_100)), Some(ms(100)));
}

/// Guards against instances without contact to the store that get no proofs because their readers
/// have none either, and against a key that works there although others have read that it is gone.
#[test]
fn instances_cut_off_from_the_store_get_proofs_from_any_that_is_not() {
    for (count, with_store) in [(7, 6), (7, 3), (80, 79), (80, 40)] {
        for seed in 0..4 {
            let mut world = World::new(count, seed, Faults::default());
            world.run(ms(3_000));
            for rank in 0..count {
                world.members[rank].has_store = rank == with_store;
            }
            world.run(ms(10_000));
            assert_eq!(world.refused(), 0, "only {with_store} of {count}");
            world.write_configuration();
            world.run(ms(3_000));
            for rank in 0..count {
                let is_proven = world.members[rank]
                    .freshness
                    .is_proven(REVOCATION_TIME, world.now);
                assert_eq!(is_proven, rank == with_store, "{rank}");
            }
        }
    }
}

/// Guards against requests that are refused because the readers of the group were killed.
#[test]
fn readers_that_end_are_replaced() {
    for (count, ended) in [(7, 1), (7, 2), (80, 2)] {
        let mut world = World::new(count, 3, Faults::default());
        world.run(ms(3_000));
        for reader in &mut world.members[..ended] {
            reader.suspended_until = ms(1_000_000);
        }
        world.run_with_changes(ms(10_000));
        assert_eq!(world.refused(), 0, "{ended} of {count}");
    }
}

/// Guards against keys that work for ever, or stop at once, while the store does not answer anyone,
/// and against instances that do not recover.
#[test]
fn without_the_store_proofs_expire_and_come_back() {
    for count in [1, 7, 80] {
        let mut world = World::new(count, 5, Faults::default());
        world.run(ms(3_000));
        for member in &mut world.members {
            member.has_store = false;
        }
        world.run(ms(1_000));
        assert_eq!(world.refused(), 0);
        world.run(ms(1_500));
        let now = world.now;
        let is_proven = |member: &Member| member.freshness.is_proven(REVOCATION_TIME, now);
        assert!(!world.members.iter().any(is_proven));
        for member in &mut world.members {
            member.has_store = true;
        }
        world.run(ms(1_000));
        let now = world.now;
        let is_proven = |member: &Member| member.freshness.is_proven(REVOCATION_TIME, now);
        assert!(world.members.iter().all(is_proven));
    }
}

/// Guards against a proof from before a restore of the store, or from what a copy holds: the change
/// that took a key away may be missing until it is written again.
#[test]
fn after_a_restore_there_is_no_proof_until_all_is_written_again() {
    for count in [1, 7, 80] {
        let mut world = World::new(count, 6, Faults::default());
        world.run(ms(3_000));
        // The last change is lost, and read by none but the first instance.
        world.write_configuration();
        world.members[0].next_watch = world.now;
        world.step();
        world.era += 1;
        world.revision = 1;
        world.version = 1;
        world.run(BATCH_PAUSE + STEP);
        let now = world.now;
        let is_proven = |member: &Member| member.freshness.is_proven(REVOCATION_TIME, now);
        assert!(!world.members.iter().any(is_proven));
        world.run(ms(1_200));
        let now = world.now;
        let is_proven = |member: &Member| member.freshness.is_proven(REVOCATION_TIME, now);
        assert!(!world.members.iter().any(is_proven));
        world.version = 2;
        world.revision += 1;
        world.run(ms(2_000));
        let now = world.now;
        let is_proven = |member: &Member| member.freshness.is_proven(REVOCATION_TIME, now);
        assert!(world.members.iter().all(is_proven));
    }
}

/// Guards against a read of the time before a restore whose answer arrives after it: revisions are
/// given out again.
#[test]
fn a_read_from_before_a_restore_proves_nothing() {
    let mut freshness = Freshness::new(1);
    freshness.on_version(1);
    let begun = freshness.begin_read(ms(0));
    freshness.on_listed(begun, 5);
    let before = freshness.begin_read(ms(1_000));
    freshness.on_restored();
    assert_eq!(freshness.read_due(REVOCATION_TIME, 0, 1), None);
    freshness.on_rewriting(ms(900));
    assert!(freshness.on_read(before.clone(), 0).is_empty());
    assert!(freshness.on_listed(before, 0).is_empty());
    assert_eq!(freshness.age(ms(1_200)), None);
    // The listing of the new era was sent too early to be a proof itself.
    let begun = freshness.begin_read(ms(800));
    freshness.on_listed(begun, 9);
    assert_eq!(freshness.age(ms(1_200)), None);
}
