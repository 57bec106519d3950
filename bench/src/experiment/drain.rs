//! One backend server begins to leave, known by one signal at a time.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;

use camphorhold_testutils::backend::Change;
use camphorhold_testutils::backend::Fault;
use camphorhold_testutils::backend::Lifecycle;

use super::Options;
use super::last_call;
use super::milliseconds;
use crate::error::Error;
use crate::report::Table;
use crate::sample::Summary;
use crate::tier::Tier;

/// Stated before the run: the time from the first signal after which no new work arrives.
const MAX_TIME_OUT: Duration = Duration::from_secs(5);

/// Calls are looked for at least this long after the signal.
const WATCH: Duration = Duration::from_secs(8);

#[derive(Clone, Copy, Debug)]
enum Signal {
    DrainAnswer,
    InstanceList,
    File,
}

/// Runs the experiment.
pub async fn run(options: &Options) -> Result<(), Error> {
    let mut report = options.report("drain");
    let mut tier = options.warm_tier(&options.config()).await?;
    let load = options.search_load(&tier, options.load)?;
    let replicas: Vec<Vec<SocketAddr>> = load.service.leafs.values().cloned().collect();
    let running = load.start(WATCH * 4);
    let mut table = Table::new(
        "Time from the signal to the last call for a caller (to 100 ms; the list lags by 2 s)",
        &["signal", "leaf", "last call ms"],
    );
    let signals = [Signal::DrainAnswer, Signal::InstanceList, Signal::File];
    for (signal, replicas) in signals.into_iter().zip(replicas) {
        let Some(leaf) = replicas.first().copied() else {
            continue;
        };
        let given = give(&mut tier, signal, leaf).await?;
        let last = last_call(&tier, &[leaf], WATCH).await?;
        let taken = last.map_or(Duration::ZERO, |last| last.saturating_duration_since(given));
        table.row(vec![
            format!("{signal:?}"),
            leaf.to_string(),
            milliseconds(taken),
        ]);
        report.target(
            format!("{signal:?}: last call within {MAX_TIME_OUT:?}"),
            format!("{} ms", milliseconds(taken)),
            taken <= MAX_TIME_OUT,
        );
    }
    let samples = running.await?;
    let summary = Summary::all(&samples);
    report.table(table);
    println!(
        "{} of {} requests answered, coverage {:.4}, p99 {:.1} ms",
        summary.answered,
        summary.offered,
        summary.coverage,
        summary.quantile_ms(0.99)
    );
    report.failures(&samples);
    report.target(
        "no wrong answer",
        summary.violations,
        summary.violations == 0,
    );
    report.finish(options.json.as_deref())
}

/// Gives a signal and returns when it was given.
async fn give(tier: &mut Tier, signal: Signal, leaf: SocketAddr) -> Result<Instant, Error> {
    match signal {
        Signal::DrainAnswer => {
            let fault = Fault {
                lifecycle: Lifecycle::Draining,
                ..Fault::default()
            };
            let change = Change {
                leaf: Some(leaf),
                fault: Some(fault),
                ..Change::default()
            };
            tier.change(&change).await?;
            Ok(SystemClock.now())
        }
        Signal::InstanceList => {
            tier.list_leaving(&[leaf]).await?;
            Ok(SystemClock.now())
        }
        Signal::File => {
            let mut file = tier.file.clone();
            file.set_leaving(leaf);
            let (_, accepted) = tier.apply(file).await?;
            Ok(accepted)
        }
    }
}
