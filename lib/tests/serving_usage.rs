//! Tests of the counts of customers' requests and of their reports.

#![allow(
    clippy::unwrap_used,
    reason = "a broken assumption of the test is a failure"
)]

use std::sync::Arc;
use std::time::Duration;

use camphorhold::coordination::serving::duty::Epoch;
use camphorhold::coordination::serving::duty::Right;
use camphorhold::coordination::serving::usage::Attempt;
use camphorhold::coordination::serving::usage::Collection;
use camphorhold::coordination::serving::usage::Counts;
use camphorhold::coordination::serving::usage::Outbox;
use camphorhold::coordination::serving::usage::Reporter;
use camphorhold::coordination::serving::usage::WallClock;
use camphorhold::coordination::serving::usage::WindowId;
use camphorhold::coordination::serving::usage::Windows;
use camphorhold::coordination::serving::usage::collection::ProcessId;
use camphorhold::coordination::serving::usage::counts::ByCustomer;
use camphorhold::coordination::serving::usage::counts::WindowCounts;
use camphorhold::coordination::serving::usage::outbox::Delivery;
use camphorhold::coordination::serving::usage::report::Action;
use camphorhold::coordination::serving::usage::report::LEDGER_LEN;
use camphorhold::coordination::serving::usage::report::Ledger;
use camphorhold::coordination::serving::usage::report::PostOutcome;

const W1: WindowId = WindowId(1);
const W2: WindowId = WindowId(2);
const W3: WindowId = WindowId(3);

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn acme() -> Arc<str> {
    "acme".into()
}

fn count(counts: &Counts, window: WindowId) -> u64 {
    let window = counts.get(window).map(WindowCounts::by_customer);
    window
        .and_then(|counts| counts.get("acme"))
        .copied()
        .unwrap_or_default()
}

fn by_customer(count: u64) -> ByCustomer {
    ByCustomer::from([(acme(), count)])
}

/// Guards against windows that move with a jump of the wall clock, and against a clock that stays
/// wrong after it was wrong at the start.
#[test]
fn windows_ignore_a_jump_until_it_has_lasted_for_a_minute() {
    let mut clock = WallClock::new(secs(10_000), secs(100));
    assert_eq!(clock.unix(secs(130)), secs(10_030));
    // An hour ahead for half a minute.
    for second in 130..160 {
        assert!(!clock.observe(secs(13_500 + second), secs(second)));
    }
    assert!(!clock.observe(secs(10_060), secs(160)));
    assert_eq!(clock.unix(secs(160)), secs(10_060));
    // An hour ahead for good.
    let mut set_at = None;
    for second in 161..300 {
        if clock.observe(secs(13_500 + second), secs(second)) {
            set_at = Some(second);
        }
    }
    assert_eq!(set_at, Some(221));
    assert_eq!(clock.unix(secs(300)), secs(13_800));
}

/// Guards against a clock that follows each of several offsets that take turns.
#[test]
fn an_offset_that_does_not_last_starts_the_minute_again() {
    let mut clock = WallClock::new(secs(10_000), secs(100));
    for second in 100..400 {
        let jump = if second % 40 < 20 { 500 } else { 900 };
        assert!(!clock.observe(secs(10_000 + jump + second), secs(second)));
    }
    assert_eq!(clock.unix(secs(400)), secs(10_300));
}

/// Guards against windows that begin at other times than multiples of their length.
#[test]
fn windows_have_borders_at_multiples_of_their_length() {
    let windows = Windows::new(secs(5));
    assert_eq!(windows.at(Duration::from_millis(9_999)), W1);
    assert_eq!(windows.at(secs(10)), W2);
    assert_eq!(windows.end(W1), secs(10));
    let odd = Windows::new(Duration::from_millis(2_500));
    assert_eq!(odd.end(WindowId(2)), Duration::from_millis(7_500));
}

/// Guards against a request that counts once for each leaf, hedge, retry or handover.
#[test]
fn a_request_counts_once_in_the_window_of_its_first_call() {
    let mut counts = Counts::default();
    let mut attempt = Attempt::default();
    assert!(attempt.on_sent(W1, &acme(), &mut counts));
    assert!(!attempt.on_sent(W1, &acme(), &mut counts));
    assert!(!attempt.on_sent(W2, &acme(), &mut counts));
    assert_eq!((count(&counts, W1), count(&counts, W2)), (1, 0));
    // A hedge that is refused does not change that.
    attempt.on_refused(W2, &acme(), &mut counts);
    assert_eq!((count(&counts, W1), count(&counts, W2)), (1, 0));
}

