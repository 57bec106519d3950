//! What the tests of all stand-ins share.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

/// A free port on the loopback interface.
pub const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The longest wait for a condition. It only ends a test that would hang otherwise.
const LIMIT: Duration = Duration::from_secs(30);

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
