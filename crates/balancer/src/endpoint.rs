//! What is known of one endpoint.

use crate::outlier::{Ejection, EndpointHealth};
use crate::slow_start::{slow_start_factor, SlowStart};
use crate::{EndpointInfo, Millis, Rules};
use dewrun_decay::{DecayingFraction, DecayingSum};
use serde::{Deserialize, Serialize};

/// The largest listed weight that is used: sums of weights must stay finite.
const MAX_WEIGHT: f64 = 1e9;
/// The largest latency ratio of one sample.
const MAX_LATENCY_RATIO: f64 = 10.0;
/// Samples from which all weigh alike in the latency ratio.
const MAX_LATENCY_SAMPLES: f64 = 15.0;
/// Samples that the initial latency ratio weighs as much as.
const INITIAL_LATENCY_SAMPLES: f64 = 5.0;

/// What was learned of an endpoint since it started.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct EndpointStats {
    #[serde(rename = "faults")]
    pub(crate) failure_fraction: DecayingFraction,
    pub(crate) health: EndpointHealth,
    #[serde(rename = "by_class")]
    pub(crate) health_by_class: Vec<EndpointHealth>,
    /// Mean latency as a multiple of that of all endpoints.
    #[serde(rename = "slowness")]
    pub(crate) latency_ratio: f64,
    #[serde(rename = "samples")]
    latency_samples: f64,
    /// When connections came about again after they had failed: the process may have restarted
    /// though the list tells of no start.
    #[serde(rename = "revived_at")]
    recovered_at: Option<Millis>,
}

/// An endpoint, as listed and as seen.
pub(crate) struct Endpoint {
    pub(crate) info: EndpointInfo,
    pub(crate) stats: EndpointStats,
    pub(crate) in_flight: f64,
    /// When the oldest attempt in flight was sent, at the earliest.
    pub(crate) oldest_sent_at: Millis,
    pub(crate) answered_at: Millis,
    pub(crate) slow_start: SlowStart,
    pub(crate) is_reported_unresponsive: bool,
    /// Attempts that failed sooner than they could have been served. They count as load for as long
    /// as a served one takes, or a fast failing endpoint would draw all requests.
    pub(crate) early_failures: DecayingSum,
}

impl Endpoint {
    /// An endpoint of which nothing is known but its entry in the list.
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
            answered_at: f64::MIN,
            slow_start,
            is_reported_unresponsive: false,
            early_failures: DecayingSum::default(),
        }
    }

    /// The listed weight; 1 where it is unusable.
    pub(crate) fn weight(&self) -> f64 {
        let listed = Some(self.info.weight)
            .filter(|weight| *weight > 0.0 && weight.is_finite())
            .unwrap_or(1.0);
        listed.clamp(1.0 / MAX_WEIGHT, MAX_WEIGHT)
    }

    /// The fraction of its capacity that it surely has by now.
    pub(crate) fn slow_start_factor(&self, now: Millis, rules: &Rules) -> f64 {
        let started_at = [self.info.started_at, self.stats.recovered_at]
            .into_iter()
            .flatten()
            .reduce(f64::max);
        slow_start_factor(started_at, now, rules)
    }

    /// What it can bear now, beside other endpoints.
    pub(crate) fn capacity(&self, now: Millis, rules: &Rules) -> f64 {
        self.weight() * self.slow_start_factor(now, rules)
    }

    /// Its health for a class: the lower of that for all requests and that of the class.
    pub(crate) fn health(&self, now: Millis, class: usize) -> f64 {
        let for_class = self.stats.health_by_class[class].value(now);
        self.stats.health.value(now).min(for_class)
    }

    /// Its ejection for a class, if any; of two, the one with the later probation.
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

    /// Whether its oldest attempt in flight is older than `after` and it has answered none since,
    /// though some endpoint has.
    pub(crate) fn is_unresponsive(
        &self,
        now: Millis,
        after: Millis,
        last_answer_at: Millis,
    ) -> bool {
        now - self.oldest_sent_at > after
            && self.answered_at < self.oldest_sent_at
            && last_answer_at > self.oldest_sent_at
    }

    /// Attempts in flight, and those that failed early.
    pub(crate) fn load(&self, now: Millis, mean_latency: Millis) -> f64 {
        let early_failures = if mean_latency > 0.0 {
            self.early_failures.read(now, mean_latency)
        } else {
            0.0
        };
        self.in_flight + early_failures
    }

    /// An attempt is sent.
    pub(crate) fn start_attempt(&mut self, now: Millis) {
        self.in_flight += 1.0;
        self.oldest_sent_at = self.oldest_sent_at.min(now);
        self.slow_start.take();
    }

    /// An attempt has ended.
    pub(crate) fn end_attempt(&mut self, sent_at: Millis) {
        self.in_flight = (self.in_flight - 1.0).max(0.0);
        self.oldest_sent_at = if self.in_flight > 0.0 {
            self.oldest_sent_at.max(sent_at)
        } else {
            f64::MAX
        };
    }

    /// Takes in the latency of a served request, as a multiple of the mean of its class.
    pub(crate) fn record_latency(&mut self, now: Millis, ratio: f64) {
        self.slow_start.record_answer(now, ratio);
        let stats = &mut self.stats;
        stats.latency_samples = (stats.latency_samples + 1.0).min(MAX_LATENCY_SAMPLES);
        stats.latency_ratio += (ratio.min(MAX_LATENCY_RATIO) - stats.latency_ratio)
            / (INITIAL_LATENCY_SAMPLES + stats.latency_samples);
    }

    /// Connections come about again: it may have restarted, so it warms up.
    pub(crate) fn recover_from_outage(&mut self, now: Millis) {
        self.stats.recovered_at = Some(now);
        self.slow_start = SlowStart::new(0.0, now);
    }
}
