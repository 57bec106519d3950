//! Follows the platform's store: configuration, leafs, evacuations, instances.

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
use camphorhold_platform::store::Event;
use camphorhold_platform::store::Item;
use camphorhold_platform::store::Listing;
use camphorhold_platform::store::Store;
use camphorhold_platform::store::StoreError;

use crate::registration;
use crate::shared::Phase;
use crate::shared::Shared;

/// How long one watch waits; the store permits 30 s. Each return is billed.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// The pause between two probes of the store while a watch waits, as a part of the settling time. The
/// store may stop answering an instance without closing its connections; a watch that was sent then is
/// lost, and has to be sent anew before the instance counts as undisturbed again. The rest of the
/// settling time is left to the timeout of a probe and to the new watch.
const PROBE_SHARE: f64 = 0.375;

/// The part of the time for a change that is spent waiting for further changes, so that a burst of
/// them is read with few calls. Calls are billed.
const BATCH_SHARE: f64 = 0.3;

/// Pauses after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

/// Calls that fail for less than this are no outage; entries do not lapse within it.
const OUTAGE_AFTER: Duration = Duration::from_millis(900);

/// Entries that lapsed during an outage are back within about 2 s of its end.
const LAPSE_HOLD: Duration = Duration::from_millis(2_300);

/// The state of following the store.
pub struct Follower {
    shared: Rc<Shared>,
    store: Store,
    // A second connection, because the first one is busy with a watch.
    probes: Store,
    // The own registration, which exists while the instance runs.
    probe_key: String,
    // The newest revision applied of each item, so that a page does not undo a later change.
    revisions: HashMap<Box<str>, u64>,
    failing_since: Option<Instant>,
    // Until when leafs without an entry are kept.
    lapse_until: Option<Instant>,
}

impl Follower {
    /// Creates a follower that has read nothing.
    pub fn new(shared: Rc<Shared>) -> Self {
        let store = Store::new(shared.settings.store_address);
        let probes = Store::new(shared.settings.store_address);
        let probe_key = key::instance(&shared.settings.name);
        Self {
            shared,
            store,
            probes,
            probe_key,
            revisions: HashMap::new(),
            failing_since: None,
            lapse_until: None,
        }
    }

    /// Follows the store, for as long as the process runs.
    pub async fn run(mut self) {
        let mut pause = FIRST_PAUSE;
        let mut known = None;
        loop {
            let result = match known {
                None => self.read_all().await,
                Some(revision) => self.read_changes(revision).await,
            };
            match result {
                Ok(revision) => {
                    known = Some(revision);
                    pause = FIRST_PAUSE;
                }
                Err(StoreError::Compacted) => {
                    log::info!(revision:? = known; "the store's history is gone, reading everything");
                    known = None;
                }
                Err(error) => {
                    self.on_failure(&error);
                    self.wait_for_answer(&mut pause).await;
                }
            }
        }
    }

    /// Waits until the store answers again. A probe costs a tenth of the call that failed.
    async fn wait_for_answer(&mut self, pause: &mut Duration) {
        loop {
            tokio::time::sleep(*pause).await;
            *pause = (*pause * 2).min(LONGEST_PAUSE);
            match self.probes.probe(&self.probe_key).await {
                // The next watch may wait for long; entries that lapsed are due back from now on.
                Ok(_) => return self.on_success(),
                Err(error) => self.on_failure(&error),
            }
        }
    }

