//! The operators' interface of an instance: JSON-RPC over HTTP, used by the command-line program.
//!
//! Every method is safe to repeat: a `control_apply` is identified by its operation id and takes
//! effect at most once.

mod apply;
mod status;
mod timeline;

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

pub use self::apply::ApplyAnswer;
pub use self::apply::ApplyRequest;
pub use self::apply::Change;
pub use self::apply::FileAnswer;
pub use self::apply::InvalidApply;
pub use self::apply::MAX_FILE_BYTES;
pub use self::apply::OperationAnswer;
pub use self::apply::Problem;
pub use self::apply::Refusal;
pub use self::status::Currency;
pub use self::status::InstanceStatus;
pub use self::status::LeafStatus;
pub use self::status::MAX_STATUS_LEAFS;
pub use self::status::Member;
pub use self::status::Phase;
pub use self::status::RollbackReason;
pub use self::status::RolloutStage;
pub use self::status::RolloutStatus;
pub use self::status::RolloutsAnswer;
pub use self::status::ServiceStatus;
pub use self::status::Temperature;
pub use self::timeline::Event;
pub use self::timeline::InvalidEvent;
pub use self::timeline::MAX_PAGE_EVENTS;
pub use self::timeline::TimelineAnswer;
pub use self::timeline::TimelineRequest;
use crate::state::id::OperationId;

/// The methods that an instance offers to operators.
#[rpc(client, server)]
pub trait Control {
    /// Proposes a file as the next revision and waits for the decision.
    #[method(name = "control_apply")]
    async fn apply(&self, request: ApplyRequest) -> RpcResult<ApplyAnswer>;

    /// Reads the record from the key-value service to find out whether an operation took effect.
    #[method(name = "control_operation")]
    async fn operation(&self, operation: OperationId) -> RpcResult<OperationAnswer>;

    /// Returns the operators' file that this instance has applied.
    #[method(name = "control_file")]
    async fn file(&self) -> RpcResult<FileAnswer>;

    /// Returns the state of the instance that answers.
    #[method(name = "control_status")]
    async fn status(&self) -> RpcResult<InstanceStatus>;

    /// Returns the rollouts of the file that this instance has applied, with their stages.
    #[method(name = "control_rollouts")]
    async fn rollouts(&self) -> RpcResult<RolloutsAnswer>;

    /// Returns a page of the events that this instance recorded.
    #[method(name = "control_timeline")]
    async fn timeline(&self, request: TimelineRequest) -> RpcResult<TimelineAnswer>;
}
