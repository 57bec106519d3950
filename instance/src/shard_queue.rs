//! The limits and queues of the shards whose leafs this instance calls, and the thresholds that
//! instances tell each other. Applies where shards have owners, which see most of the load of their
//! leafs.

use std::collections::HashMap;
use std::rc::Rc;

use camphorhold::coordination::merge::Coverage;
use camphorhold::coordination::serving::fanout;
use camphorhold::coordination::serving::fanout::ShardAssignment;
use camphorhold::coordination::serving::shard_load::End;
use camphorhold::coordination::serving::shard_load::Entry;
use camphorhold::coordination::serving::shard_load::Permit;
use camphorhold::coordination::serving::shard_load::ShardLoads;
use camphorhold::coordination::serving::shard_load::Threshold;
use camphorhold::coordination::serving::shard_load::Urgency;
use camphorhold::coordination::serving::shard_load::Work;
use camphorhold::state::plan::Target;
use futures::future::LocalBoxFuture;
use futures::stream::FuturesUnordered;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64;

use crate::call::ForwardedRequest;
use crate::shared::Shared;

/// In the answer to a handover, the positions of the shards whose threshold is lowered, as
/// `POSITION=THOUSANDTHS,...`. All others of the handover admit every query.
const THRESHOLDS_HEADER: HeaderName = HeaderName::from_static("camphorhold-shard-thresholds");

/// Wakes a query that waits for a shard. Without a permit, the shard is refused.
pub type Waker = oneshot::Sender<Option<HeldPermit>>;

/// The limits of all shards, with the queries that wait for them.
pub type Loads = ShardLoads<Waker>;

/// A permit that is handed back when it is dropped.
pub struct HeldPermit {
    shared: Rc<Shared>,
    shard: Box<str>,
    permit: Permit,
    end: End,
}

impl HeldPermit {
    /// Records that the shard has answered.
    pub fn answered(mut self) {
        self.end = End::Answered;
    }
}

impl Drop for HeldPermit {
    fn drop(&mut self) {
        let now = self.shared.now();
        observe(&self.shared, &self.shard, |loads| {
            loads.on_end(&self.shard, self.permit, self.end, now);
        });
        wake_next(&self.shared, &self.shard);
    }
}

/// A shard that waits, by its position in the request. Ends with its permit, or without one if it is
/// refused.
type Wait = LocalBoxFuture<'static, (usize, Option<HeldPermit>)>;

/// The shards of a request that this instance calls itself.
#[derive(Default)]
pub struct Queue {
    /// The permits, by the position of their shards.
    pub permits: HashMap<usize, HeldPermit>,
    /// The positions of the shards that wait, with their permits once they have them.
    pub waits: FuturesUnordered<Wait>,
    /// The positions of the shards that are refused.
    pub refused: Vec<usize>,
}

/// Returns the urgency of a request, which is the same at all instances.
pub fn urgency(forwarded: &ForwardedRequest) -> Urgency {
    let hash = match forwarded.id() {
        "" => xxh3_64(&forwarded.fingerprint().0.to_le_bytes()),
        id => xxh3_64(id.as_bytes()),
    };
    Urgency::new(forwarded.priority, hash)
}

/// Asks the limits of the shards that this instance is to call itself. A refused shard is skipped; one
/// that waits counts as handed over until its turn.
pub fn enter(
    shared: &Rc<Shared>,
    forwarded: &ForwardedRequest,
    request: &mut fanout::Request,
) -> Queue {
    let mut queue = Queue::default();
    let is_query = matches!(forwarded.route.target, Target::Shards(_));
    let has_owners = request.shards.first().is_some_and(|shard| {
        let fleet = shared.fleet.borrow();
        fleet.connections_are_scarce(shard.limits)
    });
    if !is_query || !has_owners || request.is_suspect {
        return queue;
    }
    let work = Work {
        urgency: urgency(forwarded),
        route: xxh3_64(forwarded.route.name.as_bytes()),
        due: request.answer_by,
    };
    let now = shared.now();
    for (position, shard) in request.shards.iter_mut().enumerate() {
        if shard.assignment != ShardAssignment::Local {
            continue;
        }
        let service = &shard.service;
        let slots = shared.fleet.borrow().slots(service);
        let mut woken = None;
        let entry = observe(shared, service, |loads| {
            loads.enter(service, slots, work, now, || {
                let (waker, receiver) = oneshot::channel();
                woken = Some(receiver);
                waker
            })
        });
        match entry {
            Entry::Granted(permit) => {
                let held = HeldPermit {
                    shared: Rc::clone(shared),
                    shard: service.clone(),
                    permit,
                    end: End::Unanswered,
                };
                queue.permits.insert(position, held);
            }
            Entry::Queued => {
                shard.assignment = ShardAssignment::HandedOver;
                queue.waits.extend(woken.map(|woken| wait(position, woken)));
                wake_next(shared, service);
            }
            Entry::Refused => {
                shard.assignment = ShardAssignment::Skipped;
                queue.refused.push(position);
            }
        }
    }
    count_refusals(forwarded, "owner", queue.refused.len());
    if !queue.waits.is_empty() {
        let waits = u64::try_from(queue.waits.len()).unwrap_or(u64::MAX);
        metrics::counter!("camphorhold_shard_waits_total").increment(waits);
    }
    queue
}

