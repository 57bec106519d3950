//! Restarts all instances behind the balancer one after another under load.

use std::net::SocketAddr;
use std::time::Duration;

use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;

use nix::sys::signal::Signal;

use super::Options;
use super::SUMMARY_COLUMNS;
use super::milliseconds;
use super::summary_cells;
use crate::error::Error;
use crate::load::Route;
use crate::report::Table;
use crate::sample::Outcome;
use crate::sample::Summary;
use crate::tier::SHUTDOWN_TIMEOUT;
use crate::tier::Tier;

/// The pause after an instance is ready again, in which the balancer notices it and its leafs warm
/// up.
const PAUSE_AFTER_RESTART: Duration = Duration::from_secs(4);

/// The load ends after this time even if not all instances have been restarted.
const MAX_LOAD_DURATION: Duration = Duration::from_mins(10);

/// Runs the experiment.
pub async fn run(options: &Options) -> Result<(), Error> {
    let mut report = options.report("restart");
    let mut tier = options.warm_tier(&options.config()).await?;
    let balancer = tier.start_balancer()?;
    let mut load = options.search_load(&tier, options.load)?;
    load.route = Route::Balancer(balancer);
    let (stop, stopped) = tokio::sync::oneshot::channel();
    let running = load.start_until(MAX_LOAD_DURATION, stopped);
    tokio::time::sleep(options.duration()).await;
    let mut table = Table::new(
        "Restarts in order",
        &[
            "instance",
            "exit code",
            "shutdown ms",
            "ready again after ms",
        ],
    );
    let mut exit_codes = Vec::new();
    for index in 0..tier.instances.len() {
        let row = restart(&mut tier, index, &mut exit_codes).await?;
        table.row(row);
        tokio::time::sleep(PAUSE_AFTER_RESTART).await;
    }
    tokio::time::sleep(options.duration()).await;
    let _ = stop.send(());
    let samples = running.await?;
    report.table(table);
    let summary = Summary::all(&samples);
    let mut requests = Table::new("Requests over the whole run", &SUMMARY_COLUMNS);
    requests.row(summary_cells(&summary));
    report.table(requests);
    let count = |outcome| {
        let matching = samples.iter().filter(|sample| sample.outcome == outcome);
        matching.count()
    };
    report.failures(&samples);
    let interrupted = count(Outcome::Lost) + count(Outcome::Unknown);
    report.target("no request cut", interrupted, interrupted == 0);
    let failed = summary.offered - summary.answered;
    report.target(
        "every request answered after one retry",
        failed,
        failed == 0,
    );
    let clean = exit_codes.iter().all(|code| *code == Some(0));
    report.target("every exit code is 0", format!("{exit_codes:?}"), clean);
    let counters = tier.counters().await?;
    let violations: u64 = counters.iter().map(|leaf| leaf.violations).sum();
    report.target("no cold-start violation", violations, violations == 0);
    report.target(
        "no wrong answer",
        summary.violations,
        summary.violations == 0,
    );
    report.finish(options.json.as_deref())
}

async fn restart(
    tier: &mut Tier,
    index: usize,
    exit_codes: &mut Vec<Option<i32>>,
) -> Result<Vec<String>, Error> {
    let instance = &mut tier.instances[index];
    let address: SocketAddr = instance.caller_address;
    instance.process.signal(Signal::SIGTERM)?;
    let (code, shutdown) = instance.process.wait_for_exit(SHUTDOWN_TIMEOUT).await?;
    exit_codes.push(code);
    let started = SystemClock.now();
    instance.restart()?;
    instance.wait_until_ready().await?;
    Ok(vec![
        address.to_string(),
        format!("{code:?}"),
        milliseconds(shutdown),
        milliseconds(started.elapsed()),
    ])
}
