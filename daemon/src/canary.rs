//! Requests that may crash backend servers run on one leaf first.
//!
//! The owner of a request's fingerprint decides, so that resends through any instance count
//! together. Each instance also remembers which fingerprints it has seen succeed, which saves the
//! question for repeated requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::control::Input;
use camphorhold::coordination::gossip::Fact;
use camphorhold::coordination::poison;
use camphorhold::coordination::poison::Registry;
use camphorhold::protocol::instance::Admission;
use camphorhold::protocol::instance::InstanceClient;
use camphorhold::protocol::instance::Outcome;
use camphorhold::state::event::Kind;
use camphorhold::state::event::Subject;
use camphorhold::state::id::Fingerprint;
use camphorhold::state::id::Route;
use camphorhold::state::id::ServiceName;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold::state::view::View;
use jsonrpsee::http_client::HttpClient;
use xxhash_rust::xxh3::Xxh3;

use crate::control;
use crate::control::Handle;
use crate::timeline::Recorder;

/// Suspect fingerprints that are remembered. At 64 bytes each this stays below 2 MB.
const CAPACITY: usize = 10_000;

/// How often a request asks again while another request's canary runs.
const WAIT_INTERVAL: Duration = Duration::from_millis(10);

/// Whether and how a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// On all its leafs at once.
    Free,
    /// On one leaf first; [`Canaries::finish`] has to be called.
    Canary {
        /// The request's fingerprint.
        fingerprint: Fingerprint,
        /// Whether a straggling call may be hedged.
        hedging: bool,
    },
    /// Not at all.
    Blocked(Fingerprint),
    /// Another request's canary did not end before the deadline.
    TooLate,
    /// Not now, because too many requests are being watched.
    Full,
}

/// The canaries and crash counts of this instance.
pub struct Canaries {
    /// For the fingerprints that this instance owns.
    owned: Mutex<Registry>,
    /// For the requests that entered here.
    entered: Mutex<Registry>,
    /// Counts taken over from other instances. Taking one over again would extend its expiry.
    learned: Mutex<HashMap<Fingerprint, u32>>,
    clients: Mutex<HashMap<SocketAddr, Arc<HttpClient>>>,
    recorder: Arc<Recorder>,
    control: OnceLock<Handle>,
}

impl Canaries {
    pub fn new(recorder: Arc<Recorder>) -> Self {
        Self {
            owned: Mutex::new(Registry::new(CAPACITY)),
            entered: Mutex::new(Registry::new(CAPACITY)),
            learned: Mutex::new(HashMap::new()),
            clients: Mutex::new(HashMap::new()),
            recorder,
            control: OnceLock::new(),
        }
    }

    /// Connects to the control thread, which spreads crash counts.
    pub fn connect(&self, control: Handle) {
        let _ = self.control.set(control);
    }

    /// Decides at the owner of a fingerprint how a request may run.
    pub fn admit_owned(&self, fingerprint: Fingerprint) -> Admission {
        self.learn();
        let (admission, crashes) = {
            let mut owned = lock(&self.owned);
            let admission = owned.admit(fingerprint, SystemClock.now());
            (admission, owned.crashes(fingerprint))
        };
        if let poison::Admission::Blocked { .. } = admission {
            let kind = Kind::PoisonBlocked { fingerprint };
            self.recorder.record(kind, Subject::default());
        }
        match admission {
            poison::Admission::RunCanary if crashes > 0 => Admission::RunLastCanary,
            admission => admission.into(),
        }
    }

    /// Takes the end of a canary at the owner of its fingerprint.
    pub fn finish_owned(&self, fingerprint: Fingerprint, outcome: Outcome) {
        let now = SystemClock.now();
        lock(&self.owned).canary_finished(fingerprint, outcome.into(), now);
        if outcome == Outcome::CrashedTwice {
            lock(&self.owned).crashed(fingerprint, now);
        }
        if matches!(outcome, Outcome::Crashed | Outcome::CrashedTwice) {
            log::warn!("a request with fingerprint {fingerprint} crashed a backend server");
            metrics::counter!("camphorhold_poison_crashes_total").increment(1);
            self.spread(fingerprint);
        }
    }

    /// Tells all instances how many servers a fingerprint has crashed.
    fn spread(&self, fingerprint: Fingerprint) {
        let now = SystemClock.now();
        let owned = lock(&self.owned);
        let count = owned
            .counts(now)
            .find(|(counted, ..)| *counted == fingerprint);
        if let (Some((_, crashes, _)), Some(control)) = (count, self.control.get()) {
            control.input(Input::FactObserved(Fact::Poison {
                fingerprint,
                crashes,
            }));
        }
    }

