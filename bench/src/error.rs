//! Why an experiment cannot be run.

use std::path::PathBuf;
use std::time::Duration;

use camphorhold::protocol::control::ApplyAnswer;
use thiserror::Error;

/// Is returned when an experiment cannot be run to its end.
#[derive(Debug, Error)]
pub enum Error {
    /// A program cannot be started.
    #[error("cannot start {}: {source}", program.display())]
    Start {
        /// The program.
        program: PathBuf,
        /// The reason given by the operating system.
        source: std::io::Error,
    },
    /// A program ended before it was ready.
    #[error("{0} ended before it was ready; its log is in the run's directory")]
    NotReady(String),
    /// A file, port or signal cannot be used.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A signal cannot be sent.
    #[error("cannot send a signal: {0}")]
    Signal(#[from] nix::Error),
    /// A stand-in does not answer.
    #[error(transparent)]
    Client(#[from] camphorhold_testutils::client::Error),
    /// A stand-in's answer or a report cannot be converted.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// An instance does not answer a control message.
    #[error("control message: {0}")]
    Control(#[from] jsonrpsee::core::ClientError),
    /// The generated file is invalid.
    #[error("the generated file is invalid: {0}")]
    File(String),
    /// A change was not accepted.
    #[error("the file was not accepted: {0:?}")]
    NotAccepted(ApplyAnswer),
    /// Something did not happen in time.
    #[error("{what} did not happen within {limit:?}")]
    TimedOut {
        /// What was waited for.
        what: &'static str,
        /// How long.
        limit: Duration,
    },
    /// No ports are free.
    #[error("no {0} ports in a row are free on loopback")]
    NoPorts(u16),
    /// Calls on the query path between instances failed.
    #[error("peer path: {0}")]
    PeerPath(String),
    /// A task of the tool itself failed.
    #[error("a task failed: {0}")]
    Task(#[from] tokio::task::JoinError),
    /// The run was interrupted.
    #[error("interrupted")]
    Interrupted,
}
