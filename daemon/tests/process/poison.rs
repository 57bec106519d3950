//! Tests of a request that crashes each backend server that runs it.

use camphorhold::protocol::caller::Outcome;
use futures::future::join_all;

use crate::support::cluster::Cluster;
use crate::support::file::Options;
use crate::support::query;
use crate::support::wait_until;

/// How many times the test sends the poison query through each instance, both to all at the same
/// time and to one after the other.
const ROUNDS: usize = 10;

/// Guards against a poison request that crashes the servers of all shards, or up to two servers per
/// instance because the instances do not share what they know about it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_poison_query_crashes_two_servers_at_most() {
    let cluster = Cluster::start(Options {
        canary: true,
        ..Options::default()
    })
    .await;
    let poison = query::search("poison");
    for round in 0..ROUNDS {
        let callers = cluster.instances.iter();
        let replies =
            join_all(callers.map(|instance| query::send(instance.addresses.caller, &poison)));
        for reply in replies.await {
            let reply = reply.expect("the instance answers");
            reply.check(&poison);
            assert_ne!(reply.answer.outcome, Outcome::Answered, "{reply:?}");
        }
        for instance in &cluster.instances {
            let reply = query::send(instance.addresses.caller, &poison).await;
            reply.expect("the instance answers").check(&poison);
        }
        let other = query::search(&format!("harmless {round}"));
        let caller = cluster.instances[round % 3].addresses.caller;
        wait_until("other queries are answered", || async {
            let reply = query::send(caller, &other)
                .await
                .expect("the instance answers");
            reply.check(&other);
            reply.full()
        })
        .await;
    }
    for instance in &cluster.instances {
        wait_until("the query is refused with its reason", || async {
            let reply = query::send(instance.addresses.caller, &poison).await;
            let reply = reply.expect("the instance answers");
            reply.check(&poison);
            reply.status == 503 && reply.reason().contains("crashed backend servers")
        })
        .await;
    }
    let crashes: u64 = cluster
        .backend
        .counters()
        .iter()
        .map(|leaf| leaf.crashes)
        .sum();
    assert!((1..=2).contains(&crashes), "{crashes} crashes");
    cluster.check_backend();
}
