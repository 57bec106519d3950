//! The state machine of a rollout: the change of traffic from an old to a new version.
//!
//! * [`share`] decides which version a request goes to.
//! * [`evidence`] counts outcomes per instance and pools them over instances.
//! * [`sequential`] and [`verdict`] judge the new version against the old one.
//! * [`driver`] moves the rollout through its steps.
//! * [`conclusion`] decides where an instance sends traffic, based on its own view of the record.

pub mod conclusion;
pub mod driver;
pub mod evidence;
pub mod sequential;
pub mod share;
mod trial;
pub mod verdict;

use std::time::Duration;
use std::time::SystemTime;

use crate::state::file;
use crate::state::id::RolloutId;
use crate::state::id::ServiceName;
use crate::state::id::VersionName;
pub use crate::state::rollout::FULL_SHARE;
pub use crate::state::rollout::Reason;
pub use crate::state::rollout::Stage;

/// The shares of traffic that a rollout passes through, in thousandths.
pub const STEPS_PERMILLE: [u16; 5] = [10, 50, 200, 500, FULL_SHARE];

/// An instance proposes a completion only if the deadline is more than this away, so that every
/// current instance learns of it before the deadline. Must exceed the currency bound plus the time
/// for a write.
pub const COMPLETION_MARGIN: Duration = Duration::from_secs(30);

/// A rollout as configured in the operators' file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The rollout's id in the operators' file.
    pub rollout: RolloutId,
    /// The services whose traffic moves to the new version.
    pub services: Vec<ServiceName>,
    /// The new version.
    pub to: VersionName,
    /// A rollout that is not completed at this time is taken back.
    pub deadline: SystemTime,
}

impl From<(&RolloutId, &file::Rollout)> for Plan {
    fn from((rollout, wanted): (&RolloutId, &file::Rollout)) -> Self {
        Self {
            rollout: rollout.clone(),
            services: wanted.services.clone(),
            to: wanted.to.clone(),
            deadline: wanted.deadline,
        }
    }
}
