//! One attempt of the proposer: reads, announces, writes, and resolves a lost answer.

use std::sync::Arc;
use std::time::Instant;

use crate::coordination::proposal::Accepted;
use crate::coordination::proposal::BrokenRule;
use crate::coordination::proposal::Error;
use crate::coordination::proposal::Plan;
use crate::coordination::proposal::ProposalId;
use crate::coordination::proposal::Proposer;
use crate::coordination::proposal::State;
use crate::coordination::proposal::Step;
use crate::coordination::proposal::StoreRevision;
use crate::coordination::proposal::StoredRecord;
use crate::coordination::proposal::SwapOutcome;
use crate::state::id::InstanceId;
use crate::state::record::Member;
use crate::state::record::Record;

impl Proposer {
    /// Handles the answer to [`Step::Read`]: the record, or `None` if the store has none.
    pub fn on_read<E>(
        &mut self,
        result: Result<Option<StoredRecord>, E>,
        now: Instant,
    ) -> Vec<Step> {
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

    fn plan(&mut self, stored: Option<StoredRecord>, now: Instant) -> Vec<Step> {
        let mut steps = Vec::new();
        steps.extend(stored.clone().map(Step::Observed));
        let base = stored.unwrap_or_else(|| StoredRecord {
            record: Arc::new(Record::empty()),
            revision: StoreRevision(0),
        });
        let Some(job) = self.queue.front_mut() else {
            return steps;
        };
        job.attempts += 1;
        if let Some(applied) = base.record.applied(job.operation)
            && !self.limits.breaks(BrokenRule::OperationsIgnored)
        {
            let generation = applied.generation;
            steps.extend(self.finish(Ok(Accepted { generation }), now));
            return steps;
        }
        let limits = &self.limits;
        match job.change.apply(job.operation, &base.record, limits) {
            Err(error) => steps.extend(self.finish(Err(error), now)),
            Ok(None) => {
                let generation = base.record.generation;
                steps.extend(self.finish(Ok(Accepted { generation }), now));
            }
            Ok(Some(next)) => {
                let plan = self.plan_to_write(base, next);
                steps.extend(self.write_body_or_announce(plan, now));
            }
        }
        steps
    }

    fn plan_to_write(&mut self, base: StoredRecord, next: Record) -> Plan {
        self.announcements += 1;
        Plan {
            witnesses: base.record.witnesses().cloned().collect(),
            proposal: ProposalId {
                proposer: self.instance,
                number: self.announcements,
            },
            next: Arc::new(next),
            base,
            uncertain: false,
        }
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

    /// Handles the answer to [`Step::WriteBody`].
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
        let is_terminated = |witness: &Member| self.terminated.contains(&witness.instance);
        let live_witnesses = plan
            .witnesses
            .iter()
            .filter(|member| !is_terminated(member));
        let live_witnesses: Vec<Member> = live_witnesses.cloned().collect();
        let promised = plan.witnesses.iter().filter(|member| is_terminated(member));
        let promised = promised.map(|member| member.instance).collect();
        let step = Step::Announce {
            proposal: plan.proposal,
            generation: plan.next.generation,
            witnesses: live_witnesses.clone(),
        };
        let until = now + self.limits.announce;
        self.state = State::Announced {
            plan,
            promised,
            until,
        };
        let mut steps = Vec::new();
        if !live_witnesses.is_empty() {
            steps.push(step);
        }
        steps.extend(self.swap_if_promised(now));
        steps
    }

    /// Handles a promise. Promises for other announcements or from other instances are ignored.
    pub fn on_promise(
        &mut self,
        proposal: ProposalId,
        witness: InstanceId,
        now: Instant,
    ) -> Vec<Step> {
        if let State::Announced { plan, promised, .. } = &mut self.state
            && plan.proposal == proposal
            && plan
                .witnesses
                .iter()
                .any(|member| member.instance == witness)
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
        if !enough && !self.limits.breaks(BrokenRule::NoPromises) {
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

    /// Handles a refusal by a witness that has seen this or a higher generation or a retraction of
    /// the announcement, and starts a new attempt.
    pub fn on_refusal(&mut self, proposal: ProposalId, now: Instant) -> Vec<Step> {
        match std::mem::replace(&mut self.state, State::Idle) {
            State::Announced { plan, .. } if plan.proposal == proposal => self.retry(&plan, now),
            other => {
                self.state = other;
                Vec::new()
            }
        }
    }

    /// Handles the answer to [`Step::Swap`].
    pub fn on_swapped(&mut self, swapped: SwapOutcome, now: Instant) -> Vec<Step> {
        match std::mem::replace(&mut self.state, State::Idle) {
            State::Swapping { plan, .. } => match swapped {
                SwapOutcome::Written(revision) => self.accept(&plan, revision, now),
                SwapOutcome::Unknown if self.limits.breaks(BrokenRule::LostAnswersTrusted) => {
                    let revision = StoreRevision(plan.base.revision.0 + 1);
                    self.accept(&plan, revision, now)
                }
                // A conflict can mean that an earlier compare-and-swap of the same plan took
                // effect, and an unknown outcome that this one did. The proposer reads the record
                // again.
                SwapOutcome::Conflict | SwapOutcome::Unknown => self.resolve_later(plan, now),
                SwapOutcome::NotSent if plan.uncertain => self.resolve_later(plan, now),
                SwapOutcome::NotSent => {
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
        let mut steps = vec![Step::Observed(StoredRecord { record, revision })];
        steps.extend(self.finish(Ok(Accepted { generation }), now));
        steps
    }

    pub(super) fn resolve_later(&mut self, mut plan: Plan, now: Instant) -> Vec<Step> {
        plan.uncertain = true;
        let again = now + self.limits.resolve;
        self.state = State::Resolving { plan, again };
        vec![Step::Read]
    }

    fn resolve(&mut self, plan: Plan, stored: StoredRecord, now: Instant) -> Vec<Step> {
        if stored.revision == plan.base.revision {
            return self.swap(plan, now);
        }
        let operation = self.queue.front().map(|job| job.operation);
        let operation = operation.filter(|_| !self.limits.breaks(BrokenRule::OperationsIgnored));
        let applied = operation.and_then(|operation| stored.record.applied(operation));
        let applied = applied.map(|applied| applied.generation);
        let oldest = stored.record.operations.first();
        let remembered = oldest.is_some_and(|oldest| oldest.generation <= plan.next.generation);
        let mut steps = vec![Step::Observed(stored)];
        steps.extend(match applied {
            Some(generation) => self.finish(Ok(Accepted { generation }), now),
            None if remembered => self.retry(&plan, now),
            // Later changes have displaced this generation from the record's operations, so the
            // outcome cannot be determined; a second attempt could apply the operation twice.
            None => self.finish(Err(Error::Unknown), now),
        });
        steps
    }
}
