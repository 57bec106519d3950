//! The platform's store: items with revisions, ranges in pages, watches, conditional changes.
//! Leases end only when a test ends them, or lets them expire.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderName;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::server;

/// In all answers: how many times the store has been restored.
const ERA: HeaderName = HeaderName::from_static("store-era");

/// The largest number of items on one page of a range, small so that tests read several pages.
const MAX_PAGE_ITEMS: usize = 5;

/// The lifetime of all leases, as the store states it.
const LEASE_MS: u64 = 60_000;

/// How often it is checked whether leases have expired.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(10);

/// The largest number of changes in one answer to a watch.
const MAX_WATCH_CHANGES: usize = 250;

/// A failure of the store that stays until it is replaced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// It works.
    #[default]
    None,
    /// It refuses every call with 503.
    Refuse,
    /// It never answers a watch that arrives during the fault, not even after the fault, and keeps
    /// the connection open.
    LoseWatches,
    /// It leaves out the watches that wait or arrive during the fault from all changes, also later
    /// ones, and keeps their connections open.
    DeafWatches,
    /// It never answers a call that arrives during the fault, not even after the fault, and keeps
    /// the connection open.
    Silent,
}

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    // 0: none.
    lease: u64,
}

/// What the store held at some moment, to be restored later.
#[derive(Clone, Debug)]
pub struct Copy {
    revision: u64,
    items: BTreeMap<String, Item>,
}

#[derive(Debug, Default)]
struct State {
    // How many times the store has been restored from a copy.
    era: u64,
    revision: u64,
    items: BTreeMap<String, Item>,
    // The changes, oldest first; `None` is a removal.
    history: Vec<(u64, String, Option<Item>)>,
    // The revision up to which changes have been removed from the history.
    compacted: u64,
    fault: Fault,
    calls: u64,
    writes: u64,
    lost_watches: u64,
    leases: BTreeSet<u64>,
    // Whether leases expire, and then when each does and its lifetime.
    leases_expire: bool,
    expiries: BTreeMap<u64, (Instant, Duration)>,
    refuses_leases: bool,
    // How old the reads are that may be old, and when each revision was reached.
    read_age: Duration,
    reached: Vec<(Instant, u64)>,
}

impl State {
    /// Returns the revision that a read shows which may be old.
    fn earlier_revision(&self, now: Instant) -> u64 {
        let reached = self.reached.iter().rev();
        reached
            .map(|(at, revision)| (now.saturating_duration_since(*at), *revision))
            .find(|(age, _)| *age >= self.read_age)
            .map_or(0, |(_, revision)| revision)
    }

    fn change(&mut self, key: &str, value: Option<Vec<u8>>) {
        self.change_with_lease(key, value, 0);
    }

    fn change_with_lease(&mut self, key: &str, value: Option<Vec<u8>>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let item = value.map(|value| Item {
            value,
            revision,
            created: self.items.get(key).map_or(revision, |item| item.created),
            lease,
        });
        match &item {
            Some(item) => self.items.insert(key.into(), item.clone()),
            None => self.items.remove(key),
        };
        self.history.push((revision, key.into(), item));
        self.reached.push((Instant::now(), revision));
    }
}

