//! Requests that end the leafs that run them: finds them, and refuses them at all instances.
//!
//! A request without any surviving leaf, under which the connection to a leaf was lost that then
//! refuses connections, has ended the leaf. What follows is decided by [`Suspects`]; this module
//! finds out whether leafs have ended, and has the store accept trials.
//!
//! [`Suspects`]: camphorhold::coordination::serving::Suspects

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::serving::alarms::Caution;
use camphorhold::coordination::serving::alarms::Level;
use camphorhold::coordination::serving::fleet::LeafKey;
use camphorhold::coordination::serving::fleet::Standing;
use camphorhold::coordination::serving::suspects::Admission;
use camphorhold::coordination::serving::suspects::TrialEnd;
use camphorhold::coordination::serving::suspects::Write;
use camphorhold::state::id::Fingerprint;
use camphorhold::state::plan::Target;
use camphorhold_platform::store::Store;
use camphorhold_platform::store::StoreError;

use crate::alarm;
use crate::alarm::Loss;
use crate::call::ForwardedRequest;
use crate::crash_records;
use crate::datagram;
use crate::gather::FinishedRequest;
use crate::shared::Shared;

/// How long after the loss of a connection leafs are asked. The links of an instance may fail one after
/// the other, and a leaf that has ended is not back sooner than after about a second.
const PROBE_DELAY: Duration = Duration::from_millis(300);

/// The time within which the entry of a leaf goes that has ended: three of its check-in intervals,
/// about a second each, and the time until the change is read.
const ENTRY_LAPSE: Duration = Duration::from_secs(4);

/// How often the entries of lost leafs are looked up meanwhile.
const ENTRY_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How long a caller should wait while a trial of the same request runs.
const TRIAL_PAUSE: Duration = Duration::from_millis(250);

/// How long the store may take to accept a trial. While it is slow, it answers in about 400 ms.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(600);

/// How long the store has not answered when trials take place without it.
const STORE_SILENCE: Duration = Duration::from_secs(10);

/// One attempt of a request that may end leafs. Dropped before its end, it says nothing about the
/// request.
pub struct Attempt {
    shared: Rc<Shared>,
    forwarded: Rc<ForwardedRequest>,
    started: Instant,
    trial: Option<Trial>,
    // There is an alarm about the request.
    is_careful: bool,
}

/// The state of an attempt of a suspect request.
#[derive(Clone, Copy, Debug)]
enum Trial {
    /// The store has been asked to accept it.
    Claimed(Write),
    /// It may be sent to a leaf.
    Accepted(Fingerprint),
}

/// Decides whether a request of a caller that arrived at `started` may be sent to leafs.
///
/// # Errors
///
/// Returns the time after which the caller may send the request again, if it is suspect and not to
/// be tried now.
pub async fn admit(
    shared: &Rc<Shared>,
    forwarded: &Rc<ForwardedRequest>,
    started: Instant,
) -> Result<Attempt, Duration> {
    let mut attempt = Attempt {
        shared: Rc::clone(shared),
        forwarded: Rc::clone(forwarded),
        started,
        trial: None,
        is_careful: false,
    };
    if shared.suspects.borrow().is_empty() && shared.alarms.borrow().is_empty() {
        return Ok(attempt);
    }
    let fingerprint = forwarded.fingerprint();
    match caution(shared, fingerprint) {
        Caution::Free => {}
        Caution::OneLeafFirst if !can_spare_leaf(shared, &forwarded.route.target) => {
            return Err(refuse(
                forwarded,
                fingerprint,
                "too few shards can spare a leaf",
                TRIAL_PAUSE,
            ));
        }
        Caution::OneLeafFirst => attempt.is_careful = true,
        Caution::Hold { until } => {
            let pause = until.saturating_duration_since(shared.now());
            return Err(refuse(
                forwarded,
                fingerprint,
                "leafs have just ended",
                pause,
            ));
        }
    }
    let admit = || {
        shared
            .suspects
            .borrow_mut()
            .admit(fingerprint, shared.now())
    };
    let mut admission = admit();
    if let Admission::Trial(write) = admission
        && can_spare_leaf(shared, &forwarded.route.target)
    {
        match attempt.claim(write).await {
            Claim::Accepted => return Ok(attempt),
            // The record read meanwhile may say that the request is no longer suspect.
            Claim::RecordChanged => admission = admit(),
            Claim::Unconfirmed => {}
        }
    }
    let (reason, pause) = match admission {
        Admission::Free => return Ok(attempt),
        Admission::Trial(write) => {
            shared.suspects.borrow_mut().on_write_failed(&write);
            ("cannot be tried now", TRIAL_PAUSE)
        }
        Admission::TrialInProgress => ("is being tried", TRIAL_PAUSE),
        Admission::Blocked { until } => {
            let pause = until.saturating_duration_since(shared.now());
            ("is blocked", pause)
        }
    };
    Err(refuse(forwarded, fingerprint, reason, pause))
}

