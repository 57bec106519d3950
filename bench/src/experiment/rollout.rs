//! Rollouts of good and bad versions, each on a service of its own, and a move without a gate.

mod callers;
mod case;
mod watch;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use camphorhold::protocol::control::RollbackReason;
use camphorhold::protocol::control::RolloutStage;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use clap::Args;
use clap::ValueEnum;

use self::callers::Callers;
use self::case::Case;
use self::watch::Seen;
use super::unix_ms;
use crate::deployment::Deployment;
use crate::error::Error;
use crate::load::millis;
use crate::report::Report;
use crate::report::Table;
use crate::sample::Sample;
use crate::sample::Summary;
use crate::tier::Config;
use crate::tier::Tier;

/// Load before the moves: the old versions warm up in the first part, and callers' figures before
/// the moves stem from the second.
const WARM_UP: Duration = Duration::from_secs(15);
const BEFORE: Duration = Duration::from_secs(15);

/// The time that callers are given to notice the end of a bad version.
const AFTER_END: Duration = Duration::from_secs(2);

/// Stated before the run: the time from the verdict to the last call of a bad version.
const MAX_LAST_CALL: u64 = 2_000;

/// What the experiment can be given.
#[derive(Args, Clone, Debug)]
pub struct Options {
    /// The cases to run, all at the same time. All of them if absent.
    #[arg(long, value_enum, value_delimiter = ',')]
    cases: Vec<Case>,
    /// Requests per second of each case.
    #[arg(long, default_value_t = 50.0)]
    rate: f64,
    /// The time from the start of a rollout to its deadline.
    #[arg(long, default_value = "180s", value_parser = humantime::parse_duration)]
    deadline: Duration,
    /// The time from the start of a rollout to the fault of the versions that turn bad later.
    #[arg(long, default_value = "35s", value_parser = humantime::parse_duration)]
    later: Duration,
    /// The seed of arrivals, queries and service times.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of instances.
    #[arg(long, default_value_t = 3)]
    instances: u16,
    /// A file for the results, in JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// What came of one case.
struct Outcome {
    seen: Seen,
    samples: Vec<Sample>,
}

/// The moment at which the moves were accepted.
#[derive(Clone, Copy)]
struct Start {
    unix_ms: u64,
    /// Since the start of the load.
    at: Duration,
    deadline_unix_ms: u64,
}

/// Runs the experiment.
pub async fn run(options: &Options) -> Result<(), Error> {
    let mut report = Report::new("rollout", format!("{options:?}"));
    let mut cases = options.cases.clone();
    if cases.is_empty() {
        cases = Case::value_variants().to_vec();
    }
    let config = Config {
        // Unused, because the run has a file of its own.
        deployment: Deployment::Almisse,
        instances: options.instances,
        service_time: Duration::from_millis(10),
        jitter: Duration::from_millis(4),
        stragglers: 0.0,
        baseline: None,
        seed: options.seed,
    };
    let mut first = 0;
    let tier = Tier::start_with(&config, |ports| {
        first = ports.take(case::ports(&cases))?;
        case::file(&cases, first, None)
    });
    let mut tier = tier.await?;
    let (start, outcomes) = measure(options, &mut tier, &cases, first).await?;
    report.table(rollout_table(&outcomes, start));
    report.table(caller_table(&outcomes, start));
    for (case, outcome) in &outcomes {
        println!("{}: stages {}", case.name(), history(&outcome.seen, start));
        targets(&mut report, *case, &outcome.seen, start);
    }
    let all = outcomes.values().flat_map(|outcome| &outcome.samples);
    report.failures(&all.cloned().collect::<Vec<_>>());
    report.finish(options.json.as_deref())
}

async fn measure(
    options: &Options,
    tier: &mut Tier,
    cases: &[Case],
    first: u16,
) -> Result<(Start, BTreeMap<Case, Outcome>), Error> {
    let stop = Arc::new(AtomicBool::new(false));
    let load_started = SystemClock.now();
    let loads: Vec<_> = cases
        .iter()
        .map(|case| Callers {
            case: *case,
            addresses: tier.caller_addresses(),
            rate: options.rate,
            seed: options.seed,
            stop: Arc::clone(&stop),
        })
        .map(|callers| tokio::spawn(callers.run()))
        .collect();
    tokio::time::sleep(WARM_UP + BEFORE).await;
    let later = unix_ms() + millis(options.later);
    for case in cases {
        tier.change(&case.change(later)).await?;
    }
    let deadline = SystemClock.wall() + options.deadline;
    let start = Start {
        unix_ms: unix_ms(),
        at: load_started.elapsed(),
        deadline_unix_ms: unix_ms() + millis(options.deadline),
    };
    tier.apply(case::file(cases, first, Some(deadline))?)
        .await?;
    let limit = options.deadline + Duration::from_secs(15);
    let mut seen = watch::watch(tier, cases, later, limit).await?;
    stop.store(true, Ordering::Relaxed);
    let mut outcomes = BTreeMap::new();
    for (case, load) in cases.iter().zip(loads) {
        let seen = seen.remove(case).unwrap_or_default();
        let samples = load.await?;
        outcomes.insert(*case, Outcome { seen, samples });
    }
    Ok((start, outcomes))
}

fn rollout_table(outcomes: &BTreeMap<Case, Outcome>, start: Start) -> Table {
    let mut table = Table::new(
        "Rollouts; times in seconds from the file's acceptance. Calls are leaf calls of the new \
         version, two per request besides hedges and retries",
        &[
            "case",
            "end",
            "at s",
            "highest share",
            "fault seen s",
            "at share",
            "calls before",
            "calls after",
            "last call after verdict ms",
        ],
    );
    for (case, Outcome { seen, .. }) in outcomes {
        let end = seen.end();
        let last = seen.verdict.zip(seen.last_call);
        // Without a fault, all calls count as before it.
        let before = seen.fault.map_or(seen.calls, |_| seen.calls_before);
        table.row(vec![
            case.name().to_owned(),
            end.map_or("none".to_owned(), |(_, stage)| name(stage)),
            seconds(end.map(|(at, _)| *at), start),
            permille(seen.max_share),
            seconds(seen.fault, start),
            permille(seen.fault_share),
            before.to_string(),
            (seen.calls - before).to_string(),
            last.map_or("-".to_owned(), |(verdict, last)| {
                (i128::from(last) - i128::from(verdict)).to_string()
            }),
        ]);
    }
    table
}

fn caller_table(outcomes: &BTreeMap<Case, Outcome>, start: Start) -> Table {
    let mut table = Table::new(
        "Callers before the move, and from the fault to 2 s after the end (to the end of the run \
         without a gate, the whole rollout if good). Harmed: not answered in full by the deadline",
        &[
            "case",
            "period",
            "offered",
            "answered",
            "harmed",
            "coverage",
            "p99 ms",
            "violations",
        ],
    );
    for (case, Outcome { seen, samples }) in outcomes {
        let at = |unix_ms: u64| start.at + Duration::from_millis(unix_ms - start.unix_ms);
        let fault = seen.fault.map_or(start.at, at);
        let end = seen.end().map_or(Duration::MAX, |(end, _)| at(*end));
        let periods = [
            ("before", start.at.saturating_sub(BEFORE), start.at),
            ("during", fault, end.saturating_add(AFTER_END)),
            ("whole", start.at, Duration::MAX),
        ];
        for (period, from, to) in periods {
            let summary = Summary::of(samples, from, to);
            table.row(vec![
                case.name().to_owned(),
                period.to_owned(),
                summary.offered.to_string(),
                summary.answered.to_string(),
                (summary.offered - summary.useful).to_string(),
                format!("{:.4}", summary.coverage),
                format!("{:.1}", summary.quantile_ms(0.99)),
                summary.violations.to_string(),
            ]);
        }
    }
    table
}

fn targets(report: &mut Report, case: Case, seen: &Seen, start: Start) {
    let name_of_case = case.name();
    let end = seen
        .end()
        .map_or("none".to_owned(), |(_, stage)| name(stage));
    match case {
        Case::NoGate => {}
        Case::Good => {
            let completed = matches!(
                seen.end(),
                Some((at, RolloutStage::Completed)) if *at <= start.deadline_unix_ms
            );
            let target = format!("{name_of_case}: completed by the deadline");
            report.target(target, end, completed);
        }
        _ => {
            let taken_back = matches!(seen.end(), Some((_, RolloutStage::TakenBack { .. })));
            report.target(format!("{name_of_case}: taken back"), end, taken_back);
            report.target(
                format!("{name_of_case}: no share above that at which the fault showed"),
                format!(
                    "{} after {}",
                    permille(seen.max_share),
                    permille(seen.fault_share)
                ),
                seen.fault.is_some() && seen.max_share <= seen.fault_share,
            );
            let last = seen.verdict.zip(seen.last_call);
            let last = last.map(|(verdict, last)| last.saturating_sub(verdict));
            report.target(
                format!("{name_of_case}: last call within {MAX_LAST_CALL} ms of the verdict"),
                format!("{last:?} ms"),
                last.is_some_and(|last| last <= MAX_LAST_CALL),
            );
        }
    }
}

fn history(seen: &Seen, start: Start) -> String {
    let stages = seen.stages.iter();
    let stages = stages.map(|(at, stage)| format!("{} {}", seconds(Some(*at), start), name(stage)));
    stages.collect::<Vec<_>>().join(", ")
}

fn name(stage: &RolloutStage) -> String {
    match stage {
        RolloutStage::Pending => "pending".to_owned(),
        RolloutStage::Running { share_permille, .. } => permille(*share_permille),
        RolloutStage::Completed => "completed".to_owned(),
        RolloutStage::Retired => "retired".to_owned(),
        RolloutStage::TakenBack { fault } => match fault {
            RollbackReason::Failing { route, .. } => format!("taken back: failing on {route}"),
            RollbackReason::Slow { route, .. } => format!("taken back: slow on {route}"),
            RollbackReason::Revoked => "taken back: revoked".to_owned(),
            RollbackReason::Deadline => "taken back: deadline".to_owned(),
        },
    }
}

fn seconds(at: Option<u64>, start: Start) -> String {
    let since = at.map(|at| Duration::from_millis(at.saturating_sub(start.unix_ms)));
    since.map_or("-".to_owned(), |since| {
        format!("{:.1}", since.as_secs_f64())
    })
}

fn permille(share: u16) -> String {
    format!("{} %", f64::from(share) / 10.0)
}
