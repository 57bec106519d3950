//! Open-loop load on the service of one case, with two routes and many distinct queries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use camphorhold::protocol::caller::RequestBody;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::case::Case;
use super::case::SHARDS;
use crate::caller;
use crate::caller::Connections;
use crate::caller::Reply;
use crate::load::exponential;
use crate::sample::Outcome;
use crate::sample::Sample;

/// The number of distinct queries of each route. Rollouts move traffic by query, so a step of 1 %
/// must include several of them.
const DISTINCT_QUERIES: u32 = 1000;

const ROUTES: [&str; 2] = ["search", "detail"];

/// The deadline that callers state, below the 250 ms of the services.
const DEADLINE: Duration = Duration::from_millis(240);

/// Load on the service of one case.
#[derive(Clone, Debug)]
pub struct Callers {
    pub case: Case,
    pub addresses: Vec<SocketAddr>,
    /// The mean rate of arrivals, in requests per second.
    pub rate: f64,
    pub seed: u64,
    /// The load ends once this is set.
    pub stop: Arc<AtomicBool>,
}

impl Callers {
    /// Offers the load until it is stopped and waits for the last answer.
    pub async fn run(self) -> Vec<Sample> {
        let connections = Arc::new(Connections::default());
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        random.set_stream(self.case as u64);
        let started = SystemClock.now();
        let mut at = exponential(&mut random, self.rate);
        let mut tasks = Vec::new();
        while !self.stop.load(Ordering::Relaxed) {
            let request = self.request(&mut random);
            let address = self.addresses[tasks.len() % self.addresses.len()];
            tokio::time::sleep_until((started + at).into()).await;
            let connections = Arc::clone(&connections);
            tasks.push(tokio::spawn(async move {
                let reply = connections.send(address, &request).await;
                sample(at, (started + at).elapsed(), &request, &reply)
            }));
            at += exponential(&mut random, self.rate);
        }
        let samples = futures::future::join_all(tasks).await;
        samples.into_iter().flatten().collect()
    }

    fn request(&self, random: &mut ChaCha8Rng) -> RequestBody {
        RequestBody {
            request_id: None,
            tenant: "callers".to_owned(),
            service: self.case.name().to_owned(),
            route: ROUTES[random.random_range(0..ROUTES.len())].to_owned(),
            scope: None,
            query: format!("query {}", random.random_range(0..DISTINCT_QUERIES)),
            deadline_ms: Some(crate::load::millis(DEADLINE)),
            worth: None,
            idempotency: None,
        }
    }
}

fn sample(at: Duration, latency: Duration, request: &RequestBody, reply: &Reply) -> Sample {
    let shards = u32::from(SHARDS);
    let body = reply.body.as_ref();
    let answered = reply.outcome == Outcome::Answered;
    let checked = body.filter(|_| answered);
    Sample {
        at,
        latency,
        outcome: reply.outcome,
        reason: body.and_then(|body| body.reason.clone()),
        answered: body.map_or(0, |body| body.coverage.answered),
        in_scope: shards,
        in_time: latency <= DEADLINE,
        worth: 1.0,
        violation: checked.and_then(|body| caller::check(request, shards, body)),
    }
}
