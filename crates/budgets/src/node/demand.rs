//! The demand for one budget at this process: an exponentially decaying mean that follows a sudden
//! change at once.

use super::UNIT_WEIGHT;
use crate::{Micros, Timestamp};

/// Time constant of the mean, in microseconds.
const TIME_CONSTANT_US: f64 = 1_000_000.0;
/// Minimum time between two samples.
const SAMPLE_INTERVAL_US: Micros = 50_000;
/// A change of more than this many standard deviations of a Poisson count is not treated as noise:
/// it replaces the mean.
const NOISE_DEVIATIONS: f64 = 3.0;
/// Demand has clearly risen if it exceeds the mean times this factor plus `RISE_MARGIN_PER_SECOND`.
const RISE_FACTOR: f64 = 1.5;
/// Requests per second that demand must rise in addition to `RISE_FACTOR`.
const RISE_MARGIN_PER_SECOND: f64 = 2.0;
const US_PER_SECOND: f64 = 1e6;
/// Maximum mean weight of a request.
const MAX_WEIGHT: u32 = 1 << 20;

/// The measured demand for one budget.
#[derive(Clone, Debug)]
pub(super) struct Demand {
    requests: u64,
    /// The sum of the requests' weights since the last sample.
    weight_sum: u64,
    /// The mean weight of a request before the last sample.
    weight: u32,
    /// The mean number of requests per second.
    per_second: f64,
    sampled_at: Timestamp,
    sampled_requests: u64,
}

impl Demand {
    pub fn new(now: Timestamp) -> Demand {
        Demand {
            requests: 0,
            weight_sum: 0,
            weight: UNIT_WEIGHT,
            per_second: 0.0,
            sampled_at: now,
            sampled_requests: 0,
        }
    }

    /// Returns the mean number of requests per second.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Returns the mean weight of a request, in units of 1/[`UNIT_WEIGHT`].
    pub fn weight(&self) -> u32 {
        self.weight
    }

    /// Counts a request, admitted or not.
    pub fn count(&mut self, weight: u32) {
        self.requests += 1;
        self.weight_sum += u64::from(weight);
    }

    /// Updates the means with the requests counted since the last sample, if the sample interval
    /// has passed.
    pub fn sample(&mut self, now: Timestamp) {
        if now.saturating_sub(self.sampled_at) < SAMPLE_INTERVAL_US {
            return;
        }
        let span_us = now.saturating_sub(self.sampled_at) as f64;
        if let Some(mean) = self
            .weight_sum
            .checked_div(self.requests - self.sampled_requests)
        {
            self.weight = (mean as u32).clamp(1, MAX_WEIGHT);
        }
        self.weight_sum = 0;
        self.update_rate(self.rate_since_sample(now), span_us);
        self.sampled_at = now;
        self.sampled_requests = self.requests;
    }

    fn update_rate(&mut self, rate: f64, span_us: f64) {
        let expected = rate.max(self.per_second);
        let noise = NOISE_DEVIATIONS * (expected * US_PER_SECOND / span_us).sqrt();
        if (rate - self.per_second).abs() > noise {
            self.per_second = rate;
        } else {
            let decay = (-span_us / TIME_CONSTANT_US).exp();
            self.per_second += (rate - self.per_second) * (1.0 - decay);
        }
        let expected_less_than_one = self.per_second * span_us < US_PER_SECOND;
        if rate == 0.0 && expected_less_than_one {
            self.per_second = 0.0;
        }
    }

    /// Returns whether the rate since the last sample is clearly above the mean.
    pub fn has_risen(&self, now: Timestamp) -> bool {
        now.saturating_sub(self.sampled_at) > SAMPLE_INTERVAL_US
            && self.rate_since_sample(now) > RISE_FACTOR * self.per_second + RISE_MARGIN_PER_SECOND
    }

    fn rate_since_sample(&self, now: Timestamp) -> f64 {
        let span_us = now.saturating_sub(self.sampled_at) as f64;
        (self.requests - self.sampled_requests) as f64 * US_PER_SECOND / span_us
    }
}
