//! The leafs that this instance owns. One task per leaf sends its calls.

mod actor;
mod connection;
mod leaf_timeline;
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

/// The tasks of the owned leafs, and of leafs no longer owned at which calls may still run.
pub struct Pool {
    actors: Mutex<HashMap<LeafId, ActorHandle>>,
    next_call: AtomicU64,
    recorder: Arc<Recorder>,
}

struct ActorHandle {
    commands: mpsc::UnboundedSender<Command>,
    state: Arc<Mutex<State>>,
}

/// Identifies a submitted call, to cancel it.
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
    /// Returns [`Failure::NotOwner`] if this instance has no task for the leaf. Nothing was sent.
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

    /// Cancels a call. Has no effect if the task of the leaf has ended.
    pub fn cancel(&self, submitted: Submitted) {
        if let Some(actor) = self.lock().get(&submitted.leaf) {
            let _ = actor.commands.send(Command::Cancel(submitted.call));
        }
    }

    /// Returns whether calls of this instance may still reach the leaf.
    pub fn is_active(&self, leaf: LeafId) -> bool {
        self.lock().contains_key(&leaf)
    }

    /// Returns the number of leafs that calls of this instance may still reach.
    pub fn active(&self) -> usize {
        self.lock().len()
    }

    /// Returns the state of a leaf; `None` if this instance has no task for it.
    pub fn state(&self, leaf: LeafId) -> Option<State> {
        let actors = self.lock();
        let state = &actors.get(&leaf)?.state;
        let state = *state.lock().unwrap_or_else(PoisonError::into_inner);
        Some(state)
    }

    /// Starts tasks for leafs that this instance comes to own, and passes their observations to the
    /// control thread. Returns when that thread has ended. Each task ends by itself.
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
            self.lock().insert(leaf, ActorHandle { commands, state });
            let pool = Arc::clone(self);
            tokio::spawn(async move {
                let unhandled = actor::run(environment, target, policy).await;
                pool.lock().remove(&leaf);
                unhandled.refuse();
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<LeafId, ActorHandle>> {
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
