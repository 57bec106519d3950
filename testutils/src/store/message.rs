//! The requests and errors of etcd v3's JSON mapping.
//!
//! As with etcd's gateway, requests may name fields in snake case or in camel case, and 64-bit
//! integers may be strings or numbers.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use hyper::StatusCode;
use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error as _;
use serde_json::json;
use volo_http::response::Response;

/// Bytes written in base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Base64(pub(super) Vec<u8>);

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(D::Error::custom)
    }
}

pub(super) fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// A 64-bit integer, written as a string or a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Int64(pub(super) i64);

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Raw {
            Number(i64),
            Text(String),
        }
        match Raw::deserialize(deserializer)? {
            Raw::Number(number) => Ok(Self(number)),
            Raw::Text(text) => text.parse().map(Self).map_err(D::Error::custom),
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct RangeRequest {
    pub key: Base64,
    #[serde(alias = "rangeEnd")]
    pub range_end: Base64,
    pub limit: Int64,
    pub revision: Int64,
    #[serde(alias = "keysOnly")]
    pub keys_only: bool,
    #[serde(alias = "countOnly")]
    pub count_only: bool,
    #[serde(alias = "minModRevision")]
    pub min_mod_revision: Int64,
    #[serde(alias = "maxModRevision")]
    pub max_mod_revision: Int64,
    #[serde(alias = "minCreateRevision")]
    pub min_create_revision: Int64,
    #[serde(alias = "maxCreateRevision")]
    pub max_create_revision: Int64,
    #[serde(alias = "prevKv")]
    pub prev_kv: bool,
    #[serde(alias = "sortOrder")]
    pub sort_order: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct PutRequest {
    pub key: Base64,
    pub value: Base64,
    pub lease: Int64,
    #[serde(alias = "prevKv")]
    pub prev_kv: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct TxnRequest {
    pub compare: Vec<Compare>,
    pub success: Vec<Operation>,
    pub failure: Vec<Operation>,
}

impl TxnRequest {
    /// Returns whether either branch can change the store.
    pub(super) fn writes(&self) -> bool {
        let mut operations = self.success.iter().chain(&self.failure);
        operations.any(|operation| !matches!(operation, Operation::Range(_)))
    }
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(super) enum Relation {
    #[default]
    Equal,
    Greater,
    Less,
    NotEqual,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(super) enum Target {
    #[default]
    Version,
    Create,
    Mod,
    Value,
    Lease,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Compare {
    pub result: Relation,
    pub target: Target,
    pub key: Base64,
    #[serde(alias = "rangeEnd")]
    pub range_end: Base64,
    pub version: Int64,
    #[serde(alias = "createRevision")]
    pub create_revision: Int64,
    #[serde(alias = "modRevision")]
    pub mod_revision: Int64,
    pub lease: Int64,
    pub value: Base64,
}

/// One operation of a transaction.
#[derive(Debug, Deserialize)]
pub(super) enum Operation {
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(RangeRequest),
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    DeleteRange(RangeRequest),
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct LeaseRequest {
    #[serde(rename = "ID")]
    pub id: Int64,
    #[serde(rename = "TTL")]
    pub ttl: Int64,
}

#[derive(Debug, Deserialize)]
pub(super) struct WatchRequest {
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreate,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchCreate {
    pub key: Base64,
    #[serde(alias = "rangeEnd")]
    pub range_end: Base64,
    #[serde(alias = "startRevision")]
    pub start_revision: Int64,
}

/// Why a request is refused. The texts and codes are etcd's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum RequestError {
    #[error("etcdserver: key is not provided")]
    EmptyKey,
    #[error("etcdserver: request is too large")]
    TooLarge,
    #[error("etcdserver: duplicate key given in txn request")]
    DuplicateKey,
    #[error("etcdserver: requested lease not found")]
    LeaseNotFound,
    #[error("etcdserver: lease already exists")]
    LeaseExists,
    #[error("etcdserver: mvcc: required revision is a future revision")]
    FutureRevision,
    #[error("this stand-in does not support the request")]
    Unsupported,
}

impl RequestError {
    pub(super) fn response(self) -> Response {
        let (status, code) = match self {
            Self::EmptyKey | Self::TooLarge | Self::DuplicateKey => (StatusCode::BAD_REQUEST, 3),
            Self::LeaseNotFound => (StatusCode::NOT_FOUND, 5),
            Self::LeaseExists => (StatusCode::PRECONDITION_FAILED, 9),
            Self::FutureRevision => (StatusCode::BAD_REQUEST, 11),
            Self::Unsupported => (StatusCode::NOT_IMPLEMENTED, 12),
        };
        let message = self.to_string();
        let body = json!({"error": message, "message": message, "code": code});
        crate::server::json(status, &body)
    }
}
