//! Runs the load balancer as a process.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use camphorhold_testutils::balancer::Balancer;
use camphorhold_testutils::balancer::Config;
use camphorhold_testutils::process;
use clap::Parser;
use serde_json::json;

/// A load balancer that forwards each TCP connection to one of the ready instances.
#[derive(Parser)]
struct Arguments {
    /// The address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// The address of the admin port.
    #[arg(long, default_value = "127.0.0.1:0")]
    admin: SocketAddr,
    /// An instance to forward connections to; may be repeated.
    #[arg(long = "instance")]
    instances: Vec<SocketAddr>,
    /// The time between two polls of the readiness of all instances.
    #[arg(long, default_value = "500ms", value_parser = humantime::parse_duration)]
    poll: Duration,
    /// How long bytes are delayed in each direction.
    #[arg(long, default_value = "0ms", value_parser = humantime::parse_duration)]
    delay: Duration,
    /// The number added to the port of an instance to get the port that answers `/readyz`.
    #[arg(long, default_value_t = 0)]
    probe_offset: u16,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    process::run(async || {
        let balancer = Balancer::start(Config {
            listen: arguments.listen,
            admin: arguments.admin,
            instances: arguments.instances,
            poll: arguments.poll,
            delay: arguments.delay,
            probe_offset: arguments.probe_offset,
        })
        .await?;
        let ready = json!({
            "address": balancer.address(),
            "admin": balancer.admin_address(),
        });
        Ok((balancer, ready))
    })
}
