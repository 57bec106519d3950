//! Non-idempotent requests: the owner of the idempotency key runs them at most once.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use bytes::Bytes;
use camphorhold::coordination::idempotency;
use camphorhold::coordination::idempotency::Begin;
use camphorhold::coordination::idempotency::Capacity;
use camphorhold::coordination::idempotency::End;
use camphorhold::coordination::idempotency::Window;
use camphorhold::protocol::caller::AnswerBody;
use camphorhold::protocol::caller::Idempotency;
use camphorhold::protocol::caller::Outcome;
use camphorhold::protocol::caller::Request;
use camphorhold::protocol::caller::RequestBody;
use camphorhold::protocol::peer::ONCE_PATH;
use camphorhold::state::assignment::KeyOwner;
use camphorhold::state::id::RequestId;
use camphorhold::state::size;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold::state::view::View;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use thiserror::Error;

use super::Entry;
use super::answer;
use super::answer::Refusal;
use super::search::time_limit;

/// How often a resend checks whether an earlier send of the request has ended.
const WAIT_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum length of the body that is read from the owner of a key.
const MAX_FORWARDED_ANSWER_BYTES: usize = 1024 * 1024;

/// Bounds of each replay window. The keys suffice for ten minutes at 100 requests per second.
const CAPACITY: Capacity = Capacity {
    keys: 60_000,
    bytes: size::Bytes(64 * 1024 * 1024),
    answer: size::Bytes(64 * 1024),
};

/// Reasons why the owner of a key gave no usable answer.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
enum ForwardError {
    /// No connection to the owner could be opened, so the owner has not received the request.
    #[error("the owner of the idempotency key is out of reach")]
    NotSent,
    /// The connection ended, or the answer was invalid. The owner may have run the request.
    #[error("the connection to the owner of the idempotency key was lost")]
    Lost,
    /// The owner did not answer before the deadline and may have run the request.
    #[error("the owner of the idempotency key did not answer in time")]
    Late,
}

/// A window that no request has used for this long is dropped: all its keys have expired.
const UNUSED_RETENTION: Duration = idempotency::WINDOW.saturating_add(Duration::from_mins(1));

/// A replay window, and when a request last used it.
struct HeldWindow {
    window: Window,
    last_used: Instant,
}

