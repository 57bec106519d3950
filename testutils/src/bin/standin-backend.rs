//! Runs the backend servers as a process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use camphorhold_testutils::backend;
use camphorhold_testutils::backend::Backend;
use camphorhold_testutils::backend::ColdStart;
use camphorhold_testutils::backend::Config;
use camphorhold_testutils::backend::LeafConfig;
use camphorhold_testutils::backend::Model;
use camphorhold_testutils::backend::ServiceTime;
use camphorhold_testutils::process;
use clap::Parser;
use serde_json::json;

/// Backend servers for any number of leafs, with an admin port for faults and counters.
///
/// For the leafs of a file, the sizes in the file take precedence over the options.
#[derive(Parser)]
struct Arguments {
    /// A leaf to serve, as `127.0.0.1:7001=service/version/shard`; may be repeated.
    #[arg(long = "leaf")]
    leafs: Vec<LeafConfig>,
    /// Serves every leaf of this operators' file.
    #[arg(long)]
    file: Option<PathBuf>,
    /// The address of the admin port.
    #[arg(long, default_value = "127.0.0.1:0")]
    admin: SocketAddr,
    /// The number of calls that a leaf runs at once.
    #[arg(long, default_value_t = Model::default().slots)]
    slots: u32,
    /// The largest number of calls that wait for a slot; further ones are shed.
    #[arg(long, default_value_t = Model::default().queue)]
    queue: u32,
    /// The longest wait of a call for a slot; then it is shed.
    #[arg(long, default_value = "20ms", value_parser = humantime::parse_duration)]
    queue_wait: Duration,
    /// The largest number of open connections of a leaf; further ones are reset.
    #[arg(long, default_value_t = Model::default().connections)]
    connections: u32,
    /// The time that a leaf takes to accept a connection; it accepts one after the other.
    #[arg(long, default_value = "0ms", value_parser = humantime::parse_duration)]
    connect_cost: Duration,
    /// The shortest time to run a call.
    #[arg(long, default_value = "2ms", value_parser = humantime::parse_duration)]
    service_time: Duration,
    /// The upper bound of the random addition to the service time.
    #[arg(long, default_value = "1ms", value_parser = humantime::parse_duration)]
    jitter: Duration,
    /// The share of stragglers, from 0 to 1.
    #[arg(long, default_value_t = 0.0)]
    straggler_probability: f64,
    /// How many times longer a straggler takes.
    #[arg(long, default_value_t = 20.0)]
    straggler_factor: f64,
    /// The largest number of calls in flight that a cold leaf can handle.
    #[arg(long, default_value_t = ColdStart::default().concurrency)]
    cold_concurrency: u32,
    /// The shortest time that a leaf stays cold.
    #[arg(long, default_value = "1s", value_parser = humantime::parse_duration)]
    cold_duration: Duration,
    /// The number of calls that a leaf must complete before it is warm.
    #[arg(long, default_value_t = ColdStart::default().answers)]
    cold_answers: u32,
    /// The probability that a call beyond the cold concurrency crashes the leaf.
    #[arg(long, default_value_t = 0.0)]
    cold_crash_probability: f64,
    /// Starts the leafs warm.
    #[arg(long)]
    warm: bool,
    /// A snapshot held at the start; may be repeated.
    #[arg(long = "snapshot", default_values_t = [1])]
    snapshots: Vec<u64>,
    /// The partition map of leafs given by `--leaf`.
    #[arg(long, default_value_t = 0)]
    partition: u64,
    /// A query that contains this text crashes the leaf; with an empty text, no query does.
    #[arg(long, default_value = "poison")]
    crash_marker: String,
    /// How long a leaf refuses connections after a crash.
    #[arg(long, default_value = "0ms", value_parser = humantime::parse_duration)]
    crash_downtime: Duration,
    /// The seed from which each leaf derives its random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl Arguments {
    fn model(&self) -> Model {
        Model {
            slots: self.slots,
            queue: self.queue,
            queue_wait: self.queue_wait,
            connections: self.connections,
            connect_cost: self.connect_cost,
            service_time: ServiceTime {
                base: self.service_time,
                jitter: self.jitter,
                straggler_probability: self.straggler_probability,
                straggler_factor: self.straggler_factor,
            },
            cold_start: ColdStart {
                concurrency: self.cold_concurrency,
                duration: self.cold_duration,
                answers: self.cold_answers,
                crash_probability: self.cold_crash_probability,
                at_start: !self.warm,
                ..ColdStart::default()
            },
            snapshots: self.snapshots.clone(),
            partition: self.partition,
            crash_marker: Some(self.crash_marker.clone()).filter(|marker| !marker.is_empty()),
            crash_downtime: self.crash_downtime,
            seed: self.seed,
        }
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    process::run(async || {
        let model = arguments.model();
        let mut leafs = match &arguments.file {
            Some(path) => backend::read_file(path, &model)?,
            None => Vec::new(),
        };
        leafs.extend(
            arguments
                .leafs
                .into_iter()
                .map(|leaf| (leaf, model.clone())),
        );
        let admin = arguments.admin;
        let servers = Backend::start(Config { leafs, admin }).await?;
        let ready = json!({
            "address": servers.admin_address(),
            "leafs": servers.addresses(),
        });
        Ok((servers, ready))
    })
}
