//! Tests whether leafs accept connections.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use camphorhold::coordination::serving::fleet::LeafKey;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::net::TcpStream;

use crate::shared::Shared;

/// How long a leaf may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The number of leafs of a sample. If three in five leafs are down, one sample in sixty has only
/// such leafs.
const SAMPLE: usize = 8;

/// The pause between two samples, in addition to the time that they take.
const PAUSE: Duration = Duration::from_millis(250);

/// What a leaf does with a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// It accepts it.
    Accepted,
    /// Nothing listens at its address, or nothing answers there.
    Down,
    /// The connection failed otherwise, for instance because the leaf has too many, or the leaf is
    /// not known any more.
    Unclear,
}

/// Opens a connection to a leaf and closes it at once.
pub async fn connect(shared: &Shared, leaf: LeafKey) -> Response {
    let address = shared
        .fleet
        .borrow()
        .get(leaf)
        .map(|leaf| leaf.entry().address);
    let Some(address) = address else {
        return Response::Unclear;
    };
    match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Response::Accepted,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Response::Down,
        Ok(Err(_)) => Response::Unclear,
        Err(_) => Response::Down,
    }
}

/// Returns whether one of the leafs accepts a connection.
pub async fn any_accepts_connections(shared: &Shared, leafs: &[LeafKey]) -> bool {
    let mut probes: FuturesUnordered<_> = leafs.iter().map(|leaf| connect(shared, *leaf)).collect();
    while let Some(response) = probes.next().await {
        if response == Response::Accepted {
            return true;
        }
    }
    false
}

/// Finds out whether the instance is cut off, whenever several leafs accept no connection, until
/// the process ends.
pub async fn run(shared: Rc<Shared>) {
    loop {
        if !shared.reachability.borrow().awaits_probe() {
            shared.leafs_unreachable.notified().await;
        }
        let mut was_cut_off = false;
        loop {
            let sample = shared.fleet.borrow().sample(&[], SAMPLE, shared.jitter());
            let accepted = any_accepts_connections(&shared, &sample).await;
            let is_cut_off = shared.reachability.borrow_mut().on_probed(accepted);
            if is_cut_off && !was_cut_off {
                log::warn!(probed = sample.len(); "no leaf accepts a connection; relaying requests to other instances");
            } else if was_cut_off && !is_cut_off {
                log::info!("leafs accept connections again");
            }
            was_cut_off = is_cut_off;
            metrics::gauge!("camphorhold_cut_off").set(if is_cut_off { 1.0 } else { 0.0 });
            tokio::time::sleep(PAUSE).await;
            if !is_cut_off {
                break;
            }
        }
    }
}
