//! The path of a request through an entry instance.

mod answer;
mod calls;
mod gate;
mod lanes;
mod once;
mod run;
mod search;
mod server;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use camphorhold::state::file::File;
use camphorhold::transport::peer::Forwarder;

use self::calls::Sender;
use self::gate::Gates;
use self::lanes::Lanes;
use self::once::Windows;
pub use self::server::router;
pub use self::server::serve_once;
use crate::canary::Canaries;
use crate::control::Handle;
use crate::leaf::Pool;
use crate::rollouts::Rollouts;
use crate::timeline::Recorder;

/// The most leaf calls that a version's leafs are offered per slot.
const CALLS_PER_SLOT: u32 = 1;

/// Everything that a request passes through at this instance.
pub struct Entry {
    control: Handle,
    lanes: Lanes,
    gates: Gates,
    windows: Windows,
    canaries: Arc<Canaries>,
    rollouts: Arc<Rollouts>,
    sender: Arc<Sender>,
    recorder: Arc<Recorder>,
    takes_work: AtomicBool,
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
            lanes: Lanes::default(),
            gates: Gates::default(),
            windows: Windows::default(),
            canaries,
            rollouts,
            sender: Arc::new(sender),
            recorder,
            takes_work: AtomicBool::new(true),
            in_flight: AtomicU64::new(0),
        }
    }

    /// Follows the control thread's views, for as long as it lives.
    pub async fn follow(self: Arc<Self>) {
        let mut views = self.control.views();
        loop {
            let view = views.borrow_and_update().clone();
            if let Some(file) = &view.file {
                self.gates.update(file);
                self.lanes.update(&view);
                self.set_capacities(file);
            }
            if views.changed().await.is_err() {
                return;
            }
        }
    }

    /// Refuses waiting requests in time, for as long as the process lives.
    pub async fn run_timers(self: Arc<Self>) {
        self.gates.run_timers().await;
    }

    /// Refuses new requests from now on.
    pub fn refuse_new_work(&self) {
        self.takes_work.store(false, Ordering::Relaxed);
    }

    /// Counts the requests of callers that have not been answered.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Relaxed)
    }

    fn set_capacities(&self, file: &File) {
        for (name, service) in &file.services {
            // During a rollout both versions serve; the larger one bears the load.
            let lanes = service.versions.keys();
            let lanes = lanes.filter_map(|version| self.lanes.get(name, version));
            let usable = lanes.map(|lane| lanes::lock(&lane).usable()).max();
            let slots = usable.unwrap_or(0) * service.slots.0 * CALLS_PER_SLOT;
            self.gates.set_capacity(name, slots);
        }
    }
}
