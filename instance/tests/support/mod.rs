//! Helpers of the tests: the stand-ins of the platform, and instances as processes.
#![allow(clippy::unwrap_used, reason = "a test helper fails by panicking")]
#![allow(dead_code, reason = "not every test file needs every helper")]

pub mod crowd;
pub mod recorder;
pub mod usage;

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold::transport::http::Connection;
use camphorhold::transport::http::Error;
use camphorhold::transport::http::TcpOptions;
use camphorhold_testutils::platform::CONFIGURATION_KEY;
use camphorhold_testutils::platform::configuration;
use camphorhold_testutils::platform::configuration_with_connections;
use camphorhold_testutils::platform::leaf::Leaf;
use camphorhold_testutils::platform::process::Process;
use camphorhold_testutils::platform::process::ProcessConfig;
use camphorhold_testutils::platform::store::Store;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use nix::sys::signal::Signal;
use nix::unistd::Pid;
use serde_json::Value;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The longest that a test waits for a condition. A test that passes never takes as long.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// The exit code of an instance that cannot start.
const EXIT_START_FAILED: i32 = 2;

/// The pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

pub const TCP_OPTIONS: TcpOptions = TcpOptions {
    connect_timeout: Duration::from_secs(5),
    user_timeout: Duration::from_secs(5),
    keepalive_interval: None,
};

