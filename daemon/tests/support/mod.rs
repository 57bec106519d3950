//! Helpers of the tests of the daemon process: instances, stand-ins, queries and waits.

pub mod cluster;
pub mod file;
pub mod instance;
pub mod query;
pub mod stream;

use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use std::time::Duration;

/// The longest that a test waits for a condition. A test that passes never takes as long.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// The pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until the condition gives a value, and returns it. `what` describes the condition for the
/// failure message.
///
/// # Panics
///
/// Panics with `what` if the condition gives no value within [`WAIT_TIMEOUT`].
pub async fn wait_for<T, F, Fut>(what: &str, mut condition: F) -> T
where
    F: FnMut() -> Fut,
    Fut: Future<Output = Option<T>>,
{
    let started = SystemClock.now();
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {what}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until the condition holds, like [`wait_for`].
pub async fn wait_until<F, Fut>(what: &str, mut condition: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    wait_for(what, || {
        let holds = condition();
        async move { holds.await.then_some(()) }
    })
    .await;
}
