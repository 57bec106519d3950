//! Delays the release of a leaf until this instance has no calls in flight there.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use camphorhold::coordination::control::Message;
use camphorhold::coordination::ownership::Release;
use tokio::sync::mpsc;

use crate::leaf::Pool;

/// How often the leafs are checked for calls in flight.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The longest delay of a release. By then the handover wait of the new owners, which is the currency
/// bound plus 500 ms, has passed unless the currency bound is above 9.5 s, and they are ready without
/// a release.
const MAX_DELAY: Duration = Duration::from_secs(10);

/// Passes the release of each leaf on to `ready` as soon as no call of this instance can run there.
/// Drops the releases that are still delayed after [`MAX_DELAY`].
pub async fn send_when_idle(
    release: Release,
    to: SocketAddr,
    leafs: Arc<Pool>,
    ready: mpsc::UnboundedSender<(SocketAddr, Message)>,
) {
    let mut busy: HashSet<_> = release.leafs.iter().copied().collect();
    let mut waited = Duration::ZERO;
    while !busy.is_empty() && waited < MAX_DELAY {
        let idle: Vec<_> = busy
            .iter()
            .copied()
            .filter(|leaf| !leafs.is_active(*leaf))
            .collect();
        for leaf in &idle {
            busy.remove(leaf);
        }
        if !idle.is_empty() {
            let release = Release {
                leafs: idle,
                ..release.clone()
            };
            let _ = ready.send((to, Message::Release(release)));
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
        waited += CHECK_INTERVAL;
    }
}
