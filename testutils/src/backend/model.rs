//! The model of a leaf: its capacity, its times and the faults in force.

use std::time::Duration;

use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

/// The capacity and times of a leaf, fixed at its start.
#[derive(Clone, Debug)]
pub struct Model {
    /// The number of calls that run at once.
    pub slots: u32,
    /// The largest number of calls that wait for a slot; further ones are shed.
    pub queue: u32,
    /// The longest wait for a slot; a call that waits longer is shed.
    pub queue_wait: Duration,
    /// The largest number of open connections; further ones are reset.
    pub connections: u32,
    /// The time to accept one connection; connections are accepted one by one.
    pub connect_cost: Duration,
    /// The distribution of the time to run one call.
    pub service_time: ServiceTime,
    /// The behaviour while the leaf is cold, and when it turns warm.
    pub cold_start: ColdStart,
    /// The snapshots that the leaf holds at the start.
    pub snapshots: Vec<u64>,
    /// The partition map at the start.
    pub partition: u64,
    /// A query that contains this text crashes the leaf; with `None`, no query does.
    pub crash_marker: Option<String>,
    /// How long a leaf refuses connections after a crash.
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

/// The distribution of the time to run one call: the base plus a uniformly distributed jitter, and
/// for stragglers a multiple of that.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTime {
    /// The shortest time of a call that is no straggler.
    pub base: Duration,
    /// The upper bound of the jitter.
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
        // Both numbers are drawn for each call, so that the same seed gives the same sequence with
        // every probability.
        let time = self.base + self.jitter.mul_f64(random.random::<f64>());
        let is_straggler = random.random::<f64>() < self.straggler_probability;
        scale(
            time,
            if is_straggler {
                self.straggler_factor
            } else {
                1.0
            },
        )
    }
}

/// Multiplies a time. If the result is no valid duration, for instance with a negative factor,
/// returns the time unchanged.
pub(super) fn scale(time: Duration, factor: f64) -> Duration {
    Duration::try_from_secs_f64(time.as_secs_f64() * factor).unwrap_or(time)
}

/// The behaviour of a leaf after a start or a crash, until it is warm.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// The largest number of calls in flight that a cold leaf can handle. A call above it is a
    /// violation.
    pub concurrency: u32,
    /// The shortest time that a leaf stays cold.
    pub duration: Duration,
    /// The number of calls that a leaf must complete before it is warm.
    pub answers: u32,
    /// How many times longer a violation takes.
    pub violation_factor: f64,
    /// The probability that a violation crashes the leaf.
    pub crash_probability: f64,
    /// Whether the leaf is cold at its start; after a crash it always is.
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
    /// It answers new calls with the status `draining` and completes those in flight.
    Draining,
    /// It resets new connections and calls; calls in flight complete.
    Gone,
}

/// Calls that fail or are slow. A call is affected if it meets all conditions that are given.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Misbehaviour {
    /// Only calls on this route are affected.
    pub route: Option<String>,
    /// Only calls that start with at least this many in flight, themselves included, are affected.
    pub min_in_flight: u32,
    /// Only calls that start at this time or later are affected, in milliseconds since the Unix
    /// epoch.
    pub after_unix_ms: u64,
    /// The probability that an affected call fails, from 0 to 1.
    pub fail_probability: f64,
    /// How many times longer an affected call takes; 0 means no change.
    pub slow_factor: f64,
}

/// False values that the health endpoint reports; `None` reports the true one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FalseHealth {
    /// The load, as a fraction of the slots.
    pub load: Option<f64>,
    /// The state; any text is reported as it is.
    pub state: Option<String>,
}

/// The faults of a leaf that last until they are replaced.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Whether it takes calls.
    pub lifecycle: Lifecycle,
    /// The number of `draining` answers after which the leaf is gone; 0 means never.
    pub drain_answers: u32,
    /// Whether it accepts calls and never answers them. Calls that it refuses are answered.
    pub silent: bool,
    /// The probability that a call is shed although there is capacity, from 0 to 1.
    pub shed_probability: f64,
    /// How many times longer each call takes; 0 means no change.
    pub slow_factor: f64,
    /// Which calls fail or are slow, and how.
    pub misbehaviour: Misbehaviour,
    /// False values for the health endpoint.
    pub false_health: FalseHealth,
}
