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

/// The maximum number of leafs that one status lists over all services. At the target size an
/// instance owns about five leafs, but the first instance to start may own all 9,100.
pub const MAX_STATUS_LEAFS: usize = 2_000;

/// The evidence by which an instance knows that its configuration is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Currency {
    /// A recent read of the key-value service.
    Store,
    /// Recent messages of a majority of the witnesses: the key-value service is unreachable.
    Witnessed,
    /// None: the instance accepts no work.
    Lost,
}

/// The phase of an instance's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Is not in the roster yet.
    Starting,
    /// Accepts work.
    Running,
    /// Reports that it is not ready, but accepts work until the load balancer stops sending it.
    NotReady,
    /// Finishes requests in flight and accepts no new ones.
    Draining,
    /// Gives up its leafs and leaves the roster.
    Releasing,
    /// Has left the roster.
    Closed,
}

/// The temperature of a leaf, as far as the instance knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Temperature {
    /// The leaf's temperature is not known yet; the instance treats it as cold.
    Unknown,
    /// In cold start.
    Cold,
    /// Warm, but the limit on requests in flight is still rising.
    Ramping,
    /// Warm, and no longer ramping up.
    Warm,
}

/// The state of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// The instance that answers.
    pub instance: InstanceId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// The generation of the control record that it has applied.
    pub generation: Generation,
    /// The revision of the operators' file that it has applied; 0 when there is none.
    pub revision: Revision,
    /// The evidence that the generation is current.
    pub currency: Currency,
    /// Whether it is in the roster and has a file and a current configuration. Unlike the readiness
    /// endpoint, this does not turn false when a shutdown begins.
    pub ready: bool,
    /// The phase of its lifecycle.
    pub phase: Phase,
    /// The number of leafs it owns.
    pub owned_leafs: u32,
    /// All instances of the roster in that generation.
    pub roster: Vec<Member>,
    /// The services with the leafs that the instance owns.
    pub services: Vec<ServiceStatus>,
    /// The number of owned leafs left out of `services`, which lists at most [`MAX_STATUS_LEAFS`].
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
    /// Whether it is a witness of the control record.
    pub witness: bool,
}

/// One service as seen by one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The service.
    pub service: ServiceName,
    /// Calls in flight from the instance to leafs of the service, omitted leafs included.
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
    /// Calls in flight from the owner to the leaf.
    pub in_flight: u32,
    /// The current limit on `in_flight`.
    pub limit: u32,
    /// Whether the owner sends it no new calls because it is leaving or its failure domain is out of
    /// service.
    pub draining: bool,
}

/// The rollouts of the file that an instance has applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutsAnswer {
    /// The generation of the record that the stages come from.
    pub generation: Generation,
    /// The rollouts, by ascending id.
    pub rollouts: Vec<RolloutStatus>,
}

/// One rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The rollout.
    pub rollout: RolloutId,
    /// The services concerned.
    pub services: Vec<ServiceName>,
    /// The version that carries traffic before the rollout.
    pub from: VersionName,
    /// The version that carries traffic after the rollout.
    pub to: VersionName,
    /// The deadline, in milliseconds since the Unix epoch.
    pub deadline_unix_ms: u64,
    /// The stage in the record; [`RolloutStage::Pending`] if the record has no entry for it.
    pub stage: RolloutStage,
}

/// The stage of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "name", rename_all = "snake_case")]
pub enum RolloutStage {
    /// Not started.
    Pending,
    /// The new version carries part of the traffic.
    Running {
        /// The share of the new version, in thousandths.
        share_permille: u16,
        /// When this share was set, in milliseconds since the Unix epoch.
        since_unix_ms: u64,
    },
    /// The new version carries all traffic.
    Completed,
    /// The rollout was rolled back: the old version carries all traffic.
    TakenBack {
        /// The reason for the rollback.
        fault: RollbackReason,
    },
    /// A later file no longer lists the rollout.
    Retired,
}

/// Why a rollout was rolled back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum RollbackReason {
    /// The new version failed more often than the old one over the same period.
    Failing {
        /// The service.
        service: ServiceName,
        /// The route.
        route: Route,
    },
    /// The new version was slow more often than the old one over the same period.
    Slow {
        /// The service.
        service: ServiceName,
        /// The route.
        route: Route,
    },
    /// An earlier rollout driver revoked the new version; this instance does not know why.
    Revoked,
    /// The rollout was not completed by its deadline.
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
