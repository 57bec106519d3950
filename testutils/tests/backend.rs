//! Tests of the backend servers.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::SystemTime;

use camphorhold_testutils::backend::Answer;
use camphorhold_testutils::backend::Backend;
use camphorhold_testutils::backend::Change;
use camphorhold_testutils::backend::Config;
use camphorhold_testutils::backend::Counters;
use camphorhold_testutils::backend::Fault;
use camphorhold_testutils::backend::LeafConfig;
use camphorhold_testutils::backend::Lifecycle;
use camphorhold_testutils::backend::Misbehaviour;
use camphorhold_testutils::backend::Model;
use camphorhold_testutils::backend::ServiceTime;
use camphorhold_testutils::backend::Status;
use camphorhold_testutils::backend::Temperature;
use camphorhold_testutils::backend::expected_hits;
use camphorhold_testutils::backend::read_file;
use camphorhold_testutils::client;
use camphorhold_testutils::client::Connection;
use serde_json::Value;
use serde_json::json;

use self::common::ANY;
use self::common::wait_until;
use self::common::with_timeout;

/// A service time longer than any test, so that a call runs until it is cancelled.
const ONE_HOUR: ServiceTime = ServiceTime {
    base: Duration::from_hours(1),
    jitter: Duration::ZERO,
    straggler_probability: 0.0,
    straggler_factor: 1.0,
};

async fn start(model: Model) -> (Backend, SocketAddr) {
    let leaf: LeafConfig = "127.0.0.1:0=roster/v1/7".parse().unwrap();
    let config = Config {
        leafs: vec![(leaf, model)],
        admin: ANY,
    };
    let backend = Backend::start(config).await.unwrap();
    let address = backend.addresses()[0];
    (backend, address)
}

fn warm() -> Model {
    let mut model = Model::default();
    model.cold_start.at_start = false;
    model
}

fn search(correlation: u64, query: &str) -> Value {
    json!({
        "correlation": correlation, "request_id": "r1", "service": "roster", "version": "v1",
        "route": "list", "shard": 7, "snapshot": 1, "partition": 0, "query": query,
        "deadline_unix_ms": u64::MAX,
    })
}

async fn call(address: SocketAddr, search: Value) -> Answer {
    let answered = with_timeout(client::post(address, "/search", &search)).await;
    let (status, answer) = answered.unwrap();
    assert_eq!(status, 200, "{answer}");
    serde_json::from_value(answer).unwrap()
}

fn spawn(
    address: SocketAddr,
    search: Value,
) -> tokio::task::JoinHandle<Result<Value, client::Error>> {
    tokio::spawn(async move {
        let (_, answer) = with_timeout(client::post(address, "/search", &search)).await?;
        Ok(answer)
    })
}

fn counters(backend: &Backend) -> Counters {
    backend.counters().remove(0)
}

fn change(fault: Fault) -> Change {
    Change {
        fault: Some(fault),
        ..Change::default()
    }
}

/// Guards against answers that a caller cannot verify, for instance because a large correlation is
/// rounded or the hits do not depend on the snapshot.
#[tokio::test]
async fn a_complete_answer_contains_the_expected_hits() {
    let (backend, address) = start(warm()).await;
    let answer = call(address, search(u64::MAX, "anna")).await;
    assert_eq!(answer.correlation, json!(u64::MAX));
    assert_eq!((answer.status, answer.complete), (Status::Ok, true));
    assert_eq!(answer.hits, expected_hits("roster", 7, 1, "anna"));
    assert_ne!(answer.hits, expected_hits("roster", 7, 2, "anna"));
    assert_eq!((answer.holds, answer.partition), (vec![1], 0));
    assert_eq!(answer.temperature, Temperature::Warm);
    let counters = counters(&backend);
    assert_eq!(counters.requests["v1/list"], 1);
    assert_eq!(counters.incarnation, answer.incarnation);
    assert!(counters.last_received_unix_ms > 0);
}

