//! Tests of the keys of customers. The instances run as processes against the stand-ins of the
//! platform's store and leafs.

mod support;

use camphorhold_testutils::platform::CONFIGURATION_KEY;
use camphorhold_testutils::platform::configuration;
use camphorhold_testutils::platform::leaf::Leaf;
use camphorhold_testutils::platform::leaf::Run;
use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;
use support::Instance;
use support::Platform;
use support::wait_until;

const SERVICES: [(&str, &str); 4] = [("s1", "a"), ("s1", "b"), ("s2", "a"), ("s2", "b")];

const KEY: &str = "sesame-7719";
const OTHER_KEY: &str = "poppy-5522";

const KEY_HEADER: &str = "x-camphorhold-key";
const CUSTOMER_HEADER: &str = "x-camphorhold-tenant";

/// Writes a configuration in which `/one/` is public.
fn configure(platform: &Platform, version: u64, tenants: &Value) {
    let mut services: Vec<&str> = platform.leafs.iter().map(Leaf::service).collect();
    services.dedup();
    let mut configuration = configuration(version, &services);
    configuration["tenants"] = tenants.clone();
    configuration["routes"][1]["public"] = true.into();
    platform.store.put(CONFIGURATION_KEY, &configuration);
}

fn two_customers() -> Value {
    json!([
        {"name": "one", "api_keys": [KEY]},
        {"name": "two", "api_keys": [OTHER_KEY], "priority": 0},
    ])
}

async fn wait_until_up_to_date(platform: &Platform, instance: &Instance) {
    wait_until("the instance has read all changes", || {
        instance.is_up_to_date(platform)
    })
    .await;
}

fn runs(platform: &Platform, request: &str) -> Vec<Run> {
    let runs = platform.leafs.iter().flat_map(Leaf::runs);
    runs.filter(|run| run.request == request).collect()
}

/// Requires that a request has run at leafs, all of which were told these names and no key.
fn assert_customers(platform: &Platform, request: &str, names: &[&str]) {
    let runs = runs(platform, request);
    assert!(!runs.is_empty(), "{request} has not run");
    for run in runs {
        assert_eq!(run.customers, names, "{request}");
        assert!(!run.has_key, "{request}");
    }
}

/// Guards against requests that run without the key of a customer, a customer that a leaf is not told
/// or that a caller names itself, and keys that are forwarded or logged.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_needs_a_key_and_a_leaf_is_told_the_customer() {
    let platform = Platform::start(&SERVICES).await;
    configure(&platform, 2, &two_customers());
    let instance = Instance::start(&platform, "0", "a").await;
    wait_until_up_to_date(&platform, &instance).await;
    let refused: [(&str, &[(&str, &str)]); 6] = [
        ("none", &[]),
        ("empty", &[(KEY_HEADER, "")]),
        ("unknown", &[(KEY_HEADER, "sesame-7718")]),
        ("twice", &[(KEY_HEADER, KEY), (KEY_HEADER, KEY)]),
        ("two", &[(KEY_HEADER, KEY), (KEY_HEADER, "")]),
        ("named", &[(CUSTOMER_HEADER, "one")]),
    ];
    for path in ["/once/x", "/all/x"] {
        for (id, headers) in refused {
            let answer = instance.send_with(id, path, headers).await.unwrap();
            assert_eq!(answer.status(), StatusCode::UNAUTHORIZED, "{path} {id}");
            assert!(runs(&platform, id).is_empty(), "{path} {id}");
        }
    }
    let key = (KEY_HEADER, KEY);
    let spoofed = (CUSTOMER_HEADER, "two");
    let served = [
        ("r1", "/once/x", vec![key], vec!["one"]),
        ("r2", "/all/x", vec![key], vec!["one"]),
        ("r3", "/once/x", vec![key, spoofed, spoofed], vec!["one"]),
        ("r4", "/one/x", vec![key, spoofed], vec![]),
        ("r5", "/once/x", vec![(KEY_HEADER, OTHER_KEY)], vec!["two"]),
    ];
    for (id, path, headers, names) in served {
        let answer = instance.send_with(id, path, &headers).await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK, "{id}");
        assert_customers(&platform, id, &names);
    }
    // An invalid configuration, whose error would quote the key.
    configure(&platform, 3, &json!([{"name": "one", "api_keys": KEY}]));
    wait_until("the error is logged", || async {
        instance.log().contains("invalid configuration ignored")
    })
    .await;
    let log = instance.log();
    assert!(log.contains("reason"), "no refusal is logged");
    for secret in ["sesame", "poppy"] {
        assert!(!log.contains(secret), "a key is logged");
    }
}

