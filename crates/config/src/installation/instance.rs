//! `[instance]`: the identity of this process.

use super::fields::{is_token, read_label, MAX_LABEL_BYTES};
use crate::reader::{Located, Section};

/// The maximum number of instances that send to the same pools.
const MAX_INSTANCES: u64 = 100_000;

/// The identity of this process among the instances with the same configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// The name in `Via` and in the log, if the file gives one.
    pub name: Option<String>,
    /// The site of the process; empty if the file gives none.
    pub site: String,
    /// The number of instances that send to the same pools.
    pub fleet_size: u32,
    /// The index of this instance among them.
    pub rank: u32,
}

/// Reads the section. The default is a single instance.
pub(super) fn read(root: &Section, in_fleet: bool) -> Instance {
    let default = Instance {
        name: None,
        site: String::new(),
        fleet_size: 1,
        rank: 0,
    };
    let Some(section) = root.section("instance") else {
        return default;
    };
    let name = read_name(&section, in_fleet);
    let site = read_label(&section, "site");
    if in_fleet {
        for key in ["fleet_size", "rank"].iter().filter(|key| section.has(key)) {
            section.add_fault(format!(
                "{key} must not be set with [fleet], which determines it from the running processes"
            ));
        }
    }
    let fleet_size = section.integer("fleet_size", 1, 1..MAX_INSTANCES + 1) as u32;
    let rank = section.integer("rank", 0, 0..MAX_INSTANCES) as u32;
    if rank >= fleet_size {
        section.add_fault("rank must be below fleet_size");
    }
    section.finish();
    Instance {
        name: name.map(|name| name.value),
        site: site.map(|site| site.value).unwrap_or_default(),
        fleet_size,
        rank,
    }
}

fn read_name(section: &Section, in_fleet: bool) -> Option<Located<String>> {
    let name = section.string("name")?;
    if !is_token(&name.value) {
        section
            .source
            .add_fault_at(&name, "must be letters, digits and -._ only");
    }
    if in_fleet && name.value.len() > MAX_LABEL_BYTES {
        section.source.add_fault_at(
            &name,
            format!("must be up to {MAX_LABEL_BYTES} characters in a fleet"),
        );
    }
    Some(name)
}
