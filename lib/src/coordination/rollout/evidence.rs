//! Counters of outcomes per instance, and their pool over instances.
//!
//! An instance counts only requests that were admitted under the share now in force there. When
//! the share changes it starts again from zero, so the evidence for a step stems from that step.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::FULL_SHARE;
use super::share::Side;
use crate::state::id::InstanceId;
use crate::state::id::RolloutId;
use crate::state::id::Route;
use crate::state::id::ServiceName;

/// Requests of the old version after which its p95 is taken as known. Requests of either version
/// that end before are not compared.
const LATENCY_WARM_UP: u32 = 20;

/// At full share there is no old version to compare with at the same time, and its last p95 no
/// longer follows the load. A request then counts as slow above this multiple of it. With a factor
/// of 1 a good version was taken back 3 s after its completion because the machine was busier.
const ALONE_FACTOR: f64 = 2.0;

/// Cumulative counts of one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Requests that ended.
    pub requests: u64,
    /// Requests that failed.
    pub failures: u64,
    /// Requests that ended while the old version's p95 was known.
    pub timed: u64,
    /// Timed requests slower than the old version's p95 at that time.
    pub slow: u64,
}

impl Counters {
    /// Returns what was added since an earlier state.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(earlier.requests),
            failures: self.failures.saturating_sub(earlier.failures),
            timed: self.timed.saturating_sub(earlier.timed),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }

    /// Returns the sum.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            failures: self.failures + other.failures,
            timed: self.timed + other.timed,
            slow: self.slow + other.slow,
        }
    }
}

/// The counts of both versions over the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pair {
    /// The old version.
    pub old: Counters,
    /// The new version.
    pub new: Counters,
}

impl Pair {
    /// Returns what was added since an earlier state.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            old: self.old.since(earlier.old),
            new: self.new.since(earlier.new),
        }
    }

    /// Returns the sum.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            old: self.old.plus(other.old),
            new: self.new.plus(other.new),
        }
    }
}

/// The counts of one instance for one rollout under one share.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The share under which the requests were admitted, in thousandths.
    pub share_permille: u16,
    /// The counts per service and route.
    pub routes: BTreeMap<ServiceName, BTreeMap<Route, Pair>>,
}

/// Everything that one instance has counted.
///
/// A process that draws a new instance id starts with a new [`Recorder`]; otherwise its earlier
/// requests would count twice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Rises with every change, so that the later of two reports of an instance is known.
    pub sequence: u64,
    /// The counts per rollout.
    pub rollouts: BTreeMap<RolloutId, Step>,
}

/// One ended request.
#[derive(Clone, Copy, Debug)]
pub struct Sample<'a> {
    /// The rollout.
    pub rollout: &'a RolloutId,
    /// The share in force when the request was admitted, in thousandths.
    pub share_permille: u16,
    /// The service.
    pub service: &'a ServiceName,
    /// The route.
    pub route: &'a Route,
    /// The version that the request went to.
    pub side: Side,
    /// Whether the request failed.
    pub failed: bool,
    /// The time to its end.
    pub latency: Duration,
}

/// Estimates the p95 of a stream of latencies by stochastic approximation: an observation above
/// the estimate moves it up 19 times as far as one below moves it down.
#[derive(Clone, Copy, Debug, Default)]
struct Percentile95 {
    log_seconds: f64,
    observations: u32,
}

impl Percentile95 {
    fn is_known(self) -> bool {
        self.observations >= LATENCY_WARM_UP
    }

    fn is_exceeded_by(self, latency: Duration, factor: f64) -> bool {
        self.is_known() && log_seconds(latency) > self.log_seconds + factor.ln()
    }

