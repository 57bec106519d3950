//! Tests of which leafs may receive calls, and of the choice among those.

mod serving_support;

use std::time::Instant;

use camphorhold::coordination::serving::Fleet;
use camphorhold::coordination::serving::fleet::CallResult;
use camphorhold::coordination::serving::fleet::LeafEntry;
use camphorhold::coordination::serving::fleet::LeafKey;
use camphorhold::coordination::serving::fleet::LeafLimits;
use camphorhold::coordination::serving::fleet::Standing;
use serving_support::AMPLE_LIMITS;
use serving_support::entry;
use serving_support::fleet;
use serving_support::ms;

fn chosen(fleet: &Fleet, now: Instant) -> Option<String> {
    chosen_with(fleet, AMPLE_LIMITS, now)
}

fn chosen_with(fleet: &Fleet, limits: LeafLimits, now: Instant) -> Option<String> {
    let key = fleet.choose("s", limits, now, &[], 0.0)?;
    Some(fleet.get(key)?.entry().id.to_string())
}

fn key(fleet: &Fleet, id: &str, now: Instant) -> LeafKey {
    let mut avoid = Vec::new();
    loop {
        let key = fleet.choose("s", AMPLE_LIMITS, now, &avoid, 0.0);
        let key = key.expect("the leaf should be available");
        if fleet.get(key).is_some_and(|leaf| &*leaf.entry().id == id) {
            return key;
        }
        avoid.push(key);
    }
}

/// Guards against calls to another failure domain, whose bytes are billed, while a leaf in the
/// instance's own domain can serve them.
#[test]
fn a_leaf_in_the_own_failure_domain_is_preferred() {
    let now = Instant::now();
    let fleet = fleet(&[("far", "s", "b"), ("near", "s", "a")], now);
    assert_eq!(chosen(&fleet, now).as_deref(), Some("near"));
}

/// Guards against new calls to a leaf whose entry states that it is draining.
#[test]
fn a_draining_leaf_gets_no_calls() {
    let now = Instant::now();
    let mut fleet = fleet(&[("far", "s", "b"), ("near", "s", "a")], now);
    let mut draining = entry("near", "s", "a");
    draining.standing = Standing::Draining;
    fleet.update(draining, now);
    assert_eq!(chosen(&fleet, now).as_deref(), Some("far"));
}

/// Guards against calls to a failure domain that was taken out of service, and against a domain
/// that gets no calls after its return.
#[test]
fn an_evacuated_domain_gets_no_calls_until_it_is_back_in_service() {
    let now = Instant::now();
    let mut fleet = fleet(&[("near", "s", "a")], now);
    fleet.set_evacuated("a", true);
    assert_eq!(chosen(&fleet, now), None);
    fleet.set_evacuated("a", false);
    assert_eq!(chosen(&fleet, now).as_deref(), Some("near"));
}

/// Guards against calls to a version that may be bad because no rollout has judged it yet, and
/// against a service without any leaf because the excluded version is the only one.
#[test]
fn an_excluded_version_gets_no_calls_while_another_version_has_leafs() {
    let now = Instant::now();
    let mut fleet = fleet(&[("far", "s", "b")], now);
    let mut new = entry("near", "s", "a");
    new.version = "v2".into();
    fleet.update(new, now);
    fleet.set_excluded_version("s", Some("v2".into()));
    assert_eq!(chosen(&fleet, now).as_deref(), Some("far"));
    fleet.remove("far", None, now);
    assert_eq!(chosen(&fleet, now).as_deref(), Some("near"));
    fleet.update(entry("far", "s", "b"), now);
    fleet.set_excluded_version("s", None);
    assert_eq!(chosen(&fleet, now).as_deref(), Some("near"));
}

