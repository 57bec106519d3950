//! Latency, coverage, worth and extra load at several loads, with and without stragglers, against
//! baselines.

use std::time::Duration;

use super::Options;
use super::SUMMARY_COLUMNS;
use super::extra_load;
use super::percent;
use super::search_calls;
use super::summary_cells;
use crate::error::Error;
use crate::report::Report;
use crate::report::Table;
use crate::sample::Summary;
use crate::tier::Tier;

/// Stated before the run: the largest ratio of the p99 with stragglers to that without.
const MAX_STRAGGLER_RATIO: f64 = 1.5;

/// Stated before the run: the largest extra load in steady state.
const MAX_EXTRA_STEADY: f64 = 0.05;

/// Stated before the run: the largest extra load in a fault.
const MAX_EXTRA_FAULT: f64 = 0.10;

/// At twice the capacity, useful answers must not fall below this share of the capacity.
const MIN_USEFUL_AT_OVERLOAD: f64 = 0.8;

/// The share of stragglers; each takes 20 times as long.
const STRAGGLERS: f64 = 0.01;

/// Useful answers below this share of the requests offered mean that the capacity is exceeded.
const CAPACITY_SHARE: f64 = 0.98;

/// The loads tried in the search for the capacity, as shares of the nominal rate.
const CAPACITY_STEPS: [f64; 9] = [0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0];

const CAPACITY_STEP: Duration = Duration::from_secs(2);

/// Loads as multiples of the measured capacity.
const LOADS: [f64; 3] = [0.5, 1.0, 2.0];

const BASELINES: [&str; 4] = [
    "random-replica",
    "no-hedging",
    "no-limits",
    "every-instance-connects",
];

/// One measurement.
struct Point {
    variant: &'static str,
    stragglers: bool,
    load: f64,
    summary: Summary,
    extra: f64,
    /// Hedges and retries that entry instances sent, per first call.
    hedges: f64,
    retries: f64,
}

/// Runs the experiment.
pub async fn run(options: &Options) -> Result<(), Error> {
    let mut report = options.report("serve");
    let tier = options.warm_tier(&options.config()).await?;
    let capacity = match options.capacity {
        Some(capacity) => capacity,
        None => search_capacity(options, &tier, &mut report).await?,
    };
    let mut points = Vec::new();
    measure(
        options,
        &tier,
        ("camphorhold", false),
        capacity,
        &mut points,
    )
    .await?;
    drop(tier);
    let variants = [("camphorhold", true)].into_iter();
    let baselines = if options.without_baselines {
        &[]
    } else {
        BASELINES.as_slice()
    };
    let chosen = |name: &&&str| {
        let chosen = &options.baselines;
        chosen.is_empty() || chosen.iter().any(|other| other == **name)
    };
    let baselines = baselines
        .iter()
        .filter(chosen)
        .flat_map(|name| [(*name, false), (*name, true)]);
    for variant in variants.chain(baselines) {
        let mut config = options.config();
        config.stragglers = if variant.1 { STRAGGLERS } else { 0.0 };
        config.baseline = BASELINES.contains(&variant.0).then_some(variant.0);
        let tier = options.warm_tier(&config).await?;
        measure(options, &tier, variant, capacity, &mut points).await?;
    }
    report.table(table(&points));
    report.table(ratios(&points));
    check(&points, capacity, options, &mut report);
    report.finish(options.json.as_deref())
}

/// Raises the load step by step; returns the share of the nominal rate that was last served.
async fn search_capacity(
    options: &Options,
    tier: &Tier,
    report: &mut Report,
) -> Result<f64, Error> {
    let mut columns = vec!["share of slots", "requests/s"];
    columns.extend(SUMMARY_COLUMNS);
    let mut table = Table::new("Search for the capacity, without stragglers", &columns);
    let mut capacity = CAPACITY_STEPS[0];
    for step in CAPACITY_STEPS {
        let load = options.search_load(tier, step)?;
        let rate = load.rate;
        let summary = Summary::all(&load.run(CAPACITY_STEP).await);
        let mut row = vec![format!("{step:.1}"), format!("{rate:.0}")];
        row.extend(summary_cells(&summary));
        table.row(row);
        let useful = share(summary.useful, summary.offered);
        if useful < CAPACITY_SHARE {
            break;
        }
        capacity = step;
    }
    report.table(table);
    println!("capacity: {capacity:.1} of the slots");
    Ok(capacity)
}