/// Waits until the condition holds, which `what` describes for the failure message.
///
/// # Panics
///
/// Panics with `what` if the condition does not hold within [`WAIT_TIMEOUT`].
pub async fn wait_until<F, Fut>(what: &str, mut condition: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let started = SystemClock.now();
    while !condition().await {
        let waited = SystemClock.now().saturating_duration_since(started);
        assert!(waited < WAIT_TIMEOUT, "timed out waiting until {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The stand-ins of the platform: a store, and leafs that are registered in it.
pub struct Platform {
    pub store: Store,
    pub leafs: Vec<Leaf>,
}

impl Platform {
    /// Starts a store and ready leafs, each given as its service and failure domain, and writes
    /// version 1 of the configuration. Its route `/all/` leads to all services, and `/one/` and
    /// `/once/` lead to the first.
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

    /// Writes a version of the configuration for these services to the store. `/one/` and `/once/`
    /// lead to the first of them.
    pub fn configure(&self, version: u64, services: &[&str]) {
        let configuration = configuration(version, services);
        self.store.put(CONFIGURATION_KEY, &configuration);
    }

    /// Writes a version of the configuration in which leafs accept few connections, so that shards
    /// have owners when four instances run.
    pub fn configure_with_scarce_connections(&self, version: u64, services: &[&str]) {
        let configuration = configuration_with_connections(version, services, 8);
        self.store.put(CONFIGURATION_KEY, &configuration);
    }

    /// Returns the number of requests that the leafs have begun to run, over all leafs.
    pub fn runs(&self) -> usize {
        self.leafs.iter().map(|leaf| leaf.runs().len()).sum()
    }
}

/// An instance that runs as a process. Dropping it kills the process.
pub struct Instance {
    process: Process,
    log: PathBuf,
}

impl Drop for Instance {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("log of an instance: {}", self.log.display());
        } else {
            // The log may be gone already.
            let _ = std::fs::remove_file(&self.log);
        }
    }
}

/// Why an instance did not become ready.
#[derive(Debug)]
struct NotReady {
    exit_code: Option<i32>,
    log: String,
}

impl NotReady {
    /// Returns whether the program has ended because it could not listen on one of its addresses.
    fn is_address_in_use(&self) -> bool {
        self.exit_code == Some(EXIT_START_FAILED) && self.log.contains("Address already in use")
    }
}

impl Instance {
    /// Starts an instance in a failure domain and waits until it is ready.
    pub async fn start(platform: &Platform, name: &str, domain: &str) -> Self {
        Self::start_program(platform, Path::new(program()), name, domain).await
    }

    /// Starts an instance as [`Self::start`] does, of another release. Another program may take one
    /// of the ports between their choice and the start; then starts it with other ports.
    pub async fn start_program(
        platform: &Platform,
        program: &Path,
        name: &str,
        domain: &str,
    ) -> Self {
        Self::start_changed(platform, program, name, domain, |_| {}).await
    }

    /// Starts an instance as [`Self::start`] does, with changed settings.
    pub async fn start_with<F>(platform: &Platform, name: &str, domain: &str, change: F) -> Self
    where
        F: Fn(&mut Value),
    {
        Self::start_changed(platform, Path::new(program()), name, domain, change).await
    }

    async fn start_changed<F>(
        platform: &Platform,
        program: &Path,
        name: &str,
        domain: &str,
        change: F,
    ) -> Self
    where
        F: Fn(&mut Value),
    {
        loop {
            let store = platform.store.address();
            let mut instance = Self::spawn(program, name, domain, store, &change);
            match instance.wait_until_ready().await {
                Ok(()) => return instance,
                Err(not_ready) if not_ready.is_address_in_use() => {
                    eprintln!("an address is in use; starting the instance with others");
                }
                Err(not_ready) => panic!("the instance is not ready: {not_ready:?}"),
            }
        }
    }

    fn spawn<F>(program: &Path, name: &str, domain: &str, store: SocketAddr, change: F) -> Self
    where
        F: Fn(&mut Value),
    {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let log = format!("camphorhold-test-{}-{number}.log", std::process::id());
        let log = std::env::temp_dir().join(log);
        let config = ProcessConfig {
            program: program.into(),
            name: name.into(),
            domain: domain.into(),
            store,
            log: Some(log.clone()),
        };
        let process = Process::start_with(config, change);
        Self {
            process: process.unwrap(),
            log,
        }
    }

    /// Waits until the instance is ready, or until its process has ended.
    async fn wait_until_ready(&mut self) -> Result<(), NotReady> {
        let readiness = self.process.readiness_address();
        let started = SystemClock.now();
        loop {
            let exit_status = self.process.exit_status().unwrap();
            let waited = SystemClock.now().saturating_duration_since(started);
            if exit_status.is_some() || waited > WAIT_TIMEOUT {
                return Err(NotReady {
                    exit_code: exit_status.and_then(|status| status.code()),
                    log: std::fs::read_to_string(&self.log).unwrap_or_default(),
                });
            }
            if is_ready(readiness).await {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Starts an instance whose store does not answer, so that it has no configuration, and waits until
    /// it accepts connections.
    pub async fn start_without_store(name: &str, domain: &str) -> Self {
        let unused = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let store = unused.local_addr().unwrap();
        drop(unused);
        let instance = Self::spawn(Path::new(program()), name, domain, store, |_| {});
        let peers = instance.process.peer_address();
        wait_until("the instance accepts connections", || async {
            TcpStream::connect(peers).await.is_ok()
        })
        .await;
        instance
    }

    /// Returns the address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.process.caller_address()
    }

    /// Returns the address for other instances.
    pub fn peer_address(&self) -> SocketAddr {
        self.process.peer_address()
    }

    /// Returns whether it has read all changes of the store, registrations of others included.
    pub async fn is_up_to_date(&self, platform: &Platform) -> bool {
        let applied = r#"camphorhold_store_revision{source="applied"}"#;
        #[expect(clippy::cast_precision_loss, reason = "revisions of tests are small")]
        let latest = platform.store.revision() as f64;
        self.gauge(applied).await >= latest
    }

    /// Sends a request with the id `request` on a new connection and returns its answer.
    pub async fn send(&self, request: &str, path: &str) -> Result<Response<Bytes>, Error> {
        let mut connection = Connection::open(self.process.caller_address(), TCP_OPTIONS).await?;
        exchange(&mut connection, request, path).await
    }

    /// Sends a request with these headers as a caller, on a new connection, and returns its answer.
    /// A header may be there several times.
    pub async fn send_with(
        &self,
        id: &str,
        path: &str,
        headers: &[(&'static str, &str)],
    ) -> Result<Response<Bytes>, Error> {
        let mut connection = Connection::open(self.process.caller_address(), TCP_OPTIONS).await?;
        let mut request = request(id, path);
        for (name, value) in headers {
            let value = HeaderValue::from_str(value).unwrap();
            request.headers_mut().append(*name, value);
        }
        connection.exchange(request, 1 << 20).await
    }

    /// Returns what the process has logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap()
    }

    /// Sends a request with these headers as another instance and returns its answer.
    pub async fn send_as_instance(
        &self,
        path: &str,
        headers: &[(&'static str, String)],
    ) -> Result<Response<Bytes>, Error> {
        let address = self.process.peer_address();
        let mut connection = Connection::open(address, TCP_OPTIONS).await?;
        let mut request = request("r1", path);
        for (name, value) in headers {
            let value = HeaderValue::from_str(value).unwrap();
            request.headers_mut().insert(*name, value);
        }
        connection.exchange(request, 1 << 20).await
    }

    /// Sends a claim for tokens as another instance and returns the status of its answer.
    pub async fn claim_tokens(&self, body: &[u8]) -> StatusCode {
        let address = self.process.peer_address();
        let mut connection = Connection::open(address, TCP_OPTIONS).await.unwrap();
        let request = Request::builder()
            .method(Method::POST)
            .uri("/camphorhold/token-claims")
            .header("host", "peer")
            .header("camphorhold-token-claims", "1")
            .body(Full::new(Bytes::copy_from_slice(body)))
            .unwrap();
        let answer = connection.exchange(request, 1 << 20).await;
        answer.unwrap().status()
    }

    /// Returns the largest amount of memory that the process has occupied so far, in bytes.
    pub fn peak_memory(&self) -> usize {
        self.memory_line("VmHWM:")
    }

    /// Returns the memory that the process occupies, in bytes.
    pub fn memory(&self) -> usize {
        self.memory_line("VmRSS:")
    }

    fn memory_line(&self, name: &str) -> usize {
        let id = self.process.id().unwrap();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        let kilobytes = line.unwrap().trim().trim_end_matches(" kB");
        kilobytes.parse::<usize>().unwrap() << 10
    }

    /// Sends bytes on a new connection for callers and returns what comes back until the instance
    /// closes it.
    pub async fn send_bytes(&self, bytes: &[u8]) -> Vec<u8> {
        let mut stream = TcpStream::connect(self.process.caller_address())
            .await
            .unwrap();
        // The instance may close the connection before it has read everything.
        let _ = stream.write_all(bytes).await;
        let mut received = Vec::new();
        let _ = stream.read_to_end(&mut received).await;
        received
    }

    /// Opens a connection to the address for callers.
    pub async fn connect(&self) -> Connection {
        Connection::open(self.process.caller_address(), TCP_OPTIONS)
            .await
            .unwrap()
    }

    /// Opens a connection to the address for callers, without an HTTP client.
    pub async fn connect_raw(&self) -> TcpStream {
        let address = self.process.caller_address();
        TcpStream::connect(address).await.unwrap()
    }

    /// Returns the addresses for readiness checks and for metrics.
    pub fn other_addresses(&self) -> [SocketAddr; 2] {
        [
            self.process.readiness_address(),
            self.process.metrics_address(),
        ]
    }

    /// Returns whether the instance reports that it is ready. One that does not answer is not.
    pub async fn is_ready(&self) -> bool {
        is_ready(self.process.readiness_address()).await
    }

    /// Returns the value of a counter, given as its name with labels, or 0 while it does not exist.
    pub async fn counter(&self, name: &str) -> u64 {
        let value = self.metric(name).await;
        value.map_or(0, |value| value.parse().unwrap())
    }

    /// Returns the value of a gauge, or 0 while it does not exist.
    pub async fn gauge(&self, name: &str) -> f64 {
        let value = self.metric(name).await;
        value.map_or(0.0, |value| value.parse().unwrap())
    }

    async fn metric(&self, name: &str) -> Option<String> {
        let mut connection = Connection::open(self.process.metrics_address(), TCP_OPTIONS)
            .await
            .unwrap();
        let request = Request::new(Full::default());
        let answer = connection.exchange(request, 1 << 20).await.unwrap();
        let text = String::from_utf8_lossy(answer.body()).into_owned();
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.map(|value| value.trim().to_owned())
    }

    /// Changes the retry budget in the settings file, without a signal to the process.
    pub fn set_retries(&mut self, ratio: f64, extra: f64) {
        let result = self.process.change_settings(|settings| {
            settings["bounds"]["retry_budget_ratio"] = ratio.into();
            settings["bounds"]["retry_budget_extra"] = extra.into();
        });
        result.unwrap();
    }

    /// Sets `strict_revocation` with this revocation time in the settings file, and waits until it is
    /// in force.
    pub async fn set_revocation(&mut self, revocation_time: Duration) {
        let revoke_ms = u64::try_from(revocation_time.as_millis()).unwrap();
        let result = self.process.change_settings(|settings| {
            settings["bounds"]["strict_revocation"] = true.into();
            settings["bounds"]["revoke_ms"] = revoke_ms.into();
        });
        result.unwrap();
        self.wait_for_bounds(&format!("revocation_time: Some({revocation_time:?})"))
            .await;
    }

    /// Sets the time for changes in the settings file, and waits until it is in force.
    pub async fn set_change_time(&mut self, change_time: Duration) {
        let change_ms = u64::try_from(change_time.as_millis()).unwrap();
        let result = self.process.change_settings(|settings| {
            settings["bounds"]["config_apply_ms"] = change_ms.into();
            settings["bounds"]["drain_ms"] = change_ms.into();
        });
        result.unwrap();
        self.wait_for_bounds(&format!("change_time: {change_time:?}"))
            .await;
    }

    async fn wait_for_bounds(&mut self, text: &str) {
        self.hang_up();
        wait_until("the settings are in force", || async {
            self.log().contains(text)
        })
        .await;
    }

    /// Changes the memory and the descriptors of the machine in the settings file, which hold from the
    /// next start on.
    pub fn set_machine_limits(&mut self, memory_mb: usize, max_descriptors: usize) {
        let result = self.process.change_settings(|settings| {
            settings["limits"] =
                serde_json::json!({"memory_mb": memory_mb, "max_fds": max_descriptors});
        });
        result.unwrap();
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.process.id().unwrap()
    }

    /// Returns whether the process has not ended.
    pub fn is_alive(&mut self) -> bool {
        self.process.exit_status().unwrap().is_none()
    }

    /// Makes the settings file invalid, without a signal to the process.
    pub fn invalidate_settings(&mut self) {
        let result = self
            .process
            .change_settings(|settings| settings["bounds"] = 0.into());
        result.unwrap();
    }

    /// Sends SIGTERM, which starts a shutdown.
    pub fn terminate(&mut self) {
        self.process.signal(Signal::SIGTERM).unwrap();
    }

    /// Sends SIGKILL.
    pub fn kill(&mut self) {
        self.process.kill().unwrap();
    }

    /// Starts the program again after [`Self::kill`] and waits until it is ready.
    pub async fn restart(&mut self) {
        self.process.restart().unwrap();
        self.wait_until_ready()
            .await
            .expect("the instance is ready");
    }

    /// Stops the process without ending it, so that it holds its connections and does not respond.
    pub fn freeze(&mut self) {
        self.process.signal(Signal::SIGSTOP).unwrap();
    }

    /// Lets a frozen process continue.
    pub fn thaw(&mut self) {
        self.process.signal(Signal::SIGCONT).unwrap();
    }

    /// Sends SIGHUP, at which the process reads its settings file again.
    pub fn hang_up(&mut self) {
        self.process.signal(Signal::SIGHUP).unwrap();
    }

    /// Returns the exit code, or `None` while the process runs or if a signal ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.process.exit_status().unwrap()?.code()
    }
}

/// Returns the path of the instance binary.
pub fn program() -> &'static str {
    env!("CARGO_BIN_EXE_camphorhold-instance")
}

/// Sends a request with a deadline of 3 s and returns its answer.
pub async fn exchange(
    connection: &mut Connection,
    id: &str,
    path: &str,
) -> Result<Response<Bytes>, Error> {
    connection.exchange(request(id, path), 1 << 20).await
}

/// Sends a request whose caller waits for that long, and returns its answer.
pub async fn exchange_within(
    connection: &mut Connection,
    id: &str,
    path: &str,
    wait: Duration,
) -> Result<Response<Bytes>, Error> {
    let mut request = request(id, path);
    let wait = u64::try_from(wait.as_millis()).unwrap();
    request
        .headers_mut()
        .insert("x-camphorhold-deadline-ms", wait.into());
    connection.exchange(request, 1 << 20).await
}

fn request(id: &str, path: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method(Method::GET)
        .uri(path)
        .header("host", "q.example")
        .header("x-camphorhold-request-id", id)
        .header("x-camphorhold-deadline-ms", "3000")
        .body(Full::default())
        .unwrap()
}

/// Lets the frozen process of an instance continue while its address is in use.
pub fn thaw(id: u32) {
    let id = Pid::from_raw(i32::try_from(id).unwrap());
    nix::sys::signal::kill(id, Signal::SIGCONT).unwrap();
}

pub async fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut connection) = Connection::open(address, TCP_OPTIONS).await else {
        return false;
    };
    let request = Request::builder().uri("/api/ready").body(Full::default());
    let answer = connection.exchange(request.unwrap(), 1 << 10).await;
    answer.is_ok_and(|answer| answer.status().is_success())
}