/// Guards against calls to an address where another leaf now answers, while the entry of the
/// previous leaf still exists.
#[test]
fn a_leaf_whose_address_is_taken_over_gets_no_calls() {
    let now = Instant::now();
    let mut fleet = fleet(&[("near", "s", "a")], now);
    let near = key(&fleet, "near", now);
    fleet.on_sent(near, ms(10), now);
    fleet.on_result(near, now, CallResult::Replaced, now);
    assert_eq!(chosen(&fleet, now), None);
    assert_eq!(chosen(&fleet, now + ms(1_999)), None);
}

/// Guards against a leaf that gets no calls for good after one wrong answer at its address. In the
/// soak (seed 27) it was excluded until its entry changed, which may never happen while the leaf
/// runs.
#[test]
fn a_leaf_reported_as_replaced_is_tested_again_if_its_entry_stays() {
    let now = Instant::now();
    let mut fleet = fleet(&[("near", "s", "a")], now);
    let near = key(&fleet, "near", now);
    fleet.on_sent(near, ms(10), now);
    fleet.on_result(near, now, CallResult::Replaced, now);
    let later = now + ms(2_000);
    assert_eq!(chosen(&fleet, later).as_deref(), Some("near"));
    fleet.on_sent(near, ms(10), later);
    assert_eq!(chosen(&fleet, later), None, "one call tests the leaf");
    fleet.on_result(near, later, CallResult::Answered(ms(10)), later);
    assert_eq!(chosen(&fleet, later).as_deref(), Some("near"));
}

/// Guards against a service without leafs after an outage of the store: the leases of all entries
/// expire although the leafs run, and it takes two seconds until the entries are restored.
#[test]
fn a_leaf_with_an_expired_lease_is_kept_until_its_entry_is_due_back() {
    let now = Instant::now();
    let mut fleet = fleet(&[("near", "s", "a")], now);
    fleet.remove("near", Some(now + ms(2_300)), now);
    assert_eq!(chosen(&fleet, now + ms(2_000)).as_deref(), Some("near"));
    assert_eq!(fleet.expire(now + ms(2_200)).len(), 0);
    assert_eq!(fleet.expire(now + ms(2_300)).len(), 1);
    assert_eq!(chosen(&fleet, now + ms(2_300)), None);
}

/// Guards against removing a running leaf at the end of that time although it has restored its
/// entry.
#[test]
fn a_leaf_that_restores_its_entry_in_time_is_kept() {
    let now = Instant::now();
    let mut fleet = fleet(&[("near", "s", "a")], now);
    fleet.remove("near", Some(now + ms(2_300)), now);
    fleet.update(entry("near", "s", "a"), now + ms(1_000));
    assert_eq!(fleet.expire(now + ms(5_000)).len(), 0);
}

/// Guards against calls to a leaf after its entry was removed without a time to wait for its
/// return.
#[test]
fn a_removed_leaf_gets_no_calls() {
    let now = Instant::now();
    let mut fleet = fleet(&[("near", "s", "a")], now);
    fleet.remove("near", None, now);
    assert_eq!(chosen(&fleet, now), None);
    assert!(fleet.is_empty());
}

/// Guards against applying the connections and measurements of one incarnation of a leaf to the
/// next, which has the same id.
#[test]
fn a_new_incarnation_under_the_same_id_is_another_leaf() {
    let now = Instant::now();
    let mut fleet = fleet(&[], now);
    let mut first = entry("near", "s", "a");
    first.started_unix_ms = Some(1);
    let mut second = entry("near", "s", "a");
    second.started_unix_ms = Some(2);
    let before = fleet.update(first, now).unwrap();
    let after = fleet.update(second, now).unwrap();
    assert_ne!(before, after);
    assert!(fleet.get(before).is_none());
    assert_eq!(fleet.len(), 1);
}

/// Guards against further calls to a paused leaf. It answers nothing, so calls that take too long
/// are the first sign.
#[test]
fn a_leaf_whose_call_is_overdue_is_avoided() {
    let now = Instant::now();
    let mut fleet = fleet(&[("far", "s", "b"), ("near", "s", "a")], now);
    let near = key(&fleet, "near", now);
    fleet.on_sent(near, ms(20), now);
    assert_eq!(chosen(&fleet, now + ms(20)).as_deref(), Some("near"));
    assert_eq!(chosen(&fleet, now + ms(90)).as_deref(), Some("far"));
}

