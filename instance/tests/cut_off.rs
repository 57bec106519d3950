//! Tests of instances that can reach no leaf, while callers, the store and the other instances reach
//! them. The instances run as processes against the stand-ins of the platform.

mod support;

use std::time::Duration;

use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold_testutils::platform::CONFIGURATION_KEY;
use camphorhold_testutils::platform::configuration;
use camphorhold_testutils::platform::leaf::Behaviour;
use camphorhold_testutils::platform::leaf::Leaf;
use camphorhold_testutils::platform::store::Store;
use camphorhold_testutils::proxy::LinkFault;
use camphorhold_testutils::proxy::Proxy;
use hyper::StatusCode;
use support::Instance;
use support::Platform;
use support::exchange_within;
use support::wait_until;

const REGISTRATIONS: &str = "camphorhold/instances/";

const LEAF_CALLS: &str = "camphorhold_leaf_calls_total{outcome=\"answered\"}";

const CRASHES: &str = "camphorhold_leaf_crashes_total";

/// The time after which callers of a cut-off instance have to be served again.
const CONTACT_TIME: Duration = Duration::from_secs(4);

/// How long an instance may take to answer a relayed request before it is asked whether it responds.
/// Requests that took longer have met a silent one.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(80);

/// The requests of each kind that are sent to the instance, all of which another one could answer.
const REQUESTS: usize = 10;

/// Two instances. The first one has a store of its own, in which the addresses of the leafs are
/// those of proxies.
struct Deployment {
    platform: Platform,
    links: Vec<Proxy>,
    cut_off: Instance,
    other: Instance,
    behind_links: Store,
}

impl Deployment {
    async fn start() -> Self {
        let leafs: Vec<(&str, &str)> = ["s1", "s2", "s3", "s4"]
            .iter()
            .flat_map(|shard| [(*shard, "a"), (*shard, "b")])
            .collect();
        let platform = Platform::start(&leafs).await;
        let behind_links = Platform {
            store: Store::start().await.expect("a store"),
            leafs: platform.leafs.clone(),
        };
        let mut links = Vec::new();
        for leaf in &platform.leafs {
            let link = Proxy::start(leaf.address()).expect("a link");
            let entry = leaf.entry_at("ready", link.address());
            behind_links.store.put(&leaf.key(), &entry);
            links.push(link);
        }
        let services = ["s1", "s2", "s3", "s4"];
        let configuration = configuration(1, &services);
        behind_links.store.put(CONFIGURATION_KEY, &configuration);
        let cut_off = Instance::start(&behind_links, "1", "a").await;
        let other = Instance::start(&platform, "2", "b").await;
        let deployment = Self {
            platform,
            links,
            cut_off,
            other,
            behind_links: behind_links.store,
        };
        deployment.exchange_registrations(1).await;
        deployment
    }

    /// Copies the registrations between the stores, once there are that many behind no links.
    async fn exchange_registrations(&self, others: usize) {
        for (from, to, registered) in [
            (&self.platform.store, &self.behind_links, others),
            (&self.behind_links, &self.platform.store, 1),
        ] {
            wait_until("the instances are registered", || async {
                from.count(REGISTRATIONS) >= registered
            })
            .await;
            for (key, value) in from.items(REGISTRATIONS) {
                to.put_bytes(&key, &value);
            }
        }
    }

