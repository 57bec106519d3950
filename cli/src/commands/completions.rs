//! `completions`: prints a completion script for a shell.

use clap::CommandFactory;
use clap_complete::Shell;

use crate::arguments::Arguments;
use crate::error::Error;
use crate::error::Exit;

pub fn run(shell: Shell) -> Result<Exit, Error> {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Arguments::command(), "camphorhold", &mut script);
    std::io::Write::write_all(&mut std::io::stdout(), &script)?;
    Ok(Exit::Done)
}
