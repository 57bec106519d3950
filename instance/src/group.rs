//! The instances that share current reads of the store with this one.

use camphorhold::coordination::serving::instances::Readers;

use crate::shared::Shared;

/// The group of this instance among those that know a version of the messages, as of a generation of
/// the registrations.
#[derive(Debug)]
pub struct Group {
    protocol: u32,
    generation: Option<u64>,
    readers: Readers,
}

impl Group {
    /// Creates a group that is computed when it is first needed.
    pub fn new(protocol: u32) -> Self {
        Self {
            protocol,
            generation: None,
            readers: Readers::default(),
        }
    }

    /// Returns the group as of the latest registrations.
    pub fn get(&mut self, shared: &Shared) -> &Readers {
        let instances = shared.instances.borrow();
        let generation = instances.generation();
        if self.generation != Some(generation) {
            self.generation = Some(generation);
            self.readers = instances.readers(self.protocol);
        }
        &self.readers
    }
}
