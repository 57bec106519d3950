//! Anti-entropy: facts and file bodies reach all instances by exchanges of limited size.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod control_world;

use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::control::Input;
use camphorhold::coordination::control::Mutation;
use camphorhold::coordination::gossip::Fact;
use camphorhold::coordination::gossip::Facts;
use camphorhold::coordination::gossip::MAX_FACT_BYTES;
use camphorhold::coordination::proposal::Error;
use camphorhold::state::id::Fingerprint;
use camphorhold::state::id::InstanceId;
use camphorhold::state::id::LeafId;
use camphorhold::state::id::OperationId;
use camphorhold::state::view::View;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::control_world::World;
use self::control_world::file_text;
use self::control_world::scenario::HEAL_BOUND;

/// Limit of the encoded facts in an exchange, in bytes.
const BUDGET_BYTES: usize = 2048;

const A: InstanceId = InstanceId(1);

const B: InstanceId = InstanceId(2);

fn poison(fingerprint: u64, crashes: u32) -> Fact {
    Fact::Poison {
        fingerprint: Fingerprint(fingerprint),
        crashes,
    }
}

fn count(facts: &Facts) -> usize {
    facts.iter().count()
}

/// Guards against exchanges above their size limit, and against facts that never arrive: those left
/// out of a full exchange, and those that a later fact overtakes because an answer is lost or
/// arrives twice.
#[test]
fn facts_that_do_not_fit_follow_in_later_exchanges() {
    let now = Instant::now();
    let (mut a, mut b) = (Facts::default(), Facts::default());
    for number in 0..1000 {
        a.observe(A, poison(number, 1), now).unwrap();
    }
    // Unsolicited facts are the newest ones, so the peer must request the older ones by its digest.
    let unsolicited = a.unsolicited(BUDGET_BYTES, now);
    b.merge(B, &unsolicited, now);
    let mut exchanges = 0;
    while count(&b) < 1000 {
        exchanges += 1;
        assert!(exchanges < 100, "{} of 1000 facts after 100", count(&b));
        let delta = a.delta(&b.digest(), BUDGET_BYTES, now);
        let bytes: usize = delta
            .items
            .iter()
            .map(|item| postcard::to_stdvec(item).unwrap().len())
            .sum();
        assert!(bytes <= BUDGET_BYTES);
        // Every third answer is lost. Every fourth one arrives a second time.
        if exchanges % 3 > 0 {
            b.merge(B, &delta, now);
        }
        if exchanges % 4 == 0 {
            b.merge(B, &delta, now);
        }
    }
}

/// Guards against an older fact that replaces a newer one because its message arrives later.
#[test]
fn an_older_fact_does_not_replace_a_newer_one() {
    let now = Instant::now();
    let (mut a, mut b) = (Facts::default(), Facts::default());
    a.observe(A, poison(7, 1), now).unwrap();
    let older = a.delta(&b.digest(), BUDGET_BYTES, now);
    a.observe(A, poison(7, 2), now).unwrap();
    let newer = a.delta(&b.digest(), BUDGET_BYTES, now);
    b.merge(B, &newer, now);
    assert!(!b.merge(B, &older, now));
    assert!(b.iter().any(|(_, fact)| *fact == poison(7, 2)));
}

/// Guards against a renewal that makes every instance publish a view although nothing changed, and
/// against a renewed fact that expires by the age of its first observation.
#[test]
fn a_renewal_is_passed_on_without_reporting_a_change() {
    let now = Instant::now();
    let (mut a, mut b) = (Facts::default(), Facts::default());
    let mut pass_on = |a: &mut Facts, now| {
        let delta = a.delta(&b.digest(), BUDGET_BYTES, now);
        let changed = b.merge(B, &delta, now);
        let expired = b.expire(B, now);
        (changed, expired, count(&b))
    };
    assert_eq!(a.observe(A, poison(7, 1), now), Ok(true));
    assert_eq!(pass_on(&mut a, now), (true, false, 1));
    let later = now + Duration::from_secs(400);
    assert_eq!(a.observe(A, poison(7, 1), later), Ok(false));
    assert_eq!(pass_on(&mut a, later), (false, false, 1));
    let after = now + Duration::from_secs(700);
    assert_eq!(pass_on(&mut a, after), (false, false, 1));
    assert_eq!(a.observe(A, poison(7, 2), after), Ok(true));
    assert_eq!(pass_on(&mut a, after), (true, false, 1));
}

/// Guards against facts that never reach a restarted process. A delta that answers the digest of
/// the process before it arrives late and skips facts that the new process lacks. If the new
/// process counts them as known, it never requests them. Fuzzing found this
/// (`PROPTEST_RNG_SEED=31`, case seed 3526455919124731749).
#[test]
fn a_delta_for_an_earlier_process_does_not_mark_facts_as_known() {
    let now = Instant::now();
    let (mut a, mut b) = (Facts::default(), Facts::default());
    a.observe(A, poison(1, 1), now).unwrap();
    let first = a.delta(&b.digest(), BUDGET_BYTES, now);
    b.merge(B, &first, now);
    a.observe(A, poison(2, 1), now).unwrap();
    let mut late = a.delta(&b.digest(), BUDGET_BYTES, now);
    late.items.retain(|item| item.version == 2);

    while !a.unsolicited(BUDGET_BYTES, now).items.is_empty() {}

    let mut restarted = Facts::default();
    restarted.merge(B, &late, now);
    let delta = a.delta(&restarted.digest(), BUDGET_BYTES, now);
    restarted.merge(B, &delta, now);
    assert_eq!(count(&restarted), 2);
}

