//! Tests of how careful an instance is with requests under which leafs may just have ended.

use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::serving::Alarms;
use camphorhold::coordination::serving::alarms::Caution;
use camphorhold::coordination::serving::alarms::Level;
use camphorhold::state::id::Fingerprint;

const BAD: Fingerprint = Fingerprint(1);
const OTHER: Fingerprint = Fingerprint(2);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against an instance that treats a request as a new one although another instance has just
/// lost leafs under it.
#[test]
fn an_alarm_of_another_instance_makes_an_instance_careful() {
    let now = Instant::now();
    let mut alarms = Alarms::new(10);
    assert_eq!(alarms.caution(BAD, now), Caution::Free);
    alarms.on_told(BAD, Level::Suspected, now);
    assert_eq!(alarms.caution(BAD, now), Caution::OneLeafFirst);
    assert_eq!(alarms.caution(OTHER, now), Caution::Free);
    alarms.on_told(BAD, Level::Confirmed, now);
    let until = now + ms(2_000);
    assert_eq!(alarms.caution(BAD, now), Caution::Hold { until });
    // A late message of the first loss does not shorten it.
    alarms.on_told(BAD, Level::Suspected, now + ms(1));
    assert_eq!(alarms.caution(BAD, now + ms(1)), Caution::Hold { until });
}

/// Guards against a request that is refused or tried carefully for longer than the evidence lasts.
#[test]
fn an_alarm_ends_by_itself_and_with_a_survivor() {
    let now = Instant::now();
    let mut alarms = Alarms::new(10);
    alarms.on_loss(BAD, Level::Confirmed, now);
    assert_eq!(alarms.caution(BAD, now + ms(2_000)), Caution::OneLeafFirst);
    assert_eq!(alarms.caution(BAD, now + ms(30_000)), Caution::Free);
    alarms.on_loss(BAD, Level::Confirmed, now);
    assert!(alarms.clear(BAD));
    assert!(!alarms.clear(BAD));
    assert_eq!(alarms.caution(BAD, now), Caution::Free);
    assert!(alarms.is_empty());
}

/// Guards against messages about what all instances know, and against none when there is news.
#[test]
fn the_others_are_told_of_news_only() {
    let now = Instant::now();
    let mut alarms = Alarms::new(10);
    assert!(alarms.on_loss(BAD, Level::Suspected, now));
    assert!(!alarms.on_loss(BAD, Level::Suspected, now + ms(1)));
    assert!(alarms.on_loss(BAD, Level::Confirmed, now + ms(2)));
    assert!(!alarms.on_loss(BAD, Level::Confirmed, now + ms(3)));
    assert!(!alarms.on_loss(BAD, Level::Suspected, now + ms(4)));
    // The canary after the hold is lost again.
    assert!(alarms.on_loss(BAD, Level::Confirmed, now + ms(2_100)));
    let until = now + ms(4_100);
    assert_eq!(
        alarms.caution(BAD, now + ms(2_100)),
        Caution::Hold { until }
    );
    alarms.on_told(OTHER, Level::Suspected, now);
    assert!(!alarms.on_loss(OTHER, Level::Suspected, now));
}

/// Guards against memory and messages without bound when very many requests lose connections, for
/// instance with a failure domain.
#[test]
fn alarms_are_bounded_in_number_and_in_messages() {
    let now = Instant::now();
    let mut alarms = Alarms::new(100);
    let told = (0..1_000).filter(|number| {
        let at = now + ms(number / 2);
        alarms.on_loss(Fingerprint(*number), Level::Suspected, at)
    });
    assert_eq!(told.count(), 10);
    let later = now + ms(1_500);
    assert!(alarms.on_loss(Fingerprint(5_000), Level::Suspected, later));
    // The newest are known, and the oldest have given way.
    assert_eq!(
        alarms.caution(Fingerprint(999), later),
        Caution::OneLeafFirst
    );
    assert_eq!(alarms.caution(Fingerprint(0), later), Caution::Free);
}
