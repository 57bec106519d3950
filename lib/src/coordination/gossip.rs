//! Anti-entropy between two instances: digests, and the facts that one of them lacks.
//!
//! Facts are versioned by their origin. A digest covers a window of origins and states for each one
//! the version up to which the sender has all facts. The answer contains the missing facts in
//! version order. New facts are also pushed unsolicited in a few messages, so that they spread
//! before the window reaches their origin.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::state::id::Fingerprint;
use crate::state::id::InstanceId;
use crate::state::id::LeafId;
use crate::state::id::PartitionId;
use crate::state::id::ServerIncarnation;
use crate::state::id::ServiceName;
use crate::state::id::SnapshotId;
use crate::state::id::VersionName;
use crate::state::view::Temperature;

/// Number of origins that one digest covers. At 16 bytes each, a digest takes about 1 KiB.
const DIGEST_ORIGINS: usize = 64;

/// Number of messages in which a new fact is pushed unsolicited.
const UNSOLICITED_SENDS: u8 = 6;

/// Maximum size of an encoded fact, in bytes. Far smaller than the budget of an exchange, so that
/// any fact fits into one.
pub const MAX_FACT_BYTES: usize = 4096;

/// The error for an observed fact that exceeds [`MAX_FACT_BYTES`].
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("a fact of {bytes} bytes is too large: the limit is {MAX_FACT_BYTES}")]
pub struct FactTooLarge {
    /// Size of the encoded fact, in bytes.
    pub bytes: usize,
}

/// How long a poison or evidence fact is kept unless its origin renews it.
const FACT_TTL: Duration = Duration::from_mins(10);

/// How long a leaf status is kept unless its origin renews it, which happens after half of this
/// time. With 9,100 leafs, a TTL of one minute would cause 300 facts per second, each sent several
/// times to every instance. The status of a later owner takes precedence immediately.
const STATUS_TTL: Duration = Duration::from_mins(10);

/// How long a drain signal is kept unless its origin renews it.
const DRAIN_TTL: Duration = Duration::from_mins(1);

/// How long a suspicion is forwarded unless its origin renews it.
const SUSPICION_TTL: Duration = Duration::from_secs(10);

/// An observation of one instance that gossip spreads to all instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fact {
    /// The leaf answered that it is draining.
    Drain {
        /// The leaf.
        leaf: LeafId,
    },
    /// The version showed faults and must receive no more traffic. Never expires.
    Revocation {
        /// The service.
        service: ServiceName,
        /// Its version.
        version: VersionName,
    },
    /// Requests with the fingerprint crashed servers.
    Poison {
        /// The fingerprint.
        fingerprint: Fingerprint,
        /// Number of crashes that the origin has seen.
        crashes: u32,
    },
    /// The status of the leaf as last seen by its owner.
    LeafStatus {
        /// The leaf.
        leaf: LeafId,
        /// Identifies the run of the backend server process.
        incarnation: ServerIncarnation,
        /// The snapshots it holds.
        holds: Vec<SnapshotId>,
        /// The partition map it uses.
        partition: PartitionId,
        /// Whether it is cold.
        temperature: Temperature,
    },
    /// Cumulative counters of the origin for rollouts, in the rollout driver's encoding.
    Evidence {
        /// The origin of the counters.
        instance: InstanceId,
        /// The counters.
        bytes: Vec<u8>,
    },
    /// The origin received no answer from the instance. The lowest ranks then probe the instance
    /// next: they propose removals first, but in a large fleet their round-robin order would reach
    /// it late.
    Suspicion {
        /// The instance.
        instance: InstanceId,
    },
}

/// The subject of a fact. A newer fact with the same origin and subject replaces the older one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// See [`Fact::Drain`].
    Drain(LeafId),
    /// See [`Fact::Revocation`].
    Revocation(ServiceName, VersionName),
    /// See [`Fact::Poison`].
    Poison(Fingerprint),
    /// See [`Fact::LeafStatus`].
    LeafStatus(LeafId),
    /// See [`Fact::Evidence`].
    Evidence(InstanceId),
    /// See [`Fact::Suspicion`].
    Suspicion(InstanceId),
}

impl Fact {
    /// Returns the subject, by which a newer fact of the same origin replaces this one.
    #[must_use]
    pub fn subject(&self) -> Subject {
        match self {
            Self::Drain { leaf } => Subject::Drain(*leaf),
            Self::Revocation { service, version } => {
                Subject::Revocation(service.clone(), version.clone())
            }
            Self::Poison { fingerprint, .. } => Subject::Poison(*fingerprint),
            Self::LeafStatus { leaf, .. } => Subject::LeafStatus(*leaf),
            Self::Evidence { instance, .. } => Subject::Evidence(*instance),
            Self::Suspicion { instance } => Subject::Suspicion(*instance),
        }
    }

