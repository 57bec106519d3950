//! The statistical tests of one route: each metric of the new version against the old one.

use super::FULL_SHARE;
use super::STEPS_PERMILLE;
use super::evidence::Counters;
use super::evidence::Pair;
use super::sequential::Block;
use super::sequential::Detector;
use super::sequential::Proof;
use super::sequential::Tally;
use super::sequential::to_f64;

/// The probability of judging a good version as bad, over all routes and steps of a rollout.
pub const FALSE_ALARM_PROBABILITY: f64 = 0.01;

/// The probability that a version that is worse by the tolerance of a step passes that step.
pub const MISS_PROBABILITY: f64 = 0.05;

/// The number of first requests of a step on a route among which [`BURST_FAILURES`] failures make
/// the version bad at once.
const BURST_REQUESTS: u64 = 10;

/// See [`BURST_REQUESTS`]. A version with a true failure rate below 20 % has 8 failures in 10
/// requests with a probability below 1 in 10,000.
const BURST_FAILURES: u64 = 8;

/// The event whose rate is compared between the versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Metric {
    Failures,
    Slowness,
}

impl Metric {
    fn tally(self, counters: Counters) -> Tally {
        match self {
            Self::Failures => Tally {
                requests: counters.requests,
                events: counters.failures,
            },
            Self::Slowness => Tally {
                requests: counters.timed,
                events: counters.slow,
            },
        }
    }

    /// Returns the effect sizes to which the detector is most sensitive. Its products shrink at a
    /// true difference below half of the smallest one, so such differences are tolerated.
    fn effects(self) -> &'static [f64] {
        match self {
            Self::Failures => &[0.05, 0.2, 0.6],
            Self::Slowness => &[0.1, 0.3, 0.6],
        }
    }

    /// Returns the effect size that the proof must exclude before the step at this share is passed.
    /// It is larger again at full share, because [`Metric::margin`] applies there.
    fn tolerance(self, share_permille: u16) -> f64 {
        let tolerances = match self {
            Self::Failures => [0.5, 0.25, 0.1, 0.05, 0.1],
            Self::Slowness => [0.5, 0.3, 0.2, 0.1, 0.15],
        };
        let step = STEPS_PERMILLE
            .iter()
            .position(|step| share_permille <= *step);
        tolerances[step.unwrap_or(STEPS_PERMILLE.len() - 1)]
    }

    /// Returns by how much the rate may exceed the rate of the old version at full share. The rate
    /// of the old version was then measured earlier, under a different load.
    fn margin(self) -> f64 {
        match self {
            Self::Failures => 0.05,
            Self::Slowness => 0.1,
        }
    }

    /// Estimates a rate. The prior has the weight of ten requests and the rate of a normal version:
    /// few failures, and 5 % of requests above the p95.
    fn rate(self, tally: Tally) -> f64 {
        let prior = match self {
            Self::Failures => 0.005,
            Self::Slowness => 0.05,
        };
        (to_f64(tally.events) + 10.0 * prior) / (to_f64(tally.requests) + 10.0)
    }
}

/// The tests of one metric on one route.
#[derive(Clone, Debug)]
struct Trial {
    metric: Metric,
    detector: Detector,
    proof: Proof,
    /// The requests of the old version up to the last look, over all steps.
    old: Tally,
    /// Requests since the last block, kept for the next one while one of the versions has none.
    pending: Block,
}

impl Trial {
    fn new(metric: Metric) -> Self {
        Self {
            metric,
            detector: Detector::new(metric.effects()),
            proof: Proof::default(),
            old: Tally::default(),
            pending: Block::default(),
        }
    }

    fn begin_step(&mut self) {
        self.proof = Proof::default();
        self.old = sum(self.old, self.pending.old);
        self.pending = Block::default();
    }

    fn observe(&mut self, pair: Pair, share_permille: u16) {
        let block = Block {
            old: sum(self.pending.old, self.metric.tally(pair.old)),
            new: sum(self.pending.new, self.metric.tally(pair.new)),
        };
        let rate = self.metric.rate(self.old);
        let tolerance = self.metric.tolerance(share_permille);
        let is_full_share = share_permille >= FULL_SHARE;
        if block.new.requests == 0 || (block.old.requests == 0 && !is_full_share) {
            self.pending = block;
            return;
        }
        if is_full_share {
            let good_rate = rate + self.metric.margin();
            self.detector.observe_alone(block.new, good_rate);
            self.proof.observe_alone(block.new, rate, tolerance);
        } else {
            self.detector.observe(block, rate);
            self.proof.observe(block, rate, tolerance);
        }
        self.old = sum(self.old, block.old);
        self.pending = Block::default();
    }
}

fn sum(left: Tally, right: Tally) -> Tally {
    Tally {
        requests: left.requests + right.requests,
        events: left.events + right.events,
    }
}

/// The tests of one route of one service.
#[derive(Clone, Debug)]
pub(super) struct RouteTrial {
    /// The number of the route in the order of its first request, from 1.
    number: u64,
    /// All requests of the current step.
    step: Pair,
    /// The first requests of the step, up to and including the look at which the new version
    /// reaches [`BURST_REQUESTS`].
    opening: Pair,
    failures: Trial,
    slowness: Trial,
}

impl RouteTrial {
    pub(super) fn new(number: u64) -> Self {
        Self {
            number,
            step: Pair::default(),
            opening: Pair::default(),
            failures: Trial::new(Metric::Failures),
            slowness: Trial::new(Metric::Slowness),
        }
    }

    pub(super) fn begin_step(&mut self) {
        self.step = Pair::default();
        self.opening = Pair::default();
        self.failures.begin_step();
        self.slowness.begin_step();
    }

    pub(super) fn observe(&mut self, pair: Pair, share_permille: u16) {
        self.step = self.step.plus(pair);
        if self.opening.new.requests < BURST_REQUESTS {
            self.opening = self.opening.plus(pair);
        }
        self.failures.observe(pair, share_permille);
        self.slowness.observe(pair, share_permille);
    }

    /// Returns the probability of a false alarm that each of the two tests may have. Its sum over
    /// any number of routes is less than [`FALSE_ALARM_PROBABILITY`].
    fn alpha(&self) -> f64 {
        let number = to_f64(self.number);
        FALSE_ALARM_PROBABILITY / (2.0 * number * (number + 1.0))
    }

    pub(super) fn fault(&self, share_permille: u16) -> Option<Metric> {
        if self.has_burst(share_permille) || self.failures.detector.rejects(self.alpha()) {
            Some(Metric::Failures)
        } else if self.slowness.detector.rejects(self.alpha()) {
            Some(Metric::Slowness)
        } else {
            None
        }
    }

    /// Returns whether most of the first requests to the new version failed, but few to the old.
    fn has_burst(&self, share_permille: u16) -> bool {
        let Pair { old, new } = self.opening;
        let failing = new.failures >= BURST_FAILURES
            && new.failures * BURST_REQUESTS >= new.requests * BURST_FAILURES;
        let old_seen = old.requests > 0 || share_permille >= FULL_SHARE;
        failing && old_seen && old.failures * 5 <= old.requests
    }

    pub(super) fn proved(&self) -> bool {
        self.failures.proof.holds(MISS_PROBABILITY) && self.slowness.proof.holds(MISS_PROBABILITY)
    }

    pub(super) fn requests(&self) -> u64 {
        self.step.old.requests + self.step.new.requests
    }
}
