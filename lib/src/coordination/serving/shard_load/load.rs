//! One shard: the limit on the queries that are worked on, those that wait, and the threshold.

use std::collections::VecDeque;
use std::time::Instant;

use super::End;
use super::Permit;
use super::Slots;
use super::Work;
use super::urgency::BANDS;
use super::urgency::Threshold;
use super::window::MAX_LENGTHS;
use super::window::Window;

/// How many routes a shard's service times are kept for.
const MAX_ROUTES: usize = 16;

/// Weight of a new sample in the mean service time of a route.
const SAMPLE_WEIGHT: f32 = 0.1;

/// The most windows that are made up for after a time without calls.
const MAX_IDLE_WINDOWS: u32 = 40;

/// How many windows in a row have to be overloaded before queries are refused. Bursts are shorter.
const MIN_OVERLOADED: u32 = 3;

/// The expected wait, as a share of the time that a query has, above which queries are refused, and
/// the one that is aimed at then. The rest of the time is left for the work and for slow leafs.
const LONG_WAIT: f32 = 0.4;
const AIM: f32 = 0.35;

/// The time in which the wait is to reach [`AIM`], in seconds.
const CORRECTION_S: f32 = 0.45;

/// Weight of a window in the mean rates of work.
const RATE_WEIGHT: f32 = 0.2;

/// The part of the necessary change of the threshold that is made in one window.
const GAIN: f32 = 0.15;

/// The share of calls that leafs refuse above which a shard is overloaded.
const MAX_REFUSED: f32 = 0.1;

/// The largest rise of a threshold in one window while queries wait, in bands.
const MAX_RISE: f64 = 0.1;

/// The first rise of a threshold while no queries wait, in bands. Doubled with each further window,
/// up to the largest.
const FIRST_RISE: f64 = 0.02;
const LARGEST_RISE: f64 = 0.5;

/// The smallest part of its limit that a shard is taken to work at.
const MIN_SPEED: f32 = 0.3;

/// A query is stuck while it has been worked on for this many service times, which count as at least
/// [`SHORTEST_S`] seconds.
const STUCK_FACTOR: f32 = 3.0;
const SHORTEST_S: f32 = 0.005;

/// The most queries that wait for one shard.
const MAX_WAITING: usize = 128;

/// The limit rises while fewer calls than the first number wait at leafs, and falls while more than
/// the second do, as the congestion window of TCP Vegas.
const FEW_AT_LEAFS: f32 = 0.4;
const MANY_AT_LEAFS: f32 = 0.8;

/// The largest limit, as a multiple of the leafs' slots.
const MAX_PER_SLOT: f32 = 2.0;

/// A query that waits for a shard.
#[derive(Clone, Debug)]
pub(super) struct Waiter<W> {
    pub(super) work: Work,
    pub(super) entered: Instant,
    pub(super) waker: W,
}

#[derive(Clone, Copy, Debug)]
struct ServiceTime {
    route: u64,
    mean_s: f32,
}

#[derive(Clone, Debug)]
pub(super) struct Load<W> {
    pub(super) threshold: Threshold,
    slots: Slots,
    limit: f32,
    in_progress: u32,
    // When the queries in progress were granted, and their service times.
    granted: Vec<(Instant, f32)>,
    in_progress_s: f32,
    waiting: [VecDeque<Waiter<W>>; BANDS],
    service_times: Vec<ServiceTime>,
    window: Window,
    // The work that is admitted per second, by band, and what is done while queries wait.
    sent_rates: [f32; BANDS],
    done_rate: Option<f32>,
    // How many windows in a row were overloaded, or quiet.
    overloaded: u32,
    quiet: u32,
    // The least urgent band that a query has had.
    last_band: usize,
}

#[expect(clippy::cast_precision_loss, reason = "there are few slots")]
fn number(count: u32) -> f32 {
    count as f32
}

impl<W> Load<W> {
    pub(super) fn new(slots: Slots, now: Instant) -> Self {
        Self {
            threshold: Threshold::OPEN,
            slots,
            limit: number(slots.all.max(1)),
            in_progress: 0,
            granted: Vec::new(),
            in_progress_s: 0.0,
            waiting: std::array::from_fn(|_| VecDeque::new()),
            service_times: Vec::new(),
            window: Window::new(now),
            sent_rates: [0.0; BANDS],
            done_rate: None,
            overloaded: 0,
            quiet: 0,
            last_band: 0,
        }
    }

    pub(super) fn limit(&self) -> f32 {
        self.limit
    }

