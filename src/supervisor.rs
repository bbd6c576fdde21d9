//! Supervision of the tasks of a process, so that none of them ends unnoticed.
//!
//! A process needs some tasks for its service ([`Supervisor::spawn`]). The end of one is reported
//! by name, and the program shuts down as on SIGTERM: requests in progress get their responses,
//! leases expire, and the exit code is that of a failure, so that the service manager restarts the
//! process.
//!
//! Other tasks only report on a process, or receive updates for it ([`Supervisor::keep_running`],
//! [`keep_running`]). Requests are served without them from the state that the process has, so
//! their end must not end the service, in particular if one malformed input reaches all processes.
//! They are restarted. A task that completes ([`run_until_done`]) is restarted only after a panic.

use dewrun_admin::Counter;
use std::cell::RefCell;
use std::future::Future;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, AbortHandle, JoinError, JoinHandle};
use tokio::time::sleep;

/// The delay before the first restart of a task; it doubles with each further restart.
const INITIAL_RESTART_DELAY: Duration = Duration::from_millis(100);
const MAX_RESTART_DELAY: Duration = Duration::from_secs(30);
/// The delay is reset if a task has run for this time, as its end then has another cause than the
/// previous one.
const RESTART_DELAY_RESET: Duration = Duration::from_secs(60);

thread_local! {
    /// Counts the restarts of all tasks, which run on one thread.
    static RESTARTS: RefCell<Counter> = RefCell::default();
}

/// Sets the counter of restarts.
pub fn set_restart_counter(counter: Counter) {
    RESTARTS.set(counter);
}

/// The end of a supervised task.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TaskEnded {
    /// The task has panicked; the panic message is on standard error.
    #[error("the task {name} has panicked")]
    Panicked {
        /// The name of the task.
        name: &'static str,
    },
    /// The task has returned.
    #[error("the task {name} has ended")]
    Returned {
        /// The name of the task.
        name: &'static str,
    },
}

/// Starts the tasks that run for as long as the process serves.
pub struct Supervisor {
    ended: mpsc::UnboundedSender<TaskEnded>,
}

/// Receives the reports of a [`Supervisor`].
pub struct TaskEnds {
    ended: mpsc::UnboundedReceiver<TaskEnded>,
}

/// Creates a supervisor and the receiver of its reports.
pub fn supervisor() -> (Supervisor, TaskEnds) {
    let (sender, receiver) = mpsc::unbounded_channel();
    (Supervisor { ended: sender }, TaskEnds { ended: receiver })
}

impl Supervisor {
    /// Starts a task. Its end is reported, unless it is aborted by the handle.
    pub fn spawn(
        &self,
        name: &'static str,
        task: impl Future<Output = ()> + 'static,
    ) -> AbortHandle {
        let task = spawn_local(task);
        let handle = task.abort_handle();
        let ended = self.ended.clone();
        spawn_local(async move {
            if let Some(end) = end_of(name, task.await) {
                // The receiver no longer exists while the process stops.
                let _ = ended.send(end);
            }
        });
        handle
    }

    /// Starts a task, and restarts it after a delay whenever it ends.
    pub fn keep_running<T>(&self, name: &'static str, make_task: impl FnMut() -> T + 'static)
    where
        T: Future<Output = ()> + 'static,
    {
        spawn_local(run_with_restarts(name, make_task, RestartPolicy::Always));
    }
}

/// The handle of a task that is restarted whenever it ends. Dropping the handle aborts the task.
pub struct SupervisedTask(AbortHandle);

impl Drop for SupervisedTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Starts a task, and restarts it after a delay whenever it ends, until the returned handle is
/// dropped. `make_task` itself must not panic; code that can panic belongs in the task.
#[must_use]
pub fn keep_running<T>(name: &'static str, make_task: impl FnMut() -> T + 'static) -> SupervisedTask
where
    T: Future<Output = ()> + 'static,
{
    SupervisedTask(
        spawn_local(run_with_restarts(name, make_task, RestartPolicy::Always)).abort_handle(),
    )
}

/// Starts a task, and restarts it after a delay whenever it panics, until it returns.
pub fn run_until_done<T>(name: &'static str, make_task: impl FnMut() -> T + 'static)
where
    T: Future<Output = ()> + 'static,
{
    spawn_local(run_with_restarts(
        name,
        make_task,
        RestartPolicy::AfterPanic,
    ));
}

/// The ends of a task after which it is restarted.
#[derive(Clone, Copy, PartialEq)]
enum RestartPolicy {
    Always,
    AfterPanic,
}

/// A running task that is aborted when the future that waits for it is dropped.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn run_with_restarts<T>(
    name: &'static str,
    mut make_task: impl FnMut() -> T,
    policy: RestartPolicy,
) where
    T: Future<Output = ()> + 'static,
{
    let mut delay = INITIAL_RESTART_DELAY;
    loop {
        let started = Instant::now();
        let mut task = AbortOnDrop(spawn_local(make_task()));
        let Some(end) = end_of(name, (&mut task.0).await) else {
            return;
        };
        if policy == RestartPolicy::AfterPanic && matches!(end, TaskEnded::Returned { .. }) {
            return;
        }
        if started.elapsed() >= RESTART_DELAY_RESET {
            delay = INITIAL_RESTART_DELAY;
        }
        tracing::error!("{end}; restarting it in {} ms", delay.as_millis());
        RESTARTS.with_borrow(Counter::inc);
        sleep(delay).await;
        delay = (2 * delay).min(MAX_RESTART_DELAY);
    }
}

fn end_of(name: &'static str, result: Result<(), JoinError>) -> Option<TaskEnded> {
    match result {
        Ok(()) => Some(TaskEnded::Returned { name }),
        Err(error) if error.is_panic() => Some(TaskEnded::Panicked { name }),
        Err(_) => None,
    }
}

impl TaskEnds {
    /// Waits for the next end of a task; never returns if no task ends.
    pub async fn next(&mut self) -> TaskEnded {
        match self.ended.recv().await {
            Some(end) => end,
            None => std::future::pending().await,
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
