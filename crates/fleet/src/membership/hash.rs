//! Hashes that are identical at all processes, as required for digests that processes compare.

use super::member::Member;
use std::net::{IpAddr, SocketAddr};

/// The size of a hashed address in bytes: an IPv6 address and a port.
const ADDRESS_BYTES: usize = 18;
/// The size of a hashed member in bytes: its address, start time, incarnation and refutation count.
const MEMBER_BYTES: usize = ADDRESS_BYTES + 8 + 8 + 4;

/// Returns the first eight bytes of a BLAKE3 hash.
pub(super) fn hash_bytes(bytes: &[u8]) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(bytes).as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Hashes a member's address.
pub(super) fn hash_address(address: SocketAddr) -> u64 {
    hash_bytes(&address_bytes(address))
}

/// Hashes a member's address, start time, incarnation and refutation count.
pub(super) fn hash_member(member: &Member) -> u64 {
    let mut bytes = [0; MEMBER_BYTES];
    bytes[..18].copy_from_slice(&address_bytes(member.address));
    bytes[18..26].copy_from_slice(&member.started_ms.to_le_bytes());
    bytes[26..34].copy_from_slice(&member.incarnation.0.to_le_bytes());
    bytes[34..].copy_from_slice(&member.refutations.to_le_bytes());
    hash_bytes(&bytes)
}

/// Mixes a hash with a salt. Two hashes whose leading bits agree for one salt rarely agree for the
/// next.
pub(super) fn salt_hash(hash: u64, salt: u64) -> u64 {
    /// The fractional part of the golden ratio, as used in Fibonacci hashing.
    const MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
    (hash ^ salt).wrapping_mul(MULTIPLIER)
}

fn address_bytes(address: SocketAddr) -> [u8; ADDRESS_BYTES] {
    let mut bytes = [0; ADDRESS_BYTES];
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    bytes[..16].copy_from_slice(&ip.octets());
    bytes[16..].copy_from_slice(&address.port().to_le_bytes());
    bytes
}
