//! Calls to the control interface of instances.

use std::collections::BTreeSet;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use camphorhold::protocol::control::ControlClient;
use camphorhold::protocol::control::InstanceStatus;
use futures::StreamExt;
use futures::stream;
use jsonrpsee::core::client::Error as CallError;
use jsonrpsee::http_client::HttpClient;

use crate::error::Error;

/// How long an instance may take to answer. A change waits for promises and a compare-and-swap.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// How many instances are asked at the same time.
const CONCURRENT_CALLS: usize = 32;

/// Returns a client for one instance.
pub fn connect(address: SocketAddr) -> Result<HttpClient, CallError> {
    HttpClient::builder()
        .request_timeout(CALL_TIMEOUT)
        .build(format!("http://{address}"))
}

/// Asks the instances one after the other until one answers, and tells which one did.
pub async fn first<T, F, R>(instances: &[SocketAddr], call: F) -> Result<(SocketAddr, T), Error>
where
    F: Fn(HttpClient) -> R,
    R: Future<Output = Result<T, CallError>>,
{
    let mut failures = Vec::new();
    for address in instances {
        let result = match connect(*address) {
            Ok(client) => call(client).await,
            Err(error) => Err(error),
        };
        match result {
            Ok(answer) => return Ok((*address, answer)),
            Err(error) => failures.push((*address, error.to_string())),
        }
    }
    Err(unanswered(failures))
}

fn unanswered(failures: Vec<(SocketAddr, String)>) -> Error {
    if failures.is_empty() {
        Error::NoInstance
    } else {
        Error::Unreachable(failures)
    }
}

/// The answers of several instances, and the failures of others.
pub struct Answers<T> {
    /// The answers, in the order of the addresses.
    pub found: Vec<(SocketAddr, T)>,
    /// The failures.
    pub failures: Vec<(SocketAddr, String)>,
}

/// Asks all instances at the same time.
///
/// # Errors
///
/// Returns an error when nobody answers.
pub async fn all<T, F, R>(instances: &BTreeSet<SocketAddr>, call: F) -> Result<Answers<T>, Error>
where
    F: Fn(HttpClient) -> R,
    R: Future<Output = Result<T, CallError>>,
{
    let call = &call;
    let results = stream::iter(instances.iter().copied())
        .map(|address| async move {
            let result = match connect(address) {
                Ok(client) => call(client).await,
                Err(error) => Err(error),
            };
            (address, result)
        })
        .buffered(CONCURRENT_CALLS)
        .collect::<Vec<_>>()
        .await;
    let mut answers = Answers {
        found: Vec::new(),
        failures: Vec::new(),
    };
    for (address, result) in results {
        match result {
            Ok(answer) => answers.found.push((address, answer)),
            Err(error) => answers.failures.push((address, error.to_string())),
        }
    }
    if answers.found.is_empty() {
        return Err(unanswered(answers.failures));
    }
    Ok(answers)
}

/// Returns the addresses to ask: the given ones, and unless `given_only` those of the roster that
/// the first of them knows.
pub async fn reach(given: &[SocketAddr], given_only: bool) -> Result<BTreeSet<SocketAddr>, Error> {
    let mut addresses: BTreeSet<SocketAddr> = given.iter().copied().collect();
    if !given_only {
        let (_, status) = first(given, status).await?;
        addresses.extend(status.roster.iter().map(|member| member.address));
    }
    Ok(addresses)
}

/// Asks one instance for its status.
pub async fn status(client: HttpClient) -> Result<InstanceStatus, CallError> {
    client.status().await
}
