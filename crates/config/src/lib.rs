//! The operator's file: its schema, its defaults, and every fault of a bad one. No I/O: it is given
//! text and gives types.
//!
//! [`Installation::parse`] reads a whole file and reports all [`Fault`]s at once, each with its
//! line, column and key path. References by name (a route's pool, a route's class, a fixed tenant)
//! are resolved, and the routes are built into their [`Table`], so that a file which parses can be
//! served. [`read_members`] reads the file of a pool whose members are listed elsewhere. Durations
//! have a unit (`"250ms"`); sizes are bytes or have a unit (`"64KiB"`).

mod installation;
mod members;
mod network;
mod reader;

pub use dewrun_routes::Table;
pub use installation::{
    longest, Budget, BudgetLimit, BudgetOf, Class, Counted, Effect, Fleet, Installation, Instance,
    Limits, Listener, Log, LogFormat, Membership, Pool, Route, Scope, Tenant, TenantFrom,
};
pub use members::{read_members, Member};
pub use network::Network;
pub use reader::Fault;
