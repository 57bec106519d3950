//! One leaf: what the store says of it, and what this instance measured.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// Score of a leaf in another failure domain, relative to an idle local leaf with the median
/// latency. Bytes between failure domains are billed, so the local leaf is preferred until it is
/// about three times as slow; the latency objective leaves room for that.
const REMOTE_PENALTY: f32 = 2.0;

/// Score of a leaf that has just started, which is slower than a warm one.
const COLD_PENALTY: f32 = 0.7;

/// Score per unit of the failure rate. A leaf that fails every call scores like one that is
/// this many times as slow.
const FAILURE_PENALTY: f32 = 6.0;

/// Weight of a new sample in the estimates of a leaf.
const SAMPLE_WEIGHT: f32 = 0.2;

/// The time in which an estimate without samples loses two thirds of its difference from the
/// normal value, so that a leaf that was slow is tried again.
const ESTIMATE_MEMORY_S: f32 = 4.0;

/// A sample counts as at most this many medians, so that one straggler does not set the estimate.
const MAX_SLOWNESS: f32 = 12.0;

/// A call this many medians old makes its leaf count as stalled until it answers.
const STALL_FACTOR: f32 = 2.5;

/// Pauses after a failed connection: doubled with every further failure up to the longest.
const FIRST_BACKOFF: Duration = Duration::from_millis(40);
const LONGEST_BACKOFF: Duration = Duration::from_millis(1_600);

/// Pause of a leaf whose address answers for another one. Its entry is about to vanish; if it stays,
/// the answer was wrong, and a call that meets another leaf is not run.
const REPLACED_BACKOFF: Duration = Duration::from_secs(2);

/// Whether a leaf takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The leaf takes work.
    Ready,
    /// The leaf finishes what it has.
    Draining,
}

/// What the store says of a leaf.
#[derive(Clone, Debug, PartialEq)]
pub struct LeafEntry {
    /// The id, which calls to the leaf carry so that a successor at its address refuses them.
    pub id: Box<str>,
    /// When this incarnation started, in Unix milliseconds, if the leaf tells.
    pub started_unix_ms: Option<u64>,
    /// The service it belongs to.
    pub service: Box<str>,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Box<str>,
    /// The version of its software.
    pub version: Box<str>,
    /// Requests it works on at the same time.
    pub slots: u32,
    /// Whether it takes work.
    pub standing: Standing,
    /// How much longer it stays cold, as of when the entry was written.
    pub cold_remaining: Duration,
}

/// What became of a call to a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// A whole answer arrived after this time.
    Answered(Duration),
    /// The leaf said that it did not run the request.
    Refused,
    /// Another leaf has taken over the address.
    Replaced,
    /// The leaf answered with a failure, or its answer cannot be used.
    Failed,
    /// The connection could not be opened or broke.
    Disconnected,
    /// The call was given up after this time.
    Abandoned(Duration),
}

#[derive(Clone, Copy, Debug)]
struct InFlight {
    started: Instant,
    expected: Duration,
}

/// A leaf and what this instance knows of it.
#[derive(Clone, Debug)]
pub struct Leaf {
    pub(super) entry: LeafEntry,
    pub(super) local: bool,
    pub(super) cold_until: Instant,
    // Until when the leaf is kept without an entry.
    pub(super) kept_until: Option<Instant>,
    in_flight: Vec<InFlight>,
    slowness: f32,
    failure_rate: f32,
    sampled: Instant,
    failures_in_a_row: u32,
    backoff_until: Option<Instant>,
    // Cold calls of the last second.
    cold_calls: Vec<Instant>,
}

impl Leaf {
    /// Creates a leaf of which nothing is measured yet.
    pub(super) fn new(entry: LeafEntry, local: bool, now: Instant) -> Self {
        Self {
            local,
            cold_until: now + entry.cold_remaining,
            entry,
            kept_until: None,
            in_flight: Vec::new(),
            slowness: 1.0,
            failure_rate: 0.0,
            sampled: now,
            failures_in_a_row: 0,
            backoff_until: None,
            cold_calls: Vec::new(),
        }
    }

    /// Tells whether the leaf bears the usual load.
    pub(super) fn is_warm(&self, now: Instant) -> bool {
        now >= self.cold_until
    }

