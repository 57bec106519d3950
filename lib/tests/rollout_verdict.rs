//! Measures the error rates of the judge over many seeded runs and compares them with the stated
//! ones.

use std::collections::BTreeMap;

use camphorhold::coordination::rollout::Reason;
use camphorhold::coordination::rollout::evidence::Counters;
use camphorhold::coordination::rollout::evidence::Pair;
use camphorhold::coordination::rollout::evidence::Pool;
use camphorhold::coordination::rollout::evidence::Report;
use camphorhold::coordination::rollout::evidence::Step;
use camphorhold::coordination::rollout::verdict::Judge;
use camphorhold::coordination::rollout::verdict::Verdict;
use camphorhold::state::id::InstanceId;
use camphorhold::state::id::RolloutId;
use camphorhold::state::id::Route;
use camphorhold::state::id::ServiceName;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::RngCore;
use rand_chacha::rand_core::SeedableRng;

/// The error rates of one version at one time, as fractions of its requests.
#[derive(Clone, Copy)]
struct Rates {
    failing: f64,
    slow: f64,
}

/// Generates the counters of one instance and shows them to a judge.
struct Source {
    rng: ChaCha8Rng,
    rollout: RolloutId,
    service: ServiceName,
    routes: Vec<Route>,
    report: Report,
    judge: Judge,
}

impl Source {
    fn new(seed: u64, routes: usize) -> Self {
        let rollout: RolloutId = "move-1".parse().expect("a valid name");
        let service: ServiceName = "roster".parse().expect("a valid name");
        let names = (0..routes).map(|number| format!("route-{number}").parse());
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            routes: names.collect::<Result<_, _>>().expect("valid names"),
            report: Report::default(),
            judge: Judge::new(rollout.clone(), vec![service.clone()]),
            rollout,
            service,
        }
    }

    /// Returns a source whose judge has already seen the usual rates of the old version, as after
    /// earlier steps.
    fn with_history(seed: u64) -> Self {
        let mut source = Self::new(seed, 1);
        source.begin_step(1);
        for _ in 0..40 {
            source.look(10, GOOD, GOOD);
        }
        source
    }

    fn begin_step(&mut self, share_permille: u16) {
        self.judge.begin_step(share_permille);
        let step = Step {
            share_permille,
            routes: BTreeMap::new(),
        };
        self.report.rollouts.insert(self.rollout.clone(), step);
    }

    fn uniform(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    fn draw(&mut self, rates: Rates) -> Counters {
        Counters {
            requests: 1,
            failures: u64::from(self.uniform() < rates.failing),
            timed: 1,
            slow: u64::from(self.uniform() < rates.slow),
        }
    }

    /// Adds `requests` requests to every route and returns the judge's verdict on all evidence.
    fn look(&mut self, requests: u32, old: Rates, new: Rates) -> Verdict {
        for route in self.routes.clone() {
            let share = self.report.rollouts[&self.rollout].share_permille;
            let mut added = Pair::default();
            for _ in 0..requests {
                if self.rng.next_u32() % 1_000 < u32::from(share) {
                    added.new = added.new.plus(self.draw(new));
                } else {
                    added.old = added.old.plus(self.draw(old));
                }
            }
            let step = self.report.rollouts.get_mut(&self.rollout);
            let routes = &mut step.expect("the step has begun").routes;
            let pair = routes.entry(self.service.clone()).or_default();
            let pair = pair.entry(route).or_default();
            *pair = pair.plus(added);
        }
        self.report.sequence += 1;
        let mut pool = Pool::default();
        pool.merge(InstanceId(1), &self.report);
        self.judge.look(&pool)
    }
}

const GOOD: Rates = Rates {
    failing: 0.01,
    slow: 0.05,
};

/// Guards against good versions that are judged as bad because the evidence is looked at
/// repeatedly, or because an outage in the middle of the 20 % step affects both versions. Both
/// versions always have the same rates. The stated rate of false alarms is 1 % over all steps,
/// routes and looks.
#[test]
fn false_alarms_stay_within_the_stated_rate() {
    let runs = 800;
    let mut alarms = 0;
    for seed in 0..runs {
        let mut source = Source::new(seed, 2);
        let failing = [0.0, 0.01, 0.1, 0.3][usize::try_from(seed % 4).expect("small")];
        let rates = Rates { failing, ..GOOD };
        let outage = Rates {
            failing: 0.6,
            slow: 0.3,
        };
        let mut bad = false;
        for share in [10, 50, 200, 500, 1000] {
            source.begin_step(share);
            for look in 0..40 {
                let outage_now = share == 200 && (20..30).contains(&look);
                let now = if outage_now { outage } else { rates };
                bad |= matches!(source.look(10, now, now), Verdict::Bad(_));
            }
        }
        alarms += u64::from(bad);
    }
    println!("false alarms: {alarms} of {runs} runs");
    assert!(alarms * 100 <= runs, "{alarms} of {runs}");
}