/// Guards against calls to a slow leaf while a faster one exists, and against avoiding it for good:
/// it gets no samples that would correct its estimate.
#[test]
fn a_slow_leaf_is_avoided_and_tried_again_later() {
    let now = Instant::now();
    let mut fleet = fleet(&[("far", "s", "b"), ("near", "s", "a")], now);
    let near = key(&fleet, "near", now);
    for call in 0..6 {
        let at = now + ms(call);
        fleet.on_sent(near, ms(20), at);
        fleet.on_result(near, at, CallResult::Answered(ms(200)), at);
    }
    assert_eq!(chosen(&fleet, now + ms(10)).as_deref(), Some("far"));
    assert_eq!(chosen(&fleet, now + ms(8_000)).as_deref(), Some("near"));
}

/// Guards against many calls to a leaf that has just failed to accept a connection: during its
/// backoff it gets none, and afterwards one call at a time until that is answered.
#[test]
fn an_unreachable_leaf_is_tested_by_one_call_after_its_backoff() {
    let now = Instant::now();
    let mut fleet = fleet(&[("near", "s", "a")], now);
    let near = key(&fleet, "near", now);
    fleet.on_sent(near, ms(20), now);
    fleet.on_result(near, now, CallResult::Disconnected, now);
    assert_eq!(chosen(&fleet, now + ms(10)), None);
    assert!(fleet.has_candidates("s", now + ms(100)));
    let later = now + ms(50);
    assert_eq!(chosen(&fleet, later).as_deref(), Some("near"));
    fleet.on_sent(near, ms(20), later);
    assert_eq!(chosen(&fleet, later), None);
    fleet.on_result(near, later, CallResult::Answered(ms(20)), later + ms(20));
    assert_eq!(chosen(&fleet, later + ms(20)).as_deref(), Some("near"));
}

/// Guards against connections that a leaf resets, because it limits their number over all
/// instances.
#[test]
fn the_connections_of_a_leaf_are_divided_among_the_instances() {
    let now = Instant::now();
    let mut fleet = fleet(&[("near", "s", "a")], now);
    fleet.set_instances(7, 3);
    let limits = LeafLimits {
        max_connections: 26,
        cold_rate: None,
    };
    let limit = fleet.connection_limit(limits);
    assert!(limit * 7 <= 26, "{limit}");
    let near = key(&fleet, "near", now);
    for _ in 0..limit {
        fleet.on_sent(near, ms(20), now);
    }
    assert_eq!(chosen_with(&fleet, limits, now), None);
}

/// Guards against calls without a connection: with 87 instances and 66 connections, an equal share
/// is below one. The connections are divided among the owners of the leaf's shard instead.
#[test]
fn scarce_connections_go_to_the_owners() {
    let now = Instant::now();
    let mut fleet = fleet(&[("near", "s", "a")], now);
    fleet.set_instances(87, 3);
    let limits = LeafLimits {
        max_connections: 66,
        cold_rate: None,
    };
    assert!(fleet.connections_are_scarce(limits));
    let limit = fleet.connection_limit(limits);
    assert!(limit >= 2 && limit * 3 * 2 <= 66, "{limit}");
}

/// Guards against the crash of a cold leaf, which happens above a rate that counts the calls of all
/// instances.
#[test]
fn the_rate_of_a_cold_leaf_is_divided_among_the_instances() {
    let now = Instant::now();
    let mut fleet = fleet(&[], now);
    fleet.set_instances(3, 3);
    let mut cold = entry("near", "s", "a");
    cold.cold_remaining = ms(3_000);
    let near = fleet.update(cold, now).unwrap();
    let limits = LeafLimits {
        max_connections: 100,
        cold_rate: Some(6.0),
    };
    for _ in 0..2 {
        assert!(chosen_with(&fleet, limits, now).is_some());
        fleet.on_sent(near, ms(20), now);
        fleet.on_result(near, now, CallResult::Answered(ms(20)), now);
    }
    assert_eq!(chosen_with(&fleet, limits, now + ms(900)), None);
    assert!(chosen_with(&fleet, limits, now + ms(1_001)).is_some());
    assert!(chosen_with(&fleet, limits, now + ms(3_000)).is_some());
}

