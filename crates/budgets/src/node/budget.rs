//! A budget as an operator defines it, and its key in messages.

use crate::lease::Total;
use crate::{BudgetKey, Micros, Share, Units};

/// Units of a rate for one request a second.
pub(super) const UNITS_PER_REQUEST: f64 = 1e3;

/// What is limited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// Requests a second.
    Rate {
        /// Requests a second of the whole fleet.
        rate: f64,
        /// Requests at once of the whole fleet.
        burst: f64,
        /// The part of the rate that each voter has without a lease, in requests a second.
        floor: f64,
    },
    /// Requests in flight.
    InFlight {
        /// Requests in flight of the whole fleet.
        max: u64,
        /// Requests in flight that each voter may have without a lease.
        floor: u64,
        /// The longest time that a request may be in flight, in microseconds.
        max_request_duration: Micros,
    },
}

/// A limit that the whole fleet must not exceed.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// The name: budgets of the same name are one at all processes.
    pub name: String,
    /// The member of a pool that the budget is for, where each member has the whole limit; empty
    /// otherwise.
    pub member: String,
    /// What is limited.
    pub limit: Limit,
}

impl Budget {
    /// The total that leases are granted of.
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

    /// The key in messages of a budget with this name.
    pub fn key(name: &str) -> BudgetKey {
        BudgetKey(fnv1a(FNV_OFFSET, name))
    }

    /// The key of the budget that a member of a pool has for itself, by the key of the budget's
    /// name.
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

    /// How many units stand for a request a second, or for a request in flight.
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

/// The 64-bit FNV-1a hash of a text, continued from the hash of the text before it.
fn fnv1a(from: u64, text: &str) -> u64 {
    text.bytes().fold(from, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}
