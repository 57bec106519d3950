//! Tests of the real daemon: processes, sockets and signals, with the platform's stand-ins in the
//! test process. They run side by side in one binary, so that the whole set takes as long as its
//! slowest test.

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
