//! The definitions that routes and budgets refer to by name.

use super::class::{self, Class};
use super::pool::{self, Pool};
use super::tenant::{self, Tenant};
use crate::reader::{Located, Section};

/// The pools, classes and tenants of a file.
pub(super) struct Definitions {
    pub pools: Vec<Located<Pool>>,
    pub classes: Vec<Located<Class>>,
    pub tenants: Vec<Located<Tenant>>,
}

impl Definitions {
    pub fn read(root: &Section) -> Definitions {
        Definitions {
            pools: pool::read_all(root),
            classes: class::read_all(root),
            tenants: tenant::read_all(root),
        }
    }
}

/// A definition that can be referred to by its name.
pub(super) trait Named {
    fn name(&self) -> &str;
}

impl Named for Pool {
    fn name(&self) -> &str {
        &self.name
    }
}

impl Named for Class {
    fn name(&self) -> &str {
        &self.name
    }
}

impl Named for Tenant {
    fn name(&self) -> &str {
        &self.name
    }
}

/// Returns the index of the definition with this name.
pub(super) fn find<T: Named>(definitions: &[Located<T>], name: &str) -> Option<usize> {
    definitions
        .iter()
        .position(|definition| definition.value.name() == name)
}

/// Returns the index of the definition that a key names, or of the default if the key is missing.
/// An undefined name is a fault, and so is a missing key without a default.
pub(super) fn resolve<T: Named>(
    section: &Section,
    key: &'static str,
    definitions: &[Located<T>],
    default: Option<&str>,
) -> Option<usize> {
    let Some(name) = section.string(key) else {
        // A value that is not a string has already been recorded as a fault.
        if section.has(key) {
            return None;
        }
        if default.is_none() {
            section.require(key);
        }
        return find(definitions, default?);
    };
    let found = find(definitions, &name.value);
    if found.is_none() {
        section
            .source
            .add_fault_at(&name, format!("there is no {key} named {:?}", name.value));
    }
    found
}
