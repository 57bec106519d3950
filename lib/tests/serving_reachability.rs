//! Tests of instances that can reach no leaf, and of the instances that take over their requests.

mod serving_support;

use std::net::SocketAddr;
use std::time::Instant;

use camphorhold::coordination::serving::Instances;
use camphorhold::coordination::serving::fleet::LeafKey;
use camphorhold::coordination::serving::instances::Capacity;
use camphorhold::coordination::serving::instances::HandoverOutcome;
use camphorhold::coordination::serving::instances::Location;
use camphorhold::coordination::serving::reachability::Reachability;
use serving_support::fleet;

fn leafs() -> Vec<LeafKey> {
    let fleet = fleet(
        &[("1", "s1", "a"), ("2", "s2", "a"), ("3", "s3", "a")],
        Instant::now(),
    );
    fleet.sample(&[], 3, 0.0)
}

/// Guards against an instance that counts as cut off because single leafs are down.
#[test]
fn failures_of_one_leaf_or_between_accepted_connections_are_not_suspicious() {
    let leafs = leafs();
    let mut reachability = Reachability::default();
    for _ in 0..10 {
        assert!(!reachability.on_connect_failed(leafs[0], 3));
    }
    reachability.on_connected();
    assert!(!reachability.on_connect_failed(leafs[1], 3));
    assert!(!reachability.is_cut_off());
}

/// Guards against an instance that never notices that it is cut off, or that its links are back.
#[test]
fn a_sample_decides_whether_the_instance_is_cut_off() {
    let leafs = leafs();
    let mut reachability = Reachability::default();
    reachability.on_connect_failed(leafs[0], 3);
    assert!(reachability.on_connect_failed(leafs[1], 3));
    assert!(reachability.awaits_probe());
    // The failures that follow start no second sample.
    assert!(!reachability.on_connect_failed(leafs[2], 3));
    assert!(!reachability.is_cut_off());
    assert!(!reachability.on_probed(true));
    assert!(!reachability.is_cut_off());
    reachability.on_connect_failed(leafs[0], 3);
    assert!(reachability.on_connect_failed(leafs[1], 3));
    assert!(reachability.on_probed(false));
    assert!(reachability.is_cut_off());
    // A connection that was being opened before says nothing about new ones.
    reachability.on_connected();
    assert!(reachability.is_cut_off());
    assert!(!reachability.on_probed(true));
    assert!(!reachability.is_cut_off());
}

fn instances() -> Instances {
    let mut instances = Instances::new("a1".into(), "a".into());
    for name in ["a1", "a2", "a3", "b1", "b2"] {
        let location = Location {
            domain: name[..1].into(),
            address: SocketAddr::from(([10, 0, 0, 1], 80)),
            capacity: Capacity::from_cores(1.0),
            protocol: 1,
        };
        instances.add(name, Some(location));
    }
    instances
}

/// Guards against requests that are relayed to the own instance, to one that has refused them, or
/// always to the same one.
#[test]
fn requests_are_relayed_to_all_instances_of_the_domain_first() {
    let now = Instant::now();
    let instances = instances();
    let choose = |asked: &[Box<str>], jitter| {
        let target = instances.choose_relay(asked, now, jitter);
        target.map(|(name, _)| name)
    };
    let mut chosen: Vec<Box<str>> = (0..20_u8)
        .filter_map(|step| choose(&[], f32::from(step) / 20.0))
        .collect();
    chosen.sort_unstable();
    chosen.dedup();
    assert_eq!(chosen, ["a2".into(), "a3".into()]);
    let mut asked = Vec::new();
    while let Some(name) = choose(&asked, 0.3) {
        asked.push(name);
    }
    asked.sort_unstable();
    assert_eq!(asked, ["a2".into(), "a3".into(), "b1".into(), "b2".into()]);
}

/// Guards against requests that are tried at each instance of a domain that is cut off as a whole.
#[test]
fn the_other_domains_come_first_once_an_instance_of_the_own_one_refuses() {
    let now = Instant::now();
    let mut instances = instances();
    instances.on_sent("a2", 0);
    instances.on_end("a2", HandoverOutcome::Refused, now);
    for step in 0..20_u8 {
        let target = instances.choose_relay(&[], now, f32::from(step) / 20.0);
        assert!(target.is_some_and(|(name, _)| name.starts_with('b')));
    }
}
