//! A randomized soak of the instances: they run as separate processes, faults reach them only from
//! outside, and what callers and leafs see is checked against the promises.
//!
//! One seed gives one [`schedule`]: which faults come when. The [`world`] starts the stand-ins
//! of store and leafs, the [`instances`] and a [`proxy`] on every link between them, and applies the
//! schedule. [`caller`] sends requests meanwhile, and [`check`] compares what came of them with
//! what the leafs ran. The instances have no disk and decide nothing by the time of day, so storage
//! and clocks are not disturbed.

mod caller;
mod check;
mod instances;
mod proxy;
mod schedule;
mod world;

use std::path::PathBuf;
use std::time::Duration;

pub use self::check::Report;
pub use self::check::Violation;

/// What a run does.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program of the instances.
    pub program: PathBuf,
    /// Decides on all faults and requests.
    pub seed: u64,
    /// How long faults come.
    pub length: Duration,
    /// The number of instances.
    pub instances: usize,
    /// Where the log lines of the instances go, one file each; `None` drops them.
    pub logs: Option<PathBuf>,
}

/// Why a run could not be made.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A process, a file or a signal failed.
    #[error("cannot run the instances: {0}")]
    Process(#[from] std::io::Error),
    /// A stand-in did not start.
    #[error("cannot start a stand-in: {0}")]
    StandIn(#[from] camphorhold_testutils::server::Error),
}

/// Runs one seed.
///
/// # Errors
///
/// Returns an error if the run could not be made; what it found is in the report.
pub fn run(options: &Options) -> Result<Report, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, world::run(options))
}
