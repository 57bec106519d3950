//! Measures the cost of file changes and of an idle fleet, for several fleet sizes.

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

/// Target: the longest time from the acceptance of a change until all instances have it in force.
const MAX_IN_FORCE: Duration = Duration::from_secs(5);

/// Target: the most control bytes per second that an idle instance sends and receives in total.
const MAX_BYTES_PER_SECOND: f64 = 20_000.0;

/// Target: the largest share of a core that an idle instance uses.
const MAX_CPU_SHARE: f64 = 0.01;

/// Target: the largest resident memory of an idle instance, in MiB.
const MAX_MEMORY_MIB: f64 = 128.0;

/// Target: the store calls per second of an idle fleet stay below this.
const MAX_STORE_CALLS_PER_SECOND: f64 = 20.0;

/// Numbers of instances measured.
const FLEET_SIZES: [u16; 4] = [3, 7, 14, 28];

/// File changes applied at each fleet size.
const CHANGES_PER_SIZE: u32 = 5;

/// The pause after a change, in which its control messages are still counted.
const PAUSE_AFTER_CHANGE: Duration = Duration::from_secs(1);

/// Control messages and bytes, sent and received, of all instances.
#[derive(Clone, Copy, Default)]
struct Traffic {
    messages: f64,
    bytes: f64,
}

/// The cost of an idle fleet. Rates are per second; all but `store_calls` are per instance.
struct IdleCost {
    messages: f64,
    bytes: f64,
    store_calls: f64,
    /// The mean share of a core.
    cpu: f64,
    /// The resident memory of the largest instance.
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
    for instances in FLEET_SIZES {
        let config = Config {
            instances,
            ..options.config()
        };
        let row = measure_size(options, &config, &mut report).await?;
        table.row(row);
    }
    report.table(table);
    report.finish(options.json.as_deref())
}

async fn measure_size(
    options: &Options,
    config: &Config,
    report: &mut Report,
) -> Result<Vec<String>, Error> {
    let mut tier = Tier::start(config).await?;
    // The roster still grows after the instances are ready; wait until they have all joined.
    tokio::time::sleep(PAUSE_AFTER_CHANGE * 3).await;
    let idle = measure_idle(&tier, options.duration()).await?;
    let (times, change) = apply_changes(&mut tier, &idle).await?;
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
        format!("{:.0} B/s", idle.bytes),
        idle.bytes <= MAX_BYTES_PER_SECOND,
    );
    check(
        "at most 1 % of a core",
        format!("{:.2} %", idle.cpu * 100.0),
        idle.cpu <= MAX_CPU_SHARE,
    );
    check(
        "at most 128 MiB",
        format!("{:.1} MiB", idle.memory_mib),
        idle.memory_mib <= MAX_MEMORY_MIB,
    );
    check(
        "fewer than 20 store calls/s at rest",
        format!("{:.1}", idle.store_calls),
        idle.store_calls < MAX_STORE_CALLS_PER_SECOND,
    );
    let times: Vec<String> = times.into_iter().map(milliseconds).collect();
    Ok(vec![
        size.to_string(),
        times.join(", "),
        format!("{:.0}", change.messages),
        format!("{:.0}", change.bytes),
        format!("{:.1}", idle.messages),
        format!("{:.0}", idle.bytes),
        format!("{:.1}", idle.store_calls),
        format!("{restart:.1}"),
        format!("{:.2}", idle.cpu * 100.0),
        format!("{:.1}", idle.memory_mib),
    ])
}

/// Applies changes; returns the time from acceptance to in force for each, and the mean control
/// traffic per change beyond that of an idle fleet.
async fn apply_changes(
    tier: &mut Tier,
    idle: &IdleCost,
) -> Result<(Vec<Duration>, Traffic), Error> {
    let before = traffic(tier).await?;
    let started = SystemClock.now();
    let mut times = Vec::new();
    for change in 0..CHANGES_PER_SIZE {
        let mut file = tier.file.clone();
        file.set_weight(f64::from(change) + 5.0);
        let (generation, accepted) = tier.apply(file).await?;
        let in_force = tier.wait_until_in_force(generation).await?;
        times.push(in_force.saturating_duration_since(accepted));
        tokio::time::sleep(PAUSE_AFTER_CHANGE).await;
    }
    let elapsed = started.elapsed().as_secs_f64();
    let after = traffic(tier).await?;
    let instances = f64::from(u32::try_from(tier.instances.len()).unwrap_or(u32::MAX));
    let above = |after: f64, before: f64, idle: f64| {
        (after - before - idle * instances * elapsed) / f64::from(CHANGES_PER_SIZE)
    };
    let per_change = Traffic {
        // The idle rates are per instance. Each message is counted at its sender and its receiver.
        messages: above(after.messages, before.messages, idle.messages) / 2.0,
        bytes: above(after.bytes, before.bytes, idle.bytes) / 2.0,
    };
    Ok((times, per_change))
}

async fn measure_idle(tier: &Tier, duration: Duration) -> Result<IdleCost, Error> {
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
    Ok(IdleCost {
        messages: (after.messages - before.messages) / elapsed / instances,
        bytes: (after.bytes - before.bytes) / elapsed / instances,
        store_calls: to_f64(calls) / elapsed,
        cpu: cpu / elapsed / instances,
        memory_mib: to_f64(resident) / 1024.0,
    })
}

/// Restarts all instances at once; returns the store calls per second from the first SIGTERM until
/// all instances are ready.
async fn restart(tier: &mut Tier) -> Result<f64, Error> {
    let before = tier.store_counters().await?;
    let started = SystemClock.now();
    tier.terminate_instances().await?;
    for instance in &mut tier.instances {
        instance.restart()?;
    }
    for instance in &tier.instances {
        instance.wait_until_ready().await?;
    }
    let elapsed = started.elapsed().as_secs_f64();
    let after = tier.store_counters().await?;
    let calls = after.reads + after.writes - before.reads - before.writes;
    Ok(to_f64(calls) / elapsed)
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
fn to_f64(count: u64) -> f64 {
    count as f64
}
