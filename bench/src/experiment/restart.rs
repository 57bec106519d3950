//! Rolling restart of all instances behind the balancer, under load.

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
use crate::tier::SHUTDOWN_BOUND;
use crate::tier::Tier;

/// The pause after an instance is ready again: the balancer's poll and the warm-up of its leafs.
const PAUSE: Duration = Duration::from_secs(4);

/// The load ends at the latest after this time.
const LONGEST: Duration = Duration::from_mins(10);

/// Runs the experiment.
pub async fn run(options: &Options) -> Result<(), Error> {
    let mut report = options.report("restart");
    let mut tier = options.warm_tier(&options.config()).await?;
    let balancer = tier.start_balancer()?;
    let mut load = options.search_load(&tier, options.load)?;
    load.route = Route::Balancer(balancer);
    let (stop, stopped) = tokio::sync::oneshot::channel();
    let running = load.start_until(LONGEST, stopped);
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
    let mut codes = Vec::new();
    for index in 0..tier.instances.len() {
        let row = restart(&mut tier, index, &mut codes).await?;
        table.row(row);
        tokio::time::sleep(PAUSE).await;
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
    let cut = count(Outcome::Lost) + count(Outcome::Unknown);
    report.target("no request cut", cut, cut == 0);
    let failed = summary.offered - summary.answered;
    report.target(
        "every request answered after one retry",
        failed,
        failed == 0,
    );
    let clean = codes.iter().all(|code| *code == Some(0));
    report.target("every exit code is 0", format!("{codes:?}"), clean);
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
    codes: &mut Vec<Option<i32>>,
) -> Result<Vec<String>, Error> {
    let instance = &mut tier.instances[index];
    let address: SocketAddr = instance.callers;
    instance.process.signal(Signal::SIGTERM)?;
    let (code, shutdown) = instance.process.exited(SHUTDOWN_BOUND).await?;
    codes.push(code);
    let started = SystemClock.now();
    instance.restart()?;
    instance.ready().await?;
    Ok(vec![
        address.to_string(),
        format!("{code:?}"),
        milliseconds(shutdown),
        milliseconds(started.elapsed()),
    ])
}
