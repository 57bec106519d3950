//! Checks that know only what the store accepted and what the views permit.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use camphorhold::coordination::gossip::Fact;
use camphorhold::coordination::proposal::Accepted;
use camphorhold::coordination::proposal::Error;
use camphorhold::state::id::Generation;
use camphorhold::state::id::LeafId;
use camphorhold::state::id::OperationId;
use camphorhold::state::record::Record;
use camphorhold::state::rollout::Stage;

use super::Node;

/// After this time from acceptance, nobody acts on an older generation.
pub const CURRENCY_BOUND: Duration = Duration::from_secs(3);

/// An accepted generation is in force everywhere within this time, if nothing is in the way.
pub const SPREAD_BOUND: Duration = Duration::from_secs(5);

/// A check that failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// An instance acts on a generation after a later one had been accepted for the bound.
    ActsOnOld {
        node: usize,
        acts_on: Generation,
        accepted: Generation,
        late: Duration,
    },
    /// An instance went back to an earlier generation.
    Reverted { node: usize },
    /// Two instances may send to the same leaf.
    TwoOwners {
        leaf: LeafId,
        nodes: (usize, usize),
        generations: (Generation, Generation),
    },
    /// An operation was accepted twice.
    AppliedTwice(OperationId),
    /// The accepted generation rose by more than one, or fell.
    GenerationSkipped(Generation),
    /// An outage of the store, and nothing else, stopped an instance.
    StoppedByOutage { node: usize },
    /// An accepted generation did not come into force in time though nothing was in the way.
    NotSpread { node: usize, accepted: Generation },
    /// An instance acts on a record that is not the one accepted at its generation.
    OtherRecord { node: usize, generation: Generation },
    /// An accepted stage did not follow the stage that its proposer had seen, or is another one
    /// than was proposed.
    StageSkipped(OperationId),
    /// An operation was reported as not accepted, but it was.
    FalseRefusal(OperationId),
    /// An operation was reported as accepted at another generation than it was.
    FalseAcceptance(OperationId),
    /// After everything healed, an instance does not know a fact that another one observed.
    FactMissing { node: usize, fact: Fact },
    /// An instance still shows a fact that has expired.
    FactKept { node: usize, fact: Fact },
    /// After everything healed, an instance is not where it should be.
    NotConverged { node: usize, found: String },
}

#[derive(Default)]
pub struct Oracle {
    accepted: Vec<(Generation, Duration)>,
    records: Vec<Arc<Record>>,
    operations: BTreeSet<OperationId>,
    /// Stage changes that were proposed: the stage that the proposer saw, and the one to reach.
    stages: BTreeMap<OperationId, (Option<Stage>, Stage)>,
    refused: BTreeSet<OperationId>,
    failure: Option<Violation>,
    seen: BTreeMap<(usize, u64), Generation>,
    /// Instances that acted as the outage of the store began.
    acting_at_outage: BTreeSet<usize>,
    /// Since when messages and store calls all arrive and no process is frozen.
    undisturbed_since: Option<Duration>,
}

impl Oracle {
    /// Notes what the store accepted.
    pub fn accepted(&mut self, record: &Arc<Record>, now: Duration) {
        let last = self.accepted.last().map_or(0, |(last, _)| last.0);
        if record.generation.0 != last + 1 {
            self.failure = Some(Violation::GenerationSkipped(record.generation));
        }
        self.accepted.push((record.generation, now));
        if let Some(applied) = record.operations.last() {
            let operation = applied.operation;
            if !self.operations.insert(operation) {
                self.failure = Some(Violation::AppliedTwice(operation));
            } else if self.refused.contains(&operation) {
                self.failure = Some(Violation::FalseRefusal(operation));
            } else if !self.stage_follows(operation, record) {
                self.failure = Some(Violation::StageSkipped(operation));
            }
        }
        self.records.push(record.clone());
    }

    /// Notes that a change of the stage is proposed.
    pub fn stage_proposed(
        &mut self,
        operation: OperationId,
        expected: Option<Stage>,
        stage: Stage,
    ) {
        self.stages.insert(operation, (expected, stage));
    }

    fn stage_follows(&self, operation: OperationId, record: &Record) -> bool {
        let empty = BTreeMap::new();
        let before = self.records.last().map_or(&empty, |last| &last.rollouts);
        match self.stages.get(&operation) {
            Some((expected, stage)) => {
                before.values().next() == expected.as_ref()
                    && record.rollouts.values().next() == Some(stage)
            }
            None => *before == record.rollouts,
        }
    }

