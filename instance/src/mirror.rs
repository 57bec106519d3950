//! What the instance knows from the store: applies entries and their changes to the shared state.

use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use camphorhold::state::customer::Customers;
use camphorhold_platform::key::Key;
use camphorhold_platform::leaf;
use camphorhold_platform::plan;
use camphorhold_platform::rollout::RolloutSpec;
use camphorhold_platform::store::Changes;
use camphorhold_platform::store::Era;
use camphorhold_platform::store::Event;
use camphorhold_platform::store::Item;
use camphorhold_platform::store::Listing;

use crate::crash_records;
use crate::duty;
use crate::registration;
use crate::shared::Phase;
use crate::shared::Shared;

/// How long after the end of an outage leafs are kept although their entries are missing, and after
/// a restore all entries. What lapsed or was lost is written again within about 2 s.
const LAPSED_LEAF_RETENTION: Duration = Duration::from_millis(2_300);

/// How long after that the store may still list leafs that have left before the restore. They do not
/// write any more, and their entries lapse after three of their check-in intervals.
const STALE_LEAF_RETENTION: Duration = Duration::from_secs(15);

/// The applied revision of an entry that has to be applied again. The store starts above it.
const NO_REVISION: u64 = 0;

/// What is left to do after the store was restored from a copy. What the operators and the leafs
/// wrote since the copy was made is written again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Restore {
    /// The entries have not been read since the restore.
    Noticed,
    /// Entries may be missing until this time. What is still missing then is gone.
    Rewriting(Instant),
    /// Entries of leafs that have left may be there until this time. What is still there then is in
    /// use.
    Lapsing(Instant),
}

/// The entries of the store that have been applied.
pub struct Mirror {
    shared: Rc<Shared>,
    // The newest applied revision of each item, so that an older listing does not undo a change.
    revisions: HashMap<Box<str>, u64>,
    // The entries of leafs that are older than what is known of the leaf.
    passed_over: HashMap<Box<str>, Item>,
    // The end of the time in which leafs are kept although their entries are missing.
    keep_lapsed_until: Option<Instant>,
    restore: Option<Restore>,
}

impl Mirror {
    /// Creates the mirror of a store that has not been read yet.
    pub fn new(shared: Rc<Shared>) -> Self {
        Self {
            shared,
            revisions: HashMap::new(),
            passed_over: HashMap::new(),
            keep_lapsed_until: None,
            restore: None,
        }
    }

    /// Records that an outage of the store has ended in which entries may have lapsed.
    pub fn on_outage_end(&mut self) {
        self.keep_lapsed_until = Some(self.shared.now() + LAPSED_LEAF_RETENTION);
    }

    /// Records that the store was restored from a copy. All entries have to be read again.
    pub fn on_restored(&mut self, era: Era) {
        self.shared.store_era.set(Some(era));
        self.shared.watch.borrow_mut().on_restored();
        self.shared.feed.on_restored();
        self.shared.freshness.borrow_mut().on_restored();
        self.shared.watch_changed.notify_waiters();
        metrics::counter!("camphorhold_store_restores_total").increment(1);
        let config_version = self.shared.plan_version();
        log::warn!(era:% = era, config_version = config_version; "the store was restored from a copy; reading all entries, keeping what is missing for now");
        // Revisions are given out again, so all entries that are read next count as new.
        for revision in self.revisions.values_mut() {
            *revision = NO_REVISION;
        }
        self.passed_over.clear();
        self.restore = Some(Restore::Noticed);
        self.shared.fleet.borrow_mut().on_store_restored();
        self.shared.suspects.borrow_mut().on_restored();
        duty::on_restored(&self.shared);
    }

    /// Returns when [`Self::on_timer`] has to be called next.
    pub fn next_timer(&self) -> Option<Instant> {
        match self.restore? {
            Restore::Noticed => None,
            Restore::Rewriting(until) | Restore::Lapsing(until) => Some(until),
        }
    }

    /// Ends a phase after a restore whose time has come.
    pub fn on_timer(&mut self) {
        let now = self.shared.now();
        match self.restore {
            Some(Restore::Rewriting(until)) if until <= now => {
                self.restore = Some(Restore::Lapsing(now + STALE_LEAF_RETENTION));
                let missing: Vec<Box<str>> = self
                    .revisions
                    .iter()
                    .filter(|entry| *entry.1 == NO_REVISION)
                    .map(|(key, _)| key.clone())
                    .collect();
                for key in missing {
                    log::info!(key = &*key; "entry not written again after the restore of the store; removed");
                    self.revisions.remove(&key);
                    self.on_removed(&key, None);
                }
                self.on_changes_applied();
            }
            Some(Restore::Lapsing(until)) if until <= now => {
                self.restore = None;
                self.shared.fleet.borrow_mut().forget_left();
                for item in std::mem::take(&mut self.passed_over).into_values() {
                    if let Key::Leaf(id) = Key::parse(&item.key) {
                        self.on_leaf(id, item.value.as_deref(), item.revision);
                    }
                }
            }
            _ => {}
        }
    }

