//! Ends of tasks.

use super::{count_restarts_by, keep_running, run_until_done, supervisor, TaskEnded};
use dewrun_admin::Counter;
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

/// Runs a test on this thread, as the program runs its tasks.
pub(crate) fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Guards against a process that goes on serving without one of its tasks.
#[test]
fn a_task_that_panics_or_returns_is_reported_by_name() {
    run_local(async {
        let (supervisor, mut ends) = supervisor();
        let aborted = supervisor.spawn("aborted", std::future::pending());
        supervisor.spawn("runs on", std::future::pending());
        supervisor.spawn("panics", async {
            sleep(Duration::from_millis(5)).await;
            panic!("on purpose");
        });
        let end = ends.next().await;
        assert_eq!(end, TaskEnded::Panicked { name: "panics" });
        supervisor.spawn("returns", async {});
        let end = ends.next().await;
        assert_eq!(end, TaskEnded::Returned { name: "returns" });
        aborted.abort();
        let end = timeout(Duration::from_millis(50), ends.next()).await;
        assert!(end.is_err(), "{end:?}");
    });
}

/// Guards against a service that ends, or goes on blind, as a task ends that only tells of it.
#[test]
fn a_task_that_is_kept_running_starts_again_and_is_not_reported() {
    run_local(async {
        let (supervisor, mut ends) = supervisor();
        let starts = Rc::new(Cell::new(0));
        let counted = starts.clone();
        supervisor.keep_running("admin address", move || {
            counted.set(counted.get() + 1);
            let start = counted.get();
            async move {
                match start {
                    1 => panic!("on purpose"),
                    2 => {}
                    _ => std::future::pending().await,
                }
            }
        });
        // Two pauses, of 0.1 and 0.2 s.
        let end = timeout(Duration::from_secs(2), ends.next()).await;
        assert!(end.is_err(), "{end:?}");
        assert_eq!(starts.get(), 3);
    });
}

/// Guards against a task that goes on after whoever needed it has gone.
#[test]
fn a_kept_task_ends_with_its_owner() {
    run_local(async {
        let alive = Rc::new(());
        let held = alive.clone();
        let task = keep_running("held", move || {
            let held = held.clone();
            async move {
                let _held = held;
                std::future::pending().await
            }
        });
        sleep(Duration::from_millis(5)).await;
        assert_eq!(Rc::strong_count(&alive), 3, "it runs");
        drop(task);
        sleep(Duration::from_millis(5)).await;
        assert_eq!(Rc::strong_count(&alive), 1);
    });
}

/// Guards against a task that does its one thing again and again.
#[test]
fn a_task_with_one_thing_to_do_starts_again_only_after_a_panic() {
    run_local(async {
        let starts = Rc::new(Cell::new(0));
        let counted = starts.clone();
        run_until_done("one thing", move || {
            counted.set(counted.get() + 1);
            let start = counted.get();
            async move { assert!(start > 1, "on purpose") }
        });
        // The first pause, of 0.1 s, and the second, of 0.2 s.
        sleep(Duration::from_millis(600)).await;
        assert_eq!(starts.get(), 2);
    });
}

/// Guards against restarts that only the log tells of.
#[test]
fn each_restart_is_counted() {
    run_local(async {
        let restarts = Counter::default();
        count_restarts_by(restarts.clone());
        let starts = Rc::new(Cell::new(0));
        run_until_done("one thing", move || {
            starts.set(starts.get() + 1);
            let start = starts.get();
            async move { assert!(start > 2, "on purpose") }
        });
        // Two pauses, of 0.1 and 0.2 s.
        sleep(Duration::from_secs(1)).await;
        assert_eq!(restarts.get(), 2);
    });
}
