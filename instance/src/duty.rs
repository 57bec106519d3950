//! Holds the duty of reporting usage, if no other instance does, by a lease of the store.

use std::rc::Rc;
use std::time::Duration;

use camphorhold::coordination::serving::duty::Action;
use camphorhold::coordination::serving::duty::Claim;
use camphorhold::coordination::serving::duty::ClaimOutcome;
use camphorhold::coordination::serving::duty::Epoch;
use camphorhold::coordination::serving::duty::Grant;
use camphorhold::coordination::serving::duty::Holder;
use camphorhold::coordination::serving::duty::RenewalOutcome;
use camphorhold::coordination::serving::duty::Times;
use camphorhold_platform::key;
use camphorhold_platform::key::Key;
use camphorhold_platform::settings::Bounds;
use camphorhold_platform::store::Era;
use camphorhold_platform::store::Item;
use camphorhold_platform::store::Put;
use camphorhold_platform::store::Store;
use camphorhold_platform::store::StoreError;
use serde::Deserialize;
use serde::Serialize;

use crate::release;
use crate::report;
use crate::shared::Phase;
use crate::shared::Shared;

/// The name of the duty, which orders the candidates.
const NAME: &str = "usage";

/// The longest pause of the task. Registrations may change the order of the candidates meanwhile.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// The share of the lease, as a divisor, that a renewal may take.
const RENEWAL_TIMEOUT_DIVISOR: u32 = 4;

/// The item of the holder or of the epoch, as stored in JSON.
#[derive(Deserialize, Serialize)]
struct WireHolder {
    // In the item of the epoch, the last holder.
    name: Box<str>,
    epoch: u64,
    attempt: u64,
}

/// Returns the times of the duty that the settings name.
pub fn times(bounds: Bounds) -> Times {
    Times {
        lease: bounds.duty_lease,
        thaw: bounds.thaw_time,
    }
}

/// Applies an item of the duty. Others are ignored.
pub fn on_item(shared: &Shared, item: &Item) {
    let value = item.value.as_deref().unwrap_or_default();
    let key = Key::parse(&item.key);
    if key == Key::UsageReport {
        report::on_item(shared, value, item.revision);
        return;
    }
    let holder = match serde_json::from_slice::<WireHolder>(value) {
        Ok(holder) => holder,
        Err(error) => {
            log::warn!(key = &*item.key, error:% = error; "invalid item of the duty ignored");
            return;
        }
    };
    let mut duty = shared.usage.duty.borrow_mut();
    let epoch = Epoch(holder.epoch);
    if key == Key::UsageHolder {
        let before = duty.holder().map(|holder| holder.epoch);
        if before != Some(epoch) {
            log::info!(holder = &*holder.name, epoch = holder.epoch, revision = item.revision; "holder of the usage duty read from the store");
        }
        let holder = Holder {
            name: holder.name,
            epoch,
            attempt: holder.attempt,
        };
        duty.on_holder(holder, item.revision, shared.clock.since_boot());
    } else if key == Key::UsageEpoch {
        duty.on_epoch(epoch, holder.name, item.revision);
    }
    drop(duty);
    shared.usage.changed.notify_waiters();
}

/// Applies that an item of the duty is gone, since that revision if it is known.
pub fn on_removed(shared: &Shared, key: Key<'_>, revision: Option<u64>) {
    match key {
        Key::UsageHolder => {
            log::info!("the usage duty has no holder");
            let now = shared.clock.since_boot();
            let mut duty = shared.usage.duty.borrow_mut();
            duty.on_holder_removed(revision, now);
        }
        Key::UsageEpoch => shared.usage.duty.borrow_mut().on_epoch_removed(),
        Key::UsageReport => shared.usage.reporter.borrow_mut().on_ledger_removed(),
        _ => return,
    }
    shared.usage.changed.notify_waiters();
}

/// Records that all items of the store have been read.
pub fn on_listed(shared: &Shared) {
    let now = shared.clock.since_boot();
    shared.usage.duty.borrow_mut().on_listed(now);
    shared.usage.changed.notify_waiters();
}

/// Records that the store was restored from a copy.
pub fn on_restored(shared: &Shared) {
    let now = shared.clock.since_boot();
    shared.usage.duty.borrow_mut().on_restored(now);
    let unix = shared.usage.unix(now);
    shared.usage.reporter.borrow_mut().on_restored(unix);
    shared.usage.changed.notify_waiters();
}

/// Takes the duty over when it has no holder, and renews the lease, until the process ends.
pub async fn run(shared: Rc<Shared>) {
    if !shared.usage.is_enabled() {
        return;
    }
    let mut store = Store::new(shared.settings.store_address);
    let mut held = None;
    loop {
        let now = shared.clock.since_boot();
        let action = next(&shared, now);
        held = describe(&shared, held, now);
        match action {
            Action::Wait(until) => {
                let pause = until.saturating_sub(now).min(LONGEST_PAUSE);
                tokio::select! {
                    () = tokio::time::sleep(pause) => {}
                    () = shared.usage.changed.notified() => {}
                }
            }
            Action::RequestLease => claim(&shared, &mut store).await,
            Action::Resolve => resolve(&shared, &mut store).await,
            Action::Renew(lease) => renew(&shared, &mut store, lease).await,
        }
    }
}

fn next(shared: &Shared, now: Duration) -> Action {
    let rank = {
        let instances = shared.instances.borrow();
        instances.candidate_rank(NAME, release::CUSTOMERS)
    };
    let mut duty = shared.usage.duty.borrow_mut();
    duty.set_times(times(shared.bounds.get()));
    if shared.phase.get() == Phase::Stopping {
        duty.stop();
    }
    duty.next(rank, number(shared.store_era.get()), now)
}

