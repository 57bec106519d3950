//! Machines, a fake store and a network under a virtual clock.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod facts;
mod network;
mod operation;
pub mod oracle;
pub mod scenario;
mod store;

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::LazyLock;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use camphorhold::coordination::control::Action;
use camphorhold::coordination::control::Input;
use camphorhold::coordination::control::Machine;
use camphorhold::coordination::control::Mutation;
use camphorhold::coordination::control::Settings;
use camphorhold::coordination::proposal;
use camphorhold::coordination::proposal::Accepted;
use camphorhold::state::file::File;
use camphorhold::state::id::OperationId;
use camphorhold::state::id::Revision;
use camphorhold::state::time::MAX_CLOCK_SKEW;
use camphorhold::state::view::Phase;
use camphorhold::state::view::View;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::facts::Observed;
use self::network::Network;
use self::oracle::Oracle;
use self::oracle::Violation;
use self::store::Store;

/// Between two checks when nothing happens.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Nodes that fit into the numbering of addresses.
const MAX_NODES: u16 = 128;

/// How the platform's list of instances answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum List {
    /// Up to so many seconds late.
    Lags(usize),
    /// Not at all.
    Unreadable,
    /// Without any instance on it.
    Empty,
}

impl Default for List {
    fn default() -> Self {
        Self::Lags(2)
    }
}

static BASE: LazyLock<Instant> = LazyLock::new(|| Instant::now() + Duration::from_hours(24));

/// One place where an instance runs, with its clocks.
pub struct Node {
    pub machine: Option<Machine>,
    pub frozen: bool,
    /// Inputs that arrived while the process was frozen.
    held: VecDeque<Input>,
    /// Counts the processes started here.
    pub starts: u64,
    pub started_at: Duration,
    /// Counts the changes of the address.
    moves: u16,
    rate: f64,
    offset: Duration,
    /// What the wall clock showed at the begin; steps of the clock change it.
    pub wall_start: SystemTime,
}

impl Node {
    pub fn local(&self, now: Duration) -> Instant {
        *BASE + self.offset + now.mul_f64(self.rate)
    }

    fn wall(&self, now: Duration) -> SystemTime {
        self.wall_start + now
    }

    /// Converts a local time to true time, rounded up.
    fn true_time(&self, local: Instant) -> Duration {
        let elapsed = local.saturating_duration_since(*BASE + self.offset);
        elapsed.div_f64(self.rate) + Duration::from_micros(1)
    }

    /// Returns where the process runs, or would run.
    pub fn address(&self, node: usize) -> SocketAddr {
        let mut address = address(node);
        address.set_port(address.port() + MAX_NODES * self.moves);
        address
    }

    /// Returns the view of a process that runs.
    pub fn active_view(&self) -> Option<&Arc<View>> {
        let machine = self.machine.as_ref().filter(|_| !self.frozen);
        machine.map(Machine::view)
    }
}

pub struct World {
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub store: Store,
    pub network: Network,
    pub oracle: Oracle,
    pub finished: Vec<(OperationId, Result<Accepted, proposal::Error>)>,
    random: ChaCha8Rng,
    /// Counts the proposals of stages and revocations.
    stages: u128,
    observed: Observed,
    pub list: List,
    lists: VecDeque<BTreeSet<SocketAddr>>,
    next_list: Duration,
    next_check: Duration,
    mutation: Mutation,
    seed: u64,
}

pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9000 + u16::try_from(node).unwrap()))
}

pub fn node_of(address: SocketAddr) -> usize {
    usize::from((address.port() - 9000) % MAX_NODES)
}

/// Returns one of several files, which differ in leafs and in their failure domains.
pub fn file_text(variant: u8) -> String {
    let mut text = String::from("system = \"test\"\nobjective = \"coverage\"\n");
    for domain in ["a", "b", "c"] {
        write!(
            text,
            "[[failure_domain]]\nname = \"{domain}\"\nin_service = true\n"
        )
        .unwrap();
    }
    text += "[[service]]\nname = \"app\"\ndeadline = \"1s\"\nslots = 2\nconnections = 4\n";
    text += "shards = 4\nserving = \"v1\"\n[[service.version]]\nname = \"v1\"\n";
    for leaf in 0..8_u8 {
        if leaf == variant % 5 {
            continue;
        }
        let domain = ["a", "b", "c"][usize::from((leaf + variant / 3) % 3)];
        write!(text, "[[service.version.leafs]]\naddress = \"127.0.0.1:{}\"\nshard = {}\nfailure_domain = \"{domain}\"\n",
            7000 + u16::from(leaf),
            leaf % 4).unwrap();
    }
    text
}

