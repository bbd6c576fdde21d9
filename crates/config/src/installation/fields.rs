//! Fields that sections of several kinds have: names, labels and addresses.

use crate::reader::{Located, Section, Source};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;

/// The longest name of what is defined by a file, in bytes.
const MAX_NAME: usize = 200;
/// The longest label that goes over the network, in bytes.
pub(super) const MAX_LABEL: usize = 64;
/// Parts of a whole, the whole itself included.
pub(super) const FRACTION: Range<f64> = 0.0..1.000_001;

/// The names of one kind of section that were read so far, each with the path of its section.
#[derive(Default)]
pub(super) struct UniqueNames(BTreeMap<String, String>);

impl UniqueNames {
    /// Reads a section's name; one that another section has is a fault.
    pub fn read(&mut self, section: &Section) -> Option<String> {
        section.require("name");
        let name = section.string("name")?;
        if name.value.is_empty()
            || name.value.len() > MAX_NAME
            || name.value.chars().any(char::is_control)
        {
            section
                .source
                .fault_at(&name, format!("must be 1 to {MAX_NAME} characters"));
        }
        if let Some(first) = self.0.insert(name.value.clone(), section.path.clone()) {
            let text = format!("the name {:?} stands at {first} already", name.value);
            section.source.fault_at(&name, text);
        }
        Some(name.value)
    }

    /// Whether a section with this name was read.
    pub fn contains(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }
}

/// Reads a label that goes over the network.
pub(super) fn label(section: &Section, key: &'static str) -> Option<Located<String>> {
    let label = section.string(key)?;
    if !is_token(&label.value) || label.value.len() > MAX_LABEL {
        section.source.fault_at(
            &label,
            format!("must be up to {MAX_LABEL} letters, digits and -._"),
        );
    }
    Some(label)
}

/// Reads an address.
pub(super) fn address(section: &Section, key: &'static str) -> Option<SocketAddr> {
    parse_address(section.source, &section.string(key)?)
}

/// Reads a text as an address; a fault if it is none.
pub(super) fn parse_address(source: &Source, text: &Located<String>) -> Option<SocketAddr> {
    let address = text.value.parse().ok();
    if address.is_none() {
        source.fault_at(
            text,
            format!("{:?} is not an address; give IP:PORT", text.value),
        );
    }
    address
}

/// Whether a text is a token (RFC 9110, 5.6.2).
pub(super) fn is_token(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b))
}
