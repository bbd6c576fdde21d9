//! A limit on the number of attempts in flight, learned from their latencies by additive increase
//! and multiplicative decrease (AIMD).

use crate::Millis;
use dewrun_decay::{RisingMinimum, WindowedMean};
use serde::{Deserialize, Serialize};

/// Initial limit of a tier below the top, which rejects nothing.
pub(crate) const INITIAL_LIMIT: f64 = 10_000.0;
/// Lowest limit. It is less than 1, because one attempt from each of many processes may overload a
/// small tier.
pub(crate) const MIN_LIMIT: f64 = 0.2;
/// Limit after a decrease, as a fraction of the lesser of the limit and the recent peak in flight.
const DECREASE_FACTOR: f64 = 0.75;
/// Largest weight of one sample in the smoothed latency: one failure must not decrease the limit of
/// a process with little traffic.
const MAX_SAMPLE_WEIGHT: f64 = 0.06;
/// Smallest weight of one sample in the smoothed latency.
const MIN_SAMPLE_WEIGHT: f64 = 0.02;
/// Increase of the limit per sample, before scaling by latency. Below a limit of 10, the increase
/// is 1 / limit, so that limits of all sizes rise in a similar number of rounds.
const INCREASE_PER_SAMPLE: f64 = 0.1;
/// Initial limit divided by the factor by which a limit rises faster before its first decrease.
const INITIAL_LIMIT_PER_INCREASE_FACTOR: f64 = 10.0;
/// Bounds of the factor by which a limit rises faster before its first decrease.
const MIN_INITIAL_INCREASE_FACTOR: f64 = 2.0;
const MAX_INITIAL_INCREASE_FACTOR: f64 = 10.0;
/// Fraction of the limit that must be in flight for an increase: an unused limit proves nothing.
const MIN_UTILIZATION: f64 = 0.7;
/// Time constant by which the recent peak of attempts in flight decays, in milliseconds.
const PEAK_TIME_CONSTANT_MS: Millis = 2_000.0;
/// Time constant of the smoothed latency, in milliseconds.
const LATENCY_TIME_CONSTANT_MS: Millis = 500.0;
/// Latency, as a multiple of the baseline, above which the limit decreases even while the objective
/// is met: a longer queue adds no throughput.
const QUEUEING_LATENCY_RATIO: f64 = 1.5;
/// Fraction of the initial limit below which queueing alone does not decrease a limit.
const MIN_QUEUEING_LIMIT_FRACTION: f64 = 0.5;
/// Number of samples over which the baseline is averaged.
const BASELINE_SAMPLES: f64 = 120.0;
/// Minimum number of samples for the baseline to be used.
const MIN_BASELINE_SAMPLES: f64 = 30.0;
/// Fraction per second by which a recorded minimum rises, in order to follow changes of the tier.
pub(crate) const BASELINE_RISE_PER_S: f64 = 0.02;

/// A measurement of the load by one ended attempt.
#[derive(Clone, Copy)]
pub(crate) struct LatencySample {
    pub(crate) sent_at: Millis,
    /// Latency divided by the latency objective.
    pub(crate) normalized_latency: f64,
}

/// Smoothed normalized latencies above which a limit decreases.
#[derive(Clone, Copy)]
pub(crate) struct LatencyThresholds {
    /// Threshold above which requests are served too late.
    pub(crate) late: f64,
    /// Threshold above which requests wait in queues, though they are served in time.
    pub(crate) queueing: f64,
    /// Lower bound of the limit.
    pub(crate) min_limit: f64,
}

impl LatencyThresholds {
    fn lowest(&self) -> f64 {
        self.late.min(self.queueing)
    }
}

/// The cause of a decrease of a limit.
#[derive(Clone, Copy)]
pub(crate) struct Decrease {
    /// Smoothed normalized latency at the decrease.
    pub(crate) normalized_latency: f64,
    /// Threshold that the latency exceeded.
    pub(crate) threshold: f64,
}

/// A learned limit on attempts in flight.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct ConcurrencyLimit {
    #[serde(rename = "count")]
    pub(crate) limit: f64,
    #[serde(rename = "first")]
    initial: f64,
    /// Attempts of this process. They are not stored, because a successor process counts its own.
    #[serde(skip)]
    pub(crate) in_flight: f64,
    /// Attempts of other processes that serve requests during a handover of this process.
    #[serde(skip)]
    pub(crate) overlapping_in_flight: f64,
    /// The recent peak of attempts in flight.
    #[serde(rename = "used")]
    pub(crate) peak_in_flight: f64,
    #[serde(rename = "stress")]
    pub(crate) normalized_latency: f64,
    #[serde(rename = "at")]
    sampled_at: Millis,
    #[serde(rename = "cut_at")]
    decreased_at: Millis,
}

