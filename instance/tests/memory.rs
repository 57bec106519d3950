//! Tests of the memory of an instance that runs for long.

mod support;

use futures::StreamExt;
use futures::stream;
use hyper::StatusCode;
use support::Instance;
use support::Platform;

const SHARDS: usize = 80;

/// The queries before and between the two readings.
const WARM_UP: usize = 800;
const QUERIES: usize = 4_000;

/// What a sample of a histogram occupies until it has been added to its bucket, in bytes.
const SAMPLE_BYTES: usize = 18;

async fn query(instance: &Instance, count: usize) {
    let queries = stream::iter(0..count).map(|number| async move {
        let answer = instance.send(&format!("r{number}"), "/all/x").await;
        answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
    });
    let answered = queries
        .buffer_unordered(8)
        .filter(|ok| std::future::ready(*ok));
    assert!(answered.count().await >= count * 9 / 10);
}

/// Guards against memory that grows with every query until somebody reads the metrics.
#[tokio::test(flavor = "multi_thread")]
async fn memory_does_not_grow_while_nobody_reads_the_metrics() {
    let shards: Vec<String> = (0..SHARDS).map(|shard| format!("s{shard}")).collect();
    let leafs: Vec<(&str, &str)> = shards.iter().map(|shard| (&**shard, "a")).collect();
    let platform = Platform::start(&leafs).await;
    let instance = Instance::start(&platform, "1", "a").await;
    query(&instance, WARM_UP).await;
    let before = instance.memory();
    query(&instance, QUERIES).await;
    let growth = instance.memory().saturating_sub(before);
    let samples = QUERIES * SHARDS;
    assert!(growth < samples * SAMPLE_BYTES / 2, "{growth} bytes");
}
