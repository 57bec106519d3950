//! Exit codes and errors.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

/// The documented exit codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Done = 0,
    /// Refused, or a negative answer.
    Refused = 1,
    /// Wrong usage or a bad file.
    Usage = 2,
    /// Nobody answered.
    Unreachable = 3,
    /// The outcome is unknown.
    Unknown = 4,
}

impl From<Exit> for std::process::ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Why a command could not be carried out.
#[derive(Debug, Error)]
pub enum Error {
    /// No address was given.
    #[error("no instance is given: use --instance or CAMPHORHOLD_INSTANCES")]
    NoInstance,
    /// The file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The file has problems, which were printed already.
    #[error("the file is not valid: {problems} problem(s)")]
    BadFile {
        /// How many.
        problems: usize,
    },
    /// No address answered.
    #[error("nobody answered{}", list(.0))]
    Unreachable(Vec<(SocketAddr, String)>),
    /// The answer of an entry instance cannot be read.
    #[error("the answer cannot be read: {0}")]
    Answer(#[from] serde_json::Error),
    /// The process cannot set up its event loop.
    #[error("cannot start: {0}")]
    Runtime(io::Error),
    /// The result cannot be written.
    #[error("cannot write the result: {0}")]
    Output(#[from] io::Error),
}

impl Error {
    /// Returns the exit code.
    pub fn exit(&self) -> Exit {
        match self {
            Self::NoInstance | Self::File { .. } | Self::BadFile { .. } | Self::Runtime(_) => {
                Exit::Usage
            }
            Self::Unreachable(_) | Self::Answer(_) => Exit::Unreachable,
            Self::Output(_) => Exit::Refused,
        }
    }
}

fn list(failures: &[(SocketAddr, String)]) -> String {
    let lines = failures
        .iter()
        .map(|(address, reason)| format!("\n  {address}: {reason}"));
    lines.collect()
}
