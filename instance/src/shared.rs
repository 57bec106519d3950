//! What the tasks of an instance share. All of them run on one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::hedge::Delay;
use camphorhold::coordination::serving::ConcurrencyLimits;
use camphorhold::coordination::serving::Fleet;
use camphorhold::coordination::serving::Instances;
use camphorhold::coordination::serving::RetryBudgets;
use camphorhold::coordination::serving::fleet::LeafKey;
use camphorhold::coordination::serving::fleet::LeafLimits;
use camphorhold::coordination::serving::split::Split;
use camphorhold::state::plan::Plan;
use camphorhold::state::plan::Route;
use camphorhold::state::time::Clock;
use camphorhold_platform::settings::Bounds;
use camphorhold_platform::settings::Settings;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::Notify;

use crate::pool::Pool;

/// The number of instances assumed until the store tells.
const INITIAL_INSTANCES: usize = 8;

/// How long a request waits for the first configuration. Reading the store takes some 20 ms after a
/// start; a caller that is refused comes back later than that.
const FIRST_PLAN_WAIT: Duration = Duration::from_millis(40);

/// Connections per leaf of a service that the configuration does not describe.
const DEFAULT_CONNECTIONS: usize = 16;

/// The quantile of leaf latency after which a second leaf is asked. Its complement is about half of
/// what the retry budgets of the platform pay for.
const HEDGE_QUANTILE: f64 = 0.95;

/// The part of the latency objective after which a second leaf is asked while latencies are
/// unknown, and at the latest otherwise: the second leaf needs the rest.
const LATEST_HEDGE: f64 = 0.4;

/// What is known of the requests of one route.
#[derive(Debug)]
struct RouteProfile {
    latency: Delay,
    // The longest time that a caller was willing to wait.
    longest_wait: Duration,
}

/// Whether the instance takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No configuration or no leaf is known yet.
    Starting,
    /// Requests are served.
    Serving,
    /// The instance was asked to stop.
    Stopping,
}

/// State of the instance.
pub struct Shared {
    /// The settings at the start, of which names and addresses hold for the life of the process.
    pub settings: Settings,
    /// The bounds in force.
    pub bounds: Cell<Bounds>,
    /// The clock.
    pub clock: Box<dyn Clock>,
    /// The configuration in force.
    pub plan: RefCell<Option<Arc<Plan>>>,
    /// Wakes requests that wait for the first configuration.
    pub plan_ready: Notify,
    /// The leafs.
    pub fleet: RefCell<Fleet>,
    /// The retry budgets.
    pub retry_budgets: RefCell<RetryBudgets>,
    /// How many queries may wait for each shard.
    pub concurrency_limits: RefCell<ConcurrencyLimits>,
    /// The other instances.
    pub instances: RefCell<Instances>,
    /// Connections to leafs without a request.
    pub leaf_pool: Pool<LeafKey>,
    /// Connections to other instances without a query.
    pub peer_pool: Pool<SocketAddr>,
    /// When the store last answered.
    pub last_store_answer: Cell<Instant>,
    /// Whether requests are taken.
    pub phase: Cell<Phase>,
    /// Requests in progress.
    pub in_progress: Cell<usize>,
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
    /// Creates the state of an instance that knows nothing but its settings.
    pub fn new(settings: Settings, clock: Box<dyn Clock>) -> Self {
        let now = clock.now();
        let mut fleet = Fleet::new(settings.domain.clone());
        fleet.set_instances(INITIAL_INSTANCES, INITIAL_INSTANCES);
        let instances = Instances::new(settings.name.clone(), settings.domain.clone());
        let retry_budgets = RetryBudgets::new(settings.bounds.retries, INITIAL_INSTANCES, now);
        Self {
            bounds: Cell::new(settings.bounds),
            settings,
            clock,
            plan: RefCell::new(None),
            plan_ready: Notify::new(),
            fleet: RefCell::new(fleet),
            retry_budgets: RefCell::new(retry_budgets),
            concurrency_limits: RefCell::default(),
            instances: RefCell::new(instances),
            leaf_pool: Pool::default(),
            peer_pool: Pool::default(),
            last_store_answer: Cell::new(now),
            phase: Cell::new(Phase::Starting),
            in_progress: Cell::new(0),
            profiles: RefCell::default(),
            splits: RefCell::default(),
            random: RefCell::new(SmallRng::from_os_rng()),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns a random number in 0..1.
    pub fn jitter(&self) -> f32 {
        self.random.borrow_mut().random()
    }

    /// Returns the configuration in force. A process that has just started waits for its first one.
    pub async fn wait_for_plan(&self) -> Option<Arc<Plan>> {
        if self.phase.get() == Phase::Starting {
            let served = self.plan_ready.notified();
            // Whether it came in time shows below.
            let _ = tokio::time::timeout(FIRST_PLAN_WAIT, served).await;
        }
        self.plan.borrow().clone()
    }

    /// Returns the version of the configuration in force, or 0.
    pub fn plan_version(&self) -> u64 {
        self.plan.borrow().as_ref().map_or(0, |plan| plan.version())
    }

    /// Puts other bounds in force.
    pub fn set_bounds(&self, bounds: Bounds) {
        self.bounds.set(bounds);
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        retry_budgets.set_bound(bounds.retries, self.now());
    }

    /// Divides the limits that all instances share by their present number.
    pub fn divide_limits(&self) {
        let instances = self.instances.borrow().count(self.now());
        if instances == 0 {
            return;
        }
        let domains = self.instances.borrow().domains();
        self.fleet.borrow_mut().set_instances(instances, domains);
        self.retry_budgets.borrow_mut().set_instances(instances);
    }

    /// Returns the limits of the leafs of a service.
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

    /// Chooses the service of the next request of a route with several.
    pub fn next_service(&self, route: &Route) -> Option<Box<str>> {
        let camphorhold::state::plan::Target::Split(shares) = &route.target else {
            return None;
        };
        let mut splits = self.splits.borrow_mut();
        let split = splits.entry(route.name.clone()).or_default();
        split.next(shares).map(Box::from)
    }

    /// Returns how much of its time a caller has used before this attempt. A caller that asks again
    /// waits for what is left only, so its wait is shorter than that of the others.
    pub fn time_used(&self, route: &Route, wait: Duration) -> Duration {
        let now = self.now();
        self.with_profile(route, now, |profile| {
            profile.longest_wait = profile.longest_wait.max(wait);
            profile.longest_wait.saturating_sub(wait)
        })
    }

    /// Returns the usual latency of a leaf call of a route, and when to ask a second leaf.
    pub fn latency(&self, route: &Route) -> (Duration, Duration) {
        let now = self.now();
        let latest = route.objective.mul_f64(LATEST_HEDGE);
        self.with_profile(route, now, |profile| {
            let usual = profile.latency.median().unwrap_or(latest / 2);
            let hedge = profile.latency.get().unwrap_or(latest).min(latest);
            (usual, hedge)
        })
    }

    /// Records the latency of a leaf call.
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

    /// Forgets what is known of routes that the configuration no longer has.
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
    }
}
