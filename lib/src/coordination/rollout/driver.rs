//! Moves a rollout through its steps.
//!
//! Every instance runs a driver, so that evidence is at hand when it takes over. Only the one that
//! drives acts on a verdict. Near the deadline every current instance may propose to take the
//! rollout back; the record's compare-and-swap lets one proposal land.

use std::time::Duration;
use std::time::SystemTime;

use super::COMPLETION_MARGIN;
use super::FULL_SHARE;
use super::Plan;
use super::Reason;
use super::STEPS_PERMILLE;
use super::Stage;
use super::conclusion::View;
use super::evidence::Pool;
use super::verdict::Judge;
use super::verdict::Verdict;
use crate::state::event;
use crate::state::id::RolloutId;
use crate::state::id::ServiceName;
use crate::state::id::VersionName;
use crate::state::time::from_unix_millis;
use crate::state::time::unix_millis;

/// The shortest time at a step. A fault that needs some time to show would otherwise be met by a
/// larger share: at high load the proof takes milliseconds.
pub const MIN_STEP_DURATION: Duration = Duration::from_secs(10);

/// How long a proposal may be on its way before it is made again. [`RANK_DELAY`] is added per
/// rank, so that 1,900 instances together repeat at most about 15 proposals a second.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Instances propose to take an unfinished rollout back one after the other, at this distance, so
/// that the whole fleet does not write at once.
const RANK_DELAY: Duration = Duration::from_millis(500);

/// What a driver knows at one time.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// The wall-clock time.
    pub wall: SystemTime,
    /// What the instance knows about the rollout.
    pub view: View<'a>,
    /// The evidence of all instances.
    pub evidence: &'a Pool,
    /// Whether the rollout belongs to this instance.
    pub driving: bool,
    /// The instance's rank in the roster, from 0.
    pub rank: u32,
    /// Whether the instance ignores a completion; see
    /// [`Observer::missed_deadline`](super::conclusion::Observer::missed_deadline).
    pub missed_deadline: bool,
}

/// What a driver wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Writes a stage to the record, if the record still holds the expected one.
    ProposeStage {
        /// The rollout.
        rollout: RolloutId,
        /// The stage that the decision rests on.
        expected: Stage,
        /// The stage to write.
        stage: Stage,
    },
    /// Stops all traffic to a version at once. Spreads by gossip, ahead of the record.
    Revoke {
        /// The service.
        service: ServiceName,
        /// The version.
        version: VersionName,
    },
    /// Records an event of the rollout.
    Event {
        /// The rollout.
        rollout: RolloutId,
        /// What happened.
        kind: event::Kind,
    },
}

/// Drives one rollout.
#[derive(Clone, Debug)]
pub struct Driver {
    plan: Plan,
    judge: Judge,
    /// The last stage seen, and since when.
    last_stage: Option<(Stage, SystemTime)>,
    proposed: Option<(Stage, Stage, SystemTime)>,
    revoked: bool,
}

impl Driver {
    /// Creates a driver without evidence.
    #[must_use]
    pub fn new(plan: Plan) -> Self {
        let judge = Judge::new(plan.rollout.clone(), plan.services.clone());
        Self {
            plan,
            judge,
            last_stage: None,
            proposed: None,
            revoked: false,
        }
    }

    /// Takes a look at the evidence and decides. Call it several times a second.
    pub fn tick(&mut self, input: Input<'_>) -> Vec<Action> {
        let mut actions = self.note_stage(input.view.stage, input.wall);
        self.judge.begin_step(input.view.stage.share_permille());
        let verdict = self.judge.look(input.evidence);
        if !input.view.current {
            return actions;
        }
        if input.driving && matches!(input.view.stage, Stage::Running { .. } | Stage::Completed) {
            self.revoke(&verdict, &mut actions);
        }
        if let Some(stage) = self.next_stage(input, &verdict) {
            self.propose(input, stage, &mut actions);
        }
        actions
    }