    /// Waits until the instance that is to be cut off knows another one.
    async fn wait_until_known(&self, name: &str) {
        let name = format!(r#""instance":"{name}""#);
        wait_until("the instance is known", || async {
            let log = self.cut_off.log();
            log.lines()
                .any(|line| line.contains("instance registered") && line.contains(&name))
        })
        .await;
    }

    fn set_links(&self, fault: LinkFault) {
        for link in &self.links {
            link.set(fault);
        }
    }

    async fn is_answered(&self, request: &str, path: &str) -> bool {
        let answer = self.cut_off.send(request, path).await;
        answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
    }

    /// Sends requests of each kind and returns how many were answered.
    async fn answered(&self, round: &str) -> usize {
        let mut answered = 0;
        for number in 0..REQUESTS {
            for path in ["/all/x", "/one/x", "/once/x"] {
                let request = format!("{round}-{number}{}", path.replace('/', "-"));
                answered += usize::from(self.is_answered(&request, path).await);
            }
        }
        answered
    }
}

/// Guards against callers that are served far worse because their instance has lost its links to all
/// leafs and neither passes their requests on nor notices.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_an_instance_without_leafs_are_served_by_another_one() {
    for fault in [
        LinkFault::Down,
        LinkFault::Unreachable,
        LinkFault::NoListener,
    ] {
        let deployment = Deployment::start().await;
        assert_eq!(deployment.answered("before").await, 3 * REQUESTS);
        deployment.set_links(fault);
        let noticing = async {
            for number in 0.. {
                deployment
                    .is_answered(&format!("notice-{number}"), "/all/x")
                    .await;
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let _ = tokio::time::timeout(CONTACT_TIME, noticing).await;
        let answered = deployment.answered("cut").await;
        let least = 3 * REQUESTS - 2;
        assert!(answered >= least, "{fault:?}: {answered} answered");

        deployment.set_links(LinkFault::None);
        wait_until("the instance calls leafs itself again", || async {
            let before = deployment.cut_off.counter(LEAF_CALLS).await;
            assert!(deployment.is_answered("again", "/one/x").await);
            deployment.cut_off.counter(LEAF_CALLS).await > before
        })
        .await;
        let twice = deployment.platform.leafs.iter().any(|leaf| {
            let runs = leaf.runs();
            let once = runs.iter().filter(|run| run.path == "/once/x");
            let mut ids: Vec<_> = once.map(|run| &run.request).collect();
            let count = ids.len();
            ids.sort_unstable();
            ids.dedup();
            ids.len() < count
        });
        assert!(
            !twice,
            "{fault:?}: a request that runs at most once ran twice"
        );
    }
}

/// Guards against harmless requests that are refused because they were running when the instance
/// lost its links: its leafs have not ended under them.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_not_blamed_for_the_loss_of_the_links() {
    let deployment = Deployment::start().await;
    let leafs = &deployment.platform.leafs;
    for round in 0..2 {
        for leaf in leafs {
            leaf.set_behaviour(Behaviour::Slow(Duration::from_millis(400)));
        }
        let request = format!("running-{round}");
        let is_running = || async {
            let mut runs = leafs.iter().flat_map(Leaf::runs);
            runs.any(|run| run.request == request)
        };
        let cut = async {
            wait_until("the request is running", is_running).await;
            deployment.set_links(LinkFault::Down);
        };
        tokio::join!(deployment.is_answered(&request, "/one/x"), cut);
        for leaf in leafs {
            leaf.set_behaviour(Behaviour::Answer);
        }
        wait_until("another instance answers", || {
            deployment.is_answered("relayed", "/all/x")
        })
        .await;
        deployment.set_links(LinkFault::None);
        wait_until("leafs are reached again", || async {
            deployment.cut_off.counter("camphorhold_cut_off").await == 0
        })
        .await;
    }
    assert!(deployment.is_answered("last", "/one/x").await);
    let crashes = deployment.cut_off.counter(CRASHES).await;
    assert_eq!(crashes, 0);
}

/// Guards against a request that runs twice because the error of a leaf is taken for the refusal of
/// the instance to which it was relayed.
#[tokio::test(flavor = "multi_thread")]
async fn a_relayed_request_that_a_leaf_has_failed_is_not_relayed_again() {
    let deployment = Deployment::start().await;
    deployment.set_links(LinkFault::Down);
    wait_until("another instance answers", || {
        deployment.is_answered("relayed", "/once/x")
    })
    .await;
    for leaf in &deployment.platform.leafs {
        leaf.set_behaviour(Behaviour::Fail(409));
    }
    let answer = deployment.cut_off.send("failed", "/once/x").await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status(), StatusCode::CONFLICT);
    assert!(answer.headers().contains_key("x-camphorhold-server-stamp"));
    let runs = deployment.platform.leafs.iter().flat_map(Leaf::runs);
    assert_eq!(runs.filter(|run| run.request == "failed").count(), 1);
}

