//! The currency rule: decides whether an instance may act on the generation that it has applied.
//!
//! The receiver dates evidence by its own monotonic clock: the time at which it sent the request,
//! minus the age stated in the answer. So neither network delays nor clock offsets make evidence
//! appear younger than it is.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::state::id::Generation;
use crate::state::id::InstanceId;
use crate::state::record::Record;
pub use crate::state::view::Currency;

/// Allows for clock rates that differ by 1 %: the currency bound is divided by this factor before
/// ages are compared with it.
const AGE_FACTOR: f64 = 1.02;

/// Returns the maximum age of valid evidence, measured by the local clock.
#[must_use]
pub fn longest_age(currency_bound: Duration) -> Duration {
    currency_bound.div_f64(AGE_FACTOR)
}

/// A witness's statement about its highest generation, with its age at the time of forwarding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The witness that produced the heartbeat.
    pub witness: InstanceId,
    /// Sequence number, increased by the witness with each heartbeat.
    pub sequence: u64,
    /// The highest generation that the witness has seen or promised.
    pub highest: Generation,
    /// Time since the witness produced the heartbeat, in milliseconds, rounded up.
    pub age_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedHeartbeat {
    sequence: u64,
    highest: Generation,
    observed: Instant,
}

/// Evidence of currency that an instance has received, from the store and from witnesses.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// When the store's record was last known to be at each generation.
    store: BTreeMap<Generation, Instant>,
    heartbeats: BTreeMap<InstanceId, ReceivedHeartbeat>,
}

impl Evidence {
    /// Records that the store's record was at the generation at `observed` or later. An older
    /// observation does not replace a newer one.
    pub fn note_store(&mut self, generation: Generation, observed: Instant) {
        let known = self.store.entry(generation).or_insert(observed);
        *known = observed.max(*known);
    }

    /// Records a heartbeat that its witness produced at `observed` or later. A heartbeat with a
    /// lower sequence number than the recorded one is ignored, and another copy of the recorded one
    /// counts only if it was observed later.
    pub fn note_heartbeat(&mut self, heartbeat: &Heartbeat, observed: Instant) {
        let new = ReceivedHeartbeat {
            sequence: heartbeat.sequence,
            highest: heartbeat.highest,
            observed,
        };
        let received = self.heartbeats.entry(heartbeat.witness).or_insert(new);
        if new.sequence > received.sequence
            || (new.sequence == received.sequence && new.observed > received.observed)
        {
            *received = new;
        }
    }

    /// Drops store evidence for generations below `applied`, and heartbeats observed before
    /// `oldest`.
    pub fn prune(&mut self, applied: Generation, oldest: Option<Instant>) {
        self.store.retain(|generation, _| *generation >= applied);
        if let Some(oldest) = oldest {
            self.heartbeats
                .retain(|_, received| received.observed >= oldest);
        }
    }

    /// Returns when the store's record was last known to be at the generation.
    #[must_use]
    pub fn store_observed(&self, generation: Generation) -> Option<Instant> {
        self.store.get(&generation).copied()
    }

    /// Returns the heartbeats that are at most `longest` old, with their ages, for forwarding.
    #[must_use]
    pub fn heartbeats(&self, now: Instant, longest: Duration) -> Vec<Heartbeat> {
        let received = self.heartbeats.iter().map(|(witness, received)| {
            let age = now.saturating_duration_since(received.observed);
            (age, *witness, received)
        });
        received
            .filter(|(age, _, _)| *age <= longest)
            .map(|(age, witness, received)| Heartbeat {
                witness,
                sequence: received.sequence,
                highest: received.highest,
                age_ms: age_millis(age),
            })
            .collect()
    }

    /// Evaluates the currency rule for the applied record, and returns when currency expires if no
    /// more evidence arrives. A caller that is a witness must record its own heartbeat first.
    #[must_use]
    pub fn assess(
        &self,
        record: &Record,
        currency_bound: Duration,
        now: Instant,
    ) -> (Currency, Option<Instant>) {
        let longest = longest_age(currency_bound);
        let store = self.store_observed(record.generation);
        let store = store.map(|observed| observed + longest);
        let store = store.filter(|until| now < *until);
        let witnessed = self.majority_observed(record);
        let witnessed = witnessed.map(|observed| observed + longest);
        let witnessed = witnessed.filter(|until| now < *until);
        let currency = match (store, witnessed) {
            (Some(_), _) => Currency::Current,
            (None, Some(_)) => Currency::Witnessed,
            (None, None) => Currency::Lost,
        };
        (currency, store.max(witnessed))
    }

    /// Returns the latest time at which a majority of witnesses had neither seen nor promised a
    /// later generation, according to their heartbeats.
    fn majority_observed(&self, record: &Record) -> Option<Instant> {
        let mut observed: Vec<Instant> = record
            .witnesses()
            .filter_map(|witness| self.heartbeats.get(&witness.instance))
            .filter(|received| received.highest <= record.generation)
            .map(|received| received.observed)
            .collect();
        observed.sort_unstable_by(|a, b| b.cmp(a));
        observed.get(record.majority() - 1).copied()
    }
}

/// Converts an age to milliseconds, rounded up so that evidence never appears younger than it is.
/// Saturates at `u32::MAX`.
#[must_use]
pub fn age_millis(age: Duration) -> u32 {
    let millis = age.as_micros().div_ceil(1000);
    u32::try_from(millis).unwrap_or(u32::MAX)
}
