//! Compares latency, coverage, worth and extra load with baselines at several loads, with and
//! without stragglers.

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

/// Target: the largest ratio of the p99 with stragglers to the p99 without.
const MAX_STRAGGLER_RATIO: f64 = 1.5;

/// Target: the largest extra load in steady state, as a share of the leaf calls needed.
const MAX_EXTRA_STEADY: f64 = 0.05;

/// Target: the largest extra load during a fault, as a share of the leaf calls needed.
const MAX_EXTRA_FAULT: f64 = 0.10;

/// Target: the smallest number of useful answers at twice the capacity, as a share of the number at
/// the capacity.
const MIN_USEFUL_AT_OVERLOAD: f64 = 0.8;

/// The probability that a leaf call is a straggler, which takes 20 times as long.
const STRAGGLER_PROBABILITY: f64 = 0.01;

/// A load exceeds the capacity if useful answers are below this share of the requests offered.
const MIN_SERVED_SHARE: f64 = 0.98;

/// The loads tried in the search for the capacity, as shares of the nominal rate.
const CAPACITY_SHARES: [f64; 9] = [0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0];

/// The time for which each load is tried.
const CAPACITY_STEP_DURATION: Duration = Duration::from_secs(2);

/// Loads as multiples of the measured capacity.
const LOADS: [f64; 3] = [0.5, 1.0, 2.0];

const BASELINES: [&str; 4] = [
    "random-replica",
    "no-hedging",
    "no-limits",
    "every-instance-connects",
];

/// The result of one variant at one load.
struct Measurement {
    variant: &'static str,
    stragglers: bool,
    /// A multiple of the capacity.
    load: f64,
    summary: Summary,
    /// Leaf calls beyond those needed, as a share of those needed.
    extra: f64,
    /// Hedges sent by entry instances, per primary call.
    hedges: f64,
    /// Retries sent by entry instances, per primary call.
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
    let mut measurements = Vec::new();
    measure(
        options,
        &tier,
        ("camphorhold", false),
        capacity,
        &mut measurements,
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
        config.straggler_probability = if variant.1 {
            STRAGGLER_PROBABILITY
        } else {
            0.0
        };
        config.baseline = BASELINES.contains(&variant.0).then_some(variant.0);
        let tier = options.warm_tier(&config).await?;
        measure(options, &tier, variant, capacity, &mut measurements).await?;
    }
    report.table(table(&measurements));
    report.table(ratios(&measurements));
    check(&measurements, capacity, options, &mut report);
    report.finish(options.json.as_deref())
}

