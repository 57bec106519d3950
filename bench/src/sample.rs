//! What became of the requests of a run, and what follows from them.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

/// The longest latency that a histogram holds, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// Significant decimal digits of a histogram.
const DIGITS: u8 = 3;

/// What became of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// An answer with hits.
    Answered,
    /// A refusal saying that no backend server ran the request.
    NotRun,
    /// An answer saying that backend servers may have run the request.
    Unknown,
    /// Another HTTP status.
    Rejected,
    /// The connection was refused before the request was sent.
    Refused,
    /// The connection was lost after the request was sent, or no answer came.
    Lost,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The intended start, since the start of the run.
    pub at: Duration,
    /// From the intended start to the end of the answer.
    pub latency: Duration,
    /// What became of it.
    pub outcome: Outcome,
    /// Why the request was not answered, as the instance states.
    pub reason: Option<Box<str>>,
    /// Shards covered, as the answer states.
    pub answered: u32,
    /// Shards in scope.
    pub in_scope: u32,
    /// Whether the answer came before the deadline.
    pub in_time: bool,
    /// The worth of the request.
    pub worth: f64,
    /// What is wrong with the answer, if anything.
    pub violation: Option<String>,
}

/// What follows from the requests of a period.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Requests.
    pub offered: usize,
    /// Requests answered.
    pub answered: usize,
    /// Requests answered for all shards before the deadline.
    pub useful: usize,
    /// Requests refused as not run.
    pub not_run: usize,
    /// Requests with any other outcome.
    pub other: usize,
    /// Answers with something wrong.
    pub violations: usize,
    /// Covered shards as a share of the shards of all answered requests.
    pub coverage: f64,
    /// The worth of answers in time, by coverage, as a share of the worth offered.
    pub worth: f64,
    /// Leaf calls needed by all requests that ran.
    pub calls_needed: u64,
    latencies: Histogram<u64>,
}

impl Summary {
    /// Sums up the requests that were to start within the period.
    pub fn of(samples: &[Sample], from: Duration, to: Duration) -> Self {
        let samples = samples.iter();
        let samples: Vec<&Sample> = samples
            .filter(|sample| sample.at >= from && sample.at < to)
            .collect();
        let count = |outcome: Outcome| {
            let matching = samples.iter().filter(|sample| sample.outcome == outcome);
            matching.count()
        };
        let (answered, not_run) = (count(Outcome::Answered), count(Outcome::NotRun));
        let mut summary = Self {
            offered: samples.len(),
            answered,
            useful: 0,
            not_run,
            other: samples.len() - answered - not_run,
            violations: 0,
            coverage: 0.0,
            worth: 0.0,
            calls_needed: 0,
            latencies: histogram(),
        };
        let (mut covered, mut in_scope, mut worth, mut offered_worth) = (0, 0, 0.0, 0.0);
        for sample in &samples {
            offered_worth += sample.worth;
            summary.violations += usize::from(sample.violation.is_some());
            if matches!(sample.outcome, Outcome::Answered | Outcome::Unknown) {
                summary.calls_needed += u64::from(sample.in_scope);
            }
            if sample.outcome == Outcome::Answered {
                covered += sample.answered;
                in_scope += sample.in_scope;
                record(&mut summary.latencies, sample.latency);
            }
            if sample.outcome == Outcome::Answered && sample.in_time {
                worth += sample.worth * ratio(sample.answered, sample.in_scope);
                summary.useful += usize::from(sample.answered == sample.in_scope);
            }
        }
        summary.coverage = ratio(covered, in_scope);
        summary.worth = if offered_worth > 0.0 {
            worth / offered_worth
        } else {
            0.0
        };
        summary
    }

    /// Sums up all requests.
    pub fn all(samples: &[Sample]) -> Self {
        Self::of(samples, Duration::ZERO, Duration::MAX)
    }

    /// Returns a quantile of the latencies of answered requests, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        quantile_ms(&self.latencies, quantile)
    }
}

/// Counts the requests that were not answered, by outcome and reason.
pub fn reasons(samples: &[Sample]) -> BTreeMap<(Outcome, &str), usize> {
    let mut reasons = BTreeMap::new();
    let failed = samples.iter();
    for sample in failed.filter(|sample| sample.outcome != Outcome::Answered) {
        let reason = sample.reason.as_deref().unwrap_or_default();
        *reasons.entry((sample.outcome, reason)).or_default() += 1;
    }
    reasons
}

/// Returns an empty histogram of microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MICROS, DIGITS).expect("the constant bounds are valid")
}

/// Records a latency.
pub fn record(histogram: &mut Histogram<u64>, latency: Duration) {
    let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_MICROS);
    histogram.saturating_record(micros);
}

/// Returns a quantile in milliseconds.
#[expect(clippy::cast_precision_loss, reason = "microseconds up to a minute")]
pub fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

/// Divides counts; 0 if there is nothing to divide by.
pub fn ratio(part: u32, whole: u32) -> f64 {
    if whole == 0 {
        0.0
    } else {
        f64::from(part) / f64::from(whole)
    }
}
