//! Tests of instances whose clients hold as much of their memory and as many of their connections as
//! they can. The instances run as processes against the stand-ins of the platform. The tests run one
//! at a time: each measures the peaks of a process under load.

mod support;

use std::time::Duration;

use camphorhold_testutils::platform::leaf::Behaviour;
use futures::future::join_all;
use support::crowd::BODY_BYTES;
use support::crowd::COUNT_INTERVAL;
use support::crowd::Kind;
use support::crowd::MAX_DESCRIPTORS;
use support::crowd::Target;
use support::crowd::run_alone;
use support::exchange;
use support::wait_until;
use tokio::io::AsyncWriteExt;

/// The head of a request that has no end.
const HEAD_BYTES: usize = 15_000;
/// The same at the port for other instances, which permits longer ones.
const PEER_HEAD_BYTES: usize = 250_000;

/// The clients that do not read their answers, the requests of each, and the length of an answer. The
/// operating system holds some 2.6 MB for each connection.
const SILENT_CLIENTS: usize = 60;
const SILENT_REQUESTS: usize = 6;
const LARGE_ANSWER_BYTES: usize = 1 << 20;

/// The ordinary callers, the queries of each, and for how long no leaf answers then.
const CALLERS: usize = 30;
const QUERIES: usize = 100;
const HANG_TIME: Duration = Duration::from_secs(2);

/// The services of a query. A connection to each of them for each connection of a caller is more than
/// the descriptors of the machine.
const SERVICES: [&str; 20] = [
    "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9", "s10", "s11", "s12", "s13", "s14", "s15",
    "s16", "s17", "s18", "s19", "s20",
];

async fn check_callers(kind: Kind) {
    let _alone = run_alone().await;
    let mut target = Target::start().await;
    let address = target.instance.caller_address();
    let clients = target.send(address, kind, "").await;
    let exceeded = target.check(&format!("{kind:?}"), clients).await;
    assert_eq!(exceeded, None);
}

/// Guards against a process that runs out of memory because many clients do not finish their bodies.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_with_a_length_stay_within_the_machine() {
    check_callers(Kind::Length).await;
}

/// Guards against long bodies that are refused for good, because what closed connections held stays in
/// the account.
#[tokio::test(flavor = "multi_thread")]
async fn the_longest_body_is_served_while_others_do_not_finish_theirs() {
    let _alone = run_alone().await;
    let target = Target::start().await;
    let address = target.instance.caller_address();
    let head = format!(
        "POST /one/x HTTP/1.1\r\nHost: q.example\r\nX-Camphorhold-Request-Id: ordinary\r\n\
         Connection: close\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    let request = [head.as_bytes(), &vec![b'x'; BODY_BYTES]].concat();
    let clients = target.send(address, Kind::Length, "").await;
    wait_until("an ordinary body is served", || async {
        let answer = target.instance.send_bytes(&request).await;
        answer.starts_with(b"HTTP/1.1 200 ")
    })
    .await;
    let runs = target.platform.leafs[0].runs();
    let ordinary = runs.iter().filter(|run| run.request == "ordinary");
    let lengths: Vec<usize> = ordinary.map(|run| run.body_bytes).collect();
    assert_eq!(lengths, [BODY_BYTES]);
    drop(clients);
}

/// Guards against chunked bodies that are held but not accounted for, as their length is unknown.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_in_large_chunks_stay_within_the_machine() {
    check_callers(Kind::LargeChunks).await;
}

/// Guards against chunks that hold more memory than the bytes in them.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_in_small_chunks_stay_within_the_machine() {
    check_callers(Kind::SmallChunks).await;
}

/// Guards against clients that are trusted because their first request was an ordinary one.
#[tokio::test(flavor = "multi_thread")]
async fn clients_that_change_their_kind_stay_within_the_machine() {
    check_callers(Kind::Changing).await;
}

/// Guards against clients that keep what they hold because a byte of it arrives from time to time.
#[tokio::test(flavor = "multi_thread")]
async fn clients_that_send_a_byte_a_second_stay_within_the_machine() {
    check_callers(Kind::Slow).await;
}

/// Guards against heads that are held until their time has passed, by any number of connections.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_heads_stay_within_the_machine() {
    check_callers(Kind::Head(HEAD_BYTES)).await;
}

