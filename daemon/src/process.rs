//! Starts the parts of an instance and ends them in order.

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
use crate::control::Handle;
use crate::control::Parts;
use crate::entry;
use crate::entry::Entry;
use crate::leaf::Pool;
use crate::peer;
use crate::peer::Peers;
use crate::rollouts::Rollouts;
use crate::settings::Settings;
use crate::timeline::Recorder;

/// How often the shutdown looks at the work in flight.
const SHUTDOWN_TICK: Duration = Duration::from_millis(20);

/// Time for the last responses to be written after the last request has ended.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// How often the metrics recorder tidies up.
const METRICS_UPKEEP: Duration = Duration::from_secs(5);

/// Is returned when an instance cannot start.
#[derive(Debug, Diagnostic, Error)]
pub enum StartError {
    /// An address cannot be listened on, for instance because another process does.
    #[error("cannot listen on {address}, given by {flag}: {source}")]
    Listen {
        /// The flag that gives the address.
        flag: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the operating system says.
        source: std::io::Error,
    },
    /// A thread or runtime cannot be created.
    #[error("cannot start: {0}")]
    Runtime(#[from] std::io::Error),
    /// The metrics recorder cannot be installed.
    #[error("cannot record metrics: {0}")]
    Metrics(#[from] BuildError),
}

/// The listeners of an instance. All are bound before anything else starts.
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

/// Runs an instance until it is asked to end.
///
/// # Errors
///
/// Returns an error when the instance cannot start. Nothing is left half-started.
pub fn run(settings: Settings) -> Result<(), StartError> {
    let listeners = Listeners::bind(&settings)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    let result = runtime.block_on(serve(settings, listeners));
    // Idle connections and background tasks do not hold up the end.
    runtime.shutdown_background();
    result
}

async fn serve(settings: Settings, listeners: Listeners) -> Result<(), StartError> {
    let metrics = PrometheusBuilder::new().install_recorder()?;
    let upkeep = metrics.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(METRICS_UPKEEP).await;
            upkeep.run_upkeep();
        }
    });
    let recorder = Arc::new(Recorder::new(settings.events_kept));
    let leafs = Arc::new(Pool::new(Arc::clone(&recorder)));
    let canaries = Arc::new(Canaries::new(Arc::clone(&recorder)));
    let balancer_wait = settings.balancer_wait;
    log::info!(
        "listening for callers on {}, for instances on {} and {}, for probes on {}",
        settings.caller_address,
        settings.peer_address,
        settings.control_address,
        settings.admin_address
    );
    let control = control::spawn(Parts {
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
    let peers = Arc::new(Peers::new(Arc::clone(&leafs), Arc::clone(&recorder)));
    let callers = admin::with_readiness(entry::router(Arc::clone(&entry)), Arc::clone(&readiness));
    start(callers, listeners.callers)?;
    start(peer::router(peers, Arc::clone(&entry)), listeners.peers)?;
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

/// Serves a router until the process ends.
///
/// volo's server ends by itself on SIGTERM. The hook keeps it serving, because the shutdown still
/// takes requests until the load balancer has noticed and forwarded calls until the leafs are
/// released.
fn start(router: Router, listener: TcpListener) -> Result<(), StartError> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let server = Server::new(router).register_shutdown_hook(|| Box::pin(std::future::pending()));
    tokio::spawn(async move {
        if let Err(error) = server.run(DefaultIncoming::from(listener)).await {
            log::error!("a server ended: {error}");
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
    /// Finishes the work in flight, hands over ownership and leaves the roster.
    async fn shut_down(&self, balancer_wait: Duration) {
        let mut shutdown = Shutdown::default();
        let mut phase = shutdown.state();
        let signalled = SystemClock.now();
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
                self.note(&format!("{phase:?}"));
            }
            tokio::time::sleep(SHUTDOWN_TICK).await;
            let waited = SystemClock.now().saturating_duration_since(signalled);
            input = if waited >= balancer_wait && shutdown.takes_work() {
                Input::BalancerWaitElapsed
            } else if self.is_released() {
                Input::Released
            } else {
                // Calls for other instances go on until this one has left the roster.
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

    /// Tells whether other instances own everything that this one did.
    fn is_released(&self) -> bool {
        self.control.view().phase == Phase::Left && self.leafs.active() == 0
    }

    fn note(&self, phase: &str) {
        log::info!("shutdown: {phase}");
        let phase = Reason(phase.into());
        let kind = Kind::ShutdownPhase { phase };
        self.recorder.record(kind, Subject::default());
    }

    async fn finish(&self, cut: u64) {
        if cut > 0 {
            log::error!("{cut} requests were cut at the end of the shutdown");
        }
        tokio::time::sleep(FLUSH_TIME).await;
        log::info!("shutdown complete");
    }
}
