//! Tests of the events that make the warmth of a leaf unknown, and of the way back to a warm leaf.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use camphorhold::coordination::call::CallId;
use camphorhold::coordination::call::Caller;
use camphorhold::coordination::call::ConnectionId;
use camphorhold::coordination::call::NotRun;
use camphorhold::coordination::dispatch::Action;
use camphorhold::coordination::dispatch::Answer;
use camphorhold::coordination::dispatch::Input;
use camphorhold::coordination::dispatch::Leaf;
use camphorhold::coordination::dispatch::Ownership;
use camphorhold::coordination::dispatch::Policy;
use camphorhold::coordination::dispatch::Status;
use camphorhold::coordination::dispatch::Submission;
use camphorhold::coordination::warmth;
use camphorhold::coordination::warmth::State;
use camphorhold::coordination::warmth::Temperature;
use camphorhold::coordination::warmth::Warmth;
use camphorhold::state::file::ColdStart;
use camphorhold::state::id::ServerIncarnation;
use camphorhold::state::size::Connections;
use camphorhold::state::size::Slots;

const DURATION: Duration = Duration::from_secs(2);
const ANSWERS: u32 = 5;

fn policy() -> warmth::Policy {
    warmth::Policy {
        cold_start: ColdStart {
            concurrency: Slots(1),
            duration: DURATION,
            answers: ANSWERS,
        },
        slots: Slots(4),
    }
}

fn good(warmth: &Warmth) -> warmth::Answer {
    warmth::Answer {
        epoch: warmth.epoch(),
        incarnation: ServerIncarnation(1),
        temperature: Temperature::Warm,
        good: true,
    }
}

/// Guards against a cold leaf that ramps up before the cold duration has passed, because it has
/// answered many requests in that time.
#[test]
fn a_leaf_stays_cold_until_the_cold_duration_has_passed() {
    let start = Instant::now();
    let mut warmth = Warmth::new(policy());
    for _ in 0..10 * ANSWERS {
        warmth.answered(good(&warmth), false, start);
    }
    warmth.tick(start + DURATION / 2);
    assert!(matches!(warmth.state(), State::Cold { .. }));
    warmth.tick(start + DURATION);
    assert!(matches!(warmth.state(), State::Ramping { .. }));
}

/// Guards against a cold leaf that ramps up before it has given enough good answers, because much
/// time has passed or bad answers were counted.
#[test]
fn a_leaf_stays_cold_until_it_has_given_enough_good_answers() {
    let start = Instant::now();
    let mut warmth = Warmth::new(policy());
    let bad = warmth::Answer {
        good: false,
        ..good(&warmth)
    };
    for _ in 1..ANSWERS {
        warmth.answered(good(&warmth), false, start);
        warmth.answered(bad, false, start);
    }
    warmth.tick(start + 10 * DURATION);
    assert!(matches!(warmth.state(), State::Cold { .. }));
    warmth.answered(good(&warmth), false, start + 10 * DURATION);
    assert!(matches!(warmth.state(), State::Ramping { .. }));
}

/// Guards against answers that count for a new process although their requests were sent before the
/// restart, to the old process.
#[test]
fn answers_to_requests_sent_before_a_restart_do_not_count() {
    let start = Instant::now();
    let mut warmth = Warmth::new(policy());
    let early = good(&warmth);
    warmth.mark_unknown();
    warmth.answered(early, false, start);
    assert_eq!(warmth.state(), State::Unknown);
}

/// Guards against a limit that jumps from the limit of a cold leaf to all slots.
#[test]
fn the_limit_of_a_ramping_leaf_doubles_each_second() {
    let start = Instant::now();
    let mut warmth = Warmth::new(policy());
    for _ in 0..ANSWERS {
        warmth.answered(good(&warmth), false, start);
    }
    let ramp = start + DURATION;
    warmth.tick(ramp);
    let limits = [0, 999, 1_000, 1_999, 2_000, 60_000];
    let limits = limits.map(|ms| {
        warmth.tick(ramp + Duration::from_millis(ms));
        warmth.limit(ramp + Duration::from_millis(ms))
    });
    assert_eq!(limits, [1, 1, 2, 2, 4, 4]);
    assert_eq!(warmth.state(), State::Warm);
}

/// The owner of a leaf that has become warm by answering calls, with two requests in flight.
struct WarmLeaf {
    leaf: Leaf,
    now: Instant,
    next: u64,
    /// Requests written and not answered.
    busy: Vec<(ConnectionId, CallId)>,
    /// Calls suspected of having crashed the server.
    suspects: Vec<CallId>,
    refused: Vec<NotRun>,
}

impl WarmLeaf {
    fn new() -> Self {
        let policy = Policy {
            warmth: policy(),
            connections: Connections(8),
            deadline: Duration::from_secs(4),
        };
        let mut warm = Self {
            leaf: Leaf::new(policy),
            now: Instant::now(),
            next: 0,
            busy: Vec::new(),
            suspects: Vec::new(),
            refused: Vec::new(),
        };
        warm.handle(Input::Ownership(warm.held()));
        while warm.leaf.warmth().state() != State::Warm {
            warm.submit();
            for (connection, call) in std::mem::take(&mut warm.busy) {
                warm.answer(connection, call, 1, Temperature::Warm);
            }
            warm.now += Duration::from_millis(100);
            warm.handle(Input::Tick);
        }
        warm.submit();
        warm.submit();
        warm
    }

