//! Tests that backend servers which drain or are taken out of service get no new calls.

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

/// The time after which a leaving server gets no new calls.
const EXCLUSION_TIME: Duration = Duration::from_secs(5);

/// How long, after that, the test checks that the server gets no calls.
const WATCH_TIME: Duration = Duration::from_secs(2);

/// How many calls each leaf must have got before each instance can afford several retries, at one
/// retry per 20 calls. Each instance sends a third of the calls to the six leafs.
const EARNING_CALLS: u64 = 60;

/// The failure domain that a file takes out of service.
const OUT: &str = "south";

fn out(leaf: &Leaf) -> bool {
    leaf.failure_domain == OUT
}

fn stream(cluster: &Cluster) -> Stream {
    let callers = cluster.instances.iter();
    let callers: Vec<_> = callers.map(|instance| instance.addresses.caller).collect();
    Stream::start(&callers)
}

/// Guards against calls to a failure domain that the operators' file has taken out of service, and
/// against a domain that stays unused after a later file has put it back in service.
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
    tokio::time::sleep(EXCLUSION_TIME).await;
    let excluded = cluster.searches_at(out);
    let others = cluster.searches_at(|leaf| !out(leaf));
    tokio::time::sleep(WATCH_TIME).await;
    wait_until("the other domains get calls", || async {
        let after = cluster.searches_at(|leaf| !out(leaf));
        others.iter().all(|(leaf, calls)| after[leaf] > *calls)
    })
    .await;
    assert_eq!(cluster.searches_at(out), excluded);
    cluster.wait_covered().await;
    let revision = cluster.apply(cluster.options).await;
    cluster.wait_revision(revision).await;
    wait_until("the domain gets calls again", || async {
        let after = cluster.searches_at(out);
        excluded.iter().all(|(leaf, calls)| after[leaf] > *calls)
    })
    .await;
    let sent = stream.stop().await;
    assert_eq!(sent.unanswered, Vec::<String>::new());
    sent.check_entries(&cluster);
    cluster.check_backend();
}

/// Guards against calls from any instance to a server that has answered that it drains.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_server_is_excluded_everywhere() {
    let cluster = Cluster::start(Options::default()).await;
    let draining = cluster.leafs[0].address;
    let stream = stream(&cluster);
    drain(&cluster, draining).await;
    tokio::time::sleep(EXCLUSION_TIME).await;
    let excluded = cluster.searches()[&draining];
    let others = cluster.searches();
    tokio::time::sleep(WATCH_TIME).await;
    wait_until("the other leafs get calls", || async {
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

/// Guards against answers without the shard of a draining server although the other replica of the
/// shard serves.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn coverage_stays_full_while_a_server_drains() {
    let cluster = Cluster::start(Options::default()).await;
    let draining = cluster.leafs[0].address;
    let stream = stream(&cluster);
    drain(&cluster, draining).await;
    let others = cluster.searches();
    wait_until("the other leafs get calls", || async {
        let after = cluster.searches();
        let mut others = others.iter().filter(|(leaf, _)| **leaf != draining);
        others.all(|(leaf, calls)| after[leaf] > calls + EARNING_CALLS)
    })
    .await;
    let sent = stream.stop().await;
    let partial: Vec<_> = sent.searches.iter().filter(|reply| !reply.full()).collect();
    assert!(partial.is_empty(), "{partial:?}");
}

/// Makes a server drain once the instances have earned retries, and waits until it has answered a
/// call with that state.
async fn drain(cluster: &Cluster, draining: SocketAddr) {
    // Each retry at the other replica uses the retry budget, which earlier calls must have filled.
    wait_until("queries have filled the retry budget", || async {
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
    wait_until("the server has answered that it drains", || async {
        let counters = cluster.backend.counters();
        counters[0].answers.contains_key("draining")
    })
    .await;
}
