//! The progress of one shard of a request.

use std::time::Instant;

use super::message::Shard;
use super::message::ShardAssignment;
use crate::coordination::serving::fleet::LeafKey;
use crate::coordination::serving::fleet::LeafLimits;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    Open,
    Answered,
    Failed,
}

#[derive(Clone, Debug)]
pub(super) struct Progress {
    pub(super) service: Box<str>,
    pub(super) limits: LeafLimits,
    pub(super) state: State,
    // Whether another instance was asked for the shard, and how many of their answers are due.
    pub(super) handed_over: bool,
    pub(super) pending_handovers: u32,
    pub(super) in_flight: Vec<LeafKey>,
    pub(super) tried: Vec<LeafKey>,
    pub(super) sent_calls: u32,
    pub(super) unsent: u8,
    pub(super) hedge_at: Option<Instant>,
    pub(super) recheck_at: Option<Instant>,
}

impl Progress {
    pub(super) fn new(shard: Shard) -> Self {
        let handed_over = shard.assignment == ShardAssignment::HandedOver;
        Self {
            service: shard.service,
            limits: shard.limits,
            state: match shard.assignment {
                ShardAssignment::Local | ShardAssignment::HandedOver => State::Open,
                ShardAssignment::Skipped => State::Failed,
            },
            handed_over,
            pending_handovers: u32::from(handed_over),
            in_flight: Vec::new(),
            tried: Vec::new(),
            sent_calls: 0,
            unsent: 0,
            hedge_at: None,
            recheck_at: None,
        }
    }

    /// Returns whether neither a call nor a handover of the shard is in progress.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.is_empty() && self.pending_handovers == 0
    }
}
