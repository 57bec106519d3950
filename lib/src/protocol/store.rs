//! Messages of the key-value service: the subset of etcd v3's JSON mapping that the tier uses.
//!
//! Keys and values are base64; 64-bit integers are JSON strings.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error as _;

/// The HTTP path that takes a [`RangeRequest`].
pub const RANGE_PATH: &str = "/v3/kv/range";

/// The HTTP path that takes a [`PutRequest`].
pub const PUT_PATH: &str = "/v3/kv/put";

/// The HTTP path that takes a [`TxnRequest`].
pub const TXN_PATH: &str = "/v3/kv/txn";

/// The largest answer that a client reads, in bytes: room for a value of 1 MB in base64 and the
/// JSON around it.
pub const MAX_ANSWER_BYTES: usize = 2 * 1024 * 1024;

/// Bytes that JSON carries as base64 text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Blob(pub Vec<u8>);

impl Serialize for Blob {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(D::Error::custom)
    }
}

/// A 64-bit integer that JSON carries as a decimal string.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Int64(pub u64);

impl Serialize for Int64 {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        text.parse().map(Self).map_err(D::Error::custom)
    }
}

/// Reads one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeRequest {
    /// The key.
    pub key: Blob,
    /// The answer omits the value if it was last written before this revision.
    #[serde(default)]
    pub min_mod_revision: Int64,
}

/// The answer to a read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeAnswer {
    /// The key with its value; empty if the key is absent or was last written before
    /// `min_mod_revision`.
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    pub key: Blob,
    /// The value.
    #[serde(default)]
    pub value: Blob,
    /// The store's revision at the last write of the key.
    pub mod_revision: Int64,
}

/// Writes one key unconditionally.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRequest {
    /// The key.
    pub key: Blob,
    /// The new value.
    pub value: Blob,
}

/// A transaction: runs `success` if all comparisons hold, otherwise `failure`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnRequest {
    /// The comparisons.
    pub compare: Vec<Compare>,
    /// The operations to run if all comparisons hold.
    pub success: Vec<RequestOp>,
    /// The operations to run if any comparison does not hold.
    pub failure: Vec<RequestOp>,
}

/// A condition on the revision of a key's last write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Compare {
    /// The key.
    pub key: Blob,
    /// What to compare. Always `MOD`, the revision of the last write.
    pub target: Box<str>,
    /// The operator of the comparison. Always `EQUAL`.
    pub result: Box<str>,
    /// The expected revision; 0 for an absent key.
    pub mod_revision: Int64,
}

/// One operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOp {
    /// A write.
    RequestPut(PutRequest),
    /// A read.
    RequestRange(RangeRequest),
}

/// The answer to a transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnAnswer {
    /// Whether all comparisons held. The service omits the field when it is false.
    #[serde(default)]
    pub succeeded: bool,
    /// The header, with the store's revision after the transaction.
    #[serde(default)]
    pub header: Header,
    /// One answer per operation that ran.
    #[serde(default)]
    pub responses: Vec<ResponseOp>,
}

/// The header of every answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The store's revision when it executed the request.
    #[serde(default)]
    pub revision: Int64,
}

/// The answer of one operation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseOp {
    /// Present if the operation was a read.
    #[serde(default)]
    pub response_range: Option<RangeAnswer>,
}
