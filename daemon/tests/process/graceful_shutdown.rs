//! Guards the order of a graceful shutdown.

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

/// How many times longer a call on the slow route takes than the usual 2 ms to 3 ms.
const SLOW_FACTOR: f64 = 400.0;

/// Guards against requests that are cut or refused while the load balancer still sends them, and
/// against leafs that a leaving instance keeps.
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
    assert!(served > 0, "requests are answered with readiness off");
    let exit = wait_for("the daemon exits", || {
        std::future::ready(leaving.exit_status())
    })
    .await;
    assert_eq!(exit.code(), Some(0), "{exit}");
    assert!(signalled.elapsed() < SHUTDOWN_TIMEOUT, "the stated bound");
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

/// Sends requests, slow ones beside quick ones, until the instance takes no more. Each request
/// that was taken must be answered whole. Returns how many were.
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
        let reply = query::send(caller, &request).await.expect("an answer");
        reply.check(&request);
        if !reply.full() {
            // The wait is counted from the arrival of the signal, which comes after its sending.
            assert!(signalled.elapsed() >= BALANCER_WAIT, "{reply:?}");
            assert!(reply.reason().contains("shutting down"), "{reply:?}");
            break;
        }
        served += 1;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    for reply in slow {
        let reply = reply.await.expect("no panic").expect("no request is cut");
        let refused = reply.reason().contains("shutting down");
        assert!(reply.full() || refused, "{reply:?}");
    }
    served
}