/// Guards against a fact that never expires because its age restarts at every instance that passes
/// it on.
#[test]
fn a_fact_expires_by_its_age_and_does_not_return() {
    let now = Instant::now();
    let (mut a, mut b) = (Facts::default(), Facts::default());
    a.observe(A, poison(7, 1), now).unwrap();
    let almost = now + Duration::from_secs(599);
    let delta = a.delta(&b.digest(), BUDGET_BYTES, almost);
    b.merge(B, &delta, almost);
    assert_eq!(count(&b), 1);
    let after = now + Duration::from_secs(601);
    b.expire(B, after);
    a.expire(A, after);
    let delta = a.delta(&b.digest(), BUDGET_BYTES, after);
    b.merge(B, &delta, after);
    assert_eq!(count(&b), 0);
}

/// Guards against a fact too large for any exchange, behind which no later fact of its origin would
/// be sent.
#[test]
fn a_fact_that_fits_no_exchange_is_rejected() {
    let fact = Fact::Evidence {
        instance: A,
        bytes: vec![0; MAX_FACT_BYTES],
    };
    assert!(Facts::default().observe(A, fact, Instant::now()).is_err());
}

/// Returns a world in which all instances have joined.
fn settled(size: usize) -> World {
    let mut world = World::new(size, 11, Mutation::None);
    world.run(HEAL_BOUND).unwrap();
    world
}

/// Returns whether the condition holds for the views of all instances.
fn all<F>(world: &World, holds: F) -> bool
where
    F: Fn(&View) -> bool,
{
    let mut views = world.nodes.iter().map(|node| node.active_view().unwrap());
    views.all(|view| holds(view))
}

/// Guards against instances that still send work to a leaf 5 s after its drain signal (invariant
/// 9), or to a version 2 s after its revocation for faults (invariant 5).
#[test]
fn drains_and_revocations_reach_everyone_in_time() {
    let mut world = settled(7);
    let leaf = LeafId(([127, 0, 0, 1], 7001).into());
    let revoked = ("app".parse().unwrap(), "v2".parse().unwrap());
    let (service, version) = revoked.clone();
    world.handle(3, Input::FactObserved(Fact::Drain { leaf }));
    let fact = Fact::Revocation { service, version };
    world.handle(4, Input::FactObserved(fact));
    world.run(Duration::from_secs(2)).unwrap();
    assert!(all(&world, |view| view.revocations.contains(&revoked)));
    world.run(Duration::from_secs(3)).unwrap();
    assert!(all(&world, |view| view.draining_leafs.contains(&leaf)));
}

/// Returns a comment of random hexadecimal digits. It compresses only to about half its size, so
/// that a file body with it still needs many parts.
fn incompressible_comment(digits: usize) -> String {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let digits = (0..digits).map(|_| char::from(b"0123456789abcdef"[random.random_range(0..16)]));
    format!("# {}\n", digits.collect::<String>())
}

/// Guards against a large file that is sent in one message, or that some instances apply too late
/// because its parts arrive slowly.
#[test]
fn a_large_file_comes_in_parts_and_is_in_force_in_time() {
    let mut world = settled(7);
    let before = world.oracle.last_accepted();
    let text = file_text(1) + &incompressible_comment(160_000);
    world.apply_text(2, 1, None, text.clone());
    world.run(Duration::from_secs(5)).unwrap();
    assert!(all(&world, |view| view.generation() > before));
    // The limit of an exchange, and a margin for the parts of a message that are neither facts nor
    // file body.
    assert!(world.network.max_message_bytes <= 16 * 1024 + 2048);
}

/// Guards against an operator's change that silently replaces the change of another operator: both
/// apply a file to the same revision at the same time.
#[test]
fn of_two_racing_file_changes_one_fails_with_a_revision_mismatch() {
    let mut world = settled(5);
    world.apply(0, 1, Some(0));
    world.apply(4, 2, Some(0));
    world.run(Duration::from_secs(5)).unwrap();
    let result = |operation: u8| {
        let operation = OperationId(u128::from(operation) + 1);
        let mut finished = world.finished.iter();
        finished
            .find(|(one, _)| *one == operation)
            .unwrap()
            .1
            .clone()
    };
    let results = [result(1), result(2)];
    assert_eq!(results.iter().filter(|one| one.is_ok()).count(), 1);
    assert!(
        results
            .iter()
            .any(|one| matches!(one, Err(Error::RevisionMismatch { .. })))
    );
}
