//! Applying a record: file body, ownership, phase and view.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use rand::Rng;

use crate::coordination::control::Action;
use crate::coordination::control::Event;
use crate::coordination::control::Machine;
use crate::coordination::control::Mutation;
use crate::coordination::control::StoreFailure;
use crate::coordination::control::StoreRequestId;
use crate::coordination::gossip::Fact;
use crate::coordination::ownership;
use crate::coordination::ownership::Release;
use crate::coordination::ownership::Table;
use crate::coordination::proposal::StoredRecord;
use crate::state::file::File;
use crate::state::id::InstanceId;
use crate::state::record::FileRef;
use crate::state::record::Record;
use crate::state::view::Currency;
use crate::state::view::LeafStatus;
use crate::state::view::Phase;
use crate::state::view::View;

/// How long this instance waits for a file body from its peers before it reads the store, and
/// between two such reads.
const BODY_WAIT: Duration = Duration::from_secs(1);

/// Limit on the releases kept for generations that this instance has not applied yet.
const MAX_EARLY_RELEASES: usize = 256;

/// Returns the view of an instance that has not applied a record yet.
pub(super) fn first_view(instance: InstanceId, record: Arc<Record>, table: Arc<Table>) -> View {
    View {
        instance,
        phase: Phase::Joining,
        record,
        file: None,
        file_text: None,
        ownership: table,
        revocations: Arc::default(),
        draining_leafs: Arc::default(),
        crash_counts: Arc::default(),
        leaf_statuses: Arc::default(),
        evidence: Arc::default(),
        currency: Currency::Lost,
        valid_until: None,
    }
}

impl Machine {
    /// Adopts a record as the highest one seen if its generation is higher.
    pub(super) fn observe_record(&mut self, stored: StoredRecord, now: Instant) {
        let newer = stored.record.generation > self.known.record.generation;
        if !newer && self.settings.mutation != Mutation::OldRecordsAccepted {
            return;
        }
        self.known = stored;
        self.known_since = now;
        self.promises.note_seen(self.known.record.generation);
        self.membership.on_record(&self.known.record, &self.me, now);
    }

    pub(super) fn on_file_read(
        &mut self,
        request: StoreRequestId,
        result: Result<Option<Arc<str>>, StoreFailure>,
    ) {
        let matches = self.reads.body.take_if(|expected| *expected == request);
        if let (Some(_), Ok(Some(text)), Some(file)) = (matches, result, self.known.record.file) {
            self.body.store(file, text);
        }
    }

    /// Applies the highest record seen if its file body is available.
    pub(super) fn apply_known(
        &mut self,
        now: Instant,
        wall: SystemTime,
        actions: &mut Vec<Action>,
    ) {
        if self.known.record.generation == self.applied.generation {
            return;
        }
        let Some(file) = self.known_file(now, wall, actions) else {
            return;
        };
        let record = self.known.record.clone();
        self.file = file;
        self.change_phase(&record, wall, actions);
        let table = ownership::build(
            self.me.instance,
            &record,
            self.file.as_deref(),
            &self.table,
            self.settings.handover(),
            now,
        );
        let old = std::mem::replace(&mut self.table, Arc::new(table));
        self.carry_currency(now);
        self.applied = record;
        self.apply_early_releases(now);
        let event = Event::Applied(self.applied.generation);
        actions.push(Action::Event { at: wall, event });
        let leaves_early = self.settings.mutation == Mutation::LeavesBeforeReleases;
        if leaves_early && self.has_departed() {
            self.phase = Phase::Left;
        }
        // Traffic threads must see the new owners before the releases let those owners start.
        self.refresh_view(now, wall, actions);
        self.release(&old, now, actions);
        self.schedule_leave(now);
    }

    /// Returns the file of the highest record seen, or `None` while its body is missing or does not
    /// parse.
    #[expect(clippy::option_option, reason = "a record may have no file")]
    fn known_file(
        &mut self,
        now: Instant,
        wall: SystemTime,
        actions: &mut Vec<Action>,
    ) -> Option<Option<Arc<File>>> {
        let Some(file) = self.known.record.file else {
            return Some(None);
        };
        if self.applied.file == Some(file) {
            return Some(self.file.clone());
        }
        let Some(text) = self.body.get(file).cloned() else {
            self.request_body(file, now, actions);
            return None;
        };
        if let Ok(parsed) = File::parse(&text) {
            self.body.store(file, text);
            return Some(Some(Arc::new(parsed)));
        }
        if self.body.rejected.replace(file) != Some(file) {
            let event = Event::FileRejected(file);
            actions.push(Action::Event { at: wall, event });
        }
        None
    }

    fn request_body(&mut self, file: FileRef, now: Instant, actions: &mut Vec<Action>) {
        if now < self.known_since + BODY_WAIT {
            return;
        }
        self.known_since = now;
        let request = self.reads.next();
        self.reads.body = Some(request);
        actions.push(Action::ReadFileBody { request, file });
    }

    fn change_phase(&mut self, record: &Record, wall: SystemTime, actions: &mut Vec<Action>) {
        let listed = record.member(self.me.instance).is_some();
        // Other instances may have added and removed this one before it saw either record.
        let departed = record
            .departures
            .iter()
            .any(|departure| departure.instance == self.me.instance);
        self.phase = match (self.phase, listed) {
            (Phase::Joining, true) => Phase::Member,
            (phase, false) if phase == Phase::Member || departed && phase == Phase::Joining => {
                let old = self.me.instance;
                let new = InstanceId(self.random.random());
                self.me.instance = new;
                let event = Event::Removed { old, new };
                actions.push(Action::Event { at: wall, event });
                Phase::Joining
            }
            (phase, _) => phase,
        };
    }

