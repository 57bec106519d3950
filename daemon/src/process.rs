//! Starts the servers and tasks of an instance, and shuts them down on a termination signal.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use camphorhold::coordination::control::Input as ControlInput;
use camphorhold::coordination::shutdown::Action;
use camphorhold::coordination::shutdown::InFlight;
use camphorhold::coordination::shutdown::Input;
use camphorhold::coordination::shutdown::Shutdown;
use camphorhold::state::event::Kind;
use camphorhold::state::event::Reason;
use camphorhold::state::event::Subject;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold::state::view::Phase;
use metrics_exporter_prometheus::BuildError;
use metrics_exporter_prometheus::PrometheusBuilder;
use miette::Diagnostic;
use thiserror::Error;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use volo::net::incoming::DefaultIncoming;
use volo_http::server::Router;
use volo_http::server::Server;

use crate::admin;
use crate::admin::Readiness;
use crate::canary::Canaries;
use crate::control;
use crate::control::Dependencies;
use crate::control::Handle;
use crate::entry;
use crate::entry::Entry;
use crate::leaf::Pool;
use crate::peer;
use crate::peer::ForwardedCalls;
use crate::rollouts::Rollouts;
use crate::settings::Settings;
use crate::timeline::Recorder;

/// How often the shutdown counts the requests in flight.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time to write the last responses to their connections after the last request has ended.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// How often the metrics recorder moves recorded samples into its histograms, which bounds its
/// memory.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Why an instance cannot start.
#[derive(Debug, Diagnostic, Error)]
pub enum StartError {
    /// An address cannot be listened on, for instance because another process uses it.
    #[error("cannot listen on {address}, given by {flag}: {source}")]
    Listen {
        /// The flag that gives the address.
        flag: &'static str,
        /// The address to listen on.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A thread, a runtime or a signal handler cannot be created.
    #[error("cannot start the instance: {0}")]
    Runtime(#[from] std::io::Error),
    /// The metrics recorder cannot be installed, for instance because the process has one already.
    #[error("cannot record metrics: {0}")]
    Metrics(#[from] BuildError),
}

/// The listeners of an instance. All of them are bound before any thread starts, so that an
/// instance never runs with only some of them.
struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    control: TcpListener,
    admin: TcpListener,
}

impl Listeners {
    fn bind(settings: &Settings) -> Result<Self, StartError> {
        Ok(Self {
            callers: bind("--caller-address", settings.caller_address)?,
            peers: bind("--peer-address", settings.peer_address)?,
            control: bind("--control-address", settings.control_address)?,
            admin: bind("--admin-address", settings.admin_address)?,
        })
    }
}

fn bind(flag: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let listen = || {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Ok(listener)
    };
    listen().map_err(|source| StartError::Listen {
        flag,
        address,
        source,
    })
}

/// Runs an instance until SIGTERM or SIGINT has shut it down.
///
/// # Errors
///
/// Returns an error when the instance cannot start. The process must then exit, because the control
/// thread may be running already.
pub fn run(settings: Settings) -> Result<(), StartError> {
    let listeners = Listeners::bind(&settings)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    let result = runtime.block_on(serve(settings, listeners));
    // Does not wait for idle connections and background tasks, which do not end by themselves.
    runtime.shutdown_background();
    result
}

async fn serve(settings: Settings, listeners: Listeners) -> Result<(), StartError> {
    let metrics = PrometheusBuilder::new().install_recorder()?;
    let upkeep = metrics.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(METRICS_UPKEEP_INTERVAL).await;
            upkeep.run_upkeep();
        }
    });
    let recorder = Arc::new(Recorder::new(settings.events_kept));
    let leafs = Arc::new(Pool::new(Arc::clone(&recorder)));
    let canaries = Arc::new(Canaries::new(Arc::clone(&recorder)));
    let balancer_wait = settings.balancer_wait;
    log::info!(
        "listening for callers on {}, for forwarded leaf calls on {}, for control messages on {}, \
         for probes on {}",
        settings.caller_address,
        settings.peer_address,
        settings.control_address,
        settings.admin_address
    );
    let control = control::spawn(Dependencies {
        settings,
        recorder: Arc::clone(&recorder),
        leafs: Arc::clone(&leafs),
        canaries: Arc::clone(&canaries),
        listener: listeners.control,
    })?;
    canaries.connect(control.clone());
    let rollouts = Arc::new(Rollouts::new(control.clone(), Arc::clone(&recorder)));
    let entry = Arc::new(Entry::new(
        control.clone(),
        Arc::clone(&leafs),
        canaries,
        Arc::clone(&rollouts),
        Arc::clone(&recorder),
    ));
    tokio::spawn(rollouts.run());
    let readiness = Arc::new(Readiness::new(control.clone()));
    tokio::spawn(Arc::clone(&leafs).follow(control.clone()));
    tokio::spawn(Arc::clone(&entry).follow());
    tokio::spawn(Arc::clone(&entry).run_timers());
    let forwarded = Arc::new(ForwardedCalls::new(
        Arc::clone(&leafs),
        Arc::clone(&recorder),
    ));
    let callers = admin::with_readiness(entry::router(Arc::clone(&entry)), Arc::clone(&readiness));
    start(callers, listeners.callers)?;
    start(peer::router(forwarded, Arc::clone(&entry)), listeners.peers)?;
    start(
        admin::router(Arc::clone(&readiness), metrics),
        listeners.admin,
    )?;
    let instance = Instance {
        control,
        entry,
        leafs,
        readiness,
        recorder,
    };
    wait_for_signal().await?;
    instance.shut_down(balancer_wait).await;
    Ok(())
}

