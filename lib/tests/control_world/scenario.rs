//! Transitions of a test case, and the checks at its end.

use std::time::Duration;

use camphorhold::coordination::control::Input;
use camphorhold::coordination::control::Machine;
use camphorhold::coordination::control::Mutation;
use camphorhold::state::rollout::Reason;
use camphorhold::state::rollout::Stage;
use camphorhold::state::view::Phase;
use proptest::collection::vec;
use proptest::prelude::*;

use super::List;
use super::World;
use super::facts;
use super::network::STORE;
use super::oracle::Violation;
pub use super::store::Mode;

/// After all faults have ended, the roster contains exactly the live instances and all act on it
/// within this time. In seconds, the sum is the lag of the platform's list, the bootstrap wait, the
/// currency bound for witnesses that terminated, probing and suspicion, the delay of the last of
/// seven ranks, and the spread of the last change.
pub const HEAL_BOUND: Duration = Duration::from_secs(3 + 10 + 4 + 4 + 7 + 5);

/// After all faults have ended, every instance has the facts of all others within this time: each
/// instance opens an exchange every 200 ms, and several rounds with all others fit in.
pub const FACT_BOUND: Duration = Duration::from_secs(10);

/// The largest number of instances. In a fleet of more than 15, some are not witnesses.
pub const MAX_INSTANCES: usize = 17;

/// An outage counts as the only fault if there was no fault for this time before it.
const MIN_UNDISTURBED: Duration = Duration::from_secs(12);

/// An event of a test case. Node numbers are taken modulo the number of nodes.
#[derive(Clone, Debug)]
pub enum Transition {
    /// Advances virtual time by this many milliseconds.
    Run(u64),
    Kill(usize),
    Start(usize),
    /// Ends the process and starts another one at a new address.
    Replace(usize),
    List(List),
    Freeze(usize),
    Resume(usize),
    Shutdown(usize),
    /// Cuts the network from one node to another, or in both directions.
    Cut {
        from: usize,
        to: usize,
        both: bool,
    },
    /// Cuts requests of an instance to the store, answers to it, or both.
    CutStore {
        node: usize,
        requests: bool,
        answers: bool,
    },
    /// Cuts the network between the nodes below the number and the others.
    Split(usize),
    /// Cuts as `Split` does, and also cuts the higher nodes off from the store.
    SplitFromStore(usize),
    Network {
        loss_percent: u32,
        duplicate_percent: u32,
        delay_ms: u64,
    },
    Store(Mode),
    /// Applies a file. The number of the operation also selects the variant of the file.
    Apply {
        node: usize,
        operation: u8,
    },
    /// Proposes a step of the rollout, with the stage in the instance's view as the expected one.
    Rollout {
        node: usize,
        step: u8,
    },
    /// Two instances propose different steps at the same time, possibly with the same expected
    /// stage.
    RacingRollouts {
        nodes: (usize, usize),
        steps: (u8, u8),
    },
    Revoke {
        node: usize,
        version: u8,
    },
    /// Lets an instance observe the fact with the number.
    Fact {
        node: usize,
        fact: u8,
    },
    /// Steps the wall clock of an instance by this many milliseconds.
    StepWallClock {
        node: usize,
        millis: i64,
    },
    /// Ends the faults of the network, the store and the platform's list. Processes stay as they
    /// are.
    Heal,
    /// Ends all faults, and checks that the fleet converges. See [`World::heal_and_settle`].
    HealAndSettle,
}

/// Returns the stage of a rollout step: completed, taken back, or running with a share by the
/// number.
fn stage(step: u8) -> Stage {
    match step {
        0 => Stage::Completed,
        1 => Stage::TakenBack {
            reason: Reason::Deadline,
        },
        _ => Stage::Running {
            share_permille: u16::from(step),
            since_unix_ms: 0,
        },
    }
}

