//! The order in which queries are admitted.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::str::FromStr;

use thiserror::Error;

/// The number of priorities that are told apart. Less urgent ones count as the last.
pub(super) const BANDS: usize = 8;

/// The urgency of a query. The smallest is the most urgent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Urgency(f64);

impl Urgency {
    /// Returns the urgency of a query with a priority. `hash` orders the queries of equal priority; it
    /// must be the same at all instances.
    #[must_use]
    pub fn new(priority: u32, hash: u64) -> Self {
        let position = u16::try_from(hash >> 48).unwrap_or(u16::MAX);
        let last = u32::try_from(BANDS - 1).unwrap_or(u32::MAX);
        Self(f64::from(priority.min(last)) + f64::from(position) / 65_536.0)
    }

    /// Returns the priority, as far as priorities are told apart.
    #[must_use]
    pub fn band(self) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "between 0 and the number of bands"
        )]
        let band = self.0 as usize;
        band.min(BANDS - 1)
    }
}

/// A bound on the urgency of the queries that a shard admits. Its text form is a number of thousandths
/// of a band.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Threshold(f64);

/// Returned for a text that is not a [`Threshold`].
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("invalid threshold")]
pub struct InvalidThreshold;

/// The smallest threshold. A few of the most urgent queries go on showing how long calls take.
const SMALLEST: f64 = 0.02;

impl Threshold {
    /// The threshold that admits every query.
    pub const OPEN: Self = Self(f64::INFINITY);

    /// Returns whether a query is admitted.
    #[must_use]
    pub fn admits(self, urgency: Urgency) -> bool {
        urgency.0 < self.0
    }

    /// Returns the threshold as a number of bands; infinite if it admits every query.
    #[must_use]
    pub fn bands(self) -> f64 {
        self.0
    }

    /// Returns the threshold, at most that which just admits all queries up to a band.
    pub(super) fn capped(self, last_band: usize) -> Self {
        Self(self.0.min(top(last_band)))
    }

    /// Returns the threshold after a rise. It admits every query once it admits all of `last_band`.
    pub(super) fn raised(self, by: f64, last_band: usize) -> Self {
        let raised = self.0 + by;
        if raised >= top(last_band) {
            Self::OPEN
        } else {
            Self(raised)
        }
    }

    /// Returns the threshold that admits queries with `excess` less work, but still all that are more
    /// urgent than the last band in use: whether those have to wait shows once this band is refused.
    /// `admitted` is the work of the admitted ones by band.
    pub(super) fn lowered(self, excess: f32, admitted: &[f32; BANDS]) -> Self {
        let mut threshold = self.0;
        for band in (0..BANDS).rev() {
            let start = top(band) - 1.0;
            let used = threshold - start;
            if used <= 0.0 {
                continue;
            }
            let work = admitted[band];
            if work > excess {
                threshold -= used * f64::from(excess / work);
                break;
            }
            threshold = start;
            if work > 0.0 {
                break;
            }
        }
        Self(threshold.max(SMALLEST))
    }

    /// Returns the threshold that admits queries with that much more work, but at most `largest`
    /// higher.
    pub(super) fn raised_by_work(
        self,
        more: f32,
        admitted: &[f32; BANDS],
        largest: f64,
        last_band: usize,
    ) -> Self {
        let band = Urgency(self.0).band();
        let used = self.0 - (top(band) - 1.0);
        let rise = used * f64::from(more / admitted[band].max(1e-6));
        // Little is known about a band of which few queries are admitted.
        let smallest = SMALLEST.min(largest);
        self.raised(rise.clamp(smallest, largest), last_band)
    }
}

fn top(band: usize) -> f64 {
    f64::from(u32::try_from(band).unwrap_or(u32::MAX)) + 1.0
}

impl Display for Threshold {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:.0}", self.0 * 1_000.0)
    }
}

impl FromStr for Threshold {
    type Err = InvalidThreshold;

    fn from_str(text: &str) -> Result<Self, InvalidThreshold> {
        let thousandths: u16 = text.parse().map_err(|_| InvalidThreshold)?;
        Ok(Self((f64::from(thousandths) / 1_000.0).max(SMALLEST)))
    }
}
