//! Tests of the promises to callers and leafs. The instances run as processes against the stand-ins
//! of the platform's store and leafs.

mod support;

use std::time::Duration;

use bytes::Bytes;
use camphorhold_testutils::platform::leaf::Behaviour;
use camphorhold_testutils::platform::leaf::Leaf;
use camphorhold_testutils::platform::store::Fault;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hyper::Response;
use hyper::StatusCode;
use support::Instance;
use support::Platform;
use support::exchange;
use support::program;
use support::wait_until;

const TWO_SHARDS: [(&str, &str); 4] = [("s1", "a"), ("s1", "b"), ("s2", "a"), ("s2", "b")];

fn header<'a>(answer: &'a Response<Bytes>, name: &str) -> &'a str {
    let value = answer.headers().get(name);
    value.map_or("", |value| value.to_str().unwrap_or_default())
}

/// Guards against answers that lack shards or hold wrong records, and against deadlines of calls
/// that do not follow the time limit of the route. A leaf that gets too late a deadline works on a
/// part that can no longer be used.
#[tokio::test(flavor = "multi_thread")]
async fn a_query_is_merged_from_all_shards() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let instance = Instance::start(&platform, "1", "a").await;
    let answer = instance.send("r1", "/all/x").await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(header(&answer, "x-camphorhold-missing-parts"), "0");
    let mut stamps: Vec<&str> = header(&answer, "x-camphorhold-part-stamps")
        .split(',')
        .collect();
    stamps.sort_unstable();
    assert_eq!(stamps, ["i-0-r1", "i-2-r1"]);
    let records = [platform.leafs[2].record(), platform.leafs[0].record()].concat();
    assert_eq!(answer.body(), &records);
    assert_eq!(platform.runs(), 2);
    let run = &platform.leafs[0].runs()[0];
    assert_eq!(run.expected_leaf, "i-0");
    // The instance sends the merged answer within the objective of 1 s, so a later part is unused.
    assert!(run.deadline_ms <= 1_000 && run.deadline_ms > 500);
    instance.send("r2", "/one/x").await.unwrap();
    let run = &platform.leafs[0].runs()[1];
    assert!(run.deadline_ms <= 3_000 && run.deadline_ms > 2_000);
}

/// Guards against an instance that exits at its start because it cannot exchange datagrams yet, and
/// against one that never does afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_starts_while_its_socket_for_datagrams_is_taken() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let mut instance = Instance::start(&platform, "1", "a").await;
    instance.kill();
    let address = instance.peer_address();
    let taken = std::net::UdpSocket::bind(address).unwrap();
    instance.restart().await;
    let answer = instance.send("r1", "/all/x").await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    drop(taken);
    // A bound socket of another program shows in the error of a second one.
    wait_until("the instance binds its socket", || async {
        std::net::UdpSocket::bind(address).is_err()
    })
    .await;
}

/// Guards against a query that fails, or waits for its deadline, because all leafs of one shard
/// hang. The instance must answer with the other shard within the objective.
#[tokio::test(flavor = "multi_thread")]
async fn a_shard_whose_leafs_hang_is_left_out_when_the_answer_is_due() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let instance = Instance::start(&platform, "1", "a").await;
    platform.leafs[0].set_behaviour(Behaviour::Hang);
    platform.leafs[1].set_behaviour(Behaviour::Hang);
    let answer = instance.send("r1", "/all/x").await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(header(&answer, "x-camphorhold-missing-parts"), "1");
    assert_eq!(answer.body(), &platform.leafs[2].record()[..]);
}

/// Guards against a request that waits for a hanging leaf until its deadline although another leaf
/// of the shard could answer it.
#[tokio::test(flavor = "multi_thread")]
async fn a_hanging_leaf_is_hedged() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let instance = Instance::start(&platform, "1", "a").await;
    platform.leafs[0].set_behaviour(Behaviour::Hang);
    let answer = instance.send("r1", "/one/x").await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(header(&answer, "x-camphorhold-server-stamp"), "i-1-r1");
}

