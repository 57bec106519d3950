//! Tests of `status`, `moves`, `timeline` and `query` against stand-ins for instances.

#![allow(
    clippy::needless_raw_string_hashes,
    reason = "expect-test writes them when it updates a snapshot"
)]

mod support;

use std::net::SocketAddr;

use camphorhold::protocol::control::Currency;
use camphorhold::protocol::control::InstanceStatus;
use camphorhold::protocol::control::LeafStatus;
use camphorhold::protocol::control::Member;
use camphorhold::protocol::control::Phase;
use camphorhold::protocol::control::RollbackReason;
use camphorhold::protocol::control::RolloutStage;
use camphorhold::protocol::control::RolloutStatus;
use camphorhold::protocol::control::ServiceStatus;
use camphorhold::protocol::control::Temperature;
use camphorhold::state::event::Event;
use camphorhold::state::event::Kind;
use camphorhold::state::event::Ring;
use camphorhold::state::event::Subject;
use camphorhold::state::hlc::Timestamp;
use camphorhold::state::id::Generation;
use camphorhold::state::id::InstanceId;
use camphorhold::state::id::RequestId;
use camphorhold::state::id::Revision;
use camphorhold::state::id::ShardId;
use expect_test::expect;
use support::CLOSED;
use support::Instance;
use support::run;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| panic!("{text:?} is valid"))
}

fn status(id: u64, roster: &[SocketAddr]) -> InstanceStatus {
    let leaf = |address: &str, temperature| LeafStatus {
        leaf: name(address),
        version: name("v1"),
        shard: ShardId(0),
        failure_domain: name("a"),
        temperature,
        in_flight: 1,
        limit: 2,
        draining: false,
    };
    let member = |address: &SocketAddr| Member {
        instance: InstanceId(id),
        address: *address,
        failure_domain: name("a"),
        witness: true,
    };
    InstanceStatus {
        instance: InstanceId(id),
        failure_domain: name("a"),
        generation: Generation(9),
        revision: Revision(4),
        currency: Currency::Witnessed,
        ready: true,
        phase: Phase::Running,
        owned_leafs: 2,
        roster: roster.iter().map(member).collect(),
        services: vec![ServiceStatus {
            service: name("roster"),
            in_flight: 3,
            leafs: vec![
                leaf("10.0.0.1:7001", Temperature::Warm),
                leaf("10.0.0.2:7001", Temperature::Cold),
            ],
        }],
        omitted_leafs: 0,
    }
}