/// Guards against an overload of a cold leaf that is not counted: a second call arrives while the
/// first one runs. Guards also against a leaf that never turns warm, although it has completed
/// enough calls.
#[tokio::test]
async fn a_call_above_the_cold_concurrency_is_a_violation() {
    let mut model = Model {
        service_time: ONE_HOUR,
        slots: 4,
        ..Model::default()
    };
    model.cold_start.duration = Duration::ZERO;
    model.cold_start.answers = 1;
    let (backend, address) = start(model).await;
    let first = spawn(address, search(1, "a"));
    wait_until("the first call is in flight", async || {
        counters(&backend).in_flight == 1
    })
    .await;
    assert_eq!(counters(&backend).violations, 0);
    let second = spawn(address, search(2, "b"));
    wait_until("the second call is in flight", async || {
        counters(&backend).in_flight == 2
    })
    .await;
    let seen = counters(&backend);
    assert_eq!(
        (seen.violations, seen.max_in_flight_cold, seen.cold),
        (1, 2, true)
    );
    first.abort();
    second.abort();
    wait_until("the calls end with their connections", async || {
        counters(&backend).in_flight == 0
    })
    .await;

    let mut model = Model::default();
    model.cold_start.duration = Duration::ZERO;
    model.cold_start.answers = 2;
    let (backend, address) = start(model).await;
    assert_eq!(
        call(address, search(1, "a")).await.temperature,
        Temperature::Cold
    );
    assert_eq!(
        call(address, search(2, "a")).await.temperature,
        Temperature::Warm
    );
    backend.change(&Change {
        turn_cold: true,
        ..Change::default()
    });
    assert!(counters(&backend).cold);
}

/// Guards against refused calls that are executed: a caller repeats them elsewhere, so the effect
/// would come twice. The calls are refused for their deadline, snapshot, partition map or shard, or
/// by a fault.
#[tokio::test]
async fn refused_calls_are_not_executed() {
    let (backend, address) = start(warm()).await;
    let with = |field: &str, value: Value| {
        let mut search = search(1, "a");
        search["idempotency_key"] = json!("k");
        search[field] = value;
        search
    };
    let cases = [
        (with("deadline_unix_ms", json!(1)), Status::NotStarted),
        (with("snapshot", json!(9)), Status::WrongSnapshot),
        (with("partition", json!(9)), Status::WrongSnapshot),
        (with("shard", json!(8)), Status::Failed),
    ];
    for (search, status) in cases {
        let answer = call(address, search).await;
        assert_eq!((answer.status, answer.complete), (status, false));
        assert!(answer.hits.is_empty());
    }
    backend.change(&change(Fault {
        shed_probability: 1.0,
        ..Fault::default()
    }));
    assert_eq!(
        call(address, with("route", json!("x"))).await.status,
        Status::Shed
    );
    let draining = Fault {
        lifecycle: Lifecycle::Draining,
        drain_answers: 1,
        ..Fault::default()
    };
    backend.change(&change(draining));
    assert_eq!(
        call(address, with("route", json!("x"))).await.status,
        Status::Draining
    );
    assert!(
        client::post(address, "/search", &search(1, "a"))
            .await
            .is_err()
    );
    let seen = counters(&backend);
    assert!(seen.executions.is_empty());
    assert_eq!(seen.max_in_flight, 0);
    assert_eq!((seen.misrouted, seen.received), (1, 6));

    backend.change(&change(Fault::default()));
    for executions in 1..=2 {
        assert_eq!(
            call(address, with("route", json!("x"))).await.status,
            Status::Ok
        );
        assert_eq!(counters(&backend).executions["k"], executions);
    }
}

/// Guards against calls that run above the number of slots or wait above the size of the queue. One
/// call runs, one waits, and a third one arrives. Guards also against a cancellation that reports
/// the wrong status for a running or waiting call.
#[tokio::test]
async fn calls_beyond_slots_and_queue_are_shed() {
    let model = Model {
        slots: 1,
        queue: 1,
        queue_wait: Duration::from_hours(1),
        service_time: ONE_HOUR,
        ..warm()
    };
    let (backend, address) = start(model).await;
    let running = spawn(address, search(1, "a"));
    wait_until("one call runs", async || counters(&backend).in_flight == 1).await;
    let waiting = spawn(address, search(2, "a"));
    wait_until("one call waits", async || counters(&backend).in_flight == 2).await;
    assert_eq!(call(address, search(3, "a")).await.status, Status::Shed);
    for (correlation, call, status) in [(2, waiting, "not_started"), (1, running, "failed")] {
        let cancel = json!({"correlation": correlation, "request_id": "r1"});
        let (_, cancelled) = client::post(address, "/cancel", &cancel).await.unwrap();
        assert_eq!(cancelled["cancelled"], 1);
        assert_eq!(call.await.unwrap().unwrap()["status"], status);
    }
    assert_eq!(counters(&backend).cancelled, 2);
}

