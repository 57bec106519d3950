//! What the tests of the real process share: instances, stand-ins, queries and waits.

pub mod cluster;
pub mod file;
pub mod instance;
pub mod query;
pub mod stream;

use camphorhold::state::time::Clock;
use camphorhold::state::time::SystemClock;
use std::time::Duration;

/// The overall limit of each wait. It only ends a test that has failed.
const LIMIT: Duration = Duration::from_mins(1);

/// Between two looks at a condition.
const INTERVAL: Duration = Duration::from_millis(20);

/// Waits until a condition gives a value.
///
/// # Panics
///
/// Panics after the overall limit, with what was awaited.
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
        assert!(started.elapsed() < LIMIT, "waited in vain: {what}");
        tokio::time::sleep(INTERVAL).await;
    }
}

/// Waits until a condition holds.
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
