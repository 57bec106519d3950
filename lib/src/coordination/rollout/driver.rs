//! Moves a rollout through its steps.
//!
//! Every instance runs a driver, so that it already has the evidence when it takes over a rollout.
//! Only the instance that drives the rollout acts on a verdict. Near the deadline every current
//! instance may propose to take the rollout back; the compare-and-swap of the record accepts only
//! one of the proposals.

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

/// The shortest time at a step. At high load the proof takes milliseconds, and a fault that appears
/// only after some time would otherwise affect a larger share.
pub const MIN_STEP_DURATION: Duration = Duration::from_secs(10);

/// An instance repeats a proposal that has had no effect after this time. [`RANK_DELAY`] is added
/// per rank, so that 1,900 instances together repeat at most about 15 proposals a second.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// The delay between two instances of successive rank that propose to take back an unfinished
/// rollout, so that the whole fleet does not write at once.
const RANK_DELAY: Duration = Duration::from_millis(500);

/// The input of a driver at one time.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// The wall-clock time.
    pub wall: SystemTime,
    /// The view that the instance has of the rollout.
    pub view: View<'a>,
    /// The latest reports of all instances, including this one.
    pub evidence: &'a Pool,
    /// Whether this instance drives the rollout.
    pub driving: bool,
    /// The instance's rank in the roster, from 0.
    pub rank: u32,
    /// Whether the instance ignores completions; see
    /// [`Observer::missed_deadline`](super::conclusion::Observer::missed_deadline).
    pub missed_deadline: bool,
}

/// An action for the caller of a driver to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Writes a stage to the record, if the record still contains the expected one.
    ProposeStage {
        /// The rollout whose record is written.
        rollout: RolloutId,
        /// The stage on which the decision is based.
        expected: Stage,
        /// The stage to write.
        stage: Stage,
    },
    /// Stops all traffic to a version at once. Gossip spreads it faster than the record.
    Revoke {
        /// The service whose traffic stops.
        service: ServiceName,
        /// The version that gets no more traffic.
        version: VersionName,
    },
    /// Records an event of the rollout in the timeline.
    Event {
        /// The rollout that the event belongs to.
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
    /// The last stage that this instance saw in the record, and when it first saw it.
    last_stage: Option<(Stage, SystemTime)>,
    proposed: Option<(Stage, Stage, SystemTime)>,
    revoked: bool,
}

impl Driver {
    /// Creates a driver for a rollout without any evidence or known stage.
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

    /// Judges the evidence and returns the resulting actions. Must be called several times a
    /// second.
    pub fn tick(&mut self, input: Input<'_>) -> Vec<Action> {
        let mut actions = self.update_stage(input.view.stage, input.wall);
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

    /// Updates the last stage, and returns an event if it has changed.
    fn update_stage(&mut self, stage: &Stage, wall: SystemTime) -> Vec<Action> {
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

    /// Takes back an unfinished rollout near the deadline, and a completed one if this instance
    /// ignores the completion. Instances act in the order of their ranks, from the time when each
    /// first saw the stage.
    fn stage_for_deadline(&self, input: Input<'_>) -> Option<Stage> {
        let begin = self.plan.deadline - COMPLETION_MARGIN / 2;
        let known = self.last_stage.as_ref().map_or(begin, |(_, at)| *at);
        let earliest = begin.max(known) + RANK_DELAY * input.rank;
        (input.wall >= earliest).then(|| taken_back(Reason::Deadline))
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
