//! The queue of calls to a leaf: bounded in length and waiting time, and fair between callers.
//!
//! Each call carries a tag, as in start-time fair queueing: the calls of one caller have rising
//! tags, and the call with the lowest tag is served first. When the queue is full, it drops the
//! call with the highest tag, which is the last one of the caller with the most calls.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::coordination::call::CallId;
use crate::coordination::call::Caller;

/// Calls that may wait per slot of the leaf.
pub const CALLS_PER_SLOT: u32 = 16;

/// The most calls that may wait, regardless of the number of slots.
pub const MAX_CALLS: u32 = 1024;

/// A call waits at most the service's longest deadline divided by this number.
pub const DEADLINE_SHARE: u32 = 4;

/// One waiting call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// The call that waits.
    pub call: CallId,
    /// The caller whose calls share one sequence of tags.
    pub caller: Caller,
    /// The time after which the caller no longer needs the answer.
    pub deadline: SystemTime,
    /// Whether the call may be run twice.
    pub idempotent: bool,
    /// When the owner refuses the call if it is still queued.
    pub expires: Instant,
    tag: u64,
}

impl Waiting {
    /// Creates a call that waits until `expires`. [`Queue::push`] sets its tag.
    #[must_use]
    pub fn new(
        call: CallId,
        caller: Caller,
        deadline: SystemTime,
        idempotent: bool,
        expires: Instant,
    ) -> Self {
        Self {
            call,
            caller,
            deadline,
            idempotent,
            expires,
            tag: 0,
        }
    }
}

/// The queue of one leaf.
#[derive(Clone, Debug)]
pub struct Queue {
    waiting: Vec<Waiting>,
    capacity: usize,
    longest_wait: Duration,
    virtual_time: u64,
}

impl Queue {
    /// Creates a queue for a leaf with `slots`, in a service with the given longest deadline.
    #[must_use]
    pub fn new(slots: u32, deadline: Duration) -> Self {
        let mut queue = Self {
            waiting: Vec::new(),
            capacity: 0,
            longest_wait: Duration::ZERO,
            virtual_time: 0,
        };
        queue.set_policy(slots, deadline);
        queue
    }

    /// Changes the bounds. Calls that already wait stay, with their expiry.
    pub fn set_policy(&mut self, slots: u32, deadline: Duration) {
        let capacity = slots.saturating_mul(CALLS_PER_SLOT).clamp(1, MAX_CALLS);
        self.capacity = usize::try_from(capacity).unwrap_or(usize::MAX);
        self.waiting
            .reserve(self.capacity.saturating_sub(self.waiting.len()));
        self.longest_wait = deadline / DEADLINE_SHARE;
    }

    /// Returns the longest time that a call may wait, whatever its own deadline.
    #[must_use]
    pub fn longest_wait(&self) -> Duration {
        self.longest_wait
    }

    /// Returns the number of waiting calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no call waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a call. If the queue is full, returns the dropped call, which may be the new one.
    pub fn push(&mut self, mut new: Waiting) -> Option<Waiting> {
        let own = self.waiting.iter().filter(|old| old.caller == new.caller);
        let last = own.map(|old| old.tag + 1).max();
        new.tag = last.unwrap_or(self.virtual_time).max(self.virtual_time);
        if self.waiting.len() < self.capacity {
            self.waiting.push(new);
            return None;
        }
        let (index, highest) = self.extreme(|tag, best| tag >= best)?;
        if highest <= new.tag {
            return Some(new);
        }
        let displaced = self.waiting.remove(index);
        self.waiting.push(new);
        Some(displaced)
    }

    /// Removes and returns the call with the lowest tag.
    pub fn pop(&mut self) -> Option<Waiting> {
        let (index, tag) = self.extreme(|tag, best| tag < best)?;
        self.virtual_time = self.virtual_time.max(tag);
        Some(self.waiting.remove(index))
    }

    /// Returns the index and tag of the call whose tag is `better` than all others.
    fn extreme(&self, better: impl Fn(u64, u64) -> bool) -> Option<(usize, u64)> {
        let mut tags = self.waiting.iter().map(|call| call.tag).enumerate();
        let first = tags.next()?;
        Some(tags.fold(
            first,
            |best, next| {
                if better(next.1, best.1) { next } else { best }
            },
        ))
    }

    /// Removes and returns one call that has expired.
    pub fn pop_expired(&mut self, now: Instant) -> Option<Waiting> {
        let index = self.waiting.iter().position(|call| call.expires <= now)?;
        Some(self.waiting.remove(index))
    }

    /// Removes and returns the call with the given id, if it waits.
    pub fn remove(&mut self, call: CallId) -> Option<Waiting> {
        let index = self
            .waiting
            .iter()
            .position(|waiting| waiting.call == call)?;
        Some(self.waiting.remove(index))
    }
}