    /// Applies all entries. Entries that are missing were removed, except while they may be written
    /// again after a restore.
    pub fn apply_listing(&mut self, listing: &Listing, era: Option<Era>) {
        self.shared.store_era.set(era);
        if self.restore == Some(Restore::Noticed) {
            let rewritten_by = self.shared.now() + LAPSED_LEAF_RETENTION;
            self.keep_lapsed_until = Some(rewritten_by);
            let rewritten_by_since_boot = self.shared.clock.since_boot() + LAPSED_LEAF_RETENTION;
            self.shared
                .freshness
                .borrow_mut()
                .on_rewriting(rewritten_by_since_boot);
            self.restore = Some(Restore::Rewriting(rewritten_by));
        }
        let present: HashSet<&str> = listing.items.iter().map(|item| &*item.key).collect();
        let removed: Vec<Box<str>> = self
            .revisions
            .keys()
            .filter(|key| !present.contains(&***key))
            .cloned()
            .collect();
        let may_be_rewritten = matches!(self.restore, Some(Restore::Rewriting(_)));
        for key in removed {
            // The fleet itself keeps leafs until then.
            if may_be_rewritten && !matches!(Key::parse(&key), Key::Leaf(_)) {
                log::info!(key = &*key; "entry is missing after the restore of the store; kept for now");
                continue;
            }
            self.revisions.remove(&key);
            self.on_removed(&key, Some(listing.revision));
        }
        for item in &listing.items {
            self.on_item(item);
        }
        duty::on_listed(&self.shared);
        self.on_changes_applied();
        log::info!(
            revision = listing.revision,
            items = listing.items.len(),
            leafs = self.shared.fleet.borrow().len(),
            config_version = self.shared.plan_version(),
            era:? = era;
            "all entries read from the store"
        );
    }

    /// Applies the changes of an answer of the watch.
    pub fn apply_changes(&mut self, changes: &Changes) {
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
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Written(item) => self.on_item(item),
            Event::Removed { key, revision } => {
                if self.revisions.get(key).is_none_or(|known| known < revision) {
                    self.revisions.remove(key);
                    self.on_removed(key, Some(*revision));
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
            Key::Leaf(id) => {
                let applied = self.on_leaf(id, value, item.revision);
                if applied {
                    self.passed_over.remove(&item.key);
                } else {
                    self.passed_over.insert(item.key.clone(), item.clone());
                }
            }
            Key::Evacuation(domain) => self.on_evacuation(domain, true),
            Key::Instance(name) => self.on_instance(name, value),
            Key::Crashes(fingerprint) => {
                crash_records::on_item(&self.shared, fingerprint, value, item.revision);
            }
            Key::RolloutSpec(service) => self.on_rollout(service, value),
            Key::UsageHolder | Key::UsageEpoch | Key::UsageReport => {
                duty::on_item(&self.shared, item);
            }
            Key::RolloutStatus(_) | Key::Other => {}
        }
    }

    /// Applies that an item is gone, since that revision if it is known.
    fn on_removed(&mut self, key: &str, revision: Option<u64>) {
        let now = self.shared.now();
        self.passed_over.remove(key);
        match Key::parse(key) {
            Key::Leaf(id) => {
                let keep_until = self.keep_lapsed_until.filter(|until| *until > now);
                self.shared.fleet.borrow_mut().remove(id, keep_until, now);
                log::info!(leaf = id, kept = keep_until.is_some(); "leaf entry removed");
            }
            Key::Evacuation(domain) => self.on_evacuation(domain, false),
            Key::Instance(name) => {
                self.shared.instances.borrow_mut().remove(name, now);
                if name == &*self.shared.settings.name {
                    self.shared.registration_lost.notify_one();
                }
            }
            Key::RolloutSpec(service) => {
                log::info!(service = service; "rollout withdrawn; its version is no longer excluded from traffic");
                self.shared
                    .fleet
                    .borrow_mut()
                    .set_excluded_version(service, None);
            }
            Key::Crashes(fingerprint) => crash_records::on_removed(&self.shared, fingerprint),
            key @ (Key::UsageHolder | Key::UsageEpoch | Key::UsageReport) => {
                duty::on_removed(&self.shared, key, revision);
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
            customers:? = plan.customers().map(Customers::len),
            keys:? = plan.customers().map(Customers::key_count),
            revision = revision;
            "configuration in force"
        );
        for problem in plan
            .customers()
            .map(Customers::problems)
            .unwrap_or_default()
        {
            log::error!(version = plan.version(), error:% = problem; "keys of the configuration are not accepted");
        }
        #[expect(clippy::cast_precision_loss, reason = "versions are far below 2^53")]
        metrics::gauge!("camphorhold_config_version").set(plan.version() as f64);
        self.shared.prune(&plan);
        self.shared
            .freshness
            .borrow_mut()
            .on_version(plan.version());
        *self.shared.plan.borrow_mut() = Some(Arc::new(plan));
    }

    /// Applies the entry of a leaf. Returns `false` if it was passed over because it is from before a
    /// restore.
    fn on_leaf(&self, id: &str, value: Option<&[u8]>, revision: u64) -> bool {
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
                let applied = fleet.update(entry, self.shared.now()).is_some();
                if !applied {
                    log::info!(leaf = id; "leaf entry is from before the restore of the store; the later one stays");
                }
                return applied;
            }
            Some(Err(error)) => {
                log::warn!(leaf = id, error:% = error; "invalid leaf entry; leaf removed");
            }
            None => log::warn!(leaf = id; "leaf entry is not base64; leaf removed"),
        }
        fleet.remove(id, None, self.shared.now());
        true
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
