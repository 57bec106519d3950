//! Backend servers and failure domains that leave.
//!
//! Three signals count: the operators' file, the instance list and the server's own drain answer.
//! Whichever comes first takes the leaf out, and it returns only when none is left. [`Status`] is
//! checked at dispatch, so that queued calls, hedges, retries and probes obey it as well. A leaf
//! that returns starts at an unknown warmth and ramps; that is the gradual return.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

use crate::state::file::File;
use crate::state::id::LeafId;

/// A signal that is not repeated holds for this long. The file's signal never expires.
pub const EXPIRY: Duration = Duration::from_mins(10);

/// Where a drain signal came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Source {
    /// The operators' file: the leaf is marked as leaving, or its failure domain is out.
    File,
    /// The platform's instance list.
    InstanceList,
    /// An answer of the server itself, seen here or learned from another instance.
    Server,
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::File => "file",
            Self::InstanceList => "instance list",
            Self::Server => "drain answer",
        })
    }
}

/// A change of one signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// The source says that the leaf leaves.
    Leaving(Source),
    /// The source no longer says so. For [`Source::Server`]: a new incarnation was seen.
    Returned(Source),
}

/// The drain signals of one leaf.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    file: bool,
    instance_list: Option<Instant>,
    server: Option<Instant>,
}

impl Status {
    /// Takes a signal that was given at `at`.
    pub fn apply(&mut self, signal: Signal, at: Instant) {
        match signal {
            Signal::Leaving(Source::File) => self.file = true,
            Signal::Leaving(Source::InstanceList) => self.instance_list = Some(at),
            Signal::Leaving(Source::Server) => self.server = self.server.max(Some(at)),
            Signal::Returned(Source::File) => self.file = false,
            Signal::Returned(Source::InstanceList) => self.instance_list = None,
            Signal::Returned(Source::Server) => self.server = None,
        }
    }

    /// Returns the signal that keeps the leaf out, if any.
    #[must_use]
    pub fn leaving(&self, now: Instant) -> Option<Source> {
        let holds =
            |at: Option<Instant>| at.is_some_and(|at| now.saturating_duration_since(at) < EXPIRY);
        if self.file {
            Some(Source::File)
        } else if holds(self.instance_list) {
            Some(Source::InstanceList)
        } else if holds(self.server) {
            Some(Source::Server)
        } else {
            None
        }
    }
}

/// The drain signals of all leafs, as one instance knows them.
#[derive(Clone, Debug, Default)]
pub struct Table {
    leafs: BTreeMap<LeafId, Status>,
}

impl Table {
    /// Takes the file in force. Leafs that the file does not list are forgotten.
    pub fn apply_file(&mut self, file: &File, now: Instant) {
        let mut listed = BTreeSet::new();
        for (_, _, leaf) in file.leafs() {
            listed.insert(leaf.id);
            let out = leaf.leaving || !file.in_service(&leaf.failure_domain);
            let signal = if out {
                Signal::Leaving(Source::File)
            } else {
                Signal::Returned(Source::File)
            };
            self.apply(leaf.id, signal, now);
        }
        self.leafs.retain(|leaf, _| listed.contains(leaf));
    }

    /// Takes one signal for one leaf.
    pub fn apply(&mut self, leaf: LeafId, signal: Signal, now: Instant) {
        self.leafs.entry(leaf).or_default().apply(signal, now);
    }

    /// Takes a drain answer that another instance saw `age` ago. Signals past their expiry are
    /// ignored.
    pub fn merge_drain_answer(&mut self, leaf: LeafId, age: Duration, now: Instant) {
        if age < EXPIRY
            && let Some(at) = now.checked_sub(age)
        {
            self.apply(leaf, Signal::Leaving(Source::Server), at);
        }
    }

    /// Lists the servers' drain answers with their ages, for other instances.
    pub fn drain_answers(&self, now: Instant) -> impl Iterator<Item = (LeafId, Duration)> {
        self.leafs.iter().filter_map(move |(leaf, status)| {
            let age = now.saturating_duration_since(status.server?);
            (age < EXPIRY).then_some((*leaf, age))
        })
    }

    /// Returns the signal that keeps the leaf out, if any. A leaf without any signal is in service.
    #[must_use]
    pub fn leaving(&self, leaf: LeafId, now: Instant) -> Option<Source> {
        self.leafs.get(&leaf)?.leaving(now)
    }
}
