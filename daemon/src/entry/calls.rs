//! The leaf calls of one query: sent to the owners of the leafs, results collected.

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

/// What all queries need to send calls.
pub struct Sender {
    pub leafs: Arc<Pool>,
    pub forwarder: Forwarder,
    pub recorder: Arc<Recorder>,
}

/// The calls of one query that may be in flight.
pub struct InFlight {
    sender: Arc<Sender>,
    query: Arc<peer::Query>,
    results: mpsc::UnboundedSender<CallResult>,
    /// Where each call went, for cancellation.
    places: HashMap<u64, Place>,
}

#[derive(Clone, Copy)]
enum Place {
    Here(Submitted),
    At { owner: SocketAddr, batch: u64 },
}

/// The owner of a leaf.
enum Owner {
    Here,
    At(InstanceId, SocketAddr),
    None,
}

impl InFlight {
    pub fn new(
        sender: Arc<Sender>,
        query: peer::Query,
        results: mpsc::UnboundedSender<CallResult>,
    ) -> Self {
        Self {
            sender,
            query: Arc::new(query),
            results,
            places: HashMap::new(),
        }
    }

    /// Sends calls, grouped by the owners of their leafs.
    pub fn send(&mut self, calls: &[Call], view: &View) {
        let mut batches: BTreeMap<(InstanceId, SocketAddr), Vec<Call>> = BTreeMap::new();
        for call in calls {
            match owner(view, call.leaf) {
                Owner::Here => self.submit(*call, view.instance),
                Owner::At(instance, address) => {
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
                self.places.insert(call.id, Place::Here(submitted));
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
            self.places.insert(call.id, Place::At { owner, batch });
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

    /// Says that the results of calls are no longer wanted.
    pub fn cancel(&mut self, calls: &[u64]) {
        let mut batches: BTreeMap<(SocketAddr, u64), Vec<u64>> = BTreeMap::new();
        for call in calls {
            match self.places.remove(call) {
                Some(Place::Here(submitted)) => self.sender.leafs.cancel(submitted),
                Some(Place::At { owner, batch }) => {
                    batches.entry((owner, batch)).or_default().push(*call);
                }
                None => {}
            }
        }
        for ((owner, batch), calls) in batches {
            let forwarder = self.sender.forwarder.clone();
            tokio::spawn(async move {
                if let Err(error) = forwarder.cancel(owner, &Cancel { batch, calls }).await {
                    log::debug!("a cancellation was lost: {error}");
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
        return Owner::Here;
    }
    match view.record.member(assignment.owner) {
        Some(member) => Owner::At(member.instance, member.traffic_address),
        None => Owner::None,
    }
}

/// Forwards calls and passes their results on. Every call gets exactly one result.
async fn forward(
    forwarder: Forwarder,
    owner: SocketAddr,
    message: CallBatch,
    results: mpsc::UnboundedSender<CallResult>,
) {
    let mut open: Vec<u64> = message.calls.iter().map(|call| call.id).collect();
    let failure = match forwarder.forward(owner, &message).await {
        Ok(mut parts) => loop {
            match parts.next().await {
                Ok(Some(part)) => {
                    open.retain(|id| *id != part.id);
                    if results.send(part).is_err() {
                        return;
                    }
                }
                // The owner ends the stream early only when it is stopped.
                Ok(None) => break Failure::ForwardLost,
                Err(error) => {
                    log::debug!("results from {owner} broke off: {error}");
                    break Failure::ForwardLost;
                }
            }
        },
        Err(error) if error.not_sent() => Failure::NotOwner,
        Err(error) => {
            log::debug!("calls to {owner} were lost: {error}");
            Failure::ForwardLost
        }
    };
    for id in open {
        let _ = results.send(CallResult {
            id,
            queued_us: 0,
            result: Err(failure),
        });
    }
}
