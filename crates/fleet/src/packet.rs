//! Packets: a version, a keyed hash over the rest, who says it, and what. The key comes from the
//! fleet's name and its secret, if there is one, so that packets of another fleet, of another
//! version, or cut or changed on their way are told apart by the hash alone. Without a secret it
//! keeps out accidents, not attackers.

use dewrun_budgets::message::Message;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// The first bytes of every packet: this protocol in this version.
const MAGIC: [u8; 4] = *b"DWF3";
const HASH: usize = 16;
/// The largest packet that is made or taken: it fits a path of 1,500 bytes with all headers.
pub const MAX_PACKET_BYTES: usize = 1_400;

/// What one process says to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// Its own address, as all others know it. What carries the packet may have another.
    pub from: SocketAddr,
    /// What it says.
    pub body: Body,
}

/// See [`Packet`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Of who is up.
    Members(crate::members::Message),
    /// Of budgets.
    Budgets(Vec<Message>),
    /// Of what all hold alike.
    Replica(dewrun_replication::gossip::message::Message),
}

/// Why a packet is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// It is too long or too short, or does not begin as one.
    NoPacket,
    /// It is of another fleet, proven by another secret, or was changed.
    Hash,
    /// Its hash is right and it can't be read: another version made it.
    Form,
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            OpenError::NoPacket => "not a packet of this protocol",
            OpenError::Hash => "of another fleet or secret, or damaged",
            OpenError::Form => "of another version",
        })
    }
}

/// Seals and opens packets.
#[derive(Clone)]
pub struct Seal {
    key: [u8; 32],
}

impl Seal {
    /// For the fleet of this name with this secret; empty for none.
    pub fn new(fleet: &str, secret: &[u8]) -> Seal {
        let mut material = (fleet.len() as u64).to_le_bytes().to_vec();
        material.extend_from_slice(fleet.as_bytes());
        material.extend_from_slice(secret);
        Seal {
            key: blake3::derive_key("dewrun fleet 2026-12 packets", &material),
        }
    }

    /// The bytes of a packet; `None` if it is too large for one.
    pub fn seal(&self, packet: &Packet) -> Option<Vec<u8>> {
        let body = postcard::to_stdvec(packet).ok()?;
        let mut bytes = Vec::with_capacity(MAGIC.len() + HASH + body.len());
        bytes.extend_from_slice(&MAGIC);
        bytes.extend_from_slice(&blake3::keyed_hash(&self.key, &body).as_bytes()[..HASH]);
        bytes.extend_from_slice(&body);
        (bytes.len() <= MAX_PACKET_BYTES).then_some(bytes)
    }

    /// Opens a packet. Nothing of it is read before its hash is found right.
    pub fn open(&self, bytes: &[u8]) -> Result<Packet, OpenError> {
        let rest = bytes
            .strip_prefix(&MAGIC)
            .filter(|_| bytes.len() <= MAX_PACKET_BYTES)
            .ok_or(OpenError::NoPacket)?;
        let (hash, body) = rest.split_at_checked(HASH).ok_or(OpenError::NoPacket)?;
        let mut told = [0; HASH];
        told.copy_from_slice(hash);
        let mut right = [0; HASH];
        right.copy_from_slice(&blake3::keyed_hash(&self.key, body).as_bytes()[..HASH]);
        // In a time that does not tell how much of it is right.
        if told
            .iter()
            .zip(right)
            .fold(0, |differs, (a, b)| differs | (a ^ b))
            != 0
        {
            return Err(OpenError::Hash);
        }
        match postcard::take_from_bytes(body) {
            Ok((packet, [])) => Ok(packet),
            _ => Err(OpenError::Form),
        }
    }

    /// What proves that one who knows the secret has said something of a kind, in answer to a
    /// number that was made for it.
    pub fn proof(&self, kind: &str, nonce: &str, text: &[u8]) -> String {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher
            .update(kind.as_bytes())
            .update(b" ")
            .update(nonce.as_bytes())
            .update(b" ")
            .update(text);
        hasher.finalize().to_hex()[..2 * HASH].to_string()
    }

    /// Packs messages for one process into as few packets as they fit.
    pub fn pack(&self, from: SocketAddr, messages: &[Message]) -> Vec<Vec<u8>> {
        let packet = Packet {
            from,
            body: Body::Budgets(messages.to_vec()),
        };
        match self.seal(&packet) {
            Some(bytes) => vec![bytes],
            None if messages.len() > 1 => {
                let (first, second) = messages.split_at(messages.len() / 2);
                let mut all = self.pack(from, first);
                all.extend(self.pack(from, second));
                all
            }
            None => Vec::new(),
        }
    }
}

#[cfg(test)]
mod tests;
