//! Anti-entropy between two instances: digests, and the facts that one of them lacks.
//!
//! Facts are versioned by their origin. A digest covers a window of origins and states up to which
//! version the sender has all facts of each; the answer fills the gaps in order. New facts are
//! also sent unasked for a few exchanges, so that they spread faster than the window rotates.

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

/// Origins that one digest covers. At 16 bytes each, a digest stays near 1 KiB.
const DIGEST_ORIGINS: usize = 64;

/// Exchanges in which a new fact is sent unasked.
const UNASKED_SENDS: u8 = 6;

/// The largest fact, in bytes; small against the budget of an exchange.
pub const MAX_FACT_BYTES: usize = 4096;

/// Is returned for a fact that is too large to send.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("a fact of {bytes} bytes is too large: the limit is {MAX_FACT_BYTES}")]
pub struct FactTooLarge {
    /// Its size.
    pub bytes: usize,
}

/// How long a fact that nobody renews stays.
const FACT_TTL: Duration = Duration::from_mins(10);

/// How long an unrenewed leaf status stays. The statuses of 9,100 leafs are renewed after half of
/// it; one minute would make that 300 facts per second, each sent several times to everyone. A
/// later owner's status replaces it at once.
const STATUS_TTL: Duration = Duration::from_mins(10);

/// How long an unrenewed drain signal stays.
const SIGNAL_TTL: Duration = Duration::from_mins(1);

/// How long a suspicion is passed on.
const SUSPICION_TTL: Duration = Duration::from_secs(10);

/// Something that an instance observed and that all should know.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fact {
    /// The leaf answered that it is draining.
    Drain {
        /// The leaf.
        leaf: LeafId,
    },
    /// The version showed faults and gets no more traffic. Never expires.
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
        /// Crashes seen by the origin.
        crashes: u32,
    },
    /// What the leaf's owner last saw of it.
    LeafStatus {
        /// The leaf.
        leaf: LeafId,
        /// The run of the backend server process.
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
    /// The origin got no answer from the instance. Makes the lowest ranks probe it, because they
    /// propose removals first and would come round to it late in a large fleet.
    Suspicion {
        /// The instance.
        instance: InstanceId,
    },
}

/// What a fact is about. A newer fact of the same origin about the same replaces the older one.
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
    /// Returns what the fact is about.
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
            Self::Drain { .. } => Some(SIGNAL_TTL),
            Self::Suspicion { .. } => Some(SUSPICION_TTL),
        }
    }
}

/// A fact on its way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Who observed it.
    pub origin: InstanceId,
    /// Counts the facts of the origin.
    pub version: u64,
    /// Time since the observation, in milliseconds.
    pub age_ms: u32,
    /// The fact.
    pub fact: Fact,
}

/// What the sender has of a window of origins.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The first origin of the window.
    pub first: InstanceId,
    /// The last origin of the window.
    pub last: InstanceId,
    /// The version up to which the sender has all facts; 0 for origins that are not listed.
    pub complete: Vec<(InstanceId, u64)>,
}

/// Facts that the receiver lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The facts.
    pub items: Vec<Item>,
    /// The versions that are here in full, by origin.
    pub complete: Vec<Complete>,
}

/// States that a delta holds all facts of an origin in a range of versions that are still in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Complete {
    /// The origin.
    pub origin: InstanceId,
    /// The version up to which the receiver had said that it has all facts. A delta may reach a
    /// later process at the receiver's address, which has not.
    pub after: u64,
    /// The version up to which the receiver has all facts after taking these.
    pub upto: u64,
}

#[derive(Clone, Debug)]
struct Held {
    version: u64,
    fact: Fact,
    observed: Instant,
    unasked: u8,
}

#[derive(Clone, Debug, Default)]
struct Origin {
    complete: u64,
    facts: BTreeMap<Subject, Held>,
}

/// All facts that an instance holds.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    origins: BTreeMap<InstanceId, Origin>,
    cursor: Option<InstanceId>,
}

impl Facts {
    /// Notes an observation of this instance. Tells whether it says anything new; a renewal does not.
    ///
    /// # Errors
    ///
    /// Rejects a fact that would not fit into an exchange, because no later fact of this instance
    /// would ever be sent.
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
        let repeated = |held: &Held| {
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
        let news = known.is_none_or(|held| held.fact != fact);
        origin.complete += 1;
        let held = Held {
            version: origin.complete,
            fact,
            observed: now,
            unasked: UNASKED_SENDS,
        };
        origin.facts.insert(subject, held);
        Ok(news)
    }

    /// Takes facts from a peer. Tells whether any says something new.
    pub fn merge(&mut self, me: InstanceId, delta: &Delta, now: Instant) -> bool {
        let mut news = false;
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
            // A renewal changes nothing but the age, and must not lead to a new view.
            news |= known.is_none_or(|held| held.fact != item.fact);
            let held = Held {
                version: item.version,
                fact: item.fact.clone(),
                observed,
                unasked: UNASKED_SENDS,
            };
            origin.facts.insert(subject, held);
        }
        for complete in delta.complete.iter().filter(|one| one.origin != me) {
            let origin = self.origins.entry(complete.origin).or_default();
            if origin.complete >= complete.after {
                origin.complete = origin.complete.max(complete.upto);
            }
        }
        news
    }

    /// Drops facts that have expired. Tells whether any was.
    pub fn expire(&mut self, me: InstanceId, now: Instant) -> bool {
        let mut dropped = false;
        for origin in self.origins.values_mut() {
            origin.facts.retain(|_, held| {
                let keep = held.fact.ttl().is_none_or(|ttl| now < held.observed + ttl);
                dropped |= !keep;
                keep
            });
        }
        // An origin that has ended leaves nothing behind once its last fact has expired.
        self.origins
            .retain(|instance, origin| *instance == me || !origin.facts.is_empty());
        dropped
    }

    /// Describes the next window of origins.
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

    /// Collects what the sender of the digest lacks, up to about `budget` bytes.
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
        self.add_unasked(&mut delta, left, now);
        delta
    }

    /// Collects new facts to send unasked.
    pub fn unsolicited(&mut self, budget: usize, now: Instant) -> Delta {
        let mut delta = Delta::default();
        self.add_unasked(&mut delta, budget, now);
        delta
    }

    fn add_unasked(&mut self, delta: &mut Delta, mut left: usize, now: Instant) {
        for (instance, origin) in &mut self.origins {
            for held in origin.facts.values_mut().filter(|held| held.unasked > 0) {
                let item = item(*instance, held, now);
                let size = size(&item);
                if size > left {
                    return;
                }
                held.unasked -= 1;
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

fn item(origin: InstanceId, held: &Held, now: Instant) -> Item {
    let age = now.saturating_duration_since(held.observed);
    Item {
        origin,
        version: held.version,
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        fact: held.fact.clone(),
    }
}

fn size(item: &Item) -> usize {
    // An item that cannot be encoded is never sent.
    postcard::to_stdvec(item).map_or(usize::MAX, |bytes| bytes.len())
}