impl World {
    /// Starts `size` instances with nothing in the store.
    pub fn new(size: usize, seed: u64, mutation: Mutation) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let skew = u64::try_from(MAX_CLOCK_SKEW.as_millis()).unwrap();
        let nodes = (0..size).map(|_| Node {
            machine: None,
            frozen: false,
            held: VecDeque::new(),
            starts: 0,
            started_at: Duration::ZERO,
            moves: 0,
            // Any two rates differ by at most 1 %.
            rate: random.random_range(0.995..1.005),
            offset: Duration::from_millis(random.random_range(0..100_000)),
            wall_start: SystemTime::UNIX_EPOCH
                + Duration::from_millis(random.random_range(0..skew)),
        });
        let nodes = nodes.collect();
        let mut world = Self {
            now: Duration::ZERO,
            nodes,
            store: Store::default(),
            network: Network::default(),
            oracle: Oracle::default(),
            finished: Vec::new(),
            random,
            stages: 0,
            observed: Observed::default(),
            list: List::default(),
            lists: VecDeque::new(),
            next_list: Duration::ZERO,
            next_check: Duration::ZERO,
            mutation,
            seed,
        };
        for node in 0..size {
            world.start(node);
        }
        world
    }

    pub fn start(&mut self, node: usize) {
        let slot = &mut self.nodes[node];
        if slot.machine.is_some() {
            return;
        }
        slot.starts += 1;
        slot.started_at = self.now;
        slot.frozen = false;
        slot.held.clear();
        let domain = ["a", "b", "c"][node % 3].parse().unwrap();
        let mut settings = Settings::new(slot.address(node), domain);
        settings.mutation = self.mutation;
        let seed = self.seed ^ ((node as u64 + 1) << 32) ^ (slot.starts << 48);
        slot.machine = Some(Machine::new(settings, seed, slot.local(self.now)));
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].machine = None;
        self.nodes[node].frozen = false;
    }

    /// Ends the process and starts another one at a new address.
    pub fn replace(&mut self, node: usize) {
        self.kill(node);
        self.nodes[node].moves += 1;
        self.start(node);
    }

    pub fn freeze(&mut self, node: usize) {
        self.nodes[node].frozen = self.nodes[node].machine.is_some();
    }

    /// Lets the process go on. Its traffic threads act on the old view before anything else.
    pub fn resume(&mut self, node: usize) -> Result<(), Violation> {
        self.nodes[node].frozen = false;
        self.check()?;
        while let Some(input) = self.nodes[node].held.pop_front() {
            self.give(node, input);
            self.check()?;
        }
        Ok(())
    }

    pub fn apply(&mut self, node: usize, operation: u8, expected: Option<u64>) {
        self.apply_text(node, operation, expected, file_text(operation));
    }

    pub fn apply_text(&mut self, node: usize, operation: u8, expected: Option<u64>, text: String) {
        let file = Arc::new(File::parse(&text).expect("the test's file is valid"));
        let input = Input::Apply {
            operation: OperationId(u128::from(operation) + 1),
            text: text.into(),
            file,
            expected: expected.map(Revision),
        };
        self.give(node, input);
    }

    pub fn give(&mut self, node: usize, input: Input) {
        let slot = &mut self.nodes[node];
        if slot.frozen {
            slot.held.push_back(input);
            return;
        }
        let now = slot.local(self.now);
        let wall = slot.wall(self.now);
        let Some(machine) = &mut slot.machine else {
            return;
        };
        let actions = machine.handle(input, now, wall);
        let sender = machine.sender();
        for action in actions {
            match action {
                Action::SendTo { address, message } => {
                    let now = self.now;
                    self.network
                        .send(node, address, sender, &message, now, &mut self.random);
                }
                Action::OperationFinished { operation, result } => {
                    self.oracle.finished(operation, &result);
                    self.finished.push((operation, result));
                }
                // The process may end as soon as it sees that it has left.
                Action::PublishView(view) if view.phase == Phase::Left => {
                    self.kill(node);
                    return;
                }
                Action::PublishView(_) | Action::Event { .. } => {}
                request => self.send_to_store(node, request),
            }
        }
    }

    /// Lets time pass, and checks at every step.
    pub fn run(&mut self, time: Duration) -> Result<(), Violation> {
        let end = self.now + time;
        while let Some(at) = self.next_event().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.step()?;
        }
        self.now = end;
        self.check()
    }

    fn next_event(&self) -> Option<Duration> {
        let wakeups = self.nodes.iter().filter_map(|node| {
            let machine = node.machine.as_ref().filter(|_| !node.frozen)?;
            Some(node.true_time(machine.next_wakeup()))
        });
        let fixed = [self.next_list, self.next_check];
        let fixed = fixed.into_iter().chain(self.network.next());
        wakeups.chain(fixed).min()
    }

    fn step(&mut self) -> Result<(), Violation> {
        while let Some(delivery) = self.network.pop(self.now) {
            self.deliver(delivery);
            self.check()?;
        }
        if self.now >= self.next_list {
            self.next_list = self.now + Duration::from_secs(1);
            self.send_lists();
        }
        if self.now >= self.next_check {
            self.next_check = self.now + CHECK_INTERVAL;
            self.check()?;
        }
        for node in 0..self.nodes.len() {
            let slot = &self.nodes[node];
            let due = |machine: &Machine| slot.true_time(machine.next_wakeup()) <= self.now;
            if !slot.frozen && slot.machine.as_ref().is_some_and(due) {
                self.give(node, Input::Tick);
                self.check()?;
            }
        }
        Ok(())
    }

    fn send_lists(&mut self) {
        let nodes = self.nodes.iter().enumerate();
        let live = nodes.filter(|(_, slot)| slot.machine.is_some());
        self.lists
            .push_back(live.map(|(node, slot)| slot.address(node)).collect());
        let list = match self.list {
            List::Lags(seconds) => {
                let surplus = self.lists.len().saturating_sub(seconds + 1);
                self.lists.drain(..surplus);
                self.lists.front().cloned()
            }
            List::Unreadable => None,
            List::Empty => Some(BTreeSet::new()),
        };
        for node in 0..self.nodes.len() {
            if let Some(list) = &list {
                self.give(node, Input::InstanceList(list.clone()));
            }
        }
    }

    fn check(&mut self) -> Result<(), Violation> {
        self.oracle.check(&self.nodes, self.now)
    }
}
