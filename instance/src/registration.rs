//! Registers the instance in the store, so that the other instances know how many there are, and
//! their failure domains and addresses.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use camphorhold::coordination::serving::instances::Capacity;
use camphorhold::coordination::serving::instances::Location;
use camphorhold_platform::key;
use camphorhold_platform::store::Lease;
use camphorhold_platform::store::Put;
use camphorhold_platform::store::Store;
use camphorhold_platform::store::StoreError;
use serde::Deserialize;
use serde::Serialize;

use crate::release;
use crate::shared::Shared;

/// The lifetime of a registration: the longest that the store permits. The other instances count an
/// instance for a while after its end anyway, so a shorter lifetime would only cost more renewals.
const LIFETIME: Duration = Duration::from_mins(10);

/// Renewals per lifetime of a registration, at equal intervals.
const RENEWALS_PER_LIFETIME: u32 = 5;

/// The longest pause before an instance registers again that has lost its registration.
const LONGEST_SPREAD: Duration = Duration::from_secs(1);

/// Pause before a failed call to the store is repeated.
const RETRY_PAUSE: Duration = Duration::from_secs(2);

/// The registration of an instance, as stored in JSON.
#[derive(Deserialize, Serialize)]
struct Registration {
    domain: Box<str>,
    address: SocketAddr,
    // In cores. Absent in the registrations of earlier releases.
    capacity: Option<f64>,
    // The version of the messages that the instance knows.
    #[serde(default = "first_protocol")]
    protocol: u32,
}

fn first_protocol() -> u32 {
    1
}

/// Parses the registration of an instance.
///
/// # Errors
///
/// Returns an error if the value is not a registration as this version writes it.
pub fn read(value: &[u8]) -> Result<Location, serde_json::Error> {
    serde_json::from_slice(value).map(|registration: Registration| Location {
        domain: registration.domain,
        address: registration.address,
        capacity: Capacity::from_cores(registration.capacity.unwrap_or(1.0)),
        protocol: registration.protocol,
    })
}

/// Registers the instance and renews the registration, until the process ends. Registers again if
/// the lease expires, and when the registration is gone, for instance with a lease that ran out while
/// the store was down, or after a restore of the store.
pub async fn run(shared: Rc<Shared>) {
    let mut store = Store::new(shared.settings.store_address);
    let key = key::instance(&shared.settings.name);
    loop {
        match register(&mut store, &shared, &key).await {
            Ok(lease) => {
                log::info!(key = key; "registered the instance in the store");
                tokio::select! {
                    () = renew(&mut store, lease) => {
                        log::warn!(key = key; "lease of the registration expired; registering again");
                    }
                    () = shared.registration_lost.notified() => {
                        log::warn!(key = key; "the registration is gone; registering again");
                        store = Store::new(shared.settings.store_address);
                        // All instances may have lost theirs at the same moment.
                        tokio::time::sleep(LONGEST_SPREAD.mul_f32(shared.jitter())).await;
                    }
                }
            }
            Err(StoreError::Restored(era)) => {
                log::info!(key = key, era:% = era; "the store was restored from a copy; registering again");
            }
            Err(error) => {
                log::warn!(error:% = error; "cannot register the instance in the store; retrying");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn register(store: &mut Store, shared: &Shared, key: &str) -> Result<Lease, StoreError> {
    let value = serde_json::to_vec(&Registration {
        domain: shared.settings.domain.clone(),
        address: shared.settings.peer_address,
        capacity: Some(shared.settings.capacity),
        protocol: release::PROTOCOL,
    })?;
    let lease = store.grant(LIFETIME).await?;
    store
        .put(&[Put {
            key,
            value: &value,
            lease: Some(lease.id),
            expected: None,
        }])
        .await?;
    Ok(lease)
}

/// Renews a lease periodically. Returns once the store reports that the lease does not exist.
async fn renew(store: &mut Store, lease: Lease) {
    loop {
        tokio::time::sleep(lease.lifetime / RENEWALS_PER_LIFETIME).await;
        while let Err(error) = store.renew(lease.id).await {
            if matches!(error, StoreError::NotFound) {
                return;
            }
            log::warn!(error:% = error; "cannot renew the registration; retrying");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}