/// Returns whether a suspect request may be tried on a leaf. A query over several shards waits until
/// leafs that have ended are back or gone for good: those that are left do their work.
fn can_spare_leaf(shared: &Shared, target: &Target) -> bool {
    match target {
        Target::Shards(scope) if scope.shards.len() > 1 => {
            let services = scope.shards.iter().map(|service| &**service);
            let fleet = shared.fleet.borrow();
            fleet.can_spare_leafs(services, scope.min_coverage)
        }
        Target::Shards(_) | Target::Service(_) | Target::Split(_) => true,
    }
}

/// Records that a request is refused. Returns the time after which its caller may send it again.
fn refuse(
    forwarded: &ForwardedRequest,
    fingerprint: Fingerprint,
    reason: &'static str,
    pause: Duration,
) -> Duration {
    metrics::counter!("camphorhold_requests_total", "outcome" => "blocked").increment(1);
    log::info!(request = forwarded.id(), fingerprint:% = fingerprint, reason = reason; "request refused: leafs have ended under it");
    pause
}

/// Returns how an attempt has to be made according to the alarms. A request that leafs have survived
/// recently is not held: leafs end for other reasons, too.
fn caution(shared: &Shared, fingerprint: Fingerprint) -> Caution {
    let now = shared.now();
    let caution = shared.alarms.borrow().caution(fingerprint, now);
    match caution {
        Caution::Hold { .. } if shared.suspects.borrow().has_survived(fingerprint, now) => {
            Caution::OneLeafFirst
        }
        _ => caution,
    }
}

/// Records that a leaf has survived a request.
pub fn record_survival(shared: &Shared, forwarded: &ForwardedRequest) {
    let fingerprint = forwarded.fingerprint();
    datagram::clear_alarm(shared, fingerprint, "a leaf has survived the request");
    let mut suspects = shared.suspects.borrow_mut();
    suspects.on_survived(fingerprint, shared.now());
    if suspects.has_changes() {
        shared.suspects_changed.notify_one();
    }
}

impl Attempt {
    /// Returns whether a leaf has to survive the request before it is sent to another one.
    pub fn needs_canary(&self) -> bool {
        self.is_trial() || self.is_careful
    }

    fn is_trial(&self) -> bool {
        self.trial.is_some()
    }

    /// Has the store accept a trial. Dropped before its end, the trial does not take place.
    async fn claim(&mut self, write: Write) -> Claim {
        let shared = Rc::clone(&self.shared);
        self.trial = Some(Trial::Claimed(write));
        let mut store = Store::new(shared.settings.store_address);
        let claim = crash_records::write(&mut store, &shared, std::slice::from_ref(&write));
        let result = tokio::time::timeout(CLAIM_TIMEOUT, claim).await;
        self.trial = None;
        let now = shared.now();
        let silence = now.saturating_duration_since(shared.last_store_answer.get());
        let mut suspects = shared.suspects.borrow_mut();
        let claim = match result {
            Ok(Ok(())) => Claim::Accepted,
            Ok(Err(StoreError::Conflict(_))) => Claim::RecordChanged,
            Ok(Err(_)) | Err(_) if silence >= STORE_SILENCE => {
                suspects.on_unwritten_trial(&write, now);
                Claim::Accepted
            }
            Ok(Err(_)) | Err(_) => {
                suspects.on_write_failed(&write);
                Claim::Unconfirmed
            }
        };
        if claim == Claim::Accepted {
            self.trial = Some(Trial::Accepted(write.fingerprint));
            let record = suspects.record(write.fingerprint);
            log::info!(request = self.forwarded.id(), fingerprint:% = write.fingerprint, attempts = record.attempts, trials = record.trials; "suspect request is tried on one leaf");
        }
        // Changes may have waited for the end of this write.
        shared.suspects_changed.notify_one();
        claim
    }

    /// Finds out, without delaying the answer, whether the request has ended leafs.
    pub fn end(mut self, finished: &FinishedRequest) {
        let Some(loss) = finished.loss.clone() else {
            if finished.lost_leafs > 0 {
                self.log_dismissed(finished.lost_leafs, "a leaf has survived the request");
            }
            if finished.has_survivor {
                self.record_survival();
            }
            return;
        };
        let is_query = matches!(self.forwarded.route.target, Target::Shards(_));
        if is_query && finished.have_ended {
            // The caller may send it to another instance as soon as it has the answer.
            let fingerprint = self.forwarded.fingerprint();
            datagram::raise_alarm(&self.shared, fingerprint, Level::Confirmed);
        }
        tokio::task::spawn_local(async move {
            let lost_leafs = loss.leafs.len();
            match find_ended_leafs(&self.shared, &self.forwarded.route.target, loss).await {
                Ok(()) => self.record_crash(lost_leafs),
                Err(reason) => {
                    self.log_dismissed(lost_leafs, reason);
                    datagram::clear_alarm(&self.shared, self.forwarded.fingerprint(), reason);
                }
            }
        });
    }

