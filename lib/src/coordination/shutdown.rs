//! Graceful shutdown: `Running → NotReady → Draining → Releasing → Closed`.
//!
//! Work is still taken in `NotReady`, because the load balancer goes on sending it until it has
//! seen that readiness is off. No request is cut unless the bound passes first; the exit action
//! tells how many were.

use std::time::Duration;
use std::time::Instant;

/// The longest time from the signal to the end of the process.
pub const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(30);

/// The part of [`SHUTDOWN_TIMEOUT`] that is kept for the release.
pub const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// How far a shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// No shutdown was asked for.
    Running,
    /// Readiness is off; work is still taken.
    NotReady,
    /// No new work is taken; work in flight is finished.
    Draining,
    /// What the instance owns is released to the next owners.
    Releasing,
    /// The process may end.
    Closed,
}

/// Work that is not finished.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InFlight {
    /// Requests of callers.
    pub requests: u64,
    /// Calls that leafs may be running.
    pub leaf_calls: u64,
}

impl InFlight {
    fn is_none(self) -> bool {
        self == Self::default()
    }
}

/// Something that happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The platform asked the process to end.
    Signal,
    /// The load balancer has had the time that it needs to stop sending.
    BalancerWaitElapsed,
    /// The work in flight changed.
    InFlight(InFlight),
    /// The next owners have acknowledged the release.
    Released,
    /// Time passed.
    Tick,
}

/// What has to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Turns readiness off.
    TurnReadinessOff,
    /// Refuses new work.
    RefuseNewWork,
    /// Sends the release of everything owned. Not sent while leafs may be running calls, because
    /// the next owners then have to sit out the handover wait.
    Release,
    /// Ends the process.
    Exit {
        /// Requests that were cut.
        cut: u64,
    },
}

/// The shutdown of one instance.
#[derive(Clone, Debug)]
pub struct Shutdown {
    state: State,
    signalled: Option<Instant>,
    released_at: Option<Instant>,
    in_flight: InFlight,
    /// Whether the work in flight was counted since new work is refused. An earlier count misses
    /// what was taken after it.
    is_counted: bool,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            state: State::Running,
            signalled: None,
            released_at: None,
            in_flight: InFlight::default(),
            is_counted: false,
        }
    }
}

impl Shutdown {
    /// Returns how far the shutdown has come.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Tells whether new work is taken.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        self.state <= State::NotReady
    }

    /// Takes one input and returns what has to be done, in this order.
    pub fn handle(&mut self, input: Input, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        match input {
            Input::Signal if self.state == State::Running => {
                self.state = State::NotReady;
                self.signalled = Some(now);
                actions.push(Action::TurnReadinessOff);
            }
            Input::BalancerWaitElapsed if self.state == State::NotReady => {
                self.drain(&mut actions);
            }
            Input::InFlight(in_flight) => {
                self.in_flight = in_flight;
                self.is_counted = self.state >= State::Draining;
            }
            Input::Released if self.state == State::Releasing => self.close(&mut actions),
            _ => {}
        }
        self.advance(now, &mut actions);
        actions
    }

    fn advance(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(signalled) = self.signalled else {
            return;
        };
        let elapsed = now.saturating_duration_since(signalled);
        let late = elapsed + RELEASE_TIMEOUT >= SHUTDOWN_TIMEOUT;
        if self.state == State::NotReady && late {
            self.drain(actions);
        }
        if self.state == State::Draining && self.is_counted && self.in_flight.is_none() {
            self.state = State::Releasing;
            self.released_at = Some(now);
            actions.push(Action::Release);
        }
        let timed_out = self
            .released_at
            .is_some_and(|at| now.saturating_duration_since(at) >= RELEASE_TIMEOUT);
        if self.state != State::Closed && (elapsed >= SHUTDOWN_TIMEOUT || timed_out) {
            self.close(actions);
        }
    }

    fn drain(&mut self, actions: &mut Vec<Action>) {
        self.state = State::Draining;
        actions.push(Action::RefuseNewWork);
    }

    fn close(&mut self, actions: &mut Vec<Action>) {
        self.state = State::Closed;
        let cut = self.in_flight.requests;
        actions.push(Action::Exit { cut });
    }
}
