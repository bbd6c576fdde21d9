//! How much is asked for of one budget at this process: a mean that forgets, and that follows a
//! sudden change at once.

use super::{MS, WEIGHT};
use crate::Micros;

/// The time constant of the mean, in microseconds.
const TIME_CONSTANT: f64 = 1_000_000.0;
/// The shortest time from one sample to the next.
const SAMPLE: Micros = 50 * MS;
/// How many standard deviations of a count are taken for noise; a larger change is taken over at
/// once.
const DEVIATIONS: f64 = 3.0;
/// Demand has clearly risen where it is above the mean by this factor, and this many requests a
/// second.
const RISE_FACTOR: f64 = 1.5;
const RISE_PER_SECOND: f64 = 2.0;
const SECOND: f64 = 1e6;
const MAX_WEIGHT: u32 = 1 << 20;

/// The demand of one budget.
#[derive(Clone, Debug)]
pub(super) struct Demand {
    requests: u64,
    /// The sum of the requests' worths since the last sample, in parts of [`WEIGHT`].
    worth: u64,
    /// The mean worth of a request up to the last sample, in parts of [`WEIGHT`].
    weight: u32,
    /// Requests a second, averaged.
    per_second: f64,
    sampled_at: Micros,
    sampled_requests: u64,
}

impl Demand {
    pub fn new(now: Micros) -> Demand {
        Demand {
            requests: 0,
            worth: 0,
            weight: WEIGHT,
            per_second: 0.0,
            sampled_at: now,
            sampled_requests: 0,
        }
    }

    /// Requests a second, averaged.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }

    /// The mean worth of a request, in parts of [`WEIGHT`].
    pub fn weight(&self) -> u32 {
        self.weight
    }

    /// Counts a request, let in or not.
    pub fn count(&mut self, worth: u32) {
        self.requests += 1;
        self.worth += u64::from(worth);
    }

    /// Takes into the mean what was counted since the last sample, if that is long enough ago.
    pub fn sample(&mut self, now: Micros) {
        if now.saturating_sub(self.sampled_at) < SAMPLE {
            return;
        }
        let span = now.saturating_sub(self.sampled_at) as f64;
        if let Some(mean) = self
            .worth
            .checked_div(self.requests - self.sampled_requests)
        {
            self.weight = (mean as u32).clamp(1, MAX_WEIGHT);
        }
        self.worth = 0;
        let rate = self.rate_since_sample(now);
        let noise = DEVIATIONS * (rate.max(self.per_second) * SECOND / span).sqrt();
        if (rate - self.per_second).abs() > noise {
            self.per_second = rate;
        } else {
            self.per_second += (rate - self.per_second) * (1.0 - (-span / TIME_CONSTANT).exp());
        }
        // None came, and not even one was to be expected.
        if rate == 0.0 && self.per_second * span < SECOND {
            self.per_second = 0.0;
        }
        self.sampled_at = now;
        self.sampled_requests = self.requests;
    }

    /// Whether clearly more was counted since the last sample than the mean says.
    pub fn has_risen(&self, now: Micros) -> bool {
        now.saturating_sub(self.sampled_at) > SAMPLE
            && self.rate_since_sample(now) > RISE_FACTOR * self.per_second + RISE_PER_SECOND
    }

    fn rate_since_sample(&self, now: Micros) -> f64 {
        let span = now.saturating_sub(self.sampled_at) as f64;
        (self.requests - self.sampled_requests) as f64 * SECOND / span
    }
}
