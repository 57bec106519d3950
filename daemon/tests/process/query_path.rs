//! Tests of the path of a request through the instances: the file, the choice of the snapshot, the
//! forwarding to owners, the merge and the timeline.

use std::collections::BTreeMap;

use camphorhold_testutils::backend::Hit;
use camphorhold_testutils::backend::expected_hits;

use crate::support::cluster::Cluster;
use crate::support::file::Options;
use crate::support::file::SEARCH;
use crate::support::file::SEARCH_SHARDS;
use crate::support::query;

/// Returns the expected hits of all shards from snapshot 1, best first.
fn merged_hits(query: &str) -> Vec<(u32, String)> {
    let shards = 0..SEARCH_SHARDS;
    let hits = shards.flat_map(|shard| expected_hits(SEARCH, shard, 1, query));
    let mut hits: Vec<Hit> = hits.collect();
    hits.sort_by(|a, b| b.score.cmp(&a.score).then(a.document.cmp(&b.document)));
    hits.into_iter()
        .map(|hit| (hit.score, hit.document))
        .collect()
}

/// Guards against wrong, missing and duplicate hits in a merged answer, and against timelines in
/// which the events of a request are missing at the instances that worked on it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_instance_answers_completely_and_records_the_request() {
    let cluster = Cluster::start(Options::default()).await;
    for entry in &cluster.instances {
        let mut request = query::search("households of the north");
        let id = query::identify(&mut request);
        let reply = query::send(entry.addresses.caller, &request).await;
        let reply = reply.expect("the instance answers");
        assert_eq!((reply.status, reply.full()), (200, true), "{reply:?}");
        let snapshot = reply.answer.snapshot.expect("the answer has a snapshot");
        assert_eq!(snapshot.0, 1);
        let hits = reply.answer.hits.iter();
        let hits: Vec<_> = hits
            .map(|hit| (hit.score, hit.document.to_string()))
            .collect();
        assert_eq!(hits, merged_hits("households of the north"));

        let mut kinds = BTreeMap::new();
        for instance in &cluster.instances {
            let events = instance.timeline(id).await;
            let names: Vec<_> = events.into_iter().map(|event| event.kind).collect();
            kinds.insert(instance.addresses.control, names);
        }
        let received =
            |names: &&Vec<Box<str>>| names.iter().any(|name| **name == *"calls_received");
        let owners = kinds.values().filter(received).count();
        assert!(owners >= 1, "no owner recorded the request: {kinds:?}");
        let own = &kinds[&entry.addresses.control];
        for kind in ["request_admitted", "forwarded", "request_answered"] {
            assert!(own.iter().any(|name| **name == *kind), "{kind}: {kinds:?}");
        }
    }
    cluster.check_backend();
}
