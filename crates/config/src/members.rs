//! The members of a pool, listed in the operator's file or in a file of their own.

use crate::reader::{read_table, Fault, Located, Section, Source};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use toml::de::DeValue;

/// A member of a pool: an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The name, which identifies the member even if its address changes.
    pub name: String,
    /// The address that the member listens on.
    pub address: SocketAddr,
    /// Whether the member is draining and gets no new requests.
    pub draining: bool,
    /// The capacity relative to the other members.
    pub weight: f64,
    /// The cell: the group of members that share the idempotency keys that they have received.
    pub cell: u16,
    /// The time of the last start, in Unix milliseconds; 0 if it is unknown or long ago.
    pub started_ms: f64,
}

impl Member {
    /// Returns a member of which only the address is given.
    fn with_address(address: SocketAddr, text: String) -> Member {
        Member {
            name: text,
            address,
            draining: false,
            weight: DEFAULT_WEIGHT,
            cell: 0,
            started_ms: 0.0,
        }
    }
}

/// The weight of a member for which none is given.
const DEFAULT_WEIGHT: f64 = 1.0;
/// The range of a member's weight.
const WEIGHTS: Range<f64> = 0.001..1_000_000.0;

/// A member file in JSON.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct JsonFile {
    members: Vec<Entry>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Entry {
    Address(String),
    Object(JsonObject),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct JsonObject {
    name: Option<String>,
    address: String,
    #[serde(default)]
    draining: bool,
    #[serde(default = "default_weight")]
    weight: f64,
    #[serde(default)]
    cell: u16,
    #[serde(default)]
    started_ms: u64,
}

fn default_weight() -> f64 {
    DEFAULT_WEIGHT
}

/// Parses a member file: TOML with `members = [...]`, or a JSON object with the same key. A file
/// that starts with `{` is JSON.
///
/// # Errors
///
/// Returns all faults of the file. A file without members is a fault too, because it is more likely
/// to be incompletely written than intended.
pub fn read_members(text: &str) -> Result<Vec<Member>, Vec<Fault>> {
    let source = Source::new(text);
    let members = if text.trim_start().starts_with('{') {
        read_json(&source, text)
    } else {
        read_toml(&source)
    };
    if !source.has_faults() && members.as_ref().is_some_and(Vec::is_empty) {
        source.add_fault(
            0,
            "members",
            "lists no members; mark members as draining to empty a pool",
        );
    }
    let faults = source.into_faults();
    if faults.is_empty() {
        Ok(members.unwrap_or_default())
    } else {
        Err(faults)
    }
}

/// Reads the items of a TOML list of members.
pub(crate) fn read_list(source: &Source, items: Vec<Located<&DeValue>>) -> Vec<Member> {
    let members = items
        .into_iter()
        .filter_map(|item| read_toml_member(source, item))
        .collect();
    require_distinct(source, members)
}

fn read_json(source: &Source, text: &str) -> Option<Vec<Member>> {
    let file: JsonFile = match serde_json::from_str(text) {
        Ok(file) => file,
        Err(error) => {
            let preceding_lines = text
                .split_inclusive('\n')
                .take(error.line().saturating_sub(1));
            let line_start: usize = preceding_lines.map(str::len).sum();
            source.add_fault(line_start + error.column().saturating_sub(1), "", error);
            return None;
        }
    };
    let mut members = Vec::new();
    for (index, entry) in file.members.into_iter().enumerate() {
        let path = format!("members[{index}]");
        let member = read_json_entry(source, &path, entry);
        members.extend(member.map(|value| Located {
            value,
            offset: 0,
            path,
        }));
    }
    Some(require_distinct(source, members))
}

fn read_json_entry(source: &Source, path: &str, entry: Entry) -> Option<Member> {
    // The JSON parser does not report the positions of values.
    let position = Located {
        value: (),
        offset: 0,
        path: format!("{path}.address"),
    };
    let object = match entry {
        Entry::Address(text) => {
            return parse_address(source, &position, &text)
                .map(|address| Member::with_address(address, text));
        }
        Entry::Object(object) => object,
    };
    let address = parse_address(source, &position, &object.address)?;
    if !WEIGHTS.contains(&object.weight) {
        source.add_fault(0, &format!("{path}.weight"), "must be above 0");
    }
    Some(Member {
        name: object.name.unwrap_or(object.address),
        address,
        draining: object.draining,
        weight: object.weight,
        cell: object.cell,
        started_ms: object.started_ms as f64,
    })
}

fn read_toml(source: &Source) -> Option<Vec<Member>> {
    let table = source.parse();
    let root = Section::root(source, table.get_ref());
    let items = root.items("members");
    if !root.has("members") {
        source.add_fault(0, "members", "is missing");
    }
    root.finish();
    Some(read_list(source, items?))
}

fn read_toml_member(source: &Source, item: Located<&DeValue>) -> Option<Located<Member>> {
    if let Some(text) = item.value.as_str() {
        let text = text.to_string();
        let address = parse_address(source, &item, &text)?;
        return Some(item.map(|_| Member::with_address(address, text)));
    }
    let table = read_table(source, item)?;
    let address = table.string("address");
    table.require("address");
    let name = table.string("name").map(|name| name.value);
    let draining = table.boolean("draining", false);
    let weight = table.number("weight", DEFAULT_WEIGHT, WEIGHTS);
    let cell = table.integer("cell", 0, 0..1 << 16) as u16;
    let started_ms = table.integer("started_ms", 0, 0..1 << 53) as f64;
    let position = table.locate(());
    table.finish();
    let text = address?;
    let address = parse_address(source, &text, &text.value)?;
    let name = name.unwrap_or(text.value);
    Some(position.map(|()| Member {
        name,
        address,
        draining,
        weight,
        cell,
        started_ms,
    }))
}

fn parse_address<T>(source: &Source, position: &Located<T>, text: &str) -> Option<SocketAddr> {
    let address = text.parse().ok();
    if address.is_none() {
        source.add_fault_at(
            position,
            format!("{text:?} is not an address; give IP:PORT or [IPv6]:PORT"),
        );
    }
    address
}

/// Records a fault for each name and address that two members share: each member is a separate
/// process.
fn require_distinct(source: &Source, members: Vec<Located<Member>>) -> Vec<Member> {
    let mut paths_by_name = BTreeMap::new();
    let mut paths_by_address = BTreeMap::new();
    for member in &members {
        let Member { name, address, .. } = &member.value;
        if let Some(first) = paths_by_name.insert(name, &member.path) {
            source.add_fault_at(
                member,
                format!("the name {name:?} is already used at {first}"),
            );
        } else if let Some(first) = paths_by_address.insert(address, &member.path) {
            source.add_fault_at(
                member,
                format!("the address {address} is already used at {first}"),
            );
        }
    }
    members.into_iter().map(|member| member.value).collect()
}
