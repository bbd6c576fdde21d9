//! Probation: which requests an ejected endpoint may get, and how many.

use crate::balancer::Balancer;
use crate::outlier::Ejection;
use crate::request::PendingRequest;
use crate::{EffectClass, Millis};

/// Probation requests that each request adds to the budget.
const PROBATION_RATIO: f64 = 0.05;
/// Maximum number of probation requests that the budget accumulates.
const PROBATION_BUDGET_CAPACITY: f64 = 3.0;
/// Time without probation requests after which one costs no budget.
const FREE_PROBATION_INTERVAL_MS: Millis = 6_000.0;
/// Non-idempotent probation requests that each request adds to the budget.
const NON_IDEMPOTENT_PROBATION_RATIO: f64 = 0.001;
/// Time without probation requests after which a non-idempotent one costs no budget.
const FREE_NON_IDEMPOTENT_PROBATION_INTERVAL_MS: Millis = 60_000.0;

/// The budget of probation requests.
pub(crate) struct ProbationBudget {
    tokens: f64,
    non_idempotent_tokens: f64,
    last_at: Millis,
}

impl ProbationBudget {
    pub(crate) fn new() -> ProbationBudget {
        ProbationBudget {
            tokens: PROBATION_BUDGET_CAPACITY,
            non_idempotent_tokens: 0.0,
            last_at: f64::MIN,
        }
    }

    /// Adds the contribution of one request to the budget.
    pub(crate) fn credit(&mut self) {
        self.tokens = (self.tokens + PROBATION_RATIO).min(PROBATION_BUDGET_CAPACITY);
        self.non_idempotent_tokens =
            (self.non_idempotent_tokens + NON_IDEMPOTENT_PROBATION_RATIO).min(1.0);
    }

    /// Returns whether a probation request may be sent now. `is_non_retryable` tells that the
    /// endpoint may execute the request and that it cannot be retried.
    pub(crate) fn has_token(&self, now: Millis, is_non_retryable: bool) -> bool {
        let idle = now - self.last_at;
        let has_any = self.tokens >= 1.0 || idle >= FREE_PROBATION_INTERVAL_MS;
        let has_non_idempotent =
            self.non_idempotent_tokens >= 1.0 || idle >= FREE_NON_IDEMPOTENT_PROBATION_INTERVAL_MS;
        has_any && (!is_non_retryable || has_non_idempotent)
    }

    pub(crate) fn take_token(&mut self, now: Millis, is_non_retryable: bool) {
        self.tokens = (self.tokens - 1.0).max(0.0);
        if is_non_retryable {
            self.non_idempotent_tokens = 0.0;
        }
        self.last_at = now;
    }
}

impl Balancer {
    /// Returns whether a request may be a probation request. It must be a first attempt with a
    /// retry available in the budget. Requests that the endpoint may execute and that cannot be
    /// retried have a lower budget.
    pub(crate) fn can_be_probation(&self, request: &PendingRequest, ejection: Ejection) -> bool {
        let budget = if ejection.is_connect_failure {
            &self.learned.connect_failure_budget
        } else {
            &self.learned.retry_budget
        };
        let is_non_retryable = self.is_non_retryable(request, ejection);
        request.attempts == 0
            && self.probation.has_token(self.now, is_non_retryable)
            && budget.has_token()
    }

    /// Returns whether a request cannot be retried if its probation attempt fails.
    pub(crate) fn is_non_retryable(&self, request: &PendingRequest, ejection: Ejection) -> bool {
        let effect = self.settings.classes[request.class()].effect;
        !ejection.is_connect_failure && effect == EffectClass::NonIdempotent
    }
}
