//! Decaying averages: sums, fractions and means in which older values weigh less.
//!
//! All times are in milliseconds of one clock, which is passed in. A clock that stands still or runs
//! backwards decays nothing.

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

/// A sum whose additions decay exponentially, by a factor of e in each time constant `tau`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DecayingSum {
    sum: f64,
    at: f64,
}

impl DecayingSum {
    /// A sum that has a value at a time.
    pub fn of(sum: f64, at: f64) -> DecayingSum {
        DecayingSum { sum, at }
    }

    /// Whether nothing was added yet.
    pub fn is_new(&self) -> bool {
        self.at == 0.0
    }

    /// Multiplies all that was added by a factor.
    pub fn scale(&mut self, by: f64) {
        self.sum *= by;
    }

    /// The sum, decayed until `now`.
    pub fn read(&self, now: f64, tau: f64) -> f64 {
        self.sum * (-(now - self.at).max(0.0) / tau).exp()
    }

    /// Adds 1.
    pub fn add(&mut self, now: f64, tau: f64) {
        self.add_of(now, tau, 1.0);
    }

    /// Adds an amount. An amount that is not finite adds nothing.
    pub fn add_of(&mut self, now: f64, tau: f64, amount: f64) {
        self.sum = self.read(now, tau) + if amount.is_finite() { amount } else { 0.0 };
        self.at = now;
    }
}

/// The fraction of events that were of a kind: a moving average over events, which also decays
/// while none comes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DecayingFraction {
    #[serde(deserialize_with = "fraction")]
    part: f64,
    at: f64,
}

/// Reads a stored fraction. One above 1 would give what it weighs a weight without bound.
fn fraction<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    let value = f64::deserialize(from)?;
    if (0.0..=1.0).contains(&value) {
        Ok(value)
    } else {
        Err(D::Error::custom(format!("{value} is not from 0 to 1")))
    }
}

impl DecayingFraction {
    /// The fraction, from 0 to 1, decayed by a factor of e in each `tau` without events.
    pub fn read(&self, now: f64, tau: f64) -> f64 {
        self.part * (-(now - self.at).max(0.0) / tau).exp()
    }

    /// Counts an event, which weighs 1/`over`.
    pub fn add(&mut self, now: f64, tau: f64, over: f64, of_kind: bool) {
        let part = self.read(now, tau);
        let kind = if of_kind { 1.0 } else { 0.0 };
        self.part = part + (kind - part) / over;
        self.at = now;
    }
}

/// Exponentially weighted moving averages (EWMA) of values and of their deviations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MeanAndDeviation {
    /// The mean; 0 before the first value.
    pub mean: f64,
    /// The mean absolute deviation from the mean.
    pub dev: f64,
}

impl MeanAndDeviation {
    /// Adds a value with a weight from 0 to 1. The first value is the mean, and half of it the
    /// deviation.
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

/// A moving average: the plain mean while there are few values, an EWMA then.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WindowedMean {
    mean: f64,
    count: f64,
}

impl WindowedMean {
    /// Adds a value, which weighs 1/`over` or, while there are fewer values, one over their number.
    pub fn add(&mut self, value: f64, over: f64) {
        self.count = (self.count + 1.0).min(over);
        self.mean += (value - self.mean) / self.count;
    }

    /// The mean; 0 before the first value.
    pub fn value(&self) -> f64 {
        self.mean
    }

    /// How many values were added, up to the largest `over`.
    pub fn count(&self) -> f64 {
        self.count
    }
}

/// The minimum of a value, which rises by a fraction per second to follow lasting changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RisingMinimum {
    least: f64,
    at: f64,
}

impl RisingMinimum {
    /// The longest pause for which one step raises the minimum.
    const MAX_PAUSE_MS: f64 = 10_000.0;

    /// Takes in the present value and returns the minimum.
    pub fn follow(&mut self, now: f64, value: f64, per_s: f64) -> f64 {
        self.least *=
            1.0 + per_s * (now - self.at).clamp(0.0, RisingMinimum::MAX_PAUSE_MS) / 1_000.0;
        self.at = now;
        self.least = if self.least == 0.0 {
            value
        } else {
            self.least.min(value)
        };
        self.least
    }

    /// The last minimum; 0 before the first value.
    pub fn value(&self) -> f64 {
        self.least
    }
}
