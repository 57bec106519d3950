//! Control messages between instances: JSON-RPC over HTTP, with postcard inside.
//!
//! Postcard keeps the gossip small: the same exchange as JSON is several times as long.

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

/// The largest control message, in bytes, before compression.
pub const MAX_MESSAGE_BYTES: u32 = 1024 * 1024;

/// Messages from this size on, in bytes, are compressed. Smaller ones are digests and heartbeats,
/// whose random ids compress by less than the processor time is worth.
const COMPRESS_FROM: usize = 2048;

/// The methods that an instance offers to other instances.
#[rpc(client, server)]
pub trait Instance {
    /// Takes a control message. Answers to it come as messages of their own.
    #[method(name = "instance_message")]
    async fn message(&self, envelope: Envelope) -> RpcResult<()>;

    /// Asks the owner of a fingerprint how a request may run.
    #[method(name = "poison_canary")]
    async fn canary(&self, fingerprint: Fingerprint) -> RpcResult<Admission>;

    /// Tells the owner of a fingerprint how the canary call ended.
    #[method(name = "poison_canary_finished")]
    async fn canary_finished(&self, fingerprint: Fingerprint, outcome: Outcome) -> RpcResult<()>;
}

/// A control message with the sender's timestamp, so that the receiver's events come later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender's hybrid logical timestamp, as text.
    pub at: Box<str>,
    /// The sender and its message in postcard.
    pub content: Blob,
    /// Whether the content is compressed.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub compressed: bool,
}

/// Is returned when an envelope cannot be opened.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum InvalidEnvelope {
    /// The timestamp is malformed.
    #[error(transparent)]
    Timestamp(#[from] InvalidTimestamp),
    /// The content is no message.
    #[error("the message cannot be decoded: {0}")]
    Content(#[from] postcard::Error),
    /// The content cannot be decompressed.
    #[error("the message cannot be decompressed: {0}")]
    Compression(#[from] compression::Error),
}

impl Envelope {
    /// Packs a message.
    ///
    /// # Errors
    ///
    /// Returns the codec's error, which does not occur for messages built by the control machine.
    pub fn new(at: Timestamp, sender: &Sender, message: &Message) -> Result<Self, InvalidEnvelope> {
        let plain = postcard::to_stdvec(&(sender, message))?;
        let packed = (plain.len() >= COMPRESS_FROM).then(|| compression::compress(&plain));
        let packed = packed.filter(|packed| packed.len() < plain.len());
        Ok(Self {
            at: at.to_string().into(),
            compressed: packed.is_some(),
            content: Blob(packed.unwrap_or(plain)),
        })
    }

    /// Unpacks the message.
    ///
    /// # Errors
    ///
    /// Returns an error when the envelope is malformed.
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

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Admission {
    /// On all its leafs at once.
    KnownGood,
    /// On one leaf first; a straggling call may be hedged.
    RunCanary,
    /// On one leaf first, and on no other before that has ended: it crashed a server already.
    RunLastCanary,
    /// Not before the canary that is running has ended.
    WaitForCanary,
    /// Not at all: it crashed too many servers.
    Blocked,
    /// Not now: too many requests are being watched.
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
    /// It was answered.
    Ok,
    /// The server's connection was lost while it ran.
    Crashed,
    /// The same, while a second call to another server was in flight or had been.
    CrashedTwice,
    /// It was not answered, and the server survived it.
    Survived,
    /// Nothing is known.
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
