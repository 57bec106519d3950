//! A connection to a leaf and the task that uses it.

use std::sync::Arc;
use std::time::Duration;

use camphorhold::coordination::call::CallId;
use camphorhold::coordination::call::ConnectionId;
use camphorhold::protocol::leaf::Cancel;
use camphorhold::protocol::leaf::NO_SNAPSHOT;
use camphorhold::protocol::leaf::Search;
use camphorhold::protocol::leaf::SearchAnswer;
use camphorhold::protocol::leaf::Status;
use camphorhold::state::id::LeafId;
use camphorhold::state::id::RequestId;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold::state::time::unix_millis;
use camphorhold::transport::leaf::Connection;
use camphorhold::transport::leaf::SendError;
use tokio::sync::mpsc;

use super::actor::Command;
use super::actor::Target;

/// How often an idle connection requests the status of the leaf, which lists its snapshots.
const STATUS_INTERVAL: Duration = Duration::from_secs(2);

/// How long the leaf may take to answer a status request before the connection counts as lost.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// A command of the leaf's actor to a connection.
pub enum ConnectionCommand {
    /// Sends a call and reports its answer.
    Search(CallId, Box<Search>),
    /// Requests the leaf to stop a call that was sent on another connection.
    Cancel(CallId),
}

/// An event that a connection reports to the leaf's actor.
pub enum Event {
    /// The connection is open and the leaf has answered a status request.
    Opened,
    /// The connection could not be opened.
    Failed,
    /// The connection ended or cannot be used any more.
    Lost,
    /// The connection ended before the call was written.
    LostUnsent(CallId),
    /// The leaf answered a call.
    Answered(Box<SearchAnswer>),
    /// The leaf answered a status request.
    Status(Box<SearchAnswer>),
    /// The leaf answered a cancellation.
    CancelAnswered,
}

/// Opens a connection and carries out commands until the command channel closes or the connection
/// ends.
pub async fn run(
    id: ConnectionId,
    leaf: LeafId,
    target: Arc<Target>,
    mut commands: mpsc::UnboundedReceiver<ConnectionCommand>,
    actor: mpsc::UnboundedSender<Command>,
) {
    let report = |event| actor.send(Command::Connection(id, event)).is_ok();
    let connection = tokio::select! {
        connection = Connection::open(leaf.0) => connection,
        // The actor closed the connection while it was being opened.
        _ = commands.recv() => {
            report(Event::Lost);
            return;
        }
    };
    let Ok(mut connection) = connection else {
        report(Event::Failed);
        return;
    };
    // The status request precedes the first call, so that the leaf's snapshots are known before any
    // query pins one.
    if !request_status(&mut connection, &target, &report).await {
        report(Event::Lost);
        return;
    }
    report(Event::Opened);
    loop {
        let command = tokio::select! {
            command = commands.recv() => command,
            () = connection.closed() => None,
            () = tokio::time::sleep(STATUS_INTERVAL) => {
                if request_status(&mut connection, &target, &report).await {
                    continue;
                }
                None
            }
        };
        let Some(command) = command else {
            report(Event::Lost);
            return;
        };
        if !carry_out(&mut connection, command, &mut commands, &report).await {
            return;
        }
    }
}

/// Carries out one command. Returns whether the connection can be used again.
async fn carry_out<R>(
    connection: &mut Connection,
    command: ConnectionCommand,
    commands: &mut mpsc::UnboundedReceiver<ConnectionCommand>,
    report: &R,
) -> bool
where
    R: Fn(Event) -> bool,
{
    match command {
        ConnectionCommand::Search(call, search) => {
            let answer = tokio::select! {
                answer = connection.search(&search) => answer,
                // The actor closed the connection. Returning drops it, which resets the call.
                None = commands.recv() => {
                    report(Event::Lost);
                    return false;
                }
            };
            match answer {
                Ok(answer) => report(Event::Answered(Box::new(answer))),
                Err(SendError::NotSent) => {
                    report(Event::LostUnsent(call));
                    false
                }
                Err(error) => {
                    log::debug!("call {call} got no valid answer: {error}; closing the connection");
                    report(Event::Lost);
                    false
                }
            }
        }
        ConnectionCommand::Cancel(call) => {
            let correlation = call.to_string().into();
            if connection.cancel(&Cancel { correlation }).await.is_ok() {
                report(Event::CancelAnswered)
            } else {
                report(Event::Lost);
                false
            }
        }
    }
}

/// Requests the status of the leaf. Returns whether it answered in time and the actor still runs. An
/// answer that claims to have run the request is invalid, because no leaf holds [`NO_SNAPSHOT`].
async fn request_status<R>(connection: &mut Connection, target: &Target, report: &R) -> bool
where
    R: Fn(Event) -> bool,
{
    let search = Search {
        correlation: "status".into(),
        request_id: RequestId::default(),
        service: target.service.clone(),
        version: target.version.clone(),
        route: target.status_route.clone(),
        shard: target.shard,
        snapshot: NO_SNAPSHOT,
        partition: target.partition,
        query: "".into(),
        deadline_unix_ms: unix_millis(SystemClock.wall() + STATUS_TIMEOUT),
        idempotency_key: None,
    };
    match tokio::time::timeout(STATUS_TIMEOUT, connection.search(&search)).await {
        Ok(Ok(answer)) if answer.status != Status::Ok => report(Event::Status(Box::new(answer))),
        _ => false,
    }
}
