//! Tests of instances whose clients and servers send more than the instance reads: further requests
//! behind one in progress, bytes on connections that it has not accepted, and long answers while the
//! process does not get to run. Bytes that have been received and not read count as its memory. The
//! tests run one at a time, as those of `clients.rs`.

mod support;

use std::time::Duration;

use camphorhold_testutils::platform::leaf::Behaviour;
use futures::future::join_all;
use support::crowd::CLIENTS;
use support::crowd::Kind;
use support::crowd::MANY_DESCRIPTORS;
use support::crowd::Target;
use support::crowd::run_alone;
use support::wait_until;
use tokio::io::AsyncWriteExt;

/// How long clients and leafs send to a process that does not run.
const FROZEN_TIME: Duration = Duration::from_secs(2);

/// The requests in progress whose answers arrive while the process does not run, and the length of an
/// answer.
const HELD_REQUESTS: usize = 400;
const HELD_ANSWER_BYTES: usize = 1 << 20;

/// The clients that do not read their answers, the requests of each, and the length of the heads of
/// their answers.
const SILENT_CLIENTS: usize = 8;
const SILENT_REQUESTS: usize = 2_000;
const ANSWER_HEAD_BYTES: usize = 32 << 10;

/// The requests of a client that does not read the answers at the port for readiness checks.
const READINESS_REQUESTS: usize = 10_000;

/// Checks a crowd at the port for callers whose requests no leaf answers, until it has sent all.
async fn check_unanswered(kinds: &[Kind]) {
    let _alone = run_alone().await;
    let mut target = Target::start_with(MANY_DESCRIPTORS).await;
    target.platform.leafs[0].set_behaviour(Behaviour::Hang);
    let address = target.instance.caller_address();
    let clients = target.send_mixed(address, kinds, "").await;
    target.platform.leafs[0].set_behaviour(Behaviour::Answer);
    let exceeded = target.check(&format!("{kinds:?}"), clients).await;
    assert_eq!(exceeded, None);
}

/// Guards against requests behind one in progress that are in no account, as nobody has read them.
#[tokio::test(flavor = "multi_thread")]
async fn requests_behind_one_in_progress_stay_within_the_machine() {
    check_unanswered(&[Kind::Behind]).await;
}

/// Guards against ordinary callers that are refused for as long as others have sent requests ahead:
/// these take all of the room that becomes free.
#[tokio::test(flavor = "multi_thread")]
async fn an_ordinary_caller_is_answered_beside_requests_sent_ahead() {
    let _alone = run_alone().await;
    let mut target = Target::start_with(MANY_DESCRIPTORS).await;
    target.platform.leafs[0].set_behaviour(Behaviour::Hang);
    let address = target.instance.caller_address();
    let clients = target.send(address, Kind::Behind, "").await;
    target.platform.leafs[0].set_behaviour(Behaviour::Answer);
    target.check_answer("beside requests sent ahead").await;
    drop(clients);
}

/// Guards against the same with bodies.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_behind_a_request_in_progress_stay_within_the_machine() {
    check_unanswered(&[Kind::BodiesBehind]).await;
}

/// Guards against the same at the port for other instances.
#[tokio::test(flavor = "multi_thread")]
async fn requests_behind_one_of_an_instance_stay_within_the_machine() {
    let _alone = run_alone().await;
    let mut target = Target::start_with(MANY_DESCRIPTORS).await;
    target.platform.leafs[0].set_behaviour(Behaviour::Hang);
    let address = target.instance.peer_address();
    let relayed = "Camphorhold-Relay: 2\r\n";
    let clients = target.send(address, Kind::Behind, relayed).await;
    target.platform.leafs[0].set_behaviour(Behaviour::Answer);
    let exceeded = target.check("instances, Behind", clients).await;
    assert_eq!(exceeded, None);
}

/// Guards against bodies that are complete, so that their connections are not closed, while no leaf
/// answers.
#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_without_answers_stay_within_the_machine() {
    check_unanswered(&[Kind::Whole]).await;
}

/// Guards against a chunk that is held before it is complete.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_one_chunk_stay_within_the_machine() {
    check_unanswered(&[Kind::OneChunk]).await;
}

/// Guards against extensions of chunks, which are no part of a body.
#[tokio::test(flavor = "multi_thread")]
async fn extensions_without_an_end_stay_within_the_machine() {
    check_unanswered(&[Kind::Extensions]).await;
}

