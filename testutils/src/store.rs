//! A key-value service that speaks etcd v3's JSON mapping over HTTP.
//!
//! Supported are ranges of the current revision, puts, deletes, transactions of these without
//! nesting, leases and watches. Historic revisions, sorting and nested transactions are answered
//! with an error.

mod engine;
mod message;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use hyper::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use volo_http::body::Body;
use volo_http::error::BoxError;
use volo_http::response::Response;
use volo_http::server::route::Router;
use volo_http::server::route::get;

use self::engine::Engine;
use self::message::LeaseRequest;
use self::message::PutRequest;
use self::message::RangeRequest;
use self::message::RequestError;
use self::message::TxnRequest;
use self::message::WatchRequest;
use crate::server::Admission;
use crate::server::Error;
use crate::server::Gate;
use crate::server::Server;
use crate::server::json as json_response;
use crate::server::lock;
use crate::server::post_json;
use crate::server::unanswered;

/// The interval of the search for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How the service fails to answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It answers.
    #[default]
    Off,
    /// It resets the connection of each request, which has no effect.
    Refuse,
    /// It accepts requests and does not answer. They have no effect, and their connections are
    /// reset when another outage or none is set.
    Hang,
}

/// The faults in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// The outage, which also closes open watches.
    pub outage: Outage,
    /// The delay of each request before it takes effect or meets the outage, in milliseconds.
    pub delay_ms: u64,
    /// The number of future writes that take effect and whose connection is reset instead of the
    /// answer. Each such write lowers it by one.
    pub lose_answers: u32,
}

/// How many requests the service has received, by kind, and its present state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Ranges, and transactions that contain only ranges.
    pub reads: u64,
    /// Puts, deletes, transactions that can change the store, and lease calls.
    pub writes: u64,
    /// Watches opened.
    pub watches: u64,
    /// Watches open now.
    pub waiting_watches: u64,
    /// Requests that met an outage. They are not counted above.
    pub during_outage: u64,
    /// Writes that took effect and whose connection was reset instead of the answer.
    pub answers_lost: u64,
    /// The present revision of the store; 1 while it has never been changed.
    pub revision: i64,
}

/// A running service. Dropping it stops the server and discards the contents.
pub struct Store {
    server: Server,
    shared: Arc<Shared>,
    leases: JoinHandle<()>,
}

struct Shared {
    engine: Mutex<Engine>,
    counters: Mutex<Counters>,
    fault: watch::Sender<Fault>,
}

impl Store {
    /// Starts an empty service. Port 0 gives a free port.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(address: SocketAddr) -> Result<Self, Error> {
        let shared = Arc::new(Shared {
            engine: Mutex::new(Engine::new()),
            counters: Mutex::default(),
            fault: watch::Sender::new(Fault::default()),
        });
        let gate = Gate::new(Admission::default());
        let server = Server::start(address, gate, routes(&shared)).await?;
        let expiring = Arc::clone(&shared);
        let leases = tokio::spawn(async move {
            let mut ticks = tokio::time::interval(LEASE_CHECK_INTERVAL);
            loop {
                ticks.tick().await;
                lock(&expiring.engine).expire_leases();
            }
        });
        Ok(Self {
            server,
            shared,
            leases,
        })
    }

    /// Returns the address it listens on, with the port chosen if port 0 was given.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the faults in force.
    #[must_use]
    pub fn fault(&self) -> Fault {
        *self.shared.fault.borrow()
    }

    /// Replaces the faults in force, also for requests that wait in an outage.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.fault.send_replace(fault);
    }

    /// Returns the counts of requests so far and the present state.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.shared.counters()
    }

    /// Reads a value directly, without a request that is counted or meets a fault.
    #[must_use]
    pub fn value(&self, key: &[u8]) -> Option<Vec<u8>> {
        lock(&self.shared.engine).value(key)
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.leases.abort();
    }
}

impl Shared {
    fn counters(&self) -> Counters {
        let mut engine = lock(&self.engine);
        Counters {
            waiting_watches: engine.waiting_watches(),
            revision: engine.revision(),
            ..*lock(&self.counters)
        }
    }

