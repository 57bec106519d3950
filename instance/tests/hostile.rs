//! Tests of instances whose leafs and callers send bytes that belong to no message. The instances
//! run as processes against the stand-ins of the platform.

mod support;

use std::time::Duration;

use bytes::Bytes;
use camphorhold_testutils::platform::leaf::Behaviour;
use camphorhold_testutils::platform::leaf::Flood;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hyper::Response;
use hyper::StatusCode;
use support::Instance;
use support::Platform;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The memory of a small instance of the platform, in bytes.
const SMALL_MEMORY: usize = 160 << 20;

fn stamp(answer: &Response<Bytes>) -> &str {
    let value = answer.headers().get("x-camphorhold-server-stamp");
    value.map_or("", |value| value.to_str().unwrap_or_default())
}

/// Guards against a request that fails, or waits for its deadline, because a leaf sends bytes
/// without end. It must be answered by the other leaf.
#[tokio::test(flavor = "multi_thread")]
async fn a_flood_of_one_leaf_is_answered_by_the_other() {
    for flood in Flood::ALL {
        let platform = Platform::start(&[("s1", "a"), ("s1", "b")]).await;
        let instance = Instance::start(&platform, "1", "a").await;
        platform.leafs[0].set_behaviour(Behaviour::Flood(flood));
        for number in 0..3 {
            let id = format!("r{number}");
            let answer = instance.send(&id, "/one/x").await.unwrap();
            assert_eq!(answer.status(), StatusCode::OK, "{flood:?}");
            assert!(stamp(&answer).ends_with(&id), "{flood:?}: {answer:?}");
        }
    }
}

/// Guards against other callers and readiness checks that wait while leafs of one service send bytes
/// without end: such a call always finds something to read.
#[tokio::test(flavor = "multi_thread")]
async fn floods_keep_neither_callers_nor_readiness_checks_waiting() {
    for flood in Flood::ALL {
        let mut leafs = vec![("proper", "a")];
        leafs.extend([("flooded", "a"); 9]);
        let platform = Platform::start(&leafs).await;
        let instance = Instance::start(&platform, "1", "a").await;
        for leaf in &platform.leafs[1..] {
            leaf.set_behaviour(Behaviour::Flood(flood));
        }
        let mut queries: FuturesUnordered<_> = (0..20)
            .map(|_| instance.send("flooded", "/all/x"))
            .collect();
        let proper = async {
            for number in 0..10 {
                let id = format!("r{number}");
                let answer = instance.send(&id, "/one/x").await;
                assert_eq!(answer.unwrap().status(), StatusCode::OK, "{flood:?}");
                assert!(instance.is_ready().await, "{flood:?}");
            }
        };
        // Half a second after the time that the callers of the flooded service have.
        let bound = Duration::from_millis(3_500);
        let (in_time, ()) = tokio::join!(tokio::time::timeout(bound, proper), async {
            while queries.next().await.is_some() {}
        });
        assert!(in_time.is_ok(), "{flood:?}");
    }
}

/// Guards against an instance that runs out of memory because many leafs send bytes without end at
/// the same time, and against innocent requests that fail meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn memory_stays_bounded_while_fifty_leafs_flood() {
    let shards: Vec<String> = (0..50).map(|shard| format!("s{shard}")).collect();
    let mut leafs: Vec<(&str, &str)> = vec![("proper", "a")];
    leafs.extend(shards.iter().map(|shard| (&**shard, "a")));
    let platform = Platform::start(&leafs).await;
    let instance = Instance::start(&platform, "1", "a").await;
    for flood in Flood::ALL {
        for leaf in &platform.leafs[1..] {
            leaf.set_behaviour(Behaviour::Flood(flood));
        }
        let mut queries: FuturesUnordered<_> =
            (0..4).map(|_| instance.send("flooded", "/all/x")).collect();
        for number in 0..10 {
            let id = format!("r{number}");
            let answer = instance.send(&id, "/one/x").await.unwrap();
            assert_eq!(answer.status(), StatusCode::OK, "{flood:?}");
        }
        while let Some(answer) = queries.next().await {
            answer.unwrap();
        }
    }
    let peak = instance.peak_memory();
    assert!(peak < SMALL_MEMORY / 2, "{peak} bytes");
}

