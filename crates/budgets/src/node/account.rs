//! One budget at this process: its limiter, its demand and the time of its next lease request.

use super::budget::{Budget, Limit, UNITS_PER_REQUEST};
use super::demand::Demand;
use crate::limiter::{InFlightLimit, RateLimit, TokenBucket};
use crate::{BudgetKey, Micros, Share, Timestamp, Units};

/// Retry delay for a request rejected by an in-flight limit. It is fixed because the end of the
/// requests in flight cannot be predicted.
const IN_FLIGHT_RETRY_AFTER_US: Micros = 1_000_000;

/// The limiter that admits requests under a budget.
#[derive(Clone, Debug)]
pub(super) enum Limiter {
    Rate(TokenBucket),
    InFlight(InFlightLimit),
}

impl Limiter {
    fn new(now: Timestamp, limit: Limit) -> Limiter {
        match limit {
            Limit::Rate { .. } => Limiter::Rate(TokenBucket::new(now)),
            Limit::InFlight { .. } => Limiter::InFlight(InFlightLimit::default()),
        }
    }

    /// Returns whether the limiter and the limit are of the same kind.
    fn matches_kind_of(&self, limit: Limit) -> bool {
        matches!(
            (self, limit),
            (Limiter::Rate(_), Limit::Rate { .. }) | (Limiter::InFlight(_), Limit::InFlight { .. })
        )
    }

    pub fn is_rate(&self) -> bool {
        matches!(self, Limiter::Rate(_))
    }

    /// Checks whether a request can be admitted; the error is the estimated time until it can be.
    pub fn check(&mut self, now: Timestamp) -> Result<(), Micros> {
        match self {
            Limiter::Rate(bucket) => bucket.check(now),
            Limiter::InFlight(limit) if limit.has_room(now) => Ok(()),
            Limiter::InFlight(_) => Err(IN_FLIGHT_RETRY_AFTER_US),
        }
    }
}

/// A share and its expiry.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldLease {
    pub share: Share,
    pub expires_at: Timestamp,
}

/// The local state of one budget.
#[derive(Clone, Debug)]
pub(super) struct Account {
    pub budget: Budget,
    pub key: BudgetKey,
    pub limiter: Limiter,
    pub demand: Demand,
    pub spent: u64,
    pub rejected: u64,
    /// When the next lease request is due.
    pub next_request_at: Timestamp,
    /// When the last lease request was sent, if no response has arrived.
    pub pending_since: Option<Timestamp>,
    /// The current share.
    pub share: Share,
}

impl Account {
    pub fn new(now: Timestamp, key: BudgetKey, budget: Budget) -> Account {
        Account {
            limiter: Limiter::new(now, budget.limit),
            budget,
            key,
            demand: Demand::new(now),
            spent: 0,
            rejected: 0,
            next_request_at: now,
            pending_since: None,
            share: Share::default(),
        }
    }

    /// Replaces the definition of the budget and keeps the counts and the share.
    pub fn redefine(&mut self, now: Timestamp, budget: Budget) {
        if !self.limiter.matches_kind_of(budget.limit) {
            self.limiter = Limiter::new(now, budget.limit);
        }
        if self.budget != budget {
            self.budget = budget;
            self.next_request_at = now;
        }
    }

    /// Counts a request and checks whether it can be admitted; the error is the estimated time
    /// until it can be.
    pub fn check(&mut self, now: Timestamp, weight: u32) -> Result<(), Micros> {
        self.demand.count(weight);
        let checked = self.limiter.check(now);
        if checked.is_err() {
            self.rejected += 1;
            self.advance_next_request(now);
        }
        checked
    }

    /// Admits a request for which [`Account::check`] has succeeded.
    pub fn spend(&mut self, now: Timestamp) {
        self.spent += 1;
        match &mut self.limiter {
            Limiter::Rate(bucket) => _ = bucket.spend(now),
            Limiter::InFlight(limit) => _ = limit.acquire(now),
        }
    }

    /// Records the end of an admitted request.
    pub fn release(&mut self) {
        if let Limiter::InFlight(limit) = &mut self.limiter {
            limit.release();
        }
    }

    /// Returns whether the budget is an in-flight limit with running requests.
    pub fn has_in_flight(&self) -> bool {
        matches!(&self.limiter, Limiter::InFlight(limit) if limit.in_flight() > 0)
    }

    /// Sets the lease, and the floor if this process has one.
    pub fn set_lease(&mut self, now: Timestamp, lease: HeldLease, has_floor: bool) {
        let HeldLease { share, expires_at } = lease;
        self.share = share;
        match (&mut self.limiter, self.budget.limit) {
            (Limiter::Rate(bucket), Limit::Rate { rate, burst, floor }) => {
                let floor = if has_floor { floor } else { 0.0 };
                let floor = RateLimit {
                    per_second: floor,
                    burst: burst * floor / rate,
                };
                let leased = RateLimit {
                    per_second: share.units as f64 / UNITS_PER_REQUEST,
                    burst: share.burst as f64 / UNITS_PER_REQUEST,
                };
                bucket.set_floor(now, floor);
                bucket.set_lease(now, leased, expires_at);
            }
            (Limiter::InFlight(limit), Limit::InFlight { floor, .. }) => {
                limit.set_floor(if has_floor { floor } else { 0 });
                limit.set_lease(share.units, expires_at);
            }
            _ => {}
        }
    }

    /// Returns the demand at this process, in units.
    pub fn demand_units(&self) -> Units {
        let per_second = self.demand.per_second();
        match &self.limiter {
            Limiter::Rate(_) => (per_second * UNITS_PER_REQUEST) as Units,
            // The number of rejected requests that would be in flight is unknown. It is estimated
            // as half of those in flight plus 1 while the limit is reached and requests arrive. A
            // time of 0 treats the lease as unexpired.
            Limiter::InFlight(limit) => {
                let rejected = if per_second > 0.0 && !limit.has_room(0) {
                    1 + limit.in_flight() / 2
                } else {
                    0
                };
                limit.in_flight() + rejected
            }
        }
    }

    /// Returns the amount that running requests use beyond the floor, which may exceed the share.
    pub fn in_use(&self) -> Share {
        match &self.limiter {
            Limiter::Rate(_) => Share::default(),
            Limiter::InFlight(limit) => Share::without_burst(limit.in_flight_beyond_floor()),
        }
    }

    /// Makes the next lease request due now if demand has clearly risen.
    fn advance_next_request(&mut self, now: Timestamp) {
        if self.pending_since.is_none() && self.demand.has_risen(now) {
            self.next_request_at = self.next_request_at.min(now);
        }
    }
}
