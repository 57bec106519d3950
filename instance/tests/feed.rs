//! Tests of changes of the store that instances learn from each other. The instances run as processes
//! against the stand-ins of the platform's store and leafs; registrations without a process make the
//! fleet so large that its instances ask each other.

mod support;

use camphorhold_testutils::platform::CONFIGURATION_KEY;
use camphorhold_testutils::platform::configuration;
use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;
use support::Instance;
use support::Platform;
use support::wait_until;

const TWO_SHARDS: [(&str, &str); 2] = [("s1", "a"), ("s2", "a")];

const LEARNED: &str = r#"camphorhold_feed_total{outcome="learned"}"#;
const VERSION: &str = "camphorhold_config_version";

/// Starts instances of one failure domain in a fleet in which they ask each other.
async fn start_instances(platform: &Platform, count: usize) -> Vec<Instance> {
    for number in 0..16 {
        let registration = json!({
            "domain": "b", "address": format!("127.0.0.1:{}", 1 + number), "capacity": 0.1,
            "protocol": 4,
        });
        let key = format!("camphorhold/instances/absent-{number}");
        platform.store.put(&key, &registration);
    }
    let mut instances = Vec::new();
    for number in 0..count {
        instances.push(Instance::start(platform, &number.to_string(), "a").await);
    }
    instances
}

async fn wait_for_version(instances: &[&Instance], version: f64) {
    for instance in instances {
        wait_until("the configuration is in force", || async {
            instance.gauge(VERSION).await >= version
        })
        .await;
    }
}

/// Returns the instances that have learned changes from others.
async fn learners(instances: &[Instance]) -> Vec<usize> {
    let mut learners = Vec::new();
    for (number, instance) in instances.iter().enumerate() {
        if instance.counter(LEARNED).await > 0 {
            learners.push(number);
        }
    }
    learners
}

/// Waits until all instances but one learn changes from others, and returns that one.
async fn wait_for_upstream(platform: &Platform, instances: &[Instance]) -> usize {
    let mut version = 10;
    loop {
        version += 1;
        platform.configure(version, &["s1", "s2"]);
        let all: Vec<&Instance> = instances.iter().collect();
        #[expect(clippy::cast_precision_loss, reason = "versions are small")]
        wait_for_version(&all, version as f64).await;
        let learners = learners(instances).await;
        if learners.len() + 1 == instances.len() {
            let mut others = 0..instances.len();
            return others
                .find(|number| !learners.contains(number))
                .expect("one instance watches the store");
        }
        assert!(version < 200, "instances do not learn from each other");
    }
}

/// Guards against changes that never arrive, or late, because the instance from which others learn
/// them is suspended: they have to watch the store instead.
#[tokio::test(flavor = "multi_thread")]
async fn changes_arrive_although_the_instance_that_tells_them_is_suspended() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let mut instances = start_instances(&platform, 3).await;
    let upstream = wait_for_upstream(&platform, &instances).await;
    instances[upstream].freeze();
    platform.configure(1_000, &["s2", "s1"]);
    let others = instances.iter().enumerate();
    let others: Vec<&Instance> = others
        .filter(|(number, _)| *number != upstream)
        .map(|(_, instance)| instance)
        .collect();
    wait_for_version(&others, 1_000.0).await;
    instances[upstream].thaw();
    wait_for_version(&[&instances[upstream]], 1_000.0).await;
}

/// Guards against changes that are lost when the instance that tells them is restarted and has read
/// the store at a later revision.
#[tokio::test(flavor = "multi_thread")]
async fn changes_arrive_although_the_instance_that_tells_them_is_restarted() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let mut instances = start_instances(&platform, 3).await;
    let upstream = wait_for_upstream(&platform, &instances).await;
    instances[upstream].kill();
    platform.configure(1_000, &["s2", "s1"]);
    instances[upstream].restart().await;
    platform.configure(1_001, &["s1", "s2"]);
    let all: Vec<&Instance> = instances.iter().collect();
    wait_for_version(&all, 1_001.0).await;
}

/// Guards against keys of customers in messages between instances: only that the configuration has
/// changed is told, and it is read from the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_with_keys_is_read_from_the_store() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let instances = start_instances(&platform, 2).await;
    let upstream = wait_for_upstream(&platform, &instances).await;
    let before = platform.store.revision();
    let mut secret = configuration(1_000, &["s1", "s2"]);
    secret["tenants"] = json!([{"name": "a customer", "api_keys": ["a-secret-key"]}]);
    platform.store.put(CONFIGURATION_KEY, &secret);
    let all: Vec<&Instance> = instances.iter().collect();
    wait_for_version(&all, 1_000.0).await;
    let headers = [("camphorhold-changes-after", before.to_string())];
    let answer = instances[upstream]
        .send_as_instance("/camphorhold/changes", &headers)
        .await
        .expect("an answer");
    assert_eq!(answer.status(), StatusCode::OK);
    let answer: Value = serde_json::from_slice(answer.body()).expect("JSON");
    let changes = answer["changes"].as_array().expect("changes");
    let withheld = |change: &&Value| change["key"] == CONFIGURATION_KEY;
    let change = changes.iter().find(withheld).expect("the change");
    assert_eq!(change["withheld"], true);
    assert_eq!(change.get("value"), None);
}

/// Guards against requests of another release, or of nobody, that end a task or wait for ever.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_for_changes_are_refused() {
    let platform = Platform::start(&TWO_SHARDS).await;
    let instances = start_instances(&platform, 1).await;
    for (after, status) in [
        ("-1", StatusCode::BAD_REQUEST),
        ("one", StatusCode::BAD_REQUEST),
        ("0", StatusCode::GONE),
        ("18446744073709551615", StatusCode::GONE),
    ] {
        let headers = [("camphorhold-changes-after", after.to_owned())];
        let answer = instances[0]
            .send_as_instance("/camphorhold/changes", &headers)
            .await
            .expect("an answer");
        assert_eq!(answer.status(), status, "{after}");
    }
}
