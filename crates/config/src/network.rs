//! Networks of peers, as `10.0.0.0/8`.

use std::net::IpAddr;
use std::str::FromStr;

/// The addresses that share their first bits (RFC 4632, 3.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Network {
    address: IpAddr,
    bits: u32,
}

impl Network {
    /// Whether an address lies in it. An IPv4 address that came mapped into IPv6 counts as IPv4.
    pub fn contains(&self, address: IpAddr) -> bool {
        match (self.address, address.to_canonical()) {
            (IpAddr::V4(own), IpAddr::V4(other)) => {
                (own.to_bits() ^ other.to_bits())
                    .checked_shr(32 - self.bits)
                    .unwrap_or(0)
                    == 0
            }
            (IpAddr::V6(own), IpAddr::V6(other)) => {
                (own.to_bits() ^ other.to_bits())
                    .checked_shr(128 - self.bits)
                    .unwrap_or(0)
                    == 0
            }
            _ => false,
        }
    }
}

impl FromStr for Network {
    type Err = String;

    fn from_str(text: &str) -> Result<Network, String> {
        let wrong = || format!("{text:?} is not a network; give ADDRESS or ADDRESS/BITS");
        let (address, bits) = match text.split_once('/') {
            Some((address, bits)) => (address, Some(bits)),
            None => (text, None),
        };
        let address: IpAddr = address.parse().map_err(|_| wrong())?;
        let most = if address.is_ipv4() { 32 } else { 128 };
        let bits = bits.map_or(Ok(most), |bits| bits.parse().map_err(|_| wrong()))?;
        if bits > most {
            Err(wrong())
        } else {
            Ok(Network { address, bits })
        }
    }
}
