//! Rolls out good and bad versions, each on its own service, and moves one service to a bad version
//! without a rollout.

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
use self::watch::Observations;
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

/// The first part of the load before the moves, in which the old versions warm up.
const WARM_UP: Duration = Duration::from_secs(15);
/// The second part, which gives the callers' figures before the moves.
const BEFORE_MOVES: Duration = Duration::from_secs(15);

/// The time after the end of a rollout for which callers may still be affected by a bad version.
const AFTER_END: Duration = Duration::from_secs(2);

/// Target: the longest time from the revocation of a bad version to its last call.
const MAX_LAST_CALL_MS: u64 = 2_000;

/// The options of the experiment.
#[derive(Args, Clone, Debug)]
pub struct Options {
    /// The cases to run, all at the same time. Without this option, every case runs.
    #[arg(long, value_enum, value_delimiter = ',')]
    cases: Vec<Case>,
    /// The mean rate of requests of each case, per second.
    #[arg(long, default_value_t = 50.0)]
    rate: f64,
    /// The time from the start of a rollout to its deadline.
    #[arg(long, default_value = "180s", value_parser = humantime::parse_duration)]
    deadline: Duration,
    /// The time from the start of the rollouts to the fault of the versions whose fault begins
    /// late.
    #[arg(long, default_value = "35s", value_parser = humantime::parse_duration)]
    later: Duration,
    /// The seed of arrivals, queries and service times.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of instances.
    #[arg(long, default_value_t = 3)]
    instances: u16,
    /// The file to write the results to, in JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// The result of one case.
struct CaseResult {
    observed: Observations,
    samples: Vec<Sample>,
}

/// The time just before the file with the moves was sent.
#[derive(Clone, Copy)]
struct Start {
    unix_ms: u64,
    /// The time since the start of the load.
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
        // Unused, because the run generates its own file.
        deployment: Deployment::Almisse,
        instances: options.instances,
        service_time: Duration::from_millis(10),
        jitter: Duration::from_millis(4),
        straggler_probability: 0.0,
        baseline: None,
        seed: options.seed,
    };
    let mut first_port = 0;
    let tier = Tier::start_with(&config, |ports| {
        first_port = ports.take(case::port_count(&cases))?;
        case::file(&cases, first_port, None)
    });
    let mut tier = tier.await?;
    let (start, outcomes) = measure(options, &mut tier, &cases, first_port).await?;
    report.table(rollout_table(&outcomes, start));
    report.table(caller_table(&outcomes, start));
    for (case, outcome) in &outcomes {
        println!(
            "{}: stages {}",
            case.name(),
            stage_history(&outcome.observed, start)
        );
        check_targets(&mut report, *case, &outcome.observed, start);
    }
    let all = outcomes.values().flat_map(|outcome| &outcome.samples);
    report.failures(&all.cloned().collect::<Vec<_>>());
    report.finish(options.json.as_deref())
}

async fn measure(
    options: &Options,
    tier: &mut Tier,
    cases: &[Case],
    first_port: u16,
) -> Result<(Start, BTreeMap<Case, CaseResult>), Error> {
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
    tokio::time::sleep(WARM_UP + BEFORE_MOVES).await;
    let late_fault_unix_ms = unix_ms() + millis(options.later);
    for case in cases {
        tier.change_leafs(&case.change(late_fault_unix_ms)).await?;
    }
    let deadline = SystemClock.wall() + options.deadline;
    let start = Start {
        unix_ms: unix_ms(),
        at: load_started.elapsed(),
        deadline_unix_ms: unix_ms() + millis(options.deadline),
    };
    tier.apply(case::file(cases, first_port, Some(deadline))?)
        .await?;
    let limit = options.deadline + Duration::from_secs(15);
    let mut observations = watch::watch(tier, cases, late_fault_unix_ms, limit).await?;
    stop.store(true, Ordering::Relaxed);
    let mut outcomes = BTreeMap::new();
    for (case, load) in cases.iter().zip(loads) {
        let observed = observations.remove(case).unwrap_or_default();
        let samples = load.await?;
        outcomes.insert(*case, CaseResult { observed, samples });
    }
    Ok((start, outcomes))
}

