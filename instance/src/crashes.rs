//! Requests that end the leafs that run them: finds them, and refuses them at all instances.
//!
//! A request without any surviving leaf, under which the connection to a leaf was lost that then
//! refuses connections, has ended the leaf. The count of such attempts is written to the store, from
//! which all instances read it. The next attempt has to be survived by one leaf before the others
//! get it. If one does, the count starts anew: other callers may send the same request, and leafs end
//! for other reasons, too. If none does, the request is refused from then on.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use camphorhold::coordination::poison;
use camphorhold::coordination::poison::Admission;
use camphorhold::coordination::poison::EXPIRY;
use camphorhold::state::id::Fingerprint;
use camphorhold_platform::key;
use camphorhold_platform::store::Put;
use camphorhold_platform::store::Store;
use camphorhold_platform::store::StoreError;
use futures::future::join_all;
use serde::Deserialize;
use serde::Serialize;

use crate::call::ForwardedRequest;
use crate::gather::FinishedRequest;
use crate::gather::Loss;
use crate::probe;
use crate::shared::Shared;

/// The number of other leafs of which one has to accept a connection, so that the loss of
/// connections is not that of the network.
const MAX_REFERENCES: usize = 3;

/// How long a caller should wait while the canary of the same request runs.
const CANARY_PAUSE: Duration = Duration::from_millis(250);

/// Pause before a failed write to the store is repeated.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// The count of a request, as stored in JSON.
#[derive(Deserialize, Serialize)]
struct Crashes {
    // The attempts under which leafs have ended since a leaf has last survived the request.
    attempts: u32,
}

/// Applies the count of a request that is in the store.
pub fn on_item(shared: &Shared, fingerprint: &str, value: Option<&[u8]>) {
    let crashes = serde_json::from_slice::<Crashes>(value.unwrap_or_default());
    match (fingerprint.parse::<Fingerprint>(), crashes) {
        (Ok(fingerprint), Ok(crashes)) => {
            log::info!(fingerprint:% = fingerprint, attempts = crashes.attempts; "count of attempts under which leafs ended read from the store");
            let mut poison = shared.poison.borrow_mut();
            if crashes.attempts == 0 {
                poison.clear(fingerprint);
            } else {
                poison.merge(fingerprint, crashes.attempts, EXPIRY, shared.now());
            }
        }
        (Err(error), _) => {
            log::warn!(fingerprint = fingerprint, error:% = error; "invalid fingerprint in the store ignored");
        }
        (_, Err(error)) => {
            log::warn!(fingerprint = fingerprint, error:% = error; "invalid count of ended leafs in the store ignored");
        }
    }
}

/// One attempt of a request that may end leafs. Dropped before its end, it says nothing about the
/// request.
pub struct Trial {
    shared: Rc<Shared>,
    forwarded: Rc<ForwardedRequest>,
    // The fingerprint of a request that has ended leafs before.
    canary: Option<Fingerprint>,
}

/// Decides whether a request of a caller may be sent to leafs.
///
/// # Errors
///
/// Returns the time after which the caller may send the request again, if it has ended too many
/// leafs or another attempt is being tried on one leaf.
pub fn admit(shared: &Rc<Shared>, forwarded: &Rc<ForwardedRequest>) -> Result<Trial, Duration> {
    let trial = |canary| Trial {
        shared: Rc::clone(shared),
        forwarded: Rc::clone(forwarded),
        canary,
    };
    if shared.poison.borrow().is_empty() {
        return Ok(trial(None));
    }
    let fingerprint = forwarded.fingerprint();
    let now = shared.now();
    let admission = shared.poison.borrow_mut().admit_suspect(fingerprint, now);
    let (reason, pause) = match admission {
        Admission::KnownGood => return Ok(trial(None)),
        Admission::RunCanary => {
            let attempts = shared.poison.borrow().crashes(fingerprint);
            log::info!(request = forwarded.id(), fingerprint:% = fingerprint, attempts = attempts; "suspect request is tried on one leaf");
            return Ok(trial(Some(fingerprint)));
        }
        Admission::WaitForCanary | Admission::Full => ("is being tried", CANARY_PAUSE),
        Admission::Blocked { until } => ("is blocked", until.saturating_duration_since(now)),
    };
    metrics::counter!("camphorhold_requests_total", "outcome" => "blocked").increment(1);
    log::info!(request = forwarded.id(), fingerprint:% = fingerprint, reason = reason; "request refused: leafs have ended under it");
    Err(pause)
}

impl Trial {
    /// Returns whether a leaf has to survive the request before it is sent to another one.
    pub fn is_canary(&self) -> bool {
        self.canary.is_some()
    }