    pub(super) fn on_release(&mut self, release: &Release, now: Instant) {
        if release.generation > self.applied.generation
            && self.early_releases.len() < MAX_EARLY_RELEASES
        {
            self.early_releases.push(release.clone());
        }
        self.apply_release(release, now);
    }

    fn apply_release(&mut self, release: &Release, now: Instant) {
        let Some(file) = &self.file else {
            return;
        };
        let table = &self.table;
        let handover = self.settings.handover();
        let next = ownership::with_release(table, &self.applied, file, release, handover, now);
        if let Some(next) = next {
            self.table = Arc::new(next);
        }
    }

    fn apply_early_releases(&mut self, now: Instant) {
        for release in std::mem::take(&mut self.early_releases) {
            self.on_release(&release, now);
        }
    }

    /// Publishes a new view if its contents have changed.
    pub(super) fn refresh_view(
        &mut self,
        now: Instant,
        wall: SystemTime,
        actions: &mut Vec<Action>,
    ) {
        self.record_own_heartbeat(now);
        let bound = self.settings.currency_bound;
        let (currency, valid_until) = self.current_currency(bound, now);
        let old = &self.view;
        let same = old.instance == self.me.instance
            && old.phase == self.phase
            && old.currency == currency
            && old.valid_until == valid_until
            && Arc::ptr_eq(&old.record, &self.applied)
            && Arc::ptr_eq(&old.ownership, &self.table);
        if same && !self.facts_changed {
            return;
        }
        if currency != old.currency {
            let event = Event::Currency(currency);
            actions.push(Action::Event { at: wall, event });
        }
        let mut view = View {
            instance: self.me.instance,
            phase: self.phase,
            record: self.applied.clone(),
            file: self.file.clone(),
            file_text: self
                .applied
                .file
                .and_then(|file| self.body.get(file).cloned()),
            ownership: self.table.clone(),
            currency,
            valid_until,
            ..View::clone(old)
        };
        if self.facts_changed || !Arc::ptr_eq(&old.record, &self.applied) {
            self.facts_changed = false;
            self.update_facts(&mut view);
        }
        self.view = Arc::new(view);
        actions.push(Action::PublishView(self.view.clone()));
    }

    fn current_currency(&self, bound: Duration, now: Instant) -> (Currency, Option<Instant>) {
        if self.applied.generation.0 == 0 {
            return (Currency::Lost, None);
        }
        let (currency, until) = self.currency_with_carried(bound, now);
        let store_only = self.settings.mutation == Mutation::StoreEvidenceOnly;
        if store_only && currency == Currency::Witnessed {
            return (Currency::Lost, None);
        }
        (currency, until)
    }

    /// Carries the currency of the applied generation over to the next one. The evidence shows that
    /// no generation after the applied one was accepted before some time T. Any successor of the
    /// next generation is later still, so it was accepted after T too. Without this rule, an
    /// instance that receives a generation by a push would refuse work until its next exchange.
    fn carry_currency(&mut self, now: Instant) {
        if let (currency, Some(until)) = self.current_currency(self.settings.currency_bound, now) {
            self.carried = Some((currency, until));
        }
    }

    fn currency_with_carried(&self, bound: Duration, now: Instant) -> (Currency, Option<Instant>) {
        let (currency, until) = self.evidence.assess(&self.applied, bound, now);
        match self.carried {
            Some((carried, carried_until))
                if now < carried_until && until < Some(carried_until) =>
            {
                let currency = until.map_or(carried, |_| currency);
                (currency, Some(carried_until))
            }
            _ => (currency, until),
        }
    }

    fn update_facts(&self, view: &mut View) {
        let mut revocations = self.applied.revocations.clone();
        let mut drains = BTreeSet::new();
        let mut poison: BTreeMap<_, u32> = BTreeMap::new();
        let mut leaf_statuses = BTreeMap::new();
        let mut evidence = BTreeMap::new();
        for (origin, fact) in self.facts.iter() {
            match fact.clone() {
                Fact::Drain { leaf } => {
                    drains.insert(leaf);
                }
                Fact::Revocation { service, version } => {
                    revocations.insert((service, version));
                }
                Fact::Poison {
                    fingerprint,
                    crashes,
                } => {
                    let sum = poison.entry(fingerprint).or_default();
                    *sum = sum.saturating_add(crashes);
                }
                Fact::LeafStatus {
                    leaf,
                    incarnation,
                    holds,
                    partition,
                    temperature,
                } => {
                    // The current owner's status takes precedence. Until it has reported one, a
                    // status from an earlier owner is used.
                    let owner = self.table.leaf(leaf).map(|owned| owned.owner);
                    let status = LeafStatus {
                        incarnation,
                        holds,
                        partition,
                        temperature,
                    };
                    if owner == Some(origin) {
                        leaf_statuses.insert(leaf, status);
                    } else {
                        leaf_statuses.entry(leaf).or_insert(status);
                    }
                }
                Fact::Evidence { bytes, .. } => {
                    evidence.insert(origin, Arc::from(bytes));
                }
                Fact::Suspicion { .. } => {}
            }
        }
        view.revocations = Arc::new(revocations);
        view.draining_leafs = Arc::new(drains);
        view.crash_counts = Arc::new(poison);
        view.leaf_statuses = Arc::new(leaf_statuses);
        view.evidence = Arc::new(evidence);
    }
}
