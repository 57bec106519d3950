//! Tests of the key-value service.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use camphorhold_testutils::client;
use camphorhold_testutils::client::Connection;
use camphorhold_testutils::store::Fault;
use camphorhold_testutils::store::Outage;
use camphorhold_testutils::store::Store;
use http_body_util::BodyExt;
use serde_json::Value;
use serde_json::json;

use self::common::ANY;
use self::common::wait_until;
use self::common::with_timeout;

fn encode(text: &str) -> String {
    STANDARD.encode(text)
}

async fn send(store: &Store, path: &str, body: Value) -> Value {
    let (status, answer) = client::post(store.address(), path, &body).await.unwrap();
    assert_eq!(status, 200, "{answer}");
    answer
}

async fn put(store: &Store, key: &str, value: &str) -> Value {
    let body = json!({"key": encode(key), "value": encode(value)});
    send(store, "/v3/kv/put", body).await
}

/// Returns a transaction that writes a key if its modification revision is the given one, and reads
/// it otherwise.
fn swap(key: &str, mod_revision: i64, value: &str) -> Value {
    let key = encode(key);
    json!({
        "compare": [
            {"target": "MOD", "result": "EQUAL", "key": key, "modRevision": mod_revision.to_string()}
        ],
        "success": [{"requestPut": {"key": key, "value": encode(value)}}],
        "failure": [{"requestRange": {"key": key}}],
    })
}

