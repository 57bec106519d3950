//! Tells the other instances of a group which revision a current read of the store has shown, so
//! that one read serves all of them.
//!
//! Each confirmation is one datagram between the addresses for other instances. One that is lost
//! costs a read: the next instance of the group makes its own.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use camphorhold::coordination::serving::watch::Read;
use camphorhold::coordination::serving::watch::Sighting;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::shared::Shared;

/// The longest accepted datagram. A confirmation has some 60 bytes; later releases may add fields.
const MAX_DATAGRAM_BYTES: usize = 512;

/// How many senders of invalid datagrams are logged.
const MAX_LOGGED_SENDERS: usize = 100;

/// The pause after a failed call to the socket.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What a current read of the store has shown, as sent in JSON.
#[derive(Debug, Deserialize, Serialize)]
struct WireConfirmation {
    revision: u64,
    // Absent if the store states none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    era: Option<Box<str>>,
    // Since the read was sent, in the machine's time, which goes on while it is suspended.
    read_ms_ago: u64,
}

/// Why a datagram is not used.
#[derive(Debug, Error)]
enum Invalid {
    #[error("the sender is not registered")]
    Unregistered,
    #[error("longer than {MAX_DATAGRAM_BYTES} bytes")]
    TooLong,
    #[error(transparent)]
    Unreadable(#[from] serde_json::Error),
}

/// Tells the other instances of this one's group what a read has shown that was sent at
/// `sent_since_boot`.
pub fn send(shared: &Shared, others: &[SocketAddr], revision: u64, sent_since_boot: Duration) {
    if others.is_empty() {
        return;
    }
    let age = shared.clock.since_boot().saturating_sub(sent_since_boot);
    let confirmation = WireConfirmation {
        revision,
        era: shared.store_era.get().map(|era| era.to_string().into()),
        read_ms_ago: u64::try_from(age.as_millis())
            .unwrap_or(u64::MAX)
            .saturating_add(1),
    };
    let datagram = match serde_json::to_vec(&confirmation) {
        Ok(datagram) => datagram,
        Err(error) => {
            log::error!(error:% = error; "cannot encode a confirmation");
            return;
        }
    };
    let mut unsent: usize = 0;
    for address in others {
        if shared.datagrams.try_send_to(&datagram, *address).is_err() {
            unsent += 1;
        }
    }
    metrics::counter!("camphorhold_confirmations_total", "outcome" => "sent")
        .increment((others.len() - unsent) as u64);
    if unsent > 0 {
        metrics::counter!("camphorhold_confirmations_total", "outcome" => "unsent")
            .increment(unsent as u64);
    }
}

/// Receives the confirmations of other instances until the process ends.
pub async fn run(shared: Rc<Shared>) {
    // One byte more than permitted, to tell a longer datagram.
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    // Each invalid sender is logged once, so that a flood of datagrams does not flood the log.
    let mut logged: HashSet<SocketAddr> = HashSet::new();
    loop {
        let (length, sender) = match shared.datagrams.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!(error:% = error; "cannot receive confirmations; retrying");
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        match read(&shared, &buffer[..length], sender) {
            Ok(confirmation) => {
                metrics::counter!("camphorhold_confirmations_total", "outcome" => "received")
                    .increment(1);
                apply(&shared, &confirmation);
            }
            Err(error) => {
                metrics::counter!("camphorhold_confirmations_total", "outcome" => "invalid")
                    .increment(1);
                if logged.len() < MAX_LOGGED_SENDERS && logged.insert(sender) {
                    log::warn!(sender:% = sender, error:% = error; "datagram is not a confirmation; ignored");
                }
            }
        }
    }
}

fn read(shared: &Shared, datagram: &[u8], sender: SocketAddr) -> Result<WireConfirmation, Invalid> {
    if datagram.len() > MAX_DATAGRAM_BYTES {
        return Err(Invalid::TooLong);
    }
    if !shared.instances.borrow().is_registered(sender) {
        return Err(Invalid::Unregistered);
    }
    Ok(serde_json::from_slice(datagram)?)
}

/// Records what another instance has seen. Revisions of another era cannot be compared.
fn apply(shared: &Shared, confirmation: &WireConfirmation) {
    let era = shared.store_era.get().map(|era| era.to_string());
    if era.as_deref() != confirmation.era.as_deref() {
        return;
    }
    let age = Duration::from_millis(confirmation.read_ms_ago);
    let Some(sent) = shared.now().checked_sub(age) else {
        return;
    };
    shared.on_sighting(Sighting {
        read: Read::Current,
        revision: confirmation.revision,
        sent,
    });
}
