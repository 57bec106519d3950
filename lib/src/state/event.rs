//! The timeline: typed events in a bounded ring buffer per instance, and their merge into one
//! causal sequence.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;

use thiserror::Error;

use crate::state::hlc::Timestamp;
use crate::state::id::FailureDomain;
use crate::state::id::Fingerprint;
use crate::state::id::Generation;
use crate::state::id::InstanceId;
use crate::state::id::LeafId;
use crate::state::id::RequestId;
use crate::state::id::RolloutId;
use crate::state::id::ServiceName;
use crate::state::id::VersionName;

/// Free text that explains an event to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reason(pub Box<str>);

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl FromStr for Reason {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.into()))
    }
}

/// The error returned when a serialised kind of event cannot be read.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum InvalidKind {
    /// No kind has this name.
    #[error("no kind of event is called {0:?}")]
    UnknownName(Box<str>),
    /// A field of the kind is absent or malformed.
    #[error("field {field} of event {name} is absent or malformed")]
    Field {
        /// The kind.
        name: &'static str,
        /// The field.
        field: &'static str,
    },
}

/// Defines the kinds of events with their serialised names and fields.
macro_rules! kinds {
    ($($(#[$attribute:meta])* $variant:ident = $name:literal
        { $($(#[$field_attribute:meta])* $field:ident: $type:ty),* $(,)? },)*) => {
        /// The kind of an event, with its fields.
        #[derive(Clone, Debug, PartialEq, Eq)]
        pub enum Kind {
            $($(#[$attribute])* $variant { $($(#[$field_attribute])* $field: $type),* },)*
        }

        impl Kind {
            /// The names of all kinds.
            pub const NAMES: &'static [&'static str] = &[$($name),*];

            /// Returns the name of the kind, for instance `request_admitted`.
            #[must_use]
            pub fn name(&self) -> &'static str {
                match self {
                    $(Self::$variant { .. } => $name,)*
                }
            }

            /// Returns the fields of the kind as text.
            #[must_use]
            pub fn fields(&self) -> BTreeMap<Box<str>, Box<str>> {
                match self {
                    $(Self::$variant { $($field),* } => BTreeMap::from([
                        $((stringify!($field).into(), $field.to_string().into())),*
                    ]),)*
                }
            }

            /// Reads a kind from its name and fields.
            ///
            /// # Errors
            ///
            /// Returns an error for an unknown name and for an absent or malformed field.
            pub fn from_parts(
                name: &str,
                fields: &BTreeMap<Box<str>, Box<str>>,
            ) -> Result<Self, InvalidKind> {
                match name {
                    $($name => Ok(Self::$variant {
                        $($field: fields
                            .get(stringify!($field))
                            .and_then(|text| text.parse().ok())
                            .ok_or(InvalidKind::Field { name: $name, field: stringify!($field) })?
                        ),*
                    }),)*
                    other => Err(InvalidKind::UnknownName(other.into())),
                }
            }
        }
    };
}

kinds! {
    /// An instance began to process a request. The request may still be refused, for instance by
    /// the admission queue of its service.
    RequestAdmitted = "request_admitted" {},
    /// The entry instance answered a request.
    RequestAnswered = "request_answered" {
        /// The number of shards whose answer was merged.
        answered: u32,
        /// The number of shards that the request asked for.
        in_scope: u32,
    },
    /// The entry instance returned no answer to a request: no server ran it, or its outcome is
    /// unknown.
    RequestRefused = "request_refused" {
        /// Why there is no answer.
        reason: Reason,
    },
    /// The instance forwarded leaf calls of a request to the owner of the leafs.
    Forwarded = "forwarded" {
        /// The owner.
        to: InstanceId,
        /// The number of leaf calls.
        calls: u32,
    },
    /// The instance received leaf calls of a request from another instance.
    CallsReceived = "calls_received" {
        /// The instance that forwarded them.
        from: InstanceId,
        /// The number of leaf calls.
        calls: u32,
    },
    /// The instance sent a second leaf call while the first was outstanding.
    Hedged = "hedged" {},
    /// The instance sent a leaf call again after a failure.
    Retried = "retried" {
        /// The number of the retry. The daemon records 1 for every retry.
        attempt: u32,
    },
    /// The owner no longer knows the temperature of a leaf.
    LeafUnknown = "leaf_unknown" {},
    /// A leaf is in cold start.
    LeafCold = "leaf_cold" {},
    /// A leaf is warm.
    LeafWarm = "leaf_warm" {},
    /// A connection to a leaf was lost.
    ConnectionLost = "connection_lost" {
        /// What the connection reported.
        reason: Reason,
    },
    /// The instance became the owner of a leaf.
    OwnershipGained = "ownership_gained" {},
    /// The instance stopped being the owner of a leaf.
    OwnershipReleased = "ownership_released" {},
    /// The instance has no recent evidence any more that its configuration is current.
    CurrencyLost = "currency_lost" {},
    /// The instance has recent evidence again that its configuration is current.
    CurrencyRegained = "currency_regained" {},
    /// The instance applied a generation of the control record.
    GenerationApplied = "generation_applied" {
        /// The generation.
        generation: Generation,
    },
    /// A failure domain was taken out of service.
    DomainOut = "domain_out" {},
    /// A failure domain was put into service.
    DomainIn = "domain_in" {},
    /// The instance received the first signal that a backend server is leaving.
    DrainSeen = "drain_seen" {},
    /// A rollout entered a stage.
    RolloutStage = "rollout_stage" {
        /// The stage, and the reason if the rollout was rolled back.
        stage: Reason,
    },
    /// A version was revoked and gets no more traffic.
    Revoked = "revoked" {
        /// The version.
        version: VersionName,
    },
    /// A fingerprint was blocked because requests with it crashed servers.
    PoisonBlocked = "poison_blocked" {
        /// The fingerprint.
        fingerprint: Fingerprint,
    },
    /// An instance joined the roster.
    MemberAdded = "member_added" {
        /// The instance.
        member: InstanceId,
    },
    /// An instance is suspected to have failed. The daemon does not record this event.
    MemberSuspected = "member_suspected" {
        /// The instance.
        member: InstanceId,
    },
    /// An instance left the roster.
    MemberRemoved = "member_removed" {
        /// The instance.
        member: InstanceId,
    },
    /// The instance entered a phase of its shutdown.
    ShutdownPhase = "shutdown_phase" {
        /// The name of the phase.
        phase: Reason,
    },
    /// Events were lost because the ring was full.
    EventsDropped = "events_dropped" {
        /// The number of events dropped.
        count: u64,
    },
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())?;
        for (field, value) in self.fields() {
            write!(f, " {field}={value}")?;
        }
        Ok(())
    }
}

/// What an event concerns. A field is `None` if it does not apply.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subject {
    /// The request.
    pub request: Option<RequestId>,
    /// The service.
    pub service: Option<ServiceName>,
    /// The leaf.
    pub leaf: Option<LeafId>,
    /// The failure domain.
    pub failure_domain: Option<FailureDomain>,
    /// The rollout.
    pub rollout: Option<RolloutId>,
}

/// One event of the timeline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// When the event was recorded.
    pub at: Timestamp,
    /// The instance that recorded the event.
    pub instance: InstanceId,
    /// What the event concerns.
    pub subject: Subject,
    /// The kind of the event, with its fields.
    pub kind: Kind,
}

/// Selects events. An event passes if it matches every field that is set.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Filter {
    /// Selects one request.
    pub request: Option<RequestId>,
    /// Selects one service.
    pub service: Option<ServiceName>,
    /// Selects one leaf.
    pub leaf: Option<LeafId>,
    /// Selects one failure domain.
    pub failure_domain: Option<FailureDomain>,
    /// Selects one rollout.
    pub rollout: Option<RolloutId>,
}

