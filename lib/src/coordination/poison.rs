//! Requests that crash the servers that run them.
//!
//! The owner of a fingerprint first runs one call of an unknown fingerprint on one leaf, as a
//! canary; the others wait. Two crashes block the fingerprint until [`EXPIRY`] after the second. A
//! canary whose outcome is unclear counts as a crash, because otherwise each resend of a request
//! that makes servers hang or disappear would take down another server. Callers must report
//! [`Outcome::Survived`] where the server shows that it is still the same process.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::state::id::Fingerprint;

/// The number of crashes that block a fingerprint.
pub const CRASH_LIMIT: u32 = 2;

/// How long a crash counts, and how long a fingerprint counts as good after a canary succeeded.
pub const EXPIRY: Duration = Duration::from_mins(10);

/// A canary whose outcome is not reported within this time counts as [`Outcome::Unclear`]. Longer
/// than any deadline, and than the silence after which a leaf may have restarted.
pub const CANARY_TIMEOUT: Duration = Duration::from_secs(30);

/// The decision on a request of one fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The fingerprint has run without a crash.
    KnownGood,
    /// This request is the canary; the caller must report its outcome.
    RunCanary,
    /// A canary of the same fingerprint is running.
    WaitForCanary,
    /// The fingerprint has crashed too many servers.
    Blocked {
        /// When the fingerprint may run again.
        until: Instant,
    },
    /// The registry is full of fingerprints with crashes or running canaries.
    Full,
}

/// The outcome of a canary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered it.
    Ok,
    /// The server's connection was lost while it ran.
    Crashed,
    /// It failed, was refused or was late, but the server is still the same process.
    Survived,
    /// It is unknown whether the server still runs. Counts as a crash.
    Unclear,
}

#[derive(Clone, Copy, Debug, Default)]
struct Suspect {
    crashes: u32,
    /// When `crashes` is reset.
    expires: Option<Instant>,
    /// When the running canary times out; `None` if no canary is running.
    canary_expires: Option<Instant>,
}

impl Suspect {
    fn crashed(&mut self, at: Instant) {
        self.crashes = self.crashes.saturating_add(1);
        self.expires = self.expires.max(Some(at + EXPIRY));
    }

    /// Applies the time-out of the canary and the expiry of the crashes.
    fn expire(&mut self, now: Instant) {
        if let Some(end) = self.canary_expires
            && end <= now
        {
            self.canary_expires = None;
            self.crashed(end);
        }
        if self.expires.is_some_and(|expires| expires <= now) {
            self.crashes = 0;
            self.expires = None;
        }
    }

    fn is_clear(&self) -> bool {
        self.crashes == 0 && self.canary_expires.is_none()
    }
}

/// The canaries and crash counts of the fingerprints that one instance owns or has merged from
/// other instances.
#[derive(Clone, Debug)]
pub struct Registry {
    capacity: usize,
    suspects: HashMap<Fingerprint, Suspect>,
    good: KnownGood,
}