/// Guards against requests whose end is read differently by two servers: the rest of one would be
/// taken for another request. A leaf gets one length, that of the body as it was read here.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_with_two_lengths_reaches_leafs_with_one() {
    let platform = Platform::start(&[("s1", "a")]).await;
    let instance = Instance::start(&platform, "1", "a").await;
    let cases = [
        ("Content-Length: 30\r\nTransfer-Encoding: chunked", "200"),
        ("Transfer-Encoding: chunked\r\nContent-Length: 30", "200"),
        ("Content-Length: 3\r\nContent-Length: 4", "400"),
        ("Transfer-Encoding: identity", "400"),
    ];
    for (lengths, status) in cases {
        let request = format!(
            "POST /one/x HTTP/1.1\r\nHost: q.example\r\nConnection: close\r\n\
             X-Camphorhold-Request-Id: r1\r\n{lengths}\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        );
        let answer = instance.send_bytes(request.as_bytes()).await;
        let answer = String::from_utf8_lossy(&answer);
        let line = format!("HTTP/1.1 {status} ");
        assert!(answer.starts_with(&line), "{lengths}: {answer}");
    }
    let runs = platform.leafs[0].runs();
    let lengths: Vec<usize> = runs.iter().map(|run| run.body_bytes).collect();
    assert_eq!(lengths, [3, 3]);
}

/// Guards against a process that ends, or other callers that are not served, because callers send
/// bytes that are no request.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_that_are_no_request_harm_no_other_caller() {
    let platform = Platform::start(&[("s1", "a")]).await;
    let instance = Instance::start(&platform, "1", "a").await;
    let endless_line = [
        &b"GET /one/x HTTP/1.1\r\nX-Filler: "[..],
        &vec![b'x'; 1 << 20],
    ]
    .concat();
    let many_lines = [
        &b"GET /one/x HTTP/1.1\r\n"[..],
        &b"X-Filler: x\r\n".repeat(1 << 16),
    ]
    .concat();
    let huge_chunk =
        b"POST /one/x HTTP/1.1\r\nHost: q.example\r\nTransfer-Encoding: chunked\r\n\r\n\
        1000000000000000\r\n";
    let long_body = [&huge_chunk[..], &vec![b'x'; 1 << 20]].concat();
    for bytes in [&endless_line, &many_lines, &long_body, &vec![0; 4_096]] {
        let answer = instance.send_bytes(bytes).await;
        assert!(!answer.starts_with(b"HTTP/1.1 200"));
        let answer = instance.send("r1", "/one/x").await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK);
    }
}

/// Guards against a body of a caller that is read for ever, one byte at a time, and against a caller
/// without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_does_not_arrive_in_time_is_refused() {
    let platform = Platform::start(&[("s1", "a")]).await;
    let instance = Instance::start(&platform, "1", "a").await;
    let mut stream = instance.connect_raw().await;
    let head = "POST /one/x HTTP/1.1\r\nHost: q.example\r\nX-Camphorhold-Request-Id: r1\r\n\
        X-Camphorhold-Deadline-Ms: 400\r\nContent-Length: 60000\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let (mut from, mut to) = stream.split();
    let drip = async {
        while to.write_all(b"x").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let mut answer = [0; 12];
    tokio::select! {
        read = from.read_exact(&mut answer) => drop(read.unwrap()),
        () = drip => panic!("the connection was closed without an answer"),
    }
    assert_eq!(&answer, b"HTTP/1.1 408");
    assert_eq!(platform.runs(), 0);
}

/// Guards against a caller that sends small requests without a pause and keeps all others waiting.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_keep_no_other_caller_waiting() {
    let platform = Platform::start(&[("s1", "a")]).await;
    let instance = Instance::start(&platform, "1", "a").await;
    let requests = b"GET /none/x HTTP/1.1\r\nHost: q.example\r\n\r\n".repeat(20_000);
    let mut stream = instance.connect_raw().await;
    let (mut from, mut to) = stream.split();
    let flood = async { while to.write_all(&requests).await.is_ok() {} };
    let discard = async {
        let mut bytes = vec![0; 1 << 16];
        while from.read(&mut bytes).await.is_ok_and(|read| read > 0) {}
    };
    let proper = async {
        for number in 0..20 {
            let answer = instance.send(&format!("r{number}"), "/one/x").await;
            assert_eq!(answer.unwrap().status(), StatusCode::OK);
        }
    };
    tokio::select! {
        () = flood => panic!("the flood ended"),
        () = discard => panic!("the flood ended"),
        () = proper => {}
    }
}

