//! What a leaf says about itself.

use camphorhold::coordination::gossip::Fact;
use camphorhold::protocol::leaf::SearchAnswer;
use camphorhold::protocol::leaf::Status;
use camphorhold::protocol::leaf::Temperature;
use camphorhold::state::id::LeafId;
use camphorhold::state::id::PartitionId;
use camphorhold::state::id::ServerIncarnation;
use camphorhold::state::id::SnapshotId;
use camphorhold::state::view;

/// What an owner learned about a leaf and all instances should know.
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
    /// Takes what an answer says about the leaf that gave it.
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

    /// Lists the facts to spread.
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
