//! Tests of tasks that are started again after a panic.

use std::cell::Cell;
use std::rc::Rc;

use camphorhold::transport::supervisor;
use tokio::task::LocalSet;

/// Guards against a task whose work ends for good with one panic while its process goes on.
#[tokio::test(start_paused = true)]
async fn a_task_that_panics_is_started_again() {
    let starts = Rc::new(Cell::new(0));
    let mut panics = Vec::new();
    let task = || {
        let starts = Rc::clone(&starts);
        async move {
            starts.set(starts.get() + 1);
            assert!(starts.get() >= 4, "start {}", starts.get());
        }
    };
    let supervised = supervisor::run(task, |error| panics.push(error.to_string()));
    LocalSet::new().run_until(supervised).await;
    assert_eq!(starts.get(), 4);
    assert_eq!(panics.len(), 3);
    assert!(panics[0].contains("start 1"), "{panics:?}");
}

/// Guards against a task that goes on after it was to end, for instance one that accepts connections
/// during a shutdown.
#[tokio::test(start_paused = true)]
async fn a_supervised_task_ends_with_its_supervisor() {
    let tasks = LocalSet::new();
    let alive = Rc::new(());
    let weak = Rc::downgrade(&alive);
    let mut alive = Some(alive);
    let start = move || {
        let alive = alive.take();
        async move {
            std::future::pending::<()>().await;
            drop(alive);
        }
    };
    let supervisor = tasks.spawn_local(supervisor::run(start, |_| {}));
    tasks.run_until(tokio::task::yield_now()).await;
    assert!(weak.upgrade().is_some());
    supervisor.abort();
    tasks
        .run_until(async {
            assert!(supervisor.await.is_err());
            tokio::task::yield_now().await;
        })
        .await;
    assert!(weak.upgrade().is_none());
}
