//! The packets that processes of a fleet exchange: how a packet is encoded, sealed and opened.
//!
//! A packet is four bytes that name the protocol and its version, 16 bytes of a keyed BLAKE3 hash
//! over the rest, and the rest: a [`Packet`] in `postcard`. The key is derived from the fleet's name
//! and its secret, so the hash alone tells apart packets of another fleet, of another secret, and
//! damaged ones; nothing behind the hash is decoded before the hash is right. A fleet without a
//! secret is protected from accidents, not from attackers.
//!
//! Replayed packets are harmless: a lease answer counts for the last question of one incarnation, a
//! vote for one epoch, and membership orders updates by start time and refutation count.

use dewrun_budgets::message::Message;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The first bytes of every packet: the protocol and its version.
const MAGIC: [u8; 4] = *b"DWF3";
/// The bytes of the keyed hash that a packet carries.
const HASH_BYTES: usize = 16;
/// The largest packet that is made or taken, in bytes: a path of 1,500 bytes carries it with all
/// headers.
pub const MAX_PACKET_BYTES: usize = 1_400;
/// Separates this use of the secret from others.
const KEY_CONTEXT: &str = "dewrun fleet 2026-12 packets";

/// One packet, unsealed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// The sender's own address, as all others know it. The outer address may be that of a relay.
    pub from: SocketAddr,
    /// The messages.
    pub body: Body,
}

/// The messages in a packet, by the part of the program that they are for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// About who is up, for [`crate::membership`].
    Membership(crate::membership::Message),
    /// About budgets and leases, for `dewrun_budgets`.
    Budgets(Vec<Message>),
    /// About replicated orders and member status, for `dewrun_replication`.
    Replication(dewrun_replication::gossip::message::Message),
}

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OpenError {
    /// Too long, too short, or without the protocol's first bytes.
    #[error("not a packet of this protocol")]
    NotAPacket,
    /// The hash is wrong: another fleet's, another secret's, or changed on the way.
    #[error("of another fleet or secret, or damaged")]
    WrongHash,
    /// The hash is right and the rest can't be decoded: another version made the packet.
    #[error("of another version")]
    OtherVersion,
    /// The packet can be decoded, and no process sends a message like its.
    #[error("invalid: {0}")]
    Invalid(#[from] InvalidContent),
}

/// A message that no process sends, and the part of the program that it is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidContent {
    /// About budgets.
    #[error("budgets: {0}")]
    Budgets(#[from] dewrun_budgets::message::InvalidMessage),
    /// About the replicated state.
    #[error("replication: {0}")]
    Replication(#[from] dewrun_replication::gossip::message::InvalidMessage),
}

impl Body {
    /// Checks the fields of messages that have arrived. Membership checks its own as it takes them
    /// in.
    fn validate(&self) -> Result<(), InvalidContent> {
        match self {
            Body::Membership(_) => {}
            Body::Budgets(messages) => {
                for message in messages {
                    message.validate()?;
                }
            }
            Body::Replication(message) => message.validate()?,
        }
        Ok(())
    }
}

/// Why a packet is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SealError {
    /// The packet would be longer than [`MAX_PACKET_BYTES`].
    #[error("a message of {bytes} bytes does not fit a packet")]
    TooLarge {
        /// The length that it would have.
        bytes: usize,
    },
    /// The packet can't be encoded.
    #[error("a message cannot be encoded")]
    NotEncodable,
}

/// The sealed packets of several messages.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct PackedMessages {
    /// The packets.
    pub packets: Vec<Vec<u8>>,
    /// One for each message that does not fit a packet by itself, and is left out.
    pub errors: Vec<SealError>,
}

/// Seals and opens the packets of one fleet.
#[derive(Clone)]
pub struct Seal {
    key: [u8; 32],
}

impl Seal {
    /// The seal of the fleet of this name with this secret; an empty secret stands for none.
    pub fn new(fleet: &str, secret: &[u8]) -> Seal {
        // The length keeps a name and secret apart from a longer name with a shorter secret.
        let mut material = (fleet.len() as u64).to_le_bytes().to_vec();
        material.extend_from_slice(fleet.as_bytes());
        material.extend_from_slice(secret);
        Seal {
            key: blake3::derive_key(KEY_CONTEXT, &material),
        }
    }