/// Guards against an answer to the wrong request: a leaf that answers twice leaves the second
/// answer on the connection, where the next request would take it for its own.
#[tokio::test(flavor = "multi_thread")]
async fn a_duplicate_answer_never_reaches_another_request() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let instance = Instance::start(&platform, "1", "a").await;
    platform.leafs[0].set_behaviour(Behaviour::Repeat);
    let mut connection = instance.connect().await;
    for number in 0..5 {
        let id = format!("r{number}");
        let answer = exchange(&mut connection, &id, "/one/x").await.unwrap();
        let stamp = header(&answer, "x-camphorhold-server-stamp");
        assert!(
            stamp.ends_with(&id),
            "{id} got the answer with the stamp {stamp}"
        );
    }
}

/// Guards against a second copy of an answer that arrives late on a connection in use again, has no
/// id, and is given to the next caller.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_answer_without_an_id_never_reaches_another_request() {
    let platform = Platform::start(&[("s1", "a")]).await;
    let instance = Instance::start(&platform, "1", "a").await;
    let late = Behaviour::RepeatLate(Duration::from_millis(30));
    platform.leafs[0].set_behaviour(late);
    let mut connection = instance.connect().await;
    let mut answered = 0;
    for number in 0..20 {
        let id = format!("r{number:02}");
        let answer = exchange(&mut connection, &id, "/one/x").await.unwrap();
        let stamp = header(&answer, "x-camphorhold-server-stamp");
        assert!(
            stamp.is_empty() || stamp.ends_with(&id),
            "{id} got the answer with the stamp {stamp}"
        );
        answered += usize::from(answer.status().is_success());
    }
    assert!(answered >= 10, "{answered} of 20 answered");
}

/// Guards against a panic, and a caller without an answer, because a leaf states an idle timeout that
/// lies beyond the range of times.
#[tokio::test(flavor = "multi_thread")]
async fn an_idle_timeout_without_bound_harms_no_request() {
    let platform = Platform::start(&[("s1", "a")]).await;
    let instance = Instance::start(&platform, "1", "a").await;
    platform.leafs[0].set_behaviour(Behaviour::KeepAlive(u64::MAX));
    for number in 0..3 {
        let answer = instance.send(&format!("r{number}"), "/one/x").await;
        assert_eq!(answer.unwrap().status(), StatusCode::OK);
    }
}

/// Guards against incomplete answers: a leaf closes the connection in the middle of its answer. The
/// instance must ask another leaf instead.
#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_answer_is_not_passed_on() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let instance = Instance::start(&platform, "1", "a").await;
    platform.leafs[0].set_behaviour(Behaviour::Truncate);
    let answer = instance.send("r1", "/one/x").await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(header(&answer, "x-camphorhold-server-stamp"), "i-1-r1");
}

/// Guards against a second execution and a false answer. A request that runs at most once may have
/// run if its answer is lost, so the instance must neither send it again nor report it as not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_not_repeated_if_the_request_runs_at_most_once() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let instance = Instance::start(&platform, "1", "a").await;
    platform.leafs[0].set_behaviour(Behaviour::Lose);
    let answer = instance.send("r1", "/once/x").await.unwrap();
    assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
    assert_eq!(platform.runs(), 1);
}

/// Guards against a request that fails although it can still run: a leaf that refuses it, or that
/// says that another leaf has its address, has not run it. Another leaf may run it even if it must
/// run at most once.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_request_goes_to_another_leaf() {
    for refusal in [Behaviour::Refuse, Behaviour::Misdirect] {
        let platform = Platform::start(&TWO_SHARDS).await;
        let instance = Instance::start(&platform, "1", "a").await;
        platform.leafs[0].set_behaviour(refusal);
        let answer = instance.send("r1", "/once/x").await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK);
        assert_eq!(header(&answer, "x-camphorhold-server-stamp"), "i-1-r1");
    }
}

/// Guards against an answer that leaves open whether a request ran although all leafs have refused
/// it. The caller could not send it again.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_all_leafs_refuse_is_refused_as_not_run() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let instance = Instance::start(&platform, "1", "a").await;
    for leaf in &platform.leafs {
        leaf.set_behaviour(Behaviour::Refuse);
    }
    let answer = instance.send("r1", "/once/x").await.unwrap();
    // The leafs have confirmed that they did not run it, so the instance may answer the same.
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(!header(&answer, "retry-after").is_empty());
    assert_eq!(platform.runs(), 0);
}

