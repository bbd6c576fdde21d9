//! Durations of votes and leases, and the constraints between them.

use crate::{EnforcedRules, Micros};

/// Upper bound on the drift between the clocks of two processes over a lease, in percent.
pub const CLOCK_DRIFT_BOUND_PERCENT: u64 = 2;

/// Durations of votes and leases. Each promise expires for the process that relies on it before it
/// expires for the process that gave it, by at least the drift bound of their clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseDurations {
    /// How long a holder may spend a lease, measured from sending the request.
    pub lease_ttl: Micros,
    /// How long the grantor counts a lease as held, measured from granting it. Exceeds `lease_ttl`.
    pub grant_hold: Micros,
    /// How long a grantor may rely on a vote, measured from sending the vote request.
    pub leadership_ttl: Micros,
    /// How long a voter votes for no other candidate, measured from giving the vote. Exceeds
    /// `leadership_ttl`.
    pub vote_hold: Micros,
}

impl LeaseDurations {
    /// The durations used in production: leases of two seconds.
    pub const DEFAULT: LeaseDurations = LeaseDurations {
        lease_ttl: 2_000_000,
        grant_hold: 2_040_000,
        leadership_ttl: 1_000_000,
        vote_hold: 1_020_000,
    };

    /// Whether each `hold` exceeds its `ttl` by at least the bound on clock drift.
    const fn covers_clock_drift(&self) -> bool {
        outlasts(self.grant_hold, self.lease_ttl) && outlasts(self.vote_hold, self.leadership_ttl)
    }
}

const fn outlasts(hold: Micros, ttl: Micros) -> bool {
    hold * 100 >= ttl * (100 + CLOCK_DRIFT_BOUND_PERCENT)
}

const _: () = assert!(LeaseDurations::DEFAULT.covers_clock_drift());

/// Minimum time between two divisions of a total.
const DIVISION_INTERVAL_US: Micros = 20_000;

/// Protocol settings, which are the same for all processes of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseSettings {
    /// Durations of votes and leases.
    pub durations: LeaseDurations,
    /// The enforced safety rules; only this crate's tests disable any.
    pub rules: EnforcedRules,
    /// Minimum time between two divisions of a total; 0 divides at each request.
    pub division_interval: Micros,
}

impl Default for LeaseSettings {
    fn default() -> LeaseSettings {
        LeaseSettings {
            durations: LeaseDurations::DEFAULT,
            rules: EnforcedRules::default(),
            division_interval: DIVISION_INTERVAL_US,
        }
    }
}
