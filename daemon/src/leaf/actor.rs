//! The task that handles one leaf: passes inputs to its state machine and carries out the actions.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::call::CallId;
use camphorhold::coordination::call::Caller;
use camphorhold::coordination::call::ConnectionId;
use camphorhold::coordination::dispatch;
use camphorhold::coordination::dispatch::Action;
use camphorhold::coordination::dispatch::Input;
use camphorhold::coordination::dispatch::Leaf;
use camphorhold::coordination::dispatch::Ownership;
use camphorhold::coordination::dispatch::Policy;
use camphorhold::coordination::dispatch::Submission;
use camphorhold::coordination::drain::Signal;
use camphorhold::coordination::drain::Source;
use camphorhold::coordination::warmth;
use camphorhold::protocol::leaf::Search;
use camphorhold::protocol::leaf::SearchAnswer;
use camphorhold::protocol::leaf::Status;
use camphorhold::protocol::peer::CallResult;
use camphorhold::protocol::peer::Failure;
use camphorhold::protocol::peer::Query;
use camphorhold::state::file::File;
use camphorhold::state::id::LeafId;
use camphorhold::state::id::PartitionId;
use camphorhold::state::id::Route;
use camphorhold::state::id::ServerIncarnation;
use camphorhold::state::id::ServiceName;
use camphorhold::state::id::ShardId;
use camphorhold::state::id::VersionName;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold::state::time::from_unix_millis;
use camphorhold::state::time::unix_millis;
use camphorhold::state::view::View;
use tokio::sync::mpsc;
use tokio::sync::watch;

use super::connection;
use super::connection::ConnectionCommand;
use super::connection::Event;
use super::leaf_timeline::LeafTimeline;
use super::observation::Observation;
use super::translate::failure;
use super::translate::refusal;
use super::translate::status;
use super::translate::temperature;
use crate::baseline::Baseline;
use crate::timeline::Recorder;

/// How often the state machine gets a tick while calls wait or are in flight.
const BUSY_TICK: Duration = Duration::from_millis(5);

/// How often the state machine gets a tick while it is idle.
const IDLE_TICK: Duration = Duration::from_millis(250);

/// How often an unchanged status of the leaf is reported again. The shared status of a leaf expires
/// after ten minutes unless renewed. With 9,100 leafs, a shorter interval would exceed the control
/// budget.
const STATUS_RENEWAL_INTERVAL: Duration = Duration::from_mins(4);

/// What a leaf serves.
#[derive(Clone, Debug)]
pub struct Target {
    pub service: ServiceName,
    pub version: VersionName,
    pub shard: ShardId,
    pub partition: PartitionId,
    /// The route of status requests.
    pub status_route: Route,
}

/// A leaf call to run.
pub struct Job {
    /// The query that the call is part of.
    pub query: Arc<Query>,
    /// The shard that the caller expects the leaf to hold.
    pub shard: ShardId,
    /// The id to put into the result, chosen by the requester.
    pub reply_id: u64,
    /// The channel for the result.
    pub reply: mpsc::UnboundedSender<CallResult>,
}

/// An input of the actor, from the pool or from the task of a connection.
pub enum Command {
    /// Runs a call.
    Submit(CallId, Caller, Job),
    /// The requester no longer wants the result of a call.
    Cancel(CallId),
    /// A connection reports an event.
    Connection(ConnectionId, Event),
}

/// The state of a leaf as the rest of the process sees it, updated after each input of the actor.
#[derive(Clone, Copy, Debug, Default)]
pub struct State {
    pub warmth: warmth::State,
    pub in_flight: u32,
    pub limit: u32,
}

/// Commands that the actor had not handled when it ended.
pub struct UnhandledCommands(mpsc::UnboundedReceiver<Command>);

impl UnhandledCommands {
    /// Fails the calls among them with [`Failure::NotOwner`]. None of them was sent to the leaf.
    pub fn refuse(mut self) {
        self.0.close();
        while let Ok(command) = self.0.try_recv() {
            if let Command::Submit(_, _, job) = command {
                reply(&job, Duration::ZERO, Err(Failure::NotOwner));
            }
        }
    }
}

