//! Amounts of a budget.

use serde::{Deserialize, Serialize};

/// An amount of a budget: thousandths of a request a second for a rate, requests for a limit on
/// those in flight.
pub type Units = u64;

/// The units of burst that one request spends: thousandths of a request.
pub const TOKEN_UNITS: Units = 1_000;

/// A part of a budget. Rate and burst are divided independently: a process with little demand needs
/// a whole token of the burst all the same.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Share {
    /// Thousandths of a request a second, or requests in flight.
    pub units: Units,
    /// Thousandths of a request at once; 0 for a limit on requests in flight.
    pub burst: Units,
}

impl Share {
    /// A share of requests in flight, which has no burst.
    pub fn without_burst(units: Units) -> Share {
        Share { units, burst: 0 }
    }

    /// Applies a function to the units of both shares, and to their bursts.
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

    /// The lesser units and the lesser burst.
    pub fn min(self, other: Share) -> Share {
        self.zip_with(other, Units::min)
    }

    /// The greater units and the greater burst.
    pub fn max(self, other: Share) -> Share {
        self.zip_with(other, Units::max)
    }

    /// The difference, 0 where the other share is greater.
    pub fn saturating_sub(self, other: Share) -> Share {
        self.zip_with(other, Units::saturating_sub)
    }

    /// Whether neither units nor burst exceed those of the other share.
    pub fn is_within(self, other: Share) -> bool {
        self.saturating_sub(other).is_empty()
    }

    /// Whether there is nothing to spend.
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
