//! Runs the list of instances as a process.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use camphorhold_testutils::instances::Entry;
use camphorhold_testutils::instances::List;
use camphorhold_testutils::instances::State;
use camphorhold_testutils::process;
use clap::Parser;
use serde_json::json;

/// The platform's list of live and leaving instances, which returns each change after a lag.
#[derive(Parser)]
struct Arguments {
    /// The address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// An instance that is live at the start; may be repeated.
    #[arg(long = "instance")]
    instances: Vec<SocketAddr>,
    /// The time until readers get a change.
    #[arg(long, default_value = "2s", value_parser = humantime::parse_duration)]
    lag: Duration,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    process::run(async || {
        let live = arguments.instances.into_iter().map(|address| Entry {
            address,
            state: State::Live,
        });
        let list = List::start(arguments.listen, live.collect(), arguments.lag).await?;
        let ready = json!({"address": list.address()});
        Ok((list, ready))
    })
}
