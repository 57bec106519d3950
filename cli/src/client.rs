//! Calls to the control interfaces of instances.

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

/// How long an instance may take to answer. To apply a file, it collects promises of the witnesses
/// and writes to the key-value service before it answers.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The most instances called at the same time.
const CONCURRENT_CALLS: usize = 32;

/// Creates a client of the control interface at `address`.
pub fn connect(address: SocketAddr) -> Result<HttpClient, CallError> {
    HttpClient::builder()
        .request_timeout(CALL_TIMEOUT)
        .build(format!("http://{address}"))
}

/// Calls the instances one after the other until one answers. Returns its address and answer.
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

/// The results of the same call to several instances.
pub struct Answers<T> {
    /// The answers, sorted by address.
    pub found: Vec<(SocketAddr, T)>,
    /// Why the other instances gave no answer, sorted by address.
    pub failures: Vec<(SocketAddr, String)>,
}

/// Calls all instances, up to [`CONCURRENT_CALLS`] at the same time.
///
/// # Errors
///
/// Returns an error when no instance answers.
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

/// Returns the addresses to call: the given ones and, unless `given_only`, all members of the
/// roster according to the first given instance that answers.
pub async fn addresses(
    given: &[SocketAddr],
    given_only: bool,
) -> Result<BTreeSet<SocketAddr>, Error> {
    let mut addresses: BTreeSet<SocketAddr> = given.iter().copied().collect();
    if !given_only {
        let (_, status) = first(given, status).await?;
        addresses.extend(status.roster.iter().map(|member| member.address));
    }
    Ok(addresses)
}

/// Requests the status of one instance.
pub async fn status(client: HttpClient) -> Result<InstanceStatus, CallError> {
    client.status().await
}