/// Guards against requests that count although no leaf ran them, and against a count in the window
/// of a call that was refused.
#[test]
fn calls_that_were_refused_do_not_count() {
    let mut counts = Counts::default();
    let mut attempt = Attempt::default();
    attempt.on_sent(W1, &acme(), &mut counts);
    attempt.on_refused(W1, &acme(), &mut counts);
    assert_eq!(count(&counts, W1), 0);
    attempt.on_sent(W2, &acme(), &mut counts);
    attempt.on_sent(W2, &acme(), &mut counts);
    attempt.on_sent(W3, &acme(), &mut counts);
    attempt.on_refused(W2, &acme(), &mut counts);
    assert_eq!(count(&counts, W2), 1);
    attempt.on_refused(W2, &acme(), &mut counts);
    assert_eq!((count(&counts, W2), count(&counts, W3)), (0, 1));
    attempt.on_refused(W3, &acme(), &mut counts);
    assert_eq!(count(&counts, W3), 0);
}

/// Guards against a request that no longer counts because its answer was lost, or has not come yet.
#[test]
fn a_call_without_an_answer_counts() {
    let mut counts = Counts::default();
    Attempt::default().on_sent(W1, &acme(), &mut counts);
    assert_eq!(count(&counts, W1), 1);
    counts.forget_before(W2);
    assert!(counts.get(W1).is_none());
}

/// Guards against a window that comes back, and is delivered, because a late refusal changes it.
#[test]
fn a_forgotten_window_is_not_created_by_a_refusal() {
    let mut counts = Counts::default();
    let mut attempt = Attempt::default();
    attempt.on_sent(W1, &acme(), &mut counts);
    counts.forget_before(W2);
    attempt.on_refused(W1, &acme(), &mut counts);
    assert!(counts.get(W1).is_none());
}

fn due(outbox: &mut Outbox, counts: &Counts, finalized: Option<WindowId>) -> Vec<(WindowId, u64)> {
    let due = outbox.due(counts, finalized);
    due.iter()
        .map(|delivery| (delivery.window, delivery.sequence))
        .collect()
}

/// Guards against counts that are delivered no more although the holder does not have all of them,
/// or for ever although it has.
#[test]
fn counts_are_delivered_until_all_datagrams_are_acknowledged() {
    let mut counts = Counts::default();
    Attempt::default().on_sent(W1, &acme(), &mut counts);
    let mut outbox = Outbox::default();
    let epoch = Epoch(7);
    assert_eq!(due(&mut outbox, &counts, None), []);
    outbox.set_epoch(Some(epoch));
    assert_eq!(due(&mut outbox, &counts, None), [(W1, 1)]);
    outbox.on_sent(W1, 1, 2);
    outbox.on_acknowledged(epoch, W1, 1, 0);
    // Another holder, and another delivery.
    outbox.on_acknowledged(Epoch(6), W1, 1, 1);
    outbox.on_acknowledged(epoch, W1, 0, 1);
    assert_eq!(due(&mut outbox, &counts, None), [(W1, 1)]);
    outbox.on_acknowledged(epoch, W1, 1, 1);
    assert_eq!(due(&mut outbox, &counts, None), []);
    Attempt::default().on_sent(W1, &acme(), &mut counts);
    let delivery = outbox.due(&counts, None);
    let expected = Delivery {
        window: W1,
        sequence: 2,
        counts: by_customer(2),
    };
    assert_eq!(delivery, [expected]);
    // The acknowledgement of the one before comes late.
    outbox.on_sent(W1, 2, 1);
    outbox.on_acknowledged(epoch, W1, 1, 0);
    assert_eq!(due(&mut outbox, &counts, None), [(W1, 2)]);
}

/// Guards against a new holder that lacks what its predecessor had collected.
#[test]
fn a_new_holder_gets_all_windows_that_are_not_finalized() {
    let mut counts = Counts::default();
    for window in [W1, W2, W3] {
        Attempt::default().on_sent(window, &acme(), &mut counts);
    }
    let mut outbox = Outbox::default();
    outbox.set_epoch(Some(Epoch(1)));
    for (window, sequence) in due(&mut outbox, &counts, None) {
        outbox.on_sent(window, sequence, 1);
        outbox.on_acknowledged(Epoch(1), window, sequence, 0);
    }
    assert_eq!(due(&mut outbox, &counts, None), []);
    outbox.set_epoch(Some(Epoch(2)));
    let again = due(&mut outbox, &counts, Some(W1));
    assert_eq!(again.iter().map(|due| due.0).collect::<Vec<_>>(), [W2, W3]);
}