/// Guards against the ports for readiness checks and metrics, which keep what is sent to them.
#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end_at_the_other_ports_are_cut_off() {
    let platform = Platform::start(&[("s1", "a")]).await;
    let instance = Instance::start(&platform, "1", "a").await;
    for address in instance.other_addresses() {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let _ = stream.write_all(b"GET /").await;
        let bytes = vec![b'x'; 1 << 16];
        let mut sent = 0;
        // Some MB fit into the buffers of the connection.
        while sent < 64 << 20 && stream.write_all(&bytes).await.is_ok() {
            sent += 1 << 16;
        }
        assert!(sent < 64 << 20, "{address}");
    }
    assert!(instance.is_ready().await);
    let peak = instance.peak_memory();
    assert!(peak < SMALL_MEMORY / 2, "{peak} bytes");
}

/// Guards against a process that ends, or a list of leafs that is no longer followed, because
/// another writer left an odd entry among those of the leafs.
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_among_the_leafs_neither_end_nor_stall_an_instance() {
    let platform = Platform::start(&[("s1", "a"), ("s1", "b")]).await;
    let mut instance = Instance::start(&platform, "1", "a").await;
    let near = &platform.leafs[0];
    let entry = |field: &str, value: &str| {
        let entry = near.entry("ready").to_string();
        let mut fields: serde_json::Map<String, serde_json::Value> =
            serde_json::from_str(&entry).expect("an object");
        // No leaf listens there, if the entry is used at all.
        fields.insert("address".into(), "127.0.0.1:1".into());
        fields.remove(field);
        let rest = serde_json::to_string(&fields).expect("an object");
        format!("{},\"{field}\":{value}}}", &rest[..rest.len() - 1])
    };
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let unclosed = "{\"service\":".repeat(100_000);
    let odd = [
        nested.clone(),
        unclosed,
        entry("extra", &nested),
        entry("service", &nested),
        entry("cold_left_ms", "1e400"),
        entry("cold_left_ms", "18446744073709551615"),
        entry("cold_left_ms", "99999999999999999999999999"),
        entry("concurrency", "4294967296"),
        entry("concurrency", "0"),
        entry("sequence", "-1"),
        entry("born", "18446744073709551615"),
        entry("born", "1e308"),
        entry("address", "\"127.0.0.1:65536\""),
        entry("address", "\"127.0.0.1:0\""),
        entry("address", "\"127.0.0.1:-1\""),
    ];
    for (round, value) in odd.iter().enumerate() {
        platform.store.put_bytes("servers/odd", value.as_bytes());
        // A change of a leaf that follows shows that the entry has been read.
        let (state, expected) = if round % 2 == 0 {
            ("draining", "i-1-r1")
        } else {
            ("ready", "i-0-r1")
        };
        platform.store.put(&near.key(), &near.entry(state));
        support::wait_until("a later change is in force", || async {
            let answer = instance.send("r1", "/one/x").await.expect("an answer");
            stamp(&answer) == expected
        })
        .await;
        // Also when it is read with the whole list.
        if round % 5 == 0 {
            instance.kill();
            instance.restart().await;
            let answer = instance.send("r1", "/one/x").await.expect("an answer");
            assert_eq!(answer.status(), StatusCode::OK, "round {round}");
        }
    }
    let panics = instance.counter("camphorhold_task_panics_total").await;
    assert_eq!(panics, 0);
    assert!(instance.is_ready().await);
}

/// Guards against a leaf that stops in the middle of its answer's head: no caller may get a success
/// that is empty or short.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_breaks_off_in_its_head_is_no_success() {
    let platform = Platform::start(&[("s1", "a"), ("s1", "b")]).await;
    let instance = Instance::start(&platform, "1", "a").await;
    let [near, far] = &platform.leafs[..] else {
        panic!("there are two leafs");
    };
    let head = near.head_length("r-000");
    // The ends of lines and of the head are among them.
    let lengths = (0..head).step_by(11).chain([17, head - 2, head - 1, head]);
    for length in lengths {
        near.set_behaviour(Behaviour::TruncateHead(length));
        far.set_behaviour(Behaviour::TruncateHead(length));
        for path in ["/one/x", "/once/x", "/all/x"] {
            let id = format!("r-{length:03}");
            let answer = instance.send(&id, path).await.expect("an answer");
            assert!(
                !answer.status().is_success(),
                "{path} after {length} bytes: {answer:?}"
            );
            assert!(answer.body().is_empty(), "{path} after {length} bytes");
        }
        far.set_behaviour(Behaviour::Answer);
        let id = format!("s-{length:03}");
        let answer = instance.send(&id, "/one/x").await.expect("an answer");
        if answer.status().is_success() {
            assert_eq!(stamp(&answer), format!("i-1-{id}"));
            assert_eq!(answer.body(), &far.record()[..]);
        }
    }
}
