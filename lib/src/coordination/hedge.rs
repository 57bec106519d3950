//! Hedge delay of one service: by default the 97th percentile of its measured leaf latency.

use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

/// Latency samples needed before calls are hedged.
pub const MIN_SAMPLES: u64 = 100;

/// The quantile of leaf latency after which a hedge is sent. Its complement must stay well below
/// the share of calls that the steady budget covers (5 %): at 0.95, hedges of calls that are only
/// slightly late use up the budget, and stragglers get no hedge.
const QUANTILE: f64 = 0.97;

/// Maximum age of the samples in the histogram that is read. While samples arrive steadily, it
/// covers between `WINDOW / 2` and `WINDOW`.
const WINDOW: Duration = Duration::from_secs(20);

/// Samples between two computations of the delay, because reading a quantile walks the histogram.
/// Until the histogram holds `EAGER_SAMPLES`, the delay is computed after every sample.
const REFRESH_SAMPLES: u64 = 256;
const EAGER_SAMPLES: u64 = 200;

/// Range of the histogram in microseconds, and its precision: two significant digits keep the error
/// of the delay below 1 %.
const LOWEST_MICROS: u64 = 1;
const HIGHEST_MICROS: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;

/// Measures leaf latency and derives the hedge delay from it. Holds two histograms that start half
/// a window apart, and reads the older one.
#[derive(Clone, Debug)]
pub struct Delay {
    older: Histogram<u32>,
    newer: Histogram<u32>,
    newer_since: Instant,
    samples_since_refresh: u64,
    quantile: f64,
    current: Option<Duration>,
    median: Option<Duration>,
}

impl Delay {
    /// Creates a delay without samples, for which [`Delay::get`] returns `None`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self::with_quantile(now, QUANTILE)
    }

    /// Creates a delay without samples that uses another quantile of latency, from 0 to 1.
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
            samples_since_refresh: 0,
            quantile,
            current: None,
            median: None,
        }
    }

    /// Records the latency of a primary call. For a cancelled call, this is the time until the
    /// cancellation: the call would have taken longer, so leaving it out would bias the delay low.
    pub fn record(&mut self, now: Instant, latency: Duration) {
        if now.saturating_duration_since(self.newer_since) >= WINDOW / 2 {
            std::mem::swap(&mut self.older, &mut self.newer);
            self.newer.reset();
            self.newer_since = now;
        }
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.older.saturating_record(micros);
        self.newer.saturating_record(micros);
        self.samples_since_refresh += 1;
        if self.samples_since_refresh >= REFRESH_SAMPLES || self.older.len() <= EAGER_SAMPLES {
            self.refresh();
        }
    }

    /// Returns how long to wait before a hedge, or `None` until one window has held
    /// [`MIN_SAMPLES`].
    #[must_use]
    pub fn get(&self) -> Option<Duration> {
        self.current
    }

    /// Returns the median latency, or `None` until one window has held
    /// [`MIN_SAMPLES`].
    #[must_use]
    pub fn median(&self) -> Option<Duration> {
        self.median
    }

    fn refresh(&mut self) {
        self.samples_since_refresh = 0;
        // After a period with few calls the histogram may hold too few samples; the previous delay
        // then stays in use.
        if self.older.len() >= MIN_SAMPLES {
            let micros = self.older.value_at_quantile(self.quantile);
            self.current = Some(Duration::from_micros(micros));
            self.median = Some(Duration::from_micros(self.older.value_at_quantile(0.5)));
        }
    }
}