/// Serves a router until the process exits.
///
/// By default, volo's server stops on SIGTERM. The hook here keeps it running, because a shutdown
/// still accepts requests until the load balancer stops sending them, and forwarded calls until
/// the leafs are released.
fn start(router: Router, listener: TcpListener) -> Result<(), StartError> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let server = Server::new(router).register_shutdown_hook(|| Box::pin(std::future::pending()));
    tokio::spawn(async move {
        if let Err(error) = server.run(DefaultIncoming::from(listener)).await {
            log::error!("an HTTP server failed and is not restarted: {error}");
        }
    });
    Ok(())
}

async fn wait_for_signal() -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => log::info!("received SIGTERM"),
        _ = interrupt.recv() => log::info!("received SIGINT"),
    }
    Ok(())
}

struct Instance {
    control: Handle,
    entry: Arc<Entry>,
    leafs: Arc<Pool>,
    readiness: Arc<Readiness>,
    recorder: Arc<Recorder>,
}

impl Instance {
    /// Reports that the instance is not ready, accepts requests until `balancer_wait` has passed,
    /// finishes those in flight, releases the owned leafs and leaves the roster.
    async fn shut_down(&self, balancer_wait: Duration) {
        let mut shutdown = Shutdown::default();
        let mut phase = shutdown.state();
        let signalled_at = SystemClock.now();
        let mut input = Input::Signal;
        loop {
            let now = SystemClock.now();
            for action in shutdown.handle(input, now) {
                if let Action::Exit { cut } = action {
                    self.finish(cut).await;
                    return;
                }
                self.carry_out(action);
            }
            if shutdown.state() != phase {
                phase = shutdown.state();
                self.record_phase(&format!("{phase:?}"));
            }
            tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
            let waited = SystemClock.now().saturating_duration_since(signalled_at);
            input = if waited >= balancer_wait && shutdown.takes_work() {
                Input::BalancerWaitElapsed
            } else if self.is_released() {
                Input::Released
            } else {
                // Does not count calls for other instances: they may run until this instance has
                // left the roster.
                Input::InFlight(InFlight {
                    requests: self.entry.in_flight(),
                    leaf_calls: 0,
                })
            };
        }
    }

    fn carry_out(&self, action: Action) {
        match action {
            Action::TurnReadinessOff => self.readiness.turn_off(),
            Action::RefuseNewWork => self.entry.refuse_new_work(),
            Action::Release => self.control.input(ControlInput::Shutdown),
            Action::Exit { .. } => {}
        }
    }

    /// Returns whether this instance has left the roster and none of its calls can still reach a
    /// leaf.
    fn is_released(&self) -> bool {
        self.control.view().phase == Phase::Left && self.leafs.active() == 0
    }

    fn record_phase(&self, phase: &str) {
        log::info!("shutdown: entering phase {phase}");
        let phase = Reason(phase.into());
        let kind = Kind::ShutdownPhase { phase };
        self.recorder.record(kind, Subject::default());
    }

    async fn finish(&self, unanswered: u64) {
        if unanswered > 0 {
            log::error!("shutdown timed out; aborting {unanswered} unanswered requests");
        }
        tokio::time::sleep(FLUSH_TIME).await;
        log::info!("shutdown complete");
    }
}