fn wait(position: usize, woken: oneshot::Receiver<Option<HeldPermit>>) -> Wait {
    Box::pin(async move { (position, woken.await.ok().flatten()) })
}

/// Counts shards that are refused for their load, at their owner or at the caller's instance.
pub fn count_refusals(forwarded: &ForwardedRequest, place: &'static str, shards: usize) {
    if shards > 0 {
        let priority = Urgency::new(forwarded.priority, 0).band().to_string();
        let shards = u64::try_from(shards).unwrap_or(u64::MAX);
        metrics::counter!("camphorhold_shard_refusals_total", "place" => place, "priority" => priority)
            .increment(shards);
    }
}

/// Returns whether so many shards of a query are refused because of their load that its caller gets no
/// answer, whatever the other shards do.
pub fn prevents_answer(forwarded: &ForwardedRequest, refused: &[usize]) -> bool {
    let Target::Shards(scope) = &forwarded.route.target else {
        return false;
    };
    let number = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
    let best = Coverage {
        answered: number(scope.shards.len().saturating_sub(refused.len())),
        in_scope: number(scope.shards.len()),
    };
    !refused.is_empty() && !best.reaches(scope.min_coverage)
}

fn wake_next(shared: &Rc<Shared>, service: &str) {
    loop {
        let now = shared.now();
        let next = shared.shard_loads.borrow_mut().next(service, now);
        let Some((waker, permit)) = next else {
            return;
        };
        let permit = permit.map(|permit| HeldPermit {
            shared: Rc::clone(shared),
            shard: service.into(),
            permit,
            end: End::Unanswered,
        });
        // If the query has ended meanwhile, the permit is dropped, which wakes the next one.
        drop(waker.send(permit));
    }
}

/// Changes the load of a shard. Logs when it begins or ceases to refuse queries.
fn observe<T, F>(shared: &Shared, service: &str, change: F) -> T
where
    F: FnOnce(&mut Loads) -> T,
{
    let mut loads = shared.shard_loads.borrow_mut();
    let is_open = |loads: &Loads| loads.own_threshold(service) == Threshold::OPEN;
    let was_open = is_open(&loads);
    let result = change(&mut loads);
    if was_open != is_open(&loads) {
        metrics::gauge!("camphorhold_overloaded_shards").increment(if was_open {
            1.0
        } else {
            -1.0
        });
        let learned = loads.learned(service);
        let limit = learned.map_or(0.0, |learned| learned.limit);
        let waiting = learned.map_or(0, |learned| learned.waiting);
        let speed = learned.map_or(0.0, |learned| learned.speed);
        if was_open {
            log::info!(shard = service, limit = limit, speed = speed, waiting = waiting; "shard is overloaded; refusing the least urgent queries");
        } else {
            log::info!(shard = service, limit = limit, speed = speed; "shard is no longer overloaded");
        }
    }
    result
}

/// Adds the thresholds of a handover's shards to the answer.
pub fn add_thresholds(
    shared: &Shared,
    forwarded: &ForwardedRequest,
    positions: &[usize],
    headers: &mut HeaderMap,
) {
    let Target::Shards(scope) = &forwarded.route.target else {
        return;
    };
    let now = shared.now();
    let loads = shared.shard_loads.borrow();
    let thresholds = positions.iter().filter_map(|position| {
        let threshold = loads.threshold(scope.shards.get(*position)?, now);
        (threshold != Threshold::OPEN).then(|| format!("{position}={threshold}"))
    });
    let thresholds: Vec<String> = thresholds.collect();
    if !thresholds.is_empty()
        && let Ok(value) = HeaderValue::from_str(&thresholds.join(","))
    {
        headers.insert(THRESHOLDS_HEADER, value);
    }
}

/// Records the thresholds that the answer to a handover of these shards states. Ignores it if it is
/// not valid.
pub fn record_thresholds(
    shared: &Shared,
    forwarded: &ForwardedRequest,
    positions: &[usize],
    headers: &HeaderMap,
) {
    let Target::Shards(scope) = &forwarded.route.target else {
        return;
    };
    let stated = headers.get(THRESHOLDS_HEADER);
    let stated = stated.map_or(Some(HashMap::new()), |value| parse(value.to_str().ok()?));
    let Some(stated) = stated else {
        return;
    };
    let now = shared.now();
    let mut loads = shared.shard_loads.borrow_mut();
    for position in positions {
        if let Some(shard) = scope.shards.get(*position) {
            let threshold = stated.get(position).copied();
            loads.on_report(shard, threshold.unwrap_or(Threshold::OPEN), now);
        }
    }
}

fn parse(text: &str) -> Option<HashMap<usize, Threshold>> {
    let entries = text.split(',').map(|entry| {
        let (position, threshold) = entry.split_once('=')?;
        Some((position.parse().ok()?, threshold.parse().ok()?))
    });
    entries.collect()
}
