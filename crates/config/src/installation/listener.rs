//! `[[listener]]`: the addresses that clients connect to.

use super::fields::{read_address, UniqueNames};
use crate::network::Network;
use crate::reader::Section;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// An address that clients connect to.
#[derive(Clone, Debug, PartialEq)]
pub struct Listener {
    /// The name, which is unique among the listeners.
    pub name: String,
    /// The address to bind.
    pub address: SocketAddr,
    /// The networks of peers whose `Forwarded` and `X-Forwarded-For` headers are trusted and
    /// forwarded.
    pub trusted: Vec<Network>,
}

/// Reads all listeners that have a name and an address.
pub(super) fn read_all(root: &Section) -> Vec<Listener> {
    let mut names = UniqueNames::default();
    let mut paths_by_address = BTreeMap::new();
    let mut listeners = Vec::new();
    for section in root.sections("listener") {
        let name = names.read(&section);
        let address = read_address(&section, "address");
        section.require("address");
        let first =
            address.and_then(|address| paths_by_address.insert(address, section.path.clone()));
        if let Some(first) = first {
            section.add_fault(format!("its address is already used at {first}"));
        }
        let trusted = read_networks(&section, "trusted");
        if let (Some(name), Some(address)) = (name, address) {
            listeners.push(Listener {
                name,
                address,
                trusted,
            });
        }
        section.finish();
    }
    listeners
}

fn read_networks(section: &Section, key: &'static str) -> Vec<Network> {
    let mut networks = Vec::new();
    for text in section.strings(key) {
        match text.value.parse() {
            Ok(network) => networks.push(network),
            Err(error) => section.source.add_fault_at(&text, error),
        }
    }
    networks
}
