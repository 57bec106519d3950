//! Tests of limits that leafs set on the requests from all instances together, in virtual time.

mod serving_support;

use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::serving::Fleet;
use camphorhold::coordination::serving::fleet::CallResult;
use camphorhold::coordination::serving::fleet::LimitChange;
use camphorhold::coordination::serving::rate_limit::CLAIM_INTERVAL;
use camphorhold::coordination::serving::rate_limit::Grantor;
use camphorhold::coordination::serving::rate_limit::LEASE_LIFETIME;
use camphorhold::coordination::serving::rate_limit::Precedence;
use camphorhold::state::rate::RequestRate;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serving_support::AMPLE_LIMITS;
use serving_support::fleet;
use serving_support::ms;

/// The span over which the requests to a leaf are counted.
const WINDOW: Duration = Duration::from_secs(4);

const STEP: Duration = Duration::from_millis(1);

fn rate(per_second: f64) -> RequestRate {
    per_second.try_into().expect("a rate")
}

/// Returns the fleet of an instance with one leaf, which has just named a limit.
fn limited_fleet(limit: f64, now: Instant) -> Fleet {
    let mut fleet = fleet(&[("l", "s", "a")], now);
    let leaf = fleet.choose("s", AMPLE_LIMITS, now, &[], 0.0);
    fleet.on_limit(leaf.expect("the leaf"), Some(rate(limit)), now, now);
    fleet
}

/// Instances that call one leaf with a limit, each with its own rate of requests.
struct World {
    now: Instant,
    random: SmallRng,
    limit: f64,
    instances: Vec<(Fleet, f64)>,
    claim_at: Vec<Instant>,
    grantors: Vec<(Grantor, Precedence)>,
    // The grantor that each instance asks.
    asked: Vec<usize>,
    sent: Vec<Instant>,
}

impl World {
    fn new(seed: u64, limit: f64, rates: &[f64]) -> Self {
        let now = Instant::now();
        let mut random = SmallRng::seed_from_u64(seed);
        let first_claim = |_| now + CLAIM_INTERVAL.mul_f64(random.random());
        Self {
            now,
            limit,
            claim_at: rates.iter().map(first_claim).collect(),
            instances: rates
                .iter()
                .map(|rate| (limited_fleet(limit, now), *rate))
                .collect(),
            grantors: vec![
                (Grantor::default(), Precedence::First),
                (Grantor::default(), Precedence::Substitute),
            ],
            asked: vec![0; rates.len()],
            sent: Vec::new(),
            random,
        }
    }

    /// Runs for that long.
    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            for index in 0..self.instances.len() {
                self.send(index);
                if self.now >= self.claim_at[index] {
                    self.claim(index);
                }
            }
        }
    }

    fn send(&mut self, index: usize) {
        let (fleet, rate_of_requests) = &mut self.instances[index];
        if self.random.random::<f64>() >= *rate_of_requests * STEP.as_secs_f64() {
            return;
        }
        if let Some(leaf) = fleet.choose("s", AMPLE_LIMITS, self.now, &[], 0.0) {
            fleet.on_sent(leaf, ms(5), self.now);
            fleet.on_limit(leaf, Some(rate(self.limit)), self.now, self.now);
            fleet.on_result(leaf, self.now, CallResult::Answered(ms(5)), self.now);
            self.sent.push(self.now);
        }
    }

    fn claim(&mut self, index: usize) {
        let (fleet, rate_of_requests) = &mut self.instances[index];
        let (grantor, precedence) = &mut self.grantors[self.asked[index]];
        for (leaf, claim) in fleet.claim_tokens(|_| *rate_of_requests, self.now) {
            let tokens = grantor.grant(&index.to_string(), &claim, *precedence, self.now);
            fleet.on_granted(leaf, tokens, self.now + LEASE_LIFETIME);
        }
        self.claim_at[index] = self.now + CLAIM_INTERVAL;
    }

    /// Returns the most requests in any [`WINDOW`].
    fn busiest_window(&self) -> usize {
        let in_window = |start: &Instant| {
            let in_window = |at: &&Instant| **at >= *start && **at < *start + WINDOW;
            self.sent.iter().filter(in_window).count()
        };
        self.sent.iter().map(in_window).max().unwrap_or(0)
    }

    #[expect(clippy::cast_precision_loss, reason = "the count is small")]
    fn assert_bound(&self, case: &str) {
        let busiest = self.busiest_window() as f64;
        let allowed = self.limit * WINDOW.as_secs_f64() * 1.5 + 5.0;
        assert!(busiest <= allowed, "{case}: {busiest} of {allowed}");
    }
}

