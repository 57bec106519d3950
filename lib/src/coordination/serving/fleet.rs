//! The leafs that an instance may call, and load balancing among the leafs of one service.
//!
//! The entries in the platform's store determine which leafs may receive calls. Among those, the
//! instance chooses by its own measurements: latency, calls in flight, refusals and failures.

mod leaf;
mod rest;
mod sample;

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use slotmap::SlotMap;
use slotmap::new_key_type;

pub use self::leaf::CallResult;
pub use self::leaf::Leaf;
pub use self::leaf::LeafEntry;
pub use self::leaf::LimitChange;
pub use self::leaf::Standing;
use super::rate_limit::Claim;
use super::rate_limit::wanted_tokens;
use crate::coordination::merge::Coverage;
use crate::state::rate::RequestRate;

new_key_type! {
    /// Identifies one incarnation of a leaf. A leaf that restarts gets a new key.
    pub struct LeafKey;
}

/// The fraction of a leaf's connection limit that the instances use together. The rest is left for
/// connections that are just being opened or closed.
const CONNECTION_SHARE: f64 = 0.85;

/// The fewest connections per instance with which every instance calls a leaf directly: one for a
/// call and one for the next call that overlaps. With fewer, each shard has an owner among the
/// instances of a failure domain, which makes the calls for the others.
const MIN_CONNECTIONS: f64 = 2.0;

/// The number of instances per failure domain that share a leaf's connections while shards have
/// owners: the owner, and one more for the instances that call the leaf directly because the owner
/// does not answer.
const CALLERS_PER_DOMAIN: usize = 2;

/// How long the last entry of a leaf that has left is kept. Copies of the store are some seconds
/// old.
const LEFT_RETENTION: Duration = Duration::from_mins(2);

/// Limits on the load of one leaf, over all instances. The operators set them per service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeafLimits {
    /// The number of connections that the leaf accepts.
    pub max_connections: usize,
    /// The number of requests per second that a leaf may get while it is cold; `None` if cold leafs
    /// get the same load as warm ones.
    pub cold_rate: Option<f64>,
}

/// A leaf that has left.
#[derive(Clone, Debug)]
struct Left {
    entry: LeafEntry,
    at: Instant,
    // Whether the store was restored from a copy since then. If not, an entry under its id is new.
    before_restore: bool,
}

/// All leafs that an instance knows, with its measurements of each.
#[derive(Clone, Debug)]
pub struct Fleet {
    domain: Box<str>,
    instances: usize,
    domains: usize,
    leafs: SlotMap<LeafKey, Leaf>,
    by_id: HashMap<Box<str>, LeafKey>,
    by_service: HashMap<Box<str>, Vec<LeafKey>>,
    left: HashMap<Box<str>, Left>,
    evacuated: HashSet<Box<str>>,
    // By service, the version that gets no traffic.
    excluded_versions: HashMap<Box<str>, Box<str>>,
}

impl Fleet {
    /// Creates the empty fleet of an instance in `domain`.
    #[must_use]
    pub fn new(domain: Box<str>) -> Self {
        Self {
            domain,
            instances: 1,
            domains: 1,
            leafs: SlotMap::with_key(),
            by_id: HashMap::new(),
            by_service: HashMap::new(),
            left: HashMap::new(),
            evacuated: HashSet::new(),
            excluded_versions: HashMap::new(),
        }
    }

    /// Sets the number of instances that share the limits of a leaf, and the number of failure
    /// domains that they run in. 0 counts as 1.
    pub fn set_instances(&mut self, instances: usize, domains: usize) {
        self.instances = instances.max(1);
        self.domains = domains.max(1);
    }

    /// Returns whether a leaf accepts too few connections for every instance to call it directly.
    #[must_use]
    pub fn connections_are_scarce(&self, limits: LeafLimits) -> bool {
        connection_share(limits, self.instances) < MIN_CONNECTIONS
    }

