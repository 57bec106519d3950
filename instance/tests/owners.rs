//! Tests of queries over shards that have owners, because leafs accept fewer connections than there
//! are instances. The instances run as processes against the stand-ins of the platform.

mod support;

use std::time::Duration;

use bytes::Bytes;
use camphorhold::state::plan::CallSemantics;
use camphorhold::state::plan::Route;
use camphorhold::state::plan::Scope;
use camphorhold::state::plan::Target;
use camphorhold_testutils::platform::leaf::Behaviour;
use camphorhold_testutils::platform::leaf::Leaf;
use hyper::Response;
use hyper::StatusCode;
use support::Instance;
use support::Platform;
use support::recorder::Message;
use support::recorder::Peer;
use support::wait_until;

const SHARDS: [&str; 4] = ["s1", "s2", "s3", "s4"];

const ANSWERED: &str = "camphorhold_requests_total{outcome=\"answered\"}";
const HANDED_OVER: &str = "camphorhold_handovers_total{outcome=\"answered\"}";
const LEAF_CALLS: &str = "camphorhold_leaf_calls_total{outcome=\"answered\"}";

fn header<'a>(answer: &'a Response<Bytes>, name: &str) -> &'a str {
    let value = answer.headers().get(name);
    value.map_or("", |value| value.to_str().unwrap_or_default())
}

/// Asserts that an answer covers each shard exactly once and holds the two greatest records.
fn assert_complete(answer: &Response<Bytes>) {
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(header(answer, "x-camphorhold-missing-parts"), "0");
    let stamps = header(answer, "x-camphorhold-part-stamps");
    assert_eq!(stamps.split(',').count(), SHARDS.len(), "{stamps}");
    assert_eq!(&answer.body()[..], b"s4..............s3..............");
}

/// A deployment whose shards have two leafs each, in the domains `b` and `c`.
struct Deployment {
    platform: Platform,
    /// The instance that callers reach: in the domain `a`, without leafs.
    entry: Instance,
    /// Two instances in `b` and one in `c`.
    near: Vec<Instance>,
}

impl Deployment {
    async fn start() -> Self {
        let leafs: Vec<(&str, &str)> = SHARDS
            .iter()
            .flat_map(|shard| [(*shard, "b"), (*shard, "c")])
            .collect();
        let platform = Platform::start(&leafs).await;
        platform.configure_with_scarce_connections(2, &SHARDS);
        let entry = Instance::start(&platform, "1", "a").await;
        let mut near = Vec::new();
        for (name, domain) in [("2", "b"), ("3", "b"), ("4", "c")] {
            near.push(Instance::start(&platform, name, domain).await);
        }
        wait_until("a query is handed over", || async {
            let answer = entry.send("r", "/all/x").await.expect("an answer");
            assert_eq!(answer.status(), StatusCode::OK);
            entry.counter(HANDED_OVER).await > 0
        })
        .await;
        Self {
            platform,
            entry,
            near,
        }
    }

    /// Sends queries until one is answered within the objective, and checks each answer. The
    /// first ones after a failure may be late or partial.
    async fn answer_in_time(&self) {
        let answered = self.entry.counter(ANSWERED).await;
        wait_until("a query is answered completely and in time", || async {
            let answer = self.entry.send("r", "/all/x").await.expect("an answer");
            assert_eq!(answer.status(), StatusCode::OK);
            self.entry.counter(ANSWERED).await > answered
        })
        .await;
    }
}

/// Guards against one exchange across failure domains per shard. All shards have to cross together,
/// and each of them is called once.
#[tokio::test(flavor = "multi_thread")]
async fn a_query_crosses_the_domain_boundary_in_one_exchange() {
    let deployment = Deployment::start().await;
    let entry = &deployment.entry;
    deployment.answer_in_time().await;
    let own_calls = entry.counter(LEAF_CALLS).await;
    let handovers = entry.counter(HANDED_OVER).await;
    let runs = deployment.platform.runs();
    assert_complete(&entry.send("r1", "/all/x").await.unwrap());
    assert_eq!(entry.counter(HANDED_OVER).await, handovers + 1);
    assert_eq!(entry.counter(LEAF_CALLS).await, own_calls);
    assert_eq!(deployment.platform.runs(), runs + SHARDS.len());
}

/// Guards against a query that is late because the instances of a failure domain do not respond,
/// for instance because the domain is cut off. Its shards have leafs in another domain.
#[tokio::test(flavor = "multi_thread")]
async fn a_query_is_answered_in_time_while_a_domain_is_silent() {
    let mut deployment = Deployment::start().await;
    deployment.answer_in_time().await;
    for silent in [0..2, 2..3] {
        for instance in &mut deployment.near[silent.clone()] {
            instance.freeze();
        }
        let answered = deployment.entry.counter(ANSWERED).await;
        assert_complete(&deployment.entry.send("r1", "/all/x").await.unwrap());
        assert_eq!(deployment.entry.counter(ANSWERED).await, answered + 1);
        for instance in &mut deployment.near[silent] {
            instance.thaw();
        }
        deployment.answer_in_time().await;
    }
}

