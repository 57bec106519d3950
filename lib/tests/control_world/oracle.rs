//! Checks that know only what the store accepted and what the views permit.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use camphorhold::state::id::Generation;
use camphorhold::state::id::LeafId;
use camphorhold::state::id::OperationId;
use camphorhold::state::record::Record;

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
    /// After everything healed, an instance is not where it should be.
    NotConverged { node: usize, found: String },
}

#[derive(Default)]
pub struct Oracle {
    accepted: Vec<(Generation, Duration)>,
    operations: BTreeSet<OperationId>,
    failure: Option<Violation>,
    seen: BTreeMap<(usize, u64), Generation>,
    /// Instances that acted as the outage of the store began.
    acting_at_outage: BTreeSet<usize>,
    /// Since when messages and store calls all arrive and no process is frozen.
    undisturbed_since: Option<Duration>,
}

impl Oracle {
    /// Notes what the store accepted.
    pub fn accepted(&mut self, record: &Record, now: Duration) {
        let last = self.accepted.last().map_or(0, |(last, _)| last.0);
        if record.generation.0 != last + 1 {
            self.failure = Some(Violation::GenerationSkipped(record.generation));
        }
        self.accepted.push((record.generation, now));
        if let Some(applied) = record.operations.last()
            && !self.operations.insert(applied.operation)
        {
            self.failure = Some(Violation::AppliedTwice(applied.operation));
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
            let seen = self.seen.entry((node, slot.starts)).or_insert(generation);
            if generation < *seen {
                return Err(Violation::Reverted { node });
            }
            *seen = generation;
            let next = self.accepted.get(usize::try_from(generation.0).unwrap());
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
