//! `camphorhold-soak`: runs seeds of the soak and prints what they find.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use camphorhold_soak::Options;
use clap::Parser;
use miette::IntoDiagnostic;

/// Runs instances as processes under randomized faults and checks the promises to callers and
/// leafs.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// The program of the instances.
    #[arg(long, default_value = "target/release/camphorhold-instance")]
    program: PathBuf,
    /// The first seed; drawn if left out.
    #[arg(long)]
    seed: Option<u64>,
    /// How many seeds to run, one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// How long faults come in each run, in seconds.
    #[arg(long, default_value_t = 12)]
    seconds: u64,
    /// The number of instances.
    #[arg(long, default_value_t = 3)]
    instances: usize,
    /// A folder for the log lines of the instances.
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Prints the faults of every run, not only of those with a finding.
    #[arg(long)]
    verbose: bool,
}

fn main() -> miette::Result<ExitCode> {
    let arguments = Arguments::parse();
    let first = arguments
        .seed
        .unwrap_or_else(|| rand::random::<u32>().into());
    let mut found = 0;
    for seed in first..first + arguments.seeds {
        let report = camphorhold_soak::run(&Options {
            program: arguments.program.clone(),
            seed,
            length: Duration::from_secs(arguments.seconds),
            instances: arguments.instances,
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
        found += report.violations.len();
    }
    Ok(if found == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
