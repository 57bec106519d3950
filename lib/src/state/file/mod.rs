//! The operators' file: which backend servers serve which services, which failure domains are in
//! service, and which versions should carry traffic by which deadline.
//!
//! A file is parsed and validated as a whole; a file with any problem is rejected.

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

/// A validated file.
#[derive(Clone, Debug, PartialEq)]
pub struct File {
    /// The name of the deployment, for instance `almisse`.
    pub system: Box<str>,
    /// What admission optimises for.
    pub objective: Objective,
    /// All failure domains, and whether each is in service.
    pub failure_domains: BTreeMap<FailureDomain, DomainState>,
    /// All tenants, with their share of capacity.
    pub tenants: BTreeMap<Tenant, TenantPolicy>,
    /// All services, with the leafs of each version.
    pub services: BTreeMap<ServiceName, Service>,
    /// All rollouts that operators have requested.
    pub rollouts: BTreeMap<RolloutId, Rollout>,
}

/// What admission optimises for when not every request can be answered in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Objective {
    /// Full coverage has priority over latency.
    Coverage,
    /// The total worth of requests answered within their deadline.
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
    /// The longest permitted deadline of a request, and the default for a request without one.
    pub deadline: Duration,
    /// What to do when not all shards have answered.
    pub partial: PartialPolicy,
    /// Whether an instance may send a second leaf call while the first is outstanding.
    pub hedging: bool,
    /// Whether a request with an unknown fingerprint runs on a single leaf first.
    pub canary: bool,
    /// The default worth of a request.
    pub worth: Worth,
    /// The number of requests that a leaf runs concurrently.
    pub slots: Slots,
    /// The number of connections that a leaf accepts from all instances together.
    pub connections: Connections,
    /// The time that a leaf spends on accepting a connection; zero if the file gives none.
    pub connect_cost: Duration,
    /// The limit on a leaf's load after a cold start.
    pub cold_start: ColdStart,
    /// The partition map in force: which key belongs to which shard.
    pub partition: PartitionId,
    /// The number of shards. Shards are numbered from 0.
    pub shards: u32,
    /// The version that carries all traffic when no rollout is in progress.
    pub serving: VersionName,
    /// The leafs of each version.
    pub versions: BTreeMap<VersionName, Vec<Leaf>>,
}

/// When to return an answer that does not cover all shards.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartialPolicy {
    /// The smallest share of shards, from 0 to 1, that makes an answer useful.
    pub minimum: f64,
    /// How long a query waits for the remaining shards after it has reached the minimum. The wait
    /// ends at the deadline in any case.
    pub patience: Duration,
}

/// The limit on a leaf's load after a cold start, and when the leaf counts as warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStart {
    /// The number of requests that a cold leaf may run concurrently.
    pub concurrency: Slots,
    /// The minimum time for which a leaf counts as cold.
    pub duration: Duration,
    /// The number of answers that a leaf must give before it counts as warm.
    pub answers: u32,
}

/// One leaf: a backend server's replica of one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leaf {
    /// The address that it listens on.
    pub id: LeafId,
    /// The shard it holds.
    pub shard: ShardId,
    /// The failure domain it runs in.
    pub failure_domain: FailureDomain,
    /// Whether it is about to leave, so that instances send it no new work.
    pub leaving: bool,
}

/// A rollout as requested by operators: moves traffic from one version to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// The services whose traffic moves.
    pub services: Vec<ServiceName>,
    /// The version that carries traffic before the rollout.
    pub from: VersionName,
    /// The version that carries traffic after the rollout.
    pub to: VersionName,
    /// If the rollout is not completed by this time, it is rolled back.
    pub deadline: SystemTime,
}

/// One error in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// What is wrong, and what is permitted.
    pub message: Box<str>,
    /// The range of bytes of the file that the problem concerns.
    pub span: Range<usize>,
}

impl File {
    /// Parses and validates a file.
    ///
    /// # Errors
    ///
    /// Returns all problems found, by position in the file.
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        check::parse(text)
    }

    /// Iterates over all leafs, each with its service and version.
    pub fn leafs(&self) -> impl Iterator<Item = (&ServiceName, &VersionName, &Leaf)> {
        self.services.iter().flat_map(|(service_name, service)| {
            let versions = service.versions.iter();
            versions.flat_map(move |(version, leafs)| {
                leafs.iter().map(move |leaf| (service_name, version, leaf))
            })
        })
    }

    /// Returns whether the failure domain receives work; false for an unknown domain.
    #[must_use]
    pub fn in_service(&self, failure_domain: &FailureDomain) -> bool {
        self.failure_domains.get(failure_domain) == Some(&DomainState::InService)
    }
}
