//! Tests of the limit on the heads of requests, and of changes to it. The instances run as processes
//! against the stand-ins of the platform.

mod support;

use bytes::Bytes;
use camphorhold::transport::http::Connection;
use camphorhold_testutils::platform::CONFIGURATION_KEY;
use camphorhold_testutils::platform::configuration;
use camphorhold_testutils::platform::process::Process;
use camphorhold_testutils::platform::process::ProcessConfig;
use camphorhold_testutils::platform::store::Store;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use support::Instance;
use support::Platform;
use support::TCP_OPTIONS;
use support::program;
use support::wait_until;

/// A caller's header that is longer than the first limit, 16,384 bytes.
const LONG: usize = 31_000;

fn request(id: &str, header_bytes: usize) -> Request<Full<Bytes>> {
    Request::builder()
        .uri("/one/x")
        .header("host", "q.example")
        .header("x-camphorhold-request-id", id)
        .header("x-camphorhold-deadline-ms", "3000")
        .header("cookie", "c".repeat(header_bytes))
        .body(Full::default())
        .expect("a valid request")
}

async fn status(connection: &mut Connection, id: &str, header_bytes: usize) -> StatusCode {
    let answer = connection
        .exchange(request(id, header_bytes), 1 << 20)
        .await;
    answer.expect("an answer").status()
}

/// Writes a version of the configuration with that limit, and waits until it is in force.
async fn limit_heads(platform: &Platform, instance: &Instance, version: u64, limit: usize) {
    let mut configuration = configuration(version, &["s1"]);
    configuration["limits"]["max_header_bytes"] = limit.into();
    platform.store.put(CONFIGURATION_KEY, &configuration);
    wait_until("the limit is in force", || async {
        instance.counter("camphorhold_config_version").await == version
    })
    .await;
}

/// Guards against connections that keep the limit that was in force when they were opened.
#[tokio::test(flavor = "multi_thread")]
async fn a_changed_limit_of_heads_holds_on_open_connections() {
    let platform = Platform::start(&[("s1", "a")]).await;
    let instance = Instance::start(&platform, "1", "a").await;
    let mut kept = instance.connect().await;
    let mut idle = instance.connect().await;
    assert_eq!(status(&mut kept, "r1", 20).await, StatusCode::OK);
    limit_heads(&platform, &instance, 2, 32_768).await;
    assert_eq!(status(&mut kept, "r2", LONG).await, StatusCode::OK);
    assert_eq!(status(&mut idle, "r3", LONG).await, StatusCode::OK);
    limit_heads(&platform, &instance, 3, 4_096).await;
    assert_eq!(status(&mut kept, "r4", 2_000).await, StatusCode::OK);
    let refused = status(&mut kept, "r5", 8_000).await;
    assert_eq!(refused, StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    let runs = platform.leafs[0].runs();
    let ran: Vec<&str> = runs.iter().map(|run| &*run.request).collect();
    assert_eq!(ran, ["r1", "r2", "r3", "r4"]);
}

/// Guards against connections that keep the default limit because they were opened before the first
/// configuration was read, as after a start while the store is down.
#[tokio::test(flavor = "multi_thread")]
async fn the_first_configuration_limits_heads_on_connections_that_are_open() {
    let platform = Platform::start(&[("s1", "a")]).await;
    let empty = Store::start().await.unwrap();
    let process = Process::start(ProcessConfig {
        program: program().into(),
        name: "1".into(),
        domain: "a".into(),
        store: empty.address(),
        log: None,
    });
    let process = process.unwrap();
    let connect = || Connection::open(process.caller_address(), TCP_OPTIONS);
    wait_until("the instance accepts connections", || async {
        connect().await.is_ok()
    })
    .await;
    let mut kept = connect().await.unwrap();
    let refused = status(&mut kept, "r1", 20).await;
    assert_eq!(refused, StatusCode::SERVICE_UNAVAILABLE);
    let leaf = &platform.leafs[0];
    empty.put(&leaf.key(), &leaf.entry("ready"));
    let mut configuration = configuration(1, &["s1"]);
    configuration["limits"]["max_header_bytes"] = 32_768.into();
    empty.put(CONFIGURATION_KEY, &configuration);
    wait_until("the instance is ready", || {
        support::is_ready(process.readiness_address())
    })
    .await;
    assert_eq!(status(&mut kept, "r2", LONG).await, StatusCode::OK);
}

/// Guards against a request that is run although its head is too long, and against a caller without
/// an answer, wherever the limit cuts the head.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_beyond_the_limit_is_refused_wherever_it_is_cut() {
    let platform = Platform::start(&[("s1", "a")]).await;
    let instance = Instance::start(&platform, "1", "a").await;
    let long = "x".repeat(40_000);
    let short = "X-Filler: x\r\n".repeat(3_000);
    let start = "GET /one/x HTTP/1.1\r\nHost: q.example\r\nX-Camphorhold-Request-Id: r1\r\n";
    let cases = [
        format!("GET /one/{long} HTTP/1.1\r\nHost: q.example\r\n\r\n"),
        format!("{start}X-Filler: {long}\r\n\r\n"),
        format!("{start}{long}: x\r\n\r\n"),
        format!("{start}{short}\r\n"),
    ];
    for case in cases {
        let answer = instance.send_bytes(case.as_bytes()).await;
        let answer = String::from_utf8_lossy(&answer);
        let refusals = answer.matches("HTTP/1.1 4").count();
        assert_eq!(
            (refusals, answer.matches("HTTP/1.1").count()),
            (1, 1),
            "{answer}"
        );
    }
    assert_eq!(platform.runs(), 0);
    let answer = instance.send("r2", "/one/x").await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
}

/// Guards against an instance that refuses a request which another one has accepted under a later
/// configuration, and that then counts as failed.
#[tokio::test(flavor = "multi_thread")]
async fn the_limit_of_heads_of_callers_does_not_bind_other_instances() {
    let platform = Platform::start(&[("s1", "a")]).await;
    let instance = Instance::start(&platform, "1", "a").await;
    let headers = [("cookie", "c".repeat(LONG))];
    let answer = instance.send_as_instance("/one/x", &headers).await.unwrap();
    assert_eq!(answer.status(), StatusCode::CONFLICT);
}
