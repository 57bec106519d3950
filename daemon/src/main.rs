//! `camphorholdd`: one instance of the query tier.

mod admin;
mod baseline;
mod canary;
mod control;
mod entry;
mod http;
mod leaf;
mod peer;
mod process;
mod rollouts;
mod settings;
mod timeline;

use std::process::ExitCode;

use miette::Report;

use crate::settings::Settings;

/// The exit code for invalid settings and for all other failures to start, for instance an address
/// that is already in use.
const EXIT_START_FAILED: u8 = 2;

fn main() -> ExitCode {
    let settings = match Settings::read() {
        Ok(settings) => settings,
        Err(error) => return fail(&Report::new(error)),
    };
    let logger = flexi_logger::Logger::try_with_str(&*settings.log)
        .map(|logger| logger.format(flexi_logger::json_format))
        .and_then(flexi_logger::Logger::start);
    let _logger = match logger {
        Ok(logger) => logger,
        Err(error) => return fail(&miette::miette!("cannot start logging: {error}")),
    };
    baseline::choose(settings.baselines.clone());
    match process::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&Report::new(error)),
    }
}

fn fail(report: &Report) -> ExitCode {
    eprintln!("{report:?}");
    ExitCode::from(EXIT_START_FAILED)
}
