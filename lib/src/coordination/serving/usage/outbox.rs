//! Which counts an instance has to deliver to the holder.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Counts;
use super::WindowId;
use super::counts::ByCustomer;
use crate::coordination::serving::duty::Epoch;

/// All counts of a window, as delivered to the holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// The window.
    pub window: WindowId,
    /// Rises with each change of the counts. The delivery with the highest one counts.
    pub sequence: u64,
    /// The counts.
    pub counts: ByCustomer,
}

#[derive(Clone, Debug)]
struct Sent {
    sequence: u64,
    version: u64,
    // The datagrams that are not acknowledged; `None` if none was sent.
    missing: Option<BTreeSet<u32>>,
}

/// The deliveries of an instance to the holder in one epoch.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    epoch: Option<Epoch>,
    sent: BTreeMap<WindowId, Sent>,
    last_sequence: u64,
}

impl Outbox {
    /// Sets the epoch of the holder, `None` if there is none. All windows that are kept are delivered
    /// to a new holder.
    pub fn set_epoch(&mut self, epoch: Option<Epoch>) {
        if epoch != self.epoch {
            self.epoch = epoch;
            self.sent.clear();
        }
    }

    /// Returns what has to be delivered now: the windows after `finalized` whose counts have changed,
    /// or are not acknowledged.
    pub fn due(&mut self, counts: &Counts, finalized: Option<WindowId>) -> Vec<Delivery> {
        if self.epoch.is_none() {
            return Vec::new();
        }
        self.sent.retain(|window, _| counts.get(*window).is_some());
        let mut due = Vec::new();
        for (window, window_counts) in counts.windows() {
            if finalized.is_some_and(|finalized| window <= finalized) {
                continue;
            }
            let version = window_counts.version();
            let sequence = match self.sent.get(&window) {
                Some(sent) if sent.version == version => {
                    if sent.missing.as_ref().is_some_and(BTreeSet::is_empty) {
                        continue;
                    }
                    sent.sequence
                }
                _ => {
                    self.last_sequence += 1;
                    let sent = Sent {
                        sequence: self.last_sequence,
                        version,
                        missing: None,
                    };
                    self.sent.insert(window, sent);
                    self.last_sequence
                }
            };
            due.push(Delivery {
                window,
                sequence,
                counts: window_counts.by_customer().clone(),
            });
        }
        due
    }

    /// Records that a delivery was sent in that many datagrams.
    pub fn on_sent(&mut self, window: WindowId, sequence: u64, datagrams: u32) {
        if let Some(sent) = self.sent.get_mut(&window)
            && sent.sequence == sequence
            && sent.missing.is_none()
        {
            sent.missing = Some((0..datagrams).collect());
        }
    }

    /// Records that the holder in `epoch` has a datagram of a delivery.
    pub fn on_acknowledged(&mut self, epoch: Epoch, window: WindowId, sequence: u64, part: u32) {
        if self.epoch == Some(epoch)
            && let Some(sent) = self.sent.get_mut(&window)
            && sent.sequence == sequence
            && let Some(missing) = &mut sent.missing
        {
            missing.remove(&part);
        }
    }
}
