//! Runs requests that may crash backend servers on one leaf first, as a canary.
//!
//! The owner of a request's fingerprint decides whether and how the request may run, so that all
//! instances share one crash count when a request is sent again through another instance. Each
//! instance also remembers the fingerprints whose canaries have succeeded, and does not ask the
//! owner about them again.

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

/// The maximum number of suspect fingerprints that a registry remembers. It remembers twice as many
/// good ones; at 64 bytes per fingerprint, it stays below 2 MB.
const MAX_FINGERPRINTS: usize = 10_000;

/// How often a request asks again while the canary of another request with the same fingerprint
/// runs.
const WAIT_INTERVAL: Duration = Duration::from_millis(10);

/// Whether and how a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// The request may run on all its leafs at once.
    Unrestricted,
    /// The request must run on one leaf first. The caller must report its outcome to
    /// [`Canaries::finish`].
    Canary {
        /// The fingerprint whose canary the request is.
        fingerprint: Fingerprint,
        /// Whether a slow call may be hedged; not after the fingerprint has crashed a server.
        hedging: bool,
    },
    /// The request must not run: its fingerprint has crashed too many servers.
    Blocked(Fingerprint),
    /// The canary of another request with the same fingerprint did not end before the deadline.
    TooLate,
    /// The request must not run now: the owner already tracks its maximum number of fingerprints.
    Full,
}

/// The canaries and crash counts of this instance.
pub struct Canaries {
    /// Canaries and crashes of the fingerprints that this instance owns, or decides on because
    /// their owner cannot be reached.
    owned: Mutex<Registry>,
    /// Canaries of the requests that this instance received from callers.
    entered: Mutex<Registry>,
    /// The crash counts of other instances that were merged into `owned`. Merging an unchanged
    /// count again would extend its expiry.
    merged: Mutex<HashMap<Fingerprint, u32>>,
    clients: Mutex<HashMap<SocketAddr, Arc<HttpClient>>>,
    recorder: Arc<Recorder>,
    control: OnceLock<Handle>,
}

impl Canaries {
    pub fn new(recorder: Arc<Recorder>) -> Self {
        Self {
            owned: Mutex::new(Registry::new(MAX_FINGERPRINTS)),
            entered: Mutex::new(Registry::new(MAX_FINGERPRINTS)),
            merged: Mutex::new(HashMap::new()),
            clients: Mutex::new(HashMap::new()),
            recorder,
            control: OnceLock::new(),
        }
    }

    /// Sets the control thread, which spreads crash counts and knows the owners. Until then, every
    /// request must run as a canary.
    pub fn connect(&self, control: Handle) {
        let _ = self.control.set(control);
    }

    /// Decides, as the owner of the fingerprint, whether and how a request may run.
    pub fn admit_owned(&self, fingerprint: Fingerprint) -> Admission {
        self.merge_crash_counts();
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

    /// Counts the outcome of a canary, as the owner of its fingerprint.
    pub fn finish_owned(&self, fingerprint: Fingerprint, outcome: Outcome) {
        let now = SystemClock.now();
        lock(&self.owned).canary_finished(fingerprint, outcome.into(), now);
        if outcome == Outcome::CrashedTwice {
            lock(&self.owned).crashed(fingerprint, now);
        }
        if matches!(outcome, Outcome::Crashed | Outcome::CrashedTwice) {
            log::warn!(
                "a canary crashed a backend server; counting it for fingerprint {fingerprint}"
            );
            metrics::counter!("camphorhold_poison_crashes_total").increment(1);
            self.spread_crash_count(fingerprint);
        }
    }

    /// Spreads the number of servers that a fingerprint has crashed to all instances.
    fn spread_crash_count(&self, fingerprint: Fingerprint) {
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

    /// Merges the crash counts that other instances have spread.
    fn merge_crash_counts(&self) {
        let Some(control) = self.control.get() else {
            return;
        };
        let view = control.view();
        let now = SystemClock.now();
        let mut merged = lock(&self.merged);
        merged.retain(|fingerprint, _| view.crash_counts.contains_key(fingerprint));
        let mut owned = lock(&self.owned);
        for (fingerprint, crashes) in view.crash_counts.iter() {
            if merged.insert(*fingerprint, *crashes) != Some(*crashes) {
                owned.merge(*fingerprint, *crashes, poison::EXPIRY, now);
            }
        }
    }

    /// Returns whether and how a request may run. Waits until `deadline` while the canary of
    /// another request with the same fingerprint runs.
    pub async fn admit(&self, fingerprint: Fingerprint, deadline: Instant) -> Permission {
        loop {
            match self.ask(fingerprint).await {
                Admission::KnownGood => return Permission::Unrestricted,
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

    /// Ends the canary that [`Self::ask`] has started in `entered`, unless the owner's decision is
    /// to run it. A canary that is not ended counts as a crash after its time-out.
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
            Owner::Local => self.admit_owned(fingerprint),
            Owner::Remote(client) => match client.canary(fingerprint).await {
                Ok(admission) => admission,
                Err(error) => {
                    // The owner may have failed and not left the roster yet. Until then, the crash
                    // limit holds per instance.
                    log::debug!(
                        "deciding on fingerprint {fingerprint} locally: its owner failed: {error}"
                    );
                    self.admit_owned(fingerprint)
                }
            },
        }
    }

    /// Reports the outcome of a canary to the owner of its fingerprint. Counts it locally if the
    /// owner does not answer.
    pub async fn finish(&self, fingerprint: Fingerprint, outcome: Outcome) {
        let now = SystemClock.now();
        lock(&self.entered).canary_finished(fingerprint, outcome.into(), now);
        let Some(control) = self.control.get() else {
            return;
        };
        match self.owner(fingerprint, &control.view()) {
            Owner::Local => self.finish_owned(fingerprint, outcome),
            Owner::Remote(client) => {
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
        client.map_or(Owner::Local, Owner::Remote)
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

/// The instance that decides on a fingerprint.
enum Owner {
    Local,
    Remote(Arc<HttpClient>),
}

/// Computes the fingerprint of a request. The tenant, the scope, the deadline and the request id do
/// not change it.
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