/// Channels and shared state that connect an actor to the rest of the process.
pub struct Environment {
    pub leaf: LeafId,
    pub commands: mpsc::UnboundedSender<Command>,
    pub inbox: mpsc::UnboundedReceiver<Command>,
    pub views: watch::Receiver<Arc<View>>,
    pub observations: mpsc::UnboundedSender<Observation>,
    pub state: Arc<Mutex<State>>,
    pub recorder: Arc<Recorder>,
}

struct Actor {
    leaf: LeafId,
    commands: mpsc::UnboundedSender<Command>,
    observations: mpsc::UnboundedSender<Observation>,
    machine: Leaf,
    target: Arc<Target>,
    file: Option<Arc<File>>,
    jobs: HashMap<CallId, PendingJob>,
    connections: HashMap<ConnectionId, mpsc::UnboundedSender<ConnectionCommand>>,
    /// The answer that the state machine is handling, for [`Action::Complete`].
    answer: Option<Box<SearchAnswer>>,
    /// The last reported status and the time of the report.
    last_status: Option<(Observation, Instant)>,
    /// Whether the latest view lists the leaf as draining.
    drain_spread: bool,
    actions: Vec<Action>,
    state: Arc<Mutex<State>>,
    timeline: LeafTimeline,
}

/// A job without a result yet. `written` is the time when its call was passed to a connection.
struct PendingJob {
    job: Job,
    submitted: Instant,
    written: Option<Instant>,
}

/// Runs until this instance does not own the leaf, has no connection to it and none of its calls
/// can still run there.
pub async fn run(environment: Environment, target: Target, policy: Policy) -> UnhandledCommands {
    let Environment {
        leaf,
        commands,
        mut inbox,
        mut views,
        observations,
        state,
        recorder,
    } = environment;
    let timeline = LeafTimeline::new(recorder, target.service.clone(), leaf);
    let mut actor = Actor {
        leaf,
        commands,
        observations,
        machine: Leaf::new(policy),
        target: Arc::new(target),
        file: None,
        jobs: HashMap::new(),
        connections: HashMap::new(),
        answer: None,
        last_status: None,
        drain_spread: false,
        actions: Vec::new(),
        state,
        timeline,
    };
    let mut owned = actor.apply_view(&views.borrow_and_update().clone());
    while owned || actor.is_busy() {
        let tick = if actor.machine.is_idle() {
            IDLE_TICK
        } else {
            BUSY_TICK
        };
        tokio::select! {
            Some(command) = inbox.recv() => actor.on_command(command),
            Ok(()) = views.changed() => {
                let view = views.borrow_and_update().clone();
                owned = actor.apply_view(&view);
            }
            () = tokio::time::sleep(tick) => actor.input(Input::Tick),
        }
    }
    UnhandledCommands(inbox)
}

impl Actor {
    /// Returns whether calls of this instance may still run at the leaf. Calls whose connection was
    /// lost count until their deadline: the server may still run them, and the next owner must not
    /// send calls at the same time.
    fn is_busy(&self) -> bool {
        !self.connections.is_empty() || !self.jobs.is_empty() || !self.machine.is_idle()
    }

    fn on_command(&mut self, command: Command) {
        match command {
            Command::Submit(call, caller, job) => self.submit(call, caller, job),
            Command::Cancel(call) => self.input(Input::CallerCancelled { call }),
            Command::Connection(connection, event) => self.on_event(connection, event),
        }
    }

    fn submit(&mut self, call: CallId, caller: Caller, job: Job) {
        if job.shard != self.target.shard || job.query.version != self.target.version {
            reply(&job, Duration::ZERO, Err(Failure::WrongSnapshot));
            return;
        }
        let submission = Submission {
            call,
            caller,
            deadline: from_unix_millis(job.query.deadline_unix_ms),
            idempotent: job.query.idempotency_key.is_none(),
        };
        let pending = PendingJob {
            job,
            submitted: SystemClock.now(),
            written: None,
        };
        self.jobs.insert(call, pending);
        self.input(Input::Submit(submission));
    }

