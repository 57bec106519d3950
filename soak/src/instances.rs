//! The instances as processes: starts, disturbs and ends them from outside.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use camphorhold_testutils::platform::process::Process;
use camphorhold_testutils::platform::process::ProcessConfig;
use nix::sys::signal::Signal;

use crate::check::Evidence;
use crate::check::Span;
use crate::check::Violation;
use camphorhold_testutils::proxy::LinkFault;
use camphorhold_testutils::proxy::Proxy;

/// The time from SIGTERM to SIGKILL: `grace_s` of the instances' settings.
const GRACE_PERIOD: Duration = Duration::from_secs(6);

/// The pause between the end of a process and its next start.
const RESTART_DELAY: Duration = Duration::from_millis(150);

/// The time after its start within which a process may not yet have set its signal handlers.
const HANDLER_SETUP_TIME: Duration = Duration::from_millis(500);

/// The pause between two checks of a process or of the recovery.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(20);

struct Instance {
    process: RefCell<Process>,
    // Counts the starts and kills, so that a fault that waits can see that another fault has
    // killed or started the process meanwhile.
    starts: Cell<u32>,
    // The time of the last start.
    started: Cell<Instant>,
    // Whether the soak has sent SIGTERM since the last start, so that an exit is expected.
    terminating: Cell<bool>,
    // The program that the next restart runs, if it is another one.
    next_program: RefCell<Option<PathBuf>>,
    store_link: Proxy,
}

impl Instance {
    fn restart(&self) -> std::io::Result<()> {
        self.starts.set(self.starts.get() + 1);
        self.started.set(now());
        self.terminating.set(false);
        let mut process = self.process.borrow_mut();
        if let Some(next) = &mut *self.next_program.borrow_mut() {
            *next = process.set_program(std::mem::take(next));
        }
        process.restart()
    }

    /// Returns whether a process that got SIGTERM at `signalled` has exited as it should: with
    /// success, or, shortly after its start, by the signal itself. Such a process has not set its
    /// signal handlers yet and has accepted no request.
    fn is_expected_exit(&self, status: ExitStatus, signalled: Instant) -> bool {
        let age = signalled.saturating_duration_since(self.started.get());
        let is_starting =
            age < HANDLER_SETUP_TIME && status.signal() == Some(Signal::SIGTERM as i32);
        status.success() || is_starting
    }
}

/// All instances. Records their disturbances, pauses, kills and broken promises as evidence.
pub(crate) struct Instances {
    sites: Vec<Instance>,
    evidence: Rc<RefCell<Evidence>>,
}

pub(crate) fn now() -> Instant {
    SystemClock.now()
}

impl Instances {
    /// Starts one instance per place, each with its own proxy to the store.
    pub(crate) fn start(
        places: Vec<ProcessConfig>,
        previous: Option<&Path>,
        evidence: Rc<RefCell<Evidence>>,
    ) -> std::io::Result<Self> {
        let mut sites = Vec::new();
        for mut place in places {
            let next_program =
                previous.map(|previous| std::mem::replace(&mut place.program, previous.into()));
            let store_link = Proxy::start(place.store)?;
            place.store = store_link.address();
            sites.push(Instance {
                process: RefCell::new(Process::start(place)?),
                starts: Cell::new(1),
                started: Cell::new(now()),
                terminating: Cell::new(false),
                next_program: RefCell::new(next_program),
                store_link,
            });
        }
        let instances = Self { sites, evidence };
        // The start of a process counts as a disturbance of no length.
        instances.disturb_all(Duration::ZERO);
        Ok(instances)
    }

    /// Returns the caller addresses of the instances, by number. Restarts keep them.
    pub(crate) fn addresses(&self) -> Rc<[SocketAddr]> {
        let callers = |site: &Instance| site.process.borrow().caller_address();
        self.sites.iter().map(callers).collect()
    }

    /// Replaces the fault of the link from an instance to the store.
    pub(crate) fn set_store_link(&self, number: usize, fault: LinkFault) {
        self.sites[number].store_link.set(fault);
    }

    /// Sends a signal to the process of an instance, if it runs.
    pub(crate) fn signal(&self, number: usize, signal: Signal) -> std::io::Result<()> {
        self.sites[number].process.borrow_mut().signal(signal)
    }

    /// Records that an instance is disturbed for `length` from now on.
    pub(crate) fn disturb(&self, instance: usize, length: Duration) {
        let from = now();
        let span = Span {
            from,
            to: from + length,
        };
        self.evidence.borrow_mut().disturbed[instance].push(span);
    }

    pub(crate) fn disturb_all(&self, length: Duration) {
        for instance in 0..self.sites.len() {
            self.disturb(instance, length);
        }
    }