/// Guards against counts that are added up, or replaced by older ones, because datagrams come late,
/// twice or reordered, and against the loss of what a process had counted before its restart.
#[test]
fn the_last_delivery_of_each_process_counts() {
    let mut collection = Collection::default();
    let deliveries = [(1, 1, 4), (1, 3, 9), (1, 2, 6), (1, 3, 9), (1, 1, 4)];
    for (process, sequence, count) in deliveries {
        let counts = [("acme", count)].into_iter();
        collection.on_delivery(W1, ProcessId(process), sequence, counts);
    }
    assert_eq!(collection.total(W1, None), by_customer(9));
    collection.on_delivery(W1, ProcessId(2), 1, [("acme", 1)].into_iter());
    assert_eq!(collection.total(W1, Some(&by_customer(5))), by_customer(15));
    // Refused after all.
    collection.on_delivery(W1, ProcessId(2), 2, [("acme", 0), ("b", 0)].into_iter());
    assert_eq!(collection.total(W1, None), by_customer(9));
    // The parts of one delivery.
    collection.on_delivery(W1, ProcessId(3), 1, [("b", 2)].into_iter());
    collection.on_delivery(W1, ProcessId(3), 1, [("acme", 1)].into_iter());
    let total = collection.total(W1, None);
    assert_eq!((total["acme"], total["b"]), (10, 2));
    collection.forget_before(W2);
    assert!(collection.total(W1, None).is_empty());
}

const DELAY: Duration = Duration::from_secs(10);

fn reporter(unix: Duration) -> Reporter {
    Reporter::new(Windows::new(secs(5)), DELAY, unix)
}

fn right(epoch: u64) -> Right {
    Right {
        epoch: Epoch(epoch),
        acquired: Duration::ZERO,
        deadline: Duration::MAX,
        era: 1,
    }
}

/// Finalizes what is next, with this count.
fn finalize(reporter: &mut Reporter, epoch: u64, unix: Duration, revision: u64) -> (Ledger, u64) {
    let Action::Finalize(window) = reporter.next(right(epoch), unix, unix) else {
        panic!("nothing to finalize at {unix:?}");
    };
    let write = reporter.finalize(window, by_customer(revision), right(epoch));
    let ledger = write.ledger.clone();
    (ledger, reporter.on_written(write, revision))
}

fn post(reporter: &Reporter, epoch: u64, unix: Duration) -> Option<(WindowId, ByCustomer, bool)> {
    match reporter.next(right(epoch), unix, unix) {
        Action::Post {
            window,
            counts,
            is_repeat,
            ..
        } => Some((window, counts, is_repeat)),
        Action::Wait => None,
        Action::Finalize(window) => panic!("{window:?} is to be finalized"),
    }
}

/// Guards against a report before its content is decided, and against a window that is decided
/// twice.
#[test]
fn a_window_is_finalized_once_before_it_is_posted() {
    let mut reporter = reporter(secs(100));
    let w20 = WindowId(20);
    assert_eq!(reporter.next(right(1), secs(107), secs(107)), Action::Wait);
    let now = secs(108);
    assert_eq!(reporter.next(right(1), now, now), Action::Finalize(w20));
    finalize(&mut reporter, 1, now, 5);
    assert_eq!(post(&reporter, 1, now), Some((w20, by_customer(5), false)));
    reporter.on_post(w20);
    reporter.on_posted(w20, PostOutcome::Taken, now);
    assert_eq!(post(&reporter, 1, now), None);
    assert_eq!(reporter.finalized(), Some(w20));
}

/// Guards against a report that is lost, or differs, when the platform does not take it at once, and
/// against one that is repeated for ever.
#[test]
fn a_report_is_repeated_until_it_is_taken_or_overdue() {
    let mut reporter = reporter(secs(100));
    let w20 = WindowId(20);
    finalize(&mut reporter, 1, secs(108), 5);
    reporter.on_post(w20);
    reporter.on_posted(w20, PostOutcome::Unknown, secs(108));
    assert_eq!(post(&reporter, 1, secs(108)), None);
    assert_eq!(
        post(&reporter, 1, secs(109)),
        Some((w20, by_customer(5), true))
    );
    finalize(&mut reporter, 1, secs(113), 6);
    assert_eq!(reporter.take_overdue(secs(114)), []);
    assert_eq!(post(&reporter, 1, secs(115)).unwrap().0, WindowId(21));
    assert_eq!(reporter.take_overdue(secs(115)), [w20]);
    assert_eq!(reporter.take_overdue(secs(115)), []);
}

