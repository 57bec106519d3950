//! The cost of changes and of rest, for several numbers of instances.

use std::time::Duration;

use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;

use super::Options;
use super::milliseconds;
use crate::error::Error;
use crate::report::Report;
use crate::report::Table;
use crate::tier::Config;
use crate::tier::Tier;

/// Stated before the run: the time from acceptance to in force everywhere today.
const MAX_IN_FORCE: Duration = Duration::from_secs(5);

/// Stated before the run: control bytes per second and instance, sent and received.
const MAX_BYTES_PER_SECOND: f64 = 20_000.0;

/// Stated before the run: the share of a core that control takes at rest.
const MAX_CPU: f64 = 0.01;

/// Stated before the run: memory of control, in MiB.
const MAX_MEMORY_MIB: f64 = 128.0;

/// Calls that the store takes at most in a second from a whole fleet at rest.
const MAX_STORE_CALLS: f64 = 20.0;

const SIZES: [u16; 4] = [3, 7, 14, 28];

/// Changes per size.
const CHANGES: u32 = 5;

/// The pause after a change.
const PAUSE: Duration = Duration::from_secs(1);

/// What control has sent and received, over all instances.
#[derive(Clone, Copy, Default)]
struct Traffic {
    messages: f64,
    bytes: f64,
}

/// What rest costs, per second.
struct Rest {
    messages: f64,
    bytes: f64,
    store_calls: f64,
    cpu: f64,
    memory_mib: f64,
}

/// Runs the experiment.
pub async fn run(options: &Options) -> Result<(), Error> {
    let mut report = options.report("apply");
    let columns = [
        "instances",
        "in force ms (each change)",
        "messages per change",
        "bytes per change",
        "messages/s per instance",
        "bytes/s per instance",
        "store calls/s at rest",
        "store calls/s in restart",
        "CPU % of a core",
        "resident MiB",
    ];
    let mut table = Table::new("Changes and rest, no load", &columns);
    for instances in SIZES {
        let config = Config {
            instances,
            ..options.config()
        };
        let row = one_size(options, &config, &mut report).await?;
        table.row(row);
    }
    report.table(table);
    report.finish(options.json.as_deref())
}

async fn one_size(
    options: &Options,
    config: &Config,
    report: &mut Report,
) -> Result<Vec<String>, Error> {
    let mut tier = Tier::start(config).await?;
    // The roster grows with each instance that joins; rest begins when no more join.
    tokio::time::sleep(PAUSE * 3).await;
    let rest = rest(&tier, options.duration()).await?;
    let (times, change) = changes(&mut tier, &rest).await?;
    let restart = restart(&mut tier).await?;
    let slowest = times.iter().max().copied().unwrap_or_default();
    let size = config.instances;
    let mut check = |target: &str, measured: String, met: bool| {
        report.target(format!("{size} instances: {target}"), measured, met);
    };
    check(
        "in force within 5 s",
        format!("{} ms", milliseconds(slowest)),
        slowest <= MAX_IN_FORCE,
    );
    check(
        "control at most 20 KB/s per instance",
        format!("{:.0} B/s", rest.bytes),
        rest.bytes <= MAX_BYTES_PER_SECOND,
    );
    check(
        "at most 1 % of a core",
        format!("{:.2} %", rest.cpu * 100.0),
        rest.cpu <= MAX_CPU,
    );
    check(
        "at most 128 MiB",
        format!("{:.1} MiB", rest.memory_mib),
        rest.memory_mib <= MAX_MEMORY_MIB,
    );
    check(
        "fewer than 20 store calls/s at rest",
        format!("{:.1}", rest.store_calls),
        rest.store_calls < MAX_STORE_CALLS,
    );
    let times: Vec<String> = times.into_iter().map(milliseconds).collect();
    Ok(vec![
        size.to_string(),
        times.join(", "),
        format!("{:.0}", change.messages),
        format!("{:.0}", change.bytes),
        format!("{:.1}", rest.messages),
        format!("{:.0}", rest.bytes),
        format!("{:.1}", rest.store_calls),
        format!("{restart:.1}"),
        format!("{:.2}", rest.cpu * 100.0),
        format!("{:.1}", rest.memory_mib),
    ])
}

