//! Starts the parts of an instance and ends them in order.

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use camphorhold::coordination::serving::shutdown::Shutdown;
use camphorhold::state::time::SystemClock;
use camphorhold_platform::settings::Settings;
use metrics_exporter_prometheus::PrometheusHandle;
use thiserror::Error;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::JoinHandle;
use tokio::task::LocalSet;

use crate::exposition;
use crate::follower::Follower;
use crate::registration;
use crate::reload::SettingsFile;
use crate::request::Source;
use crate::server;
use crate::server::Connections;
use crate::shared::Phase;
use crate::shared::Shared;

/// How often idle connections and lapsed leafs are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// How often the settings file is looked at. It may change without a signal, and a look is one
/// system call.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);

/// How often a shutdown looks at the requests in progress.
const SHUTDOWN_TICK: Duration = Duration::from_millis(25);

/// Why an instance cannot start.
#[derive(Debug, Error, miette::Diagnostic)]
pub enum StartError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the operating system says.
        source: std::io::Error,
    },
    /// The runtime or a signal handler cannot be created.
    #[error("cannot start: {0}")]
    Runtime(#[from] std::io::Error),
}

/// Runs an instance until it is asked to end.
///
/// # Errors
///
/// Returns an error if the instance cannot start.
pub fn run(
    settings: Settings,
    path: &Path,
    metrics: (SocketAddr, PrometheusHandle),
) -> Result<(), StartError> {
    // One thread: an instance has a part of one core, and state without locks.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, serve(settings, path, metrics))
}

async fn serve(
    settings: Settings,
    path: &Path,
    metrics: (SocketAddr, PrometheusHandle),
) -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let callers = listen(settings.caller_address)?;
    let readiness = listen(settings.readiness_address)?;
    let peers = listen(settings.peer_address)?;
    log::info!(
        instance = &*settings.name,
        domain = &*settings.domain,
        callers:% = settings.caller_address;
        "started"
    );
    let shared = Rc::new(Shared::new(settings, Box::new(SystemClock)));
    let connections = Rc::new(Connections::default());
    tokio::task::spawn_local(Follower::new(Rc::clone(&shared)).run());
    tokio::task::spawn_local(registration::run(Rc::clone(&shared)));
    tokio::task::spawn_local(server::serve_readiness(Rc::clone(&shared), readiness));
    let accepting =
        [(callers, Source::Caller), (peers, Source::Instance)].map(|(listener, source)| {
            tokio::task::spawn_local(server::serve_requests(
                Rc::clone(&shared),
                Rc::clone(&connections),
                listener,
                source,
            ))
        });
    tokio::task::spawn_local(exposition::serve(metrics.0, metrics.1));
    tokio::task::spawn_local(sweep(Rc::clone(&shared), Rc::clone(&connections)));
    let mut file = SettingsFile::new(Rc::clone(&shared), path);
    wait_for_end(&mut terminate, &mut reload, &mut file).await;
    stop(&shared, &connections, &accepting).await;
    Ok(())
}

fn listen(address: SocketAddr) -> Result<tokio::net::TcpListener, StartError> {
    server::listen(address).map_err(|source| StartError::Listen { address, source })
}

async fn wait_for_end(terminate: &mut Signal, reload: &mut Signal, file: &mut SettingsFile) {
    let mut looks = tokio::time::interval(SETTINGS_INTERVAL);
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = reload.recv() => file.read(),
            _ = looks.tick() => file.read_if_changed(),
        }
    }
}

async fn sweep(shared: Rc<Shared>, connections: Rc<Connections>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let now = shared.now();
        for leaf in shared.fleet.borrow_mut().expire(now) {
            log::info!(leaf = &*leaf; "leaf entry did not come back");
        }
        let fleet = shared.fleet.borrow();
        shared
            .leaf_pool
            .sweep(now, |leaf| fleet.get(leaf).is_some());
        shared.peer_pool.sweep(now, |_| true);
        drop(fleet);
        let limits = shared.plan.borrow().as_ref().map(|plan| plan.limits());
        connections.sweep(limits, now);
    }
}

/// Serves until the load balancer has taken the instance out, then closes what is idle and waits
/// for the rest.
async fn stop(shared: &Shared, connections: &Connections, accepting: &[JoinHandle<()>]) {
    shared.phase.set(Phase::Stopping);
    let shutdown = Shutdown::new(shared.now(), shared.bounds.get().grace);
    log::info!(in_progress = shared.in_progress.get(), connections = connections.len(); "stopping");
    while shutdown.is_in_rotation(shared.now()) {
        tokio::time::sleep(SHUTDOWN_TICK).await;
    }
    for task in accepting {
        task.abort();
    }
    connections.close_all();
    while connections.len() > 0 && !shutdown.is_over(shared.now()) {
        tokio::time::sleep(SHUTDOWN_TICK).await;
    }
    log::info!(in_progress = shared.in_progress.get(), connections = connections.len(); "stopped");
}