/// Guards against a window that the next holder finalizes again, with what it knows, and against a
/// report that nobody posts because its holder ended before.
#[test]
fn the_next_holder_repeats_what_is_finalized() {
    let mut first = reporter(secs(100));
    let (ledger, _) = finalize(&mut first, 1, secs(108), 5);
    let mut second = reporter(secs(90));
    second.on_ledger(ledger, 5);
    let w20 = WindowId(20);
    assert_eq!(
        post(&second, 2, secs(109)),
        Some((w20, by_customer(5), true))
    );
    second.on_post(w20);
    second.on_posted(w20, PostOutcome::Taken, secs(109));
    let (ledger, missed) = finalize(&mut second, 2, secs(113), 6);
    assert_eq!(missed, 0);
    assert_eq!(ledger.last(), Some(WindowId(21)));
    assert!(ledger.windows[0].closed);
    // A third one does not repeat it.
    let mut third = reporter(secs(90));
    third.on_ledger(ledger, 6);
    assert_eq!(post(&third, 3, secs(114)).unwrap().0, WindowId(21));
}

/// Guards against a second content after a write that was carried out although its answer was lost.
#[test]
fn a_write_whose_answer_was_lost_counts_if_it_took_effect() {
    let mut reporter = reporter(secs(100));
    let now = secs(108);
    let write = reporter.finalize(WindowId(20), by_customer(5), right(1));
    reporter.on_write_failed(now);
    assert_eq!(reporter.next(right(1), now, now), Action::Wait);
    reporter.on_ledger(write.ledger, 7);
    let unposted = (WindowId(20), by_customer(5), false);
    assert_eq!(post(&reporter, 1, secs(109)), Some(unposted));
}

/// Guards against windows that are reported after they are due, and are not counted as missed.
#[test]
fn windows_that_nobody_could_finalize_are_missed() {
    let mut reporter = reporter(secs(100));
    finalize(&mut reporter, 1, secs(108), 5);
    // No holder until then: the reports of the windows that end at 110 and 115 are overdue.
    let (ledger, missed) = finalize(&mut reporter, 2, secs(128), 6);
    assert_eq!(ledger.last(), Some(WindowId(23)));
    assert_eq!(missed, 2);
}

/// Guards against a new holder that finalizes a window before the others have delivered their counts
/// to it.
#[test]
fn a_new_holder_collects_first() {
    let reporter = reporter(secs(100));
    let now = secs(108);
    let new = Right {
        acquired: Duration::from_millis(106_600),
        ..right(1)
    };
    assert_eq!(reporter.next(new, now, now), Action::Wait);
    let later = now + Duration::from_millis(100);
    assert_eq!(
        reporter.next(new, later, later),
        Action::Finalize(WindowId(20))
    );
}

/// Guards against a window that is finalized again after a restore has lost its content: by a process
/// that has seen it, one that has not, and one that has started since.
#[test]
fn windows_of_an_earlier_era_are_not_finalized_again() {
    let mut seen = reporter(secs(100));
    let (earlier, _) = finalize(&mut seen, 1, secs(108), 5);
    finalize(&mut seen, 1, secs(113), 6);
    let mut unseen = reporter(secs(100));
    unseen.on_ledger(earlier.clone(), 5);
    let mut started = reporter(secs(114));
    let new_era = Right {
        era: 2,
        ..right(2 << 32)
    };
    for reporter in [&mut seen, &mut unseen] {
        reporter.on_restored(secs(114));
    }
    for reporter in [&mut seen, &mut unseen, &mut started] {
        reporter.on_ledger(earlier.clone(), 5);
        let now = secs(117);
        let action = reporter.next(new_era, now, now);
        assert!(!matches!(action, Action::Finalize(_)), "{action:?}");
        let now = secs(118);
        assert_eq!(
            reporter.next(new_era, now, now),
            Action::Finalize(WindowId(22))
        );
    }
}

/// Guards against an item of the store that grows with time.
#[test]
fn the_item_holds_the_last_windows_only() {
    let mut reporter = reporter(secs(100));
    for revision in 0..20 {
        let (ledger, missed) = finalize(&mut reporter, 1, secs(108 + revision * 5), revision);
        assert!(ledger.windows.len() <= LEDGER_LEN);
        assert_eq!(missed, 0);
        assert_eq!(ledger.last(), Some(WindowId(20 + revision)));
    }
}
