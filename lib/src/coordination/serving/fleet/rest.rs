//! What leafs say about further calls: that they are leaving, or want none for a while; and how many
//! they work on at a time.

use std::time::Instant;

use super::Fleet;
use super::Leaf;
use super::LeafKey;
use crate::coordination::serving::shard_load::Slots;

impl Fleet {
    /// Returns the slots of the leafs of a service that may receive work. Those in this instance's
    /// failure domain are preferred, or all if there is none.
    #[must_use]
    pub fn slots(&self, service: &str) -> Slots {
        let members = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let mut slots = Slots {
            all: 0,
            preferred: 0,
        };
        let leafs = members.iter().filter_map(|key| self.leafs.get(*key));
        for leaf in leafs.filter(|leaf| self.is_permitted(leaf)) {
            let number = leaf.entry.slots;
            slots.all = slots.all.saturating_add(number);
            if leaf.local {
                slots.preferred = slots.preferred.saturating_add(number);
            }
        }
        if slots.preferred == 0 {
            slots.preferred = slots.all;
        }
        slots
    }

    /// Returns when the first leaf of a service takes requests again, if all that may receive work
    /// have asked for none at `now`.
    #[must_use]
    pub fn rest_end(&self, service: &str, now: Instant) -> Option<Instant> {
        let members = self.by_service.get(service)?;
        let ends = members
            .iter()
            .filter_map(|key| self.leafs.get(*key))
            .filter(|leaf| self.is_permitted(leaf))
            .map(|leaf| leaf.rest_end().filter(|end| *end > now));
        // A leaf without a rest makes the result `None`.
        ends.collect::<Option<Vec<Instant>>>()?.into_iter().min()
    }

    /// Records that a leaf's answer says that it is leaving. It gets no further calls, whatever its
    /// entry says, until it has started again. Returns whether this is new.
    pub fn on_leaving(&mut self, key: LeafKey) -> bool {
        self.leafs.get_mut(key).is_some_and(Leaf::on_leaving)
    }

    /// Records that a leaf has refused a call and asked for no further ones until `until`.
    pub fn on_rest(&mut self, key: LeafKey, until: Instant) {
        if let Some(leaf) = self.leafs.get_mut(key) {
            leaf.on_rest(until);
        }
    }
}
