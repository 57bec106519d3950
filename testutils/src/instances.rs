//! The platform's list of instances, which returns each change only after a lag.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use hyper::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use volo_http::server::route::Router;
use volo_http::server::route::get;

use crate::server::Admission;
use crate::server::Error;
use crate::server::Gate;
use crate::server::Server;
use crate::server::json as json_response;
use crate::server::lock;
use crate::server::post_json;

/// Whether an instance stays on the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It is to keep running.
    Live,
    /// The platform is about to stop it.
    Leaving,
}

/// One instance on the list, in the JSON form of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The address that the platform lists for it.
    pub address: SocketAddr,
    /// Whether it stays on the platform.
    pub state: State,
}

/// The body of `POST /lag`. The lag is in milliseconds.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Lag {
    lag_ms: u64,
}

/// A running list. Dropping it stops its server.
pub struct List {
    server: Server,
    shared: Arc<Mutex<History>>,
}

struct History {
    lag: Duration,
    /// The lists with the times they were set, oldest first. [`Self::visible`] removes those that
    /// readers no longer get.
    versions: VecDeque<(Instant, Vec<Entry>)>,
    reads: u64,
}

impl History {
    /// Returns the newest list that is at least as old as the lag, and removes the older ones. If
    /// no list is old enough, returns the oldest.
    fn visible(&mut self) -> Vec<Entry> {
        let now = Instant::now();
        while let Some((set, _)) = self.versions.get(1)
            && now.duration_since(*set) >= self.lag
        {
            self.versions.pop_front();
        }
        let first = self.versions.front();
        first.map_or_else(Vec::new, |(_, entries)| entries.clone())
    }

    fn set(&mut self, entries: Vec<Entry>) {
        self.visible();
        self.versions.push_back((Instant::now(), entries));
    }
}

impl List {
    /// Starts a list that returns `entries` at once and each later change after `lag`. Port 0 gives
    /// a free port.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        entries: Vec<Entry>,
        lag: Duration,
    ) -> Result<Self, Error> {
        let shared = Arc::new(Mutex::new(History {
            lag,
            versions: VecDeque::from([(Instant::now(), entries)]),
            reads: 0,
        }));
        let gate = Gate::new(Admission::default());
        let server = Server::start(address, gate, routes(&shared)).await?;
        Ok(Self { server, shared })
    }

    /// Returns the address it listens on, with the port chosen if port 0 was given.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the list. Readers get the change after the lag.
    pub fn set(&self, entries: Vec<Entry>) {
        lock(&self.shared).set(entries);
    }

    /// Replaces the lag, also for changes that readers do not get yet.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.shared).lag = lag;
    }

    /// Returns how many times the list was read over HTTP.
    #[must_use]
    pub fn reads(&self) -> u64 {
        lock(&self.shared).reads
    }
}

fn routes(shared: &Arc<Mutex<History>>) -> Router {
    let listed = Arc::clone(shared);
    let changed = Arc::clone(shared);
    let lagging = Arc::clone(shared);
    Router::new()
        .route(
            "/instances",
            get(move || {
                let mut history = lock(&listed);
                history.reads += 1;
                std::future::ready(json_response(StatusCode::OK, &history.visible()))
            }),
        )
        .route(
            "/set",
            post_json(move |entries: Vec<Entry>| {
                let answer = json_response(StatusCode::OK, &entries);
                lock(&changed).set(entries);
                std::future::ready(answer)
            }),
        )
        .route(
            "/lag",
            post_json(move |lag: Lag| {
                lock(&lagging).lag = Duration::from_millis(lag.lag_ms);
                std::future::ready(json_response(StatusCode::OK, &lag))
            }),
        )
}
