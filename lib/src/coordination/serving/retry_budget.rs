//! This instance's share of the retry budgets of the services.
//!
//! An extra call is any call to a service beyond the first one of a request: a retry or a hedge.
//! In any time window, all instances together may make at most `ratio * requests + extra` extra
//! calls to a service. Each instance counts its own requests for the ratio and takes an equal
//! share of the fixed extra, so the sum stays within the bound without communication between
//! instances.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// Number of buckets that a window is divided into. The counts cover one bucket more, because the
/// current one is not over yet.
const BUCKETS: usize = 10;

/// The fraction of the bound that is used. The rest covers requests that end before their calls are
/// counted, and instances that start with empty counts.
const MARGIN: f64 = 0.9;

/// The fraction of this instance's fixed extra that is reserved for retries. A retry replaces an
/// answer that is known to be lost, a hedge one that is merely late.
const RETRY_RESERVE: f64 = 0.2;

/// The bound on extra calls to one service, over all instances. The operators set it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Extra calls per request.
    pub ratio: f64,
    /// Extra calls per window in addition to the ratio.
    pub extra: f64,
    /// The length of the sliding window over which requests and extra calls are counted.
    pub window: Duration,
}

/// Why an extra call is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExtraCall {
    /// The earlier call failed.
    Retry,
    /// The earlier call is late.
    Hedge,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    requests: u32,
    extras: u32,
}

#[derive(Clone, Debug)]
struct Budget {
    buckets: [Bucket; BUCKETS + 1],
    // The number of the bucket period that `buckets[period % len]` counts.
    period: u64,
}

impl Budget {
    fn rotate(&mut self, period: u64) {
        let len = self.buckets.len() as u64;
        let steps = period.saturating_sub(self.period).min(len);
        for step in 1..=steps {
            let index = (self.period + step) % len;
            self.buckets[usize::try_from(index).unwrap_or(0)] = Bucket::default();
        }
        self.period = self.period.max(period);
    }

    fn current(&mut self) -> &mut Bucket {
        let index = self.period % self.buckets.len() as u64;
        &mut self.buckets[usize::try_from(index).unwrap_or(0)]
    }

    fn total(&self) -> Bucket {
        self.buckets
            .iter()
            .fold(Bucket::default(), |sum, bucket| Bucket {
                requests: sum.requests + bucket.requests,
                extras: sum.extras + bucket.extras,
            })
    }
}

/// One instance's shares of the retry budgets of all services.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    bound: Bound,
    instances: usize,
    started: Instant,
    budgets: HashMap<Box<str>, Budget>,
}

impl RetryBudgets {
    /// Creates the budgets of one of `instances` instances; 0 counts as 1.
    #[must_use]
    pub fn new(bound: Bound, instances: usize, now: Instant) -> Self {
        Self {
            bound,
            instances: instances.max(1),
            started: now,
            budgets: HashMap::new(),
        }
    }

    /// Replaces the bound. If the window length changes, the counts are reset, and this instance
    /// takes only half of its share of the fixed extra for the first new window.
    pub fn set_bound(&mut self, bound: Bound, now: Instant) {
        if bound.window != self.bound.window {
            self.budgets.clear();
            self.started = now;
        }
        self.bound = bound;
    }

    /// Sets the number of instances that share the fixed extra; 0 counts as 1.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances.max(1);
    }

    /// Counts a request to a service.
    pub fn on_request(&mut self, service: &str, now: Instant) {
        self.budget(service, now).current().requests += 1;
    }

    /// Returns how many requests per second this instance has had for a service in the last window.
    pub fn request_rate(&mut self, service: &str, now: Instant) -> f64 {
        let covered = now
            .saturating_duration_since(self.started)
            .min(self.bound.window);
        let requests = self.budget(service, now).total().requests;
        f64::from(requests) / covered.as_secs_f64().max(1.0)
    }

    /// Takes one extra call to a service from the budget. Returns whether the budget allowed it.
    pub fn take(&mut self, service: &str, purpose: ExtraCall, now: Instant) -> bool {
        let available = self.available(service, now);
        let needed = match purpose {
            ExtraCall::Retry => 1.0,
            ExtraCall::Hedge => 1.0 + self.extra_share(now) * RETRY_RESERVE,
        };
        if available < needed {
            return false;
        }
        self.budget(service, now).current().extras += 1;
        true
    }

    /// Returns how many extra calls the budget of a service allows now. The result may be
    /// negative, for instance after the bound was lowered.
    pub fn available(&mut self, service: &str, now: Instant) -> f64 {
        let ratio = self.bound.ratio;
        let extra = self.extra_share(now);
        let total = self.budget(service, now).total();
        (f64::from(total.requests) * ratio + extra) * MARGIN - f64::from(total.extras)
    }

    /// Returns this instance's share of the fixed extra. In its first window an instance takes
    /// half, because it does not know how many extra calls the process before it has made.
    fn extra_share(&self, now: Instant) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "there are few instances")]
        let share = self.bound.extra / self.instances as f64;
        if now.saturating_duration_since(self.started) < self.bound.window {
            share / 2.0
        } else {
            share
        }
    }

    fn budget(&mut self, service: &str, now: Instant) -> &mut Budget {
        let bucket = self.bound.window.as_secs_f64() / 10.0;
        let elapsed = now.saturating_duration_since(self.started).as_secs_f64();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "elapsed time is positive and far below 2^53 periods"
        )]
        let period = (elapsed / bucket) as u64;
        if !self.budgets.contains_key(service) {
            let budget = Budget {
                buckets: [Bucket::default(); BUCKETS + 1],
                period,
            };
            self.budgets.insert(service.into(), budget);
        }
        let budget = self
            .budgets
            .get_mut(service)
            .expect("the budget has just been inserted");
        budget.rotate(period);
        budget
    }
}
