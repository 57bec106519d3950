//! Starts one instance and talks to its control and admin interfaces.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use camphorhold::protocol::control::ControlClient;
use camphorhold::protocol::control::InstanceStatus;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold_testutils::client;
use http_body_util::BodyExt;
use hyper::Method;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::http_client::HttpClientBuilder;

use crate::deployment::loopback;
use crate::error::Error;
use crate::process::Process;

/// Listeners of one instance: callers, peers, control and admin, on consecutive ports.
pub const PORTS_PER_INSTANCE: u16 = 4;

/// The distance from the port for callers to the port for probes and metrics.
pub const ADMIN_OFFSET: u16 = 3;

/// The time limit for an instance to become ready and for a file change to be accepted and to be in
/// force. Generous, because other work shares the machine.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(40);

/// The interval between checks of a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An instance that this program has started. Dropping it kills the process.
pub struct Instance {
    /// The running process.
    pub process: Process,
    /// Where callers send requests.
    pub caller_address: SocketAddr,
    /// Where control messages are sent.
    pub control_address: SocketAddr,
    /// Where probes are sent and metrics are read.
    pub admin_address: SocketAddr,
    arguments: Vec<String>,
    log: PathBuf,
}

impl Instance {
    /// Starts the process. `first_port` is the port for callers in `arguments`; the other ports
    /// follow it.
    pub fn start(arguments: Vec<String>, first_port: u16, log: PathBuf) -> Result<Self, Error> {
        let process = Process::spawn("camphorholdd", &arguments, &log)?;
        Ok(Self {
            process,
            caller_address: loopback(first_port),
            control_address: loopback(first_port + 2),
            admin_address: loopback(first_port + ADMIN_OFFSET),
            arguments,
            log,
        })
    }

    /// Starts the process again with the same settings. The previous one must have exited, because
    /// both use the same ports.
    pub fn restart(&mut self) -> Result<(), Error> {
        self.process = Process::spawn("camphorholdd", &self.arguments, &self.log)?;
        Ok(())
    }

    /// Returns whether `/readyz` answers 200. An instance that does not answer is not ready.
    pub async fn is_ready(&self) -> bool {
        matches!(client::status(self.admin_address, "/readyz").await, Ok(200))
    }

    /// Waits until the instance is ready. Fails after [`CONDITION_TIMEOUT`].
    pub async fn wait_until_ready(&self) -> Result<(), Error> {
        let started = SystemClock.now();
        while started.elapsed() < CONDITION_TIMEOUT {
            if self.is_ready().await {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let what = "an instance to become ready";
        Err(Error::TimedOut {
            what,
            limit: CONDITION_TIMEOUT,
        })
    }

    /// Returns a client for control messages.
    pub fn client(&self) -> Result<HttpClient, Error> {
        let url = format!("http://{}", self.control_address);
        Ok(HttpClientBuilder::default().build(url)?)
    }

    /// Requests the status of the instance.
    pub async fn status(&self) -> Result<InstanceStatus, Error> {
        Ok(self.client()?.status().await?)
    }

    /// Reads a metric, summed over its labels; 0 if the instance does not export it.
    pub async fn metric(&self, name: &str) -> Result<f64, Error> {
        let mut connection = client::Connection::open(self.admin_address).await?;
        let response = connection.send(Method::GET, "/metrics", Bytes::new());
        let body = response.await?.into_body().collect().await;
        let body = body.map_err(client::Error::Unanswered)?.to_bytes();
        let text = String::from_utf8_lossy(&body);
        let values = text.lines().filter_map(|line| {
            let rest = line.strip_prefix(name)?;
            let own = rest.starts_with([' ', '{']);
            own.then(|| rest.rsplit(' ').next()?.parse::<f64>().ok())?
        });
        Ok(values.sum())
    }
}

/// Returns the command line of an instance except for the addresses of other processes. Its
/// listeners take consecutive ports from `first_port`.
pub fn arguments(first_port: u16, domain: &str) -> Vec<String> {
    let flags = [
        "--caller-address",
        "--peer-address",
        "--control-address",
        "--admin-address",
    ];
    let addresses = (first_port..).map(|port| loopback(port).to_string());
    let listeners = flags.into_iter().zip(addresses);
    let rest = [
        ("--failure-domain", domain.to_owned()),
        ("--log", "warn".to_owned()),
    ];
    let all = listeners.chain(rest);
    all.flat_map(|(flag, value)| [flag.to_owned(), value])
        .collect()
}
