//! Admission of requests: each request waits in the queue of its service until it may start.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;

use camphorhold::coordination::admission::Action;
use camphorhold::coordination::admission::Admission;
use camphorhold::coordination::admission::Measurement;
use camphorhold::coordination::admission::Offer;
use camphorhold::coordination::admission::Refusal;
use camphorhold::coordination::admission::TenantIndex;
use camphorhold::coordination::admission::Ticket;
use camphorhold::state::file::File;
use camphorhold::state::id::ServiceName;
use camphorhold::state::id::Tenant;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use tokio::sync::Notify;
use tokio::sync::oneshot;

/// How often waiting requests are checked for those that can no longer start in time.
const TIMER_INTERVAL: Duration = Duration::from_millis(5);

/// The requests to one service that wait for admission at this instance.
pub struct AdmissionQueue {
    state: Mutex<State>,
    /// Wakes the timer when a request is queued.
    queued: Arc<Notify>,
}

struct State {
    admission: Admission,
    waiting: HashMap<Ticket, oneshot::Sender<Result<(), Refusal>>>,
    actions: Vec<Action>,
}

/// The right of a request to run. Dropping it reports the request as finished, which lets others
/// start.
pub struct Permit {
    queue: Arc<AdmissionQueue>,
    ticket: Ticket,
    measurement: Measurement,
}

impl Permit {
    /// Sets the durations to report when the permit is dropped. Without them, the time spent
    /// waiting for admission is reported.
    pub fn set_measurement(&mut self, measurement: Measurement) {
        self.measurement = measurement;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let (ticket, measurement) = (self.ticket, self.measurement);
        self.queue.decide(|admission, actions| {
            admission.on_finished(SystemClock.now(), ticket, measurement, actions);
        });
    }
}

/// Removes a waiting request from the queue when its future is dropped before a decision.
struct WaitingGuard<'a> {
    queue: &'a AdmissionQueue,
    ticket: Option<Ticket>,
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            let mut state = self.queue.lock();
            state.waiting.remove(&ticket);
            state.admission.on_caller_gone(ticket);
        }
    }
}

impl AdmissionQueue {
    fn new(admission: Admission, queued: Arc<Notify>) -> Self {
        Self {
            queued,
            state: Mutex::new(State {
                admission,
                waiting: HashMap::new(),
                actions: Vec::new(),
            }),
        }
    }

    /// Queues the request and waits for the decision to start or refuse it.
    ///
    /// # Errors
    ///
    /// Returns the reason for a refusal. A refused request has not run.
    pub async fn admit(self: &Arc<Self>, offer: &Offer) -> Result<Permit, Refusal> {
        let started = SystemClock.now();
        let (sender, receiver) = oneshot::channel();
        let ticket = self.offer(offer, sender);
        let mut waiting = WaitingGuard {
            queue: self,
            ticket: Some(ticket),
        };
        // The queue keeps the sender until it sends a decision, so this error is not expected.
        let decision = receiver.await.unwrap_or(Err(Refusal::TooLate));
        waiting.ticket = None;
        decision.map(|()| Permit {
            queue: Arc::clone(self),
            ticket,
            measurement: Measurement {
                duration: SystemClock.now().saturating_duration_since(started),
                queueing: Duration::ZERO,
            },
        })
    }

    fn offer(&self, offer: &Offer, sender: oneshot::Sender<Result<(), Refusal>>) -> Ticket {
        let mut state = self.lock();
        let mut actions = std::mem::take(&mut state.actions);
        let ticket = state
            .admission
            .offer(SystemClock.now(), offer, &mut actions);
        state.waiting.insert(ticket, sender);
        state.carry_out(actions);
        if state.waiting.contains_key(&ticket) {
            self.queued.notify_one();
        }
        ticket
    }

    fn has_waiting(&self) -> bool {
        !self.lock().waiting.is_empty()
    }