/// Guards against a call that is started after its deadline, because the deadline was checked only
/// on arrival and passed while the call waited for a slot.
#[tokio::test]
async fn a_call_whose_deadline_passes_in_the_queue_is_not_started() {
    let model = Model {
        slots: 1,
        queue_wait: Duration::from_hours(1),
        ..warm()
    };
    let (backend, address) = start(Model {
        service_time: ONE_HOUR,
        ..model
    })
    .await;
    let blocking = spawn(address, search(1, "a"));
    wait_until("one call runs", async || counters(&backend).in_flight == 1).await;
    let unix_ms = || {
        SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap()
            .as_millis()
    };
    let deadline = u64::try_from(unix_ms()).unwrap() + 50;
    let mut late = search(2, "a");
    late["deadline_unix_ms"] = json!(deadline);
    late["idempotency_key"] = json!("k");
    let waiting = spawn(address, late);
    wait_until("the deadline has passed", async || {
        unix_ms() > u128::from(deadline)
    })
    .await;
    wait_until("the call has arrived", async || {
        counters(&backend).received == 2
    })
    .await;
    blocking.abort();
    assert_eq!(waiting.await.unwrap().unwrap()["status"], "not_started");
    assert!(counters(&backend).executions.is_empty());
}

/// Guards against a crash that still answers the query, leaves other connections open or keeps the
/// incarnation. Callers recognise a crash by these signs.
#[tokio::test]
async fn a_query_with_the_crash_marker_crashes_the_leaf() {
    let (backend, address) = start(Model {
        service_time: ONE_HOUR,
        ..warm()
    })
    .await;
    let before = counters(&backend);
    let other_call = spawn(address, search(1, "a"));
    wait_until("the other call runs", async || {
        counters(&backend).in_flight == 1
    })
    .await;
    let crashed = client::post(address, "/search", &search(2, "a poison query")).await;
    assert!(
        matches!(crashed, Err(client::Error::Unanswered(_))),
        "{crashed:?}"
    );
    let other_result = other_call.await.unwrap();
    assert!(
        matches!(other_result, Err(client::Error::Unanswered(_))),
        "{other_result:?}"
    );
    wait_until("all connections are closed", async || {
        counters(&backend).connections_open == 0
    })
    .await;
    let after = counters(&backend);
    assert_ne!(after.incarnation, before.incarnation);
    assert_eq!((after.crashes, after.cold, after.in_flight), (1, true, 0));
}

/// Guards against a connection limit that is not enforced, or that disturbs the connections within
/// it: a second connection arrives while the first one is in use.
#[tokio::test]
async fn connections_beyond_the_limit_are_reset() {
    let (backend, address) = start(Model {
        connections: 1,
        ..warm()
    })
    .await;
    let mut first = Connection::open(address).await.unwrap();
    first.post("/search", &search(1, "a")).await.unwrap();
    assert!(
        client::post(address, "/search", &search(2, "a"))
            .await
            .is_err()
    );
    first.post("/search", &search(3, "a")).await.unwrap();
    let seen = counters(&backend);
    assert_eq!((seen.connections_opened, seen.connections_refused), (1, 1));
}