    /// Adds a leaf, or updates a known one from its entry. A new incarnation under a known id
    /// replaces the old one, and its measurements start empty. Returns `None`, and changes nothing,
    /// if the leaf has written a later entry or had left: the store may hold the entry again after
    /// it was restored from a copy.
    pub fn update(&mut self, entry: LeafEntry, now: Instant) -> Option<LeafKey> {
        if let Some(left) = self.left.get(&entry.id) {
            let is_copy = entry == left.entry || entry.is_older_than(&left.entry);
            if left.before_restore && is_copy {
                return None;
            }
            self.left.remove(&entry.id);
        }
        if let Some(&key) = self.by_id.get(&entry.id) {
            let leaf = &mut self.leafs[key];
            if entry.is_older_than(&leaf.entry) {
                return None;
            }
            if entry == leaf.entry {
                leaf.kept_until = None;
                return Some(key);
            }
            // Without the time of its start, an incarnation shows by counting its writes anew.
            let counts_anew =
                entry.started_unix_ms.is_none() && entry.write_number < leaf.entry.write_number;
            let same = leaf.entry.started_unix_ms == entry.started_unix_ms
                && !counts_anew
                && leaf.entry.address == entry.address
                && leaf.entry.service == entry.service;
            if same {
                leaf.cold_until = now + entry.cold_remaining;
                leaf.kept_until = None;
                leaf.local = entry.domain == self.domain;
                leaf.entry = entry;
                return Some(key);
            }
            self.remove_key(key);
        }
        let id = entry.id.clone();
        let service = entry.service.clone();
        let local = entry.domain == self.domain;
        let key = self.leafs.insert(Leaf::new(entry, local, now));
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
        Some(key)
    }

    /// Records that the store was restored from a copy. The copy may list leafs that have left since
    /// it was made.
    pub fn on_store_restored(&mut self) {
        for left in self.left.values_mut() {
            left.before_restore = true;
        }
    }

    /// Forgets the leafs that had left before the store was restored. An entry that the store still
    /// holds long after that belongs to a running leaf.
    pub fn forget_left(&mut self) {
        self.left.retain(|_, left| !left.before_restore);
    }

    /// Removes a leaf whose entry is gone. After an outage of the store, the lease of an entry may
    /// have expired although the leaf still runs; with `keep_until` the leaf stays until then, so
    /// that it can restore its entry.
    pub fn remove(&mut self, id: &str, keep_until: Option<Instant>, now: Instant) {
        let Some(&key) = self.by_id.get(id) else {
            return;
        };
        if keep_until.is_some() {
            let kept = &mut self.leafs[key].kept_until;
            *kept = kept.or(keep_until);
        } else {
            self.remove_left(key, now);
        }
    }

    /// Removes a leaf whose entry is gone for good.
    fn remove_left(&mut self, key: LeafKey, now: Instant) -> Option<Box<str>> {
        self.left
            .retain(|_, left| now.saturating_duration_since(left.at) < LEFT_RETENTION);
        let entry = self.remove_key(key)?.entry;
        let id = entry.id.clone();
        let left = Left {
            entry,
            at: now,
            before_restore: false,
        };
        self.left.insert(id.clone(), left);
        Some(id)
    }

    /// Removes the leafs whose entries were not restored by their `keep_until`, and returns their
    /// ids.
    pub fn expire(&mut self, now: Instant) -> Vec<Box<str>> {
        let expired: Vec<LeafKey> = self
            .leafs
            .iter()
            .filter(|(_, leaf)| leaf.kept_until.is_some_and(|until| now >= until))
            .map(|(key, _)| key)
            .collect();
        expired
            .into_iter()
            .filter_map(|key| self.remove_left(key, now))
            .collect()
    }

    /// Returns a leaf, or `None` if it was removed or replaced by a new incarnation.
    #[must_use]
    pub fn get(&self, key: LeafKey) -> Option<&Leaf> {
        self.leafs.get(key)
    }

    /// Returns the key of the leaf with this id.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<LeafKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the number of leafs of a service, including those that take no work.
    #[must_use]
    pub fn count(&self, service: &str) -> usize {
        self.by_service.get(service).map_or(0, Vec::len)
    }

    /// Returns the number of leafs, including those that take no work.
    #[must_use]
    pub fn len(&self) -> usize {
        self.leafs.len()
    }

