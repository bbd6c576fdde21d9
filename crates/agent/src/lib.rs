//! The control-plane agent of a process: the sockets, the clock and the state around the pure
//! crates `dewrun-fleet` (membership), `dewrun-budgets` (leases of budgets) and
//! `dewrun-replication` (orders and member status).
//!
//! The proxy (`serve.rs`) starts an [`Agent`] if the operator's file has a `[fleet]` section, and
//! so do the hollow processes of `dewrun-loadtest`. The proxy registers its pools as [`Pool`]s:
//! they report their members, and are notified of drained members. Each request calls
//! [`Agent::spend`], each attempt [`Agent::reserve_attempt`].
//!
//! | module | responsibility |
//! | --- | --- |
//! | `agent` | start, reload, registered pools, position in the fleet |
//! | `exchange` | packets over UDP, and the periodic work |
//! | `budgets`, `file_budgets` | charges of requests and attempts to the budgets |
//! | `orders`, `replication`, `snapshot_file` | operators' orders and reports, drains, the state file |
//! | `server`, `client`, `protocol` | requests over TCP from operators and starting processes |
//! | `state`, `status` | the agent's state, and its report to operators |
//! | `pool` | the interface to the proxy's pools |
//! | `transport`, `clock`, `error` | the UDP socket, clocks, error types |
//!
//! # Guarantees
//!
//! - All spending is covered by a lease or a floor according to this process's own clock, which
//!   continues while the machine is suspended. After a suspension leases are checked before
//!   anything is spent.
//! - A process spends nothing while another process with the same name has started later.
//! - Packets and orders without the fleet's secret change nothing; they are counted and logged.
//! - No request waits for a disk: the state file is written on a separate thread.
//!
//! # Assumptions
//!
//! - All methods are called on one thread, by the event loop that runs [`Agent::run`].
//! - [`Agent::run`] and [`Agent::serve_requests`] run for as long as the process serves.

#![forbid(unsafe_code)]
#![warn(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::type_complexity,
    clippy::cognitive_complexity,
    clippy::wildcard_imports,
    clippy::enum_glob_use,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc
)]

mod agent;
mod budgets;
pub mod client;
pub mod clock;
pub mod error;
mod exchange;
mod file_budgets;
mod orders;
pub mod pool;
pub mod protocol;
mod replication;
mod server;
mod snapshot_file;
mod state;
pub mod status;
pub mod transport;

pub use agent::{read_secret, Agent, FleetPosition, Options};
pub use budgets::{AttemptDenied, OverBudget, Reservation};
pub use file_budgets::{RequestBudgets, RequestKind};
pub use pool::Pool;
