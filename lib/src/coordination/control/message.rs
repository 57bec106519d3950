//! Messages between instances, and what goes in and out of the control machine.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::SystemTime;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::coordination::currency::Heartbeat;
use crate::coordination::gossip::Delta;
use crate::coordination::gossip::Digest;
use crate::coordination::gossip::Fact;
use crate::coordination::gossip::FactTooLarge;
use crate::coordination::ownership::Release;
use crate::coordination::proposal;
use crate::coordination::proposal::Accepted;
use crate::coordination::proposal::ProposalId;
use crate::coordination::proposal::StoreRevision;
use crate::coordination::proposal::StoredRecord;
use crate::coordination::proposal::SwapOutcome;
use crate::state::file::File;
use crate::state::id::Generation;
use crate::state::id::InstanceId;
use crate::state::id::OperationId;
use crate::state::id::Revision;
use crate::state::id::RolloutId;
use crate::state::id::ServiceName;
use crate::state::id::VersionName;
use crate::state::record::Candidate;
use crate::state::record::FileRef;
use crate::state::record::Record;
use crate::state::rollout::Stage;
use crate::state::view::Currency;
use crate::state::view::View;

/// Who sent a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// The run of the process.
    pub instance: InstanceId,
    /// Where answers go.
    pub address: SocketAddr,
}

/// A record with the store's revision of it, as sent between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentRecord {
    /// The record.
    pub record: Box<Record>,
    /// The store's revision of it.
    pub revision: StoreRevision,
}

/// A part of a file body that the sender lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BodyRequest {
    /// The body.
    pub file: FileRef,
    /// Bytes of the compressed body that the sender has already.
    pub offset: u64,
}

/// A part of a file body as [`compress`](crate::state::compression::compress) made it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BodyPart {
    /// The body.
    pub file: FileRef,
    /// Where the part begins.
    pub offset: u64,
    /// Length of the whole compressed body.
    pub total: u64,
    /// The part.
    pub bytes: Vec<u8>,
}

/// Opens an exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipRequest {
    /// Number of the exchange at its sender.
    pub exchange: u64,
    /// The highest generation that the sender has seen.
    pub generation: Generation,
    /// What facts the sender has.
    pub digest: Digest,
    /// New facts.
    pub delta: Delta,
    /// The file body that the sender lacks.
    pub body: Option<BodyRequest>,
}

/// Answers an exchange. Only answers carry evidence, because only the sender of a request can tell
/// how long the evidence was on its way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipResponse {
    /// Number of the exchange.
    pub exchange: u64,
    /// The highest generation that the sender has seen.
    pub generation: Generation,
    /// The record, if the requester's generation is lower.
    pub record: Option<SentRecord>,
    /// Time since the store was last known to be at `generation`, in milliseconds.
    pub store_age_ms: Option<u32>,
    /// Heartbeats of witnesses.
    pub heartbeats: Vec<Heartbeat>,
    /// Announcements that bind the sender.
    pub open: Vec<ProposalId>,
    /// What facts the sender has.
    pub digest: Digest,
    /// Facts that the requester lacks.
    pub delta: Delta,
    /// The part of the file body that was asked for.
    pub body: Option<BodyPart>,
}

/// A message from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Opens an exchange, which is also a probe.
    GossipRequest(Box<GossipRequest>),
    /// Answers an exchange.
    GossipResponse(Box<GossipResponse>),
    /// Ends an exchange: what the answering side lacks.
    GossipPush {
        /// The record, if the receiver's generation is lower.
        record: Option<SentRecord>,
        /// Facts that the receiver lacks.
        delta: Delta,
    },
    /// Asks the receiver to probe the target.
    ProbeRequest {
        /// Number of the probe at its sender.
        probe: u64,
        /// Whom to probe.
        target: SocketAddr,
    },
    /// Probes the receiver for the requester.
    Ping {
        /// Number of the probe at the requester.
        probe: u64,
        /// Who wants to know.
        requester: SocketAddr,
    },
    /// Answers [`Message::Ping`].
    Pong {
        /// Number of the probe at the requester.
        probe: u64,
        /// Who wants to know.
        requester: SocketAddr,
    },
    /// Tells the requester that the target answered.
    ProbeResponse {
        /// Number of the probe.
        probe: u64,
        /// Who answered at the target address.
        target: InstanceId,
    },
    /// Asks a witness to promise a generation.
    Announce {
        /// The announcement.
        proposal: ProposalId,
        /// The generation.
        generation: Generation,
    },
    /// The sender reports the generation as promised from now on.
    Promise {
        /// The announcement.
        proposal: ProposalId,
    },
    /// The sender does not promise, because it has seen the generation.
    Refuse {
        /// The announcement.
        proposal: ProposalId,
    },
    /// Frees the receiver of a promise.
    Retract {
        /// The announcement.
        proposal: ProposalId,
    },
    /// Hands leafs over.
    Release(Release),
    /// Asks to be added to the roster.
    Join(Candidate),
    /// Asks to be removed from the roster.
    Leave {
        /// Whom to remove.
        instance: InstanceId,
    },
}

