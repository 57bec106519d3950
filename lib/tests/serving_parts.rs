//! Tests of how instances divide retry budgets, requests and shards, and of the shutdown of an
//! instance.

mod serving_support;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::serving::Instances;
use camphorhold::coordination::serving::RetryBudgets;
use camphorhold::coordination::serving::instances::Capacity;
use camphorhold::coordination::serving::instances::HandoverOutcome;
use camphorhold::coordination::serving::instances::HandoverRole;
use camphorhold::coordination::serving::instances::Location;
use camphorhold::coordination::serving::retry_budget::Bound;
use camphorhold::coordination::serving::retry_budget::ExtraCall;
use camphorhold::coordination::serving::shutdown::Shutdown;
use camphorhold::coordination::serving::split::Split;
use camphorhold::state::plan::Share;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serving_support::fleet;
use serving_support::ms;

const BOUND: Bound = Bound {
    ratio: 0.2,
    extra: 54.0,
    window: Duration::from_secs(10),
};

const INSTANCES: usize = 7;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(0x5e21),
        ..ProptestConfig::default()
    })]

    /// Guards against more extra calls than the bound permits, although each instance counts only
    /// its own requests. The bound applies to the extra calls of all instances in any window, and
    /// to the most requests in that window, the one before it or the one half a window before it.
    #[test]
    fn extra_calls_of_all_instances_stay_within_the_bound(
        events in proptest::collection::vec((0..INSTANCES, 0..40_u64, any::<bool>()), 1..800),
    ) {
        let start = Instant::now();
        let mut all: Vec<RetryBudgets> = (0..INSTANCES)
            .map(|_| RetryBudgets::new(BOUND, INSTANCES, start))
            .collect();
        let mut now = start;
        let mut requests = Vec::new();
        let mut extras = Vec::new();
        for (instance, pause, hedge) in events {
            now += ms(pause);
            all[instance].on_request("s", now);
            requests.push(now);
            let purpose = if hedge { ExtraCall::Hedge } else { ExtraCall::Retry };
            while all[instance].take("s", purpose, now) {
                extras.push(now);
            }
        }
        let count = |times: &[Instant], from: Instant| {
            times.iter().filter(|time| **time >= from && **time < from + BOUND.window).count()
        };
        for &from in &extras {
            let earlier = |by: Duration| from.checked_sub(by).map_or(0, |at| count(&requests, at));
            let most = count(&requests, from)
                .max(earlier(BOUND.window / 2))
                .max(earlier(BOUND.window));
            #[expect(clippy::cast_precision_loss, reason = "the counts are small")]
            let allowed = most as f64 * BOUND.ratio + BOUND.extra;
            #[expect(clippy::cast_precision_loss, reason = "the counts are small")]
            let used = count(&extras, from) as f64;
            prop_assert!(used <= allowed, "{used} extra calls, {allowed} allowed");
        }
    }

    /// Guards against services whose requests drift away from their share by weight the longer the
    /// instance runs.
    #[test]
    fn a_split_stays_close_to_its_weights(
        weights in proptest::collection::vec(0.0..10.0_f64, 1..5),
        requests in 1..400_u32,
    ) {
        let shares: Vec<Share> = weights
            .iter()
            .enumerate()
            .map(|(index, weight)| Share { service: index.to_string().into(), weight: *weight })
            .collect();
        let total: f64 = weights.iter().sum();
        prop_assume!(total > 0.0);
        let mut split = Split::default();
        let mut counts = vec![0.0; weights.len()];
        for _ in 0..requests {
            let index: usize = split.next(&shares).unwrap().parse().unwrap();
            counts[index] += 1.0;
        }
        for (count, weight) in counts.iter().zip(&weights) {
            let exact = f64::from(requests) * weight / total;
            #[expect(clippy::cast_precision_loss, reason = "there are few services")]
            let bound = weights.len() as f64;
            prop_assert!((count - exact).abs() <= bound, "{count} instead of {exact}");
        }
    }
}

/// Guards against hedges that use up the budget for retries: a retry replaces an answer that is
/// lost for certain, a hedge one that is merely late.
#[test]
fn hedges_leave_a_reserve_for_retries() {
    let now = Instant::now();
    let mut retry_budgets = RetryBudgets::new(BOUND, 1, now);
    while retry_budgets.take("s", ExtraCall::Hedge, now) {}
    assert!(retry_budgets.take("s", ExtraCall::Retry, now));
}

/// Guards against limits that are divided among too few instances: one that lost its registration
/// may still run and make calls.
#[test]
fn an_instance_that_lost_its_registration_still_counts_for_a_minute() {
    let now = Instant::now();
    let mut instances = Instances::new("1".into(), "a".into());
    instances.add("1", None);
    instances.add("2", None);
    instances.remove("2", now);
    assert_eq!(instances.count(now + ms(59_000)), 2);
    assert_eq!(instances.count(now + ms(60_000)), 1);
}

