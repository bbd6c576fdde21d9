//! Ends of tasks.

use super::{supervisor, TaskEnded};
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

/// Guards against a process that goes on serving without one of its tasks.
#[test]
fn a_task_that_panics_or_returns_is_reported_by_name() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
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
