//! Budget for extra calls (hedges and retries) to the backend servers of one service.
//!
//! Every primary call earns a fraction of a token, every extra call spends one. Between any two
//! moments, with `n` primary calls in steady state and `m` in a fault, the extra calls number at
//! most `BURST_CALLS + 0.05 n + 0.10 m`. Over any window of 1,000 primary calls that is at most
//! 50 + `BURST_CALLS` in steady state and 100 + `BURST_CALLS` in a fault.

use std::time::Duration;
use std::time::Instant;

/// Accounting units of one extra call. A primary call earns whole percents, so that the account
/// stays exact.
const UNITS_PER_CALL: u32 = 100;

/// Units earned per primary call in steady state: 5 % extra load.
const STEADY_EARNING: u32 = 5;

/// Units earned per primary call in a fault: 10 % extra load.
const FAULT_EARNING: u32 = 10;

/// The most extra calls that can be saved up. One query to 830 shards earns 42 when it starts and
/// needs them about 7 ms later, so a cap near 42 loses what overlapping queries earn: at 200
/// queries/s (`examples/entry_tail.rs`), a cap of 50 permitted 2.5 % extra calls and a p99 of 31 ms, a
/// cap of 100 permitted 3.8 % and 26 ms.
pub const BURST_CALLS: u32 = 100;

/// Share of failed primary calls, in percent, above which the budget is in a fault.
const FAULT_PERCENT: u64 = 5;

/// Primary calls needed before their share of failures means anything: with fewer than 20, a single
/// failure would already be above 5 %.
const FAULT_MIN_CALLS: u64 = 20;

/// The window over which failures are counted is `BUCKETS` × `BUCKET`, 10 s.
const BUCKETS: usize = 10;
const BUCKET: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    calls: u64,
    failures: u64,
}

/// The budget of one service at one entry instance.
#[derive(Clone, Debug)]
pub struct Budget {
    units: u32,
    buckets: [Bucket; BUCKETS],
    current: usize,
    current_since: Instant,
    total: Bucket,
}

impl Budget {
    /// Creates an empty budget: the first extra call has to be earned.
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

    /// Records a primary call and earns its share of an extra call.
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

    /// Takes one extra call out of the budget, if there is one.
    #[must_use]
    pub fn take(&mut self) -> bool {
        let affordable = self.units >= UNITS_PER_CALL;
        if affordable {
            self.units -= UNITS_PER_CALL;
        }
        affordable
    }

    /// Returns the whole extra calls that can be taken now.
    #[must_use]
    pub fn available(&self) -> u32 {
        self.units / UNITS_PER_CALL
    }

    /// Tells whether over 5 % of the primary calls of the last 10 s failed or timed out, as of the
    /// last recorded call.
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
