//! The exit codes and errors of all commands.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

/// The documented exit codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command was carried out.
    Done = 0,
    /// The request was refused or rejected, or its result could not be printed.
    Refused = 1,
    /// The arguments or the file are not valid, or the program cannot start.
    Usage = 2,
    /// No instance answered, or a value could not be converted to JSON.
    Unreachable = 3,
    /// The request may or may not have been carried out.
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
    /// No instance address was given.
    #[error("no instance is given: use --instance or CAMPHORHOLD_INSTANCES")]
    NoInstance,
    /// The file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    File {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file is not valid. Its problems have been printed already.
    #[error("the file is not valid: {problems} problem(s)")]
    BadFile {
        /// The number of problems.
        problems: usize,
    },
    /// No instance answered. Contains the reason for each address.
    #[error("no instance answered{}", list(.0))]
    Unreachable(Vec<(SocketAddr, String)>),
    /// A request or a result cannot be converted to JSON.
    #[error("cannot convert a value to JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The async runtime cannot be created.
    #[error("cannot start: {0}")]
    Runtime(io::Error),
    /// The result cannot be written to standard output.
    #[error("cannot write the result: {0}")]
    Output(#[from] io::Error),
}

impl Error {
    /// Returns the exit code that the process reports for the error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::NoInstance | Self::File { .. } | Self::BadFile { .. } | Self::Runtime(_) => {
                Exit::Usage
            }
            Self::Unreachable(_) | Self::Json(_) => Exit::Unreachable,
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
