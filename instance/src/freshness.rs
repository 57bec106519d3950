//! Keeps the proof of this instance that its configuration is the latest one: reads the store when it
//! is due, and exchanges challenges and answers with other instances.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use camphorhold::coordination::serving::freshness;
use camphorhold::coordination::serving::freshness::Answers;
use camphorhold::coordination::serving::watch::Read;
use camphorhold_platform::store::Store;
use camphorhold_platform::store::StoreError;

use crate::datagram;
use crate::group::Group;
use crate::release;
use crate::shared::Shared;

/// The number of instances that read for another one.
const READERS: usize = 2;

/// How long a read may take, as a share of the revocation time. A later answer is of little use.
const READ_TIMEOUT_SHARE: f64 = 0.3;

/// How often a task that has nothing to do looks again whether it has.
const IDLE_PAUSE: Duration = Duration::from_millis(100);

/// Makes reads and sends challenges until the process ends, while the settings ask for proofs.
pub async fn run(shared: Rc<Shared>) {
    tokio::join!(read(&shared), challenge(&shared));
}

async fn challenge(shared: &Shared) {
    let mut group = Group::new(release::CUSTOMERS);
    loop {
        let Some(revocation_time) = shared.bounds.get().revocation_time else {
            tokio::time::sleep(IDLE_PAUSE).await;
            continue;
        };
        let group = group.get(shared);
        if !group.others.is_empty() {
            let now = shared.clock.since_boot();
            let challenge = shared
                .freshness
                .borrow_mut()
                .challenge(revocation_time, now);
            let count = if challenge.urgent {
                group.others.len()
            } else {
                READERS.min(group.others.len())
            };
            datagram::send_challenge(shared, &group.others[..count], challenge);
        }
        tokio::time::sleep(freshness::challenge_pause(revocation_time)).await;
    }
}

async fn read(shared: &Shared) {
    let mut group = Group::new(release::CUSTOMERS);
    let mut store = Store::in_era(shared.settings.store_address, shared.store_era.get());
    loop {
        let Some(revocation_time) = shared.bounds.get().revocation_time else {
            tokio::time::sleep(IDLE_PAUSE).await;
            continue;
        };
        let group = group.get(shared);
        let due =
            shared
                .freshness
                .borrow()
                .read_due(revocation_time, group.rank, group.others.len() + 1);
        let now = shared.clock.since_boot();
        let left = due.map_or(IDLE_PAUSE, |due| due.saturating_sub(now));
        // A challenge or a change of the settings may have made a read due earlier.
        if due.is_none() || !left.is_zero() {
            tokio::time::sleep(left.min(IDLE_PAUSE)).await;
            continue;
        }
        let begun = shared.freshness.borrow_mut().begin_read(now);
        let timeout = revocation_time.mul_f64(READ_TIMEOUT_SHARE);
        let revision = match tokio::time::timeout(timeout, store.probe(Read::Current)).await {
            // Revisions of another era cannot be compared with the applied one.
            Ok(Ok(Some(revision))) if store.era() == shared.store_era.get() => revision,
            // The follower has not noticed it yet. Until its first listing, it notices no restore.
            Ok(Err(StoreError::Restored(era)))
                if shared.store_era.get().is_some_and(|known| known < era) =>
            {
                log::info!(era:% = era; "the store was restored from a copy; no proof of the latest configuration until it was read");
                shared.freshness.borrow_mut().on_restored();
                continue;
            }
            Ok(Err(error)) => {
                log::debug!(error:% = error; "current read for a proof failed");
                continue;
            }
            Ok(Ok(_)) | Err(_) => continue,
        };
        let answers = shared.freshness.borrow_mut().on_read(begun, revision);
        answer(shared, &answers);
        notify_follower(shared);
    }
}

/// Returns whether the proof waits for changes, and is old enough for them to be read at once.
pub fn wants_changes(shared: &Shared) -> bool {
    let now = shared.clock.since_boot();
    let freshness = shared.freshness.borrow();
    let revocation_time = shared.bounds.get().revocation_time;
    revocation_time.is_some_and(|revocation_time| freshness.wants_changes(revocation_time, now))
}

fn notify_follower(shared: &Shared) {
    if wants_changes(shared) {
        shared.changes_wanted.notify_waiters();
    }
}

/// Sends the answers to the challenges that a proof covers.
pub fn answer(shared: &Shared, answers: &Answers) {
    for (address, number) in answers {
        datagram::send_answer(shared, *address, *number);
    }
}

/// Publishes the age of the proof, and logs when it is too old and when it holds again. `held` is
/// whether it held the last time.
pub fn report(shared: &Shared, held: &mut bool) {
    let Some(revocation_time) = shared.bounds.get().revocation_time else {
        return;
    };
    let now = shared.clock.since_boot();
    let freshness = shared.freshness.borrow();
    let age = freshness.age(now);
    if let Some(age) = age {
        metrics::gauge!("camphorhold_proof_age_seconds").set(age.as_secs_f64());
    }
    let holds = freshness.is_proven(revocation_time, now);
    let age_ms = age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
    match (std::mem::replace(held, holds), holds) {
        (true, false) => {
            log::warn!(age_ms:? = age_ms, config_version = freshness.version(); "no proof that the configuration is the latest one; refusing requests with keys");
        }
        (false, true) => {
            log::info!(age_ms:? = age_ms, config_version = freshness.version(); "the configuration is proven to be the latest one");
        }
        _ => {}
    }
}

/// Returns whether requests with keys may run, if the settings ask for a proof. Otherwise returns the
/// time after which callers should try again.
pub fn check(shared: &Shared) -> Result<(), Duration> {
    let Some(revocation_time) = shared.bounds.get().revocation_time else {
        return Ok(());
    };
    let now = shared.clock.since_boot();
    if shared.freshness.borrow().is_proven(revocation_time, now) {
        return Ok(());
    }
    Err(freshness::challenge_pause(revocation_time))
}

/// Records the challenge of another instance.
pub fn on_challenge(shared: &Shared, sender: SocketAddr, challenge: freshness::Challenge) {
    let mut freshness = shared.freshness.borrow_mut();
    freshness.on_challenge(sender, challenge);
}

/// Records the answer of another instance in the same era of the store.
pub fn on_answer(shared: &Shared, number: u64, version: u64) {
    shared.freshness.borrow_mut().on_answer(number, version);
    notify_follower(shared);
}