    pub(super) fn waiting(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    pub(super) fn is_used(&self) -> bool {
        self.in_progress > 0 || self.waiting() > 0
    }

    /// Returns whether another query may be worked on. Those that take very long don't count, up to as
    /// many as there are slots: a leaf that pauses holds them, and the others are free.
    pub(super) fn has_room(&self, now: Instant) -> bool {
        let is_stuck = |since: &&(Instant, f32)| {
            let elapsed = now.saturating_duration_since(since.0);
            elapsed.as_secs_f32() > since.1 * STUCK_FACTOR
        };
        let stuck = self.granted.iter().filter(is_stuck).count();
        let stuck = u32::try_from(stuck).unwrap_or(u32::MAX).min(self.slots.all);
        number(self.in_progress.saturating_sub(stuck)) + 1.0 <= self.limit
    }

    /// Returns whether a query that is worked on from now on can be answered in time, as far as is
    /// known.
    pub(super) fn can_answer(&self, work: Work, now: Instant) -> bool {
        let left = work.due.saturating_duration_since(now).as_secs_f32();
        left > self.service_time(work.route).unwrap_or(0.0)
    }

    /// Returns the expected wait of a query behind those that go first, in seconds.
    fn wait_s(&self, work: Work, now: Instant) -> f32 {
        if self.has_room(now) {
            return 0.0;
        }
        let ahead = self.waiting[..=work.urgency.band()].iter().flatten();
        let queued_s: f32 = ahead
            .filter(|waiter| waiter.work.due > now)
            .filter_map(|waiter| self.service_time(waiter.work.route))
            .sum();
        (queued_s + self.in_progress_s / 2.0) / self.speed()
    }

    /// Returns how much work the shard does per second, in seconds.
    pub(super) fn speed(&self) -> f32 {
        let least = self.limit * MIN_SPEED;
        self.done_rate
            .map_or(self.limit, |rate| rate.clamp(least, self.limit))
    }

    /// Returns whether a query could not be answered in time behind those that go first. Records its
    /// wait for the threshold.
    pub(super) fn is_hopeless(&mut self, work: Work, now: Instant) -> bool {
        let wait_s = self.wait_s(work, now);
        let due_in_s = work.due.saturating_duration_since(now).as_secs_f32();
        self.window.add_wait(work.urgency, wait_s, due_in_s);
        let Some(service_s) = self.service_time(work.route) else {
            return false;
        };
        wait_s > 0.0 && wait_s + service_s > due_in_s
    }

    /// Queues a query. Returns false if there are too many.
    pub(super) fn queue(&mut self, waiter: Waiter<W>) -> bool {
        let has_room = self.waiting() < MAX_WAITING;
        if has_room {
            let band = waiter.work.urgency.band();
            self.window.on_contention();
            let cost_s = self.service_time(waiter.work.route).unwrap_or(0.0);
            self.window.on_sent(waiter.work.urgency, cost_s);
            self.last_band = self.last_band.max(band);
            self.waiting[band].push_back(waiter);
        }
        has_room
    }

    pub(super) fn pop(&mut self) -> Option<Waiter<W>> {
        self.waiting.iter_mut().find_map(VecDeque::pop_front)
    }

    pub(super) fn grant(&mut self, work: Work, entered: Instant, now: Instant) -> Permit {
        let cost_s = self.service_time(work.route).unwrap_or(0.0);
        self.in_progress += 1;
        self.granted.push((now, cost_s.max(SHORTEST_S)));
        self.in_progress_s += cost_s;
        self.last_band = self.last_band.max(work.urgency.band());
        let is_contended = self.in_progress > self.slots.preferred;
        if entered == now {
            self.window.on_sent(work.urgency, cost_s);
        }
        Permit {
            work,
            granted: now,
            cost_s,
            is_contended,
        }
    }

    pub(super) fn on_end(&mut self, permit: Permit, end: End, now: Instant) {
        self.in_progress = self.in_progress.saturating_sub(1);
        let mut granted = self.granted.iter();
        if let Some(position) = granted.position(|granted| granted.0 == permit.granted) {
            self.granted.swap_remove(position);
        }
        self.in_progress_s = (self.in_progress_s - permit.cost_s).max(0.0);
        if self.in_progress == 0 {
            self.in_progress_s = 0.0;
        }
        let route = permit.work.route;
        let at_leafs_s = now.saturating_duration_since(permit.granted).as_secs_f32();
        if end == End::Answered {
            self.add_service_time(route, at_leafs_s, permit.is_contended);
            self.window.done_s += permit.cost_s;
        }
        if let Some(service_s) = self.service_time(route) {
            // What was given up early says nothing about the leafs.
            if end == End::Answered || at_leafs_s > service_s {
                self.window.add_slowdown(at_leafs_s / service_s.max(1e-4));
            }
        }
        self.advance(self.slots, now);
    }

    pub(super) fn on_leaf_refusal(&mut self) {
        self.window.refused += 1;
    }

    fn service_time(&self, route: u64) -> Option<f32> {
        let known = self.service_times.iter().find(|time| time.route == route)?;
        Some(known.mean_s)
    }

    /// Adds a latency. One that may include a wait only lowers the mean.
    fn add_service_time(&mut self, route: u64, sample_s: f32, is_contended: bool) {
        let times = &mut self.service_times;
        if let Some(known) = times.iter_mut().find(|time| time.route == route) {
            if !is_contended || sample_s < known.mean_s {
                known.mean_s += (sample_s - known.mean_s) * SAMPLE_WEIGHT;
            }
            return;
        }
        if times.len() >= MAX_ROUTES {
            times.remove(0);
        }
        times.push(ServiceTime {
            route,
            mean_s: sample_s,
        });
    }

    /// Adapts the limit and the threshold if the current window has ended.
    pub(super) fn advance(&mut self, slots: Slots, now: Instant) {
        self.slots = slots;
        let Some(windows) = self.window.elapsed(now) else {
            return;
        };
        let window = std::mem::replace(&mut self.window, Window::new(now));
        self.adapt_limit(&window);
        self.adapt_rates(&window, now);
        self.adapt_threshold(&window, windows);
    }

    fn adapt_rates(&mut self, window: &Window, now: Instant) {
        let length_s = window.length_s(now);
        let weighted = |mean: f32, sample: f32| mean + (sample - mean) * RATE_WEIGHT;
        for (rate, sent_s) in self.sent_rates.iter_mut().zip(window.sent_s) {
            *rate = weighted(*rate, sent_s / length_s);
        }
        // Without waiting queries, the rate shows the load and not what the shard can do.
        self.done_rate = window.is_contended().then(|| {
            weighted(
                self.done_rate.unwrap_or(self.limit),
                window.done_s / length_s,
            )
        });
    }

    fn adapt_threshold(&mut self, window: &Window, windows: u32) {
        let pressure = window.pressure();
        let is_refused = window.refused_share() > MAX_REFUSED;
        if pressure.share > LONG_WAIT || is_refused {
            self.overloaded += 1;
        } else {
            self.overloaded = 0;
        }
        if self.threshold == Threshold::OPEN {
            if self.overloaded < MIN_OVERLOADED {
                return;
            }
            self.threshold = self.threshold.capped(self.last_band);
        }
        if pressure.share == 0.0 && !is_refused {
            self.rise(windows);
            return;
        }
        self.quiet = 0;
        let share = if is_refused {
            pressure.share.max(1.0)
        } else {
            pressure.share
        };
        let speed = self.speed();
        let correction = (AIM - share) * pressure.due_in_s * speed / CORRECTION_S;
        let sent: f32 = self.sent_rates.iter().sum();
        let change = (speed + correction - sent) * GAIN;
        self.threshold = if change < 0.0 {
            self.threshold.lowered(-change, &self.sent_rates)
        } else {
            self.threshold
                .raised_by_work(change, &self.sent_rates, MAX_RISE, self.last_band)
        };
        // Nothing has happened since the window was long enough.
        self.rise(windows.saturating_sub(MAX_LENGTHS));
    }

    /// Raises the threshold after windows in which no query waited.
    fn rise(&mut self, windows: u32) {
        for _ in 0..windows.min(MAX_IDLE_WINDOWS) {
            let rise = FIRST_RISE * f64::from(1 << self.quiet.min(8));
            self.quiet += 1;
            let rise = rise.min(LARGEST_RISE);
            self.threshold = self.threshold.raised(rise, self.last_band);
        }
    }

    fn adapt_limit(&mut self, window: &Window) {
        if let Some(slowdown) = window.slowdown() {
            let at_leafs = self.limit * (1.0 - 1.0 / slowdown.max(1.0));
            if at_leafs > MANY_AT_LEAFS {
                self.limit -= 1.0;
            } else if at_leafs < FEW_AT_LEAFS && window.is_contended() {
                self.limit += 1.0;
            }
        }
        let smallest = number(self.slots.preferred.max(1));
        let largest = number(self.slots.all.max(1)) * MAX_PER_SLOT;
        self.limit = self.limit.clamp(smallest, largest.max(smallest));
    }
}
