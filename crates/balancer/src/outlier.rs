//! Outlier ejection: a failing endpoint gets no requests except occasional probation requests.
//!
//! Each endpoint has one health for all its requests and one for each class, so that successes of
//! other classes do not hide a class that always fails.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | healthy | success | healthy; the count of consecutive failures is reset |
//! | healthy | failure below the ejection threshold | healthy |
//! | healthy | failure that reaches the ejection threshold | ejected for [`EJECTION_BASE_MS`] |
//! | ejected | failure of an attempt sent before the ejection | ejected, unchanged |
//! | ejected | failure of a later attempt (probation) | ejected for twice as long, up to a limit |
//! | ejected | success | healthy |
//!
//! Ejection times have jitter. An ejected endpoint whose time is over is on probation: it gets the
//! next request that is eligible as a probation request.

use crate::balancer::{is_unsent, Balancer};
use crate::learning::EndedAttempt;
use crate::{Action, EndpointId, EndpointState, EndpointStatus, Millis, Outcome};
use rand::Rng;
use serde::{Deserialize, Serialize};

/// Consecutive failures of one class that eject an endpoint for that class. One more failure, of
/// any class, ejects it for all classes.
const CONSECUTIVE_FAILURES_TO_EJECT: i32 = 3;
/// Time until the first probation request, which doubles with each failed one.
pub(crate) const EJECTION_BASE_MS: Millis = 250.0;
/// Longest time between probation requests in a small fleet.
const MAX_EJECTION_MS: Millis = 4_000.0;
/// Probation requests per second that all processes together send to one endpoint.
const FLEET_PROBATIONS_PER_S: f64 = 20.0;
/// Lowest health, which keeps some requests going to a failing endpoint.
pub(crate) const MIN_HEALTH: f64 = 0.02;
/// Fraction of an endpoint's health that remains after a failure.
const HEALTH_AFTER_FAILURE: f64 = 0.3;
/// Fraction of an endpoint's impairment that remains after a success.
const IMPAIRMENT_AFTER_SUCCESS: f64 = 0.7;
/// Time constant of the recovery of an endpoint's health without attempts after one failure. It
/// doubles with each further failure.
const HEALTH_RECOVERY_TIME_CONSTANT_MS: Millis = 5_000.0;
/// Maximum number of doublings of the recovery time.
const MAX_RECOVERY_DOUBLINGS: i32 = 3;
/// Health above which a failure counts as a sign of load instead of a fault.
const MIN_HEALTH_FOR_LOAD_SIGNAL: f64 = 0.5;
/// Number of requests over which an endpoint's fraction of failures is averaged.
const FAILURE_FRACTION_REQUESTS: f64 = 30.0;
/// Time constant of the decay of the fraction of failures without requests.
pub(crate) const FAILURE_FRACTION_TIME_CONSTANT_MS: Millis = 10_000.0;

/// The cause and the duration of an ejection.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Ejection {
    since: Millis,
    /// Whether the last failure was a failed connection, which proves that the request was not
    /// executed.
    #[serde(rename = "unsent")]
    pub(crate) is_connect_failure: bool,
    /// Time until the next probation request, before jitter.
    #[serde(rename = "wait")]
    pub(crate) duration: Millis,
    /// Earliest time of the next probation request.
    #[serde(rename = "due")]
    pub(crate) until: Millis,
}

/// Whether an endpoint is ejected. Stored as the ejection or `null`.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
#[serde(untagged)]
pub(crate) enum OutlierState {
    Ejected(Ejection),
    #[default]
    Healthy,
}

impl OutlierState {
    pub(crate) fn ejection(&self) -> Option<Ejection> {
        match self {
            OutlierState::Ejected(ejection) => Some(*ejection),
            OutlierState::Healthy => None,
        }
    }

    /// Postpones the next probation request to a later time.
    pub(crate) fn postpone_probation(&mut self, until: Millis) {
        if let OutlierState::Ejected(ejection) = self {
            ejection.until = until;
        }
    }
}

/// The result of an attempt as evidence of its endpoint's health.
#[derive(Clone, Copy)]
pub(crate) enum AttemptResult {
    Success,
    Failure {
        now: Millis,
        sent_at: Millis,
        is_connect_failure: bool,
    },
}

/// Parameters of the time of the next probation request.
#[derive(Clone, Copy)]
pub(crate) struct EjectionTime {
    /// Longest ejection, before jitter.
    pub(crate) max_duration: Millis,
    /// Random number from 0 to 1 for the jitter.
    pub(crate) random: f64,
}

impl EjectionTime {
    fn with_jitter(&self, duration: Millis) -> Millis {
        duration * (0.5 + self.random)
    }
}

