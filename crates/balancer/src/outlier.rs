//! Outlier ejection: leaving out an endpoint that fails, and trying it again by single requests.
//!
//! Each endpoint has one health for all its requests and one for each class, so that successes of
//! other classes do not hide a class that always fails.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | healthy | success | healthy; consecutive failures are 0 again |
//! | healthy | failure, fewer in a row than eject | healthy |
//! | healthy | failure, as many in a row as eject | ejected for [`EJECTION_BASE_MS`] |
//! | ejected | failure of an attempt sent before the ejection | ejected, unchanged |
//! | ejected | failure of a later attempt (probation) | ejected for twice as long, up to a limit |
//! | ejected | success | healthy |
//!
//! Times have jitter. An ejected endpoint whose time is over is on probation: the next request that
//! is fit for it goes there.

use crate::balancer::{is_unsent, Balancer};
use crate::learning::EndedAttempt;
use crate::{Action, EndpointId, EndpointState, EndpointStatus, Millis, Outcome};
use rand::Rng;
use serde::{Deserialize, Serialize};

/// Failures of one class in a row that eject an endpoint for that class. One more, of any class,
/// ejects it for all.
const CONSECUTIVE_FAILURES_TO_EJECT: i32 = 3;
/// Time until the first probation request; doubles with each that fails.
pub(crate) const EJECTION_BASE_MS: Millis = 250.0;
/// The longest time between probation requests in a small fleet.
const MAX_EJECTION_MS: Millis = 4_000.0;
/// Probation requests per second of all processes together to one endpoint.
const FLEET_PROBATIONS_PER_S: f64 = 20.0;
/// The lowest health: keeps some requests going to a failing endpoint.
pub(crate) const MIN_HEALTH: f64 = 0.02;
/// Fraction of its health that an endpoint keeps after a failure.
const HEALTH_AFTER_FAILURE: f64 = 0.3;
/// Fraction of its impairment that an endpoint keeps after a success.
const IMPAIRMENT_AFTER_SUCCESS: f64 = 0.7;
/// Time constant by which an untried endpoint's health recovers after one failure; doubles with
/// each more.
const HEALTH_RECOVERY_MS: Millis = 5_000.0;
/// Failures after which the recovery time no longer doubles.
const MAX_RECOVERY_DOUBLINGS: i32 = 3;
/// Health above which a failure counts as a sign of load rather than of a fault.
const MIN_HEALTH_FOR_LOAD_SIGNAL: f64 = 0.5;
/// Requests over which an endpoint's fraction of failures is averaged.
const FAILURE_FRACTION_REQUESTS: f64 = 30.0;
/// Time constant by which the fraction of failures decays without requests.
pub(crate) const FAILURE_FRACTION_DECAY_MS: Millis = 10_000.0;

/// Why and until when an endpoint is left out.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Ejection {
    since: Millis,
    /// The last failure was a failed connection: the request cannot have run.
    #[serde(rename = "unsent")]
    pub(crate) is_connect_failure: bool,
    /// Time until the next probation request, before jitter.
    #[serde(rename = "wait")]
    pub(crate) duration: Millis,
    /// When the next probation request may be sent.
    #[serde(rename = "due")]
    pub(crate) until: Millis,
}

/// Whether an endpoint gets requests by its weight. Stored as an ejection or `null`.
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

    /// Sends no further probation request before a time.
    pub(crate) fn postpone_probation(&mut self, until: Millis) {
        if let OutlierState::Ejected(ejection) = self {
            ejection.until = until;
        }
    }
}

/// What an ended attempt says of its endpoint.
#[derive(Clone, Copy)]
pub(crate) enum AttemptResult {
    Success,
    Failure {
        now: Millis,
        sent_at: Millis,
        is_connect_failure: bool,
    },
}

/// What sets the time of the next probation request.
#[derive(Clone, Copy)]
pub(crate) struct EjectionTime {
    pub(crate) longest: Millis,
    /// From 0 to 1.
    pub(crate) random: f64,
}

impl EjectionTime {
    fn with_jitter(&self, duration: Millis) -> Millis {
        duration * (0.5 + self.random)
    }
}

/// How well an endpoint serves: falls with failures, recovers with successes and, untried, with
/// time.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct EndpointHealth {
    #[serde(rename = "illness")]
    impairment: f64,
    /// Failures since the last success.
    #[serde(rename = "strikes")]
    failures: i32,
    #[serde(rename = "judged_at")]
    updated_at: Millis,
    /// Failures in a row that count towards an ejection.
    #[serde(rename = "row")]
    consecutive_failures: i32,
    #[serde(rename = "out")]
    pub(crate) state: OutlierState,
}

impl EndpointHealth {
    /// The health, from 0 to 1.
    pub(crate) fn value(&self, now: Millis) -> f64 {
        let doublings = (self.failures - 1).clamp(0, MAX_RECOVERY_DOUBLINGS);
        let recovery = HEALTH_RECOVERY_MS * 2f64.powi(doublings);
        1.0 - self.impairment * (-(now - self.updated_at) / recovery).exp()
    }

    /// Takes in a success or a failure.
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

