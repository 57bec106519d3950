//! Several instances that run one rollout under a virtual clock, with delayed messages, lost
//! proposals, pauses, restarts, changes of the driving instance and outages of the store. The
//! checks are in [`Oracle`].

mod instance;
mod oracle;
mod scenario;

use std::collections::BTreeSet;
use std::str::FromStr;
use std::time::Duration;

use camphorhold::coordination::rollout::Plan;
use camphorhold::coordination::rollout::Stage;
use camphorhold::coordination::rollout::conclusion::Conclusion;
use camphorhold::coordination::rollout::conclusion::Observer;
use camphorhold::coordination::rollout::conclusion::View;
use camphorhold::coordination::rollout::driver::Action;
use camphorhold::coordination::rollout::driver::Driver;
use camphorhold::coordination::rollout::driver::Input;
use camphorhold::coordination::rollout::evidence::Pool;
use camphorhold::coordination::rollout::evidence::Recorder;
use camphorhold::coordination::rollout::evidence::Sample;
use camphorhold::coordination::rollout::share::Side;
use camphorhold::coordination::rollout::share::side;
use camphorhold::state::id::InstanceId;
use camphorhold::state::id::Route;
use camphorhold::state::id::ServiceName;
use camphorhold::state::time::from_unix_millis;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::RngCore;
use rand_chacha::rand_core::SeedableRng;

use self::instance::Instance;
use self::instance::Message;
use self::instance::Record;
use self::oracle::Oracle;
pub use self::scenario::Behaviour;
pub use self::scenario::Fault;
pub use self::scenario::Scenario;

/// The length of a step of the virtual clock, in milliseconds.
pub const TICK_MS: u64 = 500;

/// How long a run continues after the deadline, in milliseconds.
pub const AFTER_DEADLINE_MS: u64 = 60_000;

const START_MS: u64 = 1_000_000;
const CURRENCY_BOUND_MS: u64 = 3_000;
const MAX_GOSSIP_DELAY_MS: u64 = 1_000;

fn name<T: FromStr>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|_| panic!("{text:?} is a valid name"))
}

/// A proposed stage that has not reached the store.
struct Proposal {
    /// When the proposal reaches the store.
    arrives_at: u64,
    /// The generation of the record that the proposal is based on. The store rejects the proposal
    /// if it holds another one.
    base: u64,
    stage: Stage,
}

/// The state of a run.
pub struct World {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: u64,
    plan: Plan,
    store: Record,
    store_down_until: u64,
    instances: Vec<Instance>,
    proposals: Vec<Proposal>,
    service: ServiceName,
    routes: [Route; 2],
    oracle: Oracle,
}

impl World {
    /// Runs a scenario to its end and returns the last stage in the store.
    ///
    /// # Errors
    ///
    /// Returns the first violated check.
    pub fn run(scenario: Scenario) -> Result<Stage, String> {
        let mut world = Self::new(scenario);
        let end = START_MS + world.scenario.deadline_s * 1_000 + AFTER_DEADLINE_MS;
        while world.now < end {
            world.tick()?;
        }
        world.oracle.at_end(&world.store.stage)?;
        Ok(world.store.stage)
    }