/// Guards against a compare-and-swap that succeeds for two writers, because the comparison and the
/// write are not atomic. Concurrent writers expect the same revision.
#[tokio::test(flavor = "multi_thread")]
async fn only_one_of_many_concurrent_swaps_succeeds() {
    let store = Store::start(ANY).await.unwrap();
    put(&store, "record", "0").await;
    let swaps = (0..20).map(|writer| {
        let body = swap("record", 2, &format!("writer {writer}"));
        let store = &store;
        async move { send(store, "/v3/kv/txn", body).await }
    });
    let answers = futures::future::join_all(swaps).await;
    let succeeded = answers.iter().filter(|answer| answer["succeeded"] == true);
    assert_eq!(succeeded.count(), 1);
    let failed = answers.iter().find(|answer| answer["succeeded"].is_null());
    let seen = &failed.unwrap()["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(seen["mod_revision"], "3");
    assert_eq!(store.counters().revision, 3);
}

/// Guards against comparisons whose results differ from etcd's, above all for a key that does not
/// exist.
#[tokio::test]
async fn comparisons_follow_etcd() {
    let store = Store::start(ANY).await.unwrap();
    put(&store, "a", "1").await;
    put(&store, "a", "2").await;
    let cases = [
        ("a", json!({"target": "VERSION", "version": "2"}), true),
        (
            "a",
            json!({"target": "CREATE", "create_revision": "2"}),
            true,
        ),
        ("a", json!({"target": "MOD", "mod_revision": 3}), true),
        ("a", json!({"target": "VALUE", "value": encode("2")}), true),
        ("a", json!({"target": "VALUE", "value": encode("1")}), false),
        (
            "a",
            json!({"target": "MOD", "result": "GREATER", "mod_revision": "2"}),
            true,
        ),
        (
            "a",
            json!({"target": "MOD", "result": "LESS", "mod_revision": "3"}),
            false,
        ),
        (
            "a",
            json!({"target": "MOD", "result": "NOT_EQUAL", "mod_revision": "3"}),
            false,
        ),
        (
            "missing",
            json!({"target": "VERSION", "version": "0"}),
            true,
        ),
        ("missing", json!({"target": "CREATE"}), true),
        (
            "missing",
            json!({"target": "VALUE", "result": "NOT_EQUAL", "value": encode("1")}),
            false,
        ),
    ];
    for (key, mut compare, expected) in cases {
        compare["key"] = json!(encode(key));
        let answer = send(&store, "/v3/kv/txn", json!({"compare": [compare.clone()]})).await;
        assert_eq!(answer["succeeded"] == true, expected, "{key}: {compare}");
    }
    // A transaction without writes leaves the revision as it is.
    assert_eq!(store.counters().revision, 3);
}

/// Guards against a poll that gets the record although it has not changed, because the smallest
/// revision in the request is ignored, and against ranges that ignore their end or limit.
#[tokio::test]
async fn ranges_filter_and_limit() {
    let store = Store::start(ANY).await.unwrap();
    for key in ["file/1", "file/2", "file/3", "record"] {
        put(&store, key, key).await;
    }
    let unchanged = json!({"key": encode("record"), "min_mod_revision": "6"});
    let answer = send(&store, "/v3/kv/range", unchanged).await;
    assert_eq!(
        (&answer["kvs"], &answer["count"]),
        (&Value::Null, &json!("1"))
    );
    let changed = json!({"key": encode("record"), "min_mod_revision": "5"});
    let answer = send(&store, "/v3/kv/range", changed).await;
    assert_eq!(answer["kvs"][0]["value"], encode("record"));
    let files = json!({"key": encode("file/"), "range_end": encode("file0"), "limit": "2"});
    let answer = send(&store, "/v3/kv/range", files.clone()).await;
    assert_eq!(answer["kvs"].as_array().unwrap().len(), 2);
    assert_eq!(
        (&answer["more"], &answer["count"]),
        (&json!(true), &json!("3"))
    );
    let answer = send(&store, "/v3/kv/deleterange", files).await;
    assert_eq!(answer["deleted"], "3");
    assert_eq!(store.value(b"file/1"), None);
}

/// Guards against a fault that loses the write together with its answer, and against one that loses
/// the answers to reads or to more writes than it was set for.
#[tokio::test]
async fn a_write_takes_effect_although_its_answer_is_lost() {
    let store = Store::start(ANY).await.unwrap();
    let fault = json!({"lose_answers": 1});
    send(&store, "/fault", fault).await;
    let range = json!({"key": encode("record")});
    send(&store, "/v3/kv/range", range).await;
    let lost = client::post(store.address(), "/v3/kv/txn", &swap("record", 0, "new")).await;
    assert!(
        matches!(lost, Err(client::Error::Unanswered(_))),
        "{lost:?}"
    );
    assert_eq!(store.value(b"record").as_deref(), Some(&b"new"[..]));
    let second = send(&store, "/v3/kv/txn", swap("record", 0, "newer")).await;
    assert_eq!(second["succeeded"], Value::Null);
    assert_eq!(store.counters().answers_lost, 1);
}

/// Guards against writes that take effect although they met an outage, also after its end, and
/// against an outage that does not end.
#[tokio::test]
async fn requests_during_an_outage_do_not_change_the_contents() {
    let store = Store::start(ANY).await.unwrap();
    let body = json!({"key": encode("a"), "value": encode("1")});
    store.set_fault(Fault {
        outage: Outage::Refuse,
        ..Fault::default()
    });
    let refused = client::post(store.address(), "/v3/kv/put", &body).await;
    assert!(
        matches!(refused, Err(client::Error::Unanswered(_))),
        "{refused:?}"
    );
    store.set_fault(Fault {
        outage: Outage::Hang,
        ..Fault::default()
    });
    let address = store.address();
    let hanging = tokio::spawn(async move { client::post(address, "/v3/kv/put", &body).await });
    wait_until("the hanging call has arrived", async || {
        store.counters().during_outage == 2
    })
    .await;
    assert!(!hanging.is_finished());
    store.set_fault(Fault::default());
    let released = with_timeout(hanging).await.unwrap();
    assert!(
        matches!(released, Err(client::Error::Unanswered(_))),
        "{released:?}"
    );
    assert_eq!(store.value(b"a"), None);
    put(&store, "a", "2").await;
    assert_eq!(store.counters().writes, 1);
}

/// Guards against values that the platform's service would refuse: a test with a larger value would
/// pass here and fail there.
#[tokio::test]
async fn a_value_above_the_size_limit_is_refused() {
    let store = Store::start(ANY).await.unwrap();
    put(&store, "a", &"x".repeat(1_000_000)).await;
    let body = json!({"key": encode("a"), "value": encode(&"x".repeat(1_000_001))});
    let (status, answer) = client::post(store.address(), "/v3/kv/put", &body)
        .await
        .unwrap();
    assert_eq!(status, 400);
    assert_eq!(answer["message"], "etcdserver: request is too large");
}

/// Guards against keys that stay after their lease was revoked or has expired, and against watches
/// that miss events or are not counted.
#[tokio::test]
async fn a_watch_reports_that_a_key_ended_with_its_lease() {
    let store = Store::start(ANY).await.unwrap();
    let lease = send(&store, "/v3/lease/grant", json!({"TTL": "600"})).await;
    let body = json!({"key": encode("a"), "value": encode("1"), "lease": lease["ID"]});
    send(&store, "/v3/kv/put", body).await;
    let mut connection = Connection::open(store.address()).await.unwrap();
    let request = json!({"create_request": {"key": encode("a"), "start_revision": "2"}});
    let request = request.to_string().into();
    let response = connection
        .send(hyper::Method::POST, "/v3/watch", request)
        .await;
    let mut body = response.unwrap().into_body();
    let mut next = async || {
        let frame = with_timeout(body.frame()).await.unwrap().unwrap();
        serde_json::from_slice::<Value>(frame.data_ref().unwrap()).unwrap()
    };
    assert_eq!(next().await["result"]["created"], true);
    assert_eq!(
        next().await["result"]["events"][0]["kv"]["value"],
        encode("1")
    );
    assert_eq!(store.counters().waiting_watches, 1);
    let renewed = send(&store, "/v3/lease/keepalive", json!({"ID": lease["ID"]})).await;
    assert_eq!(renewed["result"]["TTL"], "600");
    send(&store, "/v3/lease/revoke", json!({"ID": lease["ID"]})).await;
    assert_eq!(next().await["result"]["events"][0]["type"], "DELETE");
    drop((body, connection));
    wait_until("the watch has ended", async || {
        store.counters().waiting_watches == 0
    })
    .await;
    let short_lease = send(&store, "/v3/lease/grant", json!({"TTL": "1"})).await;
    let body = json!({"key": encode("b"), "lease": short_lease["ID"]});
    send(&store, "/v3/kv/put", body).await;
    wait_until("the lease has expired", async || {
        store.value(b"b").is_none()
    })
    .await;
}
