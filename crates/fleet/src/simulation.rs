//! Fleets of many processes in simulated time, each running the real [`crate::membership`]. A reader
//! of the protocol need not open this module.
//!
//! [`run_case`] runs one [`Case`] (a cold start, a restart, a partition and so on) and gives an
//! [`Outcome`]: what the processes had in view at fixed moments, how long it took until all views
//! were right, and how many bytes that cost. [`Outcome::rows`] puts these figures beside their
//! bounds. [`Fleet`] is the simulation itself, for scenarios that are not a case.
//!
//! The simulation is event-driven, and reads no clock and no socket. All randomness comes from
//! [`Settings::seed`], so a seed gives the same figures everywhere.
//!
//! | module | job |
//! | --- | --- |
//! | `fleet`, `peer`, `network`, `topology` | the simulated fleet |
//! | `case`, `moments`, `disturb` | what is done to it, and when it is looked at |
//! | `observe`, `views`, `traffic`, `outcome` | what is measured |
//! | `row`, `figures` | the figures beside their bounds |

mod case;
mod figures;
mod fleet;
mod network;
mod observe;
mod outcome;
mod peer;
mod row;
mod scenario;
mod timing;
mod topology;
mod traffic;
mod views;

pub use case::{Case, UnknownCase};
pub use fleet::Fleet;
pub use network::{Group, PacketCounts};
pub use outcome::{
    Event, Moment, Outcome, RegionViews, RestartedProcess, RestartedProcessMoment, Samples, Stage,
};
pub use peer::MAX_MESSAGE_BYTES;
pub use row::{Bound, Row, Unit};
pub use scenario::run_case;
pub use topology::{Region, Topology, REGIONS};
pub use traffic::{PeakRate, Rates, PACKET_OVERHEAD_BYTES};
pub use views::{Distribution, Summary, Views};

use crate::membership::Micros;

/// One millisecond, in microseconds.
pub const MILLISECOND_US: Micros = 1_000;
/// One second, in microseconds.
pub const SECOND_US: Micros = 1_000_000;

/// What a simulation is run with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How many processes the fleet has.
    pub processes: usize,
    /// The seed of all randomness.
    pub seed: u64,
    /// The fraction of packets that is lost, from 0 to 1.
    pub loss: f64,
}