/// Guards against the crash of a cold leaf that can take 40 calls per second, when each of 87
/// instances sends it a single call in the same second.
#[test]
fn a_cold_leaf_gets_no_calls_if_its_rate_is_below_one_call_per_instance() {
    let now = Instant::now();
    let mut fleet = fleet(&[], now);
    fleet.set_instances(87, 3);
    let mut cold = entry("near", "s", "a");
    cold.cold_remaining = ms(3_000);
    fleet.update(cold, now);
    let limits = LeafLimits {
        max_connections: 100,
        cold_rate: Some(40.0),
    };
    assert_eq!(chosen_with(&fleet, limits, now), None);
    assert!(chosen_with(&fleet, limits, now + ms(3_000)).is_some());
}

/// Returns an entry as a leaf that started at a known time writes it.
fn written(number: u64, standing: Standing) -> LeafEntry {
    let mut written = entry("near", "s", "a");
    written.started_unix_ms = Some(1);
    written.write_number = number;
    written.standing = standing;
    written
}

/// Guards against calls to a draining leaf after the store was restored from a copy that lists it as
/// ready.
#[test]
fn an_earlier_entry_of_a_draining_leaf_is_ignored() {
    let now = Instant::now();
    let mut fleet = fleet(&[], now);
    fleet.update(written(5, Standing::Draining), now);
    fleet.on_store_restored();
    assert_eq!(fleet.update(written(2, Standing::Ready), now), None);
    assert_eq!(chosen(&fleet, now), None);
}

/// Guards against calls to a leaf that has left and is listed again after the store was restored
/// from a copy, and against a running leaf that stays shut out.
#[test]
fn a_leaf_that_left_before_a_restore_returns_only_with_a_later_entry() {
    let now = Instant::now();
    for returns in [
        Some(written(6, Standing::Ready)),
        Some(LeafEntry {
            started_unix_ms: Some(2),
            ..written(1, Standing::Ready)
        }),
        None,
    ] {
        let mut fleet = fleet(&[], now);
        fleet.update(written(5, Standing::Ready), now);
        fleet.remove("near", None, now);
        fleet.on_store_restored();
        assert_eq!(fleet.update(written(5, Standing::Ready), now), None);
        assert_eq!(chosen(&fleet, now), None);
        if let Some(entry) = returns {
            assert!(fleet.update(entry, now).is_some());
        } else {
            fleet.forget_left();
            assert!(fleet.update(written(5, Standing::Ready), now).is_some());
        }
        assert_eq!(chosen(&fleet, now).as_deref(), Some("near"));
    }
}

/// Guards against a leaf that stays shut out because its entry lapsed and was written again while
/// the store kept everything.
#[test]
fn a_leaf_may_return_with_the_same_entry_if_the_store_was_not_restored() {
    let now = Instant::now();
    let mut fleet = fleet(&[], now);
    fleet.update(written(5, Standing::Ready), now);
    fleet.remove("near", None, now);
    assert!(fleet.update(written(5, Standing::Ready), now).is_some());
    assert_eq!(chosen(&fleet, now).as_deref(), Some("near"));
}

