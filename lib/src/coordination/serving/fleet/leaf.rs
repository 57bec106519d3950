//! One leaf: its entry in the store, and the measurements of this instance.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::coordination::serving::rate_limit::Claim;
use crate::coordination::serving::rate_limit::Lease;
use crate::state::rate::RequestRate;

/// Added to the score of a leaf in another failure domain, in median latencies. Bytes between
/// failure domains are billed, so a local leaf is preferred until it is about three times as slow
/// as usual; the latency objective leaves room for that.
const REMOTE_PENALTY: f32 = 2.0;

/// Added to the score of a cold leaf, which is slower than a warm one, in median latencies.
const COLD_PENALTY: f32 = 0.7;

/// Added to the score for a failure rate of 1, in median latencies. An idle leaf that fails every
/// call scores like one that is about seven times as slow as usual.
const FAILURE_PENALTY: f32 = 6.0;

/// Weight of a new sample in the moving averages of a leaf's slowness and failure rate.
const SAMPLE_WEIGHT: f32 = 0.2;

/// The time constant, in seconds, with which an estimate without new samples decays to the normal
/// value, so that a leaf that was slow is tried again.
const ESTIMATE_DECAY_S: f32 = 4.0;

/// The cap on a latency sample, in median latencies, so that one straggler does not dominate the
/// estimate.
const MAX_SAMPLE: f32 = 12.0;

/// A leaf counts as stalled while one of its calls is older than this many median latencies.
const STALL_FACTOR: f32 = 2.5;

/// Backoff after a failed connection: doubled with every further failure, up to the longest.
const FIRST_BACKOFF: Duration = Duration::from_millis(40);
const LONGEST_BACKOFF: Duration = Duration::from_millis(1_600);

/// Backoff of a leaf at whose address another leaf answered. Usually its entry is about to be
/// removed. If the entry stays, the answer was wrong, and another attempt is safe: a leaf does not
/// run a call that is meant for another leaf.
const REPLACED_BACKOFF: Duration = Duration::from_secs(2);

/// Whether a leaf takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The leaf takes new work.
    Ready,
    /// The leaf finishes its requests in progress and takes no new ones.
    Draining,
}

/// A leaf's entry in the store, which the leaf itself writes.
#[derive(Clone, Debug, PartialEq)]
pub struct LeafEntry {
    /// The leaf's id. Calls carry it, so that another leaf that takes over the address refuses
    /// them.
    pub id: Box<str>,
    /// When this incarnation started, in Unix milliseconds, if the entry states it.
    pub started_unix_ms: Option<u64>,
    /// Counts the writes of this incarnation to the store.
    pub write_number: u64,
    /// The service that the leaf belongs to.
    pub service: Box<str>,
    /// The address at which the leaf accepts connections.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Box<str>,
    /// The version of its software.
    pub version: Box<str>,
    /// The number of requests that the leaf works on at the same time; it queues further ones.
    pub slots: u32,
    /// Whether the leaf takes new work.
    pub standing: Standing,
    /// How much longer the leaf stays cold, as of when the entry was written.
    pub cold_remaining: Duration,
}

impl LeafEntry {
    /// Returns whether `other` is an entry of the same incarnation that the leaf wrote later. Without
    /// the time of its start, an incarnation cannot be told from the next one.
    pub(super) fn is_older_than(&self, other: &Self) -> bool {
        self.started_unix_ms.is_some()
            && self.started_unix_ms == other.started_unix_ms
            && self.write_number < other.write_number
    }
}

/// How a call to a leaf ended, as far as the leaf's measurements are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// A complete answer arrived after this time.
    Answered(Duration),
    /// The leaf answered that it did not run the request.
    Refused,
    /// Another leaf answered at the address.
    Replaced,
    /// The leaf answered with an error, or its answer was not usable.
    Failed,
    /// The connection could not be opened, or was lost.
    Disconnected,
    /// This instance stopped waiting for the answer after this time.
    Abandoned(Duration),
}

/// How a leaf's limit on requests has changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The leaf names a limit for the first time, or another one than before.
    Set(RequestRate),
    /// The leaf no longer names the limit that it named before.
    Lifted(RequestRate),
}

/// A limit on the requests from all instances together, as the leaf's answers name it.
#[derive(Clone, Copy, Debug)]
struct NamedLimit {
    rate: RequestRate,
    // When an answer last named it.
    heard_at: Instant,
    // The calls that this instance may send.
    lease: Lease,
}

#[derive(Clone, Copy, Debug)]
struct InFlight {
    started: Instant,
    expected: Duration,
}

