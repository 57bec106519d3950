//! The promises of one witness.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::coordination::proposal::ProposalId;
use crate::state::id::Generation;

/// Retracted announcements remembered, so that a delayed copy of one binds nobody.
const MAX_RETRACTED: usize = 256;

/// The promises that a witness has given and not been freed of.
#[derive(Clone, Debug, Default)]
pub struct Promises {
    given: BTreeMap<ProposalId, Generation>,
    retracted: VecDeque<ProposalId>,
}

impl Promises {
    /// Promises the generation, unless `seen` is as high or the announcement was retracted.
    #[must_use]
    pub fn promise(
        &mut self,
        proposal: ProposalId,
        generation: Generation,
        seen: Generation,
    ) -> bool {
        if generation <= seen || self.retracted.contains(&proposal) {
            return false;
        }
        self.given.insert(proposal, generation);
        true
    }

    /// Is freed of a promise by its proposer.
    pub fn retract(&mut self, proposal: ProposalId) {
        self.given.remove(&proposal);
        if !self.retracted.contains(&proposal) {
            self.retracted.push_back(proposal);
        }
        if self.retracted.len() > MAX_RETRACTED {
            self.retracted.pop_front();
        }
    }

    /// Is freed of promises by having seen the generation.
    pub fn note_seen(&mut self, seen: Generation) {
        self.given.retain(|_, generation| *generation > seen);
    }

    /// Returns the highest generation promised.
    #[must_use]
    pub fn highest(&self) -> Option<Generation> {
        self.given.values().copied().max()
    }

    /// Iterates over the announcements that bind this witness.
    pub fn open(&self) -> impl Iterator<Item = ProposalId> {
        self.given.keys().copied()
    }
}
