//! One backend server of every tenth shard stops answering under load, then returns.

use std::time::Duration;

use camphorhold_testutils::backend::Change;
use camphorhold_testutils::backend::Fault;

use super::Options;
use super::SUMMARY_COLUMNS;
use super::extra_load;
use super::percent;
use super::search_calls;
use super::summary_cells;
use crate::error::Error;
use crate::report::Table;
use crate::sample::Summary;

/// Target: the largest extra load during a fault, as a share of the leaf calls needed.
const MAX_EXTRA_FAULT: f64 = 0.10;

/// Target: the largest extra load in steady state, as a share of the leaf calls needed.
const MAX_EXTRA_STEADY: f64 = 0.05;

/// One in this many shards loses a backend server.
const SHARDS_PER_LOST_REPLICA: usize = 10;

const PHASES: [&str; 3] = ["before", "silent", "back"];

/// Runs the experiment in three periods of `--seconds`, named in [`PHASES`].
pub async fn run(options: &Options) -> Result<(), Error> {
    let mut report = options.report("replica-lost");
    let tier = options.warm_tier(&options.config()).await?;
    let load = options.search_load(&tier, options.load)?;
    let service = load.service.clone();
    let lost = service.leafs.values().step_by(SHARDS_PER_LOST_REPLICA);
    let lost: Vec<_> = lost.filter_map(|replicas| replicas.first()).collect();
    let period = options.duration();
    let running = load.start(period * 3);
    let mut calls = vec![search_calls(&tier, &service.name).await?];
    for phase in 0..3 {
        for leaf in lost.iter().filter(|_| phase > 0) {
            let silent = phase == 1;
            let fault = Fault {
                silent,
                ..Fault::default()
            };
            let change = Change {
                leaf: Some(**leaf),
                fault: Some(fault),
                ..Change::default()
            };
            tier.change_leafs(&change).await?;
        }
        tokio::time::sleep(period).await;
        calls.push(search_calls(&tier, &service.name).await?);
    }
    let samples = running.await?;
    let mut columns = vec!["period"];
    columns.extend(SUMMARY_COLUMNS);
    columns.push("extra load");
    let title = format!("{} of {} shards lose a server", lost.len(), service.shards);
    let mut table = Table::new(title, &columns);
    for (phase, name) in (0_u32..).zip(PHASES) {
        let summary = Summary::of(&samples, period * phase, period * (phase + 1));
        let index = phase as usize;
        let extra = extra_load(calls[index + 1] - calls[index], summary.calls_needed);
        let mut row = vec![name.to_owned()];
        row.extend(summary_cells(&summary));
        row.push(percent(extra));
        table.row(row);
        let bound = if phase == 0 {
            MAX_EXTRA_STEADY
        } else {
            MAX_EXTRA_FAULT
        };
        let target = format!("extra load {name} at most {}", percent(bound));
        report.target(target, percent(extra), extra <= bound);
    }
    report.table(table);
    report.failures(&samples);
    let all = Summary::of(&samples, Duration::ZERO, Duration::MAX);
    report.target("no wrong answer", all.violations, all.violations == 0);
    report.finish(options.json.as_deref())
}