/// A running store. Its server runs until the runtime ends.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    // The era and the revision.
    changed: watch::Sender<(u64, u64)>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Store {
    /// Starts an empty store at a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start() -> Result<Self, server::Error> {
        let (listener, address) = server::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changed: watch::channel((0, 0)).0,
        });
        tokio::spawn(serve(listener, Arc::clone(&shared)));
        Ok(Self { address, shared })
    }

    /// Returns the address it listens on, with the port chosen at the start.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes an item as JSON, under a new revision.
    pub fn put(&self, key: &str, value: &Value) {
        self.change(key, Some(value.to_string().into_bytes()));
    }

    /// Writes an item of any bytes.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        self.change(key, Some(value.to_vec()));
    }

    /// Removes an item. Watches get the removal also if the item did not exist.
    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    /// Replaces the fault for calls that arrive from now on; [`Fault::None`] ends it.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.lock().fault = fault;
    }

    /// Ends all leases and removes the items that were written with one.
    pub fn end_leases(&self) {
        let mut state = self.shared.lock();
        state.leases.clear();
        state.expiries.clear();
        let leased: Vec<String> = state
            .items
            .iter()
            .filter(|(_, item)| item.lease != 0)
            .map(|(key, _)| key.clone())
            .collect();
        for key in leased {
            state.change(&key, None);
        }
        let changed = (state.era, state.revision);
        self.shared.changed.send_replace(changed);
    }

    /// Lets the leases that are granted from now on expire after the lifetime that was requested.
    pub fn let_leases_expire(&self) {
        if std::mem::replace(&mut self.shared.lock().leases_expire, true) {
            return;
        }
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(EXPIRY_INTERVAL).await;
                let mut state = shared.lock();
                let now = Instant::now();
                let is_over = |expiry: &(Instant, Duration)| expiry.0 <= now;
                let over: Vec<u64> = state
                    .expiries
                    .iter()
                    .filter(|(_, expiry)| is_over(expiry))
                    .map(|(lease, _)| *lease)
                    .collect();
                for lease in &over {
                    state.expiries.remove(lease);
                    state.leases.remove(lease);
                }
                let keys: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(_, item)| over.contains(&item.lease))
                    .map(|(key, _)| key.clone())
                    .collect();
                for key in &keys {
                    state.change(key, None);
                }
                if !keys.is_empty() {
                    let changed = (state.era, state.revision);
                    shared.changed.send_replace(changed);
                }
            }
        });
    }

    /// Returns the number of writes and of requests for a lease, without those that only read or
    /// renew.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.shared.lock().writes
    }

    /// Refuses calls for new leases with 503 from now on.
    pub fn refuse_leases(&self) {
        self.shared.lock().refuses_leases = true;
    }

    /// Sets how old the revision is that listings show which may be old.
    pub fn set_read_age(&self, age: Duration) {
        self.shared.lock().read_age = age;
    }

    /// Returns the revision of the last change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.shared.lock().revision
    }

    /// Returns how long ago the store was changed last, zero if it never was.
    #[must_use]
    pub fn quiet_for(&self) -> Duration {
        let state = self.shared.lock();
        let last = state.reached.last();
        last.map_or(Duration::ZERO, |(at, _)| at.elapsed())
    }

    /// Removes the history: a watch after an earlier revision is answered with 410.
    pub fn compact(&self) {
        let mut state = self.shared.lock();
        state.compacted = state.revision;
        state.history.clear();
    }

    /// Returns a copy of what the store holds now.
    #[must_use]
    pub fn copy(&self) -> Copy {
        let state = self.shared.lock();
        Copy {
            revision: state.revision,
            items: state.items.clone(),
        }
    }

    /// Replaces what the store holds by an earlier copy. What was written since is gone, and its
    /// revisions are given out again.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.shared.lock();
        state.era += 1;
        state.revision = copy.revision;
        state.items = copy.items;
        state.leases.clear();
        state.expiries.clear();
        state.reached.push((Instant::now(), copy.revision));
        state
            .history
            .retain(|(revision, _, _)| *revision <= copy.revision);
        state.compacted = state.compacted.min(copy.revision);
        let changed = (state.era, state.revision);
        self.shared.changed.send_replace(changed);
    }

    /// Returns the items whose key starts with a prefix, each with its value.
    #[must_use]
    pub fn items(&self, prefix: &str) -> Vec<(String, Vec<u8>)> {
        let state = self.shared.lock();
        let items = state.items.iter();
        items
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, item)| (key.clone(), item.value.clone()))
            .collect()
    }

    /// Returns the number of calls received, including those that a fault refused.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }

    /// Returns the number of watches that [`Fault::LoseWatches`] and [`Fault::DeafWatches`] have left
    /// without an answer.
    #[must_use]
    pub fn lost_watches(&self) -> u64 {
        self.shared.lock().lost_watches
    }

    /// Returns the number of items whose key starts with a prefix.
    #[must_use]
    pub fn count(&self, prefix: &str) -> usize {
        let state = self.shared.lock();
        state
            .items
            .keys()
            .filter(|key| key.starts_with(prefix))
            .count()
    }

    fn change(&self, key: &str, value: Option<Vec<u8>>) {
        let mut state = self.shared.lock();
        state.change(key, value);
        self.shared
            .changed
            .send_replace((state.era, state.revision));
    }
}

