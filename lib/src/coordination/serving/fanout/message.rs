//! What goes into a fan-out and comes out of it: the request, the calls to send, their outcomes and
//! the verdict.

use std::time::Duration;
use std::time::Instant;

use crate::coordination::merge::Coverage;
use crate::coordination::serving::fleet::LeafKey;
use crate::coordination::serving::fleet::LeafLimits;
use crate::coordination::serving::retry_budget::ExtraCall;
use crate::state::plan::CallSemantics;

/// A shard of a request.
#[derive(Clone, Debug)]
pub struct Shard {
    /// The service whose leafs hold the shard.
    pub service: Box<str>,
    /// The limits that apply to each of its leafs.
    pub limits: LeafLimits,
    /// Which instance calls its leafs.
    pub assignment: ShardAssignment,
}

/// Which instance calls the leafs of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardAssignment {
    /// This instance.
    Local,
    /// Another instance.
    HandedOver,
    /// None, because the shard has reached its concurrency limit. It counts as failed.
    Skipped,
}

/// The shards of a request, its limits and its deadlines.
#[derive(Clone, Debug)]
pub struct Request {
    /// The shards. Other types refer to a shard by its position in this list.
    pub shards: Vec<Shard>,
    /// When the request arrived.
    pub started: Instant,
    /// Whether the concurrency limits of its shards apply. They do not apply to a query that
    /// another instance handed over, because that instance counts it, nor to a request to one
    /// service, because its leafs refuse requests themselves.
    pub limits_concurrency: bool,
    /// Whether the request may run more than once.
    pub semantics: CallSemantics,
    /// The smallest fraction of shards, from 0 to 1, that have to answer for the request to
    /// succeed.
    pub min_coverage: f64,
    /// How many leafs of one shard may receive the request; 0 counts as 1.
    pub max_leafs: usize,
    /// Whether the request has ended leafs before. Then one leaf has to survive it before it is sent
    /// to another one.
    pub is_suspect: bool,
    /// Whether a second leaf may get the request after the connection to one was lost and before one
    /// has survived it. Otherwise the instance that handed the query over decides that.
    pub permits_canary: bool,
    /// How long a call may take before a second leaf is called; `None` turns hedging off.
    pub hedge_delay: Option<Duration>,
    /// The time at which a request is refused if no call could be sent and no shard has answered. A
    /// caller that is refused early can still get an answer in time elsewhere.
    pub refuse_by: Instant,
    /// From this time on, an answer that reaches `min_coverage` is given even if shards are
    /// missing.
    pub answer_by: Instant,
    /// When the request fails if it has not reached `min_coverage`.
    pub deadline: Instant,
}

/// A call that has to be sent to a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeafCall {
    /// The position of the shard in the request.
    pub shard: usize,
    /// The leaf to call.
    pub leaf: LeafKey,
    /// When the leaf has to stop working on the call.
    pub deadline: Instant,
    /// Why the call is made in addition to an earlier one of the shard; `None` for the first call.
    pub extra: Option<ExtraCall>,
    /// Whether the call replaces a handover that has failed or is late, but not one that was refused
    /// or not sent. Its connection is closed afterwards: the instance that regularly calls the leaf
    /// needs the leaf's connections.
    pub replaces_handover: bool,
}

/// How a call ended, as far as the request is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer is part of the result.
    Answered,
    /// A leaf has received the request and not run it.
    NotRun,
    /// No leaf has received the request: it could not be sent, or the instance to which it was handed
    /// over has called none.
    Unsent,
    /// The leaf failed, or may have run the request without an answer. An error says nothing about
    /// whether leafs survive the request: a leaf in trouble answers every request with one.
    Failed,
    /// The leaf has run the request and answered that the request is at fault.
    Rejected,
    /// The connection was lost before the answer was complete. The leaf may have run the request,
    /// and may have ended.
    Lost,
}

impl Outcome {
    /// Returns whether a leaf may have run the request.
    pub(super) fn may_have_run(self) -> bool {
        match self {
            Self::Answered | Self::Failed | Self::Rejected | Self::Lost => true,
            Self::NotRun | Self::Unsent => false,
        }
    }
}

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Too few shards can still answer to reach the minimum coverage.
    Unavailable,
    /// The deadline has passed.
    TimedOut,
}

/// How a request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The answers of the shards are merged and returned.
    Answer(Coverage),
    /// The request fails.
    GiveUp {
        /// Why it fails.
        reason: Reason,
        /// Whether a leaf may have run the request. If not, the caller may safely try again.
        may_have_run: bool,
        /// How many shards have answered.
        coverage: Coverage,
    },
}

/// Counts of a request's calls, and which shards have answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// How many shards have answered.
    pub coverage: Coverage,
    /// Calls to a second leaf because the first was late.
    pub hedges: u32,
    /// Calls that replaced a failed one.
    pub retries: u32,
    /// The positions of the shards that have answered.
    pub answered: Vec<usize>,
    /// The services of the shards that have not answered.
    pub missing: Vec<Box<str>>,
}
