//! Keeps one request from ending many leafs.
//!
//! A request whose connection to a leaf was lost may have ended the leaf. Until a leaf has survived
//! it, it is sent to one further leaf only, the canary, and to no more if that connection is lost,
//! too, unless a call sent before is survived. A request that is known to have ended leafs starts with
//! its canary. An instance that was handed shards of a query sends no canary: each of them would.

use crate::coordination::serving::alarms::Level;
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
    /// A connection was lost, and this instance may not send a canary.
    Stopped,
    /// A leaf has survived the request.
    Survived,
}

/// What is known about the effect of one request on leafs.
#[derive(Clone, Copy, Debug)]
pub(super) struct CrashGuard {
    state: State,
    permits_canary: bool,
}

impl CrashGuard {
    /// Creates the guard of a request that has ended leafs before, or has not as far as is known.
    pub(super) fn new(is_suspect: bool, permits_canary: bool) -> Self {
        let state = if is_suspect {
            State::Suspect
        } else {
            State::Clear
        };
        Self {
            state,
            permits_canary,
        }
    }

    /// Returns whether a call may be sent now.
    pub(super) fn permits_call(self) -> bool {
        match self.state {
            State::Clear | State::Suspect | State::Survived => true,
            State::Canary(_) | State::Harmful | State::Stopped => false,
        }
    }

    /// Returns whether a call may be sent although another one of its shard is in progress.
    pub(super) fn permits_hedge(self) -> bool {
        matches!(self.state, State::Clear | State::Survived)
    }

    /// Records a call to a leaf.
    pub(super) fn on_call(&mut self, leaf: LeafKey) {
        if self.state == State::Suspect {
            self.state = State::Canary(leaf);
        }
    }

    /// Records that a leaf has survived the request.
    pub(super) fn on_survived(&mut self) {
        self.state = State::Survived;
    }

    /// Records that a call has reached no leaf, or that the leaf did not run it or has failed. The next
    /// call is the canary.
    pub(super) fn on_inconclusive(&mut self, leaf: LeafKey) {
        if self.state == State::Canary(leaf) {
            self.state = State::Suspect;
        }
    }

    /// Records that the connection to a leaf was lost.
    pub(super) fn on_lost(&mut self, leaf: LeafKey) {
        match self.state {
            State::Clear if self.permits_canary => self.state = State::Suspect,
            State::Clear => self.state = State::Stopped,
            State::Canary(canary) if canary == leaf => self.state = State::Harmful,
            State::Suspect
            | State::Canary(_)
            | State::Harmful
            | State::Stopped
            | State::Survived => {}
        }
    }

    /// Records that another instance has lost connections under the request.
    pub(super) fn on_lost_elsewhere(&mut self) {
        if self.state == State::Clear {
            self.state = State::Suspect;
        }
    }

    /// Returns what lost connections say about the request.
    pub(super) fn suspicion(self) -> Option<Level> {
        match self.state {
            State::Clear | State::Survived => None,
            State::Suspect | State::Canary(_) | State::Stopped => Some(Level::Suspected),
            State::Harmful => Some(Level::Confirmed),
        }
    }

    /// Returns whether a leaf has survived the request.
    pub(super) fn has_survivor(self) -> bool {
        self.state == State::Survived
    }
}
