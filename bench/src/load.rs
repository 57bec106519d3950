//! Open-loop load: requests start at Poisson arrivals, without waiting for earlier ones to end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use camphorhold::protocol::caller::RequestBody;
use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::caller;
use crate::caller::Connections;
use crate::caller::Reply;
use crate::deployment::Service;
use crate::sample::Outcome;
use crate::sample::Sample;

/// The number of distinct queries. Few enough that each has run as a canary within the warm-up.
const DISTINCT_QUERIES: u32 = 40;

/// The part of the service's deadline that callers reserve for the transfer of the answer.
const CALLER_MARGIN: Duration = Duration::from_millis(10);

/// The path from callers to the instances.
#[derive(Clone, Debug)]
pub enum Route {
    /// Each instance in turn, over connections that stay open.
    Direct(Vec<SocketAddr>),
    /// The balancer, over a new connection for each request. A request is retried once if it was
    /// not run or if its connection was refused.
    Balancer(SocketAddr),
}

/// The load on one service.
#[derive(Clone, Debug)]
pub struct Load {
    /// The service called.
    pub service: Service,
    /// The path from callers to the instances.
    pub route: Route,
    /// The mean rate of arrivals, in requests per second.
    pub rate: f64,
    /// The seed of arrivals, tenants and queries.
    pub seed: u64,
}

impl Load {
    /// Offers the load for a time in a task of its own, which returns the samples.
    pub fn start(self, duration: Duration) -> JoinHandle<Vec<Sample>> {
        tokio::spawn(self.run(duration))
    }

    /// Like [`Load::start`], but the load also ends at the first arrival after a message to `stop`.
    pub fn start_until(
        self,
        duration: Duration,
        stop: oneshot::Receiver<()>,
    ) -> JoinHandle<Vec<Sample>> {
        tokio::spawn(self.offer(duration, stop))
    }

    /// Offers the load for a time and waits for the last answer.
    pub async fn run(self, duration: Duration) -> Vec<Sample> {
        let (_kept_open, never) = oneshot::channel();
        self.offer(duration, never).await
    }

    async fn offer(self, duration: Duration, mut stop: oneshot::Receiver<()>) -> Vec<Sample> {
        let load = Arc::new(self);
        let connections = Arc::new(Connections::default());
        let mut random = ChaCha8Rng::seed_from_u64(load.seed);
        let started = SystemClock.now();
        let mut at = Duration::ZERO;
        let mut tasks = Vec::new();
        let mut number = 0;
        loop {
            at += exponential(&mut random, load.rate);
            if at >= duration || stop.try_recv().is_ok() {
                break;
            }
            let request = load.request(&mut random);
            tokio::time::sleep_until((started + at).into()).await;
            let (load, connections) = (Arc::clone(&load), Arc::clone(&connections));
            tasks.push(tokio::spawn(async move {
                let reply = load.send(&connections, number, &request).await;
                load.sample(at, (started + at).elapsed(), &request, &reply)
            }));
            number += 1;
        }
        let samples = futures::future::join_all(tasks).await;
        samples.into_iter().flatten().collect()
    }

    fn request(&self, random: &mut ChaCha8Rng) -> RequestBody {
        let tenants = &self.service.tenants;
        let query = random.random_range(0..DISTINCT_QUERIES);
        RequestBody {
            request_id: None,
            tenant: tenants[random.random_range(0..tenants.len())].clone(),
            service: self.service.name.clone(),
            route: "search".to_owned(),
            scope: None,
            query: format!("query {query}"),
            deadline_ms: Some(millis(self.service.deadline.saturating_sub(CALLER_MARGIN))),
            worth: None,
            idempotency: None,
        }
    }

    async fn send(&self, connections: &Connections, number: usize, request: &RequestBody) -> Reply {
        match &self.route {
            Route::Direct(addresses) => {
                let address = addresses[number % addresses.len()];
                connections.send(address, request).await
            }
            Route::Balancer(address) => {
                let reply = caller::send_once(*address, request).await;
                match reply.outcome {
                    Outcome::NotRun | Outcome::Refused => {
                        caller::send_once(*address, request).await
                    }
                    _ => reply,
                }
            }
        }
    }

    fn sample(
        &self,
        at: Duration,
        latency: Duration,
        request: &RequestBody,
        reply: &Reply,
    ) -> Sample {
        let body = reply.body.as_ref();
        let answered = reply.outcome == Outcome::Answered;
        let violation = body
            .filter(|_| answered)
            .and_then(|body| caller::check(request, self.service.shards, body));
        Sample {
            at,
            latency,
            outcome: reply.outcome,
            answered: body.map_or(0, |body| body.coverage.answered),
            reason: body.and_then(|body| body.reason.clone()),
            in_scope: self.service.shards,
            in_time: latency <= self.service.deadline,
            worth: self.service.worth,
            violation,
        }
    }
}

/// Draws the time to the next arrival of a Poisson process with `rate` arrivals per second.
pub fn exponential(random: &mut ChaCha8Rng, rate: f64) -> Duration {
    let uniform: f64 = random.random();
    Duration::from_secs_f64(-(1.0 - uniform).ln() / rate)
}

/// Returns a duration in whole milliseconds, rounded down.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
