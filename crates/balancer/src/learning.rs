//! What an ended attempt teaches: throughput, latencies, the health of its endpoint, and the load.

use crate::balancer::Balancer;
use crate::concurrency_limit::LatencySample;
use crate::request::{Attempt, PendingRequest};
use crate::selection::THROUGHPUT_MS;
use crate::{Action, Millis, Outcome};

/// Normalized latency of a failed attempt, at least.
const FAILED_NORMALIZED_LATENCY: f64 = 1.5;
/// Normalized latency of an attempt whose client has left.
const ABANDONED_NORMALIZED_LATENCY: f64 = 1.0;
/// Weight of one request in a class's mean latency.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.05;

/// How an attempt ended, as the event tells it.
#[derive(Clone, Copy)]
pub(crate) struct AttemptEnd {
    pub(crate) outcome: Outcome,
    pub(crate) latency: Millis,
    /// No final answer is owed any more.
    pub(crate) is_request_over: bool,
}

/// An attempt that has ended.
#[derive(Clone, Copy)]
pub(crate) struct EndedAttempt<'a> {
    pub(crate) request: &'a PendingRequest,
    pub(crate) attempt: Attempt,
    pub(crate) outcome: Outcome,
    pub(crate) latency: Millis,
    /// The mean latency of the class before this attempt; 0 where it is not known.
    pub(crate) expected_latency: Millis,
}

impl EndedAttempt<'_> {
    pub(crate) fn is_success(&self) -> bool {
        self.outcome == Outcome::Ok
    }
}

impl Balancer {
    /// Learns from an attempt that has ended; true if it has ejected its endpoint.
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
        let verdict = self.record_at_endpoint(&ended, actions);
        if end.outcome.is_independent_of_endpoint() {
            self.record_abandoned(&ended, actions);
            return false;
        }
        // Failures of an endpoint that is known as bad say nothing of the tier's load; nor does a
        // failed connection, as while a zone is cut off.
        let is_sign_of_load = verdict.was_healthy
            && !verdict.is_unresponsive
            && end.outcome != Outcome::ConnectFailed;
        if ended.is_success() || is_sign_of_load {
            let sample = self.latency_sample(&ended);
            self.record_latency_sample(sample, actions);
        }
        verdict.is_newly_ejected
    }

    fn record_success(&mut self, ended: &EndedAttempt<'_>) {
        // By the capacity at the time of selection: a shrinking tier would else seem to have served
        // all with the rest.
        let per_capacity = self.learned.subset_capacity.recip();
        self.learned
            .throughput
            .add_of(self.now, THROUGHPUT_MS, per_capacity);
        self.has_served_since_free_retry = true;
        self.learned.latencies[ended.request.class()].add(ended.latency, LATENCY_SAMPLE_WEIGHT);
    }

    /// An attempt that says nothing of its endpoint. If its client has left, it was late for that
    /// client.
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