    /// Applies a view of the control thread. Returns whether this instance owns the leaf.
    fn apply_view(&mut self, view: &View) -> bool {
        if let Some(file) = &view.file
            && !self
                .file
                .as_ref()
                .is_some_and(|known| Arc::ptr_eq(known, file))
        {
            self.file = Some(Arc::clone(file));
            self.apply_file(&Arc::clone(file));
        }
        self.apply_drain(view.draining_leafs.contains(&self.leaf));
        let assignment = view.ownership.leaf(self.leaf);
        let every_instance_connects = Baseline::EveryInstanceConnects.is_chosen();
        let owned = assignment
            .is_some_and(|assignment| every_instance_connects || assignment.owner == view.instance);
        let now = SystemClock.now();
        let ownership = match view.valid_until {
            Some(valid_until)
                if owned && (every_instance_connects || view.ownership.ready(self.leaf, now)) =>
            {
                Ownership::Held { valid_until }
            }
            _ if owned => Ownership::Waiting,
            _ => Ownership::NotOwned,
        };
        self.input(Input::Ownership(ownership));
        self.timeline
            .ownership(matches!(ownership, Ownership::Held { .. }), owned);
        owned
    }

    /// Applies the shared state of the leaf's drain when it changes. A drain signal received by
    /// this instance itself stays in force until the shared state has included it and then dropped
    /// it.
    fn apply_drain(&mut self, draining: bool) {
        if draining != self.drain_spread {
            self.drain_spread = draining;
            let signal = if draining {
                Signal::Leaving(Source::Server)
            } else {
                Signal::Returned(Source::Server)
            };
            self.input(Input::Drain(signal));
        }
    }

    fn apply_file(&mut self, file: &File) {
        let leaf = file.leafs().find(|(_, _, leaf)| leaf.id == self.leaf);
        let leaving =
            leaf.is_none_or(|(_, _, leaf)| leaf.leaving || !file.in_service(&leaf.failure_domain));
        let signal = if leaving {
            Signal::Leaving(Source::File)
        } else {
            Signal::Returned(Source::File)
        };
        self.input(Input::Drain(signal));
        if let Some(service) = file.services.get(&self.target.service) {
            self.input(Input::PolicyChanged(service.into()));
        }
    }

    fn on_event(&mut self, connection: ConnectionId, event: Event) {
        match event {
            Event::Opened => self.input(Input::ConnectionOpened { connection }),
            Event::Failed => {
                self.connections.remove(&connection);
                self.input(Input::ConnectionFailed { connection });
            }
            Event::Lost => {
                if self.connections.remove(&connection).is_some() {
                    self.timeline.connection_lost();
                }
                self.input(Input::ConnectionLost { connection });
            }
            Event::LostUnsent(call) => {
                self.connections.remove(&connection);
                self.input(Input::NotWritten { connection, call });
            }
            Event::CancelAnswered => self.input(Input::CancelAnswered { connection }),
            Event::Status(answer) => {
                self.observe(&answer);
                if answer.status == Status::Draining {
                    self.input(Input::Drain(Signal::Leaving(Source::Server)));
                }
            }
            Event::Answered(answer) => self.on_answer(connection, answer),
        }
    }

    fn on_answer(&mut self, connection: ConnectionId, answer: Box<SearchAnswer>) {
        self.observe(&answer);
        // An answer without a valid call id gets one that no call has, and so counts as mismatched.
        let call = CallId(answer.correlation.parse().unwrap_or(u64::MAX));
        let input = dispatch::Answer {
            connection,
            call,
            status: status(answer.status),
            incarnation: ServerIncarnation(answer.incarnation),
            temperature: temperature(answer.temperature),
            whole: answer.complete,
            holds: answer.holds.as_slice().into(),
        };
        self.answer = Some(answer);
        self.input(Input::Answered(input));
        self.answer = None;
    }

    /// Reports the status of the leaf if it has changed or its renewal is due.
    fn observe(&mut self, answer: &SearchAnswer) {
        let observation = Observation::new(self.leaf, answer);
        let now = SystemClock.now();
        let already_reported = self.last_status.as_ref().is_some_and(|(last, at)| {
            *last == observation && now.saturating_duration_since(*at) < STATUS_RENEWAL_INTERVAL
        });
        if !already_reported {
            self.last_status = Some((observation.clone(), now));
            let _ = self.observations.send(observation);
        }
    }

