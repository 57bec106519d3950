//! Changes of the store that instances learn from each other.
//!
//! An instance that watches the store keeps the latest changes, and answers others that ask for those
//! after a revision. The request is an HTTP/1.1 request with [`HEADER`] to the peer address, which
//! waits until there are changes. The asking instance treats it like a watch of the store: what it has
//! missed shows by the confirmations of other instances, and it then watches the store by itself.
//!
//! A configuration with keys of customers is not passed on. Whoever is told that it has changed reads
//! it from the store.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use camphorhold::coordination::serving::ChangeLog;
use camphorhold::coordination::serving::instances::UpstreamFailures;
use camphorhold::transport::http;
use camphorhold_platform::key::Key;
use camphorhold_platform::plan;
use camphorhold_platform::store::Changes;
use camphorhold_platform::store::Event;
use camphorhold_platform::store::Item;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HOST;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use tokio::sync::Notify;

use crate::answer::empty_response;
use crate::peer;
use crate::shared::Phase;
use crate::shared::Shared;

/// In a request to another instance: asks for the changes after this revision.
pub const HEADER: HeaderName = HeaderName::from_static("camphorhold-changes-after");

/// The path of these requests. Instances tell them by [`HEADER`].
const PATH: &str = "/camphorhold/changes";

/// How long an instance waits for changes before it answers that there are none.
const WAIT: Duration = Duration::from_secs(20);

/// How much longer the answer may take.
const WAIT_SLACK: Duration = Duration::from_secs(1);

/// The longest accepted body of an answer: some 250 changes, one of which may be a configuration of
/// the largest size that the store takes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// The part of the instance's memory for the changes that it keeps, as a divisor.
const LOG_MEMORY_DIVISOR: usize = 64;

/// A change in the form in which it is kept and sent.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct WireChange {
    key: Rc<str>,
    revision: u64,
    // In base64; `None` if it was not valid base64 in the store.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    value: Option<Rc<str>>,
    #[serde(default, skip_serializing_if = "is_false")]
    deleted: bool,
    // The value is not passed on, and has to be read from the store.
    #[serde(default, skip_serializing_if = "is_false")]
    withheld: bool,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the signature that serde calls"
)]
fn is_false(flag: &bool) -> bool {
    !flag
}

impl From<&Event> for WireChange {
    fn from(event: &Event) -> Self {
        match event {
            Event::Written(item) => {
                let value = item.value.as_deref();
                let withheld = value.is_some_and(|value| {
                    Key::parse(&item.key) == Key::Configuration && plan::may_hold_keys(value)
                });
                Self {
                    key: Rc::from(&*item.key),
                    revision: item.revision,
                    value: value
                        .filter(|_| !withheld)
                        .map(|value| STANDARD.encode(value).into()),
                    deleted: false,
                    withheld,
                }
            }
            Event::Removed { key, revision } => Self {
                key: Rc::from(&**key),
                revision: *revision,
                value: None,
                deleted: true,
                withheld: false,
            },
        }
    }
}

impl WireChange {
    fn bytes(&self) -> usize {
        size_of::<Self>() + self.key.len() + self.value.as_ref().map_or(0, |value| value.len())
    }
}

impl From<WireChange> for Event {
    fn from(wire: WireChange) -> Self {
        let key = Box::from(&*wire.key);
        if wire.deleted {
            return Self::Removed {
                key,
                revision: wire.revision,
            };
        }
        Self::Written(Item {
            key,
            value: wire.value.and_then(|value| STANDARD.decode(&*value).ok()),
            revision: wire.revision,
        })
    }
}

/// The answer to a request for changes.
#[derive(Debug, Deserialize, Serialize)]
struct WireAnswer {
    // Absent if the store states none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    era: Option<Box<str>>,
    changes: Vec<WireChange>,
    // Up to which the changes are complete.
    revision: u64,
    full: bool,
}

