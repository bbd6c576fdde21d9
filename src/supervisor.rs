//! Watches the tasks without which a process serves wrongly, so that none of them can end unnoticed.
//!
//! A task that panics or returns is reported by name. The program then stops as on SIGTERM: clients
//! are answered, leases end by their own clocks, and the exit code is that of a failure, so that
//! whoever runs the process starts it anew.

use std::future::Future;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, AbortHandle, JoinError};

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
mod tests;