    /// Stops a process with SIGSTOP and lets it continue after `length`.
    pub(crate) async fn pause(&self, number: usize, length: Duration) -> std::io::Result<()> {
        self.disturb(number, length);
        let from = now();
        let to = from + length;
        self.evidence.borrow_mut().paused[number].push(Span { from, to });
        self.signal(number, Signal::SIGSTOP)?;
        tokio::time::sleep(length).await;
        self.signal(number, Signal::SIGCONT)
    }

    fn report(&self, violation: Violation) {
        self.evidence.borrow_mut().violations.push(violation);
    }

    /// Kills a process and starts it again, unless another fault does so meanwhile.
    pub(crate) async fn kill(&self, number: usize) -> std::io::Result<()> {
        let instance = &self.sites[number];
        let start = instance.starts.get() + 1;
        instance.starts.set(start);
        instance.process.borrow_mut().kill()?;
        self.disturb(number, RESTART_DELAY);
        self.evidence.borrow_mut().killed[number].push(now());
        tokio::time::sleep(RESTART_DELAY).await;
        if instance.starts.get() == start {
            instance.restart()?;
        }
        Ok(())
    }

    /// Sends SIGTERM to a process and starts it again after its exit. Reports a wrong exit status
    /// and an exit after the grace period. Does nothing if the process has got SIGTERM already.
    pub(crate) async fn terminate(&self, number: usize) -> std::io::Result<()> {
        let instance = &self.sites[number];
        if instance.terminating.replace(true) {
            return Ok(());
        }
        let start = instance.starts.get();
        let signalled = now();
        self.disturb(number, GRACE_PERIOD + RESTART_DELAY);
        instance.process.borrow_mut().signal(Signal::SIGTERM)?;
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            if instance.starts.get() != start {
                // Another fault has killed the process and starts it again.
                return Ok(());
            }
            let exit = instance.process.borrow_mut().exit_status()?;
            if let Some(status) = exit {
                if !instance.is_expected_exit(status, signalled) {
                    self.report(Violation::new(
                        "shutdown",
                        format!("instance {number} exited after SIGTERM with {status}"),
                    ));
                }
                break;
            }
            if now().saturating_duration_since(signalled) > GRACE_PERIOD {
                if !self.had_other_disturbance(number, signalled) {
                    self.report(Violation::new(
                        "shutdown",
                        format!("instance {number} is still running after its grace period"),
                    ));
                }
                return self.kill(number).await;
            }
        }
        tokio::time::sleep(RESTART_DELAY).await;
        if instance.starts.get() == start {
            instance.restart()?;
            self.disturb(number, Duration::ZERO);
        }
        Ok(())
    }

    /// Returns whether an instance had a disturbance since `signalled` besides that of SIGTERM
    /// itself.
    fn had_other_disturbance(&self, number: usize, signalled: Instant) -> bool {
        let evidence = self.evidence.borrow();
        let since = |span: &&Span| span.to >= signalled;
        evidence.disturbed[number].iter().filter(since).count() > 1
    }

    /// Restarts processes that exit without SIGTERM or SIGKILL from the soak, and reports them.
    pub(crate) async fn restart_unexpected_exits(self: Rc<Self>) {
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            for (number, instance) in self.sites.iter().enumerate() {
                if instance.terminating.get() {
                    continue;
                }
                let exit = instance.process.borrow_mut().exit_status();
                if let Ok(Some(status)) = exit {
                    self.report(Violation::new(
                        "end",
                        format!(
                            "instance {number} exited without a signal from the soak: {status}"
                        ),
                    ));
                    self.disturb(number, RESTART_DELAY);
                    tokio::time::sleep(RESTART_DELAY).await;
                    let restarted = instance.restart();
                    if let Err(error) = restarted {
                        self.report(Violation::new(
                            "end",
                            format!("cannot restart instance {number}: {error}"),
                        ));
                    }
                }
            }
        }
    }

    /// Ends all instances with SIGTERM, and reports those that fail or exceed the grace period.
    pub(crate) async fn stop(&self) -> std::io::Result<()> {
        for instance in &self.sites {
            instance.process.borrow_mut().signal(Signal::SIGTERM)?;
        }
        let signalled = now();
        for (number, instance) in self.sites.iter().enumerate() {
            loop {
                let exit = instance.process.borrow_mut().exit_status()?;
                if let Some(status) = exit {
                    if !status.success() {
                        self.report(Violation::new(
                            "shutdown",
                            format!("instance {number} exited after SIGTERM with {status}"),
                        ));
                    }
                    break;
                }
                if now().saturating_duration_since(signalled) > GRACE_PERIOD {
                    self.report(Violation::new(
                        "shutdown",
                        format!("instance {number} is still running after its grace period"),
                    ));
                    break;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }
}
