//! Tests of leafs that limit the requests from all instances together. The instances run as
//! processes against the stand-ins of the platform.

mod support;

use std::time::Duration;
use std::time::Instant;

use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold_testutils::platform::leaf::Behaviour;
use camphorhold_testutils::platform::leaf::Run;
use futures::future::join_all;
use hyper::StatusCode;
use support::Instance;
use support::Platform;

/// The span over which the requests to a leaf are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// How long an instance that was told a limit may take to keep to it.
const REACTION_TIME: Duration = Duration::from_millis(500);

/// The pause between two requests of the load, over all instances.
const PAUSE: Duration = Duration::from_millis(12);

async fn start_instances(platform: &Platform) -> Vec<Instance> {
    let mut instances = Vec::new();
    for (name, domain) in [("1", "a"), ("2", "a"), ("3", "b")] {
        instances.push(Instance::start(platform, name, domain).await);
    }
    instances
}

/// Sends requests to the instances in turn and asserts that each of them is answered.
async fn send_load(instances: &[Instance], requests: u32) {
    join_all((0..requests).map(|number| async move {
        tokio::time::sleep(PAUSE * number).await;
        let instance = &instances[number as usize % instances.len()];
        let answer = instance.send(&format!("r{number}"), "/one/x").await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status(), StatusCode::OK, "request {number}");
    }))
    .await;
}

/// Returns the most requests that a leaf got in any [`WINDOW`] from `since` on.
fn busiest_window(runs: &[Run], since: Instant) -> usize {
    let counted: Vec<Instant> = runs
        .iter()
        .map(|run| run.at)
        .filter(|at| *at >= since)
        .collect();
    let in_window = |start: &Instant| {
        let in_window = |at: &&Instant| **at >= *start && **at - *start < WINDOW;
        counted.iter().filter(in_window).count()
    };
    counted.iter().map(in_window).max().unwrap_or(0)
}

/// Guards against a leaf that gets more requests than the limit that it names, because each
/// instance goes on as before.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaf_gets_no_more_requests_than_it_names() {
    const LIMIT: u32 = 8;
    let platform = Platform::start(&[("s1", "a"), ("s1", "a")]).await;
    let instances = start_instances(&platform).await;
    // The instances prefer the leaf with the limit.
    platform.leafs[1].set_behaviour(Behaviour::Slow(Duration::from_millis(20)));
    platform.leafs[0].set_limit(Some(f64::from(LIMIT)));
    let warm_up = 40;
    send_load(&instances, warm_up).await;
    let since = SystemClock.now() + REACTION_TIME;
    send_load(&instances, 420).await;
    let busiest = busiest_window(&platform.leafs[0].runs(), since);
    let allowed = usize::try_from(LIMIT * 4 * 3 / 2 + 5).unwrap();
    assert!(busiest <= allowed, "{busiest} requests, {allowed} allowed");
    assert!(busiest > 0, "the leaf is not used at all");
}

/// Guards against a leaf that many instances call once each before they know that it wants no calls.
#[tokio::test(flavor = "multi_thread")]
async fn instances_that_have_not_called_a_limited_leaf_keep_to_its_limit() {
    const INSTANCES: u32 = 14;
    let platform = Platform::start(&[("s1", "a"), ("s1", "a")]).await;
    let mut instances = Vec::new();
    for name in 1..=INSTANCES {
        instances.push(Instance::start(&platform, &name.to_string(), "a").await);
    }
    platform.leafs[0].set_limit(Some(0.0));
    send_load(&instances[..1], 20).await;
    tokio::time::sleep(REACTION_TIME).await;
    let since = SystemClock.now();
    send_load(&instances, 6 * INSTANCES).await;
    let busiest = busiest_window(&platform.leafs[0].runs(), since);
    assert!(busiest <= 5, "{busiest} requests, 5 allowed");
}

/// Guards against an instance that ends, or grants tokens, because of a claim that is none.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_claims_are_refused() {
    let platform = Platform::start(&[("s1", "a")]).await;
    let instance = Instance::start(&platform, "1", "a").await;
    for body in [
        &b""[..],
        b"{}",
        br#"{"claimant":"2","claims":[{"leaf":1}]}"#,
        &vec![b'['; 32 << 10],
        &vec![b' '; 100 << 10],
    ] {
        let status = instance.claim_tokens(body).await;
        assert_eq!(status, StatusCode::BAD_REQUEST, "{} bytes", body.len());
    }
    let impossible = br#"{"claimant":"2","claims":[{"leaf":"i-0","domain":"a","limit":-1.0,
        "heard_ms_ago":18446744073709551615,"wanted":5,"returned":4294967295}]}"#;
    assert_eq!(instance.claim_tokens(impossible).await, StatusCode::OK);
    let answer = instance.send("r1", "/one/x").await;
    assert_eq!(answer.expect("an answer").status(), StatusCode::OK);
}