/// Guards against more requests than a leaf permits, whatever the limit and however the requests
/// are divided among the instances.
#[test]
fn the_requests_of_all_instances_stay_within_the_limit() {
    for (seed, limit) in [0.0, 0.4, 3.0, 25.0, 400.0].into_iter().enumerate() {
        for rates in [&[13.0; 7][..], &[80.0, 1.0, 1.0], &[0.5; 40], &[300.0; 3]] {
            let mut world = World::new(seed as u64, limit, rates);
            world.run(Duration::from_secs(12));
            world.assert_bound(&format!("limit {limit}, rates {rates:?}"));
        }
    }
}

/// Guards against a limit that is hardly used because it is divided among instances that have no
/// requests.
#[test]
fn instances_with_requests_use_most_of_the_limit() {
    for rates in [&[13.0; 7][..], &[80.0, 1.0, 1.0, 1.0, 1.0]] {
        let mut world = World::new(1, 25.0, rates);
        world.run(Duration::from_secs(12));
        let sent = world.sent.len();
        assert!(sent >= 25 * 12 * 8 / 10, "{sent} with rates {rates:?}");
    }
}

/// Guards against more requests than permitted while some instances ask the regular grantor and
/// others its substitute, as they do when it stops or comes back.
#[test]
fn a_change_of_the_grantor_keeps_the_limit() {
    let mut world = World::new(3, 20.0, &[10.0; 10]);
    world.run(Duration::from_secs(5));
    for index in 0..5 {
        world.asked[index] = 1;
    }
    world.run(Duration::from_secs(3));
    world.asked.fill(1);
    world.run(Duration::from_secs(3));
    world.grantors[0] = (Grantor::default(), Precedence::First);
    for index in 0..10 {
        world.asked[index] = 0;
        world.run(ms(100));
    }
    world.run(Duration::from_secs(5));
    world.assert_bound("change of the grantor");
}

/// Guards against a burst after a time in which nobody called the leaf.
#[test]
fn tokens_are_not_saved_up_while_nobody_needs_them() {
    let mut world = World::new(4, 3.0, &[2.0; 40]);
    world.run(Duration::from_secs(2));
    for (_, rate_of_requests) in &mut world.instances {
        *rate_of_requests = 0.0;
    }
    world.run(Duration::from_secs(10));
    for (_, rate_of_requests) in &mut world.instances {
        *rate_of_requests = 2.0;
    }
    world.run(Duration::from_secs(6));
    world.assert_bound("burst after a pause");
}

/// Guards against a limit that stays after the leaf has lifted it, and against one that an answer
/// from before it was named lifts.
#[test]
fn a_limit_ends_with_an_answer_to_a_later_call_that_does_not_name_it() {
    let start = Instant::now();
    let mut fleet = fleet(&[("l", "s", "a")], start);
    let leaf = fleet.choose("s", AMPLE_LIMITS, start, &[], 0.0).unwrap();
    let limit = rate(10.0);
    let set = fleet.on_limit(leaf, Some(limit), start, start + ms(20));
    assert_eq!(set, Some(LimitChange::Set(limit)));
    assert_eq!(
        fleet.on_limit(leaf, None, start + ms(10), start + ms(30)),
        None
    );
    let later = start + ms(40);
    assert_eq!(fleet.choose("s", AMPLE_LIMITS, later, &[], 0.0), None);
    let lifted = fleet.on_limit(leaf, None, later, later + ms(5));
    assert_eq!(lifted, Some(LimitChange::Lifted(limit)));
    let chosen = fleet.choose("s", AMPLE_LIMITS, later + ms(5), &[], 0.0);
    assert_eq!(chosen, Some(leaf));
}

/// Guards against tokens that are used after they have expired, and after they were returned.
#[test]
fn tokens_cannot_be_used_after_their_end() {
    let start = Instant::now();
    let mut fleet = fleet(&[("l", "s", "a")], start);
    let leaf = fleet.choose("s", AMPLE_LIMITS, start, &[], 0.0).unwrap();
    fleet.on_limit(leaf, Some(rate(10.0)), start, start);
    fleet.on_granted(leaf, 2, start + LEASE_LIFETIME);
    let choose = |fleet: &Fleet, now| fleet.choose("s", AMPLE_LIMITS, now, &[], 0.0);
    assert_eq!(
        choose(&fleet, start + LEASE_LIFETIME.saturating_sub(STEP)),
        Some(leaf)
    );
    assert_eq!(choose(&fleet, start + LEASE_LIFETIME), None);
    let claims = fleet.claim_tokens(|_| 10.0, start + ms(10));
    assert_eq!(claims[0].1.returned, 2);
    assert_eq!(choose(&fleet, start + ms(10)), None);
}

/// Guards against a limit that is read from a text that is no rate.
#[test]
fn a_rate_is_a_finite_number_of_at_least_zero() {
    assert_eq!("24.2".parse(), Ok(rate(24.2)));
    assert_eq!(" 0 ".parse(), Ok(rate(0.0)));
    for text in ["", "-1", "NaN", "inf", "1e400", "10/s"] {
        assert!(text.parse::<RequestRate>().is_err(), "{text}");
    }
}
