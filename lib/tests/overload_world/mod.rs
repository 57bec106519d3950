//! Instances, leafs and callers in virtual time: each query asks all shards, through their owners.
//! Each failure domain has owners of all shards and a part of their leafs, and each instance decides
//! for itself with the state machines that the product uses. Late handovers are not requested a second
//! time.

mod calls;
mod handover;
mod leaf;
pub mod scenario;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::merge::Coverage;
use camphorhold::coordination::serving::ConcurrencyLimits;
use camphorhold::coordination::serving::Fanout;
use camphorhold::coordination::serving::Fleet;
use camphorhold::coordination::serving::RetryBudgets;
use camphorhold::coordination::serving::ShardLoads;
use camphorhold::coordination::serving::fanout::Context;
use camphorhold::coordination::serving::fanout::LeafCall;
use camphorhold::coordination::serving::fanout::Outcome;
use camphorhold::coordination::serving::fanout::Request;
use camphorhold::coordination::serving::fanout::Shard;
use camphorhold::coordination::serving::fanout::ShardAssignment;
use camphorhold::coordination::serving::fanout::Verdict;
use camphorhold::coordination::serving::fleet::LeafKey;
use camphorhold::coordination::serving::shard_load::End;
use camphorhold::coordination::serving::shard_load::Permit;
use camphorhold::coordination::serving::shard_load::Urgency;
use camphorhold::state::plan::CallSemantics;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::leaf::Leaf;
use self::scenario::BOUND;
use self::scenario::HOP;
use self::scenario::KINDS;
use self::scenario::LIMITS;
use self::scenario::MIN_COVERAGE;
use self::scenario::SHARDS;
use self::scenario::SPEEDS;
use self::scenario::Scenario;
use self::scenario::Tally;
use self::scenario::URGENT_LOAD;
use self::scenario::capacity;
use crate::serving_support::entry;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Query(usize),
    Handover(usize),
    AtLeaf(usize),
    LeafDone(usize, usize),
    CallEnd(usize),
    HandoverEnd(usize),
    Timer(usize),
}

struct Instance {
    fleet: Fleet,
    budgets: RetryBudgets,
    limits: ConcurrencyLimits,
    loads: ShardLoads<(usize, usize)>,
}

/// How a task has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
enum TaskEnd {
    Verdict(Verdict),
    /// Refused before it began, or ended with its query.
    Dropped,
}

impl TaskEnd {
    fn is_answer(self) -> bool {
        matches!(self, Self::Verdict(Verdict::Answer(_)))
    }
}

/// A query at its caller's instance, or the shards of it that an owner has.
struct Task {
    instance: usize,
    kind: usize,
    urgency: Urgency,
    arrived: u64,
    parent: Option<usize>,
    // The shards, and which of them the owner refused.
    shards: Vec<usize>,
    refused: Vec<usize>,
    // By position.
    permits: Vec<Option<Permit>>,
    due: u64,
    fanout: Option<Fanout>,
    ended: Option<TaskEnd>,
    has_worked: bool,
    calls: Vec<usize>,
    children: Vec<usize>,
}

struct Call {
    task: usize,
    position: usize,
    key: LeafKey,
    leaf: usize,
    sent: Instant,
    released: bool,
    pub deadline: u64,
    outcome: Option<Outcome>,
}

pub struct World {
    scenario: Scenario,
    start: Instant,
    now: u64,
    rng: ChaCha8Rng,
    instances: Vec<Instance>,
    leafs: Vec<Leaf>,
    tasks: Vec<Task>,
    calls: Vec<Call>,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    sequence: usize,
    pub tallies: [Tally; 2],
}

/// Returns the owner of a shard in the failure domain of an instance.
fn owner(scenario: &Scenario, shard: usize, instance: usize) -> usize {
    let members = scenario.instances / scenario.domains;
    (shard * 7 + 3) % members * scenario.domains + instance % scenario.domains
}

fn shard_name(shard: usize) -> String {
    format!("s{shard}")
}

impl World {
    pub fn new(scenario: Scenario) -> Self {
        let start = Instant::now();
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let domains = scenario.domains;
        let domain = |number: usize| format!("d{}", number % domains);
        let mut fleets: Vec<Fleet> = (0..domains)
            .map(|number| Fleet::new(domain(number).into()))
            .collect();
        let mut leafs = Vec::new();
        for shard in 0..SHARDS {
            for (replica, speed) in SPEEDS.into_iter().enumerate() {
                let id = leafs.len().to_string();
                let entry = entry(&id, &shard_name(shard), &domain(replica));
                for fleet in &mut fleets {
                    fleet.set_instances(scenario.instances, domains);
                    fleet.update(entry.clone(), start);
                }
                let phase = scenario
                    .pauses
                    .then(|| rng.random_range(0..leaf::PAUSE_EVERY));
                leafs.push(Leaf::new(speed, phase));
            }
        }
        let instance = |number: usize| Instance {
            fleet: fleets[number % domains].clone(),
            budgets: RetryBudgets::new(BOUND, scenario.instances, start),
            limits: ConcurrencyLimits::default(),
            loads: ShardLoads::default(),
        };
        let instances = (0..scenario.instances).map(instance).collect();
        Self {
            scenario,
            start,
            now: 0,
            rng,
            instances,
            leafs,
            tasks: Vec::new(),
            calls: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            tallies: [Tally::default(); 2],
        }
    }