    /// Notes what whoever asked for the operation is told.
    pub fn finished(&mut self, operation: OperationId, result: &Result<Accepted, Error>) {
        match result {
            Ok(accepted) => {
                let position = usize::try_from(accepted.generation.0).unwrap() - 1;
                let record = self.records.get(position);
                // An operation that changes nothing leaves no trace.
                let moves = self.stages.get(&operation);
                let moves = moves.is_some_and(|(before, after)| before.as_ref() != Some(after));
                let made = moves || self.operations.contains(&operation);
                let found = record.and_then(|record| record.applied(operation));
                if made && found.is_none_or(|found| found.generation != accepted.generation) {
                    self.failure = Some(Violation::FalseAcceptance(operation));
                }
            }
            // Another instance may carry out the same file operation; stages have one proposer.
            Err(error) if *error != Error::Unknown && self.stages.contains_key(&operation) => {
                self.refused.insert(operation);
                if self.operations.contains(&operation) {
                    self.failure = Some(Violation::FalseRefusal(operation));
                }
            }
            Err(_) => {}
        }
    }

    pub fn last_accepted(&self) -> Generation {
        self.accepted.last().map_or(Generation(0), |last| last.0)
    }

    pub fn last_accepted_at(&self) -> Duration {
        self.accepted.last().map_or(Duration::ZERO, |last| last.1)
    }

    pub fn disturbed(&mut self) {
        self.undisturbed_since = None;
        self.acting_at_outage.clear();
    }

    pub fn undisturbed(&mut self, now: Duration) {
        self.undisturbed_since.get_or_insert(now);
    }

    /// Tells whether nothing has been in the way for the time.
    pub fn calm_for(&self, time: Duration, now: Duration) -> bool {
        self.undisturbed_since
            .is_some_and(|since| since + time <= now)
            && self.last_accepted_at() + time <= now
    }

    pub fn outage_began(&mut self, nodes: &[Node], now: Duration) {
        self.undisturbed_since = None;
        self.acting_at_outage = acting(nodes, now).collect();
    }

    pub fn check(&mut self, nodes: &[Node], now: Duration) -> Result<(), Violation> {
        if let Some(failure) = &self.failure {
            return Err(failure.clone());
        }
        self.check_generations(nodes, now)?;
        Self::check_owners(nodes, now)?;
        if !self.acting_at_outage.is_empty() {
            let acting: BTreeSet<_> = acting(nodes, now).collect();
            if let Some(node) = self.acting_at_outage.difference(&acting).next() {
                return Err(Violation::StoppedByOutage { node: *node });
            }
        }
        self.check_spread(nodes, now)
    }

    fn check_generations(&mut self, nodes: &[Node], now: Duration) -> Result<(), Violation> {
        for (node, slot) in nodes.iter().enumerate() {
            let Some(view) = slot.active_view() else {
                continue;
            };
            let generation = view.generation();
            let seen = self
                .seen
                .entry((node, slot.starts))
                .or_insert(Generation(0));
            if generation < *seen {
                return Err(Violation::Reverted { node });
            }
            let position = usize::try_from(generation.0).unwrap();
            if generation > *seen && self.records.get(position - 1) != Some(&view.record) {
                return Err(Violation::OtherRecord { node, generation });
            }
            *seen = generation;
            let next = self.accepted.get(position);
            if let Some((accepted, at)) = next
                && view.may_act(slot.local(now))
                && now > *at + CURRENCY_BOUND
            {
                return Err(Violation::ActsOnOld {
                    node,
                    acts_on: generation,
                    accepted: *accepted,
                    late: now.saturating_sub(*at),
                });
            }
        }
        Ok(())
    }

    fn check_owners(nodes: &[Node], now: Duration) -> Result<(), Violation> {
        let mut senders: BTreeMap<LeafId, (usize, Generation)> = BTreeMap::new();
        for (node, slot) in nodes.iter().enumerate() {
            let Some(view) = slot.active_view() else {
                continue;
            };
            let local = slot.local(now);
            for (leaf, assignment) in view.ownership.leafs() {
                if assignment.ready_at.is_none() || !view.may_send(leaf, local) {
                    continue;
                }
                let sender = (node, view.generation());
                if let Some(other) = senders.insert(leaf, sender) {
                    return Err(Violation::TwoOwners {
                        leaf,
                        nodes: (other.0, node),
                        generations: (other.1, sender.1),
                    });
                }
            }
        }
        Ok(())
    }

    fn check_spread(&self, nodes: &[Node], now: Duration) -> Result<(), Violation> {
        let Some(undisturbed) = self.undisturbed_since else {
            return Ok(());
        };
        for (node, slot) in nodes.iter().enumerate() {
            let Some(view) = slot.active_view() else {
                continue;
            };
            let next = self
                .accepted
                .get(usize::try_from(view.generation().0).unwrap());
            if let Some((accepted, at)) = next {
                let since = undisturbed.max(*at).max(slot.started_at);
                if now > since + SPREAD_BOUND {
                    let accepted = *accepted;
                    return Err(Violation::NotSpread { node, accepted });
                }
            }
        }
        Ok(())
    }
}

fn acting(nodes: &[Node], now: Duration) -> impl Iterator<Item = usize> {
    nodes.iter().enumerate().filter_map(move |(node, slot)| {
        let view = slot.active_view()?;
        view.may_act(slot.local(now)).then_some(node)
    })
}
