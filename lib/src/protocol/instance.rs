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
use crate::state::hlc::InvalidTimestamp;
use crate::state::hlc::Timestamp;
use crate::state::id::Fingerprint;

/// The largest control message, in bytes. A record with 1,900 members has about 100 KB.
pub const MAX_MESSAGE_BYTES: u32 = 1024 * 1024;

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
}

impl Envelope {
    /// Packs a message.
    ///
    /// # Errors
    ///
    /// Returns the codec's error, which does not occur for messages built by the control machine.
    pub fn new(at: Timestamp, sender: &Sender, message: &Message) -> Result<Self, InvalidEnvelope> {
        let content = postcard::to_stdvec(&(sender, message))?;
        Ok(Self {
            at: at.to_string().into(),
            content: Blob(content),
        })
    }

    /// Unpacks the message.
    ///
    /// # Errors
    ///
    /// Returns an error when the envelope is malformed.
    pub fn open(&self) -> Result<(Timestamp, Sender, Message), InvalidEnvelope> {
        let at = self.at.parse()?;
        let (sender, message) = postcard::from_bytes(&self.content.0)?;
        Ok((at, sender, message))
    }
}

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Admission {
    /// On all its leafs at once.
    KnownGood,
    /// On one leaf first.
    RunCanary,
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
    /// It was not answered, and the server survived it.
    Survived,
    /// Nothing is known.
    Unclear,
}

impl From<Outcome> for poison::Outcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Ok => Self::Ok,
            Outcome::Crashed => Self::Crashed,
            Outcome::Survived => Self::Survived,
            Outcome::Unclear => Self::Unclear,
        }
    }
}
