//! Bounds on the exploration of the model, and lease durations in ticks.

use crate::{LeaseDurations, Micros};

/// The maximum number of each kind of step in a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bounds {
    /// Clock ticks.
    pub ticks: Micros,
    /// Campaigns of the first and the second process, in all their incarnations.
    pub campaigns: [u8; 2],
    /// Lease requests of the second and the third process.
    pub requests: [u8; 2],
    /// Crashes of any process.
    pub crashes: u8,
    /// Steps that advance the clock of one process by a tick.
    pub clock_skews: u8,
    /// Duplicated lease requests and responses.
    pub duplicates: u8,
    /// Whether a candidate receives another process's vote at once, without messages that may be
    /// delayed.
    pub has_instant_votes: bool,
    /// Whether the third process starts with a lease of the whole total.
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

    /// One grantor and two holders with repeated requests, and a duplicated request or response.
    pub const REQUESTS: Bounds = Bounds {
        ticks: 4,
        requests: [2, 2],
        duplicates: 1,
        ..Bounds::NONE
    };

    /// Only votes, sent as individual messages, with a process that crashes.
    pub const CRASHES: Bounds = Bounds {
        ticks: 5,
        campaigns: [1, 2],
        has_instant_votes: false,
        crashes: 1,
        ..Bounds::NONE
    };

    /// Only votes, sent as individual messages, with one clock that runs ahead.
    pub const CLOCKS: Bounds = Bounds {
        ticks: 5,
        campaigns: [1, 2],
        has_instant_votes: false,
        clock_skews: 1,
        ..Bounds::NONE
    };

    /// One grantor, with the whole total leased at the start.
    pub const FULLY_LEASED: Bounds = Bounds {
        ticks: 5,
        requests: [1, 1],
        starts_fully_leased: true,
        ..Bounds::NONE
    };

    /// Only votes, sent as individual messages.
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
