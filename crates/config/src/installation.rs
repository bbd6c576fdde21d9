//! A complete installation, as an operator's file describes it.

mod budget;
mod class;
mod definitions;
mod fields;
mod fleet;
mod instance;
mod limits;
mod listener;
mod log;
mod pool;
mod route;
mod tenant;

pub use budget::{Budget, BudgetLimit, BudgetScope, BudgetUnit};
pub use class::{longest_deadline, Class, Effect, KeyScope};
pub use fleet::Fleet;
pub use instance::Instance;
pub use limits::Limits;
pub use listener::Listener;
pub use log::{Log, LogFormat};
pub use pool::{Membership, Pool};
pub use route::{Route, TenantSource};
pub use tenant::Tenant;

use crate::reader::{Fault, Located, Section, Source};
use definitions::Definitions;
use dewrun_routes::Table;
use std::net::SocketAddr;

/// The contents of an operator's file. References by name are resolved to indexes.
pub struct Installation {
    /// The identity of this process.
    pub instance: Instance,
    /// The resource limits of this process.
    pub limits: Limits,
    /// The log settings of this process.
    pub log: Log,
    /// The listeners that clients connect to; at least one.
    pub listeners: Vec<Listener>,
    /// The pools; at least one.
    pub pools: Vec<Pool>,
    /// The classes; at least one.
    pub classes: Vec<Class>,
    /// The tenants; the first represents all that are not named in the file.
    pub tenants: Vec<Tenant>,
    /// The routes, with the same indexes as the rules of the table.
    pub routes: Vec<Route>,
    /// The rules that select the route of a request.
    pub table: Table,
    /// The fleet that this process belongs to, if any.
    pub fleet: Option<Fleet>,
    /// The limits that the whole fleet must not exceed.
    pub budgets: Vec<Budget>,
}

impl Installation {
    /// Parses an operator's file.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file, in the order of their positions.
    pub fn parse(text: &str) -> Result<Installation, Vec<Fault>> {
        let source = Source::new(text);
        let table = source.parse();
        let root = Section::root(&source, table.get_ref());
        let installation = read(&root);
        root.finish();
        let faults = source.into_faults();
        match (installation, faults.is_empty()) {
            (Some(installation), true) => Ok(installation),
            (_, _) => Err(faults),
        }
    }

    /// Returns an installation that forwards every request from one listener to one pool.
    ///
    /// # Errors
    ///
    /// Returns a fault for each endpoint that is given twice.
    pub fn simple(listen: SocketAddr, backends: &[SocketAddr]) -> Result<Installation, Vec<Fault>> {
        let members: Vec<String> = backends
            .iter()
            .map(|b| format!("{:?}", b.to_string()))
            .collect();
        Installation::parse(&format!(
            "[[listener]]\nname = \"main\"\naddress = \"{listen}\"\n\
             [[pool]]\nname = \"main\"\nmembers = [{}]\n[[route]]\npool = \"main\"\n",
            members.join(", ")
        ))
    }

    /// Returns the names of the sections that differ in the `next` installation and that only a
    /// restart can change.
    pub fn needs_restart(&self, next: &Installation) -> Vec<&'static str> {
        let fleet_differs = match (&self.fleet, &next.fleet) {
            (Some(fleet), Some(next)) => !fleet.has_same_fixed_settings(next),
            (None, None) => false,
            _ => true,
        };
        let sections = [
            ("instance", self.instance != next.instance),
            ("listener", self.listeners != next.listeners),
            ("limits", self.limits != next.limits),
            ("log", self.log != next.log),
            ("fleet", fleet_differs),
        ];
        sections
            .into_iter()
            .filter(|(_, differs)| *differs)
            .map(|(name, _)| name)
            .collect()
    }
}

fn read(root: &Section) -> Option<Installation> {
    let fleet = fleet::read(root);
    let instance = instance::read(root, fleet.is_some());
    let limits = limits::read(root);
    let log = log::read(root);
    let listeners = listener::read_all(root);
    let definitions = Definitions::read(root);
    let budgets = budget::read_all(root, fleet.as_ref(), &definitions);
    let mut routes = route::read_all(root, &definitions);
    let table = routes.build_table(root.source);
    for (name, missing) in [
        ("listener", listeners.is_empty()),
        ("pool", definitions.pools.is_empty()),
        ("route", routes.routes.is_empty()),
    ] {
        if missing && !root.has(name) {
            root.source.add_fault(
                0,
                name,
                format!("is missing; write at least one [[{name}]]"),
            );
        }
    }
    Some(Installation {
        instance,
        limits,
        log,
        listeners,
        pools: values(definitions.pools),
        classes: values(definitions.classes),
        tenants: values(definitions.tenants),
        routes: routes.routes,
        table: table?,
        fleet,
        budgets,
    })
}

fn values<T>(located: Vec<Located<T>>) -> Vec<T> {
    located.into_iter().map(|item| item.value).collect()
}
