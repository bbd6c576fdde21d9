//! Checks the four rules of request handling against what clients and backends recorded.
//!
//! 1. Every request gets exactly one response, and a 200 response comes from a backend.
//! 2. A request that is not idempotent is executed at most once, and not at all if it was rejected.
//! 3. A backend gets no new requests once the grace period after its removal notice is over.
//! 4. A backend that has just started is not overloaded.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EffectClass {
    /// May be executed more than once.
    Idempotent,
    /// May be executed at most once; a rejected request must not have been executed.
    NonIdempotent,
    /// May be executed at most once: a retry with the same key is dropped. The client may retry
    /// elsewhere with that key, so a rejected request may have been executed.
    Keyed,
}

/// A request as its client saw it.
#[derive(Clone, Debug)]
pub struct ClientRecord {
    /// Request id.
    pub id: String,
    /// Effect class of the request.
    pub effect: EffectClass,
    /// Statuses of all responses to the request.
    pub statuses: Vec<u16>,
}

/// A request as a backend saw it.
#[derive(Clone, Debug)]
pub struct ExecutionRecord {
    /// Request id.
    pub id: String,
    /// Number of the backend.
    pub backend: usize,
    /// Time of arrival at the backend.
    pub at: Instant,
}

/// A notice that a backend is draining or gone.
#[derive(Clone, Copy, Debug)]
pub struct RemovalNotice {
    /// Number of the backend.
    pub backend: usize,
    /// Time of the notice.
    pub at: Instant,
}

/// A start of a backend whose capacity rises linearly while it warms up.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// Number of the backend.
    pub backend: usize,
    /// Time of the start.
    pub started: Instant,
    /// Capacity after the warm-up, in requests per second.
    pub warm_capacity_per_s: f64,
    /// Capacity at the start, as a fraction of the warm capacity.
    pub initial_fraction: f64,
    /// Duration of the warm-up.
    pub warm_up: Duration,
    /// Multiple of the current capacity above which the backend is overloaded.
    pub overload_factor: f64,
    /// Period over which requests are counted against the capacity.
    pub window: Duration,
}

/// A violation of one of the rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Rule 1: the request with this id had this number of responses, which is not one.
    ResponseCount(String, usize),
    /// Rule 1: the request with this id had a 200 response, but reached no backend.
    NeverExecuted(String),
    /// Rule 2: the request with this id was executed this number of times.
    RepeatedExecution(String, usize),
    /// Rule 2: the request with this id was rejected although it was executed, so that a retry by
    /// its client would execute it again.
    RejectedButExecuted(String),
    /// Rule 3: the backend got its last request this long after its removal notice, which is more
    /// than the grace period.
    LateRequest(usize, Duration),
    /// Rule 4: the backend with the first number got the second number of requests in one window
    /// after its start, so it was overloaded.
    Overload(usize, usize),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::ResponseCount(id, count) => {
                write!(f, "rule 1: request {id} had {count} responses")
            }
            Violation::NeverExecuted(id) => {
                write!(f, "rule 1: request {id} was served but reached no backend")
            }
            Violation::RepeatedExecution(id, count) => {
                write!(f, "rule 2: request {id} was executed {count} times")
            }
            Violation::RejectedButExecuted(id) => {
                write!(f, "rule 2: request {id} was rejected but executed")
            }
            Violation::LateRequest(backend, delay) => {
                write!(
                    f,
                    "rule 3: backend {backend} got a new request {delay:?} after its removal notice"
                )
            }
            Violation::Overload(backend, count) => {
                write!(
                    f,
                    "rule 4: backend {backend} got {count} requests in one window after its cold start, which overloaded it"
                )
            }
        }
    }
}

/// All records of a run.
#[derive(Clone, Debug, Default)]
pub struct RequestLedger {
    /// Requests as clients saw them.
    pub requests: Vec<ClientRecord>,
    /// Requests as backends saw them.
    pub executions: Vec<ExecutionRecord>,
    /// Notices of backends that were draining or gone.
    pub removals: Vec<RemovalNotice>,
    /// Starts of backends.
    pub cold_starts: Vec<ColdStart>,
    /// Period after a removal notice during which the backend may still get new requests.
    pub drain_grace: Duration,
}

impl RequestLedger {
    /// Returns all violations that the records show.
    pub fn audit(&self) -> Vec<Violation> {
        let mut execution_counts: BTreeMap<&str, usize> = BTreeMap::new();
        for execution in &self.executions {
            *execution_counts.entry(&execution.id).or_default() += 1;
        }
        let mut violations = Vec::new();
        for request in &self.requests {
            let id = &request.id;
            let executions = execution_counts.get(id.as_str()).copied().unwrap_or(0);
            if request.statuses.len() != 1 {
                violations.push(Violation::ResponseCount(id.clone(), request.statuses.len()));
            }
            if request.statuses.contains(&200) && executions == 0 {
                violations.push(Violation::NeverExecuted(id.clone()));
            }
            if request.effect != EffectClass::Idempotent && executions > 1 {
                violations.push(Violation::RepeatedExecution(id.clone(), executions));
            }
            let is_rejected = request
                .statuses
                .iter()
                .any(|status| matches!(status, 429 | 503));
            if request.effect == EffectClass::NonIdempotent && is_rejected && executions > 0 {
                violations.push(Violation::RejectedButExecuted(id.clone()));
            }
        }
        for removal in &self.removals {
            let late = self.executions.iter().filter(|execution| {
                execution.backend == removal.backend && execution.at > removal.at + self.drain_grace
            });
            violations.extend(
                late.map(|execution| execution.at - removal.at)
                    .max()
                    .map(|delay| Violation::LateRequest(removal.backend, delay)),
            );
        }
        violations.extend(
            self.cold_starts
                .iter()
                .filter_map(|start| self.find_overload(start)),
        );
        violations
    }

    /// Returns a violation for the first window after a cold start in which the backend was
    /// overloaded, by its capacity at the start of the window.
    fn find_overload(&self, start: &ColdStart) -> Option<Violation> {
        let executions = self
            .executions
            .iter()
            .filter(|execution| execution.backend == start.backend);
        let mut arrivals: Vec<Duration> = executions
            .filter_map(|execution| execution.at.checked_duration_since(start.started))
            .collect();
        arrivals.sort_unstable();
        arrivals.iter().enumerate().find_map(|(first, from)| {
            let count = arrivals[first..]
                .iter()
                .take_while(|at| **at < *from + start.window)
                .count();
            let progress = (from.as_secs_f64() / start.warm_up.as_secs_f64()).min(1.0);
            let capacity_per_s = start.warm_capacity_per_s
                * (start.initial_fraction + (1.0 - start.initial_fraction) * progress);
            let max_count = capacity_per_s * start.overload_factor * start.window.as_secs_f64();
            (count as f64 > max_count).then_some(Violation::Overload(start.backend, count))
        })
    }
}
