//! Tests of answers while the leafs change from one index snapshot to the next.

use std::time::Duration;

use camphorhold_testutils::backend::Change;

use crate::support::cluster::Cluster;
use crate::support::file::Options;
use crate::support::query;
use crate::support::stream::Stream;
use crate::support::wait_until;

/// The number of the last snapshot. The first is 1.
const LAST_SNAPSHOT: u64 = 4;

/// Guards against answers that mix hits from two snapshots, or whose coverage includes shards that
/// they lack, because the leafs get each new snapshot one after the other. The stream checks each
/// reply for both.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_come_from_one_snapshot_while_it_changes() {
    let cluster = Cluster::start(Options::default()).await;
    let callers = cluster.instances.iter();
    let callers: Vec<_> = callers.map(|instance| instance.addresses.caller).collect();
    let stream = Stream::start(&callers);
    for new in 2..=LAST_SNAPSHOT {
        for leaf in &cluster.leafs {
            set_snapshots(&cluster, leaf, vec![new - 1, new]);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        wait_answers_from(&cluster, new).await;
        for leaf in &cluster.leafs {
            set_snapshots(&cluster, leaf, vec![new]);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    cluster.wait_covered().await;
    let sent = stream.stop().await;
    assert_eq!(sent.unanswered, Vec::<String>::new());
    let seen = |snapshot: u64| {
        let mut answers = sent.searches.iter().map(|reply| reply.answer.snapshot);
        answers.any(|found| found.is_some_and(|found| found.0 == snapshot))
    };
    for snapshot in 1..=LAST_SNAPSHOT {
        assert!(seen(snapshot), "no answer from snapshot {snapshot}");
    }
    sent.check_entries(&cluster);
    cluster.check_backend();
}

fn set_snapshots(cluster: &Cluster, leaf: &crate::support::file::Leaf, snapshots: Vec<u64>) {
    cluster.change(&Change {
        leaf: Some(leaf.address),
        snapshots: Some(snapshots),
        ..Change::default()
    });
}

async fn wait_answers_from(cluster: &Cluster, snapshot: u64) {
    for instance in &cluster.instances {
        let request = query::search("snapshot");
        wait_until("answers come from the new snapshot", || async {
            let reply = query::send(instance.addresses.caller, &request).await;
            let reply = reply.expect("the instance answers");
            reply.check(&request);
            let found = reply.answer.snapshot.map(|found| found.0);
            reply.full() && found == Some(snapshot)
        })
        .await;
    }
}