/// Guards against a status that shows only the given instance, or that hides an instance without an
/// answer. The roster of the given instance lists a second one that answers and a third one that
/// refuses connections.
#[tokio::test(flavor = "multi_thread")]
async fn status_shows_the_roster_and_warns_of_unreachable_instances() {
    let mut second = Instance::new(2);
    second.status = Some(status(2, &[]));
    let second = second.serve().await;
    let mut first = Instance::new(1);
    first.status = Some(status(1, &[second, CLOSED]));
    let first = first.serve().await;
    let output = run(&["--instance", &first.to_string(), "status"]).await;
    // The ports, and so the widths of the columns, differ from run to run.
    let words = |text: &str| text.split_whitespace().collect::<Vec<_>>().join(" ");
    let mut lines: Vec<String> = output.stdout.lines().map(words).collect();
    for line in &mut lines {
        for address in [first, second] {
            *line = line.replace(&address.to_string(), "ADDRESS");
        }
    }
    lines[1..3].sort();
    expect![[r#"
        INSTANCE ADDRESS DOMAIN GENERATION REVISION CURRENCY READY PHASE LEAFS ROSTER
        0000000000000001 ADDRESS a 9 4 witnessed yes running 2 2, 2 witnesses
        0000000000000002 ADDRESS a 9 4 witnessed yes running 2 0, 0 witnesses

        SERVICE WARM RAMPING COLD UNKNOWN DRAINING REQUESTS LEAF REQUESTS
        roster 2 0 2 0 0 6 4"#]]
    .assert_eq(&lines.join("\n"));
    assert!(output.stderr.contains(&format!("{CLOSED} did not answer")));
    assert_eq!(output.code, Some(0));
}

/// Guards against a list of rollouts that hides the state of one, or the reason why one was taken
/// back.
#[tokio::test(flavor = "multi_thread")]
async fn moves_shows_the_state_of_each_rollout_and_why_it_was_taken_back() {
    let rollout = |id: &str, stage| RolloutStatus {
        rollout: name(id),
        services: vec![name("roster")],
        from: name("v1"),
        to: name("v2"),
        deadline_unix_ms: 1_796_385_600_000,
        stage,
    };
    let failing = RollbackReason::Failing {
        service: name("roster"),
        route: name("search"),
    };
    let mut instance = Instance::new(1);
    instance.rollouts.rollouts = vec![
        rollout("one", RolloutStage::Completed),
        rollout("two", RolloutStage::Pending),
        rollout("three", RolloutStage::TakenBack { fault: failing }),
        rollout(
            "four",
            RolloutStage::TakenBack {
                fault: RollbackReason::Deadline,
            },
        ),
    ];
    let address = instance.serve().await.to_string();
    let output = run(&["--instance", &address, "moves"]).await;
    expect![[r#"
         MOVE   SERVICES  FROM  TO  DEADLINE              STATE
         one    roster    v1    v2  2026-12-04T12:00:00Z  done
         two    roster    v1    v2  2026-12-04T12:00:00Z  waiting
         three  roster    v1    v2  2026-12-04T12:00:00Z  taken back: failed more often than the old version on roster search
         four   roster    v1    v2  2026-12-04T12:00:00Z  taken back: not completed by its deadline
    "#]].assert_eq(&output.stdout);
    assert_eq!(output.code, Some(0));
}

fn event(wall_ms: u64, instance: u64, request: u128, kind: Kind) -> Event {
    Event {
        at: Timestamp {
            wall_ms,
            counter: 0,
        },
        instance: InstanceId(instance),
        subject: Subject {
            request: Some(RequestId(request)),
            ..Subject::default()
        },
        kind,
    }
}

/// Guards against events in the wrong order, a filter that is not sent to the instances, and a gap
/// without a warning. Two instances record interleaved events of two requests, and the first one
/// keeps only two of its three.
#[tokio::test(flavor = "multi_thread")]
async fn timeline_merges_and_filters_events_and_warns_of_dropped_ones() {
    let mut first = Instance::new(1);
    first.ring = std::sync::Arc::new(std::sync::Mutex::new(Ring::new(2)));
    let second = Instance::new(2);
    first.push(event(1, 1, 7, Kind::Hedged {}));
    first.push(event(2, 1, 7, Kind::RequestAdmitted {}));
    first.push(event(4, 1, 7, Kind::Retried { attempt: 1 }));
    second.push(event(3, 2, 7, Kind::LeafCold {}));
    second.push(event(3, 2, 8, Kind::LeafWarm {}));
    let instances = format!("{},{}", first.serve().await, second.serve().await);
    let request = format!("{:032x}", 7);
    let arguments = [
        "--instance",
        &instances,
        "timeline",
        "--given-only",
        "--request",
        &request,
    ];
    let output = run(&arguments).await;
    expect![[r#"
         TIME                      INSTANCE          EVENT              ABOUT
         1970-01-01T00:00:00.002Z  0000000000000001  request_admitted   request 00000000000000000000000000000007
         1970-01-01T00:00:00.003Z  0000000000000002  leaf_cold          request 00000000000000000000000000000007
         1970-01-01T00:00:00.004Z  0000000000000001  retried attempt=1  request 00000000000000000000000000000007
    "#]].assert_eq(&output.stdout);
    expect![[r#"
        warning: instance 0000000000000001 has dropped 1 events, so the timeline has gaps
    "#]]
    .assert_eq(&output.stderr);
    assert_eq!(output.code, Some(0));
}

/// Starts a stand-in for an entry instance, which answers one request per connection with the given
/// responses.
async fn entry(responses: Vec<&'static str>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        for response in responses {
            let Ok((mut stream, _)) = listener.accept().await else {
                return;
            };
            let mut request = Vec::new();
            while !request.ends_with(b"}") {
                let Ok(1..) = stream.read_buf(&mut request).await else {
                    break;
                };
            }
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    address
}

const NOT_RUN: &str = "HTTP/1.1 503 Service Unavailable\r\nretry-after: 0\r\n\
    connection: close\r\n\r\n\
    {\"request_id\":\"0a\",\"outcome\":\"not_run\",\"reason\":\"overloaded\",\
    \"coverage\":{\"answered\":0,\"in_scope\":0},\"hits\":[],\"server_time_ms\":0}";
const ANSWERED: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n\
    {\"request_id\":\"0a\",\"outcome\":\"answered\",\"snapshot\":7,\
    \"coverage\":{\"answered\":19,\"in_scope\":20},\
    \"hits\":[{\"document\":\"d1\",\"score\":41}],\"server_time_ms\":4}";
const UNKNOWN: &str = "HTTP/1.1 504 Gateway Timeout\r\nconnection: close\r\n\r\n\
    {\"request_id\":\"0a\",\"outcome\":\"unknown\",\"reason\":\"connection lost\",\
    \"coverage\":{\"answered\":0,\"in_scope\":0},\"hits\":[],\"server_time_ms\":0}";
/// The status alone would permit to send the request again; the outcome does not.
const UNKNOWN_WITH_503: &str = "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\n\r\n\
    {\"request_id\":\"0a\",\"outcome\":\"unknown\",\
    \"coverage\":{\"answered\":0,\"in_scope\":0},\"hits\":[],\"server_time_ms\":0}";
const WRONG_TENANT: &str = "HTTP/1.1 403 Forbidden\r\nconnection: close\r\n\r\nwrong tenant";

async fn query(responses: Vec<&'static str>) -> support::Output {
    let address = entry(responses).await.to_string();
    run(&[
        "query",
        "--entry",
        &address,
        "--tenant",
        "almisse",
        "--service",
        "roster",
        "--route",
        "search",
        "{\"name\":\"kim\"}",
    ])
    .await
}

/// Guards against a request that fails although it could be sent again, because the answer says
/// that it was not run; and against more attempts than permitted, which are three by default.
#[tokio::test(flavor = "multi_thread")]
async fn query_repeats_a_request_that_was_not_run() {
    let output = query(vec![NOT_RUN, ANSWERED]).await;
    expect![[r#"
             41  d1
        outcome: answered
        coverage: 19 of 20 shards
        snapshot: 7
        request: 0000000000000000000000000000000a
    "#]]
    .assert_eq(&output.stdout);
    assert_eq!(output.code, Some(0), "{}", output.stderr);
    let output = query(vec![NOT_RUN, NOT_RUN, NOT_RUN, ANSWERED]).await;
    assert_eq!(output.code, Some(1), "{}", output.stdout);
}

/// Guards against a request that is sent again, or reported as refused, although it may have run.
/// The stand-in answers that the outcome is unknown, or closes the connection without an answer.
/// Only a request that the instance rejects as invalid is reported as refused.
#[tokio::test(flavor = "multi_thread")]
async fn query_does_not_repeat_a_request_that_may_have_run() {
    let output = query(vec![UNKNOWN, ANSWERED]).await;
    expect![[r#"
        outcome: unknown (connection lost)
        coverage: 0 of 0 shards
        request: 0000000000000000000000000000000a
    "#]]
    .assert_eq(&output.stdout);
    assert_eq!(output.code, Some(4));
    let unknown = query(vec![UNKNOWN_WITH_503, ANSWERED]).await;
    assert_eq!(unknown.code, Some(4), "{}", unknown.stdout);
    let broken = query(vec!["", ANSWERED]).await;
    assert_eq!(broken.code, Some(4), "{}", broken.stdout);
    let refused = query(vec![WRONG_TENANT]).await;
    assert_eq!(refused.stdout, "refused: 403 Forbidden: wrong tenant\n");
    assert_eq!(refused.code, Some(1));
}
