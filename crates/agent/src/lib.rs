//! The control-plane agent of a process: what it says to the other processes of its fleet, on real
//! sockets and by the machine's clocks. Membership (`dewrun-fleet`), budgets (`dewrun-budgets`) and
//! the replicated state of operators' orders (`dewrun-replication`) are decided in crates that know
//! neither; this one carries their messages.
//!
//! [`Agent`] is one process's part. The process's pools stand behind the trait [`Pool`]; an agent
//! without pools is a member like any other. Nothing of it is started without a `[fleet]` in the
//! operator's file.

#![forbid(unsafe_code)]

mod agent;
mod budgets;
pub mod client;
pub mod clock;
mod exchange;
mod file_budgets;
mod orders;
pub mod pool;
pub mod protocol;
mod replica;
mod server;
mod snapshot_file;
mod state;
pub mod status;
pub mod transport;

pub use agent::{read_secret, Agent, Options, Place};
pub use budgets::{Denied, OverBudget, Reservation};
pub use file_budgets::Counts;
pub use pool::Pool;
