//! Graceful shutdown: `Running → NotReady → Draining → Releasing → Closed`.
//!
//! In `NotReady` the instance still accepts work, because the load balancer keeps sending requests
//! until it notices that the instance is not ready. No request is aborted unless
//! [`SHUTDOWN_TIMEOUT`] passes first; [`Action::Exit`] contains the number of aborted requests.

use std::time::Duration;
use std::time::Instant;

/// The longest time from the termination signal to the exit of the process.
pub const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(30);

/// The part of [`SHUTDOWN_TIMEOUT`] that is reserved for releasing ownership.
pub const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// The phases of a shutdown, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// No termination signal was received.
    Running,
    /// The instance reports that it is not ready, and still accepts work.
    NotReady,
    /// The instance refuses new work and finishes the work in flight.
    Draining,
    /// The instance releases everything that it owns to the next owners.
    Releasing,
    /// The process may exit.
    Closed,
}

/// Work that is not finished.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InFlight {
    /// Requests of callers that were not answered yet.
    pub requests: u64,
    /// Calls that leafs may still be running.
    pub leaf_calls: u64,
}

impl InFlight {
    fn is_none(self) -> bool {
        self == Self::default()
    }
}

/// An event during a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The process received a termination signal.
    Signal,
    /// The time in which the load balancer stops sending requests has passed.
    BalancerWaitElapsed,
    /// The work in flight was counted again.
    InFlight(InFlight),
    /// The next owners have acknowledged the release.
    Released,
    /// Time passed.
    Tick,
}

/// An action for the process to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Reports to the load balancer that the instance is not ready.
    TurnReadinessOff,
    /// Refuses new requests of callers from now on.
    RefuseNewWork,
    /// Releases everything owned to the next owners. Not emitted while leafs may be running calls:
    /// the next owners then have to wait for the whole handover wait.
    Release,
    /// Exits the process.
    Exit {
        /// The number of requests aborted without an answer.
        cut: u64,
    },
}

/// The shutdown of one instance.
#[derive(Clone, Debug)]
pub struct Shutdown {
    state: State,
    signalled_at: Option<Instant>,
    released_at: Option<Instant>,
    in_flight: InFlight,
    /// Whether the work in flight was counted after the instance began to refuse new work. An
    /// earlier count misses requests that were accepted after it.
    is_counted: bool,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            state: State::Running,
            signalled_at: None,
            released_at: None,
            in_flight: InFlight::default(),
            is_counted: false,
        }
    }
}

impl Shutdown {
    /// Returns the phase as of the last input.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns whether the instance accepts new work.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        self.state <= State::NotReady
    }

    /// Handles one input and returns the actions to carry out, in this order.
    pub fn handle(&mut self, input: Input, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        match input {
            Input::Signal if self.state == State::Running => {
                self.state = State::NotReady;
                self.signalled_at = Some(now);
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
        let Some(signalled_at) = self.signalled_at else {
            return;
        };
        let elapsed = now.saturating_duration_since(signalled_at);
        let must_drain = elapsed + RELEASE_TIMEOUT >= SHUTDOWN_TIMEOUT;
        if self.state == State::NotReady && must_drain {
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
