//! Tests of admission in front of a server that is simulated in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use camphorhold::coordination::admission::Action;
use camphorhold::coordination::admission::Admission;
use camphorhold::coordination::admission::MAX_WAIT;
use camphorhold::coordination::admission::Measurement;
use camphorhold::coordination::admission::Offer;
use camphorhold::coordination::admission::Refusal;
use camphorhold::coordination::admission::TenantIndex;
use camphorhold::coordination::admission::Ticket;
use camphorhold::state::file::Objective;
use camphorhold::state::size::Worth;

const SERVICE_TIME: Duration = Duration::from_millis(10);
const DEADLINE: Duration = Duration::from_millis(120);

/// One tenant's requests: evenly spaced, all with cost 1 and the same worth.
#[derive(Clone, Copy)]
struct Load {
    tenant: u32,
    per_second: u64,
    worth: f64,
}

#[derive(Default)]
struct Counts {
    in_time: u64,
    refused: u64,
    late: u64,
}

/// A server behind admission. Each of its slots works on one request for `SERVICE_TIME`; requests
/// that find no free slot queue.
struct Simulation {
    start: Instant,
    admission: Admission,
    slots_free_at: Vec<Instant>,
    // The requests in progress. The key holds the time at which the server finishes a request, the
    // value the time at which admission started it and how long it queued at the server.
    ends: BTreeMap<(Instant, Ticket), (Instant, Duration)>,
    requests: BTreeMap<Ticket, (u32, Instant)>,
    counts: BTreeMap<(u32, u64), Counts>,
    worths: BTreeMap<Ticket, u64>,
}

impl Simulation {
    fn new(objective: Objective, weights: &[f64], capacity: u32, slots: usize) -> Self {
        let start = Instant::now();
        Self {
            start,
            admission: Admission::new(objective, weights, capacity, start),
            slots_free_at: vec![start; slots],
            ends: BTreeMap::new(),
            requests: BTreeMap::new(),
            counts: BTreeMap::new(),
            worths: BTreeMap::new(),
        }
    }

    fn run(&mut self, loads: &[Load], seconds: u64) {
        let mut arrivals: Vec<(Instant, Load)> = Vec::new();
        for load in loads {
            for number in 0..load.per_second * seconds {
                let micros = number * 1_000_000 / load.per_second;
                arrivals.push((self.start + Duration::from_micros(micros), *load));
            }
        }
        arrivals.sort_by_key(|(at, _)| *at);
        for (at, load) in arrivals {
            self.advance(at);
            let deadline = at + DEADLINE;
            let tenant = TenantIndex(load.tenant);
            let offer = Offer {
                tenant,
                deadline,
                worth: Worth(load.worth),
                cost: 1,
            };
            let mut actions = Vec::new();
            let ticket = self.admission.offer(at, &offer, &mut actions);
            self.requests.insert(ticket, (load.tenant, deadline));
            self.worths.insert(ticket, load.worth.to_bits());
            self.perform(at, &actions);
        }
    }

    /// Moves time to `until`, and handles the finished requests and timers on the way in order of
    /// time.
    fn advance(&mut self, until: Instant) {
        loop {
            let end = self.ends.first_key_value().map(|(key, _)| key.0);
            let timer = self.admission.next_wakeup();
            let Some(at) = end.into_iter().chain(timer).min().filter(|at| *at <= until) else {
                return;
            };
            let mut actions = Vec::new();
            if end == Some(at) {
                let ((_, ticket), (started, queueing)) = self.ends.pop_first().expect("not empty");
                let duration = at - started;
                let measurement = Measurement { duration, queueing };
                self.admission
                    .on_finished(at, ticket, measurement, &mut actions);
                let is_late = self.requests[&ticket].1 < at;
                let counts = self.counts_of(ticket);
                *(if is_late {
                    &mut counts.late
                } else {
                    &mut counts.in_time
                }) += 1;
            } else {
                self.admission.on_timer(at, &mut actions);
            }
            self.perform(at, &actions);
        }
    }

