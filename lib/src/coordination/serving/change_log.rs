//! The latest changes of the store, which an instance keeps for those that ask it for them.
//!
//! The log is complete between two revisions. Whoever has read the store up to a revision in that
//! range gets all changes after it, in order. Whoever has not is told so, and reads the store.

use std::collections::VecDeque;

/// The most changes in one answer.
const MAX_ANSWER_CHANGES: usize = 250;

#[derive(Clone, Debug)]
struct Entry<T> {
    revision: u64,
    bytes: usize,
    change: T,
}

/// Changes after a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer<T> {
    /// The changes, oldest first.
    pub changes: Vec<T>,
    /// The revision up to which they are complete.
    pub revision: u64,
    /// Whether the log holds later changes, too.
    pub is_full: bool,
}

/// The latest changes, up to a number of bytes.
#[derive(Clone, Debug)]
pub struct ChangeLog<T> {
    entries: VecDeque<Entry<T>>,
    bytes: usize,
    max_bytes: usize,
    // The revisions after and up to which the log is complete; `None` before the first reset.
    range: Option<(u64, u64)>,
}

impl<T> ChangeLog<T>
where
    T: Clone,
{
    /// Creates a log that keeps up to `max_bytes` of changes and knows nothing yet.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            entries: VecDeque::new(),
            bytes: 0,
            max_bytes,
            range: None,
        }
    }

    /// Begins anew after all entries of the store were read at `revision`.
    pub fn reset(&mut self, revision: u64) {
        self.entries.clear();
        self.bytes = 0;
        self.range = Some((revision, revision));
    }

    /// Forgets everything: revisions have been given out again.
    pub fn clear(&mut self) {
        self.reset(0);
        self.range = None;
    }

    /// Adds the changes between the revision up to which the log is complete and `revision`, each as
    /// its revision, its size in bytes, and the change.
    pub fn append<I>(&mut self, changes: I, revision: u64)
    where
        I: IntoIterator<Item = (u64, usize, T)>,
    {
        let Some((after, up_to)) = self.range else {
            return;
        };
        for (revision, bytes, change) in changes {
            self.bytes += bytes;
            self.entries.push_back(Entry {
                revision,
                bytes,
                change,
            });
        }
        self.range = Some((after, up_to.max(revision)));
        while self.bytes > self.max_bytes {
            self.drop_oldest();
        }
    }

    /// Returns the changes after a revision, or `None` if the log is not complete from there on, or if
    /// it has not reached that revision.
    #[must_use]
    pub fn after(&self, revision: u64) -> Option<Answer<T>> {
        let (after, up_to) = self.range?;
        if revision < after || revision > up_to {
            return None;
        }
        let mut later = self
            .entries
            .iter()
            .skip_while(|entry| entry.revision <= revision)
            .peekable();
        let mut answer = Answer {
            changes: Vec::new(),
            revision: up_to,
            is_full: false,
        };
        while let Some(entry) = later.next() {
            answer.changes.push(entry.change.clone());
            // Changes of one revision belong together.
            let ends_revision = later
                .peek()
                .is_some_and(|next| next.revision > entry.revision);
            if answer.changes.len() >= MAX_ANSWER_CHANGES && ends_revision {
                answer.revision = entry.revision;
                answer.is_full = true;
                break;
            }
        }
        Some(answer)
    }

    /// Returns the revision up to which the log is complete; `None` if it knows nothing.
    #[must_use]
    pub fn revision(&self) -> Option<u64> {
        self.range.map(|(_, up_to)| up_to)
    }

    /// Drops the changes of the oldest revision.
    fn drop_oldest(&mut self) {
        let Some(oldest) = self.entries.front().map(|entry| entry.revision) else {
            return;
        };
        while let Some(entry) = self.entries.pop_front() {
            if entry.revision > oldest {
                self.entries.push_front(entry);
                break;
            }
            self.bytes -= entry.bytes;
        }
        if let Some((after, _)) = &mut self.range {
            *after = (*after).max(oldest);
        }
    }
}
