//! Fields that several kinds of sections have in common: names, labels and addresses.

use crate::reader::{Located, Section, Source};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;

/// The maximum length of the name of a definition, in bytes.
const MAX_NAME_BYTES: usize = 200;
/// The maximum length of a label that is sent over the network, in bytes.
pub(super) const MAX_LABEL_BYTES: usize = 64;
/// The range of a fraction, which includes 1.
pub(super) const FRACTION: Range<f64> = 0.0..1.000_001;

/// The names of the sections of one kind that have been read, each with the path of its section.
#[derive(Default)]
pub(super) struct UniqueNames(BTreeMap<String, String>);

impl UniqueNames {
    /// Reads the name of a section. A name that another section of the kind has is a fault.
    pub fn read(&mut self, section: &Section) -> Option<String> {
        section.require("name");
        let name = section.string("name")?;
        if name.value.is_empty()
            || name.value.len() > MAX_NAME_BYTES
            || name.value.chars().any(char::is_control)
        {
            section
                .source
                .add_fault_at(&name, format!("must be 1 to {MAX_NAME_BYTES} characters"));
        }
        if let Some(first) = self.0.insert(name.value.clone(), section.path.clone()) {
            let text = format!("the name {:?} is already used at {first}", name.value);
            section.source.add_fault_at(&name, text);
        }
        Some(name.value)
    }

    /// Returns whether a section with this name has been read.
    pub fn contains(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }
}

/// Reads a label that is sent over the network.
pub(super) fn read_label(section: &Section, key: &'static str) -> Option<Located<String>> {
    let label = section.string(key)?;
    if !is_token(&label.value) || label.value.len() > MAX_LABEL_BYTES {
        section.source.add_fault_at(
            &label,
            format!("must be up to {MAX_LABEL_BYTES} letters, digits and -._"),
        );
    }
    Some(label)
}

/// Reads a socket address.
pub(super) fn read_address(section: &Section, key: &'static str) -> Option<SocketAddr> {
    parse_address(section.source, &section.string(key)?)
}

/// Parses a text as a socket address. A text that is not an address is a fault.
pub(super) fn parse_address(source: &Source, text: &Located<String>) -> Option<SocketAddr> {
    let address = text.value.parse().ok();
    if address.is_none() {
        source.add_fault_at(
            text,
            format!("{:?} is not an address; give IP:PORT", text.value),
        );
    }
    address
}

/// Returns whether a text is a token (RFC 9110, 5.6.2).
pub(super) fn is_token(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b))
}
