//! The records of suspect requests in the store, which all instances read and change.

use std::rc::Rc;
use std::time::Duration;

use camphorhold::coordination::serving::suspects::EXPIRY;
use camphorhold::coordination::serving::suspects::Record;
use camphorhold::coordination::serving::suspects::Stored;
use camphorhold::coordination::serving::suspects::Write;
use camphorhold::state::id::Fingerprint;
use camphorhold_platform::key;
use camphorhold_platform::key::Key;
use camphorhold_platform::store::Item;
use camphorhold_platform::store::MAX_PUTS;
use camphorhold_platform::store::Put;
use camphorhold_platform::store::Store;
use camphorhold_platform::store::StoreError;
use serde::Deserialize;
use serde::Serialize;

use crate::shared::Shared;

/// How long a lease is used for further records. They expire that much earlier at the most.
const LEASE_USE: Duration = Duration::from_mins(1);

/// Pause before a write is repeated that the store has refused because a record has changed.
const CONFLICT_PAUSE: Duration = Duration::from_millis(20);

/// Pause before a failed write to the store is repeated.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// The record of a request, as stored in JSON.
#[derive(Deserialize, Serialize)]
struct WireRecord {
    // Earlier releases know this field only. They send a request with one attempt to one leaf
    // first, and refuse one with more.
    attempts: u32,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    trials: Option<u32>,
    #[serde(default)]
    survived: bool,
}

impl From<WireRecord> for Stored {
    fn from(wire: WireRecord) -> Self {
        match wire.trials {
            Some(trials) => Self::Current(Record {
                attempts: wire.attempts,
                trials,
                survived: wire.survived,
            }),
            None => Self::Earlier {
                attempts: wire.attempts,
            },
        }
    }
}

impl From<Record> for WireRecord {
    fn from(record: Record) -> Self {
        Self {
            attempts: record.attempts,
            trials: Some(record.trials),
            survived: record.survived,
        }
    }
}

/// Applies the record of a request that is in the store.
pub fn on_item(shared: &Shared, fingerprint: &str, value: Option<&[u8]>, revision: u64) {
    let record = serde_json::from_slice::<WireRecord>(value.unwrap_or_default());
    match (fingerprint.parse::<Fingerprint>(), record) {
        (Ok(fingerprint), Ok(record)) => {
            log::info!(fingerprint:% = fingerprint, attempts = record.attempts, trials:? = record.trials, survived = record.survived, revision = revision; "record of a suspect request read from the store");
            let mut suspects = shared.suspects.borrow_mut();
            suspects.on_record(fingerprint, record.into(), revision, shared.now());
            if suspects.has_changes() {
                shared.suspects_changed.notify_one();
            }
        }
        (Err(error), _) => {
            log::warn!(fingerprint = fingerprint, error:% = error; "invalid fingerprint in the store ignored");
        }
        (_, Err(error)) => {
            log::warn!(fingerprint = fingerprint, error:% = error; "invalid record of a suspect request ignored");
        }
    }
}

/// Applies that the store no longer holds the record of a request.
pub fn on_removed(shared: &Shared, fingerprint: &str) {
    let Ok(fingerprint) = fingerprint.parse() else {
        return;
    };
    let mut suspects = shared.suspects.borrow_mut();
    suspects.on_removed(fingerprint, shared.now());
    if suspects.has_changes() {
        shared.suspects_changed.notify_one();
    }
}

/// Writes the records of suspect requests to the store whenever they change, until the process ends.
pub async fn run(shared: Rc<Shared>) {
    let mut store = Store::new(shared.settings.store_address);
    loop {
        shared.suspects_changed.notified().await;
        loop {
            let writes = shared.suspects.borrow_mut().begin_writes(MAX_PUTS);
            if writes.is_empty() {
                break;
            }
            match write(&mut store, &shared, &writes).await {
                Ok(()) => {}
                Err(StoreError::Conflict(_)) => {
                    log::info!(records = writes.len(); "records of suspect requests have changed; writing them again");
                    tokio::time::sleep(CONFLICT_PAUSE).await;
                }
                Err(error) => {
                    log::warn!(records = writes.len(), error:% = error; "cannot write records of suspect requests; retrying");
                    abandon(&shared, &writes);
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }
}

/// Writes records to the store. Applies the outcome unless it is another error than a conflict.
///
/// # Errors
///
/// Returns the error of the store. After [`StoreError::Conflict`], the records that it holds have been
/// applied.
pub async fn write(store: &mut Store, shared: &Shared, writes: &[Write]) -> Result<(), StoreError> {
    let lease = lease(store, shared).await?;
    let mut items = Vec::with_capacity(writes.len());
    for write in writes {
        let value = serde_json::to_vec(&WireRecord::from(write.record))?;
        items.push((key::crashes(write.fingerprint), value, write.expected));
    }
    let puts: Vec<Put<'_>> = items
        .iter()
        .map(|(key, value, expected)| Put {
            key,
            value,
            lease: Some(lease),
            expected: Some(*expected),
        })
        .collect();
    match store.put(&puts).await {
        Ok(revision) => {
            let now = shared.now();
            let mut suspects = shared.suspects.borrow_mut();
            for write in writes {
                suspects.on_written(write, revision, now);
            }
            Ok(())
        }
        Err(StoreError::Conflict(stored)) => {
            on_conflict(shared, writes, &stored);
            Err(StoreError::Conflict(stored))
        }
        Err(StoreError::NotFound) => {
            shared.suspects_lease.set(None);
            Err(StoreError::NotFound)
        }
        Err(error) => Err(error),
    }
}

fn abandon(shared: &Shared, writes: &[Write]) {
    let mut suspects = shared.suspects.borrow_mut();
    for write in writes {
        suspects.on_write_failed(write);
    }
}

/// Applies the records in the store that have kept others from being written.
fn on_conflict(shared: &Shared, writes: &[Write], stored: &[Item]) {
    abandon(shared, writes);
    for write in writes {
        let is_stored = |item: &Item| match Key::parse(&item.key) {
            Key::Crashes(fingerprint) => fingerprint.parse() == Ok(write.fingerprint),
            _ => false,
        };
        let fingerprint = write.fingerprint.to_string();
        match stored.iter().find(|item| is_stored(item)) {
            Some(item) => on_item(shared, &fingerprint, item.value.as_deref(), item.revision),
            None if write.expected > 0 => on_removed(shared, &fingerprint),
            None => {}
        }
    }
    shared.suspects_changed.notify_one();
}

/// Returns the lease with which records expire.
async fn lease(store: &mut Store, shared: &Shared) -> Result<u64, StoreError> {
    let now = shared.now();
    if let Some((lease, granted_at)) = shared.suspects_lease.get()
        && now.saturating_duration_since(granted_at) < LEASE_USE
    {
        return Ok(lease);
    }
    let lease = store.grant(EXPIRY).await?;
    shared.suspects_lease.set(Some((lease.id, now)));
    Ok(lease.id)
}