    /// Finds out, without delaying the answer, whether the request has ended leafs.
    pub fn end(mut self, finished: &FinishedRequest) {
        let Some(loss) = finished.loss.clone() else {
            if finished.lost_leafs > 0 {
                self.log_dismissed(finished.lost_leafs, "a leaf has answered the request");
            }
            if finished.has_survivor
                && let Some(fingerprint) = self.canary.take()
            {
                log::info!(request = self.forwarded.id(), fingerprint:% = fingerprint; "a leaf has survived the request; it is no longer suspect");
                self.shared.poison.borrow_mut().clear(fingerprint);
                self.write_count(fingerprint);
            }
            return;
        };
        tokio::task::spawn_local(async move {
            match ended_leafs(&self.shared, &loss).await {
                Ok(()) => self.record_crash(),
                Err(reason) => self.log_dismissed(loss.leafs.len(), reason),
            }
        });
    }

    fn log_dismissed(&self, lost_leafs: usize, reason: &'static str) {
        metrics::counter!("camphorhold_dismissed_losses_total").increment(1);
        log::info!(request = self.forwarded.id(), fingerprint:% = self.forwarded.fingerprint(), lost_leafs = lost_leafs, canary = self.is_canary(), reason = reason; "lost connections do not count against the request");
    }

    fn record_crash(&mut self) {
        let canary = self.canary.take();
        let fingerprint = canary.unwrap_or_else(|| self.forwarded.fingerprint());
        let now = self.shared.now();
        let mut poison = self.shared.poison.borrow_mut();
        if canary.is_some() {
            poison.canary_finished(fingerprint, poison::Outcome::Crashed, now);
        } else {
            poison.crashed_unsuspected(fingerprint, now);
        }
        let attempts = poison.crashes(fingerprint);
        drop(poison);
        metrics::counter!("camphorhold_leaf_crashes_total").increment(1);
        log::warn!(request = self.forwarded.id(), fingerprint:% = fingerprint, route = &*self.forwarded.route.name, attempts = attempts; "leafs ended under a request");
        self.write_count(fingerprint);
    }

    /// Has the count of a request written to the store.
    fn write_count(&self, fingerprint: Fingerprint) {
        let mut unwritten = self.shared.unwritten_crashes.borrow_mut();
        unwritten.insert(fingerprint);
        self.shared.crash_recorded.notify_one();
    }

    fn finish_canary(&self, fingerprint: Fingerprint, outcome: poison::Outcome) {
        let mut poison = self.shared.poison.borrow_mut();
        poison.canary_finished(fingerprint, outcome, self.shared.now());
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if let Some(fingerprint) = self.canary.take() {
            log::info!(request = self.forwarded.id(), fingerprint:% = fingerprint; "the trial of a suspect request has shown nothing");
            self.finish_canary(fingerprint, poison::Outcome::Survived);
        }
    }
}

/// Finds out whether one of the leafs that were lost is down, while another leaf accepts connections.
///
/// # Errors
///
/// Returns the reason for which the loss says nothing about the request.
async fn ended_leafs(shared: &Shared, loss: &Loss) -> Result<(), &'static str> {
    let references = shared
        .fleet
        .borrow()
        .sample(&loss.called, MAX_REFERENCES, shared.jitter());
    let lost_leafs = loss.leafs.iter();
    let (responses, any_reference_accepts) = tokio::join!(
        join_all(lost_leafs.map(|leaf| probe::connect(shared, *leaf))),
        probe::any_accepts_connections(shared, &references)
    );
    if !responses.contains(&probe::Response::Down) {
        Err("none of the leafs is down")
    } else if !any_reference_accepts {
        Err("no other leaf accepts connections")
    } else {
        Ok(())
    }
}

/// Writes the counts of requests that have ended leafs to the store, until the process ends.
pub async fn run(shared: Rc<Shared>) {
    let mut store = Store::new(shared.settings.store_address);
    loop {
        shared.crash_recorded.notified().await;
        loop {
            let unwritten: HashSet<Fingerprint> = shared.unwritten_crashes.take();
            if unwritten.is_empty() {
                break;
            }
            for fingerprint in unwritten {
                if let Err(error) = write(&mut store, &shared, fingerprint).await {
                    log::warn!(fingerprint:% = fingerprint, error:% = error; "cannot write that leafs ended under a request; retrying");
                    shared.unwritten_crashes.borrow_mut().insert(fingerprint);
                }
            }
            if !shared.unwritten_crashes.borrow().is_empty() {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn write(
    store: &mut Store,
    shared: &Shared,
    fingerprint: Fingerprint,
) -> Result<(), StoreError> {
    let attempts = shared.poison.borrow().crashes(fingerprint);
    let value = serde_json::to_vec(&Crashes { attempts })?;
    let lease = store.grant(EXPIRY).await?;
    let put = Put {
        key: &key::crashes(fingerprint),
        value: &value,
        lease: Some(lease.id),
    };
    store.put(put).await
}
