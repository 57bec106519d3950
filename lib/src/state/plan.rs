//! The operators' configuration in the form that instances use: routes, services, customers and
//! limits on what callers send.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use super::customer::Customers;

/// How often a request may run at the leafs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallSemantics {
    /// The request may run any number of times.
    Idempotent,
    /// The request runs at most once. It is sent to another leaf only if it is certain that it has
    /// not run.
    AtMostOnce,
}

/// One of several services of a route, with its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The name of the service.
    pub service: Box<str>,
    /// The weight relative to the other weights of the route. A service with a weight of zero or
    /// less gets no requests.
    pub weight: f64,
}

/// The shards of a query, and how their answers are merged.
#[derive(Clone, Debug, PartialEq)]
pub struct Scope {
    /// The name of the service that holds each shard.
    pub shards: Vec<Box<str>>,
    /// The smallest fraction of shards, from 0 to 1, that have to answer for the query to succeed.
    pub min_coverage: f64,
    /// The maximum number of records in the merged answer, which holds the greatest ones.
    pub top_k: usize,
}

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// To one leaf of a service.
    Service(Box<str>),
    /// To one leaf of one of several services, chosen by weight.
    Split(Vec<Share>),
    /// To one leaf of each shard.
    Shards(Scope),
}

impl Target {
    /// Returns the services that requests with this target call.
    #[must_use]
    pub fn services(&self) -> Vec<&str> {
        match self {
            Self::Service(service) => vec![service],
            Self::Split(shares) => shares.iter().map(|share| &*share.service).collect(),
            Self::Shards(scope) => scope.shards.iter().map(|shard| &**shard).collect(),
        }
    }
}

/// How requests to one host with one path prefix are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the route, in logs and as the key of its latency estimates.
    pub name: Box<str>,
    /// The host, in lower case.
    pub host: Box<str>,
    /// The prefix of the paths that belong to the route.
    pub prefix: Box<str>,
    /// How often each of its requests may run.
    pub semantics: CallSemantics,
    /// How long a caller waits for the final answer, at most.
    pub timeout: Duration,
    /// The latency objective, within which a caller should get its answer.
    pub objective: Duration,
    /// The priority of its requests; 0 is the most urgent.
    pub priority: u32,
    /// How many leafs of one service may receive the same request, including the first.
    pub max_leafs: usize,
    /// Whether its requests need no key, and belong to no customer.
    pub is_public: bool,
    /// Where its requests go.
    pub target: Target,
}

impl Route {
    /// Returns a hash of what determines the answer to a query on this route: the shards, how many
    /// records the answer holds, and how many leafs of a shard may receive it. Instances of
    /// different releases compute the same hash. `None` for a route to one service.
    #[must_use]
    pub fn query_digest(&self) -> Option<u64> {
        let Target::Shards(scope) = &self.target else {
            return None;
        };
        let mut hasher = Xxh3::new();
        hasher.update(&(scope.top_k as u64).to_le_bytes());
        hasher.update(&(self.max_leafs as u64).to_le_bytes());
        for shard in &scope.shards {
            hasher.update(&(shard.len() as u64).to_le_bytes());
            hasher.update(shard.as_bytes());
        }
        Some(hasher.digest())
    }
}

/// The operators' settings for a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name of the service.
    pub name: Box<str>,
    /// The number of connections that each of its leafs accepts, from all instances together.
    pub max_connections: usize,
    /// The number of requests per second that each of its leafs may get while it is cold, from all
    /// instances together; `None` if cold leafs take the usual load.
    pub cold_rate: Option<f64>,
}

/// Limits on the size of callers' requests and on the time that callers take to send them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The longest request head in bytes.
    pub header_bytes: usize,
    /// The longest request body in bytes.
    pub body_bytes: usize,
    /// The longest time from the first byte of a request head to its last.
    pub header_timeout: Duration,
    /// How long a connection may stay open without a request.
    pub idle_timeout: Duration,
}

/// One version of the configuration, immutable.
#[derive(Clone, Debug)]
pub struct Plan {
    version: u64,
    limits: Limits,
    // The routes of a host, the longest prefix first.
    routes: HashMap<Box<str>, Vec<Arc<Route>>>,
    services: HashMap<Box<str>, Service>,
    customers: Option<Customers>,
}

impl Plan {
    /// Creates a plan. The routes and services may be in any order.
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
            customers: None,
        }
    }

    /// Sets the customers, without whose keys only public routes can be used.
    #[must_use]
    pub fn with_customers(mut self, customers: Customers) -> Self {
        self.customers = Some(customers);
        self
    }

    /// Returns the customers; `None` if no keys are checked.
    #[must_use]
    pub fn customers(&self) -> Option<&Customers> {
        self.customers.as_ref()
    }

    /// Returns the customers if requests on `route` need the key of one of them.
    #[must_use]
    pub fn customers_of(&self, route: &Route) -> Option<&Customers> {
        self.customers.as_ref().filter(|_| !route.is_public)
    }

    /// Returns the version, which grows with every change.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers' requests.
    #[must_use]
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the route at `host` with the longest matching prefix of `path`. A port in `host` and
    /// the case of its letters are ignored.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes.get(host).or_else(|| {
            let lower = host.to_ascii_lowercase();
            self.routes.get(lower.as_str())
        })?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the settings for a service, if the configuration has any.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns whether the configuration has a route with this name.
    #[must_use]
    pub fn has_route(&self, name: &str) -> bool {
        self.routes
            .values()
            .flatten()
            .any(|route| &*route.name == name)
    }

    /// Returns the number of routes of all hosts.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