pub fn transition() -> impl Strategy<Value = Transition> {
    let node = || 0..MAX_INSTANCES;
    prop_oneof![
        3 => (5..500_u64).prop_map(Transition::Run),
        10 => (500..5000_u64).prop_map(Transition::Run),
        2 => node().prop_map(Transition::Kill),
        3 => node().prop_map(Transition::Start),
        2 => node().prop_map(Transition::Replace),
        2 => prop_oneof![
            3 => (0..6_usize).prop_map(List::Lags),
            1 => Just(List::Unreadable),
            1 => Just(List::Empty),
        ]
        .prop_map(Transition::List),
        2 => node().prop_map(Transition::Freeze),
        3 => node().prop_map(Transition::Resume),
        1 => node().prop_map(Transition::Shutdown),
        2 => (node(), node(), any::<bool>())
            .prop_map(|(from, to, both)| Transition::Cut { from, to, both }),
        1 => (node(), any::<bool>(), any::<bool>()).prop_map(|(node, requests, answers)| {
            Transition::CutStore { node, requests, answers }
        }),
        1 => (1..MAX_INSTANCES).prop_map(Transition::Split),
        2 => (1..MAX_INSTANCES).prop_map(Transition::SplitFromStore),
        1 => (0..30_u32, 0..30_u32, 0..3000_u64).prop_map(
            |(loss_percent, duplicate_percent, delay_ms)| Transition::Network {
                loss_percent,
                duplicate_percent,
                delay_ms,
            }
        ),
        4 => prop_oneof![
            Just(Mode::Up),
            Just(Mode::Down),
            Just(Mode::Slow),
            Just(Mode::LosesAnswers),
        ]
        .prop_map(Transition::Store),
        7 => (node(), 0..40_u8)
            .prop_map(|(node, operation)| Transition::Apply { node, operation }),
        4 => (node(), 0..20_u8).prop_map(|(node, step)| Transition::Rollout { node, step }),
        3 => ((node(), node()), (0..20_u8, 0..20_u8))
            .prop_map(|(nodes, steps)| Transition::RacingRollouts { nodes, steps }),
        1 => (node(), 0..5_u8).prop_map(|(node, version)| Transition::Revoke { node, version }),
        4 => (node(), 0..16_u8).prop_map(|(node, fact)| Transition::Fact { node, fact }),
        2 => (node(), -10_000..10_000_i64)
            .prop_map(|(node, millis)| Transition::StepWallClock { node, millis }),
        2 => Just(Transition::Heal),
        1 => Just(Transition::HealAndSettle),
    ]
}

pub fn transitions() -> impl Strategy<Value = Vec<Transition>> {
    vec(transition(), 10..40)
}

impl World {
    /// Carries out a transition.
    pub fn perform(&mut self, transition: &Transition) -> Result<(), Violation> {
        let size = self.nodes.len();
        match *transition {
            Transition::Run(millis) => return self.run(Duration::from_millis(millis)),
            Transition::Kill(node) => {
                self.oracle.mark_disturbed();
                self.kill(node % size);
            }
            Transition::Start(node) => {
                self.oracle.mark_disturbed();
                self.start(node % size);
            }
            Transition::Replace(node) => {
                self.oracle.mark_disturbed();
                self.replace(node % size);
            }
            Transition::List(list) => self.list = list,
            Transition::Freeze(node) => {
                self.oracle.mark_disturbed();
                self.freeze(node % size);
            }
            Transition::Resume(node) => return self.resume(node % size),
            Transition::Shutdown(node) => {
                self.oracle.mark_disturbed();
                self.handle(node % size, Input::Shutdown);
            }
            Transition::Cut { from, to, both } => {
                self.oracle.mark_disturbed();
                let (from, to) = (from % size, to % size);
                self.network.cuts.insert((from, to));
                if both {
                    self.network.cuts.insert((to, from));
                }
            }
            Transition::CutStore {
                node,
                requests,
                answers,
            } => {
                self.oracle.mark_disturbed();
                let node = node % size;
                if requests {
                    self.network.cuts.insert((node, STORE));
                }
                if answers {
                    self.network.cuts.insert((STORE, node));
                }
            }
            Transition::Split(at) => self.split(at),
            Transition::SplitFromStore(at) => {
                self.split(at);
                let high = at % size..size;
                let cuts = high.flat_map(|node| [(node, STORE), (STORE, node)]);
                self.network.cuts.extend(cuts);
            }
            Transition::Network {
                loss_percent,
                duplicate_percent,
                delay_ms,
            } => {
                self.oracle.mark_disturbed();
                self.network.loss_percent = loss_percent;
                self.network.duplicate_percent = duplicate_percent;
                self.network.delay = Duration::from_millis(delay_ms);
            }
            Transition::Store(mode) => self.set_store(mode),
            Transition::Apply { node, operation } => {
                let node = node % size;
                // During an outage of the store, this must have no effect.
                self.apply(node, operation, None);
            }
            Transition::Rollout { node, step } => self.propose_stage(node % size, stage(step)),
            Transition::RacingRollouts { nodes, steps } => {
                self.propose_stage(nodes.0 % size, stage(steps.0));
                self.propose_stage(nodes.1 % size, stage(steps.1));
            }
            Transition::Revoke { node, version } => self.revoke(node % size, version),
            Transition::Fact { node, fact } => self.observe(node % size, facts::fact(fact)),
            Transition::StepWallClock { node, millis } => {
                let wall = &mut self.nodes[node % size].wall_start;
                let step = Duration::from_millis(millis.unsigned_abs());
                *wall = if millis < 0 {
                    *wall - step
                } else {
                    *wall + step
                };
            }
            Transition::Heal => self.heal(),
            Transition::HealAndSettle => return self.heal_and_settle(),
        }
        Ok(())
    }

