//! The currency rule: whether an instance may act on the generation that it applied.
//!
//! Evidence is dated by the receiver's monotonic clock, from the moment it sent the request whose
//! answer carried the evidence, less the age stated in the answer. So neither network delays nor
//! clock offsets make evidence look younger than it is.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::state::id::Generation;
use crate::state::id::InstanceId;
use crate::state::record::Record;
pub use crate::state::view::Currency;

/// Covers clocks whose rates differ by 1 %: ages are multiplied by 1.02 before they are compared.
const AGE_FACTOR: f64 = 1.02;

/// Returns the longest age, by the local clock, of evidence that still counts.
#[must_use]
pub fn longest_age(currency_bound: Duration) -> Duration {
    currency_bound.div_f64(AGE_FACTOR)
}

/// What a witness states about itself, with its age when it was sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The witness.
    pub witness: InstanceId,
    /// Rises with each heartbeat of the witness.
    pub sequence: u64,
    /// The highest generation that the witness has seen or promised.
    pub highest: Generation,
    /// Time since the witness produced it, in milliseconds.
    pub age_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    sequence: u64,
    highest: Generation,
    observed: Instant,
}

/// The evidence that an instance holds.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// When the store's record was last known to be at the generation.
    store: BTreeMap<Generation, Instant>,
    heartbeats: BTreeMap<InstanceId, Heard>,
}

impl Evidence {
    /// Notes that the store's record was at the generation at `observed` or later.
    pub fn note_store(&mut self, generation: Generation, observed: Instant) {
        let known = self.store.entry(generation).or_insert(observed);
        *known = observed.max(*known);
    }

    /// Notes a heartbeat that was produced at `observed` or later.
    pub fn note_heartbeat(&mut self, heartbeat: &Heartbeat, observed: Instant) {
        let new = Heard {
            sequence: heartbeat.sequence,
            highest: heartbeat.highest,
            observed,
        };
        let heard = self.heartbeats.entry(heartbeat.witness).or_insert(new);
        if new.sequence > heard.sequence
            || (new.sequence == heard.sequence && new.observed > heard.observed)
        {
            *heard = new;
        }
    }

    /// Drops evidence that cannot count any more.
    pub fn prune(&mut self, applied: Generation, oldest: Option<Instant>) {
        self.store.retain(|generation, _| *generation >= applied);
        if let Some(oldest) = oldest {
            self.heartbeats.retain(|_, heard| heard.observed >= oldest);
        }
    }

    /// Returns when the store's record was last known to be at the generation.
    #[must_use]
    pub fn store_observed(&self, generation: Generation) -> Option<Instant> {
        self.store.get(&generation).copied()
    }

    /// Lists the heartbeats younger than `longest` with their ages, to send them on.
    #[must_use]
    pub fn heartbeats(&self, now: Instant, longest: Duration) -> Vec<Heartbeat> {
        let heard = self.heartbeats.iter().map(|(witness, heard)| {
            let age = now.saturating_duration_since(heard.observed);
            (age, *witness, heard)
        });
        heard
            .filter(|(age, _, _)| *age <= longest)
            .map(|(age, witness, heard)| Heartbeat {
                witness,
                sequence: heard.sequence,
                highest: heard.highest,
                age_ms: age_millis(age),
            })
            .collect()
    }

    /// Applies the currency rule for the record applied, and returns when currency runs out if no
    /// more evidence arrives. The caller's own heartbeat must be noted first if it is a witness.
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

    /// Returns a moment since which a majority of witnesses has stated that it neither saw nor
    /// promised a later generation.
    fn majority_observed(&self, record: &Record) -> Option<Instant> {
        let mut observed: Vec<Instant> = record
            .witnesses()
            .filter_map(|witness| self.heartbeats.get(&witness.instance))
            .filter(|heard| heard.highest <= record.generation)
            .map(|heard| heard.observed)
            .collect();
        observed.sort_unstable_by(|a, b| b.cmp(a));
        observed.get(record.majority() - 1).copied()
    }
}

/// Rounds an age up to milliseconds, so that evidence never looks younger than it is.
#[must_use]
pub fn age_millis(age: Duration) -> u32 {
    let millis = age.as_micros().div_ceil(1000);
    u32::try_from(millis).unwrap_or(u32::MAX)
}
