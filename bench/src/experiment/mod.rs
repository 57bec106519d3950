//! The experiments.

pub mod apply;
pub mod blast_radius;
pub mod cold;
pub mod domain;
pub mod drain;
pub mod once;
pub mod peer_path;
pub mod replica_lost;
pub mod restart;
pub mod rollout;
pub mod serve;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;
use std::time::UNIX_EPOCH;

use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;

use camphorhold_testutils::backend::Counters;
use clap::Args;

use crate::deployment::Deployment;
use crate::deployment::Service;
use crate::error::Error;
use crate::load::Load;
use crate::load::Route;
use crate::load::millis;
use crate::report::Report;
use crate::sample::Summary;
use crate::tier::Config;
use crate::tier::Tier;

/// The longest warm-up. A tier that is still cold after it is measured anyway.
const WARM_UP_TIMEOUT: Duration = Duration::from_secs(20);

/// The load of a warm-up, as a share of the nominal capacity.
const WARM_UP_LOAD: f64 = 0.25;

/// The interval between reads of the backend servers' counters when looking for the last call.
const COUNTER_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The options of all experiments but `rollout`.
#[derive(Args, Clone, Debug)]
pub struct Options {
    /// The deployment to run.
    #[arg(long, value_enum, default_value_t = Deployment::Almisse)]
    pub deployment: Deployment,
    /// The length of one measurement, in seconds.
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,
    /// The seed of arrivals, tenants, queries and service times.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// The number of instances.
    #[arg(long, default_value_t = 7)]
    pub instances: u16,
    /// The shortest time to serve a leaf call.
    #[arg(long, default_value = "10ms", value_parser = humantime::parse_duration)]
    pub service_time: Duration,
    /// The largest addition to the service time.
    #[arg(long, default_value = "4ms", value_parser = humantime::parse_duration)]
    pub jitter: Duration,
    /// The offered load, as a share of the slots of the service's leafs.
    #[arg(long, default_value_t = 0.5)]
    pub load: f64,
    /// The time of light load between the warm-up and the measurement. Hedge delays follow the
    /// latencies of the last 20 s, so after a shorter time they still reflect the cold start.
    #[arg(long, default_value = "20s", value_parser = humantime::parse_duration)]
    pub settle: Duration,
    /// The capacity, as a share of the slots. If absent, the experiment searches for it.
    #[arg(long)]
    pub capacity: Option<f64>,
    /// Skips the baselines, in experiments that have them.
    #[arg(long)]
    pub without_baselines: bool,
    /// Runs only these baselines; may be repeated.
    #[arg(long = "baseline")]
    pub baselines: Vec<String>,
    /// The file to write the results to, in JSON.
    #[arg(long)]
    pub json: Option<PathBuf>,
}

impl Options {
    /// Returns the length of one measurement, from `--seconds`.
    pub fn duration(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }

    /// Returns the settings of a tier without stragglers and baselines.
    pub fn config(&self) -> Config {
        Config {
            deployment: self.deployment,
            instances: self.instances,
            service_time: self.service_time,
            jitter: self.jitter,
            straggler_probability: 0.0,
            baseline: None,
            seed: self.seed,
        }
    }

    /// Returns the requests per second, each with one leaf call per shard, that would keep all
    /// slots of a service busy.
    pub fn nominal_rate(&self, service: &Service) -> f64 {
        let mean = self.service_time + self.jitter / 2;
        f64::from(service.slots) / mean.as_secs_f64() / f64::from(service.shards)
    }

    /// Returns a report without results that states these options.
    pub fn report(&self, experiment: &str) -> Report {
        let Self {
            deployment,
            seconds,
            seed,
            instances,
            service_time,
            jitter,
            load,
            settle,
            ..
        } = self;
        let settings = format!(
            "{}, {instances} instances, seed {seed}, {seconds} s, service time {service_time:?} \
             to {:?}, load {load}, \
             settled for {settle:?}",
            deployment.name(),
            *service_time + *jitter
        );
        Report::new(experiment, settings)
    }

    /// Returns load on the search service of the deployment, as a share of its nominal rate.
    pub fn search_load(&self, tier: &Tier, share: f64) -> Result<Load, Error> {
        let service = tier.file.service(self.deployment.search_service())?;
        Ok(Load {
            rate: self.nominal_rate(&service) * share,
            service,
            route: Route::Direct(tier.caller_addresses()),
            seed: self.seed,
        })
    }

