//! From which instance another one learns of changes of the store.
//!
//! With many instances, a watch of the store at each of them costs a call per instance and batch of
//! changes. Instead, the first few instances of a group in a fixed order are its upstreams: the first
//! one watches the store, and the others ask it for changes. Nobody is elected: an instance whose
//! upstreams fail watches the store by itself.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64;

use super::Instances;
use super::readers::MAX_GROUP;
use super::readers::MAX_GROUP_ACROSS_DOMAINS;

/// The number of upstreams of a group. If all of them fail, each instance watches the store.
const MAX_UPSTREAMS: usize = 3;

/// How long an upstream is passed over after its first failure. Each further one doubles the pause.
const INITIAL_PAUSE: Duration = Duration::from_secs(2);
const MAX_PAUSE: Duration = Duration::from_secs(16);

/// From whom an instance learns of changes, and whether others learn from it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Upstreams {
    /// The addresses of the instances to ask, the preferred one first.
    pub addresses: Vec<SocketAddr>,
    /// Whether this instance is an upstream of others.
    pub is_upstream: bool,
}

impl Instances {
    /// Returns the upstreams of this instance among the instances that know this version of the
    /// messages: those of its failure domain with the largest capacities, as far as they come before
    /// this one. There are none if this instance is the first one, or if the fleet is so small that a
    /// group would cross failure domains: bytes between domains cost more than the calls that they
    /// would save.
    #[must_use]
    pub fn upstreams(&self, protocol: u32) -> Upstreams {
        let registered = || {
            self.by_name.iter().filter_map(|(name, instance)| {
                let location = instance.location.as_ref()?;
                let is_known = instance.removed_at.is_none() && location.protocol >= protocol;
                is_known.then_some((name, instance.hash, location))
            })
        };
        if registered().count() <= MAX_GROUP_ACROSS_DOMAINS {
            return Upstreams::default();
        }
        let own_hash = xxh3_64(self.own_name.as_bytes());
        let local = registered().filter(|(_, _, location)| location.domain == self.own_domain);
        let groups = local.clone().count().div_ceil(MAX_GROUP).max(1) as u64;
        let mut members: Vec<_> = local
            .filter(|(_, hash, _)| hash % groups == own_hash % groups)
            .collect();
        members.sort_by(|(_, hash, location), (_, other_hash, other)| {
            let by_capacity = other.capacity.cores().total_cmp(&location.capacity.cores());
            by_capacity.then(hash.cmp(other_hash))
        });
        members.truncate(MAX_UPSTREAMS);
        let own_position = members
            .iter()
            .position(|(name, _, _)| **name == self.own_name);
        Upstreams {
            addresses: members
                .into_iter()
                .take(own_position.unwrap_or(MAX_UPSTREAMS))
                .map(|(_, _, location)| location.address)
                .collect(),
            is_upstream: own_position.is_some(),
        }
    }
}

/// The failures of upstreams.
#[derive(Clone, Debug, Default)]
pub struct UpstreamFailures {
    failed: Vec<Failed>,
}

#[derive(Clone, Copy, Debug)]
struct Failed {
    address: SocketAddr,
    failures: u32,
    paused_until: Instant,
}

impl UpstreamFailures {
    /// Returns the first upstream that is not passed over.
    #[must_use]
    pub fn choose(&self, upstreams: &[SocketAddr], now: Instant) -> Option<SocketAddr> {
        let is_paused = |address: &SocketAddr| {
            let mut failed = self.failed.iter();
            failed.any(|failed| failed.address == *address && now < failed.paused_until)
        };
        upstreams
            .iter()
            .copied()
            .find(|address| !is_paused(address))
    }

    /// Records that an upstream could not be reached, has refused to tell of changes, or has missed
    /// some.
    pub fn on_failure(&mut self, address: SocketAddr, now: Instant) {
        let before = self
            .failed
            .iter()
            .position(|failed| failed.address == address)
            .map(|position| self.failed.swap_remove(position));
        let failures = before.map_or(0, |failed| failed.failures) + 1;
        let pause = INITIAL_PAUSE * 2_u32.saturating_pow(failures.min(8) - 1);
        self.failed.push(Failed {
            address,
            failures,
            paused_until: now + pause.min(MAX_PAUSE),
        });
        // Only the latest failures matter: there are few upstreams at a time.
        if self.failed.len() > 2 * MAX_UPSTREAMS {
            self.failed
                .sort_by_key(|failed| Reverse(failed.paused_until));
            self.failed.truncate(2 * MAX_UPSTREAMS);
        }
    }

    /// Records that an upstream has told of changes.
    pub fn on_success(&mut self, address: SocketAddr) {
        self.failed.retain(|failed| failed.address != address);
    }
}
