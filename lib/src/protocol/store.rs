//! Messages of the key-value service: etcd v3's JSON mapping, as far as it is used.
//!
//! Keys and values are base64; 64-bit integers are JSON strings.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error as _;

/// The path of reads.
pub const RANGE_PATH: &str = "/v3/kv/range";

/// The path of unconditional writes.
pub const PUT_PATH: &str = "/v3/kv/put";

/// The path of conditional writes.
pub const TXN_PATH: &str = "/v3/kv/txn";

/// The largest answer that a client reads, in bytes: a value of one megabyte in base64 with room
/// for its envelope.
pub const MAX_ANSWER_BYTES: usize = 2 * 1024 * 1024;

/// Bytes that are base64 text in JSON.
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

/// A 64-bit integer that is a string in JSON.
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
    /// Leaves out the value when it was last written before this revision.
    #[serde(default)]
    pub min_mod_revision: Int64,
}

/// The answer to a read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeAnswer {
    /// The value, unless it is absent or older than asked for.
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

/// Writes one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRequest {
    /// The key.
    pub key: Blob,
    /// The new value.
    pub value: Blob,
}

/// Writes one key if its revision is as expected, otherwise reads it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnRequest {
    /// All must hold.
    pub compare: Vec<Compare>,
    /// What to do when they hold.
    pub success: Vec<RequestOp>,
    /// What to do when one of them does not hold.
    pub failure: Vec<RequestOp>,
}

/// Compares the revision of a key's last write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Compare {
    /// The key.
    pub key: Blob,
    /// What to compare: always `MOD`.
    pub target: Box<str>,
    /// How to compare: always `EQUAL`.
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
    /// Whether the comparisons held; absent means false.
    #[serde(default)]
    pub succeeded: bool,
    /// The store's revision.
    #[serde(default)]
    pub header: Header,
    /// The answers of the operations.
    #[serde(default)]
    pub responses: Vec<ResponseOp>,
}

/// The head of every answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The store's revision when the request was carried out.
    #[serde(default)]
    pub revision: Int64,
}

/// The answer of one operation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseOp {
    /// Present for a read.
    #[serde(default)]
    pub response_range: Option<RangeAnswer>,
}
