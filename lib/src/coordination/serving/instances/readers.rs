//! Which instances share current reads of the store.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use super::Instances;

/// The most instances in one group, whose reader tells all others. A reader sends that many
/// datagrams in succession.
pub(super) const MAX_GROUP: usize = 64;

/// The number of instances up to which all share one group. In a larger fleet the groups stay
/// inside failure domains, so that little crosses their boundaries.
pub(super) const MAX_GROUP_ACROSS_DOMAINS: usize = 16;

/// The group of an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Readers {
    /// The number of instances of the group that come before this one.
    pub rank: usize,
    /// The addresses of the others, by their ranks.
    pub others: Vec<SocketAddr>,
}

impl Instances {
    /// Returns the group of this instance among those that know this version of the messages. All
    /// instances with the same registrations choose alike.
    #[must_use]
    pub fn readers(&self, protocol: u32) -> Readers {
        let candidates = || {
            self.by_name.iter().filter_map(|(name, instance)| {
                let location = instance.location.as_ref()?;
                let is_candidate = instance.removed_at.is_none()
                    && location.protocol >= protocol
                    && **name != *self.own_name;
                is_candidate.then_some((instance.hash, location))
            })
        };
        let is_local = |domain: &str| domain == &*self.own_domain;
        let own_hash = xxh3_64(self.own_name.as_bytes());
        let mut members: Vec<_> = if candidates().count() < MAX_GROUP_ACROSS_DOMAINS {
            candidates().collect()
        } else {
            let local = candidates().filter(|(_, location)| is_local(&location.domain));
            let groups = (local.clone().count() + 1).div_ceil(MAX_GROUP) as u64;
            local
                .filter(|(hash, _)| hash % groups == own_hash % groups)
                .collect()
        };
        members.sort_by_key(|(hash, _)| *hash);
        Readers {
            rank: members.iter().filter(|(hash, _)| *hash < own_hash).count(),
            others: members
                .iter()
                .map(|(_, location)| location.address)
                .collect(),
        }
    }

    /// Returns whether another instance is registered with this address.
    #[must_use]
    pub fn is_registered(&self, address: SocketAddr) -> bool {
        self.by_name.iter().any(|(name, instance)| {
            **name != *self.own_name
                && instance
                    .location
                    .as_ref()
                    .is_some_and(|location| location.address == address)
        })
    }
}
