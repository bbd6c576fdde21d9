//! Checks the records of a play for faults. The records come from outside of the processes: from
//! clients, endpoints and the operating system.

use super::client::{Call, CallOutcome};
use super::cold_start::{overloaded_endpoints, warm_up_time};
use super::notification::MAX_NOTIFICATION_DELAY;
use super::records::{ExitCause, ListChange, ProcessRun, Records, ResourceUsage};
use super::schedule::{ListedState, ENDPOINT_COUNT};
use super::Deployment;
use crate::audit::{ClientRecord, EffectClass, RequestLedger, Violation};
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::time::{Duration, Instant};

/// An endpoint may still get new requests for this long after the processes were notified that it
/// is draining or gone.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// On a busy machine the record of a request may be this much later than the request was sent.
const MAX_RECORD_DELAY: Duration = Duration::from_millis(200);
/// A process may exit this much later than its time limit.
const MAX_EXIT_DELAY: Duration = Duration::from_millis(600);
/// After this time the processes know a ready and healthy endpoint and may send it as much as it
/// can serve.
const SETTLING_TIME: Duration = Duration::from_secs(2);
/// A second with fewer completed requests than this is not judged.
const MIN_CALLS_PER_SECOND: usize = 20;
/// The resident memory that a process may hold.
const MAX_MEMORY_KIB: usize = 64 * 1024;
/// The file descriptors that a process may hold: its own, those of clients and those of connections
/// to endpoints.
const MAX_DESCRIPTORS: usize = 120;

/// A fault that the records show.
#[derive(Clone, Debug, PartialEq)]
pub enum Finding {
    /// One of the four rules of [`audit`](crate::audit) was violated.
    RuleViolation(Violation),
    /// A client got the response of another request.
    WrongResponse {
        /// The id of the request.
        id: String,
        /// The body that the client got.
        body: String,
    },
    /// A client got no response to a request that may not be lost.
    LostRequest {
        /// The id of the request.
        id: String,
        /// How long after the start of the process's exit the request was lost, in milliseconds;
        /// `None` if it was lost before.
        after_exit_started_ms: Option<u128>,
        /// Whether the request reached an endpoint.
        has_run: bool,
        /// Whether the request was the first on its connection.
        is_first: bool,
    },
    /// An endpoint got a request too long after the processes were notified that it was draining or
    /// gone.
    LateRequest {
        /// The number of the endpoint.
        endpoint: usize,
        /// The longest time from a notification to such a request, in milliseconds.
        delay_ms: u128,
    },
    /// In one second of the play less than half of the requests were served, although an endpoint
    /// was ready and healthy.
    DegradedSecond {
        /// The number of the second, from 0.
        second: usize,
        /// The number of requests that were served.
        served: usize,
        /// The number of requests that got a response or were lost.
        completed: usize,
    },
    /// A process exited too late, with a failure, or without a signal.
    FaultyExit {
        /// Why the process exited.
        cause: ExitCause,
        /// How long the exit took; `None` if the process did not exit until it was killed.
        duration: Option<Duration>,
        /// Whether the exit code reported success.
        is_success: bool,
    },
    /// A process held too much memory or too many file descriptors.
    ExcessiveUsage {
        /// The resident memory.
        memory_kib: usize,
        /// The number of open file descriptors.
        descriptors: usize,
    },
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Finding::RuleViolation(violation) => violation.fmt(f),
            Finding::WrongResponse { id, body } => {
                write!(f, "request {id} got a response with the body {body:?} instead of its id")
            }
            Finding::LostRequest {
                id,
                after_exit_started_ms,
                has_run,
                is_first,
            } => write!(
                f,
                "rule 1: request {id} lost: after_stop_ms={after_exit_started_ms:?} ran={has_run} first={is_first}"
            ),
            Finding::LateRequest { endpoint, delay_ms } => {
                write!(f, "rule 3: endpoint {endpoint} got a request {delay_ms} ms after the notice")
            }
            Finding::DegradedSecond {
                second,
                served,
                completed,
            } => write!(f, "second {second}: {served} of {completed} served"),
            Finding::FaultyExit {
                cause,
                duration,
                is_success,
            } => write!(
                f,
                "a process exited incorrectly: cause={cause:?} duration={duration:?} success={is_success}"
            ),
            Finding::ExcessiveUsage {
                memory_kib,
                descriptors,
            } => write!(
                f,
                "a process held {memory_kib} KiB of memory and {descriptors} file descriptors, of at most {MAX_MEMORY_KIB} KiB and {MAX_DESCRIPTORS}"
            ),
        }
    }
}

