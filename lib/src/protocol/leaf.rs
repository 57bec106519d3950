//! Messages between the owner of a leaf and the backend server: JSON over HTTP/1.1.

use serde::Deserialize;
use serde::Serialize;

use crate::state::id::IdempotencyKey;
use crate::state::id::PartitionId;
use crate::state::id::RequestId;
use crate::state::id::Route;
use crate::state::id::ServiceName;
use crate::state::id::ShardId;
use crate::state::id::SnapshotId;
use crate::state::id::VersionName;

/// The path of search requests.
pub const SEARCH_PATH: &str = "/search";

/// The path of cancellations.
pub const CANCEL_PATH: &str = "/cancel";

/// The largest answer of a backend server that an instance reads, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// A snapshot that no server holds. A request for it is answered with
/// [`Status::WrongSnapshot`] and the snapshots held, without being started.
pub const NO_SNAPSHOT: SnapshotId = SnapshotId(0);

/// A request to a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Search {
    /// Names this call; the answer repeats it.
    pub correlation: Box<str>,
    /// The caller's request, for logs.
    pub request_id: RequestId,
    /// The service called.
    pub service: ServiceName,
    /// The version expected to serve it.
    pub version: VersionName,
    /// The kind of request.
    pub route: Route,
    /// The shard asked for.
    pub shard: ShardId,
    /// The pinned snapshot. [`NO_SNAPSHOT`] asks which snapshots the server holds.
    pub snapshot: SnapshotId,
    /// The pinned partition map.
    pub partition: PartitionId,
    /// The query text.
    pub query: Box<str>,
    /// The server does not start the request after this time, in milliseconds since the Unix epoch.
    pub deadline_unix_ms: u64,
    /// Present for a non-idempotent request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotency_key: Option<IdempotencyKey>,
}

/// The answer of a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SearchAnswer {
    /// The correlation of the request answered.
    pub correlation: Box<str>,
    /// The run of the server process.
    pub incarnation: u64,
    /// The shard served.
    pub shard: ShardId,
    /// The snapshot served, or the one asked for if the request was not started.
    pub snapshot: SnapshotId,
    /// The partition map served.
    pub partition: PartitionId,
    /// What became of the request.
    pub status: Status,
    /// Whether the server is cold.
    pub temperature: Temperature,
    /// Whether `hits` holds everything found.
    pub complete: bool,
    /// What was found.
    #[serde(default)]
    pub hits: Vec<Hit>,
    /// The snapshots that the server holds.
    #[serde(default)]
    pub holds: Vec<SnapshotId>,
}

/// One document found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hit {
    /// The document.
    pub document: Box<str>,
    /// Its score; higher is better.
    pub score: u32,
}

/// What became of a request at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// The request ran.
    Ok,
    /// The server is overloaded and did not start the request.
    Shed,
    /// The server is leaving and did not start the request.
    Draining,
    /// The deadline had passed; the server did not start the request.
    NotStarted,
    /// The server does not hold the pinned snapshot or partition map; it did not start the request.
    WrongSnapshot,
    /// The request ran and failed.
    Failed,
}

/// Whether a backend server is in cold start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Temperature {
    /// The server bears little load.
    Cold,
    /// The server bears its full load.
    Warm,
}

/// Asks a backend server to stop working on a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// The call to stop.
    pub correlation: Box<str>,
}
