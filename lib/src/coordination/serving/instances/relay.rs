//! The choice of an instance that takes over whole requests.

use std::net::SocketAddr;
use std::time::Instant;

use super::Instances;
use super::instance::Location;
use super::rendezvous::rank;

impl Instances {
    /// Returns an instance that may take over whole requests and is not among those already `asked`:
    /// by chance, in proportion to their capacities. Instances of this one's failure domain come
    /// first, unless one of them does not take requests: what has happened to it may have happened
    /// to the whole domain. `jitter` in 0..1 is the chance.
    #[must_use]
    pub fn choose_relay(
        &self,
        asked: &[Box<str>],
        now: Instant,
        jitter: f32,
    ) -> Option<(Box<str>, SocketAddr)> {
        let others = || {
            self.by_name
                .iter()
                .filter(|(name, _)| **name != self.own_name)
                .filter_map(|(name, instance)| Some((name, instance, instance.location.as_ref()?)))
        };
        let is_local = |location: &Location| location.domain == self.own_domain;
        let avoids_domain =
            others().any(|(_, instance, location)| is_local(location) && !instance.is_open(now));
        let hash = u64::from(jitter.to_bits());
        others()
            .filter(|(name, instance, _)| instance.is_open(now) && !asked.contains(name))
            .map(|(name, instance, location)| {
                let rank = rank(instance.hash, hash, location.capacity.cores());
                (name, location, (is_local(location) != avoids_domain, rank))
            })
            .max_by(|(_, _, a), (_, _, b)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))
            .map(|(name, location, _)| (name.clone(), location.address))
    }
}
