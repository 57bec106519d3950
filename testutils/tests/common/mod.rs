//! Helpers for the tests of all stand-ins.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

/// An address on the loopback interface with port 0, which gives a free port.
pub const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The longest wait for a condition or an answer. It ends tests that would hang; no test relies on
/// its length.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the output of a future, and fails the test if it is not ready after `TIMEOUT`.
#[allow(dead_code, reason = "not every test file waits")]
pub async fn with_timeout<F>(future: F) -> F::Output
where
    F: Future,
{
    tokio::time::timeout(TIMEOUT, future).await.unwrap()
}

/// Polls a condition until it holds, and fails the test if it does not hold after `TIMEOUT`.
#[allow(dead_code, reason = "not every test file waits")]
pub async fn wait_until<F>(what: &str, mut condition: F)
where
    F: AsyncFnMut() -> bool,
{
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let waited = tokio::time::timeout(TIMEOUT, wait).await;
    assert!(
        waited.is_ok(),
        "condition not met within {TIMEOUT:?}: {what}"
    );
}