impl ConcurrencyLimit {
    pub(crate) fn new(limit: f64) -> ConcurrencyLimit {
        ConcurrencyLimit {
            limit,
            initial: limit,
            in_flight: 0.0,
            overlapping_in_flight: 0.0,
            peak_in_flight: 0.0,
            normalized_latency: 0.0,
            sampled_at: f64::MIN,
            decreased_at: f64::MIN,
        }
    }

    /// Returns whether one more attempt may be sent. `random` is from 0 to 1: the fractional part
    /// of the limit is the probability of admitting one more attempt.
    pub(crate) fn has_capacity(&self, random: f64) -> bool {
        self.total_in_flight() + 1.0 <= self.limit + random
    }

    /// Returns whether the values are plausible. Protects the balancer from invalid restored state.
    pub(crate) fn is_valid(&self) -> bool {
        let numbers = [
            self.limit,
            self.initial,
            self.peak_in_flight,
            self.normalized_latency,
        ];
        numbers.iter().all(|n| n.is_finite() && *n >= 0.0)
            && self.limit >= MIN_LIMIT
            && !self.sampled_at.is_nan()
    }

    /// Records the sample of an ended attempt, which still counts as in flight. Returns the cause
    /// if the limit decreased.
    pub(crate) fn record_sample(
        &mut self,
        now: Millis,
        sample: LatencySample,
        thresholds: LatencyThresholds,
    ) -> Option<Decrease> {
        let elapsed = (now - self.sampled_at).max(0.0);
        self.record_peak(now, elapsed);
        // The last decrease already responded to the load that an attempt sent before it measures.
        if sample.sent_at < self.decreased_at {
            return None;
        }
        let weight =
            (elapsed / LATENCY_TIME_CONSTANT_MS).clamp(MIN_SAMPLE_WEIGHT, MAX_SAMPLE_WEIGHT);
        self.normalized_latency += weight * (sample.normalized_latency - self.normalized_latency);
        if self.normalized_latency > thresholds.lowest() {
            let cause = Decrease {
                normalized_latency: self.normalized_latency,
                threshold: thresholds.lowest(),
            };
            self.decrease(now, thresholds);
            return Some(cause);
        }
        let is_in_time = sample.normalized_latency < thresholds.lowest();
        if is_in_time && self.is_utilized() {
            self.increase(thresholds);
        }
        None
    }

    fn total_in_flight(&self) -> f64 {
        self.in_flight + self.overlapping_in_flight
    }

    /// Updates the recent peak in flight. The peak measures utilization, because a process with
    /// little traffic has almost nothing in flight most of the time.
    fn record_peak(&mut self, now: Millis, elapsed: Millis) {
        let decayed = self.peak_in_flight * (-elapsed / PEAK_TIME_CONSTANT_MS).exp();
        self.peak_in_flight = decayed.max(self.total_in_flight());
        self.sampled_at = now;
    }

    fn is_utilized(&self) -> bool {
        self.peak_in_flight >= (MIN_UTILIZATION * self.limit).min(self.limit - 1.0)
    }

    fn decrease(&mut self, now: Millis, thresholds: LatencyThresholds) {
        let floor = if self.normalized_latency > thresholds.late {
            0.0
        } else {
            MIN_QUEUEING_LIMIT_FRACTION * self.initial
        };
        self.decreased_at = now;
        self.normalized_latency = thresholds.lowest();
        let target = self.limit.min(self.peak_in_flight) * DECREASE_FACTOR;
        self.limit = self.limit.min(target.max(floor).max(thresholds.min_limit));
    }

    fn increase(&mut self, thresholds: LatencyThresholds) {
        let factor = if self.decreased_at == f64::MIN {
            (self.initial / INITIAL_LIMIT_PER_INCREASE_FACTOR)
                .clamp(MIN_INITIAL_INCREASE_FACTOR, MAX_INITIAL_INCREASE_FACTOR)
        } else {
            1.0
        };
        let step = factor * INCREASE_PER_SAMPLE.max(1.0 / self.limit.max(1.0));
        self.limit += step * (1.0 - self.normalized_latency / thresholds.lowest());
    }
}

/// The normalized latency of the tier without congestion: a slowly rising minimum of the mean
/// latency.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Baseline {
    mean: WindowedMean,
    #[serde(rename = "least")]
    pub(crate) minimum: RisingMinimum,
}

impl Baseline {
    /// Records a sample. Returns the normalized latency above which requests wait in queues.
    pub(crate) fn record_sample(&mut self, now: Millis, normalized_latency: f64) -> f64 {
        self.mean.add(normalized_latency, BASELINE_SAMPLES);
        if self.mean.count() < MIN_BASELINE_SAMPLES {
            return f64::MAX;
        }
        let minimum = self
            .minimum
            .update(now, self.mean.value(), BASELINE_RISE_PER_S);
        minimum * QUEUEING_LATENCY_RATIO
    }
}
