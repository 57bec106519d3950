//! What the tests of all stand-ins share.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

/// A free port on the loopback interface.
pub const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The longest wait for a condition. It only ends a test that would hang otherwise.
const LIMIT: Duration = Duration::from_secs(30);

/// Fails the test if the future would hang.
#[allow(dead_code, reason = "not every test file waits")]
pub async fn limited<F>(future: F) -> F::Output
where
    F: Future,
{
    tokio::time::timeout(LIMIT, future).await.unwrap()
}

/// Waits until a condition holds.
#[allow(dead_code, reason = "not every test file waits")]
pub async fn until<F>(what: &str, mut condition: F)
where
    F: AsyncFnMut() -> bool,
{
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let waited = tokio::time::timeout(LIMIT, wait).await;
    assert!(waited.is_ok(), "not reached: {what}");
}
