//! Outlier detection: restricts slow or failed replicas to probes, and returns them to their full
//! share of calls step by step.

use std::time::Duration;
use std::time::Instant;

use super::LeafIndex;
use super::Table;

/// A replica is slow if its fast estimate is above both this multiple of the best peer's estimate
/// and the best peer's estimate plus the margin. Without the margin, the network latency between
/// failure domains would count as slowness where calls take well under a millisecond.
const SLOW_FACTOR: f32 = 3.0;
const SLOW_MARGIN_MICROS: f32 = 5_000.0;

/// Samples that a replica and its peer each need before they are compared. If the first sample is a
/// straggler at 20 times the usual latency, the fast estimate has fallen to 1.3 times the usual
/// latency after 16 samples.
const MIN_SAMPLES: u32 = 16;

/// A replica that is not restricted to probes is compared with its peers only once per this many
/// samples, because the comparison reads the statistics of all peers.
const SAMPLES_PER_COMPARISON: u32 = 4;

/// Failure points at which a replica counts as failed: one lost connection, or two failed requests
/// in a row.
const FAILED_POINTS: u8 = 2;

/// Consecutive calls, each cancelled after more than the estimated latency, at which a replica
/// counts as failed. Where calls are hedged, a replica that never answers shows neither failures
/// nor latencies far above its peers', because its calls are cancelled as soon as the hedge is
/// answered.
const UNANSWERED_CALLS: u8 = 8;

/// Time between two probes of a replica by one entry instance. A probe is an ordinary primary call
/// of an idempotent request.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Consecutive probes that must not be slow compared with the best peer before recovery begins.
const GOOD_PROBES: u8 = 3;

/// A recovering replica starts with 1/8 of its usual calls, which doubles with every step.
const RECOVERY_STEP: Duration = Duration::from_secs(1);
const RECOVERY_STEPS: u32 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    Normal,
    Probing { next_probe: Instant, good: u8 },
    Recovering { since: Instant },
}

impl Standing {
    fn probing(now: Instant) -> Self {
        Self::Probing {
            next_probe: now + PROBE_INTERVAL,
            good: 0,
        }
    }

    /// Returns the share of its usual calls that a recovering replica receives, in units of 1/256,
    /// or `None` once it receives all of them.
    pub(super) fn recovering_share(since: Instant, now: Instant) -> Option<u32> {
        let elapsed = now.saturating_duration_since(since).as_millis();
        let steps = u32::try_from(elapsed / RECOVERY_STEP.as_millis()).unwrap_or(u32::MAX);
        (steps < RECOVERY_STEPS).then(|| 256 >> (RECOVERY_STEPS - steps))
    }
}

impl Table {
    /// Compares a replica with its peers after a latency sample, and restricts it to probes or
    /// advances its recovery accordingly.
    pub(super) fn evaluate_latency(&mut self, leaf: LeafIndex, now: Instant, latency: Duration) {
        let stats = self.stats(leaf);
        let (fast, samples, standing) = (stats.fast, stats.samples, stats.standing);
        match standing {
            Standing::Probing { next_probe, good } => {
                let sample = latency.as_secs_f32() * 1e6;
                let best = self.best_peer(leaf, now);
                let is_good = best.is_none_or(|best| !is_slow(sample, best));
                let good = if is_good { good + 1 } else { 0 };
                self.stats_mut(leaf).standing = Standing::Probing { next_probe, good };
                if good >= GOOD_PROBES {
                    self.begin_recovery(leaf, now);
                }
            }
            Standing::Normal | Standing::Recovering { .. } => {
                if samples < MIN_SAMPLES || !samples.is_multiple_of(SAMPLES_PER_COMPARISON) {
                    return;
                }
                let best = self.best_peer(leaf, now);
                let slow = best.is_some_and(|best| is_slow(fast, best));
                if slow {
                    self.stats_mut(leaf).standing = Standing::probing(now);
                } else if let Standing::Recovering { since } = standing
                    && Standing::recovering_share(since, now).is_none()
                {
                    self.stats_mut(leaf).standing = Standing::Normal;
                }
            }
        }
    }

    /// Restricts a replica to probes once it has reached [`FAILED_POINTS`] or
    /// [`UNANSWERED_CALLS`]. If it is already restricted, resets its count of good probes.
    pub(super) fn evaluate_failures(&mut self, leaf: LeafIndex, now: Instant) {
        let stats = self.stats_mut(leaf);
        match &mut stats.standing {
            Standing::Probing { good, .. } => *good = 0,
            Standing::Normal | Standing::Recovering { .. } => {
                let failed = stats.failure_points >= FAILED_POINTS;
                if failed || stats.unanswered >= UNANSWERED_CALLS {
                    stats.standing = Standing::probing(now);
                }
            }
        }
    }

    fn begin_recovery(&mut self, leaf: LeafIndex, now: Instant) {
        let stats = self.stats_mut(leaf);
        stats.standing = Standing::Recovering { since: now };
        // The estimates were measured during the fault, so they are discarded.
        (stats.fast, stats.slow, stats.samples) = (0.0, 0.0, 0);
        (stats.failure_points, stats.unanswered) = (0, 0);
    }

    /// Returns the lowest latency estimate, in microseconds, among the other replicas of the shard
    /// that are neither excluded, probing nor recovering and have enough samples.
    fn best_peer(&self, leaf: LeafIndex, now: Instant) -> Option<f32> {
        let shard = self.shard_of[leaf.0 as usize];
        let peers = self.replicas(shard).iter().filter(|peer| **peer != leaf);
        let estimates = peers.filter_map(|peer| {
            let stats = self.stats(*peer);
            let comparable = stats.standing == Standing::Normal
                && stats.exclusions == 0
                && stats.samples >= MIN_SAMPLES;
            let estimate = stats.latency(now);
            (comparable && estimate > 0.0).then_some(estimate)
        });
        estimates.min_by(f32::total_cmp)
    }
}

fn is_slow(micros: f32, best_peer: f32) -> bool {
    micros > best_peer * SLOW_FACTOR && micros > best_peer + SLOW_MARGIN_MICROS
}
