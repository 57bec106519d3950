//! The stage of a rollout, which moves traffic from an old to a new version.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::state::id::Route;
use crate::state::id::ServiceName;

/// The share of a version that carries all traffic, in thousandths.
pub const FULL_SHARE: u16 = 1000;

/// The stage of a rollout in the control record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
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
        reason: Reason,
    },
    /// A later file no longer lists the rollout.
    Retired,
}

impl Stage {
    /// Returns the share of the new version, in thousandths. For a retired rollout it is 0, because
    /// the file alone decides which version carries traffic.
    #[must_use]
    pub fn share_permille(&self) -> u16 {
        match self {
            Self::Pending | Self::TakenBack { .. } | Self::Retired => 0,
            Self::Running { share_permille, .. } => *share_permille,
            Self::Completed => FULL_SHARE,
        }
    }
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Pending => f.write_str("pending"),
            Self::Running { share_permille, .. } => {
                write!(f, "running at {}%", f64::from(*share_permille) / 10.0)
            }
            Self::Completed => f.write_str("completed"),
            Self::TakenBack { reason } => write!(f, "taken back: {reason}"),
            Self::Retired => f.write_str("retired"),
        }
    }
}

/// Why a rollout was rolled back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
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

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failing { service, route } => {
                write!(f, "more failures than the old version on {service} {route}")
            }
            Self::Slow { service, route } => {
                write!(f, "slower than the old version on {service} {route}")
            }
            Self::Revoked => f.write_str("the new version is revoked"),
            Self::Deadline => f.write_str("not completed in time"),
        }
    }
}
