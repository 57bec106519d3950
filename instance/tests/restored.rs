//! Tests of a store that comes back from a copy that is some seconds old. The instances run as
//! processes against the stand-ins of the platform.

mod support;

use std::time::Duration;

use bytes::Bytes;
use camphorhold_testutils::platform::evacuation_key;
use camphorhold_testutils::platform::leaf::Behaviour;
use camphorhold_testutils::platform::leaf::Leaf;
use hyper::Response;
use hyper::StatusCode;
use serde_json::json;
use support::Instance;
use support::Platform;
use support::wait_until;

/// Longer than the time within which everything is written again after a restore.
const REWRITING_TIME: Duration = Duration::from_millis(2_800);

const RESTORES: &str = "camphorhold_store_restores_total";
const VERSION: &str = "camphorhold_config_version";

fn stamp(answer: &Response<Bytes>) -> &str {
    let value = answer.headers().get("x-camphorhold-server-stamp");
    value.map_or("", |value| value.to_str().unwrap_or_default())
}

async fn wait_for_version(instance: &Instance, version: u64) {
    wait_until(&format!("version {version} is in force"), || async {
        instance.counter(VERSION).await == version
    })
    .await;
}

/// Guards against a configuration that is passed over because its revision was given out before the
/// store was restored.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_written_after_a_restore_is_in_force() {
    let platform = Platform::start(&[("s1", "a"), ("s2", "a")]).await;
    let instance = Instance::start(&platform, "1", "a").await;
    let copy = platform.store.copy();
    platform.configure(2, &["s1"]);
    platform.configure(3, &["s1"]);
    wait_for_version(&instance, 3).await;
    platform.store.restore(copy);
    platform.configure(3, &["s1"]);
    platform.configure(4, &["s2"]);
    wait_for_version(&instance, 4).await;
    let answer = instance.send("r1", "/one/x").await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(stamp(&answer), "i-1-r1");
}

/// Guards against changes that are never read because the store has given out the revisions of an
/// instance again before the instance noticed that it was restored.
#[tokio::test(flavor = "multi_thread")]
async fn changes_below_the_watched_revision_are_read_after_a_restore() {
    let platform = Platform::start(&[("s1", "a"), ("s2", "a")]).await;
    let instance = Instance::start(&platform, "1", "a").await;
    let copy = platform.store.copy();
    platform.configure(2, &["s1"]);
    wait_for_version(&instance, 2).await;
    platform.store.restore(copy);
    platform.configure(3, &["s2"]);
    for number in 0..20 {
        let key = format!("other/{number}");
        platform.store.put(&key, &json!({}));
    }
    wait_for_version(&instance, 3).await;
}

/// Guards against a configuration that comes back older with the copy.
#[tokio::test(flavor = "multi_thread")]
async fn a_restored_copy_does_not_take_back_the_configuration() {
    let platform = Platform::start(&[("s1", "a"), ("s2", "a")]).await;
    let instance = Instance::start(&platform, "1", "a").await;
    let copy = platform.store.copy();
    platform.configure(2, &["s2"]);
    wait_for_version(&instance, 2).await;
    platform.store.restore(copy);
    wait_for_restore(&instance).await;
    assert_eq!(instance.counter(VERSION).await, 2);
    let answer = instance.send("r1", "/one/x").await.unwrap();
    assert_eq!(stamp(&answer), "i-1-r1");
}

async fn wait_for_restore(instance: &Instance) {
    wait_until("the restore is noticed", || async {
        instance.counter(RESTORES).await > 0
    })
    .await;
}

fn entry(leaf: &Leaf, state: &str, writes: u64) -> serde_json::Value {
    let mut entry = leaf.entry(state);
    entry["sequence"] = writes.into();
    entry
}

/// Guards against calls to leafs that left, or began to drain, after the copy was made.
#[tokio::test(flavor = "multi_thread")]
async fn leafs_that_left_are_not_used_again_after_a_restore() {
    let platform = Platform::start(&[("s1", "a"), ("s1", "a"), ("s1", "a")]).await;
    let instance = Instance::start(&platform, "1", "a").await;
    let copy = platform.store.copy();
    let [draining, left, stays] = &platform.leafs[..] else {
        panic!("three leafs");
    };
    // The instance prefers the other leafs if it may call them.
    stays.set_behaviour(Behaviour::Slow(Duration::from_millis(30)));
    platform
        .store
        .put(&draining.key(), &entry(draining, "draining", 7));
    platform.store.remove(&left.key());
    wait_until("only one leaf is used", || async {
        let before = stays.runs().len();
        for number in 0..6 {
            let id = format!("w{number}");
            let answer = instance.send(&id, "/one/x").await.unwrap();
            assert_eq!(answer.status(), StatusCode::OK);
        }
        stays.runs().len() == before + 6
    })
    .await;
    platform.store.restore(copy);
    wait_for_restore(&instance).await;
    for pause in [Duration::ZERO, REWRITING_TIME] {
        tokio::time::sleep(pause).await;
        for number in 0..10 {
            let id = format!("r{number}");
            let answer = instance.send(&id, "/one/x").await.unwrap();
            assert!(stamp(&answer).starts_with("i-2-"), "{answer:?}");
        }
    }
}

/// Guards against calls to a failure domain that was taken out of service after the copy was made,
/// and against one that stays out although the operators do not write it again.
#[tokio::test(flavor = "multi_thread")]
async fn an_evacuation_outlasts_a_restore_until_it_can_be_written_again() {
    let platform = Platform::start(&[("s1", "a"), ("s1", "b")]).await;
    let instance = Instance::start(&platform, "1", "a").await;
    let copy = platform.store.copy();
    platform.store.put(&evacuation_key("a"), &json!({}));
    let send = async |id: &str| instance.send(id, "/one/x").await.unwrap();
    wait_until("the domain gets no calls", || async {
        stamp(&send("r").await).starts_with("i-1-")
    })
    .await;
    platform.store.restore(copy);
    wait_for_restore(&instance).await;
    for number in 0..10 {
        let answer = send(&format!("r{number}")).await;
        assert!(stamp(&answer).starts_with("i-1-"), "{answer:?}");
    }
    wait_until("the domain gets calls again", || async {
        stamp(&send("r").await).starts_with("i-0-")
    })
    .await;
}

/// Guards against an instance whose registration is lost until its lease would have to be renewed.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_registers_again_after_a_restore() {
    let platform = Platform::start(&[("s1", "a")]).await;
    let copy = platform.store.copy();
    let _instance = Instance::start(&platform, "1", "a").await;
    let is_registered = || async { platform.store.count("camphorhold/instances/") == 1 };
    wait_until("the instance is registered", is_registered).await;
    platform.store.restore(copy);
    assert_eq!(platform.store.count("camphorhold/instances/"), 0);
    wait_until("the instance is registered again", is_registered).await;
}
