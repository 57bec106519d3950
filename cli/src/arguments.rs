//! The command-line arguments. Doc comments of commands and options are the help that users read.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use camphorhold::state::id::FailureDomain;
use camphorhold::state::id::IdempotencyKey;
use camphorhold::state::id::LeafId;
use camphorhold::state::id::OperationId;
use camphorhold::state::id::RequestId;
use camphorhold::state::id::Revision;
use camphorhold::state::id::RolloutId;
use camphorhold::state::id::Route;
use camphorhold::state::id::ServiceName;
use camphorhold::state::id::ShardId;
use camphorhold::state::id::Tenant;
use clap::Args;
use clap::Parser;
use clap::Subcommand;
use clap_complete::Shell;

const FOOTER: &str = "\
Exit codes:
  0  done
  1  refused or rejected
  2  wrong usage or a bad file
  3  no instance answered
  4  the outcome is unknown

Examples:
  camphorhold check examples/almisse.toml
  camphorhold --instance 10.0.0.1:7100 apply examples/almisse.toml --dry-run
  camphorhold --instance 10.0.0.1:7100,10.0.1.1:7100 apply examples/almisse.toml
  camphorhold --instance 10.0.0.1:7100 moves
  camphorhold --instance 10.0.0.1:7100 timeline --move round-app-v2
  camphorhold query --entry 10.0.0.1:7000 --tenant almisse --service roster \\
      --route search '{\"name\":\"kim\"}'";

/// Operates a camphorhold query tier.
#[derive(Debug, Parser)]
#[command(name = "camphorhold", version, after_help = FOOTER, max_term_width = 100)]
pub struct Arguments {
    #[command(flatten)]
    pub global: Global,
    #[command(subcommand)]
    pub command: Command,
}

/// Options that all commands accept.
#[derive(Args, Debug)]
pub struct Global {
    /// The control address of an instance; repeat it or separate several by commas
    #[arg(
        long = "instance",
        global = true,
        value_name = "ADDR",
        env = "CAMPHORHOLD_INSTANCES",
        value_delimiter = ','
    )]
    pub instances: Vec<SocketAddr>,
    /// Print JSON instead of text
    #[arg(long, global = true)]
    pub json: bool,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Put a configuration file in force
    Apply(Apply),
    /// Show instances, services and leafs
    Status(Reach),
    /// Show rollouts: done, running, taken back, and why
    Moves,
    /// Send a query to an entry instance
    Query(Query),
    /// Show events of all instances, sorted by time
    Timeline(Timeline),
    /// Check a file without sending it
    Check {
        /// The configuration file
        file: PathBuf,
    },
    /// Print a completion script
    Completions {
        /// The shell to print the script for
        shell: Shell,
    },
}

#[derive(Args, Debug)]
pub struct Apply {
    /// The configuration file
    pub file: PathBuf,
    /// Show what would change, without changing anything
    #[arg(long)]
    pub dry_run: bool,
    /// Refuse unless this revision is in force; defaults to the one in force at the start
    #[arg(long, value_name = "N")]
    pub expect_revision: Option<Revision>,
    /// Resume an earlier operation whose outcome is unknown; it is never applied twice
    #[arg(long, value_name = "ID")]
    pub operation: Option<OperationId>,
    /// How long to keep looking up an unknown outcome
    #[arg(long, value_name = "DURATION", default_value = "30s", value_parser = humantime::parse_duration)]
    pub resolve_for: Duration,
}

#[derive(Args, Debug)]
pub struct Reach {
    /// Ask only the given instances, not all members of the roster
    #[arg(long)]
    pub given_only: bool,
}

#[derive(Args, Debug)]
pub struct Query {
    /// The caller address of an entry instance; several are tried in order
    #[arg(
        long = "entry",
        value_name = "ADDR",
        env = "CAMPHORHOLD_ENTRIES",
        value_delimiter = ',',
        required = true
    )]
    pub entries: Vec<SocketAddr>,
    /// The tenant that the request is counted for
    #[arg(long)]
    pub tenant: Tenant,
    /// The service to query
    #[arg(long)]
    pub service: ServiceName,
    /// The shards to query; repeat it or separate several by commas; defaults to all
    #[arg(long, value_name = "SHARD", value_delimiter = ',')]
    pub scope: Vec<ShardId>,

    /// The route of the service
    #[arg(long)]
    pub route: Route,
    /// The time after which an answer is of no use
    #[arg(long, value_name = "DURATION", default_value = "1s", value_parser = humantime::parse_duration)]
    pub deadline: Duration,
    /// The worth of the request if it is answered before its deadline
    #[arg(long)]
    pub worth: Option<f64>,
    /// Run the request at most once over all attempts with this key
    #[arg(long, value_name = "KEY")]
    pub idempotency_key: Option<IdempotencyKey>,
    /// How many times to send the request, as long as it is not run
    #[arg(long, value_name = "N", default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..))]
    pub attempts: u32,
    /// The query text
    #[arg(value_name = "QUERY")]
    pub text: String,
}

#[derive(Args, Debug)]
pub struct Timeline {
    /// Only events of this request
    #[arg(long, value_name = "ID")]
    pub request: Option<RequestId>,
    /// Only events of this rollout
    #[arg(long = "move", value_name = "ROLLOUT")]
    pub rollout: Option<RolloutId>,
    /// Only events of this backend server
    #[arg(long, value_name = "ADDR")]
    pub server: Option<LeafId>,
    /// Only events of this failure domain
    #[arg(long, value_name = "NAME")]
    pub domain: Option<FailureDomain>,
    /// Only events of this service
    #[arg(long, value_name = "NAME")]
    pub service: Option<ServiceName>,
    #[command(flatten)]
    pub reach: Reach,
}
