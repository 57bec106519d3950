//! What the holder reports: it finalizes each window once, in the store, and then posts it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::WindowId;
use super::Windows;
use super::counts::ByCustomer;
use crate::coordination::serving::duty::Epoch;
use crate::coordination::serving::duty::Right;

/// How long after its end a window is finalized, and the most of the time until its report is due.
const FINALIZATION_DELAY: Duration = Duration::from_secs(3);
const FINALIZATION_SHARE: f64 = 0.3;

/// How long a new holder collects before it finalizes a window. The others read its name from the
/// store, and deliver their counts within half a second.
const COLLECTION_TIME: Duration = Duration::from_millis(1_500);

/// The number of windows that the item of the report holds.
pub const LEDGER_LEN: usize = 8;

/// The pause before a report is posted again, or a write is repeated.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// A window whose content is decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finalized {
    /// The window.
    pub window: WindowId,
    /// What is reported.
    pub counts: ByCustomer,
    /// Whether the report needs no further post: the platform has taken or rejected it, or it is
    /// overdue.
    pub closed: bool,
}

/// What the item of the report holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    /// The era of the store in which it was written; 0 if the store states none.
    pub era: u64,
    /// The epoch of its writer.
    pub epoch: Epoch,
    /// The last windows, oldest first.
    pub windows: Vec<Finalized>,
}

impl Ledger {
    /// Returns the last window that was finalized.
    #[must_use]
    pub fn last(&self) -> Option<WindowId> {
        self.windows.last().map(|last| last.window)
    }
}

/// A write of the item of the report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The new content. Its last window is the one that is finalized.
    pub ledger: Ledger,
    /// The revision that the item has to have, 0 if it must not exist.
    pub expected: u64,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing now.
    Wait,
    /// Finalize this window with what [`Reporter::finalize`] returns.
    Finalize(WindowId),
    /// Post this report.
    Post {
        /// The window.
        window: WindowId,
        /// The counts.
        counts: ByCustomer,
        /// Whether it may have been posted before.
        is_repeat: bool,
        /// How long the report is still of use.
        time_left: Duration,
    },
}

/// How a post ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PostOutcome {
    /// The platform has taken the report.
    Taken,
    /// It takes this report at no time.
    Rejected,
    /// It may take the report later, or may have taken it.
    Unknown,
}

#[derive(Clone, Copy, Debug, Default)]
struct Post {
    next: Duration,
    is_repeat: bool,
}

/// The reports, as one process sees them.
#[derive(Clone, Debug)]
pub struct Reporter {
    windows: Windows,
    delay: Duration,
    // Windows that end later were not finalized in an earlier era of the store.
    undecided_from: Duration,
    ledger: Ledger,
    revision: u64,
    // The last window that is known to be finalized, also if a restore has lost it.
    highest: Option<WindowId>,
    posts: BTreeMap<WindowId, Post>,
    // The windows whose reports need no further post.
    closed: BTreeSet<WindowId>,
    retry_write_at: Duration,
}

impl Reporter {
    /// Creates the state of a process that starts now, at `unix` since the start of 1970. Reports are
    /// due `delay` after the ends of their windows.
    #[must_use]
    pub fn new(windows: Windows, delay: Duration, unix: Duration) -> Self {
        Self {
            windows,
            delay,
            undecided_from: unix,
            ledger: Ledger::default(),
            revision: 0,
            highest: None,
            posts: BTreeMap::new(),
            closed: BTreeSet::new(),
            retry_write_at: Duration::ZERO,
        }
    }

    /// Applies another time until reports are due.
    pub fn set_delay(&mut self, delay: Duration) {
        self.delay = delay;
    }

    /// Applies the item as the store holds it.
    pub fn on_ledger(&mut self, ledger: Ledger, revision: u64) {
        if revision >= self.revision {
            self.highest = self.highest.max(ledger.last());
            self.ledger = ledger;
            self.revision = revision;
        }
    }

    /// Applies that the item is gone.
    pub fn on_ledger_removed(&mut self) {
        self.ledger = Ledger::default();
        self.revision = 0;
    }

    /// Records that the store was restored from a copy, which may have lost finalized windows.
    pub fn on_restored(&mut self, unix: Duration) {
        self.on_ledger_removed();
        self.undecided_from = unix;
    }

    /// Returns the last window that is known to be finalized.
    #[must_use]
    pub fn finalized(&self) -> Option<WindowId> {
        self.highest
    }

