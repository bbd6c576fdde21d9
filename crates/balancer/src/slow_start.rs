//! Slow start: an endpoint that has just started gets few requests at first.
//!
//! Two rules act together. The slow-start factor scales the endpoint's weight. A token bucket
//! bounds what this process sends, because an endpoint that gets a multiple of its present
//! capacity for a while falls over.
//!
//! The bucket is refilled by a fraction of what warm endpoints serve. Where no warm endpoint is
//! left, what the endpoint has itself answered in the usual time counts if it is more: an endpoint
//! answers no more than it bears, so its answers may be exceeded by less than what overloads it.

use crate::balancer::Balancer;
use crate::selection::unresponsive_after;
use crate::{EndpointState, Millis, Rules};
use dewrun_decay::DecayingSum;

/// Fraction of what overloads a warming endpoint that this process uses.
const MAX_OVERLOAD_FRACTION: f64 = 0.5;
/// The same, where its own answers say what it bears.
const MAX_OVERLOAD_FRACTION_OF_ANSWERS: f64 = 2.0 / 3.0;
/// Time constant of the rate of answers.
const ANSWER_RATE_MS: Millis = 250.0;
/// Standard deviations of the number of answers that count as chance.
const CHANCE_DEVIATIONS: f64 = 2.0;
/// Multiple of the mean latency up to which an answer came in the usual time. Later ones may come
/// from a queue that grows.
const MAX_USUAL_LATENCY_RATIO: f64 = 2.0;
/// Fraction of an overload window's requests that can be saved up for a burst.
const BURST_WINDOW_FRACTION: f64 = 0.25;
/// Requests per second that all processes together may send, whatever the endpoint's capacity.
const MIN_FLEET_REQUESTS_PER_S: f64 = 2.0;

/// The fraction of its capacity that an endpoint surely has, by the time since its start.
pub(crate) fn slow_start_factor(started_at: Option<Millis>, now: Millis, rules: &Rules) -> f64 {
    match started_at {
        Some(start) if now - start < rules.slow_start_ms => {
            let elapsed = ((now - start) / rules.slow_start_ms).max(0.0);
            rules.slow_start_from + (1.0 - rules.slow_start_from) * elapsed
        }
        _ => 1.0,
    }
}

/// What an endpoint that warms up can bear.
#[derive(Clone, Copy)]
pub(crate) struct WarmingCapacity {
    /// The slow-start factor.
    pub(crate) factor: f64,
    /// The endpoint's capacity once it is warm.
    pub(crate) full_capacity: f64,
    /// Requests that warm endpoints serve per second and unit of capacity.
    pub(crate) served_per_s: f64,
    /// Processes of the fleet.
    pub(crate) fleet_size: f64,
    /// Processes that serve together with this one for a while.
    pub(crate) overlapping_processes: f64,
    /// Whether an endpoint is left that is warm and well.
    pub(crate) is_warm_one_left: bool,
}

/// What one selection knows of the warm endpoints.
pub(crate) struct WarmTier {
    /// Requests that they serve per second and unit of capacity.
    pub(crate) served_per_s: f64,
    /// Whether one is left that is ready and well; looked up when the first warming endpoint asks.
    pub(crate) is_one_left: Option<bool>,
}

/// The token bucket of one endpoint.
#[derive(Clone, Copy)]
pub(crate) struct SlowStart {
    tokens: f64,
    refilled_at: Millis,
    /// The endpoint has answered this process since it started.
    has_answered: bool,
    /// Answers in the usual time, with the time constant [`ANSWER_RATE_MS`].
    answers: DecayingSum,
}

impl SlowStart {
    pub(crate) fn new(tokens: f64, now: Millis) -> SlowStart {
        SlowStart {
            tokens,
            refilled_at: now,
            has_answered: false,
            answers: DecayingSum::default(),
        }
    }

    /// Takes a token; below zero where an endpoint that is warm does not need any.
    pub(crate) fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// Takes in an answer of the endpoint, with its latency as a multiple of the mean.
    pub(crate) fn record_answer(&mut self, now: Millis, latency_ratio: f64) {
        self.has_answered = true;
        if latency_ratio <= MAX_USUAL_LATENCY_RATIO {
            self.answers.add(now, ANSWER_RATE_MS);
        }
    }

