//! `[[listener]]`: where clients connect.

use super::fields::{address, UniqueNames};
use crate::network::Network;
use crate::reader::Section;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Where clients connect.
#[derive(Clone, Debug, PartialEq)]
pub struct Listener {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Peers whose `Forwarded` and `X-Forwarded-For` are trusted and passed on.
    pub trusted: Vec<Network>,
}

/// Reads all of them that have a name and an address.
pub(super) fn read_all(root: &Section) -> Vec<Listener> {
    let mut names = UniqueNames::default();
    let mut paths_by_address = BTreeMap::new();
    let mut listeners = Vec::new();
    for section in root.sections("listener") {
        let name = names.read(&section);
        let address = address(&section, "address");
        section.require("address");
        let first =
            address.and_then(|address| paths_by_address.insert(address, section.path.clone()));
        if let Some(first) = first {
            section.fault(format!("its address stands at {first} already"));
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
            Err(error) => section.source.fault_at(&text, error),
        }
    }
    networks
}
