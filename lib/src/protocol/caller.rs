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

/// The longest deadline that a caller may ask for. The service's limit is usually shorter.
pub const MAX_DEADLINE: Duration = Duration::from_mins(1);

/// A request as a caller sends it, before it is validated.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestBody {
    /// Up to 32 hexadecimal digits. If absent, the entry instance assigns an id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
    /// The tenant that the caller acts for.
    pub tenant: String,
    /// The service called.
    pub service: String,
    /// The kind of request.
    #[serde(default = "default_route")]
    pub route: String,
    /// The numbers of the shards to query; absent means all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub scope: Option<Vec<u32>>,
    /// The query text, passed unchanged to backend servers.
    pub query: String,
    /// The time limit of the request, in milliseconds from its arrival; absent means the service's
    /// deadline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// The worth of an answer within the deadline; absent means the service's default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worth: Option<f64>,
    /// Present for a non-idempotent request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotency: Option<IdempotencyBody>,
}

/// Identifies a non-idempotent request across all its attempts.
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

/// A validated request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Identifies the request in logs and on the timeline; absent if the caller chose no id.
    pub request_id: Option<RequestId>,
    /// The tenant that the caller acts for.
    pub tenant: Tenant,
    /// The service called.
    pub service: ServiceName,
    /// The kind of request.
    pub route: Route,
    /// The shards to query, sorted and without duplicates; absent means all.
    pub scope: Option<Vec<ShardId>>,
    /// The query text.
    pub query: Box<str>,
    /// The time limit from the arrival of the request, at most [`MAX_DEADLINE`]; absent means the
    /// service's deadline.
    pub deadline: Option<Duration>,
    /// The worth of an answer within the deadline; absent means the service's default.
    pub worth: Option<Worth>,
    /// Present for a non-idempotent request.
    pub idempotency: Option<Idempotency>,
}

/// A validated idempotency key with the time of its first use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Idempotency {
    /// The key.
    pub key: IdempotencyKey,
    /// When the caller first sent the request.
    pub issued_at: SystemTime,
}

/// The error returned when a request body is invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum InvalidRequest {
    /// A name is empty, too long or has characters that are not permitted.
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
    /// The worth is negative, infinite or not a number.
    #[error("worth must be 0 or above")]
    Worth,
    /// A non-idempotent request does not name exactly one shard.
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

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran. `coverage` says how many shards the answer covers.
    Answered,
    /// No backend server ran the request, so the caller may send it again.
    NotRun,
    /// Backend servers may or may not have run the request.
    Unknown,
}

/// How many of the shards in scope an answer covers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// The number of shards whose complete answer was merged.
    pub answered: u32,
    /// The number of shards that the request asked for.
    pub in_scope: u32,
}

/// The answer to a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerBody {
    /// The id of the request answered.
    pub request_id: RequestId,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Why there is no answer; absent if `outcome` is [`Outcome::Answered`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<Box<str>>,
    /// The index snapshot that all hits come from; absent unless `outcome` is
    /// [`Outcome::Answered`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub snapshot: Option<SnapshotId>,
    /// How many of the shards in scope the answer covers.
    pub coverage: Coverage,
    /// The merged hits, by descending score, then by document.
    pub hits: Vec<Hit>,
    /// Milliseconds that the instance which ran the query spent on the request; 0 if the answer does
    /// not come from a query.
    pub server_time_ms: f64,
}