/// Numbers a request to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRequestId(pub u64);

/// The store could not be read or written, or did not answer in time.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the store did not answer")]
pub struct StoreFailure;

/// Something that happened to the machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// Answers [`Action::ReadStore`]: `None` if no record is newer than asked for.
    StoreRead {
        /// The request.
        request: StoreRequestId,
        /// The record.
        result: Result<Option<StoredRecord>, StoreFailure>,
    },
    /// Answers [`Action::ReadFileBody`].
    FileRead {
        /// The request.
        request: StoreRequestId,
        /// The body.
        result: Result<Option<Arc<str>>, StoreFailure>,
    },
    /// Answers [`Action::WriteFileBody`].
    FileWritten {
        /// The request.
        request: StoreRequestId,
        /// Whether it was written.
        result: Result<(), StoreFailure>,
    },
    /// Answers [`Action::CompareAndSwap`].
    StoreWritten {
        /// The request.
        request: StoreRequestId,
        /// The outcome.
        swapped: SwapOutcome,
    },
    /// A message arrived.
    Message {
        /// Who sent it.
        from: Sender,
        /// The message.
        message: Message,
    },
    /// The platform's list of instances, leaving ones included.
    InstanceList(BTreeSet<SocketAddr>),
    /// Operators apply a file.
    Apply {
        /// Identifies the attempt; asking again with the same id never applies twice.
        operation: OperationId,
        /// The text.
        text: Arc<str>,
        /// The text, parsed.
        file: Arc<File>,
        /// The revision that the operators saw.
        expected: Option<Revision>,
    },
    /// The driver moves a rollout to a stage.
    ProposeRollout {
        /// Identifies the attempt.
        operation: OperationId,
        /// The rollout.
        rollout: RolloutId,
        /// The stage that the driver saw.
        expected: Option<Stage>,
        /// The stage to reach.
        stage: Stage,
    },
    /// Writes a revocation to the record.
    ProposeRevocation {
        /// Identifies the attempt.
        operation: OperationId,
        /// The service.
        service: ServiceName,
        /// Its version.
        version: VersionName,
    },
    /// This instance observed something that all should know.
    FactObserved(Fact),
    /// Leave the roster.
    Shutdown,
}

/// Something that the machine asks for. Actions are carried out in order.
#[derive(Clone, Debug)]
pub enum Action {
    /// Read the record, if its revision in the store is higher than `newer_than`.
    ReadStore {
        /// The request.
        request: StoreRequestId,
        /// The highest revision already known.
        newer_than: StoreRevision,
    },
    /// Read a file body.
    ReadFileBody {
        /// The request.
        request: StoreRequestId,
        /// The body; both parts of the name belong to its key.
        file: FileRef,
    },
    /// Write a file body.
    WriteFileBody {
        /// The request.
        request: StoreRequestId,
        /// The body; both parts of the name belong to its key.
        file: FileRef,
        /// The text.
        text: Arc<str>,
    },
    /// Write the record if the store's revision is the expected one.
    CompareAndSwap {
        /// The request.
        request: StoreRequestId,
        /// The expected revision; 0 if the key must not exist.
        expected: StoreRevision,
        /// The record.
        record: Arc<Record>,
    },
    /// Send a message. Loss and delay are permitted.
    SendTo {
        /// Whom to send to.
        address: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Show traffic threads a new view.
    PublishView(Arc<View>),
    /// Tell whoever asked how an operation ended.
    OperationFinished {
        /// The operation.
        operation: OperationId,
        /// How it ended.
        result: Result<Accepted, proposal::Error>,
    },
    /// Note an event.
    Event {
        /// Wall-clock time.
        at: SystemTime,
        /// What happened.
        event: Event,
    },
}

/// What is worth a line on the time line.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A generation came into force here.
    Applied(Generation),
    /// This instance was removed while alive and asks to join under a new id.
    Removed {
        /// The id that was removed.
        old: InstanceId,
        /// The id that takes its place.
        new: InstanceId,
    },
    /// The kind of currency changed.
    Currency(Currency),
    /// A file in force does not parse here, so it cannot be applied.
    FileRejected(FileRef),
    /// A fact was not taken.
    FactRejected(FactTooLarge),
}
