//! One connection to a leaf, driven by a task of its own.

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

/// How often an idle connection asks which snapshots the leaf holds.
const STATUS_INTERVAL: Duration = Duration::from_secs(2);

/// How long the leaf may take to answer that question.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// What the leaf's actor orders.
pub enum Order {
    /// Sends a call and reports its answer.
    Search(CallId, Box<Search>),
    /// Asks the leaf to stop a call that runs on another connection.
    Cancel(CallId),
}

/// What the connection reports.
pub enum Event {
    /// The connection is open.
    Opened,
    /// The connection could not be opened.
    Failed,
    /// The connection ended.
    Lost,
    /// The connection ended before the call was written.
    LostUnsent(CallId),
    /// The leaf answered a call.
    Answered(Box<SearchAnswer>),
    /// The leaf answered a question about its state.
    Status(Box<SearchAnswer>),
    /// The leaf answered a cancellation.
    CancelAnswered,
}

/// Opens a connection and carries out orders until the order channel closes or the leaf ends the
/// connection.
pub async fn run(
    id: ConnectionId,
    leaf: LeafId,
    target: Arc<Target>,
    mut orders: mpsc::UnboundedReceiver<Order>,
    actor: mpsc::UnboundedSender<Command>,
) {
    let report = |event| actor.send(Command::Connection(id, event)).is_ok();
    let connection = tokio::select! {
        connection = Connection::open(leaf.0) => connection,
        // The actor gave the connection up while it was being opened.
        _ = orders.recv() => {
            report(Event::Lost);
            return;
        }
    };
    let Ok(mut connection) = connection else {
        report(Event::Failed);
        return;
    };
    // Asked before the first call, so that the leaf's snapshots are known before any query pins one.
    if !ask_status(&mut connection, &target, &report).await {
        report(Event::Lost);
        return;
    }
    report(Event::Opened);
    loop {
        let order = tokio::select! {
            order = orders.recv() => order,
            () = connection.closed() => None,
            () = tokio::time::sleep(STATUS_INTERVAL) => {
                if ask_status(&mut connection, &target, &report).await {
                    continue;
                }
                None
            }
        };
        let Some(order) = order else {
            report(Event::Lost);
            return;
        };
        if !carry_out(&mut connection, order, &mut orders, &report).await {
            return;
        }
    }
}

/// Carries out one order; tells whether the connection can be used again.
async fn carry_out<R>(
    connection: &mut Connection,
    order: Order,
    orders: &mut mpsc::UnboundedReceiver<Order>,
    report: &R,
) -> bool
where
    R: Fn(Event) -> bool,
{
    match order {
        Order::Search(call, search) => {
            let answer = tokio::select! {
                answer = connection.search(&search) => answer,
                // The actor gave the connection up; dropping it resets the call.
                None = orders.recv() => {
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
                    log::debug!("call {call} has no valid answer: {error}");
                    report(Event::Lost);
                    false
                }
            }
        }
        Order::Cancel(call) => {
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

/// Asks which snapshots the leaf holds; tells whether it answered.
async fn ask_status<R>(connection: &mut Connection, target: &Target, report: &R) -> bool
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
