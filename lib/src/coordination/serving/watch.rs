//! Whether a watch of the store still returns changes.
//!
//! The store may lose the answer to a watch and keep its connection open, and the watch that
//! replaces it may miss the same changes. While nothing changes, a read that is seconds old shows
//! the same as a current one. So an instance relies on confirmations only: sightings of the store's
//! revision by a current read, its own one or one that another instance has told it about. What a
//! sighting has shown is remembered until the changes up to it have been read.
//!
//! Current reads cost ten times as much as cheap ones. The instances of a group
//! ([`super::instances::Readers`]) take turns by their rank: one reads and tells the others, and each
//! further one reads only if it has not heard of that in time. If no instance hears of another one,
//! each makes all current reads by itself.

use std::time::Duration;
use std::time::Instant;

/// The pause between two cheap probes, as a share of the settling time.
const CHEAP_PAUSE_SHARE: f64 = 0.375;

/// The age of a confirmation at which the first instance of a group reads again, as a share of the
/// settling time.
const CONFIRMATION_SHARE: f64 = 0.3;

/// How much later each further instance of a group reads, as a share of the settling time. A read
/// takes some 10 ms until the others have heard of it, and longer on instances that are busy.
const RANK_SHARE: f64 = 0.0125;

/// The rank from which instances do not wait any longer. A lost watch is then found after at most
/// 0.45 of the settling time, and counts as lost at 0.575.
const LAST_RANK: u32 = 12;

/// How long the answer of the watch may arrive after a sighting has shown a newer revision, as a
/// share of the settling time.
const TRANSIT_SHARE: f64 = 0.125;

/// The kind of read by which the store is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Read {
    /// It may show an earlier state of the store, and shows whether the store answers.
    Cheap,
    /// It shows the state of the store when the read arrived.
    Current,
}

/// A revision that a read of the store has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sighting {
    /// The kind of read.
    pub read: Read,
    /// The revision of the store in the answer.
    pub revision: u64,
    /// When the read was sent. The store had reached the revision by the answer, and held no later
    /// one at this time if the read was a current one.
    pub sent: Instant,
}

/// A watch that has not returned changes up to a revision which the store has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overdue {
    /// The revision that a sighting has shown.
    pub revision: u64,
    /// When the watch counts as lost, unless it returns before.
    pub lost_at: Instant,
}

/// What is known of the watch and of the revision of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Monitor {
    // The revision up to which changes have been read.
    applied: Option<u64>,
    overdue: Option<Overdue>,
    // When the overdue revision was seen last.
    overdue_seen_at: Option<Instant>,
    // When the latest current read that is known of was sent.
    confirmed_at: Option<Instant>,
    watch_sent_at: Option<Instant>,
}

impl Monitor {
    /// Records that all changes up to a revision have been read.
    pub fn on_changes_read(&mut self, revision: u64) {
        self.applied = Some(revision);
        self.overdue = self.overdue.filter(|overdue| overdue.revision > revision);
    }

    /// Records that all entries have been read, as of a revision, by a listing that was sent at
    /// `sent`. It refutes earlier sightings of later revisions.
    pub fn on_listed(&mut self, revision: u64, sent: Instant) {
        self.on_changes_read(revision);
        self.confirmed_at = self.confirmed_at.max(Some(sent));
        if self.overdue_seen_at.is_some_and(|seen_at| seen_at <= sent) {
            self.overdue = None;
        }
    }

    /// Records that a watch after the revision read last is sent, in place of any earlier one. If
    /// the store has been seen at a later revision, the new watch has to return it in time, too.
    pub fn on_watch_sent(&mut self, settling_time: Duration, now: Instant) {
        self.watch_sent_at = Some(now);
        if let Some(overdue) = &mut self.overdue {
            overdue.lost_at = now + settling_time.mul_f64(TRANSIT_SHARE);
        }
    }

    /// Records that revisions are given out again, so that earlier sightings say nothing any more.
    pub fn on_restored(&mut self) {
        *self = Self::default();
    }

    /// Records what a read has shown, of this instance or another one.
    pub fn on_sighting(&mut self, sighting: Sighting, settling_time: Duration, now: Instant) {
        if sighting.read == Read::Current {
            self.confirmed_at = self.confirmed_at.max(Some(sighting.sent.min(now)));
        }
        if self
            .applied
            .is_none_or(|applied| sighting.revision <= applied)
        {
            return;
        }
        let overdue = self.overdue.get_or_insert(Overdue {
            revision: sighting.revision,
            lost_at: now + settling_time.mul_f64(TRANSIT_SHARE),
        });
        overdue.revision = overdue.revision.max(sighting.revision);
        self.overdue_seen_at = Some(now);
    }

    /// Returns the watch's delay if a sighting has shown changes that it has not returned.
    #[must_use]
    pub fn overdue(&self) -> Option<Overdue> {
        self.overdue
    }

    /// Returns the age of the latest confirmation; `None` if there is none.
    #[must_use]
    pub fn confirmation_age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at
            .map(|confirmed_at| now.saturating_duration_since(confirmed_at))
    }

    /// Returns when an instance of that rank in its group, 0 for the first, has to make a current
    /// read unless it hears of another one's before. `None` while no watch waits.
    #[must_use]
    pub fn confirmation_due(&self, settling_time: Duration, rank: usize) -> Option<Instant> {
        let watch_sent_at = self.watch_sent_at?;
        let due = self.confirmed_at.map_or(watch_sent_at, |confirmed_at| {
            // After a pause without a watch, the ranks count from the watch.
            (confirmed_at + settling_time.mul_f64(CONFIRMATION_SHARE)).max(watch_sent_at)
        });
        let rank = u32::try_from(rank).map_or(LAST_RANK, |rank| rank.min(LAST_RANK));
        Some(due + settling_time.mul_f64(RANK_SHARE * f64::from(rank)))
    }
}

/// Returns the pause between two cheap probes.
#[must_use]
pub fn cheap_pause(settling_time: Duration) -> Duration {
    settling_time.mul_f64(CHEAP_PAUSE_SHARE)
}