/// Raises the load step by step until the tier no longer serves it; returns the last load that it
/// served, as a share of the nominal rate.
async fn search_capacity(
    options: &Options,
    tier: &Tier,
    report: &mut Report,
) -> Result<f64, Error> {
    let mut columns = vec!["share of slots", "requests/s"];
    columns.extend(SUMMARY_COLUMNS);
    let mut table = Table::new("Search for the capacity, without stragglers", &columns);
    let mut capacity = CAPACITY_SHARES[0];
    for step in CAPACITY_SHARES {
        let load = options.search_load(tier, step)?;
        let rate = load.rate;
        let summary = Summary::all(&load.run(CAPACITY_STEP_DURATION).await);
        let mut row = vec![format!("{step:.1}"), format!("{rate:.0}")];
        row.extend(summary_cells(&summary));
        table.row(row);
        let useful = share(summary.useful, summary.offered);
        if useful < MIN_SERVED_SHARE {
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
    measurements: &mut Vec<Measurement>,
) -> Result<(), Error> {
    for load in LOADS {
        let service = options.deployment.search_service();
        let before = search_calls(tier, service).await?;
        let offered = options.search_load(tier, capacity * load)?;
        let sent_before = sent_calls(tier).await?;
        let summary = Summary::all(&offered.run(options.duration()).await);
        let calls = search_calls(tier, service).await? - before;
        let extra = extra_load(calls, summary.calls_needed);
        let sent_after = sent_calls(tier).await?;
        let primary = (sent_after[0] - sent_before[0]).max(1.0);
        measurements.push(Measurement {
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

/// Reads how many primary calls, hedges and retries all instances have sent, in this order.
async fn sent_calls(tier: &Tier) -> Result<[f64; 3], Error> {
    let mut sums = [0.0; 3];
    for instance in &tier.instances {
        for (sum, kind) in sums.iter_mut().zip(["primary", "hedge", "retry"]) {
            let name = format!("camphorhold_calls_{kind}_total");
            *sum += instance.metric(&name).await?;
        }
    }
    Ok(sums)
}

fn table(measurements: &[Measurement]) -> Table {
    let mut columns = vec!["variant", "stragglers", "load"];
    columns.extend(SUMMARY_COLUMNS);
    columns.extend(["useful", "extra load", "hedges", "retries"]);
    let mut table = Table::new(
        "All measurements; load in multiples of the capacity",
        &columns,
    );
    for measurement in measurements {
        let stragglers = if measurement.stragglers {
            "1 in 100"
        } else {
            "none"
        };
        let mut row = vec![
            measurement.variant.to_owned(),
            stragglers.to_owned(),
            format!("{:.1}", measurement.load),
        ];
        row.extend(summary_cells(&measurement.summary));
        row.push(measurement.summary.useful.to_string());
        row.push(percent(measurement.extra));
        row.push(percent(measurement.hedges));
        row.push(percent(measurement.retries));
        table.row(row);
    }
    table
}

fn find_measurement<'a>(
    measurements: &'a [Measurement],
    variant: &str,
    stragglers: bool,
    load: f64,
) -> Option<&'a Measurement> {
    measurements.iter().find(|measurement| {
        measurement.variant == variant
            && measurement.stragglers == stragglers
            && (measurement.load - load).abs() < f64::EPSILON
    })
}

fn ratios(measurements: &[Measurement]) -> Table {
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
    for measurement in measurements
        .iter()
        .filter(|measurement| measurement.variant != "camphorhold")
    {
        let Some(own) = find_measurement(
            measurements,
            "camphorhold",
            measurement.stragglers,
            measurement.load,
        ) else {
            continue;
        };
        let over = |quantile| {
            let own = own.summary.quantile_ms(quantile).max(0.001);
            format!("{:.2}", measurement.summary.quantile_ms(quantile) / own)
        };
        table.row(vec![
            measurement.variant.to_owned(),
            if measurement.stragglers {
                "1 in 100"
            } else {
                "none"
            }
            .to_owned(),
            format!("{:.1}", measurement.load),
            over(0.99),
            over(0.999),
            format!(
                "{:.2}",
                share(measurement.summary.useful, own.summary.useful)
            ),
            format!(
                "{:.2}",
                measurement.summary.worth / own.summary.worth.max(0.001)
            ),
        ]);
    }
    table
}

fn check(measurements: &[Measurement], capacity: f64, options: &Options, report: &mut Report) {
    for load in LOADS {
        let (Some(plain), Some(straggling)) = (
            find_measurement(measurements, "camphorhold", false, load),
            find_measurement(measurements, "camphorhold", true, load),
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
        for (measurement, bound, with) in cases {
            let target = format!(
                "extra load {with} stragglers at {load}× at most {}",
                percent(bound)
            );
            report.target(
                target,
                percent(measurement.extra),
                measurement.extra <= bound,
            );
        }
    }
    if let (Some(full), Some(overload)) = (
        find_measurement(measurements, "camphorhold", false, 1.0),
        find_measurement(measurements, "camphorhold", false, 2.0),
    ) {
        let kept = share(overload.summary.useful, full.summary.useful);
        let target =
            format!("useful answers at 2× at least {MIN_USEFUL_AT_OVERLOAD} of those at 1×");
        report.target(target, format!("{kept:.2}"), kept >= MIN_USEFUL_AT_OVERLOAD);
    }
    let wrong: usize = measurements
        .iter()
        .map(|measurement| measurement.summary.violations)
        .sum();
    report.target("no wrong answer", wrong, wrong == 0);
    println!(
        "capacity {capacity:.1} of the slots, {} s per measurement",
        options.seconds
    );
}

#[expect(clippy::cast_precision_loss, reason = "counts of a short run")]
fn share(part: usize, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64
}
