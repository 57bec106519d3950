//! Keeps the state of the instance up to date with the platform's store: the configuration, leafs,
//! evacuations, instances and rollouts.

use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::serving::watch;
use camphorhold::coordination::serving::watch::Read;
use camphorhold::coordination::serving::watch::Sighting;
use camphorhold_platform::key;
use camphorhold_platform::store::Changes;
use camphorhold_platform::store::Era;
use camphorhold_platform::store::Event;
use camphorhold_platform::store::Store;
use camphorhold_platform::store::StoreError;

use crate::datagram;
use crate::feed;
use crate::freshness;
use crate::group::Group;
use crate::mirror::Mirror;
use crate::release;
use crate::shared::Shared;

/// How long one watch waits for changes. The store permits up to 30 s, and bills each return.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);

/// The pause after changes before the next watch, as a share of the change time. A burst of changes
/// is then read with few calls; the store bills each of them.
const BATCH_SHARE: f64 = 0.3;

/// The same pause at an instance that others learn from, as a share of the settling time. Has to be
/// shorter than the time after which an instance that misses changes reads them from the store.
const UPSTREAM_BATCH_SHARE: f64 = 0.08;

/// The pause after the first failed call. Doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// The longest pause after a failed call.
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

/// The shortest time of failing calls that counts as an outage of the store. Entries of leafs do
/// not lapse in a shorter time.
const MIN_OUTAGE: Duration = Duration::from_millis(900);

/// From where changes were read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Store,
    Upstream,
}

/// Reads the store, watches it for changes and applies them to the shared state.
pub struct Follower {
    shared: Rc<Shared>,
    store: Store,
    // A second client for probes: the connection of the first is busy during a watch.
    probes: Store,
    readers: Group,
    // Outlives the follower: the fleet holds what was applied to it.
    mirror: Rc<RefCell<Mirror>>,
    failing_since: Option<Instant>,
}

impl Follower {
    /// Creates a follower that applies what it reads to `mirror`, from a full reading on.
    pub fn new(shared: Rc<Shared>, mirror: Rc<RefCell<Mirror>>) -> Self {
        let store = Store::in_era(shared.settings.store_address, shared.store_era.get());
        let probes = store.sibling();
        Self {
            shared,
            mirror,
            store,
            probes,
            readers: Group::new(release::DATAGRAMS),
            failing_since: None,
        }
    }

