//! Starts a task again when it ends by a panic.

use std::time::Duration;

use tokio::task::JoinError;
use tokio::task::JoinSet;

/// The pause before the first restart. Doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause before a restart.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// Runs the task that `start` creates on the current [`tokio::task::LocalSet`] until it returns.
/// After a panic, reports it to `on_panic` and starts the task again after a pause. The task ends
/// when the returned future is dropped.
///
/// # Panics
///
/// Panics if it is polled outside a [`tokio::task::LocalSet`].
pub async fn run<Start, Task, OnPanic>(mut start: Start, mut on_panic: OnPanic)
where
    Start: FnMut() -> Task,
    Task: Future<Output = ()> + 'static,
    OnPanic: FnMut(JoinError),
{
    let mut pause = FIRST_PAUSE;
    // Unlike a task of its own, a set ends its task when it is dropped.
    let mut tasks = JoinSet::new();
    tasks.spawn_local(start());
    while let Some(Err(error)) = tasks.join_next().await {
        on_panic(error);
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
        tasks.spawn_local(start());
    }
}
