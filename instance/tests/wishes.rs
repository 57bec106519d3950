//! Tests of leafs whose answers say that they are leaving, or want no requests for a while. The
//! instances run as processes against the stand-ins of the platform.

mod support;

use std::time::Duration;

use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold_testutils::platform::leaf::Behaviour;
use hyper::StatusCode;
use support::Instance;
use support::Platform;
use support::wait_until;

/// Sends requests one after the other until `time` has passed. Returns how many were answered and
/// how many were not.
async fn send_for(instance: &Instance, path: &str, time: Duration) -> (usize, usize) {
    let started = SystemClock.now();
    let mut answered = 0;
    let mut others = 0;
    while SystemClock.now().saturating_duration_since(started) < time {
        let answer = instance
            .send(&format!("r{}", answered + others), path)
            .await;
        if answer.expect("an answer").status() == StatusCode::OK {
            answered += 1;
        } else {
            others += 1;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    (answered, others)
}

/// Guards against requests to a leaf that has said that it is leaving, also when its entry is
/// written once more as before.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaf_that_says_it_is_leaving_gets_no_further_requests() {
    let platform = Platform::start(&[("s1", "a"), ("s1", "b"), ("s2", "a"), ("s2", "b")]).await;
    let instance = Instance::start(&platform, "1", "a").await;
    let leaving = &platform.leafs[0];
    leaving.set_leaving(true);
    wait_until("the leaf has answered", || async {
        instance.send("first", "/all/x").await.expect("an answer");
        !leaving.arrivals().is_empty()
    })
    .await;
    let before = leaving.arrivals().len();
    let mut entry = leaving.entry("ready");
    entry["sequence"] = 2.into();
    entry["cold_left_ms"] = 5.into();
    platform.store.put(&leaving.key(), &entry);
    for path in ["/all/x", "/one/x", "/once/x"] {
        let (answered, others) = send_for(&instance, path, Duration::from_millis(600)).await;
        assert!(answered > 0 && others == 0, "{path}: {others} not answered");
    }
    assert_eq!(leaving.arrivals().len(), before);
    // The next incarnation is another one.
    leaving.set_leaving(false);
    entry["born"] = 2.into();
    platform.store.put(&leaving.key(), &entry);
    wait_until("the next incarnation is used", || async {
        instance.send("next", "/one/x").await.expect("an answer");
        leaving.arrivals().len() > before
    })
    .await;
}

/// Guards against requests to a leaf that has asked for none for a while, whose callers others can
/// answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaf_gets_no_requests_while_it_wants_none() {
    const PAUSE: Duration = Duration::from_millis(2_500);
    let platform = Platform::start(&[("s1", "a"), ("s1", "b")]).await;
    let instance = Instance::start(&platform, "1", "a").await;
    let resting = &platform.leafs[0];
    resting.set_behaviour(Behaviour::RefuseFor(2_500));
    let (answered, others) = send_for(&instance, "/one/x", Duration::from_secs(4)).await;
    assert!(answered > 0 && others == 0, "{others} not answered");
    let arrivals = resting.arrivals();
    assert!(arrivals.len() > 1, "the leaf is not tried again");
    for pair in arrivals.windows(2) {
        assert!(pair[1] - pair[0] >= PAUSE, "{:?}", pair[1] - pair[0]);
    }
}

/// Guards against callers that wait although it is known that no leaf takes their requests, and
/// against a pause that no leaf can mean.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_refused_at_once_while_all_leafs_want_none() {
    let platform = Platform::start(&[("s1", "a"), ("s1", "b")]).await;
    let instance = Instance::start(&platform, "1", "a").await;
    for leaf in &platform.leafs {
        leaf.set_behaviour(Behaviour::RefuseFor(u64::MAX));
    }
    for path in ["/one/x", "/once/x", "/all/x"] {
        let answer = instance.send("r", path).await.expect("an answer");
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    }
    let before = platform.leafs.iter().map(|leaf| leaf.arrivals().len());
    let before: Vec<usize> = before.collect();
    let started = SystemClock.now();
    let requests = 20;
    for path in ["/one/x", "/once/x", "/all/x"] {
        for _ in 0..requests {
            let answer = instance.send("r", path).await.expect("an answer");
            assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
            assert!(answer.headers().contains_key("retry-after"));
        }
    }
    // A request that waited for a leaf would wait for a fifth of the objective of 1 s.
    let time = SystemClock.now().saturating_duration_since(started);
    assert!(time < Duration::from_millis(200) * requests, "{time:?}");
    let after = platform.leafs.iter().map(|leaf| leaf.arrivals().len());
    assert_eq!(after.collect::<Vec<_>>(), before);
}
