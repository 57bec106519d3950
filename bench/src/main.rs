//! `camphorhold-bench`: experiments with real instances and stand-ins on loopback.
//!
//! The instances and stand-ins are child processes, started from the directory of this program and
//! ended by their ids.

mod caller;
mod deployment;
mod error;
mod experiment;
mod instance;
mod load;
mod process;
mod report;
mod sample;
mod tier;

use std::process::ExitCode;

use clap::Parser;
use clap::Subcommand;

use crate::error::Error;
use crate::experiment::Options;

/// Measures the query tier on loopback.
#[derive(Parser)]
#[command(name = "camphorhold-bench", version, max_term_width = 100)]
struct Arguments {
    #[command(subcommand)]
    experiment: Experiment,
}

#[derive(Subcommand)]
enum Experiment {
    /// Latency, coverage, worth and extra load at 0.5, 1 and 2 times the capacity, with and
    /// without stragglers, against baselines.
    Serve(Options),
    /// One backend server of each shard in ten stops answering, then returns.
    ReplicaLost(Options),
    /// A failure domain is taken out by a file change and brought back.
    Domain(Options),
    /// One backend server begins to leave, known by one signal at a time.
    Drain(Options),
    /// Backend servers turn cold under load.
    Cold(Options),
    /// The cost of changes and of rest for several numbers of instances.
    Apply(Options),
    /// Rolling restart of all instances behind the balancer.
    Restart(Options),
    /// Non-idempotent requests while instances are killed.
    Once(Options),
    /// JSON-RPC against postcard between instances.
    PeerPath(Options),
    /// Rollouts of good and bad versions, each on a service of its own, and a move without a gate.
    Rollout(experiment::rollout::Options),
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    // Dropping the experiment ends its processes.
    let result = tokio::select! {
        result = run(arguments.experiment) => result,
        _ = tokio::signal::ctrl_c() => Err(Error::Interrupted),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(experiment: Experiment) -> Result<(), Error> {
    match experiment {
        Experiment::Serve(options) => experiment::serve::run(&options).await,
        Experiment::ReplicaLost(options) => experiment::replica_lost::run(&options).await,
        Experiment::Domain(options) => experiment::domain::run(&options).await,
        Experiment::Drain(options) => experiment::drain::run(&options).await,
        Experiment::Cold(options) => experiment::cold::run(&options).await,
        Experiment::Apply(options) => experiment::apply::run(&options).await,
        Experiment::Restart(options) => experiment::restart::run(&options).await,
        Experiment::Once(options) => experiment::once::run(&options).await,
        Experiment::PeerPath(options) => experiment::peer_path::run(&options).await,
        Experiment::Rollout(options) => experiment::rollout::run(&options).await,
    }
}
