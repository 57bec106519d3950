//! Keeps the state of the instance up to date with the platform's store: the configuration, leafs,
//! evacuations, instances and rollouts.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::serving::watch;
use camphorhold::coordination::serving::watch::Read;
use camphorhold_platform::store::Changes;
use camphorhold_platform::store::Era;
use camphorhold_platform::store::Store;
use camphorhold_platform::store::StoreError;

use crate::mirror::Mirror;
use crate::shared::Shared;

/// How long one watch waits for changes. The store permits up to 30 s, and bills each return.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);

/// The pause after changes before the next watch, as a share of the change time. A burst of changes
/// is then read with few calls; the store bills each of them.
const BATCH_SHARE: f64 = 0.3;

/// The pause after the first failed call. Doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// The longest pause after a failed call.
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

/// The shortest time of failing calls that counts as an outage of the store. Entries of leafs do
/// not lapse in a shorter time.
const MIN_OUTAGE: Duration = Duration::from_millis(900);

/// Reads the store, watches it for changes and applies them to the shared state.
pub struct Follower {
    shared: Rc<Shared>,
    store: Store,
    // A second client for probes: the connection of the first is busy during a watch.
    probes: Store,
    monitor: watch::Monitor,
    // Outlives the follower: the fleet holds what was applied to it.
    mirror: Rc<RefCell<Mirror>>,
    failing_since: Option<Instant>,
}

impl Follower {
    /// Creates a follower that applies what it reads to `mirror`, from a full reading on.
    pub fn new(shared: Rc<Shared>, mirror: Rc<RefCell<Mirror>>) -> Self {
        let store = Store::in_era(shared.settings.store_address, mirror.borrow().era());
        let probes = store.sibling();
        Self {
            shared,
            mirror,
            store,
            probes,
            monitor: watch::Monitor::default(),
            failing_since: None,
        }
    }

    /// Reads the whole store, then watches it for changes until the process ends.
    pub async fn run(mut self) {
        let mut pause = FIRST_PAUSE;
        let mut last_revision = None;
        loop {
            let result = match last_revision {
                None => self.read_all().await,
                Some(revision) => self.read_changes(revision).await,
            };
            match result {
                Ok(revision) => {
                    last_revision = Some(revision);
                    pause = FIRST_PAUSE;
                }
                Err(StoreError::Compacted) => {
                    log::info!(revision:? = last_revision; "the store has compacted the changes since this revision; reading all entries");
                    last_revision = None;
                }
                Err(StoreError::Restored(era)) => {
                    self.on_success();
                    self.on_restored(era);
                    last_revision = None;
                }
                Err(error) => {
                    self.on_failure(&error);
                    if let Some(era) = self.wait_for_answer(&mut pause).await {
                        self.on_restored(era);
                        last_revision = None;
                    }
                    log::info!(after:? = last_revision; "following the store again after a failed call");
                }
            }
        }
    }

    /// Probes the store until it answers again. A probe costs a tenth of a watch or a listing.
    /// Returns the era if the store was restored.
    async fn wait_for_answer(&mut self, pause: &mut Duration) -> Option<Era> {
        loop {
            tokio::time::sleep(*pause).await;
            *pause = (*pause * 2).min(LONGEST_PAUSE);
            let era = match self.probes.probe(Read::Cheap).await {
                Ok(_) => None,
                Err(StoreError::Restored(era)) => Some(era),
                Err(error) => {
                    self.on_failure(&error);
                    continue;
                }
            };
            // Ends the outage now rather than when the next watch returns, which may take long:
            // lapsed entries are restored from now on.
            self.on_success();
            return era;
        }
    }

    /// Has everything read again after a restore of the store. What the instance itself wrote may be
    /// gone, too.
    fn on_restored(&mut self, era: Era) {
        self.mirror.borrow_mut().on_restored(era);
        self.shared.registration_lost.notify_one();
    }

    fn on_failure(&mut self, error: &StoreError) {
        metrics::counter!("camphorhold_store_calls_total", "outcome" => "failed").increment(1);
        if self.failing_since.is_none() {
            self.failing_since = Some(self.shared.now());
            log::warn!(error:% = error, config_version = self.shared.plan_version(); "call to the store failed; keeping the known state and probing the store");
        }
    }

