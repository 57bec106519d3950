//! The operators' file: which backend servers serve which services, which failure domains are in
//! service, and which versions should carry traffic by when.
//!
//! A file is parsed and checked as a whole; a file with any problem is rejected.

mod check;
mod difference;
mod raw;

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;
use std::time::SystemTime;

pub use self::difference::Change;
pub use self::difference::difference;
use crate::state::id::FailureDomain;
use crate::state::id::LeafId;
use crate::state::id::PartitionId;
use crate::state::id::RolloutId;
use crate::state::id::ServiceName;
use crate::state::id::ShardId;
use crate::state::id::Tenant;
use crate::state::id::VersionName;
use crate::state::size::Connections;
use crate::state::size::Slots;
use crate::state::size::Worth;

/// A checked file.
#[derive(Clone, Debug, PartialEq)]
pub struct File {
    /// The deployment, for instance `almisse`.
    pub system: Box<str>,
    /// What admission optimises for.
    pub objective: Objective,
    /// All failure domains, and whether each is in service.
    pub failure_domains: BTreeMap<FailureDomain, DomainState>,
    /// All tenants with their share of capacity.
    pub tenants: BTreeMap<Tenant, TenantPolicy>,
    /// All services.
    pub services: BTreeMap<ServiceName, Service>,
    /// All rollouts that operators ask for.
    pub rollouts: BTreeMap<RolloutId, Rollout>,
}

/// What admission optimises for when not every request can be answered in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Objective {
    /// Full coverage goes before latency.
    Coverage,
    /// The summed worth of requests answered in time.
    Worth,
}

/// Whether a failure domain receives work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DomainState {
    /// Backend servers in the domain receive work.
    InService,
    /// Backend servers in the domain receive no new work.
    OutOfService,
}

/// How a tenant shares capacity with the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantPolicy {
    /// The weight of the tenant's queue relative to the other tenants' queues.
    pub weight: f64,
}

/// One service: a set of shards with the backend servers that serve them.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The tenants that may call the service; empty means all.
    pub tenants: Vec<Tenant>,
    /// The longest permitted deadline of a request, also used where a request names none.
    pub deadline: Duration,
    /// What to do when not all shards have answered.
    pub partial: PartialPolicy,
    /// Whether requests may be sent a second time while the first is outstanding.
    pub hedging: bool,
    /// Whether a request with an unknown fingerprint runs on a single leaf first.
    pub canary: bool,
    /// The worth of a request that states none.
    pub worth: Worth,
    /// Requests a leaf works on at the same time.
    pub slots: Slots,
    /// Connections a leaf accepts from all instances together.
    pub connections: Connections,
    /// The time that a leaf needs to accept a new connection.
    pub connect_cost: Duration,
    /// What a leaf bears after a cold start.
    pub cold_start: ColdStart,
    /// The partition map in force.
    pub partition: PartitionId,
    /// The number of shards.
    pub shards: u32,
    /// The version that carries traffic outside rollouts.
    pub serving: VersionName,
    /// The leafs of each version.
    pub versions: BTreeMap<VersionName, Vec<Leaf>>,
}

/// When to return an answer that does not cover all shards.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartialPolicy {
    /// The smallest share of shards, from 0 to 1, that makes an answer useful.
    pub minimum: f64,
    /// How long a query waits for missing shards once the minimum is reached. The deadline always
    /// ends the wait.
    pub patience: Duration,
}

/// What a leaf bears after a cold start, and when it counts as warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStart {
    /// Requests that a cold leaf bears at the same time.
    pub concurrency: Slots,
    /// The shortest time that a leaf stays cold.
    pub duration: Duration,
    /// The answers that a leaf must give before it counts as warm.
    pub answers: u32,
}

/// One leaf: a backend server's replica of one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leaf {
    /// Its address.
    pub id: LeafId,
    /// The shard it holds.
    pub shard: ShardId,
    /// The failure domain it runs in.
    pub failure_domain: FailureDomain,
    /// Whether it is about to leave and receives no new work.
    pub leaving: bool,
}

/// A request of the operators to move traffic from one version to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// The services concerned.
    pub services: Vec<ServiceName>,
    /// The version that carries traffic before.
    pub from: VersionName,
    /// The version that should carry traffic after.
    pub to: VersionName,
    /// The time by which the rollout is done or taken back.
    pub deadline: SystemTime,
}

/// One thing that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// What is wrong, and what is permitted.
    pub message: Box<str>,
    /// The bytes of the file concerned.
    pub span: Range<usize>,
}

impl File {
    /// Parses and checks a file.
    ///
    /// # Errors
    ///
    /// Returns every problem found, in the order of the file.
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        check::parse(text)
    }

    /// Iterates over all leafs of all services and versions.
    pub fn leafs(&self) -> impl Iterator<Item = (&ServiceName, &VersionName, &Leaf)> {
        self.services.iter().flat_map(|(service_name, service)| {
            let versions = service.versions.iter();
            versions.flat_map(move |(version, leafs)| {
                leafs.iter().map(move |leaf| (service_name, version, leaf))
            })
        })
    }

    /// Tells whether the failure domain receives work. Unknown domains do not.
    #[must_use]
    pub fn in_service(&self, failure_domain: &FailureDomain) -> bool {
        self.failure_domains.get(failure_domain) == Some(&DomainState::InService)
    }
}