/// Guards against overload that delays all queries: queries that could not be answered in time used
/// the leafs' time, which the other queries needed. The instance must refuse a query beyond the
/// concurrency limits of the shards at once, before it sends a call to any leaf.
#[tokio::test(flavor = "multi_thread")]
async fn a_query_beyond_the_concurrency_limits_is_refused_without_a_call() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let instance = Instance::start(&platform, "1", "a").await;
    for leaf in &platform.leafs {
        leaf.set_behaviour(Behaviour::Hang);
    }
    let refused = "camphorhold_requests_total{outcome=\"crowded\"}";
    let mut queries = FuturesUnordered::new();
    for number in 0..20 {
        let id = format!("q{number}");
        let instance = &instance;
        queries.push(async move { (instance.send(&id, "/all/x").await.unwrap(), id) });
    }
    let (answer, id) = queries.next().await.unwrap();
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(!header(&answer, "retry-after").is_empty());
    assert!(instance.counter(refused).await > 0);
    let runs = platform.leafs.iter().flat_map(Leaf::runs);
    assert!(runs.filter(|run| run.request == id).count() == 0);
    // Once the shards answer again, the instance sends them calls again.
    for leaf in &platform.leafs {
        leaf.set_behaviour(Behaviour::Answer);
    }
    while queries.next().await.is_some() {}
    let answer = instance.send("r1", "/all/x").await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
}

/// Guards against leafs that keep working for a caller that has disconnected: such calls occupy
/// slots that other requests need. The instance must close the calls of the abandoned request.
#[tokio::test(flavor = "multi_thread")]
async fn calls_are_closed_when_the_caller_disconnects() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let instance = Instance::start(&platform, "1", "a").await;
    for leaf in &platform.leafs {
        leaf.set_behaviour(Behaviour::Hang);
    }
    let send = instance.send("r1", "/all/x");
    let left = tokio::time::timeout(Duration::from_millis(200), send).await;
    assert!(left.is_err());
    wait_until("the calls to all leafs are closed", || async {
        platform.leafs.iter().all(|leaf| leaf.connections() == 0)
    })
    .await;
}

/// Guards against requests that are lost because they are sent to a leaf that is about to leave.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_leaf_gets_no_new_requests() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let instance = Instance::start(&platform, "1", "a").await;
    let leaf = &platform.leafs[0];
    platform.store.put(&leaf.key(), &leaf.entry("draining"));
    wait_until("the other leaf gets the requests", || async {
        let answer = instance.send("r", "/one/x").await.unwrap();
        header(&answer, "x-camphorhold-server-stamp").starts_with("i-1")
    })
    .await;
    let runs = leaf.runs().len();
    for _ in 0..5 {
        instance.send("r", "/one/x").await.unwrap();
    }
    assert_eq!(leaf.runs().len(), runs);
}

/// Guards against a configuration that is not applied, and against an older version that replaces a
/// newer one when it is written later.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_configuration_takes_effect_and_an_older_one_does_not() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let instance = Instance::start(&platform, "1", "a").await;
    platform.configure(5, &["s2", "s1"]);
    wait_until("the new configuration is in force", || async {
        let answer = instance.send("r", "/one/x").await.unwrap();
        header(&answer, "x-camphorhold-server-stamp").starts_with("i-2")
    })
    .await;
    platform.configure(4, &["s1", "s2"]);
    platform.configure(6, &["s2", "s1"]);
    for _ in 0..20 {
        let answer = instance.send("r", "/one/x").await.unwrap();
        assert!(header(&answer, "x-camphorhold-server-stamp").starts_with("i-2"));
    }
}

/// Guards against an instance that misses all further changes. The store may lose the answer to a
/// watch and keep its connection open, so the instance must not wait for that answer alone.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_watch_is_replaced() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let instance = Instance::start(&platform, "1", "a").await;
    platform.store.set_fault(Fault::LoseWatches);
    let calls = platform.store.calls();
    platform.configure(5, &["s1", "s2"]);
    wait_until("a watch that will get no answer has started", || async {
        platform.store.calls() > calls
    })
    .await;
    platform.store.set_fault(Fault::None);
    platform.configure(7, &["s2", "s1"]);
    let in_force = wait_until("the change is in force", || async {
        let answer = instance.send("r", "/one/x").await.unwrap();
        header(&answer, "x-camphorhold-server-stamp").starts_with("i-2")
    });
    // The settling time plus the time to apply a change, doubled for a busy machine.
    let bound = 2 * Duration::from_secs(4 + 3);
    tokio::time::timeout(bound, in_force).await.unwrap();
}

