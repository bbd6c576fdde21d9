//! State that all processes of a fleet hold alike. Pure: pieces in, pieces out, with the clock and
//! chance passed in.
//!
//! Each process, in each of its lives, is an origin. An origin writes entries of its own and no
//! others, numbered as it writes them, so a copy is told by one number for each origin: all of that
//! origin's entries up to it are known ([`store`]). What several origins say of one thing is
//! settled when it is read, by a rule for its kind ([`kinds`]), the same at all copies. Copies are
//! made equal in pairs ([`gossip`]), and kept over restarts as snapshots ([`snapshot`]).
//! `docs/design/replication.md` has the table of kinds and what was weighed.

#![forbid(unsafe_code)]

pub mod cells;
pub mod gossip;
pub mod kinds;
pub mod simulate;
pub mod snapshot;
pub mod store;

use serde::{Deserialize, Serialize};

pub use dewrun_budgets::{Micros, Timestamp};

/// One life of a process, as a writer of entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin(pub u64);

/// One entry that was written: by whom, and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Dot {
    /// By whom.
    pub origin: Origin,
    /// From 1.
    pub version: u64,
}

/// Longest that something withdrawn is remembered, and that a copy may be alone before it is
/// replaced whole.
pub const TOMBSTONE_TTL_US: Micros = 24 * 3_600 * 1_000_000;
