//! The loop of the control thread.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use camphorhold::coordination::control::Action;
use camphorhold::coordination::control::Event;
use camphorhold::coordination::control::Input;
use camphorhold::coordination::control::Machine;
use camphorhold::coordination::control::Message;
use camphorhold::coordination::control::Settings as MachineSettings;
use camphorhold::coordination::proposal;
use camphorhold::coordination::proposal::Accepted;
use camphorhold::state::event::Kind;
use camphorhold::state::event::Subject;
use camphorhold::state::id::InstanceId;
use camphorhold::state::id::OperationId;
use camphorhold::state::record::Record;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold::state::view::Currency;
use camphorhold::state::view::View;
use camphorhold::transport::store::Client;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use super::Handle;
use super::Request;
use super::instance_rpc;
use super::operator_rpc;
use super::peers::Peers;
use super::platform;
use super::releases;
use super::store::Store;
use crate::canary::Canaries;
use crate::leaf::Pool;
use crate::settings::Settings;
use crate::timeline::Recorder;

/// The settings and shared objects of the process that the control thread uses.
pub struct Dependencies {
    pub settings: Settings,
    pub recorder: Arc<Recorder>,
    pub leafs: Arc<Pool>,
    pub canaries: Arc<Canaries>,
    pub listener: std::net::TcpListener,
}

struct Thread {
    machine: Machine,
    handle: Handle,
    recorder: Arc<Recorder>,
    leafs: Arc<Pool>,
    store: Store,
    peers: Peers,
    views: watch::Sender<Arc<View>>,
    /// The callers that wait for the result of each unfinished operation.
    waiting: HashMap<OperationId, Vec<oneshot::Sender<Result<Accepted, proposal::Error>>>>,
    /// Passes on releases that [`releases::send_when_idle`] has delayed.
    ready_releases: mpsc::UnboundedSender<(SocketAddr, Message)>,
    /// The view published last.
    last_view: Arc<View>,
}

/// Starts the control thread, which joins the roster and serves the control interface.
///
/// # Errors
///
/// Returns an error when the thread or its runtime cannot be created.
pub fn spawn(dependencies: Dependencies) -> std::io::Result<Handle> {
    let mut settings = MachineSettings::new(
        dependencies.settings.control_address,
        dependencies.settings.failure_domain.clone(),
    );
    settings.traffic_address = dependencies.settings.peer_address;
    settings.currency_bound = dependencies.settings.currency_bound;
    settings.gossip_interval = dependencies.settings.gossip_interval;
    let machine = Machine::new(settings, rand::random(), SystemClock.now());
    dependencies.recorder.set_instance(machine.instance());
    let view = Arc::clone(machine.view());
    let (views, receiver) = watch::channel(Arc::clone(&view));
    let (requests, inbox) = mpsc::unbounded_channel();
    let handle = Handle {
        requests,
        views: receiver,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let thread_handle = handle.clone();
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            runtime.block_on(run(dependencies, machine, thread_handle, views, inbox));
        })?;
    Ok(handle)
}

async fn run(
    dependencies: Dependencies,
    machine: Machine,
    handle: Handle,
    views: watch::Sender<Arc<View>>,
    mut inbox: mpsc::UnboundedReceiver<Request>,
) {
    let store = Store::new(
        Client::new(dependencies.settings.store),
        dependencies.settings.store_prefix.clone(),
    );
    let methods = instance_rpc::methods(
        &dependencies,
        &handle,
        operator_rpc::methods(&dependencies, &handle, &store),
    );
    let server = match methods
        .and_then(|methods| instance_rpc::serve(dependencies.listener, methods))
    {
        Ok(server) => server,
        Err(error) => {
            log::error!("cannot start the control interface; ending the control thread: {error}");
            return;
        }
    };
    tokio::spawn(platform::watch(
        dependencies.settings.instance_list,
        handle.clone(),
    ));
    let (ready_releases, mut outgoing_releases) = mpsc::unbounded_channel();
    let mut thread = Thread {
        peers: Peers::new(Arc::clone(&dependencies.recorder)),
        recorder: dependencies.recorder,
        leafs: dependencies.leafs,
        last_view: Arc::clone(machine.view()),
        machine,
        handle,
        store,
        views,
        waiting: HashMap::new(),
        ready_releases,
    };
    loop {
        let wakeup = thread.machine.next_wakeup();
        tokio::select! {
            request = inbox.recv() => match request {
                Some(request) => thread.handle_request(request),
                None => break,
            },
            Some((address, message)) = outgoing_releases.recv() => thread.send(address, &message),
            () = tokio::time::sleep_until(wakeup.into()) => thread.input(Input::Tick),
        }
    }
    let _ = server.stop();
}

impl Thread {
    fn handle_request(&mut self, request: Request) {
        match request {
            Request::Input(input) => self.input(*input),
            Request::Operation {
                operation,
                input,
                reply,
            } => {
                self.waiting.entry(operation).or_default().push(reply);
                self.input(*input);
            }
        }
    }

