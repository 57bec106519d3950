//! The ownership table: the owners of leafs, idempotency keys and fingerprints, as traffic threads
//! read them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::state::id::Fingerprint;
use crate::state::id::Generation;
use crate::state::id::IdempotencyKey;
use crate::state::id::InstanceId;
use crate::state::id::LeafId;
use crate::state::id::Revision;

/// The owner of a leaf, and when it may start to send calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The owner.
    pub owner: InstanceId,
    /// The owner in the previous table, if it was another instance.
    pub previous: Option<InstanceId>,
    /// When this instance may start to send calls; `None` if it is not the owner.
    pub ready_at: Option<Instant>,
    /// A hash of the leaf's failure domain.
    pub(crate) domain_hash: u64,
}

/// The instances listed over a range of generations, and when this instance applied the record that
/// lists them.
#[derive(Clone, Debug)]
pub(crate) struct Epoch {
    pub(crate) applied_at: Instant,
    pub(crate) listed: Arc<[InstanceId]>,
}

/// The owner of an idempotency key or a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyOwner {
    /// The owner.
    pub owner: InstanceId,
    /// If this instance is the owner: when it applied the first generation of its uninterrupted
    /// ownership.
    pub owned_since: Option<Instant>,
    /// If this instance is the owner: when it may act as the owner, because earlier owners have
    /// stopped by then.
    pub ready_at: Option<Instant>,
}

/// The ownership at one generation, as seen by one instance.
#[derive(Clone, Debug, Default)]
pub struct Table {
    pub(crate) instance: InstanceId,
    pub(crate) generation: Generation,
    pub(crate) revision: Revision,
    pub(crate) handover_wait: Duration,
    pub(crate) leafs: HashMap<LeafId, Assignment>,
    /// Newest last. The last entry lists the current roster.
    pub(crate) epochs: Vec<Epoch>,
    pub(crate) roster: Arc<[InstanceId]>,
}

impl Table {
    /// Returns the generation that the table was built from.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the assignment of the leaf; `None` if the file does not list it.
    #[must_use]
    pub fn leaf(&self, leaf: LeafId) -> Option<&Assignment> {
        self.leafs.get(&leaf)
    }

    /// Iterates over all leafs.
    pub fn leafs(&self) -> impl Iterator<Item = (LeafId, &Assignment)> {
        self.leafs
            .iter()
            .map(|(leaf, assignment)| (*leaf, assignment))
    }

    /// Returns whether this instance owns the leaf and every earlier owner has stopped sending.
    #[must_use]
    pub fn ready(&self, leaf: LeafId, now: Instant) -> bool {
        let assignment = self.leafs.get(&leaf);
        assignment.is_some_and(|owned| owned.ready_at.is_some_and(|at| at <= now))
    }

    /// Returns the owner of the idempotency key; `None` if the roster is empty.
    #[must_use]
    pub fn key_owner(&self, key: &IdempotencyKey) -> Option<KeyOwner> {
        self.owner_of_hash(xxh3_64(key.as_str().as_bytes()))
    }

    /// Returns the owner of the fingerprint; `None` if the roster is empty.
    #[must_use]
    pub fn fingerprint_owner(&self, fingerprint: Fingerprint) -> Option<KeyOwner> {
        self.owner_of_hash(fingerprint.0)
    }

    /// Returns the owner of any other named thing, for instance a rollout; `None` if the roster is
    /// empty.
    #[must_use]
    pub fn name_owner(&self, name: &str) -> Option<KeyOwner> {
        self.owner_of_hash(xxh3_64(name.as_bytes()))
    }

    fn owner_of_hash(&self, hash: u64) -> Option<KeyOwner> {
        let owner = rendezvous_owner(hash, self.roster.iter().copied())?;
        let owned_since = (owner == self.instance).then(|| {
            let epochs = self.epochs.iter().rev();
            let held = epochs.take_while(|epoch| {
                rendezvous_owner(hash, epoch.listed.iter().copied()) == Some(self.instance)
            });
            held.last().map(|epoch| epoch.applied_at)
        });
        let owned_since = owned_since.flatten();
        let ready_at = owned_since.map(|since| since + self.handover_wait);
        Some(KeyOwner {
            owner,
            owned_since,
            ready_at,
        })
    }
}

/// Returns the instance with the highest weight for the hash (rendezvous hashing).
pub(crate) fn rendezvous_owner<I>(hash: u64, instances: I) -> Option<InstanceId>
where
    I: Iterator<Item = InstanceId>,
{
    instances.max_by_key(|instance| {
        let weight = xxh3_64_with_seed(&instance.0.to_le_bytes(), hash);
        (weight, *instance)
    })
}