    fn ttl(&self) -> Option<Duration> {
        match self {
            Self::Revocation { .. } => None,
            Self::Poison { .. } | Self::Evidence { .. } => Some(FACT_TTL),
            Self::LeafStatus { .. } => Some(STATUS_TTL),
            Self::Drain { .. } => Some(DRAIN_TTL),
            Self::Suspicion { .. } => Some(SUSPICION_TTL),
        }
    }
}

/// A fact as sent between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The instance that observed the fact.
    pub origin: InstanceId,
    /// Version of the fact, increased by the origin with each observation.
    pub version: u64,
    /// Time since the observation, in milliseconds. Saturates at `u32::MAX`.
    pub age_ms: u32,
    /// The fact.
    pub fact: Fact,
}

/// The versions that the sender holds for a window of origins.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The first origin of the window.
    pub first: InstanceId,
    /// The last origin of the window.
    pub last: InstanceId,
    /// For each origin, the version up to which the sender has all facts; 0 for origins in the
    /// window that are not listed.
    pub complete: Vec<(InstanceId, u64)>,
}

/// Facts that the receiver lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The facts, in version order per origin, followed by unsolicited ones.
    pub items: Vec<Item>,
    /// The ranges of versions that the delta covers completely, by origin.
    pub complete: Vec<Complete>,
}

/// States that a delta contains all unexpired facts of an origin in a range of versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Complete {
    /// The origin of the facts.
    pub origin: InstanceId,
    /// The version up to which the receiver's digest reported all facts. A later process at the
    /// receiver's address may receive the delta without having those facts; it must ignore the
    /// range.
    pub after: u64,
    /// The version up to which the receiver has all facts after merging the delta.
    pub upto: u64,
}

#[derive(Clone, Debug)]
struct HeldFact {
    version: u64,
    fact: Fact,
    observed: Instant,
    unsolicited_left: u8,
}

#[derive(Clone, Debug, Default)]
struct Origin {
    complete: u64,
    facts: BTreeMap<Subject, HeldFact>,
}

/// The facts that an instance holds, its own and those of others, by origin.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    origins: BTreeMap<InstanceId, Origin>,
    cursor: Option<InstanceId>,
}

impl Facts {
    /// Records an observation made by this instance. Returns whether it differs from the previous
    /// fact about the same subject; a renewal does not.
    ///
    /// # Errors
    ///
    /// Rejects a fact that exceeds [`MAX_FACT_BYTES`]. Facts are sent in version order, so a fact
    /// that fits into no message would block all later facts of this instance.
    pub fn observe(
        &mut self,
        me: InstanceId,
        fact: Fact,
        now: Instant,
    ) -> Result<bool, FactTooLarge> {
        let bytes = postcard::to_stdvec(&fact).map_or(usize::MAX, |bytes| bytes.len());
        if bytes > MAX_FACT_BYTES {
            return Err(FactTooLarge { bytes });
        }
        let repeated = |held: &HeldFact| {
            let ttl = held.fact.ttl().map(|ttl| ttl / 2);
            let fresh = ttl.is_none_or(|ttl| now < held.observed + ttl);
            held.fact == fact && fresh
        };
        let subject = fact.subject();
        let origin = self.origins.entry(me).or_default();
        let known = origin.facts.get(&subject);
        if known.is_some_and(repeated) {
            return Ok(false);
        }
        let changed = known.is_none_or(|held| held.fact != fact);
        origin.complete += 1;
        let held = HeldFact {
            version: origin.complete,
            fact,
            observed: now,
            unsolicited_left: UNSOLICITED_SENDS,
        };
        origin.facts.insert(subject, held);
        Ok(changed)
    }

    /// Merges facts from a peer. Returns whether any of them differs from the previous fact of its
    /// origin and subject.
    pub fn merge(&mut self, me: InstanceId, delta: &Delta, now: Instant) -> bool {
        let mut changed = false;
        for item in delta.items.iter().filter(|item| item.origin != me) {
            let age = Duration::from_millis(item.age_ms.into());
            let observed = now.checked_sub(age).unwrap_or(now);
            let expired = item.fact.ttl().is_some_and(|ttl| observed + ttl <= now);
            let origin = self.origins.entry(item.origin).or_default();
            let subject = item.fact.subject();
            let known = origin.facts.get(&subject);
            if expired || known.is_some_and(|held| held.version >= item.version) {
                continue;
            }
            // A renewal changes only the age, so it must not cause a new view.
            changed |= known.is_none_or(|held| held.fact != item.fact);
            let held = HeldFact {
                version: item.version,
                fact: item.fact.clone(),
                observed,
                unsolicited_left: UNSOLICITED_SENDS,
            };
            origin.facts.insert(subject, held);
        }
        for complete in delta.complete.iter().filter(|one| one.origin != me) {
            let origin = self.origins.entry(complete.origin).or_default();
            if origin.complete >= complete.after {
                origin.complete = origin.complete.max(complete.upto);
            }
        }
        changed
    }