/// Guards against calls to a leaf that has said that it is leaving, while its entry says that it is
/// ready, and against a leaf that is never used again after a restart.
#[test]
fn a_leaving_leaf_gets_no_calls_until_it_has_started_again() {
    for started in [None, Some(7)] {
        let now = Instant::now();
        let mut fleet = fleet(&[("far", "s", "b")], now);
        let mut near = entry("near", "s", "a");
        near.started_unix_ms = started;
        near.write_number = 5;
        let leaf = fleet.update(near.clone(), now).expect("an entry");
        assert!(fleet.on_leaving(leaf));
        assert!(!fleet.on_leaving(leaf));
        near.write_number = 6;
        fleet.update(near.clone(), now);
        assert_eq!(chosen(&fleet, now + ms(60_000)).as_deref(), Some("far"));
        near.write_number = 1;
        near.started_unix_ms = started.map(|started| started + 1);
        fleet.update(near, now);
        assert_eq!(chosen(&fleet, now).as_deref(), Some("near"));
    }
}

/// Guards against calls to a leaf that has asked for none for a while, also after answers to other
/// calls and after a second, shorter wish, and against waiting for it.
#[test]
fn a_resting_leaf_gets_no_calls() {
    let now = Instant::now();
    let mut fleet = fleet(&[("near", "s", "a")], now);
    let near = key(&fleet, "near", now);
    fleet.on_sent(near, ms(20), now);
    fleet.on_sent(near, ms(20), now + ms(1));
    fleet.on_result(near, now, CallResult::Refused, now + ms(5));
    fleet.on_rest(near, now + ms(2_005));
    fleet.on_result(
        near,
        now + ms(1),
        CallResult::Answered(ms(20)),
        now + ms(21),
    );
    fleet.on_rest(near, now + ms(500));
    assert_eq!(chosen(&fleet, now + ms(2_004)), None);
    assert!(!fleet.has_candidates("s", now + ms(2_004)));
    assert!(fleet.has_candidates("s", now + ms(2_005)));
    assert_eq!(fleet.rest_end("s", now + ms(100)), Some(now + ms(2_005)));
    assert_eq!(fleet.rest_end("s", now + ms(2_005)), None);
    assert_eq!(chosen(&fleet, now + ms(2_005)).as_deref(), Some("near"));
}

/// Guards against leafs that are compared with those of a failure domain that works, although their own
/// has failed.
#[test]
fn lost_leafs_are_compared_with_other_services_of_their_failure_domain() {
    let now = Instant::now();
    let fleet = fleet(
        &[
            ("s1a", "s1", "a"),
            ("s1b", "s1", "b"),
            ("s2a", "s2", "a"),
            ("s2b", "s2", "b"),
        ],
        now,
    );
    let key = |id: &str| fleet.find(id).unwrap();
    let sample = |services: &[&str], lost: &str| {
        fleet.sample_of_others(services, &[key(lost)], &[key("s1a")], 3, 0.0)
    };
    assert_eq!(sample(&["s1"], "s1a"), [key("s2a")]);
    assert_eq!(sample(&["s1"], "s1b"), [key("s2b")]);
    // A query to all services has only leafs that it has not called.
    assert!(!sample(&["s1", "s2"], "s1a").contains(&key("s1a")));
}

/// Guards against a query that is tried although the leafs that are left do the work of others, and
/// against one that is never tried because a service has one leaf only.
#[test]
fn a_shard_can_spare_a_leaf_while_another_one_is_reached() {
    let now = Instant::now();
    let mut fleet = fleet(
        &[("s1a", "s1", "a"), ("s1b", "s1", "b"), ("s2a", "s2", "a")],
        now,
    );
    assert!(fleet.can_spare_leafs(["s1", "s2"], 1.0));
    let lost = fleet.find("s1a").unwrap();
    fleet.on_sent(lost, ms(10), now);
    fleet.on_result(lost, now, CallResult::Disconnected, now);
    assert!(!fleet.can_spare_leaf("s1"));
    assert!(fleet.can_spare_leafs(["s1", "s2"], 0.5));
    assert!(!fleet.can_spare_leafs(["s1", "s2"], 0.6));
    fleet.on_sent(lost, ms(10), now);
    fleet.on_result(lost, now, CallResult::Answered(ms(10)), now);
    assert!(fleet.can_spare_leaf("s1"));
}
