//! `[[tenant]]`: accounts and their rates.

use super::fields::UniqueNames;
use crate::reader::{Located, Section};

/// Tenants are numbered in 15 bits, and 0 stands for all that are not named.
const MAX_TENANTS: usize = (1 << 15) - 1;

/// An account.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its quota: requests a second, over all instances; `None` for no limit.
    pub rate: Option<f64>,
}

/// Reads all of them, after the one that stands for all that are not named.
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
        root.source.fault(
            tenant.offset,
            "tenant",
            format!("there can be {MAX_TENANTS} at the most"),
        );
    }
    tenants
}
