//! Newtypes for sizes and counts.

use std::fmt;
use std::num::ParseFloatError;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Defines a newtype for a count.
macro_rules! count {
    ($(#[$attribute:meta])* $name:ident) => {
        $(#[$attribute])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u32);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

count!(
    /// The number of requests that a backend server runs concurrently.
    Slots
);
count!(
    /// The number of open connections to a backend server.
    Connections
);

/// The worth of an answer within the deadline, in a unit that the tenant chooses.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Worth(pub f64);

impl Default for Worth {
    fn default() -> Self {
        Self(1.0)
    }
}

impl fmt::Display for Worth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Worth {
    type Err = ParseFloatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// A number of bytes, parsed from text such as `65536`, `64KiB` or `1MiB`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Bytes(pub u64);

/// The error returned when a text is not a number of bytes.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{0:?} is not a number of bytes: use digits, optionally followed by KiB or MiB")]
pub struct InvalidBytes(Box<str>);

const KIB: u64 = 1024;
const MIB: u64 = KIB * KIB;

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            bytes if bytes >= MIB && bytes.is_multiple_of(MIB) => write!(f, "{}MiB", bytes / MIB),
            bytes if bytes >= KIB && bytes.is_multiple_of(KIB) => write!(f, "{}KiB", bytes / KIB),
            bytes => write!(f, "{bytes}"),
        }
    }
}

impl FromStr for Bytes {
    type Err = InvalidBytes;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (digits, unit) = if let Some(digits) = text.strip_suffix("KiB") {
            (digits, KIB)
        } else if let Some(digits) = text.strip_suffix("MiB") {
            (digits, MIB)
        } else {
            (text, 1)
        };
        let count: Option<u64> = digits.trim().parse().ok();
        count
            .and_then(|count| count.checked_mul(unit))
            .map(Self)
            .ok_or_else(|| InvalidBytes(text.into()))
    }
}
