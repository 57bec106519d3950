//! The order in which instances try to take over a duty.

use xxhash_rust::xxh3::xxh3_64;

use super::Instances;
use super::rendezvous::combine;

impl Instances {
    /// Returns how many registered instances come before this one as candidates for a duty, among
    /// those that know this version of the messages. Returns `None` while it is not registered
    /// itself.
    #[must_use]
    pub fn candidate_rank(&self, duty: &str, protocol: u32) -> Option<u32> {
        let hash = xxh3_64(duty.as_bytes());
        let own = combine(xxh3_64(self.own_name.as_bytes()), hash);
        let mut is_registered = false;
        let mut before = 0;
        for (name, instance) in &self.by_name {
            let is_candidate = instance.removed_at.is_none()
                && instance
                    .location
                    .as_ref()
                    .is_some_and(|location| location.protocol >= protocol);
            if !is_candidate {
                continue;
            }
            if *name == self.own_name {
                is_registered = true;
            } else if combine(instance.hash, hash) > own {
                before += 1;
            }
        }
        is_registered.then_some(before)
    }

    /// Returns the address of an instance for other instances, if it is registered and knows this
    /// version of the messages.
    #[must_use]
    pub fn address(&self, name: &str, protocol: u32) -> Option<std::net::SocketAddr> {
        let instance = self.by_name.get(name)?;
        let location = instance.location.as_ref()?;
        let is_usable = instance.removed_at.is_none() && location.protocol >= protocol;
        is_usable.then_some(location.address)
    }
}