    fn on_failure(&mut self, error: &StoreError) {
        metrics::counter!("camphorhold_store_calls_total", "outcome" => "failed").increment(1);
        if self.failing_since.is_none() {
            self.failing_since = Some(self.shared.now());
            log::warn!(error:% = error, config_version = self.shared.plan_version(); "lost the store");
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
        if outage >= OUTAGE_AFTER {
            self.lapse_until = Some(now + LAPSE_HOLD);
        }
        let outage_ms = u64::try_from(outage.as_millis()).unwrap_or(u64::MAX);
        log::info!(outage_ms = outage_ms; "regained the store");
    }

    async fn read_all(&mut self) -> Result<u64, StoreError> {
        let listing = self.store.list("").await?;
        self.on_success();
        self.apply_listing(&listing);
        Ok(listing.revision)
    }

    /// Watches for changes. While the watch waits, probes show whether the store still answers.
    async fn watch(&mut self, revision: u64) -> Result<Changes, StoreError> {
        let watch = self.store.watch(revision, WATCH_WAIT);
        tokio::pin!(watch);
        let mut untold = false;
        // The first probe goes out with the watch: what loses one of them loses the other too.
        let mut probe_at = self.shared.now();
        loop {
            let probe = async {
                tokio::time::sleep_until(probe_at.into()).await;
                self.probes.probe(&self.probe_key).await
            };
            tokio::select! {
                biased;
                changes = &mut watch => return changes,
                shown = probe => {
                    let shown = shown?;
                    self.shared.last_store_answer.set(self.shared.now());
                    // The answer of the watch may be on its way; by the next probe it has come.
                    let newer = shown.filter(|shown| *shown > revision);
                    if let Some(shown) = newer && untold {
                        return Err(StoreError::MissedChanges(shown));
                    }
                    untold = newer.is_some();
                    let settling_time = self.shared.bounds.get().settling_time;
                    probe_at = self.shared.now() + settling_time.mul_f64(PROBE_SHARE);
                }
            }
        }
    }

    async fn read_changes(&mut self, revision: u64) -> Result<u64, StoreError> {
        let changes = self.watch(revision).await?;
        self.on_success();
        let any = !changes.events.is_empty();
        log::info!(after = revision, events = changes.events.len(), revision = changes.revision; "changes read");
        // Only the last change of an item matters.
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
        self.after_changes();
        if any && !changes.is_full {
            let change_time = self.shared.bounds.get().change_time;
            tokio::time::sleep(change_time.mul_f64(BATCH_SHARE)).await;
        }
        Ok(changes.revision)
    }

    fn apply_listing(&mut self, listing: &Listing) {
        let present: HashSet<&str> = listing.items.iter().map(|item| &*item.key).collect();
        let gone: Vec<Box<str>> = self
            .revisions
            .keys()
            .filter(|key| !present.contains(&***key))
            .cloned()
            .collect();
        for key in gone {
            self.revisions.remove(&key);
            self.on_removed(&key);
        }
        for item in &listing.items {
            self.on_item(item);
        }
        self.after_changes();
        log::info!(
            revision = listing.revision,
            items = listing.items.len(),
            leafs = self.shared.fleet.borrow().len(),
            config_version = self.shared.plan_version();
            "read the store"
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
        if self.revisions.get(&item.key) >= Some(&item.revision) {
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
                let keep_until = self.lapse_until.filter(|until| *until > now);
                self.shared.fleet.borrow_mut().remove(id, keep_until);
                log::info!(leaf = id, kept = keep_until.is_some(); "leaf entry removed");
            }
            Key::Evacuation(domain) => self.on_evacuation(domain, false),
            Key::Instance(name) => self.shared.instances.borrow_mut().remove(name, now),
            Key::RolloutSpec(service) => {
                log::info!(service = service; "rollout order withdrawn");
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
                log::error!(revision = revision, error:% = error; "configuration not usable, the one in force stays");
                return;
            }
            None => {
                log::error!(revision = revision; "configuration not readable, the one in force stays");
                return;
            }
        };
        let before = self.shared.plan_version();
        if plan.version() <= before {
            log::info!(version = plan.version(), in_force = before; "older configuration ignored");
            return;
        }
        log::info!(
            version = plan.version(),
            before = before,
            routes = plan.route_count(),
            revision = revision;
            "configuration in force"
        );
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
                    "leaf entry"
                );
                fleet.update(entry, self.shared.now());
            }
            Some(Err(error)) => {
                log::warn!(leaf = id, error:% = error; "leaf entry ignored");
                fleet.remove(id, None);
            }
            None => {
                log::warn!(leaf = id; "leaf entry is not base64, ignored");
                fleet.remove(id, None);
            }
        }
    }

    fn on_instance(&self, name: &str, value: Option<&[u8]>) {
        let location = match registration::read(value.unwrap_or_default()) {
            Ok(location) => Some(location),
            Err(error) => {
                log::warn!(instance = name, error:% = error; "registration not readable");
                None
            }
        };
        log::info!(instance = name, location:? = location; "instance registered");
        self.shared.instances.borrow_mut().add(name, location);
    }

    /// Keeps traffic away from a version that is to be rolled out. Instances do not judge versions
    /// yet, and a version that nobody judges must not get a share.
    fn on_rollout(&self, service: &str, value: Option<&[u8]>) {
        match serde_json::from_slice::<RolloutSpec>(value.unwrap_or_default()) {
            Ok(spec) => {
                log::warn!(
                    service = service,
                    version = &*spec.version;
                    "rollout not supported, the version gets no traffic"
                );
                let mut fleet = self.shared.fleet.borrow_mut();
                fleet.set_excluded_version(service, Some(spec.version));
            }
            Err(error) => {
                log::warn!(service = service, error:% = error; "rollout order not readable");
            }
        }
    }

    fn on_evacuation(&self, domain: &str, evacuated: bool) {
        log::info!(domain = domain, evacuated = evacuated; "evacuation");
        let mut fleet = self.shared.fleet.borrow_mut();
        fleet.set_evacuated(domain, evacuated);
    }

    fn after_changes(&self) {
        self.shared.divide_limits();
        let known = self.shared.plan.borrow().is_some() && !self.shared.fleet.borrow().is_empty();
        if known && self.shared.phase.get() == Phase::Starting {
            self.shared.phase.set(Phase::Serving);
            self.shared.plan_ready.notify_waiters();
            log::info!(config_version = self.shared.plan_version(); "ready");
        }
    }
}
