//! The timeline events of one leaf.

use std::sync::Arc;

use camphorhold::coordination::warmth;
use camphorhold::state::event::Kind;
use camphorhold::state::event::Reason;
use camphorhold::state::event::Subject;
use camphorhold::state::id::LeafId;
use camphorhold::state::id::ServiceName;

use crate::timeline::Recorder;

/// Records changes of the ownership, warmth and connections of one leaf in the timeline.
pub struct LeafTimeline {
    recorder: Arc<Recorder>,
    subject: Subject,
    owned: bool,
    warmth: Stage,
}

/// The stages of warmth that the timeline distinguishes. A leaf that is ramping up counts as cold.
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

impl LeafTimeline {
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

    /// Records a change of ownership. `held` means that this instance may send calls, `owned` that
    /// it is the owner according to the record.
    pub fn ownership(&mut self, held: bool, owned: bool) {
        if held && !self.owned {
            self.owned = true;
            self.record(Kind::OwnershipGained {});
        } else if !owned && self.owned {
            self.owned = false;
            self.record(Kind::OwnershipReleased {});
        }
    }

    /// Records a change between stages of warmth.
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

    /// Records the loss of a connection that this instance did not close.
    pub fn connection_lost(&self) {
        let reason = Reason("ended by the backend server".into());
        self.record(Kind::ConnectionLost { reason });
    }

    fn record(&self, kind: Kind) {
        self.recorder.record(kind, self.subject.clone());
    }
}