impl Registry {
    /// Creates a registry that holds up to `capacity` suspect fingerprints and twice as many good
    /// ones.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            suspects: HashMap::new(),
            good: KnownGood::new(capacity),
        }
    }

    /// Decides whether a request runs now, waits for a canary or is refused.
    pub fn admit(&mut self, fingerprint: Fingerprint, now: Instant) -> Admission {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.expire(now);
            if suspect.crashes >= CRASH_LIMIT {
                let until = suspect.expires.unwrap_or(now);
                return Admission::Blocked { until };
            }
            if suspect.canary_expires.is_some() {
                return Admission::WaitForCanary;
            }
        }
        if self.good.contains(fingerprint, now) {
            return Admission::KnownGood;
        }
        match self.suspect(fingerprint, now) {
            Some(suspect) => {
                suspect.canary_expires = Some(now + CANARY_TIMEOUT);
                Admission::RunCanary
            }
            None => Admission::Full,
        }
    }

    /// Returns the crash count. A canary after a crash must not be hedged, because two more servers
    /// could crash and exceed [`CRASH_LIMIT`].
    #[must_use]
    pub fn crashes(&self, fingerprint: Fingerprint) -> u32 {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or(0, |suspect| suspect.crashes)
    }

    /// Handles the outcome of a canary. Ignores a report after [`CANARY_TIMEOUT`], because the
    /// canary then already counts as a crash.
    pub fn canary_finished(&mut self, fingerprint: Fingerprint, outcome: Outcome, now: Instant) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        suspect.expire(now);
        if suspect.canary_expires.take().is_none() {
            return;
        }
        match outcome {
            Outcome::Crashed | Outcome::Unclear => suspect.crashed(now),
            // Earlier crashes count until they expire, even after a canary that succeeded.
            Outcome::Ok if suspect.crashes < CRASH_LIMIT => self.good.insert(fingerprint, now),
            Outcome::Ok | Outcome::Survived => {}
        }
        if suspect.is_clear() {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Counts a crash during a request that was not a canary.
    pub fn crashed(&mut self, fingerprint: Fingerprint, now: Instant) {
        self.good.remove(fingerprint);
        if let Some(suspect) = self.suspect(fingerprint, now) {
            suspect.crashed(now);
        }
    }

    /// Merges a crash count of another instance that expires after `remaining`. Keeps the larger
    /// count and the later expiry.
    pub fn merge(
        &mut self,
        fingerprint: Fingerprint,
        crashes: u32,
        remaining: Duration,
        now: Instant,
    ) {
        if crashes == 0 || remaining.is_zero() {
            return;
        }
        self.good.remove(fingerprint);
        if let Some(suspect) = self.suspect(fingerprint, now) {
            let expires = now + remaining.min(EXPIRY);
            suspect.crashes = suspect.crashes.max(crashes);
            suspect.expires = suspect.expires.max(Some(expires));
        }
    }

    /// Lists the crash counts and the time until each expires, for sending to other instances.
    pub fn counts(&self, now: Instant) -> impl Iterator<Item = (Fingerprint, u32, Duration)> {
        self.suspects
            .iter()
            .filter_map(move |(fingerprint, suspect)| {
                let mut suspect = *suspect;
                suspect.expire(now);
                let remaining = suspect.expires?.saturating_duration_since(now);
                Some((*fingerprint, suspect.crashes, remaining))
            })
    }

    /// Finds or adds a suspect. Returns `None` if the registry is full.
    fn suspect(&mut self, fingerprint: Fingerprint, now: Instant) -> Option<&mut Suspect> {
        if self.suspects.len() >= self.capacity && !self.suspects.contains_key(&fingerprint) {
            self.suspects.retain(|_, suspect| {
                suspect.expire(now);
                !suspect.is_clear()
            });
            if self.suspects.len() >= self.capacity {
                return None;
            }
        }
        let suspect = self.suspects.entry(fingerprint).or_default();
        suspect.expire(now);
        Some(suspect)
    }
}

/// Fingerprints that have run without a crash, in two generations. When the newer one is full, it
/// replaces the older one, whose entries are dropped at once.
#[derive(Clone, Debug)]
struct KnownGood {
    generation_capacity: usize,
    newer: HashMap<Fingerprint, Instant>,
    older: HashMap<Fingerprint, Instant>,
}

impl KnownGood {
    fn new(generation_capacity: usize) -> Self {
        Self {
            generation_capacity: generation_capacity.max(1),
            newer: HashMap::new(),
            older: HashMap::new(),
        }
    }

    fn contains(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        let found = self.newer.get(&fingerprint);
        let found = found.or_else(|| self.older.get(&fingerprint));
        found.is_some_and(|expires| now < *expires)
    }

    fn insert(&mut self, fingerprint: Fingerprint, now: Instant) {
        if self.newer.len() >= self.generation_capacity {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(fingerprint, now + EXPIRY);
    }

    fn remove(&mut self, fingerprint: Fingerprint) {
        self.newer.remove(&fingerprint);
        self.older.remove(&fingerprint);
    }
}
