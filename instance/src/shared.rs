//! The state that the tasks of an instance share. All tasks run on one thread.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::hedge::Delay;
use camphorhold::coordination::serving::Alarms;
use camphorhold::coordination::serving::ConcurrencyLimits;
use camphorhold::coordination::serving::Fleet;
use camphorhold::coordination::serving::Freshness;
use camphorhold::coordination::serving::Instances;
use camphorhold::coordination::serving::RetryBudgets;
use camphorhold::coordination::serving::Suspects;
use camphorhold::coordination::serving::fleet::LeafKey;
use camphorhold::coordination::serving::fleet::LeafLimits;
use camphorhold::coordination::serving::memory_account::Limits;
use camphorhold::coordination::serving::precedence::Precedence;
use camphorhold::coordination::serving::rate_limit::Grantor;
use camphorhold::coordination::serving::reachability::Reachability;
use camphorhold::coordination::serving::receive_buffers::ReceiveLimits;
use camphorhold::coordination::serving::split::Split;
use camphorhold::coordination::serving::watch;
use camphorhold::state::plan::Plan;
use camphorhold::state::plan::Route;
use camphorhold::state::time::Clock;
use camphorhold::transport::client::Account;
use camphorhold::transport::read_budget::ReadBudget;
use camphorhold::transport::receive::Exhausted;
use camphorhold::transport::receive::ServerBuffer;
use camphorhold::transport::receive::ServerBuffers;
use camphorhold_platform::settings::Bounds;
use camphorhold_platform::settings::Settings;
use camphorhold_platform::store::Era;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::feed::Feed;
use crate::pool::Pool;
use crate::shard_queue;
use crate::usage;

/// The number of instances, and of their failure domains, assumed until the registrations have been
/// read from the store.
const INITIAL_INSTANCES: usize = 8;

/// How long a request waits for the first configuration. Reading the store takes some 20 ms after a
/// start, and a refused caller would retry later than that.
const FIRST_PLAN_WAIT: Duration = Duration::from_millis(40);

/// The connection limit per leaf for services that the configuration does not list.
const DEFAULT_CONNECTIONS: usize = 16;

/// The quantile of leaf latency after which a second leaf is called. The 5 % of calls above it use
/// about half of the retry budgets that the platform grants.
const HEDGE_QUANTILE: f64 = 0.95;

/// The upper bound of the hedge delay, as a share of the latency objective; also the delay while
/// there are no latency measurements. The second leaf needs the rest of the objective.
const LATEST_HEDGE_SHARE: f64 = 0.4;

/// The part of the instance's memory for answers that are being read, as a divisor. Proper answers
/// need a few MB at a time.
const READ_MEMORY_DIVISOR: usize = 8;

/// How many suspect requests are remembered.
const MAX_SUSPECTS: usize = 1_000;

/// How many requests that leafs have survived are remembered at least. Enough for the last half
/// minute at a hundred requests a second.
const MIN_SURVIVALS: usize = 4_096;

/// Measurements of the requests of one route.
#[derive(Debug)]
struct RouteProfile {
    latency: Delay,
    // The longest time that any caller of the route has stated that it waits.
    longest_wait: Duration,
}

/// The phase in the life of the instance. Decides the answer to readiness checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// There is no configuration or no leaf yet. Requests wait briefly for the first configuration.
    Starting,
    /// The instance has read a configuration and at least one leaf. Lasts until SIGTERM, even if
    /// all leafs leave.
    Serving,
    /// The instance has received SIGTERM. Requests are still served, but handovers are refused.
    Stopping,
}

