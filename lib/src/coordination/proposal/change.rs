//! What an operation changes in the record.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::coordination::proposal::Error;
use crate::state::id::InstanceId;
use crate::state::id::OperationId;
use crate::state::id::Revision;
use crate::state::id::RolloutId;
use crate::state::id::ServiceName;
use crate::state::id::VersionName;
use crate::state::record::Candidate;
use crate::state::record::Record;
use crate::state::rollout::Stage;

/// A change of the record. Whether it fits is checked against the record that it is applied to.
#[derive(Clone, Debug)]
pub enum Change {
    /// Replaces the file.
    File {
        /// The text, which was checked before.
        text: Arc<str>,
        /// The revision that the operator saw.
        expected: Option<Revision>,
    },
    /// Adds and removes members.
    Roster {
        /// Members to add.
        added: Vec<Candidate>,
        /// Members to remove.
        removed: BTreeSet<InstanceId>,
    },
    /// Moves a rollout to a stage.
    Rollout {
        /// The rollout.
        rollout: RolloutId,
        /// The stage that the proposer saw.
        expected: Option<Stage>,
        /// The stage to reach.
        stage: Stage,
    },
    /// Revokes a version.
    Revocation {
        /// The service.
        service: ServiceName,
        /// Its version.
        version: VersionName,
    },
}

impl Change {
    /// Returns the file body to write first, if the change needs one.
    pub(crate) fn body(&self) -> Option<Arc<str>> {
        match self {
            Self::File { text, .. } => Some(text.clone()),
            Self::Roster { .. } | Self::Rollout { .. } | Self::Revocation { .. } => None,
        }
    }

    /// Applies the change, or tells why it does not fit the record.
    pub(crate) fn apply(
        &mut self,
        operation: OperationId,
        record: &Record,
    ) -> Result<Record, Error> {
        match self {
            Self::File { text, expected } => {
                let found = record.file.map_or(Revision(0), |file| file.revision);
                // Without an expectation, the first record read is what the operator replaces.
                let expected = *expected.get_or_insert(found);
                if expected != found {
                    return Err(Error::RevisionMismatch { expected, found });
                }
                Ok(record.with_file(operation, text))
            }
            Self::Roster { added, removed } => {
                Ok(record.with_roster_change(operation, added, removed))
            }
            Self::Rollout {
                rollout,
                expected,
                stage,
            } => {
                if record.rollouts.get(rollout) != expected.as_ref() {
                    return Err(Error::StageMismatch);
                }
                Ok(record.with_rollout_stage(operation, rollout.clone(), stage.clone()))
            }
            Self::Revocation { service, version } => {
                Ok(record.with_revocation(operation, service.clone(), version.clone()))
            }
        }
    }
}