    /// Reads the whole store, then watches it for changes until the process ends.
    pub async fn run(mut self) {
        let mut pause = FIRST_PAUSE;
        let mut last_revision = None;
        let mut has_missed_changes = false;
        loop {
            let result = match last_revision {
                None => self.read_all().await,
                Some(revision) => self.read_changes(revision).await,
            };
            match result {
                Ok(revision) => {
                    last_revision = Some(revision);
                    has_missed_changes = false;
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
                    if matches!(error, StoreError::MissedChanges(_))
                        && std::mem::replace(&mut has_missed_changes, true)
                    {
                        // The watch that replaced the lost one has missed the same changes.
                        last_revision = None;
                    }
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
        let sent = self.shared.now();
        let sent_since_boot = self.shared.clock.since_boot();
        let begun = self
            .shared
            .freshness
            .borrow_mut()
            .begin_read(sent_since_boot);
        let listing = self.store.list("").await?;
        self.on_success();
        self.shared
            .watch
            .borrow_mut()
            .on_listed(listing.revision, sent);
        record_revision("applied", listing.revision);
        self.mirror
            .borrow_mut()
            .apply_listing(&listing, self.store.era());
        self.shared.feed.on_listed(listing.revision);
        let answers = self
            .shared
            .freshness
            .borrow_mut()
            .on_listed(begun, listing.revision);
        freshness::answer(&self.shared, &answers);
        Ok(listing.revision)
    }

    /// Waits for changes after `revision`, at an upstream or, if there is none that answers, at the
    /// store.
    async fn watch(&mut self, revision: u64) -> Result<(Source, Changes), StoreError> {
        let upstreams = &self.readers.upstreams(&self.shared).addresses;
        let now = self.shared.now();
        let upstream = self.shared.feed.failures.borrow().choose(upstreams, now);
        if let Some(upstream) = upstream
            && let Some(changes) = self.learn(upstream, revision).await?
        {
            return Ok((Source::Upstream, changes));
        }
        Ok((Source::Store, self.watch_store(revision).await?))
    }

    /// Waits for changes after `revision` at the store. Meanwhile probes the store, and fails if a probe
    /// fails or the changes up to a revision that the store has been seen at do not arrive.
    async fn watch_store(&mut self, revision: u64) -> Result<Changes, StoreError> {
        let shared = &self.shared;
        on_watch_sent(shared);
        let changes = tokio::select! {
            biased;
            changes = self.store.watch(revision, WATCH_TIMEOUT) => changes?,
            never = run_timers(&self.mirror) => match never {},
            missed = wait_until_lost(shared) => return Err(StoreError::MissedChanges(missed)),
            error = probe(shared, &mut self.probes, &mut self.readers) => return Err(error),
        };
        self.on_success();
        Ok(changes)
    }

    /// Waits for changes after `revision` at another instance, as [`Self::watch_store`] does. Returns
    /// `None` if that instance cannot tell them, or misses some.
    async fn learn(
        &mut self,
        upstream: SocketAddr,
        revision: u64,
    ) -> Result<Option<Changes>, StoreError> {
        let shared = &self.shared;
        on_watch_sent(shared);
        let learned = tokio::select! {
            biased;
            learned = feed::learn(shared, upstream, revision) => learned.map_err(Some),
            never = run_timers(&self.mirror) => match never {},
            _ = wait_until_lost(shared) => Err(None),
            error = probe(shared, &mut self.probes, &mut self.readers) => return Err(error),
        };
        let mut learned = match learned {
            Ok(learned) => learned,
            Err(error) => {
                let mut failures = shared.feed.failures.borrow_mut();
                failures.on_failure(upstream, shared.now());
                let error = error.map_or("it misses changes".to_owned(), |error| error.to_string());
                metrics::counter!("camphorhold_feed_total", "outcome" => "failed").increment(1);
                log::info!(upstream:% = upstream, after = revision, error = error; "changes cannot be learned from the instance; watching the store");
                return Ok(None);
            }
        };
        shared.feed.failures.borrow_mut().on_success(upstream);
        metrics::counter!("camphorhold_feed_total", "outcome" => "learned").increment(1);
        if learned.withholds_configuration {
            let listing = self.store.list(key::CONFIGURATION).await?;
            self.on_success();
            let items = listing.items.into_iter().map(Event::Written);
            learned.changes.events.extend(items);
        }
        Ok(Some(learned.changes))
    }

    /// Pauses after changes, so that further ones are read together, unless a proof of the latest
    /// configuration waits for them. The pause is short at an instance that others learn from, since
    /// they would miss the changes meanwhile.
    async fn pause(&mut self) {
        let wanted = self.shared.changes_wanted.notified();
        if freshness::wants_changes(&self.shared) {
            return;
        }
        let bounds = self.shared.bounds.get();
        let pause = if self.readers.upstreams(&self.shared).is_upstream {
            bounds.settling_time.mul_f64(UPSTREAM_BATCH_SHARE)
        } else {
            bounds.change_time.mul_f64(BATCH_SHARE)
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = wanted => {}
        }
    }

    async fn read_changes(&mut self, revision: u64) -> Result<u64, StoreError> {
        let (source, changes) = self.watch(revision).await?;
        self.shared
            .watch
            .borrow_mut()
            .on_changes_read(changes.revision);
        record_revision("applied", changes.revision);
        let has_events = !changes.events.is_empty();
        log::info!(after = revision, events = changes.events.len(), revision = changes.revision, source:? = source, era:? = self.store.era(); "changes read from the store");
        self.mirror.borrow_mut().apply_changes(&changes);
        let answers = self
            .shared
            .freshness
            .borrow_mut()
            .on_applied(changes.revision);
        freshness::answer(&self.shared, &answers);
        self.shared.feed.on_changes(&changes);
        if has_events && !changes.is_full && source == Source::Store {
            self.pause().await;
        }
        Ok(changes.revision)
    }
}

fn on_watch_sent(shared: &Shared) {
    let settling_time = shared.bounds.get().settling_time;
    let now = shared.now();
    shared.watch.borrow_mut().on_watch_sent(settling_time, now);
}

/// Sets the gauge of the revision that was applied, or that the last probe has shown.
#[expect(clippy::cast_precision_loss, reason = "revisions are far below 2^53")]
fn record_revision(source: &'static str, revision: u64) {
    metrics::gauge!("camphorhold_store_revision", "source" => source).set(revision as f64);
}

/// Ends the phases after a restore whose time has come.
async fn run_timers(mirror: &RefCell<Mirror>) -> Infallible {
    loop {
        let timer = mirror.borrow().next_timer();
        match timer {
            Some(at) => tokio::time::sleep_until(at.into()).await,
            None => std::future::pending().await,
        }
        mirror.borrow_mut().on_timer();
    }
}

/// Waits until the watch counts as lost. Returns the revision up to which it has missed changes.
async fn wait_until_lost(shared: &Shared) -> u64 {
    loop {
        let changed = shared.watch_changed.notified();
        let overdue = shared.watch.borrow().overdue();
        let Some(overdue) = overdue else {
            changed.await;
            continue;
        };
        tokio::select! {
            () = tokio::time::sleep_until(overdue.lost_at.into()) => return overdue.revision,
            () = changed => {}
        }
    }
}

/// Probes the store while a watch waits, until a probe fails. Makes a current read when it is this
/// instance's turn, and tells the others what it has shown.
async fn probe(shared: &Shared, store: &mut Store, group: &mut Group) -> StoreError {
    // The first probe is sent together with the watch: a fault that loses the watch also loses the
    // probe.
    let mut cheap_at = shared.now();
    loop {
        let changed = shared.watch_changed.notified();
        let readers = group.get(shared);
        let settling_time = shared.bounds.get().settling_time;
        let current_at = shared
            .watch
            .borrow()
            .confirmation_due(settling_time, readers.rank);
        let (read, at) = match current_at {
            Some(current_at) if current_at <= cheap_at => (Read::Current, current_at),
            _ => (Read::Cheap, cheap_at),
        };
        tokio::select! {
            () = tokio::time::sleep_until(at.into()) => {}
            () = changed => continue,
        }
        let sent = shared.now();
        let sent_since_boot = shared.clock.since_boot();
        let begun = (read == Read::Current)
            .then(|| shared.freshness.borrow_mut().begin_read(sent_since_boot));
        let revision = match store.probe(read).await {
            Ok(revision) => revision,
            Err(error) => return error,
        };
        if let Some(revision) = revision {
            if let Some(begun) = begun {
                let answers = shared.freshness.borrow_mut().on_read(begun, revision);
                freshness::answer(shared, &answers);
            }
            record_revision("probed", revision);
            shared.on_sighting(Sighting {
                read,
                revision,
                sent,
            });
            if read == Read::Current {
                datagram::send_confirmation(shared, &readers.others, revision, sent_since_boot);
            }
        }
        let now = shared.now();
        shared.last_store_answer.set(now);
        cheap_at = now + watch::cheap_pause(settling_time);
    }
}
