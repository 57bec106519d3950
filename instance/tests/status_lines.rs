//! Tests of the status lines of leafs. The instances run as processes against the stand-ins of the
//! platform.

mod support;

use camphorhold_testutils::platform::leaf::Behaviour;
use hyper::StatusCode;
use support::Instance;
use support::Platform;

/// Status lines that no answer has. Those of 100 and 199 are interim heads, after which the rest of the
/// answer is no head.
const MALFORMED: [&str; 22] = [
    "HTTP/1.1 000 X",
    "HTTP/1.1 099 X",
    "HTTP/1.1 100 X",
    "HTTP/1.1 101 X",
    "HTTP/1.1 199 X",
    "HTTP/1.1 600 X",
    "HTTP/1.1 999 X",
    "HTTP/1.1 2 X",
    "HTTP/1.1 20 X",
    "HTTP/1.1 2000 X",
    "HTTP/1.1 0200 X",
    "HTTP/1.1 +20 X",
    "HTTP/1.1 -20 X",
    "HTTP/1.1 +200 X",
    "HTTP/1.1  200 X",
    "HTTP/1.1 2 0 X",
    "HTTP/1.1 2x0 X",
    "HTTP/1.1  X",
    "HTTP/2.0 200 X",
    "HTTP/1.2 200 X",
    "HTTP/0.9 200 X",
    "HTTP/11 200 X",
];

/// Status lines of answers.
const VALID: [(&str, u16); 5] = [
    ("HTTP/1.1 200 X", 200),
    ("HTTP/1.1 299 X", 299),
    ("HTTP/1.1 599 X", 599),
    ("HTTP/1.0 200 X", 200),
    ("HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 X", 200),
];

/// Guards against a malformed status that is delivered as an answer, or for which the caller waits.
#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_status_is_no_answer() {
    let mut delivered = Vec::new();
    for line in MALFORMED {
        let platform = Platform::start(&[("s1", "a")]).await;
        let instance = Instance::start(&platform, "1", "a").await;
        platform.leafs[0].set_behaviour(Behaviour::StatusLine(line));
        let answer = instance.send("r1", "/once/x").await.expect("an answer");
        if answer.status() != StatusCode::BAD_GATEWAY || !answer.body().is_empty() {
            delivered.push((line, answer.status().as_u16()));
        }
        assert_eq!(platform.runs(), 1, "{line}");
    }
    assert!(delivered.is_empty(), "{delivered:?}");
}

/// Guards against a request that fails because one leaf answers with a malformed status although
/// another leaf may run it.
#[tokio::test(flavor = "multi_thread")]
async fn after_a_malformed_status_another_leaf_answers() {
    for line in MALFORMED {
        let platform = Platform::start(&[("s1", "a"), ("s1", "b")]).await;
        let instance = Instance::start(&platform, "1", "a").await;
        platform.leafs[0].set_behaviour(Behaviour::StatusLine(line));
        let answer = instance.send("r1", "/one/x").await.expect("an answer");
        assert_eq!(answer.status(), StatusCode::OK, "{line}");
        let body = answer.body();
        assert_eq!(body, &platform.leafs[1].record()[..], "{line}");
    }
}

/// Guards against valid answers that are taken for malformed ones.
#[tokio::test(flavor = "multi_thread")]
async fn a_valid_status_is_delivered() {
    let platform = Platform::start(&[("s1", "a")]).await;
    for (line, status) in VALID {
        let instance = Instance::start(&platform, "1", "a").await;
        platform.leafs[0].set_behaviour(Behaviour::StatusLine(line));
        let answer = instance.send("r1", "/once/x").await.expect("an answer");
        assert_eq!(answer.status().as_u16(), status, "{line}");
    }
}
