//! Tests of a store that comes back from a copy that is some seconds old. The instances run as
//! processes against the stand-ins of the platform.

mod support;

use bytes::Bytes;
use hyper::Response;
use hyper::StatusCode;
use support::Instance;
use support::Platform;
use support::wait_until;

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
