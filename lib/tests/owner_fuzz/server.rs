//! A fake backend server. It enforces the deadlines of requests by its own wall clock.

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

/// The server's key of a connection: the instance and the instance's id of the connection.
pub type Peer = (usize, ConnectionId);

/// A request that the server has received.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    pub peer: Peer,
    pub call: CallId,
    pub deadline: SystemTime,
    /// The latest cold period that its sender had seen in an answer, at the time of the write.
    pub signal_seen: Option<u64>,
    /// The end of its sender's ownership, in virtual time without clock offsets.
    pub valid_until: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Cold {
    since: Duration,
    answers: u32,
    by_restart: bool,
}

/// How the server handles new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Serving,
    Shedding,
    Draining,
}

/// The state of the server.
#[derive(Debug)]
pub struct Server {
    pub incarnation: u64,
    pub mode: Mode,
    /// Whether the server sends no answers.
    pub silent: bool,
    /// Whether the server refuses new connections.
    pub refusing: bool,
    pub running: Vec<Run>,
    /// The most requests that ran at once so far.
    pub most_running: usize,
    /// The number of the latest cold period, from 1.
    pub period: u64,
    /// Open connections, with the incarnation that accepted them.
    pub peers: BTreeMap<Peer, u64>,
    cold: Option<Cold>,
    /// Whether the server reports that it is warm while it is cold.
    claims_warm: bool,
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
            claims_warm: false,
        }
    }

    /// Replaces the server process by a new, cold one. Returns the connections of the old process.
    pub fn restart(&mut self, claims_warm: bool, time: Duration) -> Vec<Peer> {
        self.incarnation += 1;
        self.period += 1;
        self.mode = Mode::Serving;
        self.claims_warm = claims_warm;
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
            self.claims_warm = false;
            self.cold = Some(Cold {
                since: time,
                answers: 0,
                by_restart: false,
            });
        }
    }

    pub fn temperature(&self) -> Temperature {
        if self.cold.is_some() && !self.claims_warm {
            Temperature::Cold
        } else {
            Temperature::Warm
        }
    }

    /// Starts a request, or returns the status with which the server refuses it.
    pub fn admit(&mut self, run: Run, time: Duration, wall: SystemTime) -> Option<Status> {
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
            "started {run:?} at {time:?}, after the ownership of its sender ended"
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
        assert!(
            owners.len() <= 1,
            "requests of two owners run at once: {:?}",
            self.running
        );
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
            "a cold server runs {after_signal} requests whose sender had seen that it is cold"
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

    /// Becomes warm after [`COLD_DURATION`] and [`COLD_ANSWERS`] answers.
    pub fn warm_up(&mut self, time: Duration) {
        self.cold = self
            .cold
            .filter(|cold| cold.answers < COLD_ANSWERS || time < cold.since + COLD_DURATION);
    }

    /// Stops and returns the requests whose deadline has passed by the server's clock.
    pub fn stop_overdue(&mut self, wall: SystemTime) -> Vec<Run> {
        let overdue = |run: &mut Run| run.deadline <= wall;
        self.running.extract_if(.., overdue).collect()
    }
}
