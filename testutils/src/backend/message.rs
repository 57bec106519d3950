//! The protocol between the owner of a leaf and the backend server.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

/// The hits in each whole answer.
pub const HITS_PER_ANSWER: u32 = 3;

/// Scores lie below this bound, so that they are exact as integers and as floating point numbers.
const SCORE_BOUND: u64 = 1_000_000;

/// The body of `POST /search`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Search {
    /// The caller's number for the call; any JSON value, returned as it came.
    pub correlation: Value,
    /// The id of the whole request; any JSON value.
    #[serde(default)]
    pub request_id: Value,
    /// The service asked for.
    pub service: String,
    /// The version asked for.
    pub version: String,
    /// The route of the request.
    #[serde(default)]
    pub route: String,
    /// The shard asked for.
    pub shard: u32,
    /// The index snapshot to answer from.
    pub snapshot: u64,
    /// The partition map that the caller uses.
    pub partition: u64,
    /// The query.
    pub query: String,
    /// The time after which the request must not be started, in milliseconds since the Unix epoch.
    pub deadline_unix_ms: u64,
    /// The key under which a non-idempotent request is executed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotency_key: Option<String>,
}

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// It was run.
    Ok,
    /// It was not started, for lack of capacity.
    Shed,
    /// It was not started, because the server is about to leave.
    Draining,
    /// It was not started, because its deadline had passed or it was cancelled.
    NotStarted,
    /// It was not started, because the server does not hold the snapshot or partition map.
    WrongSnapshot,
    /// It was started and failed.
    Failed,
}

/// Whether the server has warmed up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Temperature {
    /// It bears only a few requests at once.
    Cold,
    /// It bears as many requests as it has slots.
    Warm,
}

/// One document found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hit {
    /// The document, unique over shards and snapshots.
    pub document: String,
    /// The score; higher is better.
    pub score: u32,
}

/// The answer to `POST /search`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The number given in the call.
    pub correlation: Value,
    /// The server's incarnation.
    pub incarnation: u64,
    /// The shard that the leaf holds.
    pub shard: u32,
    /// The snapshot that the hits come from, or the one asked for if there are none.
    pub snapshot: u64,
    /// The partition map in force when the answer was made.
    pub partition: u64,
    /// What became of the call.
    pub status: Status,
    /// Whether the server has warmed up.
    pub temperature: Temperature,
    /// Whether the hits are all there are.
    pub complete: bool,
    /// The hits, best first.
    pub hits: Vec<Hit>,
    /// The snapshots that the server holds.
    pub holds: Vec<u64>,
}

/// The body of `POST /cancel`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Cancel {
    /// The number given in the call.
    pub correlation: Value,
    /// The id of the whole request. Correlations are only unique per caller, so with several
    /// callers on one leaf the id is needed to cancel one call only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<Value>,
}

/// The answer to `GET /health`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Health {
    /// The server's incarnation.
    pub incarnation: u64,
    /// The calls being worked on and waiting, as a share of the slots.
    pub load: f64,
    /// `serving` or `draining`.
    pub state: String,
}

/// Returns the hits of a whole answer. Callers use it to verify answers.
#[must_use]
pub fn expected_hits(service: &str, shard: u32, snapshot: u64, query: &str) -> Vec<Hit> {
    let mut hits: Vec<Hit> = (0..HITS_PER_ANSWER)
        .map(|number| {
            let text = format!("{service}\0{shard}\0{snapshot}\0{number}\0{query}");
            let hash = xxh3_64(text.as_bytes());
            let score = u32::try_from(hash % SCORE_BOUND).unwrap_or(u32::MAX);
            let document = format!("{service}/{shard}/{snapshot}/{hash:016x}");
            Hit { document, score }
        })
        .collect();
    hits.sort_by(|a, b| b.score.cmp(&a.score).then(a.document.cmp(&b.document)));
    hits
}