    /// Counts the calls of the last second that were sent while the leaf was cold.
    #[expect(clippy::cast_precision_loss, reason = "the count is small")]
    pub(super) fn cold_calls(&self, now: Instant) -> f64 {
        let second = Duration::from_secs(1);
        let is_recent = |sent: &&Instant| now.saturating_duration_since(**sent) < second;
        self.cold_calls.iter().filter(is_recent).count() as f64
    }

    /// Tells whether the leaf pauses after failures.
    pub(super) fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Returns what the store says of the leaf.
    #[must_use]
    pub fn entry(&self) -> &LeafEntry {
        &self.entry
    }

    /// Returns the calls of this instance in progress.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    fn memory(&self, now: Instant) -> f32 {
        let age = now.saturating_duration_since(self.sampled).as_secs_f32();
        (-age / ESTIMATE_MEMORY_S).exp()
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

    /// Returns the expected delay of a call, in median latencies, plus penalties.
    pub(super) fn score(&self, now: Instant) -> f32 {
        let memory = self.memory(now);
        let mut slowness = 1.0 + (self.slowness - 1.0) * memory;
        let stall = self.stall(now);
        if stall > STALL_FACTOR {
            slowness = slowness.max(stall);
        }
        #[expect(clippy::cast_precision_loss, reason = "both counts are small")]
        let load = self.in_flight.len() as f32 / self.entry.slots.max(1) as f32;
        let mut score = slowness.max(0.3) * (1.0 + load);
        score += self.failure_rate * memory * FAILURE_PENALTY;
        if !self.local {
            score += REMOTE_PENALTY;
        }
        if !self.is_warm(now) {
            score += COLD_PENALTY;
        }
        score
    }

    fn add_sample(&mut self, now: Instant, slowness: f32, failed: bool) {
        let memory = self.memory(now);
        let before = 1.0 + (self.slowness - 1.0) * memory;
        self.slowness = before + (slowness.min(MAX_SLOWNESS) - before) * SAMPLE_WEIGHT;
        self.add_outcome(now, failed);
    }

    fn add_outcome(&mut self, now: Instant, failed: bool) {
        let rate = self.failure_rate * self.memory(now);
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_rate = rate + (sample - rate) * SAMPLE_WEIGHT;
        self.sampled = now;
    }

    fn back_off(&mut self, now: Instant) {
        self.failures_in_a_row += 1;
        let doubled = FIRST_BACKOFF * 2_u32.saturating_pow(self.failures_in_a_row.min(8) - 1);
        self.backoff_until = Some(now + doubled.min(LONGEST_BACKOFF));
    }

    /// Records that a call is sent, which usually takes `expected`.
    pub(super) fn on_sent(&mut self, expected: Duration, now: Instant) {
        self.in_flight.push(InFlight {
            started: now,
            expected,
        });
        if let Some(until) = self.backoff_until
            && now >= until
        {
            // One call tests the leaf; the others wait for its outcome.
            self.backoff_until = Some(now + LONGEST_BACKOFF);
        }
        if !self.is_warm(now) {
            self.cold_calls
                .retain(|sent| now.saturating_duration_since(*sent) < Duration::from_secs(1));
            self.cold_calls.push(now);
        }
    }

    /// Records the end of a call that was sent at `started`.
    pub(super) fn on_result(&mut self, started: Instant, report: CallResult, now: Instant) {
        let position = self
            .in_flight
            .iter()
            .position(|call| call.started == started);
        let expected = position.map_or(Duration::from_millis(1), |position| {
            self.in_flight.swap_remove(position).expected
        });
        let slowness = |latency: Duration| latency.as_secs_f32() / expected.as_secs_f32().max(1e-3);
        match report {
            CallResult::Answered(latency) => {
                self.failures_in_a_row = 0;
                self.backoff_until = None;
                self.add_sample(now, slowness(latency), false);
            }
            CallResult::Replaced => {
                self.add_outcome(now, true);
                self.backoff_until = Some(now + REPLACED_BACKOFF);
            }
            CallResult::Refused | CallResult::Failed => {
                self.backoff_until = None;
                self.add_outcome(now, true);
            }
            CallResult::Disconnected => {
                self.add_outcome(now, true);
                self.back_off(now);
            }
            CallResult::Abandoned(elapsed) => {
                let sample = slowness(elapsed);
                if sample > self.slowness {
                    self.add_sample(now, sample, false);
                }
            }
        }
    }
}
