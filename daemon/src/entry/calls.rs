//! Sends the leaf calls of one query to the owners of the leafs and collects the results.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use camphorhold::coordination::call::Caller;
use camphorhold::protocol::peer;
use camphorhold::protocol::peer::Call;
use camphorhold::protocol::peer::CallBatch;
use camphorhold::protocol::peer::CallResult;
use camphorhold::protocol::peer::Cancel;
use camphorhold::protocol::peer::Failure;
use camphorhold::state::event::Kind;
use camphorhold::state::event::Subject;
use camphorhold::state::id::InstanceId;
use camphorhold::state::id::LeafId;
use camphorhold::state::view::View;
use camphorhold::transport::peer::Forwarder;
use tokio::sync::mpsc;

use crate::baseline::Baseline;
use crate::leaf::Job;
use crate::leaf::Pool;
use crate::leaf::Submitted;
use crate::timeline::Recorder;

/// The resources that all queries share to send leaf calls.
pub struct Sender {
    pub leafs: Arc<Pool>,
    pub forwarder: Forwarder,
    pub recorder: Arc<Recorder>,
}

/// The calls of one query that were sent and not cancelled. A call may have ended already.
pub struct InFlightCalls {
    sender: Arc<Sender>,
    query: Arc<peer::Query>,
    results: mpsc::UnboundedSender<CallResult>,
    /// Where each call was sent, by call id, to send its cancellation there.
    destinations: HashMap<u64, Destination>,
}

#[derive(Clone, Copy)]
enum Destination {
    Local(Submitted),
    Remote { owner: SocketAddr, batch: u64 },
}

/// The owner of a leaf as seen by this instance. `Local` is this instance.
enum Owner {
    Local,
    Remote(InstanceId, SocketAddr),
    None,
}

impl InFlightCalls {
    pub fn new(
        sender: Arc<Sender>,
        query: peer::Query,
        results: mpsc::UnboundedSender<CallResult>,
    ) -> Self {
        Self {
            sender,
            query: Arc::new(query),
            results,
            destinations: HashMap::new(),
        }
    }

    /// Sends calls, in one message for each other instance that owns leafs of them. A call whose
    /// leaf has no known owner fails at once.
    pub fn send(&mut self, calls: &[Call], view: &View) {
        let mut batches: BTreeMap<(InstanceId, SocketAddr), Vec<Call>> = BTreeMap::new();
        for call in calls {
            match owner(view, call.leaf) {
                Owner::Local => self.submit(*call, view.instance),
                Owner::Remote(instance, address) => {
                    batches.entry((instance, address)).or_default().push(*call);
                }
                Owner::None => self.fail(call.id, Failure::NotOwner),
            }
        }
        for ((instance, address), calls) in batches {
            self.forward(instance, address, calls, view.instance);
        }
    }

    fn submit(&mut self, call: Call, from: InstanceId) {
        let job = Job {
            query: Arc::clone(&self.query),
            shard: call.shard,
            reply_id: call.id,
            reply: self.results.clone(),
        };
        match self.sender.leafs.submit(call.leaf, Caller(from.0), job) {
            Ok(submitted) => {
                self.destinations
                    .insert(call.id, Destination::Local(submitted));
            }
            Err(failure) => self.fail(call.id, failure),
        }
    }

    fn forward(
        &mut self,
        instance: InstanceId,
        owner: SocketAddr,
        calls: Vec<Call>,
        from: InstanceId,
    ) {
        let batch = rand::random();
        for call in &calls {
            self.destinations
                .insert(call.id, Destination::Remote { owner, batch });
        }
        let subject = Subject {
            request: Some(self.query.request_id),
            service: Some(self.query.service.clone()),
            ..Subject::default()
        };
        let kind = Kind::Forwarded {
            to: instance,
            calls: u32::try_from(calls.len()).unwrap_or(u32::MAX),
        };
        self.sender.recorder.record(kind, subject);
        let message = CallBatch {
            batch,
            from,
            query: (*self.query).clone(),
            calls,
        };
        let forwarder = self.sender.forwarder.clone();
        tokio::spawn(forward(forwarder, owner, message, self.results.clone()));
    }

    /// Cancels calls, without waiting for a confirmation. Results may still arrive.
    pub fn cancel(&mut self, calls: &[u64]) {
        let mut batches: BTreeMap<(SocketAddr, u64), Vec<u64>> = BTreeMap::new();
        for call in calls {
            match self.destinations.remove(call) {
                Some(Destination::Local(submitted)) => self.sender.leafs.cancel(submitted),
                Some(Destination::Remote { owner, batch }) => {
                    batches.entry((owner, batch)).or_default().push(*call);
                }
                None => {}
            }
        }
        for ((owner, batch), calls) in batches {
            let forwarder = self.sender.forwarder.clone();
            tokio::spawn(async move {
                if let Err(error) = forwarder.cancel(owner, &Cancel { batch, calls }).await {
                    log::debug!("could not cancel calls at {owner}: {error}; they may still run");
                }
            });
        }
    }

    fn fail(&self, id: u64, failure: Failure) {
        let _ = self.results.send(CallResult {
            id,
            queued_us: 0,
            result: Err(failure),
        });
    }
}

fn owner(view: &View, leaf: LeafId) -> Owner {
    let Some(assignment) = view.ownership.leaf(leaf) else {
        return Owner::None;
    };
    if assignment.owner == view.instance || Baseline::EveryInstanceConnects.is_chosen() {
        return Owner::Local;
    }
    match view.record.member(assignment.owner) {
        Some(member) => Owner::Remote(member.instance, member.traffic_address),
        None => Owner::None,
    }
}

/// Forwards calls to their owner and passes on the results. Every call gets exactly one result: a
/// call without one from the owner fails.
async fn forward(
    forwarder: Forwarder,
    owner: SocketAddr,
    message: CallBatch,
    results: mpsc::UnboundedSender<CallResult>,
) {
    let mut pending: Vec<u64> = message.calls.iter().map(|call| call.id).collect();
    let failure = match forwarder.forward(owner, &message).await {
        Ok(mut call_results) => loop {
            match call_results.next().await {
                Ok(Some(result)) => {
                    pending.retain(|id| *id != result.id);
                    if results.send(result).is_err() {
                        return;
                    }
                }
                // The owner ends the stream without all results only when it shuts down.
                Ok(None) => break Failure::ForwardLost,
                Err(error) => {
                    log::debug!(
                        "results of calls to {owner} ended early: {error}; failing the rest"
                    );
                    break Failure::ForwardLost;
                }
            }
        },
        Err(error) if error.not_sent() => Failure::NotOwner,
        Err(error) => {
            log::debug!("forwarding calls to {owner} failed: {error}; they may still run");
            Failure::ForwardLost
        }
    };
    for id in pending {
        let _ = results.send(CallResult {
            id,
            queued_us: 0,
            result: Err(failure),
        });
    }
}
