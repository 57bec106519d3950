//! Backend servers begin to leave under load, each announced by one signal only.

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

/// Target: the longest time from the signal to the last call for a caller at the leaving server.
const MAX_TIME_TO_LAST_CALL: Duration = Duration::from_secs(5);

/// The time after a signal for which the calls of the leaving server are counted.
const WATCH_DURATION: Duration = Duration::from_secs(8);

/// The way in which instances learn that a server is leaving.
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
    let running = load.start(WATCH_DURATION * 4);
    let mut table = Table::new(
        "Time from the signal to the last call for a caller (to 100 ms; the list lags by 2 s)",
        &["signal", "leaf", "last call ms"],
    );
    let signals = [Signal::DrainAnswer, Signal::InstanceList, Signal::File];
    for (signal, replicas) in signals.into_iter().zip(replicas) {
        let Some(leaf) = replicas.first().copied() else {
            continue;
        };
        let announced = announce(&mut tier, signal, leaf).await?;
        let last = last_call(&tier, &[leaf], WATCH_DURATION).await?;
        let time_to_last_call = last.map_or(Duration::ZERO, |last| {
            last.saturating_duration_since(announced)
        });
        table.row(vec![
            format!("{signal:?}"),
            leaf.to_string(),
            milliseconds(time_to_last_call),
        ]);
        report.target(
            format!("{signal:?}: last call within {MAX_TIME_TO_LAST_CALL:?}"),
            format!("{} ms", milliseconds(time_to_last_call)),
            time_to_last_call <= MAX_TIME_TO_LAST_CALL,
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

/// Announces by a signal that a leaf is leaving; returns the time at which this was accepted.
async fn announce(tier: &mut Tier, signal: Signal, leaf: SocketAddr) -> Result<Instant, Error> {
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
            tier.change_leafs(&change).await?;
            Ok(SystemClock.now())
        }
        Signal::InstanceList => {
            tier.set_instance_list(&[leaf]).await?;
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