    /// Moves between the states of the table above; true if the state has changed.
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
                    ejection.duration = (2.0 * ejection.duration).min(time.longest);
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

/// The longest time between two probation requests of one process.
pub(crate) fn max_ejection_ms(fleet_size: u32) -> Millis {
    MAX_EJECTION_MS.max(1000.0 * f64::from(fleet_size) / FLEET_PROBATIONS_PER_S)
}

/// What an ended attempt changed at its endpoint.
#[derive(Clone, Copy)]
pub(crate) struct EndpointVerdict {
    /// Its health was good before: a failure may be a sign of load.
    pub(crate) was_healthy: bool,
    /// It timed out while other endpoints answered.
    pub(crate) is_unresponsive: bool,
    pub(crate) is_newly_ejected: bool,
}

impl Balancer {
    /// Takes in an ended attempt at its endpoint.
    pub(crate) fn record_at_endpoint(
        &mut self,
        ended: &EndedAttempt<'_>,
        actions: &mut Vec<Action>,
    ) -> EndpointVerdict {
        let time = EjectionTime {
            longest: max_ejection_ms(self.settings.fleet_size),
            random: self.jitter.random(),
        };
        let mut verdict = EndpointVerdict {
            was_healthy: true,
            is_unresponsive: false,
            is_newly_ejected: false,
        };
        let Some(index) = self.endpoints.index_of(ended.attempt.endpoint.id) else {
            return verdict;
        };
        let endpoint = &mut self.endpoints.list[index];
        endpoint.end_attempt(ended.attempt.sent_at);
        verdict.was_healthy =
            endpoint.health(self.now, ended.request.class()) > MIN_HEALTH_FOR_LOAD_SIGNAL;
        // An attempt that was not sent because its endpoint had left the list says nothing of the
        // endpoint, which may come back as it was.
        let has_left = endpoint.info.state != EndpointState::Ready && is_unsent(ended.outcome);
        if !ended.outcome.is_independent_of_endpoint() && !has_left {
            self.judge_endpoint(index, ended, time, &mut verdict, actions);
        }
        if ended.is_success() && ended.expected_latency > 0.0 {
            let ratio = ended.latency / ended.expected_latency;
            self.endpoints.list[index].record_latency(self.now, ratio);
        }
        verdict
    }

    fn judge_endpoint(
        &mut self,
        index: usize,
        ended: &EndedAttempt<'_>,
        time: EjectionTime,
        verdict: &mut EndpointVerdict,
        actions: &mut Vec<Action>,
    ) {
        let (now, sent_at) = (self.now, ended.attempt.sent_at);
        let is_success = ended.is_success();
        let endpoint = &mut self.endpoints.list[index];
        if !is_success && ended.latency < ended.expected_latency {
            endpoint.early_failures.add(now, ended.expected_latency);
        }
        // A timeout at an endpoint that answers other requests is a long request or a slow
        // endpoint, and no fault.
        let is_timeout = ended.outcome == Outcome::Timeout;
        let is_slow = is_timeout && endpoint.answered_at > sent_at;
        verdict.is_unresponsive = is_timeout && !is_slow && self.last_answer_at > sent_at;
        if is_success {
            verdict.is_newly_ejected =
                self.apply_result(index, ended, AttemptResult::Success, 0, time, actions);
        } else if !is_slow {
            let is_connect_failure = ended.outcome == Outcome::ConnectFailed;
            let result = AttemptResult::Failure {
                now,
                sent_at,
                is_connect_failure,
            };
            let failures_to_eject = if is_connect_failure || verdict.is_unresponsive {
                1
            } else {
                CONSECUTIVE_FAILURES_TO_EJECT + 1
            };
            verdict.is_newly_ejected =
                self.apply_result(index, ended, result, failures_to_eject, time, actions);
        }
        self.update_health(index, ended);
    }

    /// Takes a result into the endpoint's fraction of failures, its health and its last answer.
    fn update_health(&mut self, index: usize, ended: &EndedAttempt<'_>) {
        let (now, is_success, class) = (self.now, ended.is_success(), ended.request.class());
        let endpoint = &mut self.endpoints.list[index];
        for failures in [
            &mut endpoint.stats.failure_fraction,
            &mut self.learned.failure_fraction,
        ] {
            failures.add(
                now,
                FAILURE_FRACTION_DECAY_MS,
                FAILURE_FRACTION_REQUESTS,
                !is_success,
            );
        }
        endpoint.stats.health.update(now, is_success);
        endpoint.stats.health_by_class[class].update(now, is_success);
        let has_answered = !matches!(ended.outcome, Outcome::Timeout | Outcome::ConnectFailed);
        if has_answered {
            endpoint.answered_at = now;
            self.last_answer_at = now;
        }
    }

    /// Applies a result to the endpoint's health and to that of the class; true if the endpoint is
    /// newly ejected.
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
        // Failed connections concern all classes alike.
        if ended.outcome != Outcome::ConnectFailed {
            let failures_to_eject = failures_to_eject.min(CONSECUTIVE_FAILURES_TO_EJECT);
            let health = &mut endpoint.stats.health_by_class[class];
            let has_changed = health.transition(result, failures_to_eject, time);
            is_newly_ejected |= has_changed && !is_success;
            // An ejection for all classes has been reported already.
            let is_news = is_success || endpoint.stats.health.state.ejection().is_none();
            if has_changed && is_news {
                actions.push(status_changed(id, status, Some(class), reason));
            }
        }
        is_newly_ejected
    }
}

/// Tells operators how an endpoint stands; for one class alone, where it is given.
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
