//! Errors that end an experiment early.

use std::path::PathBuf;
use std::time::Duration;

use camphorhold::protocol::control::ApplyAnswer;
use thiserror::Error;

/// An error that ends an experiment before it can report its results.
#[derive(Debug, Error)]
pub enum Error {
    /// A program cannot be started.
    #[error("cannot start {}: {source}", program.display())]
    Start {
        /// The path of the executable.
        program: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A stand-in ended before its ready line or printed an invalid one.
    #[error("{0} did not print a valid ready line; its log is in the run's directory")]
    NotReady(String),
    /// A file, port or signal cannot be used.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A signal cannot be sent.
    #[error("cannot send a signal: {0}")]
    Signal(#[from] nix::Error),
    /// A request to a stand-in, or for the metrics of an instance, failed.
    #[error(transparent)]
    Client(#[from] camphorhold_testutils::client::Error),
    /// A stand-in of the platform cannot listen.
    #[error(transparent)]
    StandIn(#[from] camphorhold_testutils::server::Error),
    /// An instance did not answer a request.
    #[error("an instance did not answer: {0}")]
    Instance(#[from] camphorhold::transport::http::Error),
    /// A plot cannot be drawn.
    #[error("cannot draw a plot: {0}")]
    Plot(String),
    /// A request or an answer of a stand-in, or a report, cannot be converted from or to JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A control message to an instance, or a JSON-RPC call of the peer path, failed.
    #[error("control message: {0}")]
    Control(#[from] jsonrpsee::core::ClientError),
    /// The deployment file generated for the run is invalid.
    #[error("the generated deployment file is invalid: {0}")]
    File(String),
    /// The instance refused a file change for a reason that a retry does not resolve in time.
    #[error("the deployment file was not accepted: {0:?}")]
    NotAccepted(ApplyAnswer),
    /// A condition was not met within its time limit.
    #[error("timed out after {limit:?} waiting for {what}")]
    TimedOut {
        /// The condition, to be read after "waiting for".
        what: &'static str,
        /// The time limit.
        limit: Duration,
    },
    /// Loopback has no range of free ports of the needed length.
    #[error("no {0} ports in a row are free on loopback")]
    NoPorts(u16),
    /// Preparing or sending leaf calls between instances failed.
    #[error("peer path: {0}")]
    PeerPath(String),
    /// A task of this program panicked or was cancelled.
    #[error("a task failed: {0}")]
    Task(#[from] tokio::task::JoinError),
    /// The run was ended by Ctrl-C.
    #[error("interrupted")]
    Interrupted,
}
