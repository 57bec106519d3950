//! The protocol between a leaf and the instance that owns it.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

/// The number of hits in each complete answer.
pub const HITS_PER_ANSWER: u32 = 3;

/// Scores lie below this bound, so that integers and floating-point numbers represent them exactly.
const SCORE_BOUND: u64 = 1_000_000;

/// The body of `POST /search`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Search {
    /// The caller's number for the call: any JSON value. The answer contains it unchanged.
    pub correlation: Value,
    /// The id of the request that the call is part of: any JSON value.
    #[serde(default)]
    pub request_id: Value,
    /// The service that the call is for; another one than the leaf's is answered with `failed`.
    pub service: String,
    /// The version that the call is for; another one than the leaf's is answered with `failed`.
    pub version: String,
    /// The route of the request. It is only counted and compared with the route of a misbehaviour.
    #[serde(default)]
    pub route: String,
    /// The shard that the call is for; another one than the leaf's is answered with `failed`.
    pub shard: u32,
    /// The index snapshot to answer from.
    pub snapshot: u64,
    /// The version of the partition map that the caller uses.
    pub partition: u64,
    /// The query text. It determines the hits, and may contain the text that crashes the leaf.
    pub query: String,
    /// The time from which the call must not be started, in milliseconds since the Unix epoch.
    pub deadline_unix_ms: u64,
    /// The key under which a non-idempotent request is executed. The leaf counts the executions of
    /// each key but does not prevent a second one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotency_key: Option<String>,
}

/// The outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// It was run to its end.
    Ok,
    /// It was not started, because no slot became free or because of a fault.
    Shed,
    /// It was not started, because the server is draining.
    Draining,
    /// It was not started, because its deadline had passed or it was cancelled.
    NotStarted,
    /// It was not started, because the server does not hold the snapshot or partition map.
    WrongSnapshot,
    /// It was started and failed, or it named another service, version or shard and was not
    /// started.
    Failed,
}

/// Whether the server has warmed up after a start or a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Temperature {
    /// It can run only a few calls at once without slowing down or crashing.
    Cold,
    /// It can run as many calls at once as it has slots.
    Warm,
}

/// One document found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hit {
    /// The id of the document, unique over services, shards and snapshots.
    pub document: String,
    /// The score, from 0 to 999,999; higher is better.
    pub score: u32,
}

/// The answer to `POST /search`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The number given in the call.
    pub correlation: Value,
    /// The incarnation of the server when the answer was made.
    pub incarnation: u64,
    /// The shard that the leaf holds.
    pub shard: u32,
    /// The snapshot named in the call, which the hits come from if there are any.
    pub snapshot: u64,
    /// The version of the server's partition map when the answer was made, which can differ from
    /// that of the call.
    pub partition: u64,
    /// The outcome of the call.
    pub status: Status,
    /// Whether the server had warmed up when the answer was made.
    pub temperature: Temperature,
    /// Whether the answer contains all hits; true only with the status `ok`.
    pub complete: bool,
    /// The hits, best first; empty unless the answer is complete.
    pub hits: Vec<Hit>,
    /// The snapshots that the server holds when the answer is made.
    pub holds: Vec<u64>,
}

/// The body of `POST /cancel`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Cancel {
    /// The correlation of the call to cancel.
    pub correlation: Value,
    /// The request id of the call to cancel; without it, all calls with the correlation are
    /// cancelled. Correlations are only unique per caller, so with several callers on one leaf the
    /// id is needed to cancel one call only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<Value>,
}

/// The answer to `GET /health`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Health {
    /// The present incarnation of the server.
    pub incarnation: u64,
    /// The calls running or waiting for a slot, divided by the number of slots. It exceeds 1 when
    /// calls wait. A fault can replace it by a false value.
    pub load: f64,
    /// `serving` or `draining`. A fault can replace it by a false value.
    pub state: String,
}

/// Returns the hits of a complete answer, best first. Callers use it to verify answers.
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
