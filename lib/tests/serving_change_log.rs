//! Tests of what an instance tells others of the changes of the store, and whom it asks for them.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::serving::ChangeLog;
use camphorhold::coordination::serving::Instances;
use camphorhold::coordination::serving::change_log::Answer;
use camphorhold::coordination::serving::instances::Capacity;
use camphorhold::coordination::serving::instances::Location;
use camphorhold::coordination::serving::instances::UpstreamFailures;
use camphorhold::coordination::serving::instances::Upstreams;
use proptest::prelude::*;

const PROTOCOL: u32 = 4;

/// The largest instances of the fleets below.
const LARGE: u16 = 2;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + number))
}

fn domain(number: u16) -> Box<str> {
    format!("domain-{}", number % 3).into()
}

fn location(number: u16, protocol: u32) -> Location {
    // Two large instances in each domain.
    let cores = if number / 3 < LARGE { 0.5 } else { 0.12 };
    Location {
        domain: domain(number),
        address: address(number),
        capacity: Capacity::from_cores(cores),
        protocol,
    }
}

fn upstreams(number: u16, count: u16, protocol: u32) -> Upstreams {
    let name = format!("instance-{number}");
    let mut instances = Instances::new(name.into(), domain(number));
    for other in 0..count {
        let location = location(other, protocol);
        instances.add(&format!("instance-{other}"), Some(location));
    }
    instances.upstreams(PROTOCOL)
}

/// Guards against instances that ask each other in a circle, so that none of them watches the store, and
/// against small machines that do this work for large ones.
#[test]
fn instances_ask_the_largest_of_their_domain_and_never_in_a_circle() {
    for count in [17, 61, 87] {
        let mut watching = 0;
        for number in 0..count {
            let upstreams = upstreams(number, count, PROTOCOL);
            watching += u16::from(upstreams.addresses.is_empty());
            let same_domain = |other: &u16| domain(*other) == domain(number);
            let before: Vec<u16> = (0..count)
                .filter(|other| upstreams.addresses.contains(&address(*other)))
                .collect();
            assert!(before.iter().all(same_domain), "{number} of {count}");
            let first = upstreams.addresses.first();
            let first = first.and_then(|first| (0..count).find(|other| address(*other) == *first));
            assert!(first.is_none_or(|first| first / 3 < LARGE), "{number}");
            for other in before {
                // Whoever is asked comes earlier in the order of the domain.
                let asked = self::upstreams(other, count, PROTOCOL);
                assert!(asked.addresses.len() < upstreams.addresses.len());
                assert!(asked.is_upstream);
            }
        }
        assert_eq!(watching, 3, "one instance of each domain watches the store");
    }
}

/// Guards against bytes between failure domains in a small fleet, and against questions to releases that
/// do not answer them.
#[test]
fn small_fleets_and_earlier_releases_watch_the_store() {
    assert_eq!(upstreams(5, 16, PROTOCOL), Upstreams::default());
    assert_eq!(upstreams(5, 87, PROTOCOL - 1), Upstreams::default());
}

/// Guards against an instance that asks an upstream which does not answer again and again, or never
/// asks it again.
#[test]
fn a_failed_upstream_is_passed_over_for_a_while() {
    let start = Instant::now();
    let second = Duration::from_secs(1);
    let both = [address(1), address(2)];
    let mut failures = UpstreamFailures::default();
    assert_eq!(failures.choose(&both, start), Some(address(1)));
    failures.on_failure(address(1), start);
    assert_eq!(failures.choose(&both, start + second), Some(address(2)));
    assert_eq!(failures.choose(&both, start + 3 * second), Some(address(1)));
    failures.on_failure(address(1), start + 3 * second);
    assert_eq!(failures.choose(&both, start + 6 * second), Some(address(2)));
    failures.on_failure(address(2), start + 6 * second);
    assert_eq!(failures.choose(&both, start + 6 * second), None);
    failures.on_success(address(1));
    assert_eq!(failures.choose(&both, start + 6 * second), Some(address(1)));
}

/// Guards against changes that are skipped because the log does not hold them any more, or has not
/// reached a revision yet, for instance after the instance with it was restarted.
#[test]
fn a_log_answers_only_where_it_is_complete() {
    let mut log = ChangeLog::new(100);
    assert_eq!(log.after(1), None);
    log.append([(2, 10, "before the listing")], 2);
    assert_eq!(log.after(1), None);
    log.reset(5);
    assert_eq!(log.after(4), None);
    assert_eq!(log.after(6), None);
    log.append([(6, 60, "a"), (7, 60, "b")], 8);
    assert_eq!(log.after(5), None, "the change of revision 6 is dropped");
    let answer = Answer {
        changes: vec!["b"],
        revision: 8,
        is_full: false,
    };
    assert_eq!(log.after(6), Some(answer));
    log.clear();
    assert_eq!(log.after(8), None, "revisions are given out again");
}

proptest! {
    /// Guards against changes that are skipped, repeated or reordered when an instance asks again and
    /// again, whatever the log has to drop meanwhile, and against half of a revision.
    #[test]
    fn whoever_asks_gets_each_change_once_and_in_order(
        batches in prop::collection::vec((1_usize..700, 1_usize..4, any::<bool>()), 1..20)
    ) {
        let mut log = ChangeLog::new(3_000);
        log.reset(10);
        let mut written = Vec::new();
        let mut revision = 10;
        let mut known = 10;
        let mut learned = Vec::new();
        for (changes, per_revision, asks) in batches {
            let mut batch = Vec::new();
            for number in 0..changes {
                if number % per_revision == 0 {
                    revision += 1;
                }
                batch.push((revision, 1, (revision, number)));
            }
            written.extend(batch.iter().map(|(_, _, change)| *change));
            log.append(batch, revision);
            if !asks {
                continue;
            }
            loop {
                let Some(answer) = log.after(known) else {
                    // It reads the store instead.
                    learned.extend(written.iter().filter(|change| change.0 > known).copied());
                    known = revision;
                    break;
                };
                prop_assert!(answer.changes.len() < 260);
                learned.extend(answer.changes);
                known = answer.revision;
                if !answer.is_full {
                    break;
                }
            }
        }
        written.retain(|change| change.0 <= known);
        prop_assert_eq!(learned, written);
    }
}