    /// Takes over crash counts that other instances have spread.
    fn learn(&self) {
        let Some(control) = self.control.get() else {
            return;
        };
        let view = control.view();
        let now = SystemClock.now();
        let mut learned = lock(&self.learned);
        learned.retain(|fingerprint, _| view.crash_counts.contains_key(fingerprint));
        let mut owned = lock(&self.owned);
        for (fingerprint, crashes) in view.crash_counts.iter() {
            if learned.insert(*fingerprint, *crashes) != Some(*crashes) {
                owned.merge(*fingerprint, *crashes, poison::EXPIRY, now);
            }
        }
    }

    /// Asks how a request may run; waits while another request's canary runs.
    pub async fn admit(&self, fingerprint: Fingerprint, deadline: Instant) -> Permission {
        loop {
            match self.ask(fingerprint).await {
                Admission::KnownGood => return Permission::Free,
                Admission::RunCanary => {
                    let hedging = true;
                    return Permission::Canary {
                        fingerprint,
                        hedging,
                    };
                }
                Admission::RunLastCanary => {
                    let hedging = false;
                    return Permission::Canary {
                        fingerprint,
                        hedging,
                    };
                }
                Admission::Blocked => return Permission::Blocked(fingerprint),
                Admission::Full => return Permission::Full,
                Admission::WaitForCanary if SystemClock.now() >= deadline => {
                    return Permission::TooLate;
                }
                Admission::WaitForCanary => tokio::time::sleep(WAIT_INTERVAL).await,
            }
        }
    }

    async fn ask(&self, fingerprint: Fingerprint) -> Admission {
        let local = lock(&self.entered).admit(fingerprint, SystemClock.now());
        match local {
            poison::Admission::KnownGood => return Admission::KnownGood,
            poison::Admission::Blocked { .. } => return Admission::Blocked,
            _ => {}
        }
        let admission = self.ask_owner(fingerprint).await;
        if local == poison::Admission::RunCanary {
            self.close_local(fingerprint, admission);
        }
        admission
    }

    /// Ends the canary that was opened here before the owner was asked, unless it is to run. Left
    /// open, it would count as a crash after its time.
    fn close_local(&self, fingerprint: Fingerprint, admission: Admission) {
        let outcome = match admission {
            Admission::RunCanary | Admission::RunLastCanary => return,
            Admission::KnownGood => poison::Outcome::Ok,
            Admission::WaitForCanary | Admission::Blocked | Admission::Full => {
                poison::Outcome::Survived
            }
        };
        lock(&self.entered).canary_finished(fingerprint, outcome, SystemClock.now());
    }

    async fn ask_owner(&self, fingerprint: Fingerprint) -> Admission {
        let Some(control) = self.control.get() else {
            return Admission::RunCanary;
        };
        match self.owner(fingerprint, &control.view()) {
            Owner::Here => self.admit_owned(fingerprint),
            Owner::At(client) => match client.canary(fingerprint).await {
                Ok(admission) => admission,
                Err(error) => {
                    // The owner may have failed a moment ago. Counting here keeps the bound per
                    // instance until the roster has changed.
                    log::debug!("the owner of fingerprint {fingerprint} is out of reach: {error}");
                    self.admit_owned(fingerprint)
                }
            },
        }
    }

    /// Reports how a canary ended.
    pub async fn finish(&self, fingerprint: Fingerprint, outcome: Outcome) {
        let now = SystemClock.now();
        lock(&self.entered).canary_finished(fingerprint, outcome.into(), now);
        let Some(control) = self.control.get() else {
            return;
        };
        match self.owner(fingerprint, &control.view()) {
            Owner::Here => self.finish_owned(fingerprint, outcome),
            Owner::At(client) => {
                if client.canary_finished(fingerprint, outcome).await.is_err() {
                    self.finish_owned(fingerprint, outcome);
                }
            }
        }
    }

    fn owner(&self, fingerprint: Fingerprint, view: &View) -> Owner {
        let owner = view.ownership.fingerprint_owner(fingerprint);
        let owner = owner.map(|owner| owner.owner);
        let member = owner
            .filter(|owner| *owner != view.instance)
            .and_then(|owner| view.record.member(owner));
        let client = member.and_then(|member| self.client(member.address));
        client.map_or(Owner::Here, Owner::At)
    }

    fn client(&self, address: SocketAddr) -> Option<Arc<HttpClient>> {
        let mut clients = lock(&self.clients);
        if let Some(client) = clients.get(&address) {
            return Some(Arc::clone(client));
        }
        let client = Arc::new(control::client(address)?);
        clients.insert(address, Arc::clone(&client));
        Some(client)
    }
}

enum Owner {
    Here,
    At(Arc<HttpClient>),
}

/// Computes the fingerprint of a request. Who sends it, and for which answer, does not matter.
pub fn fingerprint(service: &ServiceName, route: &Route, query: &str) -> Fingerprint {
    const SEPARATOR: [u8; 1] = [0];
    let mut hasher = Xxh3::new();
    hasher.update(service.as_str().as_bytes());
    hasher.update(&SEPARATOR);
    hasher.update(route.as_str().as_bytes());
    hasher.update(&SEPARATOR);
    hasher.update(query.as_bytes());
    Fingerprint(hasher.digest())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
