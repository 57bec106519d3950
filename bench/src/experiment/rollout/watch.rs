//! Observes the stages of the rollouts and the calls that their new versions receive.

use std::collections::BTreeMap;
use std::time::Duration;

use camphorhold::protocol::control::ControlClient;
use camphorhold::protocol::control::RolloutStage;
use camphorhold::protocol::control::TimelineRequest;
use camphorhold::state::hlc::Timestamp;
use camphorhold_testutils::backend::Counters;
use futures::future::join_all;

use super::case::Case;
use super::case::NEW;
use crate::error::Error;
use crate::experiment::search_calls_of;
use crate::experiment::unix_ms;
use crate::tier::Tier;

/// The interval between reads of the counters and stages.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The time after the end of a rollout for which calls of its new version are still counted.
const FOLLOW_UP_MS: u64 = 10_000;

/// Everything observed of one case. Times are in milliseconds since the Unix epoch.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// The stages in their order, each with the time at which it was first observed.
    pub stages: Vec<(u64, RolloutStage)>,
    /// The earliest time at which an instance recorded that it revoked the version. If none did,
    /// the time at which the rollout was observed as taken back.
    pub verdict: Option<u64>,
    /// The time at which the first call was observed that failed, or that the fault affected
    /// without failing it.
    pub fault: Option<u64>,
    /// The share of traffic at the time of `fault`, in thousandths.
    pub fault_share: u16,
    /// Calls of the new version before `fault`.
    pub calls_before: u64,
    /// All calls of the new version.
    pub calls: u64,
    /// The highest share of traffic of the new version, in thousandths.
    pub max_share: u16,
    /// The time at which the new version was last observed to have received another call.
    pub last_call: Option<u64>,
}

impl Observations {
    /// Returns the last stage, if it is final, with the time at which it was first observed.
    pub fn end(&self) -> Option<&(u64, RolloutStage)> {
        let last = self.stages.last();
        last.filter(|(_, stage)| !is_unfinished(stage))
    }

    fn record_stage(&mut self, stage: &RolloutStage, now: u64) {
        if self.stages.last().is_none_or(|(_, last)| last != stage) {
            self.stages.push((now, stage.clone()));
            self.max_share = self.max_share.max(share(stage));
        }
    }

    /// Updates the counts of calls and looks for the fault in the counters of the new version's
    /// leafs.
    fn record_calls(
        &mut self,
        case: Case,
        counters: &[Counters],
        late_fault_unix_ms: u64,
        now: u64,
    ) {
        let new = counters.iter();
        let new = new.filter(|leaf| leaf.service == case.name() && leaf.version == NEW);
        let (mut calls, mut failed) = (0, 0);
        for leaf in new {
            calls += search_calls_of(leaf) + leaf.requests.get("v2/detail").copied().unwrap_or(0);
            // The leaf counts a cancelled call as answered with `failed`, too.
            let answered = leaf.answers.get("failed").copied().unwrap_or_default();
            failed += answered.saturating_sub(leaf.cancelled);
        }
        let begun = !case.is_late() || now >= late_fault_unix_ms;
        let affected = case.affects_every_call() && calls > self.calls;
        let fault_visible =
            case != Case::Good && begun && (failed > 0 || affected || case == Case::NoSnapshot);
        if self.fault.is_none() && fault_visible {
            self.fault = Some(now);
            self.fault_share = self.stages.last().map_or(0, |(_, stage)| share(stage));
            self.calls_before = self.calls;
        }
        if calls > self.calls {
            self.last_call = Some(now);
        }
        self.calls = calls;
    }
}

/// Observes the cases until [`FOLLOW_UP_MS`] after the end of all rollouts, but not longer than
/// `limit`.
pub async fn watch(
    tier: &Tier,
    cases: &[Case],
    late_fault_unix_ms: u64,
    limit: Duration,
) -> Result<BTreeMap<Case, Observations>, Error> {
    let mut all: BTreeMap<Case, Observations> = BTreeMap::new();
    let started = unix_ms();
    let limit = crate::load::millis(limit);
    let mut ended = false;
    while unix_ms() < started + limit && !ended {
        let counters = tier.counters().await?;
        let answer = tier.instances[0].client()?.rollouts().await?;
        let now = unix_ms();
        for case in cases {
            let observed = all.entry(*case).or_default();
            let listed = answer.rollouts.iter();
            let mut listed = listed.filter(|one| one.rollout.as_str() == case.name());
            if let Some(listed) = listed.next() {
                observed.record_stage(&listed.stage, now);
            }
            observed.record_calls(*case, &counters, late_fault_unix_ms, now);
            let taken_back = matches!(observed.end(), Some((_, RolloutStage::TakenBack { .. })));
            if taken_back && observed.verdict.is_none() {
                observed.verdict = verdict(tier, *case).await?.or(Some(now));
            }
        }
        ended = all.iter().all(|(case, observed)| {
            let end = observed.end().map(|(at, _)| *at);
            *case == Case::NoGate || end.is_some_and(|at| at + FOLLOW_UP_MS < now)
        });
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(all)
}

/// Returns the earliest time at which an instance recorded that it revoked the version of the case.
async fn verdict(tier: &Tier, case: Case) -> Result<Option<u64>, Error> {
    let answers = tier.instances.iter().map(|instance| async {
        let request = TimelineRequest {
            limit: 1000,
            rollout: case.name().parse().ok(),
            ..TimelineRequest::default()
        };
        Ok::<_, Error>(instance.client()?.timeline(request).await?)
    });
    let mut first: Option<u64> = None;
    for answer in join_all(answers).await {
        let events = answer?.events;
        let revoked = events.iter().filter(|event| &*event.kind == "revoked");
        let times = revoked.filter_map(|event| event.at.parse::<Timestamp>().ok());
        first = times.map(|at| at.wall_ms).chain(first).min();
    }
    Ok(first)
}

/// Returns the share of traffic of the new version at a stage, in thousandths.
fn share(stage: &RolloutStage) -> u16 {
    match stage {
        RolloutStage::Running { share_permille, .. } => *share_permille,
        RolloutStage::Completed => 1000,
        _ => 0,
    }
}

fn is_unfinished(stage: &RolloutStage) -> bool {
    matches!(stage, RolloutStage::Pending | RolloutStage::Running { .. })
}
