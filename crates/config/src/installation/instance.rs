//! `[instance]`: who this process is.

use super::fields::{is_token, label, MAX_LABEL};
use crate::reader::{Located, Section};

/// The most instances that send to the same pools.
const MAX_INSTANCES: u64 = 100_000;

/// Which process this is among those that run alike.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// Its name, in `Via` and in the log, if the file gives one.
    pub name: Option<String>,
    /// The site that it is located at; empty if the file gives none.
    pub site: String,
    /// How many instances send to the same pools.
    pub fleet_size: u32,
    /// The number of this one, from 0.
    pub rank: u32,
}

/// Reads the section; the default is a process by itself.
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
    let site = label(&section, "site");
    if in_fleet {
        for key in ["fleet_size", "rank"].iter().filter(|key| section.has(key)) {
            section.fault(format!("{key} is told by [fleet]: it follows who is there"));
        }
    }
    let fleet_size = section.integer("fleet_size", 1, 1..MAX_INSTANCES + 1) as u32;
    let rank = section.integer("rank", 0, 0..MAX_INSTANCES) as u32;
    if rank >= fleet_size {
        section.fault("rank must be below fleet_size");
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
            .fault_at(&name, "must be letters, digits and -._ only");
    }
    if in_fleet && name.value.len() > MAX_LABEL {
        section.source.fault_at(
            &name,
            format!("must be up to {MAX_LABEL} characters in a fleet"),
        );
    }
    Some(name)
}