/// Guards against faults that affect other leafs, versions or routes than the selected ones, and
/// against a health endpoint that ignores its false values. Two versions of one shard run, and the
/// fault is set for one of them.
#[tokio::test]
async fn faults_apply_only_to_the_selected_leafs_and_routes() {
    let leafs = ["127.0.0.1:0=roster/v1/7", "127.0.0.1:0=roster/v2/7"];
    let leafs = leafs.map(|leaf| (leaf.parse().unwrap(), warm())).to_vec();
    let backend = Backend::start(Config { leafs, admin: ANY }).await.unwrap();
    let addresses = backend.addresses();
    let fault = json!({
        "version": "v2",
        "fault": {
            "misbehaviour": {"route": "list", "fail_probability": 1.0},
            "false_health": {"state": "serving", "load": 0.1},
            "lifecycle": "serving",
        },
    });
    let (status, answer) = client::post(backend.admin_address(), "/fault", &fault)
        .await
        .unwrap();
    assert_eq!((status, answer), (200, json!({"leafs": 1})));
    let route = |version: &str, route: &str| {
        let mut search = search(1, "a");
        search["version"] = json!(version);
        search["route"] = json!(route);
        search
    };
    assert_eq!(
        call(addresses[0], route("v1", "list")).await.status,
        Status::Ok
    );
    assert_eq!(
        call(addresses[1], route("v2", "list")).await.status,
        Status::Failed
    );
    assert_eq!(
        call(addresses[1], route("v2", "add")).await.status,
        Status::Ok
    );
    let (_, health) = client::get(addresses[1], "/health").await.unwrap();
    assert_eq!(
        (&health["load"], &health["state"]),
        (&json!(0.1), &json!("serving"))
    );
    let misbehaviour = Misbehaviour {
        min_in_flight: 2,
        fail_probability: 1.0,
        ..Misbehaviour::default()
    };
    backend.change(&change(Fault {
        misbehaviour,
        ..Fault::default()
    }));
    assert_eq!(
        call(addresses[1], route("v2", "list")).await.status,
        Status::Ok
    );
    let (_, counted) = client::get(backend.admin_address(), "/counters")
        .await
        .unwrap();
    assert_eq!(counted[1]["answers"], json!({"failed": 1, "ok": 2}));
}

/// Guards against an answer that contains the partition map of the call instead of the present one.
/// The map changes while the call waits for a slot.
#[tokio::test]
async fn an_answer_shows_a_partition_that_changed_during_the_call() {
    let (backend, address) = start(Model {
        slots: 1,
        queue_wait: Duration::from_hours(1),
        ..warm()
    })
    .await;
    backend.change(&change(Fault {
        slow_factor: 1e9,
        ..Fault::default()
    }));
    let blocking = spawn(address, search(1, "a"));
    wait_until("one call runs", async || counters(&backend).in_flight == 1).await;
    let running = spawn(address, search(2, "a"));
    wait_until("one call waits", async || counters(&backend).in_flight == 2).await;
    backend.change(&Change {
        fault: Some(Fault::default()),
        partition: Some(1),
        snapshots: Some(vec![2]),
        ..Change::default()
    });
    blocking.abort();
    let answer: Answer = serde_json::from_value(running.await.unwrap().unwrap()).unwrap();
    assert_eq!(
        (answer.status, answer.partition, answer.snapshot),
        (Status::Ok, 1, 1)
    );
    assert_eq!(answer.holds, [2]);
}

/// Guards against a start that ignores a taken port, and against ports that stay taken after a
/// stop, so that a restart on the same address fails.
#[tokio::test]
async fn a_taken_port_is_reported_and_a_stop_frees_it() {
    let (backend, address) = start(warm()).await;
    let leaf = LeafConfig {
        address,
        service: "roster".into(),
        version: "v1".into(),
        shard: 7,
    };
    let config = Config {
        leafs: vec![(leaf, warm())],
        admin: ANY,
    };
    assert!(Backend::start(config.clone()).await.is_err());
    backend.stop().await;
    let again = Backend::start(config).await.unwrap();
    assert_eq!(
        call(again.addresses()[0], search(1, "a")).await.status,
        Status::Ok
    );
}

/// Guards against leafs of an operators' file that are skipped, or that get the default sizes
/// instead of those in the file.
#[test]
fn an_operators_file_defines_the_leafs_and_their_sizes() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/almisse.toml");
    let leafs = read_file(&path, &warm()).unwrap();
    assert_eq!(leafs.len(), 114);
    let (leaf, model) = leafs
        .iter()
        .find(|(leaf, _)| leaf.service == "gift-ledger")
        .unwrap();
    assert_eq!(leaf.to_string(), "127.0.0.1:21200=gift-ledger/v1/0");
    assert_eq!((model.slots, model.connections), (4, 100));
    assert_eq!(model.connect_cost, Duration::from_millis(1));
    assert_eq!(model.cold_start.answers, 20);
    assert!(!model.cold_start.at_start);
}
