//! Rendezvous assignment of leafs, keys and fingerprints, and the handover between owners.
//!
//! Readiness relies on one invariant: if an instance is ready for a leaf at a generation, no other
//! instance acts on that leaf at an older generation. The invariant can hold for three reasons:
//!
//! * The handover wait has passed. The currency rule then stops the other instances.
//! * This instance was ready in the previous table, and has been the only possible owner since.
//! * A previous owner has released the leaf. That owner was ready itself and was the only possible
//!   owner up to the generation that it released; since then this instance was the only possible
//!   owner. A release therefore also counts if the receiver skipped the released generation.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

pub use crate::state::assignment::Assignment;
use crate::state::assignment::Epoch;
pub use crate::state::assignment::KeyOwner;
pub use crate::state::assignment::Table;
use crate::state::assignment::rendezvous_owner;
use crate::state::file::File;
use crate::state::file::Leaf;
use crate::state::id::FailureDomain;
use crate::state::id::Generation;
use crate::state::id::InstanceId;
use crate::state::id::LeafId;
use crate::state::id::Revision;
use crate::state::record::Record;

/// Limit on the epochs kept to determine since when an instance owns a key. Without older epochs,
/// the ownership of a key only appears to have begun later.
const MAX_EPOCHS: usize = 128;

/// States that the sender no longer forwards calls to the leafs at any generation below
/// `generation`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The instance that releases the leafs.
    pub instance: InstanceId,
    /// The generation at which the sender was ready for the leafs.
    pub held_at: Generation,
    /// The file revision at that generation.
    pub revision: Revision,
    /// The newer generation that the sender has applied since.
    pub generation: Generation,
    /// The leafs that the sender releases to the receiver.
    pub leafs: Vec<LeafId>,
}

/// Rules for the transfer of ownership from one instance to the next.
#[derive(Clone, Copy, Debug)]
pub struct HandoverRules {
    /// How long a new owner waits before it is ready if no release arrives.
    pub wait: Duration,
    /// Whether a release counts only if its sender was the only possible owner before. Disabled
    /// only by mutation tests.
    #[doc(hidden)]
    pub check_releases: bool,
    /// Whether readiness is kept only if no other instance can have been the owner in between.
    /// Disabled only by mutation tests.
    #[doc(hidden)]
    pub check_continuity: bool,
}

type Listed<'a> = Vec<(InstanceId, &'a FailureDomain)>;

/// Listed instances by failure domain. A leaf is assigned to an instance in its own domain, or to
/// any instance if its domain has none.
struct Candidates<'a> {
    all: Vec<InstanceId>,
    domains: HashMap<&'a FailureDomain, Vec<InstanceId>>,
}

impl<'a> Candidates<'a> {
    fn new(listed: &[(InstanceId, &'a FailureDomain)]) -> Self {
        let mut domains: HashMap<_, Vec<_>> = HashMap::new();
        for (instance, domain) in listed {
            domains.entry(*domain).or_default().push(*instance);
        }
        let all = listed.iter().map(|(instance, _)| *instance).collect();
        Self { all, domains }
    }

    /// Returns the owner of the leaf: an instance in its failure domain, or any if there is none.
    fn owner(&self, leaf: &Leaf) -> Option<InstanceId> {
        let near = self.domains.get(&leaf.failure_domain);
        let near = near.unwrap_or(&self.all);
        rendezvous_owner(leaf_hash(leaf.id), near.iter().copied())
    }

    /// Returns the owner of a leaf that may have moved to another failure domain within a range of
    /// generations: `None` unless the owner is the same regardless of the domain.
    fn owner_in_any_domain(&self, leaf: &Leaf) -> Option<InstanceId> {
        let any = rendezvous_owner(leaf_hash(leaf.id), self.all.iter().copied());
        self.owner(leaf).filter(|owner| Some(*owner) == any)
    }
}

fn leaf_hash(leaf: LeafId) -> u64 {
    xxh3_64(leaf.to_string().as_bytes())
}

/// Builds the table of `instance` for a record that it applies at `now`. Readiness is inherited
/// from the previous table where the invariant allows it.
#[must_use]
pub fn build(
    instance: InstanceId,
    record: &Record,
    file: Option<&File>,
    previous: &Table,
    handover: HandoverRules,
    now: Instant,
) -> Table {
    let roster: Listed = record
        .roster
        .iter()
        .map(|member| (member.instance, &member.failure_domain))
        .collect();
    let between = possible_owners_between(instance, record, previous);
    let candidates = Candidates::new(&roster);
    let sole_candidates = between.as_deref().map(Candidates::new);
    let revision = record.file.map_or(Revision(0), |file| file.revision);
    let mut leafs = HashMap::new();
    for (_, _, leaf) in file.iter().flat_map(|file| file.leafs()) {
        let Some(owner) = candidates.owner(leaf) else {
            continue;
        };
        let before = previous.leafs.get(&leaf.id);
        let domain_hash = xxh3_64(leaf.failure_domain.as_str().as_bytes());
        // If the file has changed at most once since the previous table and the leaf's domain is
        // the same in both, the leaf was in no other domain in between.
        let domain_kept = revision.0 <= previous.revision.0 + 1
            && before.is_some_and(|before| before.domain_hash == domain_hash);
        let inherited = before.and_then(|before| before.ready_at).filter(|_| {
            let sole = sole_candidates.as_ref().and_then(|listed| {
                if domain_kept {
                    listed.owner(leaf)
                } else {
                    listed.owner_in_any_domain(leaf)
                }
            });
            sole == Some(instance) || !handover.check_continuity
        });
        let ready_at = inherited.unwrap_or(now + handover.wait);
        let assignment = Assignment {
            owner,
            previous: before
                .map(|before| before.owner)
                .filter(|old| *old != owner),
            ready_at: (owner == instance).then_some(ready_at),
            domain_hash,
        };
        leafs.insert(leaf.id, assignment);
    }
    let ids = |listed: &Listed| listed.iter().map(|(id, _)| *id).collect::<Arc<[_]>>();
    let roster = ids(&roster);
    let mut epochs = if between.is_some() {
        previous.epochs.clone()
    } else {
        Vec::new()
    };
    epochs.extend(between.as_ref().map(|listed| Epoch {
        applied_at: now,
        listed: ids(listed),
    }));
    epochs.push(Epoch {
        applied_at: now,
        listed: roster.clone(),
    });
    let surplus = epochs.len().saturating_sub(MAX_EPOCHS);
    epochs.drain(..surplus);
    Table {
        instance,
        generation: record.generation,
        revision,
        handover_wait: handover.wait,
        leafs,
        epochs,
        roster,
    }
}

/// Returns all instances that may have been owners between the previous table and this record, or
/// `None` if this instance was not listed continuously.
fn possible_owners_between<'a>(
    instance: InstanceId,
    record: &'a Record,
    previous: &Table,
) -> Option<Listed<'a>> {
    let member = record.member(instance)?;
    if previous.instance != instance || member.joined > previous.generation {
        return None;
    }
    record.listed_between(previous.generation, record.generation)
}

