//! A platform with leafs, and instances as processes.
#![allow(clippy::unwrap_used, reason = "a test helper fails by panicking")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold::transport::http::Connection;
use camphorhold::transport::http::Error;
use camphorhold::transport::http::TcpOptions;
use camphorhold_testutils::platform::CONFIGURATION_KEY;
use camphorhold_testutils::platform::configuration;
use camphorhold_testutils::platform::leaf::Leaf;
use camphorhold_testutils::platform::process::Process;
use camphorhold_testutils::platform::process::ProcessConfig;
use camphorhold_testutils::platform::store::Store;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use nix::sys::signal::Signal;

/// The overall limit of each wait. It only ends a test that has failed.
const LIMIT: Duration = Duration::from_mins(1);

/// Between two looks at a condition.
const INTERVAL: Duration = Duration::from_millis(20);

const LIVENESS: TcpOptions = TcpOptions {
    connect_timeout: Duration::from_secs(5),
    user_timeout: Duration::from_secs(5),
    keepalive_interval: None,
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
    process: Process,
}

impl Instance {
    /// Starts an instance in a failure domain, and waits until it is ready.
    pub async fn start(platform: &Platform, name: &str, domain: &str) -> Self {
        let process = Process::start(ProcessConfig {
            program: program().into(),
            name: name.into(),
            domain: domain.into(),
            store: platform.store.address(),
            log: None,
        });
        let process = process.unwrap();
        let readiness = process.readiness_address();
        wait_until("the instance is ready", || is_ready(readiness)).await;
        Self { process }
    }

    /// Sends a request and returns its answer.
    pub async fn send(&self, request: &str, path: &str) -> Result<Response<Bytes>, Error> {
        let mut connection = Connection::open(self.process.caller_address(), LIVENESS).await?;
        exchange(&mut connection, request, path).await
    }

    /// Opens a connection of a caller.
    pub async fn connect(&self) -> Connection {
        Connection::open(self.process.caller_address(), LIVENESS)
            .await
            .unwrap()
    }

    /// Tells whether the instance says that it is ready.
    pub async fn is_ready(&self) -> bool {
        is_ready(self.process.readiness_address()).await
    }

    /// Returns the value of a counter, or 0 while it does not exist.
    pub async fn counter(&self, name: &str) -> u64 {
        let mut connection = Connection::open(self.process.metrics_address(), LIVENESS)
            .await
            .unwrap();
        let request = Request::new(Full::default());
        let answer = connection.exchange(request, 1 << 20).await.unwrap();
        let text = String::from_utf8_lossy(answer.body()).into_owned();
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.map_or(0, |value| value.trim().parse().unwrap())
    }

    /// Changes the retry budget in the settings file, without a signal.
    pub fn set_retries(&mut self, ratio: f64, extra: f64) {
        let result = self.process.change_settings(|settings| {
            settings["bounds"]["retry_budget_ratio"] = ratio.into();
            settings["bounds"]["retry_budget_extra"] = extra.into();
        });
        result.unwrap();
    }

    /// Makes the settings file unusable.
    pub fn spoil_settings(&mut self) {
        let result = self
            .process
            .change_settings(|settings| settings["bounds"] = 0.into());
        result.unwrap();
    }

    /// Asks the process to end.
    pub fn terminate(&mut self) {
        self.process.signal(Signal::SIGTERM).unwrap();
    }

    /// Tells the process that its settings file has changed.
    pub fn hang_up(&mut self) {
        self.process.signal(Signal::SIGHUP).unwrap();
    }

    /// Returns the exit code, if the process has ended.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.process.exit_status().unwrap()?.code()
    }
}

/// Returns the path of the instance's program.
pub fn program() -> &'static str {
    env!("CARGO_BIN_EXE_camphorhold-instance")
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
