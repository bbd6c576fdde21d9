//! Amounts of a budget.

use serde::{Deserialize, Serialize};

/// An amount of a budget: thousandths of a request per second for a rate, requests for an in-flight
/// limit.
pub type Units = u64;

/// The burst units that one request spends; a burst unit is a thousandth of a request.
pub const TOKEN_UNITS: Units = 1_000;

/// A part of a budget. Rate and burst are divided independently, because even a process with little
/// demand needs a whole token of burst.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Share {
    /// Thousandths of a request per second, or requests in flight.
    pub units: Units,
    /// Burst in thousandths of a request; 0 for an in-flight limit.
    pub burst: Units,
}

impl Share {
    /// Returns a share of an in-flight limit, which has no burst.
    pub fn without_burst(units: Units) -> Share {
        Share { units, burst: 0 }
    }

    /// Combines the units of two shares, and their bursts, with a function.
    pub fn zip_with(self, other: Share, combine: impl Fn(Units, Units) -> Units) -> Share {
        Share {
            units: combine(self.units, other.units),
            burst: combine(self.burst, other.burst),
        }
    }

    /// Applies a function to the units and to the burst.
    pub fn map(self, change: impl Fn(Units) -> Units) -> Share {
        Share {
            units: change(self.units),
            burst: change(self.burst),
        }
    }

    /// Returns the minimum of the units and of the bursts.
    pub fn min(self, other: Share) -> Share {
        self.zip_with(other, Units::min)
    }

    /// Returns the maximum of the units and of the bursts.
    pub fn max(self, other: Share) -> Share {
        self.zip_with(other, Units::max)
    }

    /// Returns the difference, which is 0 where the other share is greater.
    pub fn saturating_sub(self, other: Share) -> Share {
        self.zip_with(other, Units::saturating_sub)
    }

    /// Returns whether neither units nor burst exceed those of the other share.
    pub fn is_within(self, other: Share) -> bool {
        self.saturating_sub(other).is_empty()
    }

    /// Returns whether units and burst are both 0.
    pub fn is_empty(self) -> bool {
        self == Share::default()
    }
}

impl std::ops::Add for Share {
    type Output = Share;

    fn add(self, other: Share) -> Share {
        self.zip_with(other, |a, b| a + b)
    }
}

impl std::iter::Sum for Share {
    fn sum<I: Iterator<Item = Share>>(shares: I) -> Share {
        shares.fold(Share::default(), |a, b| a + b)
    }
}