    /// Runs until all queries that count have ended.
    pub fn run(mut self) -> Self {
        let end = self.scenario.counted.1 * 1_000_000;
        for kind in 0..KINDS.len() {
            self.plan_arrival(kind);
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end + 1_000_000 {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self
    }

    fn at(&self, micros: u64) -> Instant {
        self.start + Duration::from_micros(micros)
    }

    fn micros(&self, at: Instant) -> u64 {
        u64::try_from(at.saturating_duration_since(self.start).as_micros()).expect("a short time")
    }

    fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn rate(&self, kind: usize) -> f64 {
        let load = if self.now < self.scenario.ends * 1_000_000 {
            self.scenario.load
        } else {
            0.5
        };
        let share = [URGENT_LOAD.min(load), (load - URGENT_LOAD).max(0.0)][kind];
        share * capacity(self.scenario.pauses) * 1e6 / KINDS[kind].work as f64
    }

    fn plan_arrival(&mut self, kind: usize) {
        let rate = self.rate(kind).max(0.1);
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.push(self.now + (gap * 1e6) as u64, Event::Query(kind));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Query(kind) => self.on_query(kind),
            Event::Handover(task) => self.on_handover(task),
            Event::AtLeaf(call) => self.on_call_at_leaf(call),
            Event::LeafDone(leaf, call) => {
                let done = self.leafs[leaf].on_done(call);
                if done {
                    self.calls[call].outcome = Some(Outcome::Answered);
                    self.push(self.now + HOP, Event::CallEnd(call));
                }
                self.start_jobs(leaf);
            }
            Event::CallEnd(call) => self.on_call_end(call),
            Event::HandoverEnd(task) => self.on_handover_end(task),
            Event::Timer(task) => {
                self.with_fanout(task, Fanout::on_timer);
                self.settle(task);
            }
        }
    }

    fn task(&mut self, instance: usize, kind: usize, parent: Option<usize>) -> Task {
        let hash = self.rng.random();
        Task {
            instance,
            kind,
            urgency: Urgency::new(KINDS[kind].priority, hash),
            arrived: self.now,
            parent,
            shards: (0..SHARDS).collect(),
            refused: Vec::new(),
            permits: Vec::new(),
            due: self.now + KINDS[kind].objective - 12_000,
            fanout: None,
            ended: None,
            has_worked: false,
            calls: Vec::new(),
            children: Vec::new(),
        }
    }

    fn request(&self, task: &Task, assignment: impl Fn(usize) -> ShardAssignment) -> Request {
        let is_query = task.parent.is_none();
        let objective = KINDS[task.kind].objective;
        let shards = task.shards.iter().map(|shard| Shard {
            service: shard_name(*shard).into(),
            limits: LIMITS,
            assignment: assignment(*shard),
        });
        let deadline = if is_query {
            task.arrived + 2 * objective
        } else {
            task.due
        };
        Request {
            shards: shards.collect(),
            started: self.at(task.arrived),
            limits_concurrency: is_query,
            semantics: CallSemantics::Idempotent,
            min_coverage: if is_query { MIN_COVERAGE } else { 0.0 },
            max_leafs: 2,
            is_suspect: false,
            permits_canary: true,
            hedge_delay: Some(Duration::from_micros(objective * 2 / 5)),
            refuse_by: self.at(task.arrived + objective / 5),
            answer_by: self.at(task.due),
            deadline: self.at(deadline),
        }
    }

    fn on_query(&mut self, kind: usize) {
        self.plan_arrival(kind);
        let instance = self.rng.random_range(0..self.scenario.instances);
        let task = self.task(instance, kind, None);
        let now = self.at(self.now);
        let state = &self.instances[instance];
        let admits = |shard: usize| {
            let name = shard_name(shard);
            state.limits.has_room(&name)
                && (!self.scenario.admission || state.loads.expects(&name, task.urgency, now))
        };
        let skipped: Vec<bool> = (0..SHARDS).map(|shard| !admits(shard)).collect();
        let left = skipped.iter().filter(|skipped| !**skipped).count();
        let coverage = Coverage {
            answered: left as u32,
            in_scope: SHARDS as u32,
        };
        let index = self.tasks.len();
        let assignment = |shard: usize| {
            if skipped[shard] {
                ShardAssignment::Skipped
            } else if owner(&self.scenario, shard, instance) == instance {
                ShardAssignment::Local
            } else {
                ShardAssignment::HandedOver
            }
        };
        let mut request = self.request(&task, assignment);
        self.tasks.push(task);
        if !coverage.reaches(MIN_COVERAGE) {
            self.finish(index, TaskEnd::Dropped);
            return;
        }
        for member in 0..self.scenario.instances {
            let owned = |shard: &usize| {
                owner(&self.scenario, *shard, instance) == member && !skipped[*shard]
            };
            let shards: Vec<usize> = (0..SHARDS).filter(owned).collect();
            if member == instance || shards.is_empty() {
                continue;
            }
            let child = self.task(member, kind, Some(index));
            let child = Task {
                shards,
                urgency: self.tasks[index].urgency,
                due: self.tasks[index].due - HOP - 3_000,
                ..child
            };
            self.tasks.push(child);
            let child = self.tasks.len() - 1;
            self.tasks[index].children.push(child);
            self.push(self.now + HOP, Event::Handover(child));
        }
        self.enter(index, &mut request);
        self.start(index, request);
        self.wake_all(index);
    }

    fn start(&mut self, task: usize, request: Request) {
        let mut calls = Vec::new();
        let instance = self.tasks[task].instance;
        let jitter = self.rng.random();
        let now = self.at(self.now);
        let (fanout, first) = Fanout::start(
            request,
            &mut context(&mut self.instances[instance], now, jitter),
        );
        calls.extend(first);
        self.tasks[task].fanout = Some(fanout);
        self.send(task, calls);
        self.settle(task);
    }

    fn with_fanout<F>(&mut self, task: usize, decide: F)
    where
        F: FnOnce(&mut Fanout, &mut Context<'_>, &mut Vec<LeafCall>),
    {
        if self.tasks[task].ended.is_some() {
            return;
        }
        let Some(mut fanout) = self.tasks[task].fanout.take() else {
            return;
        };
        let mut calls = Vec::new();
        let jitter = self.rng.random();
        let now = self.at(self.now);
        let instance = &mut self.instances[self.tasks[task].instance];
        decide(&mut fanout, &mut context(instance, now, jitter), &mut calls);
        self.tasks[task].fanout = Some(fanout);
        self.send(task, calls);
    }

    /// Ends a task that has a verdict, or sets its next timer.
    fn settle(&mut self, task: usize) {
        if self.tasks[task].ended.is_some() {
            return;
        }
        let Some(fanout) = &self.tasks[task].fanout else {
            return;
        };
        if let Some(verdict) = fanout.verdict(self.at(self.now)) {
            self.finish(task, TaskEnd::Verdict(verdict));
        } else {
            let next = self.micros(fanout.next_timer()).max(self.now + 1);
            self.push(next, Event::Timer(task));
        }
    }

    fn finish(&mut self, task: usize, end: TaskEnd) {
        if self.tasks[task].ended.is_some() {
            return;
        }
        self.with_fanout(task, |fanout, context, _| fanout.end(context));
        self.tasks[task].ended = Some(end);
        for position in 0..self.tasks[task].permits.len() {
            self.end_permit(task, position, End::Unanswered);
        }
        for call in self.tasks[task].calls.clone() {
            if self.calls[call].outcome.is_none() {
                self.release(call, None);
            }
        }
        if self.tasks[task].parent.is_some() {
            self.push(self.now + HOP, Event::HandoverEnd(task));
            return;
        }
        self.count(task, end);
        if !end.is_answer() {
            for child in self.tasks[task].children.clone() {
                if self.tasks[child].ended.is_none() {
                    self.finish(child, TaskEnd::Dropped);
                }
            }
        }
    }

    fn count(&mut self, task: usize, end: TaskEnd) {
        let Task {
            kind,
            arrived,
            has_worked,
            ..
        } = self.tasks[task];
        let (from, until) = self.scenario.counted;
        if arrived < from * 1_000_000 || arrived >= until * 1_000_000 {
            return;
        }
        let elapsed = self.now - arrived;
        let tally = &mut self.tallies[kind];
        tally.offered += 1;
        match (end.is_answer(), has_worked) {
            (true, _) if elapsed <= KINDS[kind].objective => tally.in_time += 1,
            (true, _) => tally.late += 1,
            (false, true) => tally.wasted += 1,
            (false, false) => {
                tally.refused += 1;
                tally.refused_late += u32::from(elapsed > 20_000);
            }
        }
    }

    /// Returns the work of the answers in time as a share of what the leafs could do of the offered.
    pub fn useful(&self) -> f64 {
        let work = |count: fn(&Tally) -> u32| -> f64 {
            let kinds = KINDS.iter().zip(&self.tallies);
            kinds
                .map(|(kind, tally)| f64::from(count(tally)) * kind.work as f64)
                .sum()
        };
        let (from, until) = self.scenario.counted;
        let possible = capacity(self.scenario.pauses) * (until - from) as f64 * 1e6;
        work(|tally| tally.in_time) / work(|tally| tally.offered).min(possible)
    }
}

fn context(instance: &mut Instance, now: Instant, jitter: f32) -> Context<'_> {
    Context {
        now,
        fleet: &instance.fleet,
        retry_budgets: &mut instance.budgets,
        concurrency_limits: &mut instance.limits,
        jitter,
    }
}