    fn observe(&mut self, latency: Duration) {
        let log = log_seconds(latency);
        if self.observations == 0 {
            self.log_seconds = log;
        }
        self.observations = self.observations.saturating_add(1);
        // Large steps first to reach the tail; then small ones, which follow slow changes of load.
        let step = (1.0 / f64::from(self.observations).sqrt()).max(0.02);
        self.log_seconds += if log > self.log_seconds {
            0.95 * step
        } else {
            -0.05 * step
        };
    }
}

fn log_seconds(latency: Duration) -> f64 {
    latency.as_secs_f64().max(1e-6).ln()
}

/// Counts the outcomes at one instance.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    report: Report,
    latencies: BTreeMap<RolloutId, BTreeMap<ServiceName, BTreeMap<Route, Percentile95>>>,
}

impl Recorder {
    /// Starts counting under a share. Does nothing if that share is in force already.
    pub fn begin_step(&mut self, rollout: &RolloutId, share_permille: u16) {
        let current = self.report.rollouts.get(rollout);
        if current.is_some_and(|step| step.share_permille == share_permille) {
            return;
        }
        let step = Step {
            share_permille,
            routes: BTreeMap::new(),
        };
        self.report.rollouts.insert(rollout.clone(), step);
        self.report.sequence += 1;
    }

    /// Counts an ended request, unless it was admitted under another share.
    pub fn record(&mut self, sample: Sample<'_>) {
        let Some(step) = self.report.rollouts.get_mut(sample.rollout) else {
            return;
        };
        if step.share_permille != sample.share_permille {
            return;
        }
        let latencies = entry(&mut self.latencies, sample.rollout);
        let percentile = entry(entry(latencies, sample.service), sample.route);
        let timed = percentile.is_known();
        let factor = if sample.share_permille == FULL_SHARE {
            ALONE_FACTOR
        } else {
            1.0
        };
        let slow = percentile.is_exceeded_by(sample.latency, factor);
        if sample.side == Side::Old {
            percentile.observe(sample.latency);
        }
        let pair = entry(entry(&mut step.routes, sample.service), sample.route);
        let counters = match sample.side {
            Side::Old => &mut pair.old,
            Side::New => &mut pair.new,
        };
        counters.requests += 1;
        counters.failures += u64::from(sample.failed);
        counters.timed += u64::from(timed);
        counters.slow += u64::from(slow);
        self.report.sequence += 1;
    }

    /// Forgets a rollout.
    pub fn end(&mut self, rollout: &RolloutId) {
        self.latencies.remove(rollout);
        if self.report.rollouts.remove(rollout).is_some() {
            self.report.sequence += 1;
        }
    }

    /// Returns everything counted so far.
    #[must_use]
    pub fn report(&self) -> &Report {
        &self.report
    }
}

/// Returns the value of a key, and clones the key only when it is new.
fn entry<'a, K, V>(map: &'a mut BTreeMap<K, V>, key: &K) -> &'a mut V
where
    K: Clone + Ord,
    V: Default,
{
    if !map.contains_key(key) {
        map.insert(key.clone(), V::default());
    }
    map.get_mut(key)
        .unwrap_or_else(|| unreachable!("the key was inserted"))
}

/// The latest report of every instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    reports: BTreeMap<InstanceId, Report>,
}

impl Pool {
    /// Takes a report over if it is later than the one held. Returns whether it was.
    pub fn merge(&mut self, instance: InstanceId, report: &Report) -> bool {
        let held = self.reports.get(&instance);
        if held.is_some_and(|held| held.sequence >= report.sequence) {
            return false;
        }
        self.reports.insert(instance, report.clone());
        true
    }

    /// Forgets the instances that are not listed.
    pub fn retain(&mut self, live: &BTreeSet<InstanceId>) {
        self.reports.retain(|instance, _| live.contains(instance));
    }

    /// Returns the report of an instance.
    #[must_use]
    pub fn get(&self, instance: InstanceId) -> Option<&Report> {
        self.reports.get(&instance)
    }

    /// Iterates over the reports.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &Report)> {
        self.reports.iter()
    }
}
