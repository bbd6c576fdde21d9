//! Decaying averages: sums, fractions and means in which older values have less weight.
//!
//! All times are in milliseconds of one clock and are passed in by the caller. A clock that stands
//! still or runs backwards causes no decay.

#![forbid(unsafe_code)]
#![warn(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::type_complexity,
    clippy::cognitive_complexity,
    clippy::wildcard_imports,
    clippy::enum_glob_use,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc
)]

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize};

/// A sum whose additions decay exponentially, by a factor of e per time constant `tau`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DecayingSum {
    sum: f64,
    at: f64,
}

impl DecayingSum {
    /// Creates a sum that has the given value at time `at`.
    pub fn with_value(sum: f64, at: f64) -> DecayingSum {
        DecayingSum { sum, at }
    }

    /// Returns whether nothing has been added yet.
    pub fn is_empty(&self) -> bool {
        self.at == 0.0
    }

    /// Multiplies the sum by a factor.
    pub fn scale(&mut self, factor: f64) {
        self.sum *= factor;
    }

    /// Returns the sum, decayed until `now`.
    pub fn read(&self, now: f64, tau: f64) -> f64 {
        self.sum * (-(now - self.at).max(0.0) / tau).exp()
    }

    /// Adds 1.
    pub fn add(&mut self, now: f64, tau: f64) {
        self.add_amount(now, tau, 1.0);
    }

    /// Adds an amount. Amounts that are not finite are ignored.
    pub fn add_amount(&mut self, now: f64, tau: f64, amount: f64) {
        self.sum = self.read(now, tau) + if amount.is_finite() { amount } else { 0.0 };
        self.at = now;
    }
}

/// The fraction of events of a kind: a moving average over events, which also decays in the absence
/// of events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DecayingFraction {
    #[serde(rename = "part", deserialize_with = "deserialize_fraction")]
    fraction: f64,
    at: f64,
}

/// Deserializes a fraction and rejects values outside 0 to 1. A fraction above 1 would give an
/// endpoint an unbounded weight.
fn deserialize_fraction<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let value = f64::deserialize(deserializer)?;
    if (0.0..=1.0).contains(&value) {
        Ok(value)
    } else {
        Err(D::Error::custom(format!("{value} is not from 0 to 1")))
    }
}

impl DecayingFraction {
    /// Returns the fraction, from 0 to 1, decayed by a factor of e per `tau` without events.
    pub fn read(&self, now: f64, tau: f64) -> f64 {
        self.fraction * (-(now - self.at).max(0.0) / tau).exp()
    }

    /// Records an event with a weight of 1/`samples`.
    pub fn add(&mut self, now: f64, tau: f64, samples: f64, is_match: bool) {
        let fraction = self.read(now, tau);
        let value = if is_match { 1.0 } else { 0.0 };
        self.fraction = fraction + (value - fraction) / samples;
        self.at = now;
    }
}

/// Exponentially weighted moving averages (EWMA) of values and of their deviations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MeanAndDeviation {
    /// Mean; 0 before the first value.
    pub mean: f64,
    /// Mean absolute deviation from the mean.
    pub dev: f64,
}

impl MeanAndDeviation {
    /// Adds a value with a weight from 0 to 1. The first value initializes the mean, and half of it
    /// the deviation.
    pub fn add(&mut self, value: f64, weight: f64) {
        if self.mean == 0.0 {
            *self = MeanAndDeviation {
                mean: value,
                dev: value / 2.0,
            };
        }
        self.dev += weight * ((value - self.mean).abs() - self.dev);
        self.mean += weight * (value - self.mean);
    }
}

/// A moving average: the arithmetic mean of the first values, and an EWMA afterwards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WindowedMean {
    mean: f64,
    count: f64,
}

impl WindowedMean {
    /// Adds a value. Its weight is the reciprocal of the number of values so far, and at least
    /// 1/`samples`.
    pub fn add(&mut self, value: f64, samples: f64) {
        self.count = (self.count + 1.0).min(samples);
        self.mean += (value - self.mean) / self.count;
    }

    /// Returns the mean; 0 before the first value.
    pub fn value(&self) -> f64 {
        self.mean
    }

    /// Returns the number of added values, up to the largest `samples`.
    pub fn count(&self) -> f64 {
        self.count
    }
}

/// The minimum of a value. It rises by a fraction per second in order to follow lasting changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RisingMinimum {
    #[serde(rename = "least")]
    minimum: f64,
    at: f64,
}

impl RisingMinimum {
    /// Longest time between two updates that raises the minimum.
    const MAX_PAUSE_MS: f64 = 10_000.0;

    /// Records the current value and returns the minimum.
    pub fn update(&mut self, now: f64, value: f64, rise_per_s: f64) -> f64 {
        self.minimum *=
            1.0 + rise_per_s * (now - self.at).clamp(0.0, RisingMinimum::MAX_PAUSE_MS) / 1_000.0;
        self.at = now;
        self.minimum = if self.minimum == 0.0 {
            value
        } else {
            self.minimum.min(value)
        };
        self.minimum
    }

    /// Returns the last minimum; 0 before the first value.
    pub fn value(&self) -> f64 {
        self.minimum
    }
}
