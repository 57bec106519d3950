//! Tests of what moves a leaf to an unknown warmth, and of what brings it back.

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

/// Guards against ramping before the cold start has lasted, however many answers came.
#[test]
fn a_cold_leaf_needs_its_duration() {
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

/// Guards against ramping before enough whole answers came, however long it took.
#[test]
fn a_cold_leaf_needs_its_answers() {
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

/// Guards against answers to requests from before a restart counting as answers of the new process.
#[test]
fn answers_to_earlier_requests_do_not_count() {
    let start = Instant::now();
    let mut warmth = Warmth::new(policy());
    let early = good(&warmth);
    warmth.mark_unknown();
    warmth.answered(early, false, start);
    assert_eq!(warmth.state(), State::Unknown);
}

/// Guards against the limit jumping to the slots.
#[test]
fn the_limit_doubles_each_second() {
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

/// A leaf that has become warm under calls, with two requests in flight.
struct Served {
    leaf: Leaf,
    now: Instant,
    next: u64,
    busy: Vec<(ConnectionId, CallId)>,
    suspects: Vec<CallId>,
    refused: Vec<NotRun>,
}

impl Served {
    fn new() -> Self {
        let policy = Policy {
            warmth: policy(),
            connections: Connections(8),
            deadline: Duration::from_secs(4),
        };
        let mut served = Self {
            leaf: Leaf::new(policy),
            now: Instant::now(),
            next: 0,
            busy: Vec::new(),
            suspects: Vec::new(),
            refused: Vec::new(),
        };
        served.handle(Input::Ownership(served.held()));
        while served.leaf.warmth().state() != State::Warm {
            served.submit();
            for (connection, call) in std::mem::take(&mut served.busy) {
                served.answer(connection, call, 1, Temperature::Warm);
            }
            served.now += Duration::from_millis(100);
            served.handle(Input::Tick);
        }
        served.submit();
        served.submit();
        served
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

/// Guards against full load on a server that has restarted, as a reset shows.
#[test]
fn a_reset_makes_the_warmth_unknown() {
    let mut served = Served::new();
    let (connection, call) = served.busy[0];
    served.handle(Input::ConnectionLost { connection });
    served.assert_unknown();
    assert_eq!(served.suspects, [call]);
    // The lost request may still run.
    assert_eq!(served.leaf.in_flight(), 2);
}

/// Guards against full load on a server that shows a new incarnation.
#[test]
fn a_new_incarnation_makes_the_warmth_unknown() {
    let mut served = Served::new();
    let (connection, call) = served.busy[0];
    served.answer(connection, call, 2, Temperature::Warm);
    served.assert_unknown();
}

/// Guards against full load on a server that says that it is cold.
#[test]
fn a_cold_answer_makes_the_warmth_unknown() {
    let mut served = Served::new();
    let (connection, call) = served.busy[0];
    served.answer(connection, call, 1, Temperature::Cold);
    served.assert_unknown();
}

/// Guards against full load on a server that has vanished without a reset.
#[test]
fn a_second_of_silence_makes_the_warmth_unknown() {
    let mut served = Served::new();
    served.now += Duration::from_millis(999);
    served.handle(Input::Tick);
    assert_eq!(served.leaf.warmth().state(), State::Warm);
    served.now += Duration::from_millis(1);
    served.handle(Input::Tick);
    served.assert_unknown();
}

/// Guards against a returning owner trusting what it knew before another instance owned the leaf.
#[test]
fn a_change_of_ownership_makes_the_warmth_unknown() {
    let mut served = Served::new();
    served.handle(Input::Ownership(Ownership::Waiting));
    served.handle(Input::Ownership(served.held()));
    served.assert_unknown();
}

/// Guards against a lapse and renewal of currency throwing away the warmth: no other instance owned
/// the leaf in between.
#[test]
fn a_renewal_of_currency_keeps_the_warmth() {
    let mut served = Served::new();
    served.handle(Input::Ownership(served.held()));
    assert_eq!(served.leaf.warmth().state(), State::Warm);
}

/// Guards against a call taking a slot although its answer would come too late.
#[test]
fn a_call_that_cannot_be_answered_in_time_is_not_run() {
    let mut served = Served::new();
    let took = Duration::from_millis(50);
    for _ in 0..400 {
        served.submit();
        served.now += took;
        for (connection, call) in std::mem::take(&mut served.busy) {
            served.answer(connection, call, 1, Temperature::Warm);
        }
    }
    let written = served.busy.len();
    served.submit_within(took / 5);
    assert_eq!(served.refused, [NotRun::DeadlineTooClose]);
    assert_eq!(served.busy.len(), written);
}