    fn input(&mut self, input: Input) {
        // Reads the wall clock first. If the process is paused between the two reads, deadlines
        // come out earlier, not later.
        let wall = SystemClock.wall();
        let now = SystemClock.now();
        for action in self.machine.handle(input, now, wall) {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::ReadStore {
                request,
                newer_than,
            } => {
                let store = self.store.clone();
                self.spawn(async move { store.read_record(request, newer_than).await });
            }
            Action::ReadFileBody { request, file } => {
                let store = self.store.clone();
                self.spawn(async move { store.read_file(request, file).await });
            }
            Action::WriteFileBody {
                request,
                file,
                text,
            } => {
                let store = self.store.clone();
                self.spawn(async move { store.write_file(request, file, text).await });
            }
            Action::CompareAndSwap {
                request,
                expected,
                record,
            } => {
                let store = self.store.clone();
                self.spawn(async move { store.compare_and_swap(request, expected, record).await });
            }
            Action::SendTo { address, message } => match message {
                Message::Release(release) => {
                    let leafs = Arc::clone(&self.leafs);
                    let ready_releases = self.ready_releases.clone();
                    tokio::spawn(releases::send_when_idle(
                        release,
                        address,
                        leafs,
                        ready_releases,
                    ));
                }
                message => self.send(address, &message),
            },
            Action::PublishView(view) => self.publish(view),
            Action::OperationFinished { operation, result } => {
                for reply in self.waiting.remove(&operation).into_iter().flatten() {
                    let _ = reply.send(result.clone());
                }
            }
            Action::Event { event, .. } => self.record_event(&event),
        }
    }

    /// Starts a call to the key-value service without blocking the loop. Its result becomes an
    /// input of the control state machine.
    fn spawn<F>(&self, call: F)
    where
        F: Future<Output = Input> + Send + 'static,
    {
        let handle = self.handle.clone();
        tokio::spawn(async move { handle.input(call.await) });
    }

    fn send(&mut self, address: SocketAddr, message: &Message) {
        let sender = self.machine.sender();
        self.peers.send(&sender, address, message);
    }

    fn publish(&mut self, view: Arc<View>) {
        self.record_changes(&view);
        #[expect(clippy::cast_precision_loss, reason = "a gauge is a float")]
        let generation = view.generation().0 as f64;
        metrics::gauge!("camphorhold_generation").set(generation);
        let currency = match view.currency {
            Currency::Current => 2.0,
            Currency::Witnessed => 1.0,
            Currency::Lost => 0.0,
        };
        metrics::gauge!("camphorhold_currency").set(currency);
        self.last_view = Arc::clone(&view);
        let _ = self.views.send(view);
    }

    fn record_event(&self, event: &Event) {
        let subject = Subject::default();
        match event {
            Event::Applied(generation) => {
                log::info!("generation {generation} is in force");
                let generation = *generation;
                let kind = Kind::GenerationApplied { generation };
                self.recorder.record(kind, subject);
            }
            Event::Removed { old, new } => {
                log::warn!("removed from the roster as {old}; joining again as {new}");
                self.recorder.set_instance(*new);
            }
            Event::Currency(Currency::Lost) => {
                log::error!("configuration currency lost; refusing new work until it is regained");
                self.recorder.record(Kind::CurrencyLost {}, subject);
            }
            Event::Currency(currency) => {
                log::info!("configuration currency is now {currency:?}");
                self.recorder.record(Kind::CurrencyRegained {}, subject);
            }
            Event::FileRejected(file) => {
                log::error!(
                    "cannot parse file revision {}; keeping the configuration applied before it",
                    file.revision
                );
            }
            Event::FactRejected(error) => log::error!("dropping an oversized fact: {error}"),
        }
    }

    /// Records the changes since the last published view in the timeline.
    fn record_changes(&self, view: &View) {
        if !Arc::ptr_eq(&self.last_view.record, &view.record) {
            self.record_roster_changes(&self.last_view.record, &view.record);
        }
        for leaf in view
            .draining_leafs
            .difference(&self.last_view.draining_leafs)
        {
            let subject = Subject {
                leaf: Some(*leaf),
                ..Subject::default()
            };
            self.recorder.record(Kind::DrainSeen {}, subject);
        }
        for (service, version) in view.revocations.difference(&self.last_view.revocations) {
            let subject = Subject {
                service: Some(service.clone()),
                ..Subject::default()
            };
            let version = version.clone();
            self.recorder.record(Kind::Revoked { version }, subject);
        }
        self.record_domain_changes(view);
    }

    fn record_roster_changes(&self, old: &Record, new: &Record) {
        let listed = |record: &Record| -> Vec<InstanceId> {
            record.roster.iter().map(|member| member.instance).collect()
        };
        let (old, new) = (listed(old), listed(new));
        for member in new.iter().filter(|member| !old.contains(member)) {
            let kind = Kind::MemberAdded { member: *member };
            self.recorder.record(kind, Subject::default());
        }
        for member in old.iter().filter(|member| !new.contains(member)) {
            let kind = Kind::MemberRemoved { member: *member };
            self.recorder.record(kind, Subject::default());
        }
    }

    fn record_domain_changes(&self, view: &View) {
        let (Some(old), Some(new)) = (&self.last_view.file, &view.file) else {
            return;
        };
        for (failure_domain, state) in &new.failure_domains {
            if old.failure_domains.get(failure_domain) == Some(state) {
                continue;
            }
            let kind = if new.in_service(failure_domain) {
                Kind::DomainIn {}
            } else {
                Kind::DomainOut {}
            };
            let subject = Subject {
                failure_domain: Some(failure_domain.clone()),
                ..Subject::default()
            };
            self.recorder.record(kind, subject);
        }
    }
}