/// Applies changes; returns the time of each and the mean traffic above that of rest.
async fn changes(tier: &mut Tier, rest: &Rest) -> Result<(Vec<Duration>, Traffic), Error> {
    let before = traffic(tier).await?;
    let started = SystemClock.now();
    let mut times = Vec::new();
    for change in 0..CHANGES {
        let mut file = tier.file.clone();
        file.set_weight(f64::from(change) + 5.0);
        let (generation, accepted) = tier.apply(file).await?;
        let in_force = tier.in_force(generation).await?;
        times.push(in_force.saturating_duration_since(accepted));
        tokio::time::sleep(PAUSE).await;
    }
    let elapsed = started.elapsed().as_secs_f64();
    let after = traffic(tier).await?;
    let instances = f64::from(u32::try_from(tier.instances.len()).unwrap_or(u32::MAX));
    let above = |after: f64, before: f64, rest: f64| {
        (after - before - rest * instances * elapsed) / f64::from(CHANGES)
    };
    let per_change = Traffic {
        // Rest counts what one instance sends and receives; messages are counted at both ends.
        messages: above(after.messages, before.messages, rest.messages) / 2.0,
        bytes: above(after.bytes, before.bytes, rest.bytes) / 2.0,
    };
    Ok((times, per_change))
}

async fn rest(tier: &Tier, duration: Duration) -> Result<Rest, Error> {
    let store = tier.store_counters().await?;
    let before = traffic(tier).await?;
    let cpu = cpu_seconds(tier)?;
    let started = SystemClock.now();
    tokio::time::sleep(duration).await;
    let elapsed = started.elapsed().as_secs_f64();
    let cpu = cpu_seconds(tier)? - cpu;
    let after = traffic(tier).await?;
    let store_after = tier.store_counters().await?;
    let instances = f64::from(u32::try_from(tier.instances.len()).unwrap_or(u32::MAX));
    let usages = tier.instances.iter();
    let usages = usages.map(|instance| instance.process.usage());
    let mut resident: u64 = 0;
    for usage in usages {
        resident = resident.max(usage?.resident_kib);
    }
    let calls = store_after.reads + store_after.writes - store.reads - store.writes;
    Ok(Rest {
        messages: (after.messages - before.messages) / elapsed / instances,
        bytes: (after.bytes - before.bytes) / elapsed / instances,
        store_calls: number(calls) / elapsed,
        cpu: cpu / elapsed / instances,
        memory_mib: number(resident) / 1024.0,
    })
}

/// Restarts all instances at once; returns the calls per second on the store until all are ready.
async fn restart(tier: &mut Tier) -> Result<f64, Error> {
    let before = tier.store_counters().await?;
    let started = SystemClock.now();
    tier.terminate_instances().await?;
    for instance in &mut tier.instances {
        instance.restart()?;
    }
    for instance in &tier.instances {
        instance.ready().await?;
    }
    let elapsed = started.elapsed().as_secs_f64();
    let after = tier.store_counters().await?;
    let calls = after.reads + after.writes - before.reads - before.writes;
    Ok(number(calls) / elapsed)
}

async fn traffic(tier: &Tier) -> Result<Traffic, Error> {
    let mut sum = Traffic::default();
    for instance in &tier.instances {
        for direction in ["sent", "received"] {
            let messages = format!("camphorhold_control_messages_{direction}_total");
            sum.messages += instance.metric(&messages).await?;
            let bytes = format!("camphorhold_control_bytes_{direction}_total");
            sum.bytes += instance.metric(&bytes).await?;
        }
    }
    Ok(sum)
}

fn cpu_seconds(tier: &Tier) -> Result<f64, Error> {
    let mut sum = 0.0;
    for instance in &tier.instances {
        sum += instance.process.usage()?.cpu_seconds;
    }
    Ok(sum)
}

#[expect(clippy::cast_precision_loss, reason = "counts of a short run")]
fn number(count: u64) -> f64 {
    count as f64
}
