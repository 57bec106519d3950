//! Tests of the load balancer.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use camphorhold_testutils::balancer::Balancer;
use camphorhold_testutils::balancer::Config;
use camphorhold_testutils::client;
use camphorhold_testutils::client::Connection;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use self::common::ANY;
use self::common::wait_until;

/// A server that answers one request per connection with its port, with status 503 while it is not
/// ready.
struct Instance {
    address: SocketAddr,
    ready: Arc<AtomicBool>,
    task: JoinSet<()>,
}

impl Instance {
    async fn start() -> Self {
        let listener = TcpListener::bind(ANY).await.unwrap();
        let address = listener.local_addr().unwrap();
        let ready = Arc::new(AtomicBool::new(true));
        let readiness = Arc::clone(&ready);
        let mut task = JoinSet::new();
        task.spawn(async move {
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                let status = if readiness.load(Ordering::Relaxed) {
                    200
                } else {
                    503
                };
                tokio::spawn(async move {
                    let mut request = [0; 4096];
                    if !matches!(stream.read(&mut request).await, Ok(1..)) {
                        return;
                    }
                    let port = address.port();
                    let length = port.to_string().len();
                    let answer =
                        format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n{port}");
                    stream.write_all(answer.as_bytes()).await.unwrap();
                });
            }
        });
        Self {
            address,
            ready,
            task,
        }
    }
}

async fn served_by(balancer: &Balancer) -> Result<u16, client::Error> {
    let (_, port) = client::get(balancer.address(), "/").await?;
    Ok(u16::try_from(port.as_u64().unwrap()).unwrap())
}

fn config(instances: &[&Instance]) -> Config {
    let addresses = instances.iter().map(|instance| instance.address);
    Config {
        poll: Duration::from_millis(5),
        ..Config::new(addresses.collect())
    }
}

/// Guards against connections to an instance that has become unready, and against an instance that
/// gets none after it is ready again, because the balancer misses a change of `/readyz`.
#[tokio::test]
async fn unready_instances_get_no_connections() {
    let (a, b) = (Instance::start().await, Instance::start().await);
    let balancer = Balancer::start(config(&[&a, &b])).await.unwrap();
    let mut served = [
        served_by(&balancer).await.unwrap(),
        served_by(&balancer).await.unwrap(),
    ];
    served.sort_unstable();
    let mut both = [a.address.port(), b.address.port()];
    both.sort_unstable();
    assert_eq!(served, both);
    a.ready.store(false, Ordering::Relaxed);
    let ready = |instance: &Instance| balancer.counters().instances[&instance.address].ready;
    wait_until("the balancer sees that one is unready", async || !ready(&a)).await;
    for _ in 0..4 {
        assert_eq!(served_by(&balancer).await.unwrap(), b.address.port());
    }
    a.ready.store(true, Ordering::Relaxed);
    wait_until("the balancer sees that it is ready again", async || {
        ready(&a)
    })
    .await;
    let served = [
        served_by(&balancer).await.unwrap(),
        served_by(&balancer).await.unwrap(),
    ];
    assert!(served.contains(&a.address.port()));
}

/// Guards against failed connections of callers because an instance has stopped since the last poll
/// and still counts as ready. The balancer must try the next instance.
#[tokio::test]
async fn a_failed_connection_goes_to_another_instance() {
    let (mut a, b) = (Instance::start().await, Instance::start().await);
    let slow = Config {
        poll: Duration::from_hours(1),
        ..config(&[&a, &b])
    };
    let balancer = Balancer::start(slow).await.unwrap();
    a.task.shutdown().await;
    for _ in 0..4 {
        assert_eq!(served_by(&balancer).await.unwrap(), b.address.port());
    }
    let counters = balancer.counters();
    assert_eq!(counters.instances[&a.address].failures, 2);
    assert_eq!(counters.instances[&b.address].connections, 4);
}

/// Guards against callers that wait without an answer, because the balancer has no ready instance
/// and keeps their connection open.
#[tokio::test]
async fn a_connection_without_a_ready_instance_is_reset() {
    let a = Instance::start().await;
    let balancer = Balancer::start(config(&[])).await.unwrap();
    assert!(served_by(&balancer).await.is_err());
    assert_eq!(balancer.counters().unserved, 1);
    let instances = serde_json::json!([a.address]);
    client::post(balancer.admin_address(), "/set", &instances)
        .await
        .unwrap();
    wait_until("the instance is ready", async || {
        balancer.counters().instances[&a.address].ready
    })
    .await;
    assert_eq!(served_by(&balancer).await.unwrap(), a.address.port());
}

/// Guards against a delay that loses or reorders bytes, and against an end of the stream that is
/// not forwarded. Both can happen because chunks are queued until their delay has passed.
#[tokio::test]
async fn delayed_bytes_arrive_completely_and_in_order() {
    let listener = TcpListener::bind(ANY).await.unwrap();
    let address = listener.local_addr().unwrap();
    let echo = tokio::spawn(async move {
        // The first connection is the poll of `/readyz`.
        let (mut poll, _) = listener.accept().await.unwrap();
        let mut request = [0; 4096];
        assert!(poll.read(&mut request).await.unwrap() > 0);
        poll.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            .await
            .unwrap();
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut received = Vec::new();
        stream.read_to_end(&mut received).await.unwrap();
        stream.write_all(&received).await.unwrap();
    });
    let mut config = Config::new(vec![address]);
    config.poll = Duration::from_hours(1);
    config.delay = Duration::from_millis(3);
    let balancer = Balancer::start(config).await.unwrap();
    let mut stream = tokio::net::TcpStream::connect(balancer.address())
        .await
        .unwrap();
    let sent: Vec<u8> = (0..1_000_000_u32)
        .map(|number| number.to_le_bytes()[1])
        .collect();
    stream.write_all(&sent).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await.unwrap();
    assert!(received == sent);
    echo.await.unwrap();
}

/// Guards against callers that wait forever for a killed instance, because the balancer does not
/// forward the end of the instance's connection.
#[tokio::test]
async fn connections_to_a_killed_instance_are_closed() {
    let a = Instance::start().await;
    let balancer = Balancer::start(config(&[&a])).await.unwrap();
    let mut connection = Connection::open(balancer.address()).await.unwrap();
    let request = serde_json::json!({});
    connection.post("/", &request).await.unwrap();
    // The instance closes the connection after its answer, as a killed one would.
    assert!(connection.post("/", &request).await.is_err());
}
