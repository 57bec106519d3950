//! A platform with leafs, and instances as processes.
#![allow(clippy::unwrap_used, reason = "a test helper fails by panicking")]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use bytes::Bytes;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold::transport::http::Connection;
use camphorhold::transport::http::Error;
use camphorhold::transport::http::Liveness;
use camphorhold_testutils::platform::CONFIGURATION_KEY;
use camphorhold_testutils::platform::configuration;
use camphorhold_testutils::platform::leaf::Leaf;
use camphorhold_testutils::platform::store::Store;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::json;

/// The overall limit of each wait. It only ends a test that has failed.
const LIMIT: Duration = Duration::from_mins(1);

/// Between two looks at a condition.
const INTERVAL: Duration = Duration::from_millis(20);

const LIVENESS: Liveness = Liveness {
    connect_timeout: Duration::from_secs(5),
    send_timeout: Duration::from_secs(5),
    probe_interval: None,
};

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics after the overall limit, with what was awaited.
pub async fn wait_until<F, Fut>(what: &str, mut condition: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let started = SystemClock.now();
    while !condition().await {
        let waited = SystemClock.now().saturating_duration_since(started);
        assert!(waited < LIMIT, "waited in vain: {what}");
        tokio::time::sleep(INTERVAL).await;
    }
}

/// The platform: a store and leafs that are registered in it.
pub struct Platform {
    pub store: Store,
    pub leafs: Vec<Leaf>,
}

impl Platform {
    /// Starts a platform with leafs, given as service and failure domain, and a configuration with
    /// the routes `/all/`, to all services, and `/one/` and `/once/`, to the first.
    pub async fn start(leafs: &[(&str, &str)]) -> Self {
        let store = Store::start().await.unwrap();
        let mut platform = Self {
            store,
            leafs: Vec::new(),
        };
        for (number, (service, domain)) in leafs.iter().enumerate() {
            let leaf = Leaf::start(&format!("i-{number}"), service, domain).await;
            let leaf = leaf.unwrap();
            platform.store.put(&leaf.key(), &leaf.entry("ready"));
            platform.leafs.push(leaf);
        }
        let mut services: Vec<&str> = leafs.iter().map(|(service, _)| *service).collect();
        services.dedup();
        platform.configure(1, &services);
        platform
    }

    /// Writes a version of the configuration over these services.
    pub fn configure(&self, version: u64, services: &[&str]) {
        let configuration = configuration(version, services);
        self.store.put(CONFIGURATION_KEY, &configuration);
    }

    /// Counts the requests that all leafs have begun to run.
    pub fn runs(&self) -> usize {
        self.leafs.iter().map(|leaf| leaf.runs().len()).sum()
    }
}

/// An instance as a process.
pub struct Instance {
    child: Child,
    address: SocketAddr,
    readiness: SocketAddr,
    metrics: SocketAddr,
    settings: PathBuf,
}

impl Instance {
    /// Starts an instance in a failure domain, and waits until it is ready.
    pub async fn start(platform: &Platform, name: &str, domain: &str) -> Self {
        let instance = Self::spawn(platform, name, domain);
        let readiness = instance.readiness;
        wait_until("the instance is ready", || is_ready(readiness)).await;
        instance
    }

    fn spawn(platform: &Platform, name: &str, domain: &str) -> Self {
        let [callers, readiness, peers, metrics] = free_ports();
        let local = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let settings = json!({
            "node_name": name,
            "zone": domain,
            "listen": {"front": local(callers), "ready_address": local(readiness)},
            "internal_ports": [peers, peers],
            "bounds": {
                "contact_ms": 4_000, "config_apply_ms": 3_000, "drain_ms": 3_000, "grace_s": 6,
                "retry_budget_ratio": 0.2, "retry_budget_extra": 54, "retry_window_s": 10,
            },
            "platform": {"address": platform.store.address()},
        });
        let path = std::env::temp_dir().join(format!("camphorhold-{callers}.yaml"));
        std::fs::write(&path, settings.to_string()).unwrap();
        let child = command()
            .arg(format!("--metrics-port={metrics}"))
            .env("CAMPHORHOLD_CONFIG", &path)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        Self {
            child,
            address: local(callers),
            readiness: local(readiness),
            metrics: local(metrics),
            settings: path,
        }
    }

    /// Sends a request and returns its answer.
    pub async fn send(&self, request: &str, path: &str) -> Result<Response<Bytes>, Error> {
        let mut connection = Connection::open(self.address, LIVENESS).await?;
        exchange(&mut connection, request, path).await
    }

    /// Opens a connection of a caller.
    pub async fn connect(&self) -> Connection {
        Connection::open(self.address, LIVENESS).await.unwrap()
    }

    /// Tells whether the instance says that it is ready.
    pub async fn is_ready(&self) -> bool {
        is_ready(self.readiness).await
    }

    /// Returns the value of a counter, or 0 while it does not exist.
    pub async fn counter(&self, name: &str) -> u64 {
        let mut connection = Connection::open(self.metrics, LIVENESS).await.unwrap();
        let request = Request::new(Full::default());
        let answer = connection.exchange(request, 1 << 20).await.unwrap();
        let text = String::from_utf8_lossy(answer.body()).into_owned();
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.map_or(0, |value| value.trim().parse().unwrap())
    }

    /// Asks the process to end.
    pub fn terminate(&self) {
        let id = i32::try_from(self.child.id()).unwrap();
        kill(Pid::from_raw(id), Signal::SIGTERM).unwrap();
    }

    /// Returns the exit code, if the process has ended.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().unwrap()?.code()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // A process that has ended already is no failure.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Returns a command that runs the instance's program.
pub fn command() -> Command {
    Command::new(env!("CARGO_BIN_EXE_camphorhold-instance"))
}

/// Sends a request on a connection and returns its answer.
pub async fn exchange(
    connection: &mut Connection,
    request: &str,
    path: &str,
) -> Result<Response<Bytes>, Error> {
    let message = Request::builder()
        .method(Method::GET)
        .uri(path)
        .header("host", "q.example")
        .header("x-camphorhold-request-id", request)
        .header("x-camphorhold-deadline-ms", "3000")
        .body(Full::default())
        .unwrap();
    connection.exchange(message, 1 << 20).await
}

async fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut connection) = Connection::open(address, LIVENESS).await else {
        return false;
    };
    let request = Request::builder().uri("/api/ready").body(Full::default());
    let answer = connection.exchange(request.unwrap(), 1 << 10).await;
    answer.is_ok_and(|answer| answer.status().is_success())
}

/// Returns ports that were free a moment ago.
fn free_ports<const N: usize>() -> [u16; N] {
    let listeners: [std::net::TcpListener; N] =
        std::array::from_fn(|_| std::net::TcpListener::bind("127.0.0.1:0").unwrap());
    listeners.map(|listener| listener.local_addr().unwrap().port())
}
