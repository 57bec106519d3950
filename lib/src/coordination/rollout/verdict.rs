//! The judgement of a new version, per service and route, against the old version at the same time.
//!
//! Error probabilities: a good version is judged as bad with a probability of at most
//! [`FALSE_ALARM_PROBABILITY`] over the whole rollout. A version that is worse by the tolerance of
//! a step passes that step with a probability of at most [`MISS_PROBABILITY`]. If it is worse on a
//! single route, that holds from the step at 20 % on. Tolerances shrink as the share grows, so that
//! the first steps need little traffic while the harm (share times tolerance) stays small.

use std::collections::BTreeMap;

use super::Reason;
use super::evidence::Pair;
use super::evidence::Pool;
use super::evidence::Step;
use super::sequential::to_f64;
pub use super::trial::FALSE_ALARM_PROBABILITY;
pub use super::trial::MISS_PROBABILITY;
use super::trial::Metric;
use super::trial::RouteTrial;
use crate::state::id::InstanceId;
use crate::state::id::RolloutId;
use crate::state::id::Route;
use crate::state::id::ServiceName;

/// Routes with less than this fraction of a service's requests need no proof of their own, because
/// it would delay a rollout for hours. Faults on them are still detected.
const RARE_ROUTE: f64 = 0.01;

/// Up to this share, in thousandths, a service needs one proof over all its routes. At 1 %, a proof
/// per route would take hours for a small service, and a faulty route harms at most this share of
/// its requests.
const SERVICE_PROOF_SHARE: u16 = 50;

/// The verdict on the new version, from the evidence so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The new version is worse than the old one.
    Bad(Reason),
    /// The evidence is not sufficient for another verdict.
    Inconclusive,
    /// The new version is not worse by the tolerance of the current step.
    Proved,
}

/// Judges one rollout.
#[derive(Clone, Debug)]
pub struct Judge {
    rollout: RolloutId,
    services: Vec<ServiceName>,
    share_permille: u16,
    /// The sequence number and the step of the last report of every instance.
    seen: BTreeMap<InstanceId, (u64, Step)>,
    routes: BTreeMap<ServiceName, BTreeMap<Route, RouteTrial>>,
    /// All routes of a service together, used only for the proof up to [`SERVICE_PROOF_SHARE`].
    service_trials: BTreeMap<ServiceName, RouteTrial>,
    bad: Option<Reason>,
}

impl Judge {
    /// Creates a judge without evidence, at share 0.
    #[must_use]
    pub fn new(rollout: RolloutId, services: Vec<ServiceName>) -> Self {
        Self {
            rollout,
            services,
            share_permille: 0,
            seen: BTreeMap::new(),
            routes: BTreeMap::new(),
            service_trials: BTreeMap::new(),
            bad: None,
        }
    }

    /// Starts a new proof under another share, and keeps the evidence of faults. Does nothing if
    /// the share is unchanged.
    pub fn begin_step(&mut self, share_permille: u16) {
        if self.share_permille == share_permille {
            return;
        }
        self.share_permille = share_permille;
        for route in self.routes.values_mut().flat_map(BTreeMap::values_mut) {
            route.begin_step();
        }
        self.service_trials
            .values_mut()
            .for_each(RouteTrial::begin_step);
    }

    /// Adds the requests counted since the last look, and judges. A bad verdict is final.
    pub fn look(&mut self, pool: &Pool) -> Verdict {
        for (service, routes) in self.increments(pool) {
            let sum = routes
                .values()
                .fold(Pair::default(), |sum, pair| sum.plus(*pair));
            let whole = self.service_trials.entry(service.clone());
            let whole = whole.or_insert_with(|| RouteTrial::new(1));
            whole.observe(sum, self.share_permille);
            for (route, pair) in routes {
                self.observe(&service, &route, pair);
            }
        }
        self.bad = self.bad.take().or_else(|| self.fault());
        match &self.bad {
            Some(reason) => Verdict::Bad(reason.clone()),
            None if self.proved() => Verdict::Proved,
            None => Verdict::Inconclusive,
        }
    }

    /// Returns the requests counted under the current share since the last look, summed over the
    /// instances.
    fn increments(&mut self, pool: &Pool) -> BTreeMap<ServiceName, BTreeMap<Route, Pair>> {
        let mut sums: BTreeMap<ServiceName, BTreeMap<Route, Pair>> = BTreeMap::new();
        self.seen
            .retain(|instance, _| pool.get(*instance).is_some());
        for (instance, report) in pool.iter() {
            let Some(step) = report.rollouts.get(&self.rollout) else {
                continue;
            };
            if step.share_permille != self.share_permille {
                continue;
            }
            let seen = self.seen.get(instance);
            if seen.is_some_and(|(sequence, _)| *sequence == report.sequence) {
                continue;
            }
            let seen = seen.map(|(_, step)| step);
            let seen = seen.filter(|seen| seen.share_permille == step.share_permille);
            for (service, routes) in &step.routes {
                for (route, pair) in routes {
                    let earlier = seen
                        .and_then(|seen| seen.routes.get(service)?.get(route))
                        .copied()
                        .unwrap_or_default();
                    let sums = sums.entry(service.clone()).or_default();
                    let sum = sums.entry(route.clone()).or_default();
                    *sum = sum.plus(pair.since(earlier));
                }
            }
            self.seen.insert(*instance, (report.sequence, step.clone()));
        }
        sums
    }

    fn observe(&mut self, service: &ServiceName, route: &Route, pair: Pair) {
        if pair == Pair::default() {
            return;
        }
        let known: usize = self.routes.values().map(BTreeMap::len).sum();
        let trials = self.routes.entry(service.clone()).or_default();
        let trial = trials
            .entry(route.clone())
            .or_insert_with(|| RouteTrial::new(known as u64 + 1));
        trial.observe(pair, self.share_permille);
    }

    fn fault(&self) -> Option<Reason> {
        self.routes.iter().find_map(|(service, routes)| {
            routes.iter().find_map(|(route, trial)| {
                let (service, route) = (service.clone(), route.clone());
                trial.fault(self.share_permille).map(|metric| match metric {
                    Metric::Failures => Reason::Failing { service, route },
                    Metric::Slowness => Reason::Slow { service, route },
                })
            })
        })
    }

    fn proved(&self) -> bool {
        self.services.iter().all(|service| {
            if self.share_permille <= SERVICE_PROOF_SHARE {
                return self
                    .service_trials
                    .get(service)
                    .is_some_and(RouteTrial::proved);
            }
            let Some(routes) = self.routes.get(service) else {
                return false;
            };
            let requests: u64 = routes.values().map(RouteTrial::requests).sum();
            let rare =
                |route: &RouteTrial| to_f64(route.requests()) < RARE_ROUTE * to_f64(requests);
            let proved = |route: &RouteTrial| rare(route) || route.proved();
            requests > 0 && routes.values().all(proved)
        })
    }
}