async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(server::ACCEPT_RETRY).await;
            continue;
        };
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let service = service_fn(move |request| answer(Arc::clone(&shared), request));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("connection to the stand-in store failed: {error}");
            }
        });
    }
}

async fn answer(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let query = Query::new(request.uri().query().unwrap_or_default());
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    let body = request.into_body().collect().await;
    let body = body
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default();
    let fault = {
        let mut state = shared.lock();
        state.calls += 1;
        if matches!(path.as_str(), "/api/kv-txn" | "/api/kv-lease") {
            state.writes += 1;
        }
        state.fault
    };
    if fault == Fault::Refuse {
        return Ok(respond(StatusCode::SERVICE_UNAVAILABLE, &json!({})));
    }
    if fault == Fault::Silent {
        std::future::pending::<()>().await;
    }
    let (status, value) = match (method, path.as_str()) {
        (Method::GET, "/api/kv-key") => key(&shared.lock(), &query),
        (Method::GET, "/api/kv-range") => (StatusCode::OK, range(&shared.lock(), &query)),
        (Method::GET, "/api/kv-watch") => {
            if fault == Fault::LoseWatches {
                shared.lock().lost_watches += 1;
                std::future::pending::<()>().await;
            }
            watch(&shared, &query).await
        }
        (Method::POST, "/api/kv-txn") => change(&shared, &body),
        (Method::POST, "/api/kv-lease") => grant(&mut shared.lock(), &body),
        (Method::POST, path) if path.starts_with("/api/kv-keep/") => {
            let lease = path["/api/kv-keep/".len()..].parse().unwrap_or(0);
            if renew(&mut shared.lock(), lease) {
                (StatusCode::OK, json!({"ttl_ms": LEASE_MS}))
            } else {
                (StatusCode::NOT_FOUND, json!({}))
            }
        }
        _ => (StatusCode::NOT_FOUND, json!({})),
    };
    let mut response = respond(status, &value);
    let era = shared.lock().era;
    response.headers_mut().insert(ERA, era.into());
    Ok(response)
}

fn respond(status: StatusCode, value: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(value.to_string()));
    *response.status_mut() = status;
    response
}

/// The parameters of a query string. They are not percent-decoded, because no key of the tests
/// needs it.
struct Query(BTreeMap<String, String>);

impl Query {
    fn new(query: &str) -> Self {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        Self(
            pairs
                .map(|(key, value)| (key.into(), value.into()))
                .collect(),
        )
    }

    fn text(&self, name: &str) -> &str {
        self.0.get(name).map_or("", String::as_str)
    }

    fn number(&self, name: &str) -> u64 {
        self.text(name).parse().unwrap_or(0)
    }
}

fn encode(key: &str, item: &Item) -> Value {
    json!({
        "key": key,
        "value": STANDARD.encode(&item.value),
        "revision": item.revision,
        "created": item.created,
        "lease": item.lease,
    })
}

fn key(state: &State, query: &Query) -> (StatusCode, Value) {
    let key = query.text("key");
    let Some(item) = state.items.get(key) else {
        return (StatusCode::NOT_FOUND, json!({}));
    };
    let mut value = encode(key, item);
    value["store_revision"] = state.revision.into();
    (StatusCode::OK, value)
}

fn range(state: &State, query: &Query) -> Value {
    let after = query.text("after");
    let mut items = state
        .items
        .iter()
        .filter(|(key, _)| key.starts_with(query.text("prefix")) && key.as_str() > after);
    let page: Vec<Value> = items
        .by_ref()
        .take(MAX_PAGE_ITEMS)
        .map(|(key, item)| encode(key, item))
        .collect();
    let has_more = items.next().is_some();
    let revision = match query.text("stale_ok") {
        "1" => state.earlier_revision(Instant::now()),
        _ => state.revision,
    };
    json!({"items": page, "has_more": has_more, "store_revision": revision})
}

