//! Tests that non-idempotent requests are executed at most once.

use camphorhold::protocol::caller::Outcome;
use camphorhold_testutils::backend::Change;
use camphorhold_testutils::backend::Fault;
use camphorhold_testutils::backend::Misbehaviour;
use serde_json::json;

use crate::support::cluster::Cluster;
use crate::support::file::Options;
use crate::support::query;
use crate::support::wait_for;
use crate::support::wait_until;

/// How many times longer a call on the slow route takes than the usual 2 ms to 3 ms. The owner of
/// the key is killed during such a call.
const SLOW_FACTOR: f64 = 400.0;

fn new_key() -> String {
    format!("gift-{:032x}", rand::random::<u128>())
}

/// Guards against a second execution because a caller sends its request again through another
/// instance, and against a resend whose answer differs from that to the first send.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resend_through_another_instance_gets_the_same_outcome() {
    let cluster = Cluster::start(Options::default()).await;
    for first in &cluster.instances {
        let key = new_key();
        let request = query::entry(&key, query::unix_ms(), "gift");
        let original = query::send(first.addresses.caller, &request).await;
        let original = original.expect("the instance answers");
        original.check(&request);
        assert_eq!(original.status, 200, "{original:?}");
        for instance in &cluster.instances {
            let resent = query::send(instance.addresses.caller, &request).await;
            let resent = resent.expect("the instance answers");
            resent.check(&request);
            assert_eq!(resent.status, 200, "{resent:?}");
            assert_eq!(resent.answer.hits, original.answer.hits);
            assert_eq!(resent.answer.snapshot, original.answer.snapshot);
        }
        assert_eq!(cluster.executions(&key), 1);
    }
    cluster.check_backend();
}

/// Guards against a second execution after the owner of a key is killed while the request runs: the
/// next owner does not know whether it ran. It must neither execute a resend nor answer that the
/// request was not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resend_after_the_owner_was_killed_is_not_executed_again() {
    let mut cluster = Cluster::start(Options::default()).await;
    cluster.change(&Change {
        fault: Some(Fault {
            misbehaviour: Misbehaviour {
                route: Some("slow".into()),
                slow_factor: SLOW_FACTOR,
                ..Misbehaviour::default()
            },
            ..Fault::default()
        }),
        ..Change::default()
    });
    let (key, request, owner, original) = start_at_other_owner(&cluster).await;
    let mut killed = cluster.instances.remove(owner);
    killed.kill();
    cluster.list_all();
    let original = original
        .await
        .expect("the task did not panic")
        .expect("the instance answers");
    original.check(&request);
    assert_eq!(original.answer.outcome, Outcome::Unknown, "{original:?}");
    // The request is sent again while the roster still holds the killed owner, and until another
    // instance owns the key.
    let mut removed = false;
    while !removed {
        let status = cluster.instances[0]
            .status()
            .await
            .expect("the instance returns its status");
        removed = status.roster.len() == 2;
        for instance in &cluster.instances {
            let reply = query::send(instance.addresses.caller, &request).await;
            let reply = reply.expect("the instance answers");
            reply.check(&request);
            assert_eq!(reply.answer.outcome, Outcome::Unknown, "{reply:?}");
        }
    }
    cluster.wait_members(2).await;
    cluster.wait_covered().await;
    for instance in &cluster.instances {
        let reply = query::send(instance.addresses.caller, &request).await;
        let reply = reply.expect("the instance answers");
        assert_eq!(reply.answer.outcome, Outcome::Unknown, "{reply:?}");
    }
    assert_eq!(cluster.executions(&key), 1);
    cluster.check_backend();
}

type Pending = tokio::task::JoinHandle<Result<query::Reply, camphorhold_testutils::client::Error>>;

/// Starts slow requests through the first instance until one has a key that another instance owns.
/// Returns the key, the request, the index of the owner and the pending reply.
async fn start_at_other_owner(cluster: &Cluster) -> (String, serde_json::Value, usize, Pending) {
    wait_for("another instance owns the key of a request", || async {
        let key = new_key();
        let mut request = query::entry(&key, query::unix_ms(), "gift");
        request["route"] = json!("slow");
        let id = query::identify(&mut request);
        let (caller, sent) = (cluster.instances[0].addresses.caller, request.clone());
        let reply = tokio::spawn(async move { query::send(caller, &sent).await });
        wait_until("a leaf runs the request", || async {
            cluster.executions(&key) == 1
        })
        .await;
        for (index, instance) in cluster.instances.iter().enumerate().skip(1) {
            let events = instance.timeline(id).await;
            if events
                .iter()
                .any(|event| *event.kind == *"request_admitted")
            {
                return Some((key, request, index, reply));
            }
        }
        let _ = reply.await;
        None
    })
    .await
}
