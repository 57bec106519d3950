//! Alarms about requests under which leafs may have ended.

use std::rc::Rc;

use camphorhold::coordination::serving::alarms::Level;
use camphorhold::coordination::serving::fleet::LeafKey;
use futures::future::join_all;

use crate::call::ForwardedRequest;
use crate::datagram;
use crate::probe;
use crate::shared::Shared;

/// The number of other leafs of which one has to accept a connection, so that the loss of
/// connections is not that of the network.
const MAX_REFERENCES: usize = 3;

/// Connections to leafs that were lost under a request that no leaf has survived.
#[derive(Clone, Debug)]
pub struct Loss {
    /// The first few of these leafs.
    pub leafs: Vec<LeafKey>,
    /// All leafs that this instance has called.
    pub called: Vec<LeafKey>,
}

/// Raises an alarm about a request at all instances if the leafs that were lost accept no connections
/// while another one does: leafs also reset connections because they have too many. Returns whether
/// that is so. Links that fail one after the other may look the same, so whether leafs have ended is
/// found out later, see [`crate::crashes::Attempt::end`].
pub fn raise(
    shared: &Rc<Shared>,
    forwarded: &Rc<ForwardedRequest>,
    level: Level,
    loss: Loss,
) -> impl Future<Output = bool> + use<> {
    let shared = Rc::clone(shared);
    let forwarded = Rc::clone(forwarded);
    async move {
        let services = forwarded.route.target.services();
        let are_down = is_down_alone(&shared, &services, &loss.leafs, &loss.called).await;
        if are_down {
            datagram::raise_alarm(&shared, forwarded.fingerprint(), level);
        }
        are_down
    }
}

/// Returns whether one of the leafs is down while a leaf of another service accepts connections.
pub async fn is_down_alone(
    shared: &Shared,
    services: &[&str],
    leafs: &[LeafKey],
    called: &[LeafKey],
) -> bool {
    let references = shared.fleet.borrow().sample_of_others(
        services,
        leafs,
        called,
        MAX_REFERENCES,
        shared.jitter(),
    );
    let (responses, any_reference_accepts) = tokio::join!(
        join_all(leafs.iter().map(|leaf| probe::connect(shared, *leaf))),
        probe::any_accepts_connections(shared, &references)
    );
    responses.contains(&probe::Response::Down) && any_reference_accepts
}
