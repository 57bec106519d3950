//! One instance, as the others know it.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// How long an instance still counts after its registration is gone. It may still run without a
/// connection to the store, and a count that is too high only makes the divided limits stricter.
const COUNTED_AFTER_REMOVAL: Duration = Duration::from_mins(1);

/// How long a report that an instance has failed a handover counts. Those that still have it paused
/// repeat the report with their next answers.
const REPORT_LIFETIME: Duration = Duration::from_millis(700);

/// How many instances have to report a failure. A single one may itself be cut off or overloaded.
const MIN_REPORTERS: usize = 2;

/// The processor time that an instance gets, in cores.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity(f64);

impl Capacity {
    /// The range of capacities that are told apart, in cores.
    const SMALLEST: f64 = 0.01;
    const LARGEST: f64 = 64.0;

    /// Returns the capacity of that many cores, or the nearest one in range. A value that is not a
    /// number counts as the smallest.
    #[must_use]
    pub fn from_cores(cores: f64) -> Self {
        if cores.is_nan() {
            return Self(Self::SMALLEST);
        }
        Self(cores.clamp(Self::SMALLEST, Self::LARGEST))
    }

    /// Returns the number of cores.
    #[must_use]
    pub fn cores(self) -> f64 {
        self.0
    }
}

/// The failure domain, the peer address and the capacity of an instance, as it registered them.
#[derive(Clone, Debug, PartialEq)]
pub struct Location {
    /// The failure domain that the instance runs in.
    pub domain: Box<str>,
    /// The address at which it accepts queries of other instances.
    pub address: SocketAddr,
    /// How much work it can take over.
    pub capacity: Capacity,
    /// The version of the messages between instances that it knows.
    pub protocol: u32,
}

/// The registration of an instance, and what this instance has seen of it.
#[derive(Clone, Debug)]
pub(super) struct Instance {
    pub(super) location: Option<Location>,
    pub(super) hash: u64,
    // When the registration was removed from the store.
    pub(super) removed_at: Option<Instant>,
    pub(super) in_flight: usize,
    pub(super) failures: u32,
    pub(super) paused_until: Option<Instant>,
    // The hashes of the instances that reported a failure, and when.
    pub(super) reports: Vec<(u64, Instant)>,
}

impl Instance {
    pub(super) fn is_open(&self, now: Instant) -> bool {
        self.removed_at.is_none() && !self.is_paused(now) && !self.is_reported(now)
    }

    /// Returns whether the instance counts among those that share limits.
    pub(super) fn counts(&self, now: Instant) -> bool {
        self.removed_at.is_none_or(|removed_at| {
            now.saturating_duration_since(removed_at) < COUNTED_AFTER_REMOVAL
        })
    }

    pub(super) fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Records a report of the instance with the hash `reporter`.
    pub(super) fn on_report(&mut self, reporter: u64, now: Instant) {
        self.reports.retain(|(other, at)| {
            *other != reporter && now.saturating_duration_since(*at) < REPORT_LIFETIME
        });
        self.reports.push((reporter, now));
    }

    fn is_reported(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REPORT_LIFETIME;
        self.reports.iter().filter(|(_, at)| is_recent(*at)).count() >= MIN_REPORTERS
    }
}
