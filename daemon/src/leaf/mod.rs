//! The leafs that this instance owns, each with a task of its own.

mod actor;
mod connection;
mod notes;
mod observation;
mod translate;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use camphorhold::coordination::call::CallId;
use camphorhold::coordination::call::Caller;
use camphorhold::coordination::control::Input;
use camphorhold::protocol::peer::Failure;
use camphorhold::state::file::File;
use camphorhold::state::id::LeafId;
use camphorhold::state::id::Route;
use camphorhold::state::view::View;
use tokio::sync::mpsc;

use self::actor::Command;
use self::actor::Environment;
pub use self::actor::Job;
pub use self::actor::State;
use self::actor::Target;
use crate::baseline::Baseline;
use crate::control::Handle;
use crate::timeline::Recorder;

/// The tasks of the owned leafs.
pub struct Pool {
    actors: Mutex<HashMap<LeafId, Actor>>,
    next_call: AtomicU64,
    recorder: Arc<Recorder>,
}

struct Actor {
    commands: mpsc::UnboundedSender<Command>,
    state: Arc<Mutex<State>>,
}

/// A submitted call, for cancellation.
#[derive(Clone, Copy, Debug)]
pub struct Submitted {
    leaf: LeafId,
    call: CallId,
}

impl Pool {
    pub fn new(recorder: Arc<Recorder>) -> Self {
        Self {
            actors: Mutex::default(),
            next_call: AtomicU64::new(0),
            recorder,
        }
    }

    /// Submits a call to a leaf; the job's reply channel gets the result.
    ///
    /// # Errors
    ///
    /// Returns an error when this instance has no connection to the leaf. Nothing was sent.
    pub fn submit(&self, leaf: LeafId, caller: Caller, job: Job) -> Result<Submitted, Failure> {
        let call = CallId(self.next_call.fetch_add(1, Ordering::Relaxed));
        let actors = self.lock();
        let actor = actors.get(&leaf).ok_or(Failure::NotOwner)?;
        actor
            .commands
            .send(Command::Submit(call, caller, job))
            .map_err(|_| Failure::NotOwner)?;
        Ok(Submitted { leaf, call })
    }

    /// Says that the result of a call is no longer wanted.
    pub fn cancel(&self, submitted: Submitted) {
        if let Some(actor) = self.lock().get(&submitted.leaf) {
            let _ = actor.commands.send(Command::Cancel(submitted.call));
        }
    }

    /// Tells whether calls of this instance may still reach the leaf.
    pub fn is_active(&self, leaf: LeafId) -> bool {
        self.lock().contains_key(&leaf)
    }

    /// Counts the leafs that calls of this instance may still reach.
    pub fn active(&self) -> usize {
        self.lock().len()
    }

    /// Returns the state of a leaf that this instance has a task for.
    pub fn state(&self, leaf: LeafId) -> Option<State> {
        let actors = self.lock();
        let state = &actors.get(&leaf)?.state;
        let state = *state.lock().unwrap_or_else(PoisonError::into_inner);
        Some(state)
    }

    /// Starts and ends tasks as ownership changes, for as long as the control thread lives.
    pub async fn follow(self: Arc<Self>, control: Handle) {
        let (observations, mut observed) = mpsc::unbounded_channel::<observation::Observation>();
        let mut views = control.views();
        loop {
            let view = views.borrow_and_update().clone();
            self.start_owned(&view, &control, &observations);
            loop {
                tokio::select! {
                    changed = views.changed() => match changed {
                        Ok(()) => break,
                        Err(_) => return,
                    },
                    Some(observation) = observed.recv() => {
                        for fact in observation.into_facts() {
                            control.input(Input::FactObserved(fact));
                        }
                    }
                }
            }
        }
    }

    fn start_owned(
        self: &Arc<Self>,
        view: &View,
        control: &Handle,
        observations: &mpsc::UnboundedSender<observation::Observation>,
    ) {
        let Some(file) = &view.file else { return };
        let Ok(status_route) = "status".parse::<Route>() else {
            return;
        };
        for (leaf, assignment) in view.ownership.leafs() {
            let owned =
                assignment.owner == view.instance || Baseline::EveryInstanceConnects.is_chosen();
            if !owned || self.is_active(leaf) {
                continue;
            }
            let Some((target, policy)) = target(file, leaf, &status_route) else {
                continue;
            };
            let (commands, inbox) = mpsc::unbounded_channel();
            let state = Arc::new(Mutex::new(State::default()));
            let environment = Environment {
                leaf,
                commands: commands.clone(),
                inbox,
                views: control.views(),
                observations: observations.clone(),
                state: Arc::clone(&state),
                recorder: Arc::clone(&self.recorder),
            };
            self.lock().insert(leaf, Actor { commands, state });
            let pool = Arc::clone(self);
            tokio::spawn(async move {
                let leftover = actor::run(environment, target, policy).await;
                pool.lock().remove(&leaf);
                leftover.refuse();
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<LeafId, Actor>> {
        self.actors.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn target(
    file: &File,
    leaf: LeafId,
    status_route: &Route,
) -> Option<(Target, camphorhold::coordination::dispatch::Policy)> {
    let (service_name, version, listed) = file.leafs().find(|(_, _, listed)| listed.id == leaf)?;
    let service = file.services.get(service_name)?;
    let target = Target {
        service: service_name.clone(),
        version: version.clone(),
        shard: listed.shard,
        partition: service.partition,
        status_route: status_route.clone(),
    };
    Some((target, service.into()))
}