    fn split(&mut self, at: usize) {
        self.oracle.mark_disturbed();
        let size = self.nodes.len();
        for low in 0..at % size {
            for high in at % size..size {
                self.network.cuts.extend([(low, high), (high, low)]);
            }
        }
    }

    fn set_store(&mut self, mode: Mode) {
        if mode == self.store.mode {
            return;
        }
        let undisturbed = self.oracle.undisturbed_for(MIN_UNDISTURBED, self.now);
        self.oracle.mark_disturbed();
        if mode == Mode::Down && undisturbed {
            self.oracle.outage_began(&self.nodes, self.now);
        }
        self.store.mode = mode;
    }

    fn heal(&mut self) {
        self.network.cuts.clear();
        self.network.loss_percent = 0;
        self.network.duplicate_percent = 0;
        self.network.delay = Duration::ZERO;
        self.list = List::default();
        self.set_store(Mode::Up);
        if self.nodes.iter().all(|node| !node.frozen) {
            self.oracle.mark_undisturbed(self.now);
        }
    }

    /// Ends all faults, resumes frozen processes, and starts the instances that were killed or are
    /// leaving. Checks that the facts spread and that all instances converge in time.
    pub fn heal_and_settle(&mut self) -> Result<(), Violation> {
        for node in 0..self.nodes.len() {
            if self.nodes[node].frozen {
                self.resume(node)?;
            }
            let left =
                |machine: &Machine| matches!(machine.view().phase, Phase::Leaving | Phase::Left);
            if self.nodes[node].machine.as_ref().is_some_and(left) {
                self.kill(node);
            }
            self.start(node);
        }
        self.heal();
        self.run(FACT_BOUND)?;
        self.check_facts()?;
        self.run(HEAL_BOUND.saturating_sub(FACT_BOUND))?;
        self.converged()
    }

    /// Checks that all instances are acting members on the accepted generation.
    fn converged(&self) -> Result<(), Violation> {
        let accepted = self.oracle.last_accepted();
        for (node, slot) in self.nodes.iter().enumerate() {
            let Some(view) = slot.active_view() else {
                continue;
            };
            let listed = view.record.roster.len();
            let good = view.may_act(slot.local(self.now))
                && view.generation() == accepted
                && view.phase == Phase::Member
                && view.record.member(view.instance).is_some()
                && listed == self.nodes.len();
            if !good {
                let found = format!(
                    "generation {} of {accepted}, {:?}, {:?}, {listed} listed",
                    view.generation(),
                    view.phase,
                    view.currency,
                );
                return Err(Violation::NotConverged { node, found });
            }
        }
        Ok(())
    }
}

/// Starts a world, settles it, carries out the transitions and settles it again.
pub fn run(
    size: usize,
    seed: u64,
    mutation: Mutation,
    transitions: &[Transition],
) -> Result<(), Violation> {
    let mut world = World::new(size, seed, mutation);
    world.perform(&Transition::HealAndSettle)?;
    for transition in transitions {
        world.perform(transition)?;
    }
    world.perform(&Transition::HealAndSettle)
}
