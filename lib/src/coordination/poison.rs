//! Requests that crash the servers that run them.
//!
//! The owner of a fingerprint lets one call of an unknown fingerprint run on one leaf, the canary,
//! before the others. Two crashes block the fingerprint until [`EXPIRY`] after the second. A canary
//! without a clear end counts as a crash, since otherwise each resend of a request that makes
//! servers hang or vanish would cost another server; report [`Outcome::Survived`] where the server
//! shows that it is still the same process.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::state::id::Fingerprint;

/// Crashes that block a fingerprint.
pub const CRASH_LIMIT: u32 = 2;

/// How long crashes are remembered and fingerprints are taken to be good.
pub const EXPIRY: Duration = Duration::from_mins(10);

/// A canary whose end is not reported in this time is taken as unclear. Longer than any deadline
/// and the silence after which a leaf is taken to have restarted.
pub const CANARY_TIMEOUT: Duration = Duration::from_secs(30);

/// The answer to a request for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The fingerprint has run without a crash.
    KnownGood,
    /// This request is the canary; its end has to be reported.
    RunCanary,
    /// A canary of the same fingerprint is running.
    WaitForCanary,
    /// The fingerprint has crashed too many servers.
    Blocked {
        /// When it may be tried again.
        until: Instant,
    },
    /// Too many fingerprints are suspect or under trial to keep track of another.
    Full,
}

/// How a canary ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Ok,
    /// The server's connection was lost while it ran.
    Crashed,
    /// It failed, was refused or was late, and the server is known to be the same process.
    Survived,
    /// Nothing is known.
    Unclear,
}

#[derive(Clone, Copy, Debug, Default)]
struct Suspect {
    crashes: u32,
    /// When the crashes are forgotten.
    expires: Option<Instant>,
    /// When the running canary is taken as unclear.
    canary_ends: Option<Instant>,
}

impl Suspect {
    fn crashed(&mut self, at: Instant) {
        self.crashes = self.crashes.saturating_add(1);
        self.expires = self.expires.max(Some(at + EXPIRY));
    }

    /// Applies what time alone changes.
    fn age(&mut self, now: Instant) {
        if let Some(end) = self.canary_ends
            && end <= now
        {
            self.canary_ends = None;
            self.crashed(end);
        }
        if self.expires.is_some_and(|expires| expires <= now) {
            self.crashes = 0;
            self.expires = None;
        }
    }

    fn is_clear(&self) -> bool {
        self.crashes == 0 && self.canary_ends.is_none()
    }
}

/// The canaries and crash counts of the fingerprints that one instance owns or has heard of.
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

    /// Decides how a request may run.
    pub fn admit(&mut self, fingerprint: Fingerprint, now: Instant) -> Admission {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.age(now);
            if suspect.crashes >= CRASH_LIMIT {
                let until = suspect.expires.unwrap_or(now);
                return Admission::Blocked { until };
            }
            if suspect.canary_ends.is_some() {
                return Admission::WaitForCanary;
            }
        }
        if self.good.contains(fingerprint, now) {
            return Admission::KnownGood;
        }
        match self.suspect(fingerprint, now) {
            Some(suspect) => {
                suspect.canary_ends = Some(now + CANARY_TIMEOUT);
                Admission::RunCanary
            }
            None => Admission::Full,
        }
    }

    /// Counts the crashes that are remembered. A canary after a crash must not be hedged, because two
    /// more servers would exceed [`CRASH_LIMIT`].
    #[must_use]
    pub fn crashes(&self, fingerprint: Fingerprint) -> u32 {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or(0, |suspect| suspect.crashes)
    }

    /// Takes the end of a canary. A report after [`CANARY_TIMEOUT`] changes nothing: its end has
    /// been counted.
    pub fn canary_finished(&mut self, fingerprint: Fingerprint, outcome: Outcome, now: Instant) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        suspect.age(now);
        if suspect.canary_ends.take().is_none() {
            return;
        }
        match outcome {
            Outcome::Crashed | Outcome::Unclear => suspect.crashed(now),
            // A crash that was counted before stands until it expires.
            Outcome::Ok if suspect.crashes < CRASH_LIMIT => self.good.insert(fingerprint, now),
            Outcome::Ok | Outcome::Survived => {}
        }
        if suspect.is_clear() {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Takes a crash under a request that was not a canary.
    pub fn crashed(&mut self, fingerprint: Fingerprint, now: Instant) {
        self.good.remove(fingerprint);
        if let Some(suspect) = self.suspect(fingerprint, now) {
            suspect.crashed(now);
        }
    }

    /// Takes a count that another instance holds and forgets in `remaining`. The larger count and
    /// the later end win.
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

    /// Lists the crash counts with the time until they are forgotten, for other instances.
    pub fn counts(&self, now: Instant) -> impl Iterator<Item = (Fingerprint, u32, Duration)> {
        self.suspects
            .iter()
            .filter_map(move |(fingerprint, suspect)| {
                let mut suspect = *suspect;
                suspect.age(now);
                let remaining = suspect.expires?.saturating_duration_since(now);
                Some((*fingerprint, suspect.crashes, remaining))
            })
    }

    /// Finds or adds a suspect; `None` when there is no room.
    fn suspect(&mut self, fingerprint: Fingerprint, now: Instant) -> Option<&mut Suspect> {
        if self.suspects.len() >= self.capacity && !self.suspects.contains_key(&fingerprint) {
            self.suspects.retain(|_, suspect| {
                suspect.age(now);
                !suspect.is_clear()
            });
            if self.suspects.len() >= self.capacity {
                return None;
            }
        }
        let suspect = self.suspects.entry(fingerprint).or_default();
        suspect.age(now);
        Some(suspect)
    }
}

/// Fingerprints that have run without a crash. Two halves take turns, so that the oldest half can
/// be dropped at once when the newer one is full.
#[derive(Clone, Debug)]
struct KnownGood {
    half: usize,
    newer: HashMap<Fingerprint, Instant>,
    older: HashMap<Fingerprint, Instant>,
}

impl KnownGood {
    fn new(half: usize) -> Self {
        Self {
            half: half.max(1),
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
        if self.newer.len() >= self.half {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(fingerprint, now + EXPIRY);
    }

    fn remove(&mut self, fingerprint: Fingerprint) {
        self.newer.remove(&fingerprint);
        self.older.remove(&fingerprint);
    }
}
