//! A duty that one instance at a time holds, by a lease of the store.
//!
//! Two items describe it: the *holder*, which goes with its lease, and the *epoch*, which stays.
//! Both are written together, the holder only if there is none. A holder acts until shortly before
//! the end of its lease by its own clock, so that the next one never acts beside it. The times are
//! those since the machine was started, which go on while it is suspended.

use std::time::Duration;

/// The part of a lease within which its holder acts. The rest allows for clocks of different speed.
const USABLE_SHARE: f64 = 0.98;

/// Renewals per lifetime of the lease. Two may fail before the lease ends.
const RENEWALS_PER_LEASE: u32 = 3;

/// The part of the lease, as a divisor, after which a renewal without an answer is repeated.
const RENEWAL_RETRY_DIVISOR: u32 = 10;

/// How long each further candidate waits for the one before it.
const CANDIDATE_STEP: Duration = Duration::from_millis(200);

/// The pause of a candidate whose attempt the store has refused.
const CONFLICT_PAUSE: Duration = Duration::from_millis(500);

/// The pause after a call to the store has failed.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// The pause between two reads that are to show the outcome of an attempt.
const RESOLVE_PAUSE: Duration = Duration::from_millis(200);

/// The number of low bits of an epoch that count changes of the holder within an era of the store.
const COUNTER_BITS: u32 = 32;

/// The number of a term of the duty. Rises with each change of the holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Returns the epoch after `self` in an era of the store. It is above all epochs of earlier eras,
    /// even if those were lost in a restore.
    #[must_use]
    fn next(self, era: u64) -> Self {
        let first = era.saturating_mul(1 << COUNTER_BITS);
        Self(self.0.max(first).saturating_add(1))
    }

    /// Returns whether the epoch began in an era before `era`.
    fn is_before(self, era: u64) -> bool {
        self.0 >> COUNTER_BITS < era
    }
}

/// What the item of the holder says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The name of the instance.
    pub name: Box<str>,
    /// Its epoch.
    pub epoch: Epoch,
    /// The random number of the attempt that has written the item.
    pub attempt: u64,
}

/// The times of a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// The lifetime of the lease.
    pub lease: Duration,
    /// How long after a suspension calls of the earlier holder may still arrive.
    pub thaw: Duration,
}

/// A lease that the store has granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The id of the lease.
    pub lease: u64,
    /// Its lifetime as the store states it.
    pub lifetime: Duration,
    /// When it was requested.
    pub sent: Duration,
    /// The era of the store in its answer; 0 if it states none.
    pub era: u64,
}

/// What an attempt to take the duty over writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The new content of both items.
    pub holder: Holder,
    /// The lease of the item of the holder.
    pub lease: u64,
    /// The revision that the item of the holder has to have, 0 if it must not exist.
    pub expected_holder: u64,
    /// The same for the item of the epoch.
    pub expected_epoch: u64,
}

/// How a write of an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// Both items are written, at this revision.
    Written(u64),
    /// Nothing is written: one of the items has changed, or the lease does not exist.
    Refused,
    /// The answer was lost.
    Unknown,
}

/// How a renewal ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RenewalOutcome {
    /// The lease is renewed.
    Renewed,
    /// The lease does not exist.
    Gone,
    /// There was no answer.
    Unknown,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing before this time, or before something changes.
    Wait(Duration),
    /// Request a lease, then call [`Duty::claim`].
    RequestLease,
    /// Read the items, then call [`Duty::on_resolved`].
    Resolve,
    /// Renew this lease, then call [`Duty::on_renewal`].
    Renew(u64),
}

/// The right to act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Right {
    /// The epoch of the holder.
    pub epoch: Epoch,
    /// When the duty was acquired.
    pub acquired: Duration,
    /// The time by which every action has to be over.
    pub deadline: Duration,
    /// The era of the store; 0 if it states none.
    pub era: u64,
}

/// What is known of the item of the holder.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Known {
    Nothing,
    Absent { since: Duration },
    Present { holder: Holder, revision: u64 },
}

#[derive(Clone, Debug)]
struct Term {
    grant: Grant,
    attempt: u64,
    epoch: Epoch,
    // Whether another instance held the duty before.
    is_from_other: bool,
    // The revision of the items that this term has written, 0 until it is known.
    revision: u64,
    acquired: Duration,
    // When the last successful renewal was sent.
    renewed: Duration,
    next_call: Duration,
    act_from: Duration,
}

impl Term {
    fn deadline(&self) -> Duration {
        self.renewed + self.grant.lifetime.mul_f64(USABLE_SHARE)
    }
}

#[derive(Clone, Debug)]
enum State {
    Idle { not_before: Duration },
    Claiming(Term),
    Unresolved(Term),
    Held(Term),
}

/// The duty, as one process sees it.
#[derive(Clone, Debug)]
pub struct Duty {
    own_name: Box<str>,
    started: Duration,
    times: Times,
    state: State,
    holder: Known,
    // The last holder in the item of the epoch, and the revision of the item, 0 if it does not exist.
    last: Option<Box<str>>,
    epoch_revision: u64,
    highest: Epoch,
    restored: Option<Duration>,
    has_held: bool,
    is_stopping: bool,
}

