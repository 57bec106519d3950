//! Refuses requests that are known not to be served, before any leaf is called.

use std::time::Duration;

use camphorhold::coordination::merge::Coverage;
use camphorhold::coordination::serving::fanout;
use camphorhold::coordination::serving::fanout::ShardAssignment;

use crate::answer::retry_after;
use crate::call::ForwardedRequest;
use crate::shard_queue;
use crate::shared::Shared;

/// When leafs without an entry are expected back, for callers that are refused for want of leafs.
/// Entries that lapsed in an outage of the store are restored within 2 s of its end.
const LEAF_RETURN_TIME: Duration = Duration::from_secs(1);

/// The longest pause that callers are asked for, as a share of the time that they wait in all.
const LONGEST_PAUSE_SHARE: f64 = 1.0 / 3.0;

/// Skips the shards of a caller's query that have no leaf, have reached their concurrency limit, or
/// whose owner is expected to refuse the query.
/// If too few shards remain for an answer, no leaf is called: returns the time after which the
/// caller should try again.
pub fn skip_unavailable_shards(
    shared: &Shared,
    forwarded: &ForwardedRequest,
    request: &mut fanout::Request,
    wait: Duration,
) -> Result<(), Duration> {
    let now = shared.now();
    let fleet = shared.fleet.borrow();
    let rest_end = request
        .shards
        .iter()
        .filter_map(|shard| fleet.rest_end(&shard.service, now))
        .filter(|end| *end > request.deadline)
        .max();
    let pause = rest_end.map_or(LEAF_RETURN_TIME, |end| end.saturating_duration_since(now));
    let pause = pause.min(wait.mul_f64(LONGEST_PAUSE_SHARE));
    if !request.limits_concurrency {
        // A request to one service fails by itself if there is no leaf.
        return if rest_end.is_some() {
            Err(pause)
        } else {
            Ok(())
        };
    }
    let limits = shared.concurrency_limits.borrow();
    let loads = shared.shard_loads.borrow();
    let urgency = shard_queue::urgency(forwarded);
    let mut without_leafs = 0;
    let mut full = 0;
    let mut overloaded = 0;
    for shard in &mut request.shards {
        if !fleet.has_candidates(&shard.service, request.deadline) {
            without_leafs += 1;
        } else if !loads.expects(&shard.service, urgency, now) {
            overloaded += 1;
        } else if !limits.has_room(&shard.service) {
            full += 1;
        } else {
            continue;
        }
        shard.assignment = ShardAssignment::Skipped;
    }
    let in_scope = request.shards.len();
    let can_answer = |skipped: usize| {
        let number = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let coverage = Coverage {
            answered: number(in_scope - skipped),
            in_scope: number(in_scope),
        };
        coverage.reaches(request.min_coverage)
    };
    let route = &*forwarded.route.name;
    if !can_answer(without_leafs) {
        metrics::counter!("camphorhold_requests_total", "outcome" => "no_leafs").increment(1);
        log::info!(request = forwarded.id(), route = route, without_leafs = without_leafs, in_scope = in_scope; "request refused: too many of its shards have no leaf");
        return Err(pause);
    }
    shard_queue::count_refusals(forwarded, "entry", overloaded);
    if !can_answer(without_leafs + full + overloaded) {
        metrics::counter!("camphorhold_requests_total", "outcome" => "crowded").increment(1);
        log::info!(request = forwarded.id(), route = route, full = full, overloaded = overloaded, in_scope = in_scope; "request refused: too many of its shards are at their concurrency limit");
        return Err(retry_after(&forwarded.route));
    }
    Ok(())
}