    /// Starts a tier and offers light load until all leafs of the search service are warm, for
    /// [`WARM_UP_TIMEOUT`] at most, and then for the time of `--settle`.
    pub async fn warm_tier(&self, config: &Config) -> Result<Tier, Error> {
        let tier = Tier::start(config).await?;
        let service = tier.file.service(self.deployment.search_service())?;
        let leafs: usize = service.leafs.values().map(Vec::len).sum();
        let started = SystemClock.now();
        let mut warm = 0;
        while warm < leafs && started.elapsed() < WARM_UP_TIMEOUT {
            let load = self.search_load(&tier, WARM_UP_LOAD)?;
            load.run(Duration::from_secs(1)).await;
            warm = tier.warm_leafs(&service.name).await?;
        }
        if warm < leafs {
            println!(
                "only {warm} of {leafs} leafs are warm after {WARM_UP_TIMEOUT:?}; measuring anyway"
            );
        }
        let load = self.search_load(&tier, WARM_UP_LOAD)?;
        load.run(self.settle).await;
        Ok(tier)
    }
}

/// Reads the number of calls that the leafs of a service received for the route `search`.
pub async fn search_calls(tier: &Tier, service: &str) -> Result<u64, Error> {
    let counters = tier.counters().await?;
    let counters = counters.iter();
    let counters = counters.filter(|leaf| leaf.service == service);
    Ok(counters.map(search_calls_of).sum())
}

/// Returns the calls that a leaf received for the route `search`, excluding status requests.
fn search_calls_of(counters: &Counters) -> u64 {
    let requests = counters.requests.iter();
    let requests = requests.filter(|(name, _)| name.ends_with("/search"));
    requests.map(|(_, count)| count).sum()
}

/// Polls the counters of leafs for a time; returns the last time at which their calls for the route
/// `search` had increased, to [`COUNTER_POLL_INTERVAL`], or nothing if there were no such calls.
pub async fn last_call(
    tier: &Tier,
    leafs: &[SocketAddr],
    duration: Duration,
) -> Result<Option<Instant>, Error> {
    let leafs: BTreeSet<String> = leafs.iter().map(ToString::to_string).collect();
    let started = SystemClock.now();
    let mut last = None;
    let mut previous = None;
    while started.elapsed() < duration {
        let counters = tier.counters().await?;
        let counters = counters.iter();
        let counters = counters.filter(|leaf| leafs.contains(&leaf.leaf));
        let calls: u64 = counters.map(search_calls_of).sum();
        if previous.is_some_and(|previous| previous != calls) {
            last = Some(SystemClock.now());
        }
        previous = Some(calls);
        tokio::time::sleep(COUNTER_POLL_INTERVAL).await;
    }
    Ok(last)
}

/// Returns the leaf calls beyond those needed, as a share of those needed; 0 if none were needed.
#[expect(clippy::cast_precision_loss, reason = "counts of a short run")]
pub fn extra_load(calls: u64, needed: u64) -> f64 {
    if needed == 0 {
        return 0.0;
    }
    calls as f64 / needed as f64 - 1.0
}

/// Returns the cells of a summary, for the columns [`SUMMARY_COLUMNS`].
pub fn summary_cells(summary: &Summary) -> Vec<String> {
    let milliseconds = |quantile| format!("{:.1}", summary.quantile_ms(quantile));
    vec![
        summary.offered.to_string(),
        summary.answered.to_string(),
        summary.not_run.to_string(),
        summary.other.to_string(),
        milliseconds(0.5),
        milliseconds(0.99),
        milliseconds(0.999),
        format!("{:.4}", summary.coverage),
        format!("{:.3}", summary.worth),
        summary.violations.to_string(),
    ]
}

/// The names of the columns that [`summary_cells`] fills.
pub const SUMMARY_COLUMNS: [&str; 10] = [
    "offered",
    "answered",
    "not run",
    "other",
    "p50 ms",
    "p99 ms",
    "p99.9 ms",
    "coverage",
    "worth in time",
    "violations",
];

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since = SystemClock.wall().duration_since(UNIX_EPOCH);
    since.map(millis).unwrap_or_default()
}

/// Formats a share, 0 to 1, in per cent.
pub fn percent(share: f64) -> String {
    format!("{:.2} %", share * 100.0)
}

/// Formats a duration in whole milliseconds, without the unit.
pub fn milliseconds(duration: Duration) -> String {
    format!("{:.0}", duration.as_secs_f64() * 1000.0)
}
