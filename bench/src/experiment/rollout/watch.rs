//! Follows the rollouts and the calls that their new versions receive.

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

/// How often counters and stages are read.
const INTERVAL: Duration = Duration::from_millis(100);

/// Calls of the new version are followed this long after its rollout ended.
const FOLLOW: u64 = 10_000;

/// What was seen of one case. Times are in milliseconds since the Unix epoch.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// The stages with the times when they were first seen.
    pub stages: Vec<(u64, RolloutStage)>,
    /// When an instance recorded that it revoked the version.
    pub verdict: Option<u64>,
    /// When the first failing call was seen, or from when on calls were slow.
    pub fault: Option<u64>,
    /// The share of the step at which the fault was first seen, in thousandths.
    pub fault_share: u16,
    /// Calls of the new version before its fault was seen.
    pub calls_before: u64,
    /// Calls of the new version.
    pub calls: u64,
    /// The highest share.
    pub max_share: u16,
    /// When the count of the new version's calls last rose.
    pub last_call: Option<u64>,
}

impl Seen {
    /// Returns the last stage, if it is final, and when it was first seen.
    pub fn end(&self) -> Option<&(u64, RolloutStage)> {
        let last = self.stages.last();
        last.filter(|(_, stage)| !is_open(stage))
    }

    fn note_stage(&mut self, stage: &RolloutStage, now: u64) {
        if self.stages.last().is_none_or(|(_, last)| last != stage) {
            self.stages.push((now, stage.clone()));
            self.max_share = self.max_share.max(share(stage));
        }
    }

    /// Takes the counters of the new version's leafs.
    fn note_calls(&mut self, case: Case, counters: &[Counters], later: u64, now: u64) {
        let new = counters.iter();
        let new = new.filter(|leaf| leaf.service == case.name() && leaf.version == NEW);
        let (mut calls, mut failed) = (0, 0);
        for leaf in new {
            calls += search_calls_of(leaf) + leaf.requests.get("v2/detail").copied().unwrap_or(0);
            // A cancelled call is answered as failed too.
            let answered = leaf.answers.get("failed").copied().unwrap_or_default();
            failed += answered.saturating_sub(leaf.cancelled);
        }
        let begun = !case.is_late() || now >= later;
        let called = case.shows_at_call() && calls > self.calls;
        let shown =
            case != Case::Good && begun && (failed > 0 || called || case == Case::NoSnapshot);
        if self.fault.is_none() && shown {
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

/// Follows the cases until all rollouts have ended and their calls were followed for a while.
pub async fn watch(
    tier: &Tier,
    cases: &[Case],
    later: u64,
    limit: Duration,
) -> Result<BTreeMap<Case, Seen>, Error> {
    let mut all: BTreeMap<Case, Seen> = BTreeMap::new();
    let started = unix_ms();
    let limit = crate::load::millis(limit);
    let mut ended = false;
    while unix_ms() < started + limit && !ended {
        let counters = tier.counters().await?;
        let answer = tier.instances[0].client()?.rollouts().await?;
        let now = unix_ms();
        for case in cases {
            let seen = all.entry(*case).or_default();
            let listed = answer.rollouts.iter();
            let mut listed = listed.filter(|one| one.rollout.as_str() == case.name());
            if let Some(listed) = listed.next() {
                seen.note_stage(&listed.stage, now);
            }
            seen.note_calls(*case, &counters, later, now);
            let taken_back = matches!(seen.end(), Some((_, RolloutStage::TakenBack { .. })));
            if taken_back && seen.verdict.is_none() {
                seen.verdict = verdict(tier, *case).await?.or(Some(now));
            }
        }
        ended = all.iter().all(|(case, seen)| {
            let end = seen.end().map(|(at, _)| *at);
            *case == Case::NoGate || end.is_some_and(|at| at + FOLLOW < now)
        });
        tokio::time::sleep(INTERVAL).await;
    }
    Ok(all)
}

/// Returns when an instance first recorded that it revoked the version of the case.
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

/// Returns the share of the new version at a stage, in thousandths.
fn share(stage: &RolloutStage) -> u16 {
    match stage {
        RolloutStage::Running { share_permille, .. } => *share_permille,
        RolloutStage::Completed => 1000,
        _ => 0,
    }
}

fn is_open(stage: &RolloutStage) -> bool {
    matches!(stage, RolloutStage::Pending | RolloutStage::Running { .. })
}
