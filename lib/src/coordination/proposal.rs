//! Changing the control record: promises of witnesses, and the proposer.

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

/// Time limits of the proposer.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// For an answer of the store.
    pub store: Duration,
    /// For a majority of promises.
    pub announce: Duration,
    /// Between attempts to resolve an unknown outcome.
    pub resolve: Duration,
    /// Breaks a rule on purpose.
    #[doc(hidden)]
    pub broken: Option<BrokenRule>,
}

/// Rules of the proposer that tests of the tests break.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenRule {
    /// Promises are not asked for.
    NoPromises,
    /// A lost answer is not resolved by the operations in the record.
    OperationsIgnored,
    /// A change that the record holds already is written.
    RepeatsWritten,
    /// A lost answer counts as accepted.
    LostAnswersTrusted,
    /// A rollout may be at another stage than the proposer saw.
    StagesUnchecked,
}

impl Limits {
    pub(super) fn breaks(&self, rule: BrokenRule) -> bool {
        self.broken == Some(rule)
    }

    /// Tells whether a change that the record holds already is left out. Without a look at the
    /// operations, this would still keep most operations from being applied twice.
    pub(super) fn drops_repeats(&self) -> bool {
        !self.breaks(BrokenRule::RepeatsWritten) && !self.breaks(BrokenRule::OperationsIgnored)
    }
}

/// The longest queue of operations at one instance.
const MAX_QUEUE: usize = 64;

/// Attempts of one operation before its last lost race is reported.
const MAX_ATTEMPTS: u32 = 8;

/// Retractions remembered, to repeat those that were lost.
const MAX_RETRACTED: usize = 64;

#[derive(Debug)]
struct Job {
    operation: OperationId,
    change: Change,
    attempts: u32,
    reported: bool,
}

#[derive(Debug)]
struct Plan {
    base: StoredRecord,
    next: Arc<Record>,
    proposal: ProposalId,
    witnesses: Vec<Member>,
    /// An attempt to write may have taken effect or may do so later.
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
    /// The outcome is unknown. Reads and repeats the same compare-and-swap until one of them
    /// tells; both repeats cannot take effect, because they expect the same revision.
    Resolving {
        plan: Plan,
        again: Instant,
    },
}

/// Carries out operations, one after the other.
#[derive(Debug)]
pub struct Proposer {
    /// Names the announcements. Stays the same if the instance draws a new id.
    instance: InstanceId,
    limits: Limits,
    announcements: u64,
    queue: VecDeque<Job>,
    state: State,
    gone: BTreeSet<InstanceId>,
    retracted: VecDeque<ProposalId>,
}

impl Proposer {
    /// Creates a proposer with nothing to do.
    #[must_use]
    pub fn new(instance: InstanceId, limits: Limits) -> Self {
        Self {
            instance,
            limits,
            announcements: 0,
            queue: VecDeque::new(),
            state: State::Idle,
            gone: BTreeSet::new(),
            retracted: VecDeque::new(),
        }
    }

    /// Tells whether no operation is under way or waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns when [`Self::tick`] has something to do.
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

    /// Names the witnesses whose process has certainly ended for longer than the currency bound.
    /// They vouch for nothing any more, so they count as if they had promised.
    pub fn set_terminated(&mut self, gone: BTreeSet<InstanceId>) {
        self.gone = gone;
    }

    /// Accepts an operation.
    pub fn submit(&mut self, operation: OperationId, change: Change, now: Instant) -> Vec<Step> {
        let mut queue = self.queue.iter_mut();
        if let Some(job) = queue.find(|job| job.operation == operation) {
            // The answer to the first submission serves both.
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

    /// Ends the current operation and starts the next one.
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

    /// Starts over after a definite failure. Whether the change still fits is decided on the
    /// record that is read next.
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

    /// Acts on limits that have passed.
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

    /// Tells whether the announcement was retracted. One that was accepted never is: a witness that
    /// has not seen the new record yet would vouch for the old one again.
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