/// Guards against shards that are lost with a coordinator that was killed, or that refuses queries
/// because it is stopping.
#[tokio::test(flavor = "multi_thread")]
async fn a_query_is_complete_while_coordinators_end() {
    let mut deployment = Deployment::start().await;
    deployment.answer_in_time().await;
    deployment.near[0].kill();
    assert_complete(&deployment.entry.send("r1", "/all/x").await.unwrap());
    deployment.near[2].terminate();
    assert_complete(&deployment.entry.send("r2", "/all/x").await.unwrap());
    deployment.near[1].terminate();
    for number in 0..3 {
        let id = format!("r{number}");
        assert_complete(&deployment.entry.send(&id, "/all/x").await.unwrap());
    }
}

/// Returns the route of the queries, as the instances have it from the configuration.
fn route(shards: &[&str]) -> Route {
    Route {
        name: "all".into(),
        host: "q.example".into(),
        prefix: "/all/".into(),
        semantics: CallSemantics::Idempotent,
        timeout: Duration::from_secs(4),
        objective: Duration::from_secs(1),
        priority: 1,
        max_leafs: 2,
        is_public: false,
        target: Target::Shards(Scope {
            shards: shards.iter().map(|shard| (*shard).into()).collect(),
            min_coverage: 0.5,
            top_k: 2,
        }),
    }
}

fn handover(value: &str, digest: Option<u64>) -> Vec<(&'static str, String)> {
    let digest = digest.map(|digest| ("camphorhold-handover-digest", format!("{digest:x}")));
    let value = ("camphorhold-handover", value.into());
    [value].into_iter().chain(digest).collect()
}

/// Guards against shards that are called directly while a change of the configuration reaches the
/// instances one after the other, although the change does not concern the query: on large
/// deployments such calls overloaded leafs with new connections. Also guards against an answer with
/// shards of two versions that define the query differently.
#[tokio::test(flavor = "multi_thread")]
async fn a_handover_is_accepted_between_versions_that_define_the_query_alike() {
    let deployment = Deployment::start().await;
    let alike = route(&SHARDS).query_digest();
    let other = route(&["s1", "s2", "s3", "s5"]).query_digest();
    let accepted = [
        ("2;500;0,1,2,3", None),
        ("9;500;0,1,2,3", alike),
        ("2;500;0,1,2,3", other),
    ];
    for (value, digest) in accepted {
        let headers = handover(value, digest);
        let answer = deployment.near[2]
            .send_as_instance("/all/x", &headers)
            .await;
        let answer = answer.expect("an answer");
        assert_complete(&answer);
        assert_eq!(header(&answer, "camphorhold-handover"), "0,1,2,3");
    }
    for (value, digest) in [("9;500;0,1,2,3", None), ("9;500;0,1,2,3", other)] {
        let headers = handover(value, digest);
        let answer = deployment.near[2]
            .send_as_instance("/all/x", &headers)
            .await;
        assert_eq!(answer.expect("an answer").status(), StatusCode::CONFLICT);
    }
}

/// Guards against a process that ends, or calls leafs, because of a malformed handover.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_handovers_are_refused() {
    let deployment = Deployment::start().await;
    let near = &deployment.near[2];
    let runs = deployment.platform.runs();
    let malformed = [
        "",
        ";;",
        "2;500;",
        "2;500;0,1,1",
        "2;500;3,2",
        "2;500;0,4",
        "2;500;0,18446744073709551615",
        "2;99999999999999999999;0",
        "-2;500;0",
        "2;500;0;1",
    ];
    for value in malformed {
        let answer = near
            .send_as_instance("/all/x", &handover(value, None))
            .await;
        assert_eq!(
            answer.expect("an answer").status(),
            StatusCode::CONFLICT,
            "{value:?}"
        );
    }
    for path in ["/one/x", "/none/x"] {
        let answer = near
            .send_as_instance(path, &handover("2;500;0", None))
            .await;
        assert_eq!(answer.expect("an answer").status(), StatusCode::CONFLICT);
    }
    assert_eq!(deployment.platform.runs(), runs);
    // A due time in the far future is valid.
    let longest = handover("2;18446744073709551615;0", None);
    let answer = near.send_as_instance("/all/x", &longest).await;
    assert_eq!(answer.expect("an answer").status(), StatusCode::OK);
    assert!(near.is_ready().await);
}

/// Guards against a shard that counts twice, or is left out, when it answers both to the instance
/// and to a late handover.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_handover_adds_no_shard_twice() {
    let deployment = Deployment::start().await;
    deployment.answer_in_time().await;
    for leaf in &deployment.platform.leafs {
        leaf.set_behaviour(Behaviour::Slow(Duration::from_millis(800)));
    }
    for number in 0..3 {
        let id = format!("r{number}");
        let answer = deployment.entry.send(&id, "/all/x").await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK);
        let stamps = header(&answer, "x-camphorhold-part-stamps");
        let mut stamps: Vec<&str> = stamps.split(',').collect();
        let missing: usize = header(&answer, "x-camphorhold-missing-parts")
            .parse()
            .unwrap();
        assert_eq!(stamps.len() + missing, SHARDS.len());
        // The leafs 2n and 2n + 1 hold the same shard.
        let shard = |stamp: &str| {
            let leaf: usize = stamp.split('-').nth(1).unwrap().parse().unwrap();
            leaf / 2
        };
        stamps.sort_unstable_by_key(|stamp| shard(stamp));
        stamps.dedup_by_key(|stamp| shard(stamp));
        assert_eq!(stamps.len() + missing, SHARDS.len());
    }
}

