//! What the calls of a short time show about the load of a shard.

use std::time::Duration;
use std::time::Instant;

use super::urgency::BANDS;
use super::urgency::Urgency;

/// The length of a window. Calls take some 10 to 100 ms.
const LENGTH: Duration = Duration::from_millis(50);

/// A window lasts longer, up to that many lengths, until as many calls have ended.
pub(super) const MAX_LENGTHS: u32 = 4;
const MIN_CALLS: u32 = 4;

#[derive(Clone, Copy, Debug, Default)]
struct Waits {
    sum_s: f32,
    due_in_s: f32,
    count: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slowdowns {
    sum: f32,
    count: u32,
}

/// How long queries wait in the band in which that takes the largest part of their time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pressure {
    /// The expected wait as a share of the time that queries have.
    pub(super) share: f32,
    /// The time that queries have, on average.
    pub(super) due_in_s: f32,
}

/// The calls of one window.
#[derive(Clone, Copy, Debug)]
pub(super) struct Window {
    start: Instant,
    // The expected work of the calls that were sent, by band, in seconds.
    pub(super) sent_s: [f32; BANDS],
    // The expected work of the calls that were answered.
    pub(super) done_s: f32,
    pub(super) refused: u32,
    waits: [Waits; BANDS],
    // The times at leafs, as multiples of the service time.
    slowdowns: Slowdowns,
    // Whether more calls were in progress than the leafs have slots.
    is_contended: bool,
}

impl Window {
    pub(super) fn new(start: Instant) -> Self {
        Self {
            start,
            sent_s: [0.0; BANDS],
            done_s: 0.0,
            refused: 0,
            waits: [Waits::default(); BANDS],
            slowdowns: Slowdowns::default(),
            is_contended: false,
        }
    }

    /// Returns how many lengths have passed, once the window has ended.
    pub(super) fn elapsed(&self, now: Instant) -> Option<u32> {
        let elapsed = now.saturating_duration_since(self.start);
        let lengths = u32::try_from(elapsed.as_millis() / LENGTH.as_millis()).unwrap_or(u32::MAX);
        let has_ended = lengths >= MAX_LENGTHS || (lengths >= 1 && self.ended() >= MIN_CALLS);
        has_ended.then_some(lengths)
    }

    /// Returns the time since the start of the window, in seconds.
    pub(super) fn length_s(&self, now: Instant) -> f32 {
        let length = now.saturating_duration_since(self.start);
        length.as_secs_f32().max(1e-3)
    }

    pub(super) fn on_sent(&mut self, urgency: Urgency, cost_s: f32) {
        self.sent_s[urgency.band()] += cost_s;
    }

    pub(super) fn add_wait(&mut self, urgency: Urgency, wait_s: f32, due_in_s: f32) {
        let band = &mut self.waits[urgency.band()];
        band.sum_s += wait_s;
        band.due_in_s += due_in_s;
        band.count += 1;
    }

    pub(super) fn on_contention(&mut self) {
        self.is_contended = true;
    }

    pub(super) fn is_contended(&self) -> bool {
        self.is_contended
    }

    pub(super) fn add_slowdown(&mut self, slowdown: f32) {
        self.slowdowns.sum += slowdown;
        self.slowdowns.count += 1;
    }

    /// Returns the mean time at leafs as a multiple of the service time.
    #[expect(clippy::cast_precision_loss, reason = "a window has few calls")]
    pub(super) fn slowdown(&self) -> Option<f32> {
        let Slowdowns { sum, count } = self.slowdowns;
        (count > 0).then(|| sum / count as f32)
    }

    fn ended(&self) -> u32 {
        self.refused + self.slowdowns.count
    }

    /// Returns how long queries wait.
    #[expect(clippy::cast_precision_loss, reason = "a window has few queries")]
    pub(super) fn pressure(&self) -> Pressure {
        let bands = self.waits.iter();
        bands
            .filter(|waits| waits.count > 0)
            .map(|waits| Pressure {
                share: waits.sum_s / waits.due_in_s.max(1e-3),
                due_in_s: waits.due_in_s / waits.count as f32,
            })
            .max_by(|a, b| a.share.total_cmp(&b.share))
            .unwrap_or(Pressure {
                share: 0.0,
                due_in_s: 0.0,
            })
    }

    #[expect(clippy::cast_precision_loss, reason = "a window has few calls")]
    pub(super) fn refused_share(&self) -> f32 {
        if self.refused < 2 {
            return 0.0;
        }
        self.refused as f32 / self.ended() as f32
    }
}
