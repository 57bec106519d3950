//! Callers retry non-idempotent requests while instances are killed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use camphorhold::protocol::caller::IdempotencyBody;
use camphorhold::protocol::caller::RequestBody;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Options;
use super::unix_ms;
use crate::caller;
use crate::deployment::Service;
use crate::error::Error;
use crate::load::exponential;
use crate::load::millis;
use crate::report::Table;
use crate::sample::Outcome;
use crate::tier::Tier;

/// The mean rate of new requests, each with its own key.
const REQUESTS_PER_SECOND: f64 = 100.0;

/// The most attempts of a caller for one key.
const MAX_ATTEMPTS: usize = 6;

/// The pause of a caller after a failed attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Callers repeat one in this many requests although it was answered.
const DUPLICATE_EVERY: u64 = 5;

/// The time from the start of an instance to the kill of the next one.
const UP_TIME: Duration = Duration::from_secs(8);
/// The time from the kill of an instance to its start.
const DOWN_TIME: Duration = Duration::from_secs(1);

/// The outcomes of all attempts for one key, in their order.
struct KeyResult {
    key: String,
    outcomes: Vec<Outcome>,
    /// Why the last attempt failed, if an instance stated a reason.
    reason: Option<Box<str>>,
}

/// Runs the experiment.
pub async fn run(options: &Options) -> Result<(), Error> {
    let mut report = options.report("once");
    let mut tier = Tier::start(&options.config()).await?;
    let balancer = tier.start_balancer()?;
    let service = tier.file.service(options.deployment.once_service())?;
    let callers = tokio::spawn(offer(service.clone(), balancer, options.clone()));
    let ends = SystemClock.now() + options.duration();
    let mut kills = 0;
    while SystemClock.now() + UP_TIME + DOWN_TIME < ends {
        tokio::time::sleep(UP_TIME).await;
        let index = kills % tier.instances.len();
        tier.instances[index].process.kill();
        tokio::time::sleep(DOWN_TIME).await;
        tier.instances[index].restart()?;
        kills += 1;
    }
    let results = callers.await?;
    // A request whose caller lost its connection ends at its deadline at the latest.
    tokio::time::sleep(service.deadline).await;
    let mut executions: BTreeMap<String, u64> = BTreeMap::new();
    for leaf in tier.counters().await? {
        for (key, count) in leaf.executions {
            *executions.entry(key).or_default() += count;
        }
    }
    let mut table = Table::new(
        format!("{} keys, {kills} kills", results.len()),
        &[
            "last outcome",
            "reason",
            "keys",
            "executed 0 times",
            "once",
            "more than once",
        ],
    );
    let mut last: BTreeMap<(Outcome, &str), [u64; 3]> = BTreeMap::new();
    let (mut executed_repeatedly, mut false_not_run, mut answered_unexecuted) = (0, 0, 0);
    for result in &results {
        let count = executions.get(&result.key).copied().unwrap_or_default();
        let not_run = |outcome: &Outcome| matches!(outcome, Outcome::NotRun | Outcome::Refused);
        executed_repeatedly += u64::from(count > 1);
        false_not_run += u64::from(count > 0 && result.outcomes.iter().all(not_run));
        answered_unexecuted +=
            u64::from(count == 0 && result.outcomes.contains(&Outcome::Answered));
        let Some(end) = result.outcomes.last() else {
            continue;
        };
        let index = usize::try_from(count.min(2)).unwrap_or_default();
        last.entry((*end, result.reason.as_deref().unwrap_or_default()))
            .or_default()[index] += 1;
    }
    for ((outcome, reason), counts) in last {
        let total: u64 = counts.iter().sum();
        let mut row = vec![format!("{outcome:?}"), reason.to_owned(), total.to_string()];
        row.extend(counts.iter().map(ToString::to_string));
        table.row(row);
    }
    report.table(table);
    let resent = results
        .iter()
        .filter(|result| result.outcomes.len() > 1)
        .count();
    println!("{resent} of the keys were sent more than once");
    report.target(
        "no key executed more than once",
        executed_repeatedly,
        executed_repeatedly == 0,
    );
    report.target("no untrue \"not run\"", false_not_run, false_not_run == 0);
    report.target(
        "no answered key without execution",
        answered_unexecuted,
        answered_unexecuted == 0,
    );
    report.finish(options.json.as_deref())
}

async fn offer(service: Service, balancer: SocketAddr, options: Options) -> Vec<KeyResult> {
    let service = Arc::new(service);
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let started = SystemClock.now();
    let mut at = Duration::ZERO;
    let mut tasks = Vec::new();
    for number in 0.. {
        at += exponential(&mut random, REQUESTS_PER_SECOND);
        if at >= options.duration() {
            break;
        }
        let shard = random.random_range(0..service.shards);
        tokio::time::sleep_until((started + at).into()).await;
        let request = request(&service, shard, number, options.seed);
        tasks.push(tokio::spawn(send(balancer, request, number)));
    }
    let results = futures::future::join_all(tasks).await;
    results.into_iter().flatten().collect()
}

fn request(service: &Service, shard: u32, number: u64, seed: u64) -> RequestBody {
    RequestBody {
        request_id: None,
        tenant: service.tenants[0].clone(),
        service: service.name.clone(),
        route: "enter".to_owned(),
        scope: Some(vec![shard]),
        query: format!("entry {}", number % 40),
        deadline_ms: Some(millis(service.deadline)),
        worth: None,
        idempotency: Some(IdempotencyBody {
            key: format!("key-{seed}-{number}"),
            issued_at_ms: unix_ms(),
        }),
    }
}

/// Sends a request until it is answered, [`MAX_ATTEMPTS`] times at most.
async fn send(balancer: SocketAddr, request: RequestBody, number: u64) -> KeyResult {
    let mut outcomes = Vec::new();
    let mut reason = None;
    while outcomes.len() < MAX_ATTEMPTS {
        let reply = caller::send_once(balancer, &request).await;
        outcomes.push(reply.outcome);
        reason = reply.body.and_then(|body| body.reason);
        if reply.outcome == Outcome::Answered {
            if number.is_multiple_of(DUPLICATE_EVERY) && outcomes.len() < MAX_ATTEMPTS {
                let again = caller::send_once(balancer, &request).await;
                outcomes.push(again.outcome);
            }
            break;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    let key = request.idempotency.map(|idempotency| idempotency.key);
    KeyResult {
        key: key.unwrap_or_default(),
        outcomes,
        reason,
    }
}