    /// Records that the stage in the record has changed.
    fn note_stage(&mut self, stage: &Stage, wall: SystemTime) -> Vec<Action> {
        if self
            .last_stage
            .as_ref()
            .is_some_and(|(last, _)| last == stage)
        {
            return Vec::new();
        }
        self.last_stage = Some((stage.clone(), wall));
        self.proposed = None;
        let stage = event::Reason(stage.to_string().into());
        vec![Action::Event {
            rollout: self.plan.rollout.clone(),
            kind: event::Kind::RolloutStage { stage },
        }]
    }

    fn revoke(&mut self, verdict: &Verdict, actions: &mut Vec<Action>) {
        if self.revoked || !matches!(verdict, Verdict::Bad(_)) {
            return;
        }
        self.revoked = true;
        let version = &self.plan.to;
        for service in &self.plan.services {
            actions.push(Action::Revoke {
                service: service.clone(),
                version: version.clone(),
            });
        }
        actions.push(Action::Event {
            rollout: self.plan.rollout.clone(),
            kind: event::Kind::Revoked {
                version: version.clone(),
            },
        });
    }

    fn propose(&mut self, input: Input<'_>, stage: Stage, actions: &mut Vec<Action>) {
        let pending = self.proposed.as_ref().is_some_and(|(expected, last, at)| {
            let same = expected == input.view.stage
                && std::mem::discriminant(last) == std::mem::discriminant(&stage);
            same && input.wall < *at + PROPOSAL_TIMEOUT + RANK_DELAY * input.rank
        });
        if pending {
            return;
        }
        self.proposed = Some((input.view.stage.clone(), stage.clone(), input.wall));
        actions.push(Action::ProposeStage {
            rollout: self.plan.rollout.clone(),
            expected: input.view.stage.clone(),
            stage,
        });
    }

    fn next_stage(&self, input: Input<'_>, verdict: &Verdict) -> Option<Stage> {
        match input.view.stage {
            Stage::TakenBack { .. } | Stage::Retired => None,
            Stage::Pending | Stage::Running { .. } => self
                .stage_for_verdict(input, verdict)
                .or_else(|| self.stage_for_deadline(input))
                .or_else(|| self.stage_for_progress(input, verdict)),
            Stage::Completed if input.missed_deadline => self.stage_for_deadline(input),
            Stage::Completed => self.stage_for_verdict(input, verdict),
        }
    }

    fn stage_for_verdict(&self, input: Input<'_>, verdict: &Verdict) -> Option<Stage> {
        match verdict {
            _ if !input.driving => None,
            Verdict::Bad(reason) => Some(taken_back(reason.clone())),
            _ if input.view.revoked || self.revoked => Some(taken_back(Reason::Revoked)),
            Verdict::Inconclusive | Verdict::Proved => None,
        }
    }

    /// Takes the rollout back near the deadline, and after it where a late completion is ignored.
    /// The instances act in the order of their ranks from the time when the stage became known.
    fn stage_for_deadline(&self, input: Input<'_>) -> Option<Stage> {
        let begin = self.plan.deadline - COMPLETION_MARGIN / 2;
        let known = self.last_stage.as_ref().map_or(begin, |(_, at)| *at);
        let turn = begin.max(known) + RANK_DELAY * input.rank;
        (input.wall >= turn).then(|| taken_back(Reason::Deadline))
    }

    fn stage_for_progress(&self, input: Input<'_>, verdict: &Verdict) -> Option<Stage> {
        if !input.driving || input.wall >= self.plan.deadline - COMPLETION_MARGIN {
            return None;
        }
        let (share, since) = match input.view.stage {
            Stage::Running {
                share_permille,
                since_unix_ms,
            } => (*share_permille, from_unix_millis(*since_unix_ms)),
            _ => return Some(running(STEPS_PERMILLE[0], input.wall)),
        };
        if input.wall < since + MIN_STEP_DURATION || *verdict != Verdict::Proved {
            return None;
        }
        if share >= FULL_SHARE {
            return Some(Stage::Completed);
        }
        let next = STEPS_PERMILLE.into_iter().find(|step| *step > share);
        Some(running(next.unwrap_or(FULL_SHARE), input.wall))
    }
}

fn running(share_permille: u16, wall: SystemTime) -> Stage {
    Stage::Running {
        share_permille,
        since_unix_ms: unix_millis(wall),
    }
}

fn taken_back(reason: Reason) -> Stage {
    Stage::TakenBack { reason }
}
