//! Choice among the replicas of a shard: power of two choices on the expected delay.

use std::time::Instant;

use rand::RngCore;
use rand_chacha::ChaCha8Rng;

use super::LeafIndex;
use super::Stats;
use super::Table;
use super::standing::PROBE_INTERVAL;
use super::standing::Standing;
use crate::coordination::pin::Pin;
use crate::state::id::ShardId;

/// The most replicas of a shard that one choice considers; further ones are ignored. At the target
/// size a shard has 11.
const MAX_CANDIDATES: usize = 16;

/// Expected delays count as equal if the lower is at least this share of the higher. The choice
/// between equal ones is random, so that a slightly slower replica still gets samples.
const EQUAL_DELAY_RATIO: f32 = 0.8;

/// The rule for choosing among the usable replicas of a shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The better of two random replicas, by latency × (calls in flight + 1).
    #[default]
    ExpectedDelay,
    /// Baseline for experiments: a random replica; latency and failures are ignored.
    Random,
    /// Baseline for experiments: the lowest sum of ranks over the advertised values (`McCormack`,
    /// "Service Recommendation in SLP", 2000).
    RankSum,
}

/// Whether a call may serve as the probe of a replica that is slow or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probing {
    /// The call may be a probe.
    Permitted,
    /// The call must not be a probe: slow or failed replicas are chosen only if there is no other.
    Forbidden,
}

/// Up to three leafs that must not be chosen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Avoid(pub [Option<LeafIndex>; 3]);

#[derive(Default)]
struct Candidates {
    leafs: [u32; MAX_CANDIDATES],
    count: usize,
}

impl Candidates {
    fn push(&mut self, leaf: LeafIndex) {
        if self.count < MAX_CANDIDATES {
            self.leafs[self.count] = leaf.0;
            self.count += 1;
        }
    }

    fn as_slice(&self) -> &[u32] {
        &self.leafs[..self.count]
    }
}

impl Table {
    /// Chooses a replica of the shard that has no exclusion and holds the pin, or returns `None` if
    /// there is none. A slow or failed replica is chosen if a probe of it is due and permitted, or
    /// if there is no other.
    pub fn choose(
        &mut self,
        shard: ShardId,
        pin: Pin,
        avoid: Avoid,
        probing: Probing,
        now: Instant,
        rng: &mut ChaCha8Rng,
    ) -> Option<LeafIndex> {
        let mut good = Candidates::default();
        let mut others = Candidates::default();
        for index in 0..self.replicas(shard).len() {
            let leaf = self.replicas(shard)[index];
            if avoid.0.contains(&Some(leaf)) || !self.is_usable(leaf) || !self.holds(leaf, pin) {
                continue;
            }
            if self.policy != Policy::ExpectedDelay {
                good.push(leaf);
                continue;
            }
            match &mut self.stats_mut(leaf).standing {
                Standing::Normal => good.push(leaf),
                Standing::Probing { next_probe, .. } => {
                    if probing == Probing::Permitted && *next_probe <= now {
                        *next_probe = now + PROBE_INTERVAL;
                        return Some(leaf);
                    }
                    others.push(leaf);
                }
                Standing::Recovering { since } => match Standing::recovering_share(*since, now) {
                    Some(part) if rng.next_u32() & 0xff >= part => others.push(leaf),
                    _ => good.push(leaf),
                },
            }
        }
        let candidates = if good.count > 0 { &good } else { &others };
        self.pick(candidates.as_slice(), now, rng).map(LeafIndex)
    }

    fn pick(&self, candidates: &[u32], now: Instant, rng: &mut ChaCha8Rng) -> Option<u32> {
        match (candidates, self.policy) {
            ([], _) => None,
            ([only], _) => Some(*only),
            (_, Policy::RankSum) => self.lowest_rank_sum(candidates),
            (_, Policy::Random) => Some(random_pair(candidates, rng).0),
            (_, Policy::ExpectedDelay) => {
                let (first, second) = random_pair(candidates, rng);
                let stats = |leaf: u32| &self.leafs[leaf as usize];
                let second_is_better = is_clearly_faster(stats(second), stats(first), now);
                Some(if second_is_better { second } else { first })
            }
        }
    }

    fn lowest_rank_sum(&self, candidates: &[u32]) -> Option<u32> {
        let advertised = |leaf: u32| self.leafs[leaf as usize].advertised;
        let rank_sum = |leaf: &u32| {
            let own = advertised(*leaf);
            let others = candidates.iter().map(|other| advertised(*other));
            let ranks = others.map(|other| {
                usize::from(other.load < own.load) + usize::from(other.clients < own.clients)
            });
            ranks.sum::<usize>()
        };
        candidates.iter().copied().min_by_key(rank_sum)
    }
}

/// Returns whether the expected delay of `a` is below [`EQUAL_DELAY_RATIO`] of that of `b`. A leaf
/// without an estimate is assumed to be as fast as the other.
fn is_clearly_faster(a: &Stats, b: &Stats, now: Instant) -> bool {
    let (mut latency_a, mut latency_b) = (a.latency(now), b.latency(now));
    if latency_a <= 0.0 {
        latency_a = if latency_b > 0.0 { latency_b } else { 1.0 };
    }
    if latency_b <= 0.0 {
        latency_b = latency_a;
    }
    expected_delay(latency_a, a.in_flight)
        < EQUAL_DELAY_RATIO * expected_delay(latency_b, b.in_flight)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "an estimate needs no more than 24 bits"
)]
fn expected_delay(latency: f32, in_flight: u32) -> f32 {
    latency * (in_flight + 1) as f32
}

/// Draws two different candidates with one random number. There must be at least two.
fn random_pair(candidates: &[u32], rng: &mut ChaCha8Rng) -> (u32, u32) {
    let random = rng.next_u32() as usize;
    let count = candidates.len();
    let first = ((random & 0xffff) * count) >> 16;
    let second = ((random >> 16) * (count - 1)) >> 16;
    let second = second + usize::from(second >= first);
    (candidates[first], candidates[second])
}
