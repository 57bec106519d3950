//! Datagrams between instances: what a current read of the store has shown, challenges and their
//! answers, which prove that a configuration is the latest one, and alarms about requests under which
//! leafs may have ended.
//!
//! They go between the addresses for other instances. One that is lost costs a read of the store, or
//! lets an instance send a harmful request once more.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use camphorhold::coordination::serving::alarms::Level;
use camphorhold::coordination::serving::freshness::Challenge;
use camphorhold::coordination::serving::watch::Read;
use camphorhold::coordination::serving::watch::Sighting;
use camphorhold::state::id::Fingerprint;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use tokio::net::UdpSocket;

use crate::delivery;
use crate::delivery::WireReceipt;
use crate::delivery::WireUsage;
use crate::freshness;
use crate::release;
use crate::shared::Shared;

/// The longest accepted datagram. They have some 80 bytes; later releases may add fields.
pub const MAX_BYTES: usize = 512;

/// How many senders of invalid datagrams are logged.
const MAX_LOGGED_SENDERS: usize = 100;

/// The pause after a failed call to the socket.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The pause between two attempts to bind the socket.
const BIND_PAUSE: Duration = Duration::from_secs(1);

/// A datagram, as sent in JSON.
#[derive(Debug, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Wire {
    Confirmation(WireConfirmation),
    Alarm(WireAlarm),
    Challenge(WireChallenge),
    ChallengeAnswer(WireChallengeAnswer),
    Usage(WireUsage),
    UsageReceipt(WireReceipt),
    // A kind that a later release has added.
    #[serde(other)]
    Unknown,
}

/// What a current read of the store has shown.
#[derive(Debug, Deserialize, Serialize)]
pub struct WireConfirmation {
    revision: u64,
    // Absent if the store states none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    era: Option<Box<str>>,
    // Since the read was sent, in the machine's time, which goes on while it is suspended.
    read_ms_ago: u64,
}

/// Asks a reader to answer once it has a proof from a read that it sends after this.
#[derive(Debug, Deserialize, Serialize)]
pub struct WireChallenge {
    challenge: u64,
    // The sender gets no proofs from its readers.
    #[serde(default)]
    urgent: bool,
}

/// The sender's configuration was the latest one at the time of a read that it sent after it had
/// received the challenge.
#[derive(Debug, Deserialize, Serialize)]
pub struct WireChallengeAnswer {
    challenge: u64,
    version: u64,
    // Absent if the store states none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    era: Option<Box<str>>,
}

