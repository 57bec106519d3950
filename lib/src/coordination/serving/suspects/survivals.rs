//! Requests that leafs have survived recently.

use std::collections::HashMap;
use std::time::Instant;

use super::SURVIVAL_RETENTION;
use crate::state::id::Fingerprint;

/// A request that leafs have survived.
#[derive(Clone, Copy, Debug)]
pub(super) struct Survival {
    at: Instant,
    // Events since then, and when the last one was noticed.
    pub(super) events: u32,
    pub(super) noticed_at: Instant,
}

/// Requests that leafs have survived, in two generations. When the newer one is full, it replaces
/// the older one, whose entries are dropped at once.
#[derive(Clone, Debug)]
pub(super) struct Survivals {
    generation_capacity: usize,
    newer: HashMap<Fingerprint, Survival>,
    older: HashMap<Fingerprint, Survival>,
}

impl Survivals {
    pub(super) fn new(generation_capacity: usize) -> Self {
        Self {
            generation_capacity: generation_capacity.max(1),
            newer: HashMap::new(),
            older: HashMap::new(),
        }
    }

    pub(super) fn get_mut(
        &mut self,
        fingerprint: Fingerprint,
        now: Instant,
    ) -> Option<&mut Survival> {
        let newer = self.newer.get_mut(&fingerprint);
        let found = newer.or_else(|| self.older.get_mut(&fingerprint));
        found.filter(|survival| now < survival.at + SURVIVAL_RETENTION)
    }

    pub(super) fn contains(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        let newer = self.newer.get(&fingerprint);
        newer
            .or_else(|| self.older.get(&fingerprint))
            .is_some_and(|survival| now < survival.at + SURVIVAL_RETENTION)
    }

    pub(super) fn insert(&mut self, fingerprint: Fingerprint, now: Instant) {
        if self.newer.len() >= self.generation_capacity {
            self.older = std::mem::take(&mut self.newer);
        }
        let survival = Survival {
            at: now,
            events: 0,
            noticed_at: now,
        };
        self.newer.insert(fingerprint, survival);
    }

    pub(super) fn remove(&mut self, fingerprint: Fingerprint) {
        self.newer.remove(&fingerprint);
        self.older.remove(&fingerprint);
    }
}