/// Guards against limits that are divided among the failure domains of instances that left long ago,
/// and against state that grows with each instance that was ever registered.
#[test]
fn instances_that_left_are_forgotten() {
    let now = Instant::now();
    let mut instances = Instances::new("1".into(), "a".into());
    instances.add("1", Some(location("a")));
    for number in 0..100 {
        let name = format!("b{number}");
        instances.add(&name, Some(location("b")));
        instances.remove(&name, now);
    }
    assert_eq!(instances.domains(), 2);
    instances.add("2", Some(location("a")));
    instances.remove("2", now + ms(60_000));
    assert_eq!(instances.domains(), 1);
}

fn location(domain: &str) -> Location {
    sized_location(domain, 1.0)
}

fn sized_location(domain: &str, cores: f64) -> Location {
    Location {
        domain: domain.into(),
        address: SocketAddr::from(([10, 0, 0, 1], 7000)),
        capacity: Capacity::from_cores(cores),
        protocol: 1,
    }
}

fn numbered<'a>(shards: &[&'a str]) -> Vec<(usize, &'a str)> {
    shards.iter().copied().enumerate().collect()
}

/// Guards against one call per shard to another failure domain where a single handover is cheaper,
/// and against handovers of so few shards that their calls are cheaper.
#[test]
fn shards_without_a_leaf_in_the_own_domain_are_handed_over() {
    let now = Instant::now();
    let leafs = [
        ("1", "s1", "a"),
        ("2", "s2", "b"),
        ("3", "s3", "b"),
        ("4", "s4", "b"),
        ("5", "s5", "c"),
    ];
    let fleet = fleet(&leafs, now);
    let mut instances = Instances::new("1".into(), "a".into());
    instances.add("2", Some(location("b")));
    instances.add("3", Some(location("c")));
    let shards = numbered(&["s1", "s2", "s3", "s4", "s5"]);
    let groups = instances.assign(&fleet, &shards, now, 0.0);
    assert_eq!(groups.len(), 1);
    assert_eq!(&*groups[0].name, "2");
    assert_eq!(groups[0].shards, [1, 2, 3]);
}

/// Guards against further handovers to an instance that has just failed one, and against an
/// instance that gets none for good.
#[test]
fn an_instance_gets_no_handovers_for_a_while_after_a_failed_one() {
    let now = Instant::now();
    let leafs = [("2", "s2", "b"), ("3", "s3", "b"), ("4", "s4", "b")];
    let fleet = fleet(&leafs, now);
    let mut instances = Instances::new("1".into(), "a".into());
    instances.add("2", Some(location("b")));
    let shards = numbered(&["s2", "s3", "s4"]);
    instances.on_sent("2", shards.len());
    instances.on_end("2", HandoverOutcome::Failed, now);
    assert_eq!(instances.assign(&fleet, &shards, now, 0.0), []);
    let later = now + ms(500);
    assert_eq!(instances.assign(&fleet, &shards, later, 0.0).len(), 1);
}

/// Guards against an instance that gets no handovers because callers have left before it answered.
#[test]
fn an_abandoned_handover_says_nothing_about_its_instance() {
    let now = Instant::now();
    let leafs = [("2", "s2", "b"), ("3", "s3", "b"), ("4", "s4", "b")];
    let fleet = fleet(&leafs, now);
    let mut instances = Instances::new("1".into(), "a".into());
    instances.add("2", Some(location("b")));
    let shards = numbered(&["s2", "s3", "s4"]);
    instances.on_sent("2", shards.len());
    instances.on_end("2", HandoverOutcome::Abandoned, now);
    assert_eq!(instances.assign(&fleet, &shards, now, 0.0).len(), 1);
}

const DOMAINS: [&str; 5] = ["a", "b", "c", "d", "e"];

/// The shards of a query at the size of the large deployment.
const MANY_SHARDS: usize = 87;

/// Returns leafs for [`MANY_SHARDS`] shards with two leafs each, in two of five domains.
fn spread_leafs() -> Vec<(String, String, &'static str)> {
    (0..MANY_SHARDS)
        .flat_map(|shard| {
            [0, 1].map(|replica| {
                let id = format!("i-{shard}-{replica}");
                (id, format!("s{shard}"), DOMAINS[(shard + replica) % 5])
            })
        })
        .collect()
}

/// Returns the view of an instance in a domain of 3 large and 36 small instances, and of as many in
/// each of the four other domains.
fn many_instances(own: &str) -> Instances {
    let mut instances = Instances::new(own.into(), "a".into());
    for domain in DOMAINS {
        for number in 0..39 {
            let cores = if number < 3 { 0.5 } else { 0.12 };
            let name = format!("{domain}{number}");
            instances.add(&name, Some(sized_location(domain, cores)));
        }
    }
    instances
}

