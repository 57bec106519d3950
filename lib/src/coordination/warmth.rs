//! Warmth of a leaf: how many requests it bears since its last start.
//!
//! The owner of a leaf holds one [`Warmth`]. Every sign of a restart moves it to
//! [`State::Unknown`], which bears the same load as [`State::Cold`]. Requests that were sent before
//! that sign keep counting as in flight at the owner, because the server may still run them.
//!
//! Time spent cold is counted from the first answer after the sign, not from the sign itself: the
//! server may have been down in between.

use std::time::Duration;
use std::time::Instant;

use crate::state::file::ColdStart;
use crate::state::file::Service;
use crate::state::id::ServerIncarnation;
use crate::state::size::Slots;

/// A leaf with work in flight that gives no answer for this long may have restarted.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// The limit of a ramping leaf doubles once per step.
pub const RAMP_STEP: Duration = Duration::from_secs(1);

/// A health report holds for this long, so that a lost health endpoint does not keep a limit low.
pub const HEALTH_EXPIRY: Duration = Duration::from_secs(10);

/// What the file says about the load that a leaf bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// The load that a cold leaf bears, and for how long it is cold.
    pub cold_start: ColdStart,
    /// The load that a warm leaf bears.
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

/// How much is known about the warmth of a leaf.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// The leaf may have restarted and has not answered since.
    #[default]
    Unknown,
    /// The leaf answers, and has not done so for long enough.
    Cold {
        /// The first answer.
        since: Instant,
        /// Whole answers with status `ok` so far.
        answers: u32,
    },
    /// The limit doubles with each step.
    Ramping {
        /// The start of the ramp.
        since: Instant,
    },
    /// The leaf bears its slots.
    Warm,
}

/// What a leaf says about its own temperature in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Temperature {
    /// The leaf has started a short while ago.
    Cold,
    /// The leaf claims to be warm.
    Warm,
}

/// Numbers the moves of a leaf to [`State::Unknown`]. A request remembers the epoch in which it was
/// sent, because its answer proves nothing about a later epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Epoch(u64);

/// The parts of an answer that matter for warmth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The epoch in which the request was sent.
    pub epoch: Epoch,
    /// The incarnation that answered.
    pub incarnation: ServerIncarnation,
    /// What the leaf says about itself.
    pub temperature: Temperature,
    /// Whether the answer is whole and has status `ok`.
    pub good: bool,
}

/// What a health endpoint says. It may lag or lie, so it can only lower the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The leaf claims to be well.
    Healthy,
    /// The leaf claims to be loaded to its limit or above.
    Loaded,
    /// The leaf claims to be cold, leaving or unwell.
    Unhealthy,
}

/// The warmth of one leaf.
#[derive(Clone, Debug)]
pub struct Warmth {
    policy: Policy,
    state: State,
    epoch: Epoch,
    incarnation: Option<ServerIncarnation>,
    /// When the oldest request was sent after which no answer has come.
    unanswered_since: Option<Instant>,
    health: Option<(Health, Instant)>,
}

impl Warmth {
    /// Starts at [`State::Unknown`].
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

    /// Returns the current epoch.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the incarnation that answered last.
    #[must_use]
    pub fn incarnation(&self) -> Option<ServerIncarnation> {
        self.incarnation
    }

    /// Returns the load that a cold leaf bears.
    #[must_use]
    pub fn cold_limit(&self) -> u32 {
        self.policy.cold_start.concurrency.0
    }

    /// Returns how many requests the leaf bears at `now`.
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

    /// Moves the leaf to [`State::Unknown`].
    pub fn mark_unknown(&mut self) {
        self.state = State::Unknown;
        self.epoch.0 += 1;
        self.unanswered_since = None;
    }

    /// Notes that a request was sent.
    pub fn sent(&mut self, now: Instant) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Takes an answer. `in_flight` tells whether other requests still wait for theirs.
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

    /// Takes a health report.
    pub fn set_health(&mut self, health: Health, now: Instant) {
        self.health = Some((health, now));
    }

    /// Lets time pass.
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

    /// Puts another policy in force.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }
}
