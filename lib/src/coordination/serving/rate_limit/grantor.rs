//! Grants tokens of limited leafs to instances.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::CLAIM_INTERVAL;
use super::Claim;
use super::Notice;
use crate::state::rate::RequestRate;

/// The most unclaimed tokens, as the time in which they are created; at least one token.
const BURST: Duration = Duration::from_millis(250);

/// The share of the limit that a substitute grants. Together with the grantor that it replaces,
/// it then stays within one and a half times the limit.
const SUBSTITUTE_SHARE: f64 = 0.5;

/// The lowest rate at which tokens are created, in tokens per second. Without any call, nobody would
/// notice that a leaf no longer limits its requests.
const MIN_RATE: f64 = 0.25;

/// How long a claim counts when tokens are divided.
const CLAIM_MEMORY: Duration = Duration::from_millis(600);

/// How long the tokens of a leaf are kept after the last claim.
const BUCKET_RETENTION: Duration = Duration::from_mins(1);

/// The most leafs for which an instance grants tokens.
const MAX_BUCKETS: usize = 4_096;

/// Whether an instance is the regular grantor of a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precedence {
    /// It is the first choice among the registered instances.
    First,
    /// It replaces another instance.
    Substitute,
}

impl Precedence {
    fn share(self) -> f64 {
        match self {
            Self::First => 1.0,
            Self::Substitute => SUBSTITUTE_SHARE,
        }
    }
}

#[derive(Clone, Debug)]
struct Bucket {
    limit: RequestRate,
    heard_at: Instant,
    tokens: f64,
    filled_at: Instant,
    // The tokens that each instance last wanted, and when.
    wanted: HashMap<Box<str>, (u32, Instant)>,
    is_announced: bool,
}

impl Bucket {
    fn new(claim: &Claim, now: Instant) -> Self {
        Self {
            limit: claim.limit,
            heard_at: claim.heard_at,
            tokens: 0.0,
            filled_at: now,
            wanted: HashMap::new(),
            is_announced: false,
        }
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "numbers of tokens are small and not negative"
    )]
    fn grant(&mut self, claimant: &str, claim: &Claim, share: f64, now: Instant) -> u32 {
        if claim.heard_at > self.heard_at {
            self.limit = claim.limit;
            self.heard_at = claim.heard_at;
        }
        let rate = self.limit.per_second().max(MIN_RATE) * share;
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        let capacity = (rate * BURST.as_secs_f64()).max(1.0);
        self.tokens += rate * elapsed + f64::from(claim.returned);
        self.tokens = self.tokens.min(capacity);
        self.filled_at = now;
        self.wanted
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < CLAIM_MEMORY);
        self.wanted.insert(claimant.into(), (claim.wanted, now));
        let total: f64 = self
            .wanted
            .values()
            .map(|(wanted, _)| f64::from(*wanted))
            .sum();
        let created = rate * CLAIM_INTERVAL.as_secs_f64();
        let quota = (created * f64::from(claim.wanted) / total.max(1.0)).ceil();
        let granted = f64::from(claim.wanted).min(quota).min(self.tokens.floor());
        self.tokens -= granted;
        granted as u32
    }
}

/// The tokens that this instance grants, by leaf.
#[derive(Clone, Debug, Default)]
pub struct Grantor {
    buckets: HashMap<Box<str>, Bucket>,
}

impl Grantor {
    /// Returns how many tokens the instance `claimant` gets for its claim.
    pub fn grant(
        &mut self,
        claimant: &str,
        claim: &Claim,
        precedence: Precedence,
        now: Instant,
    ) -> u32 {
        if !self.buckets.contains_key(&claim.leaf) {
            self.buckets.retain(|_, bucket| {
                now.saturating_duration_since(bucket.filled_at) < BUCKET_RETENTION
            });
            if self.buckets.len() >= MAX_BUCKETS {
                return 0;
            }
        }
        self.buckets
            .entry(claim.leaf.clone())
            .or_insert_with(|| Bucket::new(claim, now))
            .grant(claimant, claim, precedence.share(), now)
    }

    /// Returns the leafs that have got their first claim since the last call. The other instances may
    /// not know yet that these limit their requests.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        self.buckets
            .iter_mut()
            .filter_map(|(leaf, bucket)| {
                let is_new = !std::mem::replace(&mut bucket.is_announced, true);
                is_new.then(|| Notice {
                    leaf: leaf.clone(),
                    limit: bucket.limit,
                    heard_at: bucket.heard_at,
                })
            })
            .collect()
    }
}
