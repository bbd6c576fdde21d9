//! Retries: which requests may be retried, retry budgets, and the timeout of one attempt.

use crate::balancer::Balancer;
use crate::request::{Attempt, PendingRequest};
use crate::{Class, DeduplicationScope, EffectClass, EndpointInfo, Millis, Outcome};
use dewrun_decay::MeanAndDeviation;
use serde::{Deserialize, Serialize};

/// Maximum number of retries that the budget accumulates.
pub(crate) const RETRY_BUDGET_CAPACITY: f64 = 10.0;
/// Retries after failed connections that each request adds to their budget. The budget is separate,
/// so that an endpoint that disappears does not use up the retries of other failures.
pub(crate) const CONNECT_RETRY_RATIO: f64 = 0.1;
/// Attempt timeout, in mean deviations above the mean latency.
const ATTEMPT_TIMEOUT_DEVIATIONS: f64 = 12.0;
/// Shortest attempt timeout for short requests: a pause of the scheduler may be longer than the
/// deviations of their latencies.
const MIN_ATTEMPT_TIMEOUT_MS: Millis = 50.0;
/// Time that must remain after an attempt timeout, in mean latencies.
const MEAN_LATENCIES_FOR_RETRY: f64 = 2.0;

/// Whether an endpoint may have executed a request.
#[derive(Clone, Copy)]
pub(crate) enum Execution {
    /// No attempt so far was executed.
    NotExecuted,
    /// An attempt may have been executed. The fields describe the first such attempt.
    PossiblyExecuted {
        endpoint: EndpointInfo,
        sent_at: Millis,
    },
}

impl Execution {
    pub(crate) fn is_not_executed(&self) -> bool {
        matches!(self, Execution::NotExecuted)
    }

    /// Records an ended attempt, with its endpoint's list entry at the time of sending.
    pub(crate) fn record(&mut self, attempt: &Attempt, outcome: Outcome) {
        if self.is_not_executed() && !outcome.was_not_executed() {
            *self = Execution::PossiblyExecuted {
                endpoint: attempt.endpoint,
                sent_at: attempt.sent_at,
            };
        }
    }
}

/// Returns whether a request may be retried at an endpoint that deduplicates its retries, if there
/// is one.
///
/// | effect class | execution | window since the send | permitted |
/// | --- | --- | --- | --- |
/// | any | not executed | any | yes |
/// | idempotent | possibly executed | any | yes |
/// | keyed | possibly executed | not over | yes |
/// | keyed | possibly executed | over | no |
/// | non-idempotent | possibly executed | any | no |
pub(crate) fn is_retry_permitted(class: &Class, execution: &Execution, now: Millis) -> bool {
    match (class.effect, execution) {
        (_, Execution::NotExecuted) | (EffectClass::Idempotent, _) => true,
        (EffectClass::Keyed, Execution::PossiblyExecuted { sent_at, .. }) => {
            now - sent_at < class.window_ms
        }
        (EffectClass::NonIdempotent, Execution::PossiblyExecuted { .. }) => false,
    }
}

/// Returns whether the client may retry the request, in which case it may reach any endpoint.
pub(crate) fn is_client_retry_permitted(class: &Class, execution: &Execution, now: Millis) -> bool {
    let reaches_deduplicating_endpoint = execution.is_not_executed()
        || class.effect != EffectClass::Keyed
        || class.scope == DeduplicationScope::All;
    reaches_deduplicating_endpoint && is_retry_permitted(class, execution, now)
}

/// Returns whether an endpoint may get the next attempt. After a keyed request may have been
/// executed, only endpoints that deduplicate its retries may get it; before, only those of the cell
/// to which it is restricted, if any.
pub(crate) fn is_endpoint_permitted(
    class: &Class,
    request: &PendingRequest,
    endpoint: &EndpointInfo,
) -> bool {
    match (class.effect, request.execution) {
        (
            EffectClass::Keyed,
            Execution::PossiblyExecuted {
                endpoint: first, ..
            },
        ) => match class.scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.zone == endpoint.zone,
            DeduplicationScope::Cell => first.cell == endpoint.cell,
        },
        _ => request
            .context
            .cell
            .is_none_or(|cell| cell == endpoint.cell),
    }
}

/// A budget of retries: each request adds a fraction of a retry, up to a maximum.
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

    pub(crate) fn take_token(&mut self) {
        self.tokens -= 1.0;
    }
}

/// Returns a latency that requests rarely exceed.
pub(crate) fn high_latency(latency: &MeanAndDeviation, has_long_requests: bool) -> Millis {
    let shortest = if has_long_requests {
        0.0
    } else {
        MIN_ATTEMPT_TIMEOUT_MS
    };
    (latency.mean + ATTEMPT_TIMEOUT_DEVIATIONS * latency.dev).max(shortest)
}

impl Balancer {
    /// Adds the fractions of a retry and of a probation request that each request contributes to
    /// the budgets.
    pub(crate) fn credit_budgets(&mut self) {
        let learned = &mut self.learned;
        learned
            .retry_budget
            .add(self.settings.retry_ratio, RETRY_BUDGET_CAPACITY);
        learned.connect_failure_budget.add(
            CONNECT_RETRY_RATIO,
            RETRY_BUDGET_CAPACITY + learned.tier.peak_in_flight,
        );
        self.probation.credit();
    }

    /// Returns the timeout of a request's next attempt; `None` if the attempt may use all remaining
    /// time. Only first attempts have an earlier timeout, and only if a retry can be expected to
    /// end in time.
    pub(crate) fn attempt_timeout(
        &self,
        request: &PendingRequest,
        time_left: Millis,
    ) -> Option<Millis> {
        let latency = &self.learned.latencies[request.class()];
        let timeout = high_latency(latency, self.settings.has_long_requests);
        let is_retryable =
            self.settings.classes[request.class()].effect != EffectClass::NonIdempotent;
        // The timeout of a long request sheds load in time even if no retry follows.
        let has_retry = self.settings.has_long_requests
            || (self.learned.retry_budget.has_token() && self.eligible_count > 1);
        let can_retry_in_time =
            latency.mean > 0.0 && time_left >= timeout + MEAN_LATENCIES_FOR_RETRY * latency.mean;
        (is_retryable && request.attempts == 0 && has_retry && can_retry_in_time).then_some(timeout)
    }
}

#[cfg(test)]
mod tests;