/// Guards against trailers, which are buffered but are no part of a body.
#[tokio::test(flavor = "multi_thread")]
async fn trailers_without_an_end_stay_within_the_machine() {
    check_unanswered(&[Kind::Trailers]).await;
}

/// Guards against shares of the memory that are sufficient one by one and not together.
#[tokio::test(flavor = "multi_thread")]
async fn all_kinds_together_stay_within_the_machine() {
    check_unanswered(&[
        Kind::Length,
        Kind::LargeChunks,
        Kind::SmallChunks,
        Kind::Changing,
        Kind::Head(15_000),
        Kind::Idle,
        Kind::OneChunk,
        Kind::Extensions,
        Kind::Trailers,
        Kind::Whole,
        Kind::Behind,
        Kind::BodiesBehind,
    ])
    .await;
}

/// Guards against bytes on connections that wait to be accepted, while the process does not run.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_on_connections_that_wait_stay_within_the_machine() {
    let _alone = run_alone().await;
    let mut target = Target::start_with(MANY_DESCRIPTORS).await;
    let mut addresses = vec![
        target.instance.caller_address(),
        target.instance.peer_address(),
    ];
    addresses.extend(target.instance.other_addresses());
    target.instance.freeze();
    let crowds = addresses
        .iter()
        .map(|address| target.send(*address, Kind::Behind, ""));
    let crowds = tokio::time::timeout(FROZEN_TIME * 10, join_all(crowds)).await;
    let clients = crowds.map_or_else(
        |_| Vec::new(),
        |crowds| crowds.into_iter().flatten().collect(),
    );
    target.count();
    target.instance.thaw();
    let exceeded = target.check("waiting connections", clients).await;
    assert_eq!(exceeded, None);
}

/// Guards against answers of leafs that wait in the sockets, while the process does not run.
#[tokio::test(flavor = "multi_thread")]
async fn answers_of_leafs_that_wait_stay_within_the_machine() {
    let _alone = run_alone().await;
    let mut target = Target::start_with(MANY_DESCRIPTORS).await;
    let leaf = target.platform.leafs[0].clone();
    leaf.set_behaviour(Behaviour::Held(HELD_ANSWER_BYTES));
    let mut clients = Vec::new();
    for _ in 0..HELD_REQUESTS.min(CLIENTS) {
        let mut stream = target.instance.connect_raw().await;
        let request = "GET /one/x HTTP/1.1\r\nHost: q.example\r\n\
            X-Camphorhold-Request-Id: client\r\n\r\n";
        // The instance may have closed it.
        let _ = stream.write_all(request.as_bytes()).await;
        clients.push(stream);
    }
    wait_until("requests have arrived at the leaf", || async {
        !leaf.runs().is_empty()
    })
    .await;
    target.instance.freeze();
    leaf.set_behaviour(Behaviour::Answer);
    tokio::time::sleep(FROZEN_TIME).await;
    target.count();
    target.instance.thaw();
    let exceeded = target.check("answers that wait", clients).await;
    assert_eq!(exceeded, None);
}

/// Guards against answers without a body, whose heads are held for as long as nobody reads them.
#[tokio::test(flavor = "multi_thread")]
async fn heads_of_answers_that_are_not_read_stay_within_the_machine() {
    let _alone = run_alone().await;
    let mut target = Target::start_with(MANY_DESCRIPTORS).await;
    let leaf = target.platform.leafs[0].clone();
    leaf.set_behaviour(Behaviour::LongHead(ANSWER_HEAD_BYTES));
    let clients = target.send_silent(SILENT_CLIENTS, SILENT_REQUESTS).await;
    wait_until("requests have arrived at the leaf", || async {
        !leaf.runs().is_empty()
    })
    .await;
    tokio::time::sleep(FROZEN_TIME).await;
    leaf.set_behaviour(Behaviour::Answer);
    let exceeded = target.check("heads that are not read", clients).await;
    assert_eq!(exceeded, None);
}

/// Guards against the same at the port for readiness checks, where all answers are without a body.
#[tokio::test(flavor = "multi_thread")]
async fn readiness_answers_that_are_not_read_stay_within_the_machine() {
    let _alone = run_alone().await;
    let mut target = Target::start_with(MANY_DESCRIPTORS).await;
    for address in target.instance.other_addresses() {
        let kind = Kind::Silent(READINESS_REQUESTS);
        let clients = target.send(address, kind, "").await;
        let exceeded = target.check("own ports, not read", clients).await;
        assert_eq!(exceeded, None);
    }
}