    /// Returns the next step of an instance that has the right to act, at `now` since the machine was
    /// started and `unix` since the start of 1970.
    #[must_use]
    pub fn next(&self, right: Right, now: Duration, unix: Duration) -> Action {
        let candidate = self.next_window(right.era, unix);
        let finalization_delay = FINALIZATION_DELAY.min(self.delay.mul_f64(FINALIZATION_SHARE));
        if unix >= self.windows.end(candidate) + finalization_delay
            && now >= right.acquired + COLLECTION_TIME
            && now >= self.retry_write_at
        {
            return Action::Finalize(candidate);
        }
        let is_open =
            |finalized: &&Finalized| !finalized.closed && !self.closed.contains(&finalized.window);
        for finalized in self.ledger.windows.iter().filter(is_open) {
            let due = self.windows.end(finalized.window) + self.delay;
            let post = self.posts.get(&finalized.window);
            if unix < due && post.is_none_or(|post| post.next <= now) {
                return Action::Post {
                    window: finalized.window,
                    counts: finalized.counts.clone(),
                    is_repeat: self.ledger.epoch != right.epoch
                        || post.is_some_and(|post| post.is_repeat),
                    time_left: due.saturating_sub(unix),
                };
            }
        }
        Action::Wait
    }

    /// Returns the first window that is not finalized and whose report is not overdue.
    fn next_window(&self, era: u64, unix: Duration) -> WindowId {
        let overdue = self.windows.at(unix.saturating_sub(self.delay));
        let mut next = overdue;
        if let Some(highest) = self.highest {
            next = next.max(WindowId(highest.0.saturating_add(1)));
        }
        // Windows of an earlier era may have been finalized without a trace.
        if self.ledger.windows.is_empty() || self.ledger.era != era {
            next = next.max(self.windows.at(self.undecided_from));
        }
        next
    }

    /// Returns the write that finalizes a window with these counts.
    #[must_use]
    pub fn finalize(&self, window: WindowId, counts: ByCustomer, right: Right) -> Write {
        let kept = self.ledger.windows.len().saturating_sub(LEDGER_LEN - 1);
        let mut windows: Vec<Finalized> = self.ledger.windows[kept..].to_vec();
        for finalized in &mut windows {
            finalized.closed |= self.closed.contains(&finalized.window);
        }
        windows.push(Finalized {
            window,
            counts,
            closed: false,
        });
        Write {
            ledger: Ledger {
                era: right.era,
                epoch: right.epoch,
                windows,
            },
            expected: self.revision,
        }
    }

    /// Records that the store has taken a write. Returns the number of windows before it that nobody
    /// has finalized.
    pub fn on_written(&mut self, write: Write, revision: u64) -> u64 {
        let before = self.highest;
        let last = write.ledger.last();
        self.on_ledger(write.ledger, revision);
        let oldest = self.ledger.windows.first().map(|first| first.window);
        if let Some(oldest) = oldest {
            self.closed = self.closed.split_off(&oldest);
            self.posts = self.posts.split_off(&oldest);
        }
        match (before, last) {
            (Some(before), Some(last)) => last.0.saturating_sub(before.0).saturating_sub(1),
            _ => 0,
        }
    }

    /// Records that a write may have failed. The item has to be read before the next one: if the
    /// write took effect, it counts.
    pub fn on_write_failed(&mut self, now: Duration) {
        self.retry_write_at = now + RETRY_PAUSE;
    }

    /// Records that a report is about to be posted.
    pub fn on_post(&mut self, window: WindowId) {
        self.posts.entry(window).or_default().is_repeat = true;
    }

    /// Records how a post ended.
    pub fn on_posted(&mut self, window: WindowId, outcome: PostOutcome, now: Duration) {
        match outcome {
            PostOutcome::Taken | PostOutcome::Rejected => {
                self.closed.insert(window);
            }
            PostOutcome::Unknown => {
                self.posts.entry(window).or_default().next = now + RETRY_PAUSE;
            }
        }
    }

    /// Returns the windows whose reports this process has posted, but that are overdue and not known
    /// to be taken, each once.
    pub fn take_overdue(&mut self, unix: Duration) -> Vec<WindowId> {
        let mut overdue: Vec<WindowId> = self
            .ledger
            .windows
            .iter()
            .filter(|finalized| {
                !finalized.closed
                    && !self.closed.contains(&finalized.window)
                    && unix >= self.windows.end(finalized.window) + self.delay
            })
            .map(|finalized| finalized.window)
            .collect();
        self.closed.extend(&overdue);
        overdue.retain(|window| self.posts.contains_key(window));
        overdue
    }
}