/// The health of an endpoint. It falls with failures and recovers with successes or, without
/// attempts, with time.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct EndpointHealth {
    #[serde(rename = "illness")]
    impairment: f64,
    /// Failures since the last success.
    #[serde(rename = "strikes")]
    failures: i32,
    #[serde(rename = "judged_at")]
    updated_at: Millis,
    /// Consecutive failures that count towards an ejection.
    #[serde(rename = "row")]
    consecutive_failures: i32,
    #[serde(rename = "out")]
    pub(crate) state: OutlierState,
}

impl EndpointHealth {
    /// Returns the health, from 0 to 1.
    pub(crate) fn value(&self, now: Millis) -> f64 {
        let doublings = (self.failures - 1).clamp(0, MAX_RECOVERY_DOUBLINGS);
        let recovery = HEALTH_RECOVERY_TIME_CONSTANT_MS * 2f64.powi(doublings);
        1.0 - self.impairment * (-(now - self.updated_at) / recovery).exp()
    }

    /// Records a success or a failure.
    pub(crate) fn update(&mut self, now: Millis, is_success: bool) {
        let health = self.value(now);
        if is_success {
            self.failures = 0;
            self.impairment = IMPAIRMENT_AFTER_SUCCESS * (1.0 - health);
        } else {
            self.failures += 1;
            self.impairment = 1.0 - (HEALTH_AFTER_FAILURE * health).max(MIN_HEALTH);
        }
        self.updated_at = now;
    }

    /// Performs a transition of the state table above. Returns whether the state changed.
    pub(crate) fn transition(
        &mut self,
        result: AttemptResult,
        failures_to_eject: i32,
        time: EjectionTime,
    ) -> bool {
        match result {
            AttemptResult::Success => self.readmit(),
            AttemptResult::Failure {
                now,
                sent_at,
                is_connect_failure,
            } => match &mut self.state {
                OutlierState::Ejected(ejection) if sent_at < ejection.since => false,
                OutlierState::Ejected(ejection) => {
                    ejection.is_connect_failure = is_connect_failure;
                    ejection.duration = (2.0 * ejection.duration).min(time.max_duration);
                    ejection.until = now + time.with_jitter(ejection.duration);
                    false
                }
                OutlierState::Healthy => {
                    self.consecutive_failures += 1;
                    if self.consecutive_failures < failures_to_eject {
                        return false;
                    }
                    self.state = OutlierState::Ejected(Ejection {
                        since: now,
                        is_connect_failure,
                        duration: EJECTION_BASE_MS,
                        until: now + time.with_jitter(EJECTION_BASE_MS),
                    });
                    true
                }
            },
        }
    }

    fn readmit(&mut self) -> bool {
        self.consecutive_failures = 0;
        let was_ejected = self.state.ejection().is_some();
        self.state = OutlierState::Healthy;
        was_ejected
    }
}

/// Returns the longest time between two probation requests of one process.
pub(crate) fn max_ejection_ms(fleet_size: u32) -> Millis {
    MAX_EJECTION_MS.max(1000.0 * f64::from(fleet_size) / FLEET_PROBATIONS_PER_S)
}

/// The effect of an ended attempt on its endpoint.
#[derive(Clone, Copy)]
pub(crate) struct EndpointChange {
    /// Whether the endpoint was healthy before, so that a failure may be a sign of load.
    pub(crate) was_healthy: bool,
    /// Whether the attempt timed out while other endpoints responded.
    pub(crate) is_unresponsive: bool,
    pub(crate) is_newly_ejected: bool,
}

impl Balancer {
    /// Records an ended attempt at its endpoint.
    pub(crate) fn record_at_endpoint(
        &mut self,
        ended: &EndedAttempt<'_>,
        actions: &mut Vec<Action>,
    ) -> EndpointChange {
        let time = EjectionTime {
            max_duration: max_ejection_ms(self.settings.fleet_size),
            random: self.jitter.random(),
        };
        let mut change = EndpointChange {
            was_healthy: true,
            is_unresponsive: false,
            is_newly_ejected: false,
        };
        let Some(index) = self.endpoints.index_of(ended.attempt.endpoint.id) else {
            return change;
        };
        let endpoint = &mut self.endpoints.list[index];
        endpoint.end_attempt(ended.attempt.sent_at);
        change.was_healthy =
            endpoint.health(self.now, ended.request.class()) > MIN_HEALTH_FOR_LOAD_SIGNAL;
        // An attempt that was not sent because its endpoint had left the list carries no
        // information about the endpoint, which may be listed again unchanged.
        let has_left = endpoint.info.state != EndpointState::Ready && is_unsent(ended.outcome);
        if !ended.outcome.is_independent_of_endpoint() && !has_left {
            self.evaluate_attempt(index, ended, time, &mut change, actions);
        }
        if ended.is_success() && ended.expected_latency > 0.0 {
            let ratio = ended.latency / ended.expected_latency;
            self.endpoints.list[index].record_latency(self.now, ratio);
        }
        change
    }

