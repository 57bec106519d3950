//! Tests of the timestamps and events of timelines.

use std::time::Duration;

use camphorhold::protocol::control;
use camphorhold::state::event::Event;
use camphorhold::state::event::Filter;
use camphorhold::state::event::Kind;
use camphorhold::state::event::Reason;
use camphorhold::state::event::Ring;
use camphorhold::state::event::Subject;
use camphorhold::state::event::merge;
use camphorhold::state::hlc::Error;
use camphorhold::state::hlc::HybridClock;
use camphorhold::state::hlc::MAX_AHEAD;
use camphorhold::state::hlc::Timestamp;
use camphorhold::state::id::InstanceId;
use camphorhold::state::id::RequestId;
use camphorhold::state::time::from_unix_millis;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;

fn fixed_seed(cases: u32) -> Config {
    Config {
        cases,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x7469_6d65),
        failure_persistence: None,
        ..Config::default()
    }
}

fn event(at: Timestamp, instance: u64, request: u128, kind: Kind) -> Event {
    Event {
        at,
        instance: InstanceId(instance),
        subject: Subject {
            request: Some(RequestId(request)),
            ..Subject::default()
        },
        kind,
    }
}

/// Guards against a remote clock that is far ahead and moves the timestamps of all other instances
/// ahead with it.
#[test]
fn a_timestamp_too_far_ahead_is_rejected_and_changes_nothing() {
    let wall = from_unix_millis(1_000_000);
    let mut clock = HybridClock::default();
    let remote = Timestamp {
        wall_ms: 1_000_001 + u64::try_from(MAX_AHEAD.as_millis()).unwrap(),
        counter: 0,
    };
    assert_eq!(
        clock.observe(remote, wall),
        Err(Error::TooFarAhead {
            remote,
            ahead_ms: 5001
        })
    );
    assert_eq!(clock.now(wall).wall_ms, 1_000_000);
    assert!(
        clock
            .observe(
                Timestamp {
                    wall_ms: 1_004_000,
                    counter: 7
                },
                wall
            )
            .is_ok()
    );
}

/// Guards against a counter that overflows to 0, so that a later timestamp compares lower than an
/// earlier one.
#[test]
fn a_full_counter_carries_into_the_wall_clock_part() {
    let wall = from_unix_millis(10);
    let mut clock = HybridClock::default();
    let full = Timestamp {
        wall_ms: 10,
        counter: u32::MAX,
    };
    assert!(clock.observe(full, wall).unwrap() > full);
}

proptest! {
    #![proptest_config(fixed_seed(200))]

    /// Guards against an effect that sorts before its cause when wall clocks differ or step back.
    /// Each step sends a timestamp from one instance to another, or to itself.
    #[test]
    fn timestamps_of_effects_are_later_than_those_of_their_causes(
        steps in prop::collection::vec((0_usize..3, 0_usize..3, 0_u64..2_000), 1..100)
    ) {
        let mut clocks = [HybridClock::default(); 3];
        let mut last = [Timestamp::default(); 3];
        for (sender, receiver, wall) in steps {
            let wall = from_unix_millis(wall);
            let sent = clocks[sender].now(wall);
            prop_assert!(sent > last[sender]);
            last[sender] = sent;
            let received = clocks[receiver].observe(sent, wall);
            let received = received.expect("all clocks differ by less than the permitted distance");
            prop_assert!(received > sent && received > last[receiver]);
            last[receiver] = received;
        }
    }

    /// Guards against a timestamp that another process cannot parse, or parses to another one.
    #[test]
    fn timestamps_parse_from_their_own_text(wall_ms: u64, counter: u32) {
        let timestamp = Timestamp { wall_ms, counter };
        prop_assert_eq!(timestamp.to_string().parse(), Ok(timestamp));
    }
}

/// Guards against a merged timeline that lists an effect before its cause because the receiver's
/// wall clock is 80 ms behind the sender's.
#[test]
fn merge_lists_a_forward_before_the_work_that_it_caused() {
    let mut sender = HybridClock::default();
    let mut target = HybridClock::default();
    let sent = sender.now(from_unix_millis(1_080));
    let sent_event = event(
        sent,
        9,
        1,
        Kind::Forwarded {
            to: InstanceId(1),
            calls: 3,
        },
    );
    let received = target.observe(sent, from_unix_millis(1_000)).unwrap();
    let received_event = event(received, 1, 1, Kind::LeafCold {});
    let merged = merge([vec![received_event.clone()], vec![sent_event.clone()]]);
    assert_eq!(merged, [sent_event, received_event]);
}

/// Guards against events that are lost without notice. A full ring overwrites the oldest events,
/// and each page must state how many the reader missed.
#[test]
fn a_full_ring_counts_the_dropped_events() {
    let mut ring = Ring::new(3);
    for number in 0..8 {
        let at = Timestamp {
            wall_ms: number,
            counter: 0,
        };
        ring.push(event(at, 1, u128::from(number % 2), Kind::Hedged {}));
    }
    assert_eq!(ring.dropped(), 5);
    let page = ring.page(0, 2, &Filter::default());
    assert_eq!(
        (page.events.len(), page.next, page.dropped),
        (2, Some(7), 5)
    );
    let rest = ring.page(7, 2, &Filter::default());
    assert_eq!((rest.events.len(), rest.next, rest.dropped), (1, None, 0));
    let odd = Filter {
        request: Some(RequestId(1)),
        ..Filter::default()
    };
    let page = ring.page(6, 2, &odd);
    assert_eq!((page.events.len(), page.next, page.dropped), (1, None, 0));
}

/// Guards against a kind of event that cannot be decoded from its encoded form, or is decoded to
/// another event.
#[test]
fn events_are_decoded_from_their_encoded_form() {
    let kinds = [
        Kind::RequestAnswered {
            answered: 19,
            in_scope: 20,
        },
        Kind::ConnectionLost {
            reason: Reason("reset by peer".into()),
        },
        Kind::PoisonBlocked {
            fingerprint: camphorhold::state::id::Fingerprint(0xfeed),
        },
        Kind::Revoked {
            version: "v2".parse().unwrap(),
        },
        Kind::EventsDropped { count: 5 },
    ];
    for kind in kinds {
        let original = event(
            Timestamp {
                wall_ms: 5,
                counter: 1,
            },
            3,
            4,
            kind,
        );
        let wire = control::Event::from(original.clone());
        let text = serde_json::to_string(&wire).unwrap();
        let wire: control::Event = serde_json::from_str(&text).unwrap();
        assert_eq!(Event::try_from(wire), Ok(original));
    }
}

/// Guards against a reader that requests so many events that the response has no bound on its size.
#[test]
fn a_page_is_bounded_regardless_of_the_requested_limit() {
    let mut ring = Ring::new(5_000);
    let mut clock = HybridClock::default();
    let wall = from_unix_millis(0) + Duration::from_secs(1);
    for _ in 0..5_000 {
        ring.push(event(clock.now(wall), 1, 1, Kind::Hedged {}));
    }
    let request = control::TimelineRequest {
        limit: u32::MAX,
        ..control::TimelineRequest::default()
    };
    let answer = request.answer(InstanceId(1), &ring);
    assert_eq!(answer.events.len(), 1_000);
    assert_eq!(answer.next, Some(1_000));
}
