//! Tests of the reports and restarts of tasks.

use super::{keep_running, run_until_done, set_restart_counter, supervisor, TaskEnded};
use dewrun_admin::Counter;
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

/// Runs a test and its tasks on this thread, as the program does.
pub(crate) fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Guards against a process that keeps serving without one of the tasks that it needs.
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

/// Guards against a service that ends, or is no longer observable, after the end of a task that
/// only reports on it.
#[test]
fn a_task_that_is_kept_running_is_restarted_and_not_reported() {
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
        // There are two restart delays, of 0.1 and 0.2 s.
        let end = timeout(Duration::from_secs(2), ends.next()).await;
        assert!(end.is_err(), "{end:?}");
        assert_eq!(starts.get(), 3);
    });
}

/// Guards against a task that keeps running after its owner was dropped.
#[test]
fn a_supervised_task_ends_when_its_handle_is_dropped() {
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

/// Guards against a task that is repeated after it has completed.
#[test]
fn a_task_that_completes_is_restarted_only_after_a_panic() {
    run_local(async {
        let starts = Rc::new(Cell::new(0));
        let counted = starts.clone();
        run_until_done("one thing", move || {
            counted.set(counted.get() + 1);
            let start = counted.get();
            async move { assert!(start > 1, "on purpose") }
        });
        // The first restart delay is 0.1 s, and the second would be 0.2 s.
        sleep(Duration::from_millis(600)).await;
        assert_eq!(starts.get(), 2);
    });
}

/// Guards against restarts that only the log shows.
#[test]
fn each_restart_is_counted() {
    run_local(async {
        let restarts = Counter::default();
        set_restart_counter(restarts.clone());
        let starts = Rc::new(Cell::new(0));
        run_until_done("one thing", move || {
            starts.set(starts.get() + 1);
            let start = starts.get();
            async move { assert!(start > 2, "on purpose") }
        });
        // There are two restart delays, of 0.1 and 0.2 s.
        sleep(Duration::from_secs(1)).await;
        assert_eq!(restarts.get(), 2);
    });
}
