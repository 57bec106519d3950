//! Messages between instances, and the inputs and actions of the control state machine.

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

/// The sender of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// The sender's instance id, which is new at each start of the process.
    pub instance: InstanceId,
    /// The address to which the receiver sends answers.
    pub address: SocketAddr,
}

/// A record and its store revision, as sent between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentRecord {
    /// The highest record that the sender has seen.
    pub record: Box<Record>,
    /// The store's modification revision of the record.
    pub revision: StoreRevision,
}

/// Requests the part of a file body that begins at an offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BodyRequest {
    /// The file whose body the sender lacks.
    pub file: FileRef,
    /// Bytes of the compressed body that the sender has already received.
    pub offset: u64,
}

/// A part of a file body as compressed by [`compress`](crate::state::compression::compress).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BodyPart {
    /// The file to which the body belongs.
    pub file: FileRef,
    /// Offset of the part in the compressed body, in bytes.
    pub offset: u64,
    /// Length of the complete compressed body, in bytes.
    pub total: u64,
    /// The bytes of the part.
    pub bytes: Vec<u8>,
}

/// Starts an exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipRequest {
    /// Number of the exchange, unique at its sender.
    pub exchange: u64,
    /// The highest generation that the sender has seen.
    pub generation: Generation,
    /// The versions of facts that the sender holds.
    pub digest: Digest,
    /// New facts that the sender pushes unsolicited.
    pub delta: Delta,
    /// The missing part of the file body, or `None` if the sender lacks no body: its record has no
    /// file, or it has the complete body.
    pub body: Option<BodyRequest>,
}

/// Answers an exchange. Only answers carry evidence, because only the sender of a request can bound
/// how long the evidence took to arrive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipResponse {
    /// Number of the exchange, copied from the request.
    pub exchange: u64,
    /// The highest generation that the sender has seen.
    pub generation: Generation,
    /// The record, if the requester's generation is lower.
    pub record: Option<SentRecord>,
    /// Time since the store was last known to be at `generation`, in milliseconds, rounded up;
    /// `None` if that is unknown or too long ago to count as evidence.
    pub store_age_ms: Option<u32>,
    /// Heartbeats of witnesses that the sender has received or, as a witness, produced.
    pub heartbeats: Vec<Heartbeat>,
    /// Announcements whose promises still bind the sender.
    pub open: Vec<ProposalId>,
    /// The versions of facts that the sender holds.
    pub digest: Digest,
    /// Facts that the requester lacks.
    pub delta: Delta,
    /// The requested part of the file body, or `None` if none was requested or the sender does not
    /// have it.
    pub body: Option<BodyPart>,
}

/// A message from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Starts an exchange. Also serves as a direct probe of the receiver.
    GossipRequest(Box<GossipRequest>),
    /// Answers an exchange.
    GossipResponse(Box<GossipResponse>),
    /// Ends an exchange: sends what the answering instance lacks.
    GossipPush {
        /// The record, if the receiver's generation is lower.
        record: Option<SentRecord>,
        /// Facts that the receiver lacks.
        delta: Delta,
    },
    /// Asks the receiver to probe the target.
    ProbeRequest {
        /// Number of the probe, unique at its sender.
        probe: u64,
        /// The address to probe.
        target: SocketAddr,
    },
    /// Probes the receiver on behalf of the requester.
    Ping {
        /// Number of the probe at the requester.
        probe: u64,
        /// Address of the instance that sent the [`Message::ProbeRequest`].
        requester: SocketAddr,
    },
    /// Answers [`Message::Ping`].
    Pong {
        /// Number of the probe at the requester.
        probe: u64,
        /// Address of the instance that sent the [`Message::ProbeRequest`].
        requester: SocketAddr,
    },
    /// Reports to the requester that the target answered.
    ProbeResponse {
        /// Number of the probe, copied from the request.
        probe: u64,
        /// The instance that answered at the target address.
        target: InstanceId,
    },
    /// Asks a witness to promise a generation.
    Announce {
        /// The announcement.
        proposal: ProposalId,
        /// The generation.
        generation: Generation,
    },
    /// The sender promises the generation, and from now on reports it as promised in heartbeats.
    Promise {
        /// The announcement.
        proposal: ProposalId,
    },
    /// The sender does not promise, because it has seen this or a higher generation, or because
    /// the announcement was retracted.
    Refuse {
        /// The announcement.
        proposal: ProposalId,
    },
    /// Releases the receiver from a promise.
    Retract {
        /// The announcement.
        proposal: ProposalId,
    },
    /// Hands leafs over to the receiver.
    Release(Release),
    /// Asks to be added to the roster.
    Join(Candidate),
    /// Asks to be removed from the roster.
    Leave {
        /// The instance to remove.
        instance: InstanceId,
    },
}

