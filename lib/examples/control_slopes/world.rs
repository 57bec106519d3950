//! Control machines over a fake store and a fake network without faults, in virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use camphorhold::coordination::control::Action;
use camphorhold::coordination::control::Input;
use camphorhold::coordination::control::Machine;
use camphorhold::coordination::control::Settings;
use camphorhold::coordination::proposal::StoreRevision;
use camphorhold::coordination::proposal::StoredRecord;
use camphorhold::coordination::proposal::SwapOutcome;
use camphorhold::protocol::instance::Envelope;
use camphorhold::state::hlc::Timestamp;
use camphorhold::state::id::Generation;
use camphorhold::state::id::InstanceId;
use camphorhold::state::record::FileRef;
use camphorhold::state::record::Record;
use camphorhold::state::view::Currency;
use camphorhold::state::view::Phase;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::capacity_support::DOMAINS;

/// Interval at which the machines receive the platform's list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which the evidence of all members is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

enum Event {
    Wakeup(usize),
    Message(usize, Envelope),
    ToStore(usize, InstanceId, Action),
    Answer(usize, InstanceId, Input),
    List,
    Sample,
}

/// Sums over all instances since the last reset.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    pub messages: u64,
    /// Size of the encoded content of all messages sent.
    pub bytes: u64,
    /// Real time spent in `Machine::handle`.
    pub handle_time: Duration,
    /// Real time spent on packing and unpacking envelopes.
    pub codec_time: Duration,
    pub store_calls: u64,
    pub store_bytes: u64,
    /// Number of store calls in each second of virtual time.
    pub store_calls_by_second: BTreeMap<u64, u64>,
    /// The largest age of store evidence of any member.
    pub max_evidence_age: Duration,
    /// Samples of members without valid evidence.
    pub samples_without_currency: u64,
    pub samples: u64,
}

pub struct World {
    pub machines: Vec<Option<Machine>>,
    pub now: Duration,
    pub counters: Counters,
    /// The revision, generation and encoded bytes of the record in the store.
    pub stored: Option<(u64, Generation, Vec<u8>)>,
    files: BTreeMap<FileRef, Arc<str>>,
    revision: u64,
    base: Instant,
    wakeups: Vec<Duration>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, Event>,
    scheduled: u64,
    random: ChaCha8Rng,
    starts: u64,
    seed: u64,
}

pub fn address(node: usize) -> SocketAddr {
    let host = u8::try_from(node / 250).expect("few nodes");
    let last = u8::try_from(node % 250).expect("below 250");
    SocketAddr::from(([10, 200, host, last], 7400))
}

fn node_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => {
            let [_, _, host, last] = v4.ip().octets();
            usize::from(host) * 250 + usize::from(last)
        }
        SocketAddr::V6(_) => unreachable!("all addresses are IPv4"),
    }
}

impl World {
    /// Starts `size` instances at once with an empty store.
    pub fn new(size: usize, seed: u64) -> Self {
        let mut world = Self {
            machines: (0..size).map(|_| None).collect(),
            now: Duration::ZERO,
            counters: Counters::default(),
            stored: None,
            files: BTreeMap::new(),
            revision: 0,
            base: Instant::now() + Duration::from_hours(1),
            wakeups: vec![Duration::MAX; size],
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            scheduled: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            starts: 0,
            seed,
        };
        for node in 0..size {
            world.start(node);
        }
        world.schedule(Duration::ZERO, Event::List);
        world.schedule(Duration::ZERO, Event::Sample);
        world
    }

    /// Starts a process at the node, in place of any that runs there.
    pub fn start(&mut self, node: usize) {
        self.starts += 1;
        let domain = DOMAINS[node % DOMAINS.len()].parse();
        let settings = Settings::new(address(node), domain.expect("the name is valid"));
        let seed = self.seed << 32 | self.starts;
        self.machines[node] = Some(Machine::new(settings, seed, self.instant()));
        self.wakeups[node] = Duration::MAX;
        self.plan_wakeup(node);
    }

