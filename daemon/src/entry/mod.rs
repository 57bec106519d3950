//! Serves the requests of callers: admission, canary, leaf calls and the answer.

mod admission_queue;
mod answer;
mod calls;
mod once;
mod run;
mod search;
mod server;
mod version_state;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use camphorhold::state::file::File;
use camphorhold::transport::peer::Forwarder;

use self::admission_queue::AdmissionQueues;
use self::calls::Sender;
use self::once::ReplayWindows;
pub use self::server::router;
pub use self::server::serve_once;
use self::version_state::VersionStates;
use crate::canary::Canaries;
use crate::control::Handle;
use crate::leaf::Pool;
use crate::rollouts::Rollouts;
use crate::timeline::Recorder;

/// The number of concurrent leaf calls that each slot of a usable leaf adds to the capacity of a
/// service.
const CALLS_PER_SLOT: u32 = 1;

/// What this instance needs to serve the requests of callers, shared by all of them.
pub struct Entry {
    control: Handle,
    version_states: VersionStates,
    admission_queues: AdmissionQueues,
    replay_windows: ReplayWindows,
    canaries: Arc<Canaries>,
    rollouts: Arc<Rollouts>,
    sender: Arc<Sender>,
    recorder: Arc<Recorder>,
    accepts_requests: AtomicBool,
    in_flight: AtomicU64,
}

impl Entry {
    pub fn new(
        control: Handle,
        leafs: Arc<Pool>,
        canaries: Arc<Canaries>,
        rollouts: Arc<Rollouts>,
        recorder: Arc<Recorder>,
    ) -> Self {
        let sender = Sender {
            leafs,
            forwarder: Forwarder::default(),
            recorder: Arc::clone(&recorder),
        };
        Self {
            control,
            version_states: VersionStates::default(),
            admission_queues: AdmissionQueues::default(),
            replay_windows: ReplayWindows::default(),
            canaries,
            rollouts,
            sender: Arc::new(sender),
            recorder,
            accepts_requests: AtomicBool::new(true),
            in_flight: AtomicU64::new(0),
        }
    }

    /// Applies the latest view whenever the control thread publishes one. Returns when that thread
    /// has ended.
    pub async fn follow(self: Arc<Self>) {
        let mut views = self.control.views();
        loop {
            let view = views.borrow_and_update().clone();
            if let Some(file) = &view.file {
                self.admission_queues.update(file);
                self.version_states.update(&view);
                self.set_capacities(file);
            }
            if views.changed().await.is_err() {
                return;
            }
        }
    }

    /// Refuses waiting requests that can no longer start in time. Never returns.
    pub async fn run_timers(self: Arc<Self>) {
        self.admission_queues.run_timers().await;
    }

    /// Refuses all later requests as shutting down. Requests in progress continue.
    pub fn refuse_new_work(&self) {
        self.accepts_requests.store(false, Ordering::Relaxed);
    }

    /// Returns the number of requests that have not been answered, including those that other
    /// instances forwarded.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Relaxed)
    }

    fn set_capacities(&self, file: &File) {
        for (name, service) in &file.services {
            // During a rollout both versions serve. The one with more usable leafs determines the
            // capacity.
            let versions = service.versions.keys();
            let states = versions.filter_map(|version| self.version_states.get(name, version));
            let usable = states
                .map(|state| version_state::lock(&state).usable())
                .max();
            let slots = usable.unwrap_or(0) * service.slots.0 * CALLS_PER_SLOT;
            self.admission_queues.set_capacity(name, slots);
        }
    }
}
