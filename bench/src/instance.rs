//! One instance: its process and its interfaces.

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

/// Listeners of one instance.
pub const PORTS_PER_INSTANCE: u16 = 4;

/// The distance from the port for callers to the port for probes.
pub const ADMIN_OFFSET: u16 = 3;

/// Time for a start, a change or a warm-up. Generous, because other work shares the machine.
pub const PATIENCE: Duration = Duration::from_secs(40);

/// How often conditions are looked at.
pub const POLL: Duration = Duration::from_millis(20);

/// One instance.
pub struct Instance {
    /// The running process.
    pub process: Process,
    /// Where callers send requests.
    pub callers: SocketAddr,
    /// Where control messages go.
    pub control: SocketAddr,
    /// Where probes go.
    pub admin: SocketAddr,
    arguments: Vec<String>,
    log: PathBuf,
}

impl Instance {
    /// Starts the process, with its listeners from the port `first` on.
    pub fn start(arguments: Vec<String>, first: u16, log: PathBuf) -> Result<Self, Error> {
        let process = Process::spawn("camphorholdd", &arguments, &log)?;
        Ok(Self {
            process,
            callers: loopback(first),
            control: loopback(first + 2),
            admin: loopback(first + ADMIN_OFFSET),
            arguments,
            log,
        })
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self) -> Result<(), Error> {
        self.process = Process::spawn("camphorholdd", &self.arguments, &self.log)?;
        Ok(())
    }

    /// Tells whether the instance answers that it is ready.
    pub async fn is_ready(&self) -> bool {
        matches!(client::status(self.admin, "/readyz").await, Ok(200))
    }

    /// Waits until the instance is ready.
    pub async fn ready(&self) -> Result<(), Error> {
        let started = SystemClock.now();
        while started.elapsed() < PATIENCE {
            if self.is_ready().await {
                return Ok(());
            }
            tokio::time::sleep(POLL).await;
        }
        let what = "the readiness of an instance";
        Err(Error::TimedOut {
            what,
            limit: PATIENCE,
        })
    }

    /// Returns a client for control messages.
    pub fn client(&self) -> Result<HttpClient, Error> {
        let url = format!("http://{}", self.control);
        Ok(HttpClientBuilder::default().build(url)?)
    }

    /// Asks for the state of the instance.
    pub async fn status(&self) -> Result<InstanceStatus, Error> {
        Ok(self.client()?.status().await?)
    }

    /// Reads a counter, summed over its labels.
    pub async fn metric(&self, name: &str) -> Result<f64, Error> {
        let mut connection = client::Connection::open(self.admin).await?;
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

/// Returns the settings of an instance that do not depend on the rest of the tier.
pub fn arguments(first: u16, domain: &str) -> Vec<String> {
    let flags = [
        "--caller-address",
        "--peer-address",
        "--control-address",
        "--admin-address",
    ];
    let addresses = (first..).map(|port| loopback(port).to_string());
    let listeners = flags.into_iter().zip(addresses);
    let rest = [
        ("--failure-domain", domain.to_owned()),
        ("--log", "warn".to_owned()),
    ];
    let all = listeners.chain(rest);
    all.flat_map(|(flag, value)| [flag.to_owned(), value])
        .collect()
}
