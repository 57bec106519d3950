//! Tests of the daemon with invalid input on its caller, peer and control ports.

use std::io::Read as _;
use std::io::Write as _;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use bytes::Bytes;
use camphorhold::protocol::caller::MAX_REQUEST_BYTES;
use camphorhold_testutils::client::Connection;
use http_body_util::BodyExt as _;
use hyper::Method;
use rand::RngCore as _;
use rand::SeedableRng as _;
use serde_json::Value;
use serde_json::json;

use crate::support::cluster::Cluster;
use crate::support::cluster::wait_covered;
use crate::support::file::LEDGER;
use crate::support::file::OTHER_TENANT;
use crate::support::file::Options;
use crate::support::file::SEARCH_SHARDS;
use crate::support::query;

/// The seed of the random bytes sent to the peer port.
const SEED: u64 = 0x00c0_ffee;

/// How many random bodies the test sends to each path of the peer port.
const RANDOM_BODIES: usize = 200;

/// The read time-out of a connection, for a daemon that neither answers nor closes it.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

async fn post(address: SocketAddr, path: &str, body: impl Into<Bytes>) -> (u16, Vec<u8>) {
    let mut connection = Connection::open(address)
        .await
        .expect("the daemon accepts the connection");
    let response = connection.send(Method::POST, path, body.into()).await;
    let response = response.expect("the daemon answers");
    let status = response.status().as_u16();
    let body = response
        .into_body()
        .collect()
        .await
        .expect("the body arrives completely");
    (status, body.to_bytes().to_vec())
}

/// Returns a valid query with one field replaced or added.
fn query_with(field: &str, value: Value) -> Value {
    let mut request = query::search("a query");
    request[field] = value;
    request
}

/// Returns a non-idempotent request with another scope.
fn entry_with_scope(scope: Value) -> Value {
    let mut request = query::entry("key", query::unix_ms(), "gift");
    request["scope"] = scope;
    request
}

/// Returns requests that the daemon must refuse, each with the HTTP status of the refusal.
fn invalid_requests() -> Vec<(Value, u16)> {
    let mut wrong_tenant = query_with("tenant", json!(OTHER_TENANT));
    wrong_tenant["service"] = json!(LEDGER);
    vec![
        (query_with("extra", json!(1)), 400),
        (query_with("query", json!(7)), 400),
        (query_with("query", json!("q".repeat(20_000))), 400),
        (query_with("request_id", json!("not hexadecimal")), 400),
        (query_with("service", json!("two words")), 400),
        (query_with("service", json!("unlisted")), 404),
        (query_with("tenant", json!("unlisted")), 403),
        (wrong_tenant, 403),
        (query_with("deadline_ms", json!(0)), 400),
        (query_with("deadline_ms", json!(u64::MAX)), 400),
        (query_with("deadline_ms", json!(-1)), 400),
        (query_with("worth", json!(-1.0)), 400),
        (query_with("scope", json!([])), 400),
        (query_with("scope", json!([SEARCH_SHARDS])), 400),
        (query_with("scope", json!([u32::MAX])), 400),
        (entry_with_scope(json!([0, 1])), 400),
        (entry_with_scope(Value::Null), 400),
        (json!([]), 400),
        (Value::Null, 400),
    ]
}

/// Guards against a daemon that crashes, hangs or returns an untyped error because a caller,
/// another instance or an operator sends it an invalid message.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_input_gets_typed_errors_and_the_daemon_serves_on() {
    let mut cluster = Cluster::start(Options::default()).await;
    let addresses = cluster.instances[0].addresses;
    for (request, status) in invalid_requests() {
        let body = request.to_string();
        let (found, answer) = post(addresses.caller, "/v1/query", body.clone()).await;
        let answer: Value = serde_json::from_slice(&answer).expect("the error is JSON");
        assert_eq!(found, status, "{body:.200}: {answer}");
        assert!(answer["error"].is_string(), "{body:.200}: {answer}");
    }
    for body in ["", "{", "\u{0}", "{\"tenant\": \"households\""] {
        let (status, answer) = post(addresses.caller, "/v1/query", body).await;
        assert_eq!(status, 400, "{body:?}");
        let answer: Value = serde_json::from_slice(&answer).expect("the error is JSON");
        assert!(answer["error"].is_string(), "{body:?}: {answer}");
    }
    for bytes in [MAX_REQUEST_BYTES + 1, 1024 * 1024, 4 * 1024 * 1024] {
        let (status, _) = post(addresses.caller, "/v1/query", vec![b' '; bytes]).await;
        assert_eq!(status, 413, "an oversized body");
    }
    let (status, _) = post(addresses.caller, "/v1/unknown", "{}").await;
    assert_eq!(status, 404, "an unknown path");
    let metrics = cluster.instances[0].metrics().await;
    assert!(
        metrics.contains("camphorhold_requests_invalid_total"),
        "{metrics}"
    );
    half_sent_body(addresses.caller).await;
    peer_garbage(addresses.peer).await;
    control_garbage(addresses.control).await;
    wait_covered(&cluster.instances[0]).await;
    for instance in &mut cluster.instances {
        assert_eq!(instance.exit_status(), None, "the daemon exited");
        assert!(!instance.log().contains("panicked"), "{}", instance.log());
    }
    cluster.check_backend();
}

