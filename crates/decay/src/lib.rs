//! Sums, parts and means that forget. All times are in milliseconds of one clock, which is passed
//! in and may stand still; one that runs backwards adds nothing and takes nothing away. Nothing
//! here decides anything.

#![forbid(unsafe_code)]

use serde::{Deserialize, Serialize};

/// A sum in which each addition fades with time, by a factor of e in each `tau`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sum {
    sum: f64,
    at: f64,
}

impl Sum {
    /// A sum that has this value at a moment.
    pub fn of(sum: f64, at: f64) -> Sum {
        Sum { sum, at }
    }

    /// Whether nothing was ever added.
    pub fn is_new(&self) -> bool {
        self.at == 0.0
    }

    /// Takes it as if each that was added had been so many.
    pub fn scale(&mut self, by: f64) {
        self.sum *= by;
    }

    /// What is left of it.
    pub fn read(&self, now: f64, tau: f64) -> f64 {
        self.sum * (-(now - self.at).max(0.0) / tau).exp()
    }

    /// Adds one.
    pub fn add(&mut self, now: f64, tau: f64) {
        self.add_of(now, tau, 1.0);
    }

    /// Adds an amount; what is not finite adds nothing.
    pub fn add_of(&mut self, now: f64, tau: f64, amount: f64) {
        self.sum = self.read(now, tau) + if amount.is_finite() { amount } else { 0.0 };
        self.at = now;
    }
}

/// The part of events that were of a kind, averaged over the last so many of them and forgotten
/// while none comes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Part {
    part: f64,
    at: f64,
}

impl Part {
    /// The part, from 0 to 1; fades by a factor of e in each `tau` without events.
    pub fn read(&self, now: f64, tau: f64) -> f64 {
        self.part * (-(now - self.at).max(0.0) / tau).exp()
    }

    /// Counts an event, which weighs as one of `over`.
    pub fn add(&mut self, now: f64, tau: f64, over: f64, of_kind: bool) {
        let part = self.read(now, tau);
        self.part = part + (f64::from(u8::from(of_kind)) - part) / over;
        self.at = now;
    }
}

/// Mean and mean deviation of what comes, each new value with the same weight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// The mean; 0 before the first value.
    pub mean: f64,
    /// The mean distance from it.
    pub dev: f64,
}

impl Spread {
    /// Takes a value in, of a weight from 0 to 1. The first one is the mean, and half of it the
    /// deviation.
    pub fn add(&mut self, value: f64, weight: f64) {
        if self.mean == 0.0 {
            *self = Spread {
                mean: value,
                dev: value / 2.0,
            };
        }
        self.dev += weight * ((value - self.mean).abs() - self.dev);
        self.mean += weight * (value - self.mean);
    }
}

/// The mean of the last so many values, or of all while there are fewer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Mean {
    mean: f64,
    count: f64,
}

impl Mean {
    /// Takes a value in, as one of `over` at the most.
    pub fn add(&mut self, value: f64, over: f64) {
        self.count = (self.count + 1.0).min(over);
        self.mean += (value - self.mean) / self.count;
    }

    /// The mean; 0 before the first value.
    pub fn value(&self) -> f64 {
        self.mean
    }

    /// How many values it rests on, up to the most.
    pub fn count(&self) -> f64 {
        self.count
    }
}

/// The lowest that something has been, which rises by a part each second, so that it follows what
/// has changed for good.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Floor {
    least: f64,
    at: f64,
}

impl Floor {
    /// The longest pause that one step makes up for, in milliseconds.
    const PAUSE_MOST: f64 = 10_000.0;

    /// Takes in what it is now; gives the floor.
    pub fn follow(&mut self, now: f64, value: f64, per_s: f64) -> f64 {
        self.least *= 1.0 + per_s * (now - self.at).clamp(0.0, Floor::PAUSE_MOST) / 1_000.0;
        self.at = now;
        self.least = if self.least == 0.0 {
            value
        } else {
            self.least.min(value)
        };
        self.least
    }

    /// The floor as it was last; 0 before the first value.
    pub fn value(&self) -> f64 {
        self.least
    }
}
