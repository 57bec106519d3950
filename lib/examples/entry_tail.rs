//! Simulates the tail latency of one entry instance in virtual time, and compares it with
//! baselines.
//!
//! Leafs have two slots and a queue. A call takes 4 ms plus an exponential part with a mean of 1
//! ms; 1 in 100 takes 20 times as long. Prints figures and asserts nothing; the seeds are fixed, so
//! every run prints the same. Run with `cargo run --release -p camphorhold --example entry_tail`.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::budget::Budget;
use camphorhold::coordination::correlation::CallId;
use camphorhold::coordination::correlation::Calls;
use camphorhold::coordination::correlation::Kind;
use camphorhold::coordination::correlation::QueryId;
use camphorhold::coordination::hedge::Delay;
use camphorhold::coordination::merge::Part;
use camphorhold::coordination::pin::Pin;
use camphorhold::coordination::query::Action;
use camphorhold::coordination::query::Context;
use camphorhold::coordination::query::OutgoingCall;
use camphorhold::coordination::query::Query;
use camphorhold::coordination::query::Received;
use camphorhold::coordination::query::Request;
use camphorhold::coordination::replica::Advertised;
use camphorhold::coordination::replica::LeafIndex;
use camphorhold::coordination::replica::Policy;
use camphorhold::coordination::replica::Table;
use camphorhold::state::id::PartitionId;
use camphorhold::state::id::ShardId;
use camphorhold::state::id::SnapshotId;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const PIN: Pin = Pin {
    snapshot: SnapshotId(1),
    partition: PartitionId(1),
};
const SLOTS: usize = 2;
const BASE_SECONDS: f64 = 0.004;
const JITTER_SECONDS: f64 = 0.001;
const STRAGGLER_FACTOR: f64 = 20.0;
/// Time between two reports of the load and clients of the leafs, for the rank-sum baseline.
const ADVERTISE_INTERVAL: Duration = Duration::from_millis(500);
/// The number of queries at the start whose latencies are left out, because the estimates have few
/// samples.
const WARM_UP_QUERIES: usize = 200;
const DEADLINE: Duration = Duration::from_secs(2);

#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    shards: u32,
    replicas: u32,
    queries: usize,
    interval: Duration,
    /// Every n-th leaf takes three times as long for every call; 0 means none.
    slow_leaf_every: u32,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Answer(usize, usize),
    Wakeup(usize),
    Advertise,
}

struct Leaf {
    slots: [Instant; SLOTS],
    calls: u32,
}

struct Running {
    query: Query<()>,
    started: Instant,
    wakeup: Option<Instant>,
}

struct Simulation {
    scenario: Scenario,
    straggler_probability: f64,
    hedging: bool,
    now: Instant,
    replicas: Table,
    hedge: Delay,
    budget: Budget,
    calls: Calls,
    rng: ChaCha8Rng,
    model_rng: ChaCha8Rng,
    leafs: Vec<Leaf>,
    sends: Vec<(OutgoingCall, Instant, usize)>,
    by_call: std::collections::HashMap<CallId, usize>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    running: Vec<Running>,
    latencies: Vec<Duration>,
    primary: u64,
    extra: u64,
}

