//! Keeps one request from ending many leafs.
//!
//! A request whose connection to a leaf was lost may have ended the leaf. Until a leaf has survived
//! it, it is sent to one further leaf only, the canary, and to no more if that connection is lost,
//! too, unless a call sent before is survived. While such calls are in progress they are expected to
//! show that, and the canary waits for a while. A request that is known to have ended leafs starts with
//! its canary. An instance that was handed shards of a query sends no canary: each of them would.

use std::time::Instant;

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

/// What is known of the leafs whose connections were lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// Nothing.
    None,
    /// It is being found out whether they have ended.
    Awaited,
    /// Leafs have ended.
    Ended,
}

/// What is known about the effect of one request on leafs.
#[derive(Clone, Copy, Debug)]
pub(super) struct CrashGuard {
    state: State,
    permits_canary: bool,
    // From when on the canary does not wait for calls in progress.
    canary_from: Option<Instant>,
    // Whether the request goes to several shards. Its canary needs one that has another leaf left if
    // leafs have ended.
    is_query: bool,
    evidence: Evidence,
}

impl CrashGuard {
    /// Creates the guard of a request that has ended leafs before, or has not as far as is known. A
    /// query over several shards can spare one of them, and tries no shard on its last leaf.
    pub(super) fn new(is_suspect: bool, permits_canary: bool, is_query: bool) -> Self {
        let state = if is_suspect {
            State::Suspect
        } else {
            State::Clear
        };
        Self {
            state,
            permits_canary,
            canary_from: None,
            is_query,
            evidence: if is_suspect {
                Evidence::Ended
            } else {
                Evidence::None
            },
        }
    }

    /// Returns whether a call may be sent now. `has_calls` says whether others are in progress.
    pub(super) fn permits_call(self, has_calls: bool, now: Instant) -> bool {
        match self.state {
            State::Clear | State::Survived => true,
            State::Suspect => {
                self.evidence != Evidence::Awaited
                    && (!has_calls || self.canary_from.is_none_or(|from| now >= from))
            }
            State::Canary(_) | State::Harmful | State::Stopped => false,
        }
    }

    /// Returns whether the next call needs a shard that has another leaf left.
    pub(super) fn requires_spare(self) -> bool {
        self.is_query && self.evidence == Evidence::Ended && self.state == State::Suspect
    }

    /// Returns whether the canary waits until it is known if leafs have ended.
    pub(super) fn awaits_inquiry(self) -> bool {
        self.evidence == Evidence::Awaited && self.state == State::Suspect
    }

    /// Records that it is being found out if leafs have ended.
    pub(super) fn on_inquiry_start(&mut self) {
        if self.evidence == Evidence::None {
            self.evidence = Evidence::Awaited;
        }
    }

    /// Records if leafs have ended.
    pub(super) fn on_inquiry_end(&mut self, have_ended: bool) {
        if have_ended {
            self.evidence = Evidence::Ended;
        } else if self.evidence == Evidence::Awaited {
            self.evidence = Evidence::None;
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

    /// Records that the connection to a leaf was lost. The canary waits for calls in progress until
    /// `canary_from`.
    pub(super) fn on_lost(&mut self, leaf: LeafKey, canary_from: Instant) {
        if self.state == State::Canary(leaf) {
            self.state = State::Harmful;
        } else {
            self.on_lost_elsewhere(canary_from);
        }
    }

    /// Records that another instance has lost connections under the request. The canary waits for calls
    /// in progress until `canary_from`.
    pub(super) fn on_lost_elsewhere(&mut self, canary_from: Instant) {
        match self.state {
            State::Clear if self.permits_canary => {
                self.state = State::Suspect;
                self.canary_from = Some(canary_from);
            }
            State::Clear => self.state = State::Stopped,
            State::Suspect
            | State::Canary(_)
            | State::Harmful
            | State::Stopped
            | State::Survived => {}
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
