//! The promises that one witness has given to proposers.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::coordination::proposal::ProposalId;
use crate::state::id::Generation;

/// Limit on the retracted announcements that are kept. A delayed copy of one of them creates no
/// promise.
const MAX_RETRACTED: usize = 256;

/// The promises that still bind a witness.
#[derive(Clone, Debug, Default)]
pub struct Promises {
    given: BTreeMap<ProposalId, Generation>,
    retracted: VecDeque<ProposalId>,
}

impl Promises {
    /// Promises the generation and returns `true`, unless `seen` is at least as high or the
    /// announcement was retracted.
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

    /// Removes a promise that its proposer has retracted, and refuses later copies of its
    /// announcement.
    pub fn retract(&mut self, proposal: ProposalId) {
        self.given.remove(&proposal);
        if !self.retracted.contains(&proposal) {
            self.retracted.push_back(proposal);
        }
        if self.retracted.len() > MAX_RETRACTED {
            self.retracted.pop_front();
        }
    }

    /// Removes the promises of generations up to `seen`, because heartbeats now report `seen`.
    pub fn note_seen(&mut self, seen: Generation) {
        self.given.retain(|_, generation| *generation > seen);
    }

    /// Returns the highest promised generation, or `None` without open promises.
    #[must_use]
    pub fn highest(&self) -> Option<Generation> {
        self.given.values().copied().max()
    }

    /// Iterates over the announcements that bind this witness.
    pub fn open(&self) -> impl Iterator<Item = ProposalId> {
        self.given.keys().copied()
    }
}