async fn watch(shared: &Shared, query: &Query) -> (StatusCode, Value) {
    let after = query.number("after");
    let mut revisions = shared.changed.subscribe();
    let wait = Duration::from_millis(query.number("wait_ms"));
    // If the wait times out, the answer contains no events.
    let era = shared.lock().era;
    let is_over = |changed: &(u64, u64)| changed.0 != era || changed.1 > after || after > changed.1;
    let _ = tokio::time::timeout(wait, revisions.wait_for(is_over)).await;
    let is_deaf = shared.lock().fault == Fault::DeafWatches;
    if is_deaf {
        shared.lock().lost_watches += 1;
        std::future::pending::<()>().await;
    }
    let state = shared.lock();
    if after < state.compacted || after > state.revision {
        return (StatusCode::GONE, json!({}));
    }
    let changes: Vec<_> = state
        .history
        .iter()
        .filter(|(revision, key, _)| *revision > after && key.starts_with(query.text("prefix")))
        .take(MAX_WATCH_CHANGES)
        .collect();
    let revision = match changes.last() {
        Some((revision, _, _)) if changes.len() == MAX_WATCH_CHANGES => *revision,
        _ => state.revision,
    };
    let events: Vec<Value> = changes
        .into_iter()
        .map(|(revision, key, item)| match item {
            Some(item) => encode(key, item),
            None => json!({"key": key, "revision": revision, "deleted": true}),
        })
        .collect();
    let value = json!({"events": events, "store_revision": revision});
    (StatusCode::OK, value)
}

/// Renews a lease. Returns whether it exists.
fn renew(state: &mut State, lease: u64) -> bool {
    if let Some((until, lifetime)) = state.expiries.get_mut(&lease) {
        *until = Instant::now() + *lifetime;
    }
    state.leases.contains(&lease)
}

fn grant(state: &mut State, body: &[u8]) -> (StatusCode, Value) {
    if state.refuses_leases {
        return (StatusCode::SERVICE_UNAVAILABLE, json!({}));
    }
    let lease = state.calls;
    state.leases.insert(lease);
    if state.leases_expire {
        let body = serde_json::from_slice::<Value>(body).unwrap_or_default();
        let ttl = body["ttl_ms"].as_u64().unwrap_or(LEASE_MS);
        let lifetime = Duration::from_millis(ttl);
        state
            .expiries
            .insert(lease, (Instant::now() + lifetime, lifetime));
        return (StatusCode::OK, json!({"lease": lease, "ttl_ms": ttl}));
    }
    (StatusCode::OK, json!({"lease": lease, "ttl_ms": LEASE_MS}))
}

fn change(shared: &Shared, body: &[u8]) -> (StatusCode, Value) {
    let Ok(change) = serde_json::from_slice::<Value>(body) else {
        return (StatusCode::BAD_REQUEST, json!({}));
    };
    let rows = |name: &str| change[name].as_array().cloned().unwrap_or_default();
    let mut state = shared.lock();
    let expected = rows("expected");
    let revisions_match = expected.iter().all(|row| {
        let key = row["key"].as_str().unwrap_or_default();
        let revision = state.items.get(key).map_or(0, |item| item.revision);
        row["revision"].as_u64() == Some(revision)
    });
    if !revisions_match {
        let items = expected.iter().filter_map(|row| {
            let key = row["key"].as_str()?;
            Some(encode(key, state.items.get(key)?))
        });
        let items: Vec<Value> = items.collect();
        return (StatusCode::PRECONDITION_FAILED, json!({"items": items}));
    }
    let leases: Vec<u64> = rows("puts")
        .iter()
        .filter_map(|put| put["lease"].as_u64())
        .filter(|lease| *lease != 0)
        .collect();
    if leases.iter().any(|lease| !state.leases.contains(lease)) {
        return (StatusCode::NOT_FOUND, json!({}));
    }
    for put in rows("puts") {
        let key = put["key"].as_str().unwrap_or_default();
        let value = put["value"].as_str().unwrap_or_default();
        let Ok(value) = STANDARD.decode(value) else {
            return (StatusCode::BAD_REQUEST, json!({}));
        };
        let lease = put["lease"].as_u64().unwrap_or(0);
        state.change_with_lease(key, Some(value), lease);
    }
    shared.changed.send_replace((state.era, state.revision));
    (StatusCode::OK, json!({"revision": state.revision}))
}
