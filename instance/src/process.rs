//! Starts the tasks of an instance, runs them until SIGTERM and shuts the instance down.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use camphorhold::coordination::serving::memory_account::Port;
use camphorhold::coordination::serving::shutdown::Shutdown;
use camphorhold::state::time::SystemClock;
use camphorhold::transport::supervisor;
use camphorhold_platform::settings::Settings;
use metrics_exporter_prometheus::PrometheusHandle;
use thiserror::Error;
use tokio::runtime::Runtime;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::JoinHandle;
use tokio::task::LocalSet;

use crate::client_report::ClientReport;
use crate::crash_records;
use crate::datagram;
use crate::delivery;
use crate::duty;
use crate::exposition;
use crate::follower::Follower;
use crate::freshness;
use crate::listener::Listener;
use crate::mirror::Mirror;
use crate::own_port;
use crate::probe;
use crate::registration;
use crate::release;
use crate::reload::SettingsFile;
use crate::report;
use crate::request::Source;
use crate::server;
use crate::server::Connections;
use crate::shared::Phase;
use crate::shared::Shared;
use crate::tokens;

/// How often expired connections and leafs are removed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// How often the settings file is checked for changes. It may change without a signal, and a check
/// costs one system call.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How often a shutdown checks the clock and the number of open connections.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Why an instance cannot start.
#[derive(Debug, Error, miette::Diagnostic)]
pub enum StartError {
    /// The instance cannot listen on one of its addresses, for instance because it is in use.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address for callers, for readiness checks or for other instances.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// A process that handles its signals, but does nothing else yet.
pub struct Process {
    runtime: Runtime,
    terminate: Signal,
    reload: Signal,
}

impl Process {
    /// Creates the runtime and the signal handlers.
    ///
    /// # Errors
    ///
    /// Returns an error if one of them cannot be created.
    pub fn new() -> std::io::Result<Self> {
        // A single thread: an instance gets a fraction of one core, and its state needs no locks.
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let context = runtime.enter();
        let terminate = signal(SignalKind::terminate())?;
        let reload = signal(SignalKind::hangup())?;
        drop(context);
        Ok(Self {
            runtime,
            terminate,
            reload,
        })
    }

    /// Runs an instance until SIGTERM, then shuts it down. SIGHUP reloads the settings file at
    /// `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance cannot start.
    pub fn run(
        self,
        settings: Settings,
        path: &Path,
        metrics: (SocketAddr, PrometheusHandle),
    ) -> Result<(), StartError> {
        let signals = (self.terminate, self.reload);
        LocalSet::new().block_on(&self.runtime, serve(settings, path, metrics, signals))
    }
}

async fn serve(
    settings: Settings,
    path: &Path,
    metrics: (SocketAddr, PrometheusHandle),
    (mut terminate, mut reload): (Signal, Signal),
) -> Result<(), StartError> {
    let shared = Rc::new(Shared::new(settings, Arc::new(SystemClock)));
    let settings = &shared.settings;
    let callers = listen(&shared, settings.caller_address, Port::Callers)?;
    let readiness = listen(&shared, settings.readiness_address, Port::Readiness)?;
    let peers = listen(&shared, settings.peer_address, Port::Instances)?;
    log::info!(
        instance = &*settings.name,
        domain = &*settings.domain,
        version = release::VERSION,
        protocol = release::PROTOCOL,
        callers:% = settings.caller_address;
        "started"
    );
    let connections = Rc::new(Connections::default());
    let mirror = Rc::new(RefCell::new(Mirror::new(Rc::clone(&shared))));
    let state = Rc::clone(&shared);
    spawn("follower", move || {
        Follower::new(Rc::clone(&state), Rc::clone(&mirror)).run()
    });
    let state = Rc::clone(&shared);
    spawn("datagrams", move || datagram::run(Rc::clone(&state)));
    let state = Rc::clone(&shared);
    spawn("freshness", move || freshness::run(Rc::clone(&state)));
    let state = Rc::clone(&shared);
    spawn("registration", move || registration::run(Rc::clone(&state)));
    let state = Rc::clone(&shared);
    spawn("tokens", move || tokens::run(Rc::clone(&state)));
    let state = Rc::clone(&shared);
    spawn("crash records", move || {
        crash_records::run(Rc::clone(&state))
    });
    let state = Rc::clone(&shared);
    spawn("duty", move || duty::run(Rc::clone(&state)));
    let state = Rc::clone(&shared);
    spawn("usage delivery", move || delivery::run(Rc::clone(&state)));
    let state = Rc::clone(&shared);
    spawn("usage report", move || report::run(Rc::clone(&state)));
    let state = Rc::clone(&shared);
    spawn("probe", move || probe::run(Rc::clone(&state)));
    let state = Rc::clone(&shared);
    let readiness = Rc::new(readiness);
    spawn("readiness", move || {
        own_port::serve_readiness(Rc::clone(&state), Rc::clone(&readiness))
    });
    let accept_tasks = [
        ("callers", callers, Source::Caller),
        ("peers", peers, Source::Instance),
    ]
    .map(|(name, listener, source)| {
        let state = Rc::clone(&shared);
        let connections = Rc::clone(&connections);
        let listener = Rc::new(listener);
        spawn(name, move || {
            server::serve_requests(
                Rc::clone(&state),
                Rc::clone(&connections),
                Rc::clone(&listener),
                source,
            )
        })
    });
    let handle = metrics.1.clone();
    spawn("metrics upkeep", move || {
        exposition::maintain(handle.clone())
    });
    let clients = shared.clients.clone();
    spawn("metrics", move || {
        exposition::serve(metrics.0, metrics.1.clone(), clients.clone())
    });
    let state = Rc::clone(&shared);
    let open = Rc::clone(&connections);
    spawn("sweep", move || sweep(Rc::clone(&state), Rc::clone(&open)));
    let mut file = SettingsFile::new(Rc::clone(&shared), path);
    wait_for_termination(&mut terminate, &mut reload, &mut file).await;
    stop(&shared, &connections, &accept_tasks).await;
    Ok(())
}

/// Starts a task that is started again if it panics. What it had read or agreed on is lost, but not
/// the shared state.
fn spawn<Start, Task>(name: &'static str, start: Start) -> JoinHandle<()>
where
    Start: FnMut() -> Task + 'static,
    Task: Future<Output = ()> + 'static,
{
    tokio::task::spawn_local(supervisor::run(start, move |error| {
        metrics::counter!("camphorhold_task_panics_total", "task" => name).increment(1);
        log::error!(task = name, error:% = error; "task panicked; starting it again");
    }))
}

fn listen(shared: &Shared, address: SocketAddr, port: Port) -> Result<Listener, StartError> {
    Listener::bind(address, port, shared.clients.clone())
        .map_err(|source| StartError::Listen { address, source })
}

async fn wait_for_termination(
    terminate: &mut Signal,
    reload: &mut Signal,
    file: &mut SettingsFile,
) {
    let mut settings_checks = tokio::time::interval(SETTINGS_CHECK_INTERVAL);
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = reload.recv() => file.read(),
            _ = settings_checks.tick() => file.read_if_changed(),
        }
    }
}

