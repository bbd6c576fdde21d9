//! A process under test and its replacements at the same address.

use super::records::{ExitCause, ProcessExit, ProcessRun};
use dewrun_test_support::Daemon;
use std::time::{Duration, Instant};

/// The first signal that asked a process to exit, or killed it.
#[derive(Clone, Copy, Debug)]
struct StopSignal {
    cause: ExitCause,
    sent_at: Instant,
}

/// The current process with a number, and the records of its predecessors.
pub struct Process {
    daemon: Daemon,
    number: usize,
    started_at: Instant,
    drain_started_at: Option<Instant>,
    stop_signal: Option<StopSignal>,
    /// The time within which the process must exit after the first signal to exit.
    max_stop_time: Duration,
    /// The processes with this number that have exited.
    exited_runs: Vec<ProcessRun>,
    /// The logs of the processes in `exited_runs`.
    logs: String,
}

impl Process {
    /// Creates the record of the first process with this number, which has just been started.
    pub fn new(daemon: Daemon, number: usize, max_stop_time: Duration) -> Process {
        Process {
            daemon,
            number,
            started_at: Instant::now(),
            drain_started_at: None,
            stop_signal: None,
            max_stop_time,
            exited_runs: Vec::new(),
            logs: String::new(),
        }
    }

    /// Returns the current process, or the last one if it has exited.
    pub fn daemon(&mut self) -> &mut Daemon {
        &mut self.daemon
    }

    /// Returns whether the process is running and no signal has asked it to exit.
    pub fn is_in_service(&mut self) -> bool {
        self.is_running() && self.stop_signal.is_none()
    }

    /// Returns whether the process is running. Records its exit at the first call after it.
    pub fn is_running(&mut self) -> bool {
        if self
            .exited_runs
            .last()
            .is_some_and(|run| run.started_at == self.started_at)
        {
            return false;
        }
        if self.daemon.is_running() {
            return true;
        }
        self.record_exit(Some(Instant::now()));
        false
    }

    /// Records the exit of the process. `exited_at` is `None` if the process had to be killed after
    /// SIGTERM or SIGINT.
    fn record_exit(&mut self, exited_at: Option<Instant>) {
        let stop_signal = self.stop_signal.unwrap_or(StopSignal {
            cause: ExitCause::Unprompted,
            sent_at: Instant::now(),
        });
        self.exited_runs.push(ProcessRun {
            process: self.number,
            started_at: self.started_at,
            drain_started_at: self.drain_started_at,
            exit: ProcessExit {
                cause: stop_signal.cause,
                started_at: stop_signal.sent_at,
                duration: exited_at.map(|exited_at| exited_at - stop_signal.sent_at),
                time_limit: self.max_stop_time,
                is_success: self.daemon.wait().success(),
            },
        });
        self.logs.push_str(&self.daemon.log());
    }

    /// Sends a signal if the process is running. The stop time starts with the first signal other
    /// than SIGHUP.
    pub fn signal(&mut self, signal: &str) {
        if !self.is_running() {
            return;
        }
        if signal != "-HUP" {
            self.stop_signal.get_or_insert(StopSignal {
                cause: ExitCause::Terminated,
                sent_at: Instant::now(),
            });
        }
        self.daemon.signal(signal);
    }

    /// Records the time of the first request to drain.
    pub fn record_drain(&mut self) {
        self.drain_started_at.get_or_insert(Instant::now());
    }

    /// Kills the process by SIGKILL if it is running. After SIGTERM or SIGINT this is recorded as a
    /// failure to stop.
    pub fn kill(&mut self) {
        if !self.is_running() {
            return;
        }
        let is_terminated = self.stop_signal.is_some();
        self.stop_signal.get_or_insert(StopSignal {
            cause: ExitCause::Killed,
            sent_at: Instant::now(),
        });
        self.daemon.signal("-KILL");
        self.daemon.wait();
        self.record_exit(Some(Instant::now()).filter(|_| !is_terminated));
    }

    /// Returns when the first signal to exit was sent.
    pub fn stop_signal_sent_at(&self) -> Option<Instant> {
        self.stop_signal.map(|signal| signal.sent_at)
    }

    /// Replaces a process that has exited with one that has just been started.
    pub fn replace(&mut self, daemon: Daemon) {
        self.daemon = daemon;
        self.started_at = Instant::now();
        self.drain_started_at = None;
        self.stop_signal = None;
    }

    /// Returns the records and the logs of all processes with this number. All of them must have
    /// exited.
    pub fn into_records(self) -> (Vec<ProcessRun>, String) {
        (self.exited_runs, self.logs)
    }
}
