//! Queries and the check of their answers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use camphorhold::protocol::caller::AnswerBody;
use camphorhold::protocol::caller::Outcome;
use camphorhold::state::id::RequestId;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold_testutils::backend::Hit;
use camphorhold_testutils::backend::expected_hits;
use camphorhold_testutils::client;
use serde_json::Value;
use serde_json::json;

use super::file::LEDGER;
use super::file::SEARCH;
use super::file::TENANT;

/// A query of the service for idempotent requests, to all shards.
pub fn search(query: &str) -> Value {
    json!({"tenant": TENANT, "service": SEARCH, "route": "search", "query": query})
}

/// A non-idempotent request.
pub fn entry(key: &str, issued_at_ms: u64, query: &str) -> Value {
    json!({
        "tenant": TENANT, "service": LEDGER, "route": "enter", "query": query, "scope": [0],
        "idempotency": {"key": key, "issued_at_ms": issued_at_ms},
    })
}

/// Adds a request id, and returns it.
pub fn identify(body: &mut Value) -> RequestId {
    let id = RequestId(rand::random());
    body["request_id"] = json!(id.to_string());
    id
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let now = SystemClock.wall();
    camphorhold::state::time::unix_millis(now)
}

/// An answer with its HTTP status.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub answer: AnswerBody,
}

/// Sends a request and reads the answer.
///
/// # Errors
///
/// Returns an error when there is no answer.
pub async fn send(caller: SocketAddr, body: &Value) -> Result<Reply, client::Error> {
    let (status, answer) = client::post(caller, "/v1/query", body).await?;
    let answer = serde_json::from_value(answer.clone())
        .unwrap_or_else(|error| panic!("{status} with {answer}: {error}"));
    Ok(Reply { status, answer })
}

impl Reply {
    pub fn answered(&self) -> bool {
        self.answer.outcome == Outcome::Answered
    }

    /// Tells whether the answer covers all shards in scope.
    pub fn full(&self) -> bool {
        let coverage = self.answer.coverage;
        self.answered() && coverage.answered == coverage.in_scope
    }

    pub fn reason(&self) -> &str {
        self.answer.reason.as_deref().unwrap_or_default()
    }

    /// Checks that status and outcome agree, and that the hits are exactly those of as many shards
    /// in scope as the coverage says, all from one snapshot.
    pub fn check(&self, request: &Value) {
        let expected = match self.answer.outcome {
            Outcome::Answered => 200,
            Outcome::NotRun => 503,
            Outcome::Unknown => 504,
        };
        assert_eq!(self.status, expected, "{self:?}");
        if !self.answered() {
            assert!(self.answer.hits.is_empty(), "{self:?}");
            assert!(!self.reason().is_empty(), "{self:?}");
            return;
        }
        let service = request["service"].as_str().expect("a service");
        let query = request["query"].as_str().expect("a query");
        let snapshot = self.answer.snapshot.expect("a snapshot").0;
        let mut shards: BTreeMap<u32, Vec<Hit>> = BTreeMap::new();
        for hit in &self.answer.hits {
            let (document, score) = (hit.document.to_string(), hit.score);
            let shard = document.split('/').nth(1).expect("a shard");
            let shard = shard.parse().expect("a number");
            shards
                .entry(shard)
                .or_default()
                .push(Hit { document, score });
        }
        for (shard, hits) in &shards {
            let expected = expected_hits(service, *shard, snapshot, query);
            assert_eq!(*hits, expected, "{self:?}");
        }
        let covered = u32::try_from(shards.len()).expect("few shards");
        assert_eq!(covered, self.answer.coverage.answered, "{self:?}");
    }
}
