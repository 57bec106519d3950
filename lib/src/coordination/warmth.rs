//! Warmth of a leaf: the number of concurrent requests that it can handle since its last start.
//!
//! The owner of a leaf holds one [`Warmth`]. Every sign of a restart moves it to
//! [`State::Unknown`], which has the same limit as [`State::Cold`]. Requests that were sent before
//! that sign still count as in flight at the owner, because the server may still run them.
//!
//! The cold period starts at the first answer after the sign, not at the sign itself: the server
//! may have been down in between.

use std::time::Duration;
use std::time::Instant;

use crate::state::file::ColdStart;
use crate::state::file::Service;
use crate::state::id::ServerIncarnation;
use crate::state::size::Slots;

/// A leaf that gives no answer for this long while requests are in flight may have restarted.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// The time after which the limit of a ramping leaf doubles.
pub const RAMP_STEP: Duration = Duration::from_secs(1);

/// A health report expires after this time, so that the limit does not stay low when the health
/// endpoint stops answering.
pub const HEALTH_EXPIRY: Duration = Duration::from_secs(10);

/// The settings in the operators' file that limit the load on a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// The limit of a cold leaf, and the conditions for leaving the cold state.
    pub cold_start: ColdStart,
    /// The limit of a warm leaf.
    pub slots: Slots,
}

impl From<&Service> for Policy {
    fn from(service: &Service) -> Self {
        Self {
            cold_start: service.cold_start,
            slots: service.slots,
        }
    }
}

/// The state of the warmth of a leaf.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// The leaf may have restarted and has not answered since.
    #[default]
    Unknown,
    /// The leaf has answered since its last start, but not often or not long enough.
    Cold {
        /// The time of the first answer.
        since: Instant,
        /// The number of whole answers with status `ok` so far.
        answers: u32,
    },
    /// The limit doubles every [`RAMP_STEP`].
    Ramping {
        /// The time at which the ramp started.
        since: Instant,
    },
    /// The limit is the number of slots.
    Warm,
}

/// The temperature that a leaf reports in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Temperature {
    /// The leaf reports that it started a short while ago.
    Cold,
    /// The leaf reports that it is warm.
    Warm,
}

/// Counts the transitions of a leaf to [`State::Unknown`]. Each request records the epoch in which
/// it was sent, because its answer is no evidence for a later epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Epoch(u64);

/// The parts of an answer that matter for warmth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The epoch in which the owner sent the request.
    pub epoch: Epoch,
    /// The server process that answered.
    pub incarnation: ServerIncarnation,
    /// The temperature that the leaf reports.
    pub temperature: Temperature,
    /// Whether the answer is whole and has status `ok`.
    pub good: bool,
}

/// The report of a health endpoint. It may be late or wrong, so it can only lower the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The leaf reports that it is healthy. Does not change the limit.
    Healthy,
    /// The leaf reports that its load is at its limit or above. Allows half of the slots, but at
    /// least the limit of a cold leaf.
    Loaded,
    /// The leaf reports that it is cold, leaving or unhealthy. Allows the limit of a cold leaf.
    Unhealthy,
}

/// The warmth of one leaf.
#[derive(Clone, Debug)]
pub struct Warmth {
    policy: Policy,
    state: State,
    epoch: Epoch,
    incarnation: Option<ServerIncarnation>,
    /// The start of the time without an answer: the last answer, or the first request after it.
    unanswered_since: Option<Instant>,
    health: Option<(Health, Instant)>,
}