    /// The bytes of a packet.
    ///
    /// # Errors
    ///
    /// [`SealError::TooLarge`] if they are more than [`MAX_PACKET_BYTES`].
    pub fn seal(&self, packet: &Packet) -> Result<Vec<u8>, SealError> {
        let body = postcard::to_stdvec(packet).map_err(|_| SealError::NotEncodable)?;
        let bytes = self.seal_body(&body);
        if bytes.len() > MAX_PACKET_BYTES {
            return Err(SealError::TooLarge { bytes: bytes.len() });
        }
        Ok(bytes)
    }

    /// Puts a body, of any contents and length, behind its hash.
    pub fn seal_body(&self, body: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(MAGIC.len() + HASH_BYTES + body.len());
        bytes.extend_from_slice(&MAGIC);
        bytes.extend_from_slice(&self.hash(body));
        bytes.extend_from_slice(body);
        bytes
    }

    /// Checks and decodes a packet.
    ///
    /// # Errors
    ///
    /// [`OpenError`] tells why the packet has to be dropped. The hash is checked before anything
    /// behind it is decoded.
    pub fn open(&self, bytes: &[u8]) -> Result<Packet, OpenError> {
        let sealed = bytes
            .strip_prefix(&MAGIC)
            .filter(|_| bytes.len() <= MAX_PACKET_BYTES)
            .ok_or(OpenError::NotAPacket)?;
        let (hash, body) = sealed
            .split_at_checked(HASH_BYTES)
            .ok_or(OpenError::NotAPacket)?;
        if !is_equal_in_constant_time(hash, &self.hash(body)) {
            return Err(OpenError::WrongHash);
        }
        let Ok((packet, [])) = postcard::take_from_bytes::<Packet>(body) else {
            return Err(OpenError::OtherVersion);
        };
        packet.body.validate()?;
        Ok(packet)
    }

    /// A proof, in hexadecimal digits, that whoever made it knows the secret: of a message of some
    /// kind, in answer to a nonce that was made for it.
    pub fn proof(&self, kind: &str, nonce: &str, text: &[u8]) -> String {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher
            .update(kind.as_bytes())
            .update(b" ")
            .update(nonce.as_bytes())
            .update(b" ")
            .update(text);
        hasher.finalize().to_hex()[..2 * HASH_BYTES].to_string()
    }

    /// Seals messages about budgets for one process in as few packets as hold them.
    pub fn pack(&self, from: SocketAddr, messages: &[Message]) -> PackedMessages {
        let mut packed = PackedMessages::default();
        self.pack_into(&mut packed, from, messages);
        packed
    }

    fn pack_into(&self, packed: &mut PackedMessages, from: SocketAddr, messages: &[Message]) {
        let packet = Packet {
            from,
            body: Body::Budgets(messages.to_vec()),
        };
        match self.seal(&packet) {
            Ok(bytes) => packed.packets.push(bytes),
            Err(_) if messages.len() > 1 => {
                let (first, second) = messages.split_at(messages.len() / 2);
                self.pack_into(packed, from, first);
                self.pack_into(packed, from, second);
            }
            Err(error) => packed.errors.push(error),
        }
    }

    fn hash(&self, body: &[u8]) -> [u8; HASH_BYTES] {
        let mut hash = [0; HASH_BYTES];
        hash.copy_from_slice(&blake3::keyed_hash(&self.key, body).as_bytes()[..HASH_BYTES]);
        hash
    }
}

/// Compares a received hash with the right one. The time that this takes does not depend on how
/// many bytes are right, so a sender can't find the hash byte by byte.
fn is_equal_in_constant_time(received: &[u8], expected: &[u8; HASH_BYTES]) -> bool {
    let difference = received
        .iter()
        .zip(expected)
        .fold(0, |difference, (a, b)| difference | (a ^ b));
    difference == 0
}

#[cfg(test)]
mod tests;
