//! Simulations of whole fleets in simulated time. Each process runs the production code of
//! [`crate::membership`]. This module is not part of the protocol.
//!
//! [`run_case`] runs one [`Case`] (a cold start, a restart, a partition and so on) and returns an
//! [`Outcome`]: the views of the processes at fixed times, the time until all views were correct,
//! and the traffic that this took. [`Outcome::rows`] compares these figures with their bounds.
//! [`Fleet`] is the simulation itself, for scenarios that are not a case.
//!
//! The simulation is event-driven and uses neither clocks nor sockets. All randomness derives from
//! [`Settings::seed`], so a seed produces the same figures on every machine.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `fleet`, `peer`, `network`, `topology` | the simulated fleet |
//! | `case`, `timing`, `scenario` | the cases, their times, and the faults that they inject |
//! | `observe`, `views`, `traffic`, `outcome` | the measurements |
//! | `row`, `figures` | the figures and their bounds |

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

/// The parameters of a simulation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The number of processes in the fleet.
    pub processes: usize,
    /// The seed of all randomness.
    pub seed: u64,
    /// The fraction of packets that are lost, from 0 to 1.
    pub loss: f64,
}