impl Warmth {
    /// Creates the warmth of a leaf that has not answered yet, at [`State::Unknown`].
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            state: State::Unknown,
            epoch: Epoch::default(),
            incarnation: None,
            unanswered_since: None,
            health: None,
        }
    }

    /// Returns the state as of the last input.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the epoch to record with a request that is sent now.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the incarnation that answered last.
    #[must_use]
    pub fn incarnation(&self) -> Option<ServerIncarnation> {
        self.incarnation
    }

    /// Returns the number of concurrent requests that a cold leaf may be sent.
    #[must_use]
    pub fn cold_limit(&self) -> u32 {
        self.policy.cold_start.concurrency.0
    }

    /// Returns the number of concurrent requests that the leaf may be sent at `now`.
    #[must_use]
    pub fn limit(&self, now: Instant) -> u32 {
        let limit = match self.state {
            State::Unknown | State::Cold { .. } => self.cold_limit(),
            State::Ramping { since } => self.ramp_limit(now.saturating_duration_since(since)),
            State::Warm => self.policy.slots.0,
        };
        limit.min(self.health_limit(now))
    }

    fn ramp_limit(&self, elapsed: Duration) -> u32 {
        let doublings = u32::try_from(elapsed.as_secs() / RAMP_STEP.as_secs()).unwrap_or(u32::MAX);
        let factor = 2_u32.saturating_pow(doublings);
        let limit = self.cold_limit().saturating_mul(factor);
        limit.min(self.policy.slots.0)
    }

    fn health_limit(&self, now: Instant) -> u32 {
        match self.health {
            Some((health, at)) if now.saturating_duration_since(at) < HEALTH_EXPIRY => match health
            {
                Health::Healthy => u32::MAX,
                Health::Loaded => self.policy.slots.0.div_ceil(2).max(self.cold_limit()),
                Health::Unhealthy => self.cold_limit(),
            },
            _ => u32::MAX,
        }
    }

    /// Moves the leaf to [`State::Unknown`] and starts a new epoch, after a sign of a restart.
    pub fn mark_unknown(&mut self) {
        self.state = State::Unknown;
        self.epoch.0 += 1;
        self.unanswered_since = None;
    }

    /// Records that a request was sent, which starts [`SILENCE_TIMEOUT`] if it is not running.
    pub fn sent(&mut self, now: Instant) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Handles an answer. `in_flight` is whether other requests are still without an answer.
    pub fn answered(&mut self, answer: Answer, in_flight: bool, now: Instant) {
        self.unanswered_since = in_flight.then_some(now);
        let restarted = self
            .incarnation
            .replace(answer.incarnation)
            .is_some_and(|known| known != answer.incarnation);
        if restarted || answer.temperature == Temperature::Cold {
            self.mark_unknown();
            self.unanswered_since = in_flight.then_some(now);
        } else if answer.good && answer.epoch == self.epoch {
            self.count_answer(now);
        }
        self.advance(now);
    }

    fn count_answer(&mut self, now: Instant) {
        match &mut self.state {
            State::Unknown => {
                self.state = State::Cold {
                    since: now,
                    answers: 1,
                }
            }
            State::Cold { answers, .. } => *answers = answers.saturating_add(1),
            State::Ramping { .. } | State::Warm => {}
        }
    }

    /// Stores a health report, which replaces the previous one.
    pub fn set_health(&mut self, health: Health, now: Instant) {
        self.health = Some((health, now));
    }

    /// Checks [`SILENCE_TIMEOUT`] and advances the state.
    pub fn tick(&mut self, now: Instant) {
        if let Some(since) = self.unanswered_since
            && now.saturating_duration_since(since) >= SILENCE_TIMEOUT
        {
            self.mark_unknown();
        }
        self.advance(now);
    }

    fn advance(&mut self, now: Instant) {
        let cold_start = self.policy.cold_start;
        match self.state {
            State::Cold { since, answers }
                if answers >= cold_start.answers
                    && now.saturating_duration_since(since) >= cold_start.duration =>
            {
                self.state = State::Ramping { since: now };
            }
            State::Ramping { since }
                if self.ramp_limit(now.saturating_duration_since(since)) >= self.policy.slots.0 =>
            {
                self.state = State::Warm;
            }
            _ => {}
        }
    }

    /// Changes the policy. The state stays.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }
}