/// A leaf with the measurements of this instance.
#[derive(Clone, Debug)]
pub struct Leaf {
    pub(super) entry: LeafEntry,
    pub(super) local: bool,
    pub(super) cold_until: Instant,
    // When a leaf without an entry is removed.
    pub(super) kept_until: Option<Instant>,
    in_flight: Vec<InFlight>,
    slowness: f32,
    failure_rate: f32,
    last_sample_at: Instant,
    consecutive_failures: u32,
    backoff_until: Option<Instant>,
    // Send times of the calls of the last second, recorded only while the leaf is cold.
    cold_calls: Vec<Instant>,
    limit: Option<NamedLimit>,
    is_leaving: bool,
    // Until when the leaf has asked for no requests.
    rests_until: Option<Instant>,
}

impl Leaf {
    /// Creates a leaf with no measurements yet.
    pub(super) fn new(entry: LeafEntry, local: bool, now: Instant) -> Self {
        Self {
            local,
            cold_until: now + entry.cold_remaining,
            entry,
            kept_until: None,
            in_flight: Vec::new(),
            slowness: 1.0,
            failure_rate: 0.0,
            last_sample_at: now,
            consecutive_failures: 0,
            backoff_until: None,
            cold_calls: Vec::new(),
            limit: None,
            is_leaving: false,
            rests_until: None,
        }
    }

    /// Returns whether an answer of the leaf has said that it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Records that an answer says that the leaf is leaving. Returns whether this is new.
    pub(super) fn on_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// Records that the leaf has asked for no requests until a time. The latest one holds.
    pub(super) fn on_rest(&mut self, until: Instant) {
        self.rests_until = self.rests_until.max(Some(until));
    }

    /// Returns until when the leaf has asked for no requests.
    pub(super) fn rest_end(&self) -> Option<Instant> {
        self.rests_until
    }

    /// Returns whether the leaf has asked for no requests at a time.
    pub(super) fn rests(&self, at: Instant) -> bool {
        self.rests_until.is_some_and(|until| at < until)
    }

    /// Returns whether the leaf has warmed up and takes the usual load.
    pub(super) fn is_warm(&self, now: Instant) -> bool {
        now >= self.cold_until
    }

    /// Returns how many calls this instance sent in the last second while the leaf was cold.
    #[expect(clippy::cast_precision_loss, reason = "the count is small")]
    pub(super) fn cold_calls(&self, now: Instant) -> f64 {
        let second = Duration::from_secs(1);
        let is_recent = |sent: &&Instant| now.saturating_duration_since(**sent) < second;
        self.cold_calls.iter().filter(is_recent).count() as f64
    }

    /// Returns whether the leaf gets no calls for now, because of earlier failures.
    pub(super) fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Returns whether the leaf has answered since the last failed connection, if there was one.
    pub(super) fn is_reached(&self) -> bool {
        self.consecutive_failures == 0
    }

    /// Returns the latest entry of the leaf.
    #[must_use]
    pub fn entry(&self) -> &LeafEntry {
        &self.entry
    }

