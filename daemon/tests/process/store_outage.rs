//! Tests of the daemons during an outage of the key-value service, and after one of its answers to
//! a write is lost.

use camphorhold::protocol::control::ApplyAnswer;
use camphorhold::protocol::control::Currency;
use camphorhold::protocol::control::Refusal;
use camphorhold::state::id::Revision;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold_testutils::store::Fault;
use camphorhold_testutils::store::Outage;

use crate::support::cluster::Cluster;
use crate::support::file::DOMAINS;
use crate::support::file::Options;
use crate::support::instance::Instance;
use crate::support::query;
use crate::support::wait_for;
use crate::support::wait_until;

/// How long the test checks that a new instance is not ready: longer than the currency bound, and
/// longer than the time after which an instance may replace a roster of unreachable members.
const WATCH_TIME: std::time::Duration = std::time::Duration::from_secs(14);

/// The delay of each call to the store, in milliseconds. It leaves the test enough time between
/// the first and the second write of a file to make the store lose the answer to the second.
const WRITE_DELAY_MS: u64 = 300;

async fn wait_currency(cluster: &Cluster, currency: Currency) {
    for instance in &cluster.instances {
        wait_until("each instance has the expected currency", || async {
            let status = instance.status().await;
            status.is_some_and(|status| status.currency == currency)
        })
        .await;
    }
}

/// Guards against an outage of the store that stops queries, and against a file that is in force at
/// some instances although the answer to the operator said that it was not accepted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_stops_changes_and_nothing_else() {
    let cluster = Cluster::start(Options::default()).await;
    for outage in [Outage::Refuse, Outage::Hang] {
        let text = cluster.instances[0].file_text().await;
        let revision = cluster.statuses().await[0].revision;
        cluster.store.set_fault(Fault {
            outage,
            ..Fault::default()
        });
        wait_currency(&cluster, Currency::Witnessed).await;
        for instance in &cluster.instances {
            assert!(instance.is_ready().await);
            let request = query::search("during the outage");
            let reply = query::send(instance.addresses.caller, &request).await;
            let reply = reply.expect("the instance answers");
            reply.check(&request);
            assert!(reply.full(), "{reply:?}");
        }
        let refused = cluster.text(Options {
            mark: 1,
            ..cluster.options
        });
        let answer = cluster.instances[1].apply(&refused).await;
        let reason = Refusal::StoreUnreachable;
        assert_eq!(answer, ApplyAnswer::NotAccepted { reason });
        cluster.store.set_fault(Fault::default());
        wait_currency(&cluster, Currency::Store).await;
        for (instance, status) in cluster.instances.iter().zip(cluster.statuses().await) {
            assert_eq!(status.revision, revision);
            assert_eq!(instance.file_text().await, text);
        }
        let applied = cluster
            .apply(Options {
                mark: 2,
                ..cluster.options
            })
            .await;
        assert_eq!(applied, Revision(revision.0 + 1));
        cluster.wait_revision(applied).await;
    }
    cluster.check_backend();
}

/// Guards against a file that is applied twice, or reported as refused, because the store's answer
/// to its write was lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_answer_is_resolved_as_accepted_once() {
    let cluster = Cluster::start(Options::default()).await;
    let mut mark = 0;
    // On a busy machine the fault may begin after the write. The attempt is then repeated.
    let (before, answer) = wait_for("the store loses the answer to a write", || {
        mark += 1;
        lose_answer_to_apply(&cluster, mark)
    })
    .await;
    let accepted = Revision(before.0 + 1);
    let ApplyAnswer::Accepted { revision, .. } = answer else {
        panic!("{answer:?}");
    };
    assert_eq!(revision, accepted);
    cluster.wait_revision(accepted).await;
    let next = cluster
        .apply(Options {
            mark: 1000,
            ..cluster.options
        })
        .await;
    assert_eq!(next, Revision(accepted.0 + 1));
}

/// Applies a file while the store loses the answer to the write of its record. Returns the revision
/// before it and the answer to the operator, or `None` if the store lost no answer.
async fn lose_answer_to_apply(cluster: &Cluster, mark: u32) -> Option<(Revision, ApplyAnswer)> {
    let before = cluster.statuses().await[0].revision;
    let text = cluster.text(Options {
        mark,
        ..cluster.options
    });
    let slow = Fault {
        delay_ms: WRITE_DELAY_MS,
        ..Fault::default()
    };
    cluster.store.set_fault(slow);
    let writes = cluster.store.counters().writes;
    let fault = async {
        wait_until("the file body is written", || async {
            cluster.store.counters().writes > writes
        })
        .await;
        cluster.store.set_fault(Fault {
            lose_answers: 1,
            ..slow
        });
    };
    let (answer, ()) = tokio::join!(cluster.instances[0].apply(&text), fault);
    cluster.store.set_fault(Fault::default());
    let lost = cluster.store.counters().answers_lost;
    if lost == 0 {
        cluster.wait_revision(Revision(before.0 + 1)).await;
        return None;
    }
    Some((before, answer))
}

/// Guards against a new instance that accepts requests with a configuration that may be outdated:
/// the store is down, and no other instance is alive to confirm that the configuration is current.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fresh_instance_is_not_ready_during_an_outage_without_witnesses() {
    let mut cluster = Cluster::start(Options::default()).await;
    for instance in &mut cluster.instances {
        instance.kill();
    }
    cluster.instances.clear();
    cluster.store.set_fault(Fault {
        outage: Outage::Refuse,
        ..Fault::default()
    });
    cluster.list_all();
    let fresh = Instance::start(&cluster.flags(DOMAINS[0])).await;
    cluster.instances.push(fresh);
    cluster.list_all();
    let fresh = &cluster.instances[0];
    let started = SystemClock.now();
    while started.elapsed() < WATCH_TIME {
        assert_eq!(fresh.probe("/readyz").await, Some(503));
        let request = query::search("too early");
        let reply = query::send(fresh.addresses.caller, &request).await;
        let reply = reply.expect("the instance answers");
        reply.check(&request);
        assert_eq!(reply.status, 503, "{reply:?}");
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    cluster.store.set_fault(Fault::default());
    fresh.wait_ready().await;
    cluster.wait_covered().await;
    cluster.check_backend();
}
