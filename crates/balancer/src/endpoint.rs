//! State of one endpoint.

use crate::outlier::{Ejection, EndpointHealth};
use crate::slow_start::{slow_start_factor, SlowStart};
use crate::{EndpointInfo, Millis, Rules};
use dewrun_decay::{DecayingFraction, DecayingSum};
use serde::{Deserialize, Serialize};

/// Largest listed weight that is used, which keeps sums of weights finite.
const MAX_WEIGHT: f64 = 1e9;
/// Largest latency ratio of one sample.
const MAX_LATENCY_RATIO: f64 = 10.0;
/// Number of samples after which each further sample has the same weight in the latency ratio.
const MAX_LATENCY_SAMPLES: f64 = 15.0;
/// Weight of the initial latency ratio, in samples.
const INITIAL_LATENCY_SAMPLES: f64 = 5.0;

/// State learned about an endpoint since it started.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct EndpointStats {
    #[serde(rename = "faults")]
    pub(crate) failure_fraction: DecayingFraction,
    pub(crate) health: EndpointHealth,
    #[serde(rename = "by_class")]
    pub(crate) health_by_class: Vec<EndpointHealth>,
    /// Mean latency as a multiple of the mean of all endpoints.
    #[serde(rename = "slowness")]
    pub(crate) latency_ratio: f64,
    #[serde(rename = "samples")]
    latency_samples: f64,
    /// Time at which connections succeeded again after failures: the process may have restarted
    /// without a start time in the list.
    #[serde(rename = "revived_at")]
    recovered_at: Option<Millis>,
}

/// An endpoint with its list entry and its observed state.
pub(crate) struct Endpoint {
    pub(crate) info: EndpointInfo,
    pub(crate) stats: EndpointStats,
    pub(crate) in_flight: f64,
    /// Lower bound of the time at which the oldest attempt in flight was sent.
    pub(crate) oldest_sent_at: Millis,
    pub(crate) last_response_at: Millis,
    pub(crate) slow_start: SlowStart,
    pub(crate) is_reported_unresponsive: bool,
    /// Attempts that failed in less than the expected latency. They count as load for the duration
    /// of a served request, because an endpoint that fails quickly would otherwise attract all
    /// requests.
    pub(crate) early_failures: DecayingSum,
}

impl Endpoint {
    /// Creates an endpoint without observed state.
    pub(crate) fn new(info: EndpointInfo, slow_start: SlowStart, classes: usize) -> Endpoint {
        Endpoint {
            info,
            stats: EndpointStats {
                failure_fraction: DecayingFraction::default(),
                health: EndpointHealth::default(),
                health_by_class: vec![EndpointHealth::default(); classes],
                latency_ratio: 1.0,
                latency_samples: 0.0,
                recovered_at: None,
            },
            in_flight: 0.0,
            oldest_sent_at: f64::MAX,
            last_response_at: f64::MIN,
            slow_start,
            is_reported_unresponsive: false,
            early_failures: DecayingSum::default(),
        }
    }

    /// Returns the listed weight; 1 if it is invalid.
    pub(crate) fn weight(&self) -> f64 {
        let listed = Some(self.info.weight)
            .filter(|weight| *weight > 0.0 && weight.is_finite())
            .unwrap_or(1.0);
        listed.clamp(1.0 / MAX_WEIGHT, MAX_WEIGHT)
    }

    /// Returns a lower bound of the fraction of its capacity that the endpoint has now.
    pub(crate) fn slow_start_factor(&self, now: Millis, rules: &Rules) -> f64 {
        let started_at = [self.info.started_at, self.stats.recovered_at]
            .into_iter()
            .flatten()
            .reduce(f64::max);
        slow_start_factor(started_at, now, rules)
    }

    /// Returns the current capacity relative to other endpoints.
    pub(crate) fn capacity(&self, now: Millis, rules: &Rules) -> f64 {
        self.weight() * self.slow_start_factor(now, rules)
    }

    /// Returns the health for a class, which is the lower of the values for all requests and for
    /// the class.
    pub(crate) fn health(&self, now: Millis, class: usize) -> f64 {
        let for_class = self.stats.health_by_class[class].value(now);
        self.stats.health.value(now).min(for_class)
    }

    /// Returns the ejection that applies to a class, if any. Of two ejections, the one with the
    /// later probation applies.
    pub(crate) fn ejection(&self, class: usize) -> Option<Ejection> {
        let states = [
            self.stats.health.state,
            self.stats.health_by_class[class].state,
        ];
        states
            .iter()
            .filter_map(|state| state.ejection())
            .max_by(|a, b| a.until.total_cmp(&b.until))
    }

    /// Returns whether the oldest attempt in flight is older than `after` and the endpoint has not
    /// responded since it was sent, although another endpoint has.
    pub(crate) fn is_unresponsive(
        &self,
        now: Millis,
        after: Millis,
        last_tier_response_at: Millis,
    ) -> bool {
        now - self.oldest_sent_at > after
            && self.last_response_at < self.oldest_sent_at
            && last_tier_response_at > self.oldest_sent_at
    }

    /// Returns the number of attempts in flight and of attempts that failed early.
    pub(crate) fn load(&self, now: Millis, mean_latency: Millis) -> f64 {
        let early_failures = if mean_latency > 0.0 {
            self.early_failures.read(now, mean_latency)
        } else {
            0.0
        };
        self.in_flight + early_failures
    }

    /// Records that an attempt is sent.
    pub(crate) fn start_attempt(&mut self, now: Millis) {
        self.in_flight += 1.0;
        self.oldest_sent_at = self.oldest_sent_at.min(now);
        self.slow_start.take_token();
    }

    /// Records that an attempt has ended.
    pub(crate) fn end_attempt(&mut self, sent_at: Millis) {
        self.in_flight = (self.in_flight - 1.0).max(0.0);
        self.oldest_sent_at = if self.in_flight > 0.0 {
            self.oldest_sent_at.max(sent_at)
        } else {
            f64::MAX
        };
    }

    /// Records the latency of a served request, as a multiple of the mean of its class.
    pub(crate) fn record_latency(&mut self, now: Millis, ratio: f64) {
        self.slow_start.record_response(now, ratio);
        let stats = &mut self.stats;
        stats.latency_samples = (stats.latency_samples + 1.0).min(MAX_LATENCY_SAMPLES);
        stats.latency_ratio += (ratio.min(MAX_LATENCY_RATIO) - stats.latency_ratio)
            / (INITIAL_LATENCY_SAMPLES + stats.latency_samples);
    }

    /// Starts slow start when connections succeed again, because the endpoint may have restarted.
    pub(crate) fn recover_from_outage(&mut self, now: Millis) {
        self.stats.recovered_at = Some(now);
        self.slow_start = SlowStart::new(0.0, now);
    }
}