/// Returns all faults that the records of a play show.
pub fn judge(records: &Records) -> Vec<Finding> {
    let executed_ids: HashSet<&str> = records
        .executions
        .iter()
        .map(|execution| execution.id.as_str())
        .collect();
    let mut findings = Vec::new();
    findings.extend(wrong_responses(&records.calls));
    findings.extend(lost_requests(records, &executed_ids));
    findings.extend(rule_violations(records));
    findings.extend(lost_requests_that_ran_twice(records));
    findings.extend(late_requests(records));
    findings.extend(overloaded_endpoints(records).map(Finding::RuleViolation));
    findings.extend(degraded_seconds(records));
    findings.extend(faulty_exits(&records.process_runs));
    findings.extend(records.usage.iter().filter_map(excessive_usage));
    findings
}

fn wrong_responses(calls: &[Call]) -> impl Iterator<Item = Finding> + '_ {
    calls.iter().filter_map(|call| match &call.outcome {
        CallOutcome::Response(200, body) if body != call.id.as_bytes() => {
            Some(Finding::WrongResponse {
                id: call.id.clone(),
                body: String::from_utf8_lossy(body).into_owned(),
            })
        }
        _ => None,
    })
}

/// Returns the requests without a response that may not be lost.
fn lost_requests<'a>(
    records: &'a Records,
    executed_ids: &'a HashSet<&str>,
) -> impl Iterator<Item = Finding> + 'a {
    let lost = records
        .calls
        .iter()
        .filter(|c| c.outcome == CallOutcome::ConnectionLost);
    lost.filter_map(|call| {
        let run = records.process_run(call);
        let has_run = executed_ids.contains(call.id.as_str());
        if may_be_lost(records, run, call, has_run) {
            return None;
        }
        let exit = &run.exit;
        let is_exiting = call.ended_at > exit.started_at;
        Some(Finding::LostRequest {
            id: call.id.clone(),
            after_exit_started_ms: is_exiting
                .then(|| (call.ended_at - exit.started_at).as_millis()),
            has_run,
            is_first: call.is_first,
        })
    })
}

/// Returns whether a request may be lost. A request that reaches an idle connection while the
/// process closes it was not accepted: on the platform connections are closed like this during a
/// shutdown or a drain, and in either deployment in plays with bursts of new connections. A killed
/// process loses the requests that it had accepted.
fn may_be_lost(records: &Records, run: &ProcessRun, call: &Call, has_run: bool) -> bool {
    let exit = &run.exit;
    if exit.cause == ExitCause::Killed {
        let killed_at = exit.started_at + exit.duration.unwrap_or_default();
        return call.ended_at >= exit.started_at && (call.started_at <= killed_at || !has_run);
    }
    let is_closing = call.ended_at > run.closes_idle_connections_from();
    let is_crossing_allowed = !records.connection_bursts.is_empty()
        || (is_closing && records.deployment == Deployment::Platform);
    // Just before its exit a process writes its last responses and takes no further requests.
    let is_after_exit = exit
        .duration
        .is_some_and(|duration| call.started_at + MAX_RECORD_DELAY > exit.started_at + duration);
    !has_run && (is_crossing_allowed || is_after_exit)
}

/// Checks rule 2 for requests without a response, including those that may be lost.
fn lost_requests_that_ran_twice(records: &Records) -> impl Iterator<Item = Finding> {
    let mut execution_counts: HashMap<&str, usize> = HashMap::new();
    for execution in &records.executions {
        *execution_counts.entry(&execution.id).or_default() += 1;
    }
    let lost = records
        .calls
        .iter()
        .filter(|c| c.outcome == CallOutcome::ConnectionLost);
    let findings = lost.filter_map(|call| {
        let count = execution_counts.get(call.id.as_str()).copied().unwrap_or(0);
        let is_violated = call.effect != EffectClass::Idempotent && count > 1;
        is_violated
            .then(|| Finding::RuleViolation(Violation::RepeatedExecution(call.id.clone(), count)))
    });
    findings.collect::<Vec<_>>().into_iter()
}