/// The state of the instance, created once per process.
pub struct Shared {
    /// The settings read at the start. Names and addresses stay in use until the process ends; for
    /// the bounds use [`Shared::bounds`].
    pub settings: Settings,
    /// The bounds in force, from the settings file as last read.
    pub bounds: Cell<Bounds>,
    /// The source of all times of the instance, except for the timers of the runtime.
    pub clock: Arc<dyn Clock>,
    /// The configuration in force; `None` until the first one has been read from the store.
    pub plan: RefCell<Option<Arc<Plan>>>,
    /// Wakes the requests that wait for the first configuration, when the instance becomes ready.
    pub plan_ready: Notify,
    /// The leafs known from the store, with the calls in flight to them.
    pub fleet: RefCell<Fleet>,
    /// The budgets for retries and hedges, by service.
    pub retry_budgets: RefCell<RetryBudgets>,
    /// How many queries may wait for each shard at the same time.
    pub concurrency_limits: RefCell<ConcurrencyLimits>,
    /// The load of the shards whose leafs this instance calls, and which queries they admit.
    pub shard_loads: RefCell<shard_queue::Loads>,
    /// The registered instances, this one included.
    pub instances: RefCell<Instances>,
    /// The tokens of limited leafs that this instance grants.
    pub grantor: RefCell<Grantor>,
    /// Wakes the task that claims tokens, when a leaf names a limit or another one than before.
    pub limit_named: Notify,
    /// Whether this instance can reach any leaf.
    pub reachability: RefCell<Reachability>,
    /// Wakes the task that probes leafs, when several accept no connection.
    pub leafs_unreachable: Notify,
    /// The requests under which leafs have ended, as far as this instance has seen or read in the
    /// store.
    pub suspects: RefCell<Suspects>,
    /// Wakes the task that writes their records to the store.
    pub suspects_changed: Notify,
    /// The requests under which leafs may just have ended.
    pub alarms: RefCell<Alarms>,
    /// The lease with which these records expire, and when it was granted.
    pub suspects_lease: Cell<Option<(u64, Instant)>>,
    /// The memory for answers of leafs and instances that are being read.
    pub read_budget: ReadBudget,
    /// What clients make the process hold.
    pub clients: Account,
    /// The connections to leafs and other instances, with their receive buffers.
    pub server_buffers: ServerBuffers,
    /// Which requests give way while there is no room for all.
    pub precedence: RefCell<Precedence>,
    /// Idle connections to leafs.
    pub leaf_pool: Pool<LeafKey>,
    /// Idle connections to other instances.
    pub peer_pool: Pool<SocketAddr>,
    /// The socket for datagrams between instances, at the address for other instances, once it is
    /// bound.
    pub datagrams: OnceCell<UdpSocket>,
    /// The latest changes of the store, for the instances that learn them from this one.
    pub feed: Feed,
    /// Whether the configuration is proven to be the latest one.
    pub freshness: RefCell<Freshness>,
    /// Wakes the follower during its pause after changes, if a proof waits for further ones.
    pub changes_wanted: Notify,
    /// Whether the watch of the store still returns changes.
    pub watch: RefCell<watch::Monitor>,
    /// Wakes whoever waits for [`Shared::watch`] to change.
    pub watch_changed: Notify,
    /// The era of the store that the entries are from; `None` if it states none.
    pub store_era: Cell<Option<Era>>,
    /// When the store last answered; the start of the process before its first answer.
    pub last_store_answer: Cell<Instant>,
    /// Wakes the registration of the instance when it is no longer in the store, or may not be
    /// because the store was restored from a copy.
    pub registration_lost: Notify,
    /// The phase of the instance. Only moves forward.
    pub phase: Cell<Phase>,
    /// When requests in progress have to be answered, once the instance is stopping.
    pub answers_due_at: Cell<Option<Instant>>,
    /// Wakes the requests in progress when they have to be answered, because the process is about to
    /// end.
    pub answers_due: Notify,
    /// The number of requests in progress, handovers from other instances included.
    pub in_progress: Cell<usize>,
    /// The usage of customers and the duty of reporting it.
    pub usage: usage::State,
    profiles: RefCell<HashMap<Box<str>, RouteProfile>>,
    splits: RefCell<HashMap<Box<str>, Split>>,
    random: RefCell<SmallRng>,
}

impl std::fmt::Debug for Shared {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Shared").finish_non_exhaustive()
    }
}

