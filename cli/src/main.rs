//! `camphorhold`: the command-line program for operators.

mod arguments;
mod client;
mod commands;
mod diagnostic;
mod error;
mod output;

use std::process::ExitCode;

use clap::Parser;

use crate::arguments::Arguments;
use crate::error::Error;
use crate::error::Exit;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let exit = run(arguments).unwrap_or_else(|error| {
        eprintln!("camphorhold: {error}");
        error.exit()
    });
    ExitCode::from(exit)
}

fn run(arguments: Arguments) -> Result<Exit, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    runtime.block_on(commands::run(arguments))
}
