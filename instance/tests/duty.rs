//! Tests of the usage reports by one instance at a time. The instances run as processes against the
//! stand-ins of the platform.

#![allow(
    clippy::unwrap_used,
    reason = "a broken assumption of the test is a failure"
)]

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::UdpSocket;

use camphorhold_testutils::platform::usage::Fault;
use camphorhold_testutils::platform::usage::Report;
use camphorhold_testutils::platform::usage::Usage;
use serde_json::Value;
use serde_json::json;
use support::Instance;
use support::Platform;
use support::usage::check;
use support::usage::start;
use support::usage::wait_for_reports;
use support::wait_until;

const HOLDER_KEY: &str = "camphorhold/duties/usage/holder";
const REPORT_KEY: &str = "camphorhold/duties/usage/report";

async fn start_three() -> (Platform, Usage, Vec<Instance>) {
    let platform = Platform::start(&[("s1", "a")]).await;
    platform.store.let_leases_expire();
    let usage = Usage::start().await.unwrap();
    let mut instances = Vec::new();
    for name in ["1", "2", "3"] {
        instances.push(start(&platform, &usage, name, "a").await);
    }
    (platform, usage, instances)
}

fn item(platform: &Platform, key: &str) -> Option<Value> {
    let items = platform.store.items(key);
    let (_, value) = items.first()?;
    serde_json::from_slice(value).ok()
}

/// Guards against windows that are reported by several instances or several times, and against
/// instances that call the store although they do not hold the duty.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_three_instances_reports_each_window_once() {
    let (platform, usage, _instances) = start_three().await;
    wait_for_reports(&usage, None, 2).await;
    let writes = platform.store.writes();
    let before = usage.reports().len();
    wait_for_reports(&usage, None, before + 4).await;
    let writes = platform.store.writes() - writes;
    let reports = usage.reports();
    check(&reports);
    let windows: BTreeSet<u64> = reports.iter().map(|report| report.window).collect();
    assert_eq!(windows.len(), reports.len(), "{reports:?}");
    let holders: BTreeSet<&str> = reports.iter().map(|report| &*report.holder).collect();
    assert_eq!(holders.len(), 1);
    let sent = u64::try_from(reports.len() - before).unwrap();
    assert!(writes <= sent + 1, "{writes} writes for {sent} reports");
}

/// Guards against a duty that nobody takes over, or that is taken over with an epoch that is not
/// higher, and against a second content of a window.
#[tokio::test(flavor = "multi_thread")]
async fn the_next_instance_takes_over_when_the_holder_is_killed() {
    let (_platform, usage, mut instances) = start_three().await;
    wait_for_reports(&usage, None, 2).await;
    let first = usage.reports()[0].clone();
    let number: usize = first.holder.parse().unwrap();
    instances[number - 1].kill();
    wait_until("another instance reports", || async {
        let reports = usage.reports();
        reports.iter().any(|report| report.holder != first.holder)
    })
    .await;
    let reports = usage.reports();
    check(&reports);
    assert!(reports.last().unwrap().epoch > first.epoch);
}

/// Guards against a holder that acts after it was stopped for longer than its lease.
#[tokio::test(flavor = "multi_thread")]
async fn a_holder_that_was_stopped_does_not_act_on() {
    let (platform, usage, mut instances) = start_three().await;
    wait_for_reports(&usage, None, 2).await;
    let first = usage.reports()[0].clone();
    let number: usize = first.holder.parse().unwrap();
    instances[number - 1].freeze();
    wait_until("another instance reports", || async {
        let reports = usage.reports();
        reports.iter().any(|report| report.holder != first.holder)
    })
    .await;
    instances[number - 1].thaw();
    let before = usage.reports().len();
    wait_for_reports(&usage, None, before + 3).await;
    let reports = usage.reports();
    check(&reports);
    assert!(
        reports[before..]
            .iter()
            .all(|report| report.holder != first.holder)
    );
    let thawed = &instances[number - 1];
    wait_until(
        "the stopped instance knows that it has lost the duty",
        || async { thawed.gauge("camphorhold_duty_holder").await == 0.0 },
    )
    .await;
    assert!(item(&platform, HOLDER_KEY).is_some());
}

