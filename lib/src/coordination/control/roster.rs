//! Changes of the roster that this instance proposes or asks for.

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
    /// Proposes the additions and removals that are due.
    pub(super) fn change_roster(&mut self, now: Instant, actions: &mut Vec<Action>) {
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

    /// Asks a member to add or remove this instance, or does it alone if there is no member.
    pub(super) fn ask_for_roster_change(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let record = &self.known.record;
        let leaving = self.phase == Phase::Leaving;
        let removed =
            self.applied.generation.0 > 0 && self.applied.member(self.me.instance).is_none();
        let silent = self.settings.mutation == Mutation::NoRejoin && removed;
        if (!leaving && self.phase != Phase::Joining) || silent || self.has_departed() {
            return;
        }
        let gone = self.membership.terminated(record, now);
        let deserted = record.witnesses().all(|one| gone.contains(&one.instance));
        let sponsor = self
            .membership
            .sponsor(record, &self.me, self.join_attempts);
        self.join_attempts += 1;
        if let Some(address) = sponsor.filter(|_| leaving || !deserted) {
            let message = if leaving {
                let instance = self.me.instance;
                Message::Leave { instance }
            } else {
                Message::Join(self.me.clone())
            };
            actions.push(Action::SendTo { address, message });
        } else if self.proposer.is_idle() && (leaving || (deserted && self.reads.answered)) {
            let change = self.lone_change(leaving);
            let operation = OperationId(self.random.random());
            self.submit(operation, change, now, actions);
        }
    }

    /// Returns the change of an instance that finds no other member.
    fn lone_change(&self, leaving: bool) -> Change {
        let listed = self.known.record.roster.iter().map(|one| one.instance);
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
