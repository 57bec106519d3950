//! Sends requests as callers do and checks the answers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use camphorhold::protocol::caller;
use camphorhold::protocol::caller::AnswerBody;
use camphorhold::protocol::caller::RequestBody;
use camphorhold::protocol::leaf::Hit;
use camphorhold_testutils::backend::expected_hits;
use camphorhold_testutils::client;
use camphorhold_testutils::client::Connection;
use serde_json::Value;

use crate::sample::Outcome;

/// The path on which instances take requests of callers.
const QUERY_PATH: &str = "/v1/query";

/// A request without an answer for this time counts as lost. Longer than every deadline.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// The result of one request, as its caller sees it.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The class of the result.
    pub outcome: Outcome,
    /// The body of the answer; absent if there was no answer or its body was invalid.
    pub body: Option<AnswerBody>,
}

/// Idle connections to instances.
#[derive(Default)]
pub struct Connections {
    idle: Mutex<BTreeMap<SocketAddr, Vec<Connection>>>,
}

impl Connections {
    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(&address)?.pop()
    }

    fn put(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.entry(address).or_default().push(connection);
    }

    /// Sends a request over an idle connection, or a new one if there is none, and keeps the
    /// connection open unless the request was lost.
    pub async fn send(&self, address: SocketAddr, request: &RequestBody) -> Reply {
        let connection = match self.take(address) {
            Some(connection) => Ok(connection),
            None => Connection::open(address).await,
        };
        let Ok(mut connection) = connection else {
            return Reply::without_body(Outcome::Refused);
        };
        let reply = post(&mut connection, request).await;
        if reply.outcome != Outcome::Lost {
            self.put(address, connection);
        }
        reply
    }
}

/// Sends a request over a new connection and closes it afterwards.
pub async fn send_once(address: SocketAddr, request: &RequestBody) -> Reply {
    match Connection::open(address).await {
        Ok(mut connection) => post(&mut connection, request).await,
        Err(_) => Reply::without_body(Outcome::Refused),
    }
}

impl Reply {
    fn without_body(outcome: Outcome) -> Self {
        Self {
            outcome,
            body: None,
        }
    }
}

async fn post(connection: &mut Connection, request: &RequestBody) -> Reply {
    let Ok(body) = serde_json::to_value(request) else {
        return Reply::without_body(Outcome::Rejected);
    };
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, connection.post(QUERY_PATH, &body)).await;
    match answer {
        Ok(Ok((status, body))) => read(status, body),
        Ok(Err(client::Error::Connect(_))) => Reply::without_body(Outcome::Refused),
        Ok(Err(_)) | Err(_) => Reply::without_body(Outcome::Lost),
    }
}

fn read(status: u16, body: Value) -> Reply {
    let Ok(body) = serde_json::from_value::<AnswerBody>(body) else {
        return Reply::without_body(Outcome::Rejected);
    };
    let outcome = match (status, body.outcome) {
        (200, caller::Outcome::Answered) => Outcome::Answered,
        (503, caller::Outcome::NotRun) => Outcome::NotRun,
        (504, caller::Outcome::Unknown) => Outcome::Unknown,
        _ => Outcome::Rejected,
    };
    Reply {
        outcome,
        body: Some(body),
    }
}

/// Checks that an answer has exactly the expected hits of each shard that it covers, comes from one
/// snapshot and states its coverage correctly. Returns a description of the first error found.
pub fn check(request: &RequestBody, shards: u32, answer: &AnswerBody) -> Option<String> {
    let in_scope = request.scope.as_ref().map_or(shards as usize, Vec::len);
    if answer.coverage.in_scope as usize != in_scope {
        return Some(format!(
            "the answer states {} shards in scope",
            answer.coverage.in_scope
        ));
    }
    let Some(snapshot) = answer.snapshot else {
        return (!answer.hits.is_empty()).then(|| "hits without a snapshot".to_owned());
    };
    let mut by_shard: BTreeMap<u32, BTreeSet<(&str, u32)>> = BTreeMap::new();
    for hit in &answer.hits {
        let Some(shard) = shard(hit, &request.service, snapshot.0) else {
            return Some(format!("{} is not from snapshot {snapshot}", hit.document));
        };
        if !by_shard
            .entry(shard)
            .or_default()
            .insert((&hit.document, hit.score))
        {
            return Some(format!("{} is listed twice", hit.document));
        }
    }
    for (shard, hits) in &by_shard {
        let expected = expected_hits(&request.service, *shard, snapshot.0, &request.query);
        let expected: BTreeSet<(&str, u32)> = expected
            .iter()
            .map(|hit| (hit.document.as_str(), hit.score))
            .collect();
        if *hits != expected {
            return Some(format!(
                "the hits of shard {shard} are not the expected ones"
            ));
        }
    }
    let covered = by_shard.len();
    (covered != answer.coverage.answered as usize).then(|| {
        let stated = answer.coverage.answered;
        format!("coverage is stated as {stated} shards, but the hits are from {covered}")
    })
}

/// Returns the shard of a hit, or nothing if its document is of another service or snapshot.
fn shard(hit: &Hit, service: &str, snapshot: u64) -> Option<u32> {
    let mut parts = hit.document.split('/');
    let right_service = parts.next()? == service;
    let shard = parts.next()?.parse().ok()?;
    let right_snapshot = parts.next()?.parse() == Ok(snapshot);
    (right_service && right_snapshot).then_some(shard)
}
