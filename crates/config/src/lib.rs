//! The operator's file: its schema, its defaults, and every fault of a bad file. No I/O: text in,
//! types out.
//!
//! The proxy reads the file at its start and at each reload, and `dewrun check` reads it to report
//! its faults.
//!
//! - [`Installation::parse`] reads a whole file and reports all [`Fault`]s at once, each with its
//!   line, column and key path.
//! - [`read_members`] reads the file of a pool whose members are listed in a file of their own.
//!
//! A file that parses can be served: references by name (a route's pool, a route's class, a fixed
//! tenant) are resolved to indexes, and the routes are built into their [`Table`]. Unknown keys are
//! faults. Durations have a unit (`"250ms"`); sizes are bytes or have a unit (`"64KiB"`).
//!
//! The keys of the file and the texts of faults are the operators' interface: they have names of
//! their own, which the modules of the sections map to the fields of the types.

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

mod installation;
mod members;
mod network;
mod reader;

pub use dewrun_routes::Table;
pub use installation::{
    longest_deadline, Budget, BudgetLimit, BudgetScope, BudgetUnit, Class, Effect, Fleet,
    Installation, Instance, KeyScope, Limits, Listener, Log, LogFormat, Membership, Pool, Route,
    Tenant, TenantSource,
};
pub use members::{read_members, Member};
pub use network::{Network, NetworkError};
pub use reader::Fault;
