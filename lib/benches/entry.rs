//! Measures the cost per leaf call of the state machines of an entry instance, at 830 leaf calls
//! per query.
//!
//! The target is below 250 ns per leaf call for choice, limit and merge together. Criterion reports
//! throughput in elements, which are leaf calls.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::budget::Budget;
use camphorhold::coordination::correlation::Call;
use camphorhold::coordination::correlation::Calls;
use camphorhold::coordination::correlation::Kind;
use camphorhold::coordination::correlation::QueryId;
use camphorhold::coordination::hedge::Delay;
use camphorhold::coordination::merge::Merge;
use camphorhold::coordination::merge::Part;
use camphorhold::coordination::pin::Pin;
use camphorhold::coordination::query::Action;
use camphorhold::coordination::query::Context;
use camphorhold::coordination::query::OutgoingCall;
use camphorhold::coordination::query::Query;
use camphorhold::coordination::query::Received;
use camphorhold::coordination::query::Request;
use camphorhold::coordination::replica::Avoid;
use camphorhold::coordination::replica::LeafIndex;
use camphorhold::coordination::replica::Probing;
use camphorhold::coordination::replica::Table;
use camphorhold::state::id::PartitionId;
use camphorhold::state::id::ShardId;
use camphorhold::state::id::SnapshotId;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use criterion::Criterion;
use criterion::Throughput;
use criterion::criterion_group;
use criterion::criterion_main;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SHARDS: u32 = 830;
/// Replicas per shard: about 9,100 leafs over 830 shards.
const REPLICAS: u32 = 11;
const LATENCY: Duration = Duration::from_millis(5);
const PIN: Pin = Pin {
    snapshot: SnapshotId(7),
    partition: PartitionId(1),
};

struct Fixture {
    now: Instant,
    replicas: Table,
    hedge: Delay,
    budget: Budget,
    calls: Calls,
    rng: ChaCha8Rng,
    scope: Vec<ShardId>,
}

impl Fixture {
    fn new() -> Self {
        let now = SystemClock.now();
        let shards: Vec<ShardId> = (0..SHARDS * REPLICAS)
            .map(|leaf| ShardId(leaf % SHARDS))
            .collect();
        let mut replicas = Table::new(SHARDS, &shards, now);
        for leaf in (0..SHARDS * REPLICAS).map(LeafIndex) {
            let held = [SnapshotId(6), PIN.snapshot];
            replicas.set_held(leaf, PIN.partition, &held);
            replicas.on_sent(leaf);
            replicas.on_answer(leaf, now, LATENCY);
        }
        Self {
            now,
            replicas,
            hedge: Delay::new(now),
            budget: Budget::new(now),
            calls: Calls::with_capacity(4 * SHARDS as usize),
            rng: ChaCha8Rng::seed_from_u64(1),
            scope: (0..SHARDS).map(ShardId).collect(),
        }
    }

    fn context(&mut self) -> Context<'_> {
        Context {
            now: self.now,
            replicas: &mut self.replicas,
            hedge: &mut self.hedge,
            budget: &mut self.budget,
            calls: &mut self.calls,
            rng: &mut self.rng,
        }
    }

    /// Runs choice, accounting, correlation, budget and merge for one leaf call per shard, without
    /// the state machine of the query. Returns the number of shards answered.
    fn run_parts(&mut self, sent: &mut Vec<OutgoingCall>) -> u32 {
        let mut merge = Merge::new(PIN, SHARDS);
        sent.clear();
        for shard in (0..SHARDS).map(ShardId) {
            let avoid = Avoid::default();
            let leaf = self
                .replicas
                .choose(
                    shard,
                    PIN,
                    avoid,
                    Probing::Permitted,
                    self.now,
                    &mut self.rng,
                )
                .expect("every shard has replicas");
            self.budget.on_primary(self.now);
            self.replicas.on_sent(leaf);
            let call = self.calls.begin(Call {
                query: QueryId(1),
                position: shard.0,
                leaf,
                shard,
                kind: Kind::Primary,
                sent: self.now,
            });
            sent.push(OutgoingCall {
                call,
                leaf,
                shard,
                kind: Kind::Primary,
                deadline: self.now,
                canary: None,
            });
        }
        for send in sent.iter() {
            let call = self
                .calls
                .answer(send.call, QueryId(1), send.leaf, send.shard)
                .expect("the call is in flight");
            let part = Part {
                shard: send.shard,
                pin: PIN,
                complete: true,
            };
            merge
                .add(call.position, call.shard, part, ())
                .expect("the answer matches");
            self.replicas.on_answer(send.leaf, self.now, LATENCY);
        }
        merge.coverage().answered
    }

    /// Runs a whole query without failures through its state machine. Returns the number of actions
    /// that its answers caused.
    fn run_query(&mut self, id: u64, later_actions: &mut Vec<Action<()>>) -> usize {
        let scope = std::mem::take(&mut self.scope);
        let request = Request {
            id: QueryId(id),
            pin: PIN,
            scope: &scope,
            deadline: self.now + Duration::from_millis(120),
            idempotent: true,
            hedging: true,
            minimum: 0.5,
            patience: Duration::from_millis(20),
            canary: None,
        };
        let (mut query, actions) = Query::start(&mut self.context(), &request);
        self.now += LATENCY;
        later_actions.clear();
        for action in &actions {
            let Action::Send(send) = action else { continue };
            let part = Part {
                shard: send.shard,
                pin: PIN,
                complete: true,
            };
            let received = Received {
                call: send.call,
                leaf: send.leaf,
                part,
            };
            query
                .on_answer(&mut self.context(), &received, (), later_actions)
                .expect("the answer matches");
            black_box(query.next_wakeup());
        }
        self.scope = scope;
        later_actions.len()
    }
}

fn bench(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("entry, per leaf call");
    group.throughput(Throughput::Elements(u64::from(SHARDS)));
    let mut fixture = Fixture::new();
    group.bench_function("replica choice", |bencher| {
        bencher.iter(|| {
            for shard in (0..SHARDS).map(ShardId) {
                let avoid = Avoid::default();
                let now = fixture.now;
                black_box(fixture.replicas.choose(
                    shard,
                    PIN,
                    avoid,
                    Probing::Permitted,
                    now,
                    &mut fixture.rng,
                ));
            }
        });
    });
    let mut fixture = Fixture::new();
    let mut sent = Vec::with_capacity(SHARDS as usize);
    group.bench_function("choice, limit and merge", |bencher| {
        bencher.iter(|| black_box(fixture.run_parts(&mut sent)));
    });
    let mut fixture = Fixture::new();
    let mut later_actions = Vec::with_capacity(SHARDS as usize);
    let mut id = 0;
    group.bench_function("whole query", |bencher| {
        bencher.iter(|| {
            id += 1;
            black_box(fixture.run_query(id, &mut later_actions))
        });
    });
    group.finish();
}

criterion_group!(benches, bench);
criterion_main!(benches);
