//! Checks that use only the records that the store accepted and the published views.

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

/// No instance acts on an older generation later than this after the store accepted a new one.
pub const CURRENCY_BOUND: Duration = Duration::from_secs(3);

/// Without faults, every instance applies an accepted generation within this time.
pub const SPREAD_BOUND: Duration = Duration::from_secs(5);

/// A check that failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// An instance acts on an old generation although the store accepted a later one more than
    /// [`CURRENCY_BOUND`] ago.
    ActsOnOld {
        node: usize,
        acts_on: Generation,
        accepted: Generation,
        late: Duration,
    },
    /// An instance returned to an earlier generation.
    Reverted { node: usize },
    /// Two instances may send to the same leaf at the same time.
    TwoOwners {
        leaf: LeafId,
        nodes: (usize, usize),
        generations: (Generation, Generation),
    },
    /// The store accepted an operation twice.
    AppliedTwice(OperationId),
    /// The accepted generation did not rise by exactly one.
    GenerationSkipped(Generation),
    /// An instance stopped acting although an outage of the store was the only fault.
    StoppedByOutage { node: usize },
    /// An instance did not apply an accepted generation in time although there was no fault.
    NotSpread { node: usize, accepted: Generation },
    /// An instance applied a record that differs from the one accepted at its generation.
    OtherRecord { node: usize, generation: Generation },
    /// An accepted stage differs from the proposed one, or does not follow the stage that its
    /// proposer had seen.
    StageSkipped(OperationId),
    /// An instance reported an operation as not accepted, but the store accepted it.
    FalseRefusal(OperationId),
    /// An instance reported an operation as accepted at a generation at which it was not.
    FalseAcceptance(OperationId),
    /// After all faults ended, an instance lacks a fact that another one observed.
    FactMissing { node: usize, fact: Fact },
    /// An instance shows an expired fact.
    FactKept { node: usize, fact: Fact },
    /// After all faults ended, an instance is not an acting member on the accepted generation.
    NotConverged { node: usize, found: String },
}

#[derive(Default)]
pub struct Oracle {
    /// The accepted generations with the time of their acceptance.
    accepted: Vec<(Generation, Duration)>,
    /// The accepted records, in the order of their generations.
    records: Vec<Arc<Record>>,
    /// The operations that the store accepted.
    operations: BTreeSet<OperationId>,
    /// Proposed stages: for each operation the stage that its proposer saw, and the one that it
    /// proposed.
    proposed_stages: BTreeMap<OperationId, (Option<Stage>, Stage)>,
    /// Operations on stages that an instance reported as not accepted.
    refused: BTreeSet<OperationId>,
    /// A violation that was found outside [`Oracle::check`], which reports it.
    failure: Option<Violation>,
    /// The last generation of each process, by node and number of starts.
    last_generations: BTreeMap<(usize, u64), Generation>,
    /// Instances that acted when the outage of the store began. Empty if there is no outage, or if
    /// another fault happened since.
    acting_at_outage: BTreeSet<usize>,
    /// Time since which there has been no fault: the network and the store deliver everything, and
    /// no process is frozen. `None` while there are faults.
    undisturbed_since: Option<Duration>,
}

impl Oracle {
    /// Records that the store accepted the record.
    pub fn on_accepted(&mut self, record: &Arc<Record>, now: Duration) {
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

    /// Records that an instance proposes a stage.
    pub fn on_stage_proposed(
        &mut self,
        operation: OperationId,
        expected: Option<Stage>,
        stage: Stage,
    ) {
        self.proposed_stages.insert(operation, (expected, stage));
    }

    /// Returns whether the record contains the proposed stage, and the record before it the
    /// expected one. For other operations, returns whether the rollouts are unchanged.
    fn stage_follows(&self, operation: OperationId, record: &Record) -> bool {
        let empty = BTreeMap::new();
        let before = self.records.last().map_or(&empty, |last| &last.rollouts);
        match self.proposed_stages.get(&operation) {
            Some((expected, stage)) => {
                before.values().next() == expected.as_ref()
                    && record.rollouts.values().next() == Some(stage)
            }
            None => *before == record.rollouts,
        }
    }

    /// Records the result that an instance reports to the requester of an operation.
    pub fn on_finished(&mut self, operation: OperationId, result: &Result<Accepted, Error>) {
        match result {
            Ok(accepted) => {
                let position = usize::try_from(accepted.generation.0).unwrap() - 1;
                let record = self.records.get(position);
                // An operation that changes nothing makes no generation, so no record lists it.
                let changes_stage = self.proposed_stages.get(&operation);
                let changes_stage =
                    changes_stage.is_some_and(|(before, after)| before.as_ref() != Some(after));
                let listed = changes_stage || self.operations.contains(&operation);
                let found = record.and_then(|record| record.applied(operation));
                if listed && found.is_none_or(|found| found.generation != accepted.generation) {
                    self.failure = Some(Violation::FalseAcceptance(operation));
                }
            }
            // Only stages have a single proposer. Another instance may carry out a file operation
            // with the same id.
            Err(error)
                if *error != Error::Unknown && self.proposed_stages.contains_key(&operation) =>
            {
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

    /// Records a fault. From then on, an outage of the store does not count as the only fault.
    pub fn mark_disturbed(&mut self) {
        self.undisturbed_since = None;
        self.acting_at_outage.clear();
    }

    /// Records that all faults have ended.
    pub fn mark_undisturbed(&mut self, now: Duration) {
        self.undisturbed_since.get_or_insert(now);
    }

    /// Returns whether there were no faults and no accepted records for the given time.
    pub fn undisturbed_for(&self, time: Duration, now: Duration) -> bool {
        self.undisturbed_since
            .is_some_and(|since| since + time <= now)
            && self.last_accepted_at() + time <= now
    }

    /// Records the beginning of an outage of the store, which is the only fault.
    pub fn outage_began(&mut self, nodes: &[Node], now: Duration) {
        self.undisturbed_since = None;
        self.acting_at_outage = acting(nodes, now).collect();
    }

    /// Returns the first violation found, in the recorded inputs or in the views.
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
                .last_generations
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

/// Returns the instances that may act on their views now.
fn acting(nodes: &[Node], now: Duration) -> impl Iterator<Item = usize> {
    nodes.iter().enumerate().filter_map(move |(node, slot)| {
        let view = slot.active_view()?;
        view.may_act(slot.local(now)).then_some(node)
    })
}
