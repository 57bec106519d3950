//! Messages about the state of instances, services and rollouts.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::coordination::rollout;
use crate::state::id::FailureDomain;
use crate::state::id::Generation;
use crate::state::id::InstanceId;
use crate::state::id::LeafId;
use crate::state::id::Revision;
use crate::state::id::RolloutId;
use crate::state::id::Route;
use crate::state::id::ServiceName;
use crate::state::id::ShardId;
use crate::state::id::VersionName;

/// The most leafs that one status lists over all services. At the target an instance owns about
/// five leafs; a lone instance at start may own all 9,100.
pub const MAX_STATUS_LEAFS: usize = 2_000;

/// How an instance shows that its configuration is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Currency {
    /// By a read of the key-value service.
    Store,
    /// By a majority of the witnesses alone: the key-value service is out of reach.
    Witnessed,
    /// Not at all: the instance takes no work.
    Lost,
}

/// The phase of an instance's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Not yet in the roster.
    Starting,
    /// Takes work.
    Running,
    /// Readiness is off; still takes work until the load balancer has noticed.
    NotReady,
    /// Finishes work and takes no new work.
    Draining,
    /// Gives up its leafs and leaves the roster.
    Releasing,
    /// Done.
    Closed,
}

/// What an instance believes about a leaf's temperature.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Temperature {
    /// Nothing is known; treated as cold.
    Unknown,
    /// In cold start.
    Cold,
    /// Warm, with a limit that still rises.
    Ramping,
    /// Warm.
    Warm,
}

/// The state of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// The instance.
    pub instance: InstanceId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// The generation in force there.
    pub generation: Generation,
    /// The revision of the file in force there.
    pub revision: Revision,
    /// How it shows that the generation is current.
    pub currency: Currency,
    /// Whether it asks the load balancer for work.
    pub ready: bool,
    /// The phase of its life.
    pub phase: Phase,
    /// The number of leafs it owns.
    pub owned_leafs: u32,
    /// The roster of the generation.
    pub roster: Vec<Member>,
    /// The services with the leafs that the instance owns.
    pub services: Vec<ServiceStatus>,
    /// Owned leafs left out of `services`, which lists at most [`MAX_STATUS_LEAFS`].
    pub omitted_leafs: u32,
}

/// One instance of the roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub instance: InstanceId,
    /// The address of its control interface.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Whether it is a witness.
    pub witness: bool,
}

/// One service as seen by one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The service.
    pub service: ServiceName,
    /// Requests of callers that the instance works on.
    pub in_flight: u32,
    /// The leafs of the service that the instance owns.
    pub leafs: Vec<LeafStatus>,
}

/// One leaf as seen by its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafStatus {
    /// The leaf.
    pub leaf: LeafId,
    /// The version it runs.
    pub version: VersionName,
    /// The shard it holds.
    pub shard: ShardId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Its temperature.
    pub temperature: Temperature,
    /// Requests in flight.
    pub in_flight: u32,
    /// The limit of requests in flight.
    pub limit: u32,
    /// Whether it receives no new work because it is leaving.
    pub draining: bool,
}

/// The rollouts in the record of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutsAnswer {
    /// The generation of the record.
    pub generation: Generation,
    /// The rollouts.
    pub rollouts: Vec<RolloutStatus>,
}

/// One rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The rollout.
    pub rollout: RolloutId,
    /// The services concerned.
    pub services: Vec<ServiceName>,
    /// The old version.
    pub from: VersionName,
    /// The new version.
    pub to: VersionName,
    /// The deadline, in milliseconds since the Unix epoch.
    pub deadline_unix_ms: u64,
    /// What the instance concludes from the record and the deadline.
    pub stage: RolloutStage,
}

/// The stage of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "name", rename_all = "snake_case")]
pub enum RolloutStage {
    /// Not begun.
    Pending,
    /// The new version carries a share of traffic.
    Running {
        /// The share, in thousandths.
        share_permille: u16,
        /// The begin of the step, in milliseconds since the Unix epoch.
        since_unix_ms: u64,
    },
    /// The new version carries all traffic.
    Completed,
    /// The old version carries all traffic.
    TakenBack {
        /// Why.
        fault: RollbackReason,
    },
    /// A later file ended the rollout.
    Retired,
}

/// Why a rollout was taken back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum RollbackReason {
    /// The new version failed more often than the old one at the same time.
    Failing {
        /// The service.
        service: ServiceName,
        /// The route.
        route: Route,
    },
    /// The new version was slow more often than the old one at the same time.
    Slow {
        /// The service.
        service: ServiceName,
        /// The route.
        route: Route,
    },
    /// The new version was revoked by an earlier driver, whose reason is not known.
    Revoked,
    /// The rollout was not completed in time.
    Deadline,
}

impl From<rollout::Reason> for RollbackReason {
    fn from(reason: rollout::Reason) -> Self {
        match reason {
            rollout::Reason::Failing { service, route } => Self::Failing { service, route },
            rollout::Reason::Slow { service, route } => Self::Slow { service, route },
            rollout::Reason::Revoked => Self::Revoked,
            rollout::Reason::Deadline => Self::Deadline,
        }
    }
}

impl From<rollout::Stage> for RolloutStage {
    fn from(stage: rollout::Stage) -> Self {
        match stage {
            rollout::Stage::Pending => Self::Pending,
            rollout::Stage::Running {
                share_permille,
                since_unix_ms,
            } => Self::Running {
                share_permille,
                since_unix_ms,
            },
            rollout::Stage::Completed => Self::Completed,
            rollout::Stage::TakenBack { reason } => Self::TakenBack {
                fault: reason.into(),
            },
            rollout::Stage::Retired => Self::Retired,
        }
    }
}
