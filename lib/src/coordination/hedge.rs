//! Hedge delay of one service: the 97th percentile of its measured leaf latency.

use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

/// Samples needed before anything is hedged.
pub const MIN_SAMPLES: u64 = 100;

/// The quantile of leaf latency after which a hedge is sent. Its complement must stay well below the
/// share of calls that the steady budget pays for (5 %): at 0.95 calls that were only a little late
/// used the budget up, and stragglers went without.
const QUANTILE: f64 = 0.97;

/// How far back samples count: between `WINDOW / 2` and `WINDOW`.
const WINDOW: Duration = Duration::from_secs(20);

/// The delay is computed anew after this many samples, because reading a quantile walks the
/// histogram. It is computed after every sample until the histogram holds `EAGER_SAMPLES`.
const REFRESH_SAMPLES: u64 = 256;
const EAGER_SAMPLES: u64 = 200;

/// Bounds of the histogram. Two significant digits keep the error of the delay below 1 %.
const LOWEST_MICROS: u64 = 1;
const HIGHEST_MICROS: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;

/// Measures leaf latency and derives the hedge delay. It holds two histograms that start half a
/// window apart, and reads the older one.
#[derive(Clone, Debug)]
pub struct Delay {
    older: Histogram<u32>,
    newer: Histogram<u32>,
    newer_since: Instant,
    unread: u64,
    quantile: f64,
    current: Option<Duration>,
    median: Option<Duration>,
}

impl Delay {
    /// Creates a delay without samples; hedging is off.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self::with_quantile(now, QUANTILE)
    }

    /// Creates a delay without samples that follows another quantile, from 0 to 1.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histogram are constant and valid.
    #[must_use]
    pub fn with_quantile(now: Instant, quantile: f64) -> Self {
        let histogram =
            Histogram::new_with_bounds(LOWEST_MICROS, HIGHEST_MICROS, SIGNIFICANT_DIGITS)
                .expect("constant bounds are valid");
        Self {
            older: histogram.clone(),
            newer: histogram,
            newer_since: now,
            unread: 0,
            quantile,
            current: None,
            median: None,
        }
    }

    /// Records the latency of a primary call. For a cancelled call, which would have taken longer,
    /// this is the time until it was cancelled; leaving it out would pull the delay down.
    pub fn record(&mut self, now: Instant, latency: Duration) {
        if now.saturating_duration_since(self.newer_since) >= WINDOW / 2 {
            std::mem::swap(&mut self.older, &mut self.newer);
            self.newer.reset();
            self.newer_since = now;
        }
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.older.saturating_record(micros);
        self.newer.saturating_record(micros);
        self.unread += 1;
        if self.unread >= REFRESH_SAMPLES || self.older.len() <= EAGER_SAMPLES {
            self.refresh();
        }
    }

    /// Returns how long to wait before a hedge, or `None` while there are too few samples.
    #[must_use]
    pub fn get(&self) -> Option<Duration> {
        self.current
    }

    /// Returns the median latency, or `None` while there are too few samples.
    #[must_use]
    pub fn median(&self) -> Option<Duration> {
        self.median
    }

    fn refresh(&mut self) {
        self.unread = 0;
        // After a quiet period the histogram may hold few samples; the last known delay stays.
        if self.older.len() >= MIN_SAMPLES {
            let micros = self.older.value_at_quantile(self.quantile);
            self.current = Some(Duration::from_micros(micros));
            self.median = Some(Duration::from_micros(self.older.value_at_quantile(0.5)));
        }
    }
}
