//! Proposals of rollout stages and revocations.

use camphorhold::coordination::control::Input;
use camphorhold::state::id::OperationId;
use camphorhold::state::id::RolloutId;
use camphorhold::state::rollout::Stage;

use super::World;

impl World {
    /// Lets the instance move the rollout to a stage, from the one that it sees.
    pub fn propose_stage(&mut self, node: usize, stage: Stage) {
        let Some(view) = self.nodes[node].active_view() else {
            return;
        };
        let rollout: RolloutId = "rollout".parse().unwrap();
        let expected = view.record.rollouts.get(&rollout).cloned();
        self.stages += 1;
        let operation = OperationId((1 << 64) + self.stages);
        self.oracle
            .stage_proposed(operation, expected.clone(), stage.clone());
        let input = Input::ProposeRollout {
            operation,
            rollout,
            expected,
            stage,
        };
        self.give(node, input);
    }

    /// Lets the instance write a revocation to the record.
    pub fn revoke(&mut self, node: usize, version: u8) {
        self.stages += 1;
        let input = Input::ProposeRevocation {
            operation: OperationId((1 << 64) + self.stages),
            service: "app".parse().unwrap(),
            version: format!("v{version}").parse().unwrap(),
        };
        self.give(node, input);
    }
}
