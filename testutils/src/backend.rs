//! Backend servers: several leafs in one process, each on its own port, and one admin port.
//!
//! A call that the stand-in does not start is answered with the status `shed`, `draining`,
//! `not_started` or `wrong_snapshot`. A call to the wrong leaf, and a call that was started and
//! failed, are answered as `failed`.

mod file;
mod leaf;
mod message;
mod model;

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use hyper::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use volo_http::server::route::Router;
use volo_http::server::route::get;

pub use self::file::Error as FileError;
pub use self::file::read as read_file;
pub use self::leaf::Counters;
use self::leaf::Leaf;
pub use self::message::Answer;
pub use self::message::Cancel;
pub use self::message::HITS_PER_ANSWER;
pub use self::message::Health;
pub use self::message::Hit;
pub use self::message::Search;
pub use self::message::Status;
pub use self::message::Temperature;
pub use self::message::expected_hits;
pub use self::model::ColdStart;
pub use self::model::FalseHealth;
pub use self::model::Fault;
pub use self::model::Lifecycle;
pub use self::model::Misbehaviour;
pub use self::model::Model;
pub use self::model::ServiceTime;
use crate::server::Admission;
use crate::server::Error;
use crate::server::Gate;
use crate::server::Server;
use crate::server::json as json_response;
use crate::server::post_json;

/// A leaf to serve, written `127.0.0.1:7001=service/version/shard`. Port 0 gives a free port.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeafConfig {
    /// The address to listen on.
    pub address: SocketAddr,
    /// The service whose calls it runs.
    pub service: String,
    /// The version whose calls it runs.
    pub version: String,
    /// The shard whose calls it runs. Calls to another service, version or shard are answered as
    /// `failed`.
    pub shard: u32,
}

impl fmt::Display for LeafConfig {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            address,
            service,
            version,
            shard,
        } = self;
        write!(formatter, "{address}={service}/{version}/{shard}")
    }
}

/// A text is not of the form `127.0.0.1:7001=service/version/shard`.
#[derive(Debug, thiserror::Error)]
#[error("invalid leaf: expected the form \"127.0.0.1:7001=service/version/shard\"")]
pub struct InvalidLeaf;

impl FromStr for LeafConfig {
    type Err = InvalidLeaf;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (address, leaf) = text.split_once('=').ok_or(InvalidLeaf)?;
        let parts: Vec<&str> = leaf.split('/').collect();
        let [service, version, shard] = parts[..] else {
            return Err(InvalidLeaf);
        };
        Ok(Self {
            address: address.parse().map_err(|_| InvalidLeaf)?,
            service: service.into(),
            version: version.into(),
            shard: shard.parse().map_err(|_| InvalidLeaf)?,
        })
    }
}

/// A change to some leafs, the body of `POST /fault`. It applies to the leafs that match all of the
/// fields `leaf`, `service`, `version` and `shard` that are given.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Change {
    /// Selects the leaf that listens on this address.
    pub leaf: Option<SocketAddr>,
    /// Selects leafs of this service.
    pub service: Option<String>,
    /// Selects leafs of this version.
    pub version: Option<String>,
    /// Selects leafs of this shard.
    pub shard: Option<u32>,
    /// Replaces the lasting faults; an empty fault ends them.
    pub fault: Option<Fault>,
    /// Replaces the snapshots that the leaf holds.
    pub snapshots: Option<Vec<u64>>,
    /// Replaces the partition map.
    pub partition: Option<u64>,
    /// Makes the leaf cold without closing connections or drawing a new incarnation.
    pub turn_cold: bool,
    /// Makes the leaf warm at once, without the calls and the time that it needs otherwise.
    pub turn_warm: bool,
    /// Crashes the leaf: resets its connections, draws a new incarnation and turns it cold.
    pub crash: bool,
}

/// The backend servers to start.
#[derive(Clone, Debug)]
pub struct Config {
    /// The leafs, each with its model.
    pub leafs: Vec<(LeafConfig, Model)>,
    /// The address of the admin port, which serves `/fault` and `/counters`. Port 0 gives a free
    /// port.
    pub admin: SocketAddr,
}

/// Running backend servers. Dropping this stops them and resets their connections.
pub struct Backend {
    servers: Vec<Server>,
    admin: Server,
    leafs: Arc<[Arc<Leaf>]>,
}

impl Backend {
    /// Starts all leafs and the admin port.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be bound. The leafs that were started are stopped
    /// again.
    pub async fn start(config: Config) -> Result<Self, Error> {
        let mut servers = Vec::new();
        let mut leafs = Vec::new();
        for (leaf_config, model) in config.leafs {
            let (listener, address) = crate::server::bind(leaf_config.address).await?;
            let leaf = Leaf::new(leaf_config, address, model);
            let gate = Arc::clone(leaf.gate());
            servers.push(Server::serve(listener, address, gate, leaf.routes()));
            leafs.push(leaf);
        }
        let leafs: Arc<[Arc<Leaf>]> = leafs.into();
        let gate = Gate::new(Admission::default());
        let admin = Server::start(config.admin, gate, admin_routes(&leafs)).await?;
        Ok(Self {
            servers,
            admin,
            leafs,
        })
    }

    /// Returns the addresses of the leafs, in the order of the configuration.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.servers.iter().map(Server::address).collect()
    }

    /// Returns the address of the admin port, with the port chosen if port 0 was given.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Applies a change to the leafs that it selects, as `POST /fault` does.
    ///
    /// # Panics
    ///
    /// Panics when the change selects no leaf, because the test would continue without its fault.
    pub fn change(&self, change: &Change) {
        let selected = apply(&self.leafs, change);
        assert!(selected > 0, "{change:?} selects no leaf");
    }

    /// Returns the counters of each leaf, in the order of the configuration.
    #[must_use]
    pub fn counters(&self) -> Vec<Counters> {
        self.leafs.iter().map(|leaf| leaf.counters()).collect()
    }

    /// Stops all leafs and the admin port. Their ports are free when this returns.
    pub async fn stop(self) {
        for server in self.servers {
            server.stop().await;
        }
        self.admin.stop().await;
    }
}

fn apply(leafs: &[Arc<Leaf>], change: &Change) -> usize {
    let selected = leafs.iter().filter(|leaf| leaf.matches(change));
    selected.map(|leaf| leaf.apply(change)).count()
}

fn admin_routes(leafs: &Arc<[Arc<Leaf>]>) -> Router {
    let changed = Arc::clone(leafs);
    let counted = Arc::clone(leafs);
    Router::new()
        .route(
            "/fault",
            post_json(move |change: Change| {
                let body = json!({"leafs": apply(&changed, &change)});
                std::future::ready(json_response(StatusCode::OK, &body))
            }),
        )
        .route(
            "/counters",
            get(move || {
                let counters: Vec<Counters> = counted.iter().map(|leaf| leaf.counters()).collect();
                std::future::ready(json_response(StatusCode::OK, &counters))
            }),
        )
}
