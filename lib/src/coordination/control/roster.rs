//! Roster changes that this instance proposes itself or requests from another member.

use std::time::Instant;

use rand::Rng;

use crate::coordination::control::Action;
use crate::coordination::control::Machine;
use crate::coordination::control::Message;
use crate::coordination::control::Mutation;
use crate::coordination::proposal::Change;
use crate::state::id::OperationId;
use crate::state::view::Phase;

impl Machine {
    /// Proposes the additions and removals that are due, unless an operation is in progress or this
    /// instance has left.
    pub(super) fn propose_roster_change(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.proposer.is_idle() || self.phase == Phase::Left {
            return;
        }
        let record = &self.known.record;
        let change = self.membership.roster_change(record, self.me.instance, now);
        if let Some((added, removed)) = change {
            let operation = OperationId(self.random.random());
            self.submit(operation, Change::Roster { added, removed }, now, actions);
        }
    }

    /// Asks a member to add or remove this instance. The instance proposes the change itself if it
    /// is leaving and there is no member to ask, or if it is joining, has read the store, and all
    /// witnesses of the record, if any, are known to have terminated.
    pub(super) fn request_roster_change(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let record = &self.known.record;
        let leaving = self.phase == Phase::Leaving;
        let removed =
            self.applied.generation.0 > 0 && self.applied.member(self.me.instance).is_none();
        let rejoin_disabled = self.settings.mutation == Mutation::NoRejoin && removed;
        if (!leaving && self.phase != Phase::Joining) || rejoin_disabled || self.has_departed() {
            return;
        }
        let terminated = self.membership.terminated(record, now);
        let no_live_witness = record
            .witnesses()
            .all(|member| terminated.contains(&member.instance));
        let sponsor = self
            .membership
            .sponsor(record, &self.me, self.join_attempts);
        self.join_attempts += 1;
        if let Some(address) = sponsor.filter(|_| leaving || !no_live_witness) {
            let message = if leaving {
                let instance = self.me.instance;
                Message::Leave { instance }
            } else {
                Message::Join(self.me.clone())
            };
            actions.push(Action::SendTo { address, message });
        } else if self.proposer.is_idle() && (leaving || (no_live_witness && self.reads.answered)) {
            let change = self.solo_roster_change(leaving);
            let operation = OperationId(self.random.random());
            self.submit(operation, change, now, actions);
        }
    }

    /// Returns the roster change that this instance proposes without the help of a member: its own
    /// removal, or a roster that contains only this instance.
    fn solo_roster_change(&self, leaving: bool) -> Change {
        let listed = self
            .known
            .record
            .roster
            .iter()
            .map(|member| member.instance);
        if leaving {
            let me = self.me.instance;
            let removed = listed.filter(|instance| *instance == me).collect();
            let added = Vec::new();
            return Change::Roster { added, removed };
        }
        let added = vec![self.me.clone()];
        let removed = listed.collect();
        Change::Roster { added, removed }
    }
}
