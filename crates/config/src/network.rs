//! IP networks in the notation `10.0.0.0/8`.

use std::net::IpAddr;
use std::str::FromStr;

const IPV4_BITS: u32 = 32;
const IPV6_BITS: u32 = 128;

/// The error of a text that is not a network.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a network; give ADDRESS or ADDRESS/BITS")]
pub struct NetworkError {
    /// The text that could not be parsed.
    text: String,
}

/// An IP network: the addresses with a common prefix (RFC 4632, 3.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Network {
    address: IpAddr,
    prefix_bits: u32,
}

impl Network {
    /// Returns whether an address is in the network. An IPv4-mapped IPv6 address is treated as an
    /// IPv4 address.
    pub fn contains(&self, address: IpAddr) -> bool {
        // A shift by all bits gives `None`, because the empty prefix contains every address of its
        // IP version.
        match (self.address, address.to_canonical()) {
            (IpAddr::V4(own), IpAddr::V4(other)) => {
                let difference = own.to_bits() ^ other.to_bits();
                difference
                    .checked_shr(IPV4_BITS - self.prefix_bits)
                    .unwrap_or(0)
                    == 0
            }
            (IpAddr::V6(own), IpAddr::V6(other)) => {
                let difference = own.to_bits() ^ other.to_bits();
                difference
                    .checked_shr(IPV6_BITS - self.prefix_bits)
                    .unwrap_or(0)
                    == 0
            }
            _ => false,
        }
    }

    /// Parses `ADDRESS` or `ADDRESS/BITS`.
    fn parse(text: &str) -> Option<Network> {
        let (address, bits) = match text.split_once('/') {
            Some((address, bits)) => (address, Some(bits)),
            None => (text, None),
        };
        let address: IpAddr = address.parse().ok()?;
        let max_bits = if address.is_ipv4() {
            IPV4_BITS
        } else {
            IPV6_BITS
        };
        let prefix_bits = match bits {
            Some(bits) => bits.parse().ok()?,
            None => max_bits,
        };
        (prefix_bits <= max_bits).then_some(Network {
            address,
            prefix_bits,
        })
    }
}

impl FromStr for Network {
    type Err = NetworkError;

    fn from_str(text: &str) -> Result<Network, NetworkError> {
        Network::parse(text).ok_or_else(|| NetworkError { text: text.into() })
    }
}