/// The replay windows of the keys that this instance owns.
pub struct ReplayWindows {
    /// Windows by the time since when this instance has owned the keys without interruption. Keys
    /// that it acquired at the same time share a window.
    windows: Mutex<BTreeMap<Instant, HeldWindow>>,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for ReplayWindows {
    fn default() -> Self {
        Self {
            windows: Mutex::default(),
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }
}

impl ReplayWindows {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<Instant, HeldWindow>> {
        self.windows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn begin(&self, view: &View, ownership: &KeyOwnership, idempotency: &Idempotency) -> Begin {
        let wall = SystemClock.wall();
        let now = SystemClock.now();
        let mut windows = self.lock();
        windows.retain(|_, held| now.saturating_duration_since(held.last_used) < UNUSED_RETENTION);
        let held = windows.entry(ownership.owned_since).or_insert_with(|| {
            let ready_for = now.saturating_duration_since(ownership.ready_at);
            let since = wall
                .checked_sub(ready_for)
                .unwrap_or(SystemTime::UNIX_EPOCH);
            let generation = view.generation();
            HeldWindow {
                window: Window::new(view.instance, generation, CAPACITY, since),
                last_used: now,
            }
        });
        held.last_used = now;
        held.window
            .begin(&idempotency.key, idempotency.issued_at, wall)
    }

    fn finish(
        &self,
        ownership: &KeyOwnership,
        idempotency: &Idempotency,
        end: End,
    ) -> Option<idempotency::Outcome> {
        let mut windows = self.lock();
        let held = windows.get_mut(&ownership.owned_since)?;
        held.window
            .finish(&idempotency.key, end)
            .unwrap_or_else(|error| {
                log::error!(
                    "cannot record the outcome of idempotency key {}: {error}; \
                     an answered request is reported as unknown",
                    idempotency.key
                );
                Some(idempotency::Outcome::Unknown)
            })
    }
}

/// Ownership of a key by this instance, which may run requests with the key from `ready_at` on.
struct KeyOwnership {
    owned_since: Instant,
    ready_at: Instant,
}

/// The instance that runs a request with a key. `Local` is this instance; `Unavailable` means that
/// no instance may run it for now.
enum Destination {
    Local(KeyOwnership),
    Remote(SocketAddr),
    Unavailable,
}

fn destination(view: &View, idempotency: &Idempotency) -> Destination {
    match view.ownership.key_owner(&idempotency.key) {
        Some(KeyOwner {
            owned_since: Some(owned_since),
            ready_at: Some(ready_at),
            ..
        }) => Destination::Local(KeyOwnership {
            owned_since,
            ready_at,
        }),
        Some(KeyOwner { owner, .. }) => match view.record.member(owner) {
            Some(member) if owner != view.instance => Destination::Remote(member.traffic_address),
            _ => Destination::Unavailable,
        },
        None => Destination::Unavailable,
    }
}

/// Runs a request with an idempotency key at the owner of the key. The request is forwarded at most
/// `hops` times.
///
/// Only the owner knows whether an earlier send of the request ran, so a refusal by any other
/// instance reports an unknown outcome.
pub async fn run(
    entry: &Entry,
    body: &RequestBody,
    request: &Request,
    idempotency: &Idempotency,
    hops: u32,
) -> AnswerBody {
    let id = request.request_id.unwrap_or_default();
    let view = entry.control.view();
    if !view.may_act(SystemClock.now()) {
        return answer::unknown(id, &Refusal::CurrencyLost);
    }
    match destination(&view, idempotency) {
        Destination::Local(ownership) => {
            run_local(entry, &view, request, idempotency, &ownership).await
        }
        Destination::Remote(owner) if hops > 0 => {
            let limit = time_limit(&view, request);
            // A suspended owner keeps its connections open without answering.
            match tokio::time::timeout(limit, forward(entry, owner, body)).await {
                Ok(Ok(answer)) => answer,
                Ok(Err(error)) => answer::unknown(id, &error),
                Err(_) => answer::unknown(id, &ForwardError::Late),
            }
        }
        Destination::Remote(_) | Destination::Unavailable => {
            answer::unknown(id, &Refusal::KeyOwnerChanging)
        }
    }
}

async fn run_local(
    entry: &Entry,
    view: &View,
    request: &Request,
    idempotency: &Idempotency,
    ownership: &KeyOwnership,
) -> AnswerBody {
    let id = request.request_id.unwrap_or_default();
    let limit = time_limit(view, request);
    let deadline = SystemClock.now() + limit;
    if ownership.ready_at > deadline {
        // An earlier owner may have run the request, and may still be running it.
        return answer::unknown(id, &Refusal::KeyOwnerChanging);
    }
    tokio::time::sleep_until(ownership.ready_at.into()).await;
    loop {
        match entry.replay_windows.begin(view, ownership, idempotency) {
            Begin::Run => return run_first(entry, request, idempotency, ownership).await,
            Begin::Replay(outcome) => return replay(id, &outcome),
            Begin::RefuseUnknown(reason) => return answer::unknown(id, &reason),
            Begin::RefuseNotRun(reason) => return answer::not_run(id, &reason),
            Begin::InProgress if SystemClock.now() >= deadline => {
                return answer::unknown(id, &Refusal::EarlierSendRuns);
            }
            Begin::InProgress => tokio::time::sleep(WAIT_INTERVAL).await,
        }
    }
}

/// Runs a request that the window has recorded as in progress. A caller that disconnects does not
/// stop it, because the window needs its outcome.
async fn run_first(
    entry: &Entry,
    request: &Request,
    idempotency: &Idempotency,
    ownership: &KeyOwnership,
) -> AnswerBody {
    let answer = entry.search(request, false).await;
    let end = match answer.outcome {
        Outcome::NotRun => End::NotRun,
        Outcome::Unknown => End::Outcome(idempotency::Outcome::Unknown),
        Outcome::Answered => match serde_json::to_vec(&answer) {
            Ok(bytes) => End::Outcome(idempotency::Outcome::Answered(bytes.into())),
            Err(_) => End::Outcome(idempotency::Outcome::Unknown),
        },
    };
    match entry.replay_windows.finish(ownership, idempotency, end) {
        Some(idempotency::Outcome::Unknown) if answer.outcome == Outcome::Answered => {
            // A resend could not get the same answer as this send.
            answer::unknown(answer.request_id, &Refusal::AnswerTooLong)
        }
        _ => answer,
    }
}

fn replay(id: RequestId, outcome: &idempotency::Outcome) -> AnswerBody {
    metrics::counter!("camphorhold_replays_total").increment(1);
    match outcome {
        idempotency::Outcome::Answered(bytes) => match serde_json::from_slice(bytes) {
            Ok(answer) => AnswerBody {
                request_id: id,
                ..answer
            },
            Err(_) => answer::unknown(id, &Refusal::EarlierOutcomeUnknown),
        },
        idempotency::Outcome::Unknown => answer::unknown(id, &Refusal::EarlierOutcomeUnknown),
    }
}

async fn forward(
    entry: &Entry,
    owner: SocketAddr,
    body: &RequestBody,
) -> Result<AnswerBody, ForwardError> {
    let body = serde_json::to_vec(body).map_err(|_| ForwardError::NotSent)?;
    let request = hyper::Request::post(format!("http://{owner}{ONCE_PATH}"))
        .body(Full::new(Bytes::from(body)))
        .map_err(|_| ForwardError::NotSent)?;
    let response = entry.replay_windows.client.request(request).await;
    let response = response.map_err(|error| {
        if error.is_connect() {
            ForwardError::NotSent
        } else {
            ForwardError::Lost
        }
    })?;
    let body = Limited::new(response.into_body(), MAX_FORWARDED_ANSWER_BYTES);
    let body = body.collect().await.map_err(|_| ForwardError::Lost)?;
    serde_json::from_slice(&body.to_bytes()).map_err(|_| ForwardError::Lost)
}
