//! Fleets of real processes on loopback with faults between them, by a schedule: links that lose,
//! double, delay and cut, processes that are killed, stopped, continued, started and told to leave,
//! callers in open loops, and stand-in backends that write down when each request came. The books
//! are kept from outside.

mod backends;
mod checks;
mod clients;
mod fleet;
mod report;
mod schedule;

pub use fleet::Site;
pub use report::{plot, Report, Second};
pub use schedule::{drawn, Fault, Kind, Offer, Plan, Says};