/// Guards against changes that are applied too late after a silence of the store, during which the
/// watch of an instance is lost. The instance must apply them within the settling time after the
/// store answers again.
#[tokio::test(flavor = "multi_thread")]
async fn changes_made_while_the_store_was_silent_are_found_in_time() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let instance = Instance::start(&platform, "1", "a").await;
    platform.store.set_fault(Fault::Silent);
    let calls = platform.store.calls();
    platform.configure(5, &["s1", "s2"]);
    wait_until("the store leaves a call without an answer", || async {
        platform.store.calls() > calls
    })
    .await;
    platform.configure(7, &["s2", "s1"]);
    platform.store.set_fault(Fault::None);
    let in_force = wait_until("the change is in force", || async {
        let answer = instance.send("r", "/one/x").await.unwrap();
        header(&answer, "x-camphorhold-server-stamp").starts_with("i-2")
    });
    let settling_time = Duration::from_secs(4);
    tokio::time::timeout(settling_time, in_force).await.unwrap();
}

/// Guards against a lost watch that is not noticed because the instance has no registration: its
/// lease ran out while the store was down.
#[tokio::test(flavor = "multi_thread")]
async fn changes_are_found_in_time_without_a_registration() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let instance = Instance::start(&platform, "1", "a").await;
    let registrations = || platform.store.count("camphorhold/instances/");
    wait_until("the instance is registered", || async {
        registrations() == 1
    })
    .await;
    platform.store.refuse_leases();
    platform.store.end_leases();
    assert_changes_after_a_silence_are_found_in_time(&platform, &instance).await;
    assert_eq!(registrations(), 0);
}

/// Guards against a lost watch that is noticed too late because the cheap reads by which it is
/// found are seconds old.
#[tokio::test(flavor = "multi_thread")]
async fn changes_are_found_in_time_while_cheap_reads_are_old() {
    let platform = Platform::start(&TWO_SHARDS).await;
    platform.store.set_read_age(Duration::from_secs(3));
    let instance = Instance::start(&platform, "1", "a").await;
    assert_changes_after_a_silence_are_found_in_time(&platform, &instance).await;
}

/// Loses the watch of an instance in a silence of the store, in which the configuration changes.
async fn assert_changes_after_a_silence_are_found_in_time(
    platform: &Platform,
    instance: &Instance,
) {
    let calls = platform.store.calls();
    wait_until("a probe has been answered since", || async {
        platform.store.calls() > calls
    })
    .await;
    platform.store.set_fault(Fault::LoseWatches);
    platform.configure(5, &["s1", "s2"]);
    wait_until("the watch after the change is lost", || async {
        platform.store.lost_watches() > 0
    })
    .await;
    platform.configure(7, &["s2", "s1"]);
    platform.store.set_fault(Fault::None);
    let in_force = wait_until("the change is in force", || async {
        let answer = instance.send("r", "/one/x").await.expect("an answer");
        header(&answer, "x-camphorhold-server-stamp").starts_with("i-2")
    });
    let settling_time = Duration::from_secs(4);
    let in_time = tokio::time::timeout(settling_time, in_force).await;
    assert!(in_time.is_ok(), "not in force within the settling time");
}

/// Guards against an instance that stays unregistered until its next renewal, minutes after its
/// lease ran out while the store was down: the others divide the limits by fewer instances.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_registers_again_after_its_lease_ended() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let _instance = Instance::start(&platform, "1", "a").await;
    let is_registered = || async { platform.store.count("camphorhold/instances/") == 1 };
    wait_until("the instance is registered", is_registered).await;
    platform.store.end_leases();
    let registered = wait_until("the instance is registered again", is_registered);
    let settling_time = Duration::from_secs(4);
    tokio::time::timeout(settling_time, registered)
        .await
        .unwrap();
}

/// Guards against an instance that falls behind the store during many changes, such as a change of
/// the sharding. Each answer of the store holds only a part of them, and a pause after each answer
/// delayed the later ones beyond the time to apply a change.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_behind_thousands_of_others_is_in_force_in_time() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let instance = Instance::start(&platform, "1", "a").await;
    for number in 0..5_000 {
        let entry = serde_json::json!({"number": number});
        platform.store.put("servers/another", &entry);
    }
    platform.configure(7, &["s2", "s1"]);
    let in_force = wait_until("the change is in force", || async {
        let answer = instance.send("r", "/one/x").await.unwrap();
        header(&answer, "x-camphorhold-server-stamp").starts_with("i-2")
    });
    let change_time = Duration::from_secs(3);
    tokio::time::timeout(change_time, in_force).await.unwrap();
}

