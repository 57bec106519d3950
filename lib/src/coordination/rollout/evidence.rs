//! Counters of request outcomes per instance, and the pool of the counters of all instances.
//!
//! An instance counts only requests that it admitted under the share now in force on it. When the
//! share changes, it starts again from zero, so that the evidence for a step comes only from that
//! step.

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

/// The number of requests of the old version after which its p95 estimate is used. Requests of
/// either version that end earlier are not compared with it.
const LATENCY_WARM_UP: u32 = 20;

/// At full share, a request counts as slow above this multiple of the last p95 of the old version.
/// The old version then has no traffic, so its p95 no longer follows the load. With a factor of 1,
/// a good version was taken back 3 s after its completion because the machine was busier.
const FULL_SHARE_SLOW_FACTOR: f64 = 2.0;

/// Cumulative counts of one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// All requests that ended.
    pub requests: u64,
    /// Requests that failed.
    pub failures: u64,
    /// Requests that ended when the p95 of the old version was known.
    pub timed: u64,
    /// Timed requests that were slower than the p95 of the old version at that time.
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
/// A process that takes a new instance id must start with a new [`Recorder`]; otherwise its earlier
/// requests would count twice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Rises with every change, so that the later of two reports of an instance can be identified.
    pub sequence: u64,
    /// The counts per rollout.
    pub rollouts: BTreeMap<RolloutId, Step>,
}

/// One ended request.
#[derive(Clone, Copy, Debug)]
pub struct Sample<'a> {
    /// The rollout that chose the version.
    pub rollout: &'a RolloutId,
    /// The share in force when the request was admitted, in thousandths.
    pub share_permille: u16,
    /// The service that the request went to.
    pub service: &'a ServiceName,
    /// The route of the request within the service.
    pub route: &'a Route,
    /// The version that the request went to.
    pub side: Side,
    /// Whether the request failed.
    pub failed: bool,
    /// The time that the request took, also if it failed.
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
    /// Starts counting from zero under a share. Does nothing if that share is already in force.
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
            FULL_SHARE_SLOW_FACTOR
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

    /// Removes the counts and the p95 estimates of a rollout.
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

/// Returns the value of a key, and inserts the default if there is none. Clones only new keys.
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
    /// Stores a report if it is later than the stored one of the instance. Returns whether it was.
    pub fn merge(&mut self, instance: InstanceId, report: &Report) -> bool {
        let stored = self.reports.get(&instance);
        if stored.is_some_and(|stored| stored.sequence >= report.sequence) {
            return false;
        }
        self.reports.insert(instance, report.clone());
        true
    }

    /// Removes the reports of instances that are not in `live`.
    pub fn retain(&mut self, live: &BTreeSet<InstanceId>) {
        self.reports.retain(|instance, _| live.contains(instance));
    }

    /// Returns the latest report of an instance, if it is in the pool.
    #[must_use]
    pub fn get(&self, instance: InstanceId) -> Option<&Report> {
        self.reports.get(&instance)
    }

    /// Iterates over the latest reports, in the order of the instance ids.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &Report)> {
        self.reports.iter()
    }
}