/// Runs a step with a new version of these rates, until the verdict or for 1,500 looks. Returns the
/// numbers of the [`RUNS`] runs in which the version was proved and judged as bad.
fn outcomes(share: u16, new: Rates) -> (u64, u64) {
    let (mut proved, mut bad) = (0, 0);
    for seed in 0..RUNS {
        let mut source = Source::with_history(seed);
        source.begin_step(share);
        for _ in 0..1_500 {
            match source.look(10, GOOD, new) {
                Verdict::Inconclusive => continue,
                Verdict::Proved => proved += 1,
                Verdict::Bad(_) => bad += 1,
            }
            break;
        }
    }
    (proved, bad)
}

const RUNS: u64 = 400;

/// Checks that a bad version with these rates is proved at this share in at most 5 % of the runs.
fn check_misses(share: u16, new: Rates) {
    let (proved, bad) = outcomes(share, new);
    println!("at {share}: proved {proved}, judged as bad {bad} of {RUNS}");
    assert!(proved * 20 <= RUNS, "at {share}: {proved} of {RUNS}");
}

/// Guards against a proof on too little evidence. A version that fails more often than the old one
/// by the tolerance of a step may pass that step at most at the stated rate of misses, 5 %.
#[test]
fn failing_versions_pass_a_step_at_most_at_the_stated_rate() {
    for (share, effect) in [(10, 0.5), (50, 0.25), (200, 0.1), (500, 0.05), (1000, 0.1)] {
        let failing = GOOD.failing + effect;
        check_misses(share, Rates { failing, ..GOOD });
    }
}

/// Guards against a proof on too little evidence of latencies. A version that is slow more often
/// than the old one by the tolerance of a step may pass that step at most at the stated rate, 5 %.
#[test]
fn slow_versions_pass_a_step_at_most_at_the_stated_rate() {
    for (share, effect) in [(10, 0.5), (50, 0.3), (200, 0.2), (500, 0.1), (1000, 0.15)] {
        let slow = GOOD.slow + effect;
        check_misses(share, Rates { slow, ..GOOD });
    }
}

/// Guards against a proof that needs more traffic than a small service has. A good version must be
/// proved at 50 % within 1,000 requests in 19 of 20 runs.
#[test]
fn a_good_version_is_proved_with_few_requests() {
    let mut proved = 0;
    for seed in 0..RUNS {
        let mut source = Source::with_history(seed);
        source.begin_step(500);
        let verdicts = (0..100).map(|_| source.look(10, GOOD, GOOD));
        proved += u64::from(
            verdicts
                .into_iter()
                .any(|verdict| verdict == Verdict::Proved),
        );
    }
    println!("proved within 1,000 requests: {proved} of {RUNS}");
    assert!(proved * 20 >= RUNS * 19, "{proved} of {RUNS}");
}

/// Guards against a late verdict on an evident fault: all requests to the new version fail, about
/// ten before the first look.
#[test]
fn a_burst_of_failures_is_judged_as_bad_at_once() {
    let mut source = Source::new(1, 1);
    source.begin_step(500);
    let failing = Rates {
        failing: 1.1,
        slow: 0.0,
    };
    let sound = Rates {
        failing: 0.0,
        slow: 0.0,
    };
    let verdict = source.look(20, sound, failing);
    assert!(
        matches!(verdict, Verdict::Bad(Reason::Failing { .. })),
        "{verdict:?}"
    );
}

/// Guards against a verdict on too little evidence. Two failures of two requests do not make a
/// version bad, and a version without requests is not proved.
#[test]
fn little_evidence_is_inconclusive() {
    let mut source = Source::new(1, 1);
    source.begin_step(10);
    assert_eq!(source.look(0, GOOD, GOOD), Verdict::Inconclusive);
    let mut pool = Pool::default();
    let pair = Pair {
        old: Counters {
            requests: 3,
            ..Counters::default()
        },
        new: Counters {
            requests: 2,
            failures: 2,
            ..Counters::default()
        },
    };
    let routes = BTreeMap::from([(source.routes[0].clone(), pair)]);
    let step = Step {
        share_permille: 10,
        routes: BTreeMap::from([(source.service.clone(), routes)]),
    };
    let report = Report {
        sequence: 9,
        rollouts: BTreeMap::from([(source.rollout.clone(), step)]),
    };
    pool.merge(InstanceId(2), &report);
    assert_eq!(source.judge.look(&pool), Verdict::Inconclusive);
}

/// Guards against a new version that is judged as bad because all requests to both versions fail,
/// for instance in an outage of a dependency that they share.
#[test]
fn an_outage_of_both_versions_is_not_judged_as_bad() {
    let mut source = Source::new(3, 1);
    source.begin_step(500);
    let outage = Rates {
        failing: 1.1,
        slow: 0.0,
    };
    for _ in 0..50 {
        let verdict = source.look(20, outage, outage);
        assert!(!matches!(verdict, Verdict::Bad(_)), "{verdict:?}");
    }
}

/// Guards against a rarely used route that delays a rollout for hours because it needs a proof of
/// its own. It gets one request in 200 looks, and the other route gets ten per look.
#[test]
fn a_rare_route_needs_no_proof() {
    let mut source = Source::with_history(1);
    let main = source.routes.clone();
    source.begin_step(500);
    source.routes = vec!["rare".parse().expect("a valid name")];
    source.look(1, GOOD, GOOD);
    source.routes = main;
    let mut verdicts = (0..200).map(|_| source.look(10, GOOD, GOOD));
    assert!(verdicts.any(|verdict| verdict == Verdict::Proved));
}
