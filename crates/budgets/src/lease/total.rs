//! The total of a budget and its leasable part.

use crate::{Micros, Share, TOKEN_UNITS};
use serde::{Deserialize, Serialize};

/// One part in this many of a rate is reserved for clock drift: each process spends by its own
/// clock, which may run faster than true time.
const RATE_DRIFT_RESERVE_DIVISOR: u64 = 200;

/// One part in this many of the leasable total is reserved for processes without a lease.
const NEWCOMER_RESERVE_DIVISOR: u64 = 100;

/// The total of a budget in one process's configuration. Where configurations differ, the strictest
/// total applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Total {
    /// The amount that the whole fleet may spend. If it has a burst, a share of less than one token
    /// is unusable.
    pub amount: Share,
    /// The amount that each voter may spend without a lease, which is part of `amount`.
    pub floor: Share,
    /// Whether the budget is a rate, which depends on the speed of clocks.
    pub is_rate: bool,
    /// How long a request that was admitted under a lease may continue after the lease has expired.
    pub max_request_duration: Micros,
}

impl Total {
    /// Returns the stricter value of each field.
    pub fn stricter(&self, other: &Total) -> Total {
        Total {
            amount: self.amount.min(other.amount),
            floor: self.floor.max(other.floor),
            is_rate: self.is_rate || other.is_rate,
            max_request_duration: self.max_request_duration.max(other.max_request_duration),
        }
    }

    /// Returns the leasable part: the amount minus the floors of all voters and the drift reserve.
    pub fn leasable(&self, voters: usize) -> Share {
        let drift_reserve = if self.is_rate {
            self.amount.units.div_ceil(RATE_DRIFT_RESERVE_DIVISOR)
        } else {
            0
        };
        let floors = self.floor.map(|floor| floor * voters as u64);
        self.amount
            .saturating_sub(floors + Share::without_burst(drift_reserve))
    }
}

/// Returns the part of the leasable total that is reserved for processes without a lease. It is
/// empty if it would not suffice for one request.
pub(super) fn newcomer_reserve(leasable: Share) -> Share {
    let reserve = leasable.map(|all| all / NEWCOMER_RESERVE_DIVISOR);
    let is_usable = reserve.units > 0 && (leasable.burst == 0 || reserve.burst >= TOKEN_UNITS);
    if is_usable {
        reserve
    } else {
        Share::default()
    }
}
