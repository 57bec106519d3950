//! What the time line tells about a leaf.

use std::sync::Arc;

use camphorhold::coordination::warmth;
use camphorhold::state::event::Kind;
use camphorhold::state::event::Reason;
use camphorhold::state::event::Subject;
use camphorhold::state::id::LeafId;
use camphorhold::state::id::ServiceName;

use crate::timeline::Recorder;

/// Records the changes of one leaf.
pub struct Notes {
    recorder: Arc<Recorder>,
    subject: Subject,
    owned: bool,
    warmth: Stage,
}

/// The warmth of a leaf, as far as the time line tells.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Unknown,
    Cold,
    Warm,
}

impl From<warmth::State> for Stage {
    fn from(state: warmth::State) -> Self {
        match state {
            warmth::State::Unknown => Self::Unknown,
            warmth::State::Cold { .. } | warmth::State::Ramping { .. } => Self::Cold,
            warmth::State::Warm => Self::Warm,
        }
    }
}

impl Notes {
    pub fn new(recorder: Arc<Recorder>, service: ServiceName, leaf: LeafId) -> Self {
        Self {
            recorder,
            subject: Subject {
                service: Some(service),
                leaf: Some(leaf),
                ..Subject::default()
            },
            owned: false,
            warmth: Stage::Unknown,
        }
    }

    /// Takes note of the ownership. `held` means that this instance may send, `owned` that it is
    /// the owner by the record.
    pub fn ownership(&mut self, held: bool, owned: bool) {
        if held && !self.owned {
            self.owned = true;
            self.record(Kind::OwnershipGained {});
        } else if !owned && self.owned {
            self.owned = false;
            self.record(Kind::OwnershipReleased {});
        }
    }

    /// Takes note of the warmth.
    pub fn warmth(&mut self, state: warmth::State) {
        let warmth = Stage::from(state);
        if warmth != self.warmth {
            self.warmth = warmth;
            self.record(match warmth {
                Stage::Unknown => Kind::LeafUnknown {},
                Stage::Cold => Kind::LeafCold {},
                Stage::Warm => Kind::LeafWarm {},
            });
        }
    }

    /// Takes note of a connection that the backend server ended.
    pub fn connection_lost(&self) {
        let reason = Reason("ended by the backend server".into());
        self.record(Kind::ConnectionLost { reason });
    }

    fn record(&self, kind: Kind) {
        self.recorder.record(kind, self.subject.clone());
    }
}
