//! Guards against new work for backend servers that leave.

use std::net::SocketAddr;
use std::time::Duration;

use camphorhold_testutils::backend::Change;
use camphorhold_testutils::backend::Fault;
use camphorhold_testutils::backend::Lifecycle;

use crate::support::cluster::Cluster;
use crate::support::file::Leaf;
use crate::support::file::Options;
use crate::support::stream::Stream;
use crate::support::wait_until;

/// The time after which a leaving server receives no new work.
const TARGET: Duration = Duration::from_secs(5);

/// How long the servers are watched after that.
const WATCH_TIME: Duration = Duration::from_secs(2);

/// Calls per leaf that earn each instance several retries, at one per 20 calls. Each instance sends
/// a third of the calls to six leafs.
const EARNING_CALLS: u64 = 60;

const OUT: &str = "south";

fn out(leaf: &Leaf) -> bool {
    leaf.failure_domain == OUT
}

fn stream(cluster: &Cluster) -> Stream {
    let callers = cluster.instances.iter();
    let callers: Vec<_> = callers.map(|instance| instance.addresses.caller).collect();
    Stream::start(&callers)
}

/// Guards against calls to a failure domain that operators have taken out, and against a domain
/// that is not used again after its return.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_failure_domain_taken_out_gets_no_calls_until_its_return() {
    let cluster = Cluster::start(Options::default()).await;
    let stream = stream(&cluster);
    wait_until("queries run", || async {
        cluster.searches().values().all(|calls| *calls > 5)
    })
    .await;
    cluster
        .apply(Options {
            out: Some(OUT),
            ..cluster.options
        })
        .await;
    tokio::time::sleep(TARGET).await;
    let excluded = cluster.searches_at(out);
    let others = cluster.searches_at(|leaf| !out(leaf));
    tokio::time::sleep(WATCH_TIME).await;
    wait_until("the other domains serve", || async {
        let after = cluster.searches_at(|leaf| !out(leaf));
        others.iter().all(|(leaf, calls)| after[leaf] > *calls)
    })
    .await;
    assert_eq!(cluster.searches_at(out), excluded);
    cluster.wait_covered().await;
    let revision = cluster.apply(cluster.options).await;
    cluster.wait_revision(revision).await;
    wait_until("the domain is used again", || async {
        let after = cluster.searches_at(out);
        excluded.iter().all(|(leaf, calls)| after[leaf] > *calls)
    })
    .await;
    let sent = stream.stop().await;
    assert_eq!(sent.unanswered, Vec::<String>::new());
    sent.check_entries(&cluster);
    cluster.check_backend();
}

/// Guards against calls to a server that has said that it drains.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_server_is_excluded_everywhere() {
    let cluster = Cluster::start(Options::default()).await;
    let draining = cluster.leafs[0].address;
    let stream = stream(&cluster);
    drain(&cluster, draining).await;
    tokio::time::sleep(TARGET).await;
    let excluded = cluster.searches()[&draining];
    let others = cluster.searches();
    tokio::time::sleep(WATCH_TIME).await;
    wait_until("the other leafs serve", || async {
        let after = cluster.searches();
        let mut others = others.iter().filter(|(leaf, _)| **leaf != draining);
        others.all(|(leaf, calls)| after[leaf] > *calls)
    })
    .await;
    assert_eq!(cluster.searches()[&draining], excluded);
    cluster.wait_covered().await;
    let sent = stream.stop().await;
    assert_eq!(sent.unanswered, Vec::<String>::new());
    sent.check_entries(&cluster);
    cluster.check_backend();
}

/// Guards against answers that lack the shard of a draining server although its other replica
/// serves.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn coverage_stays_full_while_a_server_drains() {
    let cluster = Cluster::start(Options::default()).await;
    let draining = cluster.leafs[0].address;
    let stream = stream(&cluster);
    drain(&cluster, draining).await;
    let others = cluster.searches();
    wait_until("the other leafs serve", || async {
        let after = cluster.searches();
        let mut others = others.iter().filter(|(leaf, _)| **leaf != draining);
        others.all(|(leaf, calls)| after[leaf] > calls + EARNING_CALLS)
    })
    .await;
    let sent = stream.stop().await;
    let partial: Vec<_> = sent.searches.iter().filter(|reply| !reply.full()).collect();
    assert!(partial.is_empty(), "{partial:?}");
}

/// Lets a server drain after queries have run for a while, and waits until it has said so.
async fn drain(cluster: &Cluster, draining: SocketAddr) {
    // A retry at the other replica is paid from the budget that earlier calls have earned.
    wait_until("queries have earned a budget for retries", || async {
        cluster
            .searches()
            .values()
            .all(|calls| *calls > EARNING_CALLS)
    })
    .await;
    cluster.change(&Change {
        leaf: Some(draining),
        fault: Some(Fault {
            lifecycle: Lifecycle::Draining,
            ..Fault::default()
        }),
        ..Change::default()
    });
    wait_until("the server has said that it drains", || async {
        let counters = cluster.backend.counters();
        counters[0].answers.contains_key("draining")
    })
    .await;
}
