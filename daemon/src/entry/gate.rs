//! Admission of requests: waits until the admission decisions let a request start.

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

/// How often waiting requests are checked against their latest start.
const TIMER_INTERVAL: Duration = Duration::from_millis(5);

/// The admission of one service.
pub struct Gate {
    state: Mutex<State>,
    /// Wakes the timer when a request begins to wait.
    queued: Arc<Notify>,
}

struct State {
    admission: Admission,
    waiting: HashMap<Ticket, oneshot::Sender<Result<(), Refusal>>>,
    actions: Vec<Action>,
}

/// A request that may run. Dropping it ends the request.
pub struct Permit {
    gate: Arc<Gate>,
    ticket: Ticket,
    measurement: Measurement,
}

impl Permit {
    /// Notes how long the request took and its calls waited.
    pub fn measured(&mut self, measurement: Measurement) {
        self.measurement = measurement;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let (ticket, measurement) = (self.ticket, self.measurement);
        self.gate.decide(|admission, actions| {
            admission.on_finished(SystemClock.now(), ticket, measurement, actions);
        });
    }
}

/// Forgets a waiting request when its caller goes.
struct Waiting<'a> {
    gate: &'a Gate,
    ticket: Option<Ticket>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            let mut state = self.gate.lock();
            state.waiting.remove(&ticket);
            state.admission.on_caller_gone(ticket);
        }
    }
}

impl Gate {
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

    /// Waits until the request may start.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused; it has not run.
    pub async fn enter(self: &Arc<Self>, offer: &Offer) -> Result<Permit, Refusal> {
        let started = SystemClock.now();
        let (sender, receiver) = oneshot::channel();
        let ticket = self.offer(offer, sender);
        let mut waiting = Waiting {
            gate: self,
            ticket: Some(ticket),
        };
        // The sender is dropped only when the file in force no longer lists the service.
        let decision = receiver.await.unwrap_or(Err(Refusal::TooLate));
        waiting.ticket = None;
        decision.map(|()| Permit {
            gate: Arc::clone(self),
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
            if let Some(waiting) = self.waiting.remove(&ticket) {
                // The caller may have gone; its permit is then never created, and the admission
                // must not count it as running.
                if waiting.send(decision).is_err() && decision.is_ok() {
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

/// The admissions of all services of the file in force.
#[derive(Default)]
pub struct Gates {
    inner: RwLock<Inner>,
    queued: Arc<Notify>,
}

#[derive(Default)]
struct Inner {
    file: Option<Arc<File>>,
    gates: HashMap<ServiceName, Arc<Gate>>,
}

impl Gates {
    /// Returns the admission of a service, and the number that the tenant has there.
    pub fn get(&self, service: &ServiceName, tenant: &Tenant) -> Option<(Arc<Gate>, TenantIndex)> {
        let inner = self.inner.read().unwrap_or_else(PoisonError::into_inner);
        let gate = inner.gates.get(service)?;
        let tenants = &inner.file.as_ref()?.tenants;
        let index = tenants.keys().position(|listed| listed == tenant)?;
        let index = TenantIndex(u32::try_from(index).unwrap_or(u32::MAX));
        Some((Arc::clone(gate), index))
    }

    /// Takes over a file. Admissions start anew only when tenants or the objective change.
    pub fn update(&self, file: &Arc<File>) {
        let mut inner = self.inner.write().unwrap_or_else(PoisonError::into_inner);
        let unchanged = inner
            .file
            .as_ref()
            .is_some_and(|old| old.tenants == file.tenants && old.objective == file.objective);
        let weights: Vec<f64> = file.tenants.values().map(|tenant| tenant.weight).collect();
        let mut gates = HashMap::new();
        for name in file.services.keys() {
            let kept = inner.gates.get(name).filter(|_| unchanged).cloned();
            let gate = kept.unwrap_or_else(|| {
                let now = SystemClock.now();
                let admission = Admission::new(file.objective, &weights, 1, now);
                Arc::new(Gate::new(admission, Arc::clone(&self.queued)))
            });
            gates.insert(name.clone(), gate);
        }
        inner.gates = gates;
        inner.file = Some(Arc::clone(file));
    }

    /// Sets the capacity of a service, in leaf calls at the same time.
    pub fn set_capacity(&self, service: &ServiceName, capacity: u32) {
        let inner = self.inner.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(gate) = inner.gates.get(service) {
            gate.decide(|admission, actions| {
                admission.set_capacity(capacity, SystemClock.now(), actions);
            });
        }
    }

    /// Refuses requests that have waited too long, for as long as the process lives. Sleeps while
    /// nothing waits: a timer of 5 ms alone cost an idle instance a good part of its control budget.
    pub async fn run_timers(&self) {
        loop {
            if self.all().iter().any(|gate| gate.has_waiting()) {
                tokio::time::sleep(TIMER_INTERVAL).await;
            } else {
                self.queued.notified().await;
            }
            for gate in self.all() {
                gate.decide(|admission, actions| admission.on_timer(SystemClock.now(), actions));
            }
        }
    }

    fn all(&self) -> Vec<Arc<Gate>> {
        let inner = self.inner.read().unwrap_or_else(PoisonError::into_inner);
        inner.gates.values().cloned().collect()
    }
}
