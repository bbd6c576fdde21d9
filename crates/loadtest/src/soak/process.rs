//! One process of a play, and its successors at the same address.

use super::records::{ExitCause, ProcessExit, ProcessRun};
use dewrun_test_support::Daemon;
use std::time::{Duration, Instant};

/// The signal that a process has got to end by.
#[derive(Clone, Copy, Debug)]
struct Ending {
    cause: ExitCause,
    at: Instant,
}

/// A process that runs, and what is known of those before it.
pub struct Process {
    daemon: Daemon,
    number: usize,
    begun: Instant,
    drained: Option<Instant>,
    ending: Option<Ending>,
    /// How long it may take to end.
    limit: Duration,
    /// The processes of this number that have ended.
    lives: Vec<ProcessRun>,
    logs: String,
}

impl Process {
    /// The first process of a number.
    pub fn first(daemon: Daemon, number: usize, limit: Duration) -> Process {
        Process {
            daemon,
            number,
            begun: Instant::now(),
            drained: None,
            ending: None,
            limit,
            lives: Vec::new(),
            logs: String::new(),
        }
    }

    /// The program that runs, or has run last.
    pub fn daemon(&mut self) -> &mut Daemon {
        &mut self.daemon
    }

    /// Whether it runs and has got no signal to end by.
    pub fn is_in_service(&mut self) -> bool {
        self.is_running() && self.ending.is_none()
    }

    /// Whether it has not ended. Records the end when it is seen first.
    pub fn is_running(&mut self) -> bool {
        if self
            .lives
            .last()
            .is_some_and(|life| life.started_at == self.begun)
        {
            return false;
        }
        if self.daemon.is_running() {
            return true;
        }
        self.record_end(Some(Instant::now()));
        false
    }

    fn record_end(&mut self, ended: Option<Instant>) {
        let ending = self.ending.unwrap_or(Ending {
            cause: ExitCause::Unprompted,
            at: Instant::now(),
        });
        self.lives.push(ProcessRun {
            process: self.number,
            started_at: self.begun,
            drain_started_at: self.drained,
            exit: ProcessExit {
                cause: ending.cause,
                started_at: ending.at,
                duration: ended.map(|ended| ended - ending.at),
                time_limit: self.limit,
                is_success: self.daemon.wait().success(),
            },
        });
        self.logs.push_str(&self.daemon.log());
    }

    /// Sends a signal, if it runs. The first SIGTERM or SIGINT begins its end.
    pub fn signal(&mut self, signal: &str) {
        if !self.is_running() {
            return;
        }
        if signal != "-HUP" {
            self.ending.get_or_insert(Ending {
                cause: ExitCause::Terminated,
                at: Instant::now(),
            });
        }
        self.daemon.signal(signal);
    }

    /// Notes that it was told to drain.
    pub fn drain(&mut self) {
        self.drained.get_or_insert(Instant::now());
    }

    /// Ends it by SIGKILL, if it runs. After a SIGTERM this is a failure to stop.
    pub fn kill(&mut self) {
        if !self.is_running() {
            return;
        }
        let is_terminated = self.ending.is_some();
        self.ending.get_or_insert(Ending {
            cause: ExitCause::Killed,
            at: Instant::now(),
        });
        self.daemon.signal("-KILL");
        self.daemon.wait();
        self.record_end(Some(Instant::now()).filter(|_| !is_terminated));
    }

    /// Since when it has been ending.
    pub fn ends_since(&self) -> Option<Instant> {
        self.ending.map(|ending| ending.at)
    }

    /// Puts a successor in the place of one that has ended.
    pub fn succeed(&mut self, daemon: Daemon) {
        self.daemon = daemon;
        self.begun = Instant::now();
        self.drained = None;
        self.ending = None;
    }

    /// All processes of this number, which have ended, and their logs.
    pub fn into_lives(self) -> (Vec<ProcessRun>, String) {
        (self.lives, self.logs)
    }
}
