//! `[[tenant]]`: tenants and their quotas.

use super::fields::UniqueNames;
use crate::reader::{Located, Section};

/// The maximum number of named tenants. Tenant numbers have 15 bits, and 0 represents all tenants
/// that are not named.
const MAX_TENANTS: usize = (1 << 15) - 1;

/// A tenant, whose requests share a quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The name that requests, routes and budgets refer to.
    pub name: String,
    /// The quota in requests per second over all instances; `None` for no limit.
    pub rate: Option<f64>,
}

/// Reads all tenants, preceded by the one that represents all that are not named.
pub(super) fn read_all(root: &Section) -> Vec<Located<Tenant>> {
    let mut names = UniqueNames::default();
    let unnamed = Tenant {
        name: "(other)".into(),
        rate: None,
    };
    let mut tenants = vec![root.locate(unnamed)];
    for section in root.sections("tenant") {
        let name = names.read(&section).unwrap_or_default();
        let rate = section
            .has("rate")
            .then(|| section.number("rate", 1.0, 0.001..1e9));
        tenants.push(section.locate(Tenant { name, rate }));
        section.finish();
    }
    if let Some(tenant) = tenants.get(MAX_TENANTS + 1) {
        root.source.add_fault(
            tenant.offset,
            "tenant",
            format!("there can be at most {MAX_TENANTS}"),
        );
    }
    tenants
}
