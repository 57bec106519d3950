//! A randomized soak test of the instances. They run as separate processes, all faults are injected
//! from outside, and what callers and leafs observe is checked against the promises.
//!
//! Each seed determines one [`schedule`] of faults. The [`world`] starts the stand-ins of the store
//! and the leafs, the [`instances`], and a [`proxy`](camphorhold_testutils::proxy) on each link from an instance to the store and
//! on the link to each leaf, and then applies the schedule. Meanwhile each [`caller`] sends
//! requests, and a [`client`] begins some that it does not finish. Afterwards [`check`] compares their outcomes with the requests that the leafs ran. The
//! instances have no disk and base no decision on the time of day, so the soak disturbs neither
//! storage nor clocks.

mod caller;
mod check;
mod client;
mod instances;
mod schedule;
mod world;

use std::path::PathBuf;
use std::time::Duration;

pub use self::check::Report;
pub use self::check::Violation;

/// The parameters of one run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The path of the instance binary.
    pub program: PathBuf,
    /// The path of another release of the instance. All instances begin with it, are replaced one
    /// after the other, and run the other program after each restart, whatever caused it.
    pub previous: Option<PathBuf>,
    /// The seed of the generator that draws all faults and requests.
    pub seed: u64,
    /// The time, from the start of the run, within which faults begin.
    pub length: Duration,
    /// How many instances run side by side.
    pub instances: usize,
    /// Whether the store may be restored from copies, leafs may name limits, and a client holds
    /// unfinished requests. Seeds that found faults before these existed run without.
    pub additional: bool,
    /// The folder for the logs of the instances, one file each. `None` discards them.
    pub logs: Option<PathBuf>,
}

/// Why a run could not be completed. Broken promises are not errors: they are in the report.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An operation on a process, a file or a signal failed.
    #[error("cannot run the instances: {0}")]
    Process(#[from] std::io::Error),
    /// A stand-in of the store or of a leaf did not start.
    #[error("cannot start a stand-in: {0}")]
    StandIn(#[from] camphorhold_testutils::server::Error),
}

/// Runs the faults and requests of one seed and checks their outcome.
///
/// # Errors
///
/// Returns an error if the run could not be completed. A broken promise is not an error: it is in
/// the report.
pub fn run(options: &Options) -> Result<Report, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, world::run(options))
}
