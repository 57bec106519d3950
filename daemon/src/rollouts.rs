//! Rollouts at this instance: chooses the version for each request, counts the outcomes, and drives
//! the rollouts that this instance owns.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;

use camphorhold::coordination::control::Input;
use camphorhold::coordination::gossip::Fact;
use camphorhold::coordination::gossip::MAX_FACT_BYTES;
use camphorhold::coordination::rollout::Plan;
use camphorhold::coordination::rollout::Stage;
use camphorhold::coordination::rollout::conclusion::Conclusion;
use camphorhold::coordination::rollout::conclusion::Observer;
use camphorhold::coordination::rollout::conclusion::View as RolloutView;
use camphorhold::coordination::rollout::driver;
use camphorhold::coordination::rollout::driver::Action;
use camphorhold::coordination::rollout::driver::Driver;
use camphorhold::coordination::rollout::evidence::Pool;
use camphorhold::coordination::rollout::evidence::Recorder as Counter;
use camphorhold::coordination::rollout::evidence::Sample;
use camphorhold::coordination::rollout::share;
use camphorhold::coordination::rollout::share::Side;
use camphorhold::state::event::Subject;
use camphorhold::state::file::File;
use camphorhold::state::file::Rollout;
use camphorhold::state::id::Fingerprint;
use camphorhold::state::id::OperationId;
use camphorhold::state::id::RolloutId;
use camphorhold::state::id::Route;
use camphorhold::state::id::ServiceName;
use camphorhold::state::id::VersionName;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold::state::view::View;

use crate::control::Handle;
use crate::timeline::Recorder;

/// How often the evidence is evaluated. Every instance must stop using a faulty version within 2 s
/// of its first faults; gossip needs the rest of that time to spread the counters and the
/// revocation.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// The version that a request goes to, and the rollout step that its outcome counts for.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The version whose leafs run the request.
    pub version: VersionName,
    /// The rollout step that the outcome counts for; `None` if no rollout concerns the service.
    trial: Option<Trial>,
}

/// One side of one step of a rollout.
#[derive(Clone, Debug)]
struct Trial {
    rollout: RolloutId,
    share_permille: u16,
    side: Side,
}

/// The rollouts of the file in force.
pub struct Rollouts {
    control: Handle,
    recorder: Arc<Recorder>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    running: BTreeMap<RolloutId, Running>,
    counter: Counter,
    /// The sequence number of the counters that [`Self::new_report`] last encoded.
    reported_sequence: u64,
    pool: Pool,
}

struct Running {
    config: Rollout,
    observer: Observer,
    driver: Driver,
    conclusion: Conclusion,
}

impl Rollouts {
    pub fn new(control: Handle, recorder: Arc<Recorder>) -> Self {
        Self {
            control,
            recorder,
            state: Mutex::default(),
        }
    }

    /// Chooses the version for a request: `serving` unless a rollout concerns the service. At a
    /// given share, every instance chooses the same version for requests with equal fingerprints.
    pub fn choose(
        &self,
        view: &View,
        service: &ServiceName,
        serving: &VersionName,
        fingerprint: Fingerprint,
    ) -> Choice {
        let state = self.lock();
        let matching = state
            .running
            .iter()
            .find(|(_, running)| running.config.services.contains(service));
        let Some((rollout, running)) = matching else {
            return Choice {
                version: serving.clone(),
                trial: None,
            };
        };
        let config = &running.config;
        // Read from the view, because the conclusion is only updated at the next tick.
        let revoked = view
            .revocations
            .contains(&(service.clone(), config.to.clone()));
        let share_permille = if revoked {
            0
        } else {
            running.conclusion.share_permille()
        };
        let side = share::side(rollout, &fingerprint.0.to_le_bytes(), share_permille);
        let version = match side {
            Side::Old => &config.from,
            Side::New => &config.to,
        };
        Choice {
            version: version.clone(),
            trial: Some(Trial {
                rollout: rollout.clone(),
                share_permille,
                side,
            }),
        }
    }

    /// Counts the outcome of a request as evidence, if a rollout concerns its service.
    pub fn record(
        &self,
        choice: &Choice,
        service: &ServiceName,
        route: &Route,
        failed: bool,
        latency: Duration,
    ) {
        let Some(trial) = &choice.trial else { return };
        self.lock().counter.record(Sample {
            rollout: &trial.rollout,
            share_permille: trial.share_permille,
            service,
            route,
            side: trial.side,
            failed,
            latency,
        });
    }

