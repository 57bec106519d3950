//! `camphorhold-soak`: runs the soak test for a range of seeds and prints the broken promises.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use camphorhold_soak::Options;
use clap::Parser;
use miette::IntoDiagnostic;

/// Runs instances as processes under randomized faults and checks the promises to callers and
/// leafs. Exits with 1 if a promise was broken.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// The path of the instance binary.
    #[arg(long, default_value = "target/release/camphorhold-instance")]
    program: PathBuf,
    /// The path of another release of the instance. The run begins with it, and each restart of an
    /// instance changes between the two.
    #[arg(long)]
    previous: Option<PathBuf>,
    /// The first seed. A random one by default.
    #[arg(long)]
    seed: Option<u64>,
    /// How many seeds to run, one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// For how many seconds of each run new faults begin.
    #[arg(long, default_value_t = 12)]
    seconds: u64,
    /// How many instances run side by side.
    #[arg(long, default_value_t = 3)]
    instances: usize,
    /// The folder for the logs of the instances. They are discarded by default.
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Prints the faults of every run, not only of runs with a violation.
    #[arg(long)]
    verbose: bool,
}

fn main() -> miette::Result<ExitCode> {
    let arguments = Arguments::parse();
    let first = arguments
        .seed
        .unwrap_or_else(|| rand::random::<u32>().into());
    if let Some(logs) = &arguments.logs {
        std::fs::create_dir_all(logs).into_diagnostic()?;
    }
    let mut violations = 0;
    for seed in first..first + arguments.seeds {
        let report = camphorhold_soak::run(&Options {
            program: arguments.program.clone(),
            previous: arguments.previous.clone(),
            seed,
            length: Duration::from_secs(arguments.seconds),
            instances: arguments.instances,
            additional: true,
            logs: arguments.logs.clone(),
        })
        .into_diagnostic()?;
        println!(
            "seed {seed}: {} requests, {} served, {} faults, {} violations",
            report.requests,
            report.served,
            report.events.len(),
            report.violations.len()
        );
        if arguments.verbose || !report.violations.is_empty() {
            for event in &report.events {
                println!("  {event}");
            }
        }
        for violation in &report.violations {
            println!("  VIOLATION {violation}");
        }
        violations += report.violations.len();
    }
    Ok(if violations == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
