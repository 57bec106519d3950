//! Messages between callers and entry instances: JSON over HTTP.

use std::time::Duration;
use std::time::SystemTime;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::protocol::leaf::Hit;
use crate::state::id::IdempotencyKey;
use crate::state::id::InvalidName;
use crate::state::id::RequestId;
use crate::state::id::Route;
use crate::state::id::ServiceName;
use crate::state::id::ShardId;
use crate::state::id::SnapshotId;
use crate::state::id::Tenant;
use crate::state::size::Worth;
use crate::state::time::from_unix_millis;

/// The largest request body that an entry instance reads, in bytes.
pub const MAX_REQUEST_BYTES: usize = 64 * 1024;

/// The longest query text, in bytes.
pub const MAX_QUERY_BYTES: usize = 16 * 1024;

/// The longest deadline that a caller may ask for. The service's own limit is usually shorter.
pub const MAX_DEADLINE: Duration = Duration::from_mins(1);

/// A request as a caller writes it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestBody {
    /// Chosen by the caller, or by the entry instance where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
    /// The tenant that the caller acts for.
    pub tenant: String,
    /// The service called.
    pub service: String,
    /// The kind of request.
    #[serde(default = "default_route")]
    pub route: String,
    /// The shards to ask; absent means all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub scope: Option<Vec<u32>>,
    /// The query text, passed on to backend servers.
    pub query: String,
    /// Milliseconds until the answer is useless; absent means the service's own deadline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// The worth of an answer in time; absent means the service's own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worth: Option<f64>,
    /// Present for a non-idempotent request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotency: Option<IdempotencyBody>,
}

/// Names a non-idempotent request over all its attempts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdempotencyBody {
    /// Chosen by the caller; the same on every attempt.
    pub key: String,
    /// When the caller first sent the request, in milliseconds since the Unix epoch; the same on
    /// every attempt.
    pub issued_at_ms: u64,
}

fn default_route() -> String {
    "search".to_owned()
}

/// A checked request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Identifies the request in logs and on the time line.
    pub request_id: Option<RequestId>,
    /// The tenant that the caller acts for.
    pub tenant: Tenant,
    /// The service called.
    pub service: ServiceName,
    /// The kind of request.
    pub route: Route,
    /// The shards to ask; absent means all.
    pub scope: Option<Vec<ShardId>>,
    /// The query text.
    pub query: Box<str>,
    /// Time until the answer is useless.
    pub deadline: Option<Duration>,
    /// The worth of an answer in time.
    pub worth: Option<Worth>,
    /// Present for a non-idempotent request.
    pub idempotency: Option<Idempotency>,
}

/// A checked idempotency key with the time of its first use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Idempotency {
    /// The key.
    pub key: IdempotencyKey,
    /// When the caller first sent the request.
    pub issued_at: SystemTime,
}

/// Is returned when a request body does not make sense.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum InvalidRequest {
    /// A name has characters that names must not have.
    #[error("{field}: {source}")]
    Name {
        /// The field concerned.
        field: &'static str,
        /// What is wrong with it.
        source: InvalidName,
    },
    /// The request id is not a hexadecimal number.
    #[error("request_id must be up to 32 hexadecimal digits")]
    RequestId,
    /// The query is too long.
    #[error("query must be at most {MAX_QUERY_BYTES} bytes")]
    QueryTooLong,
    /// The deadline is zero or too far away.
    #[error("deadline_ms must lie between 1 and {}", MAX_DEADLINE.as_millis())]
    Deadline,
    /// The worth is negative or not a number.
    #[error("worth must be 0 or above")]
    Worth,
    /// A non-idempotent request names no shard, or more than one.
    #[error("a request with an idempotency key must name exactly one shard in scope")]
    IdempotentScope,
}

impl TryFrom<RequestBody> for Request {
    type Error = InvalidRequest;

    fn try_from(body: RequestBody) -> Result<Self, Self::Error> {
        let name = |field| move |source| InvalidRequest::Name { field, source };
        if body.query.len() > MAX_QUERY_BYTES {
            return Err(InvalidRequest::QueryTooLong);
        }
        let request_id = match body.request_id {
            None => None,
            Some(text) => Some(text.parse().map_err(|_| InvalidRequest::RequestId)?),
        };
        let idempotency = body.idempotency.map(Idempotency::try_from).transpose()?;
        let scope = body.scope.map(checked_scope);
        let one_shard = scope.as_ref().is_some_and(|scope| scope.len() == 1);
        if idempotency.is_some() && !one_shard {
            return Err(InvalidRequest::IdempotentScope);
        }
        Ok(Self {
            request_id,
            tenant: body.tenant.parse().map_err(name("tenant"))?,
            service: body.service.parse().map_err(name("service"))?,
            route: body.route.parse().map_err(name("route"))?,
            scope,
            query: body.query.into(),
            deadline: body.deadline_ms.map(checked_deadline).transpose()?,
            worth: body.worth.map(checked_worth).transpose()?,
            idempotency,
        })
    }
}

impl TryFrom<IdempotencyBody> for Idempotency {
    type Error = InvalidRequest;

    fn try_from(body: IdempotencyBody) -> Result<Self, Self::Error> {
        let field = "idempotency.key";
        let key = body.key.parse();
        Ok(Self {
            key: key.map_err(|source| InvalidRequest::Name { field, source })?,
            issued_at: from_unix_millis(body.issued_at_ms),
        })
    }
}

fn checked_scope(shards: Vec<u32>) -> Vec<ShardId> {
    let mut shards: Vec<ShardId> = shards.into_iter().map(ShardId).collect();
    shards.sort_unstable();
    shards.dedup();
    shards
}

fn checked_deadline(millis: u64) -> Result<Duration, InvalidRequest> {
    let deadline = Duration::from_millis(millis);
    if deadline.is_zero() || deadline > MAX_DEADLINE {
        return Err(InvalidRequest::Deadline);
    }
    Ok(deadline)
}

fn checked_worth(worth: f64) -> Result<Worth, InvalidRequest> {
    if !worth.is_finite() || worth < 0.0 {
        return Err(InvalidRequest::Worth);
    }
    Ok(Worth(worth))
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The answer holds what its coverage says.
    Answered,
    /// No backend server ran the request; it may be sent again.
    NotRun,
    /// Backend servers may or may not have run the request.
    Unknown,
}

/// How many of the shards in scope an answer covers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Shards whose whole answer is part of the merged answer.
    pub answered: u32,
    /// Shards that the request asked for.
    pub in_scope: u32,
}

/// The answer to a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerBody {
    /// The id of the request answered.
    pub request_id: RequestId,
    /// What became of the request.
    pub outcome: Outcome,
    /// Why the request was not answered in full.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<Box<str>>,
    /// The index snapshot that all hits come from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub snapshot: Option<SnapshotId>,
    /// The shards covered.
    pub coverage: Coverage,
    /// The merged hits, best first.
    pub hits: Vec<Hit>,
    /// Milliseconds that the entry instance spent on the request.
    pub server_time_ms: f64,
}
