//! A fake backend server that enforces absolute deadlines by its own clock.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::SystemTime;

use camphorhold::coordination::call::CallId;
use camphorhold::coordination::call::ConnectionId;
use camphorhold::coordination::dispatch::Status;
use camphorhold::coordination::warmth::Temperature;

use super::world::COLD_ANSWERS;
use super::world::COLD_DURATION;
use super::world::COLD_LIMIT;

/// A connection as the server names it.
pub type Peer = (usize, ConnectionId);

/// A request that the server runs.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    pub peer: Peer,
    pub call: CallId,
    pub deadline: SystemTime,
    /// The cold period whose signal its sender had seen.
    pub signal_seen: Option<u64>,
    /// When the currency of its sender ends, in true time.
    pub valid_until: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Cold {
    since: Duration,
    answers: u32,
    by_restart: bool,
}

/// What the server does with requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Serving,
    Shedding,
    Draining,
}

/// The server.
#[derive(Debug)]
pub struct Server {
    pub incarnation: u64,
    pub mode: Mode,
    pub silent: bool,
    pub refusing: bool,
    pub running: Vec<Run>,
    pub most_running: usize,
    /// Numbers the cold periods.
    pub period: u64,
    /// Connections, with the incarnation that accepted them.
    pub peers: BTreeMap<Peer, u64>,
    cold: Option<Cold>,
    lies: bool,
}

impl Server {
    pub fn new() -> Self {
        Self {
            incarnation: 1,
            mode: Mode::Serving,
            silent: false,
            refusing: false,
            running: Vec::new(),
            most_running: 0,
            period: 1,
            peers: BTreeMap::new(),
            cold: Some(Cold {
                since: Duration::ZERO,
                answers: 0,
                by_restart: true,
            }),
            lies: false,
        }
    }

    /// Starts anew and returns the connections that are reset.
    pub fn restart(&mut self, lies: bool, time: Duration) -> Vec<Peer> {
        self.incarnation += 1;
        self.period += 1;
        self.mode = Mode::Serving;
        self.lies = lies;
        self.running.clear();
        self.cold = Some(Cold {
            since: time,
            answers: 0,
            by_restart: true,
        });
        std::mem::take(&mut self.peers).into_keys().collect()
    }

    pub fn turn_cold(&mut self, time: Duration) {
        if self.cold.is_none() {
            self.period += 1;
            self.lies = false;
            self.cold = Some(Cold {
                since: time,
                answers: 0,
                by_restart: false,
            });
        }
    }

    pub fn temperature(&self) -> Temperature {
        if self.cold.is_some() && !self.lies {
            Temperature::Cold
        } else {
            Temperature::Warm
        }
    }

    /// Takes a request: `None` if it is started, or else the refusal.
    pub fn take(&mut self, run: Run, time: Duration, wall: SystemTime) -> Option<Status> {
        if run.deadline <= wall {
            return Some(Status::NotStarted);
        }
        match self.mode {
            Mode::Serving => {}
            Mode::Shedding => return Some(Status::Shed),
            Mode::Draining => return Some(Status::Draining),
        }
        assert!(
            time < run.valid_until,
            "started {run:?} at {time:?}, without valid ownership"
        );
        assert!(
            self.running.iter().all(|other| other.peer != run.peer),
            "two requests in flight on {:?}",
            run.peer
        );
        self.running.push(run);
        self.most_running = self.most_running.max(self.running.len());
        self.check();
        None
    }

    fn check(&self) {
        let mut owners: Vec<usize> = self.running.iter().map(|run| run.peer.0).collect();
        owners.dedup();
        assert!(owners.len() <= 1, "two owners at once: {:?}", self.running);
        let limit = usize::try_from(COLD_LIMIT).unwrap();
        let Some(cold) = self.cold else {
            return;
        };
        let after_signal = self.running.iter();
        let after_signal = after_signal
            .filter(|run| run.signal_seen == Some(self.period))
            .count();
        assert!(
            after_signal <= limit,
            "a cold server runs {after_signal} requests sent after it was seen to be cold"
        );
        assert!(
            !cold.by_restart || self.running.len() <= limit,
            "a restarted server runs {} requests",
            self.running.len()
        );
    }

    /// Ends a request and returns it.
    pub fn end(&mut self, index: usize, time: Duration) -> Run {
        let run = self.running.remove(index);
        if let Some(cold) = &mut self.cold {
            cold.answers += 1;
        }
        self.warm_up(time);
        run
    }

    /// Becomes warm once it has been up and has answered for long enough.
    pub fn warm_up(&mut self, time: Duration) {
        self.cold = self
            .cold
            .filter(|cold| cold.answers < COLD_ANSWERS || time < cold.since + COLD_DURATION);
    }

    /// Stops requests whose deadline has passed by the server's clock and returns them.
    pub fn stop_overdue(&mut self, wall: SystemTime) -> Vec<Run> {
        let overdue = |run: &mut Run| run.deadline <= wall;
        self.running.extract_if(.., overdue).collect()
    }
}
