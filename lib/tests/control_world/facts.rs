//! Facts that the instances observed, and what the views must show of them.

use std::collections::BTreeMap;
use std::time::Duration;

use camphorhold::coordination::control::Input;
use camphorhold::coordination::gossip::Fact;
use camphorhold::coordination::gossip::Subject;
use camphorhold::state::id::Fingerprint;
use camphorhold::state::id::LeafId;
use camphorhold::state::id::PartitionId;
use camphorhold::state::id::ServerIncarnation;
use camphorhold::state::id::SnapshotId;
use camphorhold::state::view::Temperature;
use camphorhold::state::view::View;

use super::World;
use super::oracle::Violation;

/// How long drain signals and leaf statuses stay.
const SIGNAL_TTL: Duration = Duration::from_mins(1);

/// How long poison counts stay.
const POISON_TTL: Duration = Duration::from_mins(10);

/// Ages do not include the time on the way. A fact passes a few instances, and a message takes up
/// to 3 s on a disturbed network.
const EXPIRY_MARGIN: Duration = Duration::from_secs(20);

struct Observation {
    node: usize,
    starts: u64,
    at: Duration,
}

/// The last observation of each fact by each process, the oldest observations of a fact included.
#[derive(Default)]
pub struct Observed {
    facts: BTreeMap<Subject, (Fact, Vec<Observation>)>,
}

pub fn fact(number: u8) -> Fact {
    let variant = number / 4;
    let leaf = LeafId(([127, 0, 0, 1], 7000 + u16::from(variant)).into());
    match number % 4 {
        0 => Fact::Drain { leaf },
        1 => Fact::Revocation {
            service: "app".parse().unwrap(),
            version: format!("fact-{variant}").parse().unwrap(),
        },
        2 => Fact::Poison {
            fingerprint: Fingerprint(variant.into()),
            crashes: 1,
        },
        _ => leaf_status(leaf, 1),
    }
}

pub fn leaf_status(leaf: LeafId, snapshot: u64) -> Fact {
    Fact::LeafStatus {
        leaf,
        incarnation: ServerIncarnation(1),
        holds: vec![SnapshotId(snapshot)],
        partition: PartitionId(1),
        temperature: Temperature::Warm,
    }
}

fn ttl(fact: &Fact) -> Option<Duration> {
    match fact {
        Fact::Revocation { .. } => None,
        Fact::Poison { .. } => Some(POISON_TTL),
        _ => Some(SIGNAL_TTL),
    }
}

fn shows(view: &View, fact: &Fact) -> bool {
    match fact {
        Fact::Drain { leaf } => view.draining_leafs.contains(leaf),
        Fact::Revocation { service, version } => view
            .revocations
            .contains(&(service.clone(), version.clone())),
        Fact::Poison { fingerprint, .. } => view.crash_counts.contains_key(fingerprint),
        Fact::LeafStatus { leaf, .. } => view.leaf_statuses.contains_key(leaf),
        Fact::Evidence { .. } | Fact::Suspicion { .. } => true,
    }
}

impl World {
    /// Lets the instance observe a fact.
    pub fn observe(&mut self, node: usize, fact: Fact) {
        let slot = &self.nodes[node];
        if slot.active_view().is_none() {
            return;
        }
        let observation = Observation {
            node,
            starts: slot.starts,
            at: self.now,
        };
        let (_, observations) = self
            .observed
            .facts
            .entry(fact.subject())
            .or_insert_with(|| (fact.clone(), Vec::new()));
        observations.push(observation);
        self.give(node, Input::FactObserved(fact));
    }

    /// Checks that all know what an instance that still lives has observed, and nothing that has
    /// expired.
    pub(super) fn check_facts(&self) -> Result<(), Violation> {
        for (fact, observations) in self.observed.facts.values() {
            let lives = |one: &&Observation| self.nodes[one.node].starts == one.starts;
            let known = observations.iter().filter(lives);
            let known = known.map(|one| one.at).max();
            let last = observations.iter().map(|one| one.at).max();
            let age = |at: Option<Duration>| at.map(|at| self.now.saturating_sub(at));
            let ttl = ttl(fact);
            // An observation that repeats a fresh one does not prolong it.
            let due = age(known).is_some_and(|age| ttl.is_none_or(|ttl| age < ttl / 2));
            let expired = ttl.is_some_and(|ttl| age(last) > Some(ttl + EXPIRY_MARGIN));
            for (node, slot) in self.nodes.iter().enumerate() {
                let Some(view) = slot.active_view() else {
                    continue;
                };
                let shown = shows(view, fact);
                let fact = fact.clone();
                if due && !shown {
                    return Err(Violation::FactMissing { node, fact });
                }
                if expired && shown {
                    return Err(Violation::FactKept { node, fact });
                }
            }
        }
        Ok(())
    }
}
