//! Each instance's part of the retry budgets of the services.
//!
//! In any window, the calls to a service beyond the first of each request may number at most a
//! ratio of the requests plus a fixed extra, over all instances. Each instance counts its own
//! requests for the ratio and takes an equal part of the extra, so the sum keeps the bound without
//! any exchange.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// Parts into which a window is divided. One more is counted, because the window slides.
const BUCKETS: usize = 10;

/// The share of the bound that is used. The rest covers requests that end before their calls are
/// counted, and instances that start with an empty count.
const MARGIN: f64 = 0.9;

/// The share of the allowance that hedges leave to retries. A retry replaces an answer that is
/// known to be lost, a hedge one that is merely late.
const RETRY_RESERVE: f64 = 0.2;

/// The bound on extra calls to one service, over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Extra calls per request.
    pub ratio: f64,
    /// Extra calls per window besides.
    pub extra: f64,
    /// The length of the window.
    pub window: Duration,
}

/// What an extra call is for.
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
struct Account {
    buckets: [Bucket; BUCKETS + 1],
    // The number of the bucket period that `buckets[period % len]` counts.
    period: u64,
}

impl Account {
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

/// The allowances of all services at one instance.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    bound: Bound,
    instances: usize,
    started: Instant,
    accounts: HashMap<Box<str>, Account>,
}

impl RetryBudgets {
    /// Creates the allowances of one of `instances` instances.
    #[must_use]
    pub fn new(bound: Bound, instances: usize, now: Instant) -> Self {
        Self {
            bound,
            instances: instances.max(1),
            started: now,
            accounts: HashMap::new(),
        }
    }

    /// Puts another bound in force. With another window, what was counted is forgotten, and this
    /// instance takes half of its part again.
    pub fn set_bound(&mut self, bound: Bound, now: Instant) {
        if bound.window != self.bound.window {
            self.accounts.clear();
            self.started = now;
        }
        self.bound = bound;
    }

    /// Sets by how many instances the bound is divided.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances.max(1);
    }

    /// Records a request for a service.
    pub fn on_request(&mut self, service: &str, now: Instant) {
        self.account(service, now).current().requests += 1;
    }

    /// Takes one extra call to a service, if there is one.
    pub fn take(&mut self, service: &str, purpose: ExtraCall, now: Instant) -> bool {
        let available = self.available(service, now);
        let needed = match purpose {
            ExtraCall::Retry => 1.0,
            ExtraCall::Hedge => 1.0 + self.extra_part(now) * RETRY_RESERVE,
        };
        if available < needed {
            return false;
        }
        self.account(service, now).current().extras += 1;
        true
    }

    /// Returns how many extra calls could be made now.
    pub fn available(&mut self, service: &str, now: Instant) -> f64 {
        let ratio = self.bound.ratio;
        let extra = self.extra_part(now);
        let total = self.account(service, now).total();
        (f64::from(total.requests) * ratio + extra) * MARGIN - f64::from(total.extras)
    }

    /// Returns this instance's part of the fixed extra. In its first window an instance takes half,
    /// because it does not know what the process before it has used.
    fn extra_part(&self, now: Instant) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "there are few instances")]
        let part = self.bound.extra / self.instances as f64;
        if now.saturating_duration_since(self.started) < self.bound.window {
            part / 2.0
        } else {
            part
        }
    }

    fn account(&mut self, service: &str, now: Instant) -> &mut Account {
        let bucket = self.bound.window.as_secs_f64() / 10.0;
        let elapsed = now.saturating_duration_since(self.started).as_secs_f64();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "elapsed time is positive and far below 2^53 periods"
        )]
        let period = (elapsed / bucket) as u64;
        if !self.accounts.contains_key(service) {
            let account = Account {
                buckets: [Bucket::default(); BUCKETS + 1],
                period,
            };
            self.accounts.insert(service.into(), account);
        }
        let account = self
            .accounts
            .get_mut(service)
            .expect("the account has just been inserted");
        account.rotate(period);
        account
    }
}