impl Shared {
    /// Creates the state of an instance that has read its settings but nothing from the store.
    pub fn new(settings: Settings, clock: Arc<dyn Clock>) -> Self {
        let now = clock.now();
        let mut fleet = Fleet::new(settings.domain.clone());
        fleet.set_instances(INITIAL_INSTANCES, INITIAL_INSTANCES);
        let instances = Instances::new(settings.name.clone(), settings.domain.clone());
        let retry_budgets = RetryBudgets::new(settings.bounds.retries, INITIAL_INSTANCES, now);
        let limits = Limits::of_machine(settings.memory_bytes, settings.max_descriptors);
        let receive =
            ReceiveLimits::of_machine(settings.memory_bytes, settings.max_descriptors, &limits);
        let clients = Account::with_buffers(limits, &receive, Arc::clone(&clock));
        let answer_bytes = settings.memory_bytes / READ_MEMORY_DIVISOR;
        let read_bytes = answer_bytes.saturating_sub(receive.server_bytes);
        let usage = usage::State::new(&settings, &*clock);
        Self {
            bounds: Cell::new(settings.bounds),
            feed: Feed::new(settings.memory_bytes),
            settings,
            clock,
            plan: RefCell::new(None),
            plan_ready: Notify::new(),
            fleet: RefCell::new(fleet),
            retry_budgets: RefCell::new(retry_budgets),
            concurrency_limits: RefCell::default(),
            shard_loads: RefCell::default(),
            instances: RefCell::new(instances),
            grantor: RefCell::default(),
            limit_named: Notify::new(),
            reachability: RefCell::default(),
            leafs_unreachable: Notify::new(),
            suspects: RefCell::new(Suspects::new(MAX_SUSPECTS, MIN_SURVIVALS)),
            suspects_changed: Notify::new(),
            suspects_lease: Cell::new(None),
            alarms: RefCell::new(Alarms::new(MAX_SUSPECTS)),
            read_budget: ReadBudget::new(read_bytes),
            clients,
            server_buffers: ServerBuffers::new(
                receive.server_pool(),
                receive.servers,
                receive.connections,
            ),
            precedence: RefCell::default(),
            leaf_pool: Pool::default(),
            peer_pool: Pool::default(),
            datagrams: OnceCell::new(),
            freshness: RefCell::new(Freshness::new(rand::rng().random())),
            changes_wanted: Notify::new(),
            watch: RefCell::default(),
            watch_changed: Notify::new(),
            store_era: Cell::new(None),
            last_store_answer: Cell::new(now),
            registration_lost: Notify::new(),
            phase: Cell::new(Phase::Starting),
            answers_due_at: Cell::new(None),
            answers_due: Notify::new(),
            in_progress: Cell::new(0),
            usage,
            profiles: RefCell::default(),
            splits: RefCell::default(),
            random: RefCell::new(SmallRng::from_os_rng()),
        }
    }

    /// Records whether a leaf has accepted a connection.
    pub fn on_connect(&self, leaf: LeafKey, accepted: bool) {
        let mut reachability = self.reachability.borrow_mut();
        if accepted {
            reachability.on_connected();
        } else if reachability.on_connect_failed(leaf, self.fleet.borrow().len()) {
            self.leafs_unreachable.notify_one();
        }
    }

    /// Returns the current time of [`Shared::clock`].
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Records what a read of the store has shown, of this instance or another one.
    pub fn on_sighting(&self, sighting: watch::Sighting) {
        let settling_time = self.bounds.get().settling_time;
        let mut watch = self.watch.borrow_mut();
        watch.on_sighting(sighting, settling_time, self.now());
        self.watch_changed.notify_waiters();
    }

    /// Returns a random number from 0 (inclusive) to 1 (exclusive).
    pub fn jitter(&self) -> f32 {
        self.random.borrow_mut().random()
    }

    /// Returns the configuration in force. While the instance is starting, first waits for up to
    /// [`FIRST_PLAN_WAIT`] until it is ready.
    pub async fn wait_for_plan(&self) -> Option<Arc<Plan>> {
        if self.phase.get() == Phase::Starting {
            let ready = self.plan_ready.notified();
            // A timeout needs no handling: the plan read below is then `None` or still usable.
            let _ = tokio::time::timeout(FIRST_PLAN_WAIT, ready).await;
        }
        self.plan.borrow().clone()
    }

    /// Takes a receive buffer for a connection to a server. If there are too many connections, closes an
    /// idle one.
    ///
    /// # Errors
    ///
    /// Returns an error if all connections are in use.
    pub fn take_server_buffer(&self) -> Result<ServerBuffer, Exhausted> {
        let clients = self.clients.connections();
        self.server_buffers.take(clients).or_else(|exhausted| {
            let has_closed = self.leaf_pool.close_oldest() || self.peer_pool.close_oldest();
            if has_closed {
                self.server_buffers.take(clients)
            } else {
                metrics::counter!("camphorhold_connections_refused_total").increment(1);
                Err(exhausted)
            }
        })
    }

