//! What a play recorded, for the judge.

use super::client::{Call, CallEnd};
use super::schedule::{List, Step};
use super::Deployment;
use crate::audit::ExecutionRecord;
use std::time::{Duration, Instant};

/// A list, and when the processes counted as notified of it.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// When its change began: from then on its ready endpoints may get requests.
    pub begun: Instant,
    /// When all counted as notified.
    pub notified: Instant,
    /// The list.
    pub list: List,
}

/// Why a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It got SIGTERM.
    Terminated,
    /// It got SIGKILL, with no SIGTERM before.
    Killed,
    /// By itself.
    Itself,
}

/// How a process ended.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// Why.
    pub cause: Cause,
    /// When it got its signal.
    pub begun: Instant,
    /// How long it took; `None` if SIGKILL found it running after a SIGTERM.
    pub took: Option<Duration>,
    /// How long it may take.
    pub limit: Duration,
    /// It ended as it should, by its exit code.
    pub is_success: bool,
}

/// A process from its start to its end.
#[derive(Clone, Copy, Debug)]
pub struct Life {
    /// Its number: its successor at the same address has the same.
    pub process: usize,
    /// When it was started.
    pub begun: Instant,
    /// When it was told by its second address to drain.
    pub drained: Option<Instant>,
    /// Its end.
    pub stop: Stop,
}

impl Life {
    /// From when on connections are closed that do not carry a request.
    pub fn closes_from(&self) -> Instant {
        self.drained.unwrap_or(self.stop.begun)
    }
}

/// An endpoint that ended and started again, cold.
#[derive(Clone, Copy, Debug)]
pub struct EndpointRestart {
    /// Its number.
    pub endpoint: usize,
    /// When it ended.
    pub ended: Instant,
    /// When it was up again.
    pub started: Instant,
    /// When all processes counted as notified of its start.
    pub notified: Instant,
}

/// What a process held while clients called, at the end of the steps.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Resident memory.
    pub memory_kib: usize,
    /// Open descriptors.
    pub descriptors: usize,
}

/// All that a play recorded.
#[derive(Clone, Debug)]
pub struct Records {
    /// The deployment of the processes.
    pub deployment: Deployment,
    /// When clients began to call.
    pub begun: Instant,
    /// The steps, each with how long after that it was taken.
    pub steps: Vec<(Duration, Step)>,
    /// By clients.
    pub calls: Vec<Call>,
    /// By endpoints.
    pub ran: Vec<ExecutionRecord>,
    /// The lists, in order.
    pub lists: Vec<ListChange>,
    /// Which endpoint misbehaved from when on; none where all behave well again.
    pub troubles: Vec<(Instant, Option<usize>)>,
    /// The endpoints that ended.
    pub endpoint_restarts: Vec<EndpointRestart>,
    /// From when until when discovery could not be reached.
    pub outages: Vec<(Instant, Instant)>,
    /// When crowds connected.
    pub crowds: Vec<Instant>,
    /// The processes, those of one number in order.
    pub lives: Vec<Life>,
    /// What each process held.
    pub usage: Vec<Usage>,
    /// The log of each process.
    pub logs: Vec<String>,
}

impl Records {
    /// Requests that were answered with 200.
    pub fn served(&self) -> usize {
        let is_served = |call: &&Call| matches!(call.end, CallEnd::Answered(200, _));
        self.calls.iter().filter(is_served).count()
    }

    /// The process that a request's connection was made to.
    pub fn life(&self, call: &Call) -> &Life {
        let mut lives = self.lives.iter().filter(|l| l.process == call.process);
        let first = lives.next().expect("each process has a life");
        let later = lives.take_while(|life| life.begun <= call.connected);
        later.last().unwrap_or(first)
    }
}
