//! The status that a leaf reports with its answers.

use camphorhold::coordination::gossip::Fact;
use camphorhold::protocol::leaf::SearchAnswer;
use camphorhold::protocol::leaf::Status;
use camphorhold::protocol::leaf::Temperature;
use camphorhold::state::id::LeafId;
use camphorhold::state::id::PartitionId;
use camphorhold::state::id::ServerIncarnation;
use camphorhold::state::id::SnapshotId;
use camphorhold::state::view;

/// The status of a leaf that its owner shares with all instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    leaf: LeafId,
    incarnation: ServerIncarnation,
    holds: Vec<SnapshotId>,
    partition: PartitionId,
    temperature: view::Temperature,
    draining: bool,
}

impl Observation {
    /// Extracts the status of `leaf` from one of its answers.
    pub fn new(leaf: LeafId, answer: &SearchAnswer) -> Self {
        Self {
            leaf,
            incarnation: ServerIncarnation(answer.incarnation),
            holds: answer.holds.clone(),
            partition: answer.partition,
            temperature: match answer.temperature {
                Temperature::Cold => view::Temperature::Cold,
                Temperature::Warm => view::Temperature::Warm,
            },
            draining: answer.status == Status::Draining,
        }
    }

    /// Returns the facts to share with other instances. A drain is a fact of its own.
    pub fn into_facts(self) -> Vec<Fact> {
        let leaf = self.leaf;
        let mut facts = vec![Fact::LeafStatus {
            leaf,
            incarnation: self.incarnation,
            holds: self.holds,
            partition: self.partition,
            temperature: self.temperature,
        }];
        if self.draining {
            facts.push(Fact::Drain { leaf });
        }
        facts
    }
}