    /// Evaluates the evidence and drives the rollouts every [`TICK_INTERVAL`]. Never returns.
    pub async fn run(self: Arc<Self>) {
        loop {
            let view = self.control.view();
            if let Some(file) = &view.file {
                self.tick(&view, file);
            }
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    }

    fn tick(&self, view: &View, file: &File) {
        let wall = SystemClock.wall();
        let mut state = self.lock();
        state.follow_file(file);
        state.collect_evidence(view);
        let actions = state.drive(view, wall);
        let report = state.new_report();
        drop(state);
        for action in actions {
            self.carry_out(action, view);
        }
        if let Some(bytes) = report {
            let instance = view.instance;
            self.control
                .input(Input::FactObserved(Fact::Evidence { instance, bytes }));
        }
        self.retire(view, file);
    }

    fn carry_out(&self, action: Action, view: &View) {
        match action {
            Action::ProposeStage {
                rollout,
                expected,
                stage,
            } => {
                log::info!("rollout {rollout}: proposing stage: {stage}");
                let recorded = view.rollout(&rollout).is_some();
                self.propose(rollout, recorded.then_some(expected), stage);
            }
            Action::Revoke { service, version } => {
                log::warn!("service {service}: version {version} is faulty; revoking it");
                self.control.input(Input::FactObserved(Fact::Revocation {
                    service: service.clone(),
                    version: version.clone(),
                }));
                self.control.input(Input::ProposeRevocation {
                    operation: OperationId(rand::random()),
                    service,
                    version,
                });
            }
            Action::Event { rollout, kind } => {
                let subject = Subject {
                    rollout: Some(rollout),
                    ..Subject::default()
                };
                self.recorder.record(kind, subject);
            }
        }
    }

    fn propose(&self, rollout: RolloutId, expected: Option<Stage>, stage: Stage) {
        self.control.input(Input::ProposeRollout {
            operation: OperationId(rand::random()),
            rollout,
            expected,
            stage,
        });
    }

    /// Proposes to retire the rollouts in the record that the file no longer lists and that this
    /// instance drives.
    fn retire(&self, view: &View, file: &File) {
        let now = SystemClock.now();
        let unlisted = view.record.rollouts.iter();
        let unlisted = unlisted.filter(|(rollout, _)| !file.rollouts.contains_key(*rollout));
        for (rollout, stage) in unlisted {
            if view.may_act(now) && drives(view, rollout) {
                self.propose(rollout.clone(), Some(stage.clone()), Stage::Retired);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Starts the rollouts that the file adds and ends those that it removes. A rollout whose entry
    /// in the file has changed starts again without evidence.
    fn follow_file(&mut self, file: &File) {
        let counter = &mut self.counter;
        self.running.retain(|rollout, running| {
            let kept = file.rollouts.get(rollout) == Some(&running.config);
            if !kept {
                counter.end(rollout);
            }
            kept
        });
        for (rollout, config) in &file.rollouts {
            self.running
                .entry(rollout.clone())
                .or_insert_with(|| Running {
                    config: config.clone(),
                    observer: Observer::default(),
                    driver: Driver::new(Plan::from((rollout, config))),
                    conclusion: Conclusion::Share(0),
                });
        }
    }

    fn collect_evidence(&mut self, view: &View) {
        let live: BTreeSet<_> = view
            .record
            .roster
            .iter()
            .map(|member| member.instance)
            .collect();
        self.pool.retain(&live);
        for (instance, bytes) in view.evidence.iter() {
            match postcard::from_bytes(bytes) {
                Ok(report) => {
                    self.pool.merge(*instance, &report);
                }
                Err(error) => log::debug!("ignoring undecodable evidence of {instance}: {error}"),
            }
        }
        self.pool.merge(view.instance, self.counter.report());
    }

    fn drive(&mut self, view: &View, wall: SystemTime) -> Vec<Action> {
        let current = view.may_act(SystemClock.now());
        let rank = view
            .record
            .roster
            .iter()
            .position(|member| member.instance == view.instance);
        let rank = u32::try_from(rank.unwrap_or_default()).unwrap_or_default();
        let mut actions = Vec::new();
        for (rollout, running) in &mut self.running {
            let to = &running.config.to;
            let revoked = running
                .config
                .services
                .iter()
                .any(|service| view.revocations.contains(&(service.clone(), to.clone())));
            let rollout_view = RolloutView {
                stage: view.rollout(rollout).unwrap_or(&Stage::Pending),
                revoked,
                current,
            };
            running.conclusion =
                running
                    .observer
                    .conclude(rollout_view, running.config.deadline, wall);
            let share_permille = running.conclusion.share_permille();
            self.counter.begin_step(rollout, share_permille);
            actions.extend(running.driver.tick(driver::Input {
                wall,
                view: rollout_view,
                evidence: &self.pool,
                driving: drives(view, rollout),
                rank,
                missed_deadline: running.observer.missed_deadline(),
            }));
        }
        actions
    }

    /// Returns the encoded counters if they have changed since the last call, and `None` if they
    /// have not or if they exceed [`MAX_FACT_BYTES`].
    fn new_report(&mut self) -> Option<Vec<u8>> {
        let report = self.counter.report();
        if report.sequence == self.reported_sequence {
            return None;
        }
        self.reported_sequence = report.sequence;
        let bytes = postcard::to_stdvec(report).ok()?;
        if bytes.len() > MAX_FACT_BYTES {
            log::error!(
                "not spreading rollout evidence: its counters exceed {MAX_FACT_BYTES} bytes"
            );
            return None;
        }
        Some(bytes)
    }
}

/// Returns whether this instance drives the rollout: it owns its name and is ready.
fn drives(view: &View, rollout: &RolloutId) -> bool {
    let owner = view.ownership.name_owner(rollout.as_str());
    owner.is_some_and(|owner| {
        let now = SystemClock.now();
        owner.owner == view.instance && owner.ready_at.is_some_and(|at| at <= now)
    })
}