    fn evaluate_attempt(
        &mut self,
        index: usize,
        ended: &EndedAttempt<'_>,
        time: EjectionTime,
        change: &mut EndpointChange,
        actions: &mut Vec<Action>,
    ) {
        let (now, sent_at) = (self.now, ended.attempt.sent_at);
        let is_success = ended.is_success();
        let endpoint = &mut self.endpoints.list[index];
        if !is_success && ended.latency < ended.expected_latency {
            endpoint.early_failures.add(now, ended.expected_latency);
        }
        // A timeout at an endpoint that responds to other requests is due to a long request or a
        // slow endpoint, and is not a fault.
        let is_timeout = ended.outcome == Outcome::Timeout;
        let is_slow = is_timeout && endpoint.last_response_at > sent_at;
        change.is_unresponsive = is_timeout && !is_slow && self.last_response_at > sent_at;
        if is_success {
            change.is_newly_ejected =
                self.apply_result(index, ended, AttemptResult::Success, 0, time, actions);
        } else if !is_slow {
            let is_connect_failure = ended.outcome == Outcome::ConnectFailed;
            let result = AttemptResult::Failure {
                now,
                sent_at,
                is_connect_failure,
            };
            let failures_to_eject = if is_connect_failure || change.is_unresponsive {
                1
            } else {
                CONSECUTIVE_FAILURES_TO_EJECT + 1
            };
            change.is_newly_ejected =
                self.apply_result(index, ended, result, failures_to_eject, time, actions);
        }
        self.update_health(index, ended);
    }

    /// Updates the endpoint's fraction of failures, its health and the time of its last response.
    fn update_health(&mut self, index: usize, ended: &EndedAttempt<'_>) {
        let (now, is_success, class) = (self.now, ended.is_success(), ended.request.class());
        let endpoint = &mut self.endpoints.list[index];
        for failures in [
            &mut endpoint.stats.failure_fraction,
            &mut self.learned.failure_fraction,
        ] {
            failures.add(
                now,
                FAILURE_FRACTION_TIME_CONSTANT_MS,
                FAILURE_FRACTION_REQUESTS,
                !is_success,
            );
        }
        endpoint.stats.health.update(now, is_success);
        endpoint.stats.health_by_class[class].update(now, is_success);
        let has_responded = !matches!(ended.outcome, Outcome::Timeout | Outcome::ConnectFailed);
        if has_responded {
            endpoint.last_response_at = now;
            self.last_response_at = now;
        }
    }

    /// Applies a result to the endpoint's health for all requests and for the class. Returns
    /// whether the endpoint is newly ejected.
    fn apply_result(
        &mut self,
        index: usize,
        ended: &EndedAttempt<'_>,
        result: AttemptResult,
        failures_to_eject: i32,
        time: EjectionTime,
        actions: &mut Vec<Action>,
    ) -> bool {
        let (is_success, class) = (ended.is_success(), ended.request.class());
        let endpoint = &mut self.endpoints.list[index];
        let id = endpoint.info.id;
        let (status, reason) = if is_success {
            (EndpointStatus::Healthy, None)
        } else {
            (EndpointStatus::Ejected, Some(ended.outcome))
        };
        let ejection = endpoint.stats.health.state.ejection();
        let was_connect_failure = ejection.is_some_and(|ejection| ejection.is_connect_failure);
        let has_changed = endpoint
            .stats
            .health
            .transition(result, failures_to_eject, time);
        let mut is_newly_ejected = has_changed && !is_success;
        if has_changed || (is_success && std::mem::take(&mut endpoint.is_reported_unresponsive)) {
            actions.push(status_changed(id, status, None, reason));
        }
        if has_changed && is_success && was_connect_failure {
            endpoint.recover_from_outage(self.now);
            actions.push(status_changed(id, EndpointStatus::WarmingUp, None, None));
        }
        // A failed connection affects all classes equally.
        if ended.outcome != Outcome::ConnectFailed {
            let failures_to_eject = failures_to_eject.min(CONSECUTIVE_FAILURES_TO_EJECT);
            let health = &mut endpoint.stats.health_by_class[class];
            let has_changed = health.transition(result, failures_to_eject, time);
            is_newly_ejected |= has_changed && !is_success;
            // An ejection for all classes has already been reported.
            let is_unreported = is_success || endpoint.stats.health.state.ejection().is_none();
            if has_changed && is_unreported {
                actions.push(status_changed(id, status, Some(class), reason));
            }
        }
        is_newly_ejected
    }
}

/// Returns the action that reports an endpoint's status to operators, limited to `class` if it is
/// given.
pub(crate) fn status_changed(
    endpoint: EndpointId,
    status: EndpointStatus,
    class: Option<usize>,
    reason: Option<Outcome>,
) -> Action {
    Action::StatusChanged {
        endpoint,
        status,
        class: class.map(|class| class as u8),
        reason,
    }
}