/// Guards against a key that still works after it was taken away or was given to a second customer,
/// and against one that does not work for the customer that it has moved to.
#[tokio::test(flavor = "multi_thread")]
async fn keys_follow_the_configuration() {
    let platform = Platform::start(&SERVICES).await;
    configure(&platform, 2, &two_customers());
    let instance = Instance::start(&platform, "0", "a").await;
    let key = [(KEY_HEADER, KEY)];
    let moved = json!([
        {"name": "one", "api_keys": []}, {"name": "two", "api_keys": [OTHER_KEY, KEY]},
    ]);
    configure(&platform, 3, &moved);
    wait_until_up_to_date(&platform, &instance).await;
    let answer = instance.send_with("moved", "/once/x", &key).await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    assert_customers(&platform, "moved", &["two"]);
    let shared = json!([
        {"name": "one", "api_keys": [KEY]}, {"name": "two", "api_keys": [OTHER_KEY, KEY]},
    ]);
    for (version, tenants) in [(4, shared), (5, json!([]))] {
        configure(&platform, version, &tenants);
        wait_until_up_to_date(&platform, &instance).await;
        let answer = instance.send_with("away", "/once/x", &key).await.unwrap();
        assert_eq!(answer.status(), StatusCode::UNAUTHORIZED);
    }
    assert!(instance.log().contains("one, two"), "no error names them");
    let answer = instance.send_with("open", "/one/x", &key).await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
}

/// Guards against a deployment without customers in which keys and customers of callers reach leafs,
/// or are required.
#[tokio::test(flavor = "multi_thread")]
async fn without_customers_no_key_is_needed_and_none_is_forwarded() {
    let platform = Platform::start(&SERVICES).await;
    let instance = Instance::start(&platform, "0", "a").await;
    let headers = [(KEY_HEADER, KEY), (CUSTOMER_HEADER, "one")];
    for (id, path) in [("r1", "/once/x"), ("r2", "/all/x")] {
        let answer = instance.send_with(id, path, &headers).await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK);
        assert_customers(&platform, id, &[]);
    }
}

/// Guards against a customer that gets lost in a handover, against a key that is sent to another
/// instance, and against a handover of an instance that does not check keys.
#[tokio::test(flavor = "multi_thread")]
async fn a_handover_names_the_customer_and_carries_no_key() {
    let platform = Platform::start(&SERVICES).await;
    configure(&platform, 2, &two_customers());
    let instance = Instance::start(&platform, "0", "a").await;
    wait_until_up_to_date(&platform, &instance).await;
    let handover = ("camphorhold-handover", "2;2000;0,1".to_owned());
    let relayed = ("camphorhold-relay", "2".to_owned());
    let key = (KEY_HEADER, KEY.to_owned());
    let customer = (CUSTOMER_HEADER, "one".to_owned());
    for message in [&handover, &relayed] {
        for headers in [
            vec![message.clone(), key.clone()],
            vec![message.clone(), key.clone(), customer.clone()],
            vec![message.clone()],
        ] {
            let answer = instance.send_as_instance("/all/x", &headers).await.unwrap();
            assert_eq!(answer.status(), StatusCode::CONFLICT);
        }
        // No key is checked on a public route, so a customer there was named by a caller.
        if message == &relayed {
            let headers = [message.clone(), customer.clone()];
            let answer = instance.send_as_instance("/one/x", &headers).await.unwrap();
            assert_eq!(answer.status(), StatusCode::CONFLICT);
        }
    }
    assert_eq!(platform.runs(), 0);
    for message in [handover, relayed] {
        let headers = [message, customer.clone()];
        let answer = instance.send_as_instance("/all/x", &headers).await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK);
    }
    assert_eq!(platform.runs(), 4);
    assert_customers(&platform, "r1", &["one"]);
}

/// Guards against shards of a query that run without the customer because another instance calls
/// their leafs.
#[tokio::test(flavor = "multi_thread")]
async fn leafs_called_by_other_instances_are_told_the_customer() {
    let far = [("s1", "b"), ("s2", "b"), ("s3", "b"), ("s4", "a")];
    let platform = Platform::start(&far).await;
    configure(&platform, 2, &two_customers());
    let near = Instance::start(&platform, "0", "a").await;
    let _far = Instance::start(&platform, "1", "b").await;
    let answered = r#"camphorhold_handovers_total{outcome="answered"}"#;
    let key = [(KEY_HEADER, KEY)];
    wait_until("a query is handed over", || async {
        let answer = near.send_with("q", "/all/x", &key).await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK);
        near.counter(answered).await > 0
    })
    .await;
    assert_customers(&platform, "q", &["one"]);
}