/// Guards against a report that is lost, or changed, because the platform does not take it at first.
#[tokio::test(flavor = "multi_thread")]
async fn reports_that_are_not_taken_are_repeated() {
    let platform = Platform::start(&[("s1", "a")]).await;
    platform.store.let_leases_expire();
    let usage = Usage::start().await.unwrap();
    usage.set_fault(Fault::Refuse(429));
    let _instance = start(&platform, &usage, "1", "a").await;
    wait_for_reports(&usage, None, 2).await;
    usage.set_fault(Fault::Silent);
    let before = usage.reports().len();
    wait_for_reports(&usage, None, before + 1).await;
    usage.set_fault(Fault::None);
    let windows: BTreeSet<u64> = usage.reports().iter().map(|report| report.window).collect();
    let is_answered = |window: &u64| {
        let reports = usage.reports();
        // The first taken report may be the one without an answer.
        let taken = reports
            .iter()
            .filter(|report| report.window == *window && report.taken);
        taken.count() >= 1
    };
    wait_until("all windows are taken", || async {
        windows.iter().all(is_answered)
    })
    .await;
    check(&usage.reports());
}

/// Guards against counts of other instances that are not in the report, and against counts that are
/// not acknowledged.
#[tokio::test(flavor = "multi_thread")]
async fn counts_of_another_instance_are_reported() {
    let platform = Platform::start(&[("s1", "a")]).await;
    platform.store.let_leases_expire();
    let usage = Usage::start().await.unwrap();
    let holder = start(&platform, &usage, "1", "a").await;
    wait_for_reports(&usage, None, 1).await;
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_nonblocking(true).unwrap();
    let registration = json!({
        "domain": "a", "address": socket.local_addr().unwrap(), "capacity": 1.0, "protocol": 4,
    });
    platform.store.put("camphorhold/instances/2", &registration);
    let epoch = item(&platform, HOLDER_KEY).unwrap()["epoch"].clone();
    let mut buffer = [0; 600];
    let mut receipt = Value::Null;
    let mut window = 0;
    wait_until("the counts are acknowledged", || {
        // The next window that is not finalized.
        let ledger = item(&platform, REPORT_KEY).unwrap();
        let last = ledger["windows"].as_array().unwrap().last().unwrap()["window"].clone();
        if let Ok(length) = socket.recv(&mut buffer) {
            receipt = serde_json::from_slice(&buffer[..length]).unwrap();
        } else {
            window = last.as_u64().unwrap() + 2;
            for (sequence, count) in [(1, 5), (3, 7), (2, 9)] {
                let datagram = json!({
                    "kind": "usage", "epoch": epoch, "process": u64::MAX, "window": window,
                    "sequence": sequence, "part": 0, "counts": {"acme": count},
                });
                let bytes = datagram.to_string();
                let _ = socket.send_to(bytes.as_bytes(), holder.peer_address());
            }
        }
        std::future::ready(receipt["kind"] == "usage_receipt")
    })
    .await;
    let window = receipt["window"].as_u64().unwrap();
    wait_until("the window is reported", || async {
        usage.reports().iter().any(|report| report.window == window)
    })
    .await;
    let reports = usage.reports();
    let report = reports.iter().find(|report| report.window == window);
    assert_eq!(report.unwrap().counts, BTreeMap::from([("acme".into(), 7)]));
    check(&reports);
}

/// Guards against duties that run although the settings do not ask for them.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_runs_without_the_duty() {
    let platform = Platform::start(&[("s1", "a")]).await;
    let usage = Usage::start().await.unwrap();
    let address = usage.address();
    let instance = Instance::start_with(&platform, "1", "a", |settings| {
        settings["cloud_api"] = json!({"address": address, "duties": ["other"]});
        settings["bounds"]["usage_window_s"] = 1.into();
    })
    .await;
    let with_duty = start(&platform, &usage, "2", "a").await;
    wait_until("the other instance holds the duty", || async {
        with_duty.gauge("camphorhold_duty_holder").await > 0.0
    })
    .await;
    assert!(instance.gauge("camphorhold_duty_holder").await == 0.0);
    assert_eq!(item(&platform, HOLDER_KEY).unwrap()["name"], "2");
}

/// Guards against a duty that stays with an item whose lease is gone, and against an epoch that falls,
/// after a restore of the store.
#[tokio::test(flavor = "multi_thread")]
async fn after_a_restore_the_duty_is_taken_over_in_the_new_era() {
    let (platform, usage, _instances) = start_three().await;
    wait_for_reports(&usage, None, 2).await;
    let copy = platform.store.copy();
    let before = usage.reports().len();
    wait_for_reports(&usage, None, before + 2).await;
    let highest = usage.reports().last().unwrap().epoch;
    platform.store.restore(copy);
    wait_until("reports have an epoch of the new era", || async {
        let reports = usage.reports();
        let is_new = |report: &&Report| report.epoch > 1 << 32;
        reports.iter().filter(is_new).count() >= 2
    })
    .await;
    assert!(highest < 1 << 32);
    check(&usage.reports());
}