    /// Drops expired facts. Returns whether there were any.
    pub fn expire(&mut self, me: InstanceId, now: Instant) -> bool {
        let mut dropped = false;
        for origin in self.origins.values_mut() {
            origin.facts.retain(|_, held| {
                let keep = held.fact.ttl().is_none_or(|ttl| now < held.observed + ttl);
                dropped |= !keep;
                keep
            });
        }
        // Forget an origin whose last fact has expired, because its process may have terminated.
        self.origins
            .retain(|instance, origin| *instance == me || !origin.facts.is_empty());
        dropped
    }

    /// Returns the digest of the next window of origins, and moves the window.
    pub fn digest(&mut self) -> Digest {
        let after = self.cursor.map_or(0, |cursor| cursor.0.wrapping_add(1));
        let window = self.origins.range(InstanceId(after)..);
        let complete: Vec<_> = window
            .take(DIGEST_ORIGINS)
            .map(|(instance, origin)| (*instance, origin.complete))
            .collect();
        let full = complete.len() == DIGEST_ORIGINS;
        let last = complete.last().map(|(instance, _)| *instance);
        let last = last.filter(|_| full);
        self.cursor = last;
        Digest {
            first: InstanceId(after),
            last: last.unwrap_or(InstanceId(u64::MAX)),
            complete,
        }
    }

    /// Collects the facts that the sender of the digest lacks, up to about `budget` bytes. Any
    /// remaining space is filled with unsolicited facts.
    pub fn delta(&mut self, digest: &Digest, budget: usize, now: Instant) -> Delta {
        let mut delta = Delta::default();
        let mut left = budget;
        let known: BTreeMap<_, _> = digest.complete.iter().copied().collect();
        if digest.first > digest.last {
            return delta;
        }
        for (instance, origin) in self.origins.range(digest.first..=digest.last) {
            let known = known.get(instance).copied().unwrap_or(0);
            if origin.complete <= known {
                continue;
            }
            let mut missing: Vec<_> = origin.facts.values().collect();
            missing.retain(|held| held.version > known && held.version <= origin.complete);
            missing.sort_unstable_by_key(|held| held.version);
            let mut complete = origin.complete;
            for held in missing {
                let item = item(*instance, held, now);
                let size = size(&item);
                if size > left {
                    complete = held.version - 1;
                    break;
                }
                left -= size;
                delta.items.push(item);
            }
            if complete > known {
                delta.complete.push(Complete {
                    origin: *instance,
                    after: known,
                    upto: complete,
                });
            }
        }
        self.add_unsolicited(&mut delta, left, now);
        delta
    }

    /// Collects new facts to push unsolicited, up to about `budget` bytes.
    pub fn unsolicited(&mut self, budget: usize, now: Instant) -> Delta {
        let mut delta = Delta::default();
        self.add_unsolicited(&mut delta, budget, now);
        delta
    }

    fn add_unsolicited(&mut self, delta: &mut Delta, mut left: usize, now: Instant) {
        for (instance, origin) in &mut self.origins {
            for held in origin
                .facts
                .values_mut()
                .filter(|held| held.unsolicited_left > 0)
            {
                let item = item(*instance, held, now);
                let size = size(&item);
                if size > left {
                    return;
                }
                held.unsolicited_left -= 1;
                if !delta.items.contains(&item) {
                    left -= size;
                    delta.items.push(item);
                }
            }
        }
    }

    /// Iterates over all facts with their origins.
    pub fn iter(&self) -> impl Iterator<Item = (InstanceId, &Fact)> {
        self.origins.iter().flat_map(|(instance, origin)| {
            let facts = origin.facts.values();
            facts.map(move |held| (*instance, &held.fact))
        })
    }
}

fn item(origin: InstanceId, held: &HeldFact, now: Instant) -> Item {
    let age = now.saturating_duration_since(held.observed);
    Item {
        origin,
        version: held.version,
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        fact: held.fact.clone(),
    }
}

fn size(item: &Item) -> usize {
    // An item that cannot be encoded counts as too large, so it is never sent.
    postcard::to_stdvec(item).map_or(usize::MAX, |bytes| bytes.len())
}