    fn new(scenario: Scenario) -> Self {
        let deadline_ms = START_MS + scenario.deadline_s * 1_000;
        let service: ServiceName = name("round-app");
        let plan = Plan {
            rollout: name(&format!("move-{}", scenario.seed % 1_000)),
            services: vec![service.clone()],
            to: name("v2"),
            deadline: from_unix_millis(deadline_ms),
        };
        let store = Record {
            generation: 1,
            stage: Stage::Pending,
            driver: 0,
            revoked: false,
        };
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            now: START_MS,
            store,
            store_down_until: 0,
            instances: Vec::new(),
            proposals: Vec::new(),
            service,
            routes: [name("a"), name("b")],
            oracle: Oracle::new(deadline_ms),
            plan,
            scenario,
        };
        for _ in 0..world.scenario.instances {
            let instance = world.new_instance();
            world.instances.push(instance);
        }
        world
    }

    fn new_instance(&mut self) -> Instance {
        let delay = self.below(MAX_GOSSIP_DELAY_MS);
        Instance {
            id: InstanceId(self.rng.next_u64()),
            clock_offset_ms: self.below(100),
            record: None,
            revoked: false,
            observer: Observer::default(),
            driver: Driver::new(self.plan.clone()),
            recorder: Recorder::default(),
            pool: Pool::default(),
            inbox: vec![(self.now + delay, Message::Record(self.store.clone()))],
            confirmed_at: 0,
            paused_until: 0,
        }
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.below(100) < u64::from(percent)
    }

    fn tick(&mut self) -> Result<(), String> {
        self.now += TICK_MS;
        self.inject_faults();
        self.apply_proposals();
        self.oracle.note_accepted(self.now, &self.store.stage);
        let mut conclusions = Vec::new();
        for index in 0..self.instances.len() {
            if self.now < self.instances[index].paused_until {
                continue;
            }
            if let Some(conclusion) = self.run_instance(index)? {
                conclusions.push(conclusion);
            }
        }
        self.oracle.check_conclusions(self.now, &conclusions)
    }

    fn inject_faults(&mut self) {
        let elapsed_s = (self.now - START_MS) / 1_000;
        let due = |(at, _): &(u64, Fault)| *at <= elapsed_s;
        let faults: Vec<Fault> = self
            .scenario
            .faults
            .iter()
            .filter(|f| due(f))
            .map(|f| f.1)
            .collect();
        self.scenario.faults.retain(|fault| !due(fault));
        for fault in faults {
            let count = self.instances.len();
            match fault {
                Fault::Pause { instance, seconds } => {
                    self.instances[instance % count].paused_until = self.now + seconds * 1_000;
                }
                Fault::Restart { instance } => {
                    self.instances[instance % count] = self.new_instance();
                    let live: BTreeSet<InstanceId> = self.instances.iter().map(|i| i.id).collect();
                    for other in &mut self.instances {
                        other.pool.retain(&live);
                    }
                }
                Fault::StoreDown { seconds } => {
                    self.store_down_until = self.now + seconds * 1_000;
                }
                // While the store is down, no other operation can change the record either.
                _ if self.now < self.store_down_until => {}
                Fault::MoveDriver { to } => {
                    self.store.driver = to % count;
                    self.accept(self.store.stage.clone());
                }
                Fault::OtherChange => self.accept(self.store.stage.clone()),
            }
        }
    }

    fn accept(&mut self, stage: Stage) {
        self.store.generation += 1;
        self.store.stage = stage;
        let record = self.store.clone();
        self.broadcast(&Message::Record(record), None);
    }

    fn broadcast(&mut self, message: &Message, except: Option<usize>) {
        for index in 0..self.instances.len() {
            let due = self.now + self.below(MAX_GOSSIP_DELAY_MS);
            if Some(index) != except {
                self.instances[index].inbox.push((due, message.clone()));
            }
        }
    }

    fn apply_proposals(&mut self) {
        let now = self.now;
        let (arrived, waiting): (Vec<Proposal>, Vec<Proposal>) =
            std::mem::take(&mut self.proposals)
                .into_iter()
                .partition(|p| p.arrives_at <= now);
        self.proposals = waiting;
        for proposal in arrived {
            if proposal.base == self.store.generation && now >= self.store_down_until {
                self.accept(proposal.stage);
            }
        }
    }

    fn run_instance(&mut self, index: usize) -> Result<Option<Conclusion>, String> {
        let now = self.now;
        let instance = &mut self.instances[index];
        let confirmed_at = std::mem::replace(&mut instance.confirmed_at, now);
        let current = now < confirmed_at + CURRENCY_BOUND_MS;
        instance.receive(now);
        let Some(record) = instance.record.clone() else {
            return Ok(None);
        };
        let wall = from_unix_millis(now + instance.clock_offset_ms);
        let view = View {
            stage: &record.stage,
            revoked: instance.revoked,
            current,
        };
        let conclusion = instance.observer.conclude(view, self.plan.deadline, wall);
        let input = Input {
            wall,
            view,
            evidence: &instance.pool,
            driving: record.driver == index,
            rank: u32::try_from(index).unwrap_or(u32::MAX),
            missed_deadline: instance.observer.missed_deadline(),
        };
        let actions = instance.driver.tick(input);
        instance
            .recorder
            .begin_step(&self.plan.rollout, conclusion.share_permille());
        self.execute(index, record.generation, actions);
        if !current {
            return Ok(None);
        }
        self.serve(index, conclusion)?;
        self.gossip(index);
        Ok(Some(conclusion))
    }

    fn execute(&mut self, index: usize, base: u64, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::ProposeStage { stage, .. } => {
                    self.oracle.note_proposal(self.now, &stage);
                    let slow = self.chance(5);
                    let delay = self.below(if slow { 10_000 } else { 1_500 });
                    if !self.chance(self.scenario.lost_percent) {
                        self.proposals.push(Proposal {
                            arrives_at: self.now + delay,
                            base,
                            stage,
                        });
                    }
                }
                Action::Revoke { .. } => {
                    self.oracle.note_revocation(self.now);
                    self.store.revoked = true;
                    self.instances[index].revoked = true;
                    self.broadcast(&Message::Revoked, Some(index));
                }
                Action::Event { .. } => {}
            }
        }
    }

    fn serve(&mut self, index: usize, conclusion: Conclusion) -> Result<(), String> {
        let share = conclusion.share_permille();
        let per_tick =
            u64::from(self.scenario.requests_per_second) * TICK_MS / self.instances.len() as u64;
        let requests = per_tick / 1_000 + u64::from(self.below(1_000) < per_tick % 1_000);
        for _ in 0..requests {
            let key = self.rng.next_u64().to_be_bytes();
            let side = side(&self.plan.rollout, &key, share);
            self.oracle
                .check_request(self.now, &self.plan.rollout, &key, side)?;
            let second_route = self.chance(30);
            let (failed, latency) = self.outcome(side, second_route, share);
            let sample = Sample {
                rollout: &self.plan.rollout,
                share_permille: share,
                service: &self.service,
                route: &self.routes[usize::from(second_route)],
                side,
                failed,
                latency,
            };
            self.instances[index].recorder.record(sample);
        }
        Ok(())
    }

    fn outcome(&mut self, side: Side, second_route: bool, share: u16) -> (bool, Duration) {
        let elapsed_s = (self.now - START_MS) / 1_000;
        let (percent, slow) = match self.scenario.behaviour {
            _ if side == Side::Old => (0, false),
            Behaviour::FailsAtOnce { percent } => (percent, false),
            Behaviour::FailsLater { percent, after_s } if elapsed_s >= after_s => (percent, false),
            Behaviour::SlowAtOnce => (0, true),
            Behaviour::SlowLater { after_s } if elapsed_s >= after_s => (0, true),
            Behaviour::FailsAboveShare {
                percent,
                share_permille,
            } if share >= share_permille => (percent, false),
            Behaviour::FailsOnOneRoute { percent } if second_route => (percent, false),
            _ => (0, false),
        };
        // Both versions fail in 1 of 200 requests.
        let failed = self.below(200) == 0 || self.chance(percent);
        let draw = self.below(1_000);
        let microseconds = 5_000 + draw * draw * draw / 50_000;
        let factor = if slow { 4 } else { 1 };
        (failed, Duration::from_micros(microseconds * factor))
    }

    fn gossip(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        let (id, report) = (instance.id, instance.recorder.report().clone());
        if !instance.pool.merge(id, &report) {
            return;
        }
        self.broadcast(&Message::Report(id, report), Some(index));
    }
}
