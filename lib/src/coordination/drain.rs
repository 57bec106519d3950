//! Draining of backend servers and failure domains.
//!
//! There are three sources of drain signals: the operators' file, the instance list and the
//! server's own drain answer. Any one of them takes the leaf out of service, and the leaf returns
//! only when none is in force. The owner checks [`Status`] at dispatch, so that it also applies to
//! queued calls, hedges, retries and probes. A leaf returns gradually, because its warmth is then
//! unknown and its limit ramps up.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

use crate::state::file::File;
use crate::state::id::LeafId;

/// A signal expires after this time unless it is repeated. The file's signal never expires.
pub const EXPIRY: Duration = Duration::from_mins(10);

/// The source of a drain signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Source {
    /// The operators' file: the leaf is marked as leaving, or its failure domain is out.
    File,
    /// The platform's instance list.
    InstanceList,
    /// An answer of the server itself, received here or reported by another instance.
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
    /// The source reports that the leaf is leaving.
    Leaving(Source),
    /// The source no longer reports that the leaf is leaving. For [`Source::Server`], a new
    /// incarnation has answered.
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
    /// Applies a signal that was received at `at`, from which its [`EXPIRY`] counts.
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

    /// Returns a source whose signal is in force, if any: the file first, the server last.
    #[must_use]
    pub fn leaving(&self, now: Instant) -> Option<Source> {
        let is_in_force =
            |at: Option<Instant>| at.is_some_and(|at| now.saturating_duration_since(at) < EXPIRY);
        if self.file {
            Some(Source::File)
        } else if is_in_force(self.instance_list) {
            Some(Source::InstanceList)
        } else if is_in_force(self.server) {
            Some(Source::Server)
        } else {
            None
        }
    }
}

/// The drain signals of all leafs that one instance has received.
#[derive(Clone, Debug, Default)]
pub struct Table {
    leafs: BTreeMap<LeafId, Status>,
}

impl Table {
    /// Applies the operators' file in force, and removes all leafs that it does not list.
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

    /// Applies a signal that was received at `now`.
    pub fn apply(&mut self, leaf: LeafId, signal: Signal, now: Instant) {
        self.leafs.entry(leaf).or_default().apply(signal, now);
    }

    /// Merges a drain answer that another instance received `age` ago, unless it has expired.
    pub fn merge_drain_answer(&mut self, leaf: LeafId, age: Duration, now: Instant) {
        if age < EXPIRY
            && let Some(at) = now.checked_sub(age)
        {
            self.apply(leaf, Signal::Leaving(Source::Server), at);
        }
    }

    /// Lists the servers' drain answers and their ages, for sending to other instances.
    pub fn drain_answers(&self, now: Instant) -> impl Iterator<Item = (LeafId, Duration)> {
        self.leafs.iter().filter_map(move |(leaf, status)| {
            let age = now.saturating_duration_since(status.server?);
            (age < EXPIRY).then_some((*leaf, age))
        })
    }

    /// Returns a source whose signal is in force, or `None` if the leaf is in service.
    #[must_use]
    pub fn leaving(&self, leaf: LeafId, now: Instant) -> Option<Source> {
        self.leafs.get(&leaf)?.leaving(now)
    }
}