/// Identifies a request to the store. Unique within one control state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRequestId(pub u64);

/// The store could not be read or written, or did not answer in time.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the store did not answer")]
pub struct StoreFailure;

/// An input of the control state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// Answers [`Action::ReadStore`]: `None` if the store holds no record newer than `newer_than`.
    StoreRead {
        /// The request.
        request: StoreRequestId,
        /// The record, if there is a newer one.
        result: Result<Option<StoredRecord>, StoreFailure>,
    },
    /// Answers [`Action::ReadFileBody`].
    FileRead {
        /// The request.
        request: StoreRequestId,
        /// The body; `None` if the store does not hold it.
        result: Result<Option<Arc<str>>, StoreFailure>,
    },
    /// Answers [`Action::WriteFileBody`].
    FileWritten {
        /// The request.
        request: StoreRequestId,
        /// `Ok` if the store has written the body.
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
    /// An operator applies a file.
    Apply {
        /// Identifies the operation; a repeated request with the same id is not applied twice.
        operation: OperationId,
        /// The text of the file.
        text: Arc<str>,
        /// The parsed text.
        file: Arc<File>,
        /// The file revision that the operator saw, if the request names one.
        expected: Option<Revision>,
    },
    /// The rollout driver moves a rollout to a stage.
    ProposeRollout {
        /// Identifies the operation; the caller generates a new id for each attempt.
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
        /// Identifies the operation; the caller generates a new id for each attempt.
        operation: OperationId,
        /// The service.
        service: ServiceName,
        /// Its version.
        version: VersionName,
    },
    /// This instance observed a fact, which gossip is to spread to all instances.
    FactObserved(Fact),
    /// The process shuts down, so the instance must leave the roster.
    Shutdown,
}

/// An effect that the control state machine requests. The caller executes actions in sequence.
#[derive(Clone, Debug)]
pub enum Action {
    /// Read the record if its store revision is higher than `newer_than`.
    ReadStore {
        /// The request.
        request: StoreRequestId,
        /// The highest revision known; 0 to read the record regardless of its revision.
        newer_than: StoreRevision,
    },
    /// Read a file body.
    ReadFileBody {
        /// The request.
        request: StoreRequestId,
        /// The reference of the body. Its revision and its digest are both part of the store key.
        file: FileRef,
    },
    /// Write a file body.
    WriteFileBody {
        /// The request.
        request: StoreRequestId,
        /// The reference of the body. Its revision and its digest are both part of the store key.
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
    /// Send a message. The network may lose or delay it.
    SendTo {
        /// The receiver's address.
        address: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Publish a new view to the traffic threads.
    PublishView(Arc<View>),
    /// Report the result of an operation to its requester.
    OperationFinished {
        /// The operation.
        operation: OperationId,
        /// The generation that contains the operation's change, or the error.
        result: Result<Accepted, proposal::Error>,
    },
    /// Add an event to the timeline.
    Event {
        /// Wall-clock time of the event.
        at: SystemTime,
        /// What happened.
        event: Event,
    },
}

/// An event that is written to the timeline.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This instance applied a generation.
    Applied(Generation),
    /// The roster dropped this instance while its process was alive. It requests to join again
    /// under a new id.
    Removed {
        /// The id that was removed.
        old: InstanceId,
        /// The id under which the instance joins again.
        new: InstanceId,
    },
    /// The kind of currency changed.
    Currency(Currency),
    /// The file of the newest record does not parse on this instance, so the record is not applied.
    FileRejected(FileRef),
    /// An observed fact exceeds the size limit and was dropped.
    FactRejected(FactTooLarge),
}