async fn sweep(shared: Rc<Shared>, connections: Rc<Connections>) {
    let mut is_proven = false;
    let mut client_report = ClientReport::default();
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let now = shared.now();
        for leaf in shared.fleet.borrow_mut().expire(now) {
            log::info!(leaf = &*leaf; "leaf entry not restored after a store outage; leaf removed");
        }
        let fleet = shared.fleet.borrow();
        shared.leaf_pool.sweep(now, |leaf| {
            fleet.get(leaf).is_some_and(|leaf| !leaf.is_leaving())
        });
        shared.peer_pool.sweep(now, |_| true);
        drop(fleet);
        let limits = shared.plan.borrow().as_ref().map(|plan| plan.limits());
        connections.sweep(limits, now);
        freshness::report(&shared, &mut is_proven);
        client_report.publish(&shared.clients, &shared.server_buffers);
        if let Some(age) = shared.watch.borrow().confirmation_age(now) {
            metrics::gauge!("camphorhold_store_confirmation_age_seconds").set(age.as_secs_f64());
        }
    }
}

/// Serves until the load balancer has taken the instance out of rotation, then closes idle
/// connections and waits until the requests in progress end. Has those answered that are left when
/// the grace period is about to end.
async fn stop(shared: &Shared, connections: &Connections, accept_tasks: &[JoinHandle<()>]) {
    shared.phase.set(Phase::Stopping);
    shared.feed.stop();
    let shutdown = Shutdown::new(shared.now(), shared.bounds.get().grace);
    shared.answers_due_at.set(Some(shutdown.answers_due_at()));
    log::info!(in_progress = shared.in_progress.get(), connections = connections.len(); "stopping");
    while shutdown.is_in_rotation(shared.now()) {
        tokio::time::sleep(SHUTDOWN_CHECK_INTERVAL).await;
    }
    // Connections and requests that have arrived but were not read yet, for instance while the process
    // did not get to run, are accepted and read before the connections are closed.
    tokio::time::sleep(SHUTDOWN_CHECK_INTERVAL).await;
    for task in accept_tasks {
        task.abort();
    }
    connections.close_all();
    while connections.len() > 0 && shared.now() < shutdown.answers_due_at() {
        tokio::time::sleep(SHUTDOWN_CHECK_INTERVAL).await;
    }
    shared.answers_due.notify_waiters();
    while connections.len() > 0 && !shutdown.is_over(shared.now()) {
        tokio::time::sleep(SHUTDOWN_CHECK_INTERVAL).await;
    }
    delivery::deliver(shared);
    log::info!(in_progress = shared.in_progress.get(), connections = connections.len(); "stopped");
}
