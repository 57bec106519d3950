//! Proposals of rollout stages and revocations.

use camphorhold::coordination::control::Input;
use camphorhold::state::id::OperationId;
use camphorhold::state::id::RolloutId;
use camphorhold::state::rollout::Stage;

use super::World;

impl World {
    /// Lets the instance propose a stage of the rollout. It expects the stage that its view shows.
    pub fn propose_stage(&mut self, node: usize, stage: Stage) {
        let Some(view) = self.nodes[node].active_view() else {
            return;
        };
        let rollout: RolloutId = "rollout".parse().unwrap();
        let expected = view.record.rollouts.get(&rollout).cloned();
        self.proposals += 1;
        let operation = OperationId((1 << 64) + self.proposals);
        self.oracle
            .on_stage_proposed(operation, expected.clone(), stage.clone());
        let input = Input::ProposeRollout {
            operation,
            rollout,
            expected,
            stage,
        };
        self.handle(node, input);
    }

    /// Lets the instance propose a revocation of the version.
    pub fn revoke(&mut self, node: usize, version: u8) {
        self.proposals += 1;
        let input = Input::ProposeRevocation {
            operation: OperationId((1 << 64) + self.proposals),
            service: "app".parse().unwrap(),
            version: format!("v{version}").parse().unwrap(),
        };
        self.handle(node, input);
    }
}
