//! Control machines over a fake store and a fake network, under a virtual clock.

#![allow(dead_code, reason = "each test file uses only some of the items")]

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

/// Interval of the checks that run in addition to those after each event.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of nodes. A node that moves to a new address adds this number to its
/// port, so that the addresses stay unique.
const MAX_NODES: u16 = 128;

/// State of the platform's instance list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum List {
    /// Shows the instances that were running up to this many seconds ago.
    Lags(usize),
    /// Cannot be read.
    Unreadable,
    /// Can be read, but contains no instance.
    Empty,
}

impl Default for List {
    fn default() -> Self {
        Self::Lags(2)
    }
}

static BASE: LazyLock<Instant> = LazyLock::new(|| Instant::now() + Duration::from_hours(24));

/// A node: the process of an instance, with its address and its clocks.
pub struct Node {
    pub machine: Option<Machine>,
    pub frozen: bool,
    /// Inputs that arrived while the process was frozen. The process handles them when it resumes.
    held: VecDeque<Input>,
    /// Number of processes started at this node so far.
    pub starts: u64,
    pub started_at: Duration,
    /// Number of changes of the address.
    address_changes: u16,
    /// Rate of the monotonic clock, relative to virtual time.
    rate: f64,
    offset: Duration,
    /// Wall-clock time at virtual time zero. A step of the wall clock changes it.
    pub wall_start: SystemTime,
}

impl Node {
    /// Converts virtual time to the node's monotonic clock.
    pub fn local(&self, now: Duration) -> Instant {
        *BASE + self.offset + now.mul_f64(self.rate)
    }

    fn wall(&self, now: Duration) -> SystemTime {
        self.wall_start + now
    }

    /// Converts a time of the node's monotonic clock to virtual time, rounded up.
    fn virtual_time(&self, local: Instant) -> Duration {
        let elapsed = local.saturating_duration_since(*BASE + self.offset);
        elapsed.div_f64(self.rate) + Duration::from_micros(1)
    }

    /// Returns the address at which the process runs, or at which the next one will start.
    pub fn address(&self, node: usize) -> SocketAddr {
        let mut address = address(node);
        address.set_port(address.port() + MAX_NODES * self.address_changes);
        address
    }

    /// Returns the view of the process, or `None` if there is no process or if it is frozen.
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
    /// Number of proposed stages and revocations, for unique operation ids.
    proposals: u128,
    observed: Observed,
    pub list: List,
    /// The running instances in the last seconds, one entry per second, oldest first.
    list_history: VecDeque<BTreeSet<SocketAddr>>,
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

/// Returns the text of a file. Variants differ in their leafs and in the failure domains of the
/// leafs.
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
    /// Starts `size` instances at virtual time zero, with an empty store.
    pub fn new(size: usize, seed: u64, mutation: Mutation) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let skew = u64::try_from(MAX_CLOCK_SKEW.as_millis()).unwrap();
        let nodes = (0..size).map(|_| Node {
            machine: None,
            frozen: false,
            held: VecDeque::new(),
            starts: 0,
            started_at: Duration::ZERO,
            address_changes: 0,
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
            proposals: 0,
            observed: Observed::default(),
            list: List::default(),
            list_history: VecDeque::new(),
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
        self.nodes[node].address_changes += 1;
        self.start(node);
    }

    pub fn freeze(&mut self, node: usize) {
        self.nodes[node].frozen = self.nodes[node].machine.is_some();
    }

    /// Resumes the process, which then handles the inputs that arrived meanwhile. Checks the old
    /// view first, because traffic threads may use it before the control machine handles any input.
    pub fn resume(&mut self, node: usize) -> Result<(), Violation> {
        self.nodes[node].frozen = false;
        self.check()?;
        while let Some(input) = self.nodes[node].held.pop_front() {
            self.handle(node, input);
            self.check()?;
        }
        Ok(())
    }

    /// Lets the instance apply the file whose variant is the number of the operation. With
    /// `expected`, the operation requires this revision.
    pub fn apply(&mut self, node: usize, operation: u8, expected: Option<u64>) {
        self.apply_text(node, operation, expected, file_text(operation));
    }

    pub fn apply_text(&mut self, node: usize, operation: u8, expected: Option<u64>, text: String) {
        let file = Arc::new(File::parse(&text).expect("the file of the test is valid"));
        let input = Input::Apply {
            operation: OperationId(u128::from(operation) + 1),
            text: text.into(),
            file,
            expected: expected.map(Revision),
        };
        self.handle(node, input);
    }

    /// Passes an input to the machine and carries out the resulting actions. Keeps the input while
    /// the process is frozen, and drops it if there is no process.
    pub fn handle(&mut self, node: usize, input: Input) {
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
                    self.oracle.on_finished(operation, &result);
                    self.finished.push((operation, result));
                }
                // The process may end as soon as it has published that it has left.
                Action::PublishView(view) if view.phase == Phase::Left => {
                    self.kill(node);
                    return;
                }
                Action::PublishView(_) | Action::Event { .. } => {}
                request => self.send_to_store(node, request),
            }
        }
    }

    /// Advances virtual time and runs the checks after each event.
    pub fn run(&mut self, time: Duration) -> Result<(), Violation> {
        let end = self.now + time;
        while let Some(at) = self.next_event().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.step()?;
        }
        self.now = end;
        self.check()
    }

    /// Returns the virtual time of the next wake-up, delivery, list or check.
    fn next_event(&self) -> Option<Duration> {
        let wakeups = self.nodes.iter().filter_map(|node| {
            let machine = node.machine.as_ref().filter(|_| !node.frozen)?;
            Some(node.virtual_time(machine.next_wakeup()))
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
            let due = |machine: &Machine| slot.virtual_time(machine.next_wakeup()) <= self.now;
            if !slot.frozen && slot.machine.as_ref().is_some_and(due) {
                self.handle(node, Input::Tick);
                self.check()?;
            }
        }
        Ok(())
    }

    /// Records the running instances and sends each machine the list that the platform shows.
    fn send_lists(&mut self) {
        let nodes = self.nodes.iter().enumerate();
        let live = nodes.filter(|(_, slot)| slot.machine.is_some());
        self.list_history
            .push_back(live.map(|(node, slot)| slot.address(node)).collect());
        let list = match self.list {
            List::Lags(seconds) => {
                let surplus = self.list_history.len().saturating_sub(seconds + 1);
                self.list_history.drain(..surplus);
                self.list_history.front().cloned()
            }
            List::Unreadable => None,
            List::Empty => Some(BTreeSet::new()),
        };
        for node in 0..self.nodes.len() {
            if let Some(list) = &list {
                self.handle(node, Input::InstanceList(list.clone()));
            }
        }
    }

    fn check(&mut self) -> Result<(), Violation> {
        self.oracle.check(&self.nodes, self.now)
    }
}
