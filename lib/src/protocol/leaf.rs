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

/// The HTTP path that takes a [`Search`].
pub const SEARCH_PATH: &str = "/search";

/// The HTTP path that takes a [`Cancel`].
pub const CANCEL_PATH: &str = "/cancel";

/// The largest answer of a backend server that an instance reads, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// A snapshot id that no server holds. A server does not start a request for it, and answers with
/// [`Status::WrongSnapshot`] and the list of snapshots that it holds.
pub const NO_SNAPSHOT: SnapshotId = SnapshotId(0);

/// A request to a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Search {
    /// Identifies this call. The server repeats it in its answer.
    pub correlation: Box<str>,
    /// The caller's request, for the server's logs.
    pub request_id: RequestId,
    /// The service called.
    pub service: ServiceName,
    /// The version that the leaf is expected to run.
    pub version: VersionName,
    /// The kind of request.
    pub route: Route,
    /// The shard to search.
    pub shard: ShardId,
    /// The pinned snapshot. [`NO_SNAPSHOT`] asks which snapshots the server holds.
    pub snapshot: SnapshotId,
    /// The pinned partition map.
    pub partition: PartitionId,
    /// The query text.
    pub query: Box<str>,
    /// The server must not start the request after this time, in milliseconds since the Unix epoch.
    pub deadline_unix_ms: u64,
    /// Present for a non-idempotent request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotency_key: Option<IdempotencyKey>,
}

/// The answer of a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SearchAnswer {
    /// The `correlation` of the [`Search`].
    pub correlation: Box<str>,
    /// Identifies the run of the server process; it changes when the server restarts.
    pub incarnation: u64,
    /// The shard served.
    pub shard: ShardId,
    /// The snapshot served, or the requested one if the server did not start the request.
    pub snapshot: SnapshotId,
    /// The partition map served.
    pub partition: PartitionId,
    /// Whether the server ran the request.
    pub status: Status,
    /// Whether the server is in cold start.
    pub temperature: Temperature,
    /// Whether `hits` holds all documents found.
    pub complete: bool,
    /// The documents found.
    #[serde(default)]
    pub hits: Vec<Hit>,
    /// All snapshots that the server holds.
    #[serde(default)]
    pub holds: Vec<SnapshotId>,
}

/// One document found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hit {
    /// The id of the document.
    pub document: Box<str>,
    /// Its score; higher is better.
    pub score: u32,
}

/// Whether a backend server ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// The request ran.
    Ok,
    /// The server is overloaded and did not start the request.
    Shed,
    /// The server is leaving and did not start the request.
    Draining,
    /// The deadline had passed, so the server did not start the request.
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
    /// The server can take only a small load.
    Cold,
    /// The server can take its full load.
    Warm,
}

/// Asks a backend server to stop working on a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// The `correlation` of the [`Search`] to stop.
    pub correlation: Box<str>,
}