/// Guards against a daemon that waits forever for the rest of a request. Sends half of a body
/// twice: the sender closes its side of the connection the first time, and keeps it open the second
/// time.
async fn half_sent_body(caller: SocketAddr) {
    for end in [true, false] {
        let answer = tokio::task::spawn_blocking(move || {
            let mut stream = TcpStream::connect(caller).expect("the daemon accepts the connection");
            stream
                .set_read_timeout(Some(READ_TIMEOUT))
                .expect("the read time-out can be set");
            let head =
                "POST /v1/query HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{\"tenant\"";
            stream
                .write_all(head.as_bytes())
                .expect("half of the request can be sent");
            if end {
                stream
                    .shutdown(Shutdown::Write)
                    .expect("the stream is open");
            }
            let mut answer = [0; 64];
            let read = stream
                .read(&mut answer)
                .expect("the daemon answers or closes");
            String::from_utf8_lossy(&answer[..read]).into_owned()
        });
        let answer = answer.await.expect("the daemon answers or closes");
        // If the sender has closed its side, the daemon may close the connection without an answer.
        let bad_request = answer.starts_with("HTTP/1.1 400");
        assert!(bad_request || (end && answer.is_empty()), "{answer:?}");
    }
}

/// Guards against a crash of the daemon on its peer port, and against a memory allocation of the
/// size that a message only announces.
async fn peer_garbage(peer: SocketAddr) {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(SEED);
    for number in 0..RANDOM_BODIES {
        let mut body = vec![0; number];
        random.fill_bytes(&mut body);
        for path in ["/peer/calls", "/peer/cancel", "/peer/once"] {
            let (status, _) = post(peer, path, body.clone()).await;
            let valid_cancel = path == "/peer/cancel" && status == 200;
            assert!(status == 400 || valid_cancel, "{path} {status} {body:?}");
        }
    }
    // The start of a batch, a sender and a request id, then the greatest possible length of a text.
    let mut body = vec![1, 1, 1];
    body.extend([0xff; 9]);
    body.push(0x01);
    let (status, _) = post(peer, "/peer/calls", body).await;
    assert_eq!(status, 400, "a huge announced length");
    let (status, _) = post(peer, "/peer/calls", vec![0; 4 * 1024 * 1024]).await;
    assert_eq!(status, 400, "an oversized body");
}

/// Guards against a crash of the daemon on its control port, and against a file beyond the size
/// limit that it accepts.
async fn control_garbage(control: SocketAddr) {
    let call = |method: &str, params: Value| {
        json!({"jsonrpc": "2.0", "id": 1, "method": method, "params": params}).to_string()
    };
    let envelope = |at: &str, content: Value| json!([{"at": at, "content": content}]);
    let bodies = [
        String::new(),
        "{".to_owned(),
        "[]".to_owned(),
        "{\"jsonrpc\": \"1.0\"}".to_owned(),
        call("control_unknown", json!([])),
        call("control_apply", json!([])),
        call("control_apply", json!([{"operation": "x"}])),
        call("control_timeline", json!([{"cursor": -1}])),
        call("instance_message", json!([])),
        call("instance_message", envelope("now", json!("AAAA"))),
        call(
            "instance_message",
            envelope("1.0", json!("/////////////w==")),
        ),
        call("instance_message", envelope("1.0", json!("not base64"))),
        call("poison_canary", json!(["x"])),
    ];
    for body in bodies {
        let (status, answer) = post(control, "/", body.clone()).await;
        let answer = String::from_utf8_lossy(&answer).into_owned();
        let typed = status == 200 && answer.contains("\"error\"");
        assert!(
            typed || (400..500).contains(&status),
            "{body:.200}: {status} {answer}"
        );
    }
    let huge = json!({"operation": "1", "text": "x".repeat(1_200_000), "expected_revision": null});
    let (status, answer) = post(control, "/", call("control_apply", json!([huge]))).await;
    let answer: Value = serde_json::from_slice(&answer).expect("the answer is JSON");
    let reason = &answer["result"]["reason"];
    assert_eq!(
        (status, reason),
        (200, &json!("file_too_large")),
        "{answer}"
    );
}
