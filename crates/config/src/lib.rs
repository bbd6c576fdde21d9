//! The schema and defaults of the operator's file, and the detection of its faults, without I/O.
//!
//! The proxy parses the file at its start and at each reload, and `dewrun check` parses it to
//! report its faults.
//!
//! - [`Installation::parse`] parses a complete file and reports all [`Fault`]s at once, each with
//!   its line, column and key path.
//! - [`read_members`] parses the separate member file of a pool.
//!
//! A file without faults can be served: references by name (a route's pool, a route's class, a
//! fixed tenant) are resolved to indexes, and the routes are compiled into a [`Table`]. Unknown
//! keys are faults. Durations have a unit (`"250ms"`); sizes are bytes or have a unit (`"64KiB"`).
//!
//! The keys of the file and the texts of faults are the operators' interface. The keys differ from
//! the field names of the types; the module of each section maps them.

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
