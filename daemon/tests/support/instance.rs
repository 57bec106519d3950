//! A daemon that runs as a process.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;

use camphorhold::protocol::control::ApplyAnswer;
use camphorhold::protocol::control::ApplyRequest;
use camphorhold::protocol::control::ControlClient;
use camphorhold::protocol::control::Event;
use camphorhold::protocol::control::InstanceStatus;
use camphorhold::protocol::control::TimelineRequest;
use camphorhold::state::id::OperationId;
use camphorhold::state::id::RequestId;
use camphorhold_testutils::client;
use jsonrpsee::http_client::HttpClient;
use nix::sys::signal::Signal;
use nix::unistd::Pid;
use rand::Rng;
use tempfile::NamedTempFile;

use super::wait_for;
use super::wait_until;

/// How many of the last lines of the daemon's log a failing test prints.
const LOG_LINES: usize = 30;

/// The range of the daemons' ports. It lies below the range from which the operating system takes
/// the ports of outgoing connections: one of those could otherwise take a port between its choice
/// and the start of the daemon.
const DAEMON_PORTS: std::ops::Range<u16> = 10_000..32_000;

/// The addresses on which one daemon listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub caller: SocketAddr,
    pub peer: SocketAddr,
    pub control: SocketAddr,
    pub admin: SocketAddr,
}

impl Addresses {
    /// Chooses free addresses. Listeners occupy all of them until the last one is chosen, so that
    /// no two are the same. The addresses are free when this function returns.
    pub fn free() -> Self {
        let listeners: Vec<TcpListener> = (0..4).map(|_| free_listener()).collect();
        let address = |index: usize| listeners[index].local_addr().expect("a bound address");
        Self {
            caller: address(0),
            peer: address(1),
            control: address(2),
            admin: address(3),
        }
    }
}

fn free_listener() -> TcpListener {
    loop {
        let port = rand::rng().random_range(DAEMON_PORTS);
        if let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, port)) {
            return listener;
        }
    }
}

/// The values of the daemon's command-line flags that depend on the cluster or the test.
#[derive(Clone, Debug)]
pub struct Flags {
    pub failure_domain: String,
    pub store: SocketAddr,
    pub instance_list: SocketAddr,
    pub balancer_wait: &'static str,
}

/// Returns the command that starts a daemon with all its flags.
pub fn command(addresses: Addresses, flags: &Flags) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_camphorholdd"));
    command
        .arg(format!("--caller-address={}", addresses.caller))
        .arg(format!("--peer-address={}", addresses.peer))
        .arg(format!("--control-address={}", addresses.control))
        .arg(format!("--admin-address={}", addresses.admin))
        .arg(format!("--failure-domain={}", flags.failure_domain))
        .arg(format!("--store={}", flags.store))
        .arg("--store-prefix=test/")
        .arg(format!("--instance-list={}", flags.instance_list))
        .arg("--currency-bound=3s")
        .arg("--gossip-interval=200ms")
        .arg(format!("--balancer-wait={}", flags.balancer_wait))
        .arg("--traffic-threads=2")
        .arg("--events-kept=20000")
        .arg("--log=info,camphorhold=debug,camphorholdd=debug")
        .stdin(Stdio::null());
    command
}

/// A running daemon. Dropping it kills the process, and prints the end of its log if the test has
/// failed.
pub struct Instance {
    child: Child,
    log: NamedTempFile,
    pub addresses: Addresses,
    control: HttpClient,
}

impl Instance {
    /// Starts a daemon and waits until `/healthz` answers. Chooses other ports and starts it again
    /// if another process has taken one of them.
    pub async fn start(flags: &Flags) -> Self {
        wait_for("a daemon starts", || Self::try_start(flags)).await
    }

    /// Returns `None` if another process took one of the chosen ports before the daemon listened.
    async fn try_start(flags: &Flags) -> Option<Self> {
        let addresses = Addresses::free();
        let log = NamedTempFile::new().expect("a temporary file for the log can be created");
        let output = log
            .reopen()
            .expect("the file for the log can be opened again");
        let child = command(addresses, flags)
            .stdout(Stdio::null())
            .stderr(output)
            .spawn()
            .expect("the daemon's binary can be started");
        let control = HttpClient::builder().build(format!("http://{}", addresses.control));
        let mut instance = Self {
            child,
            log,
            addresses,
            control: control.expect("the URL of the control port is valid"),
        };
        let mut exited = None;
        while exited.is_none() && instance.probe("/healthz").await != Some(200) {
            exited = instance.exit_status();
            tokio::time::sleep(super::POLL_INTERVAL).await;
        }
        match exited {
            None => Some(instance),
            Some(status) => {
                let log = instance.log();
                assert!(log.contains("cannot listen"), "exit with {status}: {log}");
                None
            }
        }
    }

    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("the process id fits into an i32");
        nix::sys::signal::kill(Pid::from_raw(pid), signal).expect("the daemon gets the signal");
    }

    /// Kills the daemon and waits for the end of its process.
    pub fn kill(&mut self) {
        self.child.kill().expect("the daemon can be killed");
        self.child.wait().expect("the daemon can be waited for");
    }

    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the daemon can be waited for")
    }

    /// Returns the status code for a path of the admin port, or `None` without an answer.
    pub async fn probe(&self, path: &str) -> Option<u16> {
        client::status(self.addresses.admin, path).await.ok()
    }

    pub async fn is_ready(&self) -> bool {
        self.probe("/readyz").await == Some(200)
    }

    pub async fn wait_ready(&self) {
        wait_until("the daemon is ready", || self.is_ready()).await;
    }

    pub async fn metrics(&self) -> String {
        let mut connection = client::Connection::open(self.addresses.admin)
            .await
            .expect("the admin port accepts connections");
        let response = connection
            .send(hyper::Method::GET, "/metrics", bytes::Bytes::new())
            .await
            .expect("the admin port answers");
        let body = http_body_util::BodyExt::collect(response.into_body()).await;
        let body = body.expect("the metrics arrive completely").to_bytes();
        String::from_utf8(body.to_vec()).expect("the metrics are valid UTF-8")
    }

    pub async fn status(&self) -> Option<InstanceStatus> {
        self.control.status().await.ok()
    }

    pub async fn file_text(&self) -> String {
        let file = self
            .control
            .file()
            .await
            .expect("the daemon returns the file in force");
        file.text.into()
    }

    pub async fn apply(&self, text: &str) -> ApplyAnswer {
        let request = ApplyRequest {
            operation: OperationId(rand::random()),
            text: text.into(),
            expected_revision: None,
        };
        let answer = self.control.apply(request).await;
        answer.expect("the daemon answers to the file")
    }

    /// Returns the events of one request that this instance has recorded, up to 1000.
    pub async fn timeline(&self, request: RequestId) -> Vec<Event> {
        let request = TimelineRequest {
            limit: 1000,
            request: Some(request),
            ..TimelineRequest::default()
        };
        let page = self.control.timeline(request).await;
        page.expect("the daemon returns a page of the timeline")
            .events
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.log.path()).unwrap_or_default()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // Errors are ignored because the process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            let log = self.log();
            let lines: Vec<&str> = log.lines().collect();
            let first = lines.len().saturating_sub(LOG_LINES);
            eprintln!("--- log of the daemon at {}", self.addresses.control);
            eprintln!("{}", lines[first..].join("\n"));
        }
    }
}