    /// Returns the number of this instance's calls to the leaf in progress.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the limit on requests from all instances together that the leaf names.
    #[must_use]
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit.map(|limit| limit.rate)
    }

    /// Records the limit that the leaf's answer to a call sent at `sent` names. An answer without
    /// one lifts the limit only if the call was sent after the limit was last named: answers may
    /// overtake each other.
    pub(super) fn on_limit(
        &mut self,
        named: Option<RequestRate>,
        sent: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let before = self.limit;
        let Some(rate) = named else {
            let lifted = before.filter(|limit| sent > limit.heard_at)?;
            self.limit = None;
            return Some(LimitChange::Lifted(lifted.rate));
        };
        self.limit = Some(NamedLimit {
            rate,
            heard_at: now,
            lease: before.map_or_else(Lease::default, |limit| limit.lease),
        });
        (before.map(|limit| limit.rate) != Some(rate)).then_some(LimitChange::Set(rate))
    }

    /// Returns whether the leaf's limit, if it names one, permits a call of this instance now.
    pub(super) fn limit_allows(&self, now: Instant) -> bool {
        self.limit.is_none_or(|limit| limit.lease.has_token(now))
    }

    /// Returns a claim for that many tokens if the leaf names a limit. Gives up those of the last
    /// claim.
    pub(super) fn claim(&mut self, wanted: u32, now: Instant) -> Option<Claim> {
        let limit = self.limit.as_mut()?;
        Some(Claim {
            leaf: self.entry.id.clone(),
            domain: self.entry.domain.clone(),
            limit: limit.rate,
            heard_at: limit.heard_at,
            wanted,
            returned: limit.lease.withdraw(now),
        })
    }

    /// Records the tokens granted for a claim.
    pub(super) fn on_granted(&mut self, tokens: u32, expires_at: Instant) {
        if let Some(limit) = &mut self.limit {
            limit.lease.renew(tokens, expires_at);
        }
    }

    fn remaining_weight(&self, now: Instant) -> f32 {
        let age = now
            .saturating_duration_since(self.last_sample_at)
            .as_secs_f32();
        (-age / ESTIMATE_DECAY_S).exp()
    }

    fn stall(&self, now: Instant) -> f32 {
        self.in_flight
            .iter()
            .map(|call| {
                let age = now.saturating_duration_since(call.started).as_secs_f32();
                age / call.expected.as_secs_f32().max(1e-3)
            })
            .fold(0.0, f32::max)
    }

    /// Returns the expected latency of a call, in median latencies, plus penalties. The leaf with
    /// the lowest score gets the next call.
    pub(super) fn score(&self, now: Instant) -> f32 {
        let remaining_weight = self.remaining_weight(now);
        let mut slowness = 1.0 + (self.slowness - 1.0) * remaining_weight;
        let stall = self.stall(now);
        if stall > STALL_FACTOR {
            slowness = slowness.max(stall);
        }
        #[expect(clippy::cast_precision_loss, reason = "both counts are small")]
        let load = self.in_flight.len() as f32 / self.entry.slots.max(1) as f32;
        let mut score = slowness.max(0.3) * (1.0 + load);
        score += self.failure_rate * remaining_weight * FAILURE_PENALTY;
        if !self.local {
            score += REMOTE_PENALTY;
        }
        if !self.is_warm(now) {
            score += COLD_PENALTY;
        }
        score
    }

    fn add_latency_sample(&mut self, now: Instant, slowness: f32, failed: bool) {
        let remaining_weight = self.remaining_weight(now);
        let before = 1.0 + (self.slowness - 1.0) * remaining_weight;
        self.slowness = before + (slowness.min(MAX_SAMPLE) - before) * SAMPLE_WEIGHT;
        self.add_failure_sample(now, failed);
    }

    fn add_failure_sample(&mut self, now: Instant, failed: bool) {
        let rate = self.failure_rate * self.remaining_weight(now);
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_rate = rate + (sample - rate) * SAMPLE_WEIGHT;
        self.last_sample_at = now;
    }

    fn back_off(&mut self, now: Instant) {
        self.consecutive_failures += 1;
        let doubled = FIRST_BACKOFF * 2_u32.saturating_pow(self.consecutive_failures.min(8) - 1);
        self.backoff_until = Some(now + doubled.min(LONGEST_BACKOFF));
    }

    /// Records a new call. `expected` is its usual latency.
    pub(super) fn on_sent(&mut self, expected: Duration, now: Instant) {
        self.in_flight.push(InFlight {
            started: now,
            expected,
        });
        if let Some(limit) = &mut self.limit {
            limit.lease.take();
        }
        if let Some(until) = self.backoff_until
            && now >= until
        {
            // After the backoff, this call probes the leaf. Further calls wait for its result.
            self.backoff_until = Some(now + LONGEST_BACKOFF);
        }
        if !self.is_warm(now) {
            self.cold_calls
                .retain(|sent| now.saturating_duration_since(*sent) < Duration::from_secs(1));
            self.cold_calls.push(now);
        }
    }

    /// Records the result of the call that was sent at `started`.
    pub(super) fn on_result(&mut self, started: Instant, result: CallResult, now: Instant) {
        let position = self
            .in_flight
            .iter()
            .position(|call| call.started == started);
        let expected = position.map_or(Duration::from_millis(1), |position| {
            self.in_flight.swap_remove(position).expected
        });
        let slowness = |latency: Duration| latency.as_secs_f32() / expected.as_secs_f32().max(1e-3);
        match result {
            CallResult::Answered(latency) => {
                self.consecutive_failures = 0;
                self.backoff_until = None;
                self.add_latency_sample(now, slowness(latency), false);
            }
            CallResult::Replaced => {
                self.add_failure_sample(now, true);
                self.backoff_until = Some(now + REPLACED_BACKOFF);
            }
            CallResult::Refused | CallResult::Failed => {
                self.backoff_until = None;
                self.add_failure_sample(now, true);
            }
            CallResult::Disconnected => {
                self.add_failure_sample(now, true);
                self.back_off(now);
            }
            CallResult::Abandoned(elapsed) => {
                let sample = slowness(elapsed);
                if sample > self.slowness {
                    self.add_latency_sample(now, sample, false);
                }
            }
        }
    }
}
