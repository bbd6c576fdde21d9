//! Learning from ended attempts: throughput, latencies, the health of the endpoint, and the load.

use crate::balancer::Balancer;
use crate::concurrency_limit::LatencySample;
use crate::request::{Attempt, PendingRequest};
use crate::selection::THROUGHPUT_TIME_CONSTANT_MS;
use crate::{Action, Millis, Outcome};

/// Lower bound of the normalized latency of a failed attempt.
const FAILED_NORMALIZED_LATENCY: f64 = 1.5;
/// Normalized latency of an attempt whose client disconnected.
const ABANDONED_NORMALIZED_LATENCY: f64 = 1.0;
/// Weight of one request in the mean latency of its class.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.05;

/// The end of an attempt as reported by the event.
#[derive(Clone, Copy)]
pub(crate) struct AttemptEnd {
    pub(crate) outcome: Outcome,
    pub(crate) latency: Millis,
    /// Whether the request has ended and needs no further action.
    pub(crate) is_request_over: bool,
}

/// An ended attempt with its request.
#[derive(Clone, Copy)]
pub(crate) struct EndedAttempt<'a> {
    pub(crate) request: &'a PendingRequest,
    pub(crate) attempt: Attempt,
    pub(crate) outcome: Outcome,
    pub(crate) latency: Millis,
    /// Mean latency of the class before this attempt; 0 if unknown.
    pub(crate) expected_latency: Millis,
}

impl EndedAttempt<'_> {
    pub(crate) fn is_success(&self) -> bool {
        self.outcome == Outcome::Ok
    }
}

impl Balancer {
    /// Learns from an ended attempt. Returns whether it ejected its endpoint.
    pub(crate) fn record_attempt(
        &mut self,
        request: &PendingRequest,
        attempt: Attempt,
        end: AttemptEnd,
        actions: &mut Vec<Action>,
    ) -> bool {
        let ended = EndedAttempt {
            request,
            attempt,
            outcome: end.outcome,
            latency: if end.latency.is_finite() {
                end.latency.max(0.0)
            } else {
                self.now - attempt.sent_at
            },
            expected_latency: self.learned.latencies[request.class()].mean,
        };
        if ended.is_success() {
            self.record_success(&ended);
        }
        let change = self.record_at_endpoint(&ended, actions);
        if end.outcome.is_independent_of_endpoint() {
            self.record_abandoned(&ended, actions);
            return false;
        }
        // Failures of an endpoint that is known to be faulty say nothing about the load of the
        // tier. Neither do failed connections, as in a network partition of a zone.
        let is_sign_of_load =
            change.was_healthy && !change.is_unresponsive && end.outcome != Outcome::ConnectFailed;
        if ended.is_success() || is_sign_of_load {
            let sample = self.latency_sample(&ended);
            self.record_latency_sample(sample, actions);
        }
        change.is_newly_ejected
    }

    fn record_success(&mut self, ended: &EndedAttempt<'_>) {
        // The capacity at the time of selection counts. Otherwise a shrinking tier would seem to
        // have served all requests with its remaining endpoints.
        let per_capacity = self.learned.subset_capacity.recip();
        self.learned
            .throughput
            .add_amount(self.now, THROUGHPUT_TIME_CONSTANT_MS, per_capacity);
        self.has_served_since_free_retry = true;
        self.learned.latencies[ended.request.class()].add(ended.latency, LATENCY_SAMPLE_WEIGHT);
    }

    /// Records an attempt whose outcome carries no information about the endpoint. If the client
    /// disconnected, the response counts as late.
    fn record_abandoned(&mut self, ended: &EndedAttempt<'_>, actions: &mut Vec<Action>) {
        if ended.request.is_abandoned && self.settings.tier == 0 {
            let sample = LatencySample {
                sent_at: ended.attempt.sent_at,
                normalized_latency: ABANDONED_NORMALIZED_LATENCY,
            };
            self.record_latency_sample(sample, actions);
        }
    }

    fn latency_sample(&self, ended: &EndedAttempt<'_>) -> LatencySample {
        let class = &self.settings.classes[ended.request.class()];
        let normalized_latency = ended.latency / class.latency_objective_ms;
        LatencySample {
            sent_at: ended.attempt.sent_at,
            normalized_latency: if ended.is_success() {
                normalized_latency
            } else {
                FAILED_NORMALIZED_LATENCY.max(normalized_latency)
            },
        }
    }
}