/// Guards against one exchange across domains per shard. On large deployments, where shards have
/// owners, each owner called the leafs of other domains, and the bytes between domains cost a fifth
/// of the benefit. All shards without a leaf in the domain must cross in a few exchanges.
#[test]
fn shards_of_other_domains_cross_the_boundary_together() {
    let now = Instant::now();
    let leafs = spread_leafs();
    let leafs: Vec<_> = leafs
        .iter()
        .map(|(id, service, domain)| (&**id, &**service, *domain))
        .collect();
    let fleet = fleet(&leafs, now);
    let names: Vec<String> = (0..MANY_SHARDS).map(|shard| format!("s{shard}")).collect();
    let shards: Vec<(usize, &str)> = names.iter().map(|name| &**name).enumerate().collect();
    let instances = many_instances("a7");
    let groups = instances.assign_to_coordinators(&fleet, &shards, now);
    assert!(groups.len() <= 3, "{} groups", groups.len());
    let mut crossing: Vec<usize> = groups
        .iter()
        .flat_map(|group| &group.shards)
        .copied()
        .collect();
    crossing.sort_unstable();
    let foreign: Vec<usize> = (0..MANY_SHARDS)
        .filter(|shard| !fleet.covers(&names[*shard], "a", now))
        .collect();
    assert_eq!(crossing, foreign);
    for group in &groups {
        assert_eq!(group.role, HandoverRole::Coordinator);
        let domain = &group.name[..1];
        let covered = |shard: &usize| fleet.covers(&names[*shard], domain, now);
        assert!(group.shards.iter().all(covered));
    }
    assert_eq!(
        groups,
        instances.assign_to_coordinators(&fleet, &shards, now)
    );
}

/// Guards against a query that is lost with a silent coordinator, and against a domain that is cut
/// off: the shards must be requested from their leafs in other domains.
#[test]
fn the_shards_of_a_late_coordinator_go_to_other_domains() {
    let now = Instant::now();
    let leafs = [
        ("1", "s1", "b"),
        ("2", "s1", "c"),
        ("3", "s2", "b"),
        ("4", "s2", "c"),
        ("5", "s3", "b"),
        ("6", "s3", "c"),
    ];
    let fleet = fleet(&leafs, now);
    let shards = numbered(&["s1", "s2", "s3"]);
    let instances = many_instances("a7");
    let late = instances.assign_to_coordinators(&fleet, &shards, now);
    let elsewhere = instances.assign_elsewhere(&fleet, &late[0], &shards, now);
    assert_eq!(elsewhere.len(), 1);
    assert_eq!(elsewhere[0].shards, [0, 1, 2]);
    assert_ne!(elsewhere[0].name[..1], late[0].name[..1]);
}

/// Guards against small instances that coordinate as many queries as large ones. Their work delays
/// whole queries, and with an eighth of a core it takes several times as long.
#[test]
fn large_instances_coordinate_nearly_all_queries_and_own_more_shards() {
    let now = Instant::now();
    let leafs = [("1", "s1", "b"), ("2", "s2", "b"), ("3", "s3", "b")];
    let fleet = fleet(&leafs, now);
    let shards = numbered(&["s1", "s2", "s3"]);
    let is_large = |name: &str| name[1..].parse::<usize>().unwrap() < 3;
    let large = (0..39)
        .map(|number| many_instances(&format!("a{number}")))
        .filter(|instances| {
            is_large(&instances.assign_to_coordinators(&fleet, &shards, now)[0].name)
        })
        .count();
    assert!(large >= 33, "{large} of 39");
    let names: Vec<String> = (0..2_000).map(|shard| format!("s{shard}")).collect();
    let shards: Vec<(usize, &str)> = names.iter().map(|name| &**name).enumerate().collect();
    let groups = many_instances("a7").assign_to_owners(&shards, now);
    let owned_by_large: usize = groups
        .iter()
        .filter(|group| is_large(&group.name))
        .map(|group| group.shards.len())
        .sum();
    // 3 x 0.5 of 5.82 cores.
    let expected = 515;
    assert!(
        owned_by_large.abs_diff(expected) < expected / 4,
        "{owned_by_large} instead of {expected}"
    );
}

/// Guards against hedges of handovers that add to an overload: when all instances are late, the
/// shards that are requested a second time must stay a small share.
#[test]
fn hedges_of_handovers_are_few_when_every_handover_is_late() {
    let mut instances = Instances::new("1".into(), "a".into());
    let mut hedged = 0;
    let (queries, groups, shards) = (200, 25, 3);
    for _ in 0..queries * groups {
        instances.on_sent("2", shards);
        if instances.take_hedge(shards) {
            hedged += shards;
        }
    }
    let asked = queries * groups * shards;
    assert!(hedged > 0);
    assert!(hedged <= asked / 20, "{hedged} of {asked}");
}

