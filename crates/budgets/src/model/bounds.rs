//! How far a run of the model goes, and its durations in ticks.

use crate::{LeaseDurations, Micros};

/// The bounds of a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bounds {
    /// The ticks of the clock.
    pub ticks: Micros,
    /// Campaigns of the first and the second process, in all their incarnations.
    pub campaigns: [u8; 2],
    /// Lease requests of the second and the third process.
    pub requests: [u8; 2],
    /// Crashes of any process.
    pub crashes: u8,
    /// Ticks by which any process's clock goes ahead.
    pub clock_skews: u8,
    /// Duplicated lease requests and responses.
    pub duplicates: u8,
    /// Whether a candidate gets the vote of another process at once, without messages that may be
    /// late.
    pub has_instant_votes: bool,
    /// Whether the third process begins with a lease of the whole total.
    pub starts_fully_leased: bool,
}

impl Bounds {
    pub const NONE: Bounds = Bounds {
        ticks: 0,
        campaigns: [0; 2],
        requests: [0; 2],
        crashes: 0,
        clock_skews: 0,
        duplicates: 0,
        has_instant_votes: true,
        starts_fully_leased: false,
    };

    /// Leases within one term, and from one term to the next.
    pub const LEASES: Bounds = Bounds {
        ticks: 5,
        campaigns: [1, 1],
        requests: [1, 1],
        ..Bounds::NONE
    };

    /// One grantor and two holders that ask again, with a duplicated request or response.
    pub const REQUESTS: Bounds = Bounds {
        ticks: 4,
        requests: [2, 2],
        duplicates: 1,
        ..Bounds::NONE
    };

    /// Votes alone, message by message, with a process that crashes.
    pub const CRASHES: Bounds = Bounds {
        ticks: 5,
        campaigns: [1, 2],
        has_instant_votes: false,
        crashes: 1,
        ..Bounds::NONE
    };

    /// Votes alone, message by message, with a clock that goes ahead.
    pub const CLOCKS: Bounds = Bounds {
        ticks: 5,
        campaigns: [1, 2],
        has_instant_votes: false,
        clock_skews: 1,
        ..Bounds::NONE
    };

    /// One grantor; all of the total is held already.
    pub const FULLY_LEASED: Bounds = Bounds {
        ticks: 5,
        requests: [1, 1],
        starts_fully_leased: true,
        ..Bounds::NONE
    };

    /// Votes alone, message by message.
    pub const VOTES: Bounds = Bounds {
        ticks: 6,
        campaigns: [1, 1],
        has_instant_votes: false,
        ..Bounds::NONE
    };
}

/// Votes and leases of a few ticks each.
pub(super) const SHORT_DURATIONS: LeaseDurations = LeaseDurations {
    lease_ttl: 3,
    grant_hold: 4,
    leadership_ttl: 2,
    vote_hold: 3,
};

/// One grantor for the whole run.
pub(super) const STEADY_GRANTOR_DURATIONS: LeaseDurations = LeaseDurations {
    lease_ttl: 2,
    grant_hold: 3,
    leadership_ttl: 9,
    vote_hold: 10,
};

/// Terms that are shorter than leases.
pub(super) const SHORT_TERM_DURATIONS: LeaseDurations = LeaseDurations {
    lease_ttl: 5,
    grant_hold: 6,
    leadership_ttl: 1,
    vote_hold: 2,
};

/// Terms that are longer than leases.
pub(super) const LONG_TERM_DURATIONS: LeaseDurations = LeaseDurations {
    lease_ttl: 5,
    grant_hold: 6,
    leadership_ttl: 7,
    vote_hold: 8,
};
