//! A token bucket whose rate is a floor and a lease that expires.

use crate::{Micros, Timestamp};

/// Sums of tokens miss whole numbers by at most this much.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// The longest wait that is told.
const MAX_WAIT_SECONDS: f64 = 3_600.0;

const US_PER_SECOND: f64 = 1e6;

/// A rate and a burst.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateLimit {
    /// Requests a second.
    pub per_second: f64,
    /// Requests at once.
    pub burst: f64,
}

/// Spends a rate with a burst. Only time brings tokens: a share that grows raises the bucket's
/// capacity and not its content, so that a burst that moves from process to process is spent once.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Timestamp,
    leased: RateLimit,
    lease_expires_at: Timestamp,
    floor: RateLimit,
}

impl TokenBucket {
    /// An empty bucket with no rate.
    pub fn new(now: Timestamp) -> TokenBucket {
        TokenBucket {
            tokens: 0.0,
            refilled_at: now,
            leased: RateLimit::default(),
            lease_expires_at: now,
            floor: RateLimit::default(),
        }
    }

    /// Sets the rate and burst without a lease.
    pub fn set_floor(&mut self, now: Timestamp, floor: RateLimit) {
        self.refill(now);
        self.floor = floor;
        self.cap_tokens(now);
    }

    /// Sets what the lease adds to rate and burst until it expires.
    pub fn set_lease(&mut self, now: Timestamp, leased: RateLimit, expires_at: Timestamp) {
        self.refill(now);
        self.leased = leased;
        self.lease_expires_at = expires_at;
        self.cap_tokens(now);
    }

    /// Spends one token.
    ///
    /// # Errors
    ///
    /// Without a token: the time until there is one at the present rate, in microseconds.
    pub fn spend(&mut self, now: Timestamp) -> Result<(), Micros> {
        self.check(now)?;
        self.tokens -= 1.0;
        Ok(())
    }

    /// Checks whether a token could be spent.
    ///
    /// # Errors
    ///
    /// As for [`TokenBucket::spend`].
    pub fn check(&mut self, now: Timestamp) -> Result<(), Micros> {
        self.refill(now);
        if self.tokens + ROUNDING_TOLERANCE >= 1.0 {
            return Ok(());
        }
        let rate = self.rate(now);
        let wait_s = if rate > 0.0 {
            (1.0 - self.tokens) / rate
        } else {
            1.0
        };
        Err((wait_s.min(MAX_WAIT_SECONDS) * US_PER_SECOND) as Micros)
    }

    /// The tokens that come in a second.
    pub fn rate(&self, now: Timestamp) -> f64 {
        let leased = if now < self.lease_expires_at {
            self.leased.per_second
        } else {
            0.0
        };
        self.floor.per_second + leased
    }

    /// Adds the tokens of the time since the last refill.
    fn refill(&mut self, now: Timestamp) {
        let expires_at = self.lease_expires_at;
        if now >= expires_at && self.refilled_at < expires_at {
            self.refill_up_to_expiry();
        }
        self.tokens += self.rate(self.refilled_at) * seconds_between(self.refilled_at, now);
        self.refilled_at = now.max(self.refilled_at);
        self.cap_tokens(now);
    }

    /// Adds the tokens up to the lease's expiry, and drops those that exceed the floor's burst.
    fn refill_up_to_expiry(&mut self) {
        let rate = self.leased.per_second + self.floor.per_second;
        self.tokens += rate * seconds_between(self.refilled_at, self.lease_expires_at);
        self.tokens = self.tokens.min(self.floor.burst);
        self.refilled_at = self.lease_expires_at;
    }

    fn cap_tokens(&mut self, now: Timestamp) {
        let leased = if now < self.lease_expires_at {
            self.leased.burst
        } else {
            0.0
        };
        self.tokens = self.tokens.min(self.floor.burst + leased);
    }
}

fn seconds_between(from: Timestamp, to: Timestamp) -> f64 {
    to.saturating_sub(from) as f64 / US_PER_SECOND
}