    fn log_dismissed(&self, lost_leafs: usize, reason: &'static str) {
        metrics::counter!("camphorhold_dismissed_losses_total").increment(1);
        log::info!(request = self.forwarded.id(), fingerprint:% = self.forwarded.fingerprint(), lost_leafs = lost_leafs, trial = self.is_trial(), reason = reason; "lost connections do not count against the request");
    }

    fn record_survival(&mut self) {
        let Some(Trial::Accepted(fingerprint)) = self.trial.take() else {
            record_survival(&self.shared, &self.forwarded);
            return;
        };
        log::info!(request = self.forwarded.id(), fingerprint:% = fingerprint; "a leaf has survived the request; it is no longer suspect");
        datagram::clear_alarm(&self.shared, fingerprint, "a leaf has survived the request");
        let now = self.shared.now();
        let mut suspects = self.shared.suspects.borrow_mut();
        suspects.on_trial_end(fingerprint, TrialEnd::Survived, now);
        self.shared.suspects_changed.notify_one();
    }

    fn record_crash(&mut self, lost_leafs: usize) {
        let fingerprint = self.forwarded.fingerprint();
        let now = self.shared.now();
        let mut suspects = self.shared.suspects.borrow_mut();
        let counts = if self.trial.take().is_some() {
            suspects.on_trial_end(fingerprint, TrialEnd::Crashed, now);
            true
        } else {
            suspects.on_crash(fingerprint, self.started, now)
        };
        let record = suspects.record(fingerprint);
        drop(suspects);
        if !counts {
            self.log_dismissed(lost_leafs, "leafs have survived the request recently");
            return;
        }
        metrics::counter!("camphorhold_leaf_crashes_total").increment(1);
        log::warn!(request = self.forwarded.id(), fingerprint:% = fingerprint, route = &*self.forwarded.route.name, attempts = record.attempts, trials = record.trials; "leafs ended under a request");
        self.shared.suspects_changed.notify_one();
    }
}

/// The end of [`Attempt::claim`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Claim {
    /// The trial takes place.
    Accepted,
    /// Another instance has changed the record. The new one is known now.
    RecordChanged,
    /// The store has not confirmed the trial.
    Unconfirmed,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let mut suspects = self.shared.suspects.borrow_mut();
        match self.trial.take() {
            None => return,
            Some(Trial::Claimed(write)) => suspects.on_write_failed(&write),
            Some(Trial::Accepted(fingerprint)) => {
                let sent = self.forwarded.sent.get();
                log::info!(request = self.forwarded.id(), fingerprint:% = fingerprint, sent = sent; "the trial of a suspect request has shown nothing");
                let end = if sent {
                    TrialEnd::Unclear
                } else {
                    TrialEnd::NotSent
                };
                suspects.on_trial_end(fingerprint, end, self.shared.now());
            }
        }
        self.shared.suspects_changed.notify_one();
    }
}

/// Finds out whether one of the leafs that were lost has ended: it is down while leafs of other
/// services accept connections, or its entry goes within [`ENTRY_LAPSE`]. A leaf that has started
/// again, or that this instance cannot reach, shows by its entry only.
///
/// # Errors
///
/// Returns the reason for which the loss says nothing about the request.
async fn find_ended_leafs(
    shared: &Shared,
    target: &Target,
    loss: Loss,
) -> Result<(), &'static str> {
    // The connections to a leaf that is leaving end with it, whatever it runs.
    let is_staying = |leaf: &LeafKey| {
        let fleet = shared.fleet.borrow();
        fleet
            .get(*leaf)
            .is_some_and(|leaf| leaf.entry().standing == Standing::Ready && !leaf.is_leaving())
    };
    let lost_leafs: Vec<LeafKey> = loss.leafs.iter().copied().filter(is_staying).collect();
    if lost_leafs.is_empty() {
        return Err("the leafs were leaving");
    }
    tokio::time::sleep(PROBE_DELAY).await;
    let services = target.services();
    if alarm::is_down_alone(shared, &services, &lost_leafs, &loss.called).await {
        return Ok(());
    }
    let lapses_by = shared.now() + ENTRY_LAPSE;
    while shared.now() < lapses_by {
        tokio::time::sleep(ENTRY_CHECK_INTERVAL).await;
        let fleet = shared.fleet.borrow();
        if lost_leafs.iter().any(|leaf| fleet.get(*leaf).is_none()) {
            return Ok(());
        }
    }
    Err("the leafs are registered still")
}
