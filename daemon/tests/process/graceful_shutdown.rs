//! Tests of the order of steps in a graceful shutdown.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::shutdown::SHUTDOWN_TIMEOUT;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold_testutils::backend::Change;
use camphorhold_testutils::backend::Fault;
use camphorhold_testutils::backend::Misbehaviour;
use nix::sys::signal::Signal;
use serde_json::json;

use crate::support::cluster::BALANCER_WAIT;
use crate::support::cluster::Cluster;
use crate::support::file::Options;
use crate::support::query;
use crate::support::wait_for;
use crate::support::wait_until;

/// How many times longer a call on the slow route takes than the usual 2 ms to 3 ms. The calls then
/// run while the shutdown proceeds.
const SLOW_FACTOR: f64 = 400.0;

/// Guards against requests that a stopping instance cuts off, or refuses while the load balancer
/// still sends them, and against leafs without an owner because the instance did not release them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sigterm_cuts_no_request_and_hands_over_all_leafs() {
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
    let mut leaving = cluster.instances.remove(0);
    let signalled = SystemClock.now();
    leaving.signal(Signal::SIGTERM);
    wait_until("readiness is off", || async {
        leaving.probe("/readyz").await == Some(503)
    })
    .await;
    let served = serve_until_refused(&leaving, signalled).await;
    assert!(
        served > 0,
        "no request was answered while readiness was off"
    );
    let exit = wait_for("the daemon exits", || {
        std::future::ready(leaving.exit_status())
    })
    .await;
    assert_eq!(exit.code(), Some(0), "{exit}");
    assert!(
        signalled.elapsed() < SHUTDOWN_TIMEOUT,
        "the shutdown took longer than its time-out"
    );
    assert!(!leaving.log().contains("were cut"), "{}", leaving.log());
    cluster.wait_members(2).await;
    wait_until("all leafs have owners", || async {
        let statuses = cluster.statuses().await;
        let services = statuses.iter().flat_map(|status| &status.services);
        let leafs = services.flat_map(|service| &service.leafs);
        let owned: BTreeSet<_> = leafs.map(|leaf| leaf.leaf).collect();
        owned.len() == cluster.leafs.len()
    })
    .await;
    cluster.wait_covered().await;
    cluster.check_backend();
}

/// Sends slow and quick requests side by side until the instance refuses one. Checks that each
/// request that it accepted is answered with full coverage. Returns the number of quick requests
/// that were answered.
async fn serve_until_refused(
    leaving: &crate::support::instance::Instance,
    signalled: Instant,
) -> u32 {
    let caller = leaving.addresses.caller;
    let mut slow = Vec::new();
    let mut served = 0;
    loop {
        let mut request = query::search("slow");
        request["route"] = json!("slow");
        slow.push(tokio::spawn(
            async move { query::send(caller, &request).await },
        ));
        let request = query::search("quick");
        let reply = query::send(caller, &request)
            .await
            .expect("the instance answers");
        reply.check(&request);
        if !reply.full() {
            // The instance counts the wait from the arrival of the signal, which is later than
            // `signalled`.
            assert!(signalled.elapsed() >= BALANCER_WAIT, "{reply:?}");
            assert!(reply.reason().contains("shutting down"), "{reply:?}");
            break;
        }
        served += 1;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    for reply in slow {
        let reply = reply
            .await
            .expect("the task did not panic")
            .expect("the instance answers");
        let refused = reply.reason().contains("shutting down");
        assert!(reply.full() || refused, "{reply:?}");
    }
    served
}
