//! Tests of the groups in which instances share current reads of the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;

use camphorhold::coordination::serving::Instances;
use camphorhold::coordination::serving::instances::Capacity;
use camphorhold::coordination::serving::instances::Location;
use camphorhold::coordination::serving::instances::Readers;

const PROTOCOL: u32 = 3;

fn name(number: u16) -> String {
    format!("instance-{number}")
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + number))
}

fn domain(number: u16, domains: u16) -> String {
    format!("domain-{}", number % domains)
}

fn location(number: u16, domains: u16, protocol: u32) -> Location {
    Location {
        domain: domain(number, domains).into(),
        address: address(number),
        capacity: Capacity::from_cores(1.0),
        protocol,
    }
}

/// Returns the instances as the one with that number knows them.
fn known_to(number: u16, count: u16, domains: u16) -> Instances {
    let own_domain = domain(number, domains);
    let mut instances = Instances::new(name(number).into(), own_domain.into());
    for other in 0..count {
        let location = location(other, domains, PROTOCOL);
        instances.add(&name(other), Some(location));
    }
    instances
}

/// Returns the group of each instance.
fn groups(count: u16, domains: u16) -> Vec<Readers> {
    let numbers = 0..count;
    let groups = numbers.map(|number| known_to(number, count, domains).readers(PROTOCOL));
    groups.collect()
}

/// Guards against groups on which their members do not agree: each would then make reads that
/// others make, too, or rely on one that does not know of it.
#[test]
fn members_of_a_group_agree_on_it_and_on_their_ranks() {
    for (count, domains) in [(1, 1), (2, 2), (7, 3), (17, 3), (87, 3), (195, 5), (900, 1)] {
        let groups = groups(count, domains);
        for number in 0..count {
            let group = &groups[usize::from(number)];
            let mut members: Vec<u16> = (0..count)
                .filter(|other| group.others.contains(&address(*other)))
                .collect();
            assert!(!members.contains(&number), "an instance tells itself");
            members.push(number);
            let ranks: BTreeSet<usize> = members
                .iter()
                .map(|member| groups[usize::from(*member)].rank)
                .collect();
            assert_eq!(ranks, (0..members.len()).collect(), "{count} instances");
            for member in &members {
                let addresses = |group: &Readers, own| -> BTreeSet<SocketAddr> {
                    group.others.iter().copied().chain([address(own)]).collect()
                };
                assert_eq!(
                    addresses(&groups[usize::from(*member)], *member),
                    addresses(group, number)
                );
            }
        }
    }
}

/// Guards against current reads whose number grows with the instances, and against readers that
/// have to tell very many others.
#[test]
fn large_fleets_have_few_groups_inside_their_domains() {
    for (count, domains, most_groups) in [(16, 3, 1), (87, 3, 3), (195, 5, 5), (1_900, 5, 30)] {
        let groups = groups(count, domains);
        let readers = groups.iter().filter(|group| group.rank == 0).count();
        assert!(readers <= most_groups, "{readers} groups of {count}");
        for (number, group) in (0..count).zip(&groups) {
            assert!(group.others.len() < 110, "{} others", group.others.len());
            let is_local = |address: &SocketAddr| {
                domain(address.port() - 1_000, domains) == domain(number, domains)
            };
            assert!(count <= 16 || group.others.iter().all(is_local));
        }
    }
}

/// Guards against an instance that relies on one of an earlier release, which confirms nothing, or
/// on one that is gone.
#[test]
fn instances_of_earlier_releases_and_removed_ones_are_in_no_group() {
    let mut instances = known_to(0, 3, 1);
    assert_eq!(instances.readers(PROTOCOL).others.len(), 2);
    let generation = instances.generation();
    instances.add(&name(1), Some(location(1, 1, PROTOCOL - 1)));
    assert_ne!(instances.generation(), generation);
    assert_eq!(instances.readers(PROTOCOL).others, [address(2)]);
    let generation = instances.generation();
    instances.remove(&name(2), Instant::now());
    assert_ne!(instances.generation(), generation);
    assert_eq!(instances.readers(PROTOCOL), Readers::default());
}