    /// Applies the delay and the outage to a request. Returns whether the request may take effect;
    /// if not, its connection is to be reset.
    async fn apply_faults(&self) -> bool {
        let fault = *self.fault.borrow();
        if fault.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(fault.delay_ms)).await;
        }
        let mut faults = self.fault.subscribe();
        let outage = faults.borrow_and_update().outage;
        if outage != Outage::Off {
            lock(&self.counters).during_outage += 1;
        }
        if outage == Outage::Hang {
            // The sender lives as long as `self`, so the wait cannot fail.
            let _ = faults.wait_for(|fault| fault.outage != Outage::Hang).await;
        }
        outage == Outage::Off
    }

    /// Returns whether the answer to this write is to be lost, and if so counts it.
    fn take_lost_answer(&self) -> bool {
        let loses = self.fault.send_if_modified(|fault| {
            let any = fault.lose_answers > 0;
            fault.lose_answers = fault.lose_answers.saturating_sub(1);
            any
        });
        if loses {
            lock(&self.counters).answers_lost += 1;
        }
        loses
    }

    async fn serve<F>(self: Arc<Self>, writes: bool, operation: F) -> Response
    where
        F: FnOnce(&mut Engine) -> Result<Value, RequestError>,
    {
        if !self.apply_faults().await {
            return unanswered();
        }
        {
            let mut counters = lock(&self.counters);
            if writes {
                counters.writes += 1;
            } else {
                counters.reads += 1;
            }
        }
        let result = operation(&mut lock(&self.engine));
        if writes && self.take_lost_answer() {
            return unanswered();
        }
        match result {
            Ok(body) => json_response(StatusCode::OK, &body),
            Err(error) => error.response(),
        }
    }

    async fn watch(self: Arc<Self>, request: WatchRequest) -> Response {
        if !self.apply_faults().await {
            return unanswered();
        }
        lock(&self.counters).watches += 1;
        let events = lock(&self.engine).watch(&request.create_request);
        let mut response = Response::new(Body::from_stream(lines(events, self.fault.subscribe())));
        response.headers_mut().insert(
            hyper::header::CONTENT_TYPE,
            hyper::header::HeaderValue::from_static("application/json"),
        );
        response
    }
}

/// Turns the messages of a watch into lines of JSON. An outage ends the stream.
fn lines(
    events: mpsc::UnboundedReceiver<Value>,
    faults: watch::Receiver<Fault>,
) -> impl Stream<Item = Result<hyper::body::Frame<Bytes>, BoxError>> {
    futures::stream::unfold((events, faults), |(mut events, mut faults)| async move {
        let message = tokio::select! {
            biased;
            _ = faults.wait_for(|fault| fault.outage != Outage::Off) => return None,
            message = events.recv() => message?,
        };
        let line = Bytes::from(format!("{}\n", json!({"result": message})));
        Some((Ok(hyper::body::Frame::data(line)), (events, faults)))
    })
}

fn routes(shared: &Arc<Shared>) -> Router {
    macro_rules! call {
        ($writes:expr, $operation:expr) => {{
            let shared = Arc::clone(shared);
            post_json(move |request| {
                let writes = $writes(&request);
                let operation = $operation;
                Arc::clone(&shared).serve(writes, move |engine| operation(engine, request))
            })
        }};
    }
    let watch_shared = Arc::clone(shared);
    let counters_shared = Arc::clone(shared);
    let fault_shared = Arc::clone(shared);
    Router::new()
        .route(
            "/v3/kv/range",
            call!(|_: &RangeRequest| false, |engine: &mut Engine, request| {
                engine.range(&request)
            }),
        )
        .route(
            "/v3/kv/put",
            call!(|_: &PutRequest| true, |engine: &mut Engine, request| {
                engine.put(request)
            }),
        )
        .route(
            "/v3/kv/deleterange",
            call!(|_: &RangeRequest| true, |engine: &mut Engine, request| {
                engine.delete_range(&request)
            }),
        )
        .route(
            "/v3/kv/txn",
            call!(TxnRequest::writes, |engine: &mut Engine, request| {
                engine.transact(request)
            }),
        )
        .route(
            "/v3/lease/grant",
            call!(|_: &LeaseRequest| true, |engine: &mut Engine, request| {
                engine.grant(&request)
            }),
        )
        .route(
            "/v3/lease/revoke",
            call!(|_: &LeaseRequest| true, |engine: &mut Engine, request| {
                engine.revoke(&request)
            }),
        )
        .route(
            "/v3/lease/keepalive",
            call!(|_: &LeaseRequest| true, |engine: &mut Engine, request| {
                Ok(engine.keep_alive(&request))
            }),
        )
        .route(
            "/v3/watch",
            post_json(move |request| Arc::clone(&watch_shared).watch(request)),
        )
        .route(
            "/fault",
            post_json(move |fault: Fault| {
                fault_shared.fault.send_replace(fault);
                std::future::ready(json_response(StatusCode::OK, &fault))
            }),
        )
        .route(
            "/counters",
            get(move || {
                std::future::ready(json_response(StatusCode::OK, &counters_shared.counters()))
            }),
        )
}