impl Simulation {
    fn new(scenario: Scenario, policy: Policy, hedging: bool, straggler_probability: f64) -> Self {
        let now = Instant::now();
        let count = scenario.shards * scenario.replicas;
        let shards: Vec<ShardId> = (0..count)
            .map(|leaf| ShardId(leaf % scenario.shards))
            .collect();
        let mut replicas = Table::new(scenario.shards, &shards, now).with_policy(policy);
        for leaf in (0..count).map(LeafIndex) {
            replicas.set_held(leaf, PIN.partition, &[PIN.snapshot]);
        }
        let leafs = (0..count)
            .map(|_| Leaf {
                slots: [now; SLOTS],
                calls: 0,
            })
            .collect();
        Self {
            scenario,
            straggler_probability,
            hedging,
            now,
            replicas,
            hedge: Delay::new(now),
            budget: Budget::new(now),
            calls: Calls::default(),
            rng: ChaCha8Rng::seed_from_u64(1),
            model_rng: ChaCha8Rng::seed_from_u64(2),
            leafs,
            sends: Vec::new(),
            by_call: std::collections::HashMap::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            running: Vec::new(),
            latencies: Vec::new(),
            primary: 0,
            extra: 0,
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

    fn schedule(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn run(mut self) -> Self {
        let start = self.now;
        let mut at = start;
        for query in 0..self.scenario.queries {
            // Arrivals are a Poisson process.
            at += self.scenario.interval.mul_f64(self.exponential());
            self.schedule(at, Event::Arrival(query));
        }
        let mut advertise = start;
        while advertise < at {
            self.schedule(advertise, Event::Advertise);
            advertise += ADVERTISE_INTERVAL;
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrival(query) => self.start_query(query),
                Event::Answer(query, send) => self.answer(query, send),
                Event::Wakeup(query) => {
                    let mut actions = Vec::new();
                    self.with_query(query, |query, context| {
                        query.on_timer(context, &mut actions);
                    });
                    self.perform(query, actions);
                }
                Event::Advertise => self.advertise(),
            }
        }
        self
    }

    fn with_query(&mut self, query: usize, change: impl FnOnce(&mut Query<()>, &mut Context<'_>)) {
        let mut context = Context {
            now: self.now,
            replicas: &mut self.replicas,
            hedge: &mut self.hedge,
            budget: &mut self.budget,
            calls: &mut self.calls,
            rng: &mut self.rng,
        };
        change(&mut self.running[query].query, &mut context);
    }

    fn start_query(&mut self, id: usize) {
        let scope: Vec<ShardId> = (0..self.scenario.shards).map(ShardId).collect();
        let request = Request {
            id: QueryId(id as u64),
            pin: PIN,
            scope: &scope,
            deadline: self.now + DEADLINE,
            idempotent: true,
            hedging: self.hedging,
            minimum: 1.0,
            patience: DEADLINE,
            canary: None,
        };
        let (query, actions) = Query::start(&mut self.context(), &request);
        self.running.push(Running {
            query,
            started: self.now,
            wakeup: None,
        });
        self.perform(id, actions);
    }

    fn perform(&mut self, query: usize, actions: Vec<Action<()>>) {
        for action in actions {
            match action {
                Action::Send(send) => self.send(query, send),
                Action::Cancel(call) => self.cancel(call),
                Action::Finish(_) => {
                    if query >= WARM_UP_QUERIES {
                        self.latencies.push(self.now - self.running[query].started);
                    }
                }
                Action::ReportReset { .. } => {}
            }
        }
        let wakeup = self.running[query].query.next_wakeup();
        if wakeup != self.running[query].wakeup {
            self.running[query].wakeup = wakeup;
            if let Some(at) = wakeup {
                self.schedule(at, Event::Wakeup(query));
            }
        }
    }

    fn send(&mut self, query: usize, send: OutgoingCall) {
        if send.kind == Kind::Primary {
            self.primary += 1;
        } else {
            self.extra += 1;
        }
        let mut time = BASE_SECONDS + JITTER_SECONDS * self.exponential();
        if self.model_rng.random_bool(self.straggler_probability) {
            time *= STRAGGLER_FACTOR;
        }
        let slow_leaf_every = self.scenario.slow_leaf_every;
        if slow_leaf_every > 0 && send.leaf.0.is_multiple_of(slow_leaf_every) {
            time *= 3.0;
        }
        let leaf = &mut self.leafs[send.leaf.0 as usize];
        leaf.calls += 1;
        let slot = (0..SLOTS).min_by_key(|slot| leaf.slots[*slot]).unwrap_or(0);
        let end = leaf.slots[slot].max(self.now) + Duration::from_secs_f64(time);
        leaf.slots[slot] = end;
        self.by_call.insert(send.call, self.sends.len());
        self.schedule(end, Event::Answer(query, self.sends.len()));
        self.sends.push((send, end, slot));
    }

    /// Cancels a call. Its slot is free at once unless another call is queued behind it.
    fn cancel(&mut self, call: CallId) {
        let (send, end, slot) = self.sends[self.by_call[&call]];
        let slot = &mut self.leafs[send.leaf.0 as usize].slots[slot];
        if *slot == end {
            *slot = self.now;
        }
    }

    fn answer(&mut self, query: usize, send: usize) {
        let send = self.sends[send].0;
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
        let mut actions = Vec::new();
        self.with_query(query, |query, context| {
            // The answer to a cancelled call matches no call in flight; the query counts and drops
            // it.
            let _ = query.on_answer(context, &received, (), &mut actions);
        });
        self.perform(query, actions);
    }

    fn advertise(&mut self) {
        for index in 0..self.leafs.len() {
            let now = self.now;
            let leaf = &mut self.leafs[index];
            let busy = leaf.slots.iter().filter(|free_at| **free_at > now).count();
            let load = u32::try_from(busy).unwrap_or(0);
            let advertised = Advertised {
                load,
                clients: std::mem::take(&mut leaf.calls),
            };
            let index = LeafIndex(u32::try_from(index).unwrap_or(0));
            self.replicas.set_advertised(index, advertised);
        }
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.model_rng.random::<f64>()).ln()
    }

    fn quantile(&self, percent: usize) -> f64 {
        let mut sorted = self.latencies.clone();
        sorted.sort();
        let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
        sorted.get(index).map_or(0.0, Duration::as_secs_f64) * 1e3
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn report(scenario: Scenario) {
    println!("{}:", scenario.name);
    let rows = [
        ("expected delay, hedging", Policy::ExpectedDelay, true),
        ("expected delay, no hedging", Policy::ExpectedDelay, false),
        ("random replica, hedging", Policy::Random, true),
        ("random replica, no hedging", Policy::Random, false),
        ("rank sum, hedging", Policy::RankSum, true),
        ("rank sum, no hedging", Policy::RankSum, false),
    ];
    for (name, policy, hedging) in rows {
        let without = Simulation::new(scenario, policy, hedging, 0.0).run();
        let with = Simulation::new(scenario, policy, hedging, 0.01).run();
        println!(
            "  {name:28} p50 {:6.1} ms, p99 {:6.1} ms; without stragglers p99 {:6.1} ms; \
             ratio {:5.2}; extra load {:4.1} %",
            with.quantile(50),
            with.quantile(99),
            without.quantile(99),
            with.quantile(99) / without.quantile(99),
            with.extra as f64 * 100.0 / with.primary as f64,
        );
    }
}

fn main() {
    let small = Scenario {
        name: "30 shards x 2 replicas, 40 queries/s",
        shards: 30,
        replicas: 2,
        queries: 5_000,
        interval: Duration::from_millis(25),
        slow_leaf_every: 0,
    };
    let large = Scenario {
        name: "830 shards x 11 replicas, 200 queries/s",
        shards: 830,
        replicas: 11,
        queries: 1_400,
        interval: Duration::from_millis(5),
        slow_leaf_every: 0,
    };
    report(small);
    report(Scenario {
        name: "30 shards x 2 replicas, 40 queries/s, 1 leaf in 7 three times as slow",
        slow_leaf_every: 7,
        ..small
    });
    report(large);
    report(Scenario {
        name: "830 shards x 11 replicas, 200 queries/s, 1 leaf in 7 three times as slow",
        slow_leaf_every: 7,
        ..large
    });
}
