//! The records of a play, from which the judge derives its findings.

use super::client::{Call, CallOutcome};
use super::schedule::{EndpointList, Step};
use super::Deployment;
use crate::audit::ExecutionRecord;
use std::time::{Duration, Instant};

/// An endpoint list, and when the processes counted as notified of it.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// When the change started. From then on the ready endpoints of the list may get requests.
    pub started_at: Instant,
    /// When all processes counted as notified.
    pub notified_at: Instant,
    /// The list after the change.
    pub list: EndpointList,
}

/// Why a process exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCause {
    /// The process got SIGTERM or SIGINT first.
    Terminated,
    /// The process got SIGKILL and no other signal to exit before.
    Killed,
    /// The process got no signal to exit.
    Unprompted,
}

/// How a process exited.
#[derive(Clone, Copy, Debug)]
pub struct ProcessExit {
    /// Why the process exited.
    pub cause: ExitCause,
    /// When the process got the first signal to exit; without one, when its exit was noticed.
    pub started_at: Instant,
    /// How long the exit took; `None` if the process got SIGKILL because it still ran after SIGTERM
    /// or SIGINT.
    pub duration: Option<Duration>,
    /// How long the exit may take.
    pub time_limit: Duration,
    /// Whether the exit code reported success.
    pub is_success: bool,
}

/// A process from its start to its exit.
#[derive(Clone, Copy, Debug)]
pub struct ProcessRun {
    /// The number of the process. A process that replaces it at the same address has the same
    /// number.
    pub process: usize,
    /// When the process was started.
    pub started_at: Instant,
    /// When the process was first requested to drain, through its control address.
    pub drain_started_at: Option<Instant>,
    /// How the process exited.
    pub exit: ProcessExit,
}

impl ProcessRun {
    /// Returns the time from which the process closes connections that carry no request.
    pub fn closes_idle_connections_from(&self) -> Instant {
        self.drain_started_at.unwrap_or(self.exit.started_at)
    }
}

/// A stop and a cold start of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointRestart {
    /// The number of the endpoint.
    pub endpoint: usize,
    /// When the endpoint stopped.
    pub stopped_at: Instant,
    /// When the endpoint accepted connections again.
    pub started_at: Instant,
    /// When all processes counted as notified of the start.
    pub notified_at: Instant,
}

/// The resources that a process held after the last step, while clients still sent requests.
#[derive(Clone, Copy, Debug)]
pub struct ResourceUsage {
    /// The resident memory.
    pub memory_kib: usize,
    /// The number of open file descriptors.
    pub descriptors: usize,
}

/// The records of a play.
#[derive(Clone, Debug)]
pub struct Records {
    /// The deployment of the processes.
    pub deployment: Deployment,
    /// When clients started to send requests.
    pub started_at: Instant,
    /// The steps, each with its time since the start of the play.
    pub steps: Vec<(Duration, Step)>,
    /// The requests, as clients recorded them.
    pub calls: Vec<Call>,
    /// The requests that reached endpoints, as these recorded them.
    pub executions: Vec<ExecutionRecord>,
    /// The endpoint lists, in order.
    pub list_changes: Vec<ListChange>,
    /// The changes of endpoint behavior: when each came, and the only faulty endpoint from then on,
    /// if any.
    pub endpoint_faults: Vec<(Instant, Option<usize>)>,
    /// The restarts of endpoints.
    pub endpoint_restarts: Vec<EndpointRestart>,
    /// The start and the end of each span in which discovery served no lists.
    pub discovery_outages: Vec<(Instant, Instant)>,
    /// When clients that send nothing opened many connections at once.
    pub connection_bursts: Vec<Instant>,
    /// The runs of all processes; those with the same process number are in order.
    pub process_runs: Vec<ProcessRun>,
    /// The resources that each running process held.
    pub usage: Vec<ResourceUsage>,
    /// The logs, one for each process number.
    pub logs: Vec<String>,
}

impl Records {
    /// Returns the number of requests that got a response with status 200.
    pub fn served_count(&self) -> usize {
        let is_served = |call: &&Call| matches!(call.outcome, CallOutcome::Response(200, _));
        self.calls.iter().filter(is_served).count()
    }

    /// Returns the process run to which the connection of a request was opened.
    pub fn process_run(&self, call: &Call) -> &ProcessRun {
        let mut runs = self
            .process_runs
            .iter()
            .filter(|run| run.process == call.process);
        let first = runs.next().expect("each process has a run");
        let later = runs.take_while(|run| run.started_at <= call.connect_started_at);
        later.last().unwrap_or(first)
    }
}
