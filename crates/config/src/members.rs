//! The members of a pool, as they stand in the operator's file or in a file of their own.

use crate::reader::{section, Fault, Placed, Section, Source};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use toml::de::DeValue;

/// One member of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its name; the same wherever it moves.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it is to get nothing new.
    pub draining: bool,
    /// Its size beside the others'.
    pub weight: f64,
    /// The group that shares the keys it has seen.
    pub cell: u16,
    /// When it last started, in Unix milliseconds; 0 if long ago or not known.
    pub started_ms: f64,
}

/// Weights from here to there are taken.
const WEIGHTS: std::ops::Range<f64> = 0.001..1_000_000.0;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    members: Vec<Entry>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Entry {
    Address(String),
    Table(Table),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Table {
    name: Option<String>,
    address: String,
    #[serde(default)]
    draining: bool,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default)]
    cell: u16,
    #[serde(default)]
    started_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// Reads a file of members: TOML with `members = [...]`, or JSON with the same in an object, told apart by the first
/// character. A file that names nobody is a fault too: it is more often half-written than meant.
pub fn read_members(text: &str) -> Result<Vec<Member>, Vec<Fault>> {
    let source = Source::new(text);
    let members =
        if text.trim_start().starts_with('{') { read_json(&source, text) } else { read_toml(&source) };
    if source.is_good() && members.as_ref().is_some_and(Vec::is_empty) {
        source.fault(0, "members", "names nobody; mark members as draining to empty a pool");
    }
    let faults = source.into_faults();
    if faults.is_empty() {
        Ok(members.unwrap_or_default())
    } else {
        Err(faults)
    }
}

fn read_json(source: &Source, text: &str) -> Option<Vec<Member>> {
    let file: File = match serde_json::from_str(text) {
        Ok(file) => file,
        Err(e) => {
            let line =
                text.split_inclusive('\n').take(e.line().saturating_sub(1)).map(str::len).sum::<usize>();
            source.fault(line + e.column().saturating_sub(1), "", e);
            return None;
        }
    };
    let mut members = Vec::new();
    for (i, entry) in file.members.into_iter().enumerate() {
        let table = match entry {
            Entry::Table(table) => table,
            Entry::Address(address) => {
                Table { name: None, address, draining: false, weight: 1.0, cell: 0, started_ms: 0 }
            }
        };
        let path = format!("members[{i}]");
        let Ok(address) = table.address.parse() else {
            source.fault(0, &format!("{path}.address"), not_an_address(&table.address));
            continue;
        };
        if !WEIGHTS.contains(&table.weight) {
            source.fault(0, &format!("{path}.weight"), "must be above 0");
        }
        let member = Member {
            name: table.name.unwrap_or(table.address),
            address,
            draining: table.draining,
            weight: table.weight,
            cell: table.cell,
            started_ms: table.started_ms as f64,
        };
        members.push(Placed { value: member, at: 0, path });
    }
    Some(distinct(source, members))
}

fn read_toml(source: &Source) -> Option<Vec<Member>> {
    let table = source.parse();
    let root = Section::new(source, String::new(), 0, table.get_ref());
    let items = root.items("members");
    if !root.has("members") {
        source.fault(0, "members", "is missing");
    }
    root.finish();
    Some(list(source, items?))
}

/// Reads the items of a list of members.
pub(crate) fn list(source: &Source, items: Vec<Placed<&DeValue>>) -> Vec<Member> {
    let read = items.into_iter().filter_map(|item| one_member(source, item)).collect();
    distinct(source, read)
}

fn one_member(source: &Source, item: Placed<&DeValue>) -> Option<Placed<Member>> {
    let placed = |value, at, path| Placed { value, at, path };
    if let Some(text) = item.value.as_str() {
        let Ok(address) = text.parse() else {
            source.fault(item.at, &item.path, not_an_address(text));
            return None;
        };
        let name = text.to_string();
        let member = Member { name, address, draining: false, weight: 1.0, cell: 0, started_ms: 0.0 };
        return Some(placed(member, item.at, item.path));
    }
    let (at, path) = (item.at, item.path.clone());
    let table = section(source, item)?;
    let address = table.string("address");
    if !table.has("address") {
        table.fault("address is missing");
    }
    let name = table.string("name").map(|name| name.value);
    let draining = table.boolean("draining", false);
    let weight = table.number("weight", 1.0, WEIGHTS);
    let cell = table.whole("cell", 0, 0..1 << 16) as u16;
    let started_ms = table.whole("started_ms", 0, 0..1 << 53) as f64;
    table.finish();
    let text = address?;
    let Ok(address) = text.value.parse() else {
        source.fault(text.at, &text.path, not_an_address(&text.value));
        return None;
    };
    let name = name.unwrap_or(text.value);
    Some(placed(Member { name, address, draining, weight, cell, started_ms }, at, path))
}

fn not_an_address(text: &str) -> String {
    format!("{text:?} is not an address; give IP:PORT or [IPv6]:PORT")
}

/// Two members are two processes: neither a name nor an address can stand for both.
fn distinct(source: &Source, members: Vec<Placed<Member>>) -> Vec<Member> {
    let (mut names, mut addresses) = (BTreeMap::new(), BTreeMap::new());
    for member in &members {
        if let Some(first) = names.insert(member.value.name.clone(), member.path.clone()) {
            let text = format!("the name {:?} stands at {first} already", member.value.name);
            source.fault(member.at, &member.path, text);
        } else if let Some(first) = addresses.insert(member.value.address, member.path.clone()) {
            let text = format!("the address {} stands at {first} already", member.value.address);
            source.fault(member.at, &member.path, text);
        }
    }
    members.into_iter().map(|member| member.value).collect()
}
