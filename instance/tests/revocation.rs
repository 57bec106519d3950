//! Tests of keys that are taken away while an instance does not hear of it. The instances run as
//! processes against the stand-ins of the platform's store and leafs.

mod support;

use std::time::Duration;

use bytes::Bytes;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold_testutils::platform::CONFIGURATION_KEY;
use camphorhold_testutils::platform::configuration;
use camphorhold_testutils::platform::leaf::Leaf;
use camphorhold_testutils::platform::store::Fault;
use futures::future::join_all;
use hyper::Response;
use hyper::StatusCode;
use serde_json::json;
use support::Instance;
use support::Platform;
use support::wait_until;

const SERVICES: [(&str, &str); 2] = [("s1", "a"), ("s1", "b")];

const KEY: &str = "sesame-7719";
const KEY_HEADER: [(&str, &str); 1] = [("x-camphorhold-key", KEY)];

const REVOCATION_TIME: Duration = Duration::from_millis(1_500);

/// Longer than a busy machine keeps an instance from running.
const LONG_REVOCATION_TIME: Duration = Duration::from_secs(4);

/// With this time for changes, the pause after changes is longer than [`LONG_REVOCATION_TIME`].
const LONG_CHANGE_TIME: Duration = Duration::from_secs(30);

/// Longer than a proof holds that is not renewed.
const OBSERVED_TIME: Duration = Duration::from_secs(6);

const RECEIVED: &str = r#"camphorhold_datagrams_total{kind="challenge_answer",outcome="received"}"#;

/// Writes a configuration in which `/one/` is public and `/once/` needs a key.
fn configure(platform: &Platform, version: u64, keys: &[&str]) {
    let mut configuration = configuration(version, &["s1"]);
    configuration["tenants"] = json!([{"name": "customer", "api_keys": keys}]);
    configuration["routes"][1]["public"] = true.into();
    platform.store.put(CONFIGURATION_KEY, &configuration);
}

async fn start(count: usize, revocation_time: Duration) -> (Platform, Vec<Instance>) {
    let platform = Platform::start(&SERVICES).await;
    configure(&platform, 2, &[KEY]);
    let mut instances = Vec::new();
    for number in 0..count {
        let mut instance = Instance::start(&platform, &number.to_string(), "a").await;
        instance.set_revocation(revocation_time).await;
        instances.push(instance);
    }
    for instance in &instances {
        wait_until("a request with the key is served", || async {
            instance.is_up_to_date(&platform).await
                && send(instance, "first", "/once/x").await.status() == StatusCode::OK
        })
        .await;
    }
    (platform, instances)
}

async fn send(instance: &Instance, id: &str, path: &str) -> Response<Bytes> {
    let answer = instance.send_with(id, path, &KEY_HEADER).await;
    answer.expect("an answer")
}

fn runs(platform: &Platform, request: &str) -> usize {
    let runs = platform.leafs.iter().flat_map(Leaf::runs);
    runs.filter(|run| run.request == request).count()
}

/// Requires that requests on a public route are served, and that those with the key are not.
async fn assert_only_public_routes_are_served(platform: &Platform, instance: &Instance) {
    let public = send(instance, "public", "/one/x").await;
    assert_eq!(public.status(), StatusCode::OK);
    let keyed = send(instance, "late", "/once/x").await;
    assert_eq!(keyed.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(keyed.headers().contains_key("retry-after"));
    assert_eq!(runs(platform, "late"), 0);
}

/// Guards against a key that works for ever at an instance whose connection to the store is silent,
/// against public routes that are not served there, and against an instance that does not recover.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_taken_away_stops_working_while_the_store_is_silent() {
    let (platform, instances) = start(1, REVOCATION_TIME).await;
    let instance = &instances[0];
    platform.store.set_fault(Fault::Silent);
    configure(&platform, 3, &[]);
    tokio::time::sleep(REVOCATION_TIME).await;
    assert_only_public_routes_are_served(&platform, instance).await;
    let unproven = r#"camphorhold_key_refusals_total{reason="unproven"}"#;
    assert!(instance.counter(unproven).await > 0);
    platform.store.set_fault(Fault::None);
    wait_until("the new configuration is in force", || async {
        send(instance, "later", "/once/x").await.status() == StatusCode::UNAUTHORIZED
    })
    .await;
    assert_eq!(runs(&platform, "later"), 0);
    assert!(!instance.log().contains("sesame"), "a key is logged");
}

