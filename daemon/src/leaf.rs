//! Connections to the leafs that this instance owns.

use std::collections::HashMap;

use camphorhold::protocol::leaf::Search;
use camphorhold::protocol::leaf::SearchAnswer;
use camphorhold::protocol::peer::Call;
use camphorhold::protocol::peer::Failure;
use camphorhold::protocol::peer::Query;
use camphorhold::state::id::LeafId;
use camphorhold::transport::leaf::Connection;
use camphorhold::transport::leaf::SendError;
use tokio::sync::Mutex;

#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<LeafId, Vec<Connection>>>,
}

impl Pool {
    pub async fn call(&self, query: &Query, call: Call) -> Result<SearchAnswer, Failure> {
        let idle = self.idle.lock().await.entry(call.leaf).or_default().pop();
        let mut connection = match idle {
            Some(connection) if !connection.is_closed() => connection,
            _ => Connection::open(call.leaf.0)
                .await
                .map_err(|_| Failure::Unreachable)?,
        };
        let search = Search {
            correlation: call.id.to_string().into(),
            request_id: query.request_id,
            service: query.service.clone(),
            version: query.version.clone(),
            route: query.route.clone(),
            shard: call.shard,
            snapshot: query.snapshot,
            partition: query.partition,
            query: query.query.clone(),
            deadline_unix_ms: query.deadline_unix_ms,
            idempotency_key: query.idempotency_key.clone(),
        };
        let answer = connection
            .search(&search)
            .await
            .map_err(|error| match error {
                SendError::NotSent => Failure::Unreachable,
                SendError::Lost(_) | SendError::Truncated => Failure::Reset,
                SendError::Invalid(_) | SendError::Status(_) => Failure::Invalid,
            })?;
        self.idle
            .lock()
            .await
            .entry(call.leaf)
            .or_default()
            .push(connection);
        Ok(answer)
    }
}
