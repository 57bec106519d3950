//! An instance as a process, with the settings file that the platform gives it.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use rand::Rng;
use serde_json::Value;
use serde_json::json;

/// Ports for instances. Linux takes those of outgoing connections from 32768 on.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// Where an instance runs, and what it is told.
#[derive(Clone, Debug)]
pub struct Place {
    /// The program of the instance.
    pub program: PathBuf,
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Where it finds the store.
    pub store: SocketAddr,
    /// Where its log lines go; `None` drops them.
    pub log: Option<PathBuf>,
}

/// An instance, which may run or not. Its addresses stay the same when it starts again.
#[derive(Debug)]
pub struct Process {
    place: Place,
    callers: SocketAddr,
    readiness: SocketAddr,
    metrics: SocketAddr,
    settings: Value,
    file: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Chooses free ports, writes the settings file and starts the program.
    ///
    /// # Errors
    ///
    /// Returns an error if a port, a file or the program cannot be had.
    pub fn start(place: Place) -> std::io::Result<Self> {
        let [callers, readiness, peers, metrics] = free_ports()?;
        let settings = json!({
            "node_name": place.name,
            "zone": place.domain,
            "listen": {"front": callers, "ready_address": readiness},
            "internal_ports": [peers.port(), peers.port()],
            "bounds": {
                "contact_ms": 4_000, "config_apply_ms": 3_000, "drain_ms": 3_000, "grace_s": 6,
                "retry_budget_ratio": 0.2, "retry_budget_extra": 54, "retry_window_s": 10,
            },
            "platform": {"address": place.store},
        });
        let name = format!("camphorhold-{}-{}.yaml", std::process::id(), callers.port());
        let path = std::env::temp_dir().join(name);
        let mut process = Self {
            place,
            callers,
            readiness,
            metrics,
            settings,
            file: path,
            child: None,
        };
        process.change_settings(|_| {})?;
        process.restart()?;
        Ok(process)
    }

    /// Changes the settings file. The process is not told.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn change_settings<F>(&mut self, change: F) -> std::io::Result<()>
    where
        F: FnOnce(&mut Value),
    {
        change(&mut self.settings);
        std::fs::write(&self.file, self.settings.to_string())
    }

    /// Starts the program again after it has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the program or its log file cannot be opened.
    pub fn restart(&mut self) -> std::io::Result<()> {
        let output = match &self.place.log {
            Some(path) => File::options().create(true).append(true).open(path)?.into(),
            None => Stdio::null(),
        };
        let child = Command::new(&self.place.program)
            .arg(format!("--metrics-port={}", self.metrics.port()))
            .env("CAMPHORHOLD_CONFIG", &self.file)
            .stdout(output)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns the address for callers.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address for readiness checks.
    #[must_use]
    pub fn readiness(&self) -> SocketAddr {
        self.readiness
    }

    /// Returns the address of the metrics.
    #[must_use]
    pub fn metrics(&self) -> SocketAddr {
        self.metrics
    }

    /// Sends a signal to the process, if it runs. The id of one that has ended may belong to another.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be signalled.
    pub fn signal(&mut self, signal: Signal) -> std::io::Result<()> {
        let Some(child) = &mut self.child else {
            return Ok(());
        };
        if child.try_wait()?.is_some() {
            return Ok(());
        }
        let id = i32::try_from(child.id()).map_err(std::io::Error::other)?;
        Ok(kill(Pid::from_raw(id), signal)?)
    }

    /// Returns how the process has ended, if it has.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system does not tell.
    pub fn exit(&mut self) -> std::io::Result<Option<ExitStatus>> {
        self.child.as_mut().map_or(Ok(None), Child::try_wait)
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be killed.
    pub fn kill(&mut self) -> std::io::Result<()> {
        let Some(mut child) = self.child.take() else {
            return Ok(());
        };
        child.kill()?;
        child.wait().map(|_| ())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process that has ended already is no failure, nor is a file that is gone.
        let _ = self.kill();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Returns another port with each call, from a random one on. Two instances that a process starts at
/// the same time would otherwise find the same port free.
fn next_port() -> u16 {
    static NEXT: OnceLock<AtomicU32> = OnceLock::new();
    let first = || AtomicU32::new(rand::rng().random_range(0..u32::from(u16::MAX)));
    let next = NEXT.get_or_init(first).fetch_add(1, Ordering::Relaxed);
    let count = u32::from(PORTS.end - PORTS.start);
    PORTS.start + u16::try_from(next % count).unwrap_or(0)
}

/// Returns addresses that were free a moment ago, outside the range from which the system takes the
/// ports of outgoing connections: one of those could take the port of an instance that is down.
fn free_ports<const N: usize>() -> std::io::Result<[SocketAddr; N]> {
    let mut listeners = Vec::with_capacity(N);
    while listeners.len() < N {
        let port = next_port();
        match std::net::TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], port))) {
            Ok(listener) => listeners.push(listener),
            Err(error) if error.kind() == std::io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
    let mut addresses = [SocketAddr::from(([127, 0, 0, 1], 0)); N];
    for (address, listener) in addresses.iter_mut().zip(&listeners) {
        *address = listener.local_addr()?;
    }
    Ok(addresses)
}
