//! Changes of the control record: the proposer, and the promises of witnesses.

mod attempt;
mod change;
mod promise;
mod step;

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

pub use self::change::Change;
pub use self::promise::Promises;
pub use self::step::Accepted;
pub use self::step::Error;
pub use self::step::ProposalId;
pub use self::step::Step;
pub use self::step::StoreRevision;
pub use self::step::StoredRecord;
pub use self::step::SwapOutcome;
use crate::state::id::Generation;
use crate::state::id::InstanceId;
use crate::state::id::OperationId;
use crate::state::id::Revision;
use crate::state::record::Member;
use crate::state::record::Record;

/// Timeouts of the proposer.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Timeout of a store request.
    pub store: Duration,
    /// Timeout for a majority of promises.
    pub announce: Duration,
    /// Time between two attempts to resolve an unknown outcome.
    pub resolve: Duration,
    /// The rule that a mutation test breaks deliberately.
    #[doc(hidden)]
    pub broken: Option<BrokenRule>,
}

/// Rules of the proposer that mutation tests break.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenRule {
    /// The proposer writes without waiting for promises.
    NoPromises,
    /// The operations in the record are not used to resolve a lost answer.
    OperationsIgnored,
    /// A change that the record already contains is written again.
    RepeatsWritten,
    /// A lost answer counts as accepted.
    LostAnswersTrusted,
    /// A rollout may be at a different stage from the one that the proposer saw.
    StagesUnchecked,
}

impl Limits {
    pub(super) fn breaks(&self, rule: BrokenRule) -> bool {
        self.broken == Some(rule)
    }

    /// Whether a change that the record already contains is skipped. With
    /// [`BrokenRule::OperationsIgnored`] it is not skipped, because that would still prevent most
    /// operations from being applied twice and hide the broken rule.
    pub(super) fn drops_repeats(&self) -> bool {
        !self.breaks(BrokenRule::RepeatsWritten) && !self.breaks(BrokenRule::OperationsIgnored)
    }
}

/// Limit on the operations in the queue of one instance, the current one included.
const MAX_QUEUE: usize = 64;

/// Attempts of one operation before the proposer gives up with [`Error::LostRace`].
const MAX_ATTEMPTS: u32 = 8;

/// Retractions kept so that lost ones can be resent.
const MAX_RETRACTED: usize = 64;

#[derive(Debug)]
struct Job {
    operation: OperationId,
    change: Change,
    attempts: u32,
    /// [`Error::Unknown`] was already reported to the requester.
    reported: bool,
}

#[derive(Debug)]
struct Plan {
    base: StoredRecord,
    next: Arc<Record>,
    proposal: ProposalId,
    witnesses: Vec<Member>,
    /// An attempt to write may have taken effect, or may still do so.
    uncertain: bool,
}

#[derive(Debug)]
enum State {
    Idle,
    Reading {
        until: Instant,
    },
    WritingBody {
        plan: Plan,
        until: Instant,
    },
    Announced {
        plan: Plan,
        promised: BTreeSet<InstanceId>,
        until: Instant,
    },
    Swapping {
        plan: Plan,
        until: Instant,
    },
    /// The outcome is unknown. The proposer reads the record and repeats the same compare-and-swap
    /// until the outcome is known. At most one repetition can take effect, because all expect the
    /// same revision.
    Resolving {
        plan: Plan,
        again: Instant,
    },
}

/// Executes operations sequentially: reads the record, collects promises and writes the new record.
#[derive(Debug)]
pub struct Proposer {
    /// The proposer's part of each [`ProposalId`]. Does not change if the instance generates a new
    /// id.
    instance: InstanceId,
    limits: Limits,
    announcements: u64,
    queue: VecDeque<Job>,
    state: State,
    terminated: BTreeSet<InstanceId>,
    retracted: VecDeque<ProposalId>,
}

impl Proposer {
    /// Creates an idle proposer.
    #[must_use]
    pub fn new(instance: InstanceId, limits: Limits) -> Self {
        Self {
            instance,
            limits,
            announcements: 0,
            queue: VecDeque::new(),
            state: State::Idle,
            terminated: BTreeSet::new(),
            retracted: VecDeque::new(),
        }
    }