    /// Requests per second that the endpoint surely answers in the usual time. The variance of an
    /// exponentially decaying count is half of its mean.
    fn answered_per_s(&self, now: Millis) -> f64 {
        let answers = self.answers.read(now, ANSWER_RATE_MS);
        let surely = answers - CHANCE_DEVIATIONS * (answers / 2.0).sqrt();
        surely.max(0.0) * 1000.0 / ANSWER_RATE_MS
    }

    /// Refills the bucket by the time since the last refill; true if a request may be sent.
    pub(crate) fn refill(&mut self, now: Millis, warming: WarmingCapacity, rules: &Rules) -> bool {
        let capacity_per_s = warming.factor * warming.full_capacity * warming.served_per_s;
        let min_per_s = MIN_FLEET_REQUESTS_PER_S / warming.fleet_size;
        let mut per_s = MAX_OVERLOAD_FRACTION / (1.0 + warming.overlapping_processes)
            * rules.overload_multiple
            * capacity_per_s.max(min_per_s);
        if !warming.is_warm_one_left {
            let answered_per_s = self.answered_per_s(now);
            per_s = per_s
                .max(MAX_OVERLOAD_FRACTION_OF_ANSWERS * rules.overload_multiple * answered_per_s);
        }
        let elapsed = (now - self.refilled_at).clamp(0.0, rules.overload_ms);
        self.refilled_at = now;
        // The burst and the refill of one window must together stay below what overloads.
        let burst = (per_s * rules.overload_ms / 1000.0 * BURST_WINDOW_FRACTION).max(1.0);
        self.tokens = (self.tokens + per_s * elapsed / 1000.0).min(burst);
        self.tokens >= 1.0
    }
}

impl Balancer {
    /// Whether an endpoint that warms up may get another attempt by its slow-start tokens.
    pub(crate) fn may_bear_more(
        &mut self,
        index: usize,
        class: usize,
        warm_tier: &mut WarmTier,
    ) -> bool {
        let factor = self.endpoints.list[index].slow_start_factor(self.now, &self.settings.rules);
        if factor >= 1.0 {
            return true;
        }
        let is_warm_one_left = *warm_tier
            .is_one_left
            .get_or_insert_with(|| self.is_warm_one_left(class));
        let rules = &self.settings.rules;
        let endpoint = &mut self.endpoints.list[index];
        let warming = WarmingCapacity {
            factor,
            full_capacity: endpoint.weight(),
            served_per_s: warm_tier.served_per_s,
            fleet_size: f64::from(self.settings.fleet_size),
            overlapping_processes: self.overlapping_processes,
            is_warm_one_left,
        };
        endpoint.slow_start.refill(self.now, warming, rules)
    }

    /// The capacity of an endpoint that waits for a token; 0 if it is left out anyway, or has not
    /// shown that it answers. While it has any, ejected endpoints get no requests but probation.
    pub(crate) fn waiting_capacity(&self, index: usize, class: usize) -> f64 {
        if !self.endpoints.list[index].slow_start.has_answered || self.is_left_out(index, class) {
            return 0.0;
        }
        self.endpoints.list[index].capacity(self.now, &self.settings.rules)
    }

    fn is_warm_one_left(&self, class: usize) -> bool {
        (0..self.endpoints.list.len()).any(|index| {
            let endpoint = &self.endpoints.list[index];
            endpoint.info.state == EndpointState::Ready
                && endpoint.slow_start_factor(self.now, &self.settings.rules) >= 1.0
                && !self.is_left_out(index, class)
        })
    }

    /// Whether an endpoint gets no requests by its weight: it is ejected or unresponsive.
    fn is_left_out(&self, index: usize, class: usize) -> bool {
        let after = unresponsive_after(self.learned.latencies[class].mean);
        let endpoint = &self.endpoints.list[index];
        endpoint.ejection(class).is_some()
            || endpoint.is_unresponsive(self.now, after, self.last_answer_at)
    }
}
