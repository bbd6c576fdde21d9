//! `[fleet]`: the processes that share budgets and orders, and their addresses.

use super::fields::{parse_address, read_address, read_label};
use crate::reader::Section;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The default name of a fleet.
const DEFAULT_NAME: &str = "dewrun";
/// The default time for which a starting process queries the others before it serves.
const DEFAULT_CATCH_UP: Duration = Duration::from_secs(2);
/// The maximum time for which a starting process queries the others before it serves.
const MAX_CATCH_UP: Duration = Duration::from_secs(60);

/// The processes that share budgets and orders, and their addresses.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The name of the fleet. Packets of fleets with another name are rejected.
    pub name: String,
    /// The address at which other processes reach this one by UDP, and operators by TCP.
    pub address: SocketAddr,
    /// The voters, which are also the seeds that a starting process contacts.
    pub members: Vec<SocketAddr>,
    /// The file whose bytes are the secret that all processes of the fleet share.
    pub secret_file: Option<PathBuf>,
    /// The addresses to use for members whose own address is not reachable from this process.
    pub via: BTreeMap<SocketAddr, SocketAddr>,
    /// The directory in which replicated state is stored across restarts.
    pub state: Option<PathBuf>,
    /// The time for which this process queries the others for their state before it serves.
    pub catch_up: Duration,
}

impl Fleet {
    /// Copies the settings that only a restart can change from the running process. The members and
    /// the addresses in `via` can change without a restart.
    pub fn copy_fixed_settings_from(&mut self, running: &Fleet) {
        self.name.clone_from(&running.name);
        self.address = running.address;
        self.secret_file.clone_from(&running.secret_file);
        self.state.clone_from(&running.state);
    }

    /// Returns whether the settings that only a restart can change are equal.
    pub(super) fn has_same_fixed_settings(&self, other: &Fleet) -> bool {
        let mut adjusted = other.clone();
        adjusted.copy_fixed_settings_from(self);
        adjusted == *other
    }
}

/// Reads the section. Returns `None` if it is missing or has no valid address.
pub(super) fn read(root: &Section) -> Option<Fleet> {
    let section = root.section("fleet")?;
    let name = read_label(&section, "name");
    let address = read_address(&section, "address");
    section.require("address");
    if address.is_some_and(|address| address.ip().is_unspecified() || address.port() == 0) {
        section.add_fault("address must be one that the other members can reach");
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
            section
                .source
                .add_fault_at(&text, "is listed more than once");
        } else {
            members.push(member);
        }
    }
    if members.is_empty()
        && section
            .items("members")
            .is_none_or(|items| items.is_empty())
    {
        section.add_fault("members is missing; give at least one, preferably three or five");
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
                .add_fault_at(&address, "must be \"IP:PORT\" = \"IP:PORT\""),
        }
    }
    via
}