fn rollout_table(outcomes: &BTreeMap<Case, CaseResult>, start: Start) -> Table {
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
    for (case, CaseResult { observed, .. }) in outcomes {
        let end = observed.end();
        let last = observed.verdict.zip(observed.last_call);
        // If no fault was observed, all calls count as calls before the fault.
        let before = observed
            .fault
            .map_or(observed.calls, |_| observed.calls_before);
        table.row(vec![
            case.name().to_owned(),
            end.map_or("none".to_owned(), |(_, stage)| stage_name(stage)),
            format_seconds(end.map(|(at, _)| *at), start),
            format_permille(observed.max_share),
            format_seconds(observed.fault, start),
            format_permille(observed.fault_share),
            before.to_string(),
            (observed.calls - before).to_string(),
            last.map_or("-".to_owned(), |(verdict, last)| {
                (i128::from(last) - i128::from(verdict)).to_string()
            }),
        ]);
    }
    table
}

fn caller_table(outcomes: &BTreeMap<Case, CaseResult>, start: Start) -> Table {
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
    for (case, CaseResult { observed, samples }) in outcomes {
        let at = |unix_ms: u64| start.at + Duration::from_millis(unix_ms - start.unix_ms);
        let fault = observed.fault.map_or(start.at, at);
        let end = observed.end().map_or(Duration::MAX, |(end, _)| at(*end));
        let periods = [
            ("before", start.at.saturating_sub(BEFORE_MOVES), start.at),
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

fn check_targets(report: &mut Report, case: Case, observed: &Observations, start: Start) {
    let name_of_case = case.name();
    let end = observed
        .end()
        .map_or("none".to_owned(), |(_, stage)| stage_name(stage));
    match case {
        Case::NoGate => {}
        Case::Good => {
            let completed = matches!(
                observed.end(),
                Some((at, RolloutStage::Completed)) if *at <= start.deadline_unix_ms
            );
            let target = format!("{name_of_case}: completed by the deadline");
            report.target(target, end, completed);
        }
        _ => {
            let taken_back = matches!(observed.end(), Some((_, RolloutStage::TakenBack { .. })));
            report.target(format!("{name_of_case}: taken back"), end, taken_back);
            report.target(
                format!("{name_of_case}: no share above that at which the fault showed"),
                format!(
                    "{} after {}",
                    format_permille(observed.max_share),
                    format_permille(observed.fault_share)
                ),
                observed.fault.is_some() && observed.max_share <= observed.fault_share,
            );
            let last = observed.verdict.zip(observed.last_call);
            let last = last.map(|(verdict, last)| last.saturating_sub(verdict));
            report.target(
                format!("{name_of_case}: last call within {MAX_LAST_CALL_MS} ms of the verdict"),
                format!("{last:?} ms"),
                last.is_some_and(|last| last <= MAX_LAST_CALL_MS),
            );
        }
    }
}

fn stage_history(observed: &Observations, start: Start) -> String {
    let stages = observed.stages.iter();
    let stages = stages
        .map(|(at, stage)| format!("{} {}", format_seconds(Some(*at), start), stage_name(stage)));
    stages.collect::<Vec<_>>().join(", ")
}

fn stage_name(stage: &RolloutStage) -> String {
    match stage {
        RolloutStage::Pending => "pending".to_owned(),
        RolloutStage::Running { share_permille, .. } => format_permille(*share_permille),
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

/// Formats the time since the start of the rollouts in seconds, without the unit, or "-" for an
/// absent time.
fn format_seconds(at: Option<u64>, start: Start) -> String {
    let since = at.map(|at| Duration::from_millis(at.saturating_sub(start.unix_ms)));
    since.map_or("-".to_owned(), |since| {
        format!("{:.1}", since.as_secs_f64())
    })
}

/// Formats a share in thousandths as per cent.
fn format_permille(share: u16) -> String {
    format!("{} %", f64::from(share) / 10.0)
}
