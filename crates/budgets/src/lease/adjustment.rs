//! Computes the next share of a holder from its current share and its target.

use super::total::newcomer_reserve;
use crate::{Share, Units, TOKEN_UNITS};

/// A share that exceeds its target by at most one part in this many is not reduced, so that noise
/// in the demand does not move shares.
pub(super) const REDUCTION_THRESHOLD_DIVISOR: Units = 64;

/// The inputs from which the grantor computes the next share of one holder.
pub(super) struct HolderPosition {
    /// The holder's current share.
    pub held: Share,
    /// The holder's target by the last division.
    pub target: Share,
    /// The sum of the shares counted for all other holders.
    pub others: Share,
    /// The leasable part of the total.
    pub leasable: Share,
}

impl HolderPosition {
    /// Returns the next share. A grantor in quarantine only renews the current share.
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

    /// Moves rate and burst toward the target, independently of each other.
    fn share_toward_target(&self) -> Share {
        let available = self.leasable.saturating_sub(self.others);
        // A holder whose share grows leaves the reserve free for newcomers; a newcomer may use it.
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

/// Keeps an amount that is slightly above the target, reduces one that is clearly above it, and
/// raises one that is below it, up to `growth_limit`.
fn adjusted_units(held: Units, target: Units, available: Units, growth_limit: Units) -> Units {
    if target < held && held - target <= held / REDUCTION_THRESHOLD_DIVISOR {
        held.min(available)
    } else if target <= held {
        target.min(available)
    } else {
        target.min(growth_limit)
    }
}
