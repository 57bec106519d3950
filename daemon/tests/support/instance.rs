//! One daemon process.

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

/// Lines of the daemon's log that a failing test prints.
const LOG_LINES: usize = 30;

/// Lies below the range from which the operating system takes the ports of outgoing connections,
/// so that none of them can take a port between its choice and the daemon's start.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// The addresses of one daemon.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub caller: SocketAddr,
    pub peer: SocketAddr,
    pub control: SocketAddr,
    pub admin: SocketAddr,
}

impl Addresses {
    /// Chooses free addresses. They are held at the same time, so that no two are the same.
    pub fn free() -> Self {
        let listeners: Vec<TcpListener> = (0..4).map(|_| free_listener()).collect();
        let address = |index: usize| listeners[index].local_addr().expect("an address");
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
        let port = rand::rng().random_range(PORTS);
        if let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, port)) {
            return listener;
        }
    }
}

/// What a daemon is told about its surroundings.
#[derive(Clone, Debug)]
pub struct Flags {
    pub failure_domain: String,
    pub store: SocketAddr,
    pub instance_list: SocketAddr,
    pub balancer_wait: &'static str,
}

/// Prepares the daemon's command line with all flags.
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

/// A running daemon. Dropping it ends it by its process id.
pub struct Instance {
    child: Child,
    log: NamedTempFile,
    pub addresses: Addresses,
    control: HttpClient,
}

impl Instance {
    /// Starts a daemon and waits until it is alive.
    pub async fn start(flags: &Flags) -> Self {
        wait_for("a daemon starts", || Self::try_start(flags)).await
    }

    /// Returns nothing when another process took one of the chosen ports in the meantime.
    async fn try_start(flags: &Flags) -> Option<Self> {
        let addresses = Addresses::free();
        let log = NamedTempFile::new().expect("a file for the log");
        let output = log.reopen().expect("the file for the log");
        let child = command(addresses, flags)
            .stdout(Stdio::null())
            .stderr(output)
            .spawn()
            .expect("the daemon's binary");
        let control = HttpClient::builder().build(format!("http://{}", addresses.control));
        let mut instance = Self {
            child,
            log,
            addresses,
            control: control.expect("a client for the control port"),
        };
        let mut exited = None;
        while exited.is_none() && instance.probe("/healthz").await != Some(200) {
            exited = instance.exit_status();
            tokio::time::sleep(super::INTERVAL).await;
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
        let pid = i32::try_from(self.child.id()).expect("a process id");
        nix::sys::signal::kill(Pid::from_raw(pid), signal).expect("the daemon runs");
    }

    /// Ends the daemon at once.
    pub fn kill(&mut self) {
        self.child.kill().expect("the daemon runs");
        self.child.wait().expect("the daemon can be waited for");
    }

    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the daemon can be waited for")
    }

    /// Returns the status code of a path of the admin port.
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
            .expect("the admin port");
        let response = connection
            .send(hyper::Method::GET, "/metrics", bytes::Bytes::new())
            .await
            .expect("metrics");
        let body = http_body_util::BodyExt::collect(response.into_body()).await;
        let body = body.expect("metrics").to_bytes();
        String::from_utf8(body.to_vec()).expect("metrics are text")
    }

    pub async fn status(&self) -> Option<InstanceStatus> {
        self.control.status().await.ok()
    }

    pub async fn file_text(&self) -> String {
        let file = self.control.file().await.expect("the file in force");
        file.text.into()
    }

    pub async fn apply(&self, text: &str) -> ApplyAnswer {
        let request = ApplyRequest {
            operation: OperationId(rand::random()),
            text: text.into(),
            expected_revision: None,
        };
        let answer = self.control.apply(request).await;
        answer.expect("an answer to the file")
    }

    /// Returns the events of one request.
    pub async fn timeline(&self, request: RequestId) -> Vec<Event> {
        let request = TimelineRequest {
            limit: 1000,
            request: Some(request),
            ..TimelineRequest::default()
        };
        let page = self.control.timeline(request).await;
        page.expect("a page of the timeline").events
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.log.path()).unwrap_or_default()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // It may have ended by itself.
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