impl Filter {
    /// Returns whether the event passes the filter.
    #[must_use]
    pub fn accepts(&self, event: &Event) -> bool {
        fn field_matches<T: PartialEq>(wanted: Option<&T>, found: Option<&T>) -> bool {
            wanted.is_none() || wanted == found
        }
        let subject = &event.subject;
        field_matches(self.request.as_ref(), subject.request.as_ref())
            && field_matches(self.service.as_ref(), subject.service.as_ref())
            && field_matches(self.leaf.as_ref(), subject.leaf.as_ref())
            && field_matches(
                self.failure_domain.as_ref(),
                subject.failure_domain.as_ref(),
            )
            && field_matches(self.rollout.as_ref(), subject.rollout.as_ref())
    }
}

/// A page of the events in a ring, in the order of recording.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The events that passed the filter.
    pub events: Vec<Event>,
    /// The cursor of the next page; `None` on the last page.
    pub next: Option<u64>,
    /// The number of events at or after the requested cursor that were dropped before this call.
    pub dropped: u64,
}

/// A ring buffer of the latest events of one instance.
#[derive(Clone, Debug)]
pub struct Ring {
    capacity: usize,
    events: VecDeque<Event>,
    dropped: u64,
}

impl Ring {
    /// Creates an empty ring that keeps at most `capacity` events.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            events: VecDeque::with_capacity(capacity.min(1024)),
            dropped: 0,
        }
    }

    /// Records an event and drops the oldest one when the ring is full.
    pub fn push(&mut self, event: Event) {
        self.events.push_back(event);
        while self.events.len() > self.capacity {
            self.events.pop_front();
            self.dropped += 1;
        }
    }

    /// Returns the number of events dropped since the start.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns up to `limit` events that pass the filter, starting at event number `cursor`. Events
    /// are numbered from 0 in the order of recording.
    #[must_use]
    pub fn page(&self, cursor: u64, limit: usize, filter: &Filter) -> Page {
        let skipped = usize::try_from(cursor.saturating_sub(self.dropped)).unwrap_or(usize::MAX);
        let mut page = Page {
            events: Vec::new(),
            next: None,
            dropped: self.dropped.saturating_sub(cursor),
        };
        for (number, event) in (self.dropped..).zip(&self.events).skip(skipped) {
            if !filter.accepts(event) {
                continue;
            }
            if page.events.len() == limit {
                page.next = Some(number);
                break;
            }
            page.events.push(event.clone());
        }
        page
    }
}

/// Merges the events of several instances into one sequence in which no effect precedes its cause.
#[must_use]
pub fn merge<I>(parts: I) -> Vec<Event>
where
    I: IntoIterator<Item = Vec<Event>>,
{
    let mut events: Vec<Event> = parts.into_iter().flatten().collect();
    events.sort_by_key(|event| (event.at, event.instance));
    events.dedup();
    events
}
