//! Runs an instance as a process, with a settings file as the platform writes it.

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

/// The ports for instances. They lie below 32768, from where Linux by default takes the ports of
/// outgoing connections.
const PORT_RANGE: std::ops::Range<u16> = 10_000..32_000;

/// How to start an instance. The name, the domain and the store go into its settings file.
#[derive(Clone, Debug)]
pub struct ProcessConfig {
    /// The path of the instance's executable.
    pub program: PathBuf,
    /// Its name, the setting `node_name`.
    pub name: String,
    /// Its failure domain, the setting `zone`.
    pub domain: String,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The file to which its output is appended; `None` discards its standard output and leaves its
    /// errors where those of this process go.
    pub log: Option<PathBuf>,
}

/// An instance, which may be running or stopped. A restart keeps its addresses. Dropping it kills
/// the process and removes the settings file.
#[derive(Debug)]
pub struct Process {
    config: ProcessConfig,
    caller_address: SocketAddr,
    readiness_address: SocketAddr,
    peer_address: SocketAddr,
    metrics_address: SocketAddr,
    settings: Value,
    file: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Chooses free ports, writes the settings file and starts the program.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is available, if the settings file cannot be written, or if the
    /// program cannot be started.
    pub fn start(config: ProcessConfig) -> std::io::Result<Self> {
        Self::start_with(config, |_| {})
    }

    /// Starts the program as [`Self::start`] does, with changed settings.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Self::start`].
    pub fn start_with<F>(config: ProcessConfig, change: F) -> std::io::Result<Self>
    where
        F: FnOnce(&mut Value),
    {
        let [callers, readiness, peers, metrics] = free_ports()?;
        let settings = json!({
            "node_name": config.name,
            "zone": config.domain,
            "listen": {"front": callers, "ready_address": readiness},
            "internal_ports": [peers.port(), peers.port()],
            "bounds": {
                "contact_ms": 4_000, "config_apply_ms": 3_000, "drain_ms": 3_000, "grace_s": 6,
                "retry_budget_ratio": 0.2, "retry_budget_extra": 54, "retry_window_s": 10,
            },
            "platform": {"address": config.store},
        });
        let name = format!("camphorhold-{}-{}.yaml", std::process::id(), callers.port());
        let path = std::env::temp_dir().join(name);
        let mut process = Self {
            config,
            caller_address: callers,
            readiness_address: readiness,
            peer_address: peers,
            metrics_address: metrics,
            settings,
            file: path,
            child: None,
        };
        process.change_settings(change)?;
        process.restart()?;
        Ok(process)
    }

    /// Changes the settings file. The process gets no signal; it notices the change by itself.
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

    /// Starts the program with the current settings file. A process that is still running is not
    /// stopped first.
    ///
    /// # Errors
    ///
    /// Returns an error if the log file cannot be opened or the program cannot be started.
    pub fn restart(&mut self) -> std::io::Result<()> {
        let (output, errors) = match &self.config.log {
            Some(path) => {
                let file = File::options().create(true).append(true).open(path)?;
                (file.try_clone()?.into(), file.into())
            }
            None => (Stdio::null(), Stdio::inherit()),
        };
        let child = Command::new(&self.config.program)
            .arg(format!("--metrics-port={}", self.metrics_address.port()))
            .env("CAMPHORHOLD_CONFIG", &self.file)
            .stdout(output)
            .stderr(errors)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Replaces the executable that the next [`Self::restart`] runs. Returns the one before.
    pub fn set_program(&mut self, program: PathBuf) -> PathBuf {
        std::mem::replace(&mut self.config.program, program)
    }

    /// Returns the process id, or `None` after [`Self::kill`].
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns the address that serves callers' requests.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address for readiness checks.
    #[must_use]
    pub fn readiness_address(&self) -> SocketAddr {
        self.readiness_address
    }

    /// Returns the address at which it takes over shards from other instances.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the address that serves `/metrics`.
    #[must_use]
    pub fn metrics_address(&self) -> SocketAddr {
        self.metrics_address
    }

    /// Sends a signal to the process. Does nothing if the process has ended, because another
    /// process may have its id by then.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system refuses the signal or the query of the status.
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

    /// Returns the exit status, or `None` while the process runs and after [`Self::kill`].
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system cannot report the status.
    pub fn exit_status(&mut self) -> std::io::Result<Option<ExitStatus>> {
        self.child.as_mut().map_or(Ok(None), Child::try_wait)
    }

    /// Kills the process and waits until it has ended. Does nothing if it was killed before.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be killed or waited for.
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
        // Errors are ignored: the process may have ended already, and the file may be gone.
        let _ = self.kill();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Returns the next port of `PORT_RANGE`, starting at a random one. Two instances that this process
/// starts at the same time would otherwise find the same port free.
fn next_port() -> u16 {
    static NEXT: OnceLock<AtomicU32> = OnceLock::new();
    let first = || AtomicU32::new(rand::rng().random_range(0..u32::from(u16::MAX)));
    let next = NEXT.get_or_init(first).fetch_add(1, Ordering::Relaxed);
    let count = u32::from(PORT_RANGE.end - PORT_RANGE.start);
    PORT_RANGE.start + u16::try_from(next % count).unwrap_or(0)
}

/// Returns addresses with ports of `PORT_RANGE` that were free during the call. Outside that range,
/// an outgoing connection could take the port of an instance that is down.
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
