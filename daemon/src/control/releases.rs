//! Holds releases back until this instance has nothing in flight at the released leafs.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use camphorhold::coordination::control::Message;
use camphorhold::coordination::ownership::Release;
use tokio::sync::mpsc;

use crate::leaf::Pool;

/// How often the released leafs are looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// After this time the new owners have waited out the handover anyway.
const GIVE_UP: Duration = Duration::from_secs(10);

/// Sends the release of each leaf once no call of this instance can run there any more.
pub async fn hold_back(
    release: Release,
    to: SocketAddr,
    leafs: Arc<Pool>,
    ready: mpsc::UnboundedSender<(SocketAddr, Message)>,
) {
    let mut held: HashSet<_> = release.leafs.iter().copied().collect();
    let mut waited = Duration::ZERO;
    while !held.is_empty() && waited < GIVE_UP {
        let idle: Vec<_> = held
            .iter()
            .copied()
            .filter(|leaf| !leafs.is_active(*leaf))
            .collect();
        for leaf in &idle {
            held.remove(leaf);
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
