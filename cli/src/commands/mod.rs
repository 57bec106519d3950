//! The commands, one module each.

mod apply;
mod check;
mod completions;
mod moves;
mod query;
mod status;
mod timeline;

use crate::arguments::Arguments;
use crate::arguments::Command;
use crate::error::Error;
use crate::error::Exit;

/// Runs the command given by the arguments.
pub async fn run(arguments: Arguments) -> Result<Exit, Error> {
    let global = arguments.global;
    match arguments.command {
        Command::Apply(apply) => apply::run(&global, &apply).await,
        Command::Status(reach) => status::run(&global, &reach).await,
        Command::Moves => moves::run(&global).await,
        Command::Query(query) => query::run(&global, &query).await,
        Command::Timeline(timeline) => timeline::run(&global, timeline).await,
        Command::Check { file } => check::run(&global, &file),
        Command::Completions { shell } => completions::run(shell),
    }
}
