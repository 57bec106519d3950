//! The results of the requests of a run, and summaries of them.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

/// The longest latency that a histogram holds, in microseconds. Longer ones are recorded as this.
const MAX_MICROS: u64 = 60_000_000;

/// Significant decimal digits that a histogram preserves of each latency.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The result of one request.
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

/// A finished request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The intended start of the request, since the start of the load.
    pub at: Duration,
    /// From the intended start to the end of the answer.
    pub latency: Duration,
    /// The result.
    pub outcome: Outcome,
    /// The reason for a missing answer, as stated by the instance.
    pub reason: Option<Box<str>>,
    /// Shards covered, as stated by the answer; 0 without an answer.
    pub answered: u32,
    /// Shards in scope.
    pub in_scope: u32,
    /// Whether the request ended within the deadline.
    pub in_time: bool,
    /// The worth of the request.
    pub worth: f64,
    /// The first error found in the answer, if any.
    pub violation: Option<String>,
}

/// The summary of the requests of a period.
#[derive(Clone, Debug)]
pub struct Summary {
    /// All requests that were to start in the period.
    pub offered: usize,
    /// Requests answered.
    pub answered: usize,
    /// Requests answered for all shards before the deadline.
    pub useful: usize,
    /// Requests refused as not run.
    pub not_run: usize,
    /// Requests with any other outcome.
    pub other: usize,
    /// Answers in which an error was found.
    pub violations: usize,
    /// Covered shards as a share of the shards of all answered requests.
    pub coverage: f64,
    /// The worth of answers within the deadline, each multiplied by its coverage, as a share of the
    /// worth offered.
    pub worth: f64,
    /// Leaf calls that the requests need without hedges and retries: one per shard in scope of each
    /// request that ran or may have run.
    pub calls_needed: u64,
    latencies: Histogram<u64>,
}

impl Summary {
    /// Summarizes the requests whose intended start is at or after `from` and before `to`.
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

    /// Summarizes all requests.
    pub fn all(samples: &[Sample]) -> Self {
        Self::of(samples, Duration::ZERO, Duration::MAX)
    }

    /// Returns a quantile, 0 to 1, of the latencies of answered requests, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        quantile_ms(&self.latencies, quantile)
    }
}

/// Counts the requests that were not answered, by outcome and reason. The reason is empty if the
/// instance stated none.
pub fn reasons(samples: &[Sample]) -> BTreeMap<(Outcome, &str), usize> {
    let mut reasons = BTreeMap::new();
    let failed = samples.iter();
    for sample in failed.filter(|sample| sample.outcome != Outcome::Answered) {
        let reason = sample.reason.as_deref().unwrap_or_default();
        *reasons.entry((sample.outcome, reason)).or_default() += 1;
    }
    reasons
}

/// Returns an empty histogram of latencies in microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS)
        .expect("the constant bounds are valid")
}

/// Records a latency, limited to [`MAX_MICROS`].
pub fn record(histogram: &mut Histogram<u64>, latency: Duration) {
    let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_MICROS);
    histogram.saturating_record(micros);
}

/// Returns a quantile, 0 to 1, of a histogram of microseconds, in milliseconds.
#[expect(clippy::cast_precision_loss, reason = "microseconds up to a minute")]
pub fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

/// Divides two counts; 0 if `whole` is 0.
pub fn ratio(part: u32, whole: u32) -> f64 {
    if whole == 0 {
        0.0
    } else {
        f64::from(part) / f64::from(whole)
    }
}
