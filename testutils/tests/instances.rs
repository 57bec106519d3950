//! Tests of the list of instances.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use camphorhold_testutils::client;
use camphorhold_testutils::instances::Entry;
use camphorhold_testutils::instances::List;
use camphorhold_testutils::instances::State;
use serde_json::Value;
use serde_json::json;

use self::common::ANY;

async fn read_list(list: &List) -> Value {
    client::get(list.address(), "/instances").await.unwrap().1
}

/// Guards against changes of the list that readers get before the lag has passed, in the wrong
/// order or never. The lag is changed while a change is pending.
#[tokio::test]
async fn readers_get_a_change_only_after_the_lag() {
    let address: SocketAddr = "127.0.0.1:9001".parse().unwrap();
    let live = Entry {
        address,
        state: State::Live,
    };
    let list = List::start(ANY, vec![live], Duration::from_hours(1))
        .await
        .unwrap();
    let leaving = json!([{"address": "127.0.0.1:9001", "state": "leaving"}]);
    client::post(list.address(), "/set", &leaving)
        .await
        .unwrap();
    assert_eq!(
        read_list(&list).await,
        json!([{"address": "127.0.0.1:9001", "state": "live"}])
    );
    list.set_lag(Duration::ZERO);
    assert_eq!(read_list(&list).await, leaving);
    list.set(Vec::new());
    assert_eq!(read_list(&list).await, json!([]));
    client::post(list.address(), "/lag", &json!({"lag_ms": 3_600_000}))
        .await
        .unwrap();
    list.set(vec![live]);
    assert_eq!(read_list(&list).await, json!([]));
    assert_eq!(list.reads(), 4);
}