/// Guards against changes that are missed: the store drops its history while it refuses calls, so a
/// watch can no longer return them. The instance must read all entries again, and find that one was
/// removed.
#[tokio::test(flavor = "multi_thread")]
async fn changes_made_before_the_history_was_dropped_are_found() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let instance = Instance::start(&platform, "1", "a").await;
    platform.store.set_fault(Fault::Refuse);
    platform.configure(5, &["s2", "s1"]);
    platform.store.remove(&platform.leafs[2].key());
    platform.store.compact();
    platform.store.set_fault(Fault::None);
    wait_until("the change is in force", || async {
        let answer = instance.send("r", "/one/x").await.unwrap();
        header(&answer, "x-camphorhold-server-stamp").starts_with("i-3")
    })
    .await;
}

/// Guards against an outage of the store that makes an instance unready or stops its requests.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_while_the_store_refuses_calls() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let instance = Instance::start(&platform, "1", "a").await;
    platform.store.set_fault(Fault::Refuse);
    platform.configure(2, &["s1", "s2"]);
    let failed = "camphorhold_store_calls_total{outcome=\"failed\"}";
    wait_until("calls to the store fail", || async {
        instance.counter(failed).await > 2
    })
    .await;
    assert!(instance.is_ready().await);
    let answer = instance.send("r1", "/all/x").await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
}

/// Guards against calls to a removed leaf. Entries that disappear shortly after an outage of the
/// store may have lapsed, so the instance keeps using those leafs. The outage ends when the store
/// answers: if it lasted until the next change was read, a leaf that is removed much later would be
/// kept, too.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaf_removed_after_an_outage_gets_no_calls() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let instance = Instance::start(&platform, "1", "a").await;
    platform.store.set_fault(Fault::Refuse);
    let failed = "camphorhold_store_calls_total{outcome=\"failed\"}";
    wait_until("calls to the store fail for a while", || async {
        instance.counter(failed).await > 4
    })
    .await;
    platform.store.set_fault(Fault::None);
    // Entries that lapsed are back within 2 s. After that, a missing entry means that its leaf has
    // been removed.
    tokio::time::sleep(Duration::from_secs(3)).await;
    platform.store.remove(&platform.leafs[0].key());
    let gone = wait_until("the other leaf gets the requests", || async {
        let answer = instance.send("r", "/one/x").await.unwrap();
        header(&answer, "x-camphorhold-server-stamp").starts_with("i-1")
    });
    let bound = Duration::from_secs(2);
    tokio::time::timeout(bound, gone).await.unwrap();
}

/// Guards against a request without a route that is sent to some leaf or answered as a fault of the
/// instance.
#[tokio::test(flavor = "multi_thread")]
async fn a_path_without_a_route_is_not_found() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let instance = Instance::start(&platform, "1", "a").await;
    let answer = instance.send("r1", "/none/x").await.unwrap();
    assert_eq!(answer.status(), StatusCode::NOT_FOUND);
}

/// Guards against one call between failure domains per shard without a local leaf. The instance
/// must hand such shards over to an instance in the failure domain of their leafs, and still merge
/// each shard exactly once.
#[tokio::test(flavor = "multi_thread")]
async fn shards_without_a_local_leaf_are_handed_over_to_an_instance_near_them() {
    let far = [("s1", "b"), ("s2", "b"), ("s3", "b"), ("s4", "a")];
    let platform = Platform::start(&far).await;
    let near = Instance::start(&platform, "1", "a").await;
    let _far = Instance::start(&platform, "2", "b").await;
    wait_until("both instances are registered", || async {
        platform.store.count("camphorhold/instances/") == 2
    })
    .await;
    let handovers = "camphorhold_handovers_total{outcome=\"answered\"}";
    wait_until("a part of a query is handed over", || async {
        let answer = near.send("r", "/all/x").await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK);
        near.counter(handovers).await > 0
    })
    .await;
    let runs = platform.runs();
    let answer = near.send("r1", "/all/x").await.unwrap();
    assert_eq!(header(&answer, "x-camphorhold-missing-parts"), "0");
    assert_eq!(
        header(&answer, "x-camphorhold-part-stamps")
            .split(',')
            .count(),
        4
    );
    assert_eq!(platform.runs(), runs + 4);
    let records = [platform.leafs[3].record(), platform.leafs[2].record()].concat();
    assert_eq!(answer.body(), &records);
}