    /// Returns the current virtual time as the machines see it.
    pub fn instant(&self) -> Instant {
        self.base + self.now
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.scheduled += 1;
        self.queue.push(Reverse((at, self.scheduled)));
        self.events.insert(self.scheduled, event);
    }

    fn latency(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(500..2000))
    }

    /// Schedules the next wake-up of the machine, unless an earlier one is scheduled.
    fn plan_wakeup(&mut self, node: usize) {
        let Some(machine) = &self.machines[node] else {
            return;
        };
        let at = machine.next_wakeup().saturating_duration_since(self.base);
        let at = at.max(self.now);
        if at < self.wakeups[node] {
            self.wakeups[node] = at;
            self.schedule(at, Event::Wakeup(node));
        }
    }

    /// Passes an input to the machine and schedules the resulting messages and store calls.
    pub fn handle(&mut self, node: usize, input: Input) {
        let now = self.instant();
        let Some(machine) = &mut self.machines[node] else {
            return;
        };
        let started = Instant::now();
        let actions = machine.handle(input, now, SystemTime::UNIX_EPOCH + self.now);
        self.counters.handle_time += started.elapsed();
        let sender = machine.sender();
        for action in actions {
            match action {
                Action::SendTo { address, message } => {
                    let started = Instant::now();
                    let envelope = Envelope::new(Timestamp::default(), &sender, &message);
                    self.counters.codec_time += started.elapsed();
                    let envelope = envelope.expect("messages can be encoded");
                    self.counters.messages += 1;
                    self.counters.bytes += envelope.content.0.len() as u64;
                    let at = self.now + self.latency();
                    self.schedule(at, Event::Message(node_of(address), envelope));
                }
                Action::PublishView(_)
                | Action::Event { .. }
                | Action::OperationFinished { .. } => {}
                action => {
                    let at = self.now + self.latency();
                    self.schedule(at, Event::ToStore(node, sender.instance, action));
                }
            }
        }
        self.plan_wakeup(node);
    }

    /// Carries out a request at the store and schedules its answer.
    fn reach_store(&mut self, node: usize, from: InstanceId, action: Action) {
        self.counters.store_calls += 1;
        let second = self.now.as_secs();
        *self
            .counters
            .store_calls_by_second
            .entry(second)
            .or_default() += 1;
        let input = match action {
            Action::ReadStore {
                request,
                newer_than,
            } => {
                let stored = self.stored.as_ref();
                let stored = stored.filter(|(revision, _, _)| *revision > newer_than.0);
                self.counters.store_bytes += stored.map_or(0, |(_, _, bytes)| bytes.len() as u64);
                let found = stored.map(|(revision, _, bytes)| StoredRecord {
                    record: Arc::new(serde_json::from_slice(bytes).expect("a record")),
                    revision: StoreRevision(*revision),
                });
                Input::StoreRead {
                    request,
                    result: Ok(found),
                }
            }
            Action::ReadFileBody { request, file } => Input::FileRead {
                request,
                // Each instance gets its own copy, as separate processes would have.
                result: Ok(self.files.get(&file).map(|text| text.to_string().into())),
            },
            Action::WriteFileBody {
                request,
                file,
                text,
            } => {
                self.files.insert(file, text);
                let result = Ok(());
                Input::FileWritten { request, result }
            }
            Action::CompareAndSwap {
                request,
                expected,
                record,
            } => {
                let swapped = self.swap(expected, &record);
                Input::StoreWritten { request, swapped }
            }
            _ => return,
        };
        let at = self.now + self.latency();
        self.schedule(at, Event::Answer(node, from, input));
    }

    fn swap(&mut self, expected: StoreRevision, record: &Record) -> SwapOutcome {
        if self.stored.as_ref().map_or(0, |(revision, _, _)| *revision) != expected.0 {
            return SwapOutcome::Conflict;
        }
        self.revision += 1;
        let bytes = serde_json::to_vec(record).expect("records can be encoded");
        self.counters.store_bytes += bytes.len() as u64;
        self.stored = Some((self.revision, record.generation, bytes));
        SwapOutcome::Written(StoreRevision(self.revision))
    }

    /// Handles a scheduled event.
    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Wakeup(node) => {
                if self.wakeups[node] <= self.now {
                    self.wakeups[node] = Duration::MAX;
                    self.handle(node, Input::Tick);
                }
            }
            Event::Message(node, envelope) => {
                let started = Instant::now();
                let opened = envelope.open();
                self.counters.codec_time += started.elapsed();
                let (_, from, message) = opened.expect("messages can be decoded");
                self.handle(node, Input::Message { from, message });
            }
            Event::ToStore(node, from, action) => self.reach_store(node, from, action),
            Event::Answer(node, to, input) => {
                let machine = self.machines[node].as_ref();
                if machine.is_some_and(|machine| machine.instance() == to) {
                    self.handle(node, input);
                }
            }
            Event::List => {
                let live = (0..self.machines.len()).filter(|node| self.machines[*node].is_some());
                let list: BTreeSet<_> = live.map(address).collect();
                for node in 0..self.machines.len() {
                    self.handle(node, Input::InstanceList(list.clone()));
                }
                self.schedule(self.now + LIST_INTERVAL, Event::List);
            }
            Event::Sample => {
                self.sample();
                self.schedule(self.now + SAMPLE_INTERVAL, Event::Sample);
            }
        }
    }

    /// Samples whether the members have valid evidence, and its age.
    fn sample(&mut self) {
        // The maximum age of evidence by the local clock, as in `coordination::currency`.
        let max_age = Settings::new(address(0), DOMAINS[0].parse().expect("the name is valid"))
            .currency_bound
            .div_f64(1.02);
        let now = self.instant();
        for machine in self.machines.iter().flatten() {
            let view = machine.view();
            if view.phase != Phase::Member {
                continue;
            }
            self.counters.samples += 1;
            match view.valid_until {
                Some(until) if until > now && view.currency == Currency::Current => {
                    let age = (now + max_age).saturating_duration_since(until);
                    self.counters.max_evidence_age = self.counters.max_evidence_age.max(age);
                }
                Some(until) if until > now => {}
                _ => self.counters.samples_without_currency += 1,
            }
        }
    }

    /// Advances virtual time until the condition holds, or by at most `time`. Evaluates the
    /// condition after events, with at least 5 ms in between. Returns the time passed, or `None` if
    /// the condition did not hold.
    pub fn run_until<F>(&mut self, time: Duration, mut holds: F) -> Option<Duration>
    where
        F: FnMut(&Self) -> bool,
    {
        let (start, end) = (self.now, self.now + time);
        let mut next_check = self.now;
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > end {
                self.queue.push(Reverse((at, number)));
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle_event(event);
            }
            if self.now >= next_check {
                next_check = self.now + Duration::from_millis(5);
                if holds(self) {
                    return Some(self.now.saturating_sub(start));
                }
            }
        }
        self.now = end;
        None
    }

    /// Advances virtual time by `time`.
    pub fn run(&mut self, time: Duration) {
        self.run_until(time, |_| false);
    }

    /// Returns the record in the store.
    pub fn record(&self) -> Option<Record> {
        let (_, _, bytes) = self.stored.as_ref()?;
        serde_json::from_slice(bytes).ok()
    }

    /// Returns whether all instances are members and have applied the record in the store.
    pub fn converged(&self) -> bool {
        let Some((_, generation, _)) = &self.stored else {
            return false;
        };
        let live = self.machines.iter().flatten().count();
        self.machines.iter().flatten().all(|machine| {
            let view = machine.view();
            view.generation() == *generation
                && view.phase == Phase::Member
                && view.record.roster.len() == live
        })
    }
}
