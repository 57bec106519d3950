//! The control record: the value that all instances agree on by consensus.
//!
//! Operations are pure and return a new record whose generation is higher by one. The types derive
//! serde's traits directly, because the record is stored and sent in this form.

mod witness;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::state::id::FailureDomain;
use crate::state::id::Generation;
use crate::state::id::InstanceId;
use crate::state::id::OperationId;
use crate::state::id::Revision;
use crate::state::id::RolloutId;
use crate::state::id::ServiceName;
use crate::state::id::VersionName;
use crate::state::rollout::Stage;

/// The maximum number of witnesses.
pub const MAX_WITNESSES: usize = 15;

/// The number of operations kept in the record. A proposer that got no answer reads the record to
/// find out whether its operation was applied.
pub const MAX_OPERATIONS: usize = 64;

/// The number of departed members kept in the record. An instance that skips generations uses them
/// to find out which instances may have owned a leaf in between.
pub const MAX_DEPARTURES: usize = 64;

/// Identifies one version of the operators' file, and its body in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FileRef {
    /// The number of files accepted so far, this one included.
    pub revision: Revision,
    /// Digest of the text. It is part of the body's key in the store, because concurrent operators
    /// may write different bodies for the same revision.
    pub digest: u64,
}

impl FileRef {
    /// Returns the reference of the text at the revision.
    #[must_use]
    pub fn new(revision: Revision, text: &str) -> Self {
        let digest = xxh3_64(text.as_bytes());
        Self { revision, digest }
    }

    /// Returns whether the digest is that of `text`.
    #[must_use]
    pub fn matches(&self, text: &str) -> bool {
        xxh3_64(text.as_bytes()) == self.digest
    }
}

/// An instance in the roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The run of the daemon process.
    pub instance: InstanceId,
    /// Where it receives control messages of other instances.
    pub address: SocketAddr,
    /// Where it receives leaf calls of other instances.
    pub traffic_address: SocketAddr,
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// The first generation whose roster lists it.
    pub joined: Generation,
    /// Whether it is a witness: changes of the record need promises from a majority of witnesses.
    pub witness: bool,
}

/// An instance that was in the roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// The run of the daemon process. No later process has this id.
    pub instance: InstanceId,
    /// The failure domain that it ran in.
    pub failure_domain: FailureDomain,
    /// The first generation whose roster does not list it.
    pub left: Generation,
}

/// A digest of the effect of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OutcomeDigest(pub u64);

/// An operation that took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// The operation.
    pub operation: OperationId,
    /// The generation that it produced.
    pub generation: Generation,
    /// A digest of its effect.
    pub outcome: OutcomeDigest,
}

/// The control record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Rises by one with each change.
    pub generation: Generation,
    /// The operators' file in force; `None` before the first was accepted.
    pub file: Option<FileRef>,
    /// All instances, by ascending id. The position is the instance's rank.
    pub roster: Vec<Member>,
    /// The members that left last, oldest first; at most [`MAX_DEPARTURES`].
    pub departures: Vec<Departure>,
    /// `departures` is complete for all generations after this one.
    pub departures_after: Generation,
    /// The stage of each rollout. Retired rollouts have no entry.
    pub rollouts: BTreeMap<RolloutId, Stage>,
    /// Versions that get no traffic. Entries are never removed.
    pub revocations: BTreeSet<(ServiceName, VersionName)>,
    /// The last operations, oldest first; at most [`MAX_OPERATIONS`].
    pub operations: Vec<Applied>,
}

/// An instance to add to the roster. The record assigns `joined` and `witness`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// The run of the daemon process.
    pub instance: InstanceId,
    /// Where it receives control messages of other instances.
    pub address: SocketAddr,
    /// Where it receives leaf calls of other instances.
    pub traffic_address: SocketAddr,
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomain,
}

impl Record {
    /// Returns the record before the first change, at generation 0. It is never stored.
    #[must_use]
    pub fn empty() -> Self {
        Self {
            generation: Generation(0),
            file: None,
            roster: Vec::new(),
            departures: Vec::new(),
            departures_after: Generation(0),
            rollouts: BTreeMap::new(),
            revocations: BTreeSet::new(),
            operations: Vec::new(),
        }
    }

    /// Returns the record with a new file, at the next revision.
    #[must_use]
    pub fn with_file(&self, operation: OperationId, text: &str) -> Self {
        let revision = self.file.map_or(0, |file| file.revision.0) + 1;
        let file = FileRef::new(Revision(revision), text);
        let mut next = self.next(operation, OutcomeDigest(file.digest));
        next.file = Some(file);
        next
    }

