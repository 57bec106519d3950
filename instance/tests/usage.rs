//! Tests of the counts of customers' requests, with instances as processes.

#![allow(
    clippy::unwrap_used,
    reason = "a broken assumption of the test is a failure"
)]

mod support;

use std::collections::BTreeMap;

use camphorhold::transport::http::Connection;
use camphorhold_testutils::platform::CONFIGURATION_KEY;
use camphorhold_testutils::platform::configuration;
use camphorhold_testutils::platform::leaf::Behaviour;
use camphorhold_testutils::platform::usage::Usage;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use serde_json::json;
use support::Instance;
use support::Platform;
use support::TCP_OPTIONS;
use support::usage::check;
use support::usage::start;
use support::wait_until;

/// Sends a request with the key of the customer `acme`, and returns its status; `None` without an
/// answer.
async fn send(instance: &Instance, id: &str, path: &str) -> Option<StatusCode> {
    let address = instance.caller_address();
    let mut connection = Connection::open(address, TCP_OPTIONS).await.unwrap();
    let request = Request::builder()
        .uri(path)
        .header("host", "q.example")
        .header("x-camphorhold-request-id", id)
        .header("x-camphorhold-deadline-ms", "1500")
        .header("x-camphorhold-key", "k-1")
        .body(Full::default())
        .unwrap();
    let answer = connection.exchange(request, 1 << 20).await;
    answer.ok().map(|answer| answer.status())
}

/// Returns the requests of `acme` over all windows.
fn reported(usage: &Usage) -> u64 {
    let reports = usage.reports();
    check(&reports);
    let counts = reports.iter().map(|report| {
        let count = report.counts.get("acme").copied();
        (report.window, count.unwrap_or_default())
    });
    let by_window: BTreeMap<u64, u64> = counts.collect();
    by_window.values().sum()
}

/// Guards against requests that count several times because they ran at several leafs, were handed
/// over, hedged or repeated, that do not count because their answer was lost or late, and that count
/// although no leaf ran them.
#[tokio::test(flavor = "multi_thread")]
async fn each_attempt_that_ran_counts_once() {
    let leafs = [
        ("s1", "a"),
        ("s1", "a"),
        ("s2", "b"),
        ("s3", "b"),
        ("s4", "b"),
    ];
    let platform = Platform::start(&leafs).await;
    platform.store.let_leases_expire();
    let mut plan = configuration(2, &["s1", "s2", "s3", "s4"]);
    plan["tenants"] = json!([{"name": "acme", "api_keys": ["k-1"]}]);
    platform.store.put(CONFIGURATION_KEY, &plan);
    let usage = Usage::start().await.unwrap();
    let mut instances = Vec::new();
    for (name, domain) in [("1", "a"), ("2", "a"), ("3", "b")] {
        instances.push(start(&platform, &usage, name, domain).await);
    }
    wait_until("windows are reported", || async {
        usage.reports().len() >= 2
    })
    .await;
    for instance in &instances {
        wait_until("the configuration is in force", || async {
            instance.counter("camphorhold_config_version").await == 2
        })
        .await;
    }
    let mut expected = 0;
    for (number, instance) in instances.iter().enumerate() {
        for request in 0..5 {
            for path in ["/one/x", "/all/x"] {
                let id = format!("r-{number}-{request}");
                assert_eq!(send(instance, &id, path).await, Some(StatusCode::OK));
                expected += 1;
            }
        }
    }
    let handovers = "camphorhold_handovers_total{outcome=\"answered\"}";
    assert!(instances[0].counter(handovers).await > 0);
    // The answer is lost: one attempt, which may not be repeated.
    let set = |behaviour| {
        for leaf in &platform.leafs[..2] {
            leaf.set_behaviour(behaviour);
        }
    };
    set(Behaviour::Lose);
    assert_eq!(
        send(&instances[0], "lost", "/once/x").await,
        Some(StatusCode::BAD_GATEWAY)
    );
    // No answer in time.
    set(Behaviour::Hang);
    let status = send(&instances[1], "late", "/once/x").await;
    assert_eq!(status, Some(StatusCode::GATEWAY_TIMEOUT));
    expected += 2;
    // Refused by all leafs.
    set(Behaviour::Refuse);
    for number in 0..4 {
        let status = send(&instances[1], &format!("refused-{number}"), "/one/x").await;
        assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE));
    }
    // Refused by one leaf, run by another.
    platform.leafs[1].set_behaviour(Behaviour::Answer);
    for number in 0..4 {
        let status = send(&instances[1], &format!("second-{number}"), "/one/x").await;
        // A request that is refused after all has not run.
        assert!(matches!(
            status,
            Some(StatusCode::OK | StatusCode::SERVICE_UNAVAILABLE)
        ));
        expected += u64::from(status == Some(StatusCode::OK));
    }
    let before = usage.reports().len();
    wait_until("all windows until now are reported", || async {
        usage.reports().len() >= before + 6
    })
    .await;
    assert_eq!(reported(&usage), expected);
}
