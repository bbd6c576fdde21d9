//! One budget at this process: what is spent of its share, and what is asked for.

use super::budget::{Budget, Limit, MILLI};
use super::demand::Demand;
use super::MS;
use crate::bucket::{Bucket, Open};
use crate::{Micros, Share, Units};

/// When a request may try again that found no room among those in progress; when one ends is not
/// known.
const RETRY_OPEN: Micros = 1_000 * MS;

/// What lets requests in.
#[derive(Clone, Debug)]
pub(super) enum Limiter {
    /// By a token bucket.
    Rate(Bucket),
    /// By the number in progress.
    Open(Open),
}

impl Limiter {
    fn new(now: Micros, limit: Limit) -> Limiter {
        match limit {
            Limit::Rate { .. } => Limiter::Rate(Bucket::new(now)),
            Limit::Open { .. } => Limiter::Open(Open::default()),
        }
    }

    fn fits(&self, limit: Limit) -> bool {
        matches!(
            (self, limit),
            (Limiter::Rate(_), Limit::Rate { .. }) | (Limiter::Open(_), Limit::Open { .. })
        )
    }

    pub fn is_rate(&self) -> bool {
        matches!(self, Limiter::Rate(_))
    }

    /// Whether a request can be let in, or else after what time one might be.
    pub fn check(&mut self, now: Micros) -> Result<(), Micros> {
        match self {
            Limiter::Rate(bucket) => bucket.wait(now),
            Limiter::Open(open) if open.has_room(now) => Ok(()),
            Limiter::Open(_) => Err(RETRY_OPEN),
        }
    }
}

/// A share of a whole, and until when it may be spent.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldLease {
    pub part: Share,
    pub until: Micros,
}

/// One budget at this process.
#[derive(Clone, Debug)]
pub(super) struct Account {
    pub budget: Budget,
    pub key: u64,
    pub limiter: Limiter,
    pub demand: Demand,
    pub spent: u64,
    pub refused: u64,
    /// When the grantor is asked next.
    pub ask_at: Micros,
    /// When it was last asked, if no answer has arrived.
    pub waiting_since: Option<Micros>,
    /// What was last known to be held.
    pub share: Share,
}

impl Account {
    pub fn new(now: Micros, key: u64, budget: Budget) -> Account {
        Account {
            limiter: Limiter::new(now, budget.limit),
            budget,
            key,
            demand: Demand::new(now),
            spent: 0,
            refused: 0,
            ask_at: now,
            waiting_since: None,
            share: Share::default(),
        }
    }

    /// Takes over another definition of the budget; counts and the share stay.
    pub fn redefine(&mut self, now: Micros, budget: Budget) {
        if !self.limiter.fits(budget.limit) {
            self.limiter = Limiter::new(now, budget.limit);
        }
        if self.budget != budget {
            self.budget = budget;
            self.ask_at = now;
        }
    }

    /// Counts a request, and says whether it can be let in or else after what time one might be.
    pub fn check(&mut self, now: Micros, worth: u32) -> Result<(), Micros> {
        self.demand.count(worth);
        let checked = self.limiter.check(now);
        if checked.is_err() {
            self.refused += 1;
            self.ask_early(now);
        }
        checked
    }

    /// Lets a request in, which was found to have room.
    pub fn spend(&mut self, now: Micros) {
        self.spent += 1;
        match &mut self.limiter {
            Limiter::Rate(bucket) => _ = bucket.spend(now),
            Limiter::Open(open) => _ = open.enter(now),
        }
    }

    /// A request that was let in has ended.
    pub fn release(&mut self) {
        if let Limiter::Open(open) = &mut self.limiter {
            open.leave();
        }
    }

    /// Whether requests are in progress that were let in by their number.
    pub fn has_open(&self) -> bool {
        matches!(&self.limiter, Limiter::Open(open) if open.used() > 0)
    }

    /// Sets what may be spent: a share, and the floor if this process has one.
    pub fn set_share(&mut self, now: Micros, share: HeldLease, has_floor: bool) {
        let HeldLease { part, until } = share;
        self.share = part;
        match (&mut self.limiter, self.budget.limit) {
            (Limiter::Rate(bucket), Limit::Rate { rate, burst, floor }) => {
                let floor = if has_floor { floor } else { 0.0 };
                bucket.set_floor(now, floor, burst * floor / rate);
                bucket.set_lease(
                    now,
                    part.units as f64 / MILLI,
                    part.burst as f64 / MILLI,
                    until,
                );
            }
            (Limiter::Open(open), Limit::Open { floor, .. }) => {
                open.set_floor(if has_floor { floor } else { 0 });
                open.set_lease(part.units, until);
            }
            _ => {}
        }
    }

    /// What is asked for here, in units.
    pub fn wanted(&self) -> Units {
        let per_second = self.demand.per_second();
        match &self.limiter {
            Limiter::Rate(_) => (per_second * MILLI) as Units,
            // How many were refused is not known as a number in progress: half as many again, while
            // any are asked for.
            Limiter::Open(open) => {
                let refused = if per_second > 0.0 && !open.has_room(0) {
                    1 + open.used() / 2
                } else {
                    0
                };
                open.used() + refused
            }
        }
    }

    /// What is in progress beyond the floor, and so may be beyond the share.
    pub fn in_use(&self) -> Share {
        match &self.limiter {
            Limiter::Rate(_) => Share::default(),
            Limiter::Open(open) => Share {
                units: open.beyond_floor(),
                burst: 0,
            },
        }
    }

    /// Asks sooner than planned if demand has clearly risen.
    fn ask_early(&mut self, now: Micros) {
        if self.waiting_since.is_none() && self.demand.has_risen(now) {
            self.ask_at = self.ask_at.min(now);
        }
    }
}
