//! Measures the cost of a leaf call at the owner of the leaf: submit, write and answer.
//!
//! The target is below 250 ns per call. Each iteration of the second and third bench makes 6 and 24
//! calls. Run with `cargo bench -p camphorhold --bench owner`.

#![allow(missing_docs, reason = "criterion's macros define undocumented items")]

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use camphorhold::coordination::call::CallId;
use camphorhold::coordination::call::Caller;
use camphorhold::coordination::call::ConnectionId;
use camphorhold::coordination::dispatch::Action;
use camphorhold::coordination::dispatch::Answer;
use camphorhold::coordination::dispatch::Input;
use camphorhold::coordination::dispatch::Leaf;
use camphorhold::coordination::dispatch::Ownership;
use camphorhold::coordination::dispatch::Policy;
use camphorhold::coordination::dispatch::Status;
use camphorhold::coordination::dispatch::Submission;
use camphorhold::coordination::warmth;
use camphorhold::coordination::warmth::Temperature;
use camphorhold::state::file::ColdStart;
use camphorhold::state::id::ServerIncarnation;
use camphorhold::state::id::SnapshotId;
use camphorhold::state::size::Connections;
use camphorhold::state::size::Slots;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;

struct Bench {
    leaf: Leaf,
    now: Instant,
    wall: SystemTime,
    next_call: u64,
    actions: Vec<Action>,
    holds: Arc<[SnapshotId]>,
}

impl Bench {
    fn new(slots: u32) -> Self {
        let cold_start = ColdStart {
            concurrency: Slots(1),
            duration: Duration::ZERO,
            answers: 0,
        };
        let policy = Policy {
            warmth: warmth::Policy {
                cold_start,
                slots: Slots(slots),
            },
            connections: Connections(100),
            deadline: Duration::from_millis(120),
        };
        let mut bench = Self {
            leaf: Leaf::new(policy),
            now: SystemClock.now(),
            wall: SystemClock.wall(),
            next_call: 0,
            actions: Vec::with_capacity(64),
            holds: [SnapshotId(1), SnapshotId(2)].into(),
        };
        let valid_until = bench.now + Duration::from_hours(1);
        bench.handle(Input::Ownership(Ownership::Held { valid_until }));
        for id in 0..u64::from(slots + (slots / 2).max(1)) {
            let connection = ConnectionId(id);
            bench.handle(Input::ConnectionOpened { connection });
        }
        bench.actions.clear();
        for _ in 0..40 {
            bench.cycle(1);
            bench.now += Duration::from_secs(1);
            bench.handle(Input::Tick);
        }
        bench
    }

    fn handle(&mut self, input: Input) {
        self.leaf
            .handle(input, self.now, self.wall, &mut self.actions);
    }

    /// Submits `calls` calls, and answers each when it is written to a connection.
    fn cycle(&mut self, calls: u64) {
        for _ in 0..calls {
            let submission = Submission {
                call: CallId(self.next_call),
                caller: Caller(self.next_call % 7),
                deadline: self.wall + Duration::from_millis(100),
                idempotent: true,
            };
            self.next_call += 1;
            self.handle(Input::Submit(submission));
        }
        let mut read = 0;
        while read < self.actions.len() {
            if let Action::Write {
                connection, call, ..
            } = self.actions[read]
            {
                let holds = Arc::clone(&self.holds);
                self.handle(Input::Answered(Answer {
                    connection,
                    call,
                    status: Status::Ok,
                    incarnation: ServerIncarnation(1),
                    temperature: Temperature::Warm,
                    whole: true,
                    holds,
                }));
            }
            read += 1;
        }
        black_box(&self.actions);
        self.actions.clear();
    }
}

fn bench(criterion: &mut Criterion) {
    let mut alone = Bench::new(2);
    criterion.bench_function("owner/2 slots, 1 call", |bencher| {
        bencher.iter(|| alone.cycle(1));
    });
    let mut slots = Bench::new(6);
    criterion.bench_function("owner/6 slots, 6 calls", |bencher| {
        bencher.iter(|| slots.cycle(6));
    });
    let mut queued = Bench::new(6);
    criterion.bench_function("owner/6 slots, 24 calls, 18 queued", |bencher| {
        bencher.iter(|| queued.cycle(24));
    });
}

criterion_group!(benches, bench);
criterion_main!(benches);
