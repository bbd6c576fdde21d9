//! Drills of a fleet of real processes on loopback, with faults at planned times: links that lose,
//! duplicate, delay or block packets, and processes that are killed, suspended, resumed, restarted
//! or shut down.
//!
//! Clients send requests in open loops and backends record when each request arrives. The results
//! come from these records and from the logs of the processes.

mod backends;
mod checks;
mod clients;
mod fleet;
mod report;
mod schedule;

pub use fleet::DrillFleet;
pub use report::{plot, Report, Second};
pub use schedule::{random_plan, Fault, FaultKind, ListEntry, Plan, RateChange};