    fn perform(&mut self, now: Instant, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Start(ticket) => {
                    let slot = self
                        .slots_free_at
                        .iter_mut()
                        .min()
                        .expect("there are slots");
                    let begin = now.max(*slot);
                    *slot = begin + SERVICE_TIME;
                    self.ends.insert((*slot, ticket), (now, begin - now));
                }
                Action::Refuse(ticket, _) => self.counts_of(ticket).refused += 1,
            }
        }
    }

    fn counts_of(&mut self, ticket: Ticket) -> &mut Counts {
        let key = (self.requests[&ticket].0, self.worths[&ticket]);
        self.counts.entry(key).or_default()
    }

    fn counts_for(&self, tenant: u32, worth: f64) -> &Counts {
        &self.counts[&(tenant, worth.to_bits())]
    }
}

const fn load(tenant: u32, per_second: u64, worth: f64) -> Load {
    Load {
        tenant,
        per_second,
        worth,
    }
}

/// Guards against useful work that collapses under overload: 10 slots of 10 ms serve 1,000
/// requests/s. If the other 1,000/s queue instead of being refused, nearly all answers come too
/// late.
#[test]
fn useful_answers_stay_near_capacity_at_twice_the_load() {
    for objective in [Objective::Coverage, Objective::Worth] {
        let mut simulation = Simulation::new(objective, &[1.0], 10, 10);
        simulation.run(&[load(0, 2000, 1.0)], 10);
        let counts = simulation.counts_for(0, 1.0);
        assert!(counts.in_time >= 9_500, "{objective:?}: {}", counts.in_time);
        assert!(counts.late <= 100, "{objective:?}: {} late", counts.late);
        assert!(
            counts.refused >= 9_000,
            "{objective:?}: {} refused",
            counts.refused
        );
    }
}

/// Guards against reliance on a wrong capacity: the server serves half of what is configured.
/// Unless the limit falls when requests queue at the server, they wait there until they are late.
#[test]
fn the_limit_follows_measured_queueing_when_capacity_is_overstated() {
    let mut simulation = Simulation::new(Objective::Coverage, &[1.0], 20, 10);
    simulation.run(&[load(0, 2000, 1.0)], 10);
    assert!(
        simulation.admission.limit() < 20.0,
        "{}",
        simulation.admission.limit()
    );
    let counts = simulation.counts_for(0, 1.0);
    assert!(counts.in_time >= 9_500, "{}", counts.in_time);
}

/// Guards against a tenant with little load that gets no answers, because another tenant sends
/// three times the server's capacity, and with the higher worth. Holds with either objective.
#[test]
fn a_light_tenant_is_not_starved() {
    for objective in [Objective::Coverage, Objective::Worth] {
        let mut simulation = Simulation::new(objective, &[1.0, 1.0], 10, 10);
        simulation.run(&[load(0, 3000, 9.0), load(1, 100, 1.0)], 10);
        let light = simulation.counts_for(1, 1.0);
        assert!(light.in_time >= 990, "{objective:?}: {}", light.in_time);
        assert!(
            simulation.counts_for(0, 9.0).in_time >= 8_500,
            "{objective:?}"
        );
    }
}

/// Guards against shares that ignore the weights while every tenant sends more than its share.
#[test]
fn tenants_share_by_weight_under_overload() {
    let mut simulation = Simulation::new(Objective::Coverage, &[1.0, 3.0], 10, 10);
    simulation.run(&[load(0, 2000, 1.0), load(1, 2000, 1.0)], 10);
    let (first, second) = (
        simulation.counts_for(0, 1.0).in_time,
        simulation.counts_for(1, 1.0).in_time,
    );
    assert!(
        (26..=34).contains(&(second * 10 / first)),
        "{first} to {second}"
    );
}

