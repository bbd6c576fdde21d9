//! Slow start: an endpoint that has just started gets few requests at first.
//!
//! Two rules apply together. The slow-start factor scales the endpoint's weight. A token bucket
//! limits the requests that this process sends, because an endpoint becomes overloaded if it gets a
//! multiple of its current capacity for some time.
//!
//! The bucket is refilled at a fraction of the rate that warm endpoints serve. If no warm endpoint
//! is available, the refill rate is instead derived from the endpoint's own responses within the
//! usual latency, if that rate is higher: an endpoint responds at no more than the rate that it can
//! serve, so that rate may be exceeded by less than the overload multiple.

use crate::balancer::Balancer;
use crate::selection::unresponsive_after;
use crate::{EndpointState, Millis, Rules};
use dewrun_decay::DecayingSum;

/// Fraction of the overload rate of a warming endpoint that this process uses.
const MAX_OVERLOAD_FRACTION: f64 = 0.5;
/// Fraction of the overload rate that is used if that rate is derived from the endpoint's own
/// responses.
const MAX_OVERLOAD_FRACTION_BY_RESPONSES: f64 = 2.0 / 3.0;
/// Time constant of the response rate.
const RESPONSE_RATE_TIME_CONSTANT_MS: Millis = 250.0;
/// Standard deviations of the number of responses that are attributed to chance.
const CHANCE_DEVIATIONS: f64 = 2.0;
/// Highest latency of a response that counts, as a multiple of the mean. Later responses may come
/// from a growing queue.
const MAX_USUAL_LATENCY_RATIO: f64 = 2.0;
/// Size of the bucket, as a fraction of the requests of one overload window.
const BURST_WINDOW_FRACTION: f64 = 0.25;
/// Requests per second that all processes together may send, independent of the endpoint's
/// capacity.
const MIN_FLEET_REQUESTS_PER_S: f64 = 2.0;

/// Returns a lower bound of the fraction of its capacity that an endpoint has, by the time since
/// its start.
pub(crate) fn slow_start_factor(started_at: Option<Millis>, now: Millis, rules: &Rules) -> f64 {
    match started_at {
        Some(start) if now - start < rules.slow_start_ms => {
            let elapsed = ((now - start) / rules.slow_start_ms).max(0.0);
            rules.slow_start_from + (1.0 - rules.slow_start_from) * elapsed
        }
        _ => 1.0,
    }
}

/// Inputs of the refill rate of a warming endpoint's token bucket.
#[derive(Clone, Copy)]
pub(crate) struct WarmingCapacity {
    /// Slow-start factor of the endpoint.
    pub(crate) factor: f64,
    /// Capacity of the endpoint after slow start.
    pub(crate) full_capacity: f64,
    /// Requests that warm endpoints serve per second and unit of capacity.
    pub(crate) served_per_s: f64,
    /// Number of processes in the fleet.
    pub(crate) fleet_size: f64,
    /// Number of other processes that serve requests during a handover of this process.
    pub(crate) overlapping_processes: f64,
    /// Whether a warm endpoint is available.
    pub(crate) has_warm_endpoint: bool,
}

/// Facts about the warm endpoints, for the duration of one selection.
pub(crate) struct WarmTier {
    /// Requests that they serve per second and unit of capacity.
    pub(crate) served_per_s: f64,
    /// Whether a warm endpoint is available; `None` until the first warming endpoint needs it.
    pub(crate) has_warm_endpoint: Option<bool>,
}

/// The token bucket of one endpoint.
#[derive(Clone, Copy)]
pub(crate) struct SlowStart {
    tokens: f64,
    refilled_at: Millis,
    /// Whether the endpoint has responded to this process since it started.
    has_responded: bool,
    /// Responses within the usual latency, which decay with [`RESPONSE_RATE_TIME_CONSTANT_MS`].
    responses: DecayingSum,
}

impl SlowStart {
    pub(crate) fn new(tokens: f64, now: Millis) -> SlowStart {
        SlowStart {
            tokens,
            refilled_at: now,
            has_responded: false,
            responses: DecayingSum::default(),
        }
    }

    /// Consumes a token. The balance may become negative, because a warm endpoint needs no token.
    pub(crate) fn take_token(&mut self) {
        self.tokens -= 1.0;
    }

