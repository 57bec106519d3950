//! How a leaf behaves: its sizes, its times and the faults in force.

use std::time::Duration;

use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

/// The sizes and times of a leaf.
#[derive(Clone, Debug)]
pub struct Model {
    /// The calls worked on at once.
    pub slots: u32,
    /// The calls that wait for a slot; further ones are shed.
    pub queue: u32,
    /// The longest wait for a slot; a call that waits longer is shed.
    pub queue_wait: Duration,
    /// The connections open at once; further ones are closed.
    pub connections: u32,
    /// The time to accept one connection; connections are accepted one by one.
    pub connect_cost: Duration,
    /// The time to serve one call.
    pub service_time: ServiceTime,
    /// The behaviour after a start.
    pub cold_start: ColdStart,
    /// The snapshots held at the start.
    pub snapshots: Vec<u64>,
    /// The partition map at the start.
    pub partition: u64,
    /// A query that contains this text crashes the leaf.
    pub crash_marker: Option<String>,
    /// The time that a crashed leaf refuses connections.
    pub crash_downtime: Duration,
    /// The seed of all random choices. Each leaf derives its own generator from it.
    pub seed: u64,
}

impl Default for Model {
    fn default() -> Self {
        Self {
            slots: 2,
            queue: 4,
            queue_wait: Duration::from_millis(20),
            connections: 25,
            connect_cost: Duration::ZERO,
            service_time: ServiceTime::default(),
            cold_start: ColdStart::default(),
            snapshots: vec![1],
            partition: 0,
            crash_marker: Some("poison".into()),
            crash_downtime: Duration::ZERO,
            seed: 1,
        }
    }
}

/// The distribution of the time to serve one call: the base plus an evenly distributed jitter,
/// and for stragglers a multiple of that.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTime {
    /// The shortest time.
    pub base: Duration,
    /// The largest addition.
    pub jitter: Duration,
    /// The share of stragglers, from 0 to 1.
    pub straggler_probability: f64,
    /// How many times longer a straggler takes.
    pub straggler_factor: f64,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(2),
            jitter: Duration::from_millis(1),
            straggler_probability: 0.0,
            straggler_factor: 20.0,
        }
    }
}

impl ServiceTime {
    /// Draws the time for one call.
    pub(super) fn draw<R>(&self, random: &mut R) -> Duration
    where
        R: Rng,
    {
        // Both numbers are drawn for each call, so that a change of the probability leaves the
        // rest of the sequence as it is.
        let time = self.base + self.jitter.mul_f64(random.random::<f64>());
        let straggles = random.random::<f64>() < self.straggler_probability;
        scale(
            time,
            if straggles {
                self.straggler_factor
            } else {
                1.0
            },
        )
    }
}

/// Multiplies a time. Factors that give no valid time leave it as it is.
pub(super) fn scale(time: Duration, factor: f64) -> Duration {
    Duration::try_from_secs_f64(time.as_secs_f64() * factor).unwrap_or(time)
}

/// The behaviour of a leaf after a start.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// The calls that a cold leaf bears at once. A call above it is a violation.
    pub concurrency: u32,
    /// The shortest time that a leaf stays cold.
    pub duration: Duration,
    /// The calls that a leaf must run before it is warm.
    pub answers: u32,
    /// How many times longer a violation takes.
    pub violation_factor: f64,
    /// The probability that a violation crashes the leaf.
    pub crash_probability: f64,
    /// Whether the leaf is cold at first.
    pub at_start: bool,
}

impl Default for ColdStart {
    fn default() -> Self {
        Self {
            concurrency: 1,
            duration: Duration::from_secs(1),
            answers: 10,
            violation_factor: 5.0,
            crash_probability: 0.0,
            at_start: true,
        }
    }
}

/// Whether a leaf takes calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lifecycle {
    /// It takes calls.
    #[default]
    Serving,
    /// It answers new calls with the status draining and completes the others.
    Draining,
    /// It resets new connections and calls; calls in flight complete.
    Gone,
}

/// A version that fails or is slow. The conditions given must all hold for a call to be affected.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Misbehaviour {
    /// Only calls on this route are affected.
    pub route: Option<String>,
    /// Only calls that make at least this many in flight are affected.
    pub min_in_flight: u32,
    /// Only calls after this time are affected, in milliseconds since the Unix epoch.
    pub after_unix_ms: u64,
    /// The probability that an affected call fails.
    pub fail_probability: f64,
    /// How many times longer an affected call takes; 0 means no change.
    pub slow_factor: f64,
}

/// Untrue values that the health endpoint reports.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FalseHealth {
    /// The load to report instead of the true one.
    pub load: Option<f64>,
    /// The state to report instead of the true one.
    pub state: Option<String>,
}

/// The lasting faults of a leaf.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Whether it takes calls.
    pub lifecycle: Lifecycle,
    /// The draining answers after which the leaf is gone; 0 means never.
    pub drain_answers: u32,
    /// Whether it takes calls and never answers.
    pub silent: bool,
    /// The probability that a call is shed.
    pub shed_probability: f64,
    /// How many times longer each call takes; 0 means no change.
    pub slow_factor: f64,
    /// Failing or slow calls.
    pub misbehaviour: Misbehaviour,
    /// What the health endpoint reports instead of the truth.
    pub false_health: FalseHealth,
}
