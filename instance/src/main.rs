//! `camphorhold-instance` runs one instance of the query tier on the users' platform.

mod activity;
mod alarm;
mod answer;
mod call;
mod client_report;
mod crash_records;
mod crashes;
mod customer;
mod datagram;
mod delivery;
mod duty;
mod exposition;
mod feed;
mod follower;
mod freshness;
mod gather;
mod group;
mod handover;
mod listener;
mod logging;
mod merge;
mod mirror;
mod own_port;
mod peer;
mod pool;
mod probe;
mod process;
mod refusal;
mod registration;
mod relay;
mod release;
mod reload;
mod report;
mod request;
mod server;
mod shard_queue;
mod shared;
mod tokens;
mod usage;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use camphorhold_platform::settings::PATH_VARIABLE;
use camphorhold_platform::settings::Settings;
use clap::Parser;
use miette::IntoDiagnostic;

/// The exit code when the settings are invalid or the instance cannot start, for instance because
/// an address is already in use.
const EXIT_START_FAILED: u8 = 2;

/// One instance of the camphorhold query tier.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// The path of the settings file that the platform provides.
    #[arg(long, env = PATH_VARIABLE)]
    settings: PathBuf,
    /// The port on which metrics are served, at the IP address for callers.
    #[arg(long, default_value_t = 7390)]
    metrics_port: u16,
    /// Checks the settings file, prints the settings in use and exits.
    #[arg(long)]
    check: bool,
    /// The log levels, as a `flexi_logger` specification.
    #[arg(long, default_value = "info")]
    log: String,
}

fn main() -> ExitCode {
    // Before anything else, since a signal that has no handler ends the process.
    let process = match process::Process::new() {
        Ok(process) => process,
        Err(error) => {
            eprintln!("cannot create the runtime or a signal handler: {error}");
            return ExitCode::from(EXIT_START_FAILED);
        }
    };
    match run(&Arguments::parse(), process) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

fn run(arguments: &Arguments, process: process::Process) -> miette::Result<()> {
    let settings = Settings::read(&arguments.settings).into_diagnostic()?;
    if arguments.check {
        println!("{settings:#?}");
        return Ok(());
    }
    let (_logger, flush) = logging::start(&arguments.log).into_diagnostic()?;
    let metrics_address = SocketAddr::new(settings.caller_address.ip(), arguments.metrics_port);
    let handle = exposition::install().into_diagnostic()?;
    release::describe();
    let result = process.run(settings, &arguments.settings, (metrics_address, handle));
    flush.flush();
    Ok(result?)
}
