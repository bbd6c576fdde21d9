//! `[fleet]`: the processes that share budgets and orders, and how they reach each other.

use super::fields::{address, label, parse_address};
use crate::reader::Section;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The name of a fleet, if the file does not give one.
const DEFAULT_NAME: &str = "dewrun";
/// How long a process asks the others before it serves, if the file does not say.
const DEFAULT_CATCH_UP: Duration = Duration::from_secs(2);
const MAX_CATCH_UP: Duration = Duration::from_secs(60);

/// The processes that share budgets and orders, and how they reach each other.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The fleet's name: packets of another fleet are rejected.
    pub name: String,
    /// Where other processes reach this one by UDP, and operators by TCP.
    pub address: SocketAddr,
    /// The voters, which are also the processes that are contacted first.
    pub members: Vec<SocketAddr>,
    /// A file whose bytes are the secret that the whole fleet shares.
    pub secret_file: Option<PathBuf>,
    /// The address by which a member is reached whose own address can't be reached from here.
    pub via: BTreeMap<SocketAddr, SocketAddr>,
    /// A folder in which replicated state is kept over a restart.
    pub state: Option<PathBuf>,
    /// How long this process asks the others for their state before it serves.
    pub catch_up: Duration,
}

impl Fleet {
    /// Takes over the settings that only a restart can change. Other members, and other ways to
    /// them, are not among them.
    pub fn copy_fixed_settings_from(&mut self, running: &Fleet) {
        self.name.clone_from(&running.name);
        self.address = running.address;
        self.secret_file.clone_from(&running.secret_file);
        self.state.clone_from(&running.state);
    }

    /// Whether the settings that only a restart can change are the same.
    pub(super) fn has_same_fixed_settings(&self, other: &Fleet) -> bool {
        let mut kept = other.clone();
        kept.copy_fixed_settings_from(self);
        kept == *other
    }
}

/// Reads the section; `None` if it is not there or has no good address.
pub(super) fn read(root: &Section) -> Option<Fleet> {
    let section = root.section("fleet")?;
    let name = label(&section, "name");
    let address = address(&section, "address");
    section.require("address");
    if address.is_some_and(|address| address.ip().is_unspecified() || address.port() == 0) {
        section.fault("address must be one that the other members can reach");
    }
    let members = read_members(&section);
    let via = read_via(&section);
    let secret_file = section
        .string("secret_file")
        .map(|file| PathBuf::from(file.value));
    let state = section
        .string("state")
        .map(|folder| PathBuf::from(folder.value));
    let catch_up = section.duration("catch_up", DEFAULT_CATCH_UP, Duration::ZERO..MAX_CATCH_UP);
    section.finish();
    let name = name.map_or_else(|| DEFAULT_NAME.into(), |name| name.value);
    Some(Fleet {
        name,
        address: address?,
        members,
        secret_file,
        via,
        state,
        catch_up,
    })
}

fn read_members(section: &Section) -> Vec<SocketAddr> {
    let mut members = Vec::new();
    for text in section.strings("members") {
        let Some(member) = parse_address(section.source, &text) else {
            continue;
        };
        if members.contains(&member) {
            section.source.fault_at(&text, "stands here already");
        } else {
            members.push(member);
        }
    }
    if members.is_empty()
        && section
            .items("members")
            .is_none_or(|items| items.is_empty())
    {
        section.fault("members is missing; name at least one, best three or five");
    }
    members
}

fn read_via(section: &Section) -> BTreeMap<SocketAddr, SocketAddr> {
    let mut via = BTreeMap::new();
    let Some(table) = section.section("via") else {
        return via;
    };
    for (member, address) in table.strings_by_key() {
        let Some(address) = address else { continue };
        match (member.parse(), address.value.parse()) {
            (Ok(member), Ok(address)) => _ = via.insert(member, address),
            _ => section
                .source
                .fault_at(&address, "must be \"IP:PORT\" = \"IP:PORT\""),
        }
    }
    via
}
