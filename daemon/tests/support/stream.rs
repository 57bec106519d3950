//! Requests that callers send in the background of a test.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use camphorhold::protocol::caller::Outcome;
use tokio::task::JoinHandle;

use super::cluster::Cluster;
use super::query;
use super::query::Reply;

/// The pause of one caller after each pair of a query and a non-idempotent request.
const PAUSE: Duration = Duration::from_millis(10);

/// Callers that each send requests to one instance until they are stopped.
pub struct Stream {
    stopped: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Sent>>,
}

/// The outcomes of the requests that callers have sent.
#[derive(Default)]
pub struct Sent {
    /// The replies to queries, in order of arrival for each caller.
    pub searches: Vec<Reply>,
    /// The replies to non-idempotent requests, by idempotency key.
    pub entries: BTreeMap<String, Reply>,
    /// The errors of requests that got no answer.
    pub unanswered: Vec<String>,
}

impl Stream {
    /// Starts one caller per address. Each caller checks its replies when they arrive.
    pub fn start(addresses: &[SocketAddr]) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let callers = addresses.iter().map(|address| {
            let caller = Caller {
                address: *address,
                stopped: Arc::clone(&stopped),
            };
            tokio::spawn(caller.run())
        });
        Self {
            callers: callers.collect(),
            stopped,
        }
    }

    /// Stops the callers after their requests in flight, and returns all outcomes.
    pub async fn stop(mut self) -> Sent {
        self.stopped.store(true, Ordering::Relaxed);
        let mut all = Sent::default();
        for caller in std::mem::take(&mut self.callers) {
            let sent = caller.await.expect("a caller found no wrong reply");
            all.searches.extend(sent.searches);
            all.entries.extend(sent.entries);
            all.unanswered.extend(sent.unanswered);
        }
        all
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        for caller in &self.callers {
            caller.abort();
        }
    }
}

impl Sent {
    /// Checks the outcomes of the non-idempotent requests against the number of their executions at
    /// the leafs.
    pub fn check_entries(&self, cluster: &Cluster) {
        for (key, reply) in &self.entries {
            let executions = cluster.executions(key);
            match reply.answer.outcome {
                Outcome::Answered => assert_eq!(executions, 1, "{key}: {reply:?}"),
                Outcome::NotRun => assert_eq!(executions, 0, "{key}: {reply:?}"),
                Outcome::Unknown => assert!(executions <= 1, "{key}: {reply:?}"),
            }
        }
    }

    /// Returns the number of queries that were answered with full coverage.
    pub fn full(&self) -> usize {
        self.searches.iter().filter(|reply| reply.full()).count()
    }
}

struct Caller {
    address: SocketAddr,
    stopped: Arc<AtomicBool>,
}

impl Caller {
    async fn run(self) -> Sent {
        let mut sent = Sent::default();
        let mut number = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            number += 1;
            let request = query::search(&format!("round {}", number % 5));
            match query::send(self.address, &request).await {
                Ok(reply) => {
                    reply.check(&request);
                    sent.searches.push(reply);
                }
                Err(error) => sent.unanswered.push(error.to_string()),
            }
            let key = format!("gift-{:032x}", rand::random::<u128>());
            let request = query::entry(&key, query::unix_ms(), "gift");
            match query::send(self.address, &request).await {
                Ok(reply) => {
                    reply.check(&request);
                    sent.entries.insert(key, reply);
                }
                Err(error) => sent.unanswered.push(error.to_string()),
            }
            tokio::time::sleep(PAUSE).await;
        }
        sent
    }
}
