//! Compares models of the leafs of one shard in virtual time, by which an owner chooses a leaf.
//!
//! Leafs have two slots and a queue, and other instances, which the owner does not see, ask them for a
//! tenth of what they can do. Prints figures and asserts nothing; the seeds are fixed. Run with
//! `cargo run --release -p camphorhold --example leaf_models`.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "counts and times of a simulation"
)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::serving::Fleet;
use camphorhold::coordination::serving::fleet::CallResult;
use camphorhold::coordination::serving::fleet::LeafEntry;
use camphorhold::coordination::serving::fleet::LeafKey;
use camphorhold::coordination::serving::fleet::LeafLimits;
use camphorhold::coordination::serving::fleet::Standing;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SLOTS: usize = 2;
/// The work of a call, in seconds at speed 1.
const WORK: f64 = 0.009;
const END: f64 = 12.0;
/// When the leaf that changes is slow.
const SLOW: std::ops::Range<f64> = 4.0..8.0;
const LIMITS: LeafLimits = LeafLimits {
    max_connections: 1_000,
    cold_rate: None,
};

/// How a leaf behaves.
#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Steady(f64),
    /// Pauses for 250 ms each 3 s.
    Pausing,
    /// Two calls at a time take twice as long each.
    Saturating,
    /// Three times as slow during [`SLOW`].
    Changing,
}

const KINDS: [Kind; 6] = [
    Kind::Steady(1.0),
    Kind::Steady(0.8),
    Kind::Steady(1.3),
    Kind::Pausing,
    Kind::Saturating,
    Kind::Changing,
];

/// The calls at a time that all leafs can do, in terms of speed.
const CAPACITY: f64 = 2.0 + 1.6 + 2.6 + 1.83 + 1.0 + 2.0;

#[derive(Default)]
struct Leaf {
    running: usize,
    queue: VecDeque<usize>,
}

/// How leafs are chosen.
#[derive(Clone, Copy, Debug)]
enum Approach {
    /// The score of the fleet.
    Fleet,
    /// A limit per leaf that grows with answers in time and shrinks with late ones.
    Aimd,
    /// A limit per leaf that follows the ratio of the shortest latency to the latest.
    Gradient,
    /// Latency as a line over the owner's calls in progress.
    LeastSquares,
    /// The service time, from latency and the owner's calls in progress.
    ServiceTime,
}

/// What an approach knows about a leaf.
#[derive(Clone)]
struct Learned {
    in_flight: Vec<f64>,
    limit: f64,
    decreased: f64,
    // Sums of a weighted regression of latency over calls in progress.
    sums: [f64; 5],
    service: f64,
    at: f64,
}

struct World {
    rng: ChaCha8Rng,
    now: f64,
    leafs: Vec<Leaf>,
    learned: Vec<Learned>,
    fleet: Fleet,
    keys: Vec<LeafKey>,
    start: Instant,
    // Each call: its leaf, when it was sent, the calls in progress then, and whether it is the owner's.
    calls: Vec<(usize, f64, usize, bool)>,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    latencies: Vec<(f64, usize, f64)>,
}

/// The weight of what was learned that long ago.
fn remaining(age: f64) -> f64 {
    (-age).exp()
}

impl Learned {
    fn score(&self, approach: Approach, now: f64) -> f64 {
        let calls = self.in_flight.len() as f64 + 1.0;
        let weight = remaining((now - self.at) / 2.0);
        let score = match approach {
            Approach::Fleet => 0.0,
            Approach::Aimd | Approach::Gradient => calls / self.limit * WORK,
            Approach::LeastSquares => {
                let [n, x, y, xx, xy] = self.sums;
                // A few samples of the usual latency keep the line flat while little is known.
                let (n, y) = (n + 2.0, y + 2.0 * WORK);
                let (x, xx, xy) = (x + 2.0, xx + 3.0, xy + 2.0 * WORK);
                let slope = ((n * xy - x * y) / (n * xx - x * x).max(1e-9)).max(0.0);
                let base = (y - slope * x) / n;
                let line = (base + slope * calls).max(0.001);
                WORK + (line - WORK) * weight
            }
            Approach::ServiceTime => {
                let service = WORK + (self.service - WORK) * weight;
                service * (calls / SLOTS as f64).max(1.0)
            }
        };
        let oldest = self.in_flight.iter().fold(now, |a, b| a.min(*b));
        if now - oldest > 2.5 * WORK * (calls / SLOTS as f64).max(1.0) {
            score.max(now - oldest)
        } else {
            score
        }
    }

