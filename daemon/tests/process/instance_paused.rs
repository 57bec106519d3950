//! Tests of an instance whose process is paused and resumes with an old generation.

use std::net::SocketAddr;
use std::time::Duration;

use camphorhold::protocol::caller::Outcome;
use camphorhold::state::id::InstanceId;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use futures::future::join_all;
use nix::sys::signal::Signal;
use serde_json::Value;

use crate::support::cluster::Cluster;
use crate::support::file::Leaf;
use crate::support::file::Options;
use crate::support::instance::Instance;
use crate::support::query;
use crate::support::query::Reply;
use crate::support::stream::Stream;
use crate::support::wait_until;

/// How long the instance is paused: longer than the currency bound of 3 s plus the handover wait of
/// 3.5 s, so that others own its leafs and keys when it resumes.
const PAUSE: Duration = Duration::from_millis(7_500);

/// The failure domain that a new file takes out of service during the pause.
const OUT: &str = "west";

/// How many requests with a short deadline are sent. The paused instance, one of three, owns none
/// of their keys with a probability of 1 in 3000.
const BOUNDED_REQUESTS: usize = 20;

/// How many requests wait in the sockets of the paused instance.
const WAITING_REQUESTS: usize = 5;

fn out(leaf: &Leaf) -> bool {
    leaf.failure_domain == OUT
}

/// Guards against an instance that serves requests by an old generation. A file takes a failure
/// domain out of service during the pause, and the instance resumes with requests in its sockets.
/// Also guards against calls beyond a leaf's cold limit and against second executions while two
/// instances consider themselves the owner of the same leaf or key.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resumed_instance_serves_nothing_on_an_old_generation() {
    let cluster = Cluster::start(Options::default()).await;
    let paused = &cluster.instances[2];
    let old = paused
        .status()
        .await
        .expect("the instance returns its status")
        .instance;
    let others: Vec<SocketAddr> = cluster.instances[..2]
        .iter()
        .map(|instance| instance.addresses.caller)
        .collect();
    let stream = Stream::start(&others);
    let before_pause = Stream::start(&[paused.addresses.caller]);
    wait_until("queries run", || async {
        cluster.searches().values().all(|calls| *calls > 5)
    })
    .await;
    paused.signal(Signal::SIGSTOP);
    let stopped = SystemClock.now();
    let waiting = send_waiting(paused.addresses.caller);
    let bounded = tokio::spawn(send_bounded(others[0]));
    let options = Options {
        out: Some(OUT),
        ..cluster.options
    };
    cluster.apply(options).await;
    wait_removed(&cluster.instances[..2], old).await;
    wait_until("the requests reach their deadline", || async {
        bounded.is_finished()
    })
    .await;
    let bounded = bounded.await.expect("the task did not panic");
    tokio::time::sleep_until((stopped + PAUSE).into()).await;
    let resent = resend(&waiting, others[0]).await;
    let at_resume = cluster.searches_at(out);
    paused.signal(Signal::SIGCONT);
    wait_until("the instance is ready again with a new id", || async {
        let status = paused.status().await;
        status.is_some_and(|status| status.ready && status.instance != old)
    })
    .await;
    for (request, pending) in waiting {
        let reply = pending.await.expect("the task did not panic");
        check_waiting(&cluster, &request, reply.as_ref(), &resent);
    }
    let mut sent = before_pause.stop().await;
    let others_sent = stream.stop().await;
    assert_eq!(others_sent.unanswered, Vec::<String>::new());
    sent.entries.extend(others_sent.entries);
    sent.entries.extend(bounded);
    sent.check_entries(&cluster);
    cluster.wait_covered().await;
    assert_eq!(cluster.searches_at(out), at_resume);
    cluster.check_backend();
}

type Pending = tokio::task::JoinHandle<Option<Reply>>;

/// Starts non-idempotent requests that the paused instance can only read after it resumes.
fn send_waiting(caller: SocketAddr) -> Vec<(Value, Pending)> {
    let requests = (0..WAITING_REQUESTS).map(|_| {
        let request = request(&format!("waiting-{:032x}", rand::random::<u128>()));
        let sent = request.clone();
        let reply = tokio::spawn(async move { query::send(caller, &sent).await.ok() });
        (request, reply)
    });
    requests.collect()
}

fn request(key: &str) -> Value {
    query::entry(key, query::unix_ms(), "gift")
}

/// Sends non-idempotent requests with a short deadline to another instance. The paused instance
/// owns some of their keys, but the replies must not wait until it resumes.
async fn send_bounded(caller: SocketAddr) -> Vec<(String, Reply)> {
    let requests = (0..BOUNDED_REQUESTS).map(|_| async move {
        let key = format!("bounded-{:032x}", rand::random::<u128>());
        let mut request = request(&key);
        request["deadline_ms"] = 1_000.into();
        let reply = query::send(caller, &request)
            .await
            .expect("the instance answers");
        reply.check(&request);
        (key, reply)
    });
    join_all(requests).await
}

async fn resend(waiting: &[(Value, Pending)], caller: SocketAddr) -> Vec<(Value, Reply)> {
    let mut replies = Vec::new();
    for (request, _) in waiting {
        let reply = query::send(caller, request)
            .await
            .expect("the instance answers");
        reply.check(request);
        replies.push((request.clone(), reply));
    }
    replies
}

/// Checks that a request that was sent twice ran at most once, and that both outcomes agree with
/// the number of its executions.
fn check_waiting(
    cluster: &Cluster,
    request: &Value,
    reply: Option<&Reply>,
    resent: &[(Value, Reply)],
) {
    let key = request["idempotency"]["key"]
        .as_str()
        .expect("the request has a key");
    let resent = resent.iter().find(|(known, _)| known == request);
    let replies = reply.into_iter().chain(resent.map(|(_, reply)| reply));
    let executions = cluster.executions(key);
    assert!(executions <= 1, "{key}");
    for reply in replies {
        match reply.answer.outcome {
            Outcome::Answered => assert_eq!(executions, 1, "{key}: {reply:?}"),
            Outcome::NotRun => assert_eq!(executions, 0, "{key}: {reply:?}"),
            Outcome::Unknown => {}
        }
    }
}

async fn wait_removed(instances: &[Instance], removed: InstanceId) {
    for instance in instances {
        wait_until("the paused instance is removed", || async {
            let status = instance.status().await;
            status.is_some_and(|status| {
                let mut members = status.roster.iter();
                members.all(|member| member.instance != removed)
            })
        })
        .await;
    }
}
