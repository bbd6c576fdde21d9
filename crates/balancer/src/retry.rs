//! What may run again: retry permission, retry budgets, and the timeout of one attempt.

use crate::balancer::Balancer;
use crate::request::{Attempt, PendingRequest};
use crate::{Class, DeduplicationScope, EffectClass, EndpointInfo, Millis, Outcome};
use dewrun_decay::MeanAndDeviation;
use serde::{Deserialize, Serialize};

/// The most retries that can be saved up.
pub(crate) const RETRY_BUDGET_CAPACITY: f64 = 10.0;
/// Retries after a failed connection earned by each request. Their budget is separate, so that an
/// endpoint that vanishes does not use up the retries of other failures.
pub(crate) const CONNECT_RETRY_RATIO: f64 = 0.1;
/// Mean deviations above the mean latency after which an attempt times out for a retry.
const ATTEMPT_TIMEOUT_DEVIATIONS: f64 = 12.0;
/// The shortest attempt timeout where requests are short: a pause of the scheduler may be longer
/// than their deviations.
const MIN_ATTEMPT_TIMEOUT_MS: Millis = 50.0;
/// Mean latencies that must remain after an attempt timeout.
const MEAN_LATENCIES_FOR_RETRY: f64 = 2.0;

/// Whether a request may have run at an endpoint.
#[derive(Clone, Copy)]
pub(crate) enum Execution {
    /// Every attempt so far surely did not run.
    NotStarted,
    /// An attempt may have run; the first of them.
    PossiblyStarted {
        endpoint: EndpointInfo,
        sent_at: Millis,
    },
}

impl Execution {
    pub(crate) fn is_not_started(&self) -> bool {
        matches!(self, Execution::NotStarted)
    }

    /// Takes in an ended attempt. The endpoint is kept as it was listed at the send.
    pub(crate) fn record(&mut self, attempt: &Attempt, outcome: Outcome) {
        if self.is_not_started() && !outcome.was_not_executed() {
            *self = Execution::PossiblyStarted {
                endpoint: attempt.endpoint,
                sent_at: attempt.sent_at,
            };
        }
    }
}

/// Whether a request may be sent again to an endpoint that drops its repeats, if it has any.
///
/// | effect class | execution | window since the send | permitted |
/// | --- | --- | --- | --- |
/// | any | not started | any | yes |
/// | repeatable | possibly started | any | yes |
/// | keyed | possibly started | not over | yes |
/// | keyed | possibly started | over | no |
/// | once | possibly started | any | no |
pub(crate) fn is_retry_permitted(class: &Class, execution: &Execution, now: Millis) -> bool {
    match (class.effect, execution) {
        (_, Execution::NotStarted) | (EffectClass::Idempotent, _) => true,
        (EffectClass::Keyed, Execution::PossiblyStarted { sent_at, .. }) => {
            now - sent_at < class.window_ms
        }
        (EffectClass::NonIdempotent, Execution::PossiblyStarted { .. }) => false,
    }
}

/// Whether the client may send the request again, which may then go to any endpoint.
pub(crate) fn is_client_retry_permitted(class: &Class, execution: &Execution, now: Millis) -> bool {
    let reaches_dropping_endpoint = execution.is_not_started()
        || class.effect != EffectClass::Keyed
        || class.scope == DeduplicationScope::All;
    reaches_dropping_endpoint && is_retry_permitted(class, execution, now)
}

/// Whether an endpoint may get the next attempt: once a keyed request may have run, only those that
/// drop its repeats; before, those of its cell, if it has one.
pub(crate) fn is_endpoint_permitted(
    class: &Class,
    request: &PendingRequest,
    endpoint: &EndpointInfo,
) -> bool {
    match (class.effect, request.execution) {
        (EffectClass::Keyed, Execution::PossiblyStarted { endpoint: ran, .. }) => match class.scope
        {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => ran.zone == endpoint.zone,
            DeduplicationScope::Cell => ran.cell == endpoint.cell,
        },
        _ => request
            .context
            .cell
            .is_none_or(|cell| cell == endpoint.cell),
    }
}

/// Retries that may be sent: a fraction of the requests, saved up to a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    pub(crate) fn full() -> RetryBudget {
        RetryBudget {
            tokens: RETRY_BUDGET_CAPACITY,
        }
    }

    pub(crate) fn add(&mut self, retries: f64, capacity: f64) {
        self.tokens = (self.tokens + retries).min(capacity);
    }

    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    pub(crate) fn take(&mut self) {
        self.tokens -= 1.0;
    }
}

/// A latency that a request seldom takes.
pub(crate) fn high_latency(latency: &MeanAndDeviation, has_long_requests: bool) -> Millis {
    let shortest = if has_long_requests {
        0.0
    } else {
        MIN_ATTEMPT_TIMEOUT_MS
    };
    (latency.mean + ATTEMPT_TIMEOUT_DEVIATIONS * latency.dev).max(shortest)
}

impl Balancer {
    /// Each request earns a fraction of a retry and of a probation request.
    pub(crate) fn earn_budgets(&mut self) {
        let learned = &mut self.learned;
        learned
            .retry_budget
            .add(self.settings.retry_ratio, RETRY_BUDGET_CAPACITY);
        learned.connect_failure_budget.add(
            CONNECT_RETRY_RATIO,
            RETRY_BUDGET_CAPACITY + learned.tier.peak_in_flight,
        );
        self.probation.earn();
    }

    /// The timeout of a request's next attempt; `None` for all the time that is left. Only first
    /// attempts time out early, and only where a retry can be expected to end in time.
    pub(crate) fn attempt_timeout(
        &self,
        request: &PendingRequest,
        time_left: Millis,
    ) -> Option<Millis> {
        let latency = &self.learned.latencies[request.class()];
        let timeout = high_latency(latency, self.settings.has_long_requests);
        let may_run_twice =
            self.settings.classes[request.class()].effect != EffectClass::NonIdempotent;
        // A long request that times out without a retry still sheds load in time.
        let has_retry = self.settings.has_long_requests
            || (self.learned.retry_budget.has_token() && self.eligible_count > 1);
        let fits =
            latency.mean > 0.0 && time_left >= timeout + MEAN_LATENCIES_FOR_RETRY * latency.mean;
        (may_run_twice && request.attempts == 0 && has_retry && fits).then_some(timeout)
    }
}

#[cfg(test)]
mod tests;
