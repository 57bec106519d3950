//! Requests of callers, and the checks of their answers.

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

/// Returns a query to all shards of [`SEARCH`], the service for idempotent requests.
pub fn search(query: &str) -> Value {
    json!({"tenant": TENANT, "service": SEARCH, "route": "search", "query": query})
}

/// Returns a non-idempotent request to shard 0 of [`LEDGER`].
pub fn entry(key: &str, issued_at_ms: u64, query: &str) -> Value {
    json!({
        "tenant": TENANT, "service": LEDGER, "route": "enter", "query": query, "scope": [0],
        "idempotency": {"key": key, "issued_at_ms": issued_at_ms},
    })
}

/// Sets a random id on the request and returns it.
pub fn identify(body: &mut Value) -> RequestId {
    let id = RequestId(rand::random());
    body["request_id"] = json!(id.to_string());
    id
}

/// Returns the current time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let now = SystemClock.wall();
    camphorhold::state::time::unix_millis(now)
}

/// The body of an answer with its HTTP status.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub answer: AnswerBody,
}

/// Sends a request on a new connection and reads the answer.
///
/// # Errors
///
/// Returns an error if no complete answer arrives.
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

    /// Returns whether the request was answered from all shards in its scope.
    pub fn full(&self) -> bool {
        let coverage = self.answer.coverage;
        self.answered() && coverage.answered == coverage.in_scope
    }

    pub fn reason(&self) -> &str {
        self.answer.reason.as_deref().unwrap_or_default()
    }

    /// Checks that the status fits the outcome, that an answer holds exactly the hits of as many
    /// shards as its coverage states, all from one snapshot, and that any other outcome has no hits
    /// but a reason.
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
        let service = request["service"]
            .as_str()
            .expect("the request has a service");
        let query = request["query"].as_str().expect("the request has a query");
        let snapshot = self.answer.snapshot.expect("the answer has a snapshot").0;
        let mut shards: BTreeMap<u32, Vec<Hit>> = BTreeMap::new();
        for hit in &self.answer.hits {
            let (document, score) = (hit.document.to_string(), hit.score);
            let shard = document
                .split('/')
                .nth(1)
                .expect("the document has a shard");
            let shard = shard.parse().expect("the shard is a number");
            shards
                .entry(shard)
                .or_default()
                .push(Hit { document, score });
        }
        for (shard, hits) in &shards {
            let expected = expected_hits(service, *shard, snapshot, query);
            assert_eq!(*hits, expected, "{self:?}");
        }
        let covered = u32::try_from(shards.len()).expect("the number of shards fits into a u32");
        assert_eq!(covered, self.answer.coverage.answered, "{self:?}");
    }
}
