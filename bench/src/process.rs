//! Child processes. Each is killed by its id when its handle is dropped.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::Value;

use crate::error::Error;

/// The interval between checks whether a process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Clock ticks per second in `/proc/PID/stat`. Fixed in the user-space interface of Linux, so
/// independent of the tick rate of the kernel.
const TICKS_PER_SECOND: f64 = 100.0;

/// A running child. Dropping it kills it and waits for its end.
pub struct Process {
    child: Child,
}

/// The resource usage of a process, from `/proc`.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// User and system CPU time since the start of the process, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in KiB; 0 if the process has exited.
    pub resident_kib: u64,
}

impl Process {
    /// Starts a program from the directory of this executable. Its standard error is appended to
    /// the file `log`.
    pub fn spawn(program: &str, arguments: &[String], log: &Path) -> Result<Self, Error> {
        let (child, _) = start(program, arguments, log, Stdio::null())?;
        Ok(Self { child })
    }

    /// Like [`Process::spawn`], but waits for the first line of standard output, the stand-in's
    /// ready line in JSON, and returns it as well.
    pub fn spawn_ready(
        program: &str,
        arguments: &[String],
        log: &Path,
    ) -> Result<(Self, Value), Error> {
        let (mut child, name) = start(program, arguments, log, Stdio::piped())?;
        let output = child.stdout.take();
        let process = Self { child };
        let mut line = String::new();
        let output = output.ok_or_else(|| Error::NotReady(name.clone()))?;
        BufReader::new(output).read_line(&mut line)?;
        let ready = serde_json::from_str(&line).map_err(|_| Error::NotReady(name))?;
        Ok((process, ready))
    }

    /// Sends a signal without waiting for its effect.
    pub fn signal(&self, signal: Signal) -> Result<(), Error> {
        Ok(kill(self.id(), signal)?)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // A stopped process ends on SIGKILL as well. The process is a child that has not been
        // waited for, so its id cannot belong to another process.
        if matches!(self.child.try_wait(), Ok(None)) {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }

    /// Waits until the process exits; returns its exit code, absent after a signal, and the time
    /// waited. Fails after `limit`.
    pub async fn wait_for_exit(
        &mut self,
        limit: Duration,
    ) -> Result<(Option<i32>, Duration), Error> {
        let started = SystemClock.now();
        while started.elapsed() < limit {
            if let Some(status) = self.child.try_wait()? {
                return Ok((status.code(), started.elapsed()));
            }
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
        let what = "a process to exit";
        Err(Error::TimedOut { what, limit })
    }

    /// Reads the CPU time and the resident memory. Fails once the process has been waited for.
    pub fn usage(&self) -> Result<Usage, Error> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        // Fields are counted after the program name, which may contain spaces: user and system time
        // are the 12th and the 13th.
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let ticks = fields.split_whitespace().skip(11).take(2);
        let ticks: f64 = ticks.filter_map(|field| field.parse::<f64>().ok()).sum();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.and_then(|text| text.split_whitespace().next());
        Ok(Usage {
            cpu_seconds: ticks / TICKS_PER_SECOND,
            resident_kib: resident
                .and_then(|text| text.parse().ok())
                .unwrap_or_default(),
        })
    }

    fn id(&self) -> Pid {
        Pid::from_raw(i32::try_from(self.child.id()).unwrap_or(i32::MAX))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn start(
    program: &str,
    arguments: &[String],
    log: &Path,
    stdout: Stdio,
) -> Result<(Child, String), Error> {
    let directory = std::env::current_exe()?;
    let path: PathBuf = directory.with_file_name(program);
    let log = File::options().create(true).append(true).open(log)?;
    let child = Command::new(&path)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(stdout)
        .stderr(log)
        .spawn()
        .map_err(|source| Error::Start {
            program: path,
            source,
        })?;
    Ok((child, program.to_owned()))
}
