//! Which members are in sight, and which have ended for good.
//!
//! A witness that has ended vouches for nothing any more, so it counts as if it had promised. Two
//! things prove the end of a process:
//!
//! * Another process answers at its address.
//! * The platform's list of instances does not contain it. The list counts only if it has been
//!   read without a gap, and with this instance on it, for the bootstrap wait. A list that cannot
//!   be read, or an empty one, proves nothing.
//!
//! The second rests on an assumption about the platform: it takes an instance off its list only
//! after the process has ended, and lists a new one within the bootstrap wait. So a partition
//! between instances, or a process that is paused, takes no live instance off the list.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::coordination::membership::Limits;
use crate::state::id::InstanceId;
use crate::state::record::Candidate;
use crate::state::record::Member;
use crate::state::record::Record;

/// The longest time between two reads of the list that count as one unbroken observation. The list
/// is read once a second; a read may time out and the next one succeed.
const LIST_FRESHNESS: Duration = Duration::from_secs(5);

/// Covers clocks whose rates differ by 1 %.
const CLOCK_RATE_FACTOR: f64 = 1.02;

/// Which rules on the platform's list hold. All do except in tests of the tests.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRules {
    /// All rules hold.
    All,
    /// The list never proves the end of a process.
    Ignored,
    /// A list counts however long ago it was read, or if it never was.
    Unread,
    /// A list counts even if this instance is not on it.
    WithoutSelf,
    /// A single read counts, however long the list was not read before it.
    Gaps,
}

#[derive(Clone, Copy, Debug)]
struct Reads {
    /// Since when the list has been read without a gap and with this instance on it.
    since: Instant,
    last: Instant,
}

/// What one instance has seen of the others.
#[derive(Debug, Default)]
pub(super) struct Liveness {
    listed: BTreeSet<SocketAddr>,
    reads: Option<Reads>,
    last_seen: BTreeMap<InstanceId, Instant>,
    /// Members whose address was answered by a later process, and when that was first seen.
    replaced: BTreeMap<InstanceId, Instant>,
}

impl Liveness {
    /// Adapts to a new record. Members that are new in it count as seen now.
    pub(super) fn on_record(&mut self, record: &Record, me: &Candidate, now: Instant) {
        let member = |instance: &InstanceId| record.member(*instance).is_some();
        self.replaced.retain(|instance, _| member(instance));
        self.last_seen.retain(|instance, _| member(instance));
        for member in &record.roster {
            self.last_seen.entry(member.instance).or_insert(now);
            if member.address == me.address && member.instance != me.instance {
                self.replaced.entry(member.instance).or_insert(now);
            }
        }
    }

    /// Notes the platform's list of instances.
    pub(super) fn on_list(
        &mut self,
        listed: BTreeSet<SocketAddr>,
        me: &Candidate,
        rules: ListRules,
        now: Instant,
    ) {
        let trusted = listed.contains(&me.address) || rules == ListRules::WithoutSelf;
        let unbroken = self.reads.filter(|reads| {
            now.saturating_duration_since(reads.last) <= LIST_FRESHNESS || rules == ListRules::Gaps
        });
        let since = unbroken.map_or(now, |reads| reads.since);
        self.reads = trusted.then_some(Reads { since, last: now });
        self.listed = listed;
    }

    pub(super) fn listed(&self) -> &BTreeSet<SocketAddr> {
        &self.listed
    }

    /// Counts listed members as seen, unless their process is known to have been replaced.
    pub(super) fn note_listed(&mut self, record: &Record, now: Instant) {
        for member in &record.roster {
            let replaced = self.replaced.contains_key(&member.instance);
            if !replaced && self.listed.contains(&member.address) {
                self.last_seen.insert(member.instance, now);
            }
        }
    }

    /// Notes that the member answered.
    pub(super) fn on_contact(&mut self, instance: InstanceId, now: Instant) {
        if let Some(seen) = self.last_seen.get_mut(&instance) {
            *seen = now;
        }
    }

    /// Notes that another process answered at the member's address.
    pub(super) fn on_replaced(&mut self, instance: InstanceId, now: Instant) {
        self.replaced.entry(instance).or_insert(now);
    }

    /// Tells whether the record seen last lists the instance.
    pub(super) fn is_member(&self, instance: InstanceId) -> bool {
        self.last_seen.contains_key(&instance)
    }

    /// Returns the witnesses that have certainly ended.
    pub(super) fn terminated(
        &self,
        record: &Record,
        limits: &Limits,
        now: Instant,
    ) -> BTreeSet<InstanceId> {
        let list_counts = self.list_counts(limits, now);
        let ended = |one: &&Member| {
            self.was_replaced(one, limits, now) || list_counts && self.is_unlisted(one, limits, now)
        };
        let witnesses = record.witnesses().filter(ended);
        witnesses.map(|one| one.instance).collect()
    }

    fn was_replaced(&self, witness: &Member, limits: &Limits, now: Instant) -> bool {
        let since = self.replaced.get(&witness.instance);
        since.is_some_and(|since| *since + limits.currency_bound.mul_f64(CLOCK_RATE_FACTOR) <= now)
    }

    fn is_unlisted(&self, witness: &Member, limits: &Limits, now: Instant) -> bool {
        let seen = self.last_seen.get(&witness.instance);
        let hidden = seen.is_some_and(|seen| *seen + limits.bootstrap_wait <= now);
        hidden && !self.listed.contains(&witness.address)
    }

    /// Tells whether the list has been read for long enough to prove that a process has ended.
    /// The last read alone does not: after a pause of this process it may be as old as the pause.
    fn list_counts(&self, limits: &Limits, now: Instant) -> bool {
        match limits.list_rules {
            ListRules::Ignored => false,
            ListRules::Unread => true,
            ListRules::All | ListRules::WithoutSelf => self.reads.is_some_and(|reads| {
                reads.last + LIST_FRESHNESS >= now && reads.since + limits.bootstrap_wait <= now
            }),
            ListRules::Gaps => self
                .reads
                .is_some_and(|reads| reads.last + LIST_FRESHNESS >= now),
        }
    }
}