/// Publishes whether this instance holds the duty. Returns the epoch in which it does.
fn describe(shared: &Shared, before: Option<Epoch>, now: Duration) -> Option<Epoch> {
    let duty = shared.usage.duty.borrow();
    let held = duty.held_epoch(now);
    #[expect(clippy::cast_precision_loss, reason = "counters of eras are small")]
    if let Some(holder) = duty.holder() {
        metrics::gauge!("camphorhold_duty_epoch").set(holder.epoch.0 as f64);
    }
    metrics::gauge!("camphorhold_duty_holder").set(f64::from(u8::from(held.is_some())));
    match (before, held) {
        (before, Some(epoch)) if before != held => {
            log::info!(epoch = epoch.0; "this instance holds the usage duty now");
        }
        (Some(epoch), None) => {
            log::warn!(epoch = epoch.0; "this instance no longer holds the usage duty");
        }
        _ => {}
    }
    held
}

fn number(era: Option<Era>) -> u64 {
    era.map_or(0, Era::number)
}

async fn claim(shared: &Shared, store: &mut Store) {
    let sent = shared.clock.since_boot();
    let granted = store.grant(shared.bounds.get().duty_lease).await;
    let lease = match granted {
        Ok(lease) => lease,
        Err(error) => {
            log::warn!(error:% = error; "cannot get a lease for the usage duty; retrying");
            let now = shared.clock.since_boot();
            shared.usage.duty.borrow_mut().on_grant_failed(now);
            return;
        }
    };
    if store.era() != shared.store_era.get() {
        // The items have not been read in this era yet.
        let now = shared.clock.since_boot();
        shared.usage.duty.borrow_mut().on_grant_failed(now);
        return;
    }
    let grant = Grant {
        lease: lease.id,
        lifetime: lease.lifetime,
        sent,
        era: number(store.era()),
    };
    let claim = {
        let mut duty = shared.usage.duty.borrow_mut();
        duty.claim(grant, rand::random())
    };
    let Some(claim) = claim else {
        return;
    };
    let outcome = match write(store, &claim).await {
        Ok(revision) => ClaimOutcome::Written(revision),
        Err(StoreError::Conflict(items)) => {
            log::info!(epoch = claim.holder.epoch.0; "another instance has taken the usage duty over");
            for item in &items {
                on_item(shared, item);
            }
            ClaimOutcome::Refused
        }
        Err(error @ (StoreError::NotFound | StoreError::Restored(_))) => {
            log::warn!(error:% = error; "the store has refused the usage duty");
            ClaimOutcome::Refused
        }
        Err(error) => {
            log::warn!(error:% = error; "it is unknown whether this instance holds the usage duty; reading it");
            ClaimOutcome::Unknown
        }
    };
    let now = shared.clock.since_boot();
    shared.usage.duty.borrow_mut().on_claim(outcome, now);
    shared.usage.changed.notify_waiters();
}

async fn write(store: &mut Store, claim: &Claim) -> Result<u64, StoreError> {
    let value = serde_json::to_vec(&WireHolder {
        name: claim.holder.name.clone(),
        epoch: claim.holder.epoch.0,
        attempt: claim.holder.attempt,
    })?;
    let put = |key, lease, expected| Put {
        key,
        value: &value,
        lease,
        expected: Some(expected),
    };
    store
        .put(&[
            put(key::USAGE_HOLDER, Some(claim.lease), claim.expected_holder),
            put(key::USAGE_EPOCH, None, claim.expected_epoch),
        ])
        .await
}

async fn resolve(shared: &Shared, store: &mut Store) {
    let listing = store.list(key::USAGE).await;
    let answered = match listing {
        Ok(listing) => {
            for item in &listing.items {
                on_item(shared, item);
            }
            true
        }
        Err(StoreError::Restored(era)) => {
            log::warn!(era:% = era; "the store was restored while the usage duty was claimed; giving the attempt up");
            let now = shared.clock.since_boot();
            shared.usage.duty.borrow_mut().on_grant_failed(now);
            return;
        }
        Err(error) => {
            log::warn!(error:% = error; "cannot read the holder of the usage duty; retrying");
            false
        }
    };
    let now = shared.clock.since_boot();
    shared.usage.duty.borrow_mut().on_resolved(answered, now);
    shared.usage.changed.notify_waiters();
}

async fn renew(shared: &Shared, store: &mut Store, lease: u64) {
    let sent = shared.clock.since_boot();
    let timeout = shared.bounds.get().duty_lease / RENEWAL_TIMEOUT_DIVISOR;
    let outcome = match tokio::time::timeout(timeout, store.renew(lease)).await {
        Ok(Ok(())) => RenewalOutcome::Renewed,
        Ok(Err(error @ (StoreError::NotFound | StoreError::Restored(_)))) => {
            log::warn!(error:% = error; "the lease of the usage duty is gone");
            RenewalOutcome::Gone
        }
        Ok(Err(error)) => {
            log::warn!(error:% = error; "cannot renew the lease of the usage duty; retrying");
            RenewalOutcome::Unknown
        }
        Err(_) => {
            log::warn!("the store does not renew the lease of the usage duty in time; retrying");
            RenewalOutcome::Unknown
        }
    };
    let now = shared.clock.since_boot();
    let mut duty = shared.usage.duty.borrow_mut();
    duty.on_renewal(outcome, sent, now);
}
