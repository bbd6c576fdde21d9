//! A token bucket whose rate is the sum of a permanent floor and an expiring lease.

use crate::{Micros, Timestamp};

/// Maximum rounding error of the token count, in tokens.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Maximum wait that is reported to a client.
const MAX_WAIT_SECONDS: f64 = 3_600.0;

const US_PER_SECOND: f64 = 1e6;

/// A rate and a burst.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateLimit {
    /// Requests per second.
    pub per_second: f64,
    /// Maximum number of requests in a burst.
    pub burst: f64,
}

/// A token bucket. Tokens are added only as time passes: a growing share raises the capacity of the
/// bucket but not its content, so that a burst that moves between processes is spent only once.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Timestamp,
    leased: RateLimit,
    lease_expires_at: Timestamp,
    floor: RateLimit,
}

impl TokenBucket {
    /// Creates an empty bucket with no rate.
    pub fn new(now: Timestamp) -> TokenBucket {
        TokenBucket {
            tokens: 0.0,
            refilled_at: now,
            leased: RateLimit::default(),
            lease_expires_at: now,
            floor: RateLimit::default(),
        }
    }

    /// Sets the rate and burst that apply without a lease.
    pub fn set_floor(&mut self, now: Timestamp, floor: RateLimit) {
        self.refill(now);
        self.floor = floor;
        self.cap_tokens(now);
    }

    /// Sets the rate and burst that the lease adds to the floor until it expires.
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
    /// If there is no token, returns the time until there is one at the current rate, in
    /// microseconds.
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

    /// Returns the current rate in tokens per second.
    pub fn rate(&self, now: Timestamp) -> f64 {
        let leased = if now < self.lease_expires_at {
            self.leased.per_second
        } else {
            0.0
        };
        self.floor.per_second + leased
    }

    /// Adds the tokens for the time since the last refill.
    fn refill(&mut self, now: Timestamp) {
        let expires_at = self.lease_expires_at;
        if now >= expires_at && self.refilled_at < expires_at {
            self.refill_up_to_expiry();
        }
        self.tokens += self.rate(self.refilled_at) * seconds_between(self.refilled_at, now);
        self.refilled_at = now.max(self.refilled_at);
        self.cap_tokens(now);
    }

    /// Adds the tokens for the time until the lease expired, and drops those that exceed the
    /// floor's burst.
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