impl Duty {
    /// Creates the state of a process that starts now and has read nothing from the store.
    #[must_use]
    pub fn new(own_name: Box<str>, times: Times, now: Duration) -> Self {
        Self {
            own_name,
            started: now,
            times,
            state: State::Idle { not_before: now },
            holder: Known::Nothing,
            last: None,
            epoch_revision: 0,
            highest: Epoch::default(),
            restored: None,
            has_held: false,
            is_stopping: false,
        }
    }

    /// Applies times that have changed. A term keeps the lifetime of its lease.
    pub fn set_times(&mut self, times: Times) {
        self.times = times;
    }

    /// Records that the process is shutting down: it claims and renews nothing any more, and the
    /// lease expires by itself.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Applies the item of the holder as the store holds it.
    pub fn on_holder(&mut self, holder: Holder, revision: u64, now: Duration) {
        self.highest = self.highest.max(holder.epoch);
        if matches!(&self.holder, Known::Present { revision: known, .. } if *known > revision) {
            return;
        }
        if let State::Held(term) = &self.state
            && term.attempt != holder.attempt
            && revision > term.revision
        {
            self.lose(now);
        }
        self.holder = Known::Present { holder, revision };
    }

    /// Applies that the item of the holder is gone, since that revision if it is known.
    pub fn on_holder_removed(&mut self, removed: Option<u64>, now: Duration) {
        let is_earlier = |revision: u64| removed.is_some_and(|removed| removed <= revision);
        if matches!(&self.holder, Known::Present { revision, .. } if is_earlier(*revision)) {
            return;
        }
        if let State::Held(term) = &self.state {
            if is_earlier(term.revision) {
                return;
            }
            self.lose(now);
        }
        self.holder = Known::Absent { since: now };
    }

    /// Applies the item of the epoch as the store holds it.
    pub fn on_epoch(&mut self, epoch: Epoch, last_holder: Box<str>, revision: u64) {
        self.highest = self.highest.max(epoch);
        if revision >= self.epoch_revision {
            self.last = Some(last_holder);
            self.epoch_revision = revision;
        }
    }

    /// Applies that the item of the epoch is gone.
    pub fn on_epoch_removed(&mut self) {
        self.last = None;
        self.epoch_revision = 0;
    }

    /// Records that all items of the store have been read.
    pub fn on_listed(&mut self, now: Duration) {
        if self.holder == Known::Nothing {
            self.holder = Known::Absent { since: now };
        }
    }

    /// Records that the store was restored from a copy. All leases are gone, and all items have to
    /// be read again.
    pub fn on_restored(&mut self, now: Duration) {
        self.lose(now);
        self.holder = Known::Nothing;
        self.on_epoch_removed();
        self.restored = Some(now);
    }

    /// Returns the holder according to the store; `None` if there is none or it is unknown.
    #[must_use]
    pub fn holder(&self) -> Option<&Holder> {
        match &self.holder {
            Known::Present { holder, .. } => Some(holder),
            Known::Nothing | Known::Absent { .. } => None,
        }
    }

    /// Returns the epoch in which this process holds the duty, also while it does not act yet.
    #[must_use]
    pub fn held_epoch(&self, now: Duration) -> Option<Epoch> {
        match &self.state {
            State::Held(term) if now < term.deadline() => Some(term.epoch),
            _ => None,
        }
    }

    /// Returns the right to act now, if this process has it.
    #[must_use]
    pub fn right(&self, now: Duration) -> Option<Right> {
        match &self.state {
            State::Held(term) if (term.act_from..term.deadline()).contains(&now) => Some(Right {
                epoch: term.epoch,
                acquired: term.acquired,
                deadline: term.deadline(),
                era: term.grant.era,
            }),
            _ => None,
        }
    }

    /// Returns the next step. `rank` is this instance's place among the candidates, `None` if it is
    /// none; `era` that of the store, 0 if it states none.
    pub fn next(&mut self, rank: Option<u32>, era: u64, now: Duration) -> Action {
        if let State::Held(term) | State::Unresolved(term) | State::Claiming(term) = &self.state
            && now >= term.deadline()
        {
            self.lose(now);
        }
        match &self.state {
            State::Idle { not_before } => {
                let (Some(rank), Some((since, _))) = (rank, self.vacancy(era)) else {
                    return Action::Wait(Duration::MAX);
                };
                let due = (since + CANDIDATE_STEP * rank).max(*not_before);
                if self.is_stopping {
                    Action::Wait(Duration::MAX)
                } else if now < due {
                    Action::Wait(due)
                } else {
                    Action::RequestLease
                }
            }
            State::Claiming(term) => Action::Wait(term.deadline()),
            State::Unresolved(term) if now < term.next_call => Action::Wait(term.next_call),
            State::Unresolved(_) => Action::Resolve,
            State::Held(term) if self.is_stopping => Action::Wait(term.deadline()),
            State::Held(term) if now < term.next_call => {
                Action::Wait(term.next_call.min(term.deadline()))
            }
            State::Held(term) => Action::Renew(term.grant.lease),
        }
    }