    /// Returns the version of the configuration in force, or 0 if there is none yet.
    pub fn plan_version(&self) -> u64 {
        self.plan.borrow().as_ref().map_or(0, |plan| plan.version())
    }

    /// Applies new bounds, also to the retry budgets.
    pub fn set_bounds(&self, bounds: Bounds) {
        self.bounds.set(bounds);
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        retry_budgets.set_bound(bounds.retries, self.now());
    }

    /// Divides the limits that hold over all instances by the current number of instances. Keeps
    /// the previous division while no instance is registered.
    pub fn divide_limits(&self) {
        let instances = self.instances.borrow().count(self.now());
        if instances == 0 {
            return;
        }
        let domains = self.instances.borrow().domains();
        self.fleet.borrow_mut().set_instances(instances, domains);
        self.retry_budgets.borrow_mut().set_instances(instances);
    }

    /// Returns the limits of each leaf of a service, or defaults if `plan` does not list it.
    pub fn leaf_limits(plan: &Plan, service: &str) -> LeafLimits {
        plan.service(service).map_or(
            LeafLimits {
                max_connections: DEFAULT_CONNECTIONS,
                cold_rate: None,
            },
            |service| LeafLimits {
                max_connections: service.max_connections,
                cold_rate: service.cold_rate,
            },
        )
    }

    /// Chooses the service for the next request of a route that splits its traffic. Returns `None`
    /// for other routes.
    pub fn next_service(&self, route: &Route) -> Option<Box<str>> {
        let camphorhold::state::plan::Target::Split(shares) = &route.target else {
            return None;
        };
        let mut splits = self.splits.borrow_mut();
        let split = splits.entry(route.name.clone()).or_default();
        split.next(shares).map(Box::from)
    }

    /// Estimates how much of its time a caller has used up before this attempt. A caller that
    /// retries waits only for the rest of its time, so the estimate is the longest wait seen on the
    /// route minus `wait`.
    pub fn time_used(&self, route: &Route, wait: Duration) -> Duration {
        let now = self.now();
        self.with_profile(route, now, |profile| {
            profile.longest_wait = profile.longest_wait.max(wait);
            profile.longest_wait.saturating_sub(wait)
        })
    }

    /// Returns the median latency of the leaf calls of a route, and the delay after which to call a
    /// second leaf. Without measurements, both derive from the latency objective.
    pub fn latency(&self, route: &Route) -> (Duration, Duration) {
        let now = self.now();
        let latest = route.objective.mul_f64(LATEST_HEDGE_SHARE);
        self.with_profile(route, now, |profile| {
            let median = profile.latency.median().unwrap_or(latest / 2);
            let hedge = profile.latency.get().unwrap_or(latest).min(latest);
            (median, hedge)
        })
    }

    /// Records the latency of an answered leaf call in the measurements of its route.
    pub fn record_latency(&self, route: &Route, latency: Duration) {
        let now = self.now();
        self.with_profile(route, now, |profile| profile.latency.record(now, latency));
    }

    fn with_profile<T, F>(&self, route: &Route, now: Instant, use_profile: F) -> T
    where
        F: FnOnce(&mut RouteProfile) -> T,
    {
        let mut profiles = self.profiles.borrow_mut();
        if let Some(profile) = profiles.get_mut(&route.name) {
            return use_profile(profile);
        }
        let profile = profiles
            .entry(route.name.clone())
            .or_insert_with(|| RouteProfile {
                latency: Delay::with_quantile(now, HEDGE_QUANTILE),
                longest_wait: Duration::ZERO,
            });
        use_profile(profile)
    }

    /// Drops the state of routes and shards that are no longer in the configuration.
    pub fn prune(&self, plan: &Plan) {
        self.profiles
            .borrow_mut()
            .retain(|name, _| plan.has_route(name));
        self.splits
            .borrow_mut()
            .retain(|name, _| plan.has_route(name));
        self.concurrency_limits
            .borrow_mut()
            .retain(|shard| plan.service(shard).is_some());
        self.shard_loads
            .borrow_mut()
            .retain(|shard| plan.service(shard).is_some());
    }
}
