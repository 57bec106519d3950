//! The operators' configuration as the instances serve it: routes, services and client limits.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallSemantics {
    /// The request may run any number of times.
    Idempotent,
    /// The request runs at most once.
    AtMostOnce,
}

/// One service of a route with several, and its share of the requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The service.
    pub service: Box<str>,
    /// Its weight, relative to the other weights of the route.
    pub weight: f64,
}

/// The shards of a query, and what makes their answers one answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Scope {
    /// One service per shard.
    pub shards: Vec<Box<str>>,
    /// The smallest share of shards, from 0 to 1, that makes an answer a success.
    pub min_coverage: f64,
    /// How many records the answer holds at most.
    pub top_k: usize,
}

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// To one leaf of a service.
    Service(Box<str>),
    /// To one leaf of one of several services.
    Split(Vec<Share>),
    /// To one leaf of each shard.
    Shards(Scope),
}

/// How requests below one path of one host are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: Box<str>,
    /// The host, in lower case.
    pub host: Box<str>,
    /// The start of the paths that belong to the route.
    pub prefix: Box<str>,
    /// Whether its requests may be repeated.
    pub semantics: CallSemantics,
    /// The longest time a caller waits for the final answer.
    pub timeout: Duration,
    /// The latency objective.
    pub objective: Duration,
    /// The rank of its requests; 0 is the most urgent.
    pub priority: u32,
    /// How many leafs of one service may receive one request.
    pub max_leafs: usize,
    /// Where its requests go.
    pub target: Target,
}

/// What the operators say of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: Box<str>,
    /// Connections that one of its leafs accepts, of all instances together.
    pub max_connections: usize,
    /// Requests per second that one of its leafs bears while it is cold, of all instances
    /// together; `None` if cold leafs bear the usual load.
    pub cold_rate: Option<f64>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The longest request head in bytes.
    pub header_bytes: usize,
    /// The longest request body in bytes.
    pub body_bytes: usize,
    /// The longest time from the first byte of a request head to its last.
    pub header_timeout: Duration,
    /// How long a connection may stay without a request.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Plan {
    version: u64,
    limits: Limits,
    // The routes of a host, the longest prefix first.
    routes: HashMap<Box<str>, Vec<Arc<Route>>>,
    services: HashMap<Box<str>, Service>,
}

impl Plan {
    /// Creates a plan from its parts, in any order.
    #[must_use]
    pub fn new(version: u64, routes: Vec<Route>, services: Vec<Service>, limits: Limits) -> Self {
        let mut by_host: HashMap<Box<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            limits,
            routes: by_host,
            services: services
                .into_iter()
                .map(|service| (service.name.clone(), service))
                .collect(),
        }
    }

    /// Returns the version, which grows with every change.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits for callers.
    #[must_use]
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the route with the longest prefix of `path` at `host`. A port in `host` and the
    /// case of its letters do not matter.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes.get(host).or_else(|| {
            let lower = host.to_ascii_lowercase();
            self.routes.get(lower.as_str())
        })?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns what the operators say of a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Tells whether there is a route of this name.
    #[must_use]
    pub fn has_route(&self, name: &str) -> bool {
        self.routes
            .values()
            .flatten()
            .any(|route| &*route.name == name)
    }

    /// Counts the routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