/// Why another instance has told of no changes.
#[derive(Debug, Error)]
pub enum FeedError {
    /// It could not be reached, or the connection was lost.
    #[error("the instance cannot be reached: {0}")]
    Unreachable(#[from] http::Error),
    /// It did not answer in time.
    #[error("the instance did not answer in time")]
    TimedOut,
    /// It has not read all changes after that revision itself, or is not serving.
    #[error("the instance answered {0}")]
    Refused(StatusCode),
    /// It has read another era of the store.
    #[error("the instance has read another era of the store")]
    OtherEra,
    /// The answer is not as this version sends it.
    #[error("the answer cannot be read: {0}")]
    Unreadable(#[from] serde_json::Error),
}

/// What an instance has learned from another one.
#[derive(Debug)]
pub struct Learned {
    /// The changes.
    pub changes: Changes,
    /// Whether the configuration has changed and has to be read from the store.
    pub withholds_configuration: bool,
}

/// The changes that this instance has read, for those that ask it.
#[derive(Debug)]
pub struct Feed {
    log: RefCell<ChangeLog<WireChange>>,
    changed: Notify,
    /// The failures of the instances that this one asks.
    pub failures: RefCell<UpstreamFailures>,
}

impl Feed {
    /// Creates the feed of an instance with that much memory.
    pub fn new(memory_bytes: usize) -> Self {
        Self {
            log: RefCell::new(ChangeLog::new(memory_bytes / LOG_MEMORY_DIVISOR)),
            changed: Notify::new(),
            failures: RefCell::default(),
        }
    }

    /// Records that all entries were read.
    pub fn on_listed(&self, revision: u64) {
        self.log.borrow_mut().reset(revision);
        self.changed.notify_waiters();
    }

    /// Records that the store was restored from a copy.
    pub fn on_restored(&self) {
        self.log.borrow_mut().clear();
        self.changed.notify_waiters();
    }

    /// Records changes that were read from the store or learned from another instance.
    pub fn on_changes(&self, changes: &Changes) {
        let wire = changes.events.iter().map(|event| {
            let change = WireChange::from(event);
            (change.revision, change.bytes(), change)
        });
        self.log.borrow_mut().append(wire, changes.revision);
        self.changed.notify_waiters();
    }

    /// Ends the requests that wait for changes, because the instance stops.
    pub fn stop(&self) {
        self.changed.notify_waiters();
    }
}

/// Answers a request of another instance for changes, once there are any or after [`WAIT`]: 200 with
/// the changes, 409 while this instance is not serving, 410 if it has not read the changes after that
/// revision itself, 400 for a request that names no revision.
pub async fn serve(shared: &Shared, headers: &HeaderMap) -> Response<Full<Bytes>> {
    let after = headers.get(HEADER).and_then(|after| after.to_str().ok());
    let Some(after) = after.and_then(|after| after.parse().ok()) else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let until = shared.now() + WAIT;
    loop {
        let changed = shared.feed.changed.notified();
        if shared.phase.get() != Phase::Serving {
            return empty_response(StatusCode::CONFLICT);
        }
        let answer = shared.feed.log.borrow().after(after);
        let Some(answer) = answer else {
            return empty_response(StatusCode::GONE);
        };
        let has_news = answer.revision > after;
        let timed_out = !has_news
            && tokio::time::timeout_at(until.into(), changed)
                .await
                .is_err();
        if !has_news && !timed_out {
            continue;
        }
        let wire = WireAnswer {
            era: shared.store_era.get().map(|era| era.to_string().into()),
            changes: answer.changes,
            revision: answer.revision,
            full: answer.is_full,
        };
        return match serde_json::to_vec(&wire) {
            Ok(body) => Response::new(Full::new(body.into())),
            Err(error) => {
                log::error!(error:% = error; "cannot write changes of the store");
                empty_response(StatusCode::INTERNAL_SERVER_ERROR)
            }
        };
    }
}

/// Asks another instance for the changes after a revision, and waits until there are any.
///
/// # Errors
///
/// Returns an error if the instance cannot tell them. Nothing was learned then.
pub async fn learn(
    shared: &Shared,
    upstream: SocketAddr,
    after: u64,
) -> Result<Learned, FeedError> {
    let exchange = exchange(shared, upstream, after);
    let answer = tokio::time::timeout(WAIT + WAIT_SLACK, exchange)
        .await
        .map_err(|_| FeedError::TimedOut)??;
    if answer.status() != StatusCode::OK {
        return Err(FeedError::Refused(answer.status()));
    }
    let wire: WireAnswer = serde_json::from_slice(answer.body())?;
    let known_era = shared.store_era.get().map(|era| era.to_string());
    if known_era.as_deref() != wire.era.as_deref() {
        return Err(FeedError::OtherEra);
    }
    let withholds_configuration = wire.changes.iter().any(|change| change.withheld);
    let known = wire.changes.into_iter().filter(|change| !change.withheld);
    Ok(Learned {
        changes: Changes {
            events: known.map(Event::from).collect(),
            revision: wire.revision.max(after),
            is_full: wire.full,
        },
        withholds_configuration,
    })
}

async fn exchange(
    shared: &Shared,
    upstream: SocketAddr,
    after: u64,
) -> Result<Response<Bytes>, FeedError> {
    let mut request = Request::new(Full::default());
    *request.method_mut() = Method::GET;
    *request.uri_mut() = hyper::Uri::from_static(PATH);
    let headers = request.headers_mut();
    headers.insert(HEADER, HeaderValue::from(after));
    if let Ok(host) = upstream.to_string().parse() {
        headers.insert(HOST, host);
    }
    let mut connection = peer::connect(shared, upstream).await?;
    let answer = connection
        .exchange_within(request, MAX_ANSWER_BYTES, &shared.read_budget)
        .await?;
    peer::keep(shared, upstream, connection);
    Ok(answer)
}