    fn learn(&mut self, approach: Approach, latency: f64, calls: usize, best: f64, now: f64) {
        let calls = calls as f64;
        match approach {
            Approach::Fleet => {}
            Approach::Aimd if latency > 2.0 * best => {
                if now - self.decreased > 0.1 {
                    self.limit = (self.limit * 0.7).max(0.5);
                    self.decreased = now;
                }
            }
            Approach::Aimd => self.limit = (self.limit + 0.2 / self.limit).min(8.0),
            Approach::Gradient => {
                let gradient = (1.5 * best / latency).clamp(0.5, 1.0);
                let target = self.limit * gradient + self.limit.sqrt() * 0.5;
                self.limit = (self.limit * 0.9 + target * 0.1).clamp(0.5, 8.0);
            }
            Approach::LeastSquares => {
                let weight = remaining(now - self.at);
                let sample = [1.0, calls, latency, calls * calls, calls * latency];
                for (sum, sample) in self.sums.iter_mut().zip(sample) {
                    *sum = *sum * weight.min(0.95) + sample.min(1e3);
                }
            }
            Approach::ServiceTime => {
                let sample = latency / (calls / SLOTS as f64).max(1.0);
                // One pause does not make a leaf slow.
                let sample = sample.min(4.0 * self.service);
                self.service += (sample - self.service) * 0.1;
            }
        }
        self.at = now;
    }
}

impl World {
    fn new(seed: u64) -> Self {
        let start = Instant::now();
        let mut fleet = Fleet::new("a".into());
        let keys = (0..KINDS.len()).filter_map(|number| {
            let entry = LeafEntry {
                id: number.to_string().into(),
                started_unix_ms: None,
                write_number: 1,
                service: "s".into(),
                address: SocketAddr::from(([10, 0, 0, 1], 80)),
                domain: "a".into(),
                version: "v".into(),
                slots: SLOTS as u32,
                standing: Standing::Ready,
                cold_remaining: Duration::ZERO,
            };
            fleet.update(entry, start)
        });
        let keys = keys.collect();
        let learned = Learned {
            in_flight: Vec::new(),
            limit: 2.0,
            decreased: 0.0,
            sums: [0.0; 5],
            service: WORK,
            at: 0.0,
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0.0,
            leafs: KINDS.iter().map(|_| Leaf::default()).collect(),
            learned: vec![learned; KINDS.len()],
            fleet,
            keys,
            start,
            calls: Vec::new(),
            events: BinaryHeap::new(),
            latencies: Vec::new(),
        }
    }

    fn instant(&self, at: f64) -> Instant {
        self.start + Duration::from_secs_f64(at)
    }

    fn choose(&mut self, approach: Approach) -> usize {
        let jitter: f32 = self.rng.random();
        if matches!(approach, Approach::Fleet) {
            let now = self.instant(self.now);
            let key = self.fleet.choose("s", LIMITS, now, &[], jitter);
            return self
                .keys
                .iter()
                .position(|other| Some(*other) == key)
                .unwrap_or(0);
        }
        let first = (jitter * KINDS.len() as f32) as usize;
        let order = (0..KINDS.len()).map(|offset| (first + offset) % KINDS.len());
        let scores = order.map(|leaf| (leaf, self.learned[leaf].score(approach, self.now)));
        let best = scores.min_by(|a, b| a.1.total_cmp(&b.1));
        best.map_or(0, |best| best.0)
    }

    fn send(&mut self, leaf: usize, is_own: bool) {
        let now = self.instant(self.now);
        if is_own {
            self.learned[leaf].in_flight.push(self.now);
            let expected = Duration::from_secs_f64(WORK);
            self.fleet.on_sent(self.keys[leaf], expected, now);
        }
        let in_flight = self.learned[leaf].in_flight.len();
        self.calls.push((leaf, self.now, in_flight, is_own));
        self.leafs[leaf].queue.push_back(self.calls.len() - 1);
        self.start_calls(leaf);
    }

    fn start_calls(&mut self, leaf: usize) {
        while self.leafs[leaf].running < SLOTS {
            let Some(call) = self.leafs[leaf].queue.pop_front() else {
                return;
            };
            self.leafs[leaf].running += 1;
            let mut time = WORK * self.rng.random_range(0.8..1.2);
            match KINDS[leaf] {
                Kind::Steady(speed) => time /= speed,
                Kind::Pausing => {
                    let since = self.now % 3.0;
                    if since < 0.25 {
                        time += 0.25 - since;
                    } else if since + time > 3.0 {
                        time += 0.25;
                    }
                }
                Kind::Saturating if self.leafs[leaf].running > 1 => time *= 2.0,
                Kind::Changing if SLOW.contains(&self.now) => time *= 3.0,
                Kind::Saturating | Kind::Changing => {}
            }
            let end = ((self.now + time) * 1e6) as u64;
            self.events.push(Reverse((end, call as u64, call)));
        }
    }

