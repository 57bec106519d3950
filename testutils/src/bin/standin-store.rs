//! Runs the key-value service as a process.

use std::net::SocketAddr;
use std::process::ExitCode;

use camphorhold_testutils::process;
use camphorhold_testutils::store::Store;
use clap::Parser;
use serde_json::json;

/// A key-value service that speaks etcd v3's JSON mapping and keeps its contents in memory.
#[derive(Parser)]
struct Arguments {
    /// The address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    process::run(async || {
        let store = Store::start(arguments.listen).await?;
        let ready = json!({"address": store.address()});
        Ok((store, ready))
    })
}
