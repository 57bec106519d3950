//! The instances that share current reads of the store with this one, and those that it learns changes
//! from.

use camphorhold::coordination::serving::instances::Readers;
use camphorhold::coordination::serving::instances::Upstreams;

use crate::release;
use crate::shared::Shared;

/// The group of this instance among those that know a version of the messages, as of a generation of
/// the registrations.
#[derive(Debug)]
pub struct Group {
    protocol: u32,
    generation: Option<u64>,
    readers: Readers,
    upstreams: Upstreams,
}

impl Group {
    /// Creates a group that is computed when it is first needed.
    pub fn new(protocol: u32) -> Self {
        Self {
            protocol,
            generation: None,
            readers: Readers::default(),
            upstreams: Upstreams::default(),
        }
    }

    /// Returns the group as of the latest registrations.
    pub fn get(&mut self, shared: &Shared) -> &Readers {
        self.update(shared);
        &self.readers
    }

    /// Returns from whom this instance learns of changes, as of the latest registrations.
    pub fn upstreams(&mut self, shared: &Shared) -> &Upstreams {
        self.update(shared);
        &self.upstreams
    }

    fn update(&mut self, shared: &Shared) {
        let instances = shared.instances.borrow();
        let generation = instances.generation();
        if self.generation != Some(generation) {
            self.generation = Some(generation);
            self.readers = instances.readers(self.protocol);
            self.upstreams = instances.upstreams(release::FEED);
        }
    }
}
