//! Tests of failures that operators of similar systems have reported. The instances run as processes
//! against the stand-ins of the platform.

mod support;

use std::time::Duration;

use bytes::Bytes;
use camphorhold_testutils::platform::CONFIGURATION_KEY;
use camphorhold_testutils::platform::leaf::Behaviour;
use camphorhold_testutils::platform::leaf::Leaf;
use hyper::Response;
use hyper::StatusCode;
use support::Instance;
use support::Platform;
use support::wait_until;

const TWO_LEAFS: [(&str, &str); 2] = [("s1", "a"), ("s1", "b")];

fn stamp(answer: &Response<Bytes>) -> &str {
    let value = answer.headers().get("x-camphorhold-server-stamp");
    value.map_or("", |value| value.to_str().unwrap_or_default())
}

/// Guards against an answer that broke off halfway and reaches the caller as a success, whichever
/// way its end is stated.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_breaks_off_is_no_success() {
    for behaviour in [
        Behaviour::Truncate,
        Behaviour::TruncateChunks,
        Behaviour::Reset,
    ] {
        let platform = Platform::start(&TWO_LEAFS).await;
        let instance = Instance::start(&platform, "1", "a").await;
        platform.leafs[0].set_behaviour(behaviour);
        let answer = instance.send("r1", "/one/x").await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK, "{behaviour:?}");
        assert_eq!(stamp(&answer), "i-1-r1", "{behaviour:?}");
        platform.leafs[1].set_behaviour(behaviour);
        let answer = instance.send("r2", "/one/x").await.unwrap();
        assert!(!answer.status().is_success(), "{behaviour:?}: {answer:?}");
    }
}

/// Guards against the use of a leaf that left while the instance was down, and of a configuration
/// that was replaced meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_instance_uses_only_what_the_store_holds() {
    let platform = Platform::start(&[("s1", "a"), ("s1", "a"), ("s2", "a")]).await;
    let mut instance = Instance::start(&platform, "1", "a").await;
    let answer = instance.send("r1", "/one/x").await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    instance.kill();
    platform.store.remove(&platform.leafs[0].key());
    instance.restart().await;
    for number in 0..10 {
        let answer = instance
            .send(&format!("r{number}"), "/one/x")
            .await
            .unwrap();
        assert!(stamp(&answer).starts_with("i-1-"), "{answer:?}");
    }
    instance.kill();
    platform.configure(2, &["s2"]);
    instance.restart().await;
    let answer = instance.send("r2", "/one/x").await.unwrap();
    assert!(stamp(&answer).starts_with("i-2-"), "{answer:?}");
}

/// Guards against running work that is given up, or started again elsewhere, because the entry of
/// its leaf has disappeared: a leaf that was silent for a while still finishes it.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_at_a_leaf_without_an_entry_is_finished_there() {
    let platform = Platform::start(&TWO_LEAFS).await;
    let instance = Instance::start(&platform, "1", "a").await;
    platform.leafs[0].set_behaviour(Behaviour::Slow(Duration::from_millis(1_500)));
    let request = instance.send("r1", "/once/x");
    let lapse = async {
        wait_until("the leaf has the request", || async {
            platform.leafs[0].runs().len() == 1
        })
        .await;
        platform.store.remove(&platform.leafs[0].key());
        wait_until("the instance has noticed", || async {
            let answer = instance.send("r2", "/one/x").await.unwrap();
            stamp(&answer) == "i-1-r2"
        })
        .await;
    };
    let (answer, ()) = tokio::join!(request, lapse);
    let answer = answer.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(stamp(&answer), "i-0-r1");
    let runs = platform.leafs.iter().flat_map(Leaf::runs);
    assert_eq!(runs.filter(|run| run.request == "r1").count(), 1);
}

/// Guards against a process that ends because of one malformed item in the store, and against one
/// that stops to apply further changes.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_items_of_the_store_are_ignored() {
    let platform = Platform::start(&TWO_LEAFS).await;
    let instance = Instance::start(&platform, "1", "a").await;
    let values: [&[u8]; 7] = [
        b"",
        b"{",
        b"[]",
        &[0xff; 64],
        br#"{"service":"s1","address":"x","zone":1}"#,
        br#"{"service":"s1","target_version":"v2","duration_s":1e300}"#,
        br#"{"domain":"a","address":"127.0.0.1:1","capacity":-1e308}"#,
    ];
    let keys = [
        CONFIGURATION_KEY,
        "servers/another",
        "op/evacuate/elsewhere",
        "op/rollout/s1",
        "status/rollout/s1",
        "camphorhold/instances/another",
        "camphorhold/other",
    ];
    // The instance applies the last change of each item that it reads at a time, so it has to read
    // each value before the next one is written. A change of a leaf that follows shows that it has.
    let near = &platform.leafs[0];
    for (round, value) in values.into_iter().enumerate() {
        for key in keys {
            platform.store.put_bytes(key, value);
        }
        let (state, expected) = if round % 2 == 0 {
            ("draining", "i-1-r1")
        } else {
            ("ready", "i-0-r1")
        };
        platform.store.put(&near.key(), &near.entry(state));
        wait_until("a later change is in force", || async {
            let answer = instance.send("r1", "/one/x").await.unwrap();
            assert_eq!(answer.status(), StatusCode::OK);
            stamp(&answer) == expected
        })
        .await;
    }
    assert!(instance.is_ready().await);
}