    fn on_end(&mut self, approach: Approach, call: usize) {
        let (leaf, sent, in_flight, is_own) = self.calls[call];
        self.leafs[leaf].running -= 1;
        self.start_calls(leaf);
        if !is_own {
            return;
        }
        let latency = self.now - sent;
        self.latencies.push((sent, leaf, latency));
        let learned = &mut self.learned[leaf];
        if let Some(position) = learned
            .in_flight
            .iter()
            .position(|other| (*other - sent).abs() < 1e-9)
        {
            learned.in_flight.swap_remove(position);
        }
        learned.learn(approach, latency, in_flight, WORK, self.now);
        let (sent, now) = (self.instant(sent), self.instant(self.now));
        let result = CallResult::Answered(now.saturating_duration_since(sent));
        self.fleet.on_result(self.keys[leaf], sent, result, now);
    }

    fn run(mut self, approach: Approach, load: f64) -> Self {
        let own = load * CAPACITY / WORK;
        let other = 0.1 * CAPACITY / WORK;
        let mut next = [0.0, 0.0];
        while self.now < END {
            let arrival = usize::from(next[0] > next[1]);
            let end = self.events.peek().map(|event| event.0.0 as f64 / 1e6);
            if let Some(end) = end
                && end <= next[arrival]
                && let Some(Reverse((_, _, call))) = self.events.pop()
            {
                self.now = self.now.max(end);
                self.on_end(approach, call);
                continue;
            }
            self.now = next[arrival];
            let leaf = if arrival == 0 {
                self.choose(approach)
            } else {
                self.rng.random_range(0..KINDS.len())
            };
            self.send(leaf, arrival == 0);
            let rate = [own, other][arrival];
            next[arrival] -= (1.0 - self.rng.random::<f64>()).ln() / rate;
        }
        self
    }

    /// Returns the mean, the 99th percentile and the share of calls above 60 ms, in milliseconds.
    fn latency(&self) -> (f64, f64, f64) {
        let mut sorted: Vec<f64> = self.latencies.iter().map(|sample| sample.2).collect();
        sorted.sort_by(f64::total_cmp);
        let mean = sorted.iter().sum::<f64>() / sorted.len() as f64;
        let late = sorted.iter().filter(|latency| **latency > 0.06).count();
        (
            mean * 1e3,
            sorted[sorted.len() * 99 / 100] * 1e3,
            late as f64 / sorted.len() as f64,
        )
    }

    /// Returns the share of the calls of a time that a leaf got.
    fn share(&self, leaf: usize, time: std::ops::Range<f64>) -> f64 {
        let of_time = self
            .latencies
            .iter()
            .filter(|sample| time.contains(&sample.0));
        let all = of_time.clone().count() as f64;
        of_time.filter(|sample| sample.1 == leaf).count() as f64 / all
    }
}

fn main() {
    for load in [0.1, 0.4, 0.6, 0.75] {
        for approach in [
            Approach::Fleet,
            Approach::Aimd,
            Approach::Gradient,
            Approach::LeastSquares,
            Approach::ServiceTime,
        ] {
            let runs: Vec<World> = (1..=5)
                .map(|seed| World::new(seed).run(approach, load))
                .collect();
            let mean = |value: &dyn Fn(&World) -> f64| {
                runs.iter().map(value).sum::<f64>() / runs.len() as f64
            };
            println!(
                "load {load} {approach:?}: mean {:.1} ms, p99 {:.0} ms, above 60 ms {:.4}; share of the slow leaf {:.3}, {:.3} just after, {:.3} late, {:.3} recovered; pausing {:.3}, saturating {:.3}",
                mean(&|world| world.latency().0),
                mean(&|world| world.latency().1),
                mean(&|world| world.latency().2),
                mean(&|world| world.share(5, 2.0..4.0)),
                mean(&|world| world.share(5, 4.5..5.0)),
                mean(&|world| world.share(5, 6.0..8.0)),
                mean(&|world| world.share(5, 9.5..11.5)),
                mean(&|world| world.share(3, 2.0..12.0)),
                mean(&|world| world.share(4, 2.0..12.0)),
            );
        }
    }
}