    /// Returns the record with members added and removed. Adding a member that is already listed,
    /// or removing one that is not, changes only the generation and the list of operations. An
    /// added member replaces members with the same address, because their process must have ended.
    #[must_use]
    pub fn with_roster_change(
        &self,
        operation: OperationId,
        added: &[Candidate],
        removed: &BTreeSet<InstanceId>,
    ) -> Self {
        let outcome = OutcomeDigest(added.len() as u64 * 1000 + removed.len() as u64);
        let mut next = self.next(operation, outcome);
        let added: Vec<&Candidate> = added
            .iter()
            .filter(|candidate| self.member(candidate.instance).is_none())
            .collect();
        let leaves = |member: &Member| {
            removed.contains(&member.instance)
                || added.iter().any(|new| new.address == member.address)
        };
        let (left, stayed): (Vec<_>, Vec<_>) = self.roster.iter().cloned().partition(leaves);
        next.roster = stayed;
        next.roster.extend(added.iter().map(|candidate| Member {
            instance: candidate.instance,
            address: candidate.address,
            traffic_address: candidate.traffic_address,
            failure_domain: candidate.failure_domain.clone(),
            joined: next.generation,
            witness: false,
        }));
        next.roster.sort_by_key(|member| member.instance);
        next.add_departures(left);
        witness::select(&mut next.roster);
        next
    }

    /// Returns the record with the rollout at the stage. Retiring a rollout removes its entry.
    #[must_use]
    pub fn with_rollout_stage(
        &self,
        operation: OperationId,
        rollout: RolloutId,
        stage: Stage,
    ) -> Self {
        let outcome = OutcomeDigest(xxh3_64(rollout.as_str().as_bytes()));
        let mut next = self.next(operation, outcome);
        if stage == Stage::Retired {
            next.rollouts.remove(&rollout);
        } else {
            next.rollouts.insert(rollout, stage);
        }
        next
    }

    /// Returns the record with the version revoked, so that it gets no traffic.
    #[must_use]
    pub fn with_revocation(
        &self,
        operation: OperationId,
        service: ServiceName,
        version: VersionName,
    ) -> Self {
        let outcome = OutcomeDigest(xxh3_64(version.as_str().as_bytes()));
        let mut next = self.next(operation, outcome);
        next.revocations.insert((service, version));
        next
    }

    fn next(&self, operation: OperationId, outcome: OutcomeDigest) -> Self {
        let mut next = self.clone();
        next.generation = Generation(self.generation.0 + 1);
        next.operations.push(Applied {
            operation,
            generation: next.generation,
            outcome,
        });
        let surplus = next.operations.len().saturating_sub(MAX_OPERATIONS);
        next.operations.drain(..surplus);
        next
    }

    fn add_departures(&mut self, left: Vec<Member>) {
        let generation = self.generation;
        self.departures
            .extend(left.into_iter().map(|member| Departure {
                instance: member.instance,
                failure_domain: member.failure_domain,
                left: generation,
            }));
        let surplus = self.departures.len().saturating_sub(MAX_DEPARTURES);
        if let Some(last) = self.departures.drain(..surplus).next_back() {
            self.departures_after = last.left;
        }
    }

    /// Returns the instance's entry in the roster.
    #[must_use]
    pub fn member(&self, instance: InstanceId) -> Option<&Member> {
        let found = self
            .roster
            .binary_search_by_key(&instance, |member| member.instance);
        found.ok().map(|position| &self.roster[position])
    }

    /// Iterates over the witnesses, by rank.
    pub fn witnesses(&self) -> impl Iterator<Item = &Member> {
        self.roster.iter().filter(|member| member.witness)
    }

    /// Returns the number of witnesses that form a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.witnesses().count() / 2 + 1
    }

    /// Returns the operation's entry. `None` if it was not applied, or is not among the last
    /// [`MAX_OPERATIONS`].
    #[must_use]
    pub fn applied(&self, operation: OperationId) -> Option<&Applied> {
        let mut operations = self.operations.iter();
        operations.find(|applied| applied.operation == operation)
    }

    /// Returns every instance that was listed at any generation in `first..=last`. The result may
    /// also hold instances that joined after `last` and have left since. Returns `None` if the
    /// record no longer lists all departures after `first`.
    #[must_use]
    pub fn listed_between(
        &self,
        first: Generation,
        last: Generation,
    ) -> Option<Vec<(InstanceId, &FailureDomain)>> {
        if first < self.departures_after {
            return None;
        }
        let staying = self.roster.iter().filter(|member| member.joined <= last);
        let staying = staying.map(|member| (member.instance, &member.failure_domain));
        let left = self.departures.iter().filter(|left| left.left > first);
        let left = left.map(|left| (left.instance, &left.failure_domain));
        Some(staying.chain(left).collect())
    }
}
