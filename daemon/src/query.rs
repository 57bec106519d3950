//! One query: calls to the owners of its leafs, and the merged answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use camphorhold::protocol::caller::AnswerBody;
use camphorhold::protocol::caller::Coverage;
use camphorhold::protocol::caller::Outcome;
use camphorhold::protocol::caller::Request;
use camphorhold::protocol::leaf::Status;
use camphorhold::protocol::peer::Call;
use camphorhold::protocol::peer::Calls;
use camphorhold::protocol::peer::Part;
use camphorhold::protocol::peer::Query;
use camphorhold::state::id::RequestId;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold::state::time::unix_millis;
use camphorhold::transport::peer::Forwarder;
use tokio::sync::mpsc;

use crate::leaf::Pool;
use crate::routing::Routing;

pub struct Traffic {
    pub routing: Routing,
    pub leafs: Pool,
    pub forwarder: Forwarder,
}

impl Traffic {
    pub fn new(routing: Routing) -> Self {
        Self {
            routing,
            leafs: Pool::default(),
            forwarder: Forwarder::default(),
        }
    }

    /// Runs a query and merges the answers that arrive before the deadline.
    pub async fn run(self: &Arc<Self>, request: Request) -> Option<AnswerBody> {
        let service = self.routing.file.services.get(&request.service)?;
        let started = SystemClock.now();
        let limit = request.deadline.unwrap_or(service.deadline);
        let limit = limit.min(service.deadline);
        let leafs = service.versions.get(&service.serving)?;
        let mut by_owner: BTreeMap<SocketAddr, Vec<Call>> = BTreeMap::new();
        let mut chosen = BTreeMap::new();
        for leaf in leafs {
            chosen.entry(leaf.shard).or_insert(leaf.id);
        }
        for (shard, leaf) in &chosen {
            let call = Call {
                id: u64::from(shard.0),
                leaf: *leaf,
                shard: *shard,
            };
            by_owner
                .entry(self.routing.owner(*leaf))
                .or_default()
                .push(call);
        }
        let request_id = request
            .request_id
            .unwrap_or_else(|| RequestId(rand::random()));
        let query = Query {
            request_id,
            service: request.service,
            version: service.serving.clone(),
            route: request.route,
            snapshot: camphorhold::state::id::SnapshotId(1),
            partition: service.partition,
            query: request.query,
            deadline_unix_ms: unix_millis(SystemClock.wall() + limit),
            idempotency_key: None,
        };
        let (sender, receiver) = mpsc::unbounded_channel();
        for (owner, calls) in by_owner {
            let traffic = Arc::clone(self);
            let sender = sender.clone();
            let calls = Calls {
                query: query.clone(),
                calls,
            };
            tokio::spawn(async move {
                if let Ok(mut parts) = traffic.forwarder.forward(owner, &calls).await {
                    while let Ok(Some(part)) = parts.next().await {
                        if sender.send(part).is_err() {
                            return;
                        }
                    }
                }
            });
        }
        drop(sender);
        let (answered, snapshot, hits) = collect(receiver, limit).await;
        Some(AnswerBody {
            request_id,
            outcome: Outcome::Answered,
            reason: None,
            snapshot,
            coverage: Coverage {
                answered,
                in_scope: u32::try_from(chosen.len()).unwrap_or(u32::MAX),
            },
            hits,
            server_time_ms: (SystemClock.now() - started).as_secs_f64() * 1000.0,
        })
    }
}

async fn collect(
    mut parts: mpsc::UnboundedReceiver<Part>,
    limit: Duration,
) -> (
    u32,
    Option<camphorhold::state::id::SnapshotId>,
    Vec<camphorhold::protocol::leaf::Hit>,
) {
    let (mut answered, mut snapshot, mut hits) = (0, None, Vec::new());
    let merge = async {
        while let Some(part) = parts.recv().await {
            let Ok(answer) = part.result else { continue };
            if answer.status == Status::Ok && answer.complete {
                answered += 1;
                snapshot = Some(answer.snapshot);
                hits.extend(answer.hits);
            }
        }
    };
    let _ = tokio::time::timeout(limit, merge).await;
    (answered, snapshot, hits)
}