    /// Records a response of the endpoint, with its latency as a multiple of the mean.
    pub(crate) fn record_response(&mut self, now: Millis, latency_ratio: f64) {
        self.has_responded = true;
        if latency_ratio <= MAX_USUAL_LATENCY_RATIO {
            self.responses.add(now, RESPONSE_RATE_TIME_CONSTANT_MS);
        }
    }

    /// Returns a lower confidence bound of the responses per second within the usual latency. The
    /// variance of an exponentially decaying count is half of its mean.
    fn responses_per_s(&self, now: Millis) -> f64 {
        let responses = self.responses.read(now, RESPONSE_RATE_TIME_CONSTANT_MS);
        let lower_bound = responses - CHANCE_DEVIATIONS * (responses / 2.0).sqrt();
        lower_bound.max(0.0) * 1000.0 / RESPONSE_RATE_TIME_CONSTANT_MS
    }

    /// Refills the bucket by the time since the last refill. Returns whether a request may be sent.
    pub(crate) fn refill(&mut self, now: Millis, warming: WarmingCapacity, rules: &Rules) -> bool {
        let capacity_per_s = warming.factor * warming.full_capacity * warming.served_per_s;
        let min_per_s = MIN_FLEET_REQUESTS_PER_S / warming.fleet_size;
        let mut per_s = MAX_OVERLOAD_FRACTION / (1.0 + warming.overlapping_processes)
            * rules.overload_multiple
            * capacity_per_s.max(min_per_s);
        if !warming.has_warm_endpoint {
            let responses_per_s = self.responses_per_s(now);
            per_s = per_s.max(
                MAX_OVERLOAD_FRACTION_BY_RESPONSES * rules.overload_multiple * responses_per_s,
            );
        }
        let elapsed = (now - self.refilled_at).clamp(0.0, rules.overload_ms);
        self.refilled_at = now;
        // The burst and the refill of one window must together stay below the overload of the
        // endpoint.
        let burst = (per_s * rules.overload_ms / 1000.0 * BURST_WINDOW_FRACTION).max(1.0);
        self.tokens = (self.tokens + per_s * elapsed / 1000.0).min(burst);
        self.tokens >= 1.0
    }
}

impl Balancer {
    /// Returns whether an endpoint may get another attempt according to its slow-start tokens.
    pub(crate) fn has_slow_start_token(
        &mut self,
        index: usize,
        class: usize,
        warm_tier: &mut WarmTier,
    ) -> bool {
        let factor = self.endpoints.list[index].slow_start_factor(self.now, &self.settings.rules);
        if factor >= 1.0 {
            return true;
        }
        let has_warm_endpoint = *warm_tier
            .has_warm_endpoint
            .get_or_insert_with(|| self.has_warm_endpoint(class));
        let rules = &self.settings.rules;
        let endpoint = &mut self.endpoints.list[index];
        let warming = WarmingCapacity {
            factor,
            full_capacity: endpoint.weight(),
            served_per_s: warm_tier.served_per_s,
            fleet_size: f64::from(self.settings.fleet_size),
            overlapping_processes: self.overlapping_processes,
            has_warm_endpoint,
        };
        endpoint.slow_start.refill(self.now, warming, rules)
    }

    /// Returns the capacity of an endpoint that waits for a token; 0 if the endpoint is excluded
    /// anyway or has not yet responded. While this capacity is not 0, ejected endpoints get only
    /// probation requests.
    pub(crate) fn waiting_capacity(&self, index: usize, class: usize) -> f64 {
        if !self.endpoints.list[index].slow_start.has_responded || self.is_excluded(index, class) {
            return 0.0;
        }
        self.endpoints.list[index].capacity(self.now, &self.settings.rules)
    }

    fn has_warm_endpoint(&self, class: usize) -> bool {
        (0..self.endpoints.list.len()).any(|index| {
            let endpoint = &self.endpoints.list[index];
            endpoint.info.state == EndpointState::Ready
                && endpoint.slow_start_factor(self.now, &self.settings.rules) >= 1.0
                && !self.is_excluded(index, class)
        })
    }

    /// Returns whether an endpoint is ejected or unresponsive and therefore gets no requests by
    /// weight.
    fn is_excluded(&self, index: usize, class: usize) -> bool {
        let after = unresponsive_after(self.learned.latencies[class].mean);
        let endpoint = &self.endpoints.list[index];
        endpoint.ejection(class).is_some()
            || endpoint.is_unresponsive(self.now, after, self.last_response_at)
    }
}