/// What is suspected of a request.
#[derive(Debug, Deserialize, Serialize)]
pub struct WireAlarm {
    fingerprint: Box<str>,
    level: WireLevel,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum WireLevel {
    // A leaf has survived the request, or the connections were lost for another reason.
    Cleared,
    Suspected,
    Confirmed,
    // A level that a later release has added.
    #[serde(other)]
    Unknown,
}

impl From<Level> for WireLevel {
    fn from(level: Level) -> Self {
        match level {
            Level::Suspected => Self::Suspected,
            Level::Confirmed => Self::Confirmed,
        }
    }
}

/// Why a datagram is not used.
#[derive(Debug, Error)]
enum Invalid {
    #[error("the sender is not registered")]
    Unregistered,
    #[error("longer than {MAX_BYTES} bytes")]
    TooLong,
    #[error(transparent)]
    Unreadable(#[from] serde_json::Error),
    #[error("not a fingerprint: {0}")]
    Fingerprint(Box<str>),
}

/// Tells the other instances of this one's group what a read has shown that was sent at
/// `sent_since_boot`.
pub fn send_confirmation(
    shared: &Shared,
    others: &[SocketAddr],
    revision: u64,
    sent_since_boot: Duration,
) {
    let age = shared.clock.since_boot().saturating_sub(sent_since_boot);
    let confirmation = WireConfirmation {
        revision,
        era: shared.store_era.get().map(|era| era.to_string().into()),
        read_ms_ago: u64::try_from(age.as_millis())
            .unwrap_or(u64::MAX)
            .saturating_add(1),
    };
    send(shared, others, &Wire::Confirmation(confirmation));
}

/// Sends a challenge to other instances.
pub fn send_challenge(shared: &Shared, others: &[SocketAddr], challenge: Challenge) {
    let challenge = WireChallenge {
        challenge: challenge.number,
        urgent: challenge.urgent,
    };
    send(shared, others, &Wire::Challenge(challenge));
}

/// Answers the challenge of another instance.
pub fn send_answer(shared: &Shared, address: SocketAddr, challenge: u64) {
    let answer = WireChallengeAnswer {
        challenge,
        version: shared.freshness.borrow().version(),
        era: shared.store_era.get().map(|era| era.to_string().into()),
    };
    send(shared, &[address], &Wire::ChallengeAnswer(answer));
}

/// Records a loss of connections under a request, and tells all instances of it if it is news.
pub fn raise_alarm(shared: &Shared, fingerprint: Fingerprint, level: Level) {
    let mut alarms = shared.alarms.borrow_mut();
    if alarms.on_loss(fingerprint, level, shared.now()) {
        log::warn!(fingerprint:% = fingerprint, level:? = level; "connections to leafs were lost under a request; telling the other instances");
        send_alarm(shared, fingerprint, level.into());
    }
}

/// Drops the alarm about a request, if there is one, here and at all instances.
pub fn clear_alarm(shared: &Shared, fingerprint: Fingerprint, reason: &'static str) {
    if shared.alarms.borrow_mut().clear(fingerprint) {
        log::info!(fingerprint:% = fingerprint, reason = reason; "alarm about a request dropped");
        send_alarm(shared, fingerprint, WireLevel::Cleared);
    }
}

fn send_alarm(shared: &Shared, fingerprint: Fingerprint, level: WireLevel) {
    let others: Vec<SocketAddr> = {
        let instances = shared.instances.borrow();
        instances.others(release::DATAGRAMS).collect()
    };
    let alarm = WireAlarm {
        fingerprint: fingerprint.to_string().into(),
        level,
    };
    send(shared, &others, &Wire::Alarm(alarm));
}

/// Sends a datagram to these addresses, as far as the socket takes it.
pub fn send(shared: &Shared, others: &[SocketAddr], datagram: &Wire) {
    let bytes = match serde_json::to_vec(datagram) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(error:% = error; "cannot encode a datagram");
            return;
        }
    };
    let socket = shared.datagrams.get();
    for address in others {
        let outcome = match socket.map(|socket| socket.try_send_to(&bytes, *address)) {
            Some(Ok(_)) => "sent",
            // Not worth a line each: the next instance of the group reads by itself.
            Some(Err(_)) | None => "unsent",
        };
        count(datagram, outcome);
    }
}

fn count(datagram: &Wire, outcome: &'static str) {
    let kind = match datagram {
        Wire::Confirmation(_) => "confirmation",
        Wire::Alarm(_) => "alarm",
        Wire::Challenge(_) => "challenge",
        Wire::ChallengeAnswer(_) => "challenge_answer",
        Wire::Usage(_) => "usage",
        Wire::UsageReceipt(_) => "usage_receipt",
        Wire::Unknown => "unknown",
    };
    metrics::counter!("camphorhold_datagrams_total", "kind" => kind, "outcome" => outcome)
        .increment(1);
}

