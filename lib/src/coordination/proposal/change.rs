//! What an operation changes in the record.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::coordination::proposal::BrokenRule;
use crate::coordination::proposal::Error;
use crate::coordination::proposal::Limits;
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

    /// Applies the change, or tells why it does not fit the record. Returns `None` if the record
    /// holds it already: several instances propose the same change of the roster when they notice
    /// the same failure, and only the first one should make a generation. A file always makes one,
    /// because an operator's repeated request must be found among the operations; else it would
    /// replace a file that was accepted in between.
    pub(crate) fn apply(
        &mut self,
        operation: OperationId,
        record: &Record,
        limits: &Limits,
    ) -> Result<Option<Record>, Error> {
        if limits.drops_repeats() && self.is_held_by(record) {
            return Ok(None);
        }
        let next = match self {
            Self::File { text, expected } => {
                let found = record.file.map_or(Revision(0), |file| file.revision);
                // Without an expectation, the first record read is what the operator replaces.
                let expected = *expected.get_or_insert(found);
                if expected != found {
                    return Err(Error::RevisionMismatch { expected, found });
                }
                record.with_file(operation, text)
            }
            Self::Roster { added, removed } => {
                let added = new_members(added, record);
                record.with_roster_change(operation, &added, removed)
            }
            Self::Rollout {
                rollout,
                expected,
                stage,
            } => {
                let moved = record.rollouts.get(rollout) != expected.as_ref();
                if moved && !limits.breaks(BrokenRule::StagesUnchecked) {
                    return Err(Error::StageMismatch);
                }
                record.with_rollout_stage(operation, rollout.clone(), stage.clone())
            }
            Self::Revocation { service, version } => {
                record.with_revocation(operation, service.clone(), version.clone())
            }
        };
        Ok(Some(next))
    }

    fn is_held_by(&self, record: &Record) -> bool {
        match self {
            Self::File { .. } => false,
            Self::Roster { added, removed } => {
                let mut removed = removed.iter();
                new_members(added, record).is_empty()
                    && removed.all(|instance| record.member(*instance).is_none())
            }
            Self::Rollout {
                rollout,
                expected,
                stage,
            } => {
                let found = record.rollouts.get(rollout);
                found == expected.as_ref() && found == Some(stage)
            }
            Self::Revocation { service, version } => {
                let revoked = (service.clone(), version.clone());
                record.revocations.contains(&revoked)
            }
        }
    }
}

/// Returns the candidates that are not members. One that has departed since it asked is left out,
/// because an id never returns.
fn new_members(added: &[Candidate], record: &Record) -> Vec<Candidate> {
    let departed = |instance| {
        record
            .departures
            .iter()
            .any(|left| left.instance == instance)
    };
    let new = added
        .iter()
        .filter(|one| record.member(one.instance).is_none() && !departed(one.instance));
    new.cloned().collect()
}
