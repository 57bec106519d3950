//! Newtypes for rates.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// A number of requests per second, at least 0 and finite. Its text form is a decimal number.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

/// The error returned when a value is not a request rate.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("not a number of requests per second")]
pub struct InvalidRate;

impl RequestRate {
    /// Returns the rate in requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = InvalidRate;

    fn try_from(per_second: f64) -> Result<Self, InvalidRate> {
        if per_second.is_finite() && per_second >= 0.0 {
            Ok(Self(per_second))
        } else {
            Err(InvalidRate)
        }
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for RequestRate {
    type Err = InvalidRate;

    fn from_str(text: &str) -> Result<Self, InvalidRate> {
        let per_second: f64 = text.trim().parse().map_err(|_| InvalidRate)?;
        per_second.try_into()
    }
}
