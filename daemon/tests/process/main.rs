//! Tests of the daemon as a real process, with its sockets and signals. The stand-ins of the
//! platform run in the test process. All tests are in one binary and run in parallel, so that
//! together they take as long as the slowest of them.

#[path = "../support/mod.rs"]
mod support;

mod bad_input;
mod graceful_shutdown;
mod instance_killed;
mod instance_paused;
mod leaving_servers;
mod once;
mod poison;
mod query_path;
mod settings;
mod snapshots;
mod store_outage;