/// Checks rules 1 and 2 for requests with a response.
fn rule_violations(records: &Records) -> impl Iterator<Item = Finding> {
    let requests = records.calls.iter().filter_map(|call| match &call.outcome {
        CallOutcome::Response(status, _) => Some(ClientRecord {
            id: call.id.clone(),
            effect: call.effect,
            statuses: vec![*status],
        }),
        CallOutcome::ConnectionLost => None,
    });
    let ledger = RequestLedger {
        requests: requests.collect(),
        executions: records.executions.clone(),
        ..RequestLedger::default()
    };
    ledger.audit().into_iter().map(Finding::RuleViolation)
}

/// Checks rule 3: returns the endpoints that got requests too late, each with the longest time from
/// the notification that it was not ready to such a request.
fn late_requests(records: &Records) -> Vec<Finding> {
    let calls: HashMap<&str, &Call> = records.calls.iter().map(|c| (c.id.as_str(), c)).collect();
    (0..ENDPOINT_COUNT)
        .filter_map(|endpoint| {
            let executions = records
                .executions
                .iter()
                .filter(|execution| execution.backend == endpoint);
            let delays = executions.filter_map(|execution| {
                let call = calls.get(execution.id.as_str());
                let lists = lists_read_by(records, call.map(|call| records.process_run(call)));
                late_request_delay(lists, endpoint, execution.at)
            });
            delays.max().map(|delay| Finding::LateRequest {
                endpoint,
                delay_ms: delay.as_millis(),
            })
        })
        .collect()
}

/// Returns the lists of which a process was notified. A process of a fleet reads no file once it is
/// exiting. Otherwise, and if the process is unknown, these are all lists.
fn lists_read_by<'a>(records: &'a Records, run: Option<&ProcessRun>) -> &'a [ListChange] {
    let Some(run) = run.filter(|_| records.deployment == Deployment::Fleet) else {
        return &records.list_changes;
    };
    let count = records
        .list_changes
        .partition_point(|change| change.started_at < run.exit.started_at);
    &records.list_changes[..count]
}

/// Returns the time from the notification that an endpoint is not ready to a request that it got,
/// if the endpoint was not ready in the current list and the request came after the grace time.
fn late_request_delay(lists: &[ListChange], endpoint: usize, at: Instant) -> Option<Duration> {
    let current = lists.iter().rposition(|change| change.started_at <= at)?;
    // The first list since which the endpoint has not been ready.
    let first_unready = lists[..=current]
        .iter()
        .rposition(|change| change.list[endpoint] == ListedState::Ready)
        .map_or(0, |ready| ready + 1);
    // The processes may have been notified of a later list first, which also has the endpoint as
    // not ready.
    let notified_at = lists
        .get(first_unready..=current)?
        .iter()
        .map(|c| c.notified_at)
        .min()?;
    let delay = at.checked_duration_since(notified_at)?;
    (delay > DRAIN_GRACE + MAX_RECORD_DELAY).then_some(delay)
}

/// The counts of requests in one second of a play.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Second {
    /// The number of requests that got a response with status 200.
    pub served: usize,
    /// The number of requests that got a response or were lost.
    pub completed: usize,
    /// The number of requests that reached each endpoint.
    pub arrivals: [usize; ENDPOINT_COUNT],
}

impl Second {
    /// Returns whether less than half of the requests were served, if enough of them completed to
    /// judge.
    pub fn is_degraded(&self) -> bool {
        self.completed >= MIN_CALLS_PER_SECOND && self.served * 2 < self.completed
    }

    fn add(&mut self, call: &Call) {
        self.completed += 1;
        self.served += usize::from(matches!(call.outcome, CallOutcome::Response(200, _)));
    }
}

/// Returns the counts of each complete second of a play before the last process exit started.
pub fn seconds(records: &Records) -> Vec<Second> {
    let mut seconds: Vec<Second> = (0..complete_second_count(records))
        .map(|number| count_second(records, number, |_| true))
        .collect();
    for execution in &records.executions {
        let since_start = execution.at.saturating_duration_since(records.started_at);
        let number = since_start.as_secs() as usize;
        if let Some(second) = seconds.get_mut(number) {
            second.arrivals[execution.backend] += 1;
        }
    }
    seconds
}

/// Counts the completed requests of one second for which `is_counted` is true. Arrivals at
/// endpoints are not counted.
fn count_second(records: &Records, number: usize, is_counted: impl Fn(&Call) -> bool) -> Second {
    let (from, until) = second_bounds(records, number);
    let mut second = Second::default();
    let completed = records
        .calls
        .iter()
        .filter(|c| c.ended_at >= from && c.ended_at < until);
    completed
        .filter(|call| is_counted(call))
        .for_each(|call| second.add(call));
    second
}