    fn input(&mut self, input: Input) {
        // The wall clock is read first, so that a pause between the two readings makes the
        // deadlines sent to the leaf earlier, not later.
        let wall = SystemClock.wall();
        let now = SystemClock.now();
        let mut actions = std::mem::take(&mut self.actions);
        self.machine.handle(input, now, wall, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(&action);
        }
        self.actions = actions;
        self.timeline.warmth(self.machine.warmth().state());
        *self.state.lock().unwrap_or_else(PoisonError::into_inner) = State {
            warmth: self.machine.warmth().state(),
            in_flight: self.machine.in_flight(),
            limit: self.machine.warmth().limit(now),
        };
    }

    fn carry_out(&mut self, action: &Action) {
        match *action {
            Action::Write {
                connection,
                call,
                deadline,
            } => {
                if let Some(pending) = self.jobs.get_mut(&call) {
                    pending.written = Some(SystemClock.now());
                }
                let search = self.search(call, unix_millis(deadline));
                if let (Some(search), Some(commands)) = (search, self.connections.get(&connection))
                {
                    metrics::counter!("camphorhold_leaf_calls_total").increment(1);
                    let _ = commands.send(ConnectionCommand::Search(call, Box::new(search)));
                }
            }
            Action::Complete { call, .. } => {
                let answer = self.answer.take();
                self.finish(
                    call,
                    answer.map_or(Err(Failure::Invalid), |answer| Ok(*answer)),
                );
            }
            Action::Refuse { call, reason } => {
                metrics::counter!("camphorhold_leaf_refusals_total").increment(1);
                self.finish(call, Err(refusal(reason)));
            }
            Action::Fail { call, cause } => self.finish(call, Err(failure(cause))),
            Action::SuspectCrash { call } => {
                log::warn!(
                    "leaf {}: connection lost while call {call} may have run; suspecting a crash",
                    self.leaf
                );
                metrics::counter!("camphorhold_leaf_crash_suspicions_total").increment(1);
            }
            Action::OpenConnection { connection } => self.open(connection),
            Action::CloseConnection { connection } => {
                // Closing the channel ends the task of the connection, which reports `Event::Lost`.
                self.connections.remove(&connection);
            }
            Action::CancelAtServer { connection, call } => {
                if let Some(commands) = self.connections.get(&connection) {
                    let _ = commands.send(ConnectionCommand::Cancel(call));
                }
            }
            Action::Observed { .. } => {}
        }
    }

    fn open(&mut self, connection: ConnectionId) {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.connections.insert(connection, sender);
        metrics::counter!("camphorhold_leaf_connections_opened_total").increment(1);
        tokio::spawn(connection::run(
            connection,
            self.leaf,
            Arc::clone(&self.target),
            receiver,
            self.commands.clone(),
        ));
    }

    fn search(&self, call: CallId, deadline_unix_ms: u64) -> Option<Search> {
        let query = &self.jobs.get(&call)?.job.query;
        Some(Search {
            correlation: call.to_string().into(),
            request_id: query.request_id,
            service: query.service.clone(),
            version: query.version.clone(),
            route: query.route.clone(),
            shard: self.target.shard,
            snapshot: query.snapshot,
            partition: query.partition,
            query: query.query.clone(),
            deadline_unix_ms,
            idempotency_key: query.idempotency_key.clone(),
        })
    }

    fn finish(&mut self, call: CallId, result: Result<SearchAnswer, Failure>) {
        if let Some(pending) = self.jobs.remove(&call) {
            let written = pending.written.unwrap_or_else(|| SystemClock.now());
            let queued = written.saturating_duration_since(pending.submitted);
            reply(&pending.job, queued, result);
        }
    }
}

fn reply(job: &Job, queued: Duration, result: Result<SearchAnswer, Failure>) {
    // Sending fails if the requester no longer waits for the result.
    let _ = job.reply.send(CallResult {
        id: job.reply_id,
        queued_us: u32::try_from(queued.as_micros()).unwrap_or(u32::MAX),
        result,
    });
}