/// Guards against queries that are lost to instances that others know to be silent. On a day with
/// frozen machines, an instance with one query in two seconds met each of them by itself. Also
/// guards against an instance that loses its work by the report of a single one, or for good.
#[test]
fn an_instance_that_others_report_gets_no_handovers() {
    let now = Instant::now();
    let mut instances = Instances::new("1".into(), "a".into());
    for name in ["1", "2", "3", "4"] {
        instances.add(name, Some(location("a")));
    }
    let names: Vec<String> = (0..40).map(|shard| format!("s{shard}")).collect();
    let shards: Vec<(usize, &str)> = names.iter().map(|name| &**name).enumerate().collect();
    let gets_handovers = |instances: &Instances, now: Instant| {
        let groups = instances.assign_to_owners(&shards, now);
        groups.iter().any(|group| &*group.name == "4")
    };
    for _ in 0..3 {
        instances.on_report("2", "4", now);
    }
    assert!(gets_handovers(&instances, now));
    instances.on_report("3", "4", now + ms(100));
    assert!(!gets_handovers(&instances, now + ms(100)));
    assert_eq!(instances.failed(now + ms(100)).count(), 0);
    assert!(gets_handovers(&instances, now + ms(1_000)));
    instances.on_sent("4", 1);
    instances.on_end("4", HandoverOutcome::Failed, now + ms(1_000));
    let failed: Vec<&str> = instances.failed(now + ms(1_100)).collect();
    assert_eq!(failed, ["4"]);
    // A refusal is no failure, and a report of an unknown instance has no effect.
    instances.on_sent("3", 1);
    instances.on_end("3", HandoverOutcome::Refused, now + ms(1_000));
    instances.on_report("2", "unknown", now);
    assert_eq!(instances.failed(now + ms(1_100)).count(), 1);
}

/// Guards against instances that disagree on the owner of a shard: each of several owners would
/// call its leafs, with connections that suffice for one. Also guards against a failed instance
/// that changes the owners of shards that it did not own.
#[test]
fn instances_agree_on_owners_and_a_failed_one_loses_only_its_own_shards() {
    let now = Instant::now();
    let names = ["1", "2", "3", "4"];
    let view = |own: &str| {
        let mut instances = Instances::new(own.into(), "a".into());
        for name in names {
            instances.add(name, Some(location("a")));
        }
        instances.add("far", Some(location("b")));
        instances
    };
    let shards: Vec<Box<str>> = (0..60).map(|shard| format!("s{shard}").into()).collect();
    let asked: Vec<(usize, &str)> = shards.iter().map(|shard| &**shard).enumerate().collect();
    let owners = |instances: &Instances, own: &str| {
        let mut owners = vec![own.to_owned(); shards.len()];
        for group in instances.assign_to_owners(&asked, now) {
            for shard in group.shards {
                owners[shard] = group.name.to_string();
            }
        }
        owners
    };
    let mut first = view("1");
    let before = owners(&first, "1");
    assert_eq!(before, owners(&view("2"), "2"));
    assert!(
        names
            .iter()
            .all(|name| before.contains(&(*name).to_owned()))
    );
    first.on_sent("3", 1);
    first.on_end("3", HandoverOutcome::Failed, now);
    let after = owners(&first, "1");
    assert!(!after.contains(&"3".to_owned()));
    let moved = before
        .iter()
        .zip(&after)
        .filter(|(before, after)| before != after);
    assert!(moved.clone().count() > 0);
    assert!(moved.map(|(before, _)| before).all(|before| before == "3"));
}

/// Guards against requests that are cut off because they arrive while the instance closes its
/// connections: the load balancer first has to take it out of rotation, after two failed readiness
/// checks. Also guards against a shutdown that takes longer than the grace period, after which the
/// platform kills the process.
#[test]
fn a_shutdown_serves_through_two_readiness_checks_and_ends_within_the_grace_period() {
    let now = Instant::now();
    let shutdown = Shutdown::new(now, ms(6_000));
    assert!(shutdown.is_in_rotation(now + ms(2_000)));
    assert!(!shutdown.is_in_rotation(now + ms(3_000)));
    assert!(shutdown.answers_due_at() > now + ms(5_000));
    assert!(shutdown.answers_due_at() < now + ms(5_700));
    assert!(!shutdown.is_over(now + ms(5_700)));
    assert!(!shutdown.is_over(now + ms(5_000)));
    assert!(shutdown.is_over(now + ms(5_999)));
}