async fn measure(
    options: &Options,
    tier: &Tier,
    (variant, stragglers): (&'static str, bool),
    capacity: f64,
    points: &mut Vec<Point>,
) -> Result<(), Error> {
    for load in LOADS {
        let service = options.deployment.search_service();
        let before = search_calls(tier, service).await?;
        let offered = options.search_load(tier, capacity * load)?;
        let sent_before = sent(tier).await?;
        let summary = Summary::all(&offered.run(options.duration()).await);
        let calls = search_calls(tier, service).await? - before;
        let extra = extra_load(calls, summary.calls_needed);
        let sent_after = sent(tier).await?;
        let primary = (sent_after[0] - sent_before[0]).max(1.0);
        points.push(Point {
            variant,
            stragglers,
            load,
            summary,
            extra,
            hedges: (sent_after[1] - sent_before[1]) / primary,
            retries: (sent_after[2] - sent_before[2]) / primary,
        });
    }
    Ok(())
}

/// Reads the first calls, hedges and retries that all instances have sent.
async fn sent(tier: &Tier) -> Result<[f64; 3], Error> {
    let mut sums = [0.0; 3];
    for instance in &tier.instances {
        for (sum, kind) in sums.iter_mut().zip(["primary", "hedge", "retry"]) {
            let name = format!("camphorhold_calls_{kind}_total");
            *sum += instance.metric(&name).await?;
        }
    }
    Ok(sums)
}

fn table(points: &[Point]) -> Table {
    let mut columns = vec!["variant", "stragglers", "load"];
    columns.extend(SUMMARY_COLUMNS);
    columns.extend(["useful", "extra load", "hedges", "retries"]);
    let mut table = Table::new(
        "All measurements; load in multiples of the capacity",
        &columns,
    );
    for point in points {
        let stragglers = if point.stragglers { "1 in 100" } else { "none" };
        let mut row = vec![
            point.variant.to_owned(),
            stragglers.to_owned(),
            format!("{:.1}", point.load),
        ];
        row.extend(summary_cells(&point.summary));
        row.push(point.summary.useful.to_string());
        row.push(percent(point.extra));
        row.push(percent(point.hedges));
        row.push(percent(point.retries));
        table.row(row);
    }
    table
}

fn find<'a>(points: &'a [Point], variant: &str, stragglers: bool, load: f64) -> Option<&'a Point> {
    points.iter().find(|point| {
        point.variant == variant
            && point.stragglers == stragglers
            && (point.load - load).abs() < f64::EPSILON
    })
}

fn ratios(points: &[Point]) -> Table {
    let columns = [
        "baseline",
        "stragglers",
        "load",
        "p99 ÷ ours",
        "p99.9 ÷ ours",
        "useful ÷ ours",
        "worth ÷ ours",
    ];
    let mut table = Table::new("Baselines against camphorhold in the same run", &columns);
    for point in points.iter().filter(|point| point.variant != "camphorhold") {
        let Some(own) = find(points, "camphorhold", point.stragglers, point.load) else {
            continue;
        };
        let over = |quantile| {
            let own = own.summary.quantile_ms(quantile).max(0.001);
            format!("{:.2}", point.summary.quantile_ms(quantile) / own)
        };
        table.row(vec![
            point.variant.to_owned(),
            if point.stragglers { "1 in 100" } else { "none" }.to_owned(),
            format!("{:.1}", point.load),
            over(0.99),
            over(0.999),
            format!("{:.2}", share(point.summary.useful, own.summary.useful)),
            format!("{:.2}", point.summary.worth / own.summary.worth.max(0.001)),
        ]);
    }
    table
}

fn check(points: &[Point], capacity: f64, options: &Options, report: &mut Report) {
    for load in LOADS {
        let (Some(plain), Some(straggling)) = (
            find(points, "camphorhold", false, load),
            find(points, "camphorhold", true, load),
        ) else {
            continue;
        };
        let ratio = straggling.summary.quantile_ms(0.99) / plain.summary.quantile_ms(0.99);
        let target = format!("p99 with stragglers at {load}× at most {MAX_STRAGGLER_RATIO}×");
        report.target(target, format!("{ratio:.2}×"), ratio <= MAX_STRAGGLER_RATIO);
        let cases = [
            (plain, MAX_EXTRA_STEADY, "without"),
            (straggling, MAX_EXTRA_FAULT, "with"),
        ];
        for (point, bound, with) in cases {
            let target = format!(
                "extra load {with} stragglers at {load}× at most {}",
                percent(bound)
            );
            report.target(target, percent(point.extra), point.extra <= bound);
        }
    }
    if let (Some(full), Some(overload)) = (
        find(points, "camphorhold", false, 1.0),
        find(points, "camphorhold", false, 2.0),
    ) {
        let kept = share(overload.summary.useful, full.summary.useful);
        let target =
            format!("useful answers at 2× at least {MIN_USEFUL_AT_OVERLOAD} of those at 1×");
        report.target(target, format!("{kept:.2}"), kept >= MIN_USEFUL_AT_OVERLOAD);
    }
    let wrong: usize = points.iter().map(|point| point.summary.violations).sum();
    report.target("no wrong answer", wrong, wrong == 0);
    println!(
        "capacity {capacity:.1} of the slots, {} per measurement",
        options.seconds
    );
}

#[expect(clippy::cast_precision_loss, reason = "counts of a short run")]
fn share(part: usize, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64
}
