//! Takes a failure domain out of service by a file change under load and brings it back.

use std::time::Duration;

use super::Options;
use super::last_call;
use super::milliseconds;
use crate::error::Error;
use crate::report::Table;
use crate::sample::Summary;

/// Target: the longest time from the acceptance of the change to the last call in the domain.
const MAX_TIME_TO_LAST_CALL: Duration = Duration::from_secs(5);

/// Runs the experiment in three periods of `--seconds`: before, while out of service and after.
pub async fn run(options: &Options) -> Result<(), Error> {
    let mut report = options.report("domain");
    let mut tier = options.warm_tier(&options.config()).await?;
    let load = options.search_load(&tier, options.load)?;
    let domain = tier.file.domains()?.remove(0);
    let leafs = tier.file.leafs_in(&load.service.name, &domain)?;
    let period = options.duration();
    let running = load.start(period * 3);
    tokio::time::sleep(period).await;
    let mut file = tier.file.clone();
    file.set_in_service(&domain, false);
    let (_, accepted) = tier.apply(file.clone()).await?;
    let last = last_call(&tier, &leafs, period).await?;
    file.set_in_service(&domain, true);
    tier.apply(file).await?;
    let samples = running.await?;
    let columns = [
        "second",
        "offered",
        "answered",
        "not run",
        "other",
        "coverage",
        "p99 ms",
        "violations",
    ];
    let seconds = u32::try_from(options.seconds * 3).unwrap_or(u32::MAX);
    let title = format!(
        "{domain} ({} leafs) is out from second {} to {}",
        leafs.len(),
        options.seconds,
        options.seconds * 2
    );
    let mut table = Table::new(title, &columns);
    for second in 0..seconds {
        let from = Duration::from_secs(second.into());
        let summary = Summary::of(&samples, from, from + Duration::from_secs(1));
        table.row(vec![
            second.to_string(),
            summary.offered.to_string(),
            summary.answered.to_string(),
            summary.not_run.to_string(),
            summary.other.to_string(),
            format!("{:.4}", summary.coverage),
            format!("{:.1}", summary.quantile_ms(0.99)),
            summary.violations.to_string(),
        ]);
    }
    report.table(table);
    let time_to_last_call = last.map_or(Duration::ZERO, |last| {
        last.saturating_duration_since(accepted)
    });
    report.target(
        format!("last call at most {MAX_TIME_TO_LAST_CALL:?} after acceptance"),
        format!("{} ms (to 100 ms)", milliseconds(time_to_last_call)),
        time_to_last_call <= MAX_TIME_TO_LAST_CALL,
    );
    report.failures(&samples);
    let all = Summary::all(&samples);
    let failed = all.offered - all.answered;
    println!("{failed} of {} requests were not answered", all.offered);
    report.target("no wrong answer", all.violations, all.violations == 0);
    report.finish(options.json.as_deref())
}
