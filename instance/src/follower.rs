//! Keeps the state of the instance up to date with the platform's store: the configuration, leafs,
//! evacuations, instances and rollouts.

use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use camphorhold_platform::key;
use camphorhold_platform::key::Key;
use camphorhold_platform::leaf;
use camphorhold_platform::plan;
use camphorhold_platform::rollout::RolloutSpec;
use camphorhold_platform::store::Changes;
use camphorhold_platform::store::Era;
use camphorhold_platform::store::Event;
use camphorhold_platform::store::Item;
use camphorhold_platform::store::Listing;
use camphorhold_platform::store::Store;
use camphorhold_platform::store::StoreError;

use crate::registration;
use crate::shared::Phase;
use crate::shared::Shared;

/// How long one watch waits for changes. The store permits up to 30 s, and bills each return.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);

/// The pause between two probes of the store while a watch waits, as a share of the settling time.
/// The store may stop answering an instance without closing its connections. A watch sent in that
/// state is lost, and has to be sent again before the settling time ends. The rest of the settling
/// time covers the timeout of a probe and the new watch.
const PROBE_SHARE: f64 = 0.375;

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

/// How long after the end of an outage leafs are kept although their entries are missing. Entries
/// that lapsed during an outage are restored within about 2 s of its end.
const LAPSED_LEAF_RETENTION: Duration = Duration::from_millis(2_300);

/// How long after a restore of the store from a copy entries that it lists may be those of leafs
/// that have left. Leafs that do not write any more lose their entries after three of their check-in
/// intervals.
const STALE_LEAF_RETENTION: Duration = Duration::from_secs(15);

/// The applied revision of an entry that has to be applied again. The store starts above it.
const NO_REVISION: u64 = 0;

/// Reads the store, watches it for changes and applies them to the shared state.
pub struct Follower {
    shared: Rc<Shared>,
    store: Store,
    // A second client for probes: the connection of the first is busy during a watch.
    probes: Store,
    // The key that probes read: the registration of this instance, which exists while it runs.
    probe_key: String,
    // The newest applied revision of each item, so that an older listing does not undo a change.
    revisions: HashMap<Box<str>, u64>,
    failing_since: Option<Instant>,
    // The end of the time in which leafs are kept although their entries are missing.
    keep_lapsed_until: Option<Instant>,
    restore: Option<Restore>,
}

/// What is left to do after the store was restored from a copy. What the operators and the leafs
/// wrote since the copy was made is written again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Restore {
    /// Entries may be missing until this time. Then all entries are read, and what is still missing
    /// is gone.
    Rewriting(Instant),
    /// Entries of leafs that have left may be there until this time. Then all entries are read, and
    /// what is still there is in use.
    Lapsing(Instant),
}

impl Restore {
    fn ends_at(self) -> Instant {
        match self {
            Self::Rewriting(until) | Self::Lapsing(until) => until,
        }
    }
}