/// Guards against serving requests of low worth while those of high worth wait, and against ranking
/// by worth where the objective is coverage. The load is twice the capacity, so the order decides
/// which requests are refused.
#[test]
fn higher_worth_goes_first_only_with_the_worth_objective() {
    let loads = [load(0, 1000, 1.0), load(0, 1000, 5.0)];
    let mut simulation = Simulation::new(Objective::Worth, &[1.0], 10, 10);
    simulation.run(&loads, 10);
    assert!(
        simulation.counts_for(0, 5.0).in_time >= 9_000,
        "{}",
        simulation.counts_for(0, 5.0).in_time
    );
    let mut simulation = Simulation::new(Objective::Coverage, &[1.0], 10, 10);
    simulation.run(&loads, 10);
    let (low, high) = (
        simulation.counts_for(0, 1.0).in_time,
        simulation.counts_for(0, 5.0).in_time,
    );
    assert!(low.abs_diff(high) <= 1_000, "{low} and {high}");
}

fn offer(now: Instant, time_left: Duration) -> Offer {
    let tenant = TenantIndex(0);
    Offer {
        tenant,
        deadline: now + time_left,
        worth: Worth(1.0),
        cost: 1,
    }
}

/// Guards against work on requests that cannot be answered by their deadline, and against an
/// estimate that refuses all requests for good after one slow query: a request to an idle server
/// starts in any case, and so corrects the estimate.
#[test]
fn requests_that_cannot_finish_in_time_are_refused_unless_idle() {
    let now = Instant::now();
    let mut admission = Admission::new(Objective::Coverage, &[1.0], 2, now);
    let mut actions = Vec::new();
    let offer_one = |admission: &mut Admission, actions: &mut Vec<Action>, time_left| {
        actions.clear();
        admission.offer(now, &offer(now, time_left), actions)
    };
    let first = offer_one(&mut admission, &mut actions, DEADLINE);
    let measurement = Measurement {
        duration: DEADLINE,
        queueing: Duration::ZERO,
    };
    admission.on_finished(now, first, measurement, &mut actions);
    let idle = offer_one(&mut admission, &mut actions, SERVICE_TIME);
    assert_eq!(actions, [Action::Start(idle)]);
    let too_late = offer_one(&mut admission, &mut actions, SERVICE_TIME);
    assert_eq!(actions, [Action::Refuse(too_late, Refusal::TooLate)]);
    let accepted = offer_one(&mut admission, &mut actions, DEADLINE * 2);
    assert_eq!(actions, [Action::Start(accepted)]);
    let waiting = offer_one(&mut admission, &mut actions, DEADLINE * 3);
    assert_eq!(actions, []);
    let wakeup = admission.next_wakeup().expect("one request waits");
    assert_eq!(wakeup, now + DEADLINE * 2);
    admission.on_timer(wakeup, &mut actions);
    assert_eq!(actions, [Action::Refuse(waiting, Refusal::TooLate)]);
    assert_eq!(admission.next_wakeup(), None);
}

/// Guards against a queue without a bound on the waiting time, against requests that start while
/// the capacity is zero or after their caller has disconnected, and against requests of unknown
/// tenants.
#[test]
fn a_request_waits_no_longer_than_max_wait() {
    let now = Instant::now();
    let mut admission = Admission::new(Objective::Coverage, &[1.0], 0, now);
    let mut actions = Vec::new();
    let ticket = admission.offer(now, &offer(now, MAX_WAIT * 5), &mut actions);
    let abandoned = admission.offer(now, &offer(now, MAX_WAIT * 5), &mut actions);
    assert_eq!(actions, []);
    assert!(admission.on_caller_gone(abandoned));
    admission.on_timer(now + MAX_WAIT, &mut actions);
    assert_eq!(actions, [Action::Refuse(ticket, Refusal::QueueTooLong)]);
    actions.clear();
    let served = admission.offer(now, &offer(now, MAX_WAIT * 5), &mut actions);
    admission.set_capacity(1, now, &mut actions);
    assert_eq!(actions, [Action::Start(served)]);
    actions.clear();
    let unknown = Offer {
        tenant: TenantIndex(1),
        ..offer(now, DEADLINE)
    };
    let unknown = admission.offer(now, &unknown, &mut actions);
    assert_eq!(actions, [Action::Refuse(unknown, Refusal::UnknownTenant)]);
}
