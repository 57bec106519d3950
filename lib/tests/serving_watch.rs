//! Tests of the decision whether a watch of the store is lost, over a model of the store whose cheap
//! reads are old.

use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::serving::watch::Monitor;
use camphorhold::coordination::serving::watch::Probe;
use camphorhold::coordination::serving::watch::Read;

const SETTLING_TIME: Duration = Duration::from_secs(4);

/// The pause after changes in which nothing is sent.
const BATCH_PAUSE: Duration = Duration::from_millis(900);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A store that reaches a revision at each of some moments.
struct Store {
    start: Instant,
    reached: Vec<Duration>,
    read_age: Duration,
}

impl Store {
    /// Returns the revision that a read shows.
    fn revision(&self, read: Read, at: Instant) -> u64 {
        let age = match read {
            Read::Cheap => self.read_age,
            Read::Current => Duration::ZERO,
        };
        let at = at.saturating_duration_since(self.start);
        let reached = self.reached.iter().filter(|reached| **reached + age <= at);
        reached.map(|_| 1).sum()
    }
}

/// Probes the store from `from` on while the watch returns nothing. Returns after how long the watch
/// counts as lost, and the kinds of the probes.
fn probe_until_lost(monitor: &mut Monitor, store: &Store, from: Instant) -> (Duration, Vec<Read>) {
    monitor.on_watch_sent();
    let mut now = from;
    let mut reads = Vec::new();
    loop {
        let read = monitor.next_read(SETTLING_TIME, now);
        reads.push(read);
        let revision = store.revision(read, now);
        let sent = now;
        monitor.on_probe(
            Probe {
                read,
                revision,
                sent,
            },
            SETTLING_TIME,
            now,
        );
        let next = now + monitor.pause(SETTLING_TIME, now);
        match monitor.overdue() {
            Some(overdue) if overdue.lost_at <= next => {
                return (overdue.lost_at.saturating_duration_since(from), reads);
            }
            _ => now = next,
        }
        assert!(reads.len() < 100, "the watch never counts as lost");
    }
}

/// Guards against a lost watch that is found later than the settling time because cheap reads are
/// old. The watch is lost at each moment between two probes.
#[test]
fn a_lost_watch_is_found_in_time_however_old_cheap_reads_are() {
    for read_age in (0..10_000).step_by(100).map(ms) {
        for lost_after in (0..4_000).step_by(50).map(ms) {
            let start = Instant::now();
            // Two changes that the watch returns, and one that it does not.
            let lost = ms(20_000) + lost_after;
            let store = Store {
                start,
                reached: vec![ms(0), ms(100), lost],
                read_age,
            };
            let mut monitor = Monitor::default();
            monitor.on_changes_read(2, start + ms(100));
            let from = start + ms(100) + BATCH_PAUSE;
            let (found_after, _) = probe_until_lost(&mut monitor, &store, from);
            let found = from + found_after;
            let delay = found.saturating_duration_since(start + lost);
            assert!(
                delay <= SETTLING_TIME.mul_f64(0.9),
                "reads {read_age:?} old, lost {lost_after:?} after: found after {delay:?}"
            );
        }
    }
}

/// Guards against calls that cost ten times as much although cheap reads would do.
#[test]
fn reads_that_are_up_to_date_stay_cheap() {
    let start = Instant::now();
    let store = Store {
        start,
        reached: vec![ms(0), ms(60_000)],
        read_age: ms(5),
    };
    let mut monitor = Monitor::default();
    monitor.on_changes_read(1, start + ms(3));
    let (_, reads) = probe_until_lost(&mut monitor, &store, start + ms(4));
    assert!(reads.iter().all(|read| *read == Read::Cheap), "{reads:?}");
}

/// Guards against current reads for good after cheap ones were old for a while.
#[test]
fn the_age_of_cheap_reads_is_forgotten() {
    let start = Instant::now();
    let mut monitor = Monitor::default();
    monitor.on_changes_read(7, start);
    let probe = Probe {
        read: Read::Cheap,
        revision: 6,
        sent: start + ms(1_500),
    };
    monitor.on_probe(probe, SETTLING_TIME, probe.sent);
    assert_eq!(monitor.cheap_read_age(probe.sent), ms(1_500));
    assert_eq!(monitor.next_read(SETTLING_TIME, probe.sent), Read::Current);
    let later = probe.sent + Duration::from_mins(5);
    assert_eq!(monitor.next_read(SETTLING_TIME, later), Read::Cheap);
}

/// Guards against a watch that is sent again although its answer is on its way, and against one that
/// counts as lost because of what its predecessor missed.
#[test]
fn a_watch_that_answers_or_is_sent_again_is_not_lost() {
    let start = Instant::now();
    let mut monitor = Monitor::default();
    monitor.on_changes_read(1, start);
    let probe = Probe {
        read: Read::Cheap,
        revision: 2,
        sent: start,
    };
    monitor.on_probe(probe, SETTLING_TIME, start);
    let overdue = monitor.overdue().unwrap();
    assert_eq!((overdue.revision, overdue.lost_at), (2, start + ms(500)));
    monitor.on_watch_sent();
    assert_eq!(monitor.overdue(), None);
}
