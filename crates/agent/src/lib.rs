//! The control-plane agent of a process: the sockets, the clock and the state around the pure
//! crates `dewrun-fleet` (membership), `dewrun-budgets` (leases of budgets) and
//! `dewrun-replication` (orders and member status).
//!
//! [`Agent`] is started by the proxy (`serve.rs`) if the operator's file has a `[fleet]`, and by the
//! hollow processes of `dewrun-loadtest`. The proxy's pools are registered as [`Pool`]s: they report
//! their members, and are told which of them are drained. Each request asks [`Agent::spend`], each
//! attempt [`Agent::reserve_attempt`].
//!
//! | module | job |
//! | --- | --- |
//! | `agent` | start, reload, registered pools, position in the fleet |
//! | `exchange` | packets over UDP, and the work of each tick |
//! | `budgets`, `file_budgets` | what a request or an attempt takes out of the budgets |
//! | `orders`, `replication`, `snapshot_file` | operators' orders and reports, drains, the state file |
//! | `server`, `client`, `protocol` | requests over TCP from operators and starting processes |
//! | `state`, `status`, `error`, `clock`, `transport`, `pool` | what their names say |
//!
//! # What it guarantees
//!
//! - What is spent is covered by a lease or a floor by this process's own clock, which goes on while
//!   the machine is suspended. After a suspension leases are checked before anything is spent.
//! - While another process with the same name started later, this one spends nothing.
//! - Packets and orders without the fleet's secret change nothing; they are counted and logged.
//! - No request waits for a disk: the state file is written on a thread of its own.
//!
//! # What it assumes
//!
//! - One thread: all methods are called from the event loop that runs [`Agent::run`].
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
