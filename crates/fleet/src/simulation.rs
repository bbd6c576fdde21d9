//! Fleets of many processes in simulated time, each running the real membership code
//! ([`crate::membership`]).
//!
//! [`play`] plays one [`Case`] (a cold start, a restart, a partition and so on) and returns an
//! [`Outcome`]: what the processes had in view at fixed moments, how long it took until all views
//! were right, and how many bytes that cost. [`Outcome::rows`] puts these figures beside their
//! bounds. [`Fleet`] is the simulation itself, for scenarios that are not a case.
//!
//! The simulation is event-driven and reads no clock and no socket. All chance comes from
//! [`Settings::seed`], so a seed gives the same figures everywhere.

mod cases;
mod fleet;
mod network;
mod observe;
mod outcome;
mod peer;
mod rows;
mod topology;
mod traffic;
mod views;

pub use cases::{play, Case, UnknownCase};
pub use fleet::Fleet;
pub use network::{Group, PacketCounts};
pub use outcome::{Event, Focus, FocusMoment, Moment, Outcome, Samples, Side, Stage};
pub use peer::LARGEST_MESSAGE;
pub use rows::{Bound, Row, Unit};
pub use topology::{Region, Topology, REGIONS};
pub use traffic::{Peak, Rates, PACKET_HEADS};
pub use views::{Spread, Tally, Views};

use crate::membership::Micros;

/// One millisecond.
pub const MILLISECOND: Micros = 1_000;
/// One second.
pub const SECOND: Micros = 1_000_000;

/// What a simulation is played with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How many processes the fleet has.
    pub processes: usize,
    /// Where all chance comes from.
    pub seed: u64,
    /// The part of the packets that is lost on the way, from 0 to 1.
    pub loss: f64,
}