/// Guards against a process without free descriptors because of connections that are not used.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_stay_within_the_machine() {
    check_callers(Kind::Idle).await;
}

/// Guards against answers that are held for as long as their callers do not read them.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_are_not_read_stay_within_the_machine() {
    let _alone = run_alone().await;
    let mut target = Target::start().await;
    let leaf = &target.platform.leafs[0];
    leaf.set_behaviour(Behaviour::Large(LARGE_ANSWER_BYTES));
    let request = "GET /one/x HTTP/1.1\r\nHost: q.example\r\n\
        X-Camphorhold-Request-Id: client\r\n\r\n"
        .repeat(SILENT_REQUESTS);
    let mut clients = Vec::new();
    // One after the other: the answers that are being read from the leaf have a budget of their own.
    for _ in 0..SILENT_CLIENTS {
        let mut stream = target.instance.connect_raw().await;
        let runs = leaf.runs().len();
        if stream.write_all(request.as_bytes()).await.is_ok() {
            let answered = async {
                while leaf.runs().len() < runs + SILENT_REQUESTS / 2 {
                    tokio::time::sleep(COUNT_INTERVAL).await;
                }
            };
            drop(tokio::time::timeout(Duration::from_secs(1), answered).await);
        }
        clients.push(stream);
    }
    leaf.set_behaviour(Behaviour::Answer);
    let exceeded = target.check("answers that are not read", clients).await;
    assert_eq!(exceeded, None);
}

/// Guards against clients that reach the port for other instances and hold its memory, where longer
/// heads are permitted.
#[tokio::test(flavor = "multi_thread")]
async fn clients_at_the_port_for_instances_stay_within_the_machine() {
    let _alone = run_alone().await;
    let mut exceeded = Vec::new();
    for kind in [
        Kind::Length,
        Kind::LargeChunks,
        Kind::SmallChunks,
        Kind::Changing,
        Kind::Slow,
        Kind::Head(PEER_HEAD_BYTES),
        Kind::Idle,
    ] {
        let mut target = Target::start().await;
        let address = target.instance.peer_address();
        let relayed = "Camphorhold-Relay: 2\r\n";
        let clients = target.send(address, kind, relayed).await;
        exceeded.extend(target.check(&format!("peers, {kind:?}"), clients).await);
    }
    assert!(exceeded.is_empty(), "{exceeded:?}");
}

/// Guards against a process without free descriptors because each query opens a connection to a leaf
/// of each shard.
#[tokio::test(flavor = "multi_thread")]
async fn queries_over_many_shards_stay_within_the_machine() {
    let _alone = run_alone().await;
    let mut target = Target::start_for(MAX_DESCRIPTORS, &SERVICES).await;
    // Answers in time raise the number of queries that the instance sends to a shard at a time.
    let callers = (0..CALLERS).map(|_| async {
        let mut connection = target.instance.connect().await;
        for _ in 0..QUERIES {
            // Some are refused.
            let _ = exchange(&mut connection, "ordinary", "/all/x").await;
        }
    });
    join_all(callers).await;
    for leaf in &target.platform.leafs {
        leaf.set_behaviour(Behaviour::Hang);
    }
    let address = target.instance.caller_address();
    let clients = target.send(address, Kind::Query, "").await;
    tokio::time::sleep(HANG_TIME).await;
    for leaf in &target.platform.leafs {
        leaf.set_behaviour(Behaviour::Answer);
    }
    let exceeded = target.check("queries over many shards", clients).await;
    assert_eq!(exceeded, None);
}

/// Guards against clients that use up the descriptors at the ports for readiness checks and metrics.
#[tokio::test(flavor = "multi_thread")]
async fn clients_at_the_other_ports_stay_within_the_machine() {
    let _alone = run_alone().await;
    let mut exceeded = Vec::new();
    for kind in [Kind::Head(HEAD_BYTES), Kind::Idle] {
        let mut target = Target::start().await;
        for address in target.instance.other_addresses() {
            let clients = target.send(address, kind, "").await;
            let what = format!("other ports, {kind:?}");
            exceeded.extend(target.check(&what, clients).await);
        }
    }
    assert!(exceeded.is_empty(), "{exceeded:?}");
}
