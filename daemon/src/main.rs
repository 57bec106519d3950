//! `camphorholdd`: one instance of the query tier.

mod entry;
mod http;
mod leaf;
mod peer;
mod query;
mod routing;
mod settings;

use std::process::ExitCode;
use std::sync::Arc;

use miette::IntoDiagnostic;
use miette::Report;
use tokio::net::TcpListener;
use volo::net::incoming::DefaultIncoming;
use volo_http::server::Server;

use crate::query::Traffic;
use crate::routing::Routing;
use crate::settings::Settings;

/// The exit code for settings that cannot be used, and for addresses that are taken.
const EXIT_BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let settings = match Settings::read() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{:?}", Report::new(error));
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:?}");
            ExitCode::from(EXIT_BAD_SETTINGS)
        }
    }
}

fn run(settings: Settings) -> miette::Result<()> {
    let _logger = flexi_logger::Logger::try_with_str(&*settings.log)
        .and_then(flexi_logger::Logger::start)
        .into_diagnostic()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .enable_all()
        .build()
        .into_diagnostic()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> miette::Result<()> {
    let callers = TcpListener::bind(settings.caller_address)
        .await
        .into_diagnostic()?;
    let peers = TcpListener::bind(settings.peer_address)
        .await
        .into_diagnostic()?;
    let traffic = Arc::new(Traffic::new(Routing::from_environment(&settings)?));
    log::info!(
        "listening for callers on {} and for other instances on {}",
        settings.caller_address,
        settings.peer_address
    );
    let peer_server = Server::new(peer::router(Arc::clone(&traffic)));
    let caller_server = Server::new(entry::router(traffic));
    let (callers, peers) = tokio::join!(
        caller_server.run(DefaultIncoming::from(callers)),
        peer_server.run(DefaultIncoming::from(peers)),
    );
    callers.map_err(|error| miette::miette!("{error}"))?;
    peers.map_err(|error| miette::miette!("{error}"))
}
