//! Whether the configuration in force was the latest one a short while ago, also at an instance that
//! was suspended or is cut off from the store.
//!
//! A proof is a moment at which the configuration was the latest one. It comes from a current read of
//! the store, sent at that moment, whose revision has been applied. Or it comes from another instance,
//! the reader, that has read for this one: this instance sends it a challenge, the reader notes it
//! before a read, and returns it with the version of its configuration when the read has given the
//! reader a proof. The moment is that of the challenge, by the clock of this instance, so that a
//! message which is late, or from a suspended sender, makes a proof older and never younger.
//!
//! All times are those of [`Clock::since_boot`](crate::state::time::Clock::since_boot), which goes on
//! while the machine is suspended.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// The share of the revocation time that a proof does not use. Clocks of machines differ by far less.
const MARGIN_SHARE: f64 = 0.02;

/// The pause between two challenges, as a share of the revocation time.
const CHALLENGE_SHARE: f64 = 0.1;

/// The age of a proof from which an instance reads by itself, as a share of the revocation time.
const READ_SHARE: f64 = 0.6;

/// The same for the first and the second reader of a group. The proofs of the others are up to 0.1
/// older than that of the first reader. Its next read comes 0.05 before the earliest one of the
/// second reader, and at least 0.15 before that of the others.
const READER_SHARES: [f64; 2] = [0.3, 0.45];

/// The same for other instances while some instance gets no proofs from its readers, and how much
/// later each further rank reads.
const SUBSTITUTE_SHARE: f64 = 0.3;
const RANK_SHARE: f64 = 0.0125;
const LAST_RANK: u32 = 12;

/// The age of a proof from which an instance challenges its whole group. While the readers work, no
/// proof becomes older than 0.4 and the time of a read.
const URGENT_SHARE: f64 = 0.45;

/// The pause between two reads, as a share of the revocation time.
const READ_PAUSE_SHARE: f64 = 0.2;

/// How many reads may wait until changes are applied, and how many challenges for their answers. More
/// than are sent within the revocation time.
const MAX_WAITING: usize = 16;

/// A challenge: a number that only its sender can date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Challenge {
    /// The number.
    pub number: u64,
    /// Whether the sender gets no proofs from its readers.
    pub urgent: bool,
}

/// A current read of the store that has begun.
#[derive(Clone, Debug)]
pub struct Begun {
    sent: Duration,
    generation: u64,
    challenges: Vec<(SocketAddr, u64)>,
}

/// The answers to send: the number of a challenge, and where it came from.
pub type Answers = Vec<(SocketAddr, u64)>;

/// A read whose revision has not been applied yet.
#[derive(Clone, Debug)]
struct Waiting {
    revision: u64,
    begun: Begun,
}

/// The proof of an instance, and what it does to renew it.
#[derive(Clone, Debug)]
pub struct Freshness {
    proof: Option<Duration>,
    // No earlier moment is a proof; `None` after a restore of the store until the entries were read.
    not_before: Option<Duration>,
    // Rises with each restore of the store, after which earlier reads say nothing.
    generation: u64,
    applied: Option<u64>,
    version: u64,
    // Reads whose revision is above the applied one, oldest first.
    waiting: VecDeque<Waiting>,
    // Moments that are proofs once the version is in force.
    told: VecDeque<(Duration, u64)>,
    last_read: Option<Duration>,
    next_number: u64,
    // The challenges of this instance, oldest first.
    sent: VecDeque<(u64, Duration)>,
    // The latest challenge of each other instance since the last read.
    received: BTreeMap<SocketAddr, Challenge>,
}

impl Freshness {
    /// Creates the state of an instance that has read nothing. The numbers of its challenges begin at
    /// `first_number`, which is to be random: answers to those of an earlier process are not taken
    /// then.
    #[must_use]
    pub fn new(first_number: u64) -> Self {
        Self {
            proof: None,
            not_before: Some(Duration::ZERO),
            generation: 0,
            applied: None,
            version: 0,
            waiting: VecDeque::new(),
            told: VecDeque::new(),
            last_read: None,
            next_number: first_number,
            sent: VecDeque::new(),
            received: BTreeMap::new(),
        }
    }

    /// Returns whether requests with keys may run: whether there is a proof of a moment no longer ago
    /// than the revocation time, less a margin.
    #[must_use]
    pub fn is_proven(&self, revocation_time: Duration, now: Duration) -> bool {
        self.age(now)
            .is_some_and(|age| age <= revocation_time.mul_f64(1.0 - MARGIN_SHARE))
    }

