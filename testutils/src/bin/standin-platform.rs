//! Runs the platform as a process: a store, and leafs of several services in two failure domains.

use std::process::ExitCode;

use camphorhold_testutils::platform::CONFIGURATION_KEY;
use camphorhold_testutils::platform::configuration;
use camphorhold_testutils::platform::leaf::Leaf;
use camphorhold_testutils::platform::store::Store;
use camphorhold_testutils::process;
use clap::Parser;
use serde_json::json;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// The failure domains. Each service has one leaf in each of them.
const DOMAINS: [&str; 2] = ["a", "b"];

/// The users' platform, kept in memory. On SIGUSR1 it writes the next version of the configuration,
/// in which the first service of the list has become the last.
#[derive(Parser)]
struct Arguments {
    /// The number of services, named `s1`, `s2` and so on.
    #[arg(long, default_value_t = 6)]
    services: usize,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    process::run(async || {
        let mut names: Vec<String> = (1..=arguments.services)
            .map(|number| format!("s{number}"))
            .collect();
        let mut change = signal(SignalKind::user_defined1())?;
        let store = Store::start().await?;
        for (name, domain) in names.iter().flat_map(|name| DOMAINS.map(|d| (name, d))) {
            let leaf = Leaf::start(&format!("i-{name}-{domain}"), name, domain).await?;
            store.put(&leaf.key(), &leaf.entry("ready"));
        }
        let ready = json!({"store": store.address()});
        let running = tokio::spawn(async move {
            for version in 1.. {
                let services: Vec<&str> = names.iter().map(String::as_str).collect();
                store.put(CONFIGURATION_KEY, &configuration(version, &services));
                if change.recv().await.is_none() {
                    return;
                }
                names.rotate_left(1);
            }
        });
        Ok((running, ready))
    })
}