impl Follower {
    /// Creates a follower that has not read from the store yet.
    pub fn new(shared: Rc<Shared>) -> Self {
        let store = Store::new(shared.settings.store_address);
        let probes = store.sibling();
        let probe_key = key::instance(&shared.settings.name);
        Self {
            shared,
            store,
            probes,
            probe_key,
            revisions: HashMap::new(),
            failing_since: None,
            keep_lapsed_until: None,
            restore: None,
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
                }
            }
            if self
                .restore
                .is_some_and(|restore| restore.ends_at() <= self.shared.now())
            {
                self.end_restore_phase();
                last_revision = None;
            }
        }
    }

    /// Probes the store until it answers again. A probe costs a tenth of a watch or a listing.
    /// Returns the era if the store was restored.
    async fn wait_for_answer(&mut self, pause: &mut Duration) -> Option<Era> {
        loop {
            tokio::time::sleep(*pause).await;
            *pause = (*pause * 2).min(LONGEST_PAUSE);
            let era = match self.probes.probe(&self.probe_key).await {
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

    /// Revisions are given out again from that of the copy, so all entries that are read next count
    /// as new. What the instance itself wrote may be gone.
    fn on_restored(&mut self, era: Era) {
        metrics::counter!("camphorhold_store_restores_total").increment(1);
        let config_version = self.shared.plan_version();
        log::warn!(era:% = era, config_version = config_version; "the store was restored from a copy; reading all entries, keeping what is missing for now");
        for revision in self.revisions.values_mut() {
            *revision = NO_REVISION;
        }
        let now = self.shared.now();
        let rewritten_by = now + LAPSED_LEAF_RETENTION;
        self.keep_lapsed_until = Some(rewritten_by);
        self.restore = Some(Restore::Rewriting(rewritten_by));
        self.shared.fleet.borrow_mut().on_store_restored();
        self.shared.store_restored.notify_one();
    }

    fn end_restore_phase(&mut self) {
        let now = self.shared.now();
        self.restore = match self.restore {
            Some(Restore::Rewriting(_)) => Some(Restore::Lapsing(now + STALE_LEAF_RETENTION)),
            Some(Restore::Lapsing(_)) | None => {
                self.shared.fleet.borrow_mut().forget_left();
                for (key, revision) in &mut self.revisions {
                    if matches!(Key::parse(key), Key::Leaf(_)) {
                        *revision = NO_REVISION;
                    }
                }
                None
            }
        };
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
            self.keep_lapsed_until = Some(now + LAPSED_LEAF_RETENTION);
        }
        let outage_ms = u64::try_from(outage.as_millis()).unwrap_or(u64::MAX);
        log::info!(outage_ms = outage_ms; "the store answers again");
    }

    async fn read_all(&mut self) -> Result<u64, StoreError> {
        let listing = self.store.list("").await?;
        self.on_success();
        self.apply_listing(&listing);
        Ok(listing.revision)
    }

    /// Waits for changes after `revision`, or until a phase of a restore ends, and then returns none.
    /// Meanwhile probes the store, and fails if a probe fails or if two successive probes show a
    /// newer revision that the watch has not returned.
    async fn watch(&mut self, revision: u64) -> Result<Option<Changes>, StoreError> {
        let watch = self.store.watch(revision, WATCH_TIMEOUT);
        tokio::pin!(watch);
        let mut watch_is_behind = false;
        // The first probe is sent together with the watch: a fault that loses the watch also loses
        // the probe.
        let mut probe_at = self.shared.now();
        let phase_end = self.restore.map(Restore::ends_at);
        loop {
            let phase_end = async {
                match phase_end {
                    Some(at) => tokio::time::sleep_until(at.into()).await,
                    None => std::future::pending().await,
                }
            };
            let probe = async {
                tokio::time::sleep_until(probe_at.into()).await;
                self.probes.probe(&self.probe_key).await
            };
            tokio::select! {
                biased;
                changes = &mut watch => return changes.map(Some),
                () = phase_end => return Ok(None),
                probed = probe => {
                    let probed = probed?;
                    self.shared.last_store_answer.set(self.shared.now());
                    // The answer of the watch may still be in transit, but must arrive before the
                    // next probe.
                    let newer = probed.filter(|probed| *probed > revision);
                    if let Some(probed) = newer && watch_is_behind {
                        return Err(StoreError::MissedChanges(probed));
                    }
                    watch_is_behind = newer.is_some();
                    let settling_time = self.shared.bounds.get().settling_time;
                    probe_at = self.shared.now() + settling_time.mul_f64(PROBE_SHARE);
                }
            }
        }
    }

    async fn read_changes(&mut self, revision: u64) -> Result<u64, StoreError> {
        let Some(changes) = self.watch(revision).await? else {
            return Ok(revision);
        };
        self.on_success();
        let has_events = !changes.events.is_empty();
        log::info!(after = revision, events = changes.events.len(), revision = changes.revision, era:? = self.store.era(); "changes read from the store");
        // Applies only the last change of each item.
        let mut last = HashMap::new();
        for event in &changes.events {
            let key = match event {
                Event::Written(item) => &item.key,
                Event::Removed { key, .. } => key,
            };
            last.insert(key, event);
        }
        for event in last.into_values() {
            self.apply(event);
        }
        self.on_changes_applied();
        if has_events && !changes.is_full {
            let change_time = self.shared.bounds.get().change_time;
            tokio::time::sleep(change_time.mul_f64(BATCH_SHARE)).await;
        }
        Ok(changes.revision)
    }

    fn apply_listing(&mut self, listing: &Listing) {
        let present: HashSet<&str> = listing.items.iter().map(|item| &*item.key).collect();
        let removed: Vec<Box<str>> = self
            .revisions
            .keys()
            .filter(|key| !present.contains(&***key))
            .cloned()
            .collect();
        for key in removed {
            let may_be_rewritten = matches!(self.restore, Some(Restore::Rewriting(_)));
            // The fleet itself keeps leafs until then.
            if may_be_rewritten && !matches!(Key::parse(&key), Key::Leaf(_)) {
                log::info!(key = &*key; "entry is missing after the restore of the store; kept for now");
                continue;
            }
            self.revisions.remove(&key);
            self.on_removed(&key);
        }
        for item in &listing.items {
            self.on_item(item);
        }
        self.on_changes_applied();
        log::info!(
            revision = listing.revision,
            items = listing.items.len(),
            leafs = self.shared.fleet.borrow().len(),
            config_version = self.shared.plan_version(),
            era:? = self.store.era();
            "all entries read from the store"
        );
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Written(item) => self.on_item(item),
            Event::Removed { key, revision } => {
                if self.revisions.get(key).is_none_or(|known| known < revision) {
                    self.revisions.remove(key);
                    self.on_removed(key);
                }
            }
        }
    }

    fn on_item(&mut self, item: &Item) {
        if let Some(applied) = self.revisions.get(&item.key).copied()
            && applied >= item.revision
        {
            if applied > item.revision {
                log::info!(key = &*item.key, revision = item.revision, applied = applied; "entry passed over: a later revision of it was applied");
            }
            return;
        }
        self.revisions.insert(item.key.clone(), item.revision);
        let value = item.value.as_deref();
        match Key::parse(&item.key) {
            Key::Configuration => self.on_configuration(value, item.revision),
            Key::Leaf(id) => self.on_leaf(id, value, item.revision),
            Key::Evacuation(domain) => self.on_evacuation(domain, true),
            Key::Instance(name) => self.on_instance(name, value),
            Key::RolloutSpec(service) => self.on_rollout(service, value),
            Key::RolloutStatus(_) | Key::Other => {}
        }
    }

    fn on_removed(&mut self, key: &str) {
        let now = self.shared.now();
        match Key::parse(key) {
            Key::Leaf(id) => {
                let keep_until = self.keep_lapsed_until.filter(|until| *until > now);
                self.shared.fleet.borrow_mut().remove(id, keep_until, now);
                log::info!(leaf = id, kept = keep_until.is_some(); "leaf entry removed");
            }
            Key::Evacuation(domain) => self.on_evacuation(domain, false),
            Key::Instance(name) => self.shared.instances.borrow_mut().remove(name, now),
            Key::RolloutSpec(service) => {
                log::info!(service = service; "rollout withdrawn; its version is no longer excluded from traffic");
                self.shared
                    .fleet
                    .borrow_mut()
                    .set_excluded_version(service, None);
            }
            Key::Configuration | Key::RolloutStatus(_) | Key::Other => {}
        }
    }

    fn on_configuration(&self, value: Option<&[u8]>, revision: u64) {
        let plan = match value.map(plan::read) {
            Some(Ok(plan)) => plan,
            Some(Err(error)) => {
                log::error!(revision = revision, error:% = error; "invalid configuration ignored; the one in force stays");
                return;
            }
            None => {
                log::error!(revision = revision; "configuration is not base64, ignored; the one in force stays");
                return;
            }
        };
        let before = self.shared.plan_version();
        if plan.version() <= before {
            log::info!(version = plan.version(), in_force = before; "configuration ignored: not newer than the one in force");
            return;
        }
        log::info!(
            version = plan.version(),
            before = before,
            routes = plan.route_count(),
            revision = revision;
            "configuration in force"
        );
        #[expect(clippy::cast_precision_loss, reason = "versions are far below 2^53")]
        metrics::gauge!("camphorhold_config_version").set(plan.version() as f64);
        self.shared.prune(&plan);
        *self.shared.plan.borrow_mut() = Some(Arc::new(plan));
    }

    fn on_leaf(&self, id: &str, value: Option<&[u8]>, revision: u64) {
        let mut fleet = self.shared.fleet.borrow_mut();
        match value.map(|value| leaf::read(id, value)) {
            Some(Ok(entry)) => {
                log::info!(
                    leaf = id,
                    service = &*entry.service,
                    standing:? = entry.standing,
                    cold_ms = u64::try_from(entry.cold_remaining.as_millis()).unwrap_or(u64::MAX),
                    revision = revision;
                    "leaf entry applied"
                );
                if fleet.update(entry, self.shared.now()).is_none() {
                    log::info!(leaf = id; "leaf entry is from before the restore of the store; the later one stays");
                }
            }
            Some(Err(error)) => {
                log::warn!(leaf = id, error:% = error; "invalid leaf entry; leaf removed");
                fleet.remove(id, None, self.shared.now());
            }
            None => {
                log::warn!(leaf = id; "leaf entry is not base64; leaf removed");
                fleet.remove(id, None, self.shared.now());
            }
        }
    }

    fn on_instance(&self, name: &str, value: Option<&[u8]>) {
        let location = match registration::read(value.unwrap_or_default()) {
            Ok(location) => Some(location),
            Err(error) => {
                log::warn!(instance = name, error:% = error; "invalid registration; the instance gets no handovers");
                None
            }
        };
        log::info!(instance = name, location:? = location; "instance registered");
        self.shared.instances.borrow_mut().add(name, location);
    }

    /// Excludes the target version of a rollout from traffic. Instances do not evaluate versions
    /// yet, and a version that is not evaluated must not get traffic.
    fn on_rollout(&self, service: &str, value: Option<&[u8]>) {
        match serde_json::from_slice::<RolloutSpec>(value.unwrap_or_default()) {
            Ok(spec) => {
                log::warn!(
                    service = service,
                    version = &*spec.version;
                    "rollouts are not supported; the target version gets no traffic"
                );
                let mut fleet = self.shared.fleet.borrow_mut();
                fleet.set_excluded_version(service, Some(spec.version));
            }
            Err(error) => {
                log::warn!(service = service, error:% = error; "invalid rollout ignored");
            }
        }
    }

    fn on_evacuation(&self, domain: &str, evacuated: bool) {
        log::info!(domain = domain, evacuated = evacuated; "evacuation of the failure domain set or cleared");
        let mut fleet = self.shared.fleet.borrow_mut();
        fleet.set_evacuated(domain, evacuated);
    }

    fn on_changes_applied(&self) {
        self.shared.divide_limits();
        let has_plan_and_leafs =
            self.shared.plan.borrow().is_some() && !self.shared.fleet.borrow().is_empty();
        if has_plan_and_leafs && self.shared.phase.get() == Phase::Starting {
            self.shared.phase.set(Phase::Serving);
            self.shared.plan_ready.notify_waiters();
            log::info!(config_version = self.shared.plan_version(); "ready");
        }
    }
}
