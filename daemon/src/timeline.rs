//! Records the events of this process for the timeline.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::RwLock;

use camphorhold::protocol::control::TimelineAnswer;
use camphorhold::protocol::control::TimelineRequest;
use camphorhold::state::event::Event;
use camphorhold::state::event::Kind;
use camphorhold::state::event::Ring;
use camphorhold::state::event::Subject;
use camphorhold::state::hlc::HybridClock;
use camphorhold::state::hlc::Timestamp;
use camphorhold::state::id::InstanceId;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;

/// The most recent events of this process, and the hybrid logical clock that orders them among the
/// events of other instances.
pub struct Recorder {
    inner: Mutex<Inner>,
    instance: RwLock<InstanceId>,
}

struct Inner {
    clock: HybridClock,
    ring: Ring,
}

impl Recorder {
    /// Creates a recorder that keeps the last `capacity` events.
    pub fn new(capacity: usize) -> Self {
        Self {
            inner: Mutex::new(Inner {
                clock: HybridClock::default(),
                ring: Ring::new(capacity),
            }),
            instance: RwLock::new(InstanceId::default()),
        }
    }

    /// Sets the instance id that later events are recorded under. It changes when the instance
    /// rejoins the roster.
    pub fn set_instance(&self, instance: InstanceId) {
        *self
            .instance
            .write()
            .unwrap_or_else(PoisonError::into_inner) = instance;
    }

    /// Returns the instance id that events are recorded under.
    pub fn instance(&self) -> InstanceId {
        *self.instance.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an event with the current time. Drops the oldest event if the recorder is full.
    pub fn record(&self, kind: Kind, subject: Subject) {
        let instance = self.instance();
        let mut inner = self.lock();
        let at = inner.clock.now(SystemClock.wall());
        inner.ring.push(Event {
            at,
            instance,
            subject,
            kind,
        });
        let dropped = inner.ring.dropped();
        metrics::counter!("camphorhold_events_dropped_total").absolute(dropped);
    }

    /// Returns a timestamp for a message to another instance. It is later than all timestamps
    /// returned or observed before.
    pub fn timestamp(&self) -> Timestamp {
        self.lock().clock.now(SystemClock.wall())
    }

    /// Advances the clock to the timestamp of a message from another instance, unless it is too far
    /// in the future.
    pub fn observe(&self, remote: Timestamp) {
        if let Err(error) = self.lock().clock.observe(remote, SystemClock.wall()) {
            log::warn!("ignoring the timestamp of another instance: {error}");
        }
    }

    /// Returns one page of the events that match the request.
    pub fn page(&self, request: TimelineRequest) -> TimelineAnswer {
        let instance = self.instance();
        request.answer(instance, &self.lock().ring)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
