//! How long votes and leases last, and how their durations relate.

use crate::{EnforcedRules, Micros};

/// The clocks of two processes differ by less than this over a lease, in parts of a hundred.
pub const CLOCK_DRIFT_BOUND_PERCENT: u64 = 2;

/// Durations of votes and leases. Each promise ends sooner for the process that relies on it than
/// for the process that gave it, by more than two clocks can differ over that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseDurations {
    /// How long a holder may spend a lease, from when it sent the request.
    pub lease_ttl: Micros,
    /// How long the grantor counts a lease as held, from when it granted the lease. Above
    /// `lease_ttl`.
    pub grant_hold: Micros,
    /// How long a vote serves a grantor, from when it sent the vote request.
    pub leadership_ttl: Micros,
    /// How long a voter votes for no other candidate, from when it gave the vote. Above
    /// `leadership_ttl`.
    pub vote_hold: Micros,
}

impl LeaseDurations {
    /// The durations of the program: leases of two seconds.
    pub const DEFAULT: LeaseDurations = LeaseDurations {
        lease_ttl: 2_000_000,
        grant_hold: 2_040_000,
        leadership_ttl: 1_000_000,
        vote_hold: 1_020_000,
    };

    /// Whether each promise outlasts the reliance on it by the bound on clock drift.
    const fn covers_clock_drift(&self) -> bool {
        outlasts(self.grant_hold, self.lease_ttl) && outlasts(self.vote_hold, self.leadership_ttl)
    }
}

const fn outlasts(hold: Micros, ttl: Micros) -> bool {
    hold * 100 >= ttl * (100 + CLOCK_DRIFT_BOUND_PERCENT)
}

const _: () = assert!(LeaseDurations::DEFAULT.covers_clock_drift());

/// The shortest time between two divisions of a total.
const DIVISION_INTERVAL_US: Micros = 20_000;

/// What the protocol of a process goes by. The same for all processes of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseSettings {
    /// Durations of votes and leases.
    pub durations: LeaseDurations,
    /// The safety rules that are enforced: all, outside of this crate's tests.
    pub rules: EnforcedRules,
    /// The shortest time between two divisions of a total; 0 divides at each request.
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
