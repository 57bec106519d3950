//! The key-value service.

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
use self::common::limited;
use self::common::until;

fn encode(text: &str) -> String {
    STANDARD.encode(text)
}

async fn ask(store: &Store, path: &str, body: Value) -> Value {
    let (status, answer) = client::post(store.address(), path, &body).await.unwrap();
    assert_eq!(status, 200, "{answer}");
    answer
}

async fn put(store: &Store, key: &str, value: &str) -> Value {
    let body = json!({"key": encode(key), "value": encode(value)});
    ask(store, "/v3/kv/put", body).await
}

/// A transaction that writes the key if its modification revision is the one given.
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

/// Guards against a compare-and-swap that two writers win.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_many_racing_swaps_wins() {
    let store = Store::start(ANY).await.unwrap();
    put(&store, "record", "0").await;
    let swaps = (0..20).map(|writer| {
        let body = swap("record", 2, &format!("writer {writer}"));
        let store = &store;
        async move { ask(store, "/v3/kv/txn", body).await }
    });
    let answers = futures::future::join_all(swaps).await;
    let won = answers.iter().filter(|answer| answer["succeeded"] == true);
    assert_eq!(won.count(), 1);
    let lost = answers.iter().find(|answer| answer["succeeded"].is_null());
    let seen = &lost.unwrap()["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(seen["mod_revision"], "3");
    assert_eq!(store.counters().revision, 3);
}

/// Guards against wrong results of each comparison, also for a key that does not exist.
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
        let answer = ask(&store, "/v3/kv/txn", json!({"compare": [compare.clone()]})).await;
        assert_eq!(answer["succeeded"] == true, expected, "{key}: {compare}");
    }
    // A transaction without writes leaves the revision as it is.
    assert_eq!(store.counters().revision, 3);
}

/// Guards against a poll that is answered with the unchanged record, and against ranges that
/// ignore their end or limit.
#[tokio::test]
async fn ranges_filter_and_limit() {
    let store = Store::start(ANY).await.unwrap();
    for key in ["file/1", "file/2", "file/3", "record"] {
        put(&store, key, key).await;
    }
    let unchanged = json!({"key": encode("record"), "min_mod_revision": "6"});
    let answer = ask(&store, "/v3/kv/range", unchanged).await;
    assert_eq!(
        (&answer["kvs"], &answer["count"]),
        (&Value::Null, &json!("1"))
    );
    let changed = json!({"key": encode("record"), "min_mod_revision": "5"});
    let answer = ask(&store, "/v3/kv/range", changed).await;
    assert_eq!(answer["kvs"][0]["value"], encode("record"));
    let files = json!({"key": encode("file/"), "range_end": encode("file0"), "limit": "2"});
    let answer = ask(&store, "/v3/kv/range", files.clone()).await;
    assert_eq!(answer["kvs"].as_array().unwrap().len(), 2);
    assert_eq!(
        (&answer["more"], &answer["count"]),
        (&json!(true), &json!("3"))
    );
    let answer = ask(&store, "/v3/kv/deleterange", files).await;
    assert_eq!(answer["deleted"], "3");
    assert_eq!(store.value(b"file/1"), None);
}

/// Guards against a lost answer that had no effect, or that loses more than the writes asked for.
#[tokio::test]
async fn a_lost_answer_is_lost_after_the_write_took_effect() {
    let store = Store::start(ANY).await.unwrap();
    let fault = json!({"lose_answers": 1});
    ask(&store, "/fault", fault).await;
    let range = json!({"key": encode("record")});
    ask(&store, "/v3/kv/range", range).await;
    let lost = client::post(store.address(), "/v3/kv/txn", &swap("record", 0, "new")).await;
    assert!(
        matches!(lost, Err(client::Error::Unanswered(_))),
        "{lost:?}"
    );
    assert_eq!(store.value(b"record").as_deref(), Some(&b"new"[..]));
    let second = ask(&store, "/v3/kv/txn", swap("record", 0, "newer")).await;
    assert_eq!(second["succeeded"], Value::Null);
    assert_eq!(store.counters().answers_lost, 1);
}

/// Guards against writes that take effect during an outage, and against an outage that cannot be
/// ended.
#[tokio::test]
async fn an_outage_has_no_effect_on_the_contents() {
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
    until("the hanging call has arrived", async || {
        store.counters().during_outage == 2
    })
    .await;
    assert!(!hanging.is_finished());
    store.set_fault(Fault::default());
    let released = limited(hanging).await.unwrap();
    assert!(
        matches!(released, Err(client::Error::Unanswered(_))),
        "{released:?}"
    );
    assert_eq!(store.value(b"a"), None);
    put(&store, "a", "2").await;
    assert_eq!(store.counters().writes, 1);
}

/// Guards against values that the platform's service would not take.
#[tokio::test]
async fn a_value_above_the_limit_is_refused() {
    let store = Store::start(ANY).await.unwrap();
    put(&store, "a", &"x".repeat(1_000_000)).await;
    let body = json!({"key": encode("a"), "value": encode(&"x".repeat(1_000_001))});
    let (status, answer) = client::post(store.address(), "/v3/kv/put", &body)
        .await
        .unwrap();
    assert_eq!(status, 400);
    assert_eq!(answer["message"], "etcdserver: request is too large");
}

/// Guards against keys that outlive their lease, and against watches that miss events or are not
/// counted.
#[tokio::test]
async fn a_watch_sees_a_key_end_with_its_lease() {
    let store = Store::start(ANY).await.unwrap();
    let lease = ask(&store, "/v3/lease/grant", json!({"TTL": "600"})).await;
    let body = json!({"key": encode("a"), "value": encode("1"), "lease": lease["ID"]});
    ask(&store, "/v3/kv/put", body).await;
    let mut connection = Connection::open(store.address()).await.unwrap();
    let request = json!({"create_request": {"key": encode("a"), "start_revision": "2"}});
    let request = request.to_string().into();
    let response = connection
        .send(hyper::Method::POST, "/v3/watch", request)
        .await;
    let mut body = response.unwrap().into_body();
    let mut next = async || {
        let frame = limited(body.frame()).await.unwrap().unwrap();
        serde_json::from_slice::<Value>(frame.data_ref().unwrap()).unwrap()
    };
    assert_eq!(next().await["result"]["created"], true);
    assert_eq!(
        next().await["result"]["events"][0]["kv"]["value"],
        encode("1")
    );
    assert_eq!(store.counters().waiting_watches, 1);
    let renewed = ask(&store, "/v3/lease/keepalive", json!({"ID": lease["ID"]})).await;
    assert_eq!(renewed["result"]["TTL"], "600");
    ask(&store, "/v3/lease/revoke", json!({"ID": lease["ID"]})).await;
    assert_eq!(next().await["result"]["events"][0]["type"], "DELETE");
    drop((body, connection));
    until("the watch has ended", async || {
        store.counters().waiting_watches == 0
    })
    .await;
    let lapsing = ask(&store, "/v3/lease/grant", json!({"TTL": "1"})).await;
    let body = json!({"key": encode("b"), "lease": lapsing["ID"]});
    ask(&store, "/v3/kv/put", body).await;
    until("the lease has lapsed", async || store.value(b"b").is_none()).await;
}