    fn decide<D>(&self, decision: D)
    where
        D: FnOnce(&mut Admission, &mut Vec<Action>),
    {
        let mut state = self.lock();
        let mut actions = std::mem::take(&mut state.actions);
        decision(&mut state.admission, &mut actions);
        state.carry_out(actions);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn carry_out(&mut self, mut actions: Vec<Action>) {
        for action in actions.drain(..) {
            let (ticket, decision) = match action {
                Action::Start(ticket) => (ticket, Ok(())),
                Action::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            if let Some(sender) = self.waiting.remove(&ticket) {
                // Without a receiver no permit is created that would report the end of the request,
                // so it is reported here.
                if sender.send(decision).is_err() && decision.is_ok() {
                    let measurement = Measurement {
                        duration: Duration::ZERO,
                        queueing: Duration::ZERO,
                    };
                    let now = SystemClock.now();
                    let mut further = Vec::new();
                    self.admission
                        .on_finished(now, ticket, measurement, &mut further);
                    self.carry_out(further);
                }
            }
        }
        self.actions = actions;
    }
}

/// The admission queues of all services of the file in force.
#[derive(Default)]
pub struct AdmissionQueues {
    inner: RwLock<Inner>,
    queued: Arc<Notify>,
}

#[derive(Default)]
struct Inner {
    file: Option<Arc<File>>,
    queues: HashMap<ServiceName, Arc<AdmissionQueue>>,
}

impl AdmissionQueues {
    /// Returns the queue of a service and the index of the tenant in it. `None` if the file in
    /// force does not list the service or the tenant.
    pub fn get(
        &self,
        service: &ServiceName,
        tenant: &Tenant,
    ) -> Option<(Arc<AdmissionQueue>, TenantIndex)> {
        let inner = self.inner.read().unwrap_or_else(PoisonError::into_inner);
        let queue = inner.queues.get(service)?;
        let tenants = &inner.file.as_ref()?.tenants;
        let index = tenants.keys().position(|listed| listed == tenant)?;
        let index = TenantIndex(u32::try_from(index).unwrap_or(u32::MAX));
        Some((Arc::clone(queue), index))
    }

    /// Applies a file. Replaces the queues of all services if the tenants or the objective have
    /// changed; otherwise the queues of services that are still listed stay in use.
    pub fn update(&self, file: &Arc<File>) {
        let mut inner = self.inner.write().unwrap_or_else(PoisonError::into_inner);
        let unchanged = inner
            .file
            .as_ref()
            .is_some_and(|old| old.tenants == file.tenants && old.objective == file.objective);
        let weights: Vec<f64> = file.tenants.values().map(|tenant| tenant.weight).collect();
        let mut queues = HashMap::new();
        for name in file.services.keys() {
            let kept = inner.queues.get(name).filter(|_| unchanged).cloned();
            let queue = kept.unwrap_or_else(|| {
                let now = SystemClock.now();
                let admission = Admission::new(file.objective, &weights, 1, now);
                Arc::new(AdmissionQueue::new(admission, Arc::clone(&self.queued)))
            });
            queues.insert(name.clone(), queue);
        }
        inner.queues = queues;
        inner.file = Some(Arc::clone(file));
    }

    /// Sets the capacity of a service, in concurrent leaf calls. Ignores services that the file in
    /// force does not list.
    pub fn set_capacity(&self, service: &ServiceName, capacity: u32) {
        let inner = self.inner.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(queue) = inner.queues.get(service) {
            queue.decide(|admission, actions| {
                admission.set_capacity(capacity, SystemClock.now(), actions);
            });
        }
    }

    /// Refuses requests that have waited too long. Never returns. Sleeps while no request waits,
    /// because waking every 5 ms takes a considerable part of the control budget of an idle
    /// instance.
    pub async fn run_timers(&self) {
        loop {
            if self.all().iter().any(|queue| queue.has_waiting()) {
                tokio::time::sleep(TIMER_INTERVAL).await;
            } else {
                self.queued.notified().await;
            }
            for queue in self.all() {
                queue.decide(|admission, actions| admission.on_timer(SystemClock.now(), actions));
            }
        }
    }

    fn all(&self) -> Vec<Arc<AdmissionQueue>> {
        let inner = self.inner.read().unwrap_or_else(PoisonError::into_inner);
        inner.queues.values().cloned().collect()
    }
}
