//! The immutable snapshot of the control state that traffic threads read.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::state::assignment::Table;
use crate::state::file::File;
use crate::state::id::Fingerprint;
use crate::state::id::Generation;
use crate::state::id::InstanceId;
use crate::state::id::LeafId;
use crate::state::id::PartitionId;
use crate::state::id::Revision;
use crate::state::id::RolloutId;
use crate::state::id::ServerIncarnation;
use crate::state::id::ServiceName;
use crate::state::id::SnapshotId;
use crate::state::id::VersionName;
use crate::state::record::Record;
use crate::state::rollout::Stage;

/// Whether an instance has evidence that the generation it applied is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Currency {
    /// A recent read of the store confirms the generation.
    Current,
    /// The store is unreachable; a majority of witnesses confirms the generation.
    Witnessed,
    /// There is no recent evidence: the instance neither accepts nor dispatches work.
    Lost,
}

/// Whether an instance is joining, in or leaving the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not in the roster yet.
    Joining,
    /// In the roster.
    Member,
    /// Shutting down: the instance asks to be removed from the roster.
    Leaving,
    /// Removed from the roster at its own request.
    Left,
}

/// The temperature that a leaf reported in its last answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Temperature {
    /// The leaf's caches are not filled yet.
    Cold,
    /// The leaf's caches are filled.
    Warm,
}

/// The status of a leaf, as its owner last observed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafStatus {
    /// Identifies the run of the backend server process.
    pub incarnation: ServerIncarnation,
    /// The snapshots it holds.
    pub holds: Vec<SnapshotId>,
    /// The partition map it uses.
    pub partition: PartitionId,
    /// The temperature that the leaf reported.
    pub temperature: Temperature,
}

/// The control state of one instance at one time.
#[derive(Clone, Debug)]
pub struct View {
    /// This instance.
    pub instance: InstanceId,
    /// Whether this instance is joining, in or leaving the roster.
    pub phase: Phase,
    /// The record applied; generation 0 before the first.
    pub record: Arc<Record>,
    /// The operators' file applied; `None` before the first.
    pub file: Option<Arc<File>>,
    /// The text of that file.
    pub file_text: Option<Arc<str>>,
    /// The owners of leafs, idempotency keys and fingerprints.
    pub ownership: Arc<Table>,
    /// Revoked versions, from the record and from gossip.
    pub revocations: Arc<BTreeSet<(ServiceName, VersionName)>>,
    /// Leafs that reported that they are draining.
    pub draining_leafs: Arc<BTreeSet<LeafId>>,
    /// The number of crashes observed per fingerprint.
    pub crash_counts: Arc<BTreeMap<Fingerprint, u32>>,
    /// The last status of each leaf.
    pub leaf_statuses: Arc<BTreeMap<LeafId, LeafStatus>>,
    /// The rollout counters of each instance, encoded with postcard.
    pub evidence: Arc<BTreeMap<InstanceId, Arc<[u8]>>>,
    /// The evidence for the record when the view was created.
    pub currency: Currency,
    /// When the record stops counting as current unless new evidence arrives; `None` if it does not
    /// count as current. The deadlines of requests are capped at this time.
    pub valid_until: Option<Instant>,
}

impl View {
    /// Returns the generation of the applied record.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.record.generation
    }

    /// Returns the revision of the file that the applied record names; 0 if it names none.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.record.file.map_or(Revision(0), |file| file.revision)
    }

    /// Returns the stage of the rollout; `None` if the record has no entry for it.
    #[must_use]
    pub fn rollout(&self, rollout: &RolloutId) -> Option<&Stage> {
        self.record.rollouts.get(rollout)
    }

    /// Returns whether the instance may accept and dispatch work now.
    #[must_use]
    pub fn may_act(&self, now: Instant) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }

    /// Returns whether this instance may send calls to the leaf now.
    #[must_use]
    pub fn may_send(&self, leaf: LeafId, now: Instant) -> bool {
        self.may_act(now) && self.ownership.ready(leaf, now)
    }
}