/// Guards against leafs that work on a query that cannot be answered, and against a caller that is
/// not told when to come back: after an outage of the store, a restarted instance finds shards
/// without any leaf until their entries are restored.
#[tokio::test(flavor = "multi_thread")]
async fn a_query_is_refused_before_any_call_if_too_many_shards_have_no_leaf() {
    let shards = [("s1", "a"), ("s2", "a"), ("s3", "a"), ("s4", "a")];
    let platform = Platform::start(&shards).await;
    let instance = Instance::start(&platform, "1", "a").await;
    let no_leafs = "camphorhold_requests_total{outcome=\"no_leafs\"}";
    for leaf in &platform.leafs[1..] {
        platform.store.remove(&leaf.key());
    }
    wait_until("a query is refused for want of leafs", || async {
        let answer = instance.send("r", "/all/x").await.unwrap();
        assert!(answer.status().is_success() || answer.status().is_server_error());
        instance.counter(no_leafs).await > 0
    })
    .await;
    let runs = platform.runs();
    let answer = instance.send("r1", "/all/x").await.unwrap();
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    let pause: f64 = header(&answer, "retry-after").parse().unwrap();
    // A caller that waits 3 s can use a pause of at most 1 s.
    assert!(pause > 0.5 && pause <= 1.0, "{pause}");
    assert_eq!(platform.runs(), runs);
    // Half of the shards is enough.
    let leaf = &platform.leafs[1];
    platform.store.put(&leaf.key(), &leaf.entry("ready"));
    wait_until("the query is answered", || async {
        let answer = instance.send("r2", "/all/x").await.unwrap();
        answer.status() == StatusCode::OK && header(&answer, "x-camphorhold-missing-parts") == "2"
    })
    .await;
}

/// Guards against requests that are cut off by a shutdown: they arrived while the process closed
/// its connections, and it ended without an answer to them.
#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_answers_every_request_it_has_read() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let mut instance = Instance::start(&platform, "1", "a").await;
    for leaf in &platform.leafs {
        leaf.set_behaviour(Behaviour::Slow(Duration::from_millis(30)));
    }
    instance.terminate();
    wait_until("the instance is not ready", || async {
        !instance.is_ready().await
    })
    .await;
    let mut answered = 0;
    while let Ok(answer) = instance.send("r1", "/all/x").await {
        assert_eq!(answer.status(), StatusCode::OK);
        answered += 1;
    }
    assert!(
        answered > 10,
        "only {answered} requests were answered during the shutdown"
    );
    wait_until("the process has ended", || {
        let code = instance.exit_code();
        std::future::ready(code == Some(0))
    })
    .await;
}

/// Guards against a change of the settings file that only takes effect on SIGHUP, and against an
/// invalid settings file that stops an instance or makes it unready.
#[tokio::test(flavor = "multi_thread")]
async fn changed_settings_take_effect_and_invalid_ones_change_nothing() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let mut instance = Instance::start(&platform, "1", "a").await;
    platform.leafs[0].set_behaviour(Behaviour::Refuse);
    let answer = instance.send("r1", "/one/x").await.unwrap();
    assert_eq!(
        answer.status(),
        StatusCode::OK,
        "the instance sends the request to another leaf"
    );
    instance.set_retries(0.0, 0.0);
    wait_until("a refused request is not sent to another leaf", || async {
        let answer = instance.send("r2", "/one/x").await.unwrap();
        answer.status() == StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
    instance.invalidate_settings();
    instance.hang_up();
    let answer = instance.send("r3", "/all/x").await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    assert!(instance.is_ready().await);
}

/// Guards against an instance that starts without valid settings, or exits without a message that
/// says what is wrong with them.
#[test]
fn invalid_settings_stop_the_start_with_an_error() {
    let path = std::env::temp_dir().join(format!("camphorhold-bad-{}.yaml", std::process::id()));
    std::fs::write(&path, "node_name: x\n").unwrap();
    let output = std::process::Command::new(program())
        .arg("--settings")
        .arg(&path)
        .output()
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(output.status.code(), Some(2));
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(error.contains("missing field"), "{error}");
}
