//! The leafs an instance may call, and the choice among the leafs of one service.
//!
//! Entries come from the platform's store. What an instance measures itself (latency, calls in
//! flight, refusals, failures) decides between the leafs that the entries permit.

mod leaf;

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use slotmap::SlotMap;
use slotmap::new_key_type;

pub use self::leaf::CallResult;
pub use self::leaf::Leaf;
pub use self::leaf::LeafEntry;
pub use self::leaf::Standing;

new_key_type! {
    /// Identifies one incarnation of a leaf.
    pub struct LeafKey;
}

/// Connections kept below the limit of a leaf, for connections that other instances are just
/// opening or closing.
const CONNECTION_SHARE: f64 = 0.85;

/// The fewest connections to a leaf with which an instance can call it at will: one for a call, one
/// for the next that overlaps. With fewer, the instances of a failure domain share owners of leafs.
const MIN_CONNECTIONS: f64 = 2.0;

/// Instances that call a leaf through owners, per failure domain: the owner, and those that ask
/// the leaf themselves because the owner does not answer.
const CALLERS_PER_DOMAIN: usize = 2;

/// Limits on one leaf that hold over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeafLimits {
    /// Connections the leaf accepts.
    pub max_connections: usize,
    /// Requests per second a cold leaf bears, if it is limited.
    pub cold_rate: Option<f64>,
}

/// All leafs that an instance knows.
#[derive(Clone, Debug)]
pub struct Fleet {
    domain: Box<str>,
    instances: usize,
    domains: usize,
    leafs: SlotMap<LeafKey, Leaf>,
    by_id: HashMap<Box<str>, LeafKey>,
    by_service: HashMap<Box<str>, Vec<LeafKey>>,
    evacuated: HashSet<Box<str>>,
    // Versions that get no traffic, by service.
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
            evacuated: HashSet::new(),
            excluded_versions: HashMap::new(),
        }
    }

    /// Sets among how many instances the limits of a leaf are divided, and in how many failure
    /// domains they are.
    pub fn set_instances(&mut self, instances: usize, domains: usize) {
        self.instances = instances.max(1);
        self.domains = domains.max(1);
    }

    /// Tells whether a leaf accepts too few connections for every instance to call it at will.
    #[must_use]
    pub fn connections_are_scarce(&self, limits: LeafLimits) -> bool {
        connection_share(limits, self.instances) < MIN_CONNECTIONS
    }

    /// Adds a leaf, or takes over what its entry now says. A new incarnation under a known id
    /// starts without what was measured before.
    pub fn update(&mut self, entry: LeafEntry, now: Instant) -> LeafKey {
        if let Some(&key) = self.by_id.get(&entry.id) {
            let leaf = &mut self.leafs[key];
            let same = leaf.entry.started_unix_ms == entry.started_unix_ms
                && leaf.entry.address == entry.address
                && leaf.entry.service == entry.service;
            if same {
                leaf.cold_until = now + entry.cold_remaining;
                leaf.kept_until = None;
                leaf.local = entry.domain == self.domain;
                leaf.entry = entry;
                return key;
            }
            self.remove_key(key);
        }
        let id = entry.id.clone();
        let service = entry.service.clone();
        let local = entry.domain == self.domain;
        let key = self.leafs.insert(Leaf::new(entry, local, now));
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
        key
    }

    /// Records that the entry of a leaf is gone. After an outage of the store the entry may have
    /// lapsed although the leaf lives; the leaf is then kept until its entry is due back.
    pub fn remove(&mut self, id: &str, keep_until: Option<Instant>) {
        let Some(&key) = self.by_id.get(id) else {
            return;
        };
        if keep_until.is_some() {
            let kept = &mut self.leafs[key].kept_until;
            *kept = kept.or(keep_until);
        } else {
            self.remove_key(key);
        }
    }

    /// Removes the leafs whose entries did not come back, and returns their ids.
    pub fn expire(&mut self, now: Instant) -> Vec<Box<str>> {
        let expired: Vec<LeafKey> = self
            .leafs
            .iter()
            .filter(|(_, leaf)| leaf.kept_until.is_some_and(|until| now >= until))
            .map(|(key, _)| key)
            .collect();
        expired
            .into_iter()
            .filter_map(|key| self.remove_key(key))
            .map(|leaf| leaf.entry.id)
            .collect()
    }

    /// Returns a leaf, unless it is gone.
    #[must_use]
    pub fn get(&self, key: LeafKey) -> Option<&Leaf> {
        self.leafs.get(key)
    }

    /// Counts the leafs of a service, also those that take no work.
    #[must_use]
    pub fn count(&self, service: &str) -> usize {
        self.by_service.get(service).map_or(0, Vec::len)
    }

    /// Counts the leafs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.leafs.len()
    }

    /// Tells whether no leaf is known.
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

    /// Holds a version of a service back, or none. Its leafs get no traffic while the service has
    /// leafs of another version.
    pub fn set_excluded_version(&mut self, service: &str, version: Option<Box<str>>) {
        match version {
            Some(version) => self.excluded_versions.insert(service.into(), version),
            None => self.excluded_versions.remove(service),
        };
    }

    /// Chooses the leaf for a call: the one with the least expected delay among those that may
    /// receive work and are not in `avoid`. `jitter` in 0..1 breaks ties, so that instances do not
    /// all choose the same leaf.
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

    /// Tells whether any leaf of a service may receive work, now or after a pause.
    #[must_use]
    pub fn has_candidates(&self, service: &str) -> bool {
        self.by_service.get(service).is_some_and(|members| {
            members
                .iter()
                .filter_map(|key| self.leafs.get(*key))
                .any(|leaf| self.is_permitted(leaf))
        })
    }

    /// Tells whether a service has a leaf in a failure domain that may receive work now.
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
                })
        })
    }

    fn is_permitted(&self, leaf: &Leaf) -> bool {
        leaf.entry.standing == Standing::Ready
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
            && leaf.in_flight() < self.connection_limit(limits)
            && self.cold_allows(leaf, limits, now)
    }

    /// Returns how many connections this instance may hold to one leaf.
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
        let part = connection_share(limits, callers) as usize;
        part.max(1)
    }

    fn cold_allows(&self, leaf: &Leaf, limits: LeafLimits, now: Instant) -> bool {
        let Some(rate) = limits.cold_rate else {
            return true;
        };
        #[expect(clippy::cast_precision_loss, reason = "there are few instances")]
        let part = rate / self.instances as f64;
        leaf.is_warm(now) || leaf.cold_calls(now) + 1.0 <= part
    }

    /// Records that a call is sent, which usually takes `expected`.
    pub fn on_sent(&mut self, key: LeafKey, expected: Duration, now: Instant) {
        if let Some(leaf) = self.leafs.get_mut(key) {
            leaf.on_sent(expected, now);
        }
    }

    /// Records the end of a call that was sent at `started`.
    pub fn on_result(&mut self, key: LeafKey, started: Instant, report: CallResult, now: Instant) {
        if let Some(leaf) = self.leafs.get_mut(key) {
            leaf.on_result(started, report, now);
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
