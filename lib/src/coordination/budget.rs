//! Budget for extra calls (hedges and retries) to the backend servers of one service.
//!
//! The budget is a token bucket: every primary call earns a fraction of a token, every extra call
//! spends one. In any period with `n` primary calls in steady state and `m` during a fault, there
//! are at most `BURST_CALLS + 0.05 n + 0.10 m` extra calls. Per 1,000 primary calls that is at most
//! 50 + `BURST_CALLS` in steady state and 100 + `BURST_CALLS` during a fault.

use std::time::Duration;
use std::time::Instant;

/// Units that one extra call costs. A primary call earns a whole number of units, so that the
/// balance is exact.
const UNITS_PER_CALL: u32 = 100;

/// Units earned per primary call in steady state: 5 % extra load.
const STEADY_EARNING: u32 = 5;

/// Units earned per primary call during a fault: 10 % extra load.
const FAULT_EARNING: u32 = 10;

/// The most extra calls that the budget can accumulate. One query to 830 shards earns 42 when it
/// starts and needs them about 7 ms later, so with a cap near 42 the earnings of overlapping
/// queries are lost: at 200 queries/s (`examples/entry_tail.rs`), a cap of 50 permitted 2.5 % extra
/// calls and gave a p99 of 31 ms, a cap of 100 permitted 3.8 % and gave 26 ms.
pub const BURST_CALLS: u32 = 100;

/// Share of failed primary calls, in percent, above which the service counts as having a fault.
const FAULT_PERCENT: u64 = 5;

/// Primary calls needed in the window before the share of failures is used: with fewer than 20, a
/// single failure would already be above 5 %.
const FAULT_MIN_CALLS: u64 = 20;

/// The window over which failures are counted is `BUCKETS` × `BUCKET`, 10 s.
const BUCKETS: usize = 10;
const BUCKET: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    calls: u64,
    failures: u64,
}

/// The budget for extra calls from one entry instance to one service.
#[derive(Clone, Debug)]
pub struct Budget {
    units: u32,
    buckets: [Bucket; BUCKETS],
    current: usize,
    current_since: Instant,
    total: Bucket,
}

impl Budget {
    /// Creates an empty budget, which permits no extra call until primary calls have earned one.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            units: 0,
            buckets: [Bucket::default(); BUCKETS],
            current: 0,
            current_since: now,
            total: Bucket::default(),
        }
    }

    /// Records a primary call and adds its fraction of an extra call to the budget.
    pub fn on_primary(&mut self, now: Instant) {
        self.rotate(now);
        self.buckets[self.current].calls += 1;
        self.total.calls += 1;
        let earning = if self.has_high_failure_rate() {
            FAULT_EARNING
        } else {
            STEADY_EARNING
        };
        self.units = (self.units + earning).min(BURST_CALLS * UNITS_PER_CALL);
    }

    /// Records that a primary call failed or timed out.
    pub fn on_primary_failure(&mut self, now: Instant) {
        self.rotate(now);
        self.buckets[self.current].failures += 1;
        self.total.failures += 1;
    }

    /// Spends one extra call. Returns `false` and changes nothing if the budget does not cover it.
    #[must_use]
    pub fn take(&mut self) -> bool {
        let affordable = self.units >= UNITS_PER_CALL;
        if affordable {
            self.units -= UNITS_PER_CALL;
        }
        affordable
    }

    /// Returns the number of extra calls that the budget covers now.
    #[must_use]
    pub fn available(&self) -> u32 {
        self.units / UNITS_PER_CALL
    }

    /// Returns whether more than 5 % of the primary calls of the last 10 s failed or timed out, as
    /// of the last recorded call. Always `false` with fewer than 20 calls.
    #[must_use]
    pub fn has_high_failure_rate(&self) -> bool {
        self.total.calls >= FAULT_MIN_CALLS
            && self.total.failures * 100 > self.total.calls * FAULT_PERCENT
    }

    fn rotate(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.current_since);
        if elapsed < BUCKET {
            return;
        }
        let steps = elapsed.as_secs() / BUCKET.as_secs();
        for _ in 0..steps.min(BUCKETS as u64) {
            self.current = (self.current + 1) % BUCKETS;
            let old = std::mem::take(&mut self.buckets[self.current]);
            self.total.calls -= old.calls;
            self.total.failures -= old.failures;
        }
        self.current_since += Duration::from_secs(steps * BUCKET.as_secs());
    }
}