/// Returns the releases of an instance that has applied `new`: for each new owner, the leafs for
/// which this instance was ready under `old`.
#[must_use]
pub fn releases(old: &Table, new: &Table, now: Instant) -> BTreeMap<InstanceId, Release> {
    let mut releases: BTreeMap<InstanceId, Release> = BTreeMap::new();
    for (leaf, assignment) in &old.leafs {
        let Some(next) = new.leafs.get(leaf) else {
            continue;
        };
        let ready = assignment.ready_at.is_some_and(|at| at <= now);
        if !ready || next.owner == old.instance {
            continue;
        }
        let release = releases.entry(next.owner).or_insert_with(|| Release {
            instance: old.instance,
            held_at: old.generation,
            revision: old.revision,
            generation: new.generation,
            leafs: Vec::new(),
        });
        release.leafs.push(*leaf);
    }
    releases
}

/// Returns the table with the released leafs marked as ready, or `None` if the release changes
/// nothing.
#[must_use]
pub fn with_release(
    table: &Table,
    record: &Record,
    file: &File,
    release: &Release,
    handover: HandoverRules,
    now: Instant,
) -> Option<Table> {
    if release.revision != table.revision {
        return None;
    }
    let last = Generation(table.generation.0.checked_sub(1)?);
    // The release may be for an earlier or a later generation than the one applied here.
    let released = Generation(release.generation.0.checked_sub(1)?).min(last);
    if release.held_at > released || !listed_until(record, release.instance, released) {
        return None;
    }
    let listed = Candidates::new(&record.listed_between(release.held_at, released)?);
    let since = possible_owners_since(table.instance, record, released, last)?;
    let since = since.as_deref().map(Candidates::new);
    let mut next = None;
    for (_, _, leaf) in file.leafs() {
        let waiting = table.leafs.get(&leaf.id);
        let waiting = waiting.is_some_and(|leaf| leaf.ready_at.is_some_and(|at| at > now));
        let sole = listed.owner(leaf) == Some(release.instance)
            && since
                .as_ref()
                .is_none_or(|since| since.owner(leaf) == Some(table.instance));
        if waiting && release.leafs.contains(&leaf.id) && (sole || !handover.check_releases) {
            let next = next.get_or_insert_with(|| table.clone());
            if let Some(assignment) = next.leafs.get_mut(&leaf.id) {
                assignment.ready_at = Some(now);
            }
        }
    }
    next
}

/// Returns all instances that may have been owners after the generation `released` and up to
/// `last`: `Some(None)` if there is no generation in between, `None` if this instance was not
/// listed continuously or the record's history does not reach back to `released`.
#[expect(clippy::option_option, reason = "nobody and not known are different")]
fn possible_owners_since(
    instance: InstanceId,
    record: &Record,
    released: Generation,
    last: Generation,
) -> Option<Option<Listed<'_>>> {
    if released >= last {
        return Some(None);
    }
    let first = Generation(released.0 + 1);
    let listed_continuously = record.member(instance)?.joined <= first;
    let listed = record.listed_between(first, last)?;
    listed_continuously.then_some(Some(listed))
}

/// Whether the roster listed the instance up to and including the generation.
fn listed_until(record: &Record, instance: InstanceId, last: Generation) -> bool {
    let staying = record.member(instance);
    let left = record.departures.iter();
    let mut left = left.filter(|departure| departure.instance == instance);
    staying.is_some_and(|member| member.joined <= last)
        || left.any(|departure| departure.left > last)
}
