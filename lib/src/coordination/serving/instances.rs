//! How many instances there are, for limits that are divided among them.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// An instance whose registration is gone counts for this long. It may still run, cut off from the
/// store, and a number that is too high only makes the others more careful.
const MEMORY: Duration = Duration::from_secs(60);

/// The registered instances.
#[derive(Clone, Debug, Default)]
pub struct Instances {
    // When the registration vanished, if it did.
    names: HashMap<Box<str>, Option<Instant>>,
}

impl Instances {
    /// Records that an instance is registered.
    pub fn add(&mut self, name: &str) {
        self.names.insert(name.into(), None);
    }

    /// Records that the registration of an instance is gone.
    pub fn remove(&mut self, name: &str, now: Instant) {
        if let Some(gone) = self.names.get_mut(name) {
            gone.get_or_insert(now);
        }
    }

    /// Records that only these instances are registered.
    pub fn replace<'a, I>(&mut self, names: I, now: Instant)
    where
        I: IntoIterator<Item = &'a str>,
    {
        for gone in self.names.values_mut() {
            gone.get_or_insert(now);
        }
        for name in names {
            self.add(name);
        }
    }

    /// Counts the instances.
    #[must_use]
    pub fn count(&self, now: Instant) -> usize {
        self.names
            .values()
            .filter(|gone| {
                gone.is_none_or(|gone| now.saturating_duration_since(gone) < MEMORY)
            })
            .count()
    }
}