    fn held(&self) -> Ownership {
        let valid_until = self.now + Duration::from_hours(1);
        Ownership::Held { valid_until }
    }

    fn wall() -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_hours(1)
    }

    fn handle(&mut self, input: Input) {
        let mut actions = Vec::new();
        self.leaf
            .handle(input, self.now, Self::wall(), &mut actions);
        for action in actions {
            match action {
                Action::OpenConnection { connection } => {
                    self.handle(Input::ConnectionOpened { connection });
                }
                Action::Write {
                    connection, call, ..
                } => self.busy.push((connection, call)),
                Action::SuspectCrash { call } => self.suspects.push(call),
                Action::Refuse { reason, .. } => self.refused.push(reason),
                _ => {}
            }
        }
    }

    fn submit(&mut self) {
        self.submit_within(Duration::from_secs(4));
    }

    fn submit_within(&mut self, time: Duration) {
        let submission = Submission {
            call: CallId(self.next),
            caller: Caller(0),
            deadline: Self::wall() + time,
            idempotent: true,
        };
        self.next += 1;
        self.handle(Input::Submit(submission));
    }

    fn answer(
        &mut self,
        connection: ConnectionId,
        call: CallId,
        incarnation: u64,
        temperature: Temperature,
    ) {
        self.handle(Input::Answered(Answer {
            connection,
            call,
            status: Status::Ok,
            incarnation: ServerIncarnation(incarnation),
            temperature,
            whole: true,
            holds: Arc::default(),
        }));
    }

    #[track_caller]
    fn assert_unknown(&self) {
        assert_eq!(self.leaf.warmth().state(), State::Unknown);
        assert_eq!(self.leaf.warmth().limit(self.now), 1);
    }
}

/// Guards against full load on a server whose restart shows only in the reset of a connection.
#[test]
fn a_reset_makes_the_warmth_unknown() {
    let mut warm = WarmLeaf::new();
    let (connection, call) = warm.busy[0];
    warm.handle(Input::ConnectionLost { connection });
    warm.assert_unknown();
    assert_eq!(warm.suspects, [call]);
    // The lost request may still run.
    assert_eq!(warm.leaf.in_flight(), 2);
}

/// Guards against full load on a server whose restart shows only in the incarnation of an answer.
#[test]
fn a_new_incarnation_makes_the_warmth_unknown() {
    let mut warm = WarmLeaf::new();
    let (connection, call) = warm.busy[0];
    warm.answer(connection, call, 2, Temperature::Warm);
    warm.assert_unknown();
}

/// Guards against full load on a server that reports that it is cold, for instance because it lost
/// its caches without a restart.
#[test]
fn a_cold_answer_makes_the_warmth_unknown() {
    let mut warm = WarmLeaf::new();
    let (connection, call) = warm.busy[0];
    warm.answer(connection, call, 1, Temperature::Cold);
    warm.assert_unknown();
}

/// Guards against full load on a server that restarted without a reset of its connections, for
/// instance because its machine lost power.
#[test]
fn a_second_of_silence_makes_the_warmth_unknown() {
    let mut warm = WarmLeaf::new();
    warm.now += Duration::from_millis(999);
    warm.handle(Input::Tick);
    assert_eq!(warm.leaf.warmth().state(), State::Warm);
    warm.now += Duration::from_millis(1);
    warm.handle(Input::Tick);
    warm.assert_unknown();
}

/// Guards against an owner that regains a leaf and uses the warmth from before: the server may have
/// restarted while another instance owned the leaf.
#[test]
fn a_change_of_ownership_makes_the_warmth_unknown() {
    let mut warm = WarmLeaf::new();
    warm.handle(Input::Ownership(Ownership::Waiting));
    warm.handle(Input::Ownership(warm.held()));
    warm.assert_unknown();
}

/// Guards against a lapse and renewal of currency that makes the warmth unknown, although no other
/// instance owned the leaf in between.
#[test]
fn a_renewal_of_currency_keeps_the_warmth() {
    let mut warm = WarmLeaf::new();
    warm.handle(Input::Ownership(warm.held()));
    assert_eq!(warm.leaf.warmth().state(), State::Warm);
}

/// Guards against a call that occupies a slot although the leaf cannot answer it before its
/// deadline.
#[test]
fn a_call_that_cannot_be_answered_in_time_is_not_run() {
    let mut warm = WarmLeaf::new();
    let took = Duration::from_millis(50);
    for _ in 0..400 {
        warm.submit();
        warm.now += took;
        for (connection, call) in std::mem::take(&mut warm.busy) {
            warm.answer(connection, call, 1, Temperature::Warm);
        }
    }
    let written = warm.busy.len();
    warm.submit_within(took / 5);
    assert_eq!(warm.refused, [NotRun::DeadlineTooClose]);
    assert_eq!(warm.busy.len(), written);
}