/// Binds the socket unless it is bound. The instance works without it: it then reads the store by
/// itself, and its requests are no worse off than those of an instance that misses a datagram.
async fn bind(shared: &Shared) -> &UdpSocket {
    let address = shared.settings.peer_address;
    let mut has_failed = false;
    loop {
        if let Some(socket) = shared.datagrams.get() {
            return socket;
        }
        match UdpSocket::bind(address).await {
            Ok(socket) => {
                if has_failed {
                    log::info!(address:% = address; "datagrams can be exchanged now");
                }
                return shared.datagrams.get_or_init(|| socket);
            }
            Err(error) => {
                if !std::mem::replace(&mut has_failed, true) {
                    log::warn!(address:% = address, error:% = error; "cannot bind the socket for datagrams; running without, and trying again");
                }
            }
        }
        tokio::time::sleep(BIND_PAUSE).await;
    }
}

/// Receives the datagrams of other instances until the process ends.
pub async fn run(shared: Rc<Shared>) {
    let socket = bind(&shared).await;
    // One byte more than permitted, to tell a longer datagram.
    let mut buffer = [0; MAX_BYTES + 1];
    // Each invalid sender is logged once, so that a flood of datagrams does not flood the log.
    let mut logged: HashSet<SocketAddr> = HashSet::new();
    loop {
        let (length, sender) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!(error:% = error; "cannot receive datagrams; retrying");
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        let datagram = read(&shared, &buffer[..length], sender);
        let applied = datagram.and_then(|datagram| {
            apply(&shared, &datagram, sender)?;
            count(&datagram, "received");
            Ok(())
        });
        if let Err(error) = applied {
            metrics::counter!("camphorhold_datagrams_total", "kind" => "unknown", "outcome" => "invalid")
                .increment(1);
            if logged.len() < MAX_LOGGED_SENDERS && logged.insert(sender) {
                log::warn!(sender:% = sender, error:% = error; "invalid datagram ignored");
            }
        }
    }
}

fn read(shared: &Shared, datagram: &[u8], sender: SocketAddr) -> Result<Wire, Invalid> {
    if datagram.len() > MAX_BYTES {
        return Err(Invalid::TooLong);
    }
    if !shared.instances.borrow().is_registered(sender) {
        return Err(Invalid::Unregistered);
    }
    Ok(serde_json::from_slice(datagram)?)
}

fn apply(shared: &Shared, datagram: &Wire, sender: SocketAddr) -> Result<(), Invalid> {
    match datagram {
        Wire::Confirmation(confirmation) => apply_confirmation(shared, confirmation),
        Wire::Alarm(alarm) => apply_alarm(shared, alarm)?,
        Wire::Challenge(challenge) => {
            let challenge = Challenge {
                number: challenge.challenge,
                urgent: challenge.urgent,
            };
            freshness::on_challenge(shared, sender, challenge);
        }
        Wire::ChallengeAnswer(answer) => {
            // An answer of another era says nothing about this one.
            let era = shared.store_era.get().map(|era| era.to_string());
            if era.as_deref() == answer.era.as_deref() {
                freshness::on_answer(shared, answer.challenge, answer.version);
            }
        }
        Wire::Usage(usage) => delivery::on_usage(shared, usage, sender),
        Wire::UsageReceipt(receipt) => delivery::on_receipt(shared, receipt),
        Wire::Unknown => {}
    }
    Ok(())
}

/// Records what another instance has seen. Revisions of another era cannot be compared.
fn apply_confirmation(shared: &Shared, confirmation: &WireConfirmation) {
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

fn apply_alarm(shared: &Shared, alarm: &WireAlarm) -> Result<(), Invalid> {
    let fingerprint: Fingerprint = alarm
        .fingerprint
        .parse()
        .map_err(|_| Invalid::Fingerprint(alarm.fingerprint.clone()))?;
    let now = shared.now();
    let mut alarms = shared.alarms.borrow_mut();
    match alarm.level {
        WireLevel::Cleared => {
            alarms.clear(fingerprint);
        }
        WireLevel::Suspected => alarms.on_told(fingerprint, Level::Suspected, now),
        WireLevel::Confirmed => alarms.on_told(fingerprint, Level::Confirmed, now),
        WireLevel::Unknown => {}
    }
    Ok(())
}