/// Guards against a key that works right after an instance was stopped for longer than the revocation
/// time, by what it knew before, and against one that no longer works although it still may.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_taken_away_during_a_suspension_does_not_work_after_it() {
    let (platform, mut instances) = start(3, REVOCATION_TIME).await;
    for (round, frozen) in (0..).zip(0..instances.len()) {
        configure(&platform, 3 + 2 * round, &[KEY]);
        let served = &instances[frozen];
        wait_until("the key works", || async {
            send(served, "again", "/once/x").await.status() == StatusCode::OK
        })
        .await;
        instances[frozen].freeze();
        configure(&platform, 4 + 2 * round, &[]);
        tokio::time::sleep(REVOCATION_TIME).await;
        let (id, public) = (format!("late-{round}"), format!("public-{round}"));
        let late = (0..8).map(|_| send(&instances[frozen], &id, "/once/x"));
        let open = send(&instances[frozen], &public, "/one/x");
        let mut thawed = std::pin::pin!(futures::future::join(join_all(late), open));
        // The requests wait in the sockets of the instance before it continues.
        let early = tokio::time::timeout(Duration::from_millis(200), &mut thawed).await;
        assert!(early.is_err(), "a suspended instance has answered");
        let id_of_frozen = instances[frozen].id();
        support::thaw(id_of_frozen);
        let (answers, open) = thawed.await;
        assert_eq!(open.status(), StatusCode::OK);
        assert_eq!(runs(&platform, &id), 0);
        for answer in answers {
            let status = answer.status();
            let refused = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::UNAUTHORIZED];
            assert!(refused.contains(&status), "{status}");
        }
    }
}

/// Guards against a key that was taken away and works again because the store was restored from a copy
/// that still has it, and against requests that stay refused after that.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_taken_away_does_not_come_back_with_a_copy_of_the_store() {
    let (platform, instances) = start(2, REVOCATION_TIME).await;
    let copy = platform.store.copy();
    configure(&platform, 3, &["another"]);
    let other_key = [("x-camphorhold-key", "another")];
    for instance in &instances {
        wait_until("the key is refused", || async {
            send(instance, "refused", "/once/x").await.status() == StatusCode::UNAUTHORIZED
        })
        .await;
    }
    let before = runs(&platform, "refused");
    platform.store.restore(copy);
    for instance in &instances {
        wait_until("the restore is noticed", || async {
            let answer = send(instance, "refused", "/once/x").await;
            assert_ne!(answer.status(), StatusCode::OK);
            instance.counter("camphorhold_store_restores_total").await > 0
        })
        .await;
    }
    configure(&platform, 3, &["another"]);
    for instance in &instances {
        wait_until("proofs hold again", || async {
            let answer = send(instance, "refused", "/once/x").await;
            assert_ne!(answer.status(), StatusCode::OK);
            let answer = instance.send_with("other", "/once/x", &other_key).await;
            answer.expect("an answer").status() == StatusCode::OK
        })
        .await;
    }
    assert_eq!(runs(&platform, "refused"), before);
}

/// Guards against requests that are refused by an instance that has just read the configuration.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_works_as_soon_as_an_instance_is_ready() {
    let (platform, mut instances) = start(1, LONG_REVOCATION_TIME).await;
    instances[0].kill();
    instances[0].restart().await;
    // No further read is answered: what was read until now is the only proof.
    platform.store.set_fault(Fault::Silent);
    let answer = send(&instances[0], "early", "/once/x").await;
    assert_eq!(answer.status(), StatusCode::OK);
}

/// Guards against requests that are refused although proofs are renewed, against instances that get
/// no proofs from each other, and against a pause after changes in which no proof holds.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_while_proofs_are_renewed() {
    let (platform, mut instances) = start(3, LONG_REVOCATION_TIME).await;
    for instance in &mut instances {
        instance.set_change_time(LONG_CHANGE_TIME).await;
    }
    let started = SystemClock.now();
    let mut version = 2;
    let mut received = 0;
    while received < 10 || SystemClock.now().saturating_duration_since(started) < OBSERVED_TIME {
        version += 1;
        configure(&platform, version, &[KEY]);
        received = 0;
        for instance in &instances {
            let answer = send(instance, "keyed", "/once/x").await;
            assert_eq!(answer.status(), StatusCode::OK);
            received += instance.counter(RECEIVED).await;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
