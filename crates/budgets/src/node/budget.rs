//! What a fleet must not exceed, as an operator defines it, and its name in messages.

use crate::grants::Total;
use crate::{Micros, Share, Units};

/// Thousandths: the units of a rate.
pub(super) const MILLI: f64 = 1e3;

/// What is limited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// So many a second, and so many at once.
    Rate {
        /// Requests a second.
        rate: f64,
        /// Requests at once.
        burst: f64,
        /// The part of the rate that each voter has without a lease, in requests a second.
        floor: f64,
    },
    /// So many in progress.
    Open {
        /// Of the whole fleet.
        most: u64,
        /// Those that each voter may have without a lease.
        floor: u64,
        /// The longest that one may take.
        longest: Micros,
    },
}

/// A limit that the whole fleet must not exceed.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// Its name: budgets of the same name are one at all processes.
    pub name: String,
    /// The member of a pool that it is for, where each has the whole limit; empty otherwise.
    pub member: String,
    /// What is limited.
    pub limit: Limit,
}

impl Budget {
    /// The whole that leases are granted of.
    pub fn whole(&self) -> Total {
        match self.limit {
            Limit::Rate { rate, burst, floor } => Total {
                all: milli_part(rate, burst),
                floor: milli_part(floor, burst * floor / rate),
                timed: true,
                linger: 0,
            },
            Limit::Open {
                most,
                floor,
                longest,
            } => Total {
                all: Share {
                    units: most,
                    burst: 0,
                },
                floor: Share {
                    units: floor,
                    burst: 0,
                },
                timed: false,
                linger: longest,
            },
        }
    }

    /// The key in messages of a budget with this name.
    pub fn key(name: &str) -> u64 {
        fnv1a(FNV_OFFSET, name)
    }

    /// The key of the budget that a member of a pool has for itself, by the key of the budget's
    /// name.
    pub fn key_at(name: u64, member: &str) -> u64 {
        fnv1a(fnv1a(name, "\n"), member)
    }

    pub(super) fn own_key(&self) -> u64 {
        let name = Budget::key(&self.name);
        if self.member.is_empty() {
            name
        } else {
            Budget::key_at(name, &self.member)
        }
    }

    /// How many units a request a second has, or a request in progress.
    pub(super) fn units_per_request(&self) -> f64 {
        match self.limit {
            Limit::Rate { .. } => MILLI,
            Limit::Open { .. } => 1.0,
        }
    }
}

fn milli_part(rate: f64, burst: f64) -> Share {
    Share {
        units: (rate * MILLI) as Units,
        burst: (burst * MILLI) as Units,
    }
}

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The 64-bit FNV-1a hash of a text, continued from the hash of what stands before it.
fn fnv1a(from: u64, text: &str) -> u64 {
    text.bytes().fold(from, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}
