//! The definition of a budget by an operator, and its key in messages.

use crate::lease::Total;
use crate::{BudgetKey, Micros, Share, Units};

/// Units that represent one request per second, or one request of burst.
pub(super) const UNITS_PER_REQUEST: f64 = 1e3;

/// The limited quantity and its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// A limit on requests per second.
    Rate {
        /// Requests per second of the whole fleet.
        rate: f64,
        /// Burst of the whole fleet, in requests.
        burst: f64,
        /// The part of the rate that each voter has without a lease, in requests per second.
        floor: f64,
    },
    /// A limit on requests in flight.
    InFlight {
        /// Maximum number of requests in flight in the whole fleet.
        max: u64,
        /// Number of requests in flight that each voter may have without a lease.
        floor: u64,
        /// Maximum time that a request may be in flight, in microseconds.
        max_request_duration: Micros,
    },
}

/// A limit that applies to the whole fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// The name, which identifies the budget across all processes.
    pub name: String,
    /// The pool member that the budget applies to, if each member has the full limit; empty
    /// otherwise.
    pub member: String,
    /// The limit.
    pub limit: Limit,
}

impl Budget {
    /// Returns the total from which leases are granted.
    pub fn total(&self) -> Total {
        match self.limit {
            Limit::Rate { rate, burst, floor } => Total {
                amount: rate_share(rate, burst),
                floor: rate_share(floor, burst * floor / rate),
                is_rate: true,
                max_request_duration: 0,
            },
            Limit::InFlight {
                max,
                floor,
                max_request_duration,
            } => Total {
                amount: Share::without_burst(max),
                floor: Share::without_burst(floor),
                is_rate: false,
                max_request_duration,
            },
        }
    }

    /// Returns the key of the budget with this name.
    pub fn key(name: &str) -> BudgetKey {
        BudgetKey(fnv1a(FNV_OFFSET, name))
    }

    /// Returns the key of a pool member's own budget, derived from the key of the budget's name.
    pub fn member_key(name: BudgetKey, member: &str) -> BudgetKey {
        BudgetKey(fnv1a(fnv1a(name.0, "\n"), member))
    }

    pub(super) fn own_key(&self) -> BudgetKey {
        let name = Budget::key(&self.name);
        if self.member.is_empty() {
            name
        } else {
            Budget::member_key(name, &self.member)
        }
    }

    /// Returns the number of units that represent one request per second or one request in flight.
    pub(super) fn units_per_request(&self) -> f64 {
        match self.limit {
            Limit::Rate { .. } => UNITS_PER_REQUEST,
            Limit::InFlight { .. } => 1.0,
        }
    }
}

fn rate_share(rate: f64, burst: f64) -> Share {
    Share {
        units: (rate * UNITS_PER_REQUEST) as Units,
        burst: (burst * UNITS_PER_REQUEST) as Units,
    }
}

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the 64-bit FNV-1a hash of a text, continuing from the hash of the preceding text.
fn fnv1a(preceding: u64, text: &str) -> u64 {
    text.bytes().fold(preceding, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}