/// Guards against relayed requests that wait for an instance that does not respond until their
/// deadline.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_relayed_to_a_silent_instance_is_answered_by_another_one() {
    let mut deployment = Deployment::start().await;
    let _third = Instance::start(&deployment.platform, "3", "b").await;
    deployment.exchange_registrations(2).await;
    deployment.wait_until_known("3").await;
    deployment.set_links(LinkFault::Down);
    wait_until("another instance answers", || {
        deployment.is_answered("relayed", "/all/x")
    })
    .await;
    deployment.other.freeze();
    let mut connection = deployment.cut_off.connect().await;
    for number in 0..30 {
        let path = ["/all/x", "/one/x"][number % 2];
        let id = format!("r{number}");
        let answer = exchange_within(&mut connection, &id, path, Duration::from_secs(2)).await;
        let status = answer.expect("an answer").status();
        assert_eq!(status, StatusCode::OK, "request {number}");
        // The silent instance is tried again after its pause.
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    deployment.other.thaw();
}

/// Guards against requests that wait long for an instance that does not respond, although another one
/// answers them in the end.
#[tokio::test(flavor = "multi_thread")]
async fn most_requests_relayed_to_a_silent_instance_are_answered_within_300_ms() {
    let mut deployment = Deployment::start().await;
    let _third = Instance::start(&deployment.platform, "3", "b").await;
    deployment.exchange_registrations(2).await;
    deployment.wait_until_known("3").await;
    deployment.set_links(LinkFault::Down);
    wait_until("another instance answers", || {
        deployment.is_answered("relayed", "/all/x")
    })
    .await;
    let mut connection = deployment.cut_off.connect().await;
    let mut delayed = Vec::new();
    let mut number = 0;
    while delayed.len() < 5 {
        number += 1;
        assert!(
            number < 60,
            "too few requests met the silent instance: {delayed:?}"
        );
        deployment.other.freeze();
        for attempt in 0..2 {
            let id = format!("r{number}-{attempt}");
            let started = SystemClock.now();
            let limit = Duration::from_secs(2);
            let answer = exchange_within(&mut connection, &id, "/all/x", limit).await;
            let taken = SystemClock.now().saturating_duration_since(started);
            assert_eq!(answer.expect("an answer").status(), StatusCode::OK);
            if taken >= SILENCE_CHECK_INTERVAL {
                delayed.push(taken);
            }
        }
        deployment.other.thaw();
        // The instance that was silent gets relayed requests again after a pause.
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
    delayed.sort_unstable();
    let median = delayed[delayed.len() / 2];
    assert!(median <= Duration::from_millis(300), "{delayed:?}");
}

/// Guards against a caller that gets the status with which instances refuse each other, when the other
/// one has a configuration without the route.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_on_a_route_that_the_other_instance_does_not_know_is_refused_as_not_run() {
    let deployment = Deployment::start().await;
    deployment.set_links(LinkFault::Down);
    wait_until("another instance answers", || {
        deployment.is_answered("relayed", "/once/x")
    })
    .await;
    let mut without_routes = configuration(2, &["s1", "s2", "s3", "s4"]);
    without_routes["routes"] = serde_json::json!([]);
    let store = &deployment.platform.store;
    store.put(CONFIGURATION_KEY, &without_routes);
    wait_until("the request is refused", || async {
        let answer = deployment.cut_off.send("unknown", "/once/x").await;
        let status = answer.expect("an answer").status();
        assert_ne!(status, StatusCode::CONFLICT);
        status == StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
}

/// Guards against the same while the links fail one after the other, so that those to other leafs
/// still work when the first one is lost.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_not_blamed_for_links_that_fail_one_after_the_other() {
    let deployment = Deployment::start().await;
    let leafs = &deployment.platform.leafs;
    for leaf in leafs {
        leaf.set_behaviour(Behaviour::Slow(Duration::from_millis(400)));
    }
    let is_running = || async { leafs.iter().any(|leaf| !leaf.runs().is_empty()) };
    let cut = async {
        wait_until("the request is running", is_running).await;
        for link in &deployment.links {
            link.set(LinkFault::Down);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::join!(deployment.is_answered("running", "/one/x"), cut);
    tokio::time::sleep(CONTACT_TIME).await;
    let crashes = deployment.cut_off.counter(CRASHES).await;
    assert_eq!(crashes, 0);
}