    /// Returns whether the instance knows no leaf.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.leafs.is_empty()
    }

    /// Takes a failure domain out of service, or back in.
    pub fn set_evacuated(&mut self, domain: &str, evacuated: bool) {
        if evacuated {
            self.evacuated.insert(domain.into());
        } else {
            self.evacuated.remove(domain);
        }
    }

    /// Excludes a version of a service from traffic, or lifts the exclusion with `None`. The
    /// exclusion has no effect while the service has no leaf of another version. At most one
    /// version per service is excluded.
    pub fn set_excluded_version(&mut self, service: &str, version: Option<Box<str>>) {
        match version {
            Some(version) => self.excluded_versions.insert(service.into(), version),
            None => self.excluded_versions.remove(service),
        };
    }

    /// Returns the leaf for a call: the one with the lowest score among those that may receive work
    /// now and are not in `avoid`. `jitter` in 0..1 breaks ties, so that instances do not all
    /// choose the same leaf.
    #[must_use]
    pub fn choose(
        &self,
        service: &str,
        limits: LeafLimits,
        now: Instant,
        avoid: &[LeafKey],
        jitter: f32,
    ) -> Option<LeafKey> {
        let members = self.by_service.get(service)?;
        let count = members.len().max(1);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "the product lies between 0 and the number of members"
        )]
        let start = (jitter * count as f32) as usize;
        let rotated = members
            .iter()
            .cycle()
            .skip(start % count)
            .take(members.len());
        rotated
            .filter(|key| !avoid.contains(key))
            .filter_map(|key| Some((*key, self.leafs.get(*key)?)))
            .filter(|(_, leaf)| self.is_open(leaf, limits, now))
            .map(|(key, leaf)| (key, leaf.score(now)))
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .map(|(key, _)| key)
    }

    /// Returns whether a service has another leaf left if one ends: one that this instance has not
    /// failed to reach last, or none that it could have.
    #[must_use]
    pub fn can_spare_leaf(&self, service: &str) -> bool {
        let members = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let reached = members
            .iter()
            .filter_map(|key| self.leafs.get(*key))
            .filter(|leaf| self.is_permitted(leaf) && leaf.is_reached());
        members.len() <= 1 || reached.count() >= 2
    }

    /// Returns whether at least a share of shards has another leaf left if one ends, see
    /// [`Self::can_spare_leaf`].
    #[must_use]
    pub fn can_spare_leafs<'a, I>(&self, shards: I, share: f64) -> bool
    where
        I: IntoIterator<Item = &'a str>,
    {
        let mut coverage = Coverage {
            answered: 0,
            in_scope: 0,
        };
        for service in shards {
            coverage.in_scope += 1;
            coverage.answered += u32::from(self.can_spare_leaf(service));
        }
        coverage.reaches(share)
    }

    /// Returns whether any leaf of a service may receive work, now or after its backoff, at the
    /// latest at `by`.
    #[must_use]
    pub fn has_candidates(&self, service: &str, by: Instant) -> bool {
        self.by_service.get(service).is_some_and(|members| {
            members
                .iter()
                .filter_map(|key| self.leafs.get(*key))
                .any(|leaf| self.is_permitted(leaf) && !leaf.rests(by))
        })
    }

    /// Returns whether a service has a leaf in `domain` that may receive work and is not backing
    /// off.
    #[must_use]
    pub fn covers(&self, service: &str, domain: &str, now: Instant) -> bool {
        self.by_service.get(service).is_some_and(|members| {
            members
                .iter()
                .filter_map(|key| self.leafs.get(*key))
                .any(|leaf| {
                    &*leaf.entry.domain == domain
                        && self.is_permitted(leaf)
                        && !leaf.is_backing_off(now)
                        && !leaf.rests(now)
                })
        })
    }

    fn is_permitted(&self, leaf: &Leaf) -> bool {
        leaf.entry.standing == Standing::Ready
            && !leaf.is_leaving()
            && !self.evacuated.contains(&leaf.entry.domain)
            && !self.is_excluded(leaf)
    }

    fn is_excluded(&self, leaf: &Leaf) -> bool {
        let Some(version) = self.excluded_versions.get(&leaf.entry.service) else {
            return false;
        };
        let has_another = || {
            self.by_service
                .get(&leaf.entry.service)
                .into_iter()
                .flatten()
                .filter_map(|key| self.leafs.get(*key))
                .any(|member| member.entry.version != *version)
        };
        leaf.entry.version == *version && has_another()
    }

    fn is_open(&self, leaf: &Leaf, limits: LeafLimits, now: Instant) -> bool {
        self.is_permitted(leaf)
            && !leaf.is_backing_off(now)
            && !leaf.rests(now)
            && leaf.in_flight() < self.connection_limit(limits)
            && self.cold_rate_allows(leaf, limits, now)
            && leaf.limit_allows(now)
    }

    /// Returns how many calls this instance may have in flight to one leaf, each on its own
    /// connection. At least 1.
    #[must_use]
    pub fn connection_limit(&self, limits: LeafLimits) -> usize {
        let callers = if self.connections_are_scarce(limits) {
            self.instances.min(self.domains * CALLERS_PER_DOMAIN)
        } else {
            self.instances
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "limits are small positive numbers"
        )]
        let share = connection_share(limits, callers) as usize;
        share.max(1)
    }

    fn cold_rate_allows(&self, leaf: &Leaf, limits: LeafLimits, now: Instant) -> bool {
        let Some(rate) = limits.cold_rate else {
            return true;
        };
        #[expect(clippy::cast_precision_loss, reason = "there are few instances")]
        let share = rate / self.instances as f64;
        leaf.is_warm(now) || leaf.cold_calls(now) + 1.0 <= share
    }

    /// Records a new call to a leaf. `expected` is the usual latency of such a call.
    pub fn on_sent(&mut self, key: LeafKey, expected: Duration, now: Instant) {
        if let Some(leaf) = self.leafs.get_mut(key) {
            leaf.on_sent(expected, now);
        }
    }

    /// Records the result of the call that was sent to a leaf at `started`.
    pub fn on_result(&mut self, key: LeafKey, started: Instant, result: CallResult, now: Instant) {
        if let Some(leaf) = self.leafs.get_mut(key) {
            leaf.on_result(started, result, now);
        }
    }

    /// Records the limit on requests from all instances together that a leaf's answer names, or
    /// `None` if it names none. `sent` is when the call was sent. Returns how the limit has changed.
    pub fn on_limit(
        &mut self,
        key: LeafKey,
        named: Option<RequestRate>,
        sent: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        self.leafs.get_mut(key)?.on_limit(named, sent, now)
    }

    /// Returns whether a leaf names a limit on requests.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        self.leafs.values().any(|leaf| leaf.limit().is_some())
    }

    /// Returns a claim for tokens of each leaf that names a limit and that this instance has
    /// requests for. `request_rate` returns how many requests per second it has for a service.
    /// Until they are granted, the instance has no tokens.
    pub fn claim_tokens<F>(&mut self, mut request_rate: F, now: Instant) -> Vec<(LeafKey, Claim)>
    where
        F: FnMut(&str) -> f64,
    {
        self.leafs
            .iter_mut()
            .filter(|(_, leaf)| leaf.limit().is_some())
            .filter_map(|(key, leaf)| {
                let wanted = wanted_tokens(request_rate(&leaf.entry.service));
                let claim = leaf.claim(wanted, now)?;
                (claim.wanted > 0 || claim.returned > 0).then_some((key, claim))
            })
            .collect()
    }

    /// Records the tokens granted for a leaf, with which calls may be sent until `expires_at`.
    pub fn on_granted(&mut self, key: LeafKey, tokens: u32, expires_at: Instant) {
        if let Some(leaf) = self.leafs.get_mut(key) {
            leaf.on_granted(tokens, expires_at);
        }
    }

    fn remove_key(&mut self, key: LeafKey) -> Option<Leaf> {
        let leaf = self.leafs.remove(key)?;
        if self.by_id.get(&leaf.entry.id) == Some(&key) {
            self.by_id.remove(&leaf.entry.id);
        }
        if let Some(members) = self.by_service.get_mut(&leaf.entry.service) {
            members.retain(|member| *member != key);
            if members.is_empty() {
                self.by_service.remove(&leaf.entry.service);
            }
        }
        Some(leaf)
    }
}

#[expect(clippy::cast_precision_loss, reason = "both numbers are small")]
fn connection_share(limits: LeafLimits, callers: usize) -> f64 {
    limits.max_connections as f64 * CONNECTION_SHARE / callers as f64
}
