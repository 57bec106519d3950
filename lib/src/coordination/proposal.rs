//! Changing the control record: promises of witnesses, and the proposer.

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
pub use self::step::Stored;
pub use self::step::Swapped;
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
    /// Whether promises are asked for. Off only in tests of the tests.
    pub ask_witnesses: bool,
    /// Whether a lost answer is resolved by the operations in the record. Off only in tests of the
    /// tests.
    pub check_operations: bool,
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
    base: Stored,
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
    pub fn idle(&self) -> bool {
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
    pub fn set_gone(&mut self, gone: BTreeSet<InstanceId>) {
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

    /// Takes the answer to [`Step::Read`]: the record, `None` if the store has none.
    pub fn on_read<E>(&mut self, result: Result<Option<Stored>, E>, now: Instant) -> Vec<Step> {
        match std::mem::replace(&mut self.state, State::Idle) {
            State::Reading { .. } => match result {
                Err(_) => self.finish(Err(Error::StoreUnreachable), now),
                Ok(stored) => self.plan(stored, now),
            },
            State::Resolving { plan, .. } => match result {
                Ok(Some(stored)) => self.resolve(plan, stored, now),
                Ok(None) if plan.base.revision == StoreRevision(0) => self.swap(plan, now),
                Ok(None) | Err(_) => {
                    let again = now + self.limits.resolve;
                    self.state = State::Resolving { plan, again };
                    Vec::new()
                }
            },
            other => {
                self.state = other;
                Vec::new()
            }
        }
    }

    fn plan(&mut self, stored: Option<Stored>, now: Instant) -> Vec<Step> {
        let mut steps = Vec::new();
        steps.extend(stored.clone().map(Step::Learned));
        let base = stored.unwrap_or_else(|| Stored {
            record: Arc::new(Record::empty()),
            revision: StoreRevision(0),
        });
        let Some(job) = self.queue.front_mut() else {
            return steps;
        };
        job.attempts += 1;
        if let Some(applied) = base.record.applied(job.operation)
            && self.limits.check_operations
        {
            let generation = applied.generation;
            steps.extend(self.finish(Ok(Accepted { generation }), now));
            return steps;
        }
        match job.change.apply(job.operation, &base.record) {
            Err(error) => steps.extend(self.finish(Err(error), now)),
            Ok(next) => {
                self.announcements += 1;
                let plan = Plan {
                    witnesses: base.record.witnesses().cloned().collect(),
                    proposal: ProposalId {
                        proposer: self.instance,
                        number: self.announcements,
                    },
                    next: Arc::new(next),
                    base,
                    uncertain: false,
                };
                steps.extend(self.write_body_or_announce(plan, now));
            }
        }
        steps
    }

    fn write_body_or_announce(&mut self, plan: Plan, now: Instant) -> Vec<Step> {
        let body = self.queue.front().and_then(|job| job.change.body());
        if let (Some(text), Some(file)) = (body, plan.next.file) {
            let until = now + self.limits.store;
            self.state = State::WritingBody { plan, until };
            return vec![Step::WriteBody { file, text }];
        }
        self.announce(plan, now)
    }

    /// Takes the answer to [`Step::WriteBody`].
    pub fn on_body_written(&mut self, written: bool, now: Instant) -> Vec<Step> {
        match std::mem::replace(&mut self.state, State::Idle) {
            State::WritingBody { plan, .. } if written => self.announce(plan, now),
            State::WritingBody { .. } => self.finish(Err(Error::StoreUnreachable), now),
            other => {
                self.state = other;
                Vec::new()
            }
        }
    }

    fn announce(&mut self, plan: Plan, now: Instant) -> Vec<Step> {
        let is_gone = |witness: &Member| self.gone.contains(&witness.instance);
        let asked = plan.witnesses.iter().filter(|member| !is_gone(member));
        let asked: Vec<Member> = asked.cloned().collect();
        let promised = plan.witnesses.iter().filter(|member| is_gone(member));
        let promised = promised.map(|member| member.instance).collect();
        let step = Step::Announce {
            proposal: plan.proposal,
            generation: plan.next.generation,
            witnesses: asked.clone(),
        };
        let until = now + self.limits.announce;
        self.state = State::Announced {
            plan,
            promised,
            until,
        };
        let mut steps = Vec::new();
        if !asked.is_empty() {
            steps.push(step);
        }
        steps.extend(self.swap_if_promised(now));
        steps
    }

    /// Takes the promise of a witness.
    pub fn on_promise(
        &mut self,
        proposal: ProposalId,
        witness: InstanceId,
        now: Instant,
    ) -> Vec<Step> {
        if let State::Announced { plan, promised, .. } = &mut self.state
            && plan.proposal == proposal
            && plan.witnesses.iter().any(|one| one.instance == witness)
        {
            promised.insert(witness);
        }
        self.swap_if_promised(now)
    }

    fn swap_if_promised(&mut self, now: Instant) -> Vec<Step> {
        let State::Announced { plan, promised, .. } = &self.state else {
            return Vec::new();
        };
        let needed = plan.base.record.majority();
        let enough = plan.witnesses.is_empty() || promised.len() >= needed;
        if !enough && self.limits.ask_witnesses {
            return Vec::new();
        }
        match std::mem::replace(&mut self.state, State::Idle) {
            State::Announced { plan, .. } => self.swap(plan, now),
            other => {
                self.state = other;
                Vec::new()
            }
        }
    }

    fn swap(&mut self, plan: Plan, now: Instant) -> Vec<Step> {
        let step = Step::Swap {
            expected: plan.base.revision,
            record: plan.next.clone(),
        };
        let until = now + self.limits.store;
        self.state = State::Swapping { plan, until };
        vec![step]
    }

    /// Takes the refusal of a witness, which has seen the generation already.
    pub fn on_refusal(&mut self, proposal: ProposalId, now: Instant) -> Vec<Step> {
        match std::mem::replace(&mut self.state, State::Idle) {
            State::Announced { plan, .. } if plan.proposal == proposal => self.retry(&plan, now),
            other => {
                self.state = other;
                Vec::new()
            }
        }
    }

    /// Takes the answer to [`Step::Swap`].
    pub fn on_swapped(&mut self, swapped: Swapped, now: Instant) -> Vec<Step> {
        match std::mem::replace(&mut self.state, State::Idle) {
            State::Swapping { plan, .. } => match swapped {
                Swapped::Written(revision) => self.accept(&plan, revision, now),
                // An earlier attempt may have made this one fail, so the store has to tell.
                Swapped::Conflict | Swapped::Unknown => self.resolve_later(plan, now),
                Swapped::NotSent if plan.uncertain => self.resolve_later(plan, now),
                Swapped::NotSent => {
                    let mut steps = vec![self.retract(&plan)];
                    steps.extend(self.finish(Err(Error::StoreUnreachable), now));
                    steps
                }
            },
            other => {
                self.state = other;
                Vec::new()
            }
        }
    }

    fn accept(&mut self, plan: &Plan, revision: StoreRevision, now: Instant) -> Vec<Step> {
        let generation = plan.next.generation;
        let record = plan.next.clone();
        let mut steps = vec![Step::Learned(Stored { record, revision })];
        steps.extend(self.finish(Ok(Accepted { generation }), now));
        steps
    }

    fn resolve_later(&mut self, mut plan: Plan, now: Instant) -> Vec<Step> {
        plan.uncertain = true;
        let again = now + self.limits.resolve;
        self.state = State::Resolving { plan, again };
        vec![Step::Read]
    }

    fn resolve(&mut self, plan: Plan, stored: Stored, now: Instant) -> Vec<Step> {
        if stored.revision == plan.base.revision {
            return self.swap(plan, now);
        }
        let operation = self.queue.front().map(|job| job.operation);
        let operation = operation.filter(|_| self.limits.check_operations);
        let applied = operation.and_then(|operation| stored.record.applied(operation));
        let applied = applied.map(|applied| applied.generation);
        let oldest = stored.record.operations.first();
        let remembered = oldest.is_some_and(|oldest| oldest.generation <= plan.next.generation);
        let mut steps = vec![Step::Learned(stored)];
        steps.extend(match applied {
            Some(generation) => self.finish(Ok(Accepted { generation }), now),
            None if remembered => self.retry(&plan, now),
            // So many changes came after that the record no longer tells; a second attempt could
            // apply the operation twice.
            None => self.finish(Err(Error::Unknown), now),
        });
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
