//! Non-idempotent requests: run at most once, by the owner of their key.

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

/// How often a resend looks whether the first send has ended.
const WAIT_INTERVAL: Duration = Duration::from_millis(5);

/// The longest answer of the key's owner that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Memory for answers that can be asked for again: ten minutes at 100 requests a second.
const CAPACITY: Capacity = Capacity {
    keys: 60_000,
    bytes: size::Bytes(64 * 1024 * 1024),
    answer: size::Bytes(64 * 1024),
};

/// Why the owner of a key gave no usable answer.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
enum ForwardError {
    /// The request has not reached the owner.
    #[error("the owner of the idempotency key is out of reach")]
    NotSent,
    /// The owner may have run the request.
    #[error("the connection to the owner of the idempotency key was lost")]
    Lost,
    /// The owner did not answer before the deadline.
    #[error("the owner of the idempotency key did not answer in time")]
    Late,
}

/// A window that nobody asked for this long holds no key that a request can still ask for.
const KEPT_UNUSED: Duration = idempotency::WINDOW.saturating_add(Duration::from_mins(1));

/// A replay window, and when it was last asked.
struct HeldWindow {
    window: Window,
    used: Instant,
}

/// The replay windows of the keys that this instance owns.
pub struct Windows {
    /// One window per moment since which this instance owns its keys without a gap.
    windows: Mutex<BTreeMap<Instant, HeldWindow>>,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Windows {
    fn default() -> Self {
        Self {
            windows: Mutex::default(),
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }
}

impl Windows {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<Instant, HeldWindow>> {
        self.windows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn begin(&self, view: &View, owned: &Owned, idempotency: &Idempotency) -> Begin {
        let wall = SystemClock.wall();
        let now = SystemClock.now();
        let mut windows = self.lock();
        windows.retain(|_, held| now.saturating_duration_since(held.used) < KEPT_UNUSED);
        let held = windows.entry(owned.began).or_insert_with(|| {
            let acting = now.saturating_duration_since(owned.ready_at);
            let since = wall.checked_sub(acting).unwrap_or(SystemTime::UNIX_EPOCH);
            let generation = view.generation();
            HeldWindow {
                window: Window::new(view.instance, generation, CAPACITY, since),
                used: now,
            }
        });
        held.used = now;
        held.window
            .begin(&idempotency.key, idempotency.issued_at, wall)
    }

    fn finish(
        &self,
        owned: &Owned,
        idempotency: &Idempotency,
        end: End,
    ) -> Option<idempotency::Outcome> {
        let mut windows = self.lock();
        let held = windows.get_mut(&owned.began)?;
        held.window
            .finish(&idempotency.key, end)
            .unwrap_or_else(|error| {
                log::error!("cannot note the end of {}: {error}", idempotency.key);
                Some(idempotency::Outcome::Unknown)
            })
    }
}

/// Ownership of a key by this instance.
struct Owned {
    began: Instant,
    ready_at: Instant,
}

/// Where a request with a key runs.
enum Place {
    Here(Owned),
    At(SocketAddr),
    Nowhere,
}

fn place(view: &View, idempotency: &Idempotency) -> Place {
    match view.ownership.key_owner(&idempotency.key) {
        Some(KeyOwner {
            owned_since: Some(began),
            ready_at: Some(ready_at),
            ..
        }) => Place::Here(Owned { began, ready_at }),
        Some(KeyOwner { owner, .. }) => match view.record.member(owner) {
            Some(member) if owner != view.instance => Place::At(member.traffic_address),
            _ => Place::Nowhere,
        },
        None => Place::Nowhere,
    }
}

/// Runs a request with an idempotency key at its owner. `hops` is the number of times that it may
/// be forwarded.
///
/// Only the owner knows whether an earlier send of the request ran, so every refusal by another
/// instance says that the outcome is unknown.
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
    match place(&view, idempotency) {
        Place::Here(owned) => run_here(entry, &view, request, idempotency, &owned).await,
        Place::At(owner) if hops > 0 => {
            let limit = time_limit(&view, request);
            // A paused owner keeps its connections open and answers nothing.
            match tokio::time::timeout(limit, forward(entry, owner, body)).await {
                Ok(Ok(answer)) => answer,
                Ok(Err(error)) => answer::unknown(id, &error),
                Err(_) => answer::unknown(id, &ForwardError::Late),
            }
        }
        Place::At(_) | Place::Nowhere => answer::unknown(id, &Refusal::KeyOwnerChanging),
    }
}

async fn run_here(
    entry: &Entry,
    view: &View,
    request: &Request,
    idempotency: &Idempotency,
    owned: &Owned,
) -> AnswerBody {
    let id = request.request_id.unwrap_or_default();
    let limit = time_limit(view, request);
    let deadline = SystemClock.now() + limit;
    if owned.ready_at > deadline {
        // An earlier owner may have run the key, and may still be running it.
        return answer::unknown(id, &Refusal::KeyOwnerChanging);
    }
    tokio::time::sleep_until(owned.ready_at.into()).await;
    loop {
        match entry.windows.begin(view, owned, idempotency) {
            Begin::Run => return run_first(entry, request, idempotency, owned).await,
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

/// Runs a request that is begun in the window. Dropping the caller's connection does not end it,
/// because the window needs its outcome.
async fn run_first(
    entry: &Entry,
    request: &Request,
    idempotency: &Idempotency,
    owned: &Owned,
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
    match entry.windows.finish(owned, idempotency, end) {
        Some(idempotency::Outcome::Unknown) if answer.outcome == Outcome::Answered => {
            // A resend could not be told the same as this send.
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
    let response = entry.windows.client.request(request).await;
    let response = response.map_err(|error| {
        if error.is_connect() {
            ForwardError::NotSent
        } else {
            ForwardError::Lost
        }
    })?;
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    let body = body.collect().await.map_err(|_| ForwardError::Lost)?;
    serde_json::from_slice(&body.to_bytes()).map_err(|_| ForwardError::Lost)
}