    /// Returns the age of the proof; `None` if there is none.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        let proof = self.proof?;
        (proof >= self.not_before?).then(|| now.saturating_sub(proof))
    }

    /// Returns the version of the configuration in force, which answers to challenges state.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records that a current read, or a listing of all entries, is about to be sent.
    pub fn begin_read(&mut self, now: Duration) -> Begun {
        self.last_read = Some(now);
        let received = std::mem::take(&mut self.received);
        Begun {
            sent: now,
            generation: self.generation,
            challenges: received
                .into_iter()
                .map(|(sender, challenge)| (sender, challenge.number))
                .collect(),
        }
    }

    /// Records the revision that a current read has shown. Returns the answers to send.
    pub fn on_read(&mut self, begun: Begun, revision: u64) -> Answers {
        if begun.generation != self.generation {
            return Vec::new();
        }
        if self.applied.is_some_and(|applied| revision <= applied) {
            return self.prove(begun);
        }
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back(Waiting { revision, begun });
        Vec::new()
    }

    /// Records that all changes up to a revision are in force. Returns the answers to send.
    pub fn on_applied(&mut self, revision: u64) -> Answers {
        self.applied = self.applied.max(Some(revision));
        let mut answers = Vec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            if waiting.revision <= revision {
                answers.extend(self.prove(waiting.begun));
            } else {
                self.waiting.push_back(waiting);
            }
        }
        answers
    }

    /// Records that all entries as of a revision are in force, by a listing. Returns the answers to
    /// send.
    pub fn on_listed(&mut self, begun: Begun, revision: u64) -> Answers {
        if begun.generation != self.generation {
            return Vec::new();
        }
        self.applied = Some(revision);
        let mut answers = self.prove(begun);
        answers.extend(self.on_applied(revision));
        answers
    }

    fn prove(&mut self, begun: Begun) -> Answers {
        self.proof = self.proof.max(Some(begun.sent));
        let holds = self.not_before.is_some_and(|from| from <= begun.sent);
        if holds && self.version > 0 {
            begun.challenges
        } else {
            Vec::new()
        }
    }

    /// Records the version of the configuration in force.
    pub fn on_version(&mut self, version: u64) {
        self.version = self.version.max(version);
        let in_force = self.version;
        let proven = self.told.iter().filter(|told| told.1 <= in_force);
        self.proof = self.proof.max(proven.map(|told| told.0).max());
        self.told.retain(|told| told.1 > in_force);
    }

    /// Records that the store was restored from a copy. There is no proof until [`Self::on_rewriting`]
    /// says from when on.
    pub fn on_restored(&mut self) {
        self.generation += 1;
        self.not_before = None;
        self.applied = None;
        self.waiting.clear();
        self.told.clear();
        self.sent.clear();
    }

    /// Records that what was lost in a restore is written again by `until`. No earlier moment is a
    /// proof.
    pub fn on_rewriting(&mut self, until: Duration) {
        self.not_before = Some(until);
    }

    /// Returns a challenge to send to other instances of the group: to all of them if it is urgent, or
    /// to the readers.
    pub fn challenge(&mut self, revocation_time: Duration, now: Duration) -> Challenge {
        let number = self.next_number;
        self.next_number = self.next_number.wrapping_add(1);
        if self.sent.len() >= MAX_WAITING {
            self.sent.pop_front();
        }
        self.sent.push_back((number, now));
        let urgent_age = revocation_time.mul_f64(URGENT_SHARE);
        Challenge {
            number,
            urgent: self.age(now).is_none_or(|age| age >= urgent_age),
        }
    }

    /// Records the challenge of another instance. It replaces an earlier one.
    pub fn on_challenge(&mut self, sender: SocketAddr, challenge: Challenge) {
        self.received.insert(sender, challenge);
    }

    /// Records that another instance answers a challenge: the configuration with this version was the
    /// latest one. The store is in the same era at both.
    pub fn on_answer(&mut self, number: u64, version: u64) {
        let Some((_, moment)) = self.sent.iter().find(|sent| sent.0 == number).copied() else {
            return;
        };
        if version <= self.version {
            self.proof = self.proof.max(Some(moment));
            return;
        }
        if self.told.len() >= MAX_WAITING {
            self.told.pop_front();
        }
        self.told.push_back((moment, version));
    }

    /// Returns whether changes have to be read without a pause: whether a later proof waits only until
    /// they are applied, and the present one is as old as when the first reader reads.
    #[must_use]
    pub fn wants_changes(&self, revocation_time: Duration, now: Duration) -> bool {
        let reads = self.waiting.iter().map(|waiting| waiting.begun.sent);
        let told = self.told.iter().map(|told| told.0);
        let waits = reads.chain(told).max() > self.proof;
        let due = revocation_time.mul_f64(READER_SHARES[0]);
        waits && self.age(now).is_none_or(|age| age >= due)
    }

    /// Returns when an instance has to make a current read that has this rank among so many instances
    /// of its group; `None` until the entries were read after a restore.
    #[must_use]
    pub fn read_due(
        &self,
        revocation_time: Duration,
        rank: usize,
        group_size: usize,
    ) -> Option<Duration> {
        let not_before = self.not_before?;
        let waiting = self.waiting.back().map(|waiting| waiting.begun.sent);
        let proof = self.proof.max(waiting).filter(|proof| *proof >= not_before);
        let due = proof.map_or(not_before, |proof| {
            proof + revocation_time.mul_f64(self.read_share(rank, group_size))
        });
        let pause = revocation_time.mul_f64(READ_PAUSE_SHARE);
        let permitted = self.last_read.map_or(Duration::ZERO, |last| last + pause);
        Some(due.max(permitted).max(not_before))
    }

    fn read_share(&self, rank: usize, group_size: usize) -> f64 {
        let is_urgent = self.received.values().any(|challenge| challenge.urgent);
        match READER_SHARES.get(rank) {
            Some(share) if group_size > 1 => *share,
            _ if is_urgent => {
                let rank = u32::try_from(rank).map_or(LAST_RANK, |rank| rank.min(LAST_RANK));
                SUBSTITUTE_SHARE + RANK_SHARE * f64::from(rank)
            }
            _ => READ_SHARE,
        }
    }
}

/// Returns the pause between two challenges.
#[must_use]
pub fn challenge_pause(revocation_time: Duration) -> Duration {
    revocation_time.mul_f64(CHALLENGE_SHARE)
}
