//! Fleets of real processes on loopback with faults between them, by a schedule: links that lose,
//! double, delay and cut, processes that are killed, stopped, continued, started and told to leave,
//! callers in open loops, and stand-in backends that write down when each request came. The books
//! are kept from outside.

mod backends;
mod callers;
mod checks;
mod report;
mod schedule;
mod site;

pub use report::{plot, Report, Second};
pub use schedule::{drawn, Fault, Kind, Offer, Plan, Says};
pub use site::Site;
