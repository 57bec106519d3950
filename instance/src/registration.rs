//! Registers the instance in the store, so that the others know how many there are and where.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use camphorhold::coordination::serving::instances::Location;
use camphorhold_platform::key;
use camphorhold_platform::store::Lease;
use camphorhold_platform::store::Put;
use camphorhold_platform::store::Store;
use camphorhold_platform::store::StoreError;
use serde::Deserialize;
use serde::Serialize;

use crate::shared::Shared;

/// The lifetime of a registration: the longest that the store permits. The others count an
/// instance for a while after its end anyway, so a short one would only cost renewals.
const LIFETIME: Duration = Duration::from_mins(10);

/// Renewals per lifetime.
const RENEWALS: u32 = 5;

/// Pause after a failed call.
const PAUSE: Duration = Duration::from_secs(2);

/// What an instance registers.
#[derive(Deserialize, Serialize)]
struct Registration {
    domain: Box<str>,
    address: SocketAddr,
}

/// Reads a registration.
///
/// # Errors
///
/// Returns an error for a value that no instance of this version writes.
pub fn read(value: &[u8]) -> Result<Location, serde_json::Error> {
    serde_json::from_slice(value).map(|registration: Registration| Location {
        domain: registration.domain,
        address: registration.address,
    })
}

/// Keeps the registration alive, for as long as the process runs.
pub async fn run(shared: Rc<Shared>) {
    let mut store = Store::new(shared.settings.store_address);
    let key = key::instance(&shared.settings.name);
    loop {
        match register(&mut store, &shared, &key).await {
            Ok(lease) => {
                log::info!(key = key; "registered");
                renew(&mut store, lease).await;
                log::warn!(key = key; "registration ended");
            }
            Err(error) => {
                log::warn!(error:% = error; "cannot register");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

async fn register(store: &mut Store, shared: &Shared, key: &str) -> Result<Lease, StoreError> {
    let value = serde_json::to_vec(&Registration {
        domain: shared.settings.domain.clone(),
        address: shared.settings.peer_address,
    })?;
    let lease = store.grant(LIFETIME).await?;
    store
        .put(Put {
            key,
            value: &value,
            lease: Some(lease.id),
        })
        .await?;
    Ok(lease)
}

/// Renews a lease until it has ended.
async fn renew(store: &mut Store, lease: Lease) {
    loop {
        tokio::time::sleep(lease.lifetime / RENEWALS).await;
        while let Err(error) = store.renew(lease.id).await {
            if matches!(error, StoreError::NotFound) {
                return;
            }
            log::warn!(error:% = error; "cannot renew the registration");
            tokio::time::sleep(PAUSE).await;
        }
    }
}