    /// Whether no operation is in progress or queued.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns when [`Self::tick`] must be called next, or `None` if the proposer is idle.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        match &self.state {
            State::Idle => None,
            State::Reading { until }
            | State::WritingBody { until, .. }
            | State::Announced { until, .. }
            | State::Swapping { until, .. } => Some(*until),
            State::Resolving { again, .. } => Some(*again),
        }
    }

    /// Sets the witnesses whose processes are known to have terminated so long ago that their
    /// heartbeats have expired. They count as if they had promised.
    pub fn set_terminated(&mut self, terminated: BTreeSet<InstanceId>) {
        self.terminated = terminated;
    }

    /// Queues an operation. If the queue is full, the operation ends with [`Error::Busy`]. An
    /// operation that is already queued is not queued again.
    pub fn submit(&mut self, operation: OperationId, change: Change, now: Instant) -> Vec<Step> {
        let mut queue = self.queue.iter_mut();
        if let Some(job) = queue.find(|job| job.operation == operation) {
            // The result of the first submission is reported for both.
            job.reported = false;
            return Vec::new();
        }
        if self.queue.len() >= MAX_QUEUE {
            let result = Err(Error::Busy(self.queue.len()));
            return vec![Step::Finished { operation, result }];
        }
        self.queue.push_back(Job {
            operation,
            change,
            attempts: 0,
            reported: false,
        });
        self.start(now)
    }

    fn start(&mut self, now: Instant) -> Vec<Step> {
        if self.queue.is_empty() || !matches!(self.state, State::Idle) {
            return Vec::new();
        }
        let until = now + self.limits.store;
        self.state = State::Reading { until };
        vec![Step::Read]
    }

    /// Completes the current operation and starts the next one.
    fn finish(&mut self, result: Result<Accepted, Error>, now: Instant) -> Vec<Step> {
        self.state = State::Idle;
        let mut steps = Vec::new();
        if let Some(job) = self.queue.pop_front()
            && !job.reported
        {
            let operation = job.operation;
            steps.push(Step::Finished { operation, result });
        }
        steps.extend(self.start(now));
        steps
    }

    /// Starts a new attempt after a definite failure. The new attempt checks the change against
    /// the record that it reads.
    fn retry(&mut self, plan: &Plan, now: Instant) -> Vec<Step> {
        let mut steps = vec![self.retract(plan)];
        let attempts = self.queue.front().map_or(0, |job| job.attempts);
        if attempts >= MAX_ATTEMPTS {
            let base = &plan.base.record;
            let result = Err(Error::LostRace {
                generation: Generation(base.generation.0 + 1),
                revision: base.file.map_or(Revision(0), |file| file.revision),
            });
            steps.extend(self.finish(result, now));
        } else {
            self.state = State::Idle;
            steps.extend(self.start(now));
        }
        steps
    }

    /// Handles expired timeouts.
    pub fn tick(&mut self, now: Instant) -> Vec<Step> {
        if self.next_wakeup().is_none_or(|at| now < at) {
            return Vec::new();
        }
        match std::mem::replace(&mut self.state, State::Idle) {
            State::Idle => Vec::new(),
            State::Reading { .. } | State::WritingBody { .. } => {
                self.finish(Err(Error::StoreUnreachable), now)
            }
            State::Announced { plan, promised, .. } => {
                let mut steps = vec![self.retract(&plan)];
                let result = Err(Error::NoMajority {
                    promised: promised.len(),
                    needed: plan.base.record.majority(),
                });
                steps.extend(self.finish(result, now));
                steps
            }
            State::Swapping { plan, .. } | State::Resolving { plan, .. } => {
                let mut steps = self.report_unknown();
                steps.extend(self.resolve_later(plan, now));
                steps
            }
        }
    }

    fn report_unknown(&mut self) -> Vec<Step> {
        match self.queue.front_mut() {
            Some(job) if !job.reported => {
                job.reported = true;
                let operation = job.operation;
                let result = Err(Error::Unknown);
                vec![Step::Finished { operation, result }]
            }
            _ => Vec::new(),
        }
    }

    /// Whether the announcement was retracted. An accepted announcement is never retracted:
    /// otherwise a witness that has not seen the new record yet would confirm the old one again.
    #[must_use]
    pub fn retracted(&self, proposal: ProposalId) -> bool {
        self.retracted.contains(&proposal)
    }

    fn retract(&mut self, plan: &Plan) -> Step {
        self.retracted.push_back(plan.proposal);
        if self.retracted.len() > MAX_RETRACTED {
            self.retracted.pop_front();
        }
        Step::Retract {
            proposal: plan.proposal,
            witnesses: plan.witnesses.clone(),
        }
    }
}
