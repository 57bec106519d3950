//! Which members are reachable, and which have terminated.
//!
//! The heartbeats of a terminated witness expire, so it counts as if it had promised. Two
//! observations prove that a process has terminated:
//!
//! * Another process, possibly that of this instance, has its address.
//! * The platform's list of instances does not contain it. The list counts only if this instance
//!   has read it without a gap, and found itself on it, for the bootstrap wait. An unreadable or
//!   empty list proves nothing.
//!
//! The second observation relies on an assumption about the platform: it removes an instance from
//! its list only after the process has terminated, and lists a new one within the bootstrap wait.
//! So neither a partition between instances nor a paused process removes a live instance from the
//! list.

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

/// Maximum age of the last read of the list. A longer time between two reads counts as a gap. The
/// list is read once a second, and the limit leaves room for a read that times out before the next
/// one succeeds.
const LIST_FRESHNESS: Duration = Duration::from_secs(5);

/// Allows for clock rates that differ by 1 %.
const CLOCK_RATE_FACTOR: f64 = 1.02;

/// Which rules on the platform's list hold. Only mutation tests use a value other than
/// [`ListRules::All`].
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRules {
    /// All rules hold.
    All,
    /// The list never proves that a process has terminated.
    Ignored,
    /// A list counts regardless of when it was read, or if it was never read.
    Unread,
    /// A list counts even if this instance is not on it.
    WithoutSelf,
    /// A single read counts, regardless of the gap before it.
    Gaps,
}

#[derive(Clone, Copy, Debug)]
struct Reads {
    /// Start of the current period of reads without a gap that listed this instance.
    since: Instant,
    last: Instant,
}

/// Observations of one instance about the other members.
#[derive(Debug, Default)]
pub(super) struct Liveness {
    listed: BTreeSet<SocketAddr>,
    reads: Option<Reads>,
    last_seen: BTreeMap<InstanceId, Instant>,
    /// Members whose address another process, possibly that of this instance, now has, and when
    /// this was first observed.
    replaced: BTreeMap<InstanceId, Instant>,
}

impl Liveness {
    /// Drops observations about instances that a new record does not list. Members that are new in
    /// the record count as seen now.
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

    /// Handles a new copy of the platform's list of instances.
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

    /// Records listed members as seen, unless their process is known to have been replaced.
    pub(super) fn note_listed(&mut self, record: &Record, now: Instant) {
        for member in &record.roster {
            let replaced = self.replaced.contains_key(&member.instance);
            if !replaced && self.listed.contains(&member.address) {
                self.last_seen.insert(member.instance, now);
            }
        }
    }

    /// Records that a message from the member has arrived. Ignored for other instances.
    pub(super) fn on_contact(&mut self, instance: InstanceId, now: Instant) {
        if let Some(seen) = self.last_seen.get_mut(&instance) {
            *seen = now;
        }
    }

    /// Records that another process answered at the member's address.
    pub(super) fn on_replaced(&mut self, instance: InstanceId, now: Instant) {
        self.replaced.entry(instance).or_insert(now);
    }

    /// Whether the most recent record lists the instance.
    pub(super) fn is_member(&self, instance: InstanceId) -> bool {
        self.last_seen.contains_key(&instance)
    }

    /// Returns the witnesses that are known to have terminated.
    pub(super) fn terminated(
        &self,
        record: &Record,
        limits: &Limits,
        now: Instant,
    ) -> BTreeSet<InstanceId> {
        let list_counts = self.list_counts(limits, now);
        let has_terminated = |one: &&Member| {
            self.was_replaced(one, limits, now) || list_counts && self.is_unlisted(one, limits, now)
        };
        let witnesses = record.witnesses().filter(has_terminated);
        witnesses.map(|one| one.instance).collect()
    }

    fn was_replaced(&self, witness: &Member, limits: &Limits, now: Instant) -> bool {
        let since = self.replaced.get(&witness.instance);
        since.is_some_and(|since| *since + limits.currency_bound.mul_f64(CLOCK_RATE_FACTOR) <= now)
    }

    fn is_unlisted(&self, witness: &Member, limits: &Limits, now: Instant) -> bool {
        let seen = self.last_seen.get(&witness.instance);
        let unseen = seen.is_some_and(|seen| *seen + limits.bootstrap_wait <= now);
        unseen && !self.listed.contains(&witness.address)
    }

    /// Whether the list has been read for long enough to prove that a process has terminated. The
    /// last read alone is not enough: after a pause of this process it is as old as the pause.
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
