//! Delivers the counts of this instance to the holder of the usage duty, and receives those of
//! others as the holder.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use camphorhold::coordination::serving::duty::Epoch;
use camphorhold::coordination::serving::usage::WindowId;
use camphorhold::coordination::serving::usage::collection::ProcessId;
use camphorhold::coordination::serving::usage::outbox::Delivery;
use serde::Deserialize;
use serde::Serialize;

use crate::datagram;
use crate::datagram::MAX_BYTES;
use crate::datagram::Wire;
use crate::release;
use crate::shared::Shared;

/// How often changed counts are delivered, and those that are not acknowledged again. A process that
/// is killed loses the counts since its last delivery.
const INTERVAL: Duration = Duration::from_millis(400);

/// The bytes of a datagram beside the counts, at the most: the names of its fields and five numbers
/// of up to 20 digits.
const OVERHEAD_BYTES: usize = 190;

/// Counts of one window, or a part of them.
#[derive(Debug, Deserialize, Serialize)]
pub struct WireUsage {
    // Of the holder that the datagram is for.
    epoch: u64,
    process: u64,
    window: u64,
    sequence: u64,
    // The number of the datagram among those of the delivery, from 0.
    part: u32,
    counts: BTreeMap<Box<str>, u64>,
}

/// What the holder answers to counts.
#[derive(Debug, Deserialize, Serialize)]
pub struct WireReceipt {
    epoch: u64,
    process: u64,
    window: u64,
    sequence: u64,
    part: u32,
}

/// Delivers counts until the process ends.
pub async fn run(shared: Rc<Shared>) {
    if !shared.usage.is_enabled() {
        return;
    }
    loop {
        shared.usage.update(&*shared.clock);
        deliver(&shared);
        tokio::select! {
            () = tokio::time::sleep(INTERVAL) => {}
            // There may be a new holder.
            () = shared.usage.changed.notified() => {}
        }
    }
}

/// Delivers what is due to the holder. Does nothing while this instance holds the duty or nobody
/// does.
pub fn deliver(shared: &Shared) {
    let usage = &shared.usage;
    let holder = usage.duty.borrow().holder().cloned();
    let own_name = &shared.settings.name;
    let others = holder.filter(|holder| holder.name != *own_name);
    let target = others.and_then(|holder| {
        let instances = shared.instances.borrow();
        let address = instances.address(&holder.name, release::CUSTOMERS)?;
        Some((holder.epoch, address))
    });
    let mut outbox = usage.outbox.borrow_mut();
    outbox.set_epoch(target.map(|(epoch, _)| epoch));
    let Some((epoch, address)) = target else {
        return;
    };
    let finalized = usage.reporter.borrow().finalized();
    let due = outbox.due(&usage.counts.borrow(), finalized);
    for delivery in due {
        let window = delivery.window;
        let sequence = delivery.sequence;
        let parts = split(delivery);
        let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
        outbox.on_sent(window, sequence, count);
        for (part, counts) in (0..).zip(parts) {
            let datagram = Wire::Usage(WireUsage {
                epoch: epoch.0,
                process: usage.process.0,
                window: window.0,
                sequence,
                part,
                counts,
            });
            datagram::send(shared, &[address], &datagram);
        }
    }
}

/// Divides counts among datagrams. A name that fits in no datagram is left out.
fn split(delivery: Delivery) -> Vec<BTreeMap<Box<str>, u64>> {
    let mut parts: Vec<BTreeMap<Box<str>, u64>> = vec![BTreeMap::new()];
    let mut bytes = OVERHEAD_BYTES;
    for (customer, count) in delivery.counts {
        let name = serde_json::to_string(&*customer).unwrap_or_default();
        // A colon and a comma, and the digits.
        let len = name.len() + 2 + count.to_string().len();
        if OVERHEAD_BYTES + len > MAX_BYTES {
            metrics::counter!("camphorhold_usage_undeliverable_total").increment(1);
            log::error!(bytes = len; "the name of a customer is too long for a datagram; its usage is not delivered");
            continue;
        }
        if bytes + len > MAX_BYTES {
            parts.push(BTreeMap::new());
            bytes = OVERHEAD_BYTES;
        }
        bytes += len;
        if let Some(part) = parts.last_mut() {
            part.insert((&*customer).into(), count);
        }
    }
    parts
}

/// Applies counts of another instance, if this one holds the duty, and acknowledges them.
pub fn on_usage(shared: &Shared, usage: &WireUsage, sender: SocketAddr) {
    let state = &shared.usage;
    let now = shared.clock.since_boot();
    if state.duty.borrow().held_epoch(now) != Some(Epoch(usage.epoch)) {
        return;
    }
    let unix = state.unix(now);
    let window = WindowId(usage.window);
    // The clock of the sender may be a little ahead.
    let latest = WindowId(state.windows.at(unix).0 + 1);
    if window < state.windows.first_kept(unix) || window > latest {
        metrics::counter!("camphorhold_usage_deliveries_total", "outcome" => "out_of_range")
            .increment(1);
        return;
    }
    let finalized = state.reporter.borrow().finalized();
    let outcome = if finalized.is_some_and(|finalized| window <= finalized) {
        "late"
    } else {
        let counts = usage.counts.iter().map(|(name, count)| (&**name, *count));
        state.collection.borrow_mut().on_delivery(
            window,
            ProcessId(usage.process),
            usage.sequence,
            counts,
        );
        "collected"
    };
    metrics::counter!("camphorhold_usage_deliveries_total", "outcome" => outcome).increment(1);
    let receipt = WireReceipt {
        epoch: usage.epoch,
        process: usage.process,
        window: usage.window,
        sequence: usage.sequence,
        part: usage.part,
    };
    datagram::send(shared, &[sender], &Wire::UsageReceipt(receipt));
}

/// Applies that the holder has counts of this instance.
pub fn on_receipt(shared: &Shared, receipt: &WireReceipt) {
    if receipt.process != shared.usage.process.0 {
        return;
    }
    shared.usage.outbox.borrow_mut().on_acknowledged(
        Epoch(receipt.epoch),
        WindowId(receipt.window),
        receipt.sequence,
        receipt.part,
    );
}
