//! Keeps one request from ending many leafs.
//!
//! A request whose connection to a leaf was lost may have ended the leaf. Until a leaf has survived
//! it, it is sent to one further leaf only, the canary, and to no more if that connection is lost,
//! too, unless a call sent before is survived. A request that is known to have ended leafs starts with its canary.

use crate::coordination::serving::fleet::LeafKey;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Nothing points to a harmful request.
    Clear,
    /// The next call is the canary.
    Suspect,
    /// The canary is running on this leaf.
    Canary(LeafKey),
    /// The connection of the canary was lost.
    Harmful,
    /// A leaf has survived the request.
    Survived,
}

/// What is known about the effect of one request on leafs.
#[derive(Clone, Copy, Debug)]
pub(super) struct CrashGuard(State);

impl CrashGuard {
    /// Creates the guard of a request that has ended leafs before, or has not as far as is known.
    pub(super) fn new(is_suspect: bool) -> Self {
        Self(if is_suspect {
            State::Suspect
        } else {
            State::Clear
        })
    }

    /// Returns whether a call may be sent now.
    pub(super) fn permits_call(self) -> bool {
        match self.0 {
            State::Clear | State::Suspect | State::Survived => true,
            State::Canary(_) | State::Harmful => false,
        }
    }

    /// Returns whether a call may be sent although another one of its shard is in progress.
    pub(super) fn permits_hedge(self) -> bool {
        matches!(self.0, State::Clear | State::Survived)
    }

    /// Records a call to a leaf.
    pub(super) fn on_call(&mut self, leaf: LeafKey) {
        if self.0 == State::Suspect {
            self.0 = State::Canary(leaf);
        }
    }

    /// Records that a leaf has survived the request.
    pub(super) fn on_survived(&mut self) {
        self.0 = State::Survived;
    }

    /// Records that a call has reached no leaf, or that the leaf did not run it or has failed. The next
    /// call is the canary.
    pub(super) fn on_inconclusive(&mut self, leaf: LeafKey) {
        if self.0 == State::Canary(leaf) {
            self.0 = State::Suspect;
        }
    }

    /// Records that the connection to a leaf was lost.
    pub(super) fn on_lost(&mut self, leaf: LeafKey) {
        match self.0 {
            State::Clear => self.0 = State::Suspect,
            State::Canary(canary) if canary == leaf => self.0 = State::Harmful,
            State::Suspect | State::Canary(_) | State::Harmful | State::Survived => {}
        }
    }

    /// Records that another instance has lost connections under the request.
    pub(super) fn on_lost_elsewhere(&mut self) {
        if self.0 == State::Clear {
            self.0 = State::Suspect;
        }
    }

    /// Returns whether a leaf has survived the request.
    pub(super) fn has_survivor(self) -> bool {
        self.0 == State::Survived
    }
}
