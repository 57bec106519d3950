//! Tests of how instances learn of changes when the store's watches fail without a sign. The
//! instances run as processes against the stand-ins of the platform's store and leafs.

mod support;

use std::time::Duration;

use camphorhold_testutils::platform::store::Fault;
use futures::future::join_all;
use support::Instance;
use support::Platform;
use support::wait_until;
use tokio::net::UdpSocket;

const TWO_SHARDS: [(&str, &str); 4] = [("s1", "a"), ("s1", "b"), ("s2", "a"), ("s2", "b")];

/// How long machines have to be in touch with the store until changes have to be in force.
const SETTLING_TIME: Duration = Duration::from_secs(4);

/// Longer than the settling time: such a read reveals a lost watch too late.
const READ_AGE: Duration = Duration::from_millis(5_500);

const RECEIVED: &str = r#"camphorhold_datagrams_total{kind="confirmation",outcome="received"}"#;
const INVALID: &str = r#"camphorhold_datagrams_total{kind="unknown",outcome="invalid"}"#;

/// Waits until reads that are [`READ_AGE`] old show what current ones show, so that nothing tells
/// them apart.
async fn wait_until_quiet(platform: &Platform) {
    wait_until("the store has not changed for long", || async {
        platform.store.quiet_for() > READ_AGE
    })
    .await;
}

/// Ends the fault of the store and requires the change that it has hidden, which moves `/one/` to
/// the leafs of `s2`, to be in force at an instance within the settling time.
async fn assert_in_force_in_time(platform: &Platform, instances: &[Instance]) {
    platform.store.set_fault(Fault::None);
    let in_force = instances.iter().map(|instance| async move {
        wait_until("the change is in force", || async {
            let answer = instance.send("r", "/one/x").await.expect("an answer");
            let signature = answer.headers().get("x-camphorhold-server-stamp");
            signature.is_some_and(|signature| {
                signature.as_bytes().starts_with(b"i-2") || signature.as_bytes().starts_with(b"i-3")
            })
        })
        .await;
    });
    let in_time = tokio::time::timeout(SETTLING_TIME, join_all(in_force)).await;
    assert!(in_time.is_ok(), "not in force within the settling time");
}

async fn start_instances(platform: &Platform, count: usize) -> Vec<Instance> {
    let mut instances = Vec::new();
    for number in 0..count {
        let domain = if number % 2 == 0 { "a" } else { "b" };
        instances.push(Instance::start(platform, &number.to_string(), domain).await);
    }
    instances
}

/// Guards against a change that the replacement of a lost watch misses as well, although a probe has
/// shown it: what the probe showed was forgotten, and later probes were old.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_that_was_seen_is_found_in_time_if_the_next_watch_misses_it_too() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let instances = start_instances(&platform, 1).await;
    wait_until_quiet(&platform).await;
    platform.store.set_fault(Fault::DeafWatches);
    platform.configure(3, &["s2", "s1"]);
    let shown = r#"camphorhold_store_revision{source="probed"}"#;
    let applied = r#"camphorhold_store_revision{source="applied"}"#;
    wait_until("a probe shows the change", || async {
        instances[0].gauge(shown).await > instances[0].gauge(applied).await
    })
    .await;
    platform.store.set_read_age(READ_AGE);
    wait_until("the next watch is lost, too", || async {
        platform.store.lost_watches() > 1
    })
    .await;
    assert_in_force_in_time(&platform, &instances).await;
}

/// Guards against a change that is in force too late because the watch that waits for it is lost and
/// the reads by which that is found are old. Nothing has shown their age before.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_found_in_time_if_its_watch_is_lost_while_reads_are_old_without_a_sign() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let instances = start_instances(&platform, 1).await;
    wait_until_quiet(&platform).await;
    platform.store.set_read_age(READ_AGE);
    platform.store.set_fault(Fault::DeafWatches);
    platform.configure(3, &["s2", "s1"]);
    wait_until("the watch is lost", || async {
        platform.store.lost_watches() > 0
    })
    .await;
    assert_in_force_in_time(&platform, &instances).await;
}

/// Guards against the same at instances that rely on each other for current reads, when all of them
/// have lost their watch at the same moment.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_found_in_time_by_all_instances_if_all_watches_are_lost() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let instances = start_instances(&platform, 7).await;
    wait_until_quiet(&platform).await;
    platform.store.set_read_age(READ_AGE);
    platform.store.set_fault(Fault::DeafWatches);
    platform.configure(3, &["s2", "s1"]);
    wait_until("all watches are lost", || async {
        platform.store.lost_watches() >= 7
    })
    .await;
    assert_in_force_in_time(&platform, &instances).await;
}

/// Guards against current reads of the store by every instance: those of a group tell each other
/// what one of them has read.
#[tokio::test(flavor = "multi_thread")]
async fn instances_tell_each_other_what_a_current_read_has_shown() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let instances = start_instances(&platform, 3).await;
    wait_until("all but one hear of a read", || async {
        let mut listening = 0;
        for instance in &instances {
            let received = instance.counter(RECEIVED).await;
            listening += usize::from(received > 0);
        }
        listening >= 2
    })
    .await;
}

/// Guards against datagrams that end a task or the process, or are taken for what an instance has
/// seen of the store.
#[tokio::test(flavor = "multi_thread")]
async fn datagrams_that_are_no_confirmations_are_ignored() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let instances = start_instances(&platform, 1).await;
    let instance = &instances[0];
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let registered = socket.local_addr().unwrap();
    let long = vec![b' '; 2_000];
    let datagrams: [&[u8]; 10] = [
        b"",
        b"{",
        b"\xff\xff",
        br#"{"revision":1,"read_ms_ago":0}"#,
        br#"{"kind":"confirmation","revision":-1,"read_ms_ago":0}"#,
        br#"{"kind":"confirmation","revision":18446744073709551615,"read_ms_ago":18446744073709551615}"#,
        br#"{"kind":"confirmation","revision":18446744073709551615,"era":"7","read_ms_ago":1}"#,
        br#"{"kind":"alarm","fingerprint":"x","level":"confirmed"}"#,
        br#"{"kind":"a later one","level":"x"}"#,
        &long,
    ];
    // From an address that is not registered, even a proper one counts as invalid.
    let proper = br#"{"kind":"confirmation","revision":1000000,"read_ms_ago":1}"#;
    socket
        .send_to(proper, instance.peer_address())
        .await
        .unwrap();
    wait_until("it is ignored", || async {
        instance.counter(INVALID).await == 1
    })
    .await;
    let registration = serde_json::json!({"domain": "a", "address": registered, "protocol": 3});
    platform
        .store
        .put("camphorhold/instances/other", &registration);
    wait_until("the sender is known", || async {
        socket
            .send_to(proper, instance.peer_address())
            .await
            .unwrap();
        instance.counter(RECEIVED).await > 0
    })
    .await;
    let invalid = instance.counter(INVALID).await;
    let received = instance.counter(RECEIVED).await;
    for datagram in datagrams {
        socket
            .send_to(datagram, instance.peer_address())
            .await
            .unwrap();
    }
    wait_until("all are read", || async {
        instance.counter(INVALID).await >= invalid + 7
            && instance.counter(RECEIVED).await >= received + 2
    })
    .await;
    let answer = instance.send("r", "/one/x").await.expect("an answer");
    assert!(answer.status().is_success());
}
