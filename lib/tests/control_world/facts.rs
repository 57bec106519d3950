//! Facts that the instances observed, and the check of whether the views show them.

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

/// Lifetime of drain signals. The check applies it to leaf statuses too, although gossip keeps
/// these for ten minutes.
const SIGNAL_TTL: Duration = Duration::from_mins(1);

/// Lifetime of crash counts.
const POISON_TTL: Duration = Duration::from_mins(10);

/// The age in a message does not include its time in the network. A fact may pass through a few
/// instances, and a message takes up to 3 s on a disturbed network.
const EXPIRY_MARGIN: Duration = Duration::from_secs(20);

/// An observation of a fact by one process.
struct Observation {
    node: usize,
    /// Number of processes started at the node so far, which identifies the process.
    starts: u64,
    at: Duration,
}

/// All observations of each fact, oldest first.
#[derive(Default)]
pub struct Observed {
    facts: BTreeMap<Subject, (Fact, Vec<Observation>)>,
}

/// Returns the fact with the number. The remainder by four selects its kind, the quotient its
/// subject.
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

/// Returns how long the views may show the fact after its last observation, or `None` if it does
/// not expire.
fn ttl(fact: &Fact) -> Option<Duration> {
    match fact {
        Fact::Revocation { .. } => None,
        Fact::Poison { .. } => Some(POISON_TTL),
        _ => Some(SIGNAL_TTL),
    }
}

/// Returns whether the view contains the fact. Views do not contain evidence and suspicions, for
/// which it returns true.
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
    /// Lets the instance observe a fact, unless its process is frozen or has ended.
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
        self.handle(node, Input::FactObserved(fact));
    }

    /// Checks that every view shows the facts that a process observed which has not been restarted
    /// since, and that no view shows an expired fact.
    pub(super) fn check_facts(&self) -> Result<(), Violation> {
        for (fact, observations) in self.observed.facts.values() {
            let same_process = |one: &&Observation| self.nodes[one.node].starts == one.starts;
            let known = observations.iter().filter(same_process);
            let known = known.map(|one| one.at).max();
            let last = observations.iter().map(|one| one.at).max();
            let age = |at: Option<Duration>| at.map(|at| self.now.saturating_sub(at));
            let ttl = ttl(fact);
            // The origin ignores a repeated observation during the first half of the lifetime, so
            // an observation guarantees the fact only for half of it.
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