    fn on_success(&mut self) {
        self.shared.last_store_answer.set(self.shared.now());
        metrics::counter!("camphorhold_store_calls_total", "outcome" => "ok").increment(1);
        let Some(since) = self.failing_since.take() else {
            return;
        };
        let now = self.shared.now();
        let outage = now.saturating_duration_since(since);
        if outage >= MIN_OUTAGE {
            self.mirror.borrow_mut().on_outage_end();
        }
        let outage_ms = u64::try_from(outage.as_millis()).unwrap_or(u64::MAX);
        log::info!(outage_ms = outage_ms; "the store answers again");
    }

    async fn read_all(&mut self) -> Result<u64, StoreError> {
        let listing = self.store.list("").await?;
        self.on_success();
        self.monitor
            .on_changes_read(listing.revision, self.shared.now());
        record_revision("applied", listing.revision);
        self.mirror
            .borrow_mut()
            .apply_listing(&listing, self.store.era());
        Ok(listing.revision)
    }

    /// Waits for changes after `revision`. Meanwhile probes the store, and fails if a probe fails or
    /// shows changes that the watch does not return.
    async fn watch(&mut self, revision: u64) -> Result<Changes, StoreError> {
        let watch = self.store.watch(revision, WATCH_TIMEOUT);
        tokio::pin!(watch);
        self.monitor.on_watch_sent();
        // The first probe is sent together with the watch: a fault that loses the watch also loses
        // the probe.
        let mut probe_at = self.shared.now();
        loop {
            let timer = self.mirror.borrow().next_timer();
            let timer = async {
                match timer {
                    Some(at) => tokio::time::sleep_until(at.into()).await,
                    None => std::future::pending().await,
                }
            };
            let overdue = self.monitor.overdue();
            let lost = async {
                match overdue {
                    Some(overdue) => {
                        tokio::time::sleep_until(overdue.lost_at.into()).await;
                        overdue.revision
                    }
                    None => std::future::pending().await,
                }
            };
            let settling_time = self.shared.bounds.get().settling_time;
            let read = self.monitor.next_read(settling_time, self.shared.now());
            let probe = async {
                tokio::time::sleep_until(probe_at.into()).await;
                let sent = self.shared.now();
                (sent, self.probes.probe(read).await)
            };
            tokio::select! {
                biased;
                changes = &mut watch => return changes,
                () = timer => self.mirror.borrow_mut().on_timer(),
                missed = lost => return Err(StoreError::MissedChanges(missed)),
                (sent, shown) = probe => {
                    let now = self.shared.now();
                    if let Some(revision) = shown? {
                        record_revision("probed", revision);
                        let probe = watch::Probe { read, revision, sent };
                        record_probe(&mut self.monitor, probe, settling_time, now);
                    }
                    self.shared.last_store_answer.set(now);
                    probe_at = now + self.monitor.pause(settling_time, now);
                }
            }
        }
    }

    async fn read_changes(&mut self, revision: u64) -> Result<u64, StoreError> {
        let changes = self.watch(revision).await?;
        self.on_success();
        self.monitor
            .on_changes_read(changes.revision, self.shared.now());
        record_revision("applied", changes.revision);
        let has_events = !changes.events.is_empty();
        log::info!(after = revision, events = changes.events.len(), revision = changes.revision, era:? = self.store.era(); "changes read from the store");
        self.mirror.borrow_mut().apply_changes(&changes);
        if has_events && !changes.is_full {
            let change_time = self.shared.bounds.get().change_time;
            tokio::time::sleep(change_time.mul_f64(BATCH_SHARE)).await;
        }
        Ok(changes.revision)
    }
}

/// Sets the gauge of the revision that was applied, or that the last probe has shown.
#[expect(clippy::cast_precision_loss, reason = "revisions are far below 2^53")]
fn record_revision(source: &'static str, revision: u64) {
    metrics::gauge!("camphorhold_store_revision", "source" => source).set(revision as f64);
}

fn record_probe(
    monitor: &mut watch::Monitor,
    probe: watch::Probe,
    settling_time: Duration,
    now: Instant,
) {
    let read = monitor.next_read(settling_time, now);
    monitor.on_probe(probe, settling_time, now);
    let age = monitor.cheap_read_age(now);
    metrics::gauge!("camphorhold_store_read_age_seconds").set(age.as_secs_f64());
    if monitor.next_read(settling_time, now) != read {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        log::warn!(age_ms = age_ms; "cheap reads of the store are too old to reveal a lost watch; probing with current reads");
    }
}
