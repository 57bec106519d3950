//! Pins the snapshot and partition map of a query when it is admitted.
//!
//! The pin is the newest snapshot that is held by at least one usable replica of every shard in
//! scope. If there is none, it is the snapshot that covers the most shards, and among equals the
//! newest.

use thiserror::Error;

use crate::coordination::replica::Table;
use crate::state::id::PartitionId;
use crate::state::id::ShardId;
use crate::state::id::SnapshotId;

/// The snapshot and partition map that all answers of one query come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Pin {
    /// The index snapshot.
    pub snapshot: SnapshotId,
    /// The partition map.
    pub partition: PartitionId,
}

/// A pin, and how much of the scope it can cover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The pin that covers the most shards in scope.
    pub pin: Pin,
    /// Shards in scope with a usable replica that holds the pin.
    pub covered: u32,
    /// Shards in scope, with repetitions.
    pub in_scope: u32,
}

/// Why no pin could be chosen.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Error {
    /// The scope names no shard.
    #[error("the scope has no shard")]
    EmptyScope,
    /// No usable replica of any shard in scope is known to hold a snapshot of the partition map.
    #[error("no usable replica is known to hold a snapshot of partition map {0}")]
    NothingHeld(PartitionId),
}

/// Chooses the pin for a scope from the snapshots that the replicas are known to hold. Excluded
/// replicas do not count.
///
/// Callers pass a scope without repetition, because a repeated shard counts once per mention. The
/// run time is proportional to shards × replicas × snapshots held, so callers keep the result until
/// the snapshots held in the table change.
///
/// # Errors
///
/// Fails if the scope is empty, or if no usable replica is known to hold a snapshot of the
/// partition map.
pub fn choose(table: &Table, partition: PartitionId, scope: &[ShardId]) -> Result<Choice, Error> {
    if scope.is_empty() {
        return Err(Error::EmptyScope);
    }
    let mut candidates = Vec::new();
    for &shard in scope {
        candidates.extend(held_by_shard(table, partition, shard));
    }
    candidates.sort_unstable();
    candidates.dedup();
    let in_scope = u32::try_from(scope.len()).unwrap_or(u32::MAX);
    let mut best: Option<Choice> = None;
    // Newest first, so that the newer of two snapshots with equal coverage is chosen.
    for &snapshot in candidates.iter().rev() {
        let pin = Pin {
            snapshot,
            partition,
        };
        let covered = scope.iter().filter(|shard| is_covered(table, pin, **shard));
        let covered = u32::try_from(covered.count()).unwrap_or(u32::MAX);
        if best.is_none_or(|best| covered > best.covered) {
            best = Some(Choice {
                pin,
                covered,
                in_scope,
            });
        }
        if covered == in_scope {
            break;
        }
    }
    best.ok_or(Error::NothingHeld(partition))
}

fn held_by_shard(
    table: &Table,
    partition: PartitionId,
    shard: ShardId,
) -> impl Iterator<Item = SnapshotId> {
    let replicas = table.replicas(shard).iter();
    let usable = replicas.filter(|leaf| table.is_usable(**leaf));
    usable.flat_map(move |leaf| table.held(*leaf, partition))
}

fn is_covered(table: &Table, pin: Pin, shard: ShardId) -> bool {
    let mut replicas = table.replicas(shard).iter();
    replicas.any(|leaf| table.is_usable(*leaf) && table.holds(*leaf, pin))
}