/// Returns the number of complete seconds of a play before the last process exit started.
fn complete_second_count(records: &Records) -> usize {
    let exits = records.process_runs.iter().map(|run| run.exit.started_at);
    exits
        .max()
        .map_or(0, |exit| (exit - records.started_at).as_secs() as usize)
}

fn second_bounds(records: &Records, second: usize) -> (Instant, Instant) {
    let from = records.started_at + Duration::from_secs(second as u64);
    (from, from + Duration::from_secs(1))
}

/// Returns the seconds in which less than half of the requests were served although an endpoint was
/// ready and healthy.
fn degraded_seconds(records: &Records) -> Vec<Finding> {
    (0..complete_second_count(records))
        .filter_map(|second| degraded_second(records, second))
        .collect()
}

fn degraded_second(records: &Records, number: usize) -> Option<Finding> {
    let (from, until) = second_bounds(records, number);
    let has_burst = records
        .connection_bursts
        .iter()
        .any(|at| *at < until && *at + SETTLING_TIME > from);
    let has_available_endpoint =
        (0..ENDPOINT_COUNT).any(|endpoint| is_available(records, endpoint, from, until));
    let second = count_second(records, number, |call| {
        is_settled(records, records.process_run(call), from, until)
    });
    (second.is_degraded() && has_available_endpoint && !has_burst).then_some(
        Finding::DegradedSecond {
            second: number,
            served: second.served,
            completed: second.completed,
        },
    )
}

/// Returns whether a process serves during a whole span. A replacement process must also have known
/// the endpoints for some time, which an outage of discovery during its run delays.
fn is_settled(records: &Records, run: &ProcessRun, from: Instant, until: Instant) -> bool {
    let is_replacement = run.started_at > records.started_at;
    let outages = records
        .discovery_outages
        .iter()
        .filter(|(_, end)| *end > run.started_at);
    let notified_at = outages
        .filter(|(start, _)| *start < until)
        .map(|(_, end)| *end + MAX_NOTIFICATION_DELAY);
    let notified_at = notified_at.max().unwrap_or(run.started_at);
    let is_new = is_replacement && notified_at + SETTLING_TIME > from;
    !is_new && run.exit.started_at >= until
}

/// Returns whether an endpoint is ready, healthy and warm during a span and was so for some time
/// before.
fn is_available(records: &Records, endpoint: usize, from: Instant, until: Instant) -> bool {
    let from = from.checked_sub(SETTLING_TIME).unwrap_or(from);
    let lists = &records.list_changes;
    let first = lists.iter().rposition(|change| change.notified_at <= from);
    let is_ready = lists[first.unwrap_or(0)..]
        .iter()
        .take_while(|change| change.started_at < until)
        .all(|change| change.list[endpoint] == ListedState::Ready);
    let faults = &records.endpoint_faults;
    let first = faults.iter().rposition(|(at, _)| *at <= from).unwrap_or(0);
    let is_healthy = faults[first..]
        .iter()
        .take_while(|(at, _)| *at < until)
        .all(|(_, faulty)| *faulty != Some(endpoint));
    let mut restarts = records
        .endpoint_restarts
        .iter()
        .filter(|restart| restart.endpoint == endpoint);
    let is_warm = restarts.all(|restart| {
        restart.stopped_at >= until || restart.started_at + warm_up_time(records.deployment) <= from
    });
    is_ready && is_healthy && is_warm
}

fn faulty_exits(runs: &[ProcessRun]) -> impl Iterator<Item = Finding> + '_ {
    runs.iter().map(|run| run.exit).filter_map(|exit| {
        let is_correct = match exit.cause {
            ExitCause::Killed => true,
            ExitCause::Unprompted => false,
            ExitCause::Terminated => {
                let time_limit = exit.time_limit + MAX_EXIT_DELAY;
                let is_in_time = exit.duration.is_some_and(|duration| duration <= time_limit);
                is_in_time && exit.is_success
            }
        };
        (!is_correct).then_some(Finding::FaultyExit {
            cause: exit.cause,
            duration: exit.duration,
            is_success: exit.is_success,
        })
    })
}

fn excessive_usage(usage: &ResourceUsage) -> Option<Finding> {
    let is_excessive = usage.memory_kib > MAX_MEMORY_KIB || usage.descriptors > MAX_DESCRIPTORS;
    is_excessive.then_some(Finding::ExcessiveUsage {
        memory_kib: usage.memory_kib,
        descriptors: usage.descriptors,
    })
}
