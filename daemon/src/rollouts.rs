//! Rollouts at this instance: which version a request goes to, what came of it, and the driver.

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

/// How often the evidence is looked at. Every instance must stop using a version 2 s after its
/// faults show; spreading the counters and the revocation by gossip takes the rest of that time.
const TICK: Duration = Duration::from_millis(200);

/// The version that a request goes to, and what its outcome is evidence for.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The version.
    pub version: VersionName,
    trial: Option<Trial>,
}

#[derive(Clone, Debug)]
struct Trial {
    rollout: RolloutId,
    share_permille: u16,
    side: Side,
}

/// All rollouts of the file in force.
pub struct Rollouts {
    control: Handle,
    recorder: Arc<Recorder>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    running: BTreeMap<RolloutId, Running>,
    counter: Counter,
    reported: u64,
    pool: Pool,
}

struct Running {
    wanted: Rollout,
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

    /// Chooses the version for a request. Requests with equal fingerprints go to the same version
    /// at every instance.
    pub fn choose(
        &self,
        view: &View,
        service: &ServiceName,
        serving: &VersionName,
        fingerprint: Fingerprint,
    ) -> Choice {
        let state = self.lock();
        let concerned = state
            .running
            .iter()
            .find(|(_, running)| running.wanted.services.contains(service));
        let Some((rollout, running)) = concerned else {
            return Choice {
                version: serving.clone(),
                trial: None,
            };
        };
        let wanted = &running.wanted;
        // Looked up in the view itself, so that a revocation counts from the moment it arrives.
        let revoked = view
            .revocations
            .contains(&(service.clone(), wanted.to.clone()));
        let share_permille = if revoked {
            0
        } else {
            running.conclusion.share_permille()
        };
        let side = share::side(rollout, &fingerprint.0.to_le_bytes(), share_permille);
        let version = match side {
            Side::Old => &wanted.from,
            Side::New => &wanted.to,
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

    /// Notes what came of a request.
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

    /// Concludes and drives, for as long as the process lives.
    pub async fn run(self: Arc<Self>) {
        loop {
            let view = self.control.view();
            if let Some(file) = &view.file {
                self.tick(&view, file);
            }
            tokio::time::sleep(TICK).await;
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
                log::info!("rollout {rollout}: proposing {stage}");
                let recorded = view.rollout(&rollout).is_some();
                self.propose(rollout, recorded.then_some(expected), stage);
            }
            Action::Revoke { service, version } => {
                log::warn!("service {service}: version {version} shows faults and is revoked");
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

    /// Removes rollouts from the record that the file no longer lists.
    fn retire(&self, view: &View, file: &File) {
        let now = SystemClock.now();
        let left_over = view.record.rollouts.iter();
        let left_over = left_over.filter(|(rollout, _)| !file.rollouts.contains_key(*rollout));
        for (rollout, stage) in left_over {
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
    /// Starts and ends rollouts as the file says. One whose wish changed starts anew.
    fn follow_file(&mut self, file: &File) {
        let counter = &mut self.counter;
        self.running.retain(|rollout, running| {
            let kept = file.rollouts.get(rollout) == Some(&running.wanted);
            if !kept {
                counter.end(rollout);
            }
            kept
        });
        for (rollout, wanted) in &file.rollouts {
            self.running
                .entry(rollout.clone())
                .or_insert_with(|| Running {
                    wanted: wanted.clone(),
                    observer: Observer::default(),
                    driver: Driver::new(Plan::from((rollout, wanted))),
                    conclusion: Conclusion::Share(0),
                });
        }
    }

    fn collect_evidence(&mut self, view: &View) {
        let live: BTreeSet<_> = view.record.roster.iter().map(|one| one.instance).collect();
        self.pool.retain(&live);
        for (instance, bytes) in view.evidence.iter() {
            match postcard::from_bytes(bytes) {
                Ok(report) => {
                    self.pool.merge(*instance, &report);
                }
                Err(error) => log::debug!("evidence of {instance} cannot be decoded: {error}"),
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
            let to = &running.wanted.to;
            let revoked = running
                .wanted
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
                    .conclude(rollout_view, running.wanted.deadline, wall);
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

    /// Returns the counters if they changed since they were last returned.
    fn new_report(&mut self) -> Option<Vec<u8>> {
        let report = self.counter.report();
        if report.sequence == self.reported {
            return None;
        }
        self.reported = report.sequence;
        let bytes = postcard::to_stdvec(report).ok()?;
        if bytes.len() > MAX_FACT_BYTES {
            log::error!("too many rollouts at once: their counters exceed {MAX_FACT_BYTES} bytes");
            return None;
        }
        Some(bytes)
    }
}

/// Tells whether this instance drives the rollout.
fn drives(view: &View, rollout: &RolloutId) -> bool {
    let owner = view.ownership.name_owner(rollout.as_str());
    owner.is_some_and(|owner| {
        let now = SystemClock.now();
        owner.owner == view.instance && owner.ready_at.is_some_and(|at| at <= now)
    })
}