    /// Returns since when nobody holds the duty, and the revision that the item of the holder has to
    /// have when it is written.
    fn vacancy(&self, era: u64) -> Option<(Duration, u64)> {
        // The lease of a holder that has not noticed a restore ends within this time.
        let settled = self
            .restored
            .map(|restored| restored + wait(self.times.lease));
        match &self.holder {
            Known::Absent { since } => Some(((*since).max(settled.unwrap_or_default()), 0)),
            // The lease was lost in a restore, so the item may stay for ever.
            Known::Present { holder, revision } if holder.epoch.is_before(era) => {
                let settled = settled.unwrap_or(self.started + wait(self.times.lease));
                Some((settled, *revision))
            }
            Known::Nothing | Known::Present { .. } => None,
        }
    }

    /// Begins an attempt with a lease that was granted. Returns what to write, or `None` if the duty
    /// is no longer vacant. `attempt` is a random number.
    pub fn claim(&mut self, grant: Grant, attempt: u64) -> Option<Claim> {
        let (_, expected_holder) = self.vacancy(grant.era)?;
        let epoch = self.highest.next(grant.era);
        self.state = State::Claiming(Term {
            grant,
            attempt,
            epoch,
            is_from_other: self
                .last
                .as_ref()
                .is_some_and(|last| *last != self.own_name),
            revision: 0,
            acquired: grant.sent,
            renewed: grant.sent,
            next_call: grant.sent + grant.lifetime / RENEWALS_PER_LEASE,
            act_from: Duration::MAX,
        });
        Some(Claim {
            holder: Holder {
                name: self.own_name.clone(),
                epoch,
                attempt,
            },
            lease: grant.lease,
            expected_holder,
            expected_epoch: self.epoch_revision,
        })
    }

    /// Records that no lease was granted, or that the store was restored during the attempt.
    pub fn on_grant_failed(&mut self, now: Duration) {
        self.state = State::Idle {
            not_before: now + RETRY_PAUSE,
        };
    }

    /// Records how the write of an attempt ended. After a refusal, the items in the store have to be
    /// applied first.
    pub fn on_claim(&mut self, outcome: ClaimOutcome, now: Duration) {
        let State::Claiming(term) = &self.state else {
            return;
        };
        let mut term = term.clone();
        match outcome {
            ClaimOutcome::Written(revision) => self.acquire(term, revision, now),
            ClaimOutcome::Refused => {
                self.state = State::Idle {
                    not_before: now + CONFLICT_PAUSE,
                };
            }
            ClaimOutcome::Unknown => {
                term.next_call = now;
                self.state = State::Unresolved(term);
            }
        }
    }

    /// Records that the items were read after an answer was lost, and applied if the store has
    /// answered. A write that takes effect later still is not used; its lease expires.
    pub fn on_resolved(&mut self, answered: bool, now: Duration) {
        let State::Unresolved(term) = &mut self.state else {
            return;
        };
        if !answered {
            term.next_call = now + RESOLVE_PAUSE;
            return;
        }
        let term = term.clone();
        match &self.holder {
            Known::Present { holder, revision } if holder.attempt == term.attempt => {
                let revision = *revision;
                self.acquire(term, revision, now);
            }
            _ => {
                self.state = State::Idle {
                    not_before: now + CONFLICT_PAUSE,
                };
            }
        }
    }

    /// Records how a renewal ended that was sent at `sent`.
    pub fn on_renewal(&mut self, outcome: RenewalOutcome, sent: Duration, now: Duration) {
        let State::Held(term) = &mut self.state else {
            return;
        };
        match outcome {
            RenewalOutcome::Renewed => {
                term.renewed = sent;
                term.next_call = sent + term.grant.lifetime / RENEWALS_PER_LEASE;
            }
            RenewalOutcome::Gone => self.lose(now),
            RenewalOutcome::Unknown => {
                term.next_call = now + term.grant.lifetime / RENEWAL_RETRY_DIVISOR;
            }
        }
    }

    fn acquire(&mut self, mut term: Term, revision: u64, now: Duration) {
        let lease = wait(self.times.lease.max(term.grant.lifetime));
        // An earlier process of this name may have acted until this one started.
        let mut act_from = (now + self.times.thaw).max(self.started + lease);
        if self.has_held && term.is_from_other {
            act_from = act_from.max(now + lease);
        }
        term.act_from = act_from;
        term.acquired = now;
        term.revision = revision;
        self.highest = self.highest.max(term.epoch);
        self.has_held = true;
        self.last = Some(self.own_name.clone());
        self.epoch_revision = revision;
        self.holder = Known::Present {
            holder: Holder {
                name: self.own_name.clone(),
                epoch: term.epoch,
                attempt: term.attempt,
            },
            revision,
        };
        self.state = State::Held(term);
    }

    fn lose(&mut self, now: Duration) {
        self.state = State::Idle { not_before: now };
    }
}

/// Returns how long to wait by one's own clock until a lease has ended by any other.
fn wait(lease: Duration) -> Duration {
    lease.div_f64(USABLE_SHARE)
}
