//! Messages for reading the timeline, and their conversion from and to [`event`] types.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::state::event;
use crate::state::hlc::InvalidTimestamp;
use crate::state::id::FailureDomain;
use crate::state::id::InstanceId;
use crate::state::id::LeafId;
use crate::state::id::RequestId;
use crate::state::id::RolloutId;
use crate::state::id::ServiceName;

/// The maximum number of events in one page: about 300 KB of JSON.
pub const MAX_PAGE_EVENTS: u32 = 1_000;

/// Asks for a page of an instance's events.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineRequest {
    /// The number of the first event to return. Numbers of dropped events are skipped, so 0 starts
    /// at the oldest event kept.
    pub cursor: u64,
    /// The maximum number of events to return, clamped to 1 to [`MAX_PAGE_EVENTS`].
    pub limit: u32,
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

impl TimelineRequest {
    /// Reads the requested page from `ring`.
    #[must_use]
    pub fn answer(self, instance: InstanceId, ring: &event::Ring) -> TimelineAnswer {
        let limit = self.limit.clamp(1, MAX_PAGE_EVENTS);
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let page = ring.page(self.cursor, limit, &event::Filter::from(self));
        TimelineAnswer {
            instance,
            events: page.events.into_iter().map(Event::from).collect(),
            next: page.next,
            dropped: page.dropped,
        }
    }
}

impl From<TimelineRequest> for event::Filter {
    fn from(request: TimelineRequest) -> Self {
        Self {
            request: request.request,
            service: request.service,
            leaf: request.leaf,
            failure_domain: request.failure_domain,
            rollout: request.rollout,
        }
    }
}

/// A page of an instance's events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineAnswer {
    /// The instance that answers.
    pub instance: InstanceId,
    /// The events that pass the filter, in the order of recording.
    pub events: Vec<Event>,
    /// The cursor of the next page; `None` on the last page.
    pub next: Option<u64>,
    /// The number of events at or after the cursor that the instance had already dropped.
    pub dropped: u64,
}

/// One event as sent to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The hybrid logical timestamp, as `milliseconds.counter`.
    pub at: Box<str>,
    /// The instance that recorded the event.
    pub instance: InstanceId,
    /// The kind, for instance `request_admitted`.
    pub kind: Box<str>,
    /// The fields of the kind, by name; empty for a kind without fields.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub fields: BTreeMap<Box<str>, Box<str>>,
    /// The request concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// The service concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceName>,
    /// The leaf concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaf: Option<LeafId>,
    /// The failure domain concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failure_domain: Option<FailureDomain>,
    /// The rollout concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollout: Option<RolloutId>,
}

/// The error returned when an [`Event`] cannot be converted.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum InvalidEvent {
    /// The timestamp is malformed.
    #[error(transparent)]
    Timestamp(#[from] InvalidTimestamp),
    /// The kind is unknown, or one of its fields is absent or malformed.
    #[error(transparent)]
    Kind(#[from] event::InvalidKind),
}

impl From<event::Event> for Event {
    fn from(event: event::Event) -> Self {
        Self {
            at: event.at.to_string().into(),
            instance: event.instance,
            kind: event.kind.name().into(),
            fields: event.kind.fields(),
            request: event.subject.request,
            service: event.subject.service,
            leaf: event.subject.leaf,
            failure_domain: event.subject.failure_domain,
            rollout: event.subject.rollout,
        }
    }
}

impl TryFrom<Event> for event::Event {
    type Error = InvalidEvent;

    fn try_from(event: Event) -> Result<Self, Self::Error> {
        Ok(Self {
            at: event.at.parse()?,
            instance: event.instance,
            subject: event::Subject {
                request: event.request,
                service: event.service,
                leaf: event.leaf,
                failure_domain: event.failure_domain,
                rollout: event.rollout,
            },
            kind: event::Kind::from_parts(&event.kind, &event.fields)?,
        })
    }
}
