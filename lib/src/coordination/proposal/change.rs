//! Changes that operations make to the record.

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

/// A change of the record. Its preconditions are checked against the record to which it is applied.
#[derive(Clone, Debug)]
pub enum Change {
    /// Replaces the file.
    File {
        /// The text of the file, already validated by the caller.
        text: Arc<str>,
        /// The file revision that the operator saw. If `None`, the first attempt sets it to the
        /// revision that it finds.
        expected: Option<Revision>,
    },
    /// Adds and removes members.
    Roster {
        /// Instances to add; current and departed members are skipped.
        added: Vec<Candidate>,
        /// Ids of the members to remove.
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
    /// Revokes a version of a service, so that it receives no more traffic.
    Revocation {
        /// The service.
        service: ServiceName,
        /// Its version.
        version: VersionName,
    },
}

impl Change {
    /// Returns the file body that must be written before the record, if the change has one.
    pub(crate) fn body(&self) -> Option<Arc<str>> {
        match self {
            Self::File { text, .. } => Some(text.clone()),
            Self::Roster { .. } | Self::Rollout { .. } | Self::Revocation { .. } => None,
        }
    }

    /// Applies the change, or returns an error if its preconditions do not hold. Returns `None` if
    /// the record already contains the change: several instances propose the same roster change
    /// when they detect the same failure, and only the first proposal should create a generation.
    /// A file always creates one, because an operator's repeated request must be found among the
    /// operations; otherwise it would replace a file that was accepted in between.
    pub(crate) fn apply(
        &mut self,
        operation: OperationId,
        record: &Record,
        limits: &Limits,
    ) -> Result<Option<Record>, Error> {
        if limits.drops_repeats() && self.is_contained_in(record) {
            return Ok(None);
        }
        let next = match self {
            Self::File { text, expected } => {
                let found = record.file.map_or(Revision(0), |file| file.revision);
                // Without an expected revision, the operator replaces the file of the first record
                // read.
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
                let stage_differs = record.rollouts.get(rollout) != expected.as_ref();
                if stage_differs && !limits.breaks(BrokenRule::StagesUnchecked) {
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

    fn is_contained_in(&self, record: &Record) -> bool {
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

/// Returns the candidates that are not members. A candidate that has departed since its request is
/// left out, because instance ids are not reused.
fn new_members(added: &[Candidate], record: &Record) -> Vec<Candidate> {
    let departed = |instance| {
        record
            .departures
            .iter()
            .any(|departure| departure.instance == instance)
    };
    let new = added.iter().filter(|candidate| {
        record.member(candidate.instance).is_none() && !departed(candidate.instance)
    });
    new.cloned().collect()
}
