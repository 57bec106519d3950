//! `camphorhold-bench`: experiments with real instances and stand-ins on loopback.
//!
//! The instances and stand-ins are child processes, started from the directory of this program.
//! They are killed when the experiment ends or is interrupted.

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

/// Runs one experiment on the query tier, with all processes on loopback.
#[derive(Parser)]
#[command(name = "camphorhold-bench", version, max_term_width = 100)]
struct Arguments {
    #[command(subcommand)]
    experiment: Experiment,
}

#[derive(Subcommand)]
enum Experiment {
    /// Compares latency, coverage, worth and extra load with baselines at 0.5, 1 and 2 times the
    /// capacity, with and without stragglers.
    Serve(Options),
    /// One backend server of every tenth shard stops answering, then returns.
    ReplicaLost(Options),
    /// A file change takes a failure domain out of service and another one brings it back.
    Domain(Options),
    /// Backend servers begin to leave, each announced by one signal only.
    Drain(Options),
    /// Backend servers turn cold under load.
    Cold(Options),
    /// The cost of file changes and of idle instances for several fleet sizes.
    Apply(Options),
    /// Rolling restart of all instances behind the balancer.
    Restart(Options),
    /// Non-idempotent requests while instances are killed.
    Once(Options),
    /// Compares JSON-RPC and postcard for leaf calls between instances.
    PeerPath(Options),
    /// How many leafs a query ends that ends each leaf which begins to run it.
    BlastRadius(experiment::blast_radius::Options),
    /// Rollouts of good and bad versions, each on its own service, and a move without a rollout.
    Rollout(experiment::rollout::Options),
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    // Dropping the future of the experiment kills its processes.
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
        Experiment::BlastRadius(options) => experiment::blast_radius::run(&options).await,
        Experiment::Rollout(options) => experiment::rollout::run(&options).await,
    }
}
