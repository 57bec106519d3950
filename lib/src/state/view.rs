//! The immutable snapshot of control state that traffic threads read.

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

/// Whether an instance may act on the generation that it applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Currency {
    /// Fresh evidence comes from the store.
    Current,
    /// The store is out of reach; a majority of witnesses vouches for the generation.
    Witnessed,
    /// Neither holds: no work is taken or dispatched.
    Lost,
}

/// Where an instance stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not in the roster yet.
    Joining,
    /// In the roster.
    Member,
    /// Shutting down; asks to be removed from the roster.
    Leaving,
    /// Removed from the roster after asking for it.
    Left,
}

/// Whether a leaf answered as cold or warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Temperature {
    /// Its caches are empty.
    Cold,
    /// Its caches are filled.
    Warm,
}

/// What a leaf's owner last saw of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafStatus {
    /// The run of the backend server process.
    pub incarnation: ServerIncarnation,
    /// The snapshots it holds.
    pub holds: Vec<SnapshotId>,
    /// The partition map it uses.
    pub partition: PartitionId,
    /// Whether it is cold.
    pub temperature: Temperature,
}

/// Control state at one moment.
#[derive(Clone, Debug)]
pub struct View {
    /// This instance.
    pub instance: InstanceId,
    /// Where this instance stands in its life.
    pub phase: Phase,
    /// The record applied; generation 0 if none was.
    pub record: Arc<Record>,
    /// The file applied, if there is one.
    pub file: Option<Arc<File>>,
    /// The text of that file.
    pub file_text: Option<Arc<str>>,
    /// Who owns which leaf.
    pub ownership: Arc<Table>,
    /// Revoked versions, from the record and from gossip.
    pub revocations: Arc<BTreeSet<(ServiceName, VersionName)>>,
    /// Leafs that said they are draining.
    pub draining_leafs: Arc<BTreeSet<LeafId>>,
    /// Crashes seen per fingerprint.
    pub crash_counts: Arc<BTreeMap<Fingerprint, u32>>,
    /// The last status of each leaf.
    pub leaf_statuses: Arc<BTreeMap<LeafId, LeafStatus>>,
    /// The rollout counters of each instance, in the encoding of the rollout driver.
    pub evidence: Arc<BTreeMap<InstanceId, Arc<[u8]>>>,
    /// The kind of evidence held when the view was made.
    pub currency: Currency,
    /// When currency runs out if no more evidence arrives. Requests carry no later deadline.
    pub valid_until: Option<Instant>,
}

impl View {
    /// Returns the generation applied.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.record.generation
    }

    /// Returns the revision of the file applied; 0 if there is none.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.record.file.map_or(Revision(0), |file| file.revision)
    }

    /// Returns the stage of the rollout.
    #[must_use]
    pub fn rollout(&self, rollout: &RolloutId) -> Option<&Stage> {
        self.record.rollouts.get(rollout)
    }

    /// Tells whether work may be taken or dispatched now.
    #[must_use]
    pub fn may_act(&self, now: Instant) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }

    /// Tells whether this instance may send to the leaf now.
    #[must_use]
    pub fn may_send(&self, leaf: LeafId, now: Instant) -> bool {
        self.may_act(now) && self.ownership.ready(leaf, now)
    }
}
