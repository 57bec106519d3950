//! Tests of the service after the loss of an instance.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::support::cluster::Cluster;
use crate::support::file::Options;
use crate::support::stream::Stream;
use crate::support::wait_until;

/// Guards against three faults after an instance is killed: the others report false outcomes while
/// calls to the killed owner fail, its leafs stay without an owner, or the new owners overload cold
/// leafs because they do not know which leafs are warm.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_leafs_of_a_killed_instance_get_new_owners() {
    let mut cluster = Cluster::start(Options::default()).await;
    let others: Vec<SocketAddr> = cluster.instances[1..]
        .iter()
        .map(|instance| instance.addresses.caller)
        .collect();
    let stream = Stream::start(&others);
    wait_until("queries run", || async {
        cluster.searches().values().all(|calls| *calls > 5)
    })
    .await;
    let mut killed = cluster.instances.remove(0);
    killed.kill();
    cluster.list_all();
    cluster.wait_members(2).await;
    wait_until("all leafs have owners", || async {
        let statuses = cluster.statuses().await;
        let owned: BTreeSet<_> = statuses
            .iter()
            .flat_map(|status| &status.services)
            .flat_map(|service| &service.leafs)
            .map(|leaf| leaf.leaf)
            .collect();
        owned.len() == cluster.leafs.len()
    })
    .await;
    let before = cluster.searches();
    wait_until("the new owners send calls to all leafs", || async {
        let after = cluster.searches();
        before.iter().all(|(leaf, calls)| after[leaf] > *calls)
    })
    .await;
    cluster.wait_covered().await;
    let sent = stream.stop().await;
    assert_eq!(sent.unanswered, Vec::<String>::new());
    assert!(sent.full() > 0);
    sent.check_entries(&cluster);
    cluster.check_backend();
}
