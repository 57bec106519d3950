//! The instances as processes: started, disturbed and ended from outside.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
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
use crate::proxy::Proxy;
use crate::proxy::Trouble;

/// The time from SIGTERM to SIGKILL, as the settings say.
const GRACE: Duration = Duration::from_secs(6);

/// The pause before a process that ended starts again.
const RESTART: Duration = Duration::from_millis(150);

/// The time in which a process sets its signal handlers.
const START: Duration = Duration::from_millis(500);

/// Between two looks at a process.
pub(crate) const TICK: Duration = Duration::from_millis(20);

struct Instance {
    process: RefCell<Process>,
    // Counts the starts, so that a fault that waits sees that another one came first.
    starts: Cell<u32>,
    // When it was started last.
    started: Cell<Instant>,
    // Whether the end of the process is asked for.
    ending: Cell<bool>,
    store_link: Proxy,
}

impl Instance {
    fn restart(&self) -> std::io::Result<()> {
        self.starts.set(self.starts.get() + 1);
        self.started.set(now());
        self.ending.set(false);
        self.process.borrow_mut().restart()
    }

    /// Tells whether a process that was asked to end ended as it should. One that has just started
    /// may not have set its signal handlers yet, and has taken no request.
    fn ended_well(&self, status: ExitStatus, asked: Instant) -> bool {
        let age = asked.saturating_duration_since(self.started.get());
        let is_starting = age < START && status.signal() == Some(Signal::SIGTERM as i32);
        status.success() || is_starting
    }
}

/// All instances, and what has happened to them.
pub(crate) struct Instances {
    sites: Vec<Instance>,
    evidence: Rc<RefCell<Evidence>>,
}

pub(crate) fn now() -> Instant {
    SystemClock.now()
}

impl Instances {
    /// Starts an instance per place, each with a link of its own to the store.
    pub(crate) async fn start(
        places: Vec<ProcessConfig>,
        evidence: Rc<RefCell<Evidence>>,
    ) -> std::io::Result<Self> {
        let mut sites = Vec::new();
        for mut place in places {
            let store_link = Proxy::start(place.store).await?;
            place.store = store_link.address();
            sites.push(Instance {
                process: RefCell::new(Process::start(place)?),
                starts: Cell::new(1),
                started: Cell::new(now()),
                ending: Cell::new(false),
                store_link,
            });
        }
        let instances = Self { sites, evidence };
        // The start of a process counts as a disturbance.
        instances.disturb_all(Duration::ZERO);
        Ok(instances)
    }

    /// Returns where callers reach the instances.
    pub(crate) fn addresses(&self) -> Rc<[SocketAddr]> {
        let callers = |site: &Instance| site.process.borrow().caller_address();
        self.sites.iter().map(callers).collect()
    }

    /// Changes what the link of an instance to the store does.
    pub(crate) fn set_store_link(&self, number: usize, trouble: Trouble) {
        self.sites[number].store_link.set(trouble);
    }

    /// Sends a signal to a process.
    pub(crate) fn signal(&self, number: usize, signal: Signal) -> std::io::Result<()> {
        self.sites[number].process.borrow_mut().signal(signal)
    }

    /// Records that an instance is disturbed from now on for `length`.
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

    /// Stops a process for `length` and lets it go on.
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

    /// Kills a process and starts it again.
    pub(crate) async fn kill(&self, number: usize) -> std::io::Result<()> {
        let instance = &self.sites[number];
        let start = instance.starts.get() + 1;
        instance.starts.set(start);
        instance.process.borrow_mut().kill()?;
        self.disturb(number, RESTART);
        self.evidence.borrow_mut().killed[number].push(now());
        tokio::time::sleep(RESTART).await;
        if instance.starts.get() == start {
            instance.restart()?;
        }
        Ok(())
    }

    /// Asks a process to end and starts it again.
    pub(crate) async fn terminate(&self, number: usize) -> std::io::Result<()> {
        let instance = &self.sites[number];
        if instance.ending.replace(true) {
            return Ok(());
        }
        let start = instance.starts.get();
        let asked = now();
        self.disturb(number, GRACE + RESTART);
        instance.process.borrow_mut().signal(Signal::SIGTERM)?;
        loop {
            tokio::time::sleep(TICK).await;
            if instance.starts.get() != start {
                // It was killed meanwhile, and starts again.
                return Ok(());
            }
            let exit = instance.process.borrow_mut().exit_status()?;
            if let Some(status) = exit {
                if !instance.ended_well(status, asked) {
                    self.report(Violation::new(
                        "shutdown",
                        format!("instance {number} ended with {status}"),
                    ));
                }
                break;
            }
            if now().saturating_duration_since(asked) > GRACE {
                if !self.was_paused(number, asked) {
                    self.report(Violation::new(
                        "shutdown",
                        format!("instance {number} runs after its grace period"),
                    ));
                }
                return self.kill(number).await;
            }
        }
        tokio::time::sleep(RESTART).await;
        if instance.starts.get() == start {
            instance.restart()?;
            self.disturb(number, Duration::ZERO);
        }
        Ok(())
    }

    /// Tells whether more than the end of the process disturbed an instance since `asked`.
    fn was_paused(&self, number: usize, asked: Instant) -> bool {
        let evidence = self.evidence.borrow();
        let since = |span: &&Span| span.to >= asked;
        evidence.disturbed[number].iter().filter(since).count() > 1
    }

    /// Starts processes again that ended although nobody asked for it.
    pub(crate) async fn watch(self: Rc<Self>) {
        loop {
            tokio::time::sleep(TICK).await;
            for (number, instance) in self.sites.iter().enumerate() {
                if instance.ending.get() {
                    continue;
                }
                let exit = instance.process.borrow_mut().exit_status();
                if let Ok(Some(status)) = exit {
                    self.report(Violation::new(
                        "end",
                        format!("instance {number} ended by itself: {status}"),
                    ));
                    self.disturb(number, RESTART);
                    tokio::time::sleep(RESTART).await;
                    let restarted = instance.restart();
                    if let Err(error) = restarted {
                        self.report(Violation::new(
                            "end",
                            format!("cannot start again: {error}"),
                        ));
                    }
                }
            }
        }
    }

    /// Ends all instances.
    pub(crate) async fn stop(&self) -> std::io::Result<()> {
        for instance in &self.sites {
            instance.process.borrow_mut().signal(Signal::SIGTERM)?;
        }
        let asked = now();
        for (number, instance) in self.sites.iter().enumerate() {
            loop {
                let exit = instance.process.borrow_mut().exit_status()?;
                if let Some(status) = exit {
                    if !status.success() {
                        self.report(Violation::new(
                            "shutdown",
                            format!("instance {number} ended with {status}"),
                        ));
                    }
                    break;
                }
                if now().saturating_duration_since(asked) > GRACE {
                    self.report(Violation::new(
                        "shutdown",
                        format!("instance {number} runs after its grace period"),
                    ));
                    break;
                }
                tokio::time::sleep(TICK).await;
            }
        }
        Ok(())
    }
}
