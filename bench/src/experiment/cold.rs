//! Backend servers turn cold under load: by a crash, without closing their connections, with their
//! owner paused and during an outage of the key-value service.

use std::net::SocketAddr;
use std::time::Duration;

use camphorhold_testutils::backend::Change;
use camphorhold_testutils::backend::Counters;
use nix::sys::signal::Signal;

use super::Options;
use crate::error::Error;
use crate::report::Table;
use crate::sample::Summary;
use crate::tier::Tier;

/// The most concurrent calls that a cold server permits, in both deployments.
const COLD_CONCURRENCY: u32 = 1;

/// The pause of an owner, and the time from the start of the outage of the key-value service to the
/// crash. Longer than the currency bound of 3 s.
const PAUSE: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
enum Case {
    Crash,
    TurnedCold,
    CrashWithOwnerPaused,
    CrashWithStoreDown,
}

const CASES: [Case; 4] = [
    Case::Crash,
    Case::TurnedCold,
    Case::CrashWithOwnerPaused,
    Case::CrashWithStoreDown,
];

/// Runs the experiment, with one period of `--seconds` for each case.
pub async fn run(options: &Options) -> Result<(), Error> {
    let mut report = options.report("cold");
    let tier = options.warm_tier(&options.config()).await?;
    let load = options.search_load(&tier, options.load)?;
    let replicas: Vec<Vec<SocketAddr>> = load.service.leafs.values().cloned().collect();
    let before = tier.counters().await?;
    let count = u32::try_from(CASES.len()).unwrap_or(u32::MAX);
    let length = (options.duration() + PAUSE) * count;
    let running = load.start(length);
    let mut affected = Vec::new();
    for (case, replicas) in CASES.into_iter().zip(replicas) {
        let Some(leaf) = replicas.first().copied() else {
            continue;
        };
        run_case(&tier, case, leaf, options.duration()).await?;
        affected.push((case, leaf));
    }
    let after = tier.counters().await?;
    let samples = running.await?;
    let summary = Summary::all(&samples);
    let columns = [
        "case",
        "leaf",
        "largest concurrency while cold",
        "bound",
        "violations",
    ];
    let mut table = Table::new("Servers that turned cold", &columns);
    for (case, leaf) in affected {
        let row = after
            .iter()
            .find(|counters| counters.leaf == leaf.to_string());
        let Some(counters) = row else { continue };
        table.row(vec![
            format!("{case:?}"),
            leaf.to_string(),
            counters.max_in_flight_cold.to_string(),
            COLD_CONCURRENCY.to_string(),
            counters.violations.to_string(),
        ]);
    }
    report.table(table);
    let violations = |counters: &[Counters]| counters.iter().map(|leaf| leaf.violations).sum();
    let (start, all): (u64, u64) = (violations(&before), violations(&after));
    report.target("no violation at the start", start, start == 0);
    report.target("no violation at any leaf", all, all == 0);
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

async fn run_case(
    tier: &Tier,
    case: Case,
    leaf: SocketAddr,
    period: Duration,
) -> Result<(), Error> {
    let crash = Change {
        leaf: Some(leaf),
        crash: true,
        ..Change::default()
    };
    match case {
        Case::Crash => tier.change_leafs(&crash).await?,
        Case::TurnedCold => {
            let change = Change {
                leaf: Some(leaf),
                turn_cold: true,
                ..Change::default()
            };
            tier.change_leafs(&change).await?;
        }
        Case::CrashWithOwnerPaused => pause_owner(tier, leaf, &crash).await?,
        Case::CrashWithStoreDown => {
            tier.set_store_outage(true).await?;
            // Longer than the currency bound, so that only the witnesses prove that the
            // generation is current.
            tokio::time::sleep(PAUSE).await;
            tier.change_leafs(&crash).await?;
        }
    }
    tokio::time::sleep(period).await;
    if matches!(case, Case::CrashWithStoreDown) {
        tier.set_store_outage(false).await?;
    }
    Ok(())
}

/// Crashes a server while its owner is stopped, and resumes the owner while the server is cold.
async fn pause_owner(tier: &Tier, leaf: SocketAddr, crash: &Change) -> Result<(), Error> {
    let Some(owner) = tier.owner(leaf).await? else {
        return Ok(());
    };
    let process = &tier.instances[owner].process;
    process.signal(Signal::SIGSTOP)?;
    tokio::time::sleep(PAUSE / 2).await;
    let crashed = tier.change_leafs(crash).await;
    tokio::time::sleep(PAUSE / 2).await;
    process.signal(Signal::SIGCONT)?;
    crashed
}
