//! Watches the tasks of a process, so that none of them can end unnoticed.
//!
//! Without some tasks a process serves wrongly or not at all ([`Supervisor::spawn`]). The end of one
//! is reported by name, and the program stops as on SIGTERM: clients are answered, leases end by
//! their own clocks, and the exit code is that of a failure, so that whoever runs the process starts
//! it anew.
//!
//! Others only tell of a process, or bring it news ([`Supervisor::keep_running`], [`keep_running`]).
//! Requests are served without them by what is known, so their end must not end the service, least
//! of all where one bad input reaches all processes. They are started again. A task with one thing to
//! do ([`run_until_done`]) is started again only if it has panicked.

use dewrun_admin::Counter;
use std::cell::RefCell;
use std::future::Future;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, AbortHandle, JoinError, JoinHandle};
use tokio::time::sleep;

/// The pause before a task is started again for the first time; it doubles with each further end.
const INITIAL_RESTART_PAUSE: Duration = Duration::from_millis(100);
const MAX_RESTART_PAUSE: Duration = Duration::from_secs(30);
/// A task that ran for so long has not ended for the reason of the end before.
const RESTART_PAUSE_RESET: Duration = Duration::from_secs(60);

thread_local! {
    /// Counts the restarts of all tasks: they run on one thread.
    static RESTARTS: RefCell<Counter> = RefCell::default();
}

/// Counts restarts by this counter from now on.
pub fn count_restarts_by(counter: Counter) {
    RESTARTS.set(counter);
}

/// A task that was to run for as long as the process serves, and has ended.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TaskEnded {
    /// The task has panicked; the panic's own line is on standard error.
    #[error("the task {name} has panicked")]
    Panicked {
        /// Which task.
        name: &'static str,
    },
    /// The task has returned.
    #[error("the task {name} has ended")]
    Returned {
        /// Which task.
        name: &'static str,
    },
}

/// Starts tasks that are to run for as long as the process serves.
pub struct Supervisor {
    ended: mpsc::UnboundedSender<TaskEnded>,
}

/// The reports of a [`Supervisor`].
pub struct TaskEnds {
    ended: mpsc::UnboundedReceiver<TaskEnded>,
}

/// A supervisor, and the reports of the tasks that it will start.
pub fn supervisor() -> (Supervisor, TaskEnds) {
    let (sender, receiver) = mpsc::unbounded_channel();
    (Supervisor { ended: sender }, TaskEnds { ended: receiver })
}

impl Supervisor {
    /// Starts a task. Its end is reported unless it is aborted by the handle.
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
                // Nobody listens any more once the process stops.
                let _ = ended.send(end);
            }
        });
        handle
    }

    /// Starts a task, and starts it again after a pause whenever it has ended.
    pub fn keep_running<T>(&self, name: &'static str, make_task: impl FnMut() -> T + 'static)
    where
        T: Future<Output = ()> + 'static,
    {
        spawn_local(restart(name, make_task, Restart::Always));
    }
}

/// A task that is kept running until this is dropped.
pub struct SupervisedTask(AbortHandle);

impl Drop for SupervisedTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Starts a task, and starts it again after a pause whenever it has ended, until what is returned
/// is dropped. `make_task` itself must not panic: what can belongs into the task.
#[must_use]
pub fn keep_running<T>(name: &'static str, make_task: impl FnMut() -> T + 'static) -> SupervisedTask
where
    T: Future<Output = ()> + 'static,
{
    SupervisedTask(spawn_local(restart(name, make_task, Restart::Always)).abort_handle())
}

/// Starts a task that has one thing to do, and starts it again after a pause whenever it has
/// panicked, until it returns.
pub fn run_until_done<T>(name: &'static str, make_task: impl FnMut() -> T + 'static)
where
    T: Future<Output = ()> + 'static,
{
    spawn_local(restart(name, make_task, Restart::AfterPanic));
}

/// Which ends of a task are followed by a start.
#[derive(Clone, Copy, PartialEq)]
enum Restart {
    Always,
    AfterPanic,
}

/// A running task that ends with whoever waits for it.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn restart<T>(name: &'static str, mut make_task: impl FnMut() -> T, restart: Restart)
where
    T: Future<Output = ()> + 'static,
{
    let mut pause = INITIAL_RESTART_PAUSE;
    loop {
        let started = Instant::now();
        let mut task = AbortOnDrop(spawn_local(make_task()));
        let Some(end) = end_of(name, (&mut task.0).await) else {
            return;
        };
        if restart == Restart::AfterPanic && matches!(end, TaskEnded::Returned { .. }) {
            return;
        }
        if started.elapsed() >= RESTART_PAUSE_RESET {
            pause = INITIAL_RESTART_PAUSE;
        }
        tracing::error!("{end}; starting it again in {} ms", pause.as_millis());
        RESTARTS.with_borrow(Counter::inc);
        sleep(pause).await;
        pause = (2 * pause).min(MAX_RESTART_PAUSE);
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
    /// The next task that has ended; waits for ever if none does.
    pub async fn next(&mut self) -> TaskEnded {
        match self.ended.recv().await {
            Some(end) => end,
            None => std::future::pending().await,
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