/// Guards against the retry budget being used up by instances that have no configuration yet, as when
/// all of them start again while the store turns some away.
#[tokio::test(flavor = "multi_thread")]
async fn shards_of_an_instance_without_configuration_need_no_retry_budget() {
    let leafs: Vec<(&str, &str)> = SHARDS.iter().map(|shard| (*shard, "b")).collect();
    let platform = Platform::start(&leafs).await;
    let starting = Instance::start_without_store("2", "b").await;
    let registration = serde_json::json!({
        "domain": "b", "address": starting.peer_address().to_string(), "capacity": 1.0,
    });
    platform.store.put("camphorhold/instances/2", &registration);
    let instance = Instance::start(&platform, "1", "a").await;
    let refused = "camphorhold_handovers_total{outcome=\"refused\"}";
    for number in 0..40 {
        let answer = instance.send(&format!("r{number}"), "/all/x").await;
        assert_complete(&answer.expect("an answer"));
    }
    assert!(
        instance.counter(refused).await > 0,
        "nothing was handed over"
    );
    assert_eq!(instance.counter("camphorhold_retries_total").await, 0);
}

/// Guards against queries that wait at an owner, or that its leafs run, although they cannot be
/// answered in time behind others. A refused query must not have run.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_refuses_at_once_what_it_cannot_do_in_time() {
    const LEAF_TIME: Duration = Duration::from_millis(400);
    let deployment = Deployment::start().await;
    let near = &deployment.near[2];
    for leaf in &deployment.platform.leafs {
        leaf.set_behaviour(Behaviour::Slow(LEAF_TIME));
    }
    let send = || async {
        let mut headers = handover("2;900;0", None);
        headers.push(("camphorhold-handover-role", "owner".into()));
        let answer = near.send_as_instance("/all/x", &headers).await;
        answer.expect("an answer")
    };
    wait_until("an owner refuses a query", || async {
        let runs = deployment.platform.runs();
        let answers = futures::future::join_all((0..24).map(|_| send())).await;
        let (refused, others): (Vec<_>, Vec<_>) = answers
            .iter()
            .partition(|answer| !header(answer, "camphorhold-refused-shards").is_empty());
        for answer in &refused {
            assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
            assert_eq!(header(answer, "camphorhold-refused-shards"), "0");
        }
        // Others may run at two leafs.
        assert!(deployment.platform.runs() - runs <= 2 * others.len());
        !refused.is_empty()
    })
    .await;
    let refusals = "camphorhold_shard_refusals_total{place=\"owner\",priority=\"1\"}";
    assert!(near.counter(refusals).await > 0);
}

/// Guards against a query that goes on to the leafs although the owners of its shards have refused it
/// because of their load, and against further ones that are handed over although they have said that
/// they would refuse them.
#[tokio::test(flavor = "multi_thread")]
async fn queries_that_owners_refuse_are_not_run() {
    let leafs: Vec<(&str, &str)> = SHARDS.iter().map(|shard| (*shard, "b")).collect();
    let platform = Platform::start(&leafs).await;
    platform.configure_with_scarce_connections(2, &SHARDS);
    let entry = Instance::start(&platform, "1", "a").await;
    let peer = Peer::start().await;
    let headers = [
        ("camphorhold-refused-shards", "0,1,2,3"),
        ("camphorhold-no-leaf-called", "1"),
        ("camphorhold-shard-thresholds", "0=20,1=20,2=20,3=20"),
    ];
    peer.set_answer(Message {
        status: 503,
        headers: headers
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .into(),
        body: String::new(),
    });
    for name in ["2", "3", "4"] {
        peer.register_as(&platform, name, "b", &serde_json::json!({"capacity": 1.0}));
    }
    let refusals = "camphorhold_shard_refusals_total{place=\"entry\",priority=\"1\"}";
    let sent = std::cell::Cell::new(0);
    wait_until("the caller's instance refuses a query", || async {
        sent.set(sent.get() + 1);
        let id = format!("q{}", sent.get());
        let handovers = || {
            let messages = peer.messages().into_iter();
            let is_handover =
                |message: &Message| message.headers.contains_key("camphorhold-handover");
            messages.filter(is_handover).count()
        };
        let before = handovers();
        let answer = entry.send(&id, "/all/x").await.expect("an answer");
        let runs = platform.leafs.iter().flat_map(Leaf::runs);
        let has_run = runs.into_iter().any(|run| run.request == id);
        // The first ones are sent before the other instances are known.
        assert_eq!(has_run, answer.status() == StatusCode::OK);
        assert!(!has_run || handovers() == before);
        entry.counter(refusals).await > 0
    })
    .await;
}
