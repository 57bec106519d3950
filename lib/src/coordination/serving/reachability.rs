//! Whether this instance can reach any leaf.
//!
//! A leaf that accepts no connection is usually down. If several leafs in a row accept none, a
//! sample of all leafs is probed, and if none of those accepts a connection, the instance is cut
//! off: the fault is that of its own links. It then probes until a leaf accepts a connection again.
//! Only new connections count, because open ones may live on while no new ones are established.

use super::fleet::LeafKey;

/// The number of different leafs without an accepted connection in between after which a sample is
/// probed. A request to a service with two leafs fails after that many.
const MAX_FAILED: usize = 2;

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// These leafs have accepted no connection since one was last accepted.
    Connected { failed: Vec<LeafKey> },
    /// A sample is being probed.
    Probing,
    /// No leaf of the last sample accepted a connection.
    CutOff,
}

/// What the attempts to connect to leafs say about the instance's own links.
#[derive(Clone, Debug)]
pub struct Reachability(State);

impl Default for Reachability {
    fn default() -> Self {
        Self(State::Connected { failed: Vec::new() })
    }
}

impl Reachability {
    /// Returns whether no leaf can be reached.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.0 == State::CutOff
    }

    /// Returns whether the result of a sample is due.
    #[must_use]
    pub fn awaits_probe(&self) -> bool {
        !matches!(self.0, State::Connected { .. })
    }

    /// Records that a leaf has accepted a connection.
    pub fn on_connected(&mut self) {
        if let State::Connected { failed } = &mut self.0 {
            failed.clear();
        }
    }

    /// Records that a leaf has accepted no connection. `leafs` is the number of known leafs. Returns
    /// whether a sample has to be probed now, the result of which goes to [`Self::on_probed`].
    pub fn on_connect_failed(&mut self, leaf: LeafKey, leafs: usize) -> bool {
        let State::Connected { failed } = &mut self.0 else {
            return false;
        };
        if !failed.contains(&leaf) {
            failed.push(leaf);
        }
        let is_suspicious = failed.len() >= MAX_FAILED.min(leafs);
        if is_suspicious {
            self.0 = State::Probing;
        }
        is_suspicious
    }

    /// Records whether a leaf of the sample has accepted a connection. Returns whether the instance
    /// is cut off, so that another sample has to be probed.
    pub fn on_probed(&mut self, any_accepted: bool) -> bool {
        self.0 = if any_accepted {
            State::Connected { failed: Vec::new() }
        } else {
            State::CutOff
        };
        !any_accepted
    }
}
