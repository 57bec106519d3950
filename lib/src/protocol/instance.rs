//! Control messages between instances: JSON-RPC over HTTP with postcard-encoded content.
//!
//! Postcard keeps the gossip small: the same exchange in JSON is several times as long.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::coordination::control::Message;
use crate::coordination::control::Sender;
use crate::coordination::poison;
use crate::protocol::store::Blob;
use crate::state::compression;
use crate::state::hlc::InvalidTimestamp;
use crate::state::hlc::Timestamp;
use crate::state::id::Fingerprint;

/// The largest control message, in bytes, as encoded before compression.
pub const MAX_MESSAGE_BYTES: u32 = 1024 * 1024;

/// Messages of at least this size, in bytes, are compressed. Smaller ones are mostly digests and
/// heartbeats, whose random ids compress too little to be worth the processor time.
const COMPRESSION_THRESHOLD_BYTES: usize = 2048;

/// The methods that an instance offers to other instances.
#[rpc(client, server)]
pub trait Instance {
    /// Delivers a control message. The receiver sends its replies as separate messages.
    #[method(name = "instance_message")]
    async fn message(&self, envelope: Envelope) -> RpcResult<()>;

    /// Asks the owner of a fingerprint how a request with it may run.
    #[method(name = "poison_canary")]
    async fn canary(&self, fingerprint: Fingerprint) -> RpcResult<Admission>;

    /// Reports to the owner of a fingerprint how the canary call ended.
    #[method(name = "poison_canary_finished")]
    async fn canary_finished(&self, fingerprint: Fingerprint, outcome: Outcome) -> RpcResult<()>;
}

/// A control message with the sender's timestamp, so that later events of the receiver get later
/// timestamps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender's hybrid logical timestamp, as `milliseconds.counter`.
    pub at: Box<str>,
    /// The sender and its message, encoded with postcard.
    pub content: Blob,
    /// Whether `content` is compressed.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub compressed: bool,
}

/// The error returned when an [`Envelope`] cannot be encoded or decoded.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum InvalidEnvelope {
    /// The timestamp is malformed.
    #[error(transparent)]
    Timestamp(#[from] InvalidTimestamp),
    /// The content does not decode to a message.
    #[error("the message cannot be decoded: {0}")]
    Content(#[from] postcard::Error),
    /// The content cannot be decompressed.
    #[error("the message cannot be decompressed: {0}")]
    Compression(#[from] compression::Error),
}

impl Envelope {
    /// Encodes a message, and compresses it if that makes it shorter.
    ///
    /// # Errors
    ///
    /// Returns the codec's error, which does not occur for messages built by the control machine.
    pub fn new(at: Timestamp, sender: &Sender, message: &Message) -> Result<Self, InvalidEnvelope> {
        let plain = postcard::to_stdvec(&(sender, message))?;
        let packed =
            (plain.len() >= COMPRESSION_THRESHOLD_BYTES).then(|| compression::compress(&plain));
        let packed = packed.filter(|packed| packed.len() < plain.len());
        Ok(Self {
            at: at.to_string().into(),
            compressed: packed.is_some(),
            content: Blob(packed.unwrap_or(plain)),
        })
    }

    /// Decodes the message.
    ///
    /// # Errors
    ///
    /// Returns an error when the timestamp or the content is malformed.
    pub fn open(&self) -> Result<(Timestamp, Sender, Message), InvalidEnvelope> {
        let at = self.at.parse()?;
        let (sender, message) = if self.compressed {
            let plain = compression::decompress(&self.content.0, MAX_MESSAGE_BYTES as usize)?;
            postcard::from_bytes(&plain)?
        } else {
            postcard::from_bytes(&self.content.0)?
        };
        Ok((at, sender, message))
    }
}

/// Whether and how a request with a fingerprint may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Admission {
    /// The request may run on all its leafs at once.
    KnownGood,
    /// The request must run on one leaf first. A slow call may be hedged.
    RunCanary,
    /// The request must run on one leaf first, without a hedge, because it has crashed a server
    /// before.
    RunLastCanary,
    /// The request must wait until the canary in progress has ended.
    WaitForCanary,
    /// The request must not run: it has crashed too many servers.
    Blocked,
    /// The request must not run now: the owner already tracks its maximum number of fingerprints.
    Full,
}

impl From<poison::Admission> for Admission {
    fn from(admission: poison::Admission) -> Self {
        match admission {
            poison::Admission::KnownGood => Self::KnownGood,
            poison::Admission::RunCanary => Self::RunCanary,
            poison::Admission::WaitForCanary => Self::WaitForCanary,
            poison::Admission::Blocked { .. } => Self::Blocked,
            poison::Admission::Full => Self::Full,
        }
    }
}

/// How a canary call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The server answered.
    Ok,
    /// The connection to the server was lost while the call ran.
    Crashed,
    /// As [`Self::Crashed`], but the canary had sent a second call, whose server may have crashed
    /// too.
    CrashedTwice,
    /// The call failed, but its connection was not lost; or no call was sent.
    Survived,
    /// The effect of the call on the server is not known.
    Unclear,
}

impl From<Outcome> for poison::Outcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Ok => Self::Ok,
            Outcome::Crashed | Outcome::CrashedTwice => Self::Crashed,
            Outcome::Survived => Self::Survived,
            Outcome::Unclear => Self::Unclear,
        }
    }
}
