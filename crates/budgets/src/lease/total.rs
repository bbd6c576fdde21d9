//! The total of a budget, and the part of it that can be leased.

use crate::{Micros, Share, TOKEN_UNITS};
use serde::{Deserialize, Serialize};

/// The part of a rate that is held back: true time passes slower than a fast clock says, and each
/// process spends by its own clock.
const RATE_DRIFT_RESERVE_DIVISOR: u64 = 200;

/// The part of the leasable total that is kept for processes that hold nothing yet.
const NEWCOMER_RESERVE_DIVISOR: u64 = 100;

/// The total of a budget in one process's configuration. Where configurations differ, the more
/// careful total holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Total {
    /// All that the fleet may spend. With a burst, a share of less than one token is of no use.
    pub amount: Share,
    /// What each voter may spend without a lease, within the amount.
    pub floor: Share,
    /// Whether the budget is a rate, and so depends on how fast clocks run.
    pub is_rate: bool,
    /// How long a request that was admitted under a lease may run on after the lease has expired.
    pub max_request_duration: Micros,
}

impl Total {
    /// The more careful of two totals, field by field.
    pub fn stricter(&self, other: &Total) -> Total {
        Total {
            amount: self.amount.min(other.amount),
            floor: self.floor.max(other.floor),
            is_rate: self.is_rate || other.is_rate,
            max_request_duration: self.max_request_duration.max(other.max_request_duration),
        }
    }

    /// What can be leased: the amount less the floors of all voters and the reserve for drift.
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

/// What is kept of the leasable total for processes that hold nothing yet. Nothing is kept where
/// that would be too little for one request.
pub(super) fn newcomer_reserve(leasable: Share) -> Share {
    let reserve = leasable.map(|all| all / NEWCOMER_RESERVE_DIVISOR);
    let is_usable = reserve.units > 0 && (leasable.burst == 0 || reserve.burst >= TOKEN_UNITS);
    if is_usable {
        reserve
    } else {
        Share::default()
    }
}
