//! The next share of a holder, by what it holds and what it is due.

use super::total::newcomer_reserve;
use crate::{Share, Units, TOKEN_UNITS};

/// A share that exceeds its target by at most this fraction of itself is not reduced, so that noise
/// in the demand moves no shares.
pub(super) const REDUCTION_THRESHOLD_DIVISOR: Units = 64;

/// What the grantor weighs for one holder.
pub(super) struct HolderPosition {
    /// What the holder has.
    pub held: Share,
    /// What it is due by the last division.
    pub target: Share,
    /// What is counted for all other holders.
    pub others: Share,
    /// What can be leased in all.
    pub leasable: Share,
}

impl HolderPosition {
    /// The next share. A grantor in quarantine only renews what is held.
    pub fn next_share(&self, is_quarantined: bool) -> Share {
        let share = if is_quarantined {
            self.held.min(self.leasable)
        } else {
            self.share_toward_target()
        };
        let admits_nothing =
            share.units == 0 || (self.leasable.burst > 0 && share.burst < TOKEN_UNITS);
        if admits_nothing {
            Share::default()
        } else {
            share
        }
    }

    /// Moves rate and burst toward the target, each by itself.
    fn share_toward_target(&self) -> Share {
        let available = self.leasable.saturating_sub(self.others);
        // What a holder that grows leaves free; a newcomer may take it.
        let reserve = if self.held.is_empty() {
            Share::default()
        } else {
            newcomer_reserve(self.leasable)
        };
        let growth_limit = available
            .saturating_sub(reserve)
            .max(self.held.min(available));
        let adjust = |of: fn(Share) -> Units| {
            adjusted_units(
                of(self.held),
                of(self.target),
                of(available),
                of(growth_limit),
            )
        };
        Share {
            units: adjust(|share| share.units),
            burst: adjust(|share| share.burst),
        }
    }
}

/// Keeps what is barely above the target, reduces what is clearly above, and raises what is below
/// up to a limit.
fn adjusted_units(held: Units, target: Units, available: Units, growth_limit: Units) -> Units {
    if target < held && held - target <= held / REDUCTION_THRESHOLD_DIVISOR {
        held.min(available)
    } else if target <= held {
        target.min(available)
    } else {
        target.min(growth_limit)
    }
}
