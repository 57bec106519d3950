//! The main function of the stand-alone binaries: the line that reports the addresses, the exit
//! codes and the signal handling.

use std::process::ExitCode;

use serde_json::Value;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// The exit code when the stand-in cannot start, for instance because its port is taken.
const CANNOT_START: u8 = 2;

/// Why a binary did not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A port cannot be bound.
    #[error(transparent)]
    Server(#[from] crate::server::Error),
    /// The file that defines the leafs cannot be read or parsed.
    #[error(transparent)]
    File(#[from] crate::backend::FileError),
    /// The runtime or the signal handlers cannot be set up.
    #[error("cannot set up the process: {0}")]
    Process(#[from] std::io::Error),
}

/// Starts a stand-in, prints the JSON value that `start` returns as one line, and runs until
/// SIGTERM or SIGINT. If `start` fails, prints the error and exits with code 2.
pub fn run<F, Fut, H>(start: F) -> ExitCode
where
    F: FnOnce() -> Fut,
    Fut: Future<Output = Result<(H, Value), Error>>,
{
    match run_to_signal(start) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(CANNOT_START)
        }
    }
}

fn run_to_signal<F, Fut, H>(start: F) -> Result<(), Error>
where
    F: FnOnce() -> Fut,
    Fut: Future<Output = Result<(H, Value), Error>>,
{
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let (handle, ready) = start().await?;
        println!("{ready}");
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        drop(handle);
        Ok(())
    })
}
